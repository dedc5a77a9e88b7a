"""Expected service time of each operation: the time a request holds a slot."""

import math
from dataclasses import dataclass

MIN_SAMPLE_WEIGHT = 0.05
# The mean decays with the time between samples. After a pause a single sample
# weighs much, so that a few probes show the end of a slowdown.
DECAY_TIME_MS = 300.0
PROBE_INTERVAL_MS = 500.0
MAX_OPERATIONS = 4_096


@dataclass(slots=True)
class _Estimate:
    mean_ms: float
    sampled_at_ms: float
    probed_at_ms: float = -math.inf


class ServiceTimes:
    """Time-weighted mean service times by operation."""

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimate] = {}

    def record(self, operation: str, service_time_ms: float, now_ms: float) -> None:
        """Add one finished request.

        :param operation: full name of the operation
        :param service_time_ms: time from admission to release in ms
        :param now_ms: time of the release in ms
        """
        estimate = self._estimates.get(operation)
        if estimate is None:
            if len(self._estimates) < MAX_OPERATIONS:
                self._estimates[operation] = _Estimate(service_time_ms, now_ms)
            return
        gap_ms = now_ms - estimate.sampled_at_ms
        weight = max(MIN_SAMPLE_WEIGHT, 1.0 - math.exp(-gap_ms / DECAY_TIME_MS))
        estimate.mean_ms += weight * (service_time_ms - estimate.mean_ms)
        estimate.sampled_at_ms = now_ms

    def expected_ms(self, operation: str) -> float:
        """Return the expected service time in ms; 0 without samples."""
        estimate = self._estimates.get(operation)
        return estimate.mean_ms if estimate is not None else 0.0

    def will_miss_deadline(
        self, operation: str, remaining_ms: float, now_ms: float
    ) -> bool:
        """Return whether a request is expected to miss its deadline.

        One request per interval passes in spite of the estimate, because only
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
        if now_ms - estimate.probed_at_ms < PROBE_INTERVAL_MS:
            return True
        estimate.probed_at_ms = now_ms
        return False
