"""HTTP/1.1 server that runs one task per connection."""

import asyncio
import select
from collections import deque
from collections.abc import Awaitable, Callable
from typing import cast

import httptools

from briardock.mesh.decisions import DecisionLog
from briardock.mesh.http1 import Request, Response, encode_response
from briardock.mesh.model import CallerLimits, Headers, now_s

# Pipelined requests on one connection at which further bytes are kept unparsed, and
# the number of these bytes at which reading is paused. While it is paused, the node
# does not learn that the caller has left, so the number exceeds what most callers send
# ahead.
MAX_PIPELINED_REQUESTS = 4
MAX_UNPARSED_BYTES = 1024 * 1024
# Default limit on the request bodies buffered by one server, bytes.
DEFAULT_BUFFERED_BYTES = 64 * 1024 * 1024
# Longest time for which a connection is read on after its last response was sent, s.
# The kernel discards what it still holds of a response if the socket is closed with
# unread bytes.
LINGER_S = 1.0
# Period of the check for idle and slow connections, s.
SWEEP_PERIOD_S = 1.0

Handler = Callable[[Request], Awaitable[Response]]


class HttpServer:
    """HTTP/1.1 server that runs one task per connection.

    :param handler: returns the response to a request
    :param limits: limits on callers; may be replaced while the server runs
    :param log: decision log
    :param max_buffered_bytes: limit on the bodies buffered on all connections
    """

    def __init__(
        self,
        handler: Handler,
        limits: CallerLimits,
        log: DecisionLog,
        max_buffered_bytes: int = DEFAULT_BUFFERED_BYTES,
    ) -> None:
        self._handler = handler
        self._log = log
        self.max_buffered_bytes = max_buffered_bytes
        self.buffered_bytes = 0
        self.limits = limits
        self.connections: set[ServerConnection] = set()
        self.closing = False
        self._server: asyncio.Server | None = None

    @property
    def exceeds_buffer_limit(self) -> bool:
        """Whether the buffered bodies exceed their limit."""
        return self.buffered_bytes > self.max_buffered_bytes

    @property
    def busy_count(self) -> int:
        """Number of connections with a request or with unsent bytes of a response."""
        return sum(
            not connection.idle or connection.has_unsent_bytes
            for connection in self.connections
        )

    async def start(self, host: str, port: int) -> None:
        """Listen on an address.

        :param host: numeric address
        :param port: port
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=1024
        )

    async def respond(self, request: Request) -> Response:
        """Return the handler's response, or 500 if it raises an exception.

        :param request: complete request
        """
        try:
            return await self._handler(request)
        except Exception as error:
            self._log.event(
                "handler-failed",
                target=request.target.decode("latin-1"),
                error=f"{type(error).__name__}: {error}",
            )
            return Response(500, close=True)

    async def sweep(self) -> None:
        """Close connections that are idle or whose request head is late."""
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            now = now_s()
            for connection in list(self.connections):
                connection.enforce_timeouts(now)

    def close_idle(self, min_idle_s: float = 0.0) -> None:
        """Close the connections without a request being read, pending or in flight.

        :param min_idle_s: time for which they must have been idle
        """
        latest_active_s = now_s() - min_idle_s
        for connection in list(self.connections):
            if connection.idle and connection.last_active_s <= latest_active_s:
                connection.close_gracefully()

    def stop_listening(self) -> None:
        """Refuse new connections."""
        if self._server is not None:
            self._server.close()


class ServerConnection(asyncio.Protocol):
    """One connection to the server."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._disconnect_poll = select.poll()
        self._pending_requests: deque[Request] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._responding = False
        self._reading = False
        # Status of the refusal that ends the connection, sent after the responses to
        # the requests before it.
        self._refusal_status: int | None = None
        # Whether the last response was written; what is received then is discarded.
        self._has_ended = False
        self._unparsed = bytearray()
        self._buffered_bytes = 0
        self.last_active_s = now_s()
        self._reset_message()

    def _reset_message(self) -> None:
        self._target = b""
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0
        self._in_head = True
        self._expects_continue = False
        self._ends_connection = False

    @property
    def idle(self) -> bool:
        """Whether no request is read, pending or in flight, and none was the last."""
        return not (
            self._responding
            or self._reading
            or self._pending_requests
            or self._has_ended
        )

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether bytes of a response have not been handed to the kernel yet."""
        return bool(self._transport and self._transport.get_write_buffer_size())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task that serves this connection."""
        # uvloop's transports do not derive from those of asyncio.
        self._transport = cast(asyncio.Transport, transport)
        socket = transport.get_extra_info("socket")
        self._disconnect_poll.register(socket.fileno(), select.POLLRDHUP)
        self._server.connections.add(self)
        self._task = asyncio.get_running_loop().create_task(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests of a caller that has disconnected."""
        self._server.connections.discard(self)
        self._count_buffered(-self._buffered_bytes)
        if self._task is not None:
            self._task.cancel()

    def _count_buffered(self, size_bytes: int) -> None:
        self._buffered_bytes += size_bytes
        self._server.buffered_bytes += size_bytes

    def eof_received(self) -> bool:
        """Treat a half-close by the caller as a disconnect."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse what the caller sent."""
        if self._refusal_status is not None or self._has_ended:
            return
        if len(self._pending_requests) >= MAX_PIPELINED_REQUESTS:
            self._unparsed += data
            self._count_buffered(len(data))
            if len(self._unparsed) >= MAX_UNPARSED_BYTES and self._transport:
                self._transport.pause_reading()
            return
        self._parse(data)

    def _parse(self, data: bytes) -> None:
        limits = self._server.limits
        if self._in_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError:
            self._refuse(400)
        if self._in_head and self._head_bytes > limits.header_bytes:
            self._refuse(431)
        elif self._body_bytes > limits.body_bytes:
            self._refuse(413)
        elif self._body_bytes and self._server.exceeds_buffer_limit:
            # Refuses only connections that are sending a body.
            self._refuse(503)

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reset_message()
        self._reading = True
        self._received_s = now_s()

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target, which may arrive in several parts."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        name = name.lower()
        self._headers.append((name, value))
        if name == b"expect":
            self._expects_continue = True
        elif name == b"connection" and b"close" in value.lower():
            self._ends_connection = True

    def on_headers_complete(self) -> None:
        """Send 100 Continue to a caller that expects it."""
        self._in_head = False
        self._head_bytes = 0
        if self._expects_continue and self._transport:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        self._body.append(body)
        self._body_bytes += len(body)
        self._count_buffered(len(body))

    def on_message_complete(self) -> None:
        """Queue a complete request for the task of the connection."""
        if self._body_bytes > self._server.limits.body_bytes:
            self._refuse(413)
        if self._refusal_status is not None:
            # Requests after the refused one are discarded.
            return
        request = Request(
            self._parser.get_method(),
            self._target,
            self._headers,
            b"".join(self._body),
            self._received_s,
            self._ends_connection,
        )
        self._pending_requests.append(request)
        self._reading = False
        # Bytes of the next head are counted before on_message_begin is called.
        self._in_head = True
        self._body_bytes = 0
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _serve(self) -> None:
        assert self._transport is not None
        loop = asyncio.get_running_loop()
        while not self._transport.is_closing():
            if not self._pending_requests:
                self._waiter = loop.create_future()
                await self._waiter
            request = self._pending_requests.popleft()
            if self._unparsed and len(self._pending_requests) < MAX_PIPELINED_REQUESTS:
                self._parse_kept()
            if self._disconnect_poll.poll(0):
                # The end of the connection is read only after what came before it, so a
                # node that was frozen would pass on requests of callers that have left.
                self._transport.close()
                return
            self._responding = True
            response = await self._server.respond(request)
            # After an announced close, the caller reads no further responses.
            is_last = not self._pending_requests
            response.close = is_last and (
                response.close or request.ends_connection or self._server.closing
            )
            if self._transport.is_closing():
                return
            self._transport.write(encode_response(response, request.method == b"HEAD"))
            self._responding = False
            self._count_buffered(-len(request.body))
            self.last_active_s = now_s()
            if response.close:
                self._end_responses()
                return
            if self._refusal_status is not None and not self._pending_requests:
                self._end_with_refusal(self._refusal_status)
                return

    def _parse_kept(self) -> None:
        assert self._transport is not None
        kept, self._unparsed = bytes(self._unparsed), bytearray()
        self._count_buffered(-len(kept))
        self._parse(kept)
        if len(kept) >= MAX_UNPARSED_BYTES:
            self._transport.resume_reading()

    def _refuse(self, status: int) -> None:
        if self._refusal_status is not None:
            return
        self._refusal_status = status
        if not self._responding and not self._pending_requests:
            self._end_with_refusal(status)

    def _end_with_refusal(self, status: int) -> None:
        assert self._transport is not None
        self._transport.write(encode_response(Response(status, close=True)))
        self._end_responses()

    def _end_responses(self) -> None:
        """Send the end of the stream; close the connection when the caller does."""
        assert self._transport is not None
        self._has_ended = True
        self._transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, self._close_once_sent)

    def _close_once_sent(self) -> None:
        if self.has_unsent_bytes:
            asyncio.get_running_loop().call_later(LINGER_S, self._close_once_sent)
        else:
            self.close_gracefully()

    def enforce_timeouts(self, now: float) -> None:
        """Close the connection if it is idle or its request head is late.

        :param now: current time in s since boot
        """
        limits = self._server.limits
        if self._responding or self._pending_requests or self._has_ended:
            return
        if self._reading:
            if self._in_head and now - self._received_s > limits.header_timeout_s:
                self._refuse(408)
        elif now - self.last_active_s > limits.idle_timeout_s:
            self.close_gracefully()

    def close_gracefully(self) -> None:
        """Close the connection after sending buffered data."""
        if self._transport is not None:
            self._transport.close()
