"""Queue of a target: who waits, in which order, and who is not to wait.

Load patterns: a backlog of chains of calls, each of which would wait anew behind the
first calls of newer requests; work that can no longer be completed; and one of many
instances that is full while others have free slots
(``tests/test_overload_waiting.py``).
"""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar

# Share of the slots that is used; a target may slow down when nearly all are busy.
USABLE_SLOT_SHARE = 0.95
# Time in which a refusal reaches the node at which the request entered, s.
REFUSAL_TRANSIT_S = 0.015
# Largest share of the remaining time of a call that is reserved for its service time.
MAX_SERVICE_TIME_SHARE = 0.5
# Expected wait from which a call is handed on to another instance, s. It exceeds the
# time that this takes on a busy node.
HAND_ON_WAIT_S = 0.04

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Waiting:
    """What decides how a call waits.

    :param priority: rank by the priorities of its account and its route
    :param from_caller: whether it was sent by a caller rather than a target
    :param expires_s: time at which its result is no longer wanted
    :param may_hand_on: whether its sender would rather choose another instance than
        let it wait
    """

    priority: int
    from_caller: bool
    expires_s: float
    may_hand_on: bool

    @property
    def order(self) -> int:
        """Order in the queue, lowest first.

        At equal priority callers' requests go first, because a call may belong to a
        less important request.
        """
        return 2 * self.priority + (not self.from_caller)


def usable_slots(slots: int) -> int:
    """Return the number of requests that a target is given at once.

    :param slots: slots that it has announced
    """
    return max(1, int(slots * USABLE_SLOT_SHARE))


def latest_start_s(waiting: Waiting, service_time_s: float, now: float) -> float:
    """Return the latest time since boot at which a call may start.

    After it the call would miss its deadline, while a refusal still reaches the sender
    in time to retry on another instance.

    :param waiting: the call
    :param service_time_s: mean service time of the target
    :param now: current time in s since boot
    """
    reserved_s = min(service_time_s, MAX_SERVICE_TIME_SHARE * (waiting.expires_s - now))
    return waiting.expires_s - max(REFUSAL_TRANSIT_S, reserved_s)


def should_hand_on(
    waiting: Waiting, queued: int, usable: int, service_time_s: float
) -> bool:
    """Return whether a call that finds no free slot goes to another instance.

    :param waiting: the call
    :param queued: calls that wait already
    :param usable: requests that the target is given at once
    :param service_time_s: mean service time of the target
    """
    expected_wait_s = (queued + 1) * service_time_s / usable
    return waiting.may_hand_on and expected_wait_s > HAND_ON_WAIT_S


class _Entry(NamedTuple):
    """A queued item; all fields but the last determine its position.

    A call expires with its parent, so at equal order the calls of the oldest request go
    first. In order of arrival, each call of a chain would again wait behind newer
    requests, and under a backlog all chains would fail instead of the newest ones.
    """

    order: int
    expires_s: float
    arrival_number: int
    item: object


class WaitingQueue(Generic[T]):
    """Calls that wait for a slot, in the order in which they are to start."""

    def __init__(self) -> None:
        self._heap: list[_Entry] = []
        self._arrival_numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._heap)

    def push(self, waiting: Waiting, item: T) -> None:
        """Add a call.

        :param waiting: what decides how it waits
        :param item: value returned when it is its turn
        """
        entry = _Entry(
            waiting.order, waiting.expires_s, next(self._arrival_numbers), item
        )
        heapq.heappush(self._heap, entry)

    def pop(self) -> T:
        """Remove and return the call that is to start next."""
        return heapq.heappop(self._heap).item  # type: ignore[return-value]

    def items(self) -> list[T]:
        """Return all waiting calls, in no particular order."""
        return [entry.item for entry in self._heap]  # type: ignore[misc]

    def clear(self) -> None:
        """Remove all calls."""
        self._heap.clear()

    def counts(self) -> dict[tuple[int, bool], int]:
        """Return the number of calls by rank and whether they are of callers."""
        counts = Counter(entry.order for entry in self._heap)
        return {(order // 2, order % 2 == 0): n for order, n in counts.items()}

    def retain(self, still_waits: Callable[[T], bool]) -> int:
        """Remove abandoned calls; return the number of those left of callers.

        :param still_waits: whether an item still waits
        """
        self._heap = [
            entry
            for entry in self._heap
            if still_waits(entry.item)  # type: ignore[arg-type]
        ]
        heapq.heapify(self._heap)
        return sum(entry.order % 2 == 0 for entry in self._heap)
