"""Stand-in for the platform's log service: streams in memory, with injected faults."""

import asyncio
import random
import urllib.parse
from collections import deque
from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import dataclass, field
from typing import Any, Literal

import msgspec

from briardock.clock import Clock, SystemClock

MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_WAIT_MS = 30_000
MAX_READ_RECORDS = 1_000
MAX_READ_BYTES = 16 * 1024 * 1024
APPENDS_PER_S = 400
BURST_APPENDS = 100
# By default, hypercorn closes a connection after 1,000 requests.
KEEP_ALIVE_REQUESTS = 1_000_000_000
KEEP_ALIVE_S = 3_600

Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]


class Record(msgspec.Struct, frozen=True):
    """One record; the body is base64 in JSON."""

    offset: int
    body: bytes


class ReadAnswer(msgspec.Struct, frozen=True):
    """Response to a read."""

    first: int
    next: int
    records: list[Record]


class AppendAnswer(msgspec.Struct, frozen=True):
    """Response to an append."""

    offset: int


class ErrorAnswer(msgspec.Struct, frozen=True):
    """Response to a refused request."""

    error: str


class Fault(msgspec.Struct, frozen=True):
    """An injected fault.

    :param mode: ``outage`` refuses requests with 503, ``slow`` delays every response,
        ``lose_ack`` appends the record and closes the connection without a response
    :param delay_ms: delay of ``slow``, with a jitter of 20% either way
    :param count: requests affected before the fault ends; 0 for no end
    """

    mode: Literal["none", "outage", "slow", "lose_ack"]
    delay_ms: float = 0.0
    count: int = 0


@dataclass(slots=True)
class Stream:
    """Records of one stream, of which the newest are retained."""

    first: int = 0
    records: deque[bytes] = field(default_factory=deque)
    record_appended: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def next(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)

    def append(self, body: bytes, retention_records: int) -> int:
        """Append a record, drop those beyond the retention and return its offset."""
        offset = self.next
        self.records.append(body)
        while len(self.records) > retention_records:
            self.records.popleft()
            self.first += 1
        self.record_appended.set()
        self.record_appended = asyncio.Event()
        return offset

    def read(self, from_offset: int, limit: int) -> list[Record]:
        """Return up to ``limit`` records from an offset on, bounded in size."""
        start = max(from_offset, self.first)
        records: list[Record] = []
        size_bytes = 0
        for offset in range(start, min(start + limit, self.next)):
            body = self.records[offset - self.first]
            size_bytes += len(body)
            if records and size_bytes > MAX_READ_BYTES:
                break
            records.append(Record(offset, body))
        return records


class RateLimiter:
    """Token bucket that limits the rate of appends."""

    def __init__(self, rate_per_s: float, burst: float, clock: Clock) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._clock = clock
        self._refilled_ms = clock.now_ms()

    def take(self) -> bool:
        """Take a token and return whether there was one."""
        now_ms = self._clock.now_ms()
        refill = (now_ms - self._refilled_ms) / 1000 * self._rate_per_s
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class LogApp:
    """ASGI application of the log service.

    :param retention_records: records retained per stream
    :param rng: random source of delays
    :param clock: clock of the rate limit
    """

    def __init__(
        self, retention_records: int, rng: random.Random, clock: Clock
    ) -> None:
        self._retention_records = retention_records
        self._rng = rng
        self._streams: dict[str, Stream] = {}
        self._fault = Fault("none")
        self._affected_count = 0
        self._append_limiter = RateLimiter(APPENDS_PER_S, BURST_APPENDS, clock)

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        """Handle one request."""
        if scope["type"] == "lifespan":
            await _run_lifespan(receive, send)
            return
        body = await _read_body(receive)
        if body is None:
            await _respond(send, 413, ErrorAnswer("body is too large"))
            return
        path, method = scope["path"], scope["method"]
        if path == "/health" and method == "GET":
            await _respond(send, 200, {"status": "ok"})
        elif path == "/faults" and method == "POST":
            await self._set_fault(send, body)
        elif path.startswith("/streams/"):
            name = path.removeprefix("/streams/")
            await self._serve_stream(scope, send, name, body)
        else:
            await _respond(send, 404, ErrorAnswer(f"no such resource: {path}"))

    async def _set_fault(self, send: Send, body: bytes) -> None:
        try:
            self._fault = msgspec.json.decode(body, type=Fault)
        except msgspec.DecodeError as error:
            await _respond(send, 400, ErrorAnswer(str(error)))
            return
        self._affected_count = 0
        await _respond(send, 200, self._fault)

    async def _serve_stream(
        self, scope: Message, send: Send, name: str, body: bytes
    ) -> None:
        is_append = scope["method"] == "POST"
        fault = self._next_fault(is_append)
        if fault.mode == "slow":
            await asyncio.sleep(fault.delay_ms / 1000 * self._rng.uniform(0.8, 1.2))
        if fault.mode == "outage":
            await _respond(send, 503, ErrorAnswer("the log is not available"))
        elif is_append:
            await self._append(send, name, body, fault.mode == "lose_ack")
        elif scope["method"] == "GET":
            await self._read(send, name, scope["query_string"].decode("latin-1"))
        else:
            await _respond(send, 405, ErrorAnswer("use GET or POST"))

    def _next_fault(self, is_append: bool) -> Fault:
        """Return the fault that applies to this request, and count the request."""
        fault = self._fault
        if fault.mode == "none" or (fault.mode == "lose_ack" and not is_append):
            return Fault("none")
        self._affected_count += 1
        if fault.count and self._affected_count >= fault.count:
            self._fault = Fault("none")
        return fault

    async def _append(self, send: Send, name: str, body: bytes, lose_ack: bool) -> None:
        if not self._append_limiter.take():
            await _respond(send, 429, ErrorAnswer("too many appends; slow down"))
            return
        stream = self._streams.setdefault(name, Stream())
        offset = stream.append(body, self._retention_records)
        if lose_ack:
            await _close_without_response(send)
        else:
            await _respond(send, 200, AppendAnswer(offset))

    async def _read(self, send: Send, name: str, query: str) -> None:
        values = dict(urllib.parse.parse_qsl(query))
        try:
            from_offset = int(values.get("from", "0"))
            limit = int(values.get("limit", "100"))
            wait_ms = float(values.get("wait_ms", "0"))
        except ValueError as error:
            await _respond(send, 400, ErrorAnswer(str(error)))
            return
        if from_offset < 0 or limit < 1 or not 0 <= wait_ms <= MAX_WAIT_MS:
            await _respond(
                send, 400, ErrorAnswer("from, limit or wait_ms out of range")
            )
            return
        stream = self._streams.setdefault(name, Stream())
        if from_offset >= stream.next and wait_ms:
            await _wait_for_record(stream, from_offset, wait_ms)
        records = stream.read(from_offset, min(limit, MAX_READ_RECORDS))
        await _respond(send, 200, ReadAnswer(stream.first, stream.next, records))


