"""Responses that targets in trouble send: invalid statuses, resets during an upload.

A client got the first part of a response whose connection was reset as complete, and
an answer with status 000.
"""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest

from briardock.mesh.http1 import ExchangeFailure, Response, encode_request_head
from briardock.mesh.http_client import ClientConnection
from briardock.mesh.model import split_address
from mesh_fakes import HEALTH_PATH, Machine, fleet, free_address, route

pytestmark = pytest.mark.anyio

# Time within which an invalid response has to fail, s. No connection closes before it.
PROMPT_S = 1.0
SIGNED = b"request-id: r1\r\nresponse-signature: s\r\n"
# Closes a socket with a reset.
RESET = struct.pack("ii", 1, 0)


@pytest.fixture(params=[True, False], ids=["uvloop", "asyncio"])
def anyio_backend(request: pytest.FixtureRequest) -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": request.param}


@dataclass
class RawTarget:
    """A target that sends given bytes once it has read the head of a request.

    :param response: what it sends
    :param reset_after_s: time after which it resets the connection, ``None`` to keep
        it open
    :param closes: whether it ends the connection without a reset instead
    """

    response: bytes
    reset_after_s: float | None = None
    closes: bool = False
    paths: list[bytes] = field(default_factory=list)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        try:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                # The node only looks whether the port is open.
                return
            path = head.split()[1]
            if path == HEALTH_PATH.encode():
                writer.write(
                    b"HTTP/1.1 200 OK\r\ninstance-id: i-b\r\ncontent-length: 0\r\n\r\n"
                )
                return
            self.paths.append(path)
            writer.transport.pause_reading()
            writer.write(self.response)
            if self.closes:
                return
            if self.reset_after_s is None:
                await asyncio.sleep(10.0)
                return
            await asyncio.sleep(self.reset_after_s)
            plain_socket = writer.get_extra_info("socket")
            plain_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()
        finally:
            writer.close()


@asynccontextmanager
async def raw_target(target: RawTarget, address: str) -> AsyncIterator[None]:
    server = await asyncio.start_server(target.serve, *split_address(address))
    try:
        yield
    finally:
        server.close()


async def exchange_with(target: RawTarget, body: bytes) -> Response | ExchangeFailure:
    """Return what a connection makes of a target's response."""
    address = free_address()
    async with raw_target(target, address):
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            ClientConnection, *split_address(address)
        )
        head = encode_request_head(b"POST", b"/jobs/", [], len(body))
        try:
            return await connection.exchange(head, body=body)
        finally:
            connection.close()


FRAMINGS: dict[str, Callable[[bytes], bytes]] = {
    "without length": lambda status: b"HTTP/1.1 %s X\r\n%s\r\nok" % (status, SIGNED),
    "with length": lambda status: (
        b"HTTP/1.1 %s X\r\n%scontent-length: 2\r\n\r\nok" % (status, SIGNED)
    ),
    "in chunks": lambda status: (
        b"HTTP/1.1 %s X\r\n%stransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
        % (status, SIGNED)
    ),
    "head only": lambda status: b"HTTP/1.1 %s X\r\n\r\n" % status,
}


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("status", [b"000", b"001", b"099"])
@pytest.mark.parametrize("body_bytes", [0, 100_000])
async def test_response_with_an_invalid_status_is_no_answer(
    status: bytes, framing: str, body_bytes: int
) -> None:
    target = RawTarget(FRAMINGS[framing](status))
    async with asyncio.timeout(PROMPT_S):
        result = await exchange_with(target, b"x" * body_bytes)
    assert isinstance(result, ExchangeFailure)


@pytest.mark.parametrize(
    ("status", "framing", "expected"),
    [
        (b"200", "with length", 200),
        (b"404", "in chunks", 404),
        (b"599", "with length", 599),
        (b"600", "with length", 600),
    ],
)
async def test_response_with_a_valid_status_is_read(
    status: bytes, framing: str, expected: int
) -> None:
    result = await exchange_with(RawTarget(FRAMINGS[framing](status)), b"")
    assert isinstance(result, Response)
    assert (result.status, result.body) == (expected, b"ok")


@pytest.mark.parametrize("part_bytes", [100, 100_000])
@pytest.mark.parametrize("reset_after_s", [0.0, 0.02, 0.05])
@pytest.mark.parametrize("body_bytes", [0, 100_000, 8_000_000])
async def test_response_that_is_reset_during_an_upload_is_incomplete(
    body_bytes: int, reset_after_s: float, part_bytes: int
) -> None:
    response = b"HTTP/1.1 200 OK\r\n%s\r\n" % SIGNED + b"o" * part_bytes
    result = await exchange_with(RawTarget(response, reset_after_s), b"x" * body_bytes)
    assert isinstance(result, ExchangeFailure)


async def call_over(system_path: str, target: RawTarget, body: bytes) -> Response:
    """Return the response to a request that goes over one node or two."""
    async with fleet(route("r", "/jobs/", **{"max-attempts": 1})) as system:
        machine: Machine = await system.add("b", "jobs")
        entry = machine
        if system_path == "two nodes":
            entry = await system.add("a", "maps")
        await system.settle()
        machine.target.server.stop_listening()
        machine.target.reset_connections()
        async with raw_target(target, machine.settings.target_address):
            return await entry.call("/jobs/7", body=body)


@pytest.mark.parametrize("system_path", ["one node", "two nodes"])
@pytest.mark.parametrize("body_bytes", [0, 2_000_000])
@pytest.mark.parametrize(
    "target",
    [
        pytest.param(
            RawTarget(FRAMINGS["without length"](b"000"), closes=True),
            id="000 and closed",
        ),
        pytest.param(
            RawTarget(FRAMINGS["without length"](b"000"), 0.02), id="000 and reset"
        ),
        pytest.param(RawTarget(FRAMINGS["with length"](b"000")), id="000"),
        pytest.param(
            RawTarget(b"HTTP/1.1 200 OK\r\n%s\r\npart" % SIGNED, 0.0),
            id="200 and reset at once",
        ),
        pytest.param(
            RawTarget(b"HTTP/1.1 200 OK\r\n%s\r\npart" % SIGNED, 0.05),
            id="200 and reset",
        ),
    ],
)
async def test_caller_gets_no_part_of_an_answer(
    system_path: str, body_bytes: int, target: RawTarget
) -> None:
    target.paths.clear()
    answer = await call_over(system_path, target, b"x" * body_bytes)
    assert target.paths
    assert answer.status in (502, 503, 504)
