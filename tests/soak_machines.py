"""Machines of the soak: addresses, settings files and processes."""

import json
import os
import signal
import sys
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from briardock.mesh.model import split_address
from briardock_standins._processes import ManagedProcess, PortPool
from mesh_fakes import config, route, send
from soak_accounts import KEYED_PATH, LIMITED_PATH, LIMITED_RUN_RANGE_S, tenants
from soak_programs import DRAIN_S, TargetPlan
from soak_shares import SPLIT_PATH, split_spec

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
# Time by which busy processors may delay an exit, s.
EXIT_ALLOWANCE_S = 0.5
SERVICES = {"jobs": 3, "maps": 3}
LONG_PATHS = ("/jobs/long/", "/once/long/", "/maps/long/")
LONG_TIMEOUT_S = 4.0
RUN_RANGES_S = {
    **dict.fromkeys(LONG_PATHS, (0.5, 2.0)),
    LIMITED_PATH: LIMITED_RUN_RANGE_S,
}


def _public_route(name: str, prefix: str, **spec: Any) -> dict[str, Any]:
    """Return a route that needs no key, whether there are accounts or not."""
    return route(name, prefix, public=True, **spec)


ROUTES = (
    _public_route("jobs", "/jobs/", timeout="1200ms"),
    _public_route("once", "/once/", kind="non_idempotent", timeout="1200ms"),
    _public_route("maps", "/maps/", service="maps", timeout="1000ms"),
    _public_route("jobs-long", "/jobs/long/", timeout="4s"),
    _public_route("once-long", "/once/long/", kind="non_idempotent", timeout="4s"),
    _public_route("messages", "/.briardock/", timeout="1200ms"),
    _public_route("maps-long", "/maps/long/", service="maps", timeout="4s"),
)
SPLIT_ROUTE = _public_route("split", SPLIT_PATH, timeout="1200ms", **split_spec())
KEYED_ROUTE = route("keyed", KEYED_PATH, timeout="1200ms")
# Timeouts of these routes by path prefix, s.
TIMEOUTS_S = {
    **dict.fromkeys(LONG_PATHS, LONG_TIMEOUT_S),
    "/maps/": 1.0,
    "/jobs/": 1.2,
    "/once/": 1.2,
    KEYED_PATH: 1.2,
    SPLIT_PATH: 1.2,
}


@dataclass(frozen=True)
class FleetPlan:
    """What a fleet consists of.

    :param services: number of machines by service
    :param routes: routes of all versions of the configuration
    :param run_ranges_s: shortest and longest run of the targets by path prefix
    :param has_accounts: whether there are client accounts and a route that needs a key
    :param first_network: third part of the address of the first machine; fleets that
        run at the same time need distinct ones
    """

    services: Mapping[str, int] = field(default_factory=lambda: SERVICES)
    routes: Sequence[dict[str, Any]] = ROUTES
    run_ranges_s: Mapping[str, tuple[float, float]] = field(
        default_factory=lambda: RUN_RANGES_S
    )
    first_network: int = 0
    has_accounts: bool = False


