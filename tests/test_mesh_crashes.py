"""Quarantine of requests that crash targets."""

import asyncio
import random
from dataclasses import dataclass, replace

import pytest

from briardock.clock import ManualClock
from briardock.mesh import crashes
from briardock.mesh.crashes import CrashSuspects
from briardock.mesh.http1 import Request, Response
from briardock.mesh.model import TargetState
from mesh_builders import FakeClock, make_call, make_target
from mesh_fakes import (
    Fleet,
    Machine,
    announcement,
    eventually,
    fleet,
    respond_normally,
    route,
)


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


@pytest.mark.anyio
async def test_request_in_flight_at_three_deaths_is_refused(clock: FakeClock) -> None:
    """The request is sent again under other ids and would crash target after target."""
    published: list[object] = []
    suspects = CrashSuspects(ManualClock(), published.append)
    crashing, harmless = make_call(body=b"poison"), make_call(body=b"fine")
    for death in range(3):
        assert not suspects.refuses(crashing)
        suspects.record_loss(replace(crashing, request_id=b"%d" % death))
        if death == 0:
            suspects.record_loss(harmless)
        suspects.record_death(f"i-{death}")
    assert suspects.refuses(crashing) and not suspects.refuses(harmless)
    assert len(published) == 3


def test_suspects_below_the_limit_are_not_compared_for_each_call(
    clock: FakeClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Encoding hundreds of suspects for each call exhausts the processors of nodes."""
    suspects = CrashSuspects(ManualClock(), lambda entries: None)
    for number in range(400):
        suspects.record_loss(make_call(target=b"/a/%d" % number))
    suspects.record_death("i-1")
    encoded: list[object] = []
    monkeypatch.setattr(crashes, "_fingerprint", encoded.append)
    monkeypatch.setattr(suspects.quarantine, "_to_wire", encoded.append)
    assert not suspects.refuses(make_call(target=b"/a/1"))
    assert not encoded


def test_lost_response_without_a_death_is_not_suspected(clock: FakeClock) -> None:
    suspects = CrashSuspects(ManualClock(), lambda entries: None)
    for death in range(3):
        suspects.record_loss(make_call())
        clock.now += 5.0
        suspects.record_death(f"i-{death}")
    assert not suspects.refuses(make_call())


def test_restart_of_the_target_counts_as_its_death(clock: FakeClock) -> None:
    local_target = make_target()
    for start in range(4):
        local_target.announce(announcement(born_ms=start + 1))
        local_target._crash_suspects.record_loss(make_call())
    assert local_target._crash_suspects.refuses(make_call())


POISON = b"poison"
POISON_2 = b"other poison"
INNOCENT = b"innocent"
# Longer than the time in which a lost response is attributed to a noticed death, s.
LONG_S = crashes.LOST_RESPONSE_LIFETIME_S + 0.2


@dataclass(frozen=True)
class Crash:
    """How a target reacts to requests that crash it, and what follows.

    :param bodies: requests that it runs as it crashes
    :param dies: whether it dies, rather than only resets its connections
    :param port_closes_after_s: time from the reset to the end of its port, or ``None``
        if its successor uses the port without a gap
    :param back_after_s: time until it announces itself again
    :param new_id: whether it returns under another id
    :param node_restarts: whether its node restarts while it is down
    :param successes: successful runs of the last of the bodies between two crashes
    """

    bodies: tuple[bytes, ...] = (POISON,)
    dies: bool = True
    port_closes_after_s: float | None = 0.0
    back_after_s: float = 0.3
    new_id: bool = False
    node_restarts: bool = False
    successes: int = 0


class CrashingTarget:
    """Plays crashes of the target of one machine; no other request goes to it."""

    def __init__(self, system: Fleet, node_id: str, crash: Crash) -> None:
        self.system, self.node_id, self.crash = system, node_id, crash
        self.born_ms = 1_000
        self.deaths = 0
        self.arrived: list[bytes] = []
        self.crashing = True
        self.machine.target.behaviour = self.respond
        self._all_arrived = asyncio.Event()

    @property
    def machine(self) -> Machine:
        return self.system.machines[self.node_id]

    async def respond(self, request: Request) -> Response:
        if not self.crashing or request.body not in self.crash.bodies:
            return await respond_normally(request)
        self.arrived.append(request.body)
        if len(self.arrived) == len(self.crash.bodies):
            self._all_arrived.set()
        await asyncio.sleep(60.0)
        return Response(500)

    async def run_crash(self, caller: Machine) -> None:
        """Send the requests, crash once all of them run, and come back."""
        crash, target = self.crash, self.machine.target
        self.arrived.clear()
        self._all_arrived.clear()
        async with asyncio.TaskGroup() as group:
            for number, body in enumerate(crash.bodies):
                group.create_task(caller.call("/jobs/1", f"r{number}", body))
            await self._all_arrived.wait()
            if crash.dies and crash.port_closes_after_s == 0.0:
                target.server.stop_listening()
            target.reset_connections()
            if crash.dies and crash.port_closes_after_s:
                await asyncio.sleep(crash.port_closes_after_s)
                target.server.stop_listening()
        self.deaths += crash.dies
        if crash.dies and crash.port_closes_after_s is not None:
            await eventually(self.death_is_known, timeout_s=2.0)
        if crash.node_restarts:
            await self.system.restart(self.node_id)
        await asyncio.sleep(crash.back_after_s)
        if crash.dies:
            await self.come_back()
        else:
            await self.machine.announce()

    async def come_back(self) -> None:
        self.born_ms += 1_000
        target = self.machine.target
        if self.crash.port_closes_after_s is not None:
            await target.start()
        if self.crash.new_id:
            target.target_id = f"i-{self.born_ms}"
        status = await self.machine.announce(
            born_ms=self.born_ms, target_id=target.target_id
        )
        assert status == 200

    async def death_is_known(self) -> bool:
        """Return whether all nodes know of each death until now."""
        return all(
            len(known_deaths(machine)) == self.deaths
            for machine in self.system.machines.values()
        )

    async def usable(self) -> bool:
        """Return whether all nodes use the present incarnation of the target."""
        if self.machine.node.target.state is not TargetState.READY:
            return False
        used = self.machine.node.members.local_record.target_id
        return all(
            (record := machine.node.members.get(self.node_id)) is not None
            and record.state is TargetState.READY
            and record.target_id == used
            for machine in self.system.machines.values()
        )


def known_deaths(machine: Machine) -> set[str]:
    entries = machine.node.replicator.crash_suspects.quarantine.entries()
    return {death.death_id for entry in entries for death in entry.deaths}


def refusing_nodes(system: Fleet, body: bytes) -> list[str]:
    """Return the nodes that refuse a request of the portal."""
    call = make_call(method=b"POST", target=b"/jobs/1", body=body)
    return [
        node_id
        for node_id, machine in system.machines.items()
        if machine.node.replicator.crash_suspects.refuses(call)
    ]


@pytest.mark.parametrize(
    ("crash", "refused"),
    [
        pytest.param(Crash(back_after_s=LONG_S), {POISON}, id="stays-down"),
        pytest.param(Crash(), {POISON}, id="returns-soon"),
        pytest.param(Crash(new_id=True), {POISON}, id="returns-with-another-id"),
        pytest.param(
            Crash(new_id=True, back_after_s=LONG_S),
            {POISON},
            id="stays-down-and-returns-with-another-id",
        ),
        pytest.param(
            Crash(port_closes_after_s=0.1, back_after_s=LONG_S),
            {POISON},
            id="port-closes-after-the-connections",
        ),
        pytest.param(
            Crash(port_closes_after_s=None), {POISON}, id="restarts-without-a-gap"
        ),
        pytest.param(
            Crash(port_closes_after_s=None, back_after_s=LONG_S),
            {POISON},
            id="restarts-without-a-gap-and-is-announced-late",
        ),
        pytest.param(Crash(node_restarts=True), {POISON}, id="node-restarts"),
        pytest.param(
            Crash((POISON, POISON_2), back_after_s=LONG_S),
            {POISON, POISON_2},
            id="two-at-once",
        ),
        pytest.param(Crash(dies=False), set(), id="reset-without-a-death"),
        pytest.param(
            Crash((POISON, INNOCENT), successes=150),
            {POISON},
            id="innocent-beside-it-runs-well",
        ),
        pytest.param(
            Crash((POISON, POISON_2), successes=3),
            {POISON, POISON_2},
            id="crashes-now-and-then",
        ),
    ],
)
@pytest.mark.anyio
async def test_three_deaths_of_a_target_refuse_a_request(
    crash: Crash, refused: set[bytes]
) -> None:
    """At low load no other request showed the node that its target had died, and a
    request that crashed each target that ran it was never refused (BUDGET).
    """
    routes = route("r", "/jobs/", kind="non_idempotent")
    async with fleet(routes) as system:
        caller = await system.add("p1", "portal")
        await system.add("m1", "maps")
        await system.add("n1", "jobs")
        crashing = CrashingTarget(system, "n1", crash)
        await system.settle()
        for death in range(crashes.REFUSAL_DEATHS):
            assert not refusing_nodes(system, POISON)
            suspects = crashing.machine.node.replicator.crash_suspects
            suspects._rng = random.Random(death)
            await eventually(crashing.usable)
            if death and crash.successes:
                crashing.crashing = False
                for _ in range(crash.successes):
                    response = await caller.call("/jobs/1", body=crash.bodies[-1])
                    assert response.status == 200
                crashing.crashing = True
            await crashing.run_crash(caller)
            assert crash.dies or not known_deaths(crashing.machine)
        await eventually(crashing.usable)
        crashing.crashing = False

        async def nodes_refuse() -> bool:
            return all(len(refusing_nodes(system, body)) == 3 for body in refused)

        await eventually(nodes_refuse, timeout_s=3.0)
        for body in crash.bodies:
            response = await caller.call("/jobs/1", body=body)
            assert response.status == (503 if body in refused else 200)


@pytest.mark.parametrize(
    ("successes_per_death", "refused"), [(0, True), (1, True), (9, True), (400, False)]
)
def test_request_is_judged_by_the_share_of_its_runs_that_crash(
    clock: FakeClock, successes_per_death: int, refused: bool
) -> None:
    """A request that crashes one run in ten stays suspected; one that runs often, and
    was beside the crashing one at three deaths, is served.
    """
    manual_clock = ManualClock()
    suspects = CrashSuspects(manual_clock, lambda entries: None, random.Random(1))
    call = make_call()
    deaths = 0
    while not suspects.refuses(call) and deaths < 15:
        deaths += 1
        manual_clock.advance(1_000)
        suspects.record_loss(call)
        suspects.record_death(f"i-{deaths}")
        manual_clock.advance(1_000)
        for _ in range(successes_per_death):
            if not suspects.refuses(call):
                suspects.record_success(call)
    assert suspects.refuses(call) is refused


def test_success_without_suspects_costs_no_fingerprint(
    clock: FakeClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A node handles thousands of requests a second, with bodies of any size."""
    suspects = CrashSuspects(ManualClock(), lambda entries: None)
    encoded: list[object] = []
    monkeypatch.setattr(crashes, "_fingerprint", encoded.append)
    for _ in range(100):
        suspects.record_success(make_call())
    assert not encoded


@pytest.mark.parametrize(
    ("lost_after_death_s", "incarnation", "suspected"),
    [
        (-1.0, "i-1.1", True),
        (-1.0, "", True),
        (-1.0, "i-1.2", False),
        (-4.0, "i-1.1", False),
        (0.5, "i-1.1", True),
        (0.5, "i-1.2", False),
        (4.0, "i-1.1", False),
    ],
)
def test_death_is_attributed_to_losses_of_its_incarnation(
    clock: FakeClock, lost_after_death_s: float, incarnation: str, suspected: bool
) -> None:
    """The end of the connections may be noticed before or after the death; responses
    that the next incarnation loses have nothing to do with it.
    """
    suspects = CrashSuspects(ManualClock(), lambda entries: None)
    if lost_after_death_s < 0:
        suspects.record_loss(make_call(), incarnation)
        clock.now -= lost_after_death_s
        suspects.record_death("i-1.1")
    else:
        suspects.record_death("i-1.1")
        clock.now += lost_after_death_s
        suspects.record_loss(make_call(), incarnation)
    assert bool(suspects.quarantine.entries()) is suspected


@pytest.mark.parametrize(
    ("alive_s", "lost_s", "announced_s", "suspected"),
    [
        pytest.param(0.0, 1.0, 10.0, True, id="lost-after-the-last-announcement"),
        pytest.param(2.0, 1.0, 10.0, False, id="announced-itself-since"),
        pytest.param(0.0, 1.0, 40.0, False, id="too-long-ago"),
    ],
)
def test_late_announcement_of_a_restart_tells_of_the_death(
    clock: FakeClock,
    alive_s: float,
    lost_s: float,
    announced_s: float,
    suspected: bool,
) -> None:
    """A target that restarts without a gap may announce itself only once it is warm."""
    local_target = make_target()
    start_s = clock.now
    events = sorted([(0.0, "alive"), (alive_s, "alive"), (lost_s, "lost")])
    for sequence, (at_s, event) in enumerate(events):
        clock.now = start_s + at_s
        if event == "alive":
            local_target.announce(announcement(sequence=sequence + 1))
        else:
            suspects = local_target._crash_suspects
            suspects.record_loss(make_call(), local_target.incarnation)
    clock.now = start_s + announced_s
    local_target.announce(announcement(born_ms=2_000))
    suspected_count = len(local_target._crash_suspects.quarantine.entries())
    assert suspected_count == suspected


def test_number_of_lost_responses_is_bounded(clock: FakeClock) -> None:
    """A target that resets each connection without dying must not use up the memory."""
    suspects = CrashSuspects(ManualClock(), lambda entries: None)
    for number in range(crashes.MAX_LOST_RESPONSES + 100):
        suspects.record_loss(make_call(target=b"/a/%d" % number))
    assert len(suspects._lost_responses) == crashes.MAX_LOST_RESPONSES
