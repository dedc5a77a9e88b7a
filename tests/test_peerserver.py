"""Peer server: faulty peers, Cancel, transit times and framing."""

import contextlib

import anyio
import anyio.abc
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from briardock import _peerserver
from briardock._frames import FrameReader, encode_frame
from briardock.messages import (
    PROTOCOL_VERSION,
    Cancel,
    Hello,
    LinkMessage,
)
from peer_fakes import (
    CLIENT_HELLO,
    assert_serves,
    call_with,
    connect,
    response_to,
    running_server,
)

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


@pytest.mark.parametrize(
    ("hello", "data"),
    [
        pytest.param(None, b"GET / HTTP/1.1\r\n\r\n", id="http"),
        pytest.param(None, b"\0\0\0\3abc", id="garbage"),
        pytest.param(None, b"\0\0\0\0", id="empty-frame"),
        pytest.param(None, encode_frame(call_with(1)), id="call-before-hello"),
        pytest.param(None, b"\0\1\0\0", id="large-hello"),
        pytest.param(CLIENT_HELLO, b"\xff\xff\xff\xff", id="oversized"),
        pytest.param(CLIENT_HELLO, b"\0\0\0\2\x92\xa4", id="undecodable"),
        pytest.param(CLIENT_HELLO, encode_frame(CLIENT_HELLO), id="second-hello"),
        pytest.param(CLIENT_HELLO, encode_frame(response_to(1)), id="response"),
        pytest.param(
            CLIENT_HELLO,
            encode_frame(call_with(1)) + encode_frame(call_with(1)),
            id="duplicate-call-id",
        ),
        pytest.param(
            Hello(PROTOCOL_VERSION + 1, "a", 1), b"", id="other-protocol-version"
        ),
    ],
)
async def test_faulty_peer_is_disconnected(hello: Hello | None, data: bytes):
    """Guards against faulty peers that stop the process or run a call twice."""
    async with running_server() as server:
        peer = await connect(server, hello)
        await peer.stream.send(data)
        assert await peer.is_closed()
        assert server.metrics.counters["peers.rejected"] == 1
        assert len(server.infos) <= 1
        await assert_serves(server)


async def test_connection_without_hello_is_closed(monkeypatch: pytest.MonkeyPatch):
    """Guards against clients that hold connections open without a handshake."""
    monkeypatch.setattr(_peerserver, "HELLO_TIMEOUT_S", 0.02)
    async with running_server() as server:
        peer = await connect(server, None)
        assert await peer.is_closed()
        await assert_serves(server)


async def test_number_of_connections_is_limited():
    """Guards against running out of file descriptors."""
    async with running_server(max_connections=1) as server:
        first = await connect(server)
        second = await connect(server, None)
        assert await second.is_closed()
        await first.send(call_with(1))
        assert await first.receive() == response_to(1, b"body")


async def test_idle_connection_is_closed(monkeypatch: pytest.MonkeyPatch):
    """Guards against connections of dead hosts that use up the connection limit."""
    monkeypatch.setattr(_peerserver, "SWEEP_PERIOD_S", 0.01)
    async with running_server() as server:
        busy = await connect(server)
        await busy.send(call_with(1, path="/wait"))
        await server.started.wait()
        idle = await connect(server)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.advance, _peerserver.SERVER_IDLE_TIMEOUT_MS + 1.0)
            assert await idle.is_closed()
            tasks.cancel_scope.cancel()
        assert not server.cancelled.is_set()


@pytest.mark.parametrize(
    ("path", "reason"), [("/fail", "internal-error"), ("/huge", "answer-lost")]
)
async def test_handler_error_gives_unknown(path: str, reason: str):
    """Guards against calls without a response and against a false "not run"."""
    async with running_server() as server:
        peer = await connect(server)
        await peer.send(call_with(5, path=path))
        response = await peer.receive()
        assert (response.call_id, response.outcome) == (5, "unknown")
        assert response.reason == reason
        await peer.send(call_with(6))
        assert await peer.receive() == response_to(6, b"body")


