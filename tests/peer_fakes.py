"""Fake peers, and fixtures for the links and the server under test."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
import anyio.abc
import msgspec

from briardock._frames import FrameReader, encode_frame
from briardock.clock import ManualClock
from briardock.messages import (
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    Answer,
    Call,
    Forward,
    Hello,
    LinkMessage,
    Message,
)
from briardock.metrics import Metrics
from briardock.peers import (
    LinkFailure,
    PeerAddress,
    PeerInfo,
    PeerLinks,
    make_peer_links,
    serve_peers,
)

HOST = "127.0.0.1"
DEADLINE_MS = 5_000.0
SHORT_MS = 250.0
CLIENT_HELLO = Hello(PROTOCOL_VERSION, "a", 1)
SERVER_HELLO = Hello(PROTOCOL_VERSION, "b", 2)
FORWARD = Forward(0, "key", "booking", "POST", "/book", [(b"a", b"1")], b"body", 0.0)
CALL = Call(
    call_id=0,
    target_incarnation=2,
    key="key",
    operation="booking.book",
    method="POST",
    path="/book",
    headers=[(b"a", b"1")],
    body=b"body",
    level=1,
    once=True,
    remaining_ms=0.0,
    sent_ms=0.0,
    retries=2,
    fingerprint="f",
)


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await anyio.sleep(0.002)


def response_to(call_id: int, body: bytes = b"") -> Answer:
    return Answer(call_id, "completed", 200, [], body, len(body))


@dataclass
class FramePeer:
    """One end of a link that sends and receives single messages."""

    stream: anyio.abc.SocketStream
    queue: list[LinkMessage] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.reader = FrameReader(self.stream)
        self.reader.max_frame_bytes = MAX_FRAME_BYTES

    async def send(self, *messages: Message) -> None:
        await self.stream.send(b"".join(map(encode_frame, messages)))

    async def receive(self) -> LinkMessage:
        if not self.queue:
            self.queue = await self.reader.receive()
        return self.queue.pop(0)

    async def is_closed(self) -> bool:
        try:
            while True:
                await self.stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return True


Script = Callable[[FramePeer], Awaitable[None]]


@dataclass
class Client:
    """The links under test and the fake peer that they call."""

    links: PeerLinks
    clock: ManualClock
    metrics: Metrics
    peer: PeerAddress
    tasks: anyio.abc.TaskGroup
    remotes: list[str] = field(default_factory=list)

    async def call(
        self, message: Call | Forward = CALL, remaining_ms: float = DEADLINE_MS
    ) -> Answer | LinkFailure:
        deadline_at_ms = self.clock.now_ms() + remaining_ms
        return await self.links.call(self.peer, message, deadline_at_ms)


@asynccontextmanager
async def client_for(
    script: Script, source_host: str | None = None, max_links: int = 10
) -> AsyncIterator[Client]:
    """Run links to a fake peer that runs a script on each connection."""
    listener = await anyio.create_tcp_listener(local_host=HOST)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    clock = ManualClock()
    metrics = Metrics()
    links = make_peer_links("a", 1, clock, metrics, source_host, max_links)

    async def serve(stream: anyio.abc.SocketStream) -> None:
        remote = stream.extra(anyio.abc.SocketAttribute.remote_address)
        client.remotes.append(remote[0])
        async with stream:
            try:
                await script(FramePeer(stream))
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return

    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            peer = PeerAddress("b", 2, HOST, port)
            client = Client(links, clock, metrics, peer, tasks)
            tasks.start_soon(listener.serve, serve, tasks)
            tasks.start_soon(links.run)
            await anyio.wait_all_tasks_blocked()
            yield client
            tasks.cancel_scope.cancel()


def with_handshake(script: Script) -> Script:
    """Return a script that exchanges ``Hello`` messages first."""

    async def run(peer: FramePeer) -> None:
        assert await peer.receive() == CLIENT_HELLO
        await peer.send(SERVER_HELLO)
        await script(peer)

    return run


@with_handshake
async def echo(peer: FramePeer) -> None:
    while True:
        match await peer.receive():
            case Call(call_id=call_id, body=body):
                await peer.send(response_to(call_id, body))


@with_handshake
async def silent(peer: FramePeer) -> None:
    await peer.is_closed()


def respond_to_first_frame(data: bytes, then_close: bool = False) -> Script:
    """Return a script that responds to the first frame with fixed bytes."""

    async def run(peer: FramePeer) -> None:
        await peer.receive()
        await peer.stream.send(data)
        if not then_close:
            await peer.is_closed()

    return run


def respond_to_first_call(
    make_response: Callable[[Call], bytes], then_close: bool = False
) -> Script:
    """Return a script that responds to the first call with bytes made from it."""

    async def run(peer: FramePeer) -> None:
        call = await peer.receive()
        assert isinstance(call, Call)
        await peer.stream.send(make_response(call))
        if not then_close:
            await peer.is_closed()

    return with_handshake(run)


@dataclass
class Server:
    """A running ``serve_peers`` and the calls that its handler received."""

    port: int = 0
    infos: list[PeerInfo] = field(default_factory=list)
    started: anyio.Event = field(default_factory=anyio.Event)
    cancelled: anyio.Event = field(default_factory=anyio.Event)
    clock: ManualClock = field(default_factory=ManualClock)
    metrics: Metrics = field(default_factory=Metrics)

    async def handle(self, message: Call | Forward, info: PeerInfo) -> Answer:
        self.infos.append(info)
        match message.path:
            case "/fail":
                raise ValueError("handler error")
            case "/huge":
                return response_to(message.call_id, b"x" * MAX_FRAME_BYTES)
            case "/wait":
                await self._wait()
            case "/shield":
                with anyio.CancelScope(shield=True):
                    self.started.set()
                    await anyio.sleep(0.05)
        # The server replaces the wrong call id.
        return response_to(0, message.body)

    async def advance(self, step_ms: float) -> None:
        while True:
            self.clock.advance(step_ms)
            await anyio.sleep(0.02)

    async def _wait(self) -> None:
        self.started.set()
        try:
            await anyio.sleep_forever()
        except anyio.get_cancelled_exc_class():
            self.cancelled.set()
            raise


@asynccontextmanager
async def running_server(max_connections: int = 10) -> AsyncIterator[Server]:
    server = Server()
    listener = await anyio.create_tcp_listener(local_host=HOST)
    server.port = listener.extra(anyio.abc.SocketAttribute.local_port)

    async def serve() -> None:
        await serve_peers(
            listener,
            server.handle,
            "b",
            2,
            server.clock,
            server.metrics,
            max_connections,
        )

    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve)
            yield server
            tasks.cancel_scope.cancel()


async def connect(server: Server, hello: Message | None = CLIENT_HELLO) -> FramePeer:
    peer = FramePeer(await anyio.connect_tcp(HOST, server.port))
    if hello is not None:
        await peer.send(hello)
        assert await peer.receive() == SERVER_HELLO
    return peer


def call_with(call_id: int, **fields: object) -> Call:
    return msgspec.structs.replace(CALL, call_id=call_id, **fields)


async def assert_serves(server: Server) -> None:
    peer = await connect(server)
    await peer.send(call_with(1))
    assert await peer.receive() == response_to(1, b"body")
