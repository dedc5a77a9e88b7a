"""Routes that targets call, beside clients with accounts, at several nodes."""

import asyncio

import pytest

from briardock.mesh.callgraph import MIN_PUBLISHED_CALLS
from mesh_fakes import eventually, fleet, route, tenant


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


@pytest.mark.anyio
@pytest.mark.parametrize("entry", ["n1", "n2"])
async def test_a_key_on_a_route_of_targets_does_not_stop_their_calls(
    entry: str,
) -> None:
    """One request with a key marked the route, here or through another node, and all
    later calls of the target got 401.
    """
    async with fleet(route("r", "/jobs/"), tenant("acme", "k1")) as system:
        caller = await system.add("n1", "jobs")
        await system.add("n2", "portal")
        await system.settle()
        for _ in range(MIN_PUBLISHED_CALLS):
            assert (await caller.call("/jobs/1")).status == 200

        async def told() -> bool:
            record = system.machines["n2"].node.members.get("n1")
            return record is not None and record.called_routes == ["r"]

        await eventually(told)
        for _ in range(5):
            response = await system.machines[entry].call(
                "/jobs/1", authorization="Bearer k1"
            )
            assert response.status == 200
        await asyncio.sleep(0.5)
        assert (await caller.call("/jobs/1")).status == 200
        assert not any(
            machine.node.members.entry_routes for machine in system.machines.values()
        )
        restarted = await system.restart("n1")
        await system.settle()
        await restarted.announce()
        response = await system.machines["n2"].call(
            "/jobs/1", authorization="Bearer k1"
        )
        assert response.status == 200
        assert (await restarted.call("/jobs/1")).status == 200
