"""Decoding and encoding of the platform's headers, announcements and configuration."""

import re
from typing import Any

import msgspec

from briardock.mesh.dialect import Departure, Undecodable
from briardock.mesh.http1 import Request, Response, end_to_end
from briardock.mesh.model import (
    Account,
    AccountEntry,
    Announcement,
    CallerLimits,
    Headers,
    RequestHead,
    Route,
    RoutingConfig,
    TargetResponse,
    TargetState,
    WeightedService,
)

REQUEST_ID = b"request-id"
DEADLINE = b"deadline-ms"
SIGNATURE = b"response-signature"
EXPECTED_TARGET = b"expected-instance"
NOT_RUN = b"not-executed"
CALLER = b"caller-service"
RETRY_AFTER = b"retry-after"
INSTANCE_ID = b"instance-id"
AUTHORIZATION = b"authorization"
ACCOUNT = b"tenant-id"
SERVER_LOAD = b"server-load"
HEADERS_SET_BY_NODES = frozenset({DEADLINE, EXPECTED_TARGET, CALLER})
# Kinds of routes whose requests may run more than once.
IDEMPOTENT_KINDS = frozenset({"idempotent", "download"})

_ANNOUNCEMENT = re.compile(rb"^/instances/([^/?]+)/(heartbeat|deregister)$")
_DURATION = re.compile(r"^(\d+(?:\.\d+)?)(ms|s)$")
_CONTROL_CHARACTER = re.compile(r"[\x00-\x1f\x7f]")
# Running, waiting, slots and the time that work takes in hundredths of the usual one.
_SERVER_LOAD = re.compile(rb"\d{1,9},\d{1,9},\d{1,9},(\d{1,6})")
_KEEP_ALIVE = re.compile(rb"timeout=(\d+)")


def parse_duration_s(text: str) -> float:
    """Parse a duration such as ``1500ms`` or ``2.5s``; return it in s.

    :param text: number and unit
    :raises ValueError: if it is not a duration
    """
    matched = _DURATION.match(text)
    if matched is None:
        raise ValueError(f"{text!r} is not a duration such as 1500ms or 2.5s")
    value = float(matched[1])
    return value / 1000 if matched[2] == "ms" else value


class _Heartbeat(msgspec.Struct):
    """Body of a target's heartbeat; ``sequence`` restarts with each ``born``.

    Unused fields are declared so that a body without them fails to decode.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: str
    sequence: int
    cold_remaining: str = msgspec.field(name="cold-remaining")
    # Start of the target process, Unix time in ms.
    born: int = 0


class _Deregistration(msgspec.Struct):
    """Body of a target's deregistration; ``born`` as in the heartbeat."""

    born: int = 0


class _Part(msgspec.Struct):
    service: str
    weight: float


class _RouteSpec(msgspec.Struct, rename="kebab"):
    host: str
    path_prefix: str
    kind: str
    timeout: str
    max_attempts: int
    target_latency: str = "1s"
    priority: int = 0
    service: str = ""
    weighted_services: list[_Part] = []
    public: bool = False


class _LimitsSpec(msgspec.Struct, rename="kebab"):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout: str
    idle_timeout: str


class _ServiceSpec(msgspec.Struct, rename="kebab"):
    health_path: str | None = None


class _AccountSpec(msgspec.Struct, rename="kebab"):
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float | None = None
    burst: float | None = None


class _Resource(msgspec.Struct, rename="kebab"):
    # Kind of the resource; despite its name, not a URL.
    type_url: str
    metadata: dict[str, Any]
    spec: msgspec.Raw


class _Document(msgspec.Struct):
    version: int
    resources: list[_Resource]


_ACCOUNT_DECODER = msgspec.json.Decoder(_AccountSpec)


