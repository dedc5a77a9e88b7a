"""A target that floods the node beside it: the node stays alive, small and reachable.

The rows share one node, a store and a relay as processes; the target runs in the test
and announces itself. The floods and the bounds were fixed before the code was changed.
"""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from briardock.mesh.model import split_address
from mesh_fakes import HEALTH_PATH, eventually, is_listening, send
from soak_machines import FleetPlan, Machine
from test_mesh_hostile_clients import (
    MAX_FDS,
    MEMORY_MB,
    RESERVED_FDS,
    LimitedFleet,
    count_descriptors,
    is_served,
    peak_memory_mb,
)

pytestmark = pytest.mark.anyio

TARGET_ID = "i-flooding"
FLOOD_PATH = "/jobs/flood/"
CONNECTIONS = 30
# Bytes that the target tries to send on each connection, and the longest time for it.
SENT_BYTES = 20 * 1024 * 1024
FLOOD_S = 1.5
BLOCK_BYTES = 64 * 1024
HEARTBEAT_PERIOD_S = 0.5
# Floods one after the other, and one and a half times the largest response body.
FLOOD_COUNT = 12
MAX_GROWTH_MB = 24

OK = b"HTTP/1.1 200 OK\r\nrequest-id: %s\r\nresponse-signature: s\r\n"
CHUNKED = OK + b"transfer-encoding: chunked\r\n\r\n"


@dataclass(frozen=True)
class Flood:
    """What the target sends instead of a response.

    :param start: sent once, with the request id
    :param part: repeated until enough was sent or the node closes the connection
    """

    start: bytes
    part: bytes


