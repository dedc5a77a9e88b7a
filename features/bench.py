"""Test bench of a scenario: a small deployment, background load and a probe request."""

import contextlib
import subprocess
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import httpx

from briardock.clock import SystemClock
from briardock_standins.deployments import DeploymentSpec, ServiceSpec
from briardock_standins.harness import Deployment, target_name
from briardock_standins.ledger import (
    Entry,
    RunEnded,
    RunStarted,
    Told,
    Violation,
    find_violations,
    read_ledger,
)
from briardock_standins.load import LoadGenerator
from briardock_standins.plans import (
    ActionPlan,
    ChildCall,
    Distribution,
    LoadPlan,
    OperationPlan,
    Phase,
    TargetPlan,
)

DOMAINS = {"a": "127.0.1.1", "b": "127.0.2.1"}
BOOKING = "bookings.create"
PAYMENT = "wallet.pay"
AT_MOST_ONCE_OPERATIONS = (BOOKING, PAYMENT)
RETRIES = 2
DEADLINE_MS = 3_000
RECOVERY_TIMEOUT_S = 25.0

CONFIG = {
    "00-classes.ini": "[class critical]\nrank = 0\n[class view]\nrank = 3\n",
    "10-bookings.ini": (
        "[service bookings]\n"
        "[operation bookings.create]\nmatch = POST /bookings\nclass = critical\n"
        f"idempotent = no\nretries = {RETRIES}\ndeadline_ms = {DEADLINE_MS}\n"
        "calls = wallet.pay\n"
        "[operation bookings.read]\nmatch = GET /bookings/{id}\nclass = view\n"
        f"idempotent = yes\nretries = {RETRIES}\ncalls = wallet.balance\n"
    ),
    "20-wallet.ini": (
        "[service wallet]\n"
        "[operation wallet.pay]\nmatch = POST /payments\nclass = critical\n"
        f"idempotent = no\nretries = {RETRIES}\ndeadline_ms = {DEADLINE_MS}\n"
        "[operation wallet.balance]\nmatch = GET /balance\nclass = view\n"
        f"idempotent = yes\nretries = {RETRIES}\n"
    ),
}


def make_services(booking_ms: float, crash_marker: str) -> tuple[ServiceSpec, ...]:
    """Return bookings and wallet with one instance in each failure domain."""
    fixed = Distribution.FIXED
    bookings = TargetPlan(
        "bookings",
        (
            OperationPlan(
                "create",
                "/bookings",
                "POST",
                booking_ms,
                fixed,
                calls=(ChildCall("wallet", "/payments", "POST"),),
            ),
            OperationPlan(
                "read",
                "/bookings/{id}",
                "GET",
                5.0,
                calls=(ChildCall("wallet", "/balance"),),
            ),
        ),
        crash_marker=crash_marker,
    )
    wallet = TargetPlan(
        "wallet",
        (
            OperationPlan("pay", "/payments", "POST", booking_ms, fixed),
            OperationPlan("balance", "/balance", "GET", 5.0),
        ),
        crash_marker=crash_marker,
    )
    domains = tuple(DOMAINS)
    return ServiceSpec(bookings, domains), ServiceSpec(wallet, domains)


@dataclass(slots=True)
class Probe:
    """A booking that the scenario sends itself, under one idempotency key.

    :param key: issued key
    :param issuer: node that issued it
    :param body: request body
    :param results: outcome that the caller received, one entry for each send
    """

    key: str
    issuer: str
    body: str
    results: list[Told] = field(default_factory=list)


