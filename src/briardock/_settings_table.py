"""Definitions of the settings of a node process.

The suffix of a field name is the unit, the annotation holds the range and the
description, and the value is the default.
"""

from dataclasses import dataclass
from typing import Annotated, Literal, NamedTuple

from msgspec import Meta

MAX_SEEDS = 64
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9_-]{0,63}\Z"


class Address(NamedTuple):
    """Numeric IP address and port of a node."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class NodeSection:
    """Identity, addresses and limits of the node."""

    node_id: Annotated[
        str, Meta(pattern=NAME_PATTERN, description="unique name of this node")
    ]
    region: Annotated[str, Meta(pattern=NAME_PATTERN, description="region of the node")]
    failure_domain: Annotated[
        str, Meta(pattern=NAME_PATTERN, description="failure domain of the node")
    ]
    service: Annotated[
        str,
        Meta(
            pattern=r"^([A-Za-z0-9][A-Za-z0-9_-]{0,63})?\Z",
            description="service of the target beside the node; empty for none",
        ),
    ] = ""
    host: Annotated[
        str, Meta(description="numeric IP address the listeners bind to")
    ] = "127.0.0.1"
    http_port: Annotated[
        int,
        Meta(ge=0, le=65535, description="port for callers; 0 lets the system pick"),
    ] = 8400
    call_port: Annotated[
        int,
        Meta(ge=0, le=65535, description="port for calls from nodes; 0 as above"),
    ] = 8401
    gossip_port: Annotated[
        int,
        Meta(ge=0, le=65535, description="port for gossip from nodes; 0 as above"),
    ] = 8402
    advertise_host: Annotated[
        str,
        Meta(description="numeric IP address told to other nodes; empty means host"),
    ] = ""
    advertise_call_port: Annotated[
        int,
        Meta(
            ge=0,
            le=65535,
            description="call port told to other nodes; 0 means call_port",
        ),
    ] = 0
    advertise_gossip_port: Annotated[
        int,
        Meta(
            ge=0,
            le=65535,
            description="gossip port told to other nodes; 0 means gossip_port",
        ),
    ] = 0
    source_host: Annotated[
        str | None,
        Meta(description="numeric IP address that outgoing connections start from"),
    ] = None
    seeds: Annotated[
        tuple[Address, ...],
        Meta(
            max_length=MAX_SEEDS,
            description="gossip addresses of first contacts, list of host:port",
        ),
    ] = ()
    max_body_kb: Annotated[
        int, Meta(ge=1, le=16_000, description="largest request or answer body")
    ] = 1_024
    max_header_kb: Annotated[
        int, Meta(ge=1, le=256, description="largest request or answer head")
    ] = 32
    max_connections: Annotated[
        int, Meta(ge=1, le=65_000, description="caller connections open at once")
    ] = 2_000
    key_lifetime_s: Annotated[
        int,
        Meta(ge=1, le=86_400, description="time after issue that a key can be used"),
    ] = 300
    seed: Annotated[
        int | None,
        Meta(description="seed of random decisions, to repeat a run; empty for none"),
    ] = None


@dataclass(frozen=True, slots=True)
class AdminSection:
    """Endpoint for operators."""

    host: Annotated[str, Meta(description="numeric IP address to bind to")] = (
        "127.0.0.1"
    )
    port: Annotated[
        int, Meta(ge=0, le=65535, description="port; 0 lets the system pick")
    ] = 8403
    token: Annotated[
        str,
        Meta(
            max_length=256,
            description="bearer token of operators; required unless host is loopback",
        ),
    ] = ""


@dataclass(frozen=True, slots=True)
class LogSection:
    """Client of the platform log."""

    host: Annotated[str, Meta(description="numeric IP address of the service")] = (
        "127.0.0.1"
    )
    port: Annotated[int, Meta(ge=1, le=65535, description="port of the service")] = 8410
    timeout_ms: Annotated[
        int, Meta(ge=10, le=60_000, description="longest wait for one answer")
    ] = 2_000
    poll_ms: Annotated[
        int, Meta(ge=10, le=60_000, description="longest time between two reads")
    ] = 500


@dataclass(frozen=True, slots=True)
class StatsdSection:
    """Receiver of metrics."""

    host: Annotated[
        str, Meta(description="numeric IP address of the receiver; empty for none")
    ] = ""
    port: Annotated[
        int, Meta(ge=1, le=65535, description="UDP port of the receiver")
    ] = 8125
    prefix: Annotated[
        str,
        Meta(pattern=r"^[A-Za-z0-9_.-]{0,64}\Z", description="prefix of all names"),
    ] = "briardock"


@dataclass(frozen=True, slots=True)
class LoggingSection:
    """Log of the process."""

    level: Annotated[
        Literal["DEBUG", "INFO", "WARNING", "ERROR"],
        Meta(description="lowest severity that is written"),
    ] = "INFO"


@dataclass(frozen=True, slots=True)
class AdmissionSection:
    """Admission of calls to the target; the published policy bounds its queue."""

    window_ms: Annotated[
        int, Meta(ge=10, le=10_000, description="window over which load is judged")
    ] = 100
    overload_wait_ms: Annotated[
        int, Meta(ge=1, le=10_000, description="mean wait that counts as overload")
    ] = 5
    initial_limit: Annotated[
        int, Meta(ge=1, le=10_000, description="concurrent runs at start")
    ] = 32
    min_limit: Annotated[
        int, Meta(ge=1, le=10_000, description="smallest limit of concurrent runs")
    ] = 8
    max_limit: Annotated[
        int, Meta(ge=1, le=100_000, description="largest limit of concurrent runs")
    ] = 400
    cold_start_s: Annotated[
        float,
        Meta(ge=0, le=3_600, description="time until a new target gets its full share"),
    ] = 10.0


@dataclass(frozen=True, slots=True)
class RoutingSection:
    """Choice of instances and retries."""

    retry_ratio: Annotated[
        float, Meta(ge=0, le=1, description="retries per first attempt of this node")
    ] = 0.05
    eject_share: Annotated[
        float, Meta(ge=0, le=1, description="largest ejected share of a service")
    ] = 0.5
    eject_s: Annotated[
        float, Meta(ge=0.1, le=600, description="first ejection; later ones are longer")
    ] = 5.0


@dataclass(frozen=True, slots=True)
class GossipSection:
    """Membership and spreading of configuration."""

    period_ms: Annotated[
        int, Meta(ge=50, le=60_000, description="time between two probes")
    ] = 1_000
    ack_timeout_ms: Annotated[
        int, Meta(ge=5, le=30_000, description="wait for an answer to a probe")
    ] = 300
    suspicion_ms: Annotated[
        int, Meta(ge=50, le=600_000, description="suspicion before unreachable")
    ] = 3_000
    fanout: Annotated[
        int, Meta(ge=1, le=32, description="members a change is pushed to")
    ] = 4


@dataclass(frozen=True, slots=True)
class QuarantineSection:
    """Requests whose targets died."""

    deaths: Annotated[
        int, Meta(ge=1, le=100, description="deaths before a request is refused")
    ] = 2
    expiry_s: Annotated[
        int, Meta(ge=1, le=86_400, description="time that an entry is held")
    ] = 600
    max_entries: Annotated[
        int, Meta(ge=1, le=100_000, description="entries held at once")
    ] = 1_000


@dataclass(frozen=True, slots=True)
class DrainSection:
    """Leaving."""

    timeout_s: Annotated[
        float, Meta(ge=0, le=3_600, description="longest wait for work in flight")
    ] = 30.0


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """All settings of one node process, by section."""

    node: NodeSection
    admin: AdminSection
    log: LogSection
    statsd: StatsdSection
    logging: LoggingSection
    admission: AdmissionSection
    routing: RoutingSection
    gossip: GossipSection
    quarantine: QuarantineSection
    drain: DrainSection
