"""Bounded queue of keys whose state is piggybacked, and a byte rate limit."""

import math
from collections import OrderedDict
from collections.abc import Callable

from briardock.clock import Clock

SENDS_PER_DOUBLING = 3


class DeltaQueue:
    """Keys to send a bounded number of times, the newest first.

    Only keys are stored; the caller looks up the current state when sending.

    :param clock: time source
    :param max_keys: bound on the queue; the keys sent most often are dropped
    """

    def __init__(self, clock: Clock, max_keys: int) -> None:
        self._clock = clock
        self._max_keys = max_keys
        self._keys: OrderedDict[str, tuple[int, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._keys)

    def add(self, key: str) -> None:
        """Put a key first and reset its number of sends."""
        self._keys[key] = (0, self._clock.now_ms())
        self._keys.move_to_end(key, last=False)
        if len(self._keys) > self._max_keys:
            self._keys.popitem()

    def take(
        self,
        max_sends: int,
        max_bytes: int,
        size_of: Callable[[str, float], int],
    ) -> list[str]:
        """Return the keys to send in one message.

        :param max_sends: a key is dropped after this many sends
        :param max_bytes: bound on the sum of sizes
        :param size_of: returns the size in bytes of the state of a key, given the key
            and its age in the queue in ms; 0 drops the key
        """
        now_ms = self._clock.now_ms()
        taken: list[str] = []
        left_bytes = max_bytes
        for key, (send_count, added_ms) in list(self._keys.items()):
            size_bytes = size_of(key, now_ms - added_ms)
            if size_bytes == 0:
                del self._keys[key]
                continue
            if size_bytes > left_bytes:
                break
            left_bytes -= size_bytes
            taken.append(key)
            self._record_send(key, send_count + 1, added_ms, max_sends)
        return taken

    def _record_send(
        self, key: str, send_count: int, added_ms: float, max_sends: int
    ) -> None:
        if send_count >= max_sends:
            del self._keys[key]
            return
        self._keys[key] = (send_count, added_ms)
        self._keys.move_to_end(key)


def send_limit(member_count: int) -> int:
    """Return how many times a node sends a change in a cluster of a given size."""
    return SENDS_PER_DOUBLING * math.ceil(math.log2(member_count + 1))


class ByteBudget:
    """Token bucket, in bytes, for traffic other than pings and acks.

    :param clock: time source
    :param rate_bytes_per_s: refill rate
    :param burst_bytes: capacity of the bucket
    """

    def __init__(self, clock: Clock, rate_bytes_per_s: float, burst_bytes: int) -> None:
        self._clock = clock
        self._rate_bytes_per_s = rate_bytes_per_s
        self._burst_bytes = float(burst_bytes)
        self._available_bytes = self._burst_bytes
        self._last_refill_ms = clock.now_ms()

    def available_bytes(self) -> int:
        """Return the bytes that may be sent now."""
        now_ms = self._clock.now_ms()
        refill_bytes = (
            (now_ms - self._last_refill_ms) * self._rate_bytes_per_s / 1_000.0
        )
        self._available_bytes = min(
            self._burst_bytes, self._available_bytes + refill_bytes
        )
        self._last_refill_ms = now_ms
        return int(self._available_bytes)

    def spend(self, size_bytes: int) -> bool:
        """Take bytes from the bucket if it holds enough.

        :returns: whether the bytes were taken
        """
        if size_bytes > self.available_bytes():
            return False
        self._available_bytes -= size_bytes
        return True
