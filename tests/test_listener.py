"""HTTP listener: framing, limits, disconnects and graceful stop."""

import contextlib
import errno
import json
import os
import socket

import anyio
import anyio.abc
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from briardock._http import has_input, stream_fd
from briardock._httpconnection import HttpConnection, HttpResponse
from listener_fakes import GET, HOST, LIMITS, Caller, connect, running_listener

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


@pytest.mark.parametrize(
    ("data", "body"),
    [
        pytest.param(GET, b"GET", id="get"),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc",
            b"POSTabc",
            id="content-length",
        ),
        pytest.param(
            b"PUT / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
            b"PUTabc",
            id="chunked",
        ),
        pytest.param(
            b"GET http://h:1/p HTTP/1.1\r\nHost: x\r\n\r\n", b"GET", id="absolute-form"
        ),
    ],
)
async def test_connection_is_kept_after_a_response(data: bytes, body: bytes):
    """Guards against misread framing and unnecessary closing of connections."""
    async with running_listener() as server:
        caller = await connect(server)
        for _ in range(150):
            response = await caller.send_request(data)
            assert (response.status, response.body) == (200, body)
            assert response.headers["x-seen"] == "1"
            assert "connection" not in response.headers
        assert len(server.requests) == 150


async def test_request_fields():
    """Guards against forwarding hop-by-hop fields to the target."""
    async with running_listener() as server:
        caller = await connect(server)
        await caller.send_request(
            b"GET http://h:1/p?q=1 HTTP/1.1\r\nHost: x\r\nConnection: X-Hop\r\n"
            b"X-Hop: 1\r\nKeep-Alive: 5\r\nAccept: */*\r\n\r\n"
        )
        request = server.requests[0]
        assert (request.method, request.path) == ("GET", "/p?q=1")
        assert request.headers == ((b"accept", b"*/*"),)
        assert request.peer.startswith("127.0.0.1:")


async def test_pipelined_requests_are_served_in_order():
    """Guards against losing a request that is read together with the previous one."""
    async with running_listener() as server:
        caller = await connect(server)
        first = await caller.send_request(GET + GET.replace(b"GET", b"PUT"))
        second = await caller.read_response()
        assert (first.body, second.body) == (b"GET", b"PUT")


@pytest.mark.parametrize(
    ("path", "expected"), [(b"/length", "9"), (b"/a", None), (b"/no-content", None)]
)
async def test_response_without_body(path: bytes, expected: str | None):
    """Guards against a body after HEAD or 204, which corrupts the next response."""
    async with running_listener() as server:
        caller = await connect(server)
        await caller.stream.send(b"HEAD " + path + b" HTTP/1.1\r\nHost: x\r\n\r\n")
        head = await caller.read_response(has_body=False)
        assert head.headers.get("content-length") == expected
        await caller.stream.send(b"GET /no-content HTTP/1.1\r\nHost: x\r\n\r\n")
        empty = await caller.read_response()
        assert (empty.status, "content-length" in empty.headers) == (204, False)
        assert (await caller.send_request(GET)).body == b"GET"


async def test_expect_continue():
    """Guards against callers that never receive 100 Continue."""
    async with running_listener() as server:
        caller = await connect(server)
        interim = await caller.send_request(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
            b"Expect: 100-continue\r\n\r\n"
        )
        assert interim.status == 100
        assert (await caller.send_request(b"ab")).body == b"POSTab"


@pytest.mark.parametrize(
    ("data", "status", "reason"),
    [
        pytest.param(b"\x16\x03\x01\x02\x00\r\n\r\n", 400, "bad-request", id="tls"),
        pytest.param(b"GET / HTTP/9.9\r\n\r\n", 505, "bad-request", id="version"),
        pytest.param(b"GET / HTTP/1.1\r\n\r\n", 400, "bad-request", id="no-host"),
        pytest.param(
            b"GET / HTTP/1.1\r\nHost: x\r\nbad header\r\n\r\n",
            400,
            "bad-request",
            id="header-line",
        ),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
            400,
            "bad-request",
            id="length",
        ),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            400,
            "bad-request",
            id="chunk",
        ),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n",
            501,
            "bad-request",
            id="coding",
        ),
        pytest.param(
            b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"a" * 2_000 + b"\r\n\r\n",
            431,
            "bad-request",
            id="complete-header-too-large",
        ),
        pytest.param(
            b"GET / HTTP/1.1\r\nA: " + b"a" * 5_000,
            431,
            "bad-request",
            id="partial-header-too-large",
        ),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n",
            413,
            "body-too-large",
            id="declared-body-too-large",
        ),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"65\r\n" + b"a" * 101 + b"\r\n0\r\n\r\n",
            413,
            "body-too-large",
            id="chunked-body-too-large",
        ),
    ],
)
async def test_bad_request_gets_a_response_with_reason(
    data: bytes, status: int, reason: str
):
    """Guards against bad input that stops the process or gets no response."""
    async with running_listener() as server:
        caller = await connect(server)
        response = await caller.send_request(data)
        payload = json.loads(response.body)
        assert (response.status, payload["reason"]) == (status, reason)
        assert payload["outcome"] == response.headers["briardock-outcome"] == "not-run"
        assert payload["remedy"]
        assert response.headers["connection"] == "close"
        assert await caller.is_closed()
        assert server.metrics.counters[f"listener.refused.{reason}"] == 1
        assert server.requests == []
        assert (await (await connect(server)).send_request(GET)).status == 200


