"""Search of an instance for a request that the local target may have sent."""

import asyncio

import pytest

from briardock.mesh.calls import Call, NotRun
from briardock.mesh.model import now_s
from mesh_fakes import fleet, route

# Remaining time of a call below which its refusal comes too late, s.
LATE_S = 0.5


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


@pytest.mark.anyio
async def test_call_that_is_always_refused_is_refused_before_its_deadline() -> None:
    """Each refusal began a new search, so that the call was sent again until its
    deadline. Its caller got 504 if the last attempt was under way by then.
    """
    async with fleet(route("r", "/jobs/", kind="non_idempotent")) as system:
        caller = await system.add("p1", "portal")
        refusing = await system.add("n1", "jobs")
        await system.settle()

        async def refuse(call: Call) -> NotRun:
            if call.expires_s - now_s() < LATE_S:
                await asyncio.sleep(60.0)
            return NotRun("crashed its targets")

        refusing.node.target.run = refuse  # type: ignore[method-assign]
        response = await caller.call("/jobs/1", body=b"refused")
        assert response.status == 503
