"""Clients that send slowly, stop in the middle or close their sending side.

The rows share one node, its target and a store as processes. The crowd and the bounds
were fixed before the code was changed.
"""

import asyncio
import re
from collections.abc import AsyncIterator
from contextlib import suppress
from dataclasses import dataclass

import pytest

from briardock.mesh.model import split_address
from soak_machines import Machine
from test_mesh_hostile_clients import (
    ADDRESSES,
    CHUNKED,
    HEAD,
    MAX_FDS,
    MEMORY_MB,
    RESERVED_FDS,
    count_descriptors,
    is_served,
    peak_memory_mb,
    running_machine,
)

pytestmark = pytest.mark.anyio

# More than the listener for callers may hold open.
CONNECTIONS = 60
# Time for which a crowd sends one byte per second and connection, s.
SLOW_BYTES_S = 2.0
ANSWER_TIMEOUT_S = 5.0
# Time in which a further answer would follow, s.
STRAY_ANSWER_S = 0.5
# Requests that one caller sends one after the other with the same id, and the number of
# descriptors that they may take.
REPEATS = 20
MAX_TAKEN_DESCRIPTORS = 5

POST = b"POST /jobs/1 HTTP/1.1\r\nhost: a.example\r\nrequest-id: r\r\n"
GET = HEAD + b"request-id: r\r\n"
UPGRADE = b"connection: upgrade\r\nupgrade: h2c\r\n"


@pytest.fixture(scope="module")
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


@pytest.fixture(scope="module")
async def machine(tmp_path_factory: pytest.TempPathFactory) -> AsyncIterator[Machine]:
    async with running_machine(tmp_path_factory.mktemp("slow")) as started:
        yield started


@dataclass(frozen=True)
class SlowClient:
    """A client that does not complete its request.

    :param start: sent once
    :param slow_bytes: sent one byte per second afterwards
    :param half_closes: whether it shuts down its sending side after the start
    :param wait_s: time until an ordinary request is sent, s
    """

    start: bytes
    slow_bytes: bytes = b""
    half_closes: bool = False
    wait_s: float = 0.0


CHUNK_START = CHUNKED + b"10\r\nabc"
SLOW_CLIENTS = {
    "byte per second in a head": SlowClient(HEAD + b"a: ", b"b" * 9),
    "byte per second in a chunk size": SlowClient(CHUNKED, b"0" * 9),
    "byte per second in a chunk": SlowClient(CHUNK_START, b"b" * 9),
    "byte per second in a body": SlowClient(
        POST + b"content-length: 99\r\n\r\n", b"b" * 9
    ),
    "body that stalls": SlowClient(POST + b"content-length: 99\r\n\r\nabc"),
    "chunk that stalls": SlowClient(CHUNK_START),
    "half-closed in a head": SlowClient(HEAD, half_closes=True),
    "half-closed in a body": SlowClient(
        POST + b"content-length: 99\r\n\r\nabc", half_closes=True
    ),
    "half-closed in a chunk": SlowClient(CHUNK_START, half_closes=True),
    "length of 2^63": SlowClient(POST + b"content-length: %d\r\n\r\nabc" % 2**63),
    # A listener whose connections all have a request in flight refuses new ones, so the
    # runs (0.25 s at most) must have ended.
    "upgrades": SlowClient(GET + UPGRADE + b"\r\n" + b"\x00" * 64, wait_s=1.0),
}
CALLER_CASES = [(name, "callers") for name in SLOW_CLIENTS]


async def connect_slowly(address: str, what: SlowClient) -> asyncio.StreamWriter:
    """Send the start without reading; return the connection, which stays open."""
    _, writer = await asyncio.open_connection(*split_address(address))
    try:
        writer.write(what.start)
        await writer.drain()
        if what.half_closes:
            writer.write_eof()
    except OSError:
        pass
    return writer


