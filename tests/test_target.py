"""Tests of the target client: outcomes, connection reuse and cancellation."""

import socket
import struct

import anyio
import anyio.abc
import pytest

from briardock.clock import ManualClock
from briardock.metrics import Metrics
from briardock.outcomes import Completed, Headers
from briardock.target import Lost, NotSent, make_target_client
from target_fakes import (
    DEADLINE_MS,
    HOST,
    OK,
    Script,
    Target,
    never_respond,
    respond_with,
    target_harness,
)

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


@pytest.mark.parametrize(
    ("script", "expected", "connection_count"),
    [
        pytest.param(
            respond_with(
                b"HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 2\r\n\r\no", b"k"
            ),
            Completed(200, ((b"x-a", b"1"),), b"ok"),
            1,
            id="content-length-in-parts",
        ),
        pytest.param(
            respond_with(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n",
                b"1\r\nk\r\n0\r\n\r\n",
            ),
            Completed(200, (), b"ok"),
            1,
            id="chunked",
        ),
        pytest.param(
            respond_with(b"HTTP/1.1 200 OK\r\n\r\no", b"k", then_close=True),
            Completed(200, (), b"ok"),
            2,
            id="until-close",
        ),
        pytest.param(
            respond_with(
                b"HTTP/1.1 200 OK\r\nConnection: close, x-h\r\nX-H: 1\r\n"
                b"Content-Length: 2\r\n\r\nok"
            ),
            Completed(200, (), b"ok"),
            2,
            id="connection-close",
        ),
        pytest.param(
            respond_with(b"HTTP/1.1 204 No Content\r\n\r\n"),
            Completed(204),
            1,
            id="empty",
        ),
        pytest.param(
            respond_with(b"HTTP/1.1 100 Continue\r\n\r\n" + OK),
            Completed(200, (), b"ok"),
            1,
            id="interim-response",
        ),
        pytest.param(
            respond_with(
                b"HTTP/1.1 503 Busy\r\nBriardock-Not-Run: 1\r\n"
                b"Content-Length: 0\r\n\r\n"
            ),
            Completed(503, ((b"briardock-not-run", b"1"),), b""),
            1,
            id="refusal-of-the-target",
        ),
        pytest.param(
            respond_with(OK + OK),
            Completed(200, (), b"ok"),
            2,
            id="duplicate-in-one-read",
        ),
        pytest.param(
            respond_with(OK, OK),
            Completed(200, (), b"ok"),
            2,
            id="duplicate-while-idle",
        ),
    ],
)
async def test_complete_responses(
    script: Script, expected: Completed, connection_count: int
):
    """Guards against framing errors and against reuse after unexpected data."""
    async with target_harness(script) as harness:
        assert await harness.run() == expected
        await harness.target.wait_finished(1)
        assert await harness.run() == expected
        assert harness.target.connection_count == connection_count


