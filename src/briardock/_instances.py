"""Instances known to the router, with what was observed of them."""

import enum
from dataclasses import dataclass, field

from briardock.admission import LOWEST_PRIORITY

NEVER_MS = -1e12


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
class RoutingSettings:
    """Settings of the router.

    :param memory_ms: lifetime of a remembered load in ms
    :param refusal_memory_ms: lifetime of a remembered refusal level in ms
    :param probe_share: share of refused calls let through to refresh the memory
    :param probe_period_ms: period in which one refused call passes in any case
    :param refused_pause_ms: time for which a refusal marks an instance as full
    :param fresh_in_flight: calls a new instance gets before its first answer
    :param eject_min_observations: answers before an instance can count as slow
    :param eject_failure_share: failure share that ejects
    :param eject_slow_factor: latency by the median of its peers that ejects
    :param eject_slow_min_ms: latency below which no instance counts as slow
    :param eject_base_ms: duration of the first ejection in ms
    :param eject_max_ms: longest ejection in ms
    :param eject_max_share: most instances of a service ejected at once
    :param probe_successes: answers that end the probing after an ejection
    """

    memory_ms: float = 500.0
    refusal_memory_ms: float = 1_000.0
    probe_share: float = 0.02
    probe_period_ms: float = 100.0
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
class Tracked:
    """An instance with what was observed of it.

    :param instance: where it is
    :param in_flight: dispatches without an end
    :param observed_count: answers and failures since it is in use
    :param latency_ms: weighted mean latency in ms
    :param failure_share: weighted share of failures
    :param load: last load carried on an answer
    :param refusal_level: last threshold carried on an answer
    :param answered_at_ms: time of the last answer in ms
    :param full_until_ms: end of the pause after a refusal in ms
    :param ejected_until_ms: end of the ejection in ms
    :param ejections_count: ejections since it was last healthy for long
    :param probes_left: answers needed until it is in full use again
    """

    instance: Instance
    in_flight: int = 0
    observed_count: int = 0
    latency_ms: float = 0.0
    failure_share: float = 0.0
    load: float = 0.0
    refusal_level: int = LOWEST_PRIORITY
    answered_at_ms: float = NEVER_MS
    full_until_ms: float = NEVER_MS
    ejected_until_ms: float = NEVER_MS
    ejections_count: int = 0
    probes_left: int = 0


@dataclass(slots=True)
class ServiceInstances:
    """Instances of one service.

    :param own: instances in the failure domain of this node
    :param other: instances in other failure domains
    :param members: instances of all failure domains
    :param probed_at_ms: time at which a refused call last passed in ms
    """

    own: list[Tracked] = field(default_factory=list)
    other: list[Tracked] = field(default_factory=list)
    members: list[Tracked] = field(default_factory=list)
    probed_at_ms: float = NEVER_MS

    def add(self, entry: Tracked, near: bool) -> None:
        """Add an instance.

        :param entry: the instance
        :param near: whether it is in the failure domain of this node
        """
        (self.own if near else self.other).append(entry)
        self.members.append(entry)
