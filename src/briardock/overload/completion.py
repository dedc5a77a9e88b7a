"""Expected completion of a request at each instance, from what the nodes there publish.

Load patterns: unequal and changing speeds, heavy and light requests on one route, and
stale reports that many senders have of the same free target
(``tests/test_overload_completion.py``).
"""

import math
from dataclasses import dataclass

from briardock.mesh.members import NodeRecord
from briardock.overload.cost import CostTable, Kind
from briardock.overload.instance_stats import InstanceStats
from briardock.overload.target_work import WorkReport

# Age at which a report counts half against what is usual, s.
HALF_TRUST_AGE_S = 0.5
# Weight of the newest report in what is usual for the instance and the service.
INSTANCE_WEIGHT = 0.05
SERVICE_WEIGHT = 0.02
# Weight of the newest run in the pace of an instance, and the time constant with which
# it is forgotten: an instance that is avoided has to be tried again.
PACE_WEIGHT = 0.1
PACE_FORGETTING_S = 20.0
# Runs of an instance that are all recorded; later only one of some is, to save
# processor time.
EARLY_RUNS = 20
RECORDED_RATIO = 3
# Logarithm of the pace below which it is taken for noise.
PACE_NOISE = 0.15
# Largest ratio by which one run changes the pace.
MAX_PACE = 8.0
# Share of the run time that is added at full occupancy. Other senders fill a target
# before the next report arrives, the sooner the fuller it is.
OCCUPANCY_COST = 0.5
# Factor added to the expected completion at an instance whose responses are failures.
FAILURE_PENALTY = 2.0
# Share of failures from which it is added.
MIN_FAILURE_RATIO = 0.001
# Ratio to the usual run time up to which no other domain is considered.
SPILLOVER_RATIO = 1.3
# Time by which another domain must be better: an absolute part in s, and a share.
DOMAIN_MARGIN_S = 0.002
DOMAIN_MARGIN_SHARE = 0.05


@dataclass(slots=True)
class _Reported:
    """Newest report of an instance, and what is usual for it.

    :param reported_s: time of the report
    :param in_flight: requests in flight from this node at the report
    :param start_delay_s: expected time until one more request would start
    :param room: requests that may start at once
    :param slowness: ratio of the run time of work to the usual one
    :param usual_slowness: moving average of the slowness
    :param log_pace: logarithm of the ratio of its work to that of other instances
    :param runs: its runs
    :param paces: runs from which the pace was learned
    :param paced_s: time of the last of them
    """

    reported_s: float
    in_flight: int
    start_delay_s: float
    room: int
    slowness: float
    usual_slowness: float
    log_pace: float = 0.0
    runs: int = 0
    paces: int = 0
    paced_s: float = 0.0

    def pace(self, now: float) -> float:
        """Return the ratio of its work to that of other instances."""
        forgetting = 1.0 + (now - self.paced_s) / PACE_FORGETTING_S
        log_pace = self.log_pace / forgetting
        if -PACE_NOISE < log_pace < PACE_NOISE:
            return 1.0
        return math.exp(log_pace)


