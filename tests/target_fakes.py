"""A scripted target and the client under test."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
import anyio.abc

from briardock.clock import ManualClock
from briardock.metrics import Metrics
from briardock.outcomes import Completed, Headers
from briardock.target import Lost, NotSent, TargetClient, make_target_client

HOST = "127.0.0.1"
DEADLINE_MS = 5_000.0
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


Script = Callable[["Target", anyio.abc.SocketStream, bytes], Awaitable[None]]


@dataclass
class Target:
    """Fake target that runs a script for each request head it receives."""

    script: Script
    port: int = 0
    connection_count: int = 0
    finished_count: int = 0
    requests: list[bytes] = field(default_factory=list)
    request_connections: list[int] = field(default_factory=list)
    closed: anyio.Event = field(default_factory=anyio.Event)
    received: anyio.Event = field(default_factory=anyio.Event)
    listener: anyio.abc.Listener | None = None

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        self.connection_count += 1
        number = self.connection_count
        async with stream:
            try:
                while True:
                    data = await stream.receive()
                    self.requests.append(data)
                    self.request_connections.append(number)
                    self.received.set()
                    await self.script(self, stream, data)
                    self.finished_count += 1
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                self.closed.set()

    async def wait_finished(self, count: int) -> None:
        while self.finished_count < count:
            await anyio.sleep(0.002)


@dataclass
class TargetHarness:
    """Fake target, the client under test and its clock."""

    target: Target
    client: TargetClient
    clock: ManualClock
    metrics: Metrics
    tasks: anyio.abc.TaskGroup

    async def run(
        self,
        method: str = "GET",
        path: str = "/a?b=1",
        headers: Headers = (),
        body: bytes = b"",
        remaining_ms: float = DEADLINE_MS,
    ) -> Completed | NotSent | Lost:
        deadline_at_ms = self.clock.now_ms() + remaining_ms
        return await self.client.run(method, path, headers, body, deadline_at_ms)


async def serve_until_closed(
    listener: anyio.abc.Listener, target: Target, tasks: anyio.abc.TaskGroup
) -> None:
    try:
        await listener.serve(target.serve, tasks)
    except* anyio.ClosedResourceError:
        pass


@asynccontextmanager
async def target_harness(script: Script) -> AsyncIterator[TargetHarness]:
    target = Target(script)
    listener = await anyio.create_tcp_listener(local_host=HOST)
    target.listener = listener
    target.port = listener.extra(anyio.abc.SocketAttribute.local_port)
    clock = ManualClock()
    metrics = Metrics()
    client = make_target_client(clock, metrics, 1_000.0, 2)
    client.set_address(HOST, target.port)
    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve_until_closed, listener, target, tasks)
            yield TargetHarness(target, client, clock, metrics, tasks)
            await client.aclose()
            tasks.cancel_scope.cancel()


def respond_with(*chunks: bytes, then_close: bool = False) -> Script:
    """Return a script that sends the chunks one by one."""

    async def script(
        target: Target, stream: anyio.abc.SocketStream, data: bytes
    ) -> None:
        for chunk in chunks:
            await stream.send(chunk)
            await anyio.sleep(0.002)
        if then_close:
            await stream.aclose()

    return script


async def never_respond(
    target: Target, stream: anyio.abc.SocketStream, data: bytes
) -> None:
    """Leave each request without a response."""
