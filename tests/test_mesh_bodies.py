"""Bodies of every size are read as they were received, by nodes and from targets."""

import asyncio
from unittest.mock import Mock

import pytest

from briardock.mesh.http1 import LARGE_BODY_BYTES, Response
from briardock.mesh.http_client import ClientConnection
from briardock.mesh.model import CallerLimits
from briardock.mesh.request_reader import RequestReader

pytestmark = pytest.mark.anyio

PART_SIZES = [
    (),
    (1,),
    (LARGE_BODY_BYTES - 1,),
    (LARGE_BODY_BYTES,),
    (LARGE_BODY_BYTES - 1, 1, 1),
    (10, 5 * LARGE_BODY_BYTES, 3),
    (700,) * 1_000,
]


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def make_parts(sizes: tuple[int, ...]) -> list[bytes]:
    return [bytes([n % 251]) * size for n, size in enumerate(sizes)]


def read_request(reader: RequestReader, parts: list[bytes]) -> bytes:
    """Return the body that a reader makes of parts."""
    length = sum(map(len, parts))
    reader.feed(b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n" % length)
    for part in parts:
        reader.feed(part)
    return bytes(reader.requests.pop().body)


async def read_response(connection: ClientConnection, parts: list[bytes]) -> bytes:
    """Return the body that a connection makes of parts."""
    exchange = asyncio.create_task(connection.exchange(b"GET / HTTP/1.1\r\n\r\n"))
    await asyncio.sleep(0)
    length = sum(map(len, parts))
    connection.data_received(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % length)
    for part in parts:
        connection.data_received(part)
    response = await exchange
    assert isinstance(response, Response)
    return bytes(response.body)


def open_connection() -> ClientConnection:
    connection = ClientConnection()
    transport = Mock(spec=asyncio.Transport)
    transport.is_closing.return_value = False
    transport.get_write_buffer_size.return_value = 0
    connection.connection_made(transport)
    return connection


@pytest.mark.parametrize("part_sizes", PART_SIZES)
async def test_parts_are_joined(part_sizes: tuple[int, ...]) -> None:
    """A body lost or gained bytes where it was collected in another way."""
    parts = make_parts(part_sizes)
    joined = b"".join(parts)
    reader = RequestReader(CallerLimits(body_bytes=2 * len(joined) + 1))
    assert read_request(reader, parts) == joined
    assert await read_response(open_connection(), parts) == joined


@pytest.mark.parametrize("size_bytes", [10, 2 * LARGE_BODY_BYTES])
async def test_next_message_has_a_body_of_its_own(size_bytes: int) -> None:
    """The next message on a connection began with the body of the last one."""
    reader, connection = RequestReader(CallerLimits()), open_connection()
    for body in (b"a" * size_bytes, b"b"):
        assert read_request(reader, [body]) == body
        assert await read_response(connection, [body]) == body
