"""HTTP server of the mesh: requests read from a connection, and its closing."""

import asyncio
import os
import select
import socket
from collections.abc import Callable

import pytest

from briardock.mesh.http1 import Request, Response
from briardock.mesh.http_server import HttpServer
from briardock.mesh.model import CallerLimits, now_s, split_address
from briardock.mesh.request_reader import RequestReader
from mesh_fakes import free_address, quiet_log

pytestmark = pytest.mark.anyio

LIMITS = CallerLimits(body_bytes=8)
GET = b"GET /%d HTTP/1.1\r\nhost: h\r\n%s\r\n"
POST = b"POST /%d HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n%s"
CHUNKED = b"POST /1 HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


async def send_pieces(*pieces: bytes) -> tuple[list[bytes], bytes]:
    """Send parts of a stream one after the other; return the request targets that the
    server read and the bytes received until it closed the connection or sent no more.
    """
    targets: list[bytes] = []

    async def handle(request: Request) -> Response:
        targets.append(request.target)
        return Response(200, body=request.body)

    server = HttpServer(handle, LIMITS, quiet_log())
    address = free_address()
    await server.start(*split_address(address))
    reader, writer = await asyncio.open_connection(*split_address(address))
    received = b""
    for piece in pieces:
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(0.02)
    try:
        async with asyncio.timeout(0.2):
            while data := await reader.read(4_096):
                received += data
            received += b"<closed>"
    except TimeoutError:
        pass
    writer.close()
    server.stop_listening()
    return targets, received


@pytest.mark.parametrize(
    ("headers", "closed"),
    [
        (b"", False),
        (b"connection: keep-alive\r\n", False),
        (b"connection: close\r\n", True),
        (b"Connection: Keep-Alive, Close\r\n", True),
    ],
)
async def test_connection_is_closed_if_the_caller_asks_for_it(
    headers: bytes, closed: bool
) -> None:
    """A caller that sent ``connection: close`` reads until the end of the stream."""
    targets, received = await send_pieces(GET % (1, headers))
    assert targets == [b"/1"]
    assert received.endswith(b"<closed>") is closed
    assert (b"connection: close" in received) is closed


async def test_connection_stays_open_for_several_requests() -> None:
    """Pipelined requests are served in order on the same connection."""
    targets, received = await send_pieces(
        GET % (1, b""), GET % (2, b"") + GET % (3, b"")
    )
    assert targets == [b"/1", b"/2", b"/3"]
    assert received.count(b"200 OK") == 3
    assert b"connection: close" not in received


@pytest.mark.parametrize(
    ("pieces", "targets", "status"),
    [
        ([POST % (1, 8, b"a" * 8), POST % (2, 8, b"b" * 8)], [b"/1", b"/2"], b"200"),
        ([POST % (1, 8, b"a" * 8) + POST % (2, 4, b"bbbb")], [b"/1", b"/2"], b"200"),
        ([POST % (1, 8, b"a" * 4), b"a" * 4, GET % (2, b"")], [b"/1", b"/2"], b"200"),
        ([POST % (1, 8, b"a" * 8), POST % (2, 9, b"b" * 9)], [b"/1"], b"413"),
        ([POST % (1, 9, b"a" * 9) + GET % (2, b"")], [], b"413"),
        ([GET % (1, b"") + POST % (2, 9, b"b" * 9) + GET % (3, b"")], [b"/1"], b"413"),
    ],
    ids=[
        "within limit",
        "pipelined",
        "body in parts",
        "second too large",
        "first too large",
        "middle too large",
    ],
)
async def test_body_limit_applies_to_each_request_separately(
    pieces: list[bytes], targets: list[bytes], status: bytes
) -> None:
    """The bytes of one body must not count towards the next request."""
    read_targets, received = await send_pieces(*pieces)
    assert read_targets == targets
    assert received.split(b"HTTP/1.1 ")[-1].startswith(status)


async def test_bodies_of_answered_requests_are_not_counted_as_buffered() -> None:
    """A caller that always pipelined another request used up the limit of all."""
    server = HttpServer(
        lambda request: asyncio.sleep(0.01, Response(200)), CallerLimits(), quiet_log()
    )
    address = free_address()
    await server.start(*split_address(address))
    reader, writer = await asyncio.open_connection(*split_address(address))
    buffered_bytes = []
    writer.write(POST % (0, 100, b"a" * 100))
    for number in range(20):
        writer.write(POST % (number, 100, b"a" * 100))
        await reader.readuntil(b"\r\n\r\n")
        buffered_bytes.append(server.memory.used_bytes)
    assert max(buffered_bytes) <= 300
    writer.close()
    server.stop_listening()


async def test_failed_request_does_not_end_those_behind_it() -> None:
    """The close was announced with the first answer, but the next request was run."""

    async def fail_first(request: Request) -> Response:
        if request.target == b"/1":
            raise ValueError
        return Response(200)

    server = HttpServer(fail_first, LIMITS, quiet_log())
    address = free_address()
    await server.start(*split_address(address))
    reader, writer = await asyncio.open_connection(*split_address(address))
    writer.write(GET % (1, b"") + GET % (2, b""))
    answers = [await reader.readuntil(b"\r\n\r\n") for _ in range(2)]
    assert [answer[9:12] for answer in answers] == [b"500", b"200"]
    assert not any(b"connection: close" in answer for answer in answers)
    writer.close()
    server.stop_listening()


