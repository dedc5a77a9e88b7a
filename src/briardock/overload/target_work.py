"""Work of a target, as the node beside it measures and publishes it.

Load patterns: targets whose speed differs or changes within a run, and targets that
slow down when nearly full (``tests/test_overload_completion.py``). Only the node
beside a target sees every run, so it measures work and tells the senders the result.
"""

from dataclasses import dataclass

from briardock.overload.cost import (
    CostTable,
    Kind,
    KneeMeter,
    RemainingWork,
    WorkClock,
)

# Time for which the delay of the next start is not computed again, s.
DELAY_REFRESH_S = 0.005


@dataclass(frozen=True, slots=True)
class RunWork:
    """Work of one request that has run.

    :param work_s: as measured
    :param expected_s: as this target expects it of such requests
    """

    work_s: float
    expected_s: float


@dataclass(frozen=True, slots=True)
class WorkReport:
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
class _Run:
    """A running request.

    :param kind: what tells it apart
    :param expected_s: its expected work
    :param started_s: time of its start
    :param occupancy: share of the slots that were busy at its start
    """

    kind: Kind
    expected_s: float
    started_s: float
    occupancy: float


class TargetWork:
    """Work of the requests of one target; it has none until a slowness was read."""

    def __init__(self) -> None:
        self.is_measured = False
        self.costs = CostTable()
        self._clock = WorkClock()
        self._remaining = RemainingWork()
        self._knee = KneeMeter()
        self._runs: dict[int, _Run] = {}
        self._delay_s = 0.0
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
        distribution = self.costs.distribution(kind, now)
        self._remaining.start(key, distribution, self._clock.work_s(now))
        expected_s = self.costs.expected_s(kind, now)
        self._runs[key] = _Run(kind, expected_s, now, running / max(1, slots))

    def end(self, key: int, succeeded: bool, now: float) -> RunWork | None:
        """Remove a request; return its work if it has run to its end.

        :param key: identifies it
        :param succeeded: whether it ran to its end
        :param now: current time in s since boot
        """
        work_s = self._remaining.end(key, self._clock.work_s(now))
        run = self._runs.pop(key, None)
        if run is None or not succeeded:
            return None
        self.costs.record(run.kind, work_s, now)
        self._knee.record_run(run.occupancy, (now - run.started_s) / run.expected_s)
        return RunWork(work_s, self.costs.expected_s(run.kind, now))

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
        room = min(usable, int(slots * self._knee.room_share())) - in_flight
        return WorkReport(delay_s, room, slowness, run)
