"""Links between nodes: outcomes of calls, faulty peers, Cancel and limits."""

import asyncio
import time
from typing import Any

import anyio
import anyio.abc
import msgspec
import pytest

from briardock import _link
from briardock._frames import encode_frame
from briardock.clock import ManualClock
from briardock.messages import (
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    Answer,
    Call,
    Cancel,
    Hello,
    LinkMessage,
)
from briardock.metrics import Metrics
from briardock.peers import (
    LinkFailure,
    PeerAddress,
    make_peer_links,
)
from peer_fakes import (
    CALL,
    DEADLINE_MS,
    FORWARD,
    HOST,
    SERVER_HELLO,
    SHORT_MS,
    FramePeer,
    Script,
    client_for,
    echo,
    respond_to_first_call,
    respond_to_first_frame,
    response_to,
    running_server,
    silent,
    wait_until,
    with_handshake,
)

# Longer than the timeout of a connection attempt, s.
STALL_S = _link.CONNECT_TIMEOUT_S + 0.1

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


@pytest.mark.parametrize(
    ("script", "detail"),
    [
        pytest.param(
            respond_to_first_frame(encode_frame(Hello(PROTOCOL_VERSION + 1, "b", 2))),
            "protocol version",
            id="version",
        ),
        pytest.param(
            respond_to_first_frame(encode_frame(Hello(PROTOCOL_VERSION, "c", 2))),
            "the peer is c",
            id="node",
        ),
        pytest.param(
            respond_to_first_frame(encode_frame(Hello(PROTOCOL_VERSION, "b", 3))),
            "incarnation 3",
            id="incarnation",
        ),
        pytest.param(
            respond_to_first_frame(encode_frame(response_to(1))),
            "before Hello",
            id="no-hello",
        ),
        pytest.param(
            respond_to_first_frame(b"HTTP/1.1 400 \r\n\r\n"), "exceeds", id="http"
        ),
        pytest.param(
            respond_to_first_frame(b"\0\0\0\3abc"), "undecodable", id="garbage"
        ),
        pytest.param(
            respond_to_first_frame(b"\0", True), "connection lost", id="closed"
        ),
        pytest.param(None, "timed out waiting for Hello", id="no-data"),
    ],
)
async def test_failed_handshake(
    script: Script | None, detail: str, monkeypatch: pytest.MonkeyPatch
):
    """Guards against calls sent to an unverified peer and reported as unknown."""
    if script is None:
        monkeypatch.setattr(_link, "HELLO_TIMEOUT_S", 0.05)
    async with client_for(script or FramePeer.is_closed) as client:
        failure = await client.call()
        assert isinstance(failure, LinkFailure)
        assert failure.sent is False
        assert detail in failure.detail


@pytest.mark.parametrize(
    ("script", "expected", "counter"),
    [
        pytest.param(
            respond_to_first_call(
                lambda call: encode_frame(response_to(call.call_id + 77))
            ),
            LinkFailure(True, "deadline"),
            "peers.answers_unknown",
            id="unknown-id",
        ),
        pytest.param(
            respond_to_first_call(
                lambda call: encode_frame(
                    msgspec.structs.replace(response_to(call.call_id), body_bytes=9)
                )
            ),
            LinkFailure(True, "response body has the wrong length"),
            "peers.answers_wrong_length",
            id="wrong-length",
        ),
        pytest.param(
            respond_to_first_call(lambda call: encode_frame(SERVER_HELLO)),
            LinkFailure(True, "unexpected Hello from the peer"),
            "peers.links_failed",
            id="second-hello",
        ),
        pytest.param(
            respond_to_first_call(lambda call: b"\xff\xff\xff\xff"),
            LinkFailure(True, f"frame of 4294967295 bytes exceeds {MAX_FRAME_BYTES}"),
            "peers.links_failed",
            id="oversized",
        ),
        pytest.param(
            respond_to_first_call(
                lambda call: encode_frame(response_to(call.call_id))[:-1], True
            ),
            LinkFailure(True, "connection lost: EndOfStream()"),
            "peers.links_failed",
            id="truncated-response",
        ),
        pytest.param(
            respond_to_first_call(lambda call: b"", True),
            LinkFailure(True, "connection lost: EndOfStream()"),
            "peers.links_failed",
            id="closed-without-response",
        ),
        pytest.param(
            silent, LinkFailure(True, "deadline"), "peers.deadlines", id="no-response"
        ),
    ],
)
async def test_sent_call_without_complete_response(
    script: Script, expected: LinkFailure, counter: str
):
    """Guards against "not sent" for a call that the peer may have run."""
    async with client_for(script) as client:
        remaining_ms = SHORT_MS if expected.detail == "deadline" else DEADLINE_MS
        assert await client.call(remaining_ms=remaining_ms) == expected
        assert client.metrics.counters[counter] == 1


