"""Memory of a node that forwards large bodies, as a real process."""

import asyncio
import re
from pathlib import Path

import pytest

from briardock.mesh.model import split_address
from test_mesh_hostile_clients import (
    is_served,
    peak_memory_mb,
    running_machine,
)

pytestmark = pytest.mark.anyio

MB = 1024 * 1024
# Half of the memory limit of the node, 300 MB.
MAX_PEAK_MB = 150
MEMORY_MB = 300


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


async def upload(address: str, size_bytes: int) -> tuple[int, asyncio.StreamWriter]:
    """Upload a body; return the status and the connection, which stays open."""
    reader, writer = await asyncio.open_connection(*split_address(address))
    head = "POST /jobs/1 HTTP/1.1\r\nhost: a.example\r\nrequest-id: r\r\n"
    writer.write(f"{head}content-length: {size_bytes}\r\n\r\n".encode())
    part = b"x" * MB
    try:
        for _ in range(size_bytes // MB):
            writer.write(part)
            await writer.drain()
    except ConnectionError:
        # Refused while it was sent.
        return 0, writer
    status_line = await reader.readline()
    found = re.match(rb"HTTP/1.1 (\d+)", status_line)
    return int(found[1]) if found else 0, writer


@pytest.mark.parametrize(
    ("count", "size_mb", "at_once", "served_count"),
    [
        (12, 16, 1, 12),
        (40, 4, 1, 40),
        (1, 64, 1, 1),
        (8, 4, 8, 8),
        (8, 16, 8, 0),
        (4, 64, 4, 0),
    ],
)
async def test_uploads_stay_within_half_of_the_memory(
    count: int, size_mb: int, at_once: int, served_count: int, tmp_path: Path
) -> None:
    """Closed connections and idle ones kept two copies of their last body, and uploads
    one after the other took a node beyond its memory limit. All connections stay open.
    """
    async with running_machine(tmp_path, MEMORY_MB) as machine:
        node = machine.processes["node"]
        statuses, writers = [], []
        for _ in range(count // at_once):
            group = (
                upload(machine.caller_address, size_mb * MB) for _ in range(at_once)
            )
            for status, writer in await asyncio.gather(*group):
                statuses.append(status)
                writers.append(writer)
        assert node.poll() is None
        assert peak_memory_mb(node.pid) < MAX_PEAK_MB
        assert statuses.count(200) >= served_count
        assert set(statuses) <= {200, 503, 0}
        assert await is_served(machine)
        for writer in writers:
            writer.transport.abort()
