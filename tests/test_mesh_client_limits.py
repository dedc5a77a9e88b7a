"""Servers in trouble: bytes without end, and late copies of earlier responses."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager

import pytest

from briardock.mesh import http_client
from briardock.mesh.http1 import (
    ExchangeFailure,
    Request,
    Response,
    encode_request,
    encode_response,
)
from briardock.mesh.http_client import (
    MAX_BODY_BYTES,
    MAX_OVERHEAD_BYTES,
    ClientConnection,
)
from briardock.mesh.memory import RESPONSE_FLOOR_BYTES, RESPONSE_LIMIT_BYTES
from briardock.mesh.model import split_address
from briardock.mesh.server_connection import ServerConnection
from mesh_fakes import fleet, free_address, respond_normally, route

pytestmark = pytest.mark.anyio
REQUEST = encode_request(b"GET", b"/", [], b"")
# Largest number of bytes that a peer gets rid of before it is cut off: the limit, and
# what sockets buffer on the way.
SLACK_BYTES = 8 * 1024 * 1024


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"transfer-encoding: chunked\r\n\r\n"


def endless(start: bytes, part: bytes) -> Iterator[bytes]:
    yield start
    block = part * (1 + 16_384 // len(part))
    while True:
        yield block


TROUBLES = {
    "headers": (OK, b"x-a: b\r\n"),
    "one header": (OK + b"x-a: ", b"b"),
    "status line": (b"HTTP/1.1 200 ", b"OK"),
    "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "chunked body": (CHUNKED, b"400\r\n" + b"x" * 1024 + b"\r\n"),
    "chunks of one byte": (CHUNKED, b"1\r\nx\r\n"),
    "chunk extension": (CHUNKED + b"1;", b"a"),
    "chunk size": (CHUNKED, b"0"),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"x-a: b\r\n"),
    "body until the end": (OK + b"\r\n", b"x"),
    "late copies": (b"", OK + b"request-id: old\r\ncontent-length: 0\r\n\r\n"),
    "no response": (b"", b"\x00\xff"),
}


@asynccontextmanager
async def troubled_server(name: str, sent: list[int]) -> AsyncIterator[str]:
    """Run a server that responds with bytes without end."""

    async def respond(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(4096)
        try:
            for block in endless(*TROUBLES[name]):
                writer.write(block)
                sent[0] += len(block)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.transport.abort()

    address = free_address()
    server = await asyncio.start_server(respond, *split_address(address))
    async with server:
        yield address


async def exchange_with(address: str) -> Response | ExchangeFailure:
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(
        ClientConnection, *split_address(address)
    )
    return await connection.exchange(
        REQUEST, lambda response: (b"request-id", b"old") not in response.headers
    )


@pytest.mark.parametrize("name", TROUBLES)
async def test_bytes_without_end_are_cut_off(name: str) -> None:
    """Only the deadline ended them: 400 MB of a body were taken in 2 s, on machines
    with 200 MB.
    """
    sent = [0]
    async with troubled_server(name, sent) as address, asyncio.timeout(10.0):
        result = await exchange_with(address)
    assert isinstance(result, ExchangeFailure)
    # The request was sent, so it may have run.
    assert result.sent
    in_body = name in ("chunked body", "chunks of one byte", "body until the end")
    limit = 3 * MAX_BODY_BYTES if in_body else MAX_OVERHEAD_BYTES
    assert sent[0] <= limit + SLACK_BYTES


async def test_many_endless_bodies_at_once_stay_within_the_memory() -> None:
    sent = [0]
    most = 0
    async with troubled_server("chunked body", sent) as address:
        tasks = [asyncio.create_task(exchange_with(address)) for _ in range(50)]
        async with asyncio.timeout(30.0):
            while not all(task.done() for task in tasks):
                most = max(most, http_client.DEFAULT_MEMORY.used_bytes)
                await asyncio.sleep(0.001)
    assert all(isinstance(task.result(), ExchangeFailure) for task in tasks)
    assert most <= RESPONSE_LIMIT_BYTES + 50 * (RESPONSE_FLOOR_BYTES + 256 * 1024)
    assert http_client.DEFAULT_MEMORY.used_bytes == 0


@pytest.mark.parametrize("size_bytes", [256, 8 * 1024, 4 * 1024 * 1024])
@pytest.mark.parametrize("framing", ["length", "chunks", "end"])
async def test_an_honest_response_passes(framing: str, size_bytes: int) -> None:
    body = bytes(range(256)) * (size_bytes // 256)

    async def respond(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(4096)
        match framing:
            case "length":
                writer.write(OK + b"content-length: %d\r\n\r\n" % len(body) + body)
            case "chunks":
                parts = [body[at : at + 16] for at in range(0, len(body), 16)]
                data = b"".join(b"10\r\n" + part + b"\r\n" for part in parts)
                writer.write(CHUNKED + data + b"0\r\nx-trailer: 1\r\n\r\n")
            case "end":
                writer.write(OK + b"\r\n" + body)
        await writer.drain()
        writer.close()

    address = free_address()
    server = await asyncio.start_server(respond, *split_address(address))
    async with server:
        result = await exchange_with(address)
    assert isinstance(result, Response)
    assert result.body == body
    assert not [name for name, _ in result.headers if name == b"x-trailer"]


async def test_a_late_copy_without_an_id_does_not_reach_the_next_caller() -> None:
    """A second copy of a failure arrived as the next request was sent, and was taken
    for its response because it named no request.
    """
    async with fleet() as system:
        entry = await system.add("n1", "jobs")
        await system.settle()
        assert (await entry.call("/jobs/1", "first")).status == 200

        async def copy_before_response(request: Request) -> Response:
            (connection,) = entry.target.server.connections
            assert connection._transport is not None
            connection._transport.write(
                b"HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n"
            )
            return await respond_normally(request)

        entry.target.behaviour = copy_before_response
        response = await entry.call("/jobs/2", "second")
        assert (response.status, response.body) == (200, b"response to second")


@pytest.mark.parametrize("max_attempts", [2, 3])
@pytest.mark.parametrize("entry_service", ["jobs", "portal"])
async def test_a_late_copy_of_a_rejection_is_not_taken_for_the_next_answer(
    entry_service: str, max_attempts: int
) -> None:
    """A call was sent again to the target that had rejected it, on the same connection.
    A copy of the rejection was read as the answer, so that the call ran twice or was
    answered as not run (TWICE, REFUSED).
    """
    once = {"kind": "non_idempotent", "max-attempts": max_attempts}
    async with fleet(route("r", "/jobs/", **once)) as system:
        entry = await system.add("n1", entry_service)
        owner = entry if entry_service == "jobs" else await system.add("n2", "jobs")
        await system.settle()
        # Only a call of the local target is sent to the same target again.
        entry.node._entry_routes.observe = lambda *args: False  # type: ignore[method-assign]
        rejection = Response(503, [(b"request-id", b"once"), (b"not-executed", b"1")])
        rejected_on: list[ServerConnection] = []
        runs = []

        async def reject_first(request: Request) -> Response:
            connections = owner.target.server.connections
            if not rejected_on:
                rejected_on.extend(connections)
                return rejection
            if connections == set(rejected_on):
                (connection,) = connections
                assert connection._transport is not None
                connection._transport.write(encode_response(rejection))
            runs.append(request)
            return await respond_normally(request)

        owner.target.behaviour = reject_first
        response = await entry.call("/jobs/1", "once", b"amount")
        assert (response.status, len(runs)) == (200, 1)


@pytest.mark.parametrize("second_entry", ["n1", "n2", "n3"])
async def test_a_late_copy_is_not_taken_for_the_answer_to_an_id_that_comes_again(
    second_entry: str,
) -> None:
    """A request came again under its id, at the same or at another node, after its
    target had rejected it. A copy of the rejection was read as its answer, so that it
    was answered as not run, and ran (REFUSED).
    """
    once = route("r", "/jobs/", **{"kind": "non_idempotent", "max-attempts": 1})
    async with fleet(once) as system:
        for number in (1, 2):
            await system.add(f"n{number}", "portal")
        owner = await system.add("n3", "jobs")
        await system.settle()
        rejection = Response(503, [(b"request-id", b"once"), (b"not-executed", b"1")])
        rejected_on: list[ServerConnection] = []
        runs = []

        async def reject_first(request: Request) -> Response:
            connections = owner.target.server.connections
            if not rejected_on:
                rejected_on.extend(connections)
                return rejection
            for connection in connections & set(rejected_on):
                assert connection._transport is not None
                connection._transport.write(encode_response(rejection))
            runs.append(request)
            return await respond_normally(request)

        owner.target.behaviour = reject_first
        first = await system.machines["n1"].call("/jobs/1", "once", b"amount")
        second = await system.machines[second_entry].call("/jobs/1", "once", b"amount")
        assert (first.status, second.status, len(runs)) == (503, 200, 1)


async def test_a_late_rejection_without_an_id_is_not_taken_for_the_next_answer() -> (
    None
):
    """A target rejects a request without an id, and its answer names none. A copy of it
    was read as the answer to the next request, which was sent again and ran twice.
    """
    once = route("r", "/jobs/", kind="non_idempotent")
    async with fleet(once) as system:
        entry = await system.add("n1", "portal")
        targets = [(await system.add(f"n{n}", "jobs")).target for n in (2, 3)]
        await system.settle()
        rejection = Response(400, [(b"not-executed", b"1")])
        rejected_on: list[ServerConnection] = []
        runs = []

        async def reject_without_id(request: Request) -> Response:
            if not dict(request.headers)[b"request-id"]:
                for target in targets:
                    rejected_on.extend(target.server.connections)
                return rejection
            for target in targets:
                for connection in target.server.connections & set(rejected_on):
                    assert connection._transport is not None
                    connection._transport.write(encode_response(rejection))
            runs.append(request)
            return await respond_normally(request)

        for target in targets:
            target.behaviour = reject_without_id
        await entry.call("/jobs/1", "", b"amount")
        response = await entry.call("/jobs/2", "once", b"amount")
        assert (response.status, len(runs)) == (200, 1)


async def test_a_node_serves_on_beside_a_target_that_sends_without_end() -> None:
    async with fleet() as system:
        entry = await system.add("n1", "portal")
        troubled = await system.add("n2", "jobs")
        await system.settle()

        async def send_without_end(request: Request) -> Response:
            (connection,) = troubled.target.server.connections
            assert connection._transport is not None
            connection._transport.write(OK + b"x-a: " + b"b" * 4 * MAX_OVERHEAD_BYTES)
            return await respond_normally(request)

        troubled.target.behaviour = send_without_end
        assert (await entry.call("/jobs/1", "a")).status == 502
        troubled.target.behaviour = respond_normally
        response = await entry.call("/jobs/2", "b")
        assert (response.status, response.body) == (200, b"response to b")
