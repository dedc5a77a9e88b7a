"""HTTP/1.1 client on h11 over anyio, shared by the stand-ins."""

import select
from dataclasses import dataclass, field

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream

from briardock.outcomes import Headers
from briardock_standins._http import (
    CLOSED_ERRORS,
    MAX_HEAD_BYTES,
    READ_BYTES,
    Address,
    AnswerMissing,
    ConnectFailed,
    Exchange,
    HttpRequest,
    HttpResponse,
    TimedOut,
)

MAX_IDLE_CONNECTIONS = 256


class _ClientConnection:
    """One connection to a server, used by one request at a time."""

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._protocol = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._poll = select.poll()
        self._poll.register(
            stream.extra(SocketAttribute.raw_socket).fileno(), select.POLLIN
        )

    def is_reusable(self) -> bool:
        """Return whether the connection is idle and the server has not closed it."""
        return self._protocol.our_state is h11.IDLE and not self._poll.poll(0)

    async def exchange(self, address: Address, request: HttpRequest) -> HttpResponse:
        """Send a request and return its response.

        :raises h11.RemoteProtocolError: if the response is incomplete
        """
        send = self._protocol.send
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=[
                (b"host", str(address).encode()),
                *request.headers,
                (b"content-length", b"%d" % len(request.body)),
            ],
        )
        data = [
            send(head) or b"",
            send(h11.Data(data=request.body)) or b"",
            send(h11.EndOfMessage()) or b"",
        ]
        await self._stream.send(b"".join(data))
        response = await self._receive()
        if self._protocol.their_state is h11.DONE:
            self._protocol.start_next_cycle()
        return response

    async def _receive(self) -> HttpResponse:
        status = 0
        headers: Headers = ()
        chunks: list[bytes] = []
        while True:
            event = self._protocol.next_event()
            match event:
                case h11.NEED_DATA:
                    await self._read()
                case h11.Response():
                    status = event.status_code
                    headers = tuple(event.headers)
                case h11.Data():
                    chunks.append(bytes(event.data))
                case h11.EndOfMessage():
                    return HttpResponse(status, headers, b"".join(chunks))
                case h11.ConnectionClosed():
                    raise anyio.EndOfStream

    async def _read(self) -> None:
        try:
            data = await self._stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            data = b""
        self._protocol.receive_data(data)

    async def close(self) -> None:
        """Close the connection without a graceful shutdown."""
        await anyio.aclose_forcefully(self._stream)


@dataclass(slots=True)
class HttpClient:
    """HTTP client that pools idle connections per server.

    :param source_host: IP address to connect from
    """

    source_host: str | None = None
    _idle: dict[Address, list[_ClientConnection]] = field(default_factory=dict)

    async def request(
        self, address: Address, request: HttpRequest, timeout_ms: float
    ) -> Exchange:
        """Send one request, without retries.

        :param address: server
        :param request: request
        :param timeout_ms: time within which the whole response must arrive
        """
        with anyio.move_on_after(timeout_ms / 1000.0):
            connection = await self._acquire(address)
            if isinstance(connection, ConnectFailed):
                return connection
            return await self._exchange(address, connection, request)
        return TimedOut()

    async def _exchange(
        self, address: Address, connection: _ClientConnection, request: HttpRequest
    ) -> HttpResponse | AnswerMissing:
        try:
            return await connection.exchange(address, request)
        except (h11.ProtocolError, *CLOSED_ERRORS) as error:
            return AnswerMissing(repr(error))
        finally:
            await self._release(address, connection)

    async def _acquire(self, address: Address) -> _ClientConnection | ConnectFailed:
        idle = self._idle.setdefault(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_reusable():
                return connection
            await connection.close()
        try:
            stream = await anyio.connect_tcp(
                address.host, address.port, local_host=self.source_host
            )
        except OSError as error:
            return ConnectFailed(repr(error))
        return _ClientConnection(stream)

    async def _release(self, address: Address, connection: _ClientConnection) -> None:
        idle = self._idle.setdefault(address, [])
        if connection.is_reusable() and len(idle) < MAX_IDLE_CONNECTIONS:
            idle.append(connection)
        else:
            await connection.close()

    async def close(self) -> None:
        """Close the idle connections."""
        for idle in self._idle.values():
            while idle:
                await idle.pop().close()
