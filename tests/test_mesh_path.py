"""Request path of the mesh over real sockets, with nodes, targets and the store."""

import asyncio
import socket
import time
from dataclasses import replace
from typing import NoReturn

import pytest

from briardock.exceptions import SettingsError
from briardock.mesh import server_connection
from briardock.mesh.http1 import Request, Response
from briardock.mesh.model import split_address
from briardock.mesh.node import Node
from briardock.overload.admission import OPEN_THRESHOLD
from briardock.platform._dialect import PlatformDialect
from briardock.platform._store import PlatformStore
from mesh_fakes import (
    Behaviour,
    config,
    eventually,
    fleet,
    free_address,
    quiet_log,
    respond_normally,
    route,
    send,
)

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


async def fail_with(status: int, *headers: tuple[bytes, bytes]) -> Response:
    return Response(status, list(headers))


async def test_request_reaches_the_target_through_two_nodes_unchanged() -> None:
    async with fleet() as system:
        entry = await system.add("n1", "portal")
        owner = await system.add("n2", "jobs")
        await system.settle()
        response = await entry.call("/jobs/7?x=1", body=b"abc", deadline_ms="1500")
        assert (response.status, response.body) == (200, b"response to r1")
        assert dict(response.headers)[b"response-signature"] == b"s"
        (request,) = owner.target.requests
        headers = dict(request.headers)
        assert (request.target, request.body) == (b"/jobs/7?x=1", b"abc")
        assert headers[b"caller-service"] == b"portal"
        assert headers[b"expected-instance"] == b"i-n2"
        assert 0 < int(headers[b"deadline-ms"]) <= 1500
        assert not [name for name in headers if name.startswith(b"briardock")]


async def test_caller_cannot_set_what_nodes_set() -> None:
    """Forged headers of a service or a call must not reach the target."""
    async with fleet() as system:
        entry = await system.add("n1", "jobs")
        await system.settle()
        await entry.call("/jobs/7", caller_service="bank", briardock_call="x")
        headers = entry.target.requests[0].headers
        assert [v for n, v in headers if n == b"caller-service"] == [b"jobs"]
        assert not [n for n, _ in headers if n.startswith(b"briardock")]


async def test_unknown_route_is_404_and_missing_configuration_503() -> None:
    """A node without configuration must not claim that a route is missing."""
    async with fleet() as system:
        entry = await system.add("n1", "jobs")
        await system.settle()
        assert (await entry.call("/other/7")).status == 404
        entry.node.forwarder.routes = None
        assert (await entry.call("/jobs/7")).status == 503


async def test_leaving_target_gets_nothing_after_its_acknowledgement() -> None:
    """Requests that other nodes still send to it must be refused as not run."""
    async with fleet() as system:
        entry = await system.add("n1", "portal")
        owner = await system.add("n2", "jobs")
        await system.settle()
        system.store.down = True
        assert await owner.announce("draining") == 200
        response = await entry.call("/jobs/7")
        assert response.status == 503
        assert float(dict(response.headers)[b"retry-after"]) > 0
        assert not owner.target.requests
        assert await owner.announce("ready") == 200
        assert (await entry.call("/jobs/7")).status == 503


async def test_rejected_non_idempotent_request_is_retried_on_another_target() -> None:
    async with fleet(route("r", "/jobs/", kind="non_idempotent")) as system:
        entry = await system.add("n1", "portal")
        first = await system.add("n2", "jobs")
        second = await system.add("n3", "jobs")
        await system.settle()
        for machine in (first, second):
            machine.target.behaviour = lambda r: fail_with(503, (b"not-executed", b"1"))
        response = await entry.call("/jobs/7", body=b"x")
        assert response.status == 503
        assert len(first.target.requests) == len(second.target.requests) == 1


