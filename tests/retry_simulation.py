"""Chains of calls between nodes in simulated time, with rejections at some hops."""

import random
from bisect import bisect_left, bisect_right
from collections.abc import Generator
from dataclasses import dataclass, field
from typing import Any

import simpy

from briardock.overload.target_retries import TargetRetries

RATIO, SLACK, WINDOW_S = 0.2, 96.0, 10.0
MAX_ATTEMPTS = 2
# Time at which the rejections begin; by then one window is full of requests.
ONSET_S = 12.0
Process = Generator[simpy.Event, Any, bool]


@dataclass(frozen=True, slots=True)
class Hop:
    """One service of the chain.

    :param instances: its instances
    :param calls: sequential calls of a run to the next hop
    :param rejected: share of arrivals that an instance rejects from the onset on
    :param rejecting: share of the instances that do
    :param failed: share of runs that end in a failure of their own from the onset on
    """

    instances: int
    calls: int = 1
    rejected: float = 0.0
    rejecting: float = 1.0
    failed: float = 0.0


@dataclass(slots=True)
class Load:
    """Demand, faults and reports of a simulation.

    :param hops: services in the order in which they are called
    :param entries: nodes without an instance of one of them
    :param per_s: requests per s of callers
    :param later_per_s: the same from the onset on, ``None`` if it stays
    :param report_delay_s: longest delay of a report
    :param lost: share of reports that are lost
    :param lost_from_s: time from which all reports are lost
    :param earlier_release: share of nodes that neither state nor read retries
    :param for_s: duration of the rejections
    """

    hops: list[Hop]
    entries: int = 0
    per_s: float = 60.0
    later_per_s: float | None = None
    report_delay_s: float = 0.0
    lost: float = 0.0
    lost_from_s: float = 1e9
    earlier_release: float = 0.0
    for_s: float = 14.0


@dataclass(slots=True)
class Arrivals:
    """Times of the arrivals at one service."""

    first_s: list[float] = field(default_factory=list)
    retry_s: list[float] = field(default_factory=list)

    def excess(self) -> float:
        """Return by how much the retries of the worst window exceed the bound."""
        worst = -SLACK
        for at_s in self.retry_s:
            for start_s in (at_s, at_s - WINDOW_S):
                end_s = start_s + WINDOW_S
                first = _count(self.first_s, start_s, end_s)
                retries = _count(self.retry_s, start_s, end_s)
                worst = max(worst, retries - RATIO * first - SLACK)
        return worst


def _count(times_s: list[float], start_s: float, end_s: float) -> int:
    return bisect_right(times_s, end_s) - bisect_left(times_s, start_s)


@dataclass(slots=True)
class Node:
    """A node beside an instance of one hop, -1 for none."""

    node_id: str
    hop: int
    retries: TargetRetries
    rejects: bool
    is_earlier: bool