@dataclass
class Machine:
    """Processes and addresses of one machine."""

    name: str
    service: str
    ip: str
    target_address: str
    link_address: str
    grace_s: float = 6.0
    processes: dict[str, ManagedProcess] = field(default_factory=dict)
    start_count: int = 0
    # Times of faults that may delay its requests.
    fault_times: list[float] = field(default_factory=list)
    # Times of those that may break off its requests: a process is killed or frozen, or
    # the link to the target fails.
    harm_times: list[float] = field(default_factory=list)
    # Begin and end of slow exchanges with its target, without a node between.
    slow_probes: list[tuple[float, float]] = field(default_factory=list)
    # Times at which its frozen node continued.
    resume_times: list[float] = field(default_factory=list)
    # Times of SIGTERM to its node, each with the shortest grace period from then on, s.
    stops: list[tuple[float, float]] = field(default_factory=list)
    # Latest time at which the node that was told to stop must have exited.
    exit_before_s: float | None = None

    @property
    def caller_address(self) -> str:
        return f"{self.ip}:8001"

    @property
    def ready_address(self) -> str:
        return f"{self.ip}:8003"

    def settings(self, store_address: str) -> str:
        return f"""
[self]
node = "{self.name}"
zone = "z{int(self.name[-1]) % 3}"
service = "{self.service}"
app-address = "{self.link_address}"
[self.limits]
memory-mb = 300
[network.listen-addresses]
inbound = "{self.ip}:8000"
outbound = "{self.caller_address}"
ready = "{self.ready_address}"
control-plane = "{self.ip}:8002"
[platform]
heartbeat-interval = "500ms"
[platform.platform]
address = "{store_address}"
[terms.bounds]
grace = "{self.grace_s}s"
drain = "{DRAIN_S}s"
budget-ratio = 0.2
budget-window = "10s"
budget-slack = 49
strict-revocation = true
"""

    def may_be_affected_at(self, at: float) -> bool:
        """Return whether a fault may delay a request at a time."""
        return any(-1.0 < at - fault_at < 8.0 for fault_at in self.fault_times)

    def may_be_harmed_between(self, start_s: float, end_s: float) -> bool:
        """Return whether a fault may break off a request in a period."""
        return any(
            start_s - 8.0 < harmed_s < end_s + 1.0 for harmed_s in self.harm_times
        )

    def terminate_node(self) -> None:
        """Send SIGTERM to the node."""
        at = time.time()
        if self.exit_before_s is None and self.processes["node"].is_running():
            self.stops.append((at, self.grace_s))
            self.exit_before_s = at + self.grace_s
        self.processes["node"].terminate()

    def target_delay_s(self, start_s: float, end_s: float) -> float:
        """Return for how long the link and the target were late in a period, s.

        On busy processors both stall at times, whatever the node does. A stall may last
        longer than the timeout of a probe, and then extends over several.
        """
        return sum(
            max(0.0, min(end_s, probe_end_s) - max(start_s, probe_start_s))
            for probe_start_s, probe_end_s in self.slow_probes
        )

    def has_overrun(self) -> bool:
        """Return whether the node should have exited, unless it was held up."""
        now = time.time()
        if self.exit_before_s is None or now < self.exit_before_s + EXIT_ALLOWANCE_S:
            return False
        return not self.may_be_harmed_between(self.stops[-1][0], now)

    def change_grace(self, grace_s: float) -> None:
        """Change the grace period, also of a node that is stopping.

        :param grace_s: new grace period, s
        """
        self.grace_s = grace_s
        if self.exit_before_s is not None:
            stop_s, shortest_s = self.stops[-1]
            self.stops[-1] = (stop_s, min(grace_s, shortest_s))
            self.exit_before_s = max(self.exit_before_s, stop_s + grace_s)