@pytest.mark.parametrize(
    ("kind", "expected", "arrivals"),
    [("non_idempotent", 502, 1), ("idempotent", 200, 2)],
)
async def test_lost_response_is_retried_only_if_idempotent(
    kind: str, expected: int, arrivals: int
) -> None:
    """A non-idempotent request, such as a booking, must neither run twice nor be
    refused as not run after it has run.
    """
    async with fleet(route("r", "/jobs/", kind=kind)) as system:
        entry = await system.add("n1", "portal")
        owners = [await system.add(n, "jobs") for n in ("n2", "n3")]
        await system.settle()
        lost = False

        async def lose_once(request: Request) -> Response:
            nonlocal lost
            if not lost:
                lost = True
                for owner in owners:
                    for connection in list(owner.target.server.connections):
                        connection.close_gracefully()
            return await respond_normally(request)

        for owner in owners:
            owner.target.behaviour = lose_once
        response = await entry.call("/jobs/7", body=b"x")
        assert response.status == expected
        assert sum(len(o.target.requests) for o in owners) == arrivals


@pytest.mark.parametrize(("threshold", "arrivals"), [(OPEN_THRESHOLD, 2), (5.0, 1)])
async def test_failed_response_is_retried_only_without_overload(
    threshold: float, arrivals: int
) -> None:
    """Retries of requests that failed for lack of capacity add to the overload."""
    async with fleet() as system:
        entry = await system.add("n1", "portal")
        owners = [await system.add(n, "jobs") for n in ("n2", "n3")]
        await system.settle()
        for owner in owners:
            owner.target.behaviour = lambda r: fail_with(500)
        thresholds = entry.node.forwarder._thresholds._of_entry
        thresholds.of_chain = lambda service, limit, now: threshold  # type: ignore[method-assign]
        entry.node.forwarder._thresholds._by_service.clear()
        response = await entry.call("/jobs/7")
        assert response.status == 500
        assert sum(len(o.target.requests) for o in owners) == arrivals


async def test_failed_response_is_kept_if_the_retry_does_not_complete() -> None:
    """The failed response of the target must not be replaced by 502."""
    async with fleet() as system:
        entry = await system.add("n1", "portal")
        owners = [await system.add(n, "jobs") for n in ("n2", "n3")]
        await system.settle()
        received: list[Request] = []

        async def fail_then_reject(request: Request) -> Response:
            received.append(request)
            if len(received) == 1:
                return await fail_with(500, (b"x-reason", b"first"))
            return await fail_with(503, (b"not-executed", b"1"))

        for owner in owners:
            owner.target.behaviour = fail_then_reject
        response = await entry.call("/jobs/7")
        assert len(received) == 2
        assert (response.status, dict(response.headers)[b"x-reason"]) == (500, b"first")


async def test_timeout_of_the_route_ends_a_request_in_time() -> None:
    async with fleet(route("r", "/jobs/", timeout="300ms")) as system:
        entry = await system.add("n1", "jobs")
        await system.settle()

        async def hang(request: Request) -> Response:
            await asyncio.sleep(5)
            return await respond_normally(request)

        entry.target.behaviour = hang
        loop = asyncio.get_running_loop()
        started = loop.time()
        assert (await entry.call("/jobs/7", deadline_ms="4000")).status == 504
        assert 0.25 < loop.time() - started < 0.55


async def test_response_to_another_request_is_skipped() -> None:
    """A late response to another request must not reach this caller."""
    async with fleet() as system:
        entry = await system.add("n1", "jobs")
        await system.settle()

        async def respond_twice(request: Request) -> Response:
            (connection,) = entry.target.server.connections
            late_response = b"HTTP/1.1 200 OK\r\nrequest-id: old\r\n"
            late_response += b"response-signature: s\r\ncontent-length: 3\r\n\r\nold"
            assert connection._transport is not None
            connection._transport.write(late_response)
            return await respond_normally(request)

        entry.target.behaviour = respond_twice
        response = await entry.call("/jobs/7", "new")
        assert (response.status, response.body) == (200, b"response to new")


