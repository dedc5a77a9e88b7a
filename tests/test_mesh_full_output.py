"""A node whose standard output takes no more: it serves, counts and stops in time.

The node runs as a process whose output is a named pipe of 4 KiB.
"""

import asyncio
import fcntl
import json
import os
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from briardock.mesh.model import split_address
from mesh_fakes import eventually, is_listening
from soak_machines import FleetPlan, Machine
from test_mesh_hostile_clients import MEMORY_MB, LimitedFleet, is_served, peak_memory_mb

pytestmark = pytest.mark.anyio

PIPE_BYTES = 4_096
# Requests that are refused with a line of the log, more than the pipe takes.
REFUSED_COUNT = 200
GRACE_S = 3.0
# Time by which a busy machine may delay the exit, s.
EXIT_ALLOWANCE_S = 2.0
TEST_TIMEOUT_S = 20.0


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


@asynccontextmanager
async def machine_with_full_output(folder: Path) -> AsyncIterator[tuple[Machine, int]]:
    """Run a node whose output nobody reads; yield it and the pipe's descriptor."""
    fleet = LimitedFleet(folder, FleetPlan(services={"jobs": 1}))
    (machine,) = fleet.machines
    machine.grace_s = GRACE_S
    path = folder / f"{machine.name}-node1.out"
    os.mkfifo(path)
    pipe = os.open(path, os.O_RDWR | os.O_NONBLOCK)
    fcntl.fcntl(pipe, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    fleet.start()
    try:
        await eventually(lambda: is_listening(fleet.store_address), 30.0)
        await fleet.publish()
        await eventually(lambda: is_served(machine), 30.0)
        yield machine, pipe
    finally:
        fleet.stop()


async def send_refused_requests(machine: Machine) -> None:
    """Send requests whose refusals are logged."""
    for _ in range(REFUSED_COUNT):
        _, writer = await asyncio.open_connection(
            *split_address(machine.caller_address)
        )
        writer.write(b"x\r\n\r\n")
        writer.close()


async def exits_in_time(machine: Machine) -> bool:
    """Stop the node; return whether it ends by itself within the grace period."""
    node = machine.processes["node"]
    end_s = time.monotonic() + GRACE_S + EXIT_ALLOWANCE_S
    node.terminate()
    while node.poll() is None and time.monotonic() < end_s:
        await asyncio.sleep(0.05)
    return node.poll() == 0


async def read_count(pipe: int) -> int:
    """Read the pipe until a line tells of omitted lines; return their number."""
    text = b""
    async with asyncio.timeout(10.0):
        while True:
            try:
                text += os.read(pipe, 65_536)
            except BlockingIOError:
                await asyncio.sleep(0.05)
            for line in text.splitlines(keepends=True):
                if line.endswith(b"\n") and b'"lines-omitted"' in line:
                    return sum(json.loads(line)["count_by_event"].values())


@pytest.mark.parametrize("is_read_later", [True, False])
async def test_node_serves_while_nobody_reads_its_output(
    is_read_later: bool, tmp_path: Path
) -> None:
    """The node waited for the pipe and served nothing from then on; nor did it stop."""
    async with (
        asyncio.timeout(TEST_TIMEOUT_S),
        machine_with_full_output(tmp_path) as (machine, pipe),
    ):
        await send_refused_requests(machine)
        await asyncio.sleep(1.0)
        assert await is_served(machine)
        if is_read_later:
            assert await read_count(pipe) > 0
            await send_refused_requests(machine)
            await asyncio.sleep(1.0)
        assert await exits_in_time(machine)
        os.close(pipe)


async def test_node_serves_after_the_reader_of_its_output_has_left(
    tmp_path: Path,
) -> None:
    """Without a reader, writes to the pipe fail."""
    async with (
        asyncio.timeout(TEST_TIMEOUT_S),
        machine_with_full_output(tmp_path) as (machine, pipe),
    ):
        os.close(pipe)
        await send_refused_requests(machine)
        await asyncio.sleep(1.0)
        assert await is_served(machine)
        assert peak_memory_mb(machine.processes["node"].pid) < MEMORY_MB
        assert await exits_in_time(machine)
