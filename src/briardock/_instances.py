"""Instances known to the router, and the observations of them."""

import enum
from dataclasses import dataclass, field

from briardock.admission import LOWEST_PRIORITY

NEVER_MS = -1e12


class ObservationKind(enum.Enum):
    """Result of one dispatched call."""

    OK = "ok"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class Instance:
    """One usable instance of a service.

    :param node_id: id of the node beside it
    :param incarnation: process incarnation of that node
    :param service: name of the service
    :param failure_domain: failure domain that it runs in
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
    """Observation of one dispatched call.

    :param kind: result of the call
    :param latency_ms: time from dispatch to response in ms
    :param load: load carried by the response, ``None`` without a response
    :param admission_threshold: threshold carried by the response, ``None`` without one
    """

    kind: ObservationKind
    latency_ms: float = 0.0
    load: float | None = None
    admission_threshold: int | None = None


@dataclass(frozen=True, slots=True)
class RoutingSettings:
    """Settings of the router.

    :param load_lifetime_ms: time for which a reported load is used in ms
    :param threshold_lifetime_ms: time for which a reported threshold is used in ms
    :param probe_share: share of refused calls that pass to refresh the threshold
    :param probe_interval_ms: interval in which at least one refused call passes in ms
    :param refusal_pause_ms: time for which a refusal marks an instance as full in ms
    :param new_instance_max_in_flight: maximum in flight to an instance with fewer
        observations than this
    :param eject_min_observations: observations before an instance can count as slow
    :param eject_failure_share: failure share above which an instance is ejected
    :param eject_slow_factor: ratio of the latency to the median latency of the peers
        above which an instance is ejected
    :param eject_slow_min_ms: latency below which no instance counts as slow in ms
    :param eject_base_ms: duration of the first ejection in ms
    :param eject_max_ms: maximum duration of an ejection in ms
    :param eject_max_share: maximum share of a service's instances ejected at once
    :param probe_successes: successful probes after an ejection before full use
    """

    load_lifetime_ms: float = 500.0
    threshold_lifetime_ms: float = 1_000.0
    probe_share: float = 0.02
    probe_interval_ms: float = 100.0
    refusal_pause_ms: float = 50.0
    new_instance_max_in_flight: int = 4
    eject_min_observations: int = 10
    eject_failure_share: float = 0.5
    eject_slow_factor: float = 4.0
    eject_slow_min_ms: float = 20.0
    eject_base_ms: float = 1_000.0
    eject_max_ms: float = 60_000.0
    eject_max_share: float = 1 / 3
    probe_successes: int = 3


@dataclass(slots=True, eq=False)
class TrackedInstance:
    """An instance and its observations.

    :param instance: identity and address
    :param in_flight: calls in flight to it
    :param observed_count: successes and failures since it was added or last ejected
    :param latency_ms: weighted mean latency in ms
    :param failure_share: weighted share of failures
    :param load: last load carried by a response
    :param admission_threshold: last threshold carried by a response
    :param responded_at_ms: time of the last response in ms
    :param full_until_ms: end of the pause after a refusal in ms
    :param ejected_until_ms: end of the ejection in ms
    :param ejections_count: recent ejections, which lengthen the next one; reduced while
        the instance is healthy
    :param probes_left: successful probes needed before it gets concurrent calls again
    """

    instance: Instance
    in_flight: int = 0
    observed_count: int = 0
    latency_ms: float = 0.0
    failure_share: float = 0.0
    load: float = 0.0
    admission_threshold: int = LOWEST_PRIORITY
    responded_at_ms: float = NEVER_MS
    full_until_ms: float = NEVER_MS
    ejected_until_ms: float = NEVER_MS
    ejections_count: int = 0
    probes_left: int = 0


@dataclass(slots=True)
class ServiceInstances:
    """Instances of one service.

    :param local: instances in the failure domain of the local node
    :param remote: instances in other failure domains
    :param members: instances in all failure domains
    :param probed_at_ms: time at which a refused call last passed as a probe in ms
    """

    local: list[TrackedInstance] = field(default_factory=list)
    remote: list[TrackedInstance] = field(default_factory=list)
    members: list[TrackedInstance] = field(default_factory=list)
    probed_at_ms: float = NEVER_MS

    def add(self, entry: TrackedInstance, is_local: bool) -> None:
        """Add an instance.

        :param entry: the instance
        :param is_local: whether it is in the failure domain of the local node
        """
        (self.local if is_local else self.remote).append(entry)
        self.members.append(entry)