@pytest.mark.parametrize(
    ("path", "has_response"), [("/wait", False), ("/shield", True)], ids=str
)
async def test_cancel(path: str, has_response: bool):
    """Guards against running cancelled calls and losing shielded responses."""
    async with running_server() as server:
        peer = await connect(server)
        await peer.send(call_with(1, path=path), call_with(2, path="/late"))
        await server.started.wait()
        await peer.send(Cancel(1), Cancel(77))
        assert await peer.receive() == response_to(2, b"body")
        if has_response:
            assert await peer.receive() == response_to(1, b"body")
        else:
            await server.cancelled.wait()


async def test_connection_loss_cancels_handlers():
    """Guards against running calls whose response cannot be delivered."""
    async with running_server() as server:
        peer = await connect(server)
        await peer.send(call_with(1, path="/wait"))
        await server.started.wait()
        await peer.stream.aclose()
        await server.cancelled.wait()
        await assert_serves(server)


@pytest.mark.parametrize(
    ("frames", "transit_ms"),
    [
        pytest.param([(100.0, 50.0)], [0.0], id="first"),
        pytest.param([(100.0, 50.0), (110.0, 50.0)], [0.0, 9.995], id="delayed"),
        pytest.param(
            [(100.0, 50.0), (110.0, 70.0), (120.0, 70.0)],
            [0.0, 0.0, 9.995],
            id="smaller-difference-found",
        ),
        pytest.param(
            [(100.0, 50.0), (10_100.0, 10_000.0)], [0.0, 45.0], id="drift-allowance"
        ),
        pytest.param(
            [(100.0, 50.0), (30_100.0, 60.0)], [0.0, 29_975.0], id="paused-receiver"
        ),
    ],
)
async def test_transit(frames: list[tuple[float, float]], transit_ms: list[float]):
    """Guards against treating delayed frames of a paused node as recent ones."""
    async with running_server() as server:
        peer = await connect(server)
        for call_id, (received_ms, sent_ms) in enumerate(frames, start=1):
            server.clock.advance(received_ms - server.clock.now_ms())
            await peer.send(call_with(call_id, sent_ms=sent_ms))
            await peer.receive()
        assert [info.transit_ms for info in server.infos] == pytest.approx(transit_ms)
        assert server.infos[0].node_id == "a"
        assert server.infos[0].incarnation == 1


class ChunkStream:
    """Stream that returns given chunks."""

    def __init__(self, chunks: list[bytes]) -> None:
        self.chunks = chunks

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        if not self.chunks:
            raise anyio.EndOfStream
        return self.chunks.pop(0)


@given(
    bodies=st.lists(st.binary(max_size=40), min_size=1, max_size=8),
    cuts=st.lists(st.integers(min_value=0, max_value=600), max_size=12),
)
def test_frames_are_read_with_any_split(bodies: list[bytes], cuts: list[int]):
    """Guards against misreading frames that arrive in several chunks."""
    messages = [response_to(number, body) for number, body in enumerate(bodies)]
    data = b"".join(map(encode_frame, messages))
    edges = sorted({0, len(data), *(cut for cut in cuts if cut < len(data))})
    chunks = [data[start:end] for start, end in zip(edges, edges[1:], strict=False)]

    async def read() -> list[LinkMessage]:
        reader = FrameReader(ChunkStream(chunks))  # type: ignore[arg-type]
        found: list[LinkMessage] = []
        while len(found) < len(messages):
            found += await reader.receive()
        return found

    assert anyio.run(read) == messages


@settings(max_examples=40, deadline=None)
@given(
    data=st.binary(max_size=200),
    hello=st.sampled_from([None, CLIENT_HELLO]),
    framed=st.booleans(),
)
def test_server_survives_any_input(data: bytes, hello: Hello | None, framed: bool):
    """Guards against input that stops the process or the calls of other peers."""
    if framed:
        data = len(data).to_bytes(4, "big") + data

    async def run() -> None:
        async with running_server() as server:
            peer = await connect(server, hello)
            with contextlib.suppress(anyio.BrokenResourceError):
                await peer.stream.send(data)
                await peer.stream.send_eof()
            assert await peer.is_closed()
            await assert_serves(server)

    anyio.run(run, backend_options={"use_uvloop": True})