@pytest.mark.parametrize(
    ("script", "detail"),
    [
        pytest.param(
            respond_with(then_close=True),
            "incomplete response",
            id="closed-without-response",
        ),
        pytest.param(
            respond_with(OK[:-1], then_close=True), "incomplete response", id="cut-body"
        ),
        pytest.param(
            respond_with(OK[:20], then_close=True), "incomplete response", id="cut-head"
        ),
        pytest.param(
            respond_with(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
                then_close=True,
            ),
            "incomplete response",
            id="cut-chunk",
        ),
        pytest.param(
            respond_with(b"garbage\r\n\r\n"), "malformed response", id="not-http"
        ),
        pytest.param(
            respond_with(b"HTTP/1.1 000 X\r\n\r\nok", then_close=True),
            "malformed response",
            id="status-000",
        ),
        pytest.param(
            respond_with(b"HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\nok"),
            "malformed response",
            id="status-099",
        ),
        pytest.param(
            respond_with(b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n"),
            "",
            id="upgrade",
        ),
        pytest.param(
            respond_with(
                b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n" + b"a" * 9
            ),
            "response exceeds",
            id="too-large",
        ),
        pytest.param(
            respond_with(b"HTTP/1.1 200 OK\r\nA: " + b"a" * 200_000),
            "malformed response",
            id="header-too-large",
        ),
    ],
)
async def test_request_without_a_complete_response_is_lost(script: Script, detail: str):
    """Guards against returning an incomplete response as a complete one."""
    async with target_harness(script) as harness:
        lost = await harness.run()
        assert isinstance(lost, Lost), lost
        assert detail in lost.detail
        assert lost.died is False
        assert harness.metrics.counters["target.lost"] == 1
        assert isinstance(await harness.run(), Lost)
        first, second = harness.target.request_connections
        assert first != second


@pytest.mark.parametrize("reset_after_s", [0.0, 0.02, 0.05])
@pytest.mark.parametrize("body_bytes", [0, 100_000, 8_000_000])
async def test_response_that_is_reset_during_an_upload_is_lost(
    body_bytes: int, reset_after_s: float
):
    """Guards against returning the first part of a body without length."""

    async def reset(
        target: Target, stream: anyio.abc.SocketStream, data: bytes
    ) -> None:
        await stream.send(b"HTTP/1.1 200 OK\r\n\r\npart")
        await anyio.sleep(reset_after_s)
        raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        linger = struct.pack("ii", 1, 0)
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        await anyio.aclose_forcefully(stream)

    async with target_harness(reset) as harness:
        lost = await harness.run("POST", body=b"x" * body_bytes)
        assert isinstance(lost, Lost), lost


@pytest.mark.parametrize("listens", [True, False])
async def test_death_of_the_target(listens: bool):
    """Guards against counting a lost connection of a running target as its death."""

    async def die(target: Target, stream: anyio.abc.SocketStream, data: bytes) -> None:
        if not listens:
            await target.listener.aclose()
        await stream.aclose()

    async with target_harness(die) as harness:
        lost = await harness.run("POST", body=b"x")
        assert isinstance(lost, Lost)
        assert lost.died is not listens


async def test_refused_connection_is_not_sent():
    """Guards against an unknown outcome for a request that was never written."""
    async with target_harness(never_respond) as harness:
        with socket.socket() as unused:
            unused.bind((HOST, 0))
            harness.client.set_address(HOST, unused.getsockname()[1])
            result = await harness.run()
        assert isinstance(result, NotSent)
        assert "connection failed" in result.detail


@pytest.mark.parametrize(
    ("path", "headers", "remaining_ms"),
    [
        pytest.param("/a b", (), DEADLINE_MS, id="path"),
        pytest.param("/\u00e9", (), DEADLINE_MS, id="path-not-ascii"),
        pytest.param("/", ((b"a", b"x\r\ny: z"),), DEADLINE_MS, id="header"),
        pytest.param("/", (), 0.0, id="deadline"),
    ],
)
async def test_bad_request_is_not_sent(
    path: str, headers: Headers, remaining_ms: float
):
    """Guards against invalid requests that reach the target or raise."""
    async with target_harness(respond_with(OK)) as harness:
        result = await harness.run(
            path=path, headers=headers, remaining_ms=remaining_ms
        )
        assert isinstance(result, NotSent)
        assert harness.target.requests == []
        assert isinstance(await harness.run(), Completed)


async def test_no_address_is_not_sent():
    """Guards against a client that raises before its target is announced."""
    client = make_target_client(ManualClock(), Metrics(), 1_000.0, 2)
    result = await client.run("GET", "/", (), b"", DEADLINE_MS)
    assert result == NotSent("no target address is known")


@pytest.mark.parametrize(
    ("method", "body", "framing"),
    [
        ("POST", b"abc", b"content-length: 3\r\n\r\nabc"),
        ("POST", b"", b"content-length: 0\r\n\r\n"),
        ("GET", b"", b"\r\n"),
    ],
)
async def test_request_on_the_wire(method: str, body: bytes, framing: bytes):
    """Guards against forwarding hop-by-hop fields and framing of the caller."""
    headers = (
        (b"Host", b"caller"),
        (b"Content-Length", b"77"),
        (b"Transfer-Encoding", b"chunked"),
        (b"Connection", b"x-hop"),
        (b"X-Hop", b"1"),
        (b"Expect", b"100-continue"),
        (b"Accept", b"*/*"),
    )
    async with target_harness(respond_with(OK)) as harness:
        await harness.run(method, "/p?q=1", headers, body)
        sent = harness.target.requests[0]
        host = f"host: {HOST}:{harness.target.port}\r\n".encode()
        start = f"{method} /p?q=1 HTTP/1.1\r\n".encode()
        assert sent == start + host + b"accept: */*\r\n" + framing


async def test_head_has_no_body():
    """Guards against waiting for a HEAD body and dropping its Content-Length."""
    async with target_harness(
        respond_with(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n")
    ) as harness:
        result = await harness.run("HEAD")
        assert isinstance(result, Completed)
        assert result.body == b""
        assert result.headers == ((b"content-length", b"9"),)
        assert await harness.run("HEAD") == result


async def test_late_response_reaches_no_other_request():
    """Guards against returning a late response to the next request."""

    async def script(
        target: Target, stream: anyio.abc.SocketStream, data: bytes
    ) -> None:
        if b"/slow" in data:
            await anyio.sleep(0.05)
        path = data.split(b" ")[1]
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(path)
        await stream.send(head + path)

    async with target_harness(script) as harness:
        assert (await harness.run(path="/warm")).body == b"/warm"
        late = await harness.run(path="/slow", remaining_ms=10.0)
        assert late == Lost("deadline", died=False)
        for number in range(20):
            path = f"/{number}"
            result = await harness.run(path=path)
            assert result.body == path.encode()
            await anyio.sleep(0.005)
        assert harness.target.connection_count == 2


async def test_concurrent_requests_share_no_connection():
    """Guards against responses swapped between requests in flight."""

    async def script(
        target: Target, stream: anyio.abc.SocketStream, data: bytes
    ) -> None:
        path = data.split(b" ")[1]
        await anyio.sleep(0.01 if path in (b"/0", b"/3") else 0.001)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(path)
        await stream.send(head + path)

    results: dict[int, Completed | NotSent | Lost] = {}
    async with target_harness(script) as harness:

        async def run(number: int) -> None:
            results[number] = await harness.run(path=f"/{number}")

        async with anyio.create_task_group() as tasks:
            for number in range(10):
                tasks.start_soon(run, number)
        for number in range(10):
            assert results[number].body == f"/{number}".encode()
        assert harness.target.connection_count == 10
        # Only max_idle connections are kept.
        await harness.run(path="/x")
        assert harness.target.connection_count == 10


async def test_cancelling_closes_the_connection():
    """Guards against a target that keeps working for a disconnected caller."""
    async with target_harness(never_respond) as harness:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(harness.run)
            await harness.target.received.wait()
            tasks.cancel_scope.cancel()
        await harness.target.closed.wait()


async def test_stale_connection_is_not_reused():
    """Guards against an unknown outcome after the target closed while idle."""
    async with target_harness(respond_with(OK, then_close=True)) as harness:
        for number in range(1, 6):
            assert (await harness.run("POST", body=b"x")).body == b"ok"
            await harness.target.wait_finished(number)
        assert harness.metrics.counters["target.stale_connections"] == 4


async def test_new_address_is_used_at_once():
    """Guards against requests sent to the previous target process."""
    async with (
        target_harness(respond_with(OK)) as old,
        target_harness(respond_with(OK)) as new,
    ):
        await old.run()
        old.client.set_address(HOST, new.target.port)
        await old.run()
        assert len(old.target.requests) == 1
        assert len(new.target.requests) == 1


async def test_target_that_does_not_read():
    """Guards against a blocked write that outlasts the deadline."""

    async def serve(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await anyio.sleep_forever()

    async with target_harness(never_respond) as harness:
        listener = await anyio.create_tcp_listener(local_host=HOST)
        harness.tasks.start_soon(listener.serve, serve)
        harness.client.set_address(
            HOST, listener.extra(anyio.abc.SocketAttribute.local_port)
        )
        result = await harness.run("POST", body=b"x" * 12_000_000, remaining_ms=300.0)
        assert result == Lost("deadline", died=False)


@pytest.mark.parametrize("accepted, died", [(0, True), (2, True), (3, False)])
def test_listener_that_closes_after_its_connections(accepted: int, died: bool) -> None:
    # Guards against missing a death because the listener of the ending process
    # still accepted the first check.
    client = make_target_client(ManualClock(), Metrics(), 100.0, 1)
    results = iter([False] * accepted + [True] * 3)

    async def is_refused(address: tuple[str, int]) -> bool:
        return next(results)

    client._is_refused = is_refused  # type: ignore[method-assign]
    assert anyio.run(client._has_died, ("127.0.0.1", 1)) is died