async def test_duplicate_response_is_dropped():
    """Guards against a duplicate response given to the next call."""

    @with_handshake
    async def script(peer: FramePeer) -> None:
        while True:
            call = await peer.receive()
            body = b"%d" % call.call_id
            await peer.send(*[response_to(call.call_id, body)] * 2)

    async with client_for(script) as client:
        bodies = [(await client.call()).body for _ in range(5)]
        assert len(set(bodies)) == 5
        counters = client.metrics.counters
        await wait_until(lambda: counters.get("peers.answers_unknown") == 5)


async def test_reordered_responses_reach_their_calls():
    """Guards against responses matched by order instead of by id."""

    @with_handshake
    async def script(peer: FramePeer) -> None:
        calls = [await peer.receive() for _ in range(20)]
        await peer.send(
            *[response_to(call.call_id, call.body) for call in reversed(calls)]
        )
        await peer.is_closed()

    results: dict[int, Answer | LinkFailure] = {}
    async with client_for(script) as client:

        async def call(number: int) -> None:
            message = msgspec.structs.replace(CALL, body=b"%d" % number)
            results[number] = await client.call(message)

        async with anyio.create_task_group() as tasks:
            for number in range(20):
                tasks.start_soon(call, number)
        assert len(client.remotes) == 1
    assert [results[number].body for number in range(20)] == [
        b"%d" % number for number in range(20)
    ]


@pytest.mark.parametrize("by_deadline", [True, False])
async def test_cancel_is_sent(by_deadline: bool):
    """Guards against a peer that keeps running a call nobody waits for."""
    received_messages: list[LinkMessage] = []
    received = anyio.Event()
    cancelled = anyio.Event()

    @with_handshake
    async def script(peer: FramePeer) -> None:
        received_messages.append(await peer.receive())
        received.set()
        received_messages.append(await peer.receive())
        cancelled.set()

    async with client_for(script) as client:
        if by_deadline:
            assert await client.call(remaining_ms=SHORT_MS) == LinkFailure(
                True, "deadline"
            )
        else:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(client.call)
                await received.wait()
                tasks.cancel_scope.cancel()
        await cancelled.wait()
        call = received_messages[0]
        assert isinstance(call, Call)
        assert received_messages[1] == Cancel(call.call_id)


async def test_call_fields_are_set_when_sent():
    """Guards against stale times in calls that waited for the handshake."""
    received_messages: list[LinkMessage] = []

    @with_handshake
    async def script(peer: FramePeer) -> None:
        while True:
            call = await peer.receive()
            received_messages.append(call)
            await peer.send(response_to(call.call_id))

    async with client_for(script) as client:
        client.clock.advance(1_000.0)
        await client.call(CALL, 400.0)
        await client.call(FORWARD, 300.0)
    call, forward = received_messages
    assert call == msgspec.structs.replace(
        CALL, call_id=call.call_id, remaining_ms=400.0, sent_ms=1_000.0
    )
    assert forward == msgspec.structs.replace(
        FORWARD, call_id=forward.call_id, remaining_ms=300.0
    )
    assert 0 < call.call_id < forward.call_id


async def test_peer_that_does_not_read():
    """Guards against a blocked peer that delays its callers or calls to other peers."""
    large_call = msgspec.structs.replace(CALL, body=b"x" * 15_000_000)

    @with_handshake
    async def blocked_peer(peer: FramePeer) -> None:
        await anyio.sleep_forever()

    results: list[Answer | LinkFailure] = []
    async with client_for(blocked_peer) as client, client_for(echo) as other:

        async def call(message: Call) -> None:
            results.append(await client.call(message, 2 * SHORT_MS))

        async with anyio.create_task_group() as tasks:
            for message in (large_call, large_call, CALL, large_call):
                tasks.start_soon(call, message)
            await anyio.sleep(0.05)
            # The same links object calls another peer at the same time.
            deadline_at_ms = client.clock.now_ms() + DEADLINE_MS
            response = await client.links.call(other.peer, CALL, deadline_at_ms)
            assert isinstance(response, Answer)
        # Only the first frame was written, in part.
        assert sorted(result.sent for result in results) == [False, False, False, True]


