"""One caller connection of the HTTP server, its requests and responses."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
import anyio.abc
import h11
import msgspec

from briardock._http import (
    RECEIVE_BYTES,
    STREAM_ERRORS,
    end_to_end,
    find_header,
    has_input,
    stream_fd,
)
from briardock.clock import Clock
from briardock.events import Event, emit
from briardock.metrics import Metrics
from briardock.outcomes import REASONS, Headers, Reason
from briardock.sockets import send_end

HEADERS_TOO_LARGE = 431
NOT_IMPLEMENTED = 501
VERSION_NOT_SUPPORTED = 505
# Time to read and discard the rest of a refused request, so that a TCP reset does
# not discard the response before the caller reads it.
LINGER_S = 1.0


@dataclass(slots=True)
class HttpRequest:
    """A complete request.

    :param method: HTTP method
    :param path: path with query
    :param headers: end-to-end headers, names in lower case
    :param body: complete body
    :param peer: numeric address of the caller, ``host:port``
    """

    method: str
    path: str
    headers: Headers
    body: bytes
    peer: str


@dataclass(slots=True)
class HttpResponse:
    """A complete response.

    :param status: HTTP status code
    :param headers: end-to-end headers
    :param body: complete body
    """

    status: int
    headers: Headers = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of a listener.

    :param max_header_bytes: size of the request line and headers
    :param max_body_bytes: size of a request body
    :param max_connections: number of open connections
    :param idle_timeout_s: time without input after which a connection is closed,
        unless a request is running
    """

    max_header_bytes: int = 32_768
    max_body_bytes: int = 8 * 1024 * 1024
    max_connections: int = 2_000
    idle_timeout_s: float = 75.0


FieldList = list[tuple[bytes, bytes]]
Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class _Refusal(Exception):
    """A request that is refused without calling the handler.

    :param reason: reason code
    :param detail: cause of the refusal
    :param status: HTTP status if it differs from that of the reason
    """

    def __init__(self, reason: Reason, detail: str, status: int = 0) -> None:
        super().__init__(detail)
        self.reason = reason
        self.detail = detail
        self.status = status or REASONS[reason].status


def refusal_response(
    reason: Reason, detail: str, status: int = 0, outcome: str = "not-run"
) -> HttpResponse:
    """Return the JSON response to a request that has no response of a target.

    :param reason: reason code
    :param detail: cause of the refusal or failure
    :param status: HTTP status, 0 for that of the reason
    :param outcome: ``not-run``, or ``unknown`` if the request may have run
    """
    info = REASONS[reason]
    fields = {
        "outcome": outcome,
        "reason": reason.value,
        "detail": detail,
        "remedy": info.remedy,
    }
    headers = (
        (b"content-type", b"application/json"),
        (b"briardock-outcome", outcome.encode()),
    )
    return HttpResponse(status or info.status, headers, msgspec.json.encode(fields))


def _handler_error_response() -> HttpResponse:
    # The handler may have dispatched the request before it failed.
    return refusal_response(Reason.INTERNAL, "the handler failed", outcome="unknown")


