"""Simulated time for the quotas of accounts: nodes, delayed messages and faults."""

import heapq
import random
from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from briardock.overload.quota import QuotaKeeper, WithinQuota
from briardock.overload.quota_limits import QuotaLimit, QuotaSettings
from briardock.overload.quota_totals import QuotaAggregator

SETTINGS = QuotaSettings()
REPORT_PERIOD_S, URGENT_PERIOD_S, TIMEOUT_S, SKIP_S = 0.4, 0.1, 0.3, 3.0
Demand = Callable[["SimNode", float], float]


@dataclass(eq=False)
class SimNode:
    """A node that reports, and aggregates if others report to it."""

    index: int
    domain: int
    count: int
    started_s: float
    state: str = "up"
    held: list[Callable[[], None]] = field(default_factory=list)
    skipped: dict[int, float] = field(default_factory=dict)
    reported_s: float = -1.0
    told_s: float = -1.0

    def __post_init__(self) -> None:
        self.name = f"n{self.index}"
        self.limit: QuotaLimit | None = None
        self.keeper = QuotaKeeper(self.name, SETTINGS, self.started_s)
        self.aggregator = QuotaAggregator(f"d{self.domain}", SETTINGS)
        self.keeper.node_count = self.aggregator.node_count = self.count
        self.keeper.node_rank = self.index
        self.aggregator.other_domains = 2


class Simulation:
    """Moves reports and requests in simulated time, and checks the bound."""

    def __init__(
        self,
        count: int,
        limit: QuotaLimit,
        demand: Demand,
        domains: int = 3,
        seed: int = 1,
    ) -> None:
        self.rng = random.Random(seed)
        self.now, self._sequence, self.messages = 100.0, 0, 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.limit, self.demand, self.domains = limit, demand, domains
        self.cut: set[int] = set()
        self.admitted: list[float] = []
        self.by_domain: dict[int, list[float]] = {d: [] for d in range(domains)}
        self.refused: list[float] = []
        self.worst = -1e9
        self.bound_from_s = 0.0
        self.nodes = [SimNode(i, i % domains, count, 0.0) for i in range(count)]
        for node in self.nodes:
            self.prepare(node)
            self.at(self.rng.uniform(0.0, 0.4), lambda n=node: self.tick(n))
            self.at(self.rng.uniform(0.0, 0.05), lambda n=node: self.arrive(n))

    def prepare(self, node: SimNode) -> None:
        node.limit = node.limit or self.limit
        node.keeper.set_limits({"a": node.limit})
        node.aggregator.set_limits({"a": node.limit})

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (self.now + delay_s, self._sequence, action))

    def run(self, duration_s: float) -> None:
        until_s = self.now + duration_s
        while self._events and self._events[0][0] <= until_s:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until_s

    def restart(self, node: SimNode) -> None:
        fresh = SimNode(node.index, node.domain, node.count, self.now)
        node.keeper, node.aggregator = fresh.keeper, fresh.aggregator
        node.held, node.skipped = [], {}
        self.prepare(node)

    def wake(self, node: SimNode) -> None:
        held, node.held, node.state = node.held, [], "up"
        for action in held:
            action()

    def arrive(self, node: SimNode) -> None:
        rate = self.demand(node, self.now)
        wait_s = self.rng.expovariate(rate) if rate > 0.0 else 0.05
        self.at(min(wait_s, 0.05), lambda: self.arrive(node))
        if node.state != "up" or wait_s > 0.05 or rate <= 0.0:
            return
        decision = node.keeper.decide("a", node.limit or self.limit, self.now)
        if not isinstance(decision, WithinQuota):
            self.refused.append(self.now)
            return
        self.admitted.append(self.now)
        self.by_domain[node.domain].append(self.now)
        start_s = max(self.now - SETTINGS.window_s, self.bound_from_s)
        used = len(self.admitted) - bisect_left(self.admitted, start_s)
        self.worst = max(self.worst, used - SETTINGS.bound(self.limit))

    def tick(self, node: SimNode) -> None:
        self.at(0.05, lambda: self.tick(node))
        if node.state != "up":
            return
        keeper, now = node.keeper, self.now
        elapsed_s = now - node.reported_s
        if elapsed_s >= (URGENT_PERIOD_S if keeper.is_urgent else REPORT_PERIOD_S):
            self.report(node)
        aggregator = node.aggregator
        elapsed_s = now - node.told_s
        if elapsed_s >= (URGENT_PERIOD_S if aggregator.is_urgent else REPORT_PERIOD_S):
            node.told_s = now
            aggregator.sweep(now)
            if aggregator.is_active(now):
                self.tell_domains(node)

    def choose(self, node: SimNode, domain: int) -> SimNode:
        ranked = [n for n in self.nodes if n.domain == domain]
        for other in ranked:
            if other is node or node.skipped.get(other.index, 0.0) <= self.now:
                return other
        return ranked[0]

    def report(self, node: SimNode, again: bool = False) -> None:
        node.reported_s = sent_s = self.now
        to = self.choose(node, node.domain)
        report = node.keeper.report(to.name, self.now)

        def respond(response: Any) -> None:
            asked = node.keeper.apply(response, to.name, sent_s, self.now)
            if asked and not again:
                self.report(node, again=True)

        self.exchange(
            node, to, lambda: to.aggregator.handle_node(report, self.now), respond
        )

    def tell_domains(self, node: SimNode) -> None:
        sent_s = self.now
        report = node.aggregator.report(sent_s)
        for domain in set(range(self.domains)) - {node.domain}:
            to = self.choose(node, domain)
            self.exchange(
                node,
                to,
                lambda to=to: to.aggregator.handle_domain(report, self.now),
                lambda r: node.aggregator.apply(r, sent_s, self.now),
            )

    def exchange(
        self,
        node: SimNode,
        to: SimNode,
        handle: Callable[[], Any],
        respond: Callable[[Any], None],
    ) -> None:
        if to is node:
            respond(handle())
            return
        self.messages += 1
        done: list[bool] = []
        process = node.keeper

        def deliver(receiver: SimNode, sender: SimNode, action: Any) -> None:
            is_cut = (sender.domain in self.cut) != (receiver.domain in self.cut)
            if receiver.state == "dead" or is_cut:
                return
            if receiver.state == "frozen":
                receiver.held.append(lambda: deliver(receiver, sender, action))
            else:
                action()

        def answered(response: Any) -> None:
            if not done and node.keeper is process:
                done.append(True)
                respond(response)

        def handled() -> None:
            response = handle()
            delay_s = self.rng.uniform(0.005, 0.05)
            self.at(delay_s, lambda: deliver(node, to, lambda: answered(response)))

        def expire() -> None:
            if not done and node.state == "up":
                done.append(True)
                node.skipped[to.index] = self.now + SKIP_S

        delay_s = self.rng.uniform(0.005, 0.05)
        self.at(delay_s, lambda: deliver(to, node, handled))
        self.at(TIMEOUT_S, expire)

    def between(
        self, start_s: float, end_s: float, times: list[float] | None = None
    ) -> int:
        times = self.admitted if times is None else times
        return bisect_left(times, end_s) - bisect_left(times, start_s)
