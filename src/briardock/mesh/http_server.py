"""HTTP/1.1 server that runs one task per connection."""

import asyncio
from collections.abc import Awaitable, Callable
from heapq import nsmallest

from briardock.mesh.decisions import DecisionLog
from briardock.mesh.descriptors import DEFAULT_MAX_DESCRIPTORS
from briardock.mesh.http1 import Request, Response
from briardock.mesh.memory import MemoryAccount
from briardock.mesh.model import CallerLimits, now_s
from briardock.mesh.parse_pace import ParsePace
from briardock.mesh.server_connection import ServerConnection

# Share of the account that the unread responses of a listener may take up. The rest is
# for requests.
MAX_UNREAD_SHARE = 0.5
# Share of its connections that a full listener closes at once, so that the search for
# those that are idle is rare.
CLOSED_SHARE = 1 / 32
# Period of the check for idle and slow connections, s.
SWEEP_PERIOD_S = 1.0

Handler = Callable[[Request], Awaitable[Response]]


class HttpServer:
    """HTTP/1.1 server that runs one task per connection.

    :param handler: returns the response to a request
    :param limits: limits on callers; may be replaced while the server runs
    :param log: decision log
    :param memory: account of what all connections of the process hold
    :param max_connections: largest number of connections
    :param pace: pace at which all connections of the process parse costly requests
    """

    def __init__(
        self,
        handler: Handler,
        limits: CallerLimits,
        log: DecisionLog,
        memory: MemoryAccount | None = None,
        max_connections: int = DEFAULT_MAX_DESCRIPTORS,
        pace: ParsePace | None = None,
    ) -> None:
        self._handler = handler
        self._max_connections = max_connections
        self.log = log
        self.memory = memory or MemoryAccount()
        self.pace = pace or ParsePace()
        self.limits = limits
        self.connections: set[ServerConnection] = set()
        self.closing = False
        self._server: asyncio.Server | None = None

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

    def limit_unread(self) -> None:
        """Close connections with unread responses if these use too much memory.

        Those without progress for longest are closed first, so that clients which read
        keep theirs.
        """
        now = now_s()
        blocked = []
        for connection in self.connections:
            connection.update_unread(now)
            since_s = connection.unread.blocked_since_s
            if since_s is not None and connection.unread.counted_bytes:
                blocked.append((since_s, connection))
        excess_bytes = sum(other.unread.counted_bytes for _, other in blocked)
        excess_bytes -= int(MAX_UNREAD_SHARE * self.memory.limit_bytes)
        closed = 0
        for _, connection in sorted(blocked, key=lambda item: item[0]):
            if excess_bytes <= 0:
                break
            excess_bytes -= connection.unread.counted_bytes
            connection.abort()
            closed += 1
        if closed:
            self.log.event(
                "unread-closed",
                connections=closed,
                all_held_bytes=self.memory.used_bytes,
            )

    async def respond(self, request: Request) -> Response:
        """Return the handler's response, or 500 if it raises an exception.

        :param request: complete request
        """
        try:
            return await self._handler(request)
        except Exception as error:
            self.log.event(
                "handler-failed",
                target=request.target.decode("latin-1"),
                error=f"{type(error).__name__}: {error}",
            )
            return Response(500, close=True)

    async def sweep(self) -> None:
        """Close connections that are idle or whose request is late."""
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            now = now_s()
            for connection in list(self.connections):
                connection.enforce_timeouts(now)

    def add_connection(self, connection: ServerConnection) -> None:
        """Add a connection; close others, or the new one, beyond the limit.

        :param connection: connection that was just accepted
        """
        self.connections.add(connection)
        if len(self.connections) <= self._max_connections:
            return
        order = {other: other.closing_order for other in self.connections}
        closable = [other for other in order if order[other] and other != connection]
        count = max(1, int(self._max_connections * CLOSED_SHARE))
        closed = nsmallest(count, closable, key=order.__getitem__) or [connection]
        self.log.event(
            "connections-closed",
            count=len(closed),
            new=closed == [connection],
            open=len(self.connections),
        )
        for other in closed:
            other.abort()

    def close_idle(self, min_idle_s: float = 0.0) -> None:
        """Close the connections without a request being read, pending or in flight.

        :param min_idle_s: time for which they must have been idle
        """
        latest_active_s = now_s() - min_idle_s
        for connection in list(self.connections):
            if connection.idle and connection.last_active_s <= latest_active_s:
                connection.close_if_unused()

    def stop_listening(self) -> None:
        """Refuse new connections."""
        if self._server is not None:
            self._server.close()