async def test_too_many_connections():
    """Guards against callers that wait for a connection that is never served."""
    async with running_listener() as server:
        callers = [await connect(server) for _ in range(LIMITS.max_connections)]
        for caller in callers:
            await caller.send_request(GET)
        refused = await (await connect(server)).read_response()
        assert refused.status == 503
        assert json.loads(refused.body)["reason"] == "overloaded"
        await callers[0].stream.aclose()
        while (await (await connect(server)).send_request(GET)).status != 200:
            await anyio.sleep(0.01)


@pytest.mark.parametrize("path", [b"/fail", b"/invalid"])
async def test_handler_error_gives_unknown(path: bytes):
    """Guards against "not run" for a request that the handler dispatched."""
    async with running_listener() as server:
        caller = await connect(server)
        response = await caller.send_request(
            b"GET " + path + b" HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        payload = json.loads(response.body)
        assert response.status == 500
        assert (payload["outcome"], payload["reason"]) == ("unknown", "internal-error")
        assert server.metrics.counters["listener.handler_errors"] == 1
        assert (await (await connect(server)).send_request(GET)).status == 200


@pytest.mark.parametrize("half_close", [False, True])
async def test_disconnect_cancels_handler(half_close: bool):
    """Guards against running requests of callers that have disconnected."""
    async with running_listener() as server:
        caller = await connect(server)
        other = await connect(server)
        await caller.stream.send(b"GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
        await server.started.wait()
        if half_close:
            await caller.stream.send_eof()
        else:
            await caller.stream.aclose()
        await server.cancelled.wait()
        assert server.metrics.counters["listener.cancelled"] == 1
        assert (await other.send_request(GET)).status == 200


async def test_request_of_disconnected_caller_is_not_started():
    """Guards against running a request whose caller disconnected before it was read."""
    async with running_listener() as server:
        caller = await connect(server)
        await caller.send_request(GET)
        second = GET.replace(b"GET", b"PUT")
        await caller.stream.send(b"GET /wait HTTP/1.1\r\nHost: x\r\n\r\n" + second)
        await server.started.wait()
        await caller.stream.send_eof()
        await server.cancelled.wait()
        assert await caller.is_closed()
        assert [request.method for request in server.requests] == ["GET", "GET"]


async def test_stop_finishes_running_requests_and_closes_idle_connections():
    """Guards against requests interrupted by a graceful shutdown."""
    async with running_listener() as server:
        idle = await connect(server)
        await idle.send_request(GET)
        busy = await connect(server)
        await busy.stream.send(b"GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
        await server.started.wait()
        server.control.stop_accepting()
        assert await idle.is_closed()
        with pytest.raises(OSError):
            await connect(server)
        assert not server.returned.is_set()
        server.release.set()
        response = await busy.read_response()
        assert (response.status, response.headers["connection"]) == (200, "close")
        assert await busy.is_closed()
        await server.returned.wait()


async def test_stop_serves_request_that_has_arrived():
    """Guards against losing unread requests of a connection that is closed as idle."""
    async with running_listener() as server:
        caller = await connect(server)
        await caller.send_request(GET)
        # A synchronous write does not let the listener run before it is stopped.
        raw = caller.stream.extra(anyio.abc.SocketAttribute.raw_socket)
        os.write(raw.fileno(), GET)
        server.control.stop_accepting()
        assert (await caller.read_response()).status == 200
        assert await caller.is_closed()
        await server.returned.wait()


async def test_stop_serves_request_that_arrives_as_its_connection_is_closed(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against losing a request that arrives between the idle check of a
    connection and its close, which run in different iterations of the event loop.
    The caller got no response.
    """
    async with running_listener() as server:
        caller = await connect(server)
        await caller.send_request(GET)
        raw = caller.stream.extra(anyio.abc.SocketAttribute.raw_socket)

        def check_then_send(stream: anyio.abc.SocketStream) -> bool:
            monkeypatch.setattr("briardock._httpconnection.has_input", has_input)
            found = has_input(stream)
            os.write(raw.fileno(), GET)
            return found

        monkeypatch.setattr("briardock._httpconnection.has_input", check_then_send)
        server.control.stop_accepting()
        response = await caller.read_response()
        assert (response.status, response.headers["connection"]) == (200, "close")
        assert await caller.is_closed()
        await server.returned.wait()


async def test_stop_serves_request_sent_after_a_keep_alive_response(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against closing right after a response that kept the connection open."""
    async with running_listener() as server:
        caller = await connect(server)
        raw = caller.stream.extra(anyio.abc.SocketAttribute.raw_socket)
        respond = HttpConnection._respond

        async def stop_after(
            connection: HttpConnection, method: str, http_response: HttpResponse
        ) -> bool:
            kept = await respond(connection, method, http_response)
            if len(server.requests) == 1:
                os.write(raw.fileno(), GET)
                server.control.stop_accepting()
                while not connection._context.stopping:
                    await anyio.sleep(0)
            return kept

        monkeypatch.setattr(HttpConnection, "_respond", stop_after)
        assert (await caller.send_request(GET)).status == 200
        response = await caller.read_response()
        assert (response.status, response.headers["connection"]) == (200, "close")
        await server.returned.wait()


async def test_stop_serves_connections_in_the_listen_backlog():
    """Guards against resets of connections that the kernel had established."""
    async with running_listener() as server:
        # A blocking socket does not let the listener run before it is stopped.
        with socket.create_connection((HOST, server.port)) as raw:
            raw.sendall(GET)
            server.control.stop_accepting()
            raw.setblocking(False)
            stream = await anyio.abc.SocketStream.from_socket(raw.dup())
            response = await Caller(stream).read_response()
            assert (response.status, response.headers["connection"]) == (200, "close")
            await server.returned.wait()


async def test_stop_waits_for_the_first_request_of_a_connection():
    """Guards against resets of callers that connected just before the stop."""
    async with running_listener() as server:
        caller = await connect(server)
        unused = await connect(server)
        await anyio.sleep(0.02)
        server.control.stop_accepting()
        await anyio.sleep(0.02)
        assert (await caller.send_request(GET)).status == 200
        assert await unused.is_closed()
        await server.returned.wait()


@pytest.mark.parametrize(
    ("sent", "closes"),
    [
        pytest.param(b"", True, id="idle"),
        pytest.param(b"GET / HT", True, id="partial-head"),
        pytest.param(b"GET /wait HTTP/1.1\r\nHost: x\r\n\r\n", False, id="running"),
    ],
)
async def test_idle_timeout(sent: bytes, closes: bool):
    """Guards against idle connections that use up the connection limit."""
    async with running_listener() as server:
        caller = await connect(server)
        await caller.send_request(GET)
        if sent:
            await caller.stream.send(sent)
        async with anyio.create_task_group() as tasks:
            if not closes:
                await server.started.wait()
            tasks.start_soon(server.advance, LIMITS.idle_timeout_s * 1000.0 + 1.0)
            if closes:
                assert await caller.is_closed()
                assert server.metrics.counters["listener.idle_closed"] == 1
            else:
                await anyio.sleep(0.6)
            tasks.cancel_scope.cancel()
        if not closes:
            server.release.set()
            assert (await caller.read_response()).status == 200


class FailingListener(anyio.abc.Listener[anyio.abc.SocketStream]):
    """Listener whose first ``serve`` fails with EMFILE."""

    def __init__(self, inner: anyio.abc.Listener) -> None:
        self.inner = inner
        self.failed = False

    async def serve(self, handler, task_group=None) -> None:
        if not self.failed:
            self.failed = True
            raise OSError(errno.EMFILE, "Too many open files")
        await self.inner.serve(handler, task_group)

    async def aclose(self) -> None:
        await self.inner.aclose()


async def test_failed_accept_is_retried():
    """Guards against a listener that stops when file descriptors run out."""
    async with running_listener(FailingListener) as server:
        assert (await (await connect(server)).send_request(GET)).status == 200


@pytest.mark.parametrize(
    ("action", "expected"),
    [
        pytest.param("none", False, id="no-input"),
        pytest.param("write", True, id="input-in-socket-buffer"),
        pytest.param("close", True, id="closed"),
        pytest.param("read-ahead", True, id="input-read-ahead"),
    ],
)
async def test_has_input(action: str, expected: bool):
    """Guards against closing or reusing a connection that has unread input."""
    listener = await anyio.create_tcp_listener(local_host=HOST)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    client_stream = await anyio.connect_tcp(HOST, port)
    server_stream = await listener.listeners[0].accept()
    async with client_stream, server_stream, listener:
        if action in ("write", "read-ahead"):
            os.write(stream_fd(server_stream), b"ab")
        if action == "read-ahead":
            await client_stream.receive(1)
        if action == "close":
            await server_stream.aclose()
        assert has_input(client_stream) is expected


@settings(max_examples=40, deadline=None)
@given(data=st.binary(max_size=300), prefix=st.sampled_from([b"", GET, GET[:-2]]))
def test_listener_survives_any_input(data: bytes, prefix: bytes):
    """Guards against input that stops the process or the requests of other callers."""

    async def run() -> None:
        async with running_listener() as server:
            caller = await connect(server)
            with contextlib.suppress(anyio.BrokenResourceError):
                await caller.stream.send(prefix + data)
                await caller.stream.send_eof()
            while not await caller.is_closed():
                pass
            assert (await (await connect(server)).send_request(GET)).status == 200

    anyio.run(run, backend_options={"use_uvloop": True})
