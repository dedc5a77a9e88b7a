"""Client of the platform log: an append-only service reached over HTTP.

It uses h11 on anyio streams because httpx costs a node 26 MB of memory. Reads
reuse one connection; an append opens its own, so that a connection closed by
the service while idle is never mistaken for a lost acknowledgement.
"""

import enum
from dataclasses import dataclass

import anyio
import anyio.abc
import h11
import msgspec

MAX_ANSWER_BYTES = 32 * 1024 * 1024
MAX_RECORD_BYTES = 8 * 1024 * 1024
MAX_READ_RECORDS = 1_000
RECEIVE_BYTES = 64 * 1024
_STREAM_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)
# The service answers these before it writes anything.
_REFUSING_STATUSES = range(400, 500)
_UNAVAILABLE_STATUS = 503


class FailureKind(enum.StrEnum):
    """Kinds of failure of one request to the log."""

    REFUSED = "refused"
    TIMEOUT = "timeout"
    LOST_ACK = "lost-acknowledgement"
    BAD_ANSWER = "bad-answer"


@dataclass(frozen=True, slots=True)
class LogFailure:
    """A request to the log that gave no usable answer.

    :param kind: what went wrong
    :param detail: text for the user
    :param outcome_unknown: whether an append may have taken effect
    """

    kind: FailureKind
    detail: str
    outcome_unknown: bool = False


class LogRecord(msgspec.Struct, frozen=True):
    """One record of a stream.

    :param offset: position in the stream, rising
    :param body: content, base64 on the wire
    """

    offset: int
    body: bytes


class ReadResult(msgspec.Struct, frozen=True):
    """Answer to a read.

    :param first: offset of the oldest record that is still held
    :param next: offset that the next append will get
    :param records: records from the requested offset on
    """

    first: int
    next: int
    records: list[LogRecord]


class _AppendResult(msgspec.Struct, frozen=True):
    """Answer to an append."""

    offset: int


@dataclass(frozen=True, slots=True)
class _Answer:
    """Status and body of an HTTP answer."""

    status: int
    body: bytes


class _RefusedError(Exception):
    """No connection could be made, so nothing was sent."""


