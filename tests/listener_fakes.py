"""A running listener and a caller that sends and reads raw HTTP."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
import anyio.abc

from briardock.clock import ManualClock
from briardock.listener import (
    HttpControl,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    serve_http,
)
from briardock.metrics import Metrics

HOST = "127.0.0.1"
LIMITS = HttpLimits(
    max_header_bytes=2_000, max_body_bytes=100, max_connections=3, idle_timeout_s=30.0
)


GET = b"GET /a?b=1 HTTP/1.1\r\nHost: x\r\n\r\n"


@dataclass
class Server:
    """A running listener and the requests that its handler received."""

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
                raise ValueError("handler error")
            case "/invalid":
                return HttpResponse(200, ((b"x", b"a\r\nb: c"),))
            case "/length":
                return HttpResponse(200, ((b"content-length", b"9"),))
            case "/no-content":
                return HttpResponse(204, (), b"ignored")
        headers = ((b"X-Seen", b"1"), (b"Connection", b"x-seen-not"))
        return HttpResponse(200, headers, request.method.encode() + request.body)

    async def advance(self, step_ms: float) -> None:
        while True:
            self.clock.advance(step_ms)
            await anyio.sleep(0.02)

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
async def running_listener(
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
class Response:
    """A parsed response."""

    status: int
    headers: dict[str, str]
    body: bytes


class Caller:
    """Connection that sends and reads raw HTTP."""

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self.stream = stream
        self.buffer = b""

    async def read_until(self, delimiter: bytes) -> bytes:
        while delimiter not in self.buffer:
            self.buffer += await self.stream.receive()
        head, self.buffer = self.buffer.split(delimiter, 1)
        return head

    async def read_response(self, has_body: bool = True) -> Response:
        lines = (await self.read_until(b"\r\n\r\n")).decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:])
        size_bytes = int(headers.get("content-length", 0)) if has_body else 0
        while len(self.buffer) < size_bytes:
            self.buffer += await self.stream.receive()
        body, self.buffer = self.buffer[:size_bytes], self.buffer[size_bytes:]
        return Response(int(lines[0].split(" ")[1]), headers, body)

    async def send_request(self, data: bytes) -> Response:
        await self.stream.send(data)
        return await self.read_response()

    async def is_closed(self) -> bool:
        try:
            self.buffer += await self.stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return True
        return False


async def connect(server: Server) -> Caller:
    return Caller(await anyio.connect_tcp(HOST, server.port))
