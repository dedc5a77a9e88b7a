"""Admission thresholds that let entry nodes refuse what a deeper service cannot run.

A threshold is a priority plus the share of the requests of that priority to admit.
The node beside a target lowers its threshold while the target is overloaded.
Responses carry the thresholds back along the call chain, and the node at which a
caller's request enters refuses requests above the lowest one.
"""

import math
from dataclasses import dataclass
from zlib import crc32

# Set point of the control loop. The remaining headroom absorbs variation of arrivals;
# a backlog is tolerable because the queue serves the oldest requests first.
TARGET_UTILIZATION = 0.97
# Time in which the backlog is to be drained, s, and the largest share of the capacity
# reserved for it.
BACKLOG_DRAIN_S = 0.3
MAX_BACKLOG_SHARE = 0.8
# Period of the control loop, s.
CONTROL_PERIOD_S = 0.15
# Dead time of the control loop, s: a request takes this long from its entry through
# the chain to the deepest service. More recent changes of the threshold count as
# effective already, so that the loop does not react twice to one cause.
FEEDBACK_DELAY_S = 1.05
# Assumed utilization caused by the requests of one priority. The loop reacts more
# slowly or faster if the actual utilization differs.
PRIORITY_UTILIZATION = 0.85
# Share of the excess load, and of the headroom, corrected in one control period.
# Lowering is faster: queued requests fail in large numbers, refused ones come back.
LOWER_GAIN = 0.8
RAISE_GAIN = 0.3
# Time constant of the moving average of the utilization, s.
UTILIZATION_TIME_S = 0.25
# Time for which queued requests wait at most before the threshold is lowered, s. Calls
# of chains arrive in bursts, which a short queue takes up.
TOLERATED_WAIT_S = 0.06
# Utilization from which more arrives than a burst, whether or not requests are queued.
BURST_UTILIZATION = 1.3
# Control periods after a whole priority is refused in which the next priority is not
# affected, while the requests admitted before complete.
BOUNDARY_SETTLING_PERIODS = 10
# Weights of the newest control period in the recent and the baseline demand.
RECENT_DEMAND_WEIGHT = 0.5
BASELINE_DEMAND_WEIGHT = 0.04
# Standard deviations of the recent demand by which it exceeds the baseline in a surge.
SIGNIFICANT_DEVIATIONS = 2.0
# Threshold at which everything is admitted.
OPEN_THRESHOLD = 1_000.0


def admitted_share(priority: int, threshold: float, baseline_ratio: float) -> float:
    """Return the share of the requests of a priority to admit, from 0 to 1.

    :param priority: priority of the requests
    :param threshold: admission threshold of their service
    :param baseline_ratio: baseline demand by recent demand at this entry node
    """
    share = threshold - priority
    if share >= 1.0:
        return 1.0
    return max(0.0, share * baseline_ratio)


def is_sampled(request_id: bytes, share: float) -> bool:
    """Return whether a request belongs to a share of all requests.

    :param request_id: id of the caller's attempt
    :param share: the share, from 0 to 1
    """
    return crc32(request_id) / 2**32 < share


@dataclass(frozen=True, slots=True)
class Usage:
    """Load of a target in one control period.

    :param elapsed_s: length of the period
    :param arrivals: requests that arrived for the target, as multiples of a request
        with the mean run time
    :param capacity_per_s: requests that it completes while all its slots are in use
    :param queued: requests queued at the end of the period, counted in the same way
    """

    elapsed_s: float
    arrivals: float
    capacity_per_s: float
    queued: float

    @property
    def arrival_utilization(self) -> float:
        """Arrivals by capacity."""
        return self.arrivals / self.elapsed_s / self.capacity_per_s

    @property
    def backlog_share(self) -> float:
        """Share of the capacity needed to drain the backlog in time."""
        needed = self.queued / BACKLOG_DRAIN_S / self.capacity_per_s
        return min(MAX_BACKLOG_SHARE, needed)


