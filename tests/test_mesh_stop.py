"""Requests and calls that reach a node after its stop signal."""

import asyncio
import os
import signal
import socket
import time
from dataclasses import replace

import pytest

from briardock.mesh import stopping
from briardock.mesh.http1 import ExchangeFailure, Request, Response
from briardock.mesh.http_client import ClientConnection
from briardock.mesh.model import now_s, split_address
from briardock.overload.shutdown import Shutdown
from mesh_fakes import Fleet, Machine, fleet, respond_normally, route

pytestmark = pytest.mark.anyio

# Short, so that tests are fast; all requests are accepted for half of it.
GRACE_S = 2.0
LONG = route("long", "/jobs/", timeout="5s")
LONG_ONCE = route("long-once", "/once/", kind="non_idempotent", timeout="5s")
SHORT = route("short", "/jobs/short/", timeout="350ms")


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


async def run_slowly(request: Request) -> Response:
    await asyncio.sleep(4.0)
    return await respond_normally(request)


async def start(
    created: Fleet, node_id: str = "n1", grace_s: float = GRACE_S
) -> Machine:
    machine = await created.add(node_id, "jobs")
    machine.settings = replace(machine.settings, grace_s=grace_s)
    machine.node._load_settings = lambda: machine.settings
    machine.node.reload()
    return machine


async def stop_after(machine: Machine, delay_s: float) -> None:
    machine.node._stopping.set()
    await asyncio.sleep(delay_s)


@pytest.mark.parametrize(
    ("path", "after_stop_s", "status"),
    [
        ("/jobs/1", 0.3, 200),
        ("/jobs/1", 1.3, 503),
        ("/once/1", 1.3, 503),
        ("/jobs/short/1", 1.2, 200),
        ("/jobs/short/1", 1.45, 503),
    ],
)
async def test_request_that_may_outlast_a_stopping_node_is_refused_as_not_run(
    path: str, after_stop_s: float, status: int
) -> None:
    """It was accepted until the process exited, and lost with it."""
    async with fleet(LONG, LONG_ONCE, SHORT) as created:
        machine = await start(created)
        await created.settle()
        in_flight = asyncio.create_task(hold(machine, 1.6))
        await asyncio.sleep(0.1)
        await stop_after(machine, after_stop_s)
        response = await machine.call(path)
        assert response.status == status
        is_run = [r for r in machine.target.requests if r.target == path.encode()]
        assert len(is_run) == (status == 200)
        assert status == 200 or b"retry-after" in dict(response.headers)
        assert (await in_flight).status == 200


async def hold(machine: Machine, run_time_s: float) -> Response:
    """Keep the node busy with one request, so that it does not end early."""

    async def run(request: Request) -> Response:
        if request.target == b"/jobs/held":
            await asyncio.sleep(run_time_s)
        return await respond_normally(request)

    machine.target.behaviour = run
    return await machine.call("/jobs/held")


@pytest.mark.parametrize("path", ["/jobs/1", "/once/1"])
async def test_request_in_flight_at_the_end_of_the_grace_period_is_answered(
    path: str,
) -> None:
    """Its connection was closed without an answer when the process exited."""
    async with fleet(LONG, LONG_ONCE) as created:
        machine = await start(created)
        await created.settle()
        machine.target.behaviour = run_slowly
        in_flight = asyncio.create_task(machine.call(path))
        await asyncio.sleep(0.1)
        machine.node._stopping.set()
        async with asyncio.timeout(GRACE_S):
            await machine.task
        assert (await in_flight).status == 504


async def test_queued_request_is_refused_at_the_end_of_the_grace_period() -> None:
    async with fleet(LONG) as created:
        machine = await start(created)
        await created.settle()
        machine.target.behaviour = run_slowly
        tasks = [
            asyncio.create_task(machine.call(f"/jobs/{i}", f"r{i}")) for i in range(8)
        ]
        await asyncio.sleep(0.1)
        machine.node._stopping.set()
        async with asyncio.timeout(GRACE_S):
            await machine.task
        run_ids = {dict(r.headers)[b"request-id"] for r in machine.target.requests}
        for number, task in enumerate(tasks):
            was_run = f"r{number}".encode() in run_ids
            assert (await task).status == (504 if was_run else 503)
        assert 0 < len(run_ids) < len(tasks)


