"""Departures of targets that the node beside them has acknowledged."""

import asyncio
import time
from dataclasses import dataclass

import msgspec
import pytest

from briardock.mesh.departures import MAX_DEPARTURES, Departures
from briardock.mesh.http1 import Request, Response
from briardock.mesh.members import NodeRecord
from briardock.mesh.model import TargetState
from briardock.mesh.target import Target
from mesh_builders import make_target
from mesh_fakes import (
    Fleet,
    Machine,
    announcement,
    fleet,
    respond_normally,
    send,
)

LEAVING, READY = TargetState.LEAVING, TargetState.READY
# Start of a target that is later than the clock of this machine, Unix time in ms.
FUTURE_MS = int(time.time() * 1000) + 3_600_000


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


@dataclass(frozen=True)
class Beat:
    """A heartbeat."""

    target_id: str
    born_ms: int
    state: TargetState = READY
    sequence: int = 1


@dataclass(frozen=True)
class Departure:
    """A departure; ``born_ms`` is 0 if it does not tell."""

    target_id: str
    born_ms: int


@dataclass(frozen=True)
class Restored:
    """A health check confirms the record of an earlier process."""

    target_id: str
    born_ms: int


@dataclass(frozen=True)
class Reload:
    """Settings are reloaded; the target has another address and then the first one."""


Step = Beat | Departure | Restored | Reload


def apply(target: Target, step: Step) -> None:
    match step:
        case Beat(target_id, born_ms, state, sequence):
            target.announce(
                announcement(
                    target_id=target_id,
                    born_ms=born_ms,
                    state=state,
                    sequence=sequence,
                )
            )
        case Departure(target_id, born_ms):
            target.leave(target_id, born_ms)
        case Restored(target_id, born_ms):
            target.adopt(target_id, born_ms, 4)
        case Reload():
            address, service = target.address, target.service
            target.reconfigure("127.0.0.1:2", service)
            target.reconfigure(address, service)


FIRST, SECOND = Beat("i-1", 1_000), Beat("i-2", 2_000)
FIRST_LEFT, SECOND_LEFT = Departure("i-1", 1_000), Departure("i-2", 2_000)


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        pytest.param([FIRST, FIRST_LEFT, SECOND_LEFT, SECOND], LEAVING, id="successor"),
        pytest.param([FIRST, SECOND_LEFT, SECOND], LEAVING, id="successor-of-a-crash"),
        pytest.param([FIRST, SECOND_LEFT], LEAVING, id="successor-never-announced"),
        pytest.param(
            [FIRST, SECOND_LEFT, Beat("i-1", 1_000, sequence=9)],
            LEAVING,
            id="late-announcement-of-the-predecessor",
        ),
        pytest.param([SECOND_LEFT, SECOND], LEAVING, id="none-known"),
        pytest.param([FIRST_LEFT, SECOND_LEFT, SECOND], LEAVING, id="two-in-a-row"),
        pytest.param(
            [FIRST_LEFT, SECOND_LEFT, FIRST], LEAVING, id="two-in-a-row-first-is-late"
        ),
        pytest.param(
            [SECOND_LEFT, FIRST_LEFT, SECOND], LEAVING, id="two-in-reverse-order"
        ),
        pytest.param(
            [FIRST, Departure("i-1", 2_000), Beat("i-1", 2_000)],
            LEAVING,
            id="started-again-under-its-id-and-left",
        ),
        pytest.param(
            [FIRST, FIRST_LEFT, Beat("i-1", 2_000), FIRST_LEFT],
            READY,
            id="started-again-under-its-id",
        ),
        pytest.param(
            [FIRST_LEFT, Beat("i-1", 2_000), Beat("i-1", 1_000, sequence=9)],
            READY,
            id="started-again-before-the-late-announcement",
        ),
        pytest.param(
            [FIRST, Departure("i-2", 0), SECOND], LEAVING, id="start-not-told"
        ),
        pytest.param([Departure("i-2", 0), SECOND], LEAVING, id="start-never-told"),
        pytest.param(
            [Departure("i-2", 0), Beat("i-2", FUTURE_MS)],
            READY,
            id="start-not-told-and-started-again",
        ),
        pytest.param(
            [Departure("i-2", 0), FIRST], READY, id="start-not-told-of-another"
        ),
        pytest.param([SECOND, Departure("i-1", 0)], READY, id="late-and-not-told"),
        pytest.param([SECOND, FIRST_LEFT], READY, id="predecessor-told-late"),
        pytest.param(
            [FIRST, FIRST_LEFT, Reload(), FIRST], LEAVING, id="settings-reloaded"
        ),
        pytest.param(
            [Beat("i-1", 1_000, LEAVING), Reload(), Beat("i-1", 1_000, sequence=2)],
            LEAVING,
            id="settings-reloaded-after-an-announcement",
        ),
        pytest.param([FIRST, Reload(), FIRST], READY, id="settings-reloaded-ready"),
        pytest.param(
            [FIRST, SECOND_LEFT, Beat("i-3", 3_000)], READY, id="next-successor"
        ),
        pytest.param(
            [SECOND_LEFT, Restored("i-2", 2_000)], LEAVING, id="restored-after-it-left"
        ),
        pytest.param(
            [SECOND_LEFT, Restored("i-1", 1_000)], LEAVING, id="predecessor-restored"
        ),
        pytest.param(
            [FIRST_LEFT, Restored("i-2", 2_000)], READY, id="successor-restored"
        ),
    ],
)
def test_acknowledged_departure_is_kept(
    steps: list[Step], expected: TargetState
) -> None:
    """A late heartbeat made a target ready that had departed before the node knew it
    (DRAIN).
    """
    local_target = make_target()
    for step in steps:
        apply(local_target, step)
    assert local_target.state is expected