class HttpContext:
    """State shared by the connections of one listener.

    :param handler: returns the response to a request
    :param limits: limits for callers
    :param metrics: counters
    :param clock: time source
    """

    def __init__(
        self, handler: Handler, limits: HttpLimits, metrics: Metrics, clock: Clock
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.metrics = metrics
        self.clock = clock
        self.stopping = False

    def count_refusal(self, reason: Reason, detail: str, peer: str) -> None:
        """Count and log a refused request."""
        self.metrics.count(f"listener.refused.{reason.value}")
        emit(Event.HTTP_REQUEST_REFUSED, reason=reason.value, peer=peer, detail=detail)

    def count_handler_error(self, where: str, error: Exception) -> None:
        """Count and log an error of the handler."""
        self.metrics.count("listener.handler_errors")
        emit(Event.HTTP_HANDLER_FAILED, where=where, error=repr(error))


class HttpConnection:
    """One caller connection; its task runs ``run``."""

    def __init__(self, context: HttpContext, stream: anyio.abc.SocketStream) -> None:
        self._context = context
        self._stream = stream
        self._http = h11.Connection(h11.SERVER, context.limits.max_header_bytes)
        address = stream.extra(anyio.abc.SocketAttribute.remote_address)
        self._peer = f"{address[0]}:{address[1]}"
        self.scope = anyio.CancelScope()
        self.active_at_ms = context.clock.now_ms()
        self.running = False
        self.idle = True
        # No byte has been read yet; the first request may already be in transit.
        self.unused = True
        self.disconnected = False
        self._received_bytes = 0

    def is_inactive_since(self, since_ms: float) -> bool:
        """Return whether no request runs and there was no activity since a time.

        :param since_ms: clock reading in ms
        """
        if self.running or self.active_at_ms >= since_ms:
            return False
        return not (self.idle and has_input(self._stream))

    async def run(self) -> None:
        """Serve requests until either side closes the connection.

        A request that arrives between the idle check of the connection and its close
        is still served.
        """
        await self._serve_until_cancelled()
        while self.scope.cancelled_caught and not self._end_if_unused():
            self.scope = anyio.CancelScope()
            await self._serve_until_cancelled()

    async def _serve_until_cancelled(self) -> None:
        with self.scope:
            try:
                while await self._serve_request():
                    pass
            except STREAM_ERRORS:
                if not self.idle:
                    self._context.metrics.count("listener.disconnects")

    def _end_if_unused(self) -> bool:
        """Send the end of the stream unless a request waits; return whether none does.

        The caller must see the end at once: a later request would get no response.
        """
        if not self.idle or self.disconnected:
            return True
        if has_input(self._stream):
            return False
        send_end(stream_fd(self._stream), self._peer)
        return True

    async def _serve_request(self) -> bool:
        """Serve one request; return whether the connection stays open."""
        # The last response may have been sent without Connection: close.
        is_closing = self.idle and self._context.stopping and not self.unused
        if is_closing and self._end_if_unused():
            return False
        try:
            request = await self._read_request()
        except _Refusal as refusal:
            await self._refuse(refusal)
            return False
        except h11.RemoteProtocolError as error:
            await self._refuse(_malformed_request(error))
            return False
        if request is None:
            return False
        response = await self._run_handler(request)
        return await self._respond(request.method, response)

    async def _read_request(self) -> HttpRequest | None:
        http = self._http
        self._received_bytes = len(http.trailing_data[0])
        head: h11.Request | None = None
        chunks: list[bytes] = []
        size_bytes = 0
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                if http.they_are_waiting_for_100_continue:
                    await self._send_continue()
                await self._receive()
            elif type(event) is h11.Request:
                head = event
                fields = event.headers.raw_items()
                self._check_head(event, fields)
            elif type(event) is h11.Data:
                chunks.append(bytes(event.data))
                size_bytes += len(event.data)
                if size_bytes > self._context.limits.max_body_bytes:
                    raise self._body_too_large()
            elif type(event) is h11.EndOfMessage and head is not None:
                return self._build_request(head, fields, chunks)
            else:
                return None

    def _build_request(
        self, head: h11.Request, fields: FieldList, chunks: list[bytes]
    ) -> HttpRequest:
        return HttpRequest(
            head.method.decode("ascii"),
            _origin_form(head.target.decode("ascii")),
            tuple(end_to_end(fields, request=True)),
            b"".join(chunks),
            self._peer,
        )

    def _check_head(self, head: h11.Request, fields: FieldList) -> None:
        limits = self._context.limits
        if not head.http_version.startswith(b"1."):
            detail = f"HTTP version {head.http_version.decode()}"
            raise _Refusal(Reason.BAD_REQUEST, detail, VERSION_NOT_SUPPORTED)
        # h11 limits only headers that do not end within one read.
        if self._received_bytes > limits.max_header_bytes:
            size_bytes = sum(len(name) + len(value) + 4 for name, value in fields)
            if size_bytes > limits.max_header_bytes:
                detail = f"headers exceed {limits.max_header_bytes} bytes"
                raise _Refusal(Reason.BAD_REQUEST, detail, HEADERS_TOO_LARGE)
        for name, value in fields:
            if len(name) == 14 and name.lower() == b"content-length":
                if int(value) > limits.max_body_bytes:
                    raise self._body_too_large()
                return

    def _body_too_large(self) -> _Refusal:
        limit_bytes = self._context.limits.max_body_bytes
        return _Refusal(Reason.BODY_TOO_LARGE, f"body exceeds {limit_bytes} bytes")

    async def _receive(self) -> None:
        data = await self._stream.receive(RECEIVE_BYTES)
        self._received_bytes += len(data)
        # A complete request head has to arrive within the idle timeout; a body may
        # take longer as long as data keeps arriving.
        if self.idle or self._http.their_state is h11.SEND_BODY:
            self.active_at_ms = self._context.clock.now_ms()
        self.idle = self.unused = False
        self._http.receive_data(data)

    async def _send_continue(self) -> None:
        event = h11.InformationalResponse(status_code=100, headers=[])
        await self._stream.send(self._http.send(event) or b"")

    async def _run_handler(self, request: HttpRequest) -> HttpResponse:
        context = self._context
        context.metrics.count("listener.requests")
        if self.disconnected:
            context.metrics.count("listener.cancelled")
            raise anyio.EndOfStream
        self.running = True
        try:
            return await context.handler(request)
        except Exception as error:
            context.count_handler_error(request.path, error)
            return _handler_error_response()
        finally:
            self.running = False
            self.active_at_ms = context.clock.now_ms()

    async def _respond(self, method: str, response: HttpResponse) -> bool:
        """Send a response; return whether the connection stays open."""
        try:
            data = self._encode(method, response)
        except (h11.LocalProtocolError, UnicodeError) as error:
            self._context.count_handler_error("response is not valid HTTP", error)
            await self._stream.send(encode_final_response(_handler_error_response()))
            return False
        await self._stream.send(data)
        http = self._http
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            return False
        self.idle = not http.trailing_data[0]
        self.active_at_ms = self._context.clock.now_ms()
        http.start_next_cycle()
        return True

    def _encode(self, method: str, response: HttpResponse) -> bytes:
        http = self._http
        fields = end_to_end(response.headers, request=False)
        body = response.body
        if method == "HEAD" or response.status in (204, 304):
            declared = find_header(response.headers, b"content-length")
            if declared is not None and response.status != 204:
                fields.append((b"content-length", declared))
            body = b""
        else:
            fields.append((b"content-length", b"%d" % len(body)))
        if self._context.stopping:
            fields.append((b"connection", b"close"))
        event = h11.Response(status_code=response.status, headers=fields)
        head = http.send(event) or b""
        if body:
            http.send(h11.Data(data=body))
        http.send(h11.EndOfMessage())
        return head + body

    async def _refuse(self, refusal: _Refusal) -> None:
        self._context.count_refusal(refusal.reason, refusal.detail, self._peer)
        response = refusal_response(refusal.reason, refusal.detail, refusal.status)
        await send_and_linger(self._stream, encode_final_response(response))


def _malformed_request(error: h11.RemoteProtocolError) -> _Refusal:
    status = error.error_status_hint
    status_override = status if status in (HEADERS_TOO_LARGE, NOT_IMPLEMENTED) else 0
    return _Refusal(Reason.BAD_REQUEST, str(error), status_override)


def _origin_form(target: str) -> str:
    """Return the path of a request target, which may be an absolute URL."""
    if not target.startswith("http://"):
        return target
    slash = target.find("/", len("http://"))
    return target[slash:] if slash > 0 else "/"


def encode_final_response(response: HttpResponse) -> bytes:
    """Return the bytes of a response after which the connection is closed."""
    fields = [*response.headers, (b"connection", b"close")]
    fields.append((b"content-length", b"%d" % len(response.body)))
    event = h11.Response(status_code=response.status, headers=fields)
    head = h11.Connection(h11.SERVER).send(event) or b""
    return head + response.body


async def send_and_linger(stream: anyio.abc.SocketStream, data: bytes) -> None:
    """Send a final response and discard further input from the caller."""
    with anyio.move_on_after(LINGER_S):
        await stream.send(data)
        await stream.send_eof()
        try:
            while True:
                await stream.receive(RECEIVE_BYTES)
        except anyio.EndOfStream:
            return