class SoakFleet:
    """Store, relay, nodes and targets as processes.

    :param folder: settings, logs and ledgers
    :param plan: machines, routes and run times
    """

    def __init__(self, folder: Path, plan: FleetPlan | None = None) -> None:
        self.folder = folder
        self.plan = plan or FleetPlan()
        self.version = 0
        # Whether the newest configuration lacks the key that is revoked, and the time
        # at which the store acknowledged that.
        self.is_revoked = False
        self.revoked_s: float | None = None
        self.programs: dict[str, ManagedProcess] = {}
        self._ports = PortPool()
        self.store_address = self._new_address()
        self.store_link = self._new_address()
        self.relay_control = self._new_address()
        network = 64 + os.getpid() % 128
        self.machines: list[Machine] = []
        for service, count in self.plan.services.items():
            for number in range(count):
                part = self.plan.first_network + len(self.machines)
                self.machines.append(
                    Machine(
                        f"{service}-{number}",
                        service,
                        f"127.{network}.{part}.1",
                        self._new_address(),
                        self._new_address(),
                    )
                )

    def _new_address(self) -> str:
        return f"{HOST}:{self._ports.take()}"

    def _start(self, name: str, *command: str) -> ManagedProcess:
        return ManagedProcess(name, [sys.executable, *command], self.folder)

    def start_node(self, machine: Machine) -> None:
        """Start the node of a machine."""
        path = self.write_settings(machine)
        machine.start_count += 1
        machine.exit_before_s = None
        machine.processes["node"] = self._start(
            f"{machine.name}-node{machine.start_count}",
            str(ROOT / "deploy/run_node.py"),
            f"--settings={path}",
        )

    def write_settings(self, machine: Machine) -> Path:
        """Write the settings file of a machine and return its path."""
        path = self.folder / f"{machine.name}.toml"
        path.write_text(machine.settings(self.store_link))
        return path

    def start_target(self, machine: Machine) -> None:
        """Start the target of a machine."""
        plan = TargetPlan(
            machine.name,
            machine.service,
            machine.target_address,
            machine.link_address,
            f"{machine.ip}:8002",
            machine.caller_address,
            str(self.folder / f"{machine.name}.ledger"),
            dict(self.plan.run_ranges_s),
        )
        path = self.folder / f"{machine.name}.json"
        path.write_bytes(msgspec.json.encode(plan))
        machine.processes["target"] = self._start(
            f"{machine.name}-target",
            str(ROOT / "tests/soak_programs.py"),
            "target",
            str(path),
        )

    def start(self) -> None:
        """Start all processes."""
        programs = str(ROOT / "tests/soak_programs.py")
        self.programs["store"] = self._start(
            "store", programs, "store", self.store_address
        )
        links = [(self.store_link, self.store_address, "store")]
        links += [(m.link_address, m.target_address, m.name) for m in self.machines]
        plan = {
            "domains": {"nodes": HOST},
            "links": [
                {"port": split_address(near)[1], "to": far, "domain": name}
                for near, far, name in links
            ],
            "control_port": split_address(self.relay_control)[1],
        }
        path = self.folder / "relay.json"
        path.write_text(json.dumps(plan))
        self.programs["relay"] = self._start(
            "relay", "-m", "briardock_standins.relay", str(path)
        )
        for machine in self.machines:
            self.start_target(machine)
            self.start_node(machine)

    def stop(self) -> None:
        """Kill all processes that this soak started."""
        for process in self._all_processes():
            process.kill()
        self._ports.release()

    def _all_processes(self) -> list[ManagedProcess]:
        processes = [p for m in self.machines for p in m.processes.values()]
        return [*processes, *self.programs.values()]

    def restart_ended(self) -> list[str]:
        """Restart exited processes, as the platform does; return node failures."""
        failures = []
        for machine in self.machines:
            for kind, process in list(machine.processes.items()):
                code = process.poll()
                if code is None:
                    if kind == "node" and machine.has_overrun():
                        failures.append(
                            f"{machine.name}: node outlived its grace period"
                        )
                        process.kill()
                    continue
                if kind == "target":
                    self.start_target(machine)
                    continue
                if code not in (0, -signal.SIGKILL):
                    text = f"{machine.name}: node exited with code {code}"
                    failures.append(f"{text}: {process.tail()[-300:]}")
                self.start_node(machine)
        return failures

    async def publish(self) -> None:
        """Publish a configuration with a route that only this version has."""
        self.version += 1
        await self.write_config()

    async def revoke(self) -> None:
        """Publish a configuration that lacks the key that is revoked."""
        self.is_revoked = True
        await self.publish()
        self.revoked_s = time.time()

    async def write_config(self) -> None:
        """Write the newest configuration, also if it was written before."""
        version_route = _public_route("version", f"/v{self.version}/")
        resources = [*self.plan.routes, version_route]
        if self.plan.has_accounts:
            resources += [KEYED_ROUTE, *tenants(self.is_revoked)]
        document = config(self.version, *resources)
        record = b"\x06config" + document
        body = len(record).to_bytes(4, "big") + record
        await send(self.store_address, "/log-append?topic=keyed.op&part=0", body)
