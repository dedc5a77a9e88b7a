"""Priority queue of the requests that wait for a slot."""

import asyncio
from bisect import bisect_left, insort
from dataclasses import dataclass
from typing import Generic, TypeVar

Result = TypeVar("Result")


@dataclass(slots=True, eq=False)
class Waiter(Generic[Result]):
    """One queued request.

    :param priority: priority of the request; a lower value is more important
    :param operation: full name of the operation
    :param arrived_ms: time of arrival in ms
    :param expires_ms: end of the wait in ms
    :param deadline_at_ms: deadline of the request in ms
    :param future: resolved with the decision
    """

    priority: int
    operation: str
    arrived_ms: float
    expires_ms: float
    deadline_at_ms: float
    future: "asyncio.Future[Result]"


class PriorityQueue(Generic[Result]):
    """Waiters ordered by priority, and by arrival within a priority."""

    def __init__(self) -> None:
        self._entries: list[tuple[int, int, Waiter[Result]]] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._entries)

    def push(self, waiter: Waiter[Result]) -> tuple[int, int]:
        """Add a waiter and return its position key."""
        self._sequence += 1
        insort(self._entries, (waiter.priority, self._sequence, waiter))
        return waiter.priority, self._sequence

    def pop_first(self) -> Waiter[Result]:
        """Remove and return the most important waiter."""
        return self._entries.pop(0)[2]

    def pop_less_important(self, priority: int) -> Waiter[Result] | None:
        """Remove and return the last waiter if it is less important than an arrival.

        :param priority: priority of the arrival that needs space in the queue
        """
        if not self._entries or self._entries[-1][0] <= priority:
            return None
        return self._entries.pop()[2]

    def remove(self, key: tuple[int, int]) -> None:
        """Remove a waiter if it is still queued.

        :param key: position key returned by ``push``
        """
        index = bisect_left(self._entries, key, key=lambda entry: entry[:2])
        if index < len(self._entries) and self._entries[index][:2] == key:
            del self._entries[index]

    def pop_expired(self, now_ms: float) -> list[Waiter[Result]]:
        """Remove and return the waiters whose time in the queue has expired.

        :param now_ms: current time in ms
        """
        expired = [e[2] for e in self._entries if e[2].expires_ms <= now_ms]
        if expired:
            self._entries = [e for e in self._entries if e[2].expires_ms > now_ms]
        return expired
