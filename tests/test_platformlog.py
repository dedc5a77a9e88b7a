"""Tests of the log client against the stand-in and against faulty servers."""

import socket
import threading
from collections.abc import Awaitable, Callable, Iterator
from typing import TypeVar

import anyio
import httpx
import pytest

from briardock import platformlog
from briardock.clock import ManualClock
from briardock.platformlog import (
    FailureKind,
    LogClient,
    LogFailure,
    ReadResult,
    make_log_client,
)
from briardock_standins.log import BURST_APPENDS
from log_service import LogService, running_log

BODY = b"\x00binary\xff"
Result = TypeVar("Result")


@pytest.fixture(scope="module")
def service() -> Iterator[LogService]:
    with running_log(retention_records=50) as running:
        yield running


def run_client(
    port: int,
    action: Callable[[LogClient], Awaitable[Result]],
    timeout_ms: float = 2_000.0,
) -> Result:
    """Run an action with a client and close it."""

    async def run() -> Result:
        client = make_log_client("127.0.0.1", port, timeout_ms)
        try:
            return await action(client)
        finally:
            await client.close()

    return anyio.run(run)


def test_records_are_read_back_complete_and_in_order(service: LogService) -> None:
    async def action(client: LogClient) -> ReadResult | LogFailure:
        offsets = [await client.append("order", BODY + bytes([n])) for n in range(5)]
        assert offsets == [0, 1, 2, 3, 4]
        return await client.read("order", 1, 3)

    result = run_client(service.port, action)
    assert isinstance(result, ReadResult)
    assert (result.first, result.next) == (0, 5)
    read_back = [(record.offset, record.body) for record in result.records]
    assert read_back == [(n, BODY + bytes([n])) for n in (1, 2, 3)]


def test_trimming_raises_the_first_offset(service: LogService) -> None:
    async def action(client: LogClient) -> ReadResult | LogFailure:
        for _ in range(60):
            await client.append("trimmed", b"x")
        return await client.read("trimmed", 0, 100)

    result = run_client(service.port, action)
    assert isinstance(result, ReadResult)
    assert (result.first, result.next, len(result.records)) == (10, 60, 50)


def test_read_waits_for_the_next_record(service: LogService) -> None:
    async def action(client: LogClient) -> None:
        results: list[ReadResult | LogFailure] = []

        async def read() -> None:
            results.append(await client.read("wait", 0, 10, 10_000))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read)
            await anyio.sleep(0.05)
            assert not results
            await client.append("wait", b"x")
        assert isinstance(results[0], ReadResult) and len(results[0].records) == 1

    run_client(service.port, action)


@pytest.mark.parametrize(
    "mode, kind, outcome_unknown, written_count",
    [
        ("outage", FailureKind.REFUSED, False, 0),
        ("lose_ack", FailureKind.LOST_ACK, True, 1),
        ("slow", FailureKind.TIMEOUT, True, None),
    ],
)
def test_service_fault_is_reported_with_its_kind(
    service: LogService,
    mode: str,
    kind: FailureKind,
    outcome_unknown: bool,
    written_count: int | None,
) -> None:
    # Guards against a lost acknowledgement that is reported as a refusal, after which
    # a publisher would report that nothing was published.
    stream = f"fault-{mode}"
    service.set_fault(mode, delay_ms=600, count=1)

    async def append(client: LogClient) -> int | LogFailure:
        return await client.append(stream, b"x")

    failure = run_client(service.port, append, timeout_ms=200)
    assert isinstance(failure, LogFailure)
    assert (failure.kind, failure.outcome_unknown) == (kind, outcome_unknown)

    async def read(client: LogClient) -> ReadResult | LogFailure:
        return await client.read(stream, 0, 10)

    result = run_client(service.port, read)
    assert isinstance(result, ReadResult)
    assert written_count is None or result.next == written_count


def test_append_rate_is_limited_and_refused_records_are_not_written() -> None:
    clock = ManualClock()

    async def action(client: LogClient) -> None:
        for _ in range(2):
            results = [await client.append("rate", b"x") for _ in range(120)]
            refused = [item for item in results if isinstance(item, LogFailure)]
            assert len(refused) == 120 - BURST_APPENDS
            assert all("429" in item.detail for item in refused)
            assert not any(item.outcome_unknown for item in refused)
            clock.advance(1000.0)
        result = await client.read("rate", 0, 1)
        assert isinstance(result, ReadResult) and result.next == 2 * BURST_APPENDS

    with running_log(clock=clock) as limited:
        run_client(limited.port, action)