class Chain:
    """Simulation of one load.

    :param load: what is simulated
    :param seed: seed of all random numbers
    """

    def __init__(self, load: Load, seed: int) -> None:
        self.env = simpy.Environment()
        self.rng = random.Random(seed)
        self.load = load
        self.arrivals = [Arrivals() for _ in load.hops]
        self.completed = self.offered = 0
        hop_numbers = [
            n for n, hop in enumerate(load.hops) for _ in range(hop.instances)
        ]
        self.nodes = [
            Node(
                f"n{number}",
                hop,
                TargetRetries(RATIO, SLACK, WINDOW_S),
                False,
                self.rng.random() < load.earlier_release,
            )
            for number, hop in enumerate(hop_numbers + [-1] * load.entries)
        ]
        self.instances = [
            [n for n in self.nodes if n.hop == h] for h in range(len(load.hops))
        ]
        for hop, nodes in zip(load.hops, self.instances, strict=True):
            for node in nodes[: round(hop.rejecting * len(nodes))]:
                node.rejects = True

    def run(self) -> None:
        """Run until some seconds after the rejections."""
        self.env.process(self._callers())
        self.env.run(until=ONSET_S + self.load.for_s + 2.0)

    @property
    def _is_disturbed(self) -> bool:
        return bool(ONSET_S <= self.env.now < ONSET_S + self.load.for_s)

    def _callers(self) -> Generator[simpy.Event, Any, None]:
        load = self.load
        while True:
            later = load.per_s if load.later_per_s is None else load.later_per_s
            per_s = load.per_s if self.env.now < ONSET_S else later
            yield self.env.timeout(self.rng.expovariate(per_s))
            self.env.process(self._caller())

    def _caller(self) -> Generator[simpy.Event, Any, None]:
        self.offered += self._is_disturbed
        disturbed = self._is_disturbed
        succeeded = yield from self._send(self.rng.choice(self.nodes), 0, False, False)
        self.completed += disturbed and succeeded

    def _send(
        self, sender: Node, hop: int, from_target: bool, is_retry: bool
    ) -> Process:
        """Send a request; ``is_retry`` tells whether its sender runs as a retry."""
        retries, name = sender.retries, f"s{hop}"
        retries.record_request(name, from_target, self.env.now)
        budget = retries.budget(name)
        tried: list[Node] = []
        for attempt in range(1, MAX_ATTEMPTS + 1):
            untried = [n for n in self.instances[hop] if n not in tried]
            instance = self.rng.choice(untried or tried)
            tried.append(instance)
            inherited = retries.inherited(from_target, attempt > 1, self.env.now)
            stated = None if sender.is_earlier else inherited
            yield self.env.timeout(0.002)
            has_run, succeeded = yield from self._arrive(
                instance, hop, stated, is_retry or attempt > 1
            )
            yield self.env.timeout(0.002)
            self._report(sender, instance, name, from_target, not succeeded)
            if succeeded:
                return True
            if has_run and budget.fails_downstream(self.env.now):
                return False
            if attempt == MAX_ATTEMPTS:
                return False
            if not budget.spend(len(self.nodes), self.env.now):
                return False
        return False

    def _arrive(
        self, node: Node, hop: int, stated: float | None, is_retry: bool
    ) -> Generator[simpy.Event, Any, tuple[bool, bool]]:
        """Return whether the request ran, and whether it succeeded."""
        here, arrivals = self.load.hops[hop], self.arrivals[hop]
        (arrivals.retry_s if is_retry else arrivals.first_s).append(self.env.now)
        node.retries.record_arrival(stated, self.env.now)
        if self._is_disturbed and node.rejects and self.rng.random() < here.rejected:
            return False, False
        yield self.env.timeout(self.rng.uniform(0.01, 0.1))
        if hop + 1 < len(self.load.hops):
            for _ in range(here.calls):
                if not (yield from self._send(node, hop + 1, True, is_retry)):
                    return True, False
        failed = self._is_disturbed and self.rng.random() < here.failed
        return True, not failed

    def _report(
        self,
        sender: Node,
        instance: Node,
        service: str,
        from_target: bool,
        failed: bool,
    ) -> None:
        load, now = self.load, self.env.now
        if sender.is_earlier:
            return
        lost = now >= load.lost_from_s or self.rng.random() < load.lost
        if lost and not instance.is_earlier:
            return
        report = None
        if not instance.is_earlier:
            count = len(self.instances[instance.hop])
            report = instance.retries.report(count, now)
        delay_s = self.rng.uniform(0.0, load.report_delay_s)
        result = (service, instance.node_id, from_target, failed, report)
        self.env.process(self._deliver(sender, result, delay_s))

    def _deliver(
        self, sender: Node, result: tuple[Any, ...], delay_s: float
    ) -> Generator[simpy.Event, Any, None]:
        if delay_s:
            yield self.env.timeout(delay_s)
        sender.retries.record_result(*result, self.env.now)
