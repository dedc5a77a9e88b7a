"""Nodes that end beside requests, as real processes on loopback.

Guards against requests that were taken late in the grace period, passed on to a target
and lost with the node, and against work for callers that had left.
"""

import asyncio
import contextlib
import os
import signal
import time
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from dataclasses import dataclass, field
from pathlib import Path

import pytest
import uvloop

from mesh_fakes import route, send
from soak_callers import CallerRequest, connect
from soak_checks import (
    NOT_RUN_STATUSES,
    RequestOutcome,
    describe_loss,
    describe_vain_work,
    read_calls,
    read_runs,
)
from soak_machines import FleetPlan, Machine, SoakFleet

START_TIMEOUT_S = 60.0
# Fleets that start at the same time, which takes several processors.
MAX_STARTING = 3
TRAFFIC_BEFORE_STOP_S = 1.2
# Time after SIGTERM for which callers go on, and time for the last runs to end, s.
TRAFFIC_AFTER_STOP_S = 6.5
LAST_RUNS_S = 1.5
RUN_RANGE_S = (0.9, 1.0)
ROUTE_TIMEOUT_S = 4.0
# Runs, timeout and callers of the row in which the node is idle at times.
SHORT_RUN_RANGE_S = (0.02, 0.03)
SHORT_TIMEOUT_S = 1.0
SHORT_CALLERS = 12
READ, ONCE, CHAIN = "/jobs/long/", "/once/long/", "/jobs/chain/"
MAPS, MAPS_ONCE = "/maps/long/", "/once/maps/"
SHORT, SHORT_ONCE = "/maps/short/", "/once/short/"
ROUTES = (
    route("probe", "/jobs/"),
    route("probe-maps", "/maps/", service="maps"),
    route("read", READ, timeout="4s"),
    route("once", ONCE, kind="non_idempotent", timeout="4s"),
    route("maps", MAPS, service="maps", timeout="4s"),
    route("maps-once", MAPS_ONCE, service="maps", kind="non_idempotent", timeout="4s"),
    route("short", SHORT, service="maps", timeout="1s"),
    route(
        "short-once", SHORT_ONCE, service="maps", kind="non_idempotent", timeout="1s"
    ),
    route("called", "/maps/called/", service="maps", timeout="4s"),
    route("chain", CHAIN, timeout="4s"),
)
# A run of the chain is its own part and that of its call.
RUN_RANGES_S = {
    CHAIN: (0.4, 0.45),
    "/maps/called/": (0.5, 0.55),
    READ: RUN_RANGE_S,
    ONCE: RUN_RANGE_S,
    MAPS: RUN_RANGE_S,
    MAPS_ONCE: RUN_RANGE_S,
    SHORT: SHORT_RUN_RANGE_S,
    SHORT_ONCE: SHORT_RUN_RANGE_S,
}
LEAVES_AFTER_S = 0.4


async def _terminate(fleet: SoakFleet, machine: Machine) -> None:
    machine.terminate_node()


async def _terminate_twice(fleet: SoakFleet, machine: Machine) -> None:
    machine.terminate_node()
    await asyncio.sleep(1.0)
    machine.processes["node"].terminate()


async def _terminate_frozen(fleet: SoakFleet, machine: Machine) -> None:
    node = machine.processes["node"]
    node.freeze()
    await asyncio.sleep(0.3)
    machine.terminate_node()
    await asyncio.sleep(0.7)
    node.resume()
    machine.resume_times.append(time.time())


async def _terminate_started(fleet: SoakFleet, machine: Machine) -> None:
    machine.harm_times.append(time.time())
    machine.processes["node"].kill()
    fleet.start_node(machine)
    async with asyncio.timeout(START_TIMEOUT_S):
        while (connection := await connect(machine)) is None:
            await asyncio.sleep(0.01)
    connection.close()
    # Whatever is sent to the new process counts, unless it entered before this time.
    machine.harm_times[:] = [time.time() - 8.0]
    machine.terminate_node()


async def _terminate_shortened(fleet: SoakFleet, machine: Machine) -> None:
    machine.terminate_node()
    await asyncio.sleep(1.0)
    machine.change_grace(4.0)
    fleet.write_settings(machine)
    os.kill(machine.processes["node"].pid, signal.SIGHUP)


