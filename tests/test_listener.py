"""HTTP listener: framing, limits, disconnects and graceful stop."""

import errno
import json
import os
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
import anyio.abc
import pytest

from briardock._http import has_input, stream_fd
from briardock.clock import ManualClock
from briardock.listener import (
    HttpControl,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    serve_http,
)
from briardock.metrics import Metrics

pytestmark = pytest.mark.anyio
HOST = "127.0.0.1"
LIMITS = HttpLimits(
    max_header_bytes=2_000, max_body_bytes=100, max_connections=3, idle_timeout_s=30.0
)
GET = b"GET /a?b=1 HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


@dataclass
class Server:
    """A running listener and what its handler saw."""

    port: int = 0
    requests: list[HttpRequest] = field(default_factory=list)
    started: anyio.Event = field(default_factory=anyio.Event)
    cancelled: anyio.Event = field(default_factory=anyio.Event)
    release: anyio.Event = field(default_factory=anyio.Event)
    returned: anyio.Event = field(default_factory=anyio.Event)
    metrics: Metrics = field(default_factory=Metrics)
    control: HttpControl = field(default_factory=HttpControl)
    clock: ManualClock = field(default_factory=ManualClock)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        self.requests.append(request)
        match request.path:
            case "/wait":
                await self._wait()
            case "/fail":
                raise ValueError("fault in the handler")
            case "/invalid":
                return HttpResponse(200, ((b"x", b"a\r\nb: c"),))
            case "/no-content":
                return HttpResponse(204, (), b"ignored")
        headers = ((b"X-Seen", b"1"), (b"Connection", b"x-seen-not"))
        return HttpResponse(200, headers, request.method.encode() + request.body)

    async def _wait(self) -> None:
        self.started.set()
        try:
            await self.release.wait()
        except anyio.get_cancelled_exc_class():
            self.cancelled.set()
            raise

    async def serve(self, listener: anyio.abc.Listener) -> None:
        await serve_http(
            listener, self.handle, LIMITS, self.metrics, self.control, self.clock
        )
        self.returned.set()


@asynccontextmanager
async def running(
    wrap: Callable[[anyio.abc.Listener], anyio.abc.Listener] = lambda inner: inner,
) -> AsyncIterator[Server]:
    server = Server()
    listener = await anyio.create_tcp_listener(local_host=HOST)
    server.port = listener.extra(anyio.abc.SocketAttribute.local_port)
    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, wrap(listener))
            yield server
            tasks.cancel_scope.cancel()


@dataclass
class Answer:
    """One parsed answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class Caller:
    """Plain socket that speaks HTTP by hand."""

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self.stream = stream
        self.buffer = b""

    async def read_until(self, mark: bytes) -> bytes:
        while mark not in self.buffer:
            self.buffer += await self.stream.receive()
        head, self.buffer = self.buffer.split(mark, 1)
        return head

    async def answer(self, has_body: bool = True) -> Answer:
        lines = (await self.read_until(b"\r\n\r\n")).decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:])
        size_bytes = int(headers.get("content-length", 0)) if has_body else 0
        while len(self.buffer) < size_bytes:
            self.buffer += await self.stream.receive()
        body, self.buffer = self.buffer[:size_bytes], self.buffer[size_bytes:]
        return Answer(int(lines[0].split(" ")[1]), headers, body)

    async def ask(self, data: bytes) -> Answer:
        await self.stream.send(data)
        return await self.answer()

    async def is_closed(self) -> bool:
        try:
            self.buffer += await self.stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return True
        return False


async def connect(server: Server) -> Caller:
    return Caller(await anyio.connect_tcp(HOST, server.port))


@pytest.mark.parametrize(
    ("data", "body"),
    [
        pytest.param(GET, b"GET", id="get"),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc",
            b"POSTabc",
            id="content-length",
        ),
        pytest.param(
            b"PUT / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
            b"PUTabc",
            id="chunked",
        ),
        pytest.param(
            b"GET http://h:1/p HTTP/1.1\r\nHost: x\r\n\r\n", b"GET", id="absolute-form"
        ),
    ],
)
async def test_request_is_answered_and_connection_kept(data: bytes, body: bytes):
    """Guards against misread framing and needless closing of connections."""
    async with running() as server:
        caller = await connect(server)
        for _ in range(150):
            answer = await caller.ask(data)
            assert (answer.status, answer.body) == (200, body)
            assert answer.headers["x-seen"] == "1"
            assert "connection" not in answer.headers
        assert len(server.requests) == 150


async def test_request_fields():
    """Guards against hop-by-hop fields that reach the target."""
    async with running() as server:
        caller = await connect(server)
        await caller.ask(
            b"GET http://h:1/p?q=1 HTTP/1.1\r\nHost: x\r\nConnection: X-Hop\r\n"
            b"X-Hop: 1\r\nKeep-Alive: 5\r\nAccept: */*\r\n\r\n"
        )
        request = server.requests[0]
        assert (request.method, request.path) == ("GET", "/p?q=1")
        assert request.headers == ((b"accept", b"*/*"),)
        assert request.peer.startswith("127.0.0.1:")


async def test_pipelined_requests_are_answered_in_order():
    """Guards against a second request lost in the first one's read."""
    async with running() as server:
        caller = await connect(server)
        first = await caller.ask(GET + GET.replace(b"GET", b"PUT"))
        second = await caller.answer()
        assert (first.body, second.body) == (b"GET", b"PUT")