class DemandMeter:
    """Recent and baseline demand of callers for one service at this entry node.

    A threshold admits a share of the demand. Scaling the share by the baseline demand
    turns it into a rate, so that a surge does not reach the services before their
    thresholds have adapted.
    """

    def __init__(self) -> None:
        self._arrivals = 0
        self._recent = 0.0
        self._baseline = 0.0

    def record(self) -> None:
        """Count a caller's request."""
        self._arrivals += 1

    def update(self) -> None:
        """Update the averages after a control period."""
        arrivals, self._arrivals = self._arrivals, 0
        self._recent += RECENT_DEMAND_WEIGHT * (arrivals - self._recent)
        # Starting at the demand of the first period makes an entry node ramp up over
        # seconds if the services are overloaded when its demand begins.
        if self._baseline == 0.0:
            self._baseline = self._recent
        self._baseline += BASELINE_DEMAND_WEIGHT * (self._recent - self._baseline)

    @property
    def baseline_ratio(self) -> float:
        """Baseline demand by recent demand, at most 1."""
        # At a few requests a second the recent demand varies by more than a surge.
        variance = self._baseline * RECENT_DEMAND_WEIGHT / (2.0 - RECENT_DEMAND_WEIGHT)
        usual = self._baseline + SIGNIFICANT_DEVIATIONS * math.sqrt(variance)
        return 1.0 if self._recent <= usual else usual / self._recent


class TargetThreshold:
    """Admission threshold of the local target, set by a control loop.

    It starts by refusing the least important priority and rises while there is
    headroom.
    """

    def __init__(self) -> None:
        self.value = OPEN_THRESHOLD
        # Boundary between priorities that was reached last, and the remaining control
        # periods in which the threshold does not fall below it.
        self._boundary = -1.0
        self._settling_periods = 0
        self._last_queued = 0.0
        self._started = False
        self._utilization = 0.0
        self._admissible_utilization = 0.0
        # Age in s and size of the changes that do not affect the arrivals yet.
        self._pending_changes: list[tuple[float, float]] = []

    def update(
        self,
        usage: Usage,
        max_threshold: float,
        admissible: Usage | None = None,
    ) -> None:
        """Update the threshold after one control period.

        :param usage: load of the target in the period
        :param max_threshold: threshold above all priorities
        :param admissible: part of the load that belongs to priorities which are not
            refused completely; ``None`` for all of it
        """
        admissible = usage if admissible is None else admissible
        if not self._started:
            # After a restart of all nodes the callers reconnect at once to targets
            # that are still cold, and one open instance would open its whole service.
            self._started = True
            self.value = max_threshold - min(1.0, max_threshold / 2)
            self._utilization = usage.arrival_utilization
            self._admissible_utilization = admissible.arrival_utilization
        current = min(self.value, max_threshold)
        change = self._compute_change(usage, admissible)
        # One priority is refused completely before the next one is affected.
        floor = math.ceil(current) - 1.0
        self._settling_periods = max(0, self._settling_periods - 1)
        if self._settling_periods and current == self._boundary:
            floor = current
        updated = max(0.0, floor, min(max_threshold, current + change))
        if updated == floor < current:
            self._boundary = floor
            self._settling_periods = BOUNDARY_SETTLING_PERIODS
        if updated != current:
            self._pending_changes.append((0.0, updated - current))
        self.value = OPEN_THRESHOLD if updated >= max_threshold else updated

    def _compute_change(self, usage: Usage, admissible: Usage) -> float:
        """Return the change that matches the arrivals to the target's capacity."""
        utilization = usage.arrival_utilization
        weight = 1.0 - math.exp(-usage.elapsed_s / UTILIZATION_TIME_S)
        self._utilization += weight * (utilization - self._utilization)
        self._admissible_utilization += weight * (
            admissible.arrival_utilization - self._admissible_utilization
        )
        backlog_shrinking = usage.queued < self._last_queued and utilization <= 1.0
        self._last_queued = usage.queued
        aged = [
            (age_s + usage.elapsed_s, size) for age_s, size in self._pending_changes
        ]
        self._pending_changes = [item for item in aged if item[0] < FEEDBACK_DELAY_S]
        pending = sum(size for _, size in self._pending_changes)
        settled = TARGET_UTILIZATION - PRIORITY_UTILIZATION * pending
        headroom = settled - usage.backlog_share - self._utilization
        # Requests admitted before the threshold was lowered still arrive through the
        # chain. Lowering it further while the backlog shrinks has no benefit.
        is_burst = (
            usage.queued / usage.capacity_per_s < TOLERATED_WAIT_S
            and self._utilization < BURST_UTILIZATION
        )
        if headroom < 0.0 and (backlog_shrinking or is_burst):
            return 0.0
        if headroom < 0.0:
            # What is refused already still arrives or waits for some time. Lowering the
            # threshold further would refuse others for it and remove nothing of it.
            of_admissible = (
                settled - admissible.backlog_share - self._admissible_utilization
            )
            headroom = min(0.0, max(headroom, of_admissible))
        gain = RAISE_GAIN if headroom > 0.0 else LOWER_GAIN
        return gain * headroom / PRIORITY_UTILIZATION