async def _terminate_last(fleet: SoakFleet, machine: Machine) -> None:
    for other in fleet.machines:
        if other.service == machine.service and other is not machine:
            other.harm_times.append(time.time())
            other.processes["target"].kill()
            other.processes["node"].kill()
    await asyncio.sleep(1.0)
    machine.terminate_node()


@dataclass(frozen=True)
class Stop:
    """One way in which a node is stopped.

    :param name: id of the row
    :param act: stops the node of a machine
    :param machine: name of that machine
    :param entries: machines at which callers enter
    :param read: path of requests that may be repeated
    :param once: path of those that may not
    :param services: machines by service
    :param long: path of additional long requests beside short ones
    :param least_run_count: runs that must start in the first 2 s after SIGTERM
    """

    name: str
    act: Callable[[SoakFleet, Machine], Awaitable[None]] = _terminate
    machine: str = "jobs-0"
    entries: tuple[str, ...] = ("jobs-0",)
    read: str = READ
    once: str = ONCE
    services: Mapping[str, int] = field(default_factory=lambda: {"jobs": 2, "maps": 1})
    long: str = ""
    least_run_count: int = 15


STOPS = (
    Stop("one SIGTERM"),
    Stop("two SIGTERMs", _terminate_twice),
    Stop("SIGTERM while frozen", _terminate_frozen),
    Stop("SIGTERM after the start", _terminate_started, least_run_count=0),
    Stop("grace period shortened", _terminate_shortened),
    Stop(
        "last instance",
        _terminate_last,
        "maps-0",
        ("jobs-0",),
        MAPS,
        MAPS_ONCE,
        {"jobs": 1, "maps": 2},
    ),
    # The node ends as soon as it is idle, and calls that come then must not be lost.
    Stop(
        "last instance idle",
        _terminate_last,
        "maps-0",
        ("jobs-0",),
        SHORT,
        SHORT_ONCE,
        {"jobs": 1, "maps": 2},
    ),
    # The mean run time of the target says little about its long runs.
    Stop(
        "last instance with mixed runs",
        _terminate_last,
        "maps-0",
        ("jobs-0",),
        SHORT,
        SHORT_ONCE,
        {"jobs": 1, "maps": 2},
        MAPS,
    ),
    Stop("target makes calls", entries=("jobs-0", "maps-0"), read=CHAIN),
)


