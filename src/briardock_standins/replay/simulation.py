"""Callers, disturbances and the news between nodes in simulated time."""

import random
from dataclasses import dataclass, field
from typing import Any

import msgspec
import simpy

from briardock.mesh.members import NodeRecord
from briardock.mesh.model import TargetState
from briardock.overload.admission import (
    CONTROL_PERIOD_S,
)
from briardock.overload.attempts import (
    Succeeded,
)
from briardock.overload.attribution import route_tag
from briardock.overload.board import (
    ThresholdNews,
)
from briardock.overload.entry import TurnedAway
from briardock_standins.replay.instances import Instance
from briardock_standins.replay.parts import Condition, Process
from briardock_standins.replay.pattern import (
    CallerRoute,
    Event,
    EventKind,
    Pattern,
    parse_calls,
)
from briardock_standins.replay.report import ReplayReport, Told

# Time between two nodes of one failure domain, s.
LOCAL_HOP_S = 0.0002
# Time from a caller to its node, s.
CALLER_HOP_S = 0.003
# Simulated time before the first request, s. The clock does not start at 0, because
# the decisions take that for "never".
START_S = 100.0
# Time for which a control loop runs before the first request, s.
SETTLING_S = 5.0
# Attempts of a caller that comes back at once.
IMPATIENT_ATTEMPTS = 4


