"""Choice of an instance for a call, and remembered refusal levels."""

import random
from collections.abc import Container, Iterable
from dataclasses import dataclass

from briardock._ejection import Ejector
from briardock._instances import (
    Instance,
    Observation,
    ObservationKind,
    RoutingSettings,
    ServiceInstances,
    Tracked,
)
from briardock.admission import LOWEST_PRIORITY
from briardock.clock import Clock
from briardock.metrics import Metrics
from briardock.outcomes import NotRun, Reason

__all__ = [
    "Choice",
    "Instance",
    "Observation",
    "ObservationKind",
    "Router",
    "RoutingSettings",
    "make_router",
]

DRAWS = 4
FULL_LOAD = 1.0
ROOM_LOAD = 0.9
MIN_LATENCY_MS = 0.1
# Factor of the cost of an instance that refused a call a moment ago.
FULL_COST = 4.0


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen instance.

    :param instance: where to dispatch
    """

    instance: Instance


class Router:
    """Chooses instances from this node's own observations.

    :param settings: checked settings
    :param own_failure_domain: failure domain of this node
    :param clock: time source
    :param rng: random source
    :param metrics: counters of the process
    """

    def __init__(
        self,
        settings: RoutingSettings,
        own_failure_domain: str,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._own_domain = own_failure_domain
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._ejector = Ejector(settings, rng, metrics)
        self._tracked: dict[str, Tracked] = {}
        self._services: dict[str, ServiceInstances] = {}

    def update(self, instances: Iterable[Instance]) -> None:
        """Replace the usable instances, keeping the observations of those known.

        :param instances: all usable instances of all services
        """
        tracked: dict[str, Tracked] = {}
        services: dict[str, ServiceInstances] = {}
        for instance in instances:
            entry = self._keep(instance)
            tracked[instance.node_id] = entry
            service = services.setdefault(instance.service, ServiceInstances())
            near = instance.failure_domain == self._own_domain
            service.add(entry, near)
        for name, service in services.items():
            if name in self._services:
                service.probed_at_ms = self._services[name].probed_at_ms
        self._tracked = tracked
        self._services = services

    def _keep(self, instance: Instance) -> Tracked:
        known = self._tracked.get(instance.node_id)
        if known is None or known.instance.incarnation != instance.incarnation:
            return Tracked(instance)
        known.instance = instance
        return known

    def choose(self, service: str, exclude: Container[str] = ()) -> Choice | NotRun:
        """Choose an instance for one dispatch.

        :param service: name of the service
        :param exclude: node ids already tried
        """
        known = self._services.get(service)
        if known is None:
            return NotRun(Reason.NO_INSTANCE, f"no instance of {service} is usable")
        now_ms = self._clock.now_ms()
        best = self._draw(known.own, exclude, now_ms)
        if best is None or self._is_full(best, now_ms):
            remote = self._draw(known.other, exclude, now_ms)
            if remote is not None and (best is None or self._has_room(remote, now_ms)):
                best = remote
        if best is None:
            best = self._any(known, exclude)
        if best is None:
            return NotRun(
                Reason.NO_INSTANCE, f"every usable instance of {service} was tried"
            )
        return Choice(best.instance)

    def _draw(
        self, entries: list[Tracked], exclude: Container[str], now_ms: float
    ) -> Tracked | None:
        """Return the better of two random eligible entries."""
        first: Tracked | None = None
        for _ in range(DRAWS if len(entries) > 1 else 1):
            if not entries:
                return None
            entry = entries[int(self._rng.random() * len(entries))]
            if entry is first or not self._eligible(entry, exclude, now_ms):
                continue
            if first is None:
                first = entry
            else:
                return self._better(first, entry, now_ms)
        if first is not None:
            return first
        rest = [entry for entry in entries if self._eligible(entry, exclude, now_ms)]
        return self._rng.choice(rest) if rest else None

    def _eligible(self, entry: Tracked, exclude: Container[str], now_ms: float) -> bool:
        if entry.instance.node_id in exclude or entry.ejected_until_ms > now_ms:
            return False
        if entry.probes_left:
            return entry.in_flight == 0
        if entry.observed_count < self._settings.fresh_in_flight:
            return entry.in_flight < self._settings.fresh_in_flight
        return True

    def _better(self, first: Tracked, second: Tracked, now_ms: float) -> Tracked:
        if not first.observed_count or not second.observed_count:
            return first if first.in_flight <= second.in_flight else second
        if self._cost(first, now_ms) <= self._cost(second, now_ms):
            return first
        return second

    def _cost(self, entry: Tracked, now_ms: float) -> float:
        cost = (entry.in_flight + 1) * (entry.latency_ms + MIN_LATENCY_MS)
        if self._is_recent(entry, now_ms):
            cost *= 0.5 + entry.load
        if entry.full_until_ms > now_ms:
            cost *= FULL_COST
        return cost

    def _is_recent(self, entry: Tracked, now_ms: float) -> bool:
        return now_ms - entry.answered_at_ms < self._settings.memory_ms

    def _is_full(self, entry: Tracked, now_ms: float) -> bool:
        """Return whether a call should rather go to another failure domain."""
        if entry.full_until_ms > now_ms:
            return True
        if not self._is_recent(entry, now_ms):
            return False
        return entry.load >= FULL_LOAD or entry.refusal_level < LOWEST_PRIORITY

    def _has_room(self, entry: Tracked, now_ms: float) -> bool:
        if entry.full_until_ms > now_ms:
            return False
        if not self._is_recent(entry, now_ms):
            return True
        return entry.load < ROOM_LOAD and entry.refusal_level >= LOWEST_PRIORITY

    def _any(
        self, service: ServiceInstances, exclude: Container[str]
    ) -> Tracked | None:
        """Return the least used instance when every one is ejected or probing."""
        for entries in (service.own, service.other):
            rest = [item for item in entries if item.instance.node_id not in exclude]
            if rest:
                return min(rest, key=lambda item: item.in_flight)
        return None

    def started(self, node_id: str) -> None:
        """Count a dispatch to an instance.

        :param node_id: id of its node
        """
        entry = self._tracked.get(node_id)
        if entry is not None:
            entry.in_flight += 1

    def observe(self, node_id: str, observation: Observation) -> None:
        """Record the end of a dispatch.

        :param node_id: id of the instance's node
        :param observation: what was seen
        """
        entry = self._tracked.get(node_id)
        if entry is None:
            return
        now_ms = self._clock.now_ms()
        entry.in_flight = max(0, entry.in_flight - 1)
        if observation.load is not None:
            entry.load = observation.load
            entry.answered_at_ms = now_ms
        if observation.refusal_level is not None:
            entry.refusal_level = max(0, observation.refusal_level)
            entry.answered_at_ms = now_ms
        service = self._services[entry.instance.service]
        match observation.kind:
            case ObservationKind.REFUSED:
                entry.full_until_ms = now_ms + self._settings.refused_pause_ms
            case ObservationKind.OK:
                latency_ms = observation.latency_ms
                self._ejector.record_ok(entry, service, latency_ms, now_ms)
            case ObservationKind.FAILED | ObservationKind.LOST:
                self._ejector.record_failure(entry, service, now_ms)

    def refusal_level(self, service: str) -> int:
        """Return the highest threshold among the usable instances of a service.

        Instances without a recent answer count as admitting every level, ejected
        ones do not count.

        :param service: name of the service
        """
        known = self._services.get(service)
        if known is None:
            return LOWEST_PRIORITY
        now_ms = self._clock.now_ms()
        highest = -1
        for entry in known.members:
            if entry.ejected_until_ms > now_ms:
                continue
            highest = max(highest, self._remembered_level(entry, now_ms))
            if highest >= LOWEST_PRIORITY:
                return LOWEST_PRIORITY
        return highest if highest >= 0 else LOWEST_PRIORITY

    def _remembered_level(self, entry: Tracked, now_ms: float) -> int:
        age_ms = now_ms - entry.answered_at_ms
        if age_ms > self._settings.refusal_memory_ms:
            return LOWEST_PRIORITY
        return entry.refusal_level

    def admits(self, service: str, level: int) -> bool:
        """Return whether to send a call, or refuse it early.

        A share of the calls that would be refused passes, and at least one per
        period, so that the remembered levels stay fresh.

        :param service: name of the service
        :param level: admission level
        """
        if level <= self.refusal_level(service):
            return True
        known = self._services[service]
        now_ms = self._clock.now_ms()
        if now_ms - known.probed_at_ms >= self._settings.probe_period_ms:
            known.probed_at_ms = now_ms
            return True
        return self._rng.random() < self._settings.probe_share

    def state(self) -> dict[str, object]:
        """Return the state for a dump."""
        now_ms = self._clock.now_ms()
        return {
            node_id: {
                "service": entry.instance.service,
                "failure_domain": entry.instance.failure_domain,
                "in_flight": entry.in_flight,
                "latency_ms": round(entry.latency_ms, 3),
                "load": round(entry.load, 3),
                "refusal_level": entry.refusal_level,
                "failure_share": round(entry.failure_share, 3),
                "ejected_for_ms": round(max(0.0, entry.ejected_until_ms - now_ms), 1),
                "probes_left": entry.probes_left,
            }
            for node_id, entry in self._tracked.items()
        }


def make_router(
    settings: RoutingSettings,
    own_failure_domain: str,
    clock: Clock,
    rng: random.Random,
    metrics: Metrics,
) -> Router:
    """Return the router of one node.

    :param settings: checked settings
    :param own_failure_domain: failure domain of this node
    :param clock: time source
    :param rng: random source
    :param metrics: counters of the process
    """
    return Router(settings, own_failure_domain, clock, rng, metrics)