@pytest.mark.parametrize(("path", "status"), [("/once/1", 503), ("/jobs/1", 200)])
async def test_late_call_of_another_node_is_not_lost(path: str, status: int) -> None:
    """The node beside the last instance took calls until its process exited.

    It still takes calls that may be repeated while they are likely to complete.
    """
    async with fleet(LONG, LONG_ONCE) as created:
        last = await start(created)
        other = await created.add("n2", "maps")
        await created.settle()
        for number in range(5):
            assert (await other.call("/jobs/1", f"w{number}")).status == 200
        # A request that is still being read keeps the node from ending early.
        host, port = last.settings.caller_address.split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /jobs/2 HTTP/1.1\r\n")
        await stop_after(last, 1.2)
        response = await other.call(path, "late")
        assert response.status == status
        writer.close()


async def test_grace_period_shortened_during_a_stop_takes_effect() -> None:
    """The node exited at the end of the former grace period, after it was killed."""
    async with fleet(LONG) as created:
        machine = await start(created, grace_s=6.0)
        await created.settle()
        machine.target.behaviour = run_slowly
        in_flight = asyncio.create_task(machine.call("/jobs/1"))
        await asyncio.sleep(0.1)
        await stop_after(machine, 0.2)
        machine.settings = replace(machine.settings, grace_s=GRACE_S)
        machine.node.reload()
        async with asyncio.timeout(GRACE_S - 0.2):
            await machine.task
        assert (await in_flight).status == 504


async def test_grace_period_begins_while_the_process_is_frozen() -> None:
    """The node ended a whole grace period after it ran again, too late."""
    async with fleet(LONG) as created:
        machine = await start(created)
        await created.settle()
        machine.target.behaviour = run_slowly
        in_flight = asyncio.create_task(machine.call("/jobs/1"))
        await asyncio.sleep(0.3)
        os.kill(os.getpid(), signal.SIGTERM)
        # Stands for a frozen process: neither the node nor its signal handler runs.
        time.sleep(1.0)
        async with asyncio.timeout(GRACE_S - 1.0):
            await machine.task
        assert (await in_flight).status == 504


@pytest.mark.parametrize("stopping", [False, True])
async def test_pipelined_requests_are_all_answered(stopping: bool) -> None:
    """A node that was stopping announced the close in the first answer of several."""
    async with fleet(LONG) as created:
        machine = await start(created)
        await created.settle()
        if stopping:
            await stop_after(machine, 0.1)
        host, port = machine.settings.caller_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        for number in range(3):
            head = f"GET /jobs/{number} HTTP/1.1\r\nhost: a.example\r\n"
            writer.write(f"{head}request-id: p{number}\r\n\r\n".encode())
        received = b""
        async with asyncio.timeout(1.0):
            while received.count(b"response to p") < 3:
                received += await reader.read(4096)
        answers = received.split(b"HTTP/1.1 ")[1:]
        closes = [b"connection: close" in answer.lower() for answer in answers]
        assert closes == [False, False, stopping]
        writer.close()


async def test_answer_that_is_read_slowly_is_sent_before_the_node_ends() -> None:
    """The node ended with most of an answer unsent, because its request was done."""
    size = 15_000_000

    async def respond_at_length(request: Request) -> Response:
        response = await respond_normally(request)
        return replace(response, body=b"x" * size)

    async with fleet(LONG) as created:
        machine = await start(created)
        await created.settle()
        machine.target.behaviour = respond_at_length
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        sock.connect(split_address(machine.settings.caller_address))
        reader, writer = await asyncio.open_connection(sock=sock)
        writer.write(b"GET /jobs/1 HTTP/1.1\r\nhost: a.example\r\n\r\n")
        await stop_after(machine, GRACE_S * 0.7)
        assert not machine.task.done()
        async with asyncio.timeout(GRACE_S * 0.2):
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(size)
            writer.close()
            await machine.task


