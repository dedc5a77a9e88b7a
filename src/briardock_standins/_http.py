"""HTTP/1.1 messages and server on h11 over anyio, shared by the stand-ins."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream

from briardock.outcomes import Headers

READ_BYTES = 65_536
MAX_HEAD_BYTES = 65_536

CLOSED_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


@dataclass(frozen=True, slots=True)
class Address:
    """Numeric address of a listener.

    :param host: IP address
    :param port: TCP port
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Return the address written as ``host:port``.

    :raises ValueError: if the port is not a number
    """
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One request.

    :param method: HTTP method
    :param target: path with query
    :param headers: header fields, names in lower case where received
    :param body: request body
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""

    @property
    def path(self) -> str:
        """Return the path without its query."""
        return self.target.partition("?")[0]

    def header(self, name: str) -> str:
        """Return a header field, or an empty string."""
        return _find_header(self.headers, name)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """One complete response.

    :param status: HTTP status code
    :param headers: header fields
    :param body: response body
    """

    status: int
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: str) -> str:
        """Return a header field, or an empty string."""
        return _find_header(self.headers, name)


@dataclass(frozen=True, slots=True)
class ConnectFailed:
    """No connection could be opened; the request was not sent."""

    detail: str


@dataclass(frozen=True, slots=True)
class AnswerMissing:
    """The connection closed before the whole response arrived."""

    detail: str


@dataclass(frozen=True, slots=True)
class TimedOut:
    """The response did not arrive within the timeout."""


Exchange = HttpResponse | ConnectFailed | AnswerMissing | TimedOut
Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


def _find_header(headers: Headers, name: str) -> str:
    wanted = name.lower().encode()
    for key, value in headers:
        if key.lower() == wanted:
            return value.decode("latin-1")
    return ""


def json_response(status: int, body: bytes, headers: Headers = ()) -> HttpResponse:
    """Return a response with a JSON body."""
    return HttpResponse(
        status, ((b"content-type", b"application/json"), *headers), body
    )


class _ServerConnection:
    """One accepted connection.

    It reads on while a handler runs, so that it detects a close by the client.
    """

    def __init__(
        self, stream: SocketStream, handler: Handler, cancel_on_close: bool
    ) -> None:
        self._stream = stream
        self._handler = handler
        self._cancel_on_close = cancel_on_close
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._data_received = anyio.Event()
        self._handler_scope: anyio.CancelScope | None = None

    async def run(self) -> None:
        """Serve requests until the connection closes."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._read)
            try:
                await self._serve_requests()
            except (h11.ProtocolError, *CLOSED_ERRORS):
                pass
            finally:
                tasks.cancel_scope.cancel()
                await anyio.aclose_forcefully(self._stream)

    async def _read(self) -> None:
        data = b"-"
        while data:
            try:
                data = await self._stream.receive(READ_BYTES)
            except CLOSED_ERRORS:
                data = b""
            try:
                self._protocol.receive_data(data)
            except (h11.ProtocolError, RuntimeError):
                data = b""
            self._data_received.set()
        if self._handler_scope is not None and self._cancel_on_close:
            self._handler_scope.cancel()

    async def _next_event(self) -> object:
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._data_received = anyio.Event()
            await self._data_received.wait()

    async def _serve_requests(self) -> None:
        while True:
            request = await self._receive_request()
            if request is None:
                return
            with anyio.CancelScope() as self._handler_scope:
                response = await self._handler(request)
                self._handler_scope.shield = True
                await self._send(response)
            if self._handler_scope.cancelled_caught:
                return
            if self._protocol.our_state is h11.MUST_CLOSE:
                return
            self._handler_scope = None
            self._protocol.start_next_cycle()

    async def _receive_request(self) -> HttpRequest | None:
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            return None
        chunks: list[bytes] = []
        while True:
            match await self._next_event():
                case h11.Data(data=data):
                    chunks.append(bytes(data))
                case h11.EndOfMessage():
                    break
                case _:
                    return None
        return HttpRequest(
            head.method.decode("latin-1"),
            head.target.decode("latin-1"),
            tuple(head.headers),
            b"".join(chunks),
        )

    async def _send(self, response: HttpResponse) -> None:
        head = h11.Response(
            status_code=response.status,
            headers=[
                *response.headers,
                (b"content-length", b"%d" % len(response.body)),
            ],
        )
        data = [
            self._protocol.send(head) or b"",
            self._protocol.send(h11.Data(data=response.body)) or b"",
            self._protocol.send(h11.EndOfMessage()) or b"",
        ]
        await self._stream.send(b"".join(data))


async def serve_http(
    listener: anyio.abc.SocketListener,
    handler: Handler,
    cancel_on_close: bool = True,
) -> None:
    """Serve requests on a listener until cancelled.

    :param listener: bound listener
    :param handler: called once per request
    :param cancel_on_close: whether a close by the client cancels the running handler
    """

    async def serve(stream: SocketStream) -> None:
        await _ServerConnection(stream, handler, cancel_on_close).run()

    await listener.serve(serve)


async def listen(host: str, port: int) -> tuple[anyio.abc.SocketListener, Address]:
    """Bind a listener.

    :param host: IP address
    :param port: TCP port, 0 for any free port
    :raises OSError: if the address is in use
    """
    multi_listener = await anyio.create_tcp_listener(
        local_host=host, local_port=port, backlog=4096
    )
    listener: anyio.abc.SocketListener = multi_listener.listeners[0]  # type: ignore[assignment]
    return listener, Address(host, listener.extra(SocketAttribute.local_port))