async def test_success_without_signature_is_not_passed_on() -> None:
    async with fleet(route("r", "/jobs/", kind="non_idempotent")) as system:
        entry = await system.add("n1", "jobs")
        await system.settle()
        entry.target.behaviour = lambda r: fail_with(200)
        assert (await entry.call("/jobs/7")).status == 502


async def test_disconnected_caller_frees_the_slot_of_its_request() -> None:
    async with fleet() as system:
        entry = await system.add("n1", "portal")
        owner = await system.add("n2", "jobs")
        await system.settle()

        async def hang(request: Request) -> Response:
            await asyncio.sleep(5)
            return await respond_normally(request)

        owner.target.behaviour = hang
        task = asyncio.create_task(entry.call("/jobs/7"))

        async def runs() -> bool:
            return owner.node.target.running == 1

        async def freed() -> bool:
            return owner.node.target.running == 0

        await eventually(runs)
        task.cancel()
        await eventually(freed, timeout_s=1.0)


async def test_configuration_reaches_nodes_that_cannot_read_the_store() -> None:
    """A node partitioned from the store learns new versions from its peers."""
    async with fleet() as system:
        first = await system.add("n1", "jobs")
        second = await system.add("n2", "jobs")
        await system.settle()
        second.node.replicator._store._address = free_address()  # type: ignore[attr-defined]
        system.store.put("keyed.op", "config", config(9, route("r", "/new/")))

        async def installed() -> bool:
            versions = {m.node.replicator.config_version for m in (first, second)}
            return versions == {9}

        await eventually(installed, timeout_s=4.0)
        system.store.put("keyed.op", "config", config(5, route("r", "/old/")))
        await asyncio.sleep(0.5)
        assert await installed()


async def test_restarted_node_learns_everything_from_peers_without_the_store() -> None:
    async with fleet() as system:
        entry = await system.add("n1", "portal")
        owner = await system.add("n2", "jobs")
        await system.settle()
        system.store.down = True
        restarted = await system.restart(entry.settings.node_id)
        await system.settle()
        assert (await restarted.call("/jobs/7")).status == 200
        assert len(owner.target.requests) == 1


async def test_ready_only_with_a_configuration_and_until_the_stop() -> None:
    async with fleet() as system:
        machine = await system.add("n1", "jobs")
        await system.settle()
        address = machine.settings.ready_address
        assert (await send(address, "/ready")).status == 200
        machine.node._stopping.set()
        assert (await send(address, "/ready")).status == 503
        assert (await machine.call("/jobs/7")).status == 200


async def test_bodies_above_the_memory_limit_are_refused() -> None:
    """The limit for one body does not bound the memory for many at once."""
    async with fleet() as system:
        machine = await system.add("n1", "jobs")
        await system.settle()
        machine.node.memory.limit_bytes = 100_000
        response = await machine.call("/jobs/7", body=b"x" * 400_000)
        assert response.status in (0, 503)
        assert not machine.target.requests
        assert (await machine.call("/jobs/7", body=b"x" * 50_000)).status == 200
        assert machine.node.memory.used_bytes == 0


async def test_valid_changes_of_settings_take_effect_and_invalid_ones_do_not() -> None:
    """A damaged settings file must not stop a running node."""
    async with fleet(route("r", "/jobs/"), route("m", "/maps/", service="maps")) as s:
        machine = await s.add("n1", "jobs")
        await s.settle()
        changed = replace(machine.settings, service="maps", caller_address="x:1")
        machine.node._load_settings = lambda: changed
        machine.node.reload()
        assert machine.node.settings.caller_address != "x:1"
        machine.settings = changed
        assert (await send(machine.settings.ready_address, "/ready")).status == 200
        await machine.announce()
        machine.settings = replace(
            changed, caller_address=machine.node.settings.caller_address
        )
        assert (await machine.call("/maps/7")).status == 200

        def fail() -> NoReturn:
            raise SettingsError("damaged", "correct it")

        machine.node._load_settings = fail
        machine.node.reload()
        assert (await machine.call("/maps/7")).status == 200


