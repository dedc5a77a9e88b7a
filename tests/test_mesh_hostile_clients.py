"""Clients outside the limits: a node stays alive, small and reachable.

Each test starts a node, its target and a store as processes. The crowd and the bounds
were fixed on code on which a node of this size exceeded its memory limit.
"""

import asyncio
import re
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import pytest

from briardock.mesh.model import split_address
from mesh_fakes import eventually, is_listening, send
from soak_machines import FleetPlan, Machine, SoakFleet

pytestmark = pytest.mark.anyio

CONNECTIONS = 30
MEMORY_MB = 75
# Bytes that each client tries to send. A client that the node stops reading gives up.
SENT_BYTES = 4 * 1024 * 1024
BLOCK_BYTES = 16 * 1024
BLOCKED_S = 1.0
# Limit on descriptors in the settings, and what the platform reserves of it for files.
MAX_FDS = 300
RESERVED_FDS = 200

HEAD = b"GET /jobs/1 HTTP/1.1\r\nhost: a.example\r\n"
CHUNKED = (
    b"POST /jobs/1 HTTP/1.1\r\nhost: a.example\r\ntransfer-encoding: chunked\r\n\r\n"
)


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


@dataclass(frozen=True)
class Flood:
    """What a client sends: a beginning, and a part that is repeated.

    :param start: sent once
    :param part: repeated until enough was sent or the node closes the connection
    """

    start: bytes
    part: bytes


LEGAL_HEAD = HEAD + b"a:\r\n" * 3_500 + b"\r\n"
FLOODS = {
    "legal-heads-of-short-lines": Flood(b"", LEGAL_HEAD),
    "legal heads of odd lines": Flood(b"", HEAD + b"\x7e: \t \r\n" * 2_000 + b"\r\n"),
    "short lines without end": Flood(HEAD, b"a:\r\n"),
    "header value without end": Flood(HEAD + b"a: ", b"b"),
    "header name without end": Flood(HEAD, b"b"),
    "blank value without end": Flood(HEAD + b"a: ", b" "),
    "request line without end": Flood(b"GET /", b"b"),
    "blank lines": Flood(b"", b"\r\n"),
    "line feeds": Flood(b"", b"\n"),
    "lines without a colon": Flood(HEAD, b"a\r\n"),
    "trailers without end": Flood(CHUNKED + b"1\r\nx\r\n0\r\n", b"a:\r\n"),
    "trailer value without end": Flood(CHUNKED + b"1\r\nx\r\n0\r\na: ", b"b"),
    "chunk extension without end": Flood(CHUNKED + b"1;", b"a"),
    "chunks of two bytes": Flood(CHUNKED, b"2\r\nxx\r\n"),
    "chunk size of 64 bits": Flood(CHUNKED + b"ffffffffffffffff\r\n", b"x"),
    "repeated lengths": Flood(HEAD, b"content-length: 3\r\n"),
    "small pipelined requests": Flood(b"", HEAD + b"request-id: r\r\n\r\n"),
}
# Floods at the addresses that clients are not meant to use.
OTHER_FLOODS = (
    "legal-heads-of-short-lines",
    "short lines without end",
    "trailers without end",
)
ADDRESSES: dict[str, Callable[[Machine], str]] = {
    "peers": lambda machine: f"{machine.ip}:8000",
    "announcements": lambda machine: f"{machine.ip}:8002",
    "readiness": lambda machine: machine.ready_address,
    "metrics": lambda machine: f"{machine.ip}:9464",
}
CASES = [(name, "callers") for name in FLOODS] + [
    (name, address) for address in ADDRESSES for name in OTHER_FLOODS
]


class LimitedFleet(SoakFleet):
    """A fleet of one machine with given limits."""

    memory_mb = MEMORY_MB
    max_fds = MAX_FDS

    def write_settings(self, machine: Machine) -> Path:
        """Write settings with lowered limits."""
        path = super().write_settings(machine)
        limits = f"memory-mb = {self.memory_mb}\nmax-fds = {self.max_fds}"
        path.write_text(re.sub("memory-mb = .*", limits, path.read_text()))
        return path


