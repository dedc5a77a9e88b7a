"""HTTP server for callers: one task per connection, h11 over anyio streams."""

import os
import select
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
import anyio.abc
import h11
import msgspec
from anyio.streams.stapled import MultiListener

from briardock._http import RECEIVE_BYTES, end_to_end, find_header, stream_fd
from briardock.clock import Clock, SystemClock
from briardock.events import Event, emit
from briardock.metrics import Metrics
from briardock.outcomes import REASONS, Headers, Reason

SWEEP_PERIOD_S = 0.25
# Time in which the rest of a refused request is read and thrown away, so that
# a reset does not destroy the answer on its way to the caller.
LINGER_S = 1.0

AnyListener = (
    anyio.abc.Listener[anyio.abc.SocketStream] | MultiListener[anyio.abc.SocketStream]
)

_STREAM_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)


@dataclass(slots=True)
class HttpRequest:
    """One whole request.

    :param method: HTTP method
    :param path: path with query
    :param headers: end-to-end headers, names in lower case
    :param body: whole body
    :param peer: numeric address of the caller, ``host:port``
    """

    method: str
    path: str
    headers: Headers
    body: bytes
    peer: str


@dataclass(slots=True)
class HttpResponse:
    """One whole answer.

    :param status: HTTP status code
    :param headers: end-to-end headers
    :param body: whole body
    """

    status: int
    headers: Headers = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of a listener.

    :param max_header_bytes: request line and headers of one request
    :param max_body_bytes: body of one request
    :param max_connections: connections open at once
    :param idle_timeout_s: silence after which a connection is closed, unless
        its request runs
    """

    max_header_bytes: int = 32_768
    max_body_bytes: int = 8 * 1024 * 1024
    max_connections: int = 2_000
    idle_timeout_s: float = 75.0


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class _Refusal(Exception):
    """A request that is answered without the handler.

    :param reason: typed kind
    :param detail: what was found
    :param status: HTTP status where it differs from that of the reason
    """

    def __init__(self, reason: Reason, detail: str, status: int = 0) -> None:
        super().__init__(detail)
        self.reason = reason
        self.detail = detail
        self.status = status or REASONS[reason].status


def refusal_response(reason: Reason, detail: str, status: int = 0) -> HttpResponse:
    """Return the JSON answer of a request that was not run.

    :param reason: typed kind
    :param detail: what was found
    :param status: HTTP status, 0 for that of the reason
    """
    info = REASONS[reason]
    fields = {
        "outcome": "not-run",
        "reason": reason.value,
        "detail": detail,
        "remedy": info.remedy,
    }
    headers = (
        (b"content-type", b"application/json"),
        (b"briardock-outcome", b"not-run"),
    )
    return HttpResponse(status or info.status, headers, msgspec.json.encode(fields))


class HttpControl:
    """Graceful stop of one listener."""

    def __init__(self) -> None:
        self.stopping = False
        self._stop = anyio.Event()

    def stop_accepting(self) -> None:
        """Accept no more connections and close each one as it becomes idle.

        Running requests are finished and answered with ``Connection: close``;
        ``serve_http`` returns after the last one.
        """
        self.stopping = True
        self._stop.set()

    async def wait_stopped(self) -> None:
        """Wait until ``stop_accepting`` was called."""
        await self._stop.wait()


class _Connection:
    """One caller connection; its task runs ``run``."""

    def __init__(self, server: "_Server", stream: anyio.abc.SocketStream) -> None:
        self._server = server
        self._stream = stream
        self._http = h11.Connection(h11.SERVER, server.limits.max_header_bytes)
        address = stream.extra(anyio.abc.SocketAttribute.remote_address)
        self._peer = f"{address[0]}:{address[1]}"
        self.scope = anyio.CancelScope()
        self.active_at_ms = server.clock.now_ms()
        self.running = False
        self.idle = True
        self.hung_up = False

    async def run(self) -> None:
        """Answer requests until either side closes."""
        with self.scope:
            try:
                while await self._serve_one():
                    pass
            except _STREAM_ERRORS:
                self._server.metrics.count("listener.disconnects")
        with anyio.CancelScope(shield=True):
            await self._stream.aclose()

    async def _serve_one(self) -> bool:
        """Serve one request; return whether the connection stays open."""
        try:
            request = await self._read_request()
        except _Refusal as refusal:
            await self._refuse(refusal)
            return False
        except h11.RemoteProtocolError as error:
            await self._refuse(_malformed(error))
            return False
        if request is None:
            return False
        response = await self._run_handler(request)
        return await self._respond(request.method, response)

    async def _read_request(self) -> HttpRequest | None:
        http = self._http
        head: h11.Request | None = None
        parts: list[bytes] = []
        size_bytes = 0
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                if http.they_are_waiting_for_100_continue:
                    await self._send_continue()
                await self._receive()
            elif type(event) is h11.Request:
                head = event
                self._check_length(event)
            elif type(event) is h11.Data:
                parts.append(bytes(event.data))
                size_bytes += len(event.data)
                if size_bytes > self._server.limits.max_body_bytes:
                    raise self._too_large()
            elif type(event) is h11.EndOfMessage and head is not None:
                return self._request(head, parts)
            else:
                return None

    def _request(self, head: h11.Request, parts: list[bytes]) -> HttpRequest:
        return HttpRequest(
            head.method.decode("ascii"),
            _origin_form(head.target.decode("ascii")),
            tuple(end_to_end(head.headers, request=True)),
            b"".join(parts),
            self._peer,
        )

    def _check_length(self, head: h11.Request) -> None:
        self.idle = False
        self.active_at_ms = self._server.clock.now_ms()
        declared = find_header(tuple(head.headers), b"content-length")
        if declared and int(declared) > self._server.limits.max_body_bytes:
            raise self._too_large()

    def _too_large(self) -> _Refusal:
        limit_bytes = self._server.limits.max_body_bytes
        return _Refusal(Reason.BODY_TOO_LARGE, f"body exceeds {limit_bytes} bytes")

    async def _receive(self) -> None:
        if self.idle:
            if self._server.control.stopping:
                raise anyio.EndOfStream
            data = await self._stream.receive(RECEIVE_BYTES)
        else:
            data = await self._stream.receive(RECEIVE_BYTES)
            self.active_at_ms = self._server.clock.now_ms()
        self.idle = False
        self._http.receive_data(data)

    async def _send_continue(self) -> None:
        event = h11.InformationalResponse(status_code=100, headers=[])
        await self._stream.send(self._http.send(event) or b"")

    async def _run_handler(self, request: HttpRequest) -> HttpResponse:
        server = self._server
        server.metrics.count("listener.requests")
        if self.hung_up:
            server.metrics.count("listener.cancelled")
            raise anyio.EndOfStream
        self.running = True
        try:
            return await server.handler(request)
        except Exception as error:
            server.metrics.count("listener.handler_errors")
            emit(Event.HTTP_HANDLER_FAILED, path=request.path, error=repr(error))
            return refusal_response(Reason.INTERNAL, "the handler failed")
        finally:
            self.running = False
            self.active_at_ms = server.clock.now_ms()

    async def _respond(self, method: str, response: HttpResponse) -> bool:
        """Write an answer; return whether the connection stays open."""
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
        if self._server.control.stopping:
            fields.append((b"connection", b"close"))
        try:
            head = http.send(h11.Response(status_code=response.status, headers=fields))
        except h11.LocalProtocolError as error:
            emit(Event.HTTP_HANDLER_FAILED, error=repr(error))
            return False
        if body:
            http.send(h11.Data(data=body))
        http.send(h11.EndOfMessage())
        await self._stream.send((head or b"") + body)
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            return False
        http.start_next_cycle()
        self.active_at_ms = self._server.clock.now_ms()
        self.idle = not http.trailing_data[0]
        return True

    async def _refuse(self, refusal: _Refusal) -> None:
        self._server.count_refusal(refusal.reason, refusal.detail, self._peer)
        response = refusal_response(refusal.reason, refusal.detail, refusal.status)
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        fields = [*response.headers, (b"connection", b"close")]
        fields.append((b"content-length", b"%d" % len(response.body)))
        event = h11.Response(status_code=response.status, headers=fields)
        data = (self._http.send(event) or b"") + response.body
        await send_and_linger(self._stream, data)


class _Server:
    """State shared by the connections of one listener."""

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits,
        metrics: Metrics,
        control: HttpControl,
        clock: Clock,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.metrics = metrics
        self.control = control
        self.clock = clock
        self.connections: dict[int, _Connection] = {}
        self.hangups = select.epoll()

    def count_refusal(self, reason: Reason, detail: str, peer: str) -> None:
        """Count and log one refused request."""
        self.metrics.count(f"listener.refused.{reason.value}")
        emit(Event.HTTP_REQUEST_REFUSED, reason=reason.value, peer=peer, detail=detail)

    async def accept(self, stream: anyio.abc.SocketStream) -> None:
        """Serve one accepted connection."""
        if len(self.connections) >= self.limits.max_connections:
            await self._turn_away(stream)
            return
        try:
            connection = _Connection(self, stream)
            # The duplicate stays valid when the transport closes its descriptor.
            fd = os.dup(stream_fd(stream))
        except (OSError, anyio.TypedAttributeLookupError):
            await stream.aclose()
            return
        self.connections[fd] = connection
        self.hangups.register(fd, select.EPOLLRDHUP | select.EPOLLET)
        try:
            await connection.run()
        finally:
            del self.connections[fd]
            self.hangups.unregister(fd)
            os.close(fd)

    async def _turn_away(self, stream: anyio.abc.SocketStream) -> None:
        detail = f"more than {self.limits.max_connections} connections"
        self.count_refusal(Reason.OVERLOADED, detail, "")
        http = h11.Connection(h11.SERVER)
        response = refusal_response(Reason.OVERLOADED, detail)
        fields = [*response.headers, (b"connection", b"close")]
        fields.append((b"content-length", b"%d" % len(response.body)))
        event = h11.Response(status_code=response.status, headers=fields)
        data = (http.send(event) or b"") + response.body
        try:
            await send_and_linger(stream, data)
        except _STREAM_ERRORS:
            self.metrics.count("listener.disconnects")
        await stream.aclose()

    async def watch_hangups(self) -> None:
        """Cancel the request of each caller that disconnects.

        The kernel reports the end of a connection to one epoll object, so a
        request costs neither a task nor a system call to watch its caller.
        """
        while True:
            await anyio.wait_readable(self.hangups.fileno())
            for fd, _flags in self.hangups.poll(0):
                self._hang_up(self.connections[fd])

    def _hang_up(self, connection: _Connection) -> None:
        connection.hung_up = True
        if connection.running:
            self.metrics.count("listener.cancelled")
            connection.scope.cancel()

    async def sweep_idle(self) -> None:
        """Close connections that are silent for too long."""
        period_s = min(SWEEP_PERIOD_S, self.limits.idle_timeout_s)
        while True:
            await anyio.sleep(period_s)
            oldest_ms = self.clock.now_ms() - self.limits.idle_timeout_s * 1000.0
            for connection in self.connections.values():
                if not connection.running and connection.active_at_ms < oldest_ms:
                    self.metrics.count("listener.idle_closed")
                    connection.scope.cancel()

    def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        for connection in self.connections.values():
            if connection.idle:
                connection.scope.cancel()


def _malformed(error: h11.RemoteProtocolError) -> _Refusal:
    status = error.error_status_hint
    return _Refusal(Reason.BAD_REQUEST, str(error), status if status == 431 else 0)


def _origin_form(target: str) -> str:
    """Return the path of a request target, which may be an absolute URL."""
    if not target.startswith("http://"):
        return target
    slash = target.find("/", len("http://"))
    return target[slash:] if slash > 0 else "/"


async def send_and_linger(stream: anyio.abc.SocketStream, data: bytes) -> None:
    """Send a last answer and discard what the caller still sends."""
    with anyio.move_on_after(LINGER_S):
        await stream.send(data)
        await stream.send_eof()
        try:
            while True:
                await stream.receive(RECEIVE_BYTES)
        except anyio.EndOfStream:
            return


async def serve_http(
    listener: AnyListener,
    handler: Handler,
    limits: HttpLimits,
    metrics: Metrics,
    control: HttpControl | None = None,
    clock: Clock | None = None,
) -> None:
    """Serve HTTP/1.1 until cancelled or until the control has stopped it.

    The handler is cancelled when its caller disconnects. An exception in the
    handler gives 500 ``internal-error``.

    :param listener: TCP listener; closed on return
    :param handler: makes the answer to one request
    :param limits: bounds of what callers may use
    :param metrics: counters
    :param control: graceful stop
    :param clock: time source of the idle timeout
    """
    control = control or HttpControl()
    server = _Server(handler, limits, metrics, control, clock or SystemClock())
    try:
        async with anyio.create_task_group() as helpers:
            helpers.start_soon(server.watch_hangups)
            helpers.start_soon(server.sweep_idle)
            async with anyio.create_task_group() as connections:
                async with anyio.create_task_group() as accepting:
                    accepting.start_soon(listener.serve, server.accept, connections)
                    await control.wait_stopped()
                    accepting.cancel_scope.cancel()
                await listener.aclose()
                server.close_idle()
            helpers.cancel_scope.cancel()
    finally:
        server.hangups.close()
        with anyio.CancelScope(shield=True):
            await listener.aclose()