async def test_call_that_arrives_while_the_node_ends_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It was passed on to the target and lost as the process exited."""
    async with fleet(LONG) as created:
        last = await start(created)
        other = await created.add("n2", "maps")
        await created.settle()
        for number in range(5):
            assert (await other.call("/jobs/1", f"w{number}")).status == 200
        monkeypatch.setattr(stopping, "LAST_ANSWERS_S", 4.0)
        await stop_after(last, GRACE_S / 2 + 0.2)
        assert not last.task.done()
        assert (await other.call("/jobs/2", "late")).status == 503
        assert len(last.target.requests) == 5


@pytest.mark.parametrize("after_stop_s", [1.0, 1.2])
async def test_request_on_a_connection_that_was_just_accepted_is_answered(
    monkeypatch: pytest.MonkeyPatch, after_stop_s: float
) -> None:
    """The connection was closed while the request was on its way."""
    # Longer than the pause of this test on a busy machine.
    monkeypatch.setattr(stopping, "MIN_CLOSED_IDLE_S", 0.5)
    async with fleet(LONG) as created:
        machine = await start(created)
        await created.settle()
        in_flight = asyncio.create_task(hold(machine, 1.5))
        await asyncio.sleep(0.1)
        await stop_after(machine, after_stop_s)
        host, port = machine.settings.caller_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        await asyncio.sleep(0.08)
        writer.write(b"GET /jobs/1 HTTP/1.1\r\nhost: a.example\r\n\r\n")
        assert b" 503 " in await reader.readuntil(b"\r\n")
        writer.close()
        assert (await in_flight).status == 200


async def test_no_attempt_starts_after_the_end_of_attempts() -> None:
    """A request that waited for a connection was passed on as the node ended."""
    async with fleet(LONG) as created:
        machine = await created.add("n1", "maps")
        owner = await created.add("n2", "jobs")
        await created.settle()
        pool = machine.node._peer_pool
        acquire = pool.acquire

        async def acquire_late(address: str) -> ClientConnection | ExchangeFailure:
            await asyncio.sleep(0.2)
            return await acquire(address)

        pool.acquire = acquire_late  # type: ignore[method-assign, assignment]
        in_flight = asyncio.create_task(machine.call("/jobs/1"))
        await asyncio.sleep(0.1)
        machine.node.forwarder.end_attempts()
        assert (await in_flight).status == 503
        assert not owner.target.requests


async def test_departure_is_acknowledged_before_the_node_ends() -> None:
    """The node ended while a departure waited for the store."""
    async with fleet(LONG) as created:
        machine = await start(created)
        await created.settle()
        await stop_after(machine, GRACE_S / 2 - 0.2)
        created.store.down = True
        departure = asyncio.create_task(machine.announce("draining"))
        await asyncio.sleep(0.4)
        assert not machine.task.done()
        assert await departure == 200
        async with asyncio.timeout(1.0):
            await machine.task


@pytest.mark.parametrize("frozen_s", [0.0, 0.8])
async def test_grace_period_counts_from_a_signal_received_while_frozen(
    frozen_s: float,
) -> None:
    """The node counted from its continuation and was killed before its end."""
    async with fleet(LONG) as created:
        machine = await start(created)
        await created.settle()
        await asyncio.sleep(0.2)
        signalled_s = now_s()
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(frozen_s)  # noqa: ASYNC251
        await asyncio.sleep(0.1)
        shutdown = machine.node._shutdown
        assert shutdown is not None
        earliest_s = signalled_s - (0.3 if frozen_s else 0.0)
        assert earliest_s <= shutdown.started_s <= signalled_s + 0.05


async def test_request_behind_the_last_answer_does_not_cut_it() -> None:
    """The kernel discarded the rest of an answer, as bytes had not been read."""
    size = 6_000_000

    async def respond_at_length(request: Request) -> Response:
        response = await respond_normally(request)
        return replace(response, body=b"x" * size)

    async with fleet(LONG) as created:
        machine = await start(created, grace_s=6.0)
        await created.settle()
        machine.target.behaviour = respond_at_length
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        sock.connect(split_address(machine.settings.caller_address))
        reader, writer = await asyncio.open_connection(sock=sock)
        await stop_after(machine, 0.1)
        head = b"GET /jobs/1 HTTP/1.1\r\nhost: a.example\r\n\r\n"
        writer.write(head)
        await asyncio.sleep(0.4)
        writer.write(head)
        async with asyncio.timeout(2.0):
            answer = await reader.readuntil(b"\r\n\r\n")
            assert b"connection: close" in answer
            await reader.readexactly(size)
        writer.close()


@pytest.mark.parametrize("path", ["/jobs/1", "/once/1"])
@pytest.mark.parametrize("entry", ["n1", "n2"])
async def test_response_that_was_read_as_the_node_ends_is_not_discarded(
    path: str, entry: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The task of the request was cancelled before it had resumed, and answered 504."""
    async with fleet(LONG, LONG_ONCE) as created:
        await created.add("n1", "jobs")
        await created.add("n2", "maps")
        await created.settle()
        forwarder = created.machines[entry].node.forwarder
        finish = ClientConnection._finish

        def finish_and_end(connection: ClientConnection) -> None:
            finish(connection)
            calls = [state.call for state in forwarder._requests_in_flight]
            if any(call and call.connection is connection for call in calls):
                forwarder.shutdown = Shutdown(now_s(), GRACE_S)
                forwarder.end_attempts()
                assert forwarder.end_requests() == 0

        monkeypatch.setattr(ClientConnection, "_finish", finish_and_end)
        assert (await created.machines[entry].call(path)).status == 200
        assert forwarder.shutdown is not None