class StopRun:
    """Plays one way of stopping a node, beside callers.

    :param stop: the way
    :param folder: settings, logs and ledgers
    :param first_network: see :class:`FleetPlan`
    """

    def __init__(self, stop: Stop, folder: Path, first_network: int) -> None:
        self._stop = stop
        plan = FleetPlan(stop.services, ROUTES, RUN_RANGES_S, first_network)
        self._fleet = SoakFleet(folder, plan)
        self._machines = {m.name: m for m in self._fleet.machines}
        self._machine = self._machines[stop.machine]
        self._outcomes: list[RequestOutcome] = []
        self._request_count = 0
        self._ended = False
        self._exit: tuple[float, int] | None = None
        self._stalled_s = 0.0
        self.violations: list[str] = []

    def _request(self, path: str, leaves_after_s: float = 8.0) -> CallerRequest:
        self._request_count += 1
        once = path.startswith("/once/")
        timeout_s = SHORT_TIMEOUT_S if path in (SHORT, SHORT_ONCE) else ROUTE_TIMEOUT_S
        return CallerRequest(
            f"s{self._request_count}", path, once, timeout_s, leaves_after_s
        )

    async def _callers(
        self,
        entry: Machine,
        path: str,
        period_s: float,
        pipelined: int = 1,
        keeps: bool = True,
        leaves_after_s: float = 8.0,
        obeys_close: bool = True,
    ) -> None:
        """Send requests one after the other on one connection or on new ones.

        :param entry: machine at which they enter
        :param path: path of the requests
        :param period_s: pause between two requests
        :param pipelined: number of requests sent at once
        :param keeps: whether a connection is used until it is closed
        :param leaves_after_s: time after which the caller leaves
        :param obeys_close: whether it closes the connection when a response says so
        """
        connection = None
        while not self._ended:
            if connection is None or not connection.usable:
                connection = await connect(entry, obeys_close)
                if connection is None:
                    await asyncio.sleep(0.1)
                    continue
            self._outcomes += await asyncio.gather(
                *(
                    connection.exchange(entry, self._request(path, leaves_after_s))
                    for _ in range(pipelined)
                )
            )
            if not keeps:
                connection.close()
            await asyncio.sleep(period_s)

    async def _overlapping_callers(self, entry: Machine, path: str) -> None:
        """Send requests that overlap, each on a new connection."""
        async with asyncio.TaskGroup() as group:
            while not self._ended:
                group.create_task(self._call_once(entry, path))
                await asyncio.sleep(0.2)

    async def _call_once(self, entry: Machine, path: str) -> None:
        connection = await connect(entry)
        if connection is not None:
            outcome = await connection.exchange(entry, self._request(path))
            self._outcomes.append(outcome)
            connection.close()

    async def _watch(self) -> None:
        """Record the exit of the node, and the time for which this process stalls."""
        while not self._ended:
            started_s = time.monotonic()
            await asyncio.sleep(0.02)
            self._stalled_s += max(0.0, time.monotonic() - started_s - 0.1)
            code = self._machine.processes["node"].poll()
            if code is not None and self._machine.stops and self._exit is None:
                self._exit = (time.time() - self._machine.stops[0][0], code)

    async def _has_started(self) -> bool:
        headers = [(b"host", b"a.example"), (b"request-id", b"probe")]
        paths = [("ready", "/ready"), ("caller", "/jobs/p"), ("caller", "/maps/p")]
        for machine in self._fleet.machines:
            for kind, path in paths:
                address = (
                    machine.ready_address if kind == "ready" else machine.caller_address
                )
                try:
                    async with asyncio.timeout(2.0):
                        response = await send(address, path, b"", headers)
                except (OSError, TimeoutError):
                    return False
                if response.status != 200:
                    return False
        return True

    async def start(self) -> None:
        """Start all processes and wait until they serve all routes."""
        self._fleet.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError):
                    await self._fleet.publish()
                    break
                await asyncio.sleep(0.1)
            while not await self._has_started():
                await asyncio.sleep(0.1)

    async def play(self) -> None:
        """Stop the node beside callers and collect violations."""
        await self._stop_beside_callers()
        self._check()

    def stop_processes(self) -> None:
        """Kill all processes."""
        self._fleet.stop()

    def _work(self, entry: Machine) -> list[Coroutine[None, None, None]]:
        """Return the callers of one node.

        :param entry: machine of the node
        """
        stop = self._stop
        if stop.read == SHORT:
            paths = [stop.read, stop.once] * (SHORT_CALLERS // 2)
            work = [
                self._callers(entry, path, 0.08 + 0.004 * number)
                for number, path in enumerate(paths)
            ]
            if stop.long:
                work += [self._callers(entry, stop.long, 0.05) for _ in range(3)]
            return work
        return [
            self._overlapping_callers(entry, stop.read),
            self._callers(entry, stop.once, 0.1, keeps=False),
            self._callers(entry, stop.read, 0.0),
            self._callers(entry, stop.once, 0.2),
            self._callers(entry, stop.read, 0.1, pipelined=3),
            self._callers(entry, stop.read, 0.1, pipelined=3, obeys_close=False),
            self._callers(entry, stop.read, 0.1, leaves_after_s=LEAVES_AFTER_S),
            # More than a node reads ahead.
            self._callers(
                entry, stop.read, 0.1, pipelined=6, leaves_after_s=LEAVES_AFTER_S
            ),
        ]

    async def _stop_beside_callers(self) -> None:
        stop = self._stop
        tasks = [asyncio.create_task(self._watch())]
        for name in stop.entries:
            tasks += map(asyncio.create_task, self._work(self._machines[name]))
        await asyncio.sleep(TRAFFIC_BEFORE_STOP_S)
        await stop.act(self._fleet, self._machine)
        rest_s = self._machine.stops[0][0] + TRAFFIC_AFTER_STOP_S - time.time()
        await asyncio.sleep(rest_s)
        self._ended = True
        await asyncio.gather(*tasks)
        await asyncio.sleep(LAST_RUNS_S)

    def _check(self) -> None:
        folder, machines = self._fleet.folder, self._fleet.machines
        runs = read_runs(folder, machines)
        for outcome in [*self._outcomes, *read_calls(folder, machines)]:
            own_runs = runs.get(outcome.request_id, [])
            self._add(describe_loss(outcome, own_runs, self._machines))
            self._add(
                describe_vain_work(outcome, own_runs, self._machines, self._stalled_s)
            )
            if own_runs and outcome.status in NOT_RUN_STATUSES:
                self._add(f"{outcome.request_id}: {outcome.status}, but it was run")
        stop_s, grace_s = self._machine.stops[0]
        starts = [run.started_s - stop_s for r in runs.values() for run in r]
        if sum(0.0 < start_s < 2.0 for start_s in starts) < self._stop.least_run_count:
            self._add("too few runs after SIGTERM")
        match self._exit:
            case None:
                self._add("node has not ended")
            case (after_s, code) if code or after_s > grace_s:
                self._add(f"node exited with {code} {after_s:.2f} s after SIGTERM")

    def _add(self, text: str | None) -> None:
        if text is not None:
            self.violations.append(text)


Results = dict[str, list[str]]


def _row_id(stop: Stop) -> str:
    return stop.name.replace(" ", "-")


async def _play(runs: list[StopRun]) -> None:
    # Processes start before the first play: their start stalls this process.
    try:
        for number in range(0, len(runs), MAX_STARTING):
            batch = runs[number : number + MAX_STARTING]
            await asyncio.gather(*(run.start() for run in batch))
        await asyncio.gather(*(run.play() for run in runs))
    finally:
        for run in runs:
            run.stop_processes()


@pytest.fixture(scope="module")
def results(
    request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory
) -> Results:
    """Play all selected ways at the same time; return their violations by name."""
    names = " ".join(item.name for item in request.session.items)
    selected = [stop for stop in STOPS if f"[{_row_id(stop)}]" in names]
    runs = {
        stop.name: StopRun(stop, tmp_path_factory.mktemp("fleet"), 8 * number)
        for number, stop in enumerate(selected)
    }
    uvloop.run(_play(list(runs.values())))
    return {name: run.violations for name, run in runs.items()}


@pytest.mark.parametrize("stop", STOPS, ids=_row_id)
def test_accepted_requests_are_answered_as_their_node_ends(
    stop: Stop, results: Results
) -> None:
    violations = results[stop.name]
    assert not violations, "\n".join(violations)


async def _signal_while_starting(fleet: SoakFleet) -> int | None:
    machine = fleet.machines[0]
    fleet.start_node(machine)
    node = machine.processes["node"]
    async with asyncio.timeout(START_TIMEOUT_S):
        # Libraries are loaded after the first lines of the program and long before it
        # listens.
        while "uvloop" not in Path(f"/proc/{node.pid}/maps").read_text():
            await asyncio.sleep(0.001)
        os.kill(node.pid, signal.SIGHUP)
        while node.is_running() and await connect(machine) is None:
            await asyncio.sleep(0.05)
    return node.poll()


async def _signal_while_ending(fleet: SoakFleet) -> int | None:
    machine = fleet.machines[0]
    fleet.start_node(machine)
    node = machine.processes["node"]
    async with asyncio.timeout(START_TIMEOUT_S):
        while await connect(machine) is None:
            await asyncio.sleep(0.05)
        node.terminate()
        while node.is_running():
            os.kill(node.pid, signal.SIGHUP)
            await asyncio.sleep(0.001)
    return node.poll()


def test_reload_signal_does_not_end_a_node_that_is_ending(tmp_path: Path) -> None:
    """It exited with code -1: a loop that closes restores the default action."""
    fleet = SoakFleet(tmp_path, FleetPlan({"jobs": 1}, first_network=8 * len(STOPS)))
    try:
        assert uvloop.run(_signal_while_ending(fleet)) == 0
    finally:
        fleet.stop()


def test_reload_signal_during_the_start_does_not_end_a_node(tmp_path: Path) -> None:
    """The platform may change the settings while the libraries are loaded."""
    fleet = SoakFleet(tmp_path, FleetPlan({"jobs": 1}, first_network=8 * len(STOPS)))
    try:
        assert uvloop.run(_signal_while_starting(fleet)) is None
    finally:
        fleet.stop()
