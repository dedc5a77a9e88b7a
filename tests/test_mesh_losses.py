"""Checks of the local target after the loss of a response."""

import asyncio
import errno

import pytest

from briardock.mesh.calls import Unknown
from briardock.mesh.http1 import Request, Response
from briardock.mesh.losses import LossWatch
from briardock.mesh.model import TargetState
from briardock.mesh.target import Target
from mesh_builders import make_call, make_target
from mesh_fakes import FakeTarget, announcement, free_address


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


async def lose_response(local_target: Target, target: FakeTarget) -> None:
    """Let a call run until its connection is reset."""
    arrived = asyncio.Event()

    async def hang(request: Request) -> Response:
        arrived.set()
        await asyncio.sleep(60.0)
        return Response(500)

    target.behaviour = hang
    async with asyncio.TaskGroup() as group:
        running = group.create_task(local_target.run(make_call()))
        await arrived.wait()
        target.reset_connections()
    assert isinstance(running.result(), Unknown)


@pytest.mark.parametrize(
    ("failure", "leaves", "is_death"),
    [
        pytest.param(ConnectionRefusedError(), False, True, id="refused"),
        pytest.param(ConnectionRefusedError(), True, False, id="refused-as-it-leaves"),
        pytest.param(TimeoutError(), False, False, id="timeout"),
        pytest.param(ConnectionResetError(), False, False, id="reset"),
        pytest.param(OSError(errno.EMFILE, ""), False, False, id="own-shortage"),
    ],
)
@pytest.mark.anyio
async def test_only_a_refused_connection_is_evidence_of_a_death(
    failure: OSError, leaves: bool, is_death: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A frozen target, a node without descriptors or a target that closes its port
    before it ends its requests would make requests suspected that crash nothing.
    """
    target = FakeTarget(free_address())
    await target.start()
    local_target = make_target(target.address)
    local_target.announce(announcement(address=target.address))
    await lose_response(local_target, target)
    if leaves:
        local_target.leave("i-1", 1_000)

    async def fail(*args: object, **options: object) -> None:
        raise failure

    loop = asyncio.get_running_loop()
    monkeypatch.setattr(loop, "create_connection", fail)
    watch = loop.create_task(local_target.loss_watch.watch_losses())
    await asyncio.sleep(0.3)
    watch.cancel()
    assert bool(local_target._crash_suspects.quarantine.entries()) is is_death
    assert (local_target.state is TargetState.ABSENT) is is_death


@pytest.mark.anyio
async def test_checks_after_lost_responses_are_few() -> None:
    """Each connection of the node to the target costs both of them processor time."""
    checks = 0

    async def check() -> bool:
        nonlocal checks
        checks += 1
        return False

    watch = LossWatch(check)
    task = asyncio.get_running_loop().create_task(watch.watch_losses())
    for _ in range(200):
        watch.record_loss()
        await asyncio.sleep(0.001)
    await asyncio.sleep(0.1)
    task.cancel()
    assert 2 <= checks <= 25