async def test_caller_gets_a_response_if_a_handler_raises() -> None:
    """Without a response the caller would wait until its timeout."""
    async with fleet() as system:
        machine = await system.add("n1", "jobs")
        await system.settle()

        async def raise_error(request: Request) -> Response:
            raise KeyError("defect")

        machine.node._caller_server._handler = raise_error
        assert (await machine.call("/jobs/7")).status == 500


async def test_startup_failure_names_the_address_in_use() -> None:
    """A node must not exit silently if another process listens on its address."""
    async with fleet() as system:
        machine = await system.add("n1", "jobs")
        taken = replace(machine.settings, node_id="n2")
        store = PlatformStore(taken.store_address)
        node = Node(taken, PlatformDialect(), store, quiet_log(), lambda: taken)
        with pytest.raises(SettingsError, match="cannot listen on") as raised:
            await node.run()
        assert "end the process" in str(raised.value)


async def test_timeout_before_any_instance_took_the_request_is_not_run() -> None:
    """It was answered 504, and a caller must not repeat a booking after that."""
    booking = route("r", "/jobs/", kind="non_idempotent", timeout="300ms")
    async with fleet(booking) as system:
        entry = await system.add("n1", "portal")
        await system.add("n2", "jobs")
        await system.settle()
        pool = entry.node.forwarder._sender._peers

        async def hang(address: str) -> NoReturn:
            await asyncio.sleep(5.0)
            raise AssertionError

        pool.acquire = hang  # type: ignore[assignment, method-assign]
        response = await entry.call("/jobs/7", body=b"x", deadline_ms="3000")
        assert response.status == 503
        assert 0.0 < float(dict(response.headers)[b"retry-after"]) <= 1.0


async def test_malformed_request_does_not_cut_the_one_before_it() -> None:
    """The connection was closed while its first request was in flight."""

    async def respond_late(request: Request) -> Response:
        await asyncio.sleep(0.3)
        return await respond_normally(request)

    async with fleet() as created:
        machine = await created.add("n1", "jobs")
        await created.settle()
        machine.target.behaviour = respond_late
        host, port = machine.settings.caller_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = b"GET /jobs/1 HTTP/1.1\r\nhost: a.example\r\nrequest-id: m\r\n\r\n"
        writer.write(head + b"\0 no request\r\n\r\n")
        async with asyncio.timeout(2.0):
            received = await reader.read()
        assert b"response to m" in received
        assert received.count(b"HTTP/1.1 400") == 1
        writer.close()


async def test_caller_that_leaves_after_pipelined_requests_frees_the_node() -> None:
    """The node did not read on, and ran them all for a caller that had left."""

    async def respond_late(request: Request) -> Response:
        await asyncio.sleep(0.3)
        return await respond_normally(request)

    async with fleet() as created:
        machine = await created.add("n1", "jobs")
        await created.settle()
        machine.target.behaviour = respond_late
        host, port = machine.settings.caller_address.split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        head = b"GET /jobs/%d HTTP/1.1\r\nhost: a.example\r\nrequest-id: p%d\r\n\r\n"
        for number in range(6):
            writer.write(head % (number, number))
            await asyncio.sleep(0.01)
        writer.close()
        await asyncio.sleep(0.6)
        assert [request.target for request in machine.target.requests] == [b"/jobs/0"]


