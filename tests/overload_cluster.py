"""Senders and targets in simulated time, for tests of the choice of an instance."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from briardock.mesh.members import MemberTable
from briardock.overload.attempts import Attempts, Busy, Outcome, Succeeded
from briardock.overload.cost import request_kind
from briardock.overload.placement import Balancer
from briardock.overload.retries import RetryBudget
from briardock.overload.target_work import RunWork, TargetWork
from briardock.overload.waiting import Waiting, should_hand_on, usable_slots
from mesh_builders import record

HOP_S = 0.001
SPEED_PERIOD_S = 0.6


def as_usual(target: int, now: float) -> float:
    return 1.0


@dataclass(frozen=True)
class Pattern:
    """Load pattern.

    :param senders: number of nodes that send
    :param targets: number of targets
    :param slots: slots of each
    :param load: demand as share of the capacity at usual speed
    :param paths: path, share and work in s of each kind of request
    :param slowness: of a target, as it reports it, at a time
    :param pace: ratio of the run times of a target, which it does not report
    :param knee: occupancy above which runs at every other target take longer, as it
        reports
    :param knee_factor: how much longer
    :param knee_reported: whether the slowness that they report shows it
    :param duration_s: length of the run; the first fifth does not count
    """

    senders: int = 12
    targets: int = 8
    slots: int = 8
    load: float = 0.6
    paths: tuple[tuple[bytes, float, float], ...] = ((b"/a/1", 1.0, 0.05),)
    slowness: Callable[[int, float], float] = as_usual
    pace: Callable[[int, float], float] = as_usual
    knee: float = 2.0
    knee_factor: float = 1.6
    knee_reported: bool = True
    duration_s: float = 8.0


@dataclass
class _Job:
    attempts: Attempts
    path: bytes
    work_s: float
    arrived_s: float
    sender: int
    target: int = 0
    run: RunWork | None = None


@dataclass
class _Target:
    work: TargetWork = field(default_factory=TargetWork)
    running: int = 0
    queue: list[_Job] = field(default_factory=list)
    service_time_s: float = 0.05


class Cluster:
    """Replays a pattern; ``times_s`` are the response times.

    :param pattern: load pattern
    :param by_work: whether targets report how slow they are
    :param seed: seed of the demand and of the choices
    """

    def __init__(self, pattern: Pattern, by_work: bool, seed: int) -> None:
        self.pattern, self.by_work = pattern, by_work
        # Demand and choices have a source each, so that the demand is the same.
        self._rng = random.Random(seed)
        members = MemberTable(record("own", service="portal"))
        self._records = [
            record(f"n{i}", address=f"10.0.1.{i}:1", slots=pattern.slots)
            for i in range(pattern.targets)
        ]
        for item in self._records:
            members.merge(item)
        self._balancers = [
            Balancer(members, "d1", random.Random(f"{seed}.{i}"))
            for i in range(pattern.senders)
        ]
        self._targets = [_Target() for _ in range(pattern.targets)]
        self._events: list[
            tuple[float, int, Callable[..., None], tuple[_Job, ...]]
        ] = []
        self._numbers = itertools.count()
        self.now = 100.0
        self.times_s: list[float] = []
        self.runs = [0] * pattern.targets
        mean_s = sum(share * work_s for _, share, work_s in pattern.paths)
        self._per_s = pattern.load * pattern.targets * pattern.slots / mean_s

    def _after(self, delay_s: float, step: Callable[..., None], *job: _Job) -> None:
        number = next(self._numbers)
        heapq.heappush(self._events, (self.now + delay_s, number, step, job))

    def play(self) -> "Cluster":
        """Run the pattern to its end."""
        end_s = self.now + self.pattern.duration_s
        self._after(0.0, self._enter)
        while self._events and self.now < end_s:
            self.now, _, step, job = heapq.heappop(self._events)
            step(*job)
        return self

    def _enter(self) -> None:
        self._after(self._rng.expovariate(self._per_s), self._enter)
        shares = [share for _, share, _ in self.pattern.paths]
        path, _, mean_s = self._rng.choices(self.pattern.paths, shares)[0]
        work_s = mean_s * self._rng.lognormvariate(-0.045, 0.3)
        sender = self._rng.randrange(self.pattern.senders)
        kind = request_kind("r", path, 0) if self.by_work else None
        budget = RetryBudget(0.2, 100.0, 10.0)
        attempts = Attempts(self._balancers[sender], budget, "jobs", True, 2, kind)
        self._send(_Job(attempts, path, work_s, self.now, sender))

    def _send(self, job: _Job) -> None:
        chosen = job.attempts.choose(self.now)
        assert chosen is not None
        self._balancers[job.sender].record_start(chosen.node_id, self.now)
        job.target = int(chosen.node_id[1:])
        self._after(HOP_S, self._arrive, job)

    def _arrive(self, job: _Job) -> None:
        target, usable = self._targets[job.target], usable_slots(self.pattern.slots)
        if target.running < usable:
            self._start(job)
            return
        waiting = Waiting(0, True, self.now + 30.0, job.attempts.may_hand_on)
        queued = len(target.queue)
        if should_hand_on(waiting, queued, usable, target.service_time_s):
            self._respond(job, Busy())
            return
        target.queue.append(job)
        target.work.wait(id(job), request_kind("t", job.path, 0), self.now)

    def _start(self, job: _Job) -> None:
        target, slots = self._targets[job.target], self.pattern.slots
        target.running += 1
        kind = request_kind("t", job.path, 0)
        target.work.start(id(job), kind, target.running, slots, self.now)
        left_s = job.work_s * self.pattern.pace(job.target, self.now - 100.0)
        if not self.pattern.knee_reported:
            left_s *= self._knee_factor(job.target)
        end_s = self.now
        while left_s > 0:
            slowness = self._slowness(job.target, end_s)
            step_s = min(left_s * slowness, 0.05)
            left_s -= step_s / slowness
            end_s += step_s
            if left_s < 1e-9:
                break
        self._after(end_s - self.now, self._end, job)

    def _knee_factor(self, target: int) -> float:
        busy = self._targets[target].running / self.pattern.slots
        is_past = busy > self.pattern.knee and target % 2
        return self.pattern.knee_factor if is_past else 1.0

    def _slowness(self, target: int, now: float) -> float:
        factor = self._knee_factor(target) if self.pattern.knee_reported else 1.0
        return factor * self.pattern.slowness(target, now - 100.0)

    def _end(self, job: _Job) -> None:
        target = self._targets[job.target]
        if self.by_work:
            target.work.read(self._slowness(job.target, self.now), self.now)
        target.running -= 1
        self.runs[job.target] += 1
        job.run = target.work.record(target.work.end(id(job), self.now), self.now)
        if target.queue:
            self._start(target.queue.pop(0))
        self._respond(job, Succeeded())

    def _respond(self, job: _Job, outcome: Outcome) -> None:
        target, slots = self._targets[job.target], self.pattern.slots
        in_flight, sent_s = target.running + len(target.queue), self.now
        report = target.work.report(
            slots, usable_slots(slots), in_flight, self.now, job.run
        )

        def receive() -> None:
            balancer, chosen = self._balancers[job.sender], self._records[job.target]
            balancer.record_end(chosen.node_id)
            if isinstance(outcome, Busy):
                balancer.record_busy(chosen.node_id, in_flight, self.now)
            else:
                balancer.record_response(
                    chosen.node_id, self.now - sent_s, in_flight, False, self.now
                )
            if self.by_work:
                balancer.record_work(chosen, report, job.attempts.kind, self.now)
            if job.attempts.record(chosen, outcome, False, 1, self.now):
                self._send(job)
            elif job.arrived_s > 100.0 + self.pattern.duration_s / 5:
                self.times_s.append(self.now - job.arrived_s)

        self._after(HOP_S, receive)

    def quantile_s(self, share: float) -> float:
        """Return a quantile of the response times."""
        ordered = sorted(self.times_s)
        return ordered[int(share * (len(ordered) - 1))]

    def share_within(self, limit_s: float) -> float:
        """Return the share of the responses within a time."""
        return sum(time_s <= limit_s for time_s in self.times_s) / len(self.times_s)
