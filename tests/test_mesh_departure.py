"""Departures of targets that nodes acknowledge shortly before they stop."""

import asyncio

import msgspec
import pytest

from briardock.mesh import target_confirmation
from briardock.mesh.http1 import Request, Response
from briardock.mesh.members import NodeRecord
from briardock.mesh.model import TargetState
from mesh_fakes import Fleet, Machine, eventually, fleet, send

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


def delay_appends(system: Fleet, delay_s: float) -> None:
    """Delay the store's responses to appends."""
    server = system.store.server
    handle = server._handler

    async def handle_with_delay(request: Request) -> Response:
        if request.target.startswith(b"/log-append"):
            await asyncio.sleep(delay_s)
        return await handle(request)

    server._handler = handle_with_delay


async def announce_departure(machine: Machine, call: str) -> int:
    machine.target.leaving = True
    if call == "heartbeat":
        return await machine.announce("draining")
    path = f"/instances/i-{machine.settings.node_id}/deregister"
    body = b'{"born": 1000}'
    return (await send(machine.settings.announce_address, path, body)).status


@pytest.mark.parametrize("call", ["heartbeat", "deregister"])
async def test_departure_is_stored_before_it_is_acknowledged(call: str) -> None:
    """Otherwise a node killed after the acknowledgement restarts with the target as
    ready.
    """
    async with fleet() as system:
        owner = await system.add("n1", "jobs")
        await system.settle()
        delay_appends(system, 0.2)
        assert await announce_departure(owner, call) == 200
        stored = system.store.newest("keyed.briardock-nodes")["n1"]
        record = msgspec.msgpack.decode(stored, type=NodeRecord)
        assert record.state is TargetState.LEAVING


async def test_departure_is_acknowledged_in_time_without_the_store() -> None:
    """A target that gets no acknowledgement within 1 s stops without one."""
    async with fleet() as system:
        owner = await system.add("n1", "jobs")
        await system.settle()
        system.store.down = True
        async with asyncio.timeout(0.95):
            assert await owner.announce("draining") == 200


async def test_restarted_node_adopts_its_target_from_peers_without_the_store() -> None:
    """A restarted node must not wait for the next heartbeat while the store is down."""
    async with fleet() as system:
        await system.add("n1", "jobs")
        await system.add("n2", "jobs")
        await system.settle()
        system.store.down = True
        restarted = await system.restart("n1")

        async def adopted() -> bool:
            return restarted.node.target.state is TargetState.READY

        await eventually(adopted, timeout_s=3.0)


@pytest.mark.parametrize(
    ("call", "names"),
    [
        ("heartbeat", ["n1"]),
        ("deregister", ["n1"]),
        ("heartbeat", ["n1", "n2", "n3"]),
        ("deregister", ["n1", "n2", "n3"]),
    ],
)
async def test_departure_acknowledged_without_the_store_outlives_all_nodes(
    call: str, names: list[str]
) -> None:
    """Requests reached a departed target: its node and all others were killed while
    the store was down, and the store still had the target as ready (DRAIN).
    """
    async with fleet() as system:
        for name in names:
            await system.add(name, "jobs")
        await system.settle()
        owner = system.machines["n1"]
        assert await owner.node.replicator.wait_until_stored(2.0)
        system.store.down = True
        assert await announce_departure(owner, call) == 200
        await system.restart_together(names)
        system.store.down = False
        nodes = [machine.node for machine in system.machines.values()]

        async def resumed() -> bool:
            return all(
                node.forwarder.routes is not None and node.members.count == len(names)
                for node in nodes
            )

        await eventually(resumed, timeout_s=5.0)
        until_s = asyncio.get_running_loop().time() + 2.0
        while asyncio.get_running_loop().time() < until_s:
            assert nodes[0].target.state is not TargetState.READY
            await asyncio.sleep(0.05)


async def hang(request: Request) -> Response:
    await asyncio.sleep(60.0)
    return Response(200)


READY, ABSENT = TargetState.READY, TargetState.ABSENT


