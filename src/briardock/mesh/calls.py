"""Calls between nodes, their results, and the encoding of both.

A call keeps the method, path, headers and body of the request; one additional header
carries the data for the receiving node. A response carries the result in one header.
"""

from dataclasses import dataclass

from briardock.mesh.http1 import Body, Request, Response, encode_request_head
from briardock.mesh.http_client import ClientConnection
from briardock.mesh.model import Headers
from briardock.overload.chain import ChainThreshold, InstanceThresholds
from briardock.overload.cost import MAX_SEGMENT_BYTES, Kind, request_kind
from briardock.overload.target_work import RunWork, WorkReport
from briardock.overload.waiting import Waiting

CALL_HEADER = b"briardock-call"
RESULT_HEADER = b"briardock-result"
# The account of the client has a header of its own, because a node of the earlier
# release would take a further part of the call header for one of the request id.
ACCOUNT_HEADER = b"briardock-account"
# Outcome that marks a preceding header of the same name, with the work of the target.
# Nodes of earlier releases read only the last header of this name.
WORK = b"work"
MAX_WORK_BYTES = 100
# Headers that nodes add to messages between them. They add no others, so hop-by-hop
# headers (RFC 9110) need not be looked up here.
INTERNODE_HEADERS = frozenset(
    {CALL_HEADER, RESULT_HEADER, ACCOUNT_HEADER, b"content-length", b"connection"}
)
# Deducted from the remaining time for the transfer to the other node, s.
HOP_ALLOWANCE_S = 0.002
# Flags of a call.
FROM_CALLER = 1
MAY_HAND_ON = 2


@dataclass(slots=True)
class Call:
    """A request forwarded to one target.

    :param method: method
    :param target: path and query
    :param headers: end-to-end headers of the caller
    :param body: whole body
    :param request_id: id given by the caller
    :param service: service that has to run it
    :param target_id: target that has to run it
    :param caller_service: service of the node at which it entered
    :param idempotent: whether it may run more than once
    :param priority: rank by the priorities of its account and its route
    :param from_caller: whether it was sent by a caller rather than a target
    :param expires_s: time at which its result is no longer wanted
    :param may_hand_on: whether the sender would rather choose another instance than
        let it wait for a slot
    :param connection: connection on which it was sent from this node
    :param account: name of the client's account, empty without one, ``None`` if the
        node at which it entered has no accounts in its configuration
    :param run_work: its work, once it has run here and if it was measured
    """

    method: bytes
    target: bytes
    headers: Headers
    body: Body
    request_id: bytes
    service: str
    target_id: str
    caller_service: str
    idempotent: bool
    priority: int
    from_caller: bool
    expires_s: float
    may_hand_on: bool = False
    connection: ClientConnection | None = None
    account: str | None = None
    run_work: RunWork | None = None

    @property
    def has_response(self) -> bool:
        """Whether its response was read, although its task may not have resumed."""
        return self.connection is not None and self.connection.has_response

    @property
    def kind(self) -> Kind:
        """What tells it apart from calls of other cost."""
        segment = self.target.split(b"/", 2)[1:2]
        route = segment[0][:MAX_SEGMENT_BYTES].decode("latin-1") if segment else ""
        account = self.account or ""
        return request_kind(route, self.target, len(self.body), account)

    @property
    def waiting(self) -> Waiting:
        """What decides how it waits for a slot."""
        return Waiting(
            self.priority, self.from_caller, self.expires_s, self.may_hand_on
        )


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an instance at the time of a result.

    :param in_flight: requests running and queued
    :param thresholds: admission thresholds of the instance and its chain
    :param work: work at the target, if it states how slow it is
    """

    in_flight: int
    thresholds: InstanceThresholds
    work: WorkReport | None = None


@dataclass(frozen=True, slots=True)
class Completed:
    """The target responded.

    :param response: its response, unchanged
    """

    response: Response


@dataclass(frozen=True, slots=True)
class NotRun:
    """The target has not run the request and will not.

    :param reason: why
    :param arrived: whether the target itself received and rejected it
    :param busy: whether it was handed on because no slot was free
    """

    reason: str
    arrived: bool = False
    busy: bool = False


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run.

    :param reason: why its result is not known
    :param own_shortage: whether this process lacked memory for the response, which
        tells nothing about the target; it is not passed to other nodes
    """

    reason: str
    own_shortage: bool = False


Result = Completed | NotRun | Unknown


def encode_call_head(call: Call, now: float) -> bytes:
    """Return the encoded head of the request to the other node.

    :param call: call to forward
    :param now: current time in s since boot
    """
    remaining_ms = int((call.expires_s - now - HOP_ALLOWANCE_S) * 1000)
    flags = FROM_CALLER * call.from_caller + MAY_HAND_ON * call.may_hand_on
    info = ";".join(
        (
            call.service,
            call.target_id,
            call.caller_service,
            "1" if call.idempotent else "0",
            str(call.priority),
            str(flags),
            str(max(0, remaining_ms)),
            call.request_id.decode("latin-1"),
        )
    )
    headers = [*call.headers, (CALL_HEADER, info.encode("latin-1"))]
    if call.account is not None:
        headers.append((ACCOUNT_HEADER, call.account.encode()))
    return encode_request_head(call.method, call.target, headers, len(call.body))