async def _wait_for_record(stream: Stream, from_offset: int, wait_ms: float) -> None:
    """Wait until a stream has a record at an offset, or until the timeout."""
    try:
        async with asyncio.timeout(wait_ms / 1000):
            while from_offset >= stream.next:
                await stream.record_appended.wait()
    except TimeoutError:
        return


async def _run_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _read_body(receive: Receive) -> bytes | None:
    """Return the body of a request, or ``None`` if it is too large."""
    parts: list[bytes] = []
    size_bytes = 0
    while True:
        message = await receive()
        part = message.get("body", b"")
        size_bytes += len(part)
        if size_bytes <= MAX_BODY_BYTES:
            parts.append(part)
        if not message.get("more_body", False):
            break
    return b"".join(parts) if size_bytes <= MAX_BODY_BYTES else None


async def _respond(send: Send, status: int, content: object) -> None:
    body = msgspec.json.encode(content)
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


async def _close_without_response(send: Send) -> None:
    """Close the connection of a request.

    ASGI has no message for this, so hypercorn's stream object behind ``send`` gets
    the event of a closed stream.
    """
    from hypercorn.protocol.events import StreamClosed

    stream = send.__self__  # type: ignore[attr-defined]
    await stream.send(StreamClosed(stream_id=stream.stream_id))


def make_config(bind: str) -> Any:
    """Return the hypercorn configuration of the log service.

    :param bind: address in hypercorn's format
    """
    from hypercorn.config import Config

    config = Config()
    config.bind = [bind]
    config.keep_alive_max_requests = KEEP_ALIVE_REQUESTS
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.graceful_timeout = 0.5
    config.accesslog = None
    return config


def _report_unless_cancelled(
    loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    """Report an event loop error, except for connections cancelled at shutdown."""
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


async def serve_log(host: str, port: int, retention_records: int, seed: int) -> None:
    """Serve the log until the process receives a signal to stop.

    :param host: numeric IP address to bind to
    :param port: port to bind to
    :param retention_records: records retained per stream
    :param seed: seed of random delays
    """
    from hypercorn.asyncio import serve

    asyncio.get_running_loop().set_exception_handler(_report_unless_cancelled)
    app = LogApp(retention_records, random.Random(seed), SystemClock())
    await serve(app, make_config(f"{host}:{port}"))  # type: ignore[arg-type]


def run(
    *,
    host: str = "127.0.0.1",
    port: int = 8410,
    retention_records: int = 100_000,
    seed: int = 0,
) -> None:
    """Serve a stand-in for the platform's log service until it is interrupted.

    :param host: numeric IP address to bind to
    :param port: port to bind to
    :param retention_records: records retained per stream; older ones are dropped
    :param seed: seed of random delays
    """
    import uvloop

    uvloop.run(serve_log(host, port, retention_records, seed))


def main() -> None:
    """Run the command line."""
    import defopt

    defopt.run(run)


if __name__ == "__main__":
    main()
