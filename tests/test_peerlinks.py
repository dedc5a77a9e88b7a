"""Life of links: backoff, replacement, bounds and idle closing."""

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
    answer_to,
    client_of,
    echo,
    greeted,
    silent,
    until,
)

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


async def test_refused_connection_backs_off():
    """Guards against a connection attempt per call to a dead peer."""
    async with client_of(echo) as it:
        it.peer = PeerAddress("b", 2, HOST, 1)
        for _ in range(3):
            failure = await it.call()
            assert failure.sent is False
            assert "connection failed" in failure.detail
        assert it.metrics.counters["peers.links_started"] == 1
        it.clock.advance(peers.BACKOFF_FIRST_MS)
        await it.call()
        assert it.metrics.counters["peers.links_started"] == 2
        it.clock.advance(peers.BACKOFF_FIRST_MS)
        await it.call()
        assert it.metrics.counters["peers.links_started"] == 2


async def test_lost_link_is_replaced():
    """Guards against a peer that stays unreachable after its link was lost."""

    @greeted
    async def script(peer: FramePeer) -> None:
        call = await peer.receive()
        await peer.send(answer_to(call.call_id))

    async with client_of(script) as it:
        counters = it.metrics.counters
        for number in range(1, 4):
            assert isinstance(await it.call(), Answer)
            await until(
                lambda number=number: counters.get("peers.links_failed") == number
            )
            it.clock.advance(peers.BACKOFF_MAX_MS)
        assert len(it.remotes) == 3


async def test_silent_link_is_replaced():
    """Guards against calls into a connection that a partition has cut."""
    calls: list[LinkMessage] = []

    @greeted
    async def script(peer: FramePeer) -> None:
        calls.append(await peer.receive())
        await peer.is_closed()

    async with client_of(script) as it:
        for number in range(1, 3):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(it.call, CALL, SHORT_MS)
                await until(lambda number=number: len(calls) == number)
                it.clock.advance(peers.SILENCE_MS)
        assert it.metrics.counters["peers.links_silent"] == 2
        assert len(it.remotes) == 2


@pytest.mark.parametrize("busy", [True, False])
async def test_number_of_links_is_bounded(busy: bool):
    """Guards against more links than allowed, and against cutting used ones."""
    script = silent if busy else echo
    async with client_of(script, max_links=1) as it, client_of(echo) as other:
        if busy:
            it.tasks.start_soon(it.call)
            await anyio.sleep(0.02)
        else:
            await it.call()
        deadline_at_ms = it.clock.now_ms() + DEADLINE_MS
        result = await it.links.call(other.peer, CALL, deadline_at_ms)
        if busy:
            assert result == LinkFailure(False, "all 1 links are in use")
        else:
            assert isinstance(result, Answer)


async def test_idle_link_is_closed(monkeypatch: pytest.MonkeyPatch):
    """Guards against links to all nodes ever called."""
    monkeypatch.setattr(peers, "SWEEP_PERIOD_S", 0.01)
    closed = anyio.Event()

    async def script(peer: FramePeer) -> None:
        try:
            await echo(peer)
        except anyio.EndOfStream:
            closed.set()

    async with client_of(script) as it:
        await it.call()
        it.clock.advance(peers.IDLE_CLOSE_MS + 1.0)
        await closed.wait()
        assert isinstance(await it.call(), Answer)


async def test_source_host():
    """Guards against links that leave from another address than configured."""
    async with client_of(echo, source_host="127.0.0.2") as it:
        await it.call()
        assert it.remotes == ["127.0.0.2"]