async def test_call_behind_a_stalled_frame_is_not_sent():
    """Guards against writing a queued frame after a partly written, cancelled one."""
    large_call = msgspec.structs.replace(CALL, body=b"x" * 15_000_000)

    @with_handshake
    async def blocked_peer(peer: FramePeer) -> None:
        await anyio.sleep_forever()

    results: dict[str, Answer | LinkFailure] = {}
    async with client_for(blocked_peer) as client:

        async def call(name: str, message: Call, remaining_ms: float) -> None:
            results[name] = await client.call(message, remaining_ms)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call, "stalled", large_call, SHORT_MS)
            await anyio.sleep(0.05)
            tasks.start_soon(call, "queued", CALL, 2 * SHORT_MS)
            await anyio.sleep(1.2 * SHORT_MS / 1000)
            tasks.start_soon(call, "later", CALL, SHORT_MS)
    sent = {name: result.sent for name, result in results.items()}
    assert sent == {"stalled": True, "queued": False, "later": False}


async def test_link_loss_distinguishes_unwritten_calls():
    """Guards against an unknown outcome for a frame that was still queued."""
    large_call = msgspec.structs.replace(CALL, body=b"x" * 15_000_000)
    ready = anyio.Event()
    drop = anyio.Event()

    @with_handshake
    async def script(peer: FramePeer) -> None:
        ready.set()
        await drop.wait()

    results: dict[str, Answer | LinkFailure] = {}
    async with client_for(script) as client:

        async def call(name: str, message: Call) -> None:
            results[name] = await client.call(message)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call, "written", large_call)
            await ready.wait()
            await anyio.sleep(0.05)
            tasks.start_soon(call, "queued", CALL)
            await anyio.sleep(0.01)
            drop.set()
        assert results["written"].sent is True
        assert results["queued"].sent is False


@pytest.mark.parametrize(
    ("message", "remaining_ms", "detail"),
    [
        pytest.param(CALL, 0.0, "deadline", id="deadline"),
        pytest.param(
            msgspec.structs.replace(CALL, body=b"x" * MAX_FRAME_BYTES),
            DEADLINE_MS,
            "exceeds",
            id="too-large",
        ),
    ],
)
async def test_call_that_cannot_be_sent(
    message: Call, remaining_ms: float, detail: str
):
    """Guards against an unknown outcome for a call that was never written."""
    async with client_for(echo) as client:
        failure = await client.call(message, remaining_ms)
        assert failure.sent is False
        assert detail in failure.detail
        assert isinstance(await client.call(), Answer)


async def test_stall_of_this_process_is_not_taken_for_an_unreachable_peer(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against calls that fail unsent because this process was held up."""
    connect_tcp = anyio.connect_tcp

    async def connect(*args: Any, **options: Any) -> anyio.abc.SocketStream:
        asyncio.get_running_loop().call_soon(time.sleep, STALL_S)
        return await connect_tcp(*args, **options)

    monkeypatch.setattr(_link.anyio, "connect_tcp", connect)
    async with client_for(echo) as client:
        assert isinstance(await client.call(), Answer)


async def test_connection_attempt_without_an_end_fails(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against calls that wait for a peer whose machine does not respond."""

    async def connect(*args: Any, **options: Any) -> anyio.abc.SocketStream:
        return await anyio.sleep_forever()

    monkeypatch.setattr(_link.anyio, "connect_tcp", connect)
    monkeypatch.setattr(_link, "CONNECT_TIMEOUT_S", 0.05)
    async with client_for(echo) as client:
        failure = await client.call()
        assert failure == LinkFailure(False, "connection failed: TimeoutError()")


async def test_call_without_running_links():
    """Guards against calls that wait although the links are not running."""
    links = make_peer_links("a", 1, ManualClock(), Metrics(), None, 1)
    result = await links.call(PeerAddress("b", 2, HOST, 1), CALL, DEADLINE_MS)
    assert result == LinkFailure(False, "links are not running")


@pytest.mark.parametrize("size_bytes", [0, 1, 70_000, 15_000_000])
async def test_links_and_server_together(size_bytes: int):
    """Guards against frames split or joined in transit."""
    async with running_server() as server, client_for(echo) as client:
        client.peer = PeerAddress("b", 2, HOST, server.port)
        body = bytes(size_bytes)
        for message in (CALL, FORWARD, CALL):
            response = await client.call(msgspec.structs.replace(message, body=body))
            assert isinstance(response, Answer)
            assert response.body == body
