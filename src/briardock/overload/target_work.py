"""Work of a target, as the node beside it measures and publishes it.

Load patterns: targets whose speed differs or changes within a run, and targets that
slow down when nearly full (``tests/test_overload_completion.py``). Only the node
beside a target sees every run, so it measures work and tells the senders the result.
"""

from dataclasses import dataclass
from typing import NamedTuple

from briardock.overload.cost import (
    MIN_WORK_S,
    CostTable,
    Kind,
    Known,
    RemainingWork,
    WorkClock,
)
from briardock.overload.knee import KneeMeter

# Time for which the delay of the next start is not computed again, s.
DELAY_REFRESH_S = 0.005
# Runs that are all recorded; later only one of some is, to save processor time.
EARLY_RUNS = 200
RECORDED_RATIO = 2
# Weight of the newest run in the mean work.
MEAN_WEIGHT = 0.02
# Delay, in mean run times, as which a start past the knee counts.
KNEE_COST = 1.0


class RunWork(NamedTuple):
    """Work of one request that has run.

    :param work_s: as measured
    :param expected_s: as this target expects it of such requests, 0 if that is
        not precise
    """

    work_s: float
    expected_s: float


class WorkReport(NamedTuple):
    """State of a target at the time of a response.

    :param start_delay_s: expected time until one more request would start
    :param room: requests that may start before one waits or slows the others down;
        negative if there are too many
    :param slowness: ratio of the run time of work to the usual one
    :param run: work of the request that the response belongs to, if it ran
    """

    start_delay_s: float
    room: int
    slowness: float
    run: RunWork | None = None


@dataclass(slots=True)
class Run:
    """A request that runs or has run.

    :param kind: what tells it apart
    :param known: what is known of such requests
    :param started_s: time of its start
    :param occupancy: share of the slots that were busy at its start
    :param work_s: its work, once it has ended
    :param run_time_s: how long it took, once it has ended
    """

    kind: Kind
    known: Known
    started_s: float
    occupancy: float
    work_s: float = 0.0
    run_time_s: float = 0.0


class TargetWork:
    """Work of the requests of one target; it has none until a slowness was read."""

    def __init__(self) -> None:
        self.is_measured = False
        self.costs = CostTable()
        self._clock = WorkClock()
        self._remaining = RemainingWork()
        self._knee = KneeMeter()
        self._runs: dict[int, Run] = {}
        self._delay_s = 0.0
        self._mean_work_s = 0.0
        self._recorded = 0
        self._delay_updated_s = 0.0

    def read(self, slowness: float, now: float) -> None:
        """Record how slow the target is.

        :param slowness: ratio of the run time of work to the usual one
        :param now: current time in s since boot
        """
        self.is_measured = True
        self._clock.read(slowness, now)

    def wait(self, key: int, kind: Kind, now: float) -> None:
        """Add a request that waits for a slot.

        :param key: identifies it
        :param kind: what tells it apart
        :param now: current time in s since boot
        """
        self._remaining.wait(key, self.costs.expected_s(kind, now))

    def start(self, key: int, kind: Kind, running: int, slots: int, now: float) -> None:
        """Count a request as running.

        :param key: identifies it
        :param kind: what tells it apart
        :param running: requests that run, with this one
        :param slots: slots of the target
        :param now: current time in s since boot
        """
        known = self.costs.lookup(kind, now)
        self._remaining.start(key, known.distribution, self._clock.work_s(now))
        self._runs[key] = Run(kind, known, now, running / max(1, slots))

    def end(self, key: int, now: float) -> Run | None:
        """Remove a request that no longer waits or runs; return its run, if any.

        :param key: identifies it
        :param now: current time in s since boot
        """
        if not self.is_measured:
            return None
        work_s = self._remaining.end(key, self._clock.work_s(now))
        run = self._runs.pop(key, None)
        if run is not None:
            run.work_s, run.run_time_s = max(MIN_WORK_S, work_s), now - run.started_s
        return run

    def record(self, run: Run | None, now: float) -> RunWork | None:
        """Learn from a run that was not cut short; return its work.

        :param run: run that has ended, ``None`` if it was not measured
        :param now: current time in s since boot
        """
        if run is None:
            return None
        self._recorded += 1
        if self._recorded < EARLY_RUNS or self._recorded % RECORDED_RATIO == 0:
            self.costs.record(run.kind, run.work_s, now)
        weight = MEAN_WEIGHT if self._mean_work_s else 1.0
        self._mean_work_s += weight * (run.work_s - self._mean_work_s)
        known = run.known
        if known.is_regular:
            self._knee.record_run(run.occupancy, run.run_time_s / known.mean_s)
        return RunWork(run.work_s, known.mean_s if known.is_precise else 0.0)

    def report(
        self, slots: int, usable: int, in_flight: int, now: float, run: RunWork | None
    ) -> WorkReport:
        """Return what a response tells the sender.

        :param slots: slots of the target
        :param usable: requests that the target is given at once
        :param in_flight: requests running and waiting
        :param now: current time in s since boot
        :param run: work of the request that the response belongs to
        """
        slowness = self._clock.slowness(now)
        delay_s = 0.0
        if in_flight >= usable:
            if now - self._delay_updated_s > DELAY_REFRESH_S:
                self._delay_updated_s = now
                self._delay_s = self._remaining.start_delay_s(
                    usable, self._clock.work_s(now), slowness
                )
            delay_s = self._delay_s
        room = min(usable, int(slots * self._knee.room_share)) - in_flight
        if room <= 0 and in_flight < usable:
            # One more slows down all that run.
            delay_s = KNEE_COST * slowness * self._mean_work_s
        return WorkReport(delay_s, room, slowness, run)