@pytest.mark.parametrize(
    "method, path, body, status",
    [
        ("GET", "/health", "", 200),
        ("GET", "/nothing", "", 404),
        ("PUT", "/streams/x", "", 405),
        ("GET", "/streams/x?from=a", "", 400),
        ("GET", "/streams/x?from=-1", "", 400),
        ("GET", "/streams/x?limit=0", "", 400),
        ("GET", "/streams/x?wait_ms=1e9", "", 400),
        ("POST", "/faults", '{"mode":"other"}', 400),
    ],
)
def test_stand_in_returns_the_status_of_a_request(
    service: LogService, method: str, path: str, body: str, status: int
) -> None:
    response = httpx.request(method, f"http://{service.address}{path}", content=body)
    assert response.status_code == status


def test_refused_connection_is_reported_as_not_written() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]

    async def action(client: LogClient) -> int | LogFailure:
        return await client.append("s", b"x")

    failure = run_client(port, action)
    assert isinstance(failure, LogFailure)
    assert (failure.kind, failure.outcome_unknown) == (FailureKind.REFUSED, False)


def _response(status: str, body: bytes, length: int | None = None) -> bytes:
    size = len(body) if length is None else length
    return f"HTTP/1.1 {status}\r\nContent-Length: {size}\r\n\r\n".encode() + body


class CannedServer:
    """Server that sends one fixed response per connection and closes it."""

    def __init__(self, response: bytes) -> None:
        self._response = response
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self.connection_count = 0
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connection_count += 1
            with connection:
                connection.recv(65536)
                connection.sendall(self._response)

    def close(self) -> None:
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._thread.join()


@pytest.mark.parametrize(
    "response, kind, outcome_unknown",
    [
        (b"", FailureKind.LOST_ACK, True),
        (b"HTTP/1.1 200 OK\r\n", FailureKind.LOST_ACK, True),
        (_response("200 OK", b'{"off', 99), FailureKind.LOST_ACK, True),
        (b"garbage\r\n\r\n", FailureKind.BAD_ANSWER, True),
        (_response("200 OK", b"{}"), FailureKind.BAD_ANSWER, True),
        (_response("200 OK", b"\xff"), FailureKind.BAD_ANSWER, True),
        (_response("500 Error", b"oops"), FailureKind.BAD_ANSWER, True),
        (_response("503 Busy", b""), FailureKind.REFUSED, False),
        (_response("404 Not Found", b""), FailureKind.REFUSED, False),
        (_response("200 OK", b"x" * 2000), FailureKind.BAD_ANSWER, True),
    ],
)
def test_bad_response_to_an_append_is_reported_with_its_kind(
    response: bytes,
    kind: FailureKind,
    outcome_unknown: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(platformlog, "MAX_RESPONSE_BYTES", 1000)
    server = CannedServer(response)

    async def action(client: LogClient) -> int | LogFailure:
        return await client.append("s", b"x")

    try:
        failure = run_client(server.port, action)
    finally:
        server.close()
    assert isinstance(failure, LogFailure)
    assert (failure.kind, failure.outcome_unknown) == (kind, outcome_unknown)


@pytest.mark.parametrize(
    "response_body",
    [
        b'{"first":0,"next":2,"records":[{"offset":1,"body":""},{"offset":1,"body":""}]}',
        b'{"first":0,"next":2,"records":[{"offset":0,"body":""}]}',
        b'{"first":5,"next":2,"records":[]}',
        b'{"first":0,"next":2,"records":[{"offset":1,"body":"%%"}]}',
    ],
)
def test_inconsistent_read_is_refused(response_body: bytes) -> None:
    server = CannedServer(_response("200 OK", response_body))

    async def action(client: LogClient) -> ReadResult | LogFailure:
        return await client.read("s", 1, 10)

    try:
        failure = run_client(server.port, action)
    finally:
        server.close()
    assert isinstance(failure, LogFailure)
    assert failure.kind is FailureKind.BAD_ANSWER


def test_read_replaces_a_connection_closed_while_idle() -> None:
    # Guards against a reader that reports an outage whenever the service closed an
    # idle connection.
    server = CannedServer(_response("200 OK", b'{"first":0,"next":0,"records":[]}'))

    async def action(client: LogClient) -> list[ReadResult | LogFailure]:
        return [await client.read("s", 0, 10) for _ in range(3)]

    try:
        results = run_client(server.port, action)
    finally:
        server.close()
    assert all(isinstance(item, ReadResult) for item in results)
    assert server.connection_count == 3


def test_oversized_record_is_refused_before_it_is_sent() -> None:
    async def action(client: LogClient) -> int | LogFailure:
        return await client.append("s", bytes(platformlog.MAX_RECORD_BYTES + 1))

    failure = run_client(1, action)
    assert isinstance(failure, LogFailure)
    assert (failure.kind, failure.outcome_unknown) == (FailureKind.REFUSED, False)
