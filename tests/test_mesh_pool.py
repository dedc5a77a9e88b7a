"""Reuse of connections to targets that silently drop idle ones."""

import asyncio
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from briardock.mesh.calls import Completed, Result, Unknown
from briardock.mesh.model import split_address
from briardock.mesh.target import MAX_IDLE_NON_IDEMPOTENT_S, Target
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
