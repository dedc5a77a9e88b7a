"""Choice of an instance for a call, ejection, and remembered refusal levels."""

import enum
import random
from collections.abc import Container, Iterable
from dataclasses import dataclass, field
from statistics import median

from briardock.admission import MAX_LEVEL
from briardock.clock import Clock
from briardock.metrics import Metrics
from briardock.outcomes import NotRun, Reason

LATENCY_WEIGHT = 0.1
FAILURE_WEIGHT = 0.15
DRAWS = 4
FULL_LOAD = 1.0
ROOM_LOAD = 0.9
MAX_BACKOFF_EXPONENT = 10


class ObservationKind(enum.Enum):
    """What became of one dispatch."""

    OK = "ok"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class Instance:
    """One usable instance of a service.

    :param node_id: id of its node
    :param incarnation: process incarnation of its node
    :param service: name of the service
    :param failure_domain: where it runs
    :param host: numeric address
    :param port: TCP port for call links
    """

    node_id: str
    incarnation: int
    service: str
    failure_domain: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Observation:
    """End of one dispatch.

    :param kind: what became of it
    :param latency_ms: time from dispatch to answer in ms
    :param load: load carried on the answer, ``None`` without an answer
    :param refusal_level: threshold carried on the answer, ``None`` without one
    """

    kind: ObservationKind
    latency_ms: float = 0.0
    load: float | None = None
    refusal_level: int | None = None


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen instance.

    :param instance: where to dispatch
    """

    instance: Instance


@dataclass(frozen=True, slots=True)
class RoutingSettings:
    """Settings of the router.

    :param memory_ms: lifetime of a remembered load or refusal level in ms
    :param probe_share: share of refused calls let through to refresh the memory
    :param refused_pause_ms: time for which a refusal marks an instance as full
    :param fresh_in_flight: calls a new instance gets before its first answer
    :param eject_min_observations: observations before an ejection
    :param eject_failure_share: failure share that ejects
    :param eject_slow_factor: latency by the median of its peers that ejects
    :param eject_slow_min_ms: latency below which no instance counts as slow
    :param eject_base_ms: duration of the first ejection in ms
    :param eject_max_ms: longest ejection in ms
    :param eject_max_share: most instances of a service ejected at once
    :param probe_successes: answers that end the probing after an ejection
    """

    memory_ms: float = 500.0
    probe_share: float = 0.02
    refused_pause_ms: float = 50.0
    fresh_in_flight: int = 4
    eject_min_observations: int = 10
    eject_failure_share: float = 0.5
    eject_slow_factor: float = 4.0
    eject_slow_min_ms: float = 20.0
    eject_base_ms: float = 1_000.0
    eject_max_ms: float = 60_000.0
    eject_max_share: float = 1 / 3
    probe_successes: int = 3


@dataclass(slots=True, eq=False)
class _Tracked:
    """An instance with what was observed of it."""

    instance: Instance
    in_flight: int = 0
    observed_count: int = 0
    latency_ms: float = 0.0
    failure_share: float = 0.0
    load: float = 0.0
    refusal_level: int = MAX_LEVEL
    answered_at_ms: float = -1e12
    full_until_ms: float = -1e12
    ejected_until_ms: float = -1e12
    ejections_count: int = 0
    probes_left: int = 0


@dataclass(slots=True)
class _Service:
    """Instances of one service by nearness."""

    own: list[_Tracked] = field(default_factory=list)
    other: list[_Tracked] = field(default_factory=list)

    def all(self) -> list[_Tracked]:
        return self.own + self.other


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
        self._tracked: dict[str, _Tracked] = {}
        self._services: dict[str, _Service] = {}

    def update(self, instances: Iterable[Instance]) -> None:
        """Replace the usable instances, keeping the observations of those known.

        :param instances: all usable instances of all services
        """
        tracked: dict[str, _Tracked] = {}
        services: dict[str, _Service] = {}
        for instance in instances:
            entry = self._keep(instance)
            tracked[instance.node_id] = entry
            service = services.setdefault(instance.service, _Service())
            near = instance.failure_domain == self._own_domain
            (service.own if near else service.other).append(entry)
        self._tracked = tracked
        self._services = services

    def _keep(self, instance: Instance) -> _Tracked:
        known = self._tracked.get(instance.node_id)
        if known is None or known.instance.incarnation != instance.incarnation:
            return _Tracked(instance)
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
        self, entries: list[_Tracked], exclude: Container[str], now_ms: float
    ) -> _Tracked | None:
        """Return the better of two random eligible entries."""
        first: _Tracked | None = None
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

    def _eligible(
        self, entry: _Tracked, exclude: Container[str], now_ms: float
    ) -> bool:
        if entry.instance.node_id in exclude or entry.ejected_until_ms > now_ms:
            return False
        if entry.probes_left:
            return entry.in_flight == 0
        if entry.observed_count < self._settings.fresh_in_flight:
            return entry.in_flight < self._settings.fresh_in_flight
        return True

    def _better(self, first: _Tracked, second: _Tracked, now_ms: float) -> _Tracked:
        if not first.observed_count or not second.observed_count:
            return first if first.in_flight <= second.in_flight else second
        if self._cost(first, now_ms) <= self._cost(second, now_ms):
            return first
        return second

    def _cost(self, entry: _Tracked, now_ms: float) -> float:
        cost = (entry.in_flight + 1) * (entry.latency_ms + 0.1)
        if now_ms - entry.answered_at_ms < self._settings.memory_ms:
            cost *= 0.5 + entry.load
        if entry.full_until_ms > now_ms:
            cost *= 4.0
        return cost

    def _is_full(self, entry: _Tracked, now_ms: float) -> bool:
        if entry.full_until_ms > now_ms:
            return True
        recent = now_ms - entry.answered_at_ms < self._settings.memory_ms
        return recent and entry.load >= FULL_LOAD

    def _has_room(self, entry: _Tracked, now_ms: float) -> bool:
        if entry.full_until_ms > now_ms:
            return False
        recent = now_ms - entry.answered_at_ms < self._settings.memory_ms
        return not recent or entry.load < ROOM_LOAD

    def _any(self, service: _Service, exclude: Container[str]) -> _Tracked | None:
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
            entry.refusal_level = observation.refusal_level
            entry.answered_at_ms = now_ms
        match observation.kind:
            case ObservationKind.REFUSED:
                entry.full_until_ms = now_ms + self._settings.refused_pause_ms
            case ObservationKind.OK:
                self._record_ok(entry, observation.latency_ms, now_ms)
            case ObservationKind.FAILED | ObservationKind.LOST:
                self._record_failure(entry, now_ms)

    def _record_ok(self, entry: _Tracked, latency_ms: float, now_ms: float) -> None:
        entry.observed_count += 1
        entry.failure_share *= 1.0 - FAILURE_WEIGHT
        weight = max(LATENCY_WEIGHT, 1.0 / entry.observed_count)
        entry.latency_ms += weight * (latency_ms - entry.latency_ms)
        if entry.probes_left:
            entry.probes_left -= 1
        elif entry.observed_count > self._settings.eject_min_observations:
            self._eject_if_slow(entry, now_ms)

    def _record_failure(self, entry: _Tracked, now_ms: float) -> None:
        entry.observed_count += 1
        entry.failure_share += FAILURE_WEIGHT * (1.0 - entry.failure_share)
        if entry.probes_left or self._fails(entry):
            self._eject(entry, now_ms)

    def _fails(self, entry: _Tracked) -> bool:
        return entry.failure_share > self._settings.eject_failure_share

    def _eject_if_slow(self, entry: _Tracked, now_ms: float) -> None:
        settings = self._settings
        if entry.latency_ms < settings.eject_slow_min_ms:
            return
        service = self._services[entry.instance.service]
        peers = [
            item.latency_ms
            for item in service.all()
            if item is not entry and item.observed_count
        ]
        if peers and entry.latency_ms > settings.eject_slow_factor * median(peers):
            self._eject(entry, now_ms)

    def _eject(self, entry: _Tracked, now_ms: float) -> None:
        if entry.ejected_until_ms > now_ms:
            return
        members = self._services[entry.instance.service].all()
        out_count = sum(item.ejected_until_ms > now_ms for item in members)
        if out_count >= self._most_ejected(len(members)):
            return
        settings = self._settings
        exponent = min(entry.ejections_count, MAX_BACKOFF_EXPONENT)
        duration_ms = min(settings.eject_max_ms, settings.eject_base_ms * 2**exponent)
        jitter = 0.9 + 0.2 * self._rng.random()
        entry.ejected_until_ms = now_ms + duration_ms * jitter
        entry.ejections_count += 1
        entry.probes_left = settings.probe_successes
        entry.failure_share = 0.0
        entry.observed_count = 0
        self._metrics.count("routing.ejected")

    def _most_ejected(self, members_count: int) -> int:
        if members_count < 2:
            return 0
        return max(1, int(members_count * self._settings.eject_max_share))

    def refusal_level(self, service: str) -> int:
        """Return the highest threshold among the usable instances of a service.

        Instances without a recent answer count as admitting every level.

        :param service: name of the service
        """
        known = self._services.get(service)
        if known is None:
            return MAX_LEVEL
        oldest_ms = self._clock.now_ms() - self._settings.memory_ms
        highest = -1
        for entry in known.all():
            if entry.answered_at_ms < oldest_ms:
                return MAX_LEVEL
            highest = max(highest, entry.refusal_level)
        return highest

    def admits(self, service: str, level: int) -> bool:
        """Return whether an instance is likely to admit a level.

        :param service: name of the service
        :param level: admission level
        """
        if level <= self.refusal_level(service):
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
