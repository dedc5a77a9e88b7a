"""HTTP client for the local target: one request at a time on each connection."""

import errno
from collections import deque
from dataclasses import dataclass

import anyio
import anyio.abc
import h11

from briardock._http import (
    MAX_HEADER_BYTES,
    RECEIVE_BYTES,
    STREAM_ERRORS,
    IdleProbe,
    end_to_end,
)
from briardock.clock import Clock
from briardock.messages import MAX_FRAME_BYTES
from briardock.metrics import Metrics
from briardock.outcomes import Completed, Headers

# A response and its headers must fit into one frame.
MAX_RESPONSE_BYTES = MAX_FRAME_BYTES - 2 * MAX_HEADER_BYTES

_EOF = b""
DEATH_CHECK_DELAYS_S = (0.0, 0.02, 0.1)


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request was written.

    :param detail: cause
    :param refused: whether the target's address refused the connection
    """

    detail: str
    refused: bool = False


@dataclass(frozen=True, slots=True)
class Lost:
    """The request was at least partly written, but no complete response came.

    :param detail: cause
    :param died: whether the connection was lost and a new one is refused
    """

    detail: str
    died: bool


class _ResponseError(Exception):
    """The response of the target was incomplete, malformed or too large.

    :param connection_lost: whether the connection ended before the response
    """

    def __init__(self, detail: str, connection_lost: bool) -> None:
        super().__init__(detail)
        self.connection_lost = connection_lost


class _Connection:
    """One connection to the target, used by one request at a time."""

    def __init__(
        self, stream: anyio.abc.SocketStream, address: tuple[str, int]
    ) -> None:
        self.stream = stream
        self.address = address
        self.write_started = False
        self._at_eof = False
        self._probe = IdleProbe(stream)
        self._http = h11.Connection(h11.CLIENT, MAX_HEADER_BYTES)

    def is_reusable(self) -> bool:
        """Return whether the last response was read completely and nothing followed."""
        http = self._http
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            return False
        return not http.trailing_data[0]

    def is_quiet(self) -> bool:
        """Return whether the idle connection is still open and has no unread data."""
        return self._probe.is_quiet()

    def encode(self, request: h11.Request, body: bytes) -> bytes:
        """Return the bytes of a request.

        :raises h11.LocalProtocolError: if the request is not valid HTTP
        """
        http = self._http
        if http.our_state is h11.DONE:
            http.start_next_cycle()
        head = http.send(request) or b""
        if body:
            http.send(h11.Data(data=body))
        http.send(h11.EndOfMessage())
        return head + body if body else head

    async def exchange(self, data: bytes, has_body: bool) -> Completed:
        """Write a request and read the complete response.

        :param data: bytes of the request
        :param has_body: whether the response to its method may have a body; if
            not, its ``Content-Length`` is kept as a header
        :raises _ResponseError: if no complete response came
        """
        self.write_started = True
        try:
            await self.stream.send(data)
            return await self._read_response(has_body)
        except STREAM_ERRORS as error:
            raise _ResponseError(f"connection lost: {error!r}", True) from error
        except h11.RemoteProtocolError as error:
            kind = "incomplete response" if self._at_eof else "malformed response"
            raise _ResponseError(f"{kind}: {error}", self._at_eof) from error

    async def _read_response(self, has_body: bool) -> Completed:
        http = self._http
        status = 0
        headers: Headers = ()
        parts: list[bytes] = []
        size_bytes = 0
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await self._receive())
            elif type(event) is h11.Data:
                parts.append(bytes(event.data))
                size_bytes += len(event.data)
                if size_bytes > MAX_RESPONSE_BYTES:
                    raise _too_large()
            elif type(event) is h11.Response:
                status = event.status_code
                fields = event.headers.raw_items()
                headers = tuple(end_to_end(fields, request=False))
                if has_body:
                    _check_content_length(fields)
                else:
                    headers += _content_length(fields)
            elif type(event) is h11.EndOfMessage:
                return Completed(status, headers, b"".join(parts))
            elif type(event) is not h11.InformationalResponse:
                raise _ResponseError("connection lost: closed by the target", True)

    async def _receive(self) -> bytes:
        try:
            return await self.stream.receive(RECEIVE_BYTES)
        except anyio.EndOfStream:
            self._at_eof = True
            return _EOF

    async def close(self) -> None:
        """Close immediately, which signals cancellation to the target."""
        self._probe.close()
        with anyio.CancelScope(shield=True):
            await self.stream.aclose()


class TargetClient:
    """HTTP client of the local target.

    :param clock: time source
    :param metrics: counters
    :param connect_timeout_ms: limit of one connection attempt
    :param max_idle: maximum number of idle connections
    """

    def __init__(
        self, clock: Clock, metrics: Metrics, connect_timeout_ms: float, max_idle: int
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._connect_timeout_s = connect_timeout_ms / 1000.0
        self._max_idle = max_idle
        self._idle: deque[_Connection] = deque()
        self._address = ("", 0)
        self._host_header = b""

    def set_address(self, host: str, port: int) -> None:
        """Set the address of the target.

        Connections to another address are not reused.

        :param host: numeric IP address
        :param port: TCP port
        """
        self._address = (host, port)
        host_text = f"[{host}]" if ":" in host else host
        self._host_header = f"{host_text}:{port}".encode()

    async def run(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        deadline_at_ms: float,
    ) -> Completed | NotSent | Lost:
        """Run one request on the target.

        Cancelling the task closes the connection, which signals the target.

        :param method: HTTP method
        :param path: path with query
        :param headers: end-to-end headers; hop-by-hop fields are dropped
        :param body: complete request body
        :param deadline_at_ms: clock reading in ms at which the request times out
        """
        remaining_ms = deadline_at_ms - self._clock.now_ms()
        if remaining_ms <= 0:
            return NotSent("deadline")
        connection: _Connection | None = None
        result: Completed | NotSent | Lost = NotSent("deadline")
        with anyio.move_on_after(remaining_ms / 1000.0) as scope:
            acquired = await self._acquire_connection()
            if isinstance(acquired, NotSent):
                return acquired
            connection = acquired
            result = await self._exchange_on(connection, method, path, headers, body)
        if scope.cancelled_caught and connection and connection.write_started:
            self._metrics.count("target.timeouts")
            return Lost("deadline", died=False)
        if connection and isinstance(result, Lost) and result.died:
            return Lost(result.detail, await self._has_died(connection.address))
        return result

    async def _exchange_on(
        self,
        connection: _Connection,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
    ) -> Completed | NotSent | Lost:
        reusable = False
        try:
            data = connection.encode(self._request(method, path, headers, body), body)
            completed = await connection.exchange(data, method != "HEAD")
            reusable = connection.is_reusable()
            return completed
        except (h11.LocalProtocolError, UnicodeError) as error:
            return NotSent(f"request is not valid HTTP: {error}")
        except _ResponseError as error:
            self._metrics.count("target.lost")
            return Lost(str(error), died=error.connection_lost)
        finally:
            reusable = reusable and connection.address == self._address
            if reusable and len(self._idle) < self._max_idle:
                connection.write_started = False
                self._idle.append(connection)
            else:
                await connection.close()

    def _request(
        self, method: str, path: str, headers: Headers, body: bytes
    ) -> h11.Request:
        fields = end_to_end(headers, request=True)
        fields.append((b"host", self._host_header))
        if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            fields.append((b"content-length", b"%d" % len(body)))
        return h11.Request(method=method, target=path, headers=fields)

    async def _acquire_connection(self) -> _Connection | NotSent:
        while self._idle:
            connection = self._idle.pop()
            if connection.address == self._address and connection.is_quiet():
                return connection
            self._metrics.count("target.stale_connections")
            await connection.close()
        address = self._address
        if not address[1]:
            return NotSent("no target address is known")
        try:
            return await self._open(address)
        except TimeoutError:
            return NotSent("connection attempt timed out")
        except OSError as error:
            return NotSent(
                f"connection failed: {error}", refused=_is_connection_refused(error)
            )

    async def _open(self, address: tuple[str, int]) -> _Connection:
        stream = await self._connect(address)
        try:
            return _Connection(stream, address)
        except OSError:
            await stream.aclose()
            raise

    async def _connect(self, address: tuple[str, int]) -> anyio.abc.SocketStream:
        self._metrics.count("target.connects")
        with anyio.fail_after(self._connect_timeout_s):
            return await anyio.connect_tcp(*address)

    async def _has_died(self, address: tuple[str, int]) -> bool:
        """Return whether the address of the target refuses connections.

        An ending process does not close its connections and its listener at the same
        moment, so connections may still be accepted right after one is lost.
        """
        for delay_s in DEATH_CHECK_DELAYS_S:
            await anyio.sleep(delay_s)
            if await self._is_refused(address):
                return True
        return False

    async def _is_refused(self, address: tuple[str, int]) -> bool:
        try:
            stream = await self._connect(address)
        except OSError as error:
            return _is_connection_refused(error)
        await stream.aclose()
        return False

    async def aclose(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await self._idle.pop().close()


def _content_length(fields: list[tuple[bytes, bytes]]) -> Headers:
    for name, value in fields:
        if len(name) == 14 and name.lower() == b"content-length":
            return ((b"content-length", value),)
    return ()


def _check_content_length(fields: list[tuple[bytes, bytes]]) -> None:
    for _name, value in _content_length(fields):
        if int(value) > MAX_RESPONSE_BYTES:
            raise _too_large()


def _too_large() -> _ResponseError:
    return _ResponseError(f"response exceeds {MAX_RESPONSE_BYTES} bytes", False)


def _is_connection_refused(error: BaseException | None) -> bool:
    while error is not None:
        if isinstance(error, OSError) and error.errno == errno.ECONNREFUSED:
            return True
        error = error.__cause__
    return False


def make_target_client(
    clock: Clock, metrics: Metrics, connect_timeout_ms: float, max_idle: int
) -> TargetClient:
    """Return a client without an address; call ``set_address`` to set it.

    :param clock: time source
    :param metrics: counters
    :param connect_timeout_ms: limit of one connection attempt
    :param max_idle: maximum number of idle connections
    """
    return TargetClient(clock, metrics, connect_timeout_ms, max_idle)
