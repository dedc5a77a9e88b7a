"""Departures of targets that nodes acknowledge shortly before they stop."""

import asyncio

import msgspec
import pytest

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