class PlatformDialect:
    """Implements ``briardock.mesh.dialect.Dialect``."""

    def decode_request(
        self, request: Request, with_accounts: bool = False
    ) -> RequestHead:
        """Decode the headers of a caller's request."""
        request_id = host = b""
        deadline_s = None
        credential = None
        headers = end_to_end(request.headers)
        if with_accounts:
            headers, credential = _split_identity(headers)
        forwarded: Headers = []
        for header in headers:
            name, value = header
            if name in HEADERS_SET_BY_NODES:
                if name == DEADLINE and value.isdigit():
                    deadline_s = int(value) / 1000
            else:
                forwarded.append(header)
                if name == REQUEST_ID:
                    request_id = value
                elif name == b"host":
                    host = value
        host_name = host.decode("latin-1").partition(":")[0].lower()
        return RequestHead(request_id, host_name, deadline_s, forwarded, credential)

    def without_identity(self, headers: Headers) -> Headers:
        """Return headers without the key of a client and any account header."""
        return _split_identity(headers)[0]

    def target_headers(
        self,
        forwarded: Headers,
        remaining_s: float,
        caller_service: str,
        target_id: str,
        account: str | None = None,
    ) -> Headers:
        """Return the headers of a request to a target."""
        headers = [
            *forwarded,
            (DEADLINE, b"%d" % max(1, int(remaining_s * 1000))),
            (EXPECTED_TARGET, target_id.encode()),
            (CALLER, caller_service.encode()),
        ]
        if account:
            headers.append((ACCOUNT, account.encode()))
        return headers

    def is_response_to(
        self, response: Response, request_id: bytes, reused: bool
    ) -> bool:
        """Return whether a response belongs to the request with the given id.

        On a reused connection a response without an id may be a late copy of an
        earlier one, unless the target could not read an id from the request.
        """
        response_id = _find_header(response.headers, REQUEST_ID)
        if response_id is None:
            not_run = _find_header(response.headers, NOT_RUN) is not None
            return not_run or not reused or not request_id
        return response_id == request_id

    def decode_target_response(self, response: Response) -> TargetResponse:
        """Decode the headers of a target's response."""
        headers = dict(response.headers)
        keep_alive = _KEEP_ALIVE.search(headers.get(b"keep-alive", b""))
        wrong_target = response.status == 421
        return TargetResponse(
            complete_success=SIGNATURE in headers
            and b"content-encoding" not in headers,
            not_run=NOT_RUN in headers or wrong_target,
            wrong_target=wrong_target,
            idle_timeout_s=float(keep_alive[1]) if keep_alive else None,
            slowness=_decode_slowness(headers.get(SERVER_LOAD)),
        )

    def decode_health(self, response: Response) -> str:
        """Return the id of the target that accepts requests, or an empty string."""
        if response.status != 200:
            return ""
        return (_find_header(response.headers, INSTANCE_ID) or b"").decode("latin-1")

    def refusal_headers(self, retry_after_s: float) -> Headers:
        """Return the headers that tell a caller when to retry."""
        return [(RETRY_AFTER, b"%.3f" % retry_after_s)]

    def challenge_headers(self) -> Headers:
        """Return the headers that tell a client to send a key."""
        return [(b"www-authenticate", b"Bearer")]

    def decode_announcement(
        self, request: Request
    ) -> Announcement | Departure | Undecodable:
        """Decode an announcement of a target."""
        matched = _ANNOUNCEMENT.match(request.target)
        if matched is None:
            return Undecodable("unknown path")
        target_id = matched[1].decode("latin-1")
        try:
            if matched[2] == b"deregister":
                body = request.body or b"{}"
                departure = msgspec.json.decode(body, type=_Deregistration)
                return Departure(target_id, departure.born)
            heartbeat = msgspec.json.decode(request.body, type=_Heartbeat)
            parse_duration_s(heartbeat.cold_remaining)
            states = {"ready": TargetState.READY, "draining": TargetState.LEAVING}
            return Announcement(
                target_id,
                heartbeat.service,
                heartbeat.address,
                heartbeat.slots,
                states[heartbeat.state],
                heartbeat.sequence,
                heartbeat.born,
            )
        except (msgspec.DecodeError, ValueError, KeyError) as error:
            return Undecodable(f"announcement: {error}")

    def decode_config(self, document: bytes) -> RoutingConfig | Undecodable:
        """Decode a configuration document of the operator."""
        try:
            decoded = msgspec.json.decode(document, type=_Document)
            routes = []
            limits = CallerLimits()
            health_paths = {}
            has_accounts = False
            accounts = []
            for resource in decoded.resources:
                if resource.type_url == "routes":
                    routes.append(_decode_route(resource))
                elif resource.type_url == "limits":
                    limits = _decode_limits(resource)
                elif resource.type_url == "services":
                    name = str(resource.metadata.get("name", ""))
                    health_paths[name] = _decode_health_path(resource)
                elif resource.type_url == "tenants":
                    has_accounts = True
                    if (entry := _decode_account(resource)) is not None:
                        accounts.append(entry)
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            return Undecodable(f"configuration: {error}")
        return RoutingConfig(
            decoded.version,
            tuple(routes),
            limits,
            document,
            health_paths,
            has_accounts,
            tuple(accounts),
        )