@pytest.mark.parametrize("departure_count", [30, 300])
def test_memory_of_departures_is_bounded(departure_count: int) -> None:
    departures = Departures()
    for number in range(departure_count):
        departures.record(f"i-{number}", number)
    assert len(departures) == MAX_DEPARTURES
    newest = range(departure_count - MAX_DEPARTURES, departure_count)
    assert all(departures.include(f"i-{number}", number) for number in newest)


async def deregister(machine: Machine, target_id: str, born_ms: int) -> int:
    path = f"/instances/{target_id}/deregister"
    body = b'{"born": %d}' % born_ms
    return (await send(machine.settings.announce_address, path, body)).status


async def respond_slowly(request: Request) -> Response:
    await asyncio.sleep(0.1)
    return await respond_normally(request)


async def start_with_unknown_departure(system: Fleet) -> Machine:
    """Acknowledge the departure of a target before its first heartbeat."""
    owner = await system.add("n1", "jobs")
    await system.settle()
    assert await deregister(owner, "i-n1", 1_000) == 200
    owner.target.target_id = "i-next"
    assert await deregister(owner, "i-next", 2_000) == 200
    return owner


@pytest.mark.anyio
async def test_departure_of_an_unknown_target_is_stored_before_it_is_acknowledged() -> (
    None
):
    """A node killed after the acknowledgement would have taken a late heartbeat, and
    a health check that is wrong, for those of a ready target (DRAIN).
    """
    async with fleet() as system:
        await start_with_unknown_departure(system)
        stored = system.store.newest("keyed.briardock-nodes")["n1"]
        record = msgspec.msgpack.decode(stored, type=NodeRecord)
        assert (record.target_id, record.state) == ("i-next", LEAVING)
        restarted = await system.restart("n1")
        await system.settle()
        assert await restarted.announce(born_ms=2_000, target_id="i-next") == 200
        assert restarted.node.target.state is LEAVING


@pytest.mark.anyio
async def test_no_request_reaches_a_target_after_its_late_first_heartbeat() -> None:
    """A target that left soon after its start was used until it was gone (DRAIN)."""
    async with fleet() as system:
        owner = await start_with_unknown_departure(system)
        entry = await system.add("n2", "maps")
        await system.add("n3", "jobs")
        await system.settle()
        assert await owner.announce(born_ms=2_000, target_id="i-next") == 200
        await system.settle()
        for machine in system.machines.values():
            machine.target.behaviour = respond_slowly
        calls = (entry.call("/jobs/x", f"r{number}") for number in range(6))
        responses = await asyncio.gather(*calls)
        assert {response.status for response in responses} == {200}
        assert not owner.target.requests
