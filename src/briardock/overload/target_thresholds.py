"""Admission thresholds of one target, for callers' requests and for calls.

Load pattern: less important requests that enter at a service, and calls that more
important requests of other routes make there (``tests/test_overload_admission.py``).
"""

import math
from collections.abc import Mapping
from types import MappingProxyType

from briardock.overload.admission import OPEN_THRESHOLD, TargetThreshold, Usage

# Share of the capacity up to which callers' requests are a minor load. Those that wait
# behind the calls of more important requests cost these little.
MINOR_CAPACITY_SHARE = 0.3
# Priorities by which the threshold for minor callers' requests lies above that for
# calls: the share admitted is at most that of the next more important calls plus 0.05.
# Refused before all of those, 0.28 of the hazard checks in overload-4.ini were refused
# for 0.06 of the certificates.
MINOR_MARGIN = 1.05
# Weight of the newest control period in the load by callers' requests.
CALLER_LOAD_WEIGHT = 0.1
# Weight of the newest run in the mean run times.
RUN_TIME_WEIGHT = 0.02

# Rank of a request, and whether it was sent by a caller rather than a target.
RankOfSender = tuple[int, bool]


class _MeanRunTime:
    """Moving average of run times; the first ones weigh alike."""

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.count = 0

    def record(self, run_time_s: float) -> None:
        """Record one run.

        :param run_time_s: time for which it held its slot
        """
        self.count += 1
        weight = max(RUN_TIME_WEIGHT, 1.0 / self.count)
        self.mean_s += weight * (run_time_s - self.mean_s)


class TargetThresholds:
    """Admission thresholds of the local target for callers' requests and for calls.

    Callers' requests go before calls of the same priority in the queue, so calls in
    excess of the capacity do not limit more important callers' requests. Those that are
    not more important than what is refused are limited with the calls: on their own
    they would take the whole capacity, and requests that only make a call here would be
    refused for less important ones. A minor load of callers is limited less, unless
    there are calls of its own level, which its requests precede in the queue.

    The rank of a call is that of the route called, and the request that makes it may be
    more or less important. Calls therefore always count as admitted.
    """

    def __init__(self) -> None:
        self._all = TargetThreshold()
        self._callers = TargetThreshold()
        # Least important rank of callers' requests since all were admitted; those
        # that are refused no longer arrive.
        self._least_important = -1
        # Levels of calls in the same time.
        self._call_levels: set[int] = set()
        self._ranks_per_level = 1
        # Share of the capacity that callers' requests use, the slot time of those that
        # ended in this control period, and whether the share was small since all were
        # admitted; it is smaller while they are limited.
        self._caller_load = 0.0
        self._caller_run_s = 0.0
        self._callers_are_minor = True
        # Arrivals in this control period by rank and whether they are of callers.
        self._arrivals: dict[RankOfSender, int] = {}
        self._run_time, self._caller_run_time = _MeanRunTime(), _MeanRunTime()
        self._call_run_time = _MeanRunTime()

    def record_arrival(self, rank: int, from_caller: bool) -> None:
        """Record the arrival of a request.

        :param rank: rank by the priorities of its account and its route
        :param from_caller: whether it was sent by a caller rather than a target
        """
        key = rank, from_caller
        self._arrivals[key] = self._arrivals.get(key, 0) + 1

    def record_run(self, from_caller: bool, run_time_s: float) -> None:
        """Record a run that has ended.

        :param from_caller: whether its request was sent by a caller
        :param run_time_s: time for which it held its slot
        """
        self._run_time.record(run_time_s)
        if from_caller:
            self._caller_run_time.record(run_time_s)
            self._caller_run_s += run_time_s
        else:
            self._call_run_time.record(run_time_s)

    def update(
        self,
        usage: Usage,
        caller_usage: Usage,
        max_threshold: float,
        ranks_per_level: int = 1,
        queued: Mapping[RankOfSender, int] = MappingProxyType({}),
    ) -> None:
        """Update the thresholds after one control period.

        :param usage: load of the target in the period
        :param caller_usage: load by callers' requests
        :param max_threshold: threshold above all priorities
        :param ranks_per_level: ranks that make up one unit of a threshold
        :param queued: requests in the queue by rank and whether they are of callers
        """
        self._ranks_per_level = ranks_per_level
        for rank, from_caller in self._arrivals:
            if from_caller:
                self._least_important = max(self._least_important, rank)
            else:
                self._call_levels.add(rank // ranks_per_level)
        admissible = self._admissible_usage(usage, max_threshold, queued)
        self._update_caller_load(usage)
        self._all.update(usage, max_threshold, admissible)
        self._callers.update(caller_usage, max_threshold)
        self._arrivals.clear()
        if self._all.value >= OPEN_THRESHOLD:
            self._least_important = -1
            self._call_levels.clear()
            self._callers_are_minor = True

    def value(self, from_caller: bool) -> float:
        """Return a threshold.

        :param from_caller: whether it is for callers' requests or for calls
        """
        limit = self._all.value
        if not from_caller:
            return limit
        if self._least_important < math.floor(limit * self._ranks_per_level):
            return self._callers.value
        level = self._least_important // self._ranks_per_level
        if self._callers_are_minor and level not in self._call_levels:
            limit += MINOR_MARGIN
        return min(self._callers.value, limit)

    def _update_caller_load(self, usage: Usage) -> None:
        """Update the share of the slot time that callers' requests use.

        Arrivals do not show it: a request that waits in vain arrives at several
        instances.
        """
        slots = usage.capacity_per_s * (self._run_time.mean_s or 1.0)
        load = self._caller_run_s / usage.elapsed_s / slots
        self._caller_run_s = 0.0
        self._caller_load += CALLER_LOAD_WEIGHT * (load - self._caller_load)
        if self._caller_load > MINOR_CAPACITY_SHARE:
            self._callers_are_minor = False

    def _admissible_usage(
        self,
        usage: Usage,
        max_threshold: float,
        queued: Mapping[RankOfSender, int],
    ) -> Usage:
        """Return the load without callers' requests that are refused completely."""
        threshold = min(self._all.value, max_threshold)
        first_refused = math.ceil(threshold) * self._ranks_per_level

        if not any(
            from_caller and rank >= first_refused
            for rank, from_caller in (*self._arrivals, *queued)
        ):
            return usage
        return Usage(
            usage.elapsed_s,
            self._admissible(self._arrivals, usage.arrivals, first_refused),
            usage.capacity_per_s,
            self._admissible(queued, usage.queued, first_refused),
        )

    def _admissible(
        self, counts: Mapping[RankOfSender, int], total: float, first_refused: int
    ) -> float:
        """Return requests without refused callers, as multiples of the mean one."""
        unknown = total - sum(counts.values())
        return unknown + sum(
            count * self._relative_run_time(from_caller)
            for (rank, from_caller), count in counts.items()
            if not from_caller or rank < first_refused
        )

    def _relative_run_time(self, from_caller: bool) -> float:
        """Return the mean run time of callers' requests or calls by that of all."""
        of_kind = self._caller_run_time if from_caller else self._call_run_time
        if not of_kind.mean_s:
            return 1.0
        return of_kind.mean_s / self._run_time.mean_s
