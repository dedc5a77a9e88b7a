"""HTTP server for callers: one task per connection, h11 over anyio streams."""

import contextlib
import math
import select

import anyio
import anyio.abc

from briardock._http import (
    STREAM_ERRORS,
    AnyListener,
    accept_backlog,
    accept_forever,
    stream_fd,
)
from briardock._httpconnection import (
    Handler,
    HttpConnection,
    HttpContext,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    encode_final_response,
    refusal_response,
    send_and_linger,
)
from briardock.clock import Clock, SystemClock
from briardock.metrics import Metrics
from briardock.outcomes import Reason

__all__ = [
    "Handler",
    "HttpControl",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "refusal_response",
    "serve_http",
]

SWEEP_PERIOD_S = 0.25
# Connections over the limit that are refused with a response at the same time; any
# others are closed without a response.
MAX_CONCURRENT_REFUSALS = 64
# Time for the first request of a connection to arrive after the listener has stopped
# accepting. The caller connected before the port was closed.
FIRST_REQUEST_GRACE_S = 0.1


class HttpControl:
    """Controls the graceful shutdown of one listener."""

    def __init__(self) -> None:
        self._stop = anyio.Event()

    def stop_accepting(self) -> None:
        """Stop accepting connections and close each open one when it becomes idle.

        Requests in flight are finished, with ``Connection: close`` in the response;
        ``serve_http`` returns after the last one.
        """
        self._stop.set()

    async def wait_stopped(self) -> None:
        """Wait until ``stop_accepting`` is called."""
        await self._stop.wait()


class _Server:
    """Connections of one listener."""

    def __init__(self, context: HttpContext) -> None:
        self.disconnect_epoll = select.epoll()
        self._context = context
        self._connections: dict[int, HttpConnection] = {}
        self._refusal_count = 0

    async def accept(self, stream: anyio.abc.SocketStream) -> None:
        """Serve one accepted connection."""
        if len(self._connections) >= self._context.limits.max_connections:
            await self._refuse_connection(stream)
            return
        try:
            connection = HttpConnection(self._context, stream)
            fd = stream_fd(stream)
            self.disconnect_epoll.register(fd, select.EPOLLRDHUP | select.EPOLLET)
        except (OSError, anyio.TypedAttributeLookupError):
            self._context.metrics.count("listener.disconnects")
            await stream.aclose()
            return
        self._connections[fd] = connection
        try:
            await connection.run()
        finally:
            self._unregister(fd, connection)
            with anyio.CancelScope(shield=True):
                await stream.aclose()

    def _unregister(self, fd: int, connection: HttpConnection) -> None:
        # A failed transport has already closed its descriptor, which also removed
        # it from the epoll object; another connection may use the same number now.
        if self._connections.get(fd) is not connection:
            return
        del self._connections[fd]
        with contextlib.suppress(OSError):
            self.disconnect_epoll.unregister(fd)

    async def _refuse_connection(self, stream: anyio.abc.SocketStream) -> None:
        detail = f"more than {self._context.limits.max_connections} connections"
        self._context.count_refusal(Reason.OVERLOADED, detail, "")
        data = encode_final_response(refusal_response(Reason.OVERLOADED, detail))
        self._refusal_count += 1
        try:
            if self._refusal_count <= MAX_CONCURRENT_REFUSALS:
                await send_and_linger(stream, data)
        except STREAM_ERRORS:
            self._context.metrics.count("listener.disconnects")
        finally:
            self._refusal_count -= 1
            with anyio.CancelScope(shield=True):
                await stream.aclose()

    async def watch_disconnects(self) -> None:
        """Cancel the running request of each caller that disconnects.

        One epoll object reports all disconnects, so that watching the caller costs
        a request neither a task nor a system call.
        """
        while True:
            await anyio.wait_readable(self.disconnect_epoll.fileno())
            for fd, _flags in self.disconnect_epoll.poll(0):
                self._handle_disconnect(self._connections.get(fd))

    def _handle_disconnect(self, connection: HttpConnection | None) -> None:
        if connection is None:
            return
        connection.disconnected = True
        if connection.running:
            self._context.metrics.count("listener.cancelled")
            connection.scope.cancel()

    async def sweep_idle(self) -> None:
        """Close connections that exceed the idle timeout."""
        period_s = min(SWEEP_PERIOD_S, self._context.limits.idle_timeout_s)
        while True:
            await anyio.sleep(period_s)
            cutoff_ms = (
                self._context.clock.now_ms()
                - self._context.limits.idle_timeout_s * 1000.0
            )
            for connection in list(self._connections.values()):
                if connection.is_inactive_since(cutoff_ms):
                    self._context.metrics.count("listener.idle_closed")
                    connection.scope.cancel()

    async def close_idle(self) -> None:
        """Close the idle connections; those without any request yet are closed last."""
        self._close_idle(unused=False)
        if any(connection.unused for connection in self._connections.values()):
            await anyio.sleep(FIRST_REQUEST_GRACE_S)
            self._close_idle(unused=True)

    def _close_idle(self, unused: bool) -> None:
        for connection in list(self._connections.values()):
            if connection.unused is not unused:
                continue
            if connection.is_inactive_since(math.inf) and connection.idle:
                connection.scope.cancel()


async def serve_http(
    listener: AnyListener,
    handler: Handler,
    limits: HttpLimits,
    metrics: Metrics,
    control: HttpControl | None = None,
    clock: Clock | None = None,
) -> None:
    """Serve HTTP/1.1 until cancelled or until ``control`` has stopped it.

    The handler is cancelled when its caller closes the connection, or only its
    sending half. An exception in the handler gives status 500, ``internal-error``,
    with the outcome ``unknown``.

    :param listener: TCP listener; closed on return
    :param handler: returns the response to a request
    :param limits: limits for callers
    :param metrics: counters
    :param control: graceful shutdown of the listener
    :param clock: time source of the idle timeout
    """
    control = control or HttpControl()
    context = HttpContext(handler, limits, metrics, clock or SystemClock())
    server = _Server(context)
    try:
        async with anyio.create_task_group() as background_tasks:
            background_tasks.start_soon(server.watch_disconnects)
            background_tasks.start_soon(server.sweep_idle)
            async with anyio.create_task_group() as connections:
                async with anyio.create_task_group() as accepting:
                    accepting.start_soon(
                        accept_forever, listener, server.accept, connections
                    )
                    await control.wait_stopped()
                    context.stopping = True
                    accepting.cancel_scope.cancel()
                accept_backlog(listener, server.accept, connections)
                await listener.aclose()
                await server.close_idle()
            background_tasks.cancel_scope.cancel()
    finally:
        server.disconnect_epoll.close()
        with anyio.CancelScope(shield=True):
            await listener.aclose()
