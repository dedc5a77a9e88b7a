"""Bounded queue of names whose state is piggybacked on pings and acks."""

import math
from collections import OrderedDict
from collections.abc import Callable

from briardock.clock import Clock

SENDS_PER_DOUBLING = 3


class DeltaQueue:
    """Names to send a bounded number of times, the newest first.

    Only names are held; the caller renders the current state when sending.

    :param clock: time source
    :param max_names: bound; the ones sent most often are dropped
    """

    def __init__(self, clock: Clock, max_names: int) -> None:
        self._clock = clock
        self._max_names = max_names
        self._names: OrderedDict[str, tuple[int, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._names)

    def add(self, name: str) -> None:
        """Put a name first, to be sent anew."""
        self._names[name] = (0, self._clock.now_ms())
        self._names.move_to_end(name, last=False)
        if len(self._names) > self._max_names:
            self._names.popitem()

    def take(
        self,
        max_sends: int,
        max_bytes: int,
        size_of: Callable[[str, float], int],
    ) -> list[str]:
        """Return the names to send in one message.

        :param max_sends: a name is dropped after this many sends
        :param max_bytes: bound on the sum of sizes
        :param size_of: size in bytes of a name's state, given also its age in
            the queue in ms; 0 drops the name
        """
        now_ms = self._clock.now_ms()
        taken: list[str] = []
        left_bytes = max_bytes
        for name, (sends, added_ms) in list(self._names.items()):
            size_bytes = size_of(name, now_ms - added_ms)
            if size_bytes == 0:
                del self._names[name]
                continue
            if size_bytes > left_bytes:
                break
            left_bytes -= size_bytes
            taken.append(name)
            self._note_sent(name, sends + 1, added_ms, max_sends)
        return taken

    def _note_sent(
        self, name: str, sends: int, added_ms: float, max_sends: int
    ) -> None:
        if sends >= max_sends:
            del self._names[name]
            return
        self._names[name] = (sends, added_ms)
        self._names.move_to_end(name)


def send_limit(member_count: int) -> int:
    """Return how often a delta is sent among a number of members."""
    return SENDS_PER_DOUBLING * math.ceil(math.log2(member_count + 1))


class ByteBudget:
    """Token bucket in bytes for traffic beyond the constant pings.

    :param clock: time source
    :param rate_bytes_per_s: refill rate
    :param burst_bytes: most that can be spent at once
    """

    def __init__(self, clock: Clock, rate_bytes_per_s: float, burst_bytes: int) -> None:
        self._clock = clock
        self._rate = rate_bytes_per_s
        self._burst = float(burst_bytes)
        self._left = self._burst
        self._filled_ms = clock.now_ms()

    def left(self) -> int:
        """Return the bytes that may be sent now."""
        now_ms = self._clock.now_ms()
        gained = (now_ms - self._filled_ms) * self._rate / 1_000.0
        self._left = min(self._burst, self._left + gained)
        self._filled_ms = now_ms
        return int(self._left)

    def spend(self, size_bytes: int) -> bool:
        """Take bytes out if there are enough.

        :returns: whether they were there
        """
        if size_bytes > self.left():
            return False
        self._left -= size_bytes
        return True