def _split_headers(headers: Headers) -> tuple[dict[bytes, list[bytes]], Headers]:
    """Return the values of the headers between nodes by name, and the other headers."""
    internode: dict[bytes, list[bytes]] = {}
    forwarded = []
    for header in headers:
        if header[0] in INTERNODE_HEADERS:
            internode.setdefault(header[0], []).append(header[1])
        else:
            forwarded.append(header)
    return internode, forwarded


def is_call(request: Request) -> bool:
    """Return whether a request of another node is a call.

    Its path is the one that a client has chosen and tells nothing.

    :param request: request on the address for peers
    """
    return any(name == CALL_HEADER for name, _ in request.headers)


def decode_call(request: Request) -> Call | None:
    """Return the call in a request of another node, or ``None`` if it is malformed.

    :param request: request on the address for peers
    """
    internode, headers = _split_headers(request.headers)
    values = internode.get(CALL_HEADER)
    if not values:
        return None
    parts = values[-1].decode("latin-1").split(";", 7)
    if len(parts) != 8:
        return None
    service, target_id, caller_service, idempotent = parts[:4]
    request_id_text = parts[7]
    try:
        priority, flags, remaining_ms = (int(part) for part in parts[4:7])
    except ValueError:
        return None
    if min(priority, flags, remaining_ms) < 0:
        return None
    accounts = internode.get(ACCOUNT_HEADER)
    return Call(
        method=request.method,
        target=request.target,
        headers=headers,
        body=request.body,
        request_id=request_id_text.encode("latin-1"),
        service=service,
        target_id=target_id,
        caller_service=caller_service,
        idempotent=idempotent == "1",
        priority=priority,
        from_caller=bool(flags & FROM_CALLER),
        expires_s=request.received_s + remaining_ms / 1000,
        may_hand_on=bool(flags & MAY_HAND_ON),
        account=accounts[-1].decode("utf-8", "replace") if accounts else None,
    )


def encode_result(result: Result, load: LoadReport) -> Response:
    """Return the response to the other node.

    :param result: result of a call
    :param load: load of the instance
    """
    chain = ",".join(
        f"{service}={reported.threshold:.3f}@{int(reported.age_s * 1000)}"
        for service, reported in load.thresholds.chain.items()
    )
    load_fields = f"{load.in_flight};{load.thresholds.instance:.3f};{chain}"
    work = [(RESULT_HEADER, _encode_work(load.work))] if load.work is not None else []
    match result:
        case Completed(response):
            info = f"completed;;{load_fields}"
            headers = [*response.headers, *work, (RESULT_HEADER, info.encode())]
            return Response(response.status, headers, response.body)
        case NotRun(reason, arrived, busy):
            outcome = "busy" if busy else "rejected" if arrived else "not-run"
            info = f"{outcome};{reason};{load_fields}"
        case Unknown(reason):
            info = f"unknown;{reason};{load_fields}"
    return Response(502, [*work, (RESULT_HEADER, info.encode())])


def _encode_work(work: WorkReport) -> bytes:
    run = work.run or RunWork(0.0, 0.0)
    return b"work;%d;%d;%d;%d;%d" % (
        work.start_delay_s * 1e6,
        work.room,
        work.slowness * 100,
        run.work_s * 1e6,
        run.expected_s * 1e6,
    )


def _decode_work(values: list[bytes]) -> WorkReport | None:
    """Return the work in the last header but one, ``None`` without a valid one."""
    if len(values) < 2 or len(values[-2]) > MAX_WORK_BYTES:
        return None
    parts = values[-2].split(b";")
    if len(parts) != 6 or parts[0] != WORK:
        return None
    try:
        delay_us, room, slowness_percent, work_us, expected_us = map(int, parts[1:])
    except ValueError:
        return None
    if delay_us < 0 or slowness_percent <= 0:
        return None
    run = None
    if work_us > 0 and expected_us >= 0:
        run = RunWork(work_us / 1e6, expected_us / 1e6)
    return WorkReport(delay_us / 1e6, room, slowness_percent / 100, run)


def _decode_chain(text: str) -> dict[str, ChainThreshold]:
    decoded_chain = {}
    for item in text.split(",") if text else ():
        service, _, reported = item.rpartition("=")
        threshold, _, age_ms = reported.partition("@")
        decoded_chain[service] = ChainThreshold(float(threshold), int(age_ms) / 1000)
    return decoded_chain


def decode_result(response: Response) -> tuple[Result, LoadReport | None]:
    """Return the result and load in the response of another node.

    :param response: response on a connection to a node
    """
    internode, headers = _split_headers(response.headers)
    values = internode.get(RESULT_HEADER, [])
    parts = values[-1].decode("latin-1").split(";") if values else []
    if len(parts) != 5:
        return Unknown("response of no node"), None
    outcome, reason, in_flight, instance, chain = parts
    try:
        thresholds = InstanceThresholds(float(instance), _decode_chain(chain))
        load = LoadReport(int(in_flight), thresholds, _decode_work(values))
    except ValueError:
        return Unknown("malformed load report"), None
    match outcome:
        case "completed":
            return Completed(Response(response.status, headers, response.body)), load
        case "rejected":
            return NotRun(reason, arrived=True), load
        case "busy":
            return NotRun(reason, busy=True), load
        case "not-run":
            return NotRun(reason), load
    return Unknown(reason), load