class _Connection:
    """One HTTP/1.1 connection."""

    def __init__(self, stream: anyio.abc.ByteStream) -> None:
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT)

    async def exchange(self, request: h11.Request, body: bytes) -> _Answer:
        """Send a request and return the whole answer.

        :raises h11.RemoteProtocolError: if the answer is malformed or cut short
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
                if size_bytes > MAX_ANSWER_BYTES:
                    raise h11.RemoteProtocolError("answer is too large")
            elif isinstance(event, h11.EndOfMessage):
                return _Answer(status, b"".join(parts))
            elif isinstance(event, h11.ConnectionClosed):
                raise anyio.EndOfStream

    async def _next_event(self) -> object:
        """Return the next event of the answer, receiving as needed."""
        while (event := self._http.next_event()) is h11.NEED_DATA:
            try:
                data = await self._stream.receive(RECEIVE_BYTES)
            except anyio.EndOfStream:
                return self._end_of_stream()
            self._http.receive_data(data)
        return event

    def _end_of_stream(self) -> object:
        """Return the event that the end of the stream makes.

        :raises anyio.EndOfStream: if it cuts the answer short
        """
        self._http.receive_data(b"")
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError:
            raise anyio.EndOfStream from None

    def reuse(self) -> bool:
        """Make the connection ready for another request, if it can carry one."""
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
    :param timeout_ms: longest wait for one answer
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
        :param body: record
        """
        if len(body) > MAX_RECORD_BYTES:
            return LogFailure(
                FailureKind.REFUSED, f"record of {len(body)} bytes is too large"
            )
        request = self._request("POST", f"/streams/{stream}", len(body))
        answer = await self._send(request, body, self._timeout_s, fresh=True)
        if isinstance(answer, LogFailure):
            return answer
        if answer.status != 200:
            return _status_failure(answer)
        try:
            return msgspec.json.decode(answer.body, type=_AppendResult).offset
        except msgspec.DecodeError as error:
            return LogFailure(FailureKind.BAD_ANSWER, str(error), True)

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_ms: float = 0.0
    ) -> ReadResult | LogFailure:
        """Read records from an offset on.

        :param stream: name of the stream
        :param from_offset: first offset wanted
        :param limit: largest number of records
        :param wait_ms: how long the service may wait for a first record
        """
        limit = min(limit, MAX_READ_RECORDS)
        target = (
            f"/streams/{stream}?from={from_offset}&limit={limit}&wait_ms={wait_ms:.0f}"
        )
        timeout_s = self._timeout_s + wait_ms / 1000.0
        answer = await self._read_once(self._request("GET", target), timeout_s)
        if isinstance(answer, LogFailure):
            return answer
        if answer.status != 200:
            return _status_failure(answer)
        try:
            result = msgspec.json.decode(answer.body, type=ReadResult)
        except msgspec.DecodeError as error:
            return LogFailure(FailureKind.BAD_ANSWER, str(error))
        return _check_order(result, from_offset)

    async def close(self) -> None:
        """Close idle connections."""
        while self._idle:
            await self._idle.pop().close()

    async def _read_once(
        self, request: h11.Request, timeout_s: float
    ) -> _Answer | LogFailure:
        """Send a read; a reused connection that was closed is replaced once."""
        reused = bool(self._idle)
        answer = await self._send(request, b"", timeout_s, fresh=False)
        if (
            reused
            and isinstance(answer, LogFailure)
            and answer.kind is FailureKind.LOST_ACK
        ):
            return await self._send(request, b"", timeout_s, fresh=True)
        return answer

    async def _send(
        self, request: h11.Request, body: bytes, timeout_s: float, fresh: bool
    ) -> _Answer | LogFailure:
        """Send a request within a time limit."""
        connection: _Connection | None = None
        try:
            with anyio.fail_after(timeout_s):
                connection = await self._connect(fresh)
                answer = await connection.exchange(request, body)
            if not fresh and connection.reuse():
                self._idle.append(connection)
                connection = None
            return answer
        except _RefusedError as error:
            return LogFailure(FailureKind.REFUSED, f"cannot connect to {self}: {error}")
        except TimeoutError:
            sent = connection is not None
            return LogFailure(
                FailureKind.TIMEOUT, f"no answer from {self} in {timeout_s:.1f} s", sent
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

    async def _connect(self, fresh: bool) -> _Connection:
        """Return an idle connection or a new one.

        :raises _RefusedError: if no connection could be made
        """
        if self._idle and not fresh:
            return self._idle.pop()
        try:
            return _Connection(
                await anyio.connect_tcp(
                    self.host, self.port, local_host=self._source_host
                )
            )
        except OSError as error:
            raise _RefusedError(str(error)) from error

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
    :param timeout_ms: longest wait for one answer
    :param source_host: local address to connect from, or ``None`` for any
    """
    return LogClient(host, port, timeout_ms, source_host)


def _status_failure(answer: _Answer) -> LogFailure:
    """Return the failure of an answer that is not 200."""
    refused = (
        answer.status in _REFUSING_STATUSES or answer.status == _UNAVAILABLE_STATUS
    )
    text = answer.body[:200].decode("utf-8", "replace")
    kind = FailureKind.REFUSED if refused else FailureKind.BAD_ANSWER
    return LogFailure(
        kind, f"log service answered {answer.status}: {text}", not refused
    )


def _check_order(result: ReadResult, from_offset: int) -> ReadResult | LogFailure:
    """Return a result whose offsets rise and lie where they were asked for."""
    last = from_offset - 1
    for record in result.records:
        if record.offset <= last:
            return LogFailure(FailureKind.BAD_ANSWER, "offsets do not rise")
        last = record.offset
    if result.first < 0 or result.next < result.first:
        return LogFailure(FailureKind.BAD_ANSWER, "offsets are inconsistent")
    return result