class Bench:
    """Deployment, background load and probe of one scenario.

    :param seed: seed of all processes and of the load
    :param booking_ms: service time of a booking and of its payment
    """

    def __init__(self, seed: int, booking_ms: float = 250.0) -> None:
        spec = DeploymentSpec(
            make_services(booking_ms, "crash-target"),
            domains=DOMAINS,
            relay=True,
            seed=seed,
        )
        self.seed = seed
        self.deployment = Deployment(spec)
        self.config = self.deployment.folder / "config"
        self._client = httpx.Client(timeout=10.0, trust_env=False)
        self._threads: list[threading.Thread] = []
        self.load_results: list[Told] = []
        self._sent_count = 0
        self._recovery_probes: list[Probe] = []
        self._heal_actions: list[Callable[[], None]] = []
        self.publish_races: list[list[subprocess.CompletedProcess[str]]] = []

    def start(self) -> None:
        """Start all processes and publish the configuration."""
        write_config(self.config, CONFIG)
        self.deployment.start()
        self.deployment.publish(self.config)
        self.deployment.wait_for_configuration()
        self.deployment.wait_for_members()

    def close(self) -> None:
        """Undo all faults and stop all processes."""
        for heal in self._heal_actions:
            heal()
        for thread in self._threads:
            thread.join(RECOVERY_TIMEOUT_S)
        self._client.close()
        self.deployment.stop()

    # Requests

    def make_probe(self, issuer: str, body: str = "probe") -> Probe:
        """Obtain a key from a node."""
        url = f"http://{self.deployment.instances[issuer].entry}/_briardock/keys"
        key = self._client.post(url).raise_for_status().json()["keys"][0]
        return Probe(key, issuer, body)

    def send(self, probe: Probe, node: str, deadline_ms: int = DEADLINE_MS) -> Told:
        """Send the probe to a node; record and return the outcome."""
        self._sent_count += 1
        name = f"probe{self._sent_count}"
        headers = {
            "idempotency-key": probe.key,
            "x-nonce": name,
            "briardock-deadline-ms": str(deadline_ms),
        }
        url = f"http://{self.deployment.instances[node].entry}/bookings/bookings"
        start_ms = time.monotonic() * 1000.0
        outcome, reason, status, body_ok = "unknown", "no-answer", 0, False
        try:
            response = self._client.post(url, headers=headers, content=probe.body)
        except httpx.HTTPError:
            pass
        else:
            outcome = response.headers.get("briardock-outcome", "unknown")
            status = response.status_code
            content = response.json()
            reason = content.get("reason", "")
            # A resend receives the response to the first send, whose nonce differs.
            body_ok = str(content.get("nonce", "")).startswith("probe")
        result = Told(
            name,
            len(probe.results),
            True,
            probe.key,
            BOOKING,
            "critical",
            outcome,
            reason,
            status,
            body_ok,
            start_ms,
            time.monotonic() * 1000.0,
        )
        probe.results.append(result)
        return result

    def send_in_background(
        self, probe: Probe, node: str, deadline_ms: int = DEADLINE_MS
    ) -> None:
        """Send the probe in the background."""
        self.run_in_background(lambda: self.send(probe, node, deadline_ms))

    def start_load(self, duration_s: float, rate_per_s: float) -> None:
        """Send bookings with resends, and reads, in the background."""
        resends = {"resends": 2, "resend_delay_ms": 100.0}
        plan = LoadPlan(
            self.deployment.entries(),
            (
                ActionPlan(
                    BOOKING, "/bookings", "critical", "POST", 1.0, True, **resends
                ),
                ActionPlan("bookings.read", "/bookings/7", "view", weight=2.0),
            ),
            (Phase(duration_s),),
            rate_per_s,
            seed=self.seed,
        )

        async def run() -> None:
            self.load_results += await LoadGenerator(plan, SystemClock()).run()

        self.run_in_background(lambda: anyio.run(run))

    def run_in_background(self, action: Callable[[], object]) -> None:
        """Run an action in a thread while the scenario continues."""
        thread = threading.Thread(target=action, daemon=True)
        thread.start()
        self._threads.append(thread)

    def join(self) -> None:
        """Wait until all background actions have ended."""
        for thread in self._threads:
            thread.join(RECOVERY_TIMEOUT_S + DEADLINE_MS / 1000.0)
            assert not thread.is_alive(), "a background request received no response"
        self._threads.clear()

    # Observation

    def started_runs(self, key: str, operation: str) -> list[tuple[str, RunStarted]]:
        """Return the runs of an operation under a root key, with their node."""
        runs = []
        for name, ledger in self.ledgers_by_node():
            for entry in ledger:
                if not isinstance(entry, RunStarted) or entry.operation != operation:
                    continue
                if entry.key.partition("/")[0] == key:
                    runs.append((name, entry))
        return runs

    def ledgers_by_node(self) -> list[tuple[str, list[Entry]]]:
        """Return the ledger entries of all targets with the name of their node."""
        return [
            (name, read_ledger(path))
            for name, instance in self.deployment.instances.items()
            for path in instance.ledgers
            if path.exists()
        ]

    def wait_for_run_start(self, probe: Probe, operation: str) -> str:
        """Wait until a target runs an operation of the probe; return its node."""
        self.deployment.wait_until(
            f"{operation} to run", lambda: bool(self.started_runs(probe.key, operation))
        )
        return self.started_runs(probe.key, operation)[0][0]

    def wait_for_run_end(self, probe: Probe) -> None:
        """Wait until the run of the probe booking has ended."""

        def ended() -> bool:
            runs = {start.run for _, start in self.started_runs(probe.key, BOOKING)}
            return any(
                isinstance(entry, RunEnded) and entry.run in runs
                for _, ledger in self.ledgers_by_node()
                for entry in ledger
            )

        self.deployment.wait_until("the booking to end", ended)

    def violations(self, probe: Probe | None) -> list[Violation]:
        """Return the violations found in the ledgers of targets and callers so far."""
        probes = [*self._recovery_probes, *([probe] if probe else [])]
        results = [
            *self.load_results,
            *(one for each in probes for one in each.results),
        ]
        return find_violations(
            self.deployment.target_ledgers(),
            [results],
            AT_MOST_ONCE_OPERATIONS,
            RETRIES,
        )

    # Faults

    def add_heal_action(self, heal: Callable[[], None]) -> None:
        """Register an action that undoes a fault."""
        self._heal_actions.append(heal)

    def heal(self) -> None:
        """Undo all faults, the last one first."""
        while self._heal_actions:
            self._heal_actions.pop()()

    def drain(self, name: str) -> None:
        """Drain a node through its operator endpoint; ignore a node that is down."""
        url = f"http://{self.deployment.instances[name].admin}/drain"
        with contextlib.suppress(httpx.HTTPError):
            httpx.post(url, timeout=RECOVERY_TIMEOUT_S, trust_env=False)

    def restart_ended(self) -> None:
        """Restart every process that has ended, as the platform does."""
        for name in self.deployment.instances:
            if not self.deployment.processes[name].is_running():
                self.restart_node(name)
            if not self.deployment.processes[target_name(name)].is_running():
                self.restart_target(name)

    def ended_targets(self) -> list[str]:
        """Return the nodes whose target has ended."""
        return [
            name
            for name in self.deployment.instances
            if not self.deployment.processes[target_name(name)].is_running()
        ]

    def cut(self, source: str, destination: str) -> None:
        """Refuse connections between two failure domains until ``heal`` is called."""
        self.deployment.set_path(source, destination, "refuse")
        self.add_heal_action(
            lambda: self.deployment.set_path(source, destination, "open")
        )

    def versions(self) -> dict[str, int]:
        """Return the configuration version of each running node, -1 for none."""
        versions = {}
        for name in self.deployment.instances:
            if self.deployment.processes[name].is_running():
                status = self.deployment.status(name)
                version = status["configuration"]["version"]
                versions[name] = -1 if version is None else int(version)
        return versions

    def wait_for_one_version(self) -> None:
        """Wait until every node has the newest version that any node has."""
        newest = max(self.versions().values())
        self.deployment.wait_until(
            f"every node to have configuration {newest}",
            lambda: set(self.versions().values()) == {newest},
        )

    def changed_config(self) -> Path:
        """Return a copy of the published configuration with one changed file."""
        folder = self.config.with_name("config-changed")
        copy_folder(self.config, folder)
        text = CONFIG["20-wallet.ini"] + "max_body_kb = 64\n"
        write_config(folder, {"20-wallet.ini": text})
        return folder

    def check_publish_races(self) -> None:
        """Check that exactly one of concurrent publishes of one file was accepted."""
        for publishes in self.publish_races:
            accepted = [one for one in publishes if one.returncode == 0]
            assert len(accepted) == 1, [one.stderr for one in publishes]
            for rejected in (one for one in publishes if one.returncode):
                assert rejected.stderr.strip(), "a rejected publish printed no error"

    def requests_complete(self, name: str) -> bool:
        """Return whether a new booking and a read complete on a node.

        Restarts ended processes first: a drain that a fault delayed may end a node
        after the fault was undone.
        """
        self.restart_ended()
        probe = self.make_probe(name, "after the fault")
        base = f"http://{self.deployment.instances[name].entry}/bookings/bookings"
        self._recovery_probes.append(probe)
        booked = self.send(probe, name).succeeded
        return booked and self._client.get(f"{base}/7").status_code == 200

    def restart_node(self, name: str) -> None:
        """Restart a killed node, as the platform does."""
        self.deployment.spawn_node(name)
        self.deployment.wait_for_node(name)

    def restart_target(self, name: str) -> None:
        """Restart a killed target, as the platform does."""
        self.deployment.processes[target_name(name)].wait_or_kill(1.0)
        self.deployment.start_target(name)


def write_config(folder: Path, files: dict[str, str]) -> None:
    """Write files into a configuration folder."""
    folder.mkdir(exist_ok=True)
    for name, text in files.items():
        (folder / name).write_text(text)


def copy_folder(source: Path, destination: Path) -> None:
    """Copy the files of a folder, including the file that records its base version."""
    destination.mkdir(exist_ok=True)
    for path in source.iterdir():
        if path.is_file():
            (destination / path.name).write_bytes(path.read_bytes())