@dataclass
class Simulation:
    """All instances and callers of a pattern.

    :param pattern: what is replayed
    """

    pattern: Pattern
    instances: dict[str, Instance] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.env = simpy.Environment(initial_time=START_S)
        self.rng = random.Random(self.pattern.general.seed)
        self.report = ReplayReport()
        self.surge_factor = 1.0
        routes = self.pattern.routes.values()
        self.max_threshold = 1.0 + max(route.priority for route in routes)
        self.names_by_tag = {
            route_tag(name): name
            for name in (*self.pattern.routes, *self.pattern.operations)
        }
        self.called_services: dict[str, list[str]] = {
            name: [] for name in self.pattern.services
        }
        for name, operation in self.pattern.operations.items():
            called = self.called_services[name.partition(".")[0]]
            called += {n.partition(".")[0] for n in parse_calls(operation.calls)}
        for name, service in self.pattern.services.items():
            for number in range(service.instances):
                node_id = f"{name}-{number}"
                self.instances[node_id] = Instance(self, node_id, name)
        for instance in self.instances.values():
            for other in self.instances.values():
                instance.members.merge(other.record)

    def hop_s(self, first: Instance, second: Instance) -> float:
        """Return the time from one node to another."""
        if first is second:
            return 0.0
        if first.domain == second.domain:
            return LOCAL_HOP_S
        return self.pattern.general.hop_ms / 1000

    @property
    def routes_known(self) -> bool:
        """Whether nodes tell callers' requests from calls of their targets."""
        known_s = START_S + SETTLING_S + self.pattern.general.routes_known_s
        return bool(self.env.now >= known_s)

    def publish(self, instance: Instance, **changes: object) -> None:
        """Tell all nodes about a change of an instance."""
        version = instance.record.version + 1
        instance.record = msgspec.structs.replace(
            instance.record, version=version, **changes
        )
        record = instance.record
        instance.members.update_local(**changes)
        self.env.process(self._spread(record))

    def _spread(self, record: NodeRecord) -> Process:
        yield self.env.timeout(self.pattern.general.news_delay_ms / 1000)
        for other in self.instances.values():
            other.members.merge(record)

    def run(self) -> ReplayReport:
        """Replay the pattern and return what callers were told."""
        self.env.process(self._control())
        self.env.process(self._learn_routes())
        for name, route in self.pattern.routes.items():
            self.env.process(self._arrivals(name, route))
        for event in self.pattern.events.values():
            self.env.process(self._play(event))
        self.env.run(until=START_S + SETTLING_S + self.pattern.general.duration_s)
        return self.report

    def _control(self) -> Process:
        while True:
            yield self.env.timeout(CONTROL_PERIOD_S)
            for instance in self.instances.values():
                if not instance.condition.away:
                    instance.control()

    def _learn_routes(self) -> Process:
        """Tell all nodes the routes of callers once they are known."""
        yield self.env.timeout(SETTLING_S + self.pattern.general.routes_known_s)
        if self.pattern.general.routes_known_s:
            for instance in self.instances.values():
                self.publish(instance, entry_routes=list(self.pattern.routes))

    def _arrivals(self, name: str, route: CallerRoute) -> Process:
        yield self.env.timeout(SETTLING_S)
        entries = list(self.instances.values())
        while True:
            rate_per_s = route.per_s * self.surge_factor
            yield self.env.timeout(self.rng.expovariate(rate_per_s))
            entry = self.rng.choice(entries)
            self.env.process(self._caller(name, route, entry))

    def _caller(self, name: str, route: CallerRoute, entry: Instance) -> Process:
        env = self.env
        begun_s = env.now
        deadline_s = route.deadline_ms / 1000
        impatient = self.rng.random() < route.impatient_share
        leaves = self.rng.random() < route.leaving_share
        attempts = IMPATIENT_ATTEMPTS if impatient else 1 + route.retries
        at_s = begun_s - START_S - SETTLING_S
        told = Told(name, at_s, route.objective_ms / 1000)
        self.report.told.append(told)
        for attempt in range(attempts):
            told.attempts = attempt + 1
            remaining_s = deadline_s - (env.now - begun_s)
            yield env.timeout(CALLER_HOP_S)
            handled = env.process(entry.enter(name, route, remaining_s))
            patience_s = remaining_s / 2 if leaves else remaining_s
            yield handled | env.timeout(patience_s)
            if not handled.triggered:
                told.result = "left"
                return
            yield env.timeout(CALLER_HOP_S)
            remaining_s = deadline_s - (env.now - begun_s)
            match handled.value:
                case Succeeded():
                    told.result, told.after_s = "served", env.now - begun_s
                    return
                case TurnedAway(retry_after_s, _):
                    told.result = "refused"
                    wait_s = 0.0 if impatient else min(retry_after_s, remaining_s / 3)
                    yield env.timeout(wait_s)
                case _:
                    told.result = "failed"
                    if not route.idempotent:
                        return
            if deadline_s - (env.now - begun_s) <= 0:
                return
            if entry.condition.away:
                entry = self.rng.choice(list(self.instances.values()))

    def _play(self, event: Event) -> Process:
        yield self.env.timeout(SETTLING_S + event.at_s)
        concerned = [
            instance
            for instance in self.instances.values()
            if not event.service or instance.service == event.service
        ]
        count = round(event.share * len(concerned))
        match event.kind:
            case EventKind.SURGE:
                self.surge_factor = event.factor
            case EventKind.SLOW:
                concerned = self.rng.sample(concerned, count)
                self._disturb(concerned, slow_factor=event.factor)
            case EventKind.FAIL:
                self._disturb(concerned, fail_share=event.share)
            case EventKind.REJECT:
                self._disturb(concerned, reject_share=event.share)
            case EventKind.LOST_RESPONSES:
                self._disturb(concerned, lost_share=event.share)
            case EventKind.AWAY:
                concerned = self.rng.sample(concerned, count)
                self._disturb(concerned, away=True)
                for instance in concerned:
                    self.publish(instance, state=TargetState.LEAVING)
        yield self.env.timeout(event.for_s)
        if event.kind is EventKind.SURGE:
            self.surge_factor = 1.0
            return
        self._disturb(concerned)
        if event.kind is EventKind.AWAY:
            for instance in concerned:
                instance.begin()
                self.publish(instance, state=TargetState.READY, run_time_ms=0)

    def spread_thresholds(self, news: ThresholdNews) -> Process:
        """Tell all nodes the thresholds of an instance."""
        yield self.env.timeout(self.pattern.general.news_delay_ms / 1000)
        for other in self.instances.values():
            if not other.condition.away:
                other.board.record(news, self.env.now)

    def _disturb(self, instances: list[Instance], **changes: Any) -> None:
        for instance in instances:
            # A run keeps the condition under which it has begun.
            instance.condition.away = False
            instance.condition = Condition(**changes)