@asynccontextmanager
async def running_machine(
    folder: Path,
    memory_mb: int = MEMORY_MB,
    max_fds: int = MAX_FDS,
    network: int = 0,
) -> AsyncIterator[Machine]:
    """Run a store, a node and its target until the node serves requests.

    Machines that run at the same time need distinct networks.
    """
    plan = FleetPlan(services={"jobs": 1}, first_network=network)
    fleet = LimitedFleet(folder, plan)
    fleet.memory_mb, fleet.max_fds = memory_mb, max_fds
    fleet.start()
    try:
        (machine,) = fleet.machines

        async def serves() -> bool:
            return await is_listening(machine.ready_address) and await is_served(
                machine
            )

        await eventually(lambda: is_listening(fleet.store_address), 30.0)
        await fleet.publish()
        await eventually(serves, 30.0)
        yield machine
    finally:
        fleet.stop()


async def is_served(machine: Machine) -> bool:
    """Return whether an ordinary request is answered by the target."""
    headers = [(b"host", b"a.example"), (b"request-id", b"ordinary")]
    headers.append((b"deadline-ms", b"10000"))
    try:
        response = await send(machine.caller_address, "/jobs/1", headers=headers)
    except OSError:
        return False
    return response.status == 200


async def flood(
    address: str, what: Flood, max_bytes: int = SENT_BYTES
) -> asyncio.StreamWriter:
    """Send without reading; return the connection, which stays open."""
    _, writer = await asyncio.open_connection(*split_address(address))
    block = what.part * max(1, BLOCK_BYTES // len(what.part))
    sent_bytes = 0
    try:
        writer.write(what.start)
        while sent_bytes < max_bytes:
            writer.write(block)
            sent_bytes += len(block)
            async with asyncio.timeout(BLOCKED_S):
                await writer.drain()
    except (TimeoutError, OSError):
        pass
    return writer


def peak_memory_mb(process_id: int) -> float:
    """Return the largest resident size of a process so far, in MB."""
    status = Path(f"/proc/{process_id}/status").read_text()
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert found is not None
    return int(found[1]) / 1024


def count_descriptors(process_id: int) -> int:
    return len(list(Path(f"/proc/{process_id}/fd").iterdir()))


@pytest.mark.parametrize(("name", "address_name"), CASES)
async def test_node_stays_within_its_memory_and_serves(
    name: str, address_name: str, tmp_path: Path
) -> None:
    """A node ran out of memory: what it parsed and kept for such clients had no bound
    (1,073 MB, 351 MB and 4,605 MB for 30 clients that sent heads and trailers).
    """
    async with running_machine(tmp_path) as machine:
        node = machine.processes["node"]
        address = ADDRESSES.get(address_name, lambda m: m.caller_address)(machine)
        floods = (flood(address, FLOODS[name]) for _ in range(CONNECTIONS))
        writers = await asyncio.gather(*floods)
        descriptor_count = count_descriptors(node.pid)
        served_beside = await is_served(machine)
        for writer in writers:
            writer.transport.abort()
        served_after = await is_served(machine)
        assert node.poll() is None
        assert peak_memory_mb(node.pid) < MEMORY_MB
        assert descriptor_count < MAX_FDS - RESERVED_FDS
        assert (served_beside, served_after) == (True, True)


async def test_single_request_of_many_short_lines_is_served(tmp_path: Path) -> None:
    """A bound on what clients may cost refused a request inside the limits."""
    async with running_machine(tmp_path) as machine:
        reader, writer = await asyncio.open_connection(
            *split_address(machine.caller_address)
        )
        writer.write(LEGAL_HEAD)
        assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
        writer.close()


IDLE_CONNECTIONS = 200


@pytest.mark.parametrize("sent", [b"", HEAD], ids=["nothing", "half a head"])
@pytest.mark.parametrize("address_name", ["callers", *ADDRESSES])
async def test_open_connections_stay_within_the_descriptors(
    sent: bytes, address_name: str, tmp_path: Path
) -> None:
    """Connections of clients had no bound, and took the descriptors that the node needs
    for its target, the store and other nodes.
    """
    async with running_machine(tmp_path) as machine:
        node = machine.processes["node"]
        address = ADDRESSES.get(address_name, lambda m: m.caller_address)(machine)
        writers = []
        for _ in range(IDLE_CONNECTIONS):
            _, writer = await asyncio.open_connection(*split_address(address))
            writer.write(sent)
            writers.append(writer)
        served_beside = await is_served(machine)
        descriptor_count = count_descriptors(node.pid)
        assert node.poll() is None
        assert descriptor_count < MAX_FDS - RESERVED_FDS
        assert served_beside
        for writer in writers:
            writer.transport.abort()
