"""Machines of the soak: addresses, settings files and processes."""

import json
import os
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from briardock.mesh.model import split_address
from briardock_standins._processes import ManagedProcess, PortPool
from mesh_fakes import config, route, send
from soak_programs import DRAIN_S, TargetPlan

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
SERVICES = {"jobs": 3, "maps": 3}


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
"""

    def may_be_affected_at(self, at: float) -> bool:
        """Return whether a fault may delay a request at a time."""
        return any(-1.0 < at - fault_at < 8.0 for fault_at in self.fault_times)


class SoakFleet:
    """Store, relay, nodes and targets as processes.

    :param folder: settings, logs and ledgers
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.version = 0
        self.programs: dict[str, ManagedProcess] = {}
        self._ports = PortPool()
        self.store_address = self._new_address()
        self.store_link = self._new_address()
        self.relay_control = self._new_address()
        network = 64 + os.getpid() % 128
        self.machines: list[Machine] = []
        for service, count in SERVICES.items():
            for number in range(count):
                self.machines.append(
                    Machine(
                        f"{service}-{number}",
                        service,
                        f"127.{network}.{len(self.machines)}.1",
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
        path = self.folder / f"{machine.name}.toml"
        path.write_text(machine.settings(self.store_link))
        machine.start_count += 1
        machine.processes["node"] = self._start(
            f"{machine.name}-node{machine.start_count}",
            str(ROOT / "deploy/run_node.py"),
            f"--settings={path}",
        )

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

    async def write_config(self) -> None:
        """Write the newest configuration, also if it was written before."""
        routes = [
            route("jobs", "/jobs/", timeout="1200ms"),
            route("once", "/once/", kind="non_idempotent", timeout="1200ms"),
            route("maps", "/maps/", service="maps", timeout="1000ms"),
            route("version", f"/v{self.version}/"),
        ]
        document = config(self.version, *routes)
        record = b"\x06config" + document
        body = len(record).to_bytes(4, "big") + record
        await send(self.store_address, "/log-append?topic=keyed.op&part=0", body)