async def test_client_that_does_not_read_holds_one_response_and_is_closed() -> None:
    """Responses to a client that asked 3,000 times and read nothing had no bound and
    took 305 MB.
    """
    targets = []

    async def handle(request: Request) -> Response:
        targets.append(request.target)
        return Response(200, body=b"x" * 1_000_000)

    server = HttpServer(handle, LIMITS, quiet_log())
    address = free_address()
    await server.start(*split_address(address))
    reader, writer = await asyncio.open_connection(*split_address(address), limit=1)
    for number in range(100):
        writer.write(GET % (number, b""))
    await asyncio.sleep(0.5)
    (connection,) = server.connections
    # What the sockets of both ends take, and one response in the process.
    assert len(targets) < 20
    assert connection.has_unsent_bytes
    read_count = len(targets)
    async with asyncio.timeout(10.0):
        while len(targets) == read_count:
            await reader.read(100_000)
    late_s = now_s() + LIMITS.idle_timeout_s + 1.0
    while connection in server.connections:
        connection.enforce_timeouts(late_s)
        late_s += LIMITS.idle_timeout_s + 1.0
        assert late_s < now_s() + 10 * LIMITS.idle_timeout_s
    writer.close()
    server.stop_listening()


@pytest.mark.parametrize(
    ("sent", "silent_s", "status"),
    [
        (POST % (1, 8, b"a"), 16.0, b"408"),
        (POST % (1, 8, b"a"), 14.0, b""),
        (POST % (1, 8, b""), 16.0, b"408"),
        (POST % (1, 8, b"a" * 8), 16.0, b"200"),
        (CHUNKED + b"4\r\nab", 16.0, b"408"),
        (CHUNKED, 16.0, b"408"),
    ],
    ids=["body", "not yet", "no body", "complete", "chunk", "chunk size"],
)
async def test_body_of_which_nothing_arrives_is_refused(
    sent: bytes, silent_s: float, status: bytes
) -> None:
    """A client that stopped in a body kept its memory without a limit in time, and
    larger requests of others were refused for lack of memory meanwhile.
    """
    server = HttpServer(
        lambda request: asyncio.sleep(0, Response(200)), LIMITS, quiet_log()
    )
    address = free_address()
    await server.start(*split_address(address))
    reader, writer = await asyncio.open_connection(*split_address(address))
    writer.write(sent)
    await asyncio.sleep(0.05)
    for connection in list(server.connections):
        connection.enforce_timeouts(now_s() + silent_s)
    received = b""
    try:
        async with asyncio.timeout(0.1):
            received = await reader.readline()
    except TimeoutError:
        pass
    assert received[9:12] == status
    assert status == b"" or server.memory.used_bytes == 0
    writer.close()
    server.stop_listening()


@pytest.mark.parametrize(
    ("part", "count", "status"),
    [
        (b"1\r\na\r\n", 20_000, 0),
        (b"1\r\na\r\n", 40_000, 413),
        (b"2\r\naa\r\n", 40_000, 0),
        (b"2\r\naa\r\n", 50_000, 413),
        (b"5\r\naaaaa\r\n", 200_000, 0),
        (b"1;" + b"x" * 500 + b"\r\na\r\n", 200, 0),
        (b"1;" + b"x" * 500 + b"\r\na\r\n", 400, 413),
    ],
)
def test_chunks_of_a_few_bytes_are_bounded(
    part: bytes, count: int, status: int
) -> None:
    """120 clients that sent chunks of two bytes kept a node busy for over 10 s."""
    reader = RequestReader(CallerLimits())
    data = CHUNKED + part * count + b"0\r\n\r\n"
    for start in range(0, len(data), 16 * 1024):
        reader.feed(data[start : start + 16 * 1024])
    assert reader.refusal_status == status
    assert len(reader.requests) == (not status)


async def connect_idle(
    server: HttpServer, address: str
) -> tuple[socket.socket, asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection on which one request was answered."""
    reader, writer = await asyncio.open_connection(*split_address(address))
    writer.write(GET % (0, b""))
    assert b"200 OK" in await reader.readuntil(b"\r\n\r\n")
    (connection,) = server.connections
    while not connection.idle:
        await asyncio.sleep(0)
    duplicate = socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno()))
    return duplicate, reader, writer


def close_idle(server: HttpServer) -> None:
    server.close_idle()


def exceed_idle_timeout(server: HttpServer) -> None:
    (connection,) = server.connections
    connection.enforce_timeouts(now_s() + LIMITS.idle_timeout_s + 1.0)


@pytest.mark.parametrize("close", [close_idle, exceed_idle_timeout])
@pytest.mark.parametrize("is_sent", [True, False], ids=["sent", "not sent"])
async def test_request_that_waits_is_served_before_an_idle_connection_closes(
    close: Callable[[HttpServer], None], is_sent: bool
) -> None:
    """A request that arrived on an idle connection was reset if the node closed it
    before it had read it, and the caller could not see the end when it sent one.
    """

    async def handle(request: Request) -> Response:
        return Response(200)

    server = HttpServer(handle, LIMITS, quiet_log())
    address = free_address()
    await server.start(*split_address(address))
    raw, reader, writer = await connect_idle(server, address)
    with raw:
        if is_sent:
            raw.send(GET % (1, b""))
        close(server)
        end = select.poll()
        end.register(raw.fileno(), select.POLLRDHUP)
        assert bool(end.poll(0)) == (not is_sent)
        if is_sent:
            assert b"200 OK" in await reader.readuntil(b"\r\n\r\n")
        else:
            assert await reader.read() == b""
    writer.close()
    server.stop_listening()