@pytest.mark.parametrize(
    ("answer", "restored", "announced"),
    [
        (Response(200, [(b"instance-id", b"i-n1")]), READY, READY),
        (Response(200, [(b"instance-id", b"i-other")]), ABSENT, ABSENT),
        (Response(200), ABSENT, ABSENT),
        (Response(503, [(b"instance-id", b"i-n1")]), ABSENT, ABSENT),
        # All of its slots are in use.
        (Response(503, [(b"not-executed", b"1")]), ABSENT, ABSENT),
        # It answers no health checks.
        (Response(400, [(b"not-executed", b"1")]), ABSENT, READY),
        (Response(404), ABSENT, READY),
        (None, ABSENT, ABSENT),
    ],
)
async def test_restarted_node_uses_only_a_target_that_states_that_it_is_ready(
    answer: Response | None,
    restored: TargetState,
    announced: TargetState,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The record of the earlier process, and one announcement, may be from before a
    departure (DRAIN). A target whose health check is wrong goes on announcing itself.
    """
    async with fleet() as system:
        machine = await system.add("n1", "jobs")
        await system.settle()
        assert await machine.node.replicator.wait_until_stored(2.0)

        async def answer_check(request: Request) -> Response:
            return answer or await hang(request)

        machine.target.server._handler = answer_check
        restarted = await system.restart("n1")
        await system.settle()
        await asyncio.sleep(0.7)
        assert restarted.node.target.state is restored
        await restarted.announce()
        await system.settle()
        assert restarted.node.target.state is announced
        monkeypatch.setattr(target_confirmation, "MIN_ANNOUNCED_S", 0.1)
        await asyncio.sleep(0.1)
        await restarted.announce()
        assert restarted.node.target.state is TargetState.READY


async def test_restarted_node_learns_the_departure_from_its_peers() -> None:
    """The store may still hold a record from before the departure."""
    async with fleet() as system:
        owner = await system.add("n1", "jobs")
        await system.add("n2", "jobs")
        await system.settle()
        assert await owner.node.replicator.wait_until_stored(2.0)
        delay_appends(system, 5.0)
        assert await announce_departure(owner, "heartbeat") == 200
        restarted = await system.restart("n1")

        async def is_leaving() -> bool:
            return restarted.node.target.state is TargetState.LEAVING

        await eventually(is_leaving, timeout_s=3.0)


@pytest.mark.parametrize("count", [1, 2])
async def test_entry_routes_survive_a_restart_of_all_nodes(count: int) -> None:
    """After a power loss of all nodes, callers' requests must not pass admission as
    calls of targets.
    """
    async with fleet() as system:
        names = [f"n{number}" for number in range(1, count + 1)]
        first = [await system.add(name, "jobs") for name in names][0]
        await system.settle()
        first.node._entry_routes._learn("r")
        assert await first.node.replicator.wait_until_stored(2.0)
        system.store.down = True
        for name in names:
            await system.restart(name)
        system.store.down = False

        async def all_known() -> bool:
            tables = [m.node.members for m in system.machines.values()]
            return all(table.entry_routes == {"r"} for table in tables)

        await eventually(all_known, timeout_s=5.0)
        await system.restart("n1")
        await eventually(all_known, timeout_s=5.0)


@pytest.mark.parametrize("call", ["heartbeat", "deregister"])
@pytest.mark.parametrize(
    "is_late_before_configuration", [True, False], ids=["early", "later"]
)
async def test_late_announcement_after_a_restart_does_not_undo_a_departure(
    call: str, is_late_before_configuration: bool
) -> None:
    """Requests reached a departed target: all nodes were killed while the store was
    down, and a heartbeat from before the departure arrived after that (DRAIN).
    """
    names = ["n1", "n2", "n3"]
    async with fleet() as system:
        for name in names:
            await system.add(name, "jobs")
        await system.settle()
        owner = system.machines["n1"]
        assert await owner.node.replicator.wait_until_stored(2.0)
        system.store.down = True
        assert await announce_departure(owner, call) == 200
        await system.restart_together(names)
        restarted = system.machines["n1"]
        if is_late_before_configuration:
            assert await restarted.announce() == 200
        system.store.down = False
        await system.settle()
        if not is_late_before_configuration:
            assert await restarted.announce() == 200
        until_s = asyncio.get_running_loop().time() + 1.0
        while asyncio.get_running_loop().time() < until_s:
            assert restarted.node.target.state is not TargetState.READY
            await asyncio.sleep(0.05)


async def test_target_started_after_a_confirmed_one_is_used_without_a_check() -> None:
    """Each check costs the target a slot."""
    async with fleet() as system:
        machine = await system.add("n1", "jobs")
        await system.settle()
        machine.target.leaving = True
        await machine.announce(born_ms=2_000)
        assert machine.node.target.state is TargetState.READY


async def test_target_started_again_after_a_lost_departure_is_used() -> None:
    """The departure of an earlier incarnation must not hold back the next one."""
    async with fleet() as system:
        owner = await system.add("n1", "jobs")
        await system.settle()
        assert await owner.node.replicator.wait_until_stored(2.0)
        system.store.down = True
        assert await announce_departure(owner, "deregister") == 200
        restarted = await system.restart("n1")
        await restarted.announce()
        system.store.down = False
        await system.settle()
        assert restarted.node.target.state is TargetState.ABSENT
        restarted.target.leaving = False
        assert await restarted.announce(born_ms=2_000) == 200
        await system.settle()
        assert restarted.node.target.state is TargetState.READY
