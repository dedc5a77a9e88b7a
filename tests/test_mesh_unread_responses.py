"""Clients that ask for large responses and do not read them."""

import asyncio
import socket
from collections.abc import AsyncIterator

import pytest

from briardock.mesh.model import split_address
from test_mesh_hostile_targets import (
    FLOOD_PATH,
    OK,
    FloodingTarget,
    check,
    running_target,
)

pytestmark = pytest.mark.anyio

MB = 1024 * 1024
CONNECTIONS = 30
# Fixed on code on which 30 of them took a node that may use 75 MB to 154 MB.
RESPONSE_BYTES = 4 * MB
RECEIVE_BUFFER_BYTES = 4096
READERS = 4


class LargeTarget(FloodingTarget):
    """A target with large responses at one path."""

    def _respond(self, path: str, request_id: bytes) -> bytes:
        if not path.startswith(FLOOD_PATH):
            return super()._respond(path, request_id)
        length = str(RESPONSE_BYTES).encode()
        head = OK % request_id + b"content-length: " + length + b"\r\n\r\n"
        return head + b"x" * RESPONSE_BYTES


@pytest.fixture(scope="module")
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


@pytest.fixture(scope="module")
async def target(
    tmp_path_factory: pytest.TempPathFactory,
) -> AsyncIterator[FloodingTarget]:
    folder = tmp_path_factory.mktemp("unread")
    async with running_target(folder, kind=LargeTarget) as started:
        yield started


async def ask(
    target: FloodingTarget, number: int, receive_buffer_bytes: int = 0
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Ask for a large response, without reading it."""
    raw = socket.socket()
    raw.setblocking(False)
    if receive_buffer_bytes:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    address = split_address(target.machine.caller_address)
    await asyncio.get_running_loop().sock_connect(raw, address)
    reader, writer = await asyncio.open_connection(sock=raw, limit=1024)
    head = f"GET {FLOOD_PATH}{number} HTTP/1.1\r\nhost: a.example\r\n"
    writer.write(f"{head}request-id: unread-{number}\r\n\r\n".encode())
    return reader, writer


async def read_body(reader: asyncio.StreamReader) -> int:
    """Return the number of bytes of a response body."""
    await reader.readuntil(b"\r\n\r\n")
    size_bytes = 0
    while size_bytes < RESPONSE_BYTES:
        data = await reader.read(MB)
        if not data:
            break
        size_bytes += len(data)
    return size_bytes


@pytest.mark.parametrize("gap_s", [0.0, 0.05], ids=["at once", "in a row"])
async def test_node_stays_within_its_memory_and_serves(
    gap_s: float, target: FloodingTarget
) -> None:
    """Responses waited in the node without a bound: 30 of 4 MB took 154 MB."""
    writers = []
    for number in range(CONNECTIONS):
        _, writer = await ask(target, number, RECEIVE_BUFFER_BYTES)
        writers.append(writer)
        await asyncio.sleep(gap_s)
    await asyncio.sleep(3.0)
    await check(target, writers)


async def test_clients_that_read_get_their_responses(target: FloodingTarget) -> None:
    """Clients that read are not closed for those that do not."""
    writers = []
    for number in range(CONNECTIONS):
        _, writer = await ask(target, number, RECEIVE_BUFFER_BYTES)
        writers.append(writer)
    await asyncio.sleep(1.0)
    for number in range(READERS):
        reader, writer = await ask(target, CONNECTIONS + number)
        assert await read_body(reader) == RESPONSE_BYTES
        writers.append(writer)
    await check(target, writers)