class ServiceWork:
    """What this node knows of the work at the instances of one service."""

    def __init__(self) -> None:
        self.costs = CostTable()
        # Newest report by node.
        self.reports: dict[str, _Reported] = {}
        # What is usual for the service; the room is a share of the slots.
        self.slowness = 1.0
        self.delay_s = 0.0
        self.room_share = 0.5
        self.mean_work_s = 0.0

    def learn(
        self,
        record: NodeRecord,
        stats: InstanceStats,
        report: WorkReport,
        kind: Kind | None,
        now: float,
    ) -> None:
        """Record the report of a response.

        :param record: instance
        :param stats: observations of it
        :param report: report of the node beside it
        :param kind: kind of the request
        :param now: current time in s since boot
        """
        known = self.reports.get(record.node_id)
        if known is None:
            known = self.reports[record.node_id] = _Reported(
                now, 0, 0.0, 0, 1.0, report.slowness
            )
        known.reported_s, known.in_flight = now, stats.in_flight
        known.start_delay_s, known.room = report.start_delay_s, report.room
        known.slowness = report.slowness
        change = report.slowness - known.usual_slowness
        known.usual_slowness += INSTANCE_WEIGHT * change
        share = report.room / max(1, record.slots)
        self.slowness += SERVICE_WEIGHT * (report.slowness - self.slowness)
        self.delay_s += SERVICE_WEIGHT * (report.start_delay_s - self.delay_s)
        self.room_share += SERVICE_WEIGHT * (share - self.room_share)
        run = report.run
        if run is None or kind is None:
            return
        known.runs += 1
        if known.runs > EARLY_RUNS and known.runs % RECORDED_RATIO:
            return
        usual = self.costs.lookup(kind, now)
        self.costs.record(kind, run.work_s, now)
        weight = SERVICE_WEIGHT if self.mean_work_s else 1.0
        self.mean_work_s += weight * (run.work_s - self.mean_work_s)
        if not usual.is_precise or not run.expected_s:
            return
        ratio = min(MAX_PACE, max(1 / MAX_PACE, run.expected_s / usual.mean_s))
        known.paces += 1
        weight = max(PACE_WEIGHT, 1.0 / (known.paces + 2))
        known.log_pace += weight * (math.log(ratio) - known.log_pace)
        known.paced_s = now

    def forget(self, node_id: str) -> None:
        """Forget an instance that has started again.

        :param node_id: node beside it
        """
        self.reports.pop(node_id, None)

    def estimator(self, kind: Kind | None, now: float) -> "Estimator":
        """Return what compares instances for a request.

        :param kind: kind of the request
        :param now: current time in s since boot
        """
        work_s = self.mean_work_s if kind is None else self.costs.expected_s(kind, now)
        return Estimator(self, work_s, now)


class Estimator:
    """Compares instances for one request.

    :param work: knowledge of the service
    :param work_s: expected work of the request
    :param now: current time in s since boot
    """

    __slots__ = ("_now", "_work", "_work_s", "spillover")

    def __init__(self, work: ServiceWork, work_s: float, now: float) -> None:
        self._work, self._work_s, self._now = work, work_s, now
        # Completion from which other domains are considered.
        self.spillover = SPILLOVER_RATIO * work_s * work.slowness

    def load(self, record: NodeRecord, stats: InstanceStats) -> float:
        """Return the expected time until the request completes, in s.

        :param record: instance
        :param stats: observations of it
        """
        work, now = self._work, self._now
        slots = record.slots or 1
        usual_room = work.room_share * slots
        known = work.reports.get(record.node_id)
        if known is None:
            delay_s, slowness = work.delay_s, work.slowness
            room = usual_room - stats.in_flight
            excess = 1.0 - room
        else:
            trust = HALF_TRUST_AGE_S / (HALF_TRUST_AGE_S + now - known.reported_s)
            delay_s = work.delay_s + trust * (known.start_delay_s - work.delay_s)
            slowness = known.usual_slowness
            slowness += trust * (known.slowness - slowness)
            if known.paces:
                slowness *= known.pace(now)
            room = usual_room + trust * (known.room - usual_room)
            room += known.in_flight - stats.in_flight
            # The reported delay is that of the requests which were there.
            excess = 1.0 - room
            if known.room < 1:
                excess -= 1.0 - known.room
        run_s = self._work_s * slowness
        if excess > 0.0:
            delay_s += excess * work.mean_work_s * slowness / slots
        occupancy = 1.0 - room / slots
        if occupancy > 0.0:
            run_s *= 1.0 + OCCUPANCY_COST * occupancy * occupancy
        failure_ratio = stats.failure_ratio
        if failure_ratio > MIN_FAILURE_RATIO:
            return (delay_s + run_s) * (1.0 + FAILURE_PENALTY * failure_ratio)
        return delay_s + run_s

    def margin(self, load: float) -> float:
        """Return by how much another domain must be better.

        :param load: expected time until the request completes in the local domain
        """
        return DOMAIN_MARGIN_S + DOMAIN_MARGIN_SHARE * load
