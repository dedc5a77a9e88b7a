"""Starts and stops the processes of a small deployment, for tests and benchmarks.

The harness is synchronous; load generators run concurrently in the event loop of
their caller. The harness signals only processes that it started, by their id.
"""

import json
import shutil
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from types import TracebackType

import httpx
import msgspec

from briardock.exceptions import BriardockError
from briardock_standins._control import ControlClient
from briardock_standins._processes import ManagedProcess, PortPool
from briardock_standins.deployments import (
    RELAYED_PURPOSES,
    DeploymentSpec,
    Instance,
    ServiceSpec,
    render_settings,
)
from briardock_standins.ledger import Entry, read_ledger
from briardock_standins.plans import RelayLink, RelayPlan

READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02
STOP_TIMEOUT_S = 10.0
PLATFORM = "platform"


class HarnessError(BriardockError):
    """A process exited early, did not get ready in time or failed a command."""


class Deployment(ControlClient):
    """Processes of one deployment, as a context manager.

    :param spec: specification of the deployment
    """

    def __init__(self, spec: DeploymentSpec) -> None:
        super().__init__()
        self.spec = spec
        self.folder = Path(tempfile.mkdtemp(prefix="briardock-"))
        self.processes: dict[str, ManagedProcess] = {}
        self.ports = PortPool()
        self.log_port = self.ports.take()
        self._relay_ports: dict[str, int] = {}
        for service in spec.services:
            for domain in service.domains:
                self._add_instance(service, domain)

    def __enter__(self) -> "Deployment":
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stop()

    def _add_instance(self, service: ServiceSpec, domain: str) -> None:
        number = sum(
            instance.plan.service == service.target.service
            for instance in self.instances.values()
        )
        name = f"{service.target.service}-{number}"
        purposes = ("http", "call", "gossip", "admin", "target")
        ports = {purpose: self.ports.take() for purpose in purposes}
        plan = msgspec.structs.replace(
            service.target,
            node="" if self.spec.direct else f"127.0.0.1:{ports['http']}",
            port=ports["target"],
            seed=self.spec.seed * 1_000 + len(self.instances),
        )
        self.instances[name] = Instance(name, domain, plan, ports)

    def start(self) -> None:
        """Start all processes, publish the configuration and wait until ready."""
        if self.spec.direct:
            self._start_direct()
            return
        self.start_log()
        if self.spec.relay:
            self._start_relay()
        for name in self.instances:
            self.spawn_node(name)
        for name in self.instances:
            self.wait_for_node(name)
        if self.spec.config is not None:
            self.publish(self.spec.config)
            self.wait_for_configuration()
        for name in self.instances:
            self.start_target(name)
        self.wait_for_members()

    def _start_direct(self) -> None:
        """Start targets that call each other without nodes, callees first."""
        upstreams: dict[str, tuple[str, ...]] = {}
        for instance in self.instances.values():
            address = f"127.0.0.1:{instance.ports['target']}"
            service = instance.plan.service
            upstreams[service] = (*upstreams.get(service, ()), address)
        for name, instance in self.instances.items():
            instance.plan = msgspec.structs.replace(instance.plan, upstreams=upstreams)
            self.start_target(name)

    def stop(self) -> None:
        """Stop all running processes and remove the temporary folder."""
        for process in self.processes.values():
            process.resume()
            process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in self.processes.values():
            process.wait_or_kill(deadline - time.monotonic())
        self.close()
        self.ports.release()
        shutil.rmtree(self.folder, ignore_errors=True)

    # Processes

    def start_log(self) -> None:
        """Start the stand-in for the log service and wait until it responds."""
        self._spawn(
            "log",
            "briardock_standins.log",
            "--host=127.0.0.1",
            f"--port={self.log_port}",
            f"--retention-records={self.spec.retention_records}",
            f"--seed={self.spec.seed}",
        )
        url = f"http://127.0.0.1:{self.log_port}/streams/members?from=0"
        self.wait_until("the log to respond", lambda: self.is_responding(url), "log")

    def _start_relay(self) -> None:
        links = [self._add_link("log", self.log_port, PLATFORM)]
        for name, instance in self.instances.items():
            for purpose in RELAYED_PURPOSES:
                port = instance.ports[purpose]
                links.append(self._add_link(f"{name}.{purpose}", port, instance.domain))
        plan = RelayPlan(self.spec.domains, tuple(links), delay_ms=self.spec.delay_ms)
        path = self.folder / "relay.json"
        path.write_bytes(msgspec.json.encode(plan))
        self._spawn("relay", "briardock_standins.relay", str(path))
        self.relay_control = self._read_ready("relay")["control"]

    def _add_link(self, name: str, port: int, domain: str) -> RelayLink:
        self._relay_ports[name] = self.ports.take()
        return RelayLink(self._relay_ports[name], f"127.0.0.1:{port}", domain)

    def spawn_node(self, name: str) -> None:
        """Start a node without waiting for it.

        :param name: node id
        """
        path = self.folder / f"{name}.ini"
        path.write_text(self._render_settings(self.instances[name]))
        self._spawn(name, "briardock.node", "--settings", str(path))

    def wait_for_node(self, name: str) -> None:
        """Wait until the operator endpoint of a node responds.

        :param name: node id
        """
        url = f"http://{self.instances[name].admin}/status"
        self.wait_until(
            f"node {name} to respond", lambda: self.is_responding(url), name
        )

    def start_target(self, name: str) -> None:
        """Start the target beside a node and wait until it listens.

        :param name: node id
        """
        instance = self.instances[name]
        process_name = target_name(name)
        ledger = self.folder / f"{name}.{len(instance.ledgers)}.jsonl"
        instance.ledgers.append(ledger)
        path = self.folder / f"{name}.target.json"
        plan = msgspec.structs.replace(instance.plan, ledger=str(ledger))
        path.write_bytes(msgspec.json.encode(plan))
        self._spawn(process_name, "briardock_standins.target", "--plan", str(path))
        ready = self._read_ready(process_name)
        instance.address = ready["address"]
        instance.control = ready["control"]

    def _render_settings(self, instance: Instance) -> str:
        return render_settings(
            self.spec,
            instance,
            self.instances.values(),
            self._relay_ports,
            self.log_port,
        )

    def _spawn(self, name: str, module: str, *arguments: str) -> None:
        command = [sys.executable, "-m", module, *arguments]
        self.processes[name] = ManagedProcess(name, command, self.folder)

    def _read_ready(self, name: str) -> dict[str, str]:
        process = self.processes[name]
        self.wait_until(f"{name} to be ready", lambda: b"\n" in process.output(), name)
        ready: dict[str, str] = json.loads(process.output().splitlines()[0])
        return ready

    # Faults

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait until it has exited.

        :param name: node id, ``<node id>.target``, ``log`` or ``relay``
        """
        self.processes[name].kill()

    def freeze(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self.processes[name].freeze()

    def resume(self, name: str) -> None:
        """Continue a frozen process."""
        self.processes[name].resume()

    def terminate(self, name: str) -> None:
        """Send SIGTERM to a process, without waiting for its exit."""
        self.processes[name].terminate()

    def wait_for_exit(self, name: str, timeout_s: float = READY_TIMEOUT_S) -> int:
        """Wait until a process has exited and return its exit code."""
        process = self.processes[name]
        self.wait_until(
            f"{name} to exit", lambda: process.poll() is not None, "", timeout_s
        )
        code = process.poll()
        assert code is not None
        return code

    # Observation

    def target_ledgers(self) -> list[list[Entry]]:
        """Return the ledgers of all targets, one for each start of a target."""
        return [
            read_ledger(path)
            for instance in self.instances.values()
            for path in instance.ledgers
            if path.exists()
        ]

    def entries(self, *names: str) -> tuple[str, ...]:
        """Return the caller addresses of the named nodes, or of all nodes."""
        instances = [self.instances[name] for name in names or self.instances]
        if self.spec.direct:
            return tuple(instance.address for instance in instances)
        return tuple(instance.entry for instance in instances)

    # Configuration

    def publish(
        self, folder: Path, operator: str = "operator"
    ) -> subprocess.CompletedProcess[str]:
        """Publish a configuration folder with the operator command.

        :param folder: operators' configuration
        :param operator: operator whose copy of the published versions is used
        :raises HarnessError: if the command fails
        """
        result = self.try_publish(folder, operator)
        if result.returncode:
            raise HarnessError(f"publish failed: {result.stderr or result.stdout}")
        return result

    def try_publish(
        self, folder: Path, operator: str = "operator"
    ) -> subprocess.CompletedProcess[str]:
        """Run the operator command that publishes a folder and return its result.

        The command stores the published versions in the folder, so it runs on a copy
        for one operator of this deployment.
        """
        copy = self.folder / "operators" / operator
        replace_configuration(folder, copy)
        log = f"127.0.0.1:{self.log_port}"
        arguments = ["briardock.cli", "publish", str(copy), "--log", log]
        command = [sys.executable, "-m", *arguments]
        return subprocess.run(
            command,
            capture_output=True,
            text=True,
            timeout=READY_TIMEOUT_S,
            check=False,
        )

    def wait_for_configuration(self, version: int = 0) -> None:
        """Wait until every running node has a configuration.

        :param version: minimum version
        """
        for name in self._running_nodes():
            self.wait_until(
                f"{name} to have configuration {version}",
                partial(self._has_version, name, version),
                name,
            )

    def _has_version(self, name: str, version: int) -> bool:
        in_force = self.status(name)["configuration"]["version"]
        return in_force is not None and int(in_force) >= version

    def wait_for_members(self) -> None:
        """Wait until every running node sees a ready target on each running node."""
        expected = self._running_nodes()
        for name in expected:
            self.wait_until(
                f"{name} to see {len(expected)} members",
                partial(self._sees_members, name, set(expected)),
                name,
            )

    def _sees_members(self, name: str, expected: set[str]) -> bool:
        ready = {
            member["node_id"]
            for member in self.status(name)["members"]
            if member["reachable"] and member["state"] == "ready"
        }
        return ready >= expected

    def _running_nodes(self) -> list[str]:
        return [name for name in self.instances if self.processes[name].is_running()]

    # Waiting

    def wait_until(
        self,
        description: str,
        predicate: Callable[[], bool],
        process: str = "",
        timeout_s: float = READY_TIMEOUT_S,
    ) -> float:
        """Poll until a predicate holds and return the time it took in s.

        :param description: description of the predicate, for the error message
        :param predicate: condition; an error of an HTTP request counts as false
        :param process: process whose exit ends the wait with an error, and whose
            standard error the message shows
        :param timeout_s: timeout
        :raises HarnessError: if the predicate does not hold within the timeout
        """
        start = time.monotonic()
        while True:
            try:
                if predicate():
                    return time.monotonic() - start
            except (httpx.HTTPError, KeyError):
                pass
            managed = self.processes.get(process)
            if managed is not None and managed.poll() is not None:
                raise HarnessError(f"{process} exited: {managed.tail()}")
            if time.monotonic() - start > timeout_s:
                stderr = managed.tail() if managed is not None else ""
                raise HarnessError(
                    f"timed out after {timeout_s} s waiting for {description}; {stderr}"
                )
            time.sleep(POLL_INTERVAL_S)


def replace_configuration(source: Path, destination: Path) -> None:
    """Replace the files of a configuration folder, each of them at once.

    Another thread may read the destination meanwhile.

    :param source: folder with the new files
    :param destination: folder whose other files, such as base versions, are kept
    """
    destination.mkdir(parents=True, exist_ok=True)
    names = {file.name for file in source.glob("*.ini")}
    with tempfile.TemporaryDirectory(dir=destination.parent) as staging:
        for name in names:
            staged = shutil.copy(source / name, staging)
            Path(staged).replace(destination / name)
    for file in destination.glob("*.ini"):
        if file.name not in names:
            file.unlink()


def target_name(node: str) -> str:
    """Return the process name of the target beside a node."""
    return f"{node}.target"
