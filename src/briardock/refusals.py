"""Admission thresholds of operations, including the services that they call."""

import random
from dataclasses import dataclass

from briardock.clock import Clock
from briardock.messages import MAX_PRIORITY_VALUE

THRESHOLD_EXPIRY_MS = 1_000.0
PROBE_SHARE = 0.02


@dataclass(slots=True)
class _LearnedThreshold:
    threshold: int
    expires_at_ms: float


class DownstreamThresholds:
    """Thresholds per operation, learned from the responses to its calls.

    A response carries the lowest threshold of its instance and of the services
    that the operation calls, so the entry node learns of overload at any depth.

    :param clock: monotonic clock
    :param rng: selects the calls that pass as probes in spite of a threshold, which
        keeps the thresholds up to date
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._thresholds: dict[str, _LearnedThreshold] = {}

    def learn(self, operation: str, threshold: int) -> None:
        """Store the threshold carried by a response.

        :param operation: full name of the operation
        :param threshold: greatest priority value that is still admitted
        """
        expires_at_ms = self._clock.now_ms() + THRESHOLD_EXPIRY_MS
        self._thresholds[operation] = _LearnedThreshold(threshold, expires_at_ms)

    def threshold(self, operation: str) -> int:
        """Return the greatest priority value that an operation still admits.

        :param operation: full name of the operation
        """
        learned = self._thresholds.get(operation)
        if learned is None or learned.expires_at_ms <= self._clock.now_ms():
            return MAX_PRIORITY_VALUE
        return learned.threshold

    def admits(self, operation: str, priority: int) -> bool:
        """Return whether to send a call; a few refused ones pass as probes.

        :param operation: full name of the operation
        :param priority: priority of the call
        """
        return priority <= self.threshold(operation) or self._rng.random() < PROBE_SHARE

    def state(self) -> dict[str, int]:
        """Return the thresholds in effect for a diagnostic dump."""
        return {name: self.threshold(name) for name in self._thresholds}


def make_downstream_thresholds(
    clock: Clock, rng: random.Random
) -> DownstreamThresholds:
    """Return downstream thresholds without entries.

    :param clock: monotonic clock
    :param rng: random source
    """
    return DownstreamThresholds(clock, rng)
