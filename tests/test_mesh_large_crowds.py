"""300 connections of clients outside the limits, and crowds at all other addresses.

The rows of each test share one node, its target and a store as processes. The crowds
and the bounds were fixed before the code was changed.
"""

import asyncio
from collections.abc import AsyncIterator

import pytest

from mesh_fakes import is_listening
from soak_machines import Machine
from test_mesh_hostile_clients import (
    ADDRESSES,
    CONNECTIONS,
    FLOODS,
    MAX_FDS,
    MEMORY_MB,
    RESERVED_FDS,
    count_descriptors,
    flood,
    is_served,
    peak_memory_mb,
    running_machine,
)
from test_mesh_slow_clients import SLOW_CLIENTS, connect_slowly, send_slow_bytes

pytestmark = pytest.mark.anyio

LARGE_CONNECTIONS = 300
LARGE_MEMORY_MB = 150
# So many that the listener for callers, which has 35 % of those that are not reserved,
# holds the whole crowd.
LARGE_MAX_FDS = 1_100
# Bytes that each client of the large crowd tries to send.
LARGE_SENT_BYTES = 512 * 1024
SERVED_TIMEOUT_S = 10.0


@pytest.fixture(scope="module")
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


@pytest.fixture(scope="module")
async def small(tmp_path_factory: pytest.TempPathFactory) -> AsyncIterator[Machine]:
    async with running_machine(tmp_path_factory.mktemp("small")) as machine:
        yield machine


@pytest.fixture(scope="module")
async def large(tmp_path_factory: pytest.TempPathFactory) -> AsyncIterator[Machine]:
    folder = tmp_path_factory.mktemp("large")
    async with running_machine(
        folder, LARGE_MEMORY_MB, LARGE_MAX_FDS, network=1
    ) as machine:
        yield machine


async def check(
    machine: Machine,
    writers: list[asyncio.StreamWriter],
    memory_mb: int,
    max_fds: int,
) -> None:
    """Check the bounds, and that ordinary requests are answered at all addresses."""
    node = machine.processes["node"]
    descriptor_count = count_descriptors(node.pid)
    for writer in writers:
        writer.transport.abort()
    async with asyncio.timeout(SERVED_TIMEOUT_S):
        served = await is_served(machine)
        answered = [
            name
            for name, address in ADDRESSES.items()
            if await is_listening(address(machine))
        ]
    assert node.poll() is None
    assert peak_memory_mb(node.pid) < memory_mb
    assert descriptor_count < max_fds - RESERVED_FDS
    assert served
    assert answered == list(ADDRESSES)


@pytest.mark.parametrize("name", FLOODS)
async def test_node_withstands_300_connections(name: str, large: Machine) -> None:
    """What a few clients cost was bounded for each connection."""
    address = large.caller_address
    floods = (
        flood(address, FLOODS[name], LARGE_SENT_BYTES) for _ in range(LARGE_CONNECTIONS)
    )
    writers = list(await asyncio.gather(*floods))
    await check(large, writers, LARGE_MEMORY_MB, LARGE_MAX_FDS)


@pytest.mark.parametrize("name", FLOODS)
async def test_node_withstands_floods_at_its_other_addresses(
    name: str, small: Machine
) -> None:
    """Addresses that clients are not meant to use are reached by them, too."""
    floods = (
        flood(address(small), FLOODS[name])
        for address in ADDRESSES.values()
        for _ in range(CONNECTIONS)
    )
    writers = list(await asyncio.gather(*floods))
    await check(small, writers, MEMORY_MB, MAX_FDS)


@pytest.mark.parametrize("name", SLOW_CLIENTS)
async def test_node_withstands_slow_clients_at_its_other_addresses(
    name: str, small: Machine
) -> None:
    """Connections in the middle of a request were not closed for others."""
    crowd = (
        connect_slowly(address(small), SLOW_CLIENTS[name])
        for address in ADDRESSES.values()
        for _ in range(CONNECTIONS)
    )
    writers = list(await asyncio.gather(*crowd))
    await send_slow_bytes(writers, SLOW_CLIENTS[name])
    # The crowd is still connected.
    async with asyncio.timeout(SERVED_TIMEOUT_S):
        answered = [
            address_name
            for address_name, address in ADDRESSES.items()
            if await is_listening(address(small))
        ]
    await check(small, writers, MEMORY_MB, MAX_FDS)
    assert answered == list(ADDRESSES)