async def test_many_pipelined_requests_are_answered_in_order(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """They must outlast a pause of reading."""
    monkeypatch.setattr(server_connection, "MAX_UNPARSED_BYTES", 64 * 1024)
    async with fleet() as created:
        machine = await created.add("n1", "jobs")
        await created.settle()
        host, port = machine.settings.caller_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        filler = b"x-filler: " + b"f" * 4000 + b"\r\n"
        head = b"GET /jobs/%d HTTP/1.1\r\nhost: a.example\r\n%srequest-id: p%d\r\n\r\n"
        for number in range(60):
            writer.write(head % (number, filler, number))
        received = b""
        async with asyncio.timeout(5.0):
            while received.count(b"response to p") < 60:
                received += await reader.read(65_536)
        assert received.count(b"200 OK") == 60
        parts = received.split(b"response to p")[1:]
        assert [int(p.split(b"HTTP")[0]) for p in parts] == list(range(60))
        writer.close()


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
async def test_request_of_a_caller_that_left_a_frozen_node_is_not_passed_on(
    kind: str,
) -> None:
    """It was read and passed on before the end of its connection was."""
    async with fleet(route("r", "/jobs/", kind=kind)) as created:
        machine = await created.add("n1", "jobs")
        await created.settle()
        assert (await machine.call("/jobs/1")).status == 200
        address = split_address(machine.settings.caller_address)
        callers = [socket.create_connection(address) for _ in range(5)]
        await asyncio.sleep(0.1)
        for caller in callers:
            caller.send(b"GET /jobs/2 HTTP/1.1\r\nhost: a.example\r\n\r\n")
            caller.close()
        time.sleep(0.7)  # noqa: ASYNC251
        await asyncio.sleep(0.2)
        assert [request.target for request in machine.target.requests] == [b"/jobs/1"]


async def test_caller_that_leaves_after_pipelined_bodies_frees_the_node() -> None:
    """The end of its connection was not read behind 64 KiB of unread bodies."""

    async def respond_late(request: Request) -> Response:
        await asyncio.sleep(1.0)
        return await respond_normally(request)

    async with fleet() as created:
        machine = await created.add("n1", "jobs")
        await created.settle()
        machine.target.behaviour = respond_late
        host, port = machine.settings.caller_address.split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        head = (
            b"PUT /jobs/%d HTTP/1.1\r\nhost: a.example\r\ncontent-length: 50000\r\n\r\n"
        )
        for number in range(9):
            writer.write(head % number + b"b" * 50_000)
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.close()
        await asyncio.sleep(0.4)
        assert not machine.node.target.running
        await asyncio.sleep(1.0)
        assert [request.target for request in machine.target.requests] == [b"/jobs/0"]


@pytest.mark.parametrize(
    ("fourth_figure", "by_completion"), [(b",%d", True), (b"", False)]
)
async def test_requests_avoid_a_target_that_states_that_it_is_slow(
    fourth_figure: bytes, by_completion: bool
) -> None:
    """The report must reach the sender over real connections, and no caller."""

    def behaviour(percent: int) -> Behaviour:
        figure = fourth_figure % percent if fourth_figure else b""

        async def respond(request: Request) -> Response:
            response = await respond_normally(request)
            load = (b"server-load", b"1,0,4" + figure)
            return Response(response.status, [*response.headers, load], response.body)

        return respond

    async with fleet() as system:
        entry = await system.add("n1", "portal")
        slow = await system.add("n2", "jobs")
        fast = await system.add("n3", "jobs")
        slow.target.behaviour, fast.target.behaviour = behaviour(300), behaviour(100)
        await system.settle()
        for number in range(60):
            response = await entry.call(f"/jobs/{number}", request_id=f"r{number}")
            assert response.status == 200
            assert not [n for n, _ in response.headers if n.startswith(b"briardock")]
        counts = len(slow.target.requests), len(fast.target.requests)
        assert sum(counts) == 60
        assert entry.node.forwarder._balancer.uses_work("jobs") is by_completion
        if by_completion:
            assert counts[1] > 50
        metrics = entry.node.telemetry.render()
        reports = b"briardock_work_reports_total 60.0" in metrics
        assert reports is by_completion
