"""Lifecycle of links: backoff, replacement, limits and idle timeout."""

import anyio
import anyio.abc
import pytest

from briardock import peers
from briardock.messages import (
    Answer,
    LinkMessage,
)
from briardock.peers import (
    LinkFailure,
    PeerAddress,
)
from peer_fakes import (
    CALL,
    DEADLINE_MS,
    HOST,
    SHORT_MS,
    FramePeer,
    client_for,
    echo,
    response_to,
    silent,
    wait_until,
    with_handshake,
)

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


async def test_refused_connection_backs_off():
    """Guards against a connection attempt for each call to an unreachable peer."""
    async with client_for(echo) as client:
        client.peer = PeerAddress("b", 2, HOST, 1)
        for _ in range(3):
            failure = await client.call()
            assert failure.sent is False
            assert "connection failed" in failure.detail
        assert client.metrics.counters["peers.links_started"] == 1
        client.clock.advance(peers.BACKOFF_FIRST_MS)
        await client.call()
        assert client.metrics.counters["peers.links_started"] == 2
        client.clock.advance(peers.BACKOFF_FIRST_MS)
        await client.call()
        assert client.metrics.counters["peers.links_started"] == 2


async def test_lost_link_is_replaced():
    """Guards against a peer that stays unreachable after its link was lost."""

    @with_handshake
    async def script(peer: FramePeer) -> None:
        call = await peer.receive()
        await peer.send(response_to(call.call_id))

    async with client_for(script) as client:
        counters = client.metrics.counters
        for number in range(1, 4):
            assert isinstance(await client.call(), Answer)
            await wait_until(
                lambda number=number: counters.get("peers.links_failed") == number
            )
            client.clock.advance(peers.BACKOFF_MAX_MS)
        assert len(client.remotes) == 3


async def test_silent_link_is_replaced():
    """Guards against calls on a connection cut by a network partition."""
    calls: list[LinkMessage] = []

    @with_handshake
    async def script(peer: FramePeer) -> None:
        calls.append(await peer.receive())
        await peer.is_closed()

    async with client_for(script) as client:
        for number in range(1, 3):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(client.call, CALL, SHORT_MS)
                await wait_until(lambda number=number: len(calls) == number)
                client.clock.advance(peers.SILENT_LINK_MS)
        assert client.metrics.counters["peers.links_silent"] == 2
        assert len(client.remotes) == 2


@pytest.mark.parametrize("busy", [True, False])
async def test_number_of_links_is_limited(busy: bool):
    """Guards against more links than allowed and against closing links in use."""
    script = silent if busy else echo
    async with client_for(script, max_links=1) as client, client_for(echo) as other:
        if busy:
            client.tasks.start_soon(client.call)
            await anyio.sleep(0.02)
        else:
            await client.call()
        deadline_at_ms = client.clock.now_ms() + DEADLINE_MS
        result = await client.links.call(other.peer, CALL, deadline_at_ms)
        if busy:
            assert result == LinkFailure(False, "all 1 links are in use")
        else:
            assert isinstance(result, Answer)


async def test_idle_link_is_closed(monkeypatch: pytest.MonkeyPatch):
    """Guards against keeping a link to every node ever called."""
    monkeypatch.setattr(peers, "SWEEP_PERIOD_S", 0.01)
    closed = anyio.Event()

    async def script(peer: FramePeer) -> None:
        try:
            await echo(peer)
        except anyio.EndOfStream:
            closed.set()

    async with client_for(script) as client:
        await client.call()
        client.clock.advance(peers.IDLE_TIMEOUT_MS + 1.0)
        await closed.wait()
        assert isinstance(await client.call(), Answer)


async def test_source_host():
    """Guards against connecting from another address than the configured one."""
    async with client_for(echo, source_host="127.0.0.2") as client:
        await client.call()
        assert client.remotes == ["127.0.0.2"]