@pytest.mark.parametrize("path", [b"/a", b"/no-content"])
async def test_answer_without_body(path: bytes):
    """Guards against a body after HEAD or 204, which shifts the next answer."""
    async with running() as server:
        caller = await connect(server)
        await caller.stream.send(b"HEAD " + path + b" HTTP/1.1\r\nHost: x\r\n\r\n")
        await caller.answer(has_body=False)
        await caller.stream.send(b"GET /no-content HTTP/1.1\r\nHost: x\r\n\r\n")
        empty = await caller.answer()
        assert (empty.status, "content-length" in empty.headers) == (204, False)
        assert (await caller.ask(GET)).body == b"GET"


async def test_expect_continue():
    """Guards against callers that wait in vain for 100 Continue."""
    async with running() as server:
        caller = await connect(server)
        interim = await caller.ask(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
            b"Expect: 100-continue\r\n\r\n"
        )
        assert interim.status == 100
        assert (await caller.ask(b"ab")).body == b"POSTab"


@pytest.mark.parametrize(
    ("data", "status", "reason"),
    [
        pytest.param(b"\x16\x03\x01\x02\x00\r\n\r\n", 400, "bad-request", id="tls"),
        pytest.param(b"GET / HTTP/9.9\r\n\r\n", 505, "bad-request", id="version"),
        pytest.param(b"GET / HTTP/1.1\r\n\r\n", 400, "bad-request", id="no-host"),
        pytest.param(
            b"GET / HTTP/1.1\r\nHost: x\r\nbad header\r\n\r\n",
            400,
            "bad-request",
            id="header-line",
        ),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
            400,
            "bad-request",
            id="length",
        ),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            400,
            "bad-request",
            id="chunk",
        ),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n",
            501,
            "bad-request",
            id="coding",
        ),
        pytest.param(
            b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"a" * 2_000 + b"\r\n\r\n",
            431,
            "bad-request",
            id="whole-header-too-large",
        ),
        pytest.param(
            b"GET / HTTP/1.1\r\nA: " + b"a" * 5_000,
            431,
            "bad-request",
            id="partial-header-too-large",
        ),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n",
            413,
            "body-too-large",
            id="declared-body-too-large",
        ),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"65\r\n" + b"a" * 101 + b"\r\n0\r\n\r\n",
            413,
            "body-too-large",
            id="chunked-body-too-large",
        ),
    ],
)
async def test_bad_request_gets_typed_answer(data: bytes, status: int, reason: str):
    """Guards against bad input that kills the process or gets no answer."""
    async with running() as server:
        caller = await connect(server)
        answer = await caller.ask(data)
        shown = json.loads(answer.body)
        assert (answer.status, shown["reason"]) == (status, reason)
        assert shown["outcome"] == answer.headers["briardock-outcome"] == "not-run"
        assert shown["remedy"]
        assert answer.headers["connection"] == "close"
        assert await caller.is_closed()
        assert server.metrics.counters[f"listener.refused.{reason}"] == 1
        assert server.requests == []
        assert (await (await connect(server)).ask(GET)).status == 200


async def test_too_many_connections():
    """Guards against callers that wait for a connection that is never served."""
    async with running() as server:
        callers = [await connect(server) for _ in range(LIMITS.max_connections)]
        for caller in callers:
            await caller.ask(GET)
        refused = await (await connect(server)).answer()
        assert refused.status == 503
        assert json.loads(refused.body)["reason"] == "overloaded"
        await callers[0].stream.aclose()
        await anyio.wait_all_tasks_blocked()
        assert (await (await connect(server)).ask(GET)).status == 200


@pytest.mark.parametrize("path", [b"/fail", b"/invalid"])
async def test_handler_fault_gives_unknown(path: bytes):
    """Guards against "not run" for a request that the handler dispatched."""
    async with running() as server:
        caller = await connect(server)
        answer = await caller.ask(b"GET " + path + b" HTTP/1.1\r\nHost: x\r\n\r\n")
        shown = json.loads(answer.body)
        assert answer.status == 500
        assert (shown["outcome"], shown["reason"]) == ("unknown", "internal-error")
        assert server.metrics.counters["listener.handler_errors"] == 1
        assert (await (await connect(server)).ask(GET)).status == 200


