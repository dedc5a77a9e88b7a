"""Expected time for which requests of an operation hold a slot."""

import math
from dataclasses import dataclass

SAMPLE_WEIGHT = 0.05
# After a pause a single sample counts much, so that the end of a slowdown shows
# in a few probes.
MEMORY_MS = 1_000.0
PROBE_PERIOD_MS = 500.0
MAX_OPERATIONS = 4_096


@dataclass(slots=True)
class _Estimate:
    mean_ms: float
    sampled_at_ms: float
    probed_at_ms: float = -math.inf


class HoldingTimes:
    """Time-weighted means by operation."""

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimate] = {}

    def record(self, operation: str, holding_ms: float, now_ms: float) -> None:
        """Add one finished request.

        :param operation: full name of the operation
        :param holding_ms: time from admission to release in ms
        :param now_ms: time of the release in ms
        """
        estimate = self._estimates.get(operation)
        if estimate is None:
            if len(self._estimates) < MAX_OPERATIONS:
                self._estimates[operation] = _Estimate(holding_ms, now_ms)
            return
        gap_ms = now_ms - estimate.sampled_at_ms
        weight = max(SAMPLE_WEIGHT, 1.0 - math.exp(-gap_ms / MEMORY_MS))
        estimate.mean_ms += weight * (holding_ms - estimate.mean_ms)
        estimate.sampled_at_ms = now_ms

    def expected_ms(self, operation: str) -> float:
        """Return the expected time in ms, 0 while nothing is known."""
        estimate = self._estimates.get(operation)
        return estimate.mean_ms if estimate is not None else 0.0

    def is_doomed(self, operation: str, remaining_ms: float, now_ms: float) -> bool:
        """Return whether a request is expected to miss its deadline.

        One request per period passes in spite of the estimate, because only
        finished requests can show that the operation has become faster.

        :param operation: full name of the operation
        :param remaining_ms: time to the deadline in ms
        :param now_ms: current time in ms
        """
        if remaining_ms <= 0.0:
            return True
        estimate = self._estimates.get(operation)
        if estimate is None or estimate.mean_ms < remaining_ms:
            return False
        if now_ms - estimate.probed_at_ms < PROBE_PERIOD_MS:
            return True
        estimate.probed_at_ms = now_ms
        return False
