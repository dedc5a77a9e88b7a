"""Client of the platform log, an append-only log service with an HTTP interface.

The client uses h11 on anyio streams because httpx takes 26 MB of memory per node.
Reads reuse one connection. Each append opens a new one, so that an idle connection
closed by the service is not reported as a lost acknowledgement.
"""

import enum
from dataclasses import dataclass

import anyio
import anyio.abc
import h11
import msgspec

MAX_RESPONSE_BYTES = 32 * 1024 * 1024
MAX_RECORD_BYTES = 8 * 1024 * 1024
MAX_READ_RECORDS = 1_000
RECEIVE_BYTES = 64 * 1024
_STREAM_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)
# Statuses that the service sends before it writes anything.
_REFUSED_STATUSES = range(400, 500)
_UNAVAILABLE_STATUS = 503


class FailureKind(enum.StrEnum):
    """Kinds of failure of a request to the log."""

    REFUSED = "refused"
    TIMEOUT = "timeout"
    LOST_ACK = "lost-acknowledgement"
    BAD_ANSWER = "bad-answer"


@dataclass(frozen=True, slots=True)
class LogFailure:
    """Failure of a request to the log.

    :param kind: what went wrong
    :param detail: text for the user
    :param outcome_unknown: whether an append may have taken effect
    """

    kind: FailureKind
    detail: str
    outcome_unknown: bool = False


class LogRecord(msgspec.Struct, frozen=True):
    """One record of a stream.

    :param offset: position in the stream; offsets increase
    :param body: content, base64 on the wire
    """

    offset: int
    body: bytes


class ReadResult(msgspec.Struct, frozen=True):
    """Response to a read.

    :param first: offset of the oldest retained record
    :param next: offset that the next append will get
    :param records: records from the requested offset on
    """

    first: int
    next: int
    records: list[LogRecord]


class _AppendResult(msgspec.Struct, frozen=True):
    """Response to an append."""

    offset: int


@dataclass(frozen=True, slots=True)
class _Response:
    """Status and body of an HTTP response."""

    status: int
    body: bytes


class _ConnectError(Exception):
    """The connection could not be opened, so nothing was sent."""


class _Connection:
    """One HTTP/1.1 connection."""

    def __init__(self, stream: anyio.abc.ByteStream) -> None:
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT)

    async def exchange(self, request: h11.Request, body: bytes) -> _Response:
        """Send a request and return the complete response.

        :raises h11.RemoteProtocolError: if the response is malformed or too large
        """
        data = self._http.send(request) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        await self._stream.send(data)
        status = 0
        parts: list[bytes] = []
        size_bytes = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size_bytes += len(event.data)
                if size_bytes > MAX_RESPONSE_BYTES:
                    raise h11.RemoteProtocolError("response is too large")
            elif isinstance(event, h11.EndOfMessage):
                return _Response(status, b"".join(parts))
            elif isinstance(event, h11.ConnectionClosed):
                raise anyio.EndOfStream

    async def _next_event(self) -> object:
        """Return the next event of the response, receiving data as needed."""
        while (event := self._http.next_event()) is h11.NEED_DATA:
            try:
                data = await self._stream.receive(RECEIVE_BYTES)
            except anyio.EndOfStream:
                return self._end_of_stream()
            self._http.receive_data(data)
        return event

    def _end_of_stream(self) -> object:
        """Return the event that follows from the end of the stream.

        :raises anyio.EndOfStream: if the response is truncated
        """
        self._http.receive_data(b"")
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError:
            raise anyio.EndOfStream from None

    def try_reuse(self) -> bool:
        """Prepare the connection for another request; return whether it is usable."""
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            return True
        return False

    async def close(self) -> None:
        """Close the connection without waiting for the other side."""
        await anyio.aclose_forcefully(self._stream)


