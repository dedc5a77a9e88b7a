"""Types shared by the mesh modules; the platform adapter builds them."""

import enum
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from briardock.mesh.descriptors import DEFAULT_MAX_DESCRIPTORS

Headers = list[tuple[bytes, bytes]]


# Returns the time since boot in s. Unlike the monotonic clock, it advances while the
# machine is suspended, so that a suspension does not extend deadlines. A partial avoids
# the call of a Python function, as each request reads the clock about ten times.
now_s: Callable[[], float] = partial(time.clock_gettime, time.CLOCK_BOOTTIME)


class TargetState(enum.StrEnum):
    """Whether a target accepts new requests."""

    ABSENT = "absent"
    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that receives a share of the traffic of a route.

    :param service: name of the service
    :param weight: share relative to the other services of the route
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Destination and handling of the requests for one host and path prefix.

    :param name: name given by the operator
    :param host: lower-case host without port
    :param path_prefix: prefix that begins and ends with a slash
    :param idempotent: whether a request may run more than once
    :param timeout_s: longest time until the final response
    :param objective_s: latency objective; a later response loses value
    :param priority: importance of its requests, 0 being the most important
    :param max_attempts: largest number of targets that receive one request
    :param services: services that share the traffic
    :param public: whether its requests need no key
    """

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    timeout_s: float
    objective_s: float
    priority: int
    max_attempts: int
    services: tuple[WeightedService, ...]
    public: bool = False


@dataclass(frozen=True, slots=True)
class Account:
    """Account of a client.

    :param name: name given by the operator
    :param priority: importance of its requests, 0 being the most important; ``None``
        if the operator gave none
    :param rate_per_s: limit on its requests, 0 for none
    :param burst: requests that it may send at once beyond the rate
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class AccountEntry:
    """An account and its keys, which no representation shows.

    :param account: the account
    :param keys: keys with which its clients authenticate
    """

    account: Account
    keys: tuple[str, ...] = field(repr=False)


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests.

    :param header_bytes: largest request head
    :param body_bytes: largest request body
    :param header_timeout_s: longest time to send a head
    :param idle_timeout_s: longest time between two requests on a connection
    """

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """One version of the operator's configuration.

    :param version: increases with each change
    :param routes: all routes
    :param limits: limits on callers
    :param document: encoded form that is sent to other nodes
    :param health_paths: path of the health check by service
    :param has_accounts: whether clients need keys, also if no account can be decoded
    :param accounts: accounts that can be decoded
    """

    version: int
    routes: tuple[Route, ...]
    limits: CallerLimits
    document: bytes = field(repr=False)
    health_paths: dict[str, str] = field(default_factory=dict)
    has_accounts: bool = False
    accounts: tuple[AccountEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Announcement:
    """Announcement of a target to the node beside it.

    :param target_id: id of the target process
    :param service: service that it belongs to
    :param address: host and port that it listens on
    :param slots: number of requests that it runs at once
    :param state: whether it accepts new requests
    :param sequence: increases with each announcement of one incarnation
    :param born_ms: start of the incarnation, Unix time in ms
    """

    target_id: str
    service: str
    address: str
    slots: int
    state: TargetState
    sequence: int
    born_ms: int


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Decoded headers of a caller's request.

    :param request_id: id that the caller gave to this attempt, or empty
    :param host: lower-case host without port
    :param deadline_s: time for which the caller waits, or ``None``
    :param forwarded: headers to forward, without those set by nodes
    :param credential: key of the client, empty if it is malformed; ``None`` without one
    """

    request_id: bytes
    host: str
    deadline_s: float | None
    forwarded: Headers
    credential: bytes | None = field(default=None, repr=False)


@dataclass(frozen=True, slots=True)
class TargetResponse:
    """Decoded headers of a target's response.

    :param complete_success: whether the headers that a valid success needs are present
    :param not_run: whether the target states that it did not run the request
    :param wrong_target: whether another target uses the address
    :param idle_timeout_s: time after which the target closes the connection
    :param slowness: ratio of the run time of work to the usual one, as the target
        states it
    """

    complete_success: bool
    not_run: bool
    wrong_target: bool
    idle_timeout_s: float | None
    slowness: float | None = None


@dataclass(frozen=True, slots=True)
class MeshSettings:
    """Settings of one node, decoded and checked by the platform adapter.

    :param node_id: name of the machine
    :param domain: failure domain
    :param service: service of the target beside the node
    :param target_address: host and port of that target
    :param caller_address: listens for requests of callers and the target
    :param peer_address: listens for requests of other nodes
    :param ready_address: listens for readiness checks
    :param announce_address: listens for announcements of the target
    :param metrics_port: port of the metrics page on the node's address
    :param store_address: host and port of the platform's store
    :param memory_bytes: memory limit of the process
    :param grace_s: time between a request to stop and the kill
    :param retry_ratio: retries per request that all nodes may send to a service
    :param retry_slack: additional retries in a window that all nodes may send
    :param retry_window_s: length of the window for ratio and slack
    :param max_descriptors: limit on the open descriptors of the process
    :param config_apply_s: longest time until an acknowledged configuration is in force
    :param strict_revocation: whether requests with keys need a configuration that is
        known to be current
    :param revoke_s: longest time until a withdrawn key is refused if so
    :param quota_window_s: window in which the admissions of an account are bounded
    :param quota_over_ratio: admissions of an account beyond its limit in a window, as a
        share of the limit
    :param quota_slack: the same as a number, in addition
    """

    node_id: str
    domain: str
    service: str
    target_address: str
    caller_address: str
    peer_address: str
    ready_address: str
    announce_address: str
    metrics_port: int
    store_address: str
    memory_bytes: int
    grace_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    max_descriptors: int = DEFAULT_MAX_DESCRIPTORS
    config_apply_s: float = 2.0
    strict_revocation: bool = False
    revoke_s: float = 5.0
    quota_window_s: float = 5.0
    quota_over_ratio: float = 0.1
    quota_slack: float = 20.0


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an address.

    :param address: ``host:port``
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
