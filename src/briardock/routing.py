"""Load balancing over the instances of a service, and their admission thresholds."""

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
    TrackedInstance,
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

MAX_DRAWS = 4
FULL_LOAD = 1.0
MAX_SPILL_LOAD = 0.9
MIN_LATENCY_MS = 0.1
# Applies to the cost of an instance during the pause after it refused a call.
FULL_COST_FACTOR = 4.0


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen instance.

    :param instance: instance to dispatch the call to
    """

    instance: Instance


class Router:
    """Chooses instances by the observations of the local node.

    :param settings: checked settings
    :param local_failure_domain: failure domain of the local node
    :param clock: time source
    :param rng: random source
    :param metrics: counters of the process
    """

    def __init__(
        self,
        settings: RoutingSettings,
        local_failure_domain: str,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._local_domain = local_failure_domain
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._ejector = Ejector(settings, rng, metrics)
        self._tracked: dict[str, TrackedInstance] = {}
        self._services: dict[str, ServiceInstances] = {}

    def update(self, instances: Iterable[Instance]) -> None:
        """Replace the usable instances; known ones keep their observations.

        :param instances: all usable instances of all services
        """
        tracked: dict[str, TrackedInstance] = {}
        services: dict[str, ServiceInstances] = {}
        for instance in instances:
            entry = self._track(instance)
            tracked[instance.node_id] = entry
            service = services.setdefault(instance.service, ServiceInstances())
            is_local = instance.failure_domain == self._local_domain
            service.add(entry, is_local)
        for name, service in services.items():
            if name in self._services:
                service.probed_at_ms = self._services[name].probed_at_ms
        self._tracked = tracked
        self._services = services

    def _track(self, instance: Instance) -> TrackedInstance:
        known = self._tracked.get(instance.node_id)
        if known is None or known.instance.incarnation != instance.incarnation:
            return TrackedInstance(instance)
        known.instance = instance
        return known

    def choose(self, service: str, exclude: Container[str] = ()) -> Choice | NotRun:
        """Choose an instance for one dispatch.

        :param service: name of the service
        :param exclude: ids of the nodes already tried
        """
        instances = self._services.get(service)
        if instances is None:
            return NotRun(Reason.NO_INSTANCE, f"no instance of {service} is usable")
        now_ms = self._clock.now_ms()
        best = self._choose_of_two(instances.local, exclude, now_ms)
        if best is None or self._is_full(best, now_ms):
            spill = self._choose_of_two(instances.remote, exclude, now_ms)
            if spill is not None and (
                best is None or self._has_headroom(spill, now_ms)
            ):
                best = spill
        if best is None:
            best = self._choose_least_used(instances, exclude)
        if best is None:
            return NotRun(
                Reason.NO_INSTANCE, f"every usable instance of {service} was tried"
            )
        return Choice(best.instance)

    def _choose_of_two(
        self, entries: list[TrackedInstance], exclude: Container[str], now_ms: float
    ) -> TrackedInstance | None:
        """Return the less costly of two random eligible instances."""
        first: TrackedInstance | None = None
        for _ in range(MAX_DRAWS if len(entries) > 1 else 1):
            if not entries:
                return None
            entry = entries[int(self._rng.random() * len(entries))]
            if entry is first or not self._eligible(entry, exclude, now_ms):
                continue
            if first is None:
                first = entry
            else:
                return self._less_costly(first, entry, now_ms)
        if first is not None:
            return first
        candidates = [
            entry for entry in entries if self._eligible(entry, exclude, now_ms)
        ]
        return self._rng.choice(candidates) if candidates else None

    def _eligible(
        self, entry: TrackedInstance, exclude: Container[str], now_ms: float
    ) -> bool:
        if entry.instance.node_id in exclude or entry.ejected_until_ms > now_ms:
            return False
        if entry.probes_left:
            return entry.in_flight == 0
        if entry.observed_count < self._settings.new_instance_max_in_flight:
            return entry.in_flight < self._settings.new_instance_max_in_flight
        return True

    def _less_costly(
        self, first: TrackedInstance, second: TrackedInstance, now_ms: float
    ) -> TrackedInstance:
        if not first.observed_count or not second.observed_count:
            return first if first.in_flight <= second.in_flight else second
        if self._cost(first, now_ms) <= self._cost(second, now_ms):
            return first
        return second

    def _cost(self, entry: TrackedInstance, now_ms: float) -> float:
        cost = (entry.in_flight + 1) * (entry.latency_ms + MIN_LATENCY_MS)
        if self._is_recent(entry, now_ms):
            cost *= 0.5 + entry.load
        if entry.full_until_ms > now_ms:
            cost *= FULL_COST_FACTOR
        return cost

    def _is_recent(self, entry: TrackedInstance, now_ms: float) -> bool:
        return now_ms - entry.responded_at_ms < self._settings.load_lifetime_ms

    def _is_full(self, entry: TrackedInstance, now_ms: float) -> bool:
        """Return whether calls should prefer another failure domain."""
        if entry.full_until_ms > now_ms:
            return True
        if not self._is_recent(entry, now_ms):
            return False
        return entry.load >= FULL_LOAD or entry.admission_threshold < LOWEST_PRIORITY

    def _has_headroom(self, entry: TrackedInstance, now_ms: float) -> bool:
        if entry.full_until_ms > now_ms:
            return False
        if not self._is_recent(entry, now_ms):
            return True
        return (
            entry.load < MAX_SPILL_LOAD and entry.admission_threshold >= LOWEST_PRIORITY
        )

    def _choose_least_used(
        self, service: ServiceInstances, exclude: Container[str]
    ) -> TrackedInstance | None:
        """Return one of the least used instances, also if ejected or being probed."""
        for entries in (service.local, service.remote):
            candidates = [
                item for item in entries if item.instance.node_id not in exclude
            ]
            if candidates:
                least = min(item.in_flight for item in candidates)
                return self._rng.choice(
                    [item for item in candidates if item.in_flight == least]
                )
        return None

    def record_dispatch(self, node_id: str) -> None:
        """Count a call dispatched to an instance.

        :param node_id: id of the instance's node
        """
        entry = self._tracked.get(node_id)
        if entry is not None:
            entry.in_flight += 1

    def observe(self, node_id: str, observation: Observation) -> None:
        """Record the result of a dispatched call.

        :param node_id: id of the instance's node
        :param observation: result of the call
        """
        entry = self._tracked.get(node_id)
        if entry is None:
            return
        now_ms = self._clock.now_ms()
        entry.in_flight = max(0, entry.in_flight - 1)
        if observation.load is not None:
            entry.load = observation.load
            entry.responded_at_ms = now_ms
        if observation.admission_threshold is not None:
            entry.admission_threshold = max(0, observation.admission_threshold)
            entry.responded_at_ms = now_ms
        service = self._services[entry.instance.service]
        match observation.kind:
            case ObservationKind.REFUSED:
                entry.full_until_ms = now_ms + self._settings.refusal_pause_ms
            case ObservationKind.OK:
                latency_ms = observation.latency_ms
                self._ejector.record_success(entry, service, latency_ms, now_ms)
            case ObservationKind.FAILED | ObservationKind.LOST:
                self._ejector.record_failure(entry, service, now_ms)

    def admission_threshold(self, service: str) -> int:
        """Return the highest threshold among the usable instances of a service.

        Instances without a recent response count as admitting every priority;
        ejected ones do not count.

        :param service: name of the service
        """
        instances = self._services.get(service)
        if instances is None:
            return LOWEST_PRIORITY
        now_ms = self._clock.now_ms()
        highest = -1
        for entry in instances.members:
            if entry.ejected_until_ms > now_ms:
                continue
            highest = max(highest, self._current_threshold(entry, now_ms))
            if highest >= LOWEST_PRIORITY:
                return LOWEST_PRIORITY
        return highest if highest >= 0 else LOWEST_PRIORITY

    def _current_threshold(self, entry: TrackedInstance, now_ms: float) -> int:
        age_ms = now_ms - entry.responded_at_ms
        if age_ms > self._settings.threshold_lifetime_ms:
            return LOWEST_PRIORITY
        return entry.admission_threshold

    def admits(self, service: str, priority: int) -> bool:
        """Return whether to send a call instead of refusing it early.

        A share of the calls that would be refused passes, and at least one per
        interval, so that the stored thresholds stay up to date.

        :param service: name of the service
        :param priority: priority of the call
        """
        if priority <= self.admission_threshold(service):
            return True
        instances = self._services[service]
        now_ms = self._clock.now_ms()
        if now_ms - instances.probed_at_ms >= self._settings.probe_interval_ms:
            instances.probed_at_ms = now_ms
            return True
        return self._rng.random() < self._settings.probe_share

    def state(self) -> dict[str, object]:
        """Return the state for a diagnostic dump."""
        now_ms = self._clock.now_ms()
        return {
            node_id: {
                "service": entry.instance.service,
                "failure_domain": entry.instance.failure_domain,
                "in_flight": entry.in_flight,
                "latency_ms": round(entry.latency_ms, 3),
                "load": round(entry.load, 3),
                "refusal_level": entry.admission_threshold,
                "failure_share": round(entry.failure_share, 3),
                "ejected_for_ms": round(max(0.0, entry.ejected_until_ms - now_ms), 1),
                "probes_left": entry.probes_left,
            }
            for node_id, entry in self._tracked.items()
        }


def make_router(
    settings: RoutingSettings,
    local_failure_domain: str,
    clock: Clock,
    rng: random.Random,
    metrics: Metrics,
) -> Router:
    """Return the router of one node.

    :param settings: checked settings
    :param local_failure_domain: failure domain of the local node
    :param clock: time source
    :param rng: random source
    :param metrics: counters of the process
    """
    return Router(settings, local_failure_domain, clock, rng, metrics)