async def send_slow_bytes(
    writers: list[asyncio.StreamWriter], what: SlowClient
) -> None:
    """Send one byte per second on each connection for a while."""
    for number in range(int(SLOW_BYTES_S) if what.slow_bytes else 0):
        for writer in writers:
            if not writer.is_closing():
                writer.write(what.slow_bytes[number : number + 1])
        await asyncio.sleep(1.0)
    await asyncio.sleep(what.wait_s)


@pytest.mark.parametrize(("name", "address_name"), CALLER_CASES)
async def test_ordinary_request_is_served_beside_a_slow_crowd(
    name: str, address_name: str, machine: Machine
) -> None:
    """Connections in the middle of a body were never closed for others, so that a crowd
    of them kept ordinary callers out.
    """
    node = machine.processes["node"]
    address = ADDRESSES.get(address_name, lambda m: m.caller_address)(machine)
    what = SLOW_CLIENTS[name]
    writers = list(
        await asyncio.gather(
            *(connect_slowly(address, what) for _ in range(CONNECTIONS))
        )
    )
    await send_slow_bytes(writers, what)
    descriptor_count = count_descriptors(node.pid)
    served_beside = await is_served(machine)
    for writer in writers:
        writer.transport.abort()
    served_after = await is_served(machine)
    assert node.poll() is None
    assert peak_memory_mb(node.pid) < MEMORY_MB
    assert descriptor_count < MAX_FDS - RESERVED_FDS
    assert (served_beside, served_after) == (True, True)


@pytest.mark.parametrize(
    ("sent", "statuses"),
    [
        (GET + UPGRADE + b"\r\n", ["200"]),
        (GET + UPGRADE + b"\r\n" + GET + b"\r\n", ["200", "200"]),
        (
            POST + UPGRADE + b"content-length: 3\r\n\r\nabc" + GET + b"\r\n",
            ["200", "200"],
        ),
        (b"CONNECT a.example:1 HTTP/1.1\r\nhost: a.example\r\n\r\n", ["400"]),
        (POST + b"content-length: %d\r\n\r\n" % 2**63, ["413"]),
        (POST + b"content-length: %d\r\n\r\nabc" % (2**64 - 1), ["413"]),
        (POST + b"content-length: %d\r\n\r\n" % 2**70, ["400"]),
    ],
    ids=[
        "upgrade",
        "upgrade and GET",
        "upgrade with a body and GET",
        "CONNECT",
        "length of 2^63",
        "length of 2^64 - 1",
        "length of 2^70",
    ],
)
async def test_each_request_has_one_answer(
    sent: bytes, statuses: list[str], machine: Machine
) -> None:
    """A request to upgrade was answered twice, and a length of 2^63 not at all."""
    reader, writer = await asyncio.open_connection(
        *split_address(machine.caller_address)
    )
    writer.write(sent)
    found: list[str] = []
    received = b""
    with suppress(TimeoutError):
        async with asyncio.timeout(ANSWER_TIMEOUT_S) as timeout:
            while data := await reader.read(65_536):
                received += data
                found = re.findall(r"HTTP/1\.1 (\d+)", received.decode())
                if len(found) == len(statuses):
                    loop = asyncio.get_running_loop()
                    timeout.reschedule(loop.time() + STRAY_ANSWER_S)
    writer.transport.abort()
    assert found == statuses


async def test_repeated_request_id_takes_no_further_descriptors(
    machine: Machine,
) -> None:
    """Each request with an id that came before opened a connection to the target, which
    stayed open for 8 s.
    """
    node = machine.processes["node"]
    reader, writer = await asyncio.open_connection(
        *split_address(machine.caller_address)
    )
    count_before = count_descriptors(node.pid)
    for _ in range(REPEATS):
        writer.write(GET + b"\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        (size,) = re.findall(rb"content-length: (\d+)", head)
        await reader.readexactly(int(size))
    taken_count = count_descriptors(node.pid) - count_before
    writer.close()
    assert taken_count <= MAX_TAKEN_DESCRIPTORS