def _decode_route(resource: _Resource) -> Route:
    spec = msgspec.json.decode(resource.spec, type=_RouteSpec)
    parts = tuple(WeightedService(p.service, p.weight) for p in spec.weighted_services)
    return Route(
        name=str(resource.metadata.get("name", "")),
        host=spec.host.lower(),
        path_prefix=spec.path_prefix,
        idempotent=spec.kind in IDEMPOTENT_KINDS,
        timeout_s=_duration_s("timeout", spec.timeout),
        objective_s=_duration_s("target-latency", spec.target_latency),
        priority=spec.priority,
        max_attempts=spec.max_attempts,
        services=parts or (WeightedService(spec.service, 1.0),),
        public=spec.public,
    )


def _duration_s(key: str, text: str) -> float:
    """Return a duration in s.

    :raises ValueError: that names the key as messages of msgspec do
    """
    try:
        return parse_duration_s(text)
    except ValueError as error:
        raise ValueError(f"{error} - at `$.{key}`") from None


def _decode_health_path(resource: _Resource) -> str:
    return msgspec.json.decode(resource.spec, type=_ServiceSpec).health_path or ""


def _decode_account(resource: _Resource) -> AccountEntry | None:
    """Return an account, or ``None`` if it cannot be decoded.

    The others stay in force, because one malformed account must not keep a key of
    another from being withdrawn.
    """
    try:
        return _require_account(resource)
    except (msgspec.DecodeError, ValueError):
        return None


def _require_account(resource: _Resource) -> AccountEntry:
    """Return an account.

    :raises ValueError: if it cannot be decoded; the message has no key of a client
    """
    name = resource.metadata.get("name")
    spec = _ACCOUNT_DECODER.decode(resource.spec)
    if (
        not isinstance(name, str)
        or not name
        or name != name.strip()
        or _CONTROL_CHARACTER.search(name)
    ):
        raise ValueError("Expected printable text, not padded - at `$.name`")
    rate_per_s, burst = spec.rate_per_s or 0.0, spec.burst or 0.0
    if min(rate_per_s, burst) < 0.0:
        key = "rate-per-s" if rate_per_s < 0.0 else "burst"
        raise ValueError(f"Expected a number of 0 or more - at `$.{key}`")
    account = Account(name, spec.priority, rate_per_s, burst)
    return AccountEntry(account, tuple(spec.api_keys))


def _decode_limits(resource: _Resource) -> CallerLimits:
    spec = msgspec.json.decode(resource.spec, type=_LimitsSpec)
    return CallerLimits(
        spec.max_header_bytes,
        spec.max_body_bytes,
        _duration_s("header-timeout", spec.header_timeout),
        _duration_s("idle-timeout", spec.idle_timeout),
    )


def _split_identity(headers: Headers) -> tuple[Headers, bytes | None]:
    """Return headers without key and account, and the key.

    A request with several keys has none that is valid, as it is not defined which one
    would count.
    """
    kept: Headers = []
    credential: bytes | None = None
    for header in headers:
        name, value = header
        if name == AUTHORIZATION:
            parts = value.split(None, 1)
            if parts and parts[0].lower() == b"bearer":
                is_only = credential is None
                key = parts[1].strip() if len(parts) == 2 else b""
                credential = key if is_only else b""
                continue
        elif name == ACCOUNT:
            continue
        kept.append(header)
    return kept, credential


def _decode_slowness(load: bytes | None) -> float | None:
    """Return how slow a target states that it is, ``None`` if it does not."""
    matched = _SERVER_LOAD.fullmatch(load.replace(b" ", b"")) if load else None
    return int(matched[1]) / 100 or None if matched else None


def _find_header(headers: Headers, name: bytes) -> bytes | None:
    for key, value in headers:
        if key == name:
            return value
    return None