FLOODS = {
    "short header lines": Flood(OK, b"a:\r\n"),
    "header value": Flood(OK + b"a: ", b"b"),
    "header name": Flood(OK, b"b"),
    "status line": Flood(b"HTTP/1.1 200 ", b"b"),
    "blank lines": Flood(b"", b"\r\n"),
    "interim responses": Flood(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "interim responses with headers": Flood(
        b"", b"HTTP/1.1 102 Processing\r\n" + b"a:\r\n" * 20 + b"\r\n"
    ),
    "trailers": Flood(CHUNKED + b"1\r\nx\r\n0\r\n", b"a:\r\n"),
    "trailer value": Flood(CHUNKED + b"1\r\nx\r\n0\r\na: ", b"b"),
    "chunk extension": Flood(CHUNKED + b"1;", b"a"),
    "chunks of one byte": Flood(CHUNKED, b"1\r\nx\r\n"),
    "chunked body": Flood(CHUNKED, b"400\r\n" + b"x" * 1024 + b"\r\n"),
    "body beyond its length": Flood(OK + b"content-length: 10\r\n\r\n", b"x"),
    "body of a large length": Flood(OK + b"content-length: 4294967296\r\n\r\n", b"x"),
    "body until the end": Flood(OK + b"\r\n", b"x"),
    "body of no content": Flood(
        b"HTTP/1.1 204 No Content\r\nrequest-id: %s\r\nresponse-signature: s\r\n\r\n",
        b"x",
    ),
    "responses of others": Flood(
        b"", b"HTTP/1.1 200 OK\r\nrequest-id: z\r\ncontent-length: 0\r\n\r\n"
    ),
    "switched protocols": Flood(
        b"HTTP/1.1 101 Switching Protocols\r\nupgrade: h2c\r\n"
        b"connection: upgrade\r\n\r\n",
        b"\x00",
    ),
}


@dataclass
class FloodingTarget:
    """A target that responds normally, except at one path.

    :param machine: machine of the node
    """

    machine: Machine
    flood: Flood | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    sequence: int = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Respond to the requests on one connection."""
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ", 2)[1].decode()
                request_id = head.partition(b"request-id: ")[2].partition(b"\r\n")[0]
                if path.startswith(FLOOD_PATH) and self.flood is not None:
                    await self._send_flood(writer, request_id)
                    return
                writer.write(self._respond(path, request_id))
        except (OSError, EOFError, asyncio.IncompleteReadError, TimeoutError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    def _respond(self, path: str, request_id: bytes) -> bytes:
        if path == HEALTH_PATH:
            return (
                f"HTTP/1.1 200 OK\r\ninstance-id: {TARGET_ID}\r\n"
                "content-length: 0\r\n\r\n"
            ).encode()
        return OK % request_id + b"content-length: 2\r\n\r\nok"

    async def _send_flood(
        self, writer: asyncio.StreamWriter, request_id: bytes
    ) -> None:
        assert self.flood is not None
        start, part = self.flood.start, self.flood.part
        block = part * max(1, BLOCK_BYTES // len(part))
        async with asyncio.timeout(FLOOD_S):
            writer.write(start.replace(b"%s", request_id))
            for _ in range(SENT_BYTES // len(block)):
                writer.write(block)
                await writer.drain()
            await asyncio.sleep(FLOOD_S)

    async def announce(self) -> None:
        """Send heartbeats."""
        while True:
            self.sequence += 1
            body = {
                "service": self.machine.service,
                "address": self.machine.link_address,
                "zone": "z",
                "version": "v1",
                "slots": CONNECTIONS,
                "state": "ready",
                "cold-remaining": "0ms",
                "sequence": self.sequence,
                "born": 1_000,
            }
            with suppress(OSError):
                await send(
                    f"{self.machine.ip}:8002",
                    f"/instances/{TARGET_ID}/heartbeat",
                    json.dumps(body).encode(),
                )
            await asyncio.sleep(HEARTBEAT_PERIOD_S)


class TargetlessFleet(LimitedFleet):
    """A fleet whose targets run in the test."""

    def start_target(self, machine: Machine) -> None:
        """Leave the target to the test."""


@asynccontextmanager
async def running_target(
    folder: Path, network: int = 0, kind: type[FloodingTarget] = FloodingTarget
) -> AsyncIterator[FloodingTarget]:
    """Run a store, a node, and its target in this process.

    Nodes that run at the same time need distinct networks.
    """
    plan = FleetPlan(services={"jobs": 1}, first_network=network)
    fleet = TargetlessFleet(folder, plan)
    fleet.start()
    (machine,) = fleet.machines
    target = kind(machine)
    server = await asyncio.start_server(
        target.serve, *split_address(machine.target_address)
    )
    announcing = asyncio.get_running_loop().create_task(target.announce())
    try:
        await eventually(lambda: is_listening(fleet.store_address), 30.0)
        await fleet.publish()
        await eventually(lambda: is_served(machine), 30.0)
        yield target
    finally:
        announcing.cancel()
        server.close()
        fleet.stop()


@pytest.fixture(scope="module")
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


@pytest.fixture(scope="module")
async def target(
    tmp_path_factory: pytest.TempPathFactory,
) -> AsyncIterator[FloodingTarget]:
    async with running_target(tmp_path_factory.mktemp("flood")) as started:
        yield started


async def request_flood(machine: Machine, number: int) -> asyncio.StreamWriter:
    """Send a request that the target floods; wait a while for its first bytes."""
    reader, writer = await asyncio.open_connection(
        *split_address(machine.caller_address)
    )
    head = f"GET {FLOOD_PATH}{number} HTTP/1.1\r\nhost: a.example\r\n"
    writer.write(f"{head}request-id: flood-{number}\r\n\r\n".encode())
    with suppress(TimeoutError, OSError):
        async with asyncio.timeout(2 * FLOOD_S):
            await reader.read(1)
    return writer


async def check(target: FloodingTarget, writers: list[asyncio.StreamWriter]) -> None:
    """Check the bounds on the node, and that it serves an ordinary request."""
    node = target.machine.processes["node"]
    descriptor_count = count_descriptors(node.pid)
    for writer in writers:
        writer.transport.abort()
    served = await is_served(target.machine)
    assert node.poll() is None
    assert peak_memory_mb(node.pid) < MEMORY_MB
    assert descriptor_count < MAX_FDS - RESERVED_FDS
    assert served


@pytest.mark.parametrize("name", FLOODS)
async def test_node_stays_within_its_memory_and_serves(
    name: str, target: FloodingTarget
) -> None:
    """Responses without end on 30 connections at once."""
    target.flood = FLOODS[name]
    floods = (request_flood(target.machine, n) for n in range(CONNECTIONS))
    await check(target, await asyncio.gather(*floods))


UNSOLICITED_COUNT = 10
UNSOLICITED = {
    "bytes": b"x" * BLOCK_BYTES,
    "responses": OK % b"ordinary" + b"content-length: 0\r\n\r\n",
    "interim responses": b"HTTP/1.1 103 Early Hints\r\n\r\n",
    "half a response": OK % b"ordinary" + b"content-length: 10\r\n\r\nx",
}


@pytest.mark.parametrize("name", UNSOLICITED)
async def test_unsolicited_bytes_on_idle_connections(
    name: str, target: FloodingTarget
) -> None:
    """Bytes that no request asked for, on connections that wait for the next one."""
    target.flood = None
    floods = (request_flood(target.machine, n) for n in range(CONNECTIONS))
    writers = await asyncio.gather(*floods)
    for writer in list(target.writers):
        for _ in range(UNSOLICITED_COUNT):
            if not writer.is_closing():
                writer.write(UNSOLICITED[name])
    await check(target, writers)


async def test_a_body_is_held_once(tmp_path: Path) -> None:
    """Growing bodies were copied from place to place and left gaps in the heap, so that
    the largest one allowed, 16 MB, took up to 46 MB, more with each flood.
    """
    async with running_target(tmp_path, network=1) as target:
        node = target.machine.processes["node"]
        peak_before_mb = peak_memory_mb(node.pid)
        target.flood = FLOODS["body of a large length"]
        for _ in range(FLOOD_COUNT):
            floods = (request_flood(target.machine, n) for n in range(CONNECTIONS))
            for writer in await asyncio.gather(*floods):
                writer.transport.abort()
        assert peak_memory_mb(node.pid) - peak_before_mb < MAX_GROWTH_MB