class LogClient:
    """Client of one log service.

    :param host: numeric IP address of the service
    :param port: port of the service
    :param timeout_ms: longest wait for one response
    :param source_host: local address to connect from, or ``None`` for any
    """

    def __init__(
        self,
        host: str,
        port: int,
        timeout_ms: float = 2_000.0,
        source_host: str | None = None,
    ) -> None:
        self.host = host
        self.port = port
        self._source_host = source_host
        self._timeout_s = timeout_ms / 1000.0
        self._idle: list[_Connection] = []

    async def append(self, stream: str, body: bytes) -> int | LogFailure:
        """Append one record and return its offset.

        :param stream: name of the stream
        :param body: content of the record
        """
        if len(body) > MAX_RECORD_BYTES:
            return LogFailure(
                FailureKind.REFUSED, f"record of {len(body)} bytes is too large"
            )
        request = self._request("POST", f"/streams/{stream}", len(body))
        response = await self._send(request, body, self._timeout_s, new_connection=True)
        if isinstance(response, LogFailure):
            return response
        if response.status != 200:
            return _status_failure(response)
        try:
            return msgspec.json.decode(response.body, type=_AppendResult).offset
        except msgspec.DecodeError as error:
            return LogFailure(FailureKind.BAD_ANSWER, str(error), True)

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_ms: float = 0.0
    ) -> ReadResult | LogFailure:
        """Read records starting at an offset.

        :param stream: name of the stream
        :param from_offset: first offset to read
        :param limit: largest number of records
        :param wait_ms: longest time the service waits for a first record
        """
        limit = min(limit, MAX_READ_RECORDS)
        target = (
            f"/streams/{stream}?from={from_offset}&limit={limit}&wait_ms={wait_ms:.0f}"
        )
        timeout_s = self._timeout_s + wait_ms / 1000.0
        response = await self._read_once(self._request("GET", target), timeout_s)
        if isinstance(response, LogFailure):
            return response
        if response.status != 200:
            return _status_failure(response)
        try:
            result = msgspec.json.decode(response.body, type=ReadResult)
        except msgspec.DecodeError as error:
            return LogFailure(FailureKind.BAD_ANSWER, str(error))
        return _check_offsets(result, from_offset)

    async def close(self) -> None:
        """Close idle connections."""
        while self._idle:
            await self._idle.pop().close()

    async def _read_once(
        self, request: h11.Request, timeout_s: float
    ) -> _Response | LogFailure:
        """Send a read, again on a new connection if the reused one was closed."""
        reused = bool(self._idle)
        response = await self._send(request, b"", timeout_s, new_connection=False)
        if (
            reused
            and isinstance(response, LogFailure)
            and response.kind is FailureKind.LOST_ACK
        ):
            return await self._send(request, b"", timeout_s, new_connection=True)
        return response

    async def _send(
        self, request: h11.Request, body: bytes, timeout_s: float, new_connection: bool
    ) -> _Response | LogFailure:
        """Send a request within a time limit."""
        connection: _Connection | None = None
        try:
            with anyio.fail_after(timeout_s):
                connection = await self._connect(new_connection)
                response = await connection.exchange(request, body)
            if not new_connection and connection.try_reuse():
                self._idle.append(connection)
                connection = None
            return response
        except _ConnectError as error:
            return LogFailure(FailureKind.REFUSED, f"cannot connect to {self}: {error}")
        except TimeoutError:
            sent = connection is not None
            return LogFailure(
                FailureKind.TIMEOUT,
                f"no response from {self} in {timeout_s:.1f} s",
                sent,
            )
        except _STREAM_ERRORS as error:
            return LogFailure(
                FailureKind.LOST_ACK, f"{self} closed the connection {error}", True
            )
        except h11.RemoteProtocolError as error:
            return LogFailure(FailureKind.BAD_ANSWER, f"{self}: {error}", True)
        finally:
            if connection is not None:
                await connection.close()

    async def _connect(self, new_connection: bool) -> _Connection:
        """Return an idle connection or a new one.

        :raises _ConnectError: if the connection cannot be opened
        """
        if self._idle and not new_connection:
            return self._idle.pop()
        try:
            return _Connection(
                await anyio.connect_tcp(
                    self.host, self.port, local_host=self._source_host
                )
            )
        except OSError as error:
            raise _ConnectError(str(error)) from error

    def _request(self, method: str, target: str, size_bytes: int = 0) -> h11.Request:
        """Return the head of a request."""
        headers = [("Host", f"{self.host}:{self.port}")]
        if method == "POST":
            headers.append(("Content-Length", str(size_bytes)))
        return h11.Request(method=method, target=target, headers=headers)

    def __str__(self) -> str:
        return f"log service {self.host}:{self.port}"


def make_log_client(
    host: str,
    port: int,
    timeout_ms: float = 2_000.0,
    source_host: str | None = None,
) -> LogClient:
    """Return a client of the log service.

    :param host: numeric IP address of the service
    :param port: port of the service
    :param timeout_ms: longest wait for one response
    :param source_host: local address to connect from, or ``None`` for any
    """
    return LogClient(host, port, timeout_ms, source_host)


def _status_failure(response: _Response) -> LogFailure:
    """Return the failure for a response with a status other than 200."""
    is_refused = (
        response.status in _REFUSED_STATUSES or response.status == _UNAVAILABLE_STATUS
    )
    text = response.body[:200].decode("utf-8", "replace")
    kind = FailureKind.REFUSED if is_refused else FailureKind.BAD_ANSWER
    return LogFailure(
        kind,
        f"log service responded with status {response.status}: {text}",
        not is_refused,
    )


def _check_offsets(result: ReadResult, from_offset: int) -> ReadResult | LogFailure:
    """Return the result if its offsets increase from the requested one on."""
    last = from_offset - 1
    for record in result.records:
        if record.offset <= last:
            return LogFailure(
                FailureKind.BAD_ANSWER, "offsets do not increase from the requested one"
            )
        last = record.offset
    if result.first < 0 or result.next < result.first:
        return LogFailure(FailureKind.BAD_ANSWER, "offsets are inconsistent")
    return result
