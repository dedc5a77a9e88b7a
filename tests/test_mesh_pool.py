"""Reuse of connections to targets that drop idle ones without notice."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from briardock.mesh.calls import Completed, Result, Unknown
from briardock.mesh.model import split_address
from briardock.mesh.target import MAX_IDLE_NON_IDEMPOTENT_S, Target
from mesh_builders import make_call, make_target
from mesh_fakes import announcement, free_address

# Idle time after which the fake target no longer knows a connection, s.
FORGETS_S = 0.1

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


async def _forget_when_idle(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer requests; reset the connection at the first one after an idle time."""
    loop = asyncio.get_running_loop()
    used_s = loop.time()
    while data := await reader.read(4096):
        if loop.time() - used_s > FORGETS_S:
            writer.transport.abort()
            return
        assert data.startswith(b"GET")
        writer.write(
            b"HTTP/1.1 200 OK\r\nresponse-signature: s\r\ncontent-length: 0\r\n\r\n"
        )
        used_s = loop.time()


@asynccontextmanager
async def forgetful_target() -> AsyncIterator[Target]:
    address = free_address()
    server = await asyncio.start_server(_forget_when_idle, *split_address(address))
    beside = make_target(address)
    beside.announce(announcement(address=address))
    async with server:
        yield beside


async def run_after(beside: Target, pause_s: float, idempotent: bool = True) -> Result:
    await asyncio.sleep(pause_s)
    return await beside.run(make_call(idempotent=idempotent))


async def test_idle_connections_are_not_reused_where_one_was_dropped() -> None:
    """Each request on a dropped connection is lost and spends a repeat."""
    async with forgetful_target() as beside:
        assert isinstance(await run_after(beside, 0.0), Completed)
        assert isinstance(await run_after(beside, 0.15), Unknown)
        for _ in range(3):
            assert isinstance(await run_after(beside, 0.0), Completed)
            assert isinstance(await run_after(beside, 0.15), Completed)


async def test_request_that_must_not_repeat_takes_no_idle_connection() -> None:
    """Its outcome would be unknown, although the target never saw it."""
    async with forgetful_target() as beside:
        pause_s = MAX_IDLE_NON_IDEMPOTENT_S + 0.05
        assert isinstance(await run_after(beside, 0.0), Completed)
        assert isinstance(await run_after(beside, pause_s, False), Completed)
        assert len(beside._pool._idle[beside.address]) == 2
