"""Plans of the stand-ins, read from JSON and validated when they are decoded."""

import enum
from pathlib import Path
from typing import TypeVar

import msgspec

from briardock.exceptions import SettingsError

NUMBER_PLACEHOLDER = "{n}"


class Distribution(enum.StrEnum):
    """Distribution of processing times."""

    EXPONENTIAL = "exponential"
    FIXED = "fixed"


class ChildCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A call that an operation makes to another service.

    :param service: name of the called service
    :param path: path below the service; ``{n}`` stands for the last segment of the
        calling request's path
    :param method: HTTP method
    :param label: ``Idempotency-Key`` of the child call, empty to send none
    :param required: whether the operation fails when the call does
    """

    service: str
    path: str
    method: str = "GET"
    label: str = ""
    required: bool = True


class OperationPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One operation of a target.

    :param name: name below the service
    :param path: path pattern; ``{x}`` matches one segment, ``*`` any path
    :param method: HTTP method, ``*`` for any
    :param service_ms: mean processing time in ms, without child calls
    :param distribution: distribution of the processing time
    :param answer_bytes: length of the padding in the response body
    :param calls: child calls, made after the processing time
    :param parallel: whether child calls run concurrently
    """

    name: str
    path: str = "*"
    method: str = "*"
    service_ms: float = 5.0
    distribution: Distribution = Distribution.EXPONENTIAL
    answer_bytes: int = 64
    calls: tuple[ChildCall, ...] = ()
    parallel: bool = False

    def matches(self, method: str, path: str) -> bool:
        """Return whether a request addresses this operation."""
        if self.method not in ("*", method):
            return False
        if self.path == "*":
            return True
        pattern = self.path.strip("/").split("/")
        segments = path.strip("/").split("/")
        if len(pattern) != len(segments):
            return False
        pairs = zip(pattern, segments, strict=True)
        return all(part == segment or part.startswith("{") for part, segment in pairs)


class TargetPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Behaviour of one target process.

    :param service: name of its service
    :param operations: operations; the first that matches a request handles it
    :param host: loopback address to listen on
    :param port: port of the service, 0 for any free port
    :param control_port: port of ``/faults`` and ``/status``, 0 for any free port
    :param node: ``host:port`` of the HTTP listener of the node beside it, empty
        for a target without a node
    :param upstreams: addresses per service, called directly without a node
    :param attempts: attempts of each direct child call
    :param call_timeout_ms: timeout of each attempt of a child call
    :param slots: requests that may run concurrently
    :param queue_length: requests that may wait for a slot; further ones are refused
    :param cancel_on_close: whether a close of the caller's connection stops its run
    :param cold_start_s: time after the start in which processing times are longer
    :param cold_factor: factor of processing times at the start, which falls linearly
        to 1
    :param announce_s: time between announcements
    :param drain_idle_s: time without a request after which a leaving target exits
    :param crash_marker: text in a request body that makes the process exit abruptly
    :param ledger: path of the JSON lines ledger, empty for none
    :param seed: seed of processing times and of upstream choices
    """

    service: str
    operations: tuple[OperationPlan, ...] = (OperationPlan("any"),)
    host: str = "127.0.0.1"
    port: int = 0
    control_port: int = 0
    node: str = ""
    upstreams: dict[str, tuple[str, ...]] = {}
    attempts: int = 1
    call_timeout_ms: float = 30_000.0
    slots: int = 32
    queue_length: int = 64
    cancel_on_close: bool = True
    cold_start_s: float = 0.0
    cold_factor: float = 4.0
    announce_s: float = 1.0
    drain_idle_s: float = 0.2
    crash_marker: str = "crash-target"
    ledger: str = ""
    seed: int = 0


class ActionPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of user action that callers send.

    :param operation: full name, ``service.name``
    :param path: path below the service; ``{n}`` stands for the action's number
    :param class_name: operation class, for the report
    :param method: HTTP method
    :param weight: relative frequency among the actions of the mix
    :param keyed: whether it is sent with an ``Idempotency-Key`` issued by a node
    :param deadline_ms: time after which the response is of no use to the caller
    :param body: request body; ``{n}`` as in the path
    :param resends: most resends with the same key, until one succeeds
    :param resend_delay_ms: time before each resend
    """

    operation: str
    path: str
    class_name: str = "normal"
    method: str = "GET"
    weight: float = 1.0
    keyed: bool = False
    deadline_ms: float = 2_000.0
    body: str = ""
    resends: int = 0
    resend_delay_ms: float = 0.0

    def numbered(self, number: int) -> "ActionPlan":
        """Return the action with its number in path and body.

        Distinct content matters because nodes quarantine a request by its content.
        """
        text = str(number)
        return msgspec.structs.replace(
            self,
            path=self.path.replace(NUMBER_PLACEHOLDER, text),
            body=self.body.replace(NUMBER_PLACEHOLDER, text),
        )

    @property
    def service(self) -> str:
        """Return the name of the called service."""
        return self.operation.partition(".")[0]


class Phase(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One period of the arrival schedule.

    :param duration_s: duration
    :param multiple: arrival rate as a multiple of the plan's rate
    """

    duration_s: float
    multiple: float = 1.0


class LoadPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Open-loop load of many callers.

    :param entries: ``host:port`` of nodes, or of targets if ``direct``
    :param actions: weighted mix of actions
    :param phases: arrival schedule
    :param rate_per_s: mean arrivals per second at multiple 1
    :param direct: whether entries are targets, which take paths without the service
    :param foreign_key_share: share of keyed actions sent to another node than the
        issuer of their key
    :param answer_grace_ms: time after the deadline until the caller closes the
        connection
    :param source_host: IP address to connect from, empty for any
    :param ledger: path of the JSON lines ledger, empty for none
    :param seed: seed of arrivals and of the choice of actions and nodes
    """

    entries: tuple[str, ...]
    actions: tuple[ActionPlan, ...]
    phases: tuple[Phase, ...] = (Phase(10.0),)
    rate_per_s: float = 100.0
    direct: bool = False
    foreign_key_share: float = 0.1
    answer_grace_ms: float = 500.0
    source_host: str = ""
    ledger: str = ""
    seed: int = 0


class RelayLink(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One listening port of a relay.

    :param port: port that is advertised in place of the real one
    :param to: ``host:port`` that connections are relayed to
    :param domain: failure domain of that address
    """

    port: int
    to: str
    domain: str


class RelayPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Domains and links of a relay.

    :param domains: source IP address of each failure domain
    :param links: listening ports
    :param host: loopback address to listen on
    :param control_port: port of ``/paths``, 0 for any free port
    :param delay_ms: one-way delay between different domains
    """

    domains: dict[str, str]
    links: tuple[RelayLink, ...]
    host: str = "127.0.0.1"
    control_port: int = 0
    delay_ms: float = 0.0


Plan = TypeVar("Plan", TargetPlan, LoadPlan, RelayPlan)


def read_plan(path: Path, kind: type[Plan]) -> Plan:
    """Return the plan in a JSON file.

    :param path: JSON file
    :param kind: type of plan
    :raises SettingsError: if the file is missing or malformed
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=kind)
    except OSError as error:
        raise SettingsError(f"cannot read plan {path}: {error.strerror}") from error
    except msgspec.DecodeError as error:
        remedy = "see briardock_standins.plans for the fields"
        raise SettingsError(f"invalid plan {path}: {error}", remedy) from error
