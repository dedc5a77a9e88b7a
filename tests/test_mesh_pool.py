"""Attempts to connect, and reuse of connections to targets that drop idle ones."""

import asyncio
import itertools
import socket
import threading
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from briardock.mesh.calls import Completed, Result, Unknown
from briardock.mesh.http1 import ExchangeFailure
from briardock.mesh.http_client import ClientConnection
from briardock.mesh.model import split_address
from briardock.mesh.pool import ConnectionPool, PoolSettings
from briardock.mesh.target import MAX_IDLE_NON_IDEMPOTENT_S, Target
from briardock.parted_timer import PARTS
from mesh_builders import make_call, make_target
from mesh_fakes import announcement, free_address

# Idle time after which the fake target resets a connection on its next request, s.
SERVER_IDLE_TIMEOUT_S = 0.1

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


async def _reset_when_idle(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Respond to requests; reset the connection on the first one after an idle time."""
    loop = asyncio.get_running_loop()
    used_s = loop.time()
    while data := await reader.read(4096):
        if loop.time() - used_s > SERVER_IDLE_TIMEOUT_S:
            writer.transport.abort()
            return
        assert data.startswith(b"GET")
        request_id = data.partition(b"request-id: ")[2].partition(b"\r\n")[0]
        writer.write(
            b"HTTP/1.1 200 OK\r\nresponse-signature: s\r\n"
            b"request-id: %s\r\ncontent-length: 0\r\n\r\n" % request_id
        )
        used_s = loop.time()


@asynccontextmanager
async def target_with_idle_resets() -> AsyncIterator[Target]:
    address = free_address()
    server = await asyncio.start_server(_reset_when_idle, *split_address(address))
    target = make_target(address)
    target.announce(announcement(address=address))
    async with server:
        yield target


REQUEST_NUMBERS = itertools.count()


async def run_after(target: Target, pause_s: float, idempotent: bool = True) -> Result:
    """Run a call with an id of its own; one that comes again is not sent on a reused
    connection.
    """
    await asyncio.sleep(pause_s)
    request_id = b"r%d" % next(REQUEST_NUMBERS)
    headers = [(b"host", b"h"), (b"request-id", request_id)]
    call = make_call(request_id=request_id, headers=headers, idempotent=idempotent)
    return await target.run(call)


async def test_idle_connections_are_not_reused_after_one_was_dropped() -> None:
    """Each request on a dropped connection is lost and uses up a retry."""
    async with target_with_idle_resets() as target:
        assert isinstance(await run_after(target, 0.0), Completed)
        assert isinstance(await run_after(target, 0.15), Unknown)
        for _ in range(3):
            assert isinstance(await run_after(target, 0.0), Completed)
            assert isinstance(await run_after(target, 0.15), Completed)


async def test_non_idempotent_request_does_not_reuse_an_idle_connection() -> None:
    """Its outcome would be unknown, although the target never read it."""
    async with target_with_idle_resets() as target:
        pause_s = MAX_IDLE_NON_IDEMPOTENT_S + 0.05
        assert isinstance(await run_after(target, 0.0), Completed)
        assert isinstance(await run_after(target, pause_s, False), Completed)
        assert len(target._pool._idle[target.address]) == 2


CONNECT_TIMEOUT_S = 0.2
STALL_S = 3 * CONNECT_TIMEOUT_S
# The clock of uvloop counts milliseconds, so each part may end that much early.
LOOP_CLOCK_RESOLUTION_S = 0.001


async def connect_after(
    established_after_s: float | None,
    stall_after_s: float | None,
    monkeypatch: pytest.MonkeyPatch,
) -> ClientConnection | ExchangeFailure:
    """Return the result of a connection attempt.

    A thread tells when the peer accepts, since the loop may stall meanwhile.

    :param established_after_s: time after which the peer accepts, ``None`` for never
    :param stall_after_s: time after which the loop stalls, ``None`` for never
    """
    loop = asyncio.get_running_loop()
    create_connection = loop.create_connection
    receiving, sending = socket.socketpair()
    receiving.setblocking(False)

    async def create_late(*args: Any) -> Any:
        await loop.sock_recv(receiving, 1)
        return await create_connection(*args)

    monkeypatch.setattr(loop, "create_connection", create_late)
    address = free_address()
    server = await asyncio.start_server(_reset_when_idle, *split_address(address))
    pool = ConnectionPool(PoolSettings(CONNECT_TIMEOUT_S, 5.0, 1.0))
    timer = threading.Timer(established_after_s or 0.0, sending.send, (b"x",))
    with receiving, sending:
        async with server:
            if established_after_s is not None:
                timer.start()
            if stall_after_s is not None:
                loop.call_later(stall_after_s, time.sleep, STALL_S)
            result = await pool.connect(address)
            if isinstance(result, ClientConnection):
                result.close()
        timer.cancel()
        if established_after_s is not None:
            await asyncio.to_thread(timer.join)
    return result


@pytest.mark.parametrize("start_share", [0.0, 0.25, 0.5, 0.75, 0.97])
async def test_a_stall_of_the_loop_does_not_fail_an_attempt_to_connect(
    start_share: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The timer expired before the node saw the connection that was established while
    its loop was stalled, and a healthy target or node was avoided as unreachable.
    """
    start_s = start_share * CONNECT_TIMEOUT_S
    result = await connect_after(start_s + STALL_S / 2, start_s, monkeypatch)
    assert isinstance(result, ClientConnection)


@pytest.mark.parametrize("stall_s", [0.0, 0.03])
async def test_an_attempt_to_connect_without_an_end_times_out(
    stall_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Also while the loop is late all the time: callers wait for the next attempt."""

    async def stall_again_and_again() -> None:
        while True:
            time.sleep(stall_s)
            await asyncio.sleep(0.001)

    stalling = asyncio.create_task(stall_again_and_again())
    started_s = time.monotonic()
    result = await connect_after(None, None, monkeypatch)
    stalling.cancel()
    assert isinstance(result, ExchangeFailure)
    assert (result.reason, result.sent) == ("connect timeout", False)
    elapsed_s = time.monotonic() - started_s
    assert elapsed_s > CONNECT_TIMEOUT_S - PARTS * LOOP_CLOCK_RESOLUTION_S
    assert elapsed_s < 10 * CONNECT_TIMEOUT_S