@pytest.mark.parametrize("half", [False, True])
async def test_disconnect_cancels_handler(half: bool):
    """Guards against work for callers that are gone."""
    async with running() as server:
        caller = await connect(server)
        other = await connect(server)
        await caller.stream.send(b"GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
        await server.started.wait()
        if half:
            await caller.stream.send_eof()
        else:
            await caller.stream.aclose()
        await server.cancelled.wait()
        assert server.metrics.counters["listener.cancelled"] == 1
        assert (await other.ask(GET)).status == 200


async def test_request_of_vanished_caller_is_not_started():
    """Guards against work for callers that left before their request was read."""
    async with running() as server:
        caller = await connect(server)
        await caller.ask(GET)
        second = GET.replace(b"GET", b"PUT")
        await caller.stream.send(b"GET /wait HTTP/1.1\r\nHost: x\r\n\r\n" + second)
        await server.started.wait()
        await caller.stream.send_eof()
        await server.cancelled.wait()
        assert await caller.is_closed()
        assert [request.method for request in server.requests] == ["GET", "GET"]


async def test_stop_finishes_running_requests_and_closes_idle_connections():
    """Guards against requests interrupted by a graceful shutdown."""
    async with running() as server:
        idle = await connect(server)
        await idle.ask(GET)
        busy = await connect(server)
        await busy.stream.send(b"GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
        await server.started.wait()
        server.control.stop_accepting()
        assert await idle.is_closed()
        with pytest.raises(OSError):
            await connect(server)
        assert not server.returned.is_set()
        server.release.set()
        answer = await busy.answer()
        assert (answer.status, answer.headers["connection"]) == (200, "close")
        assert await busy.is_closed()
        await server.returned.wait()


async def test_stop_serves_request_that_has_arrived():
    """Guards against requests lost in the input of a connection closed as idle."""
    async with running() as server:
        caller = await connect(server)
        await caller.ask(GET)
        # A plain send gives the listener no turn before it is stopped.
        raw = caller.stream.extra(anyio.abc.SocketAttribute.raw_socket)
        os.write(raw.fileno(), GET)
        server.control.stop_accepting()
        assert (await caller.answer()).status == 200
        assert await caller.is_closed()
        await server.returned.wait()


@pytest.mark.parametrize(
    ("sent", "closes"),
    [
        pytest.param(b"", True, id="idle"),
        pytest.param(b"GET / HT", True, id="partial-head"),
        pytest.param(b"GET /wait HTTP/1.1\r\nHost: x\r\n\r\n", False, id="running"),
    ],
)
async def test_idle_timeout(sent: bytes, closes: bool):
    """Guards against silent connections that use up the limit."""
    async with running() as server:
        caller = await connect(server)
        await caller.ask(GET)
        if sent:
            await caller.stream.send(sent)
            await anyio.sleep(0.02)
        server.clock.advance(LIMITS.idle_timeout_s * 1000.0 + 1.0)
        if closes:
            assert await caller.is_closed()
            assert server.metrics.counters["listener.idle_closed"] == 1
        else:
            await anyio.sleep(0.6)
            server.release.set()
            assert (await caller.answer()).status == 200


class FailingListener(anyio.abc.Listener[anyio.abc.SocketStream]):
    """Listener whose first serve ends as if no descriptor were free."""

    def __init__(self, inner: anyio.abc.Listener) -> None:
        self.inner = inner
        self.failed = False

    async def serve(self, handler, task_group=None) -> None:
        if not self.failed:
            self.failed = True
            raise OSError(errno.EMFILE, "Too many open files")
        await self.inner.serve(handler, task_group)

    async def aclose(self) -> None:
        await self.inner.aclose()


async def test_failed_accept_is_retried():
    """Guards against a listener that ends when descriptors run out."""
    async with running(FailingListener) as server:
        assert (await (await connect(server)).ask(GET)).status == 200


@pytest.mark.parametrize(
    ("act", "expected"),
    [
        pytest.param("none", False, id="quiet"),
        pytest.param("write", True, id="input-in-the-kernel"),
        pytest.param("close", True, id="end"),
        pytest.param("read-ahead", True, id="input-read-ahead"),
    ],
)
async def test_has_input(act: str, expected: bool):
    """Guards against closing or reusing a connection that has unread input."""
    listener = await anyio.create_tcp_listener(local_host=HOST)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    near = await anyio.connect_tcp(HOST, port)
    far = await listener.listeners[0].accept()
    async with near, far, listener:
        if act in ("write", "read-ahead"):
            os.write(stream_fd(far), b"ab")
        if act == "read-ahead":
            await near.receive(1)
        if act == "close":
            await far.aclose()
        assert has_input(near) is expected
