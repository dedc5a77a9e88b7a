"""Reports of retries between nodes over real sockets."""

import pytest

from briardock.mesh import calls
from briardock.mesh.http1 import Request, Response
from mesh_fakes import Fleet, fleet, route

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


async def reject(_: Request) -> Response:
    return Response(503, [(b"not-executed", b"1")])


async def metrics(system: Fleet, name: str) -> list[str]:
    """Return the lines of all metrics pages that begin with a name."""
    page = b""
    for machine in system.machines.values():
        response = await machine.node._handle_metrics(Request(b"GET", b"/", [], b"", 0))
        page += response.body
    lines = page.decode().splitlines()
    return sorted(line for line in lines if line.startswith(name))


@pytest.mark.parametrize(
    ("earlier_entry", "earlier_owner", "entry_ratio", "arrived_ratio"),
    [
        (False, False, 0.15, 1.0),
        (True, False, 0.05, 0.0),
        (False, True, 0.05, 1.0),
    ],
)
async def test_retries_are_reported_between_nodes(
    earlier_entry: bool,
    earlier_owner: bool,
    entry_ratio: float,
    arrived_ratio: float,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With a node of the earlier release, which states nothing, the quarter holds."""
    if earlier_entry:
        monkeypatch.setattr(calls, "encode_share", lambda share: 0)
    async with fleet(route("r", "/jobs/")) as system:
        entry = await system.add("n1", "portal")
        owners = [await system.add(name, "jobs") for name in ("n2", "n3")]
        await system.settle()
        for owner in owners:
            owner.target.behaviour = reject
            if earlier_owner:
                owner.node.forwarder.retries.report = lambda count, now: None  # type: ignore[method-assign]
        response = await entry.call("/jobs/7")
        assert response.status == 503
        assert [len(owner.target.requests) for owner in owners] == [1, 1]
        ratio = f'briardock_retry_ratio{{service="jobs"}} {entry_ratio}'
        assert await metrics(system, "briardock_retry_ratio{") == [ratio]
        arrived = await metrics(system, "briardock_arrived_retry_ratio ")
        assert arrived[-1].endswith(f" {arrived_ratio}")
        ended = 'briardock_not_repeated_total{reason="attempts"} 1.0'
        assert await metrics(system, "briardock_not_repeated_total") == [ended]
