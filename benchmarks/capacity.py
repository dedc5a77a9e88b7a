"""Measure memory, CPU and control traffic of a node process as slopes over its load.

Runs real node processes on loopback. Each part varies one quantity (members,
configuration, stored action records, caller connections, calls, deployment size) and
reads VmRSS, its anonymous share, and user and system time from ``/proc``. Slopes
are least-squares fits, one for each repetition. Log traffic is the number of bytes
that the log stand-in reads and writes. Run: ``python benchmarks/capacity.py``;
the last line is JSON. docs/CAPACITY.md uses the figures.
"""

import argparse
import json
import os
import random
import shutil
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from types import TracebackType
from typing import Any

import anyio
import httpx
import msgspec
import zmq
import zmq.asyncio

from briardock._records import ABSENT, STREAM, Publish, encode_record
from briardock.clock import SystemClock
from briardock.gossip_messages import (
    Ack,
    Ping,
    Push,
    Summary,
    SyncReply,
    SyncRequest,
    decode_gossip,
)
from briardock.member_records import MemberRecord
from briardock.messages import Message, encode
from briardock.platformlog import LogClient, LogFailure
from briardock.publishing import Accepted, make_config_state
from briardock_standins._client import HttpClient
from briardock_standins._http import HttpRequest, HttpResponse, parse_address
from briardock_standins._processes import ManagedProcess, PortPool
from briardock_standins.catalogs import read_catalog, single_operation, target_plan
from briardock_standins.deployments import DeploymentSpec, ServiceSpec
from briardock_standins.harness import Deployment
from briardock_standins.load import LoadGenerator
from briardock_standins.plans import ActionPlan, LoadPlan, Phase, TargetPlan
from gossip_cost import make_records
from latency import CALLED_SERVICE, CONFIG, ISSUER_SERVICE, make_spec

MEMBER_COUNTS = (100, 1_000, 4_100)
SERVICE_COUNTS = (36, 120, 360)
OPERATIONS_PER_SERVICE = 10
RECORD_COUNTS = (0, 5_000, 30_000)
CONNECTION_COUNTS = (0, 250, 1_000)
CALL_RATES = (50.0, 150.0, 300.0)
DEPLOYMENT_SIZES = (4, 12, 36)
REPETITIONS = 2
IDLE_MEASUREMENT_S = 20.0
CALLS_MEASUREMENT_S = 6.0
SETTLE_S = 4.0
WAIT_TIMEOUT_S = 60.0
CONFIG_CHANGES = 12
CONFIG_CHANGE_INTERVAL_S = 0.3
# Up to the changes of a day, with a checkpoint every 15 minutes.
BACKLOG_SIZES = (300, 1_200, 4_200)
CHANGES_PER_CHECKPOINT = 44
KEYED_CALL_WORKERS = 8
KEYS_PER_REQUEST = 1_000
REQUEST_TIMEOUT_MS = 10_000.0
# About ten times the expected 291 failures and restarts a day with four changes
# each, so that the cost of changes is visible in a short run.
MEMBER_CHANGES_PER_S = 0.15
RECORDS_PER_PUSH = 100
DOMAINS = {"a": "127.0.1.1", "b": "127.0.2.1", "c": "127.0.3.1"}
IMPORT_STEPS = {
    "interpreter": "",
    "anyio_uvloop": "import anyio, uvloop",
    "anyio_uvloop_pyzmq": "import anyio, uvloop, zmq, zmq.asyncio",
    "all_libraries": "import anyio, uvloop, zmq, zmq.asyncio, h11, msgspec, logbook,"
    " statsd",
    "node_imports": "import briardock.node",
}


@dataclass(frozen=True, slots=True)
class Usage:
    """Resource usage of a process: memory in KB, CPU time since its start in s."""

    rss_kb: int
    anonymous_kb: int
    cpu_s: float
    at_s: float


def read_usage(pid: int) -> Usage:
    """Return the current resource usage of a process."""
    text = Path(f"/proc/{pid}/status").read_text()
    lines = dict(line.split(":", 1) for line in text.splitlines())
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    rss_kb, anonymous_kb = (
        int(lines[name].split()[0]) for name in ("VmRSS", "RssAnon")
    )
    return Usage(rss_kb, anonymous_kb, cpu_s, time.monotonic())


def read_transferred(pid: int) -> int:
    """Return the bytes read and written by a process, including sockets of libuv."""
    lines = Path(f"/proc/{pid}/io").read_text().splitlines()
    values = dict(line.split(": ") for line in lines)
    return int(values["rchar"]) + int(values["wchar"])


def read_peak_kb(pid: int) -> int:
    """Return the peak resident memory of a process in KB."""
    text = Path(f"/proc/{pid}/status").read_text()
    lines = dict(line.split(":", 1) for line in text.splitlines())
    return int(lines["VmHWM"].split()[0])


def cpu_percent(before: Usage, after: Usage) -> float:
    """Return the CPU use between two readings in percent of one core."""
    return 100.0 * (after.cpu_s - before.cpu_s) / (after.at_s - before.at_s)


def fit_slopes(points: Iterable[tuple[float, list[float]]]) -> dict[str, float]:
    """Return the mean, lowest and highest slope over the repetitions.

    :param points: size, and the values of all repetitions at that size
    """
    sizes, values = zip(*points, strict=True)
    found = [
        statistics.linear_regression(sizes, one).slope
        for one in zip(*values, strict=True)
    ]
    figures = {"mean": statistics.mean(found), "low": min(found), "high": max(found)}
    return {name: float(f"{value:.4g}") for name, value in figures.items()}


class Bench:
    """Context manager that starts processes and stops them at exit."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="briardock-capacity-"))
        self.ports = PortPool()
        self._processes: list[ManagedProcess] = []

    def __enter__(self) -> "Bench":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for process in self._processes:
            process.terminate()
        for process in self._processes:
            process.wait_or_kill(5.0)
        self.ports.release()
        shutil.rmtree(self.folder, ignore_errors=True)

    def spawn(self, *arguments: str) -> ManagedProcess:
        """Start a Python interpreter with the given arguments."""
        name = f"process-{len(self._processes)}"
        process = ManagedProcess(name, [sys.executable, *arguments], self.folder)
        self._processes.append(process)
        return process

    def spawn_log(self) -> tuple[ManagedProcess, int]:
        """Start a log stand-in; return its process and port."""
        port = self.ports.take()
        module = "briardock_standins.log"
        process = self.spawn("-m", module, "--host=127.0.0.1", f"--port={port}")
        wait_for_http(f"http://127.0.0.1:{port}/health")
        return process, port

    def spawn_node(
        self, node_id: str, log_port: int, domain: str = "domain-0", seed: str = ""
    ) -> "NodeProcess":
        """Start a node without waiting until it is ready."""
        http, call, gossip, admin = (self.ports.take() for _ in range(4))
        path = self.folder / f"{node_id}-{http}.ini"
        path.write_text(
            f"[node]\nnode_id = {node_id}\nservice = service-0\nregion = region-0\n"
            f"failure_domain = {domain}\nhttp_port = {http}\ncall_port = {call}\n"
            f"gossip_port = {gossip}\nsource_host = 127.0.0.1\nseeds = {seed}\n"
            f"[admin]\nport = {admin}\n[log]\nport = {log_port}\n"
        )
        process = self.spawn("-m", "briardock.node", "--settings", str(path))
        return NodeProcess(process, http, gossip, admin)


@dataclass(frozen=True, slots=True)
class NodeProcess:
    """A node process and its ports."""

    process: ManagedProcess
    http_port: int
    gossip_port: int
    admin_port: int

    def usage(self) -> Usage:
        """Return the current resource usage of the process."""
        return read_usage(self.process.pid)

    def get(self, path: str) -> dict[str, Any]:
        """Return a JSON document from the operator endpoint."""
        url = f"http://127.0.0.1:{self.admin_port}{path}"
        content: dict[str, Any] = httpx.get(url, timeout=30.0, trust_env=False).json()
        return content

    def wait_ready(self) -> None:
        """Wait until the operator endpoint responds."""
        wait_for_http(f"http://127.0.0.1:{self.admin_port}/quarantine")


def wait_until(predicate: Callable[[], bool], what: str) -> None:
    """Poll until a predicate holds.

    :raises RuntimeError: if it does not hold in time
    """
    deadline_s = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < deadline_s:
        with suppress(httpx.HTTPError, KeyError, IndexError):
            if predicate():
                return
        time.sleep(0.1)
    raise RuntimeError(f"waited {WAIT_TIMEOUT_S} s for {what}")


def wait_for_http(url: str) -> None:
    """Wait until a server responds with a status below 500."""
    wait_until(lambda: httpx.get(url, trust_env=False).status_code < 500, url)


def run_async(function: Callable[..., Awaitable[Any]], *arguments: Any) -> Any:
    """Run a coroutine function on uvloop."""
    return anyio.run(function, *arguments, backend_options={"use_uvloop": True})


# Memory without load


def measure_baseline() -> dict[str, Any]:
    """Return the memory of interpreters after imports, and of an idle node."""
    figures: dict[str, Any] = {}
    with Bench() as bench:
        _, log_port = bench.spawn_log()
        pause = "import sys, time; {}; print(flush=True); time.sleep(600)"
        processes = {
            name: [
                bench.spawn("-c", pause.format(step or "pass"))
                for _ in range(REPETITIONS)
            ]
            for name, step in IMPORT_STEPS.items()
        }
        processes["idle_node"] = [
            bench.spawn_node(f"idle-{i}", log_port, f"domain-{i}").process
            for i in range(REPETITIONS)
        ]
        time.sleep(SETTLE_S)
        for name, group in processes.items():
            usages = [read_usage(one.pid) for one in group]
            figures[name] = {
                "rss_mb": [round(one.rss_kb / 1024, 2) for one in usages],
                "anonymous_mb": [round(one.anonymous_kb / 1024, 2) for one in usages],
            }
            print(f"baseline {name}: {figures[name]}", flush=True)
    return figures


# Members


class SimulatedMembers:
    """Simulates all other members of a node with real gossip messages.

    :param count: number of members, including the node itself
    :param node_port: gossip port of the node
    :param port: gossip port of all simulated members, whose addresses differ
    """

    def __init__(self, count: int, node_port: int, port: int) -> None:
        self._records = list(make_records(count - 1, port))
        self._address = f"tcp://127.0.0.1:{node_port}"
        self._port = port
        self._context = zmq.asyncio.Context()
        self._rng = random.Random(count)
        self._digest = 0

    async def run(self) -> None:
        """Simulate the members until the process ends."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._respond)
            await self._push_records()
            tasks.start_soon(self._change_members)
            while True:
                await anyio.sleep(self._rng.expovariate(1.0))
                ping = Ping(1, self._summary(self._rng.choice(self._records)))
                await self._send(ping)

    def _summary(self, sender: MemberRecord) -> Summary:
        # Returns the digest of the node itself, so that it starts no anti-entropy sync.
        return Summary(sender, self._digest, 0, 0)

    async def _push_records(self) -> None:
        with self._context.socket(zmq.DEALER) as dealer:
            dealer.connect(self._address)
            for start in range(0, len(self._records), RECORDS_PER_PUSH):
                part = self._records[start : start + RECORDS_PER_PUSH]
                await dealer.send(encode(Push(part)))
                await anyio.sleep(0.02)
            await anyio.sleep(1.0)

    async def _respond(self) -> None:
        with self._context.socket(zmq.ROUTER) as router:
            router.bind(f"tcp://0.0.0.0:{self._port}")
            while True:
                identity, data = await router.recv_multipart()
                message = decode_gossip(data)
                response: Message
                if isinstance(message, Ping):
                    self._digest = message.summary.table_digest
                    response = Ack(message.sequence, self._summary(message.members[-1]))
                elif isinstance(message, SyncRequest):
                    response = SyncReply(self._records[0], [], 0, [])
                else:
                    continue
                await router.send_multipart([identity, encode(response)])

    async def _change_members(self) -> None:
        while True:
            await anyio.sleep(self._rng.expovariate(MEMBER_CHANGES_PER_S))
            i = self._rng.randrange(len(self._records))
            old = self._records[i]
            self._records[i] = msgspec.structs.replace(old, version=old.version + 1)
            await self._send(Push([self._records[i]]))

    async def _send(self, message: Message) -> None:
        """Send over a new connection, as a random member does."""
        with self._context.socket(zmq.DEALER) as dealer:
            dealer.linger = 500
            dealer.connect(self._address)
            await dealer.send(encode(message))
            with anyio.move_on_after(0.5):
                await dealer.recv()


def measure_members() -> dict[str, Any]:
    """Measure memory and CPU by the number of members."""
    with Bench() as bench:
        nodes: dict[int, list[NodeProcess]] = {}
        for count in MEMBER_COUNTS:
            for i in range(REPETITIONS):
                _, log_port = bench.spawn_log()
                node = bench.spawn_node(f"measured-{i}", log_port)
                node.wait_ready()
                nodes.setdefault(count, []).append(node)
        time.sleep(SETTLE_S)
        empty = {c: [one.usage() for one in group] for c, group in nodes.items()}
        for count, group in nodes.items():
            for node in group:
                ports = (str(node.gossip_port), str(bench.ports.take()))
                bench.spawn(__file__, "--peers", str(count), *ports)
        time.sleep(SETTLE_S + max(MEMBER_COUNTS) / RECORDS_PER_PUSH * 0.04)
        before = {c: [one.usage() for one in group] for c, group in nodes.items()}
        time.sleep(2 * IDLE_MEASUREMENT_S)
        rows = []
        for count, group in nodes.items():
            after = [one.usage() for one in group]
            for node in group:
                found = len(node.get("/status")["members"])
                if found != count:
                    raise RuntimeError(f"{found} members instead of {count}")
            row = {
                "members": count,
                "rss_kb": [one.rss_kb for one in after],
                "grown_kb": [
                    one.rss_kb - start.rss_kb
                    for one, start in zip(after, empty[count], strict=True)
                ],
                "cpu_percent": [
                    round(cpu_percent(a, b), 3)
                    for a, b in zip(before[count], after, strict=True)
                ],
            }
            print(f"members {row}", flush=True)
            rows.append(row)
    return {
        "rows": rows,
        **fit_named_slopes("members", rows, "grown_kb", "cpu_percent"),
    }


def fit_named_slopes(
    size: str, rows: list[dict[str, Any]], *names: str
) -> dict[str, Any]:
    """Return and print the slopes of the named figures over one size."""
    found = {
        f"{name}_per_{size}": fit_slopes([(row[size], row[name]) for row in rows])
        for name in names
    }
    for name, slope in found.items():
        print(f"slope {name}: {slope}", flush=True)
    return found


# Configuration


def service_text(number: int, deadline_ms: int) -> str:
    """Return the configuration file of one service."""
    name = f"service-{number}"
    lines = [f"[service {name}]", "domains = a, b, c", "slots_hint = 200"]
    for i in range(OPERATIONS_PER_SERVICE):
        lines += [f"[operation {name}.operation-{i}]"]
        lines += [f"match = GET /part-{i}/{{item}}/detail", "class = reads"]
        lines += ["idempotent = yes", f"deadline_ms = {deadline_ms}"]
        if i == 0 and number:
            lines.append(f"calls = service-{number - 1}.operation-1")
    return "\n".join(lines) + "\n"


async def append_change(port: int, base: dict[str, int], number: int) -> int:
    """Append a change of the given files to the log; return its offset."""
    log = LogClient("127.0.0.1", port)
    changes: dict[str, str | None] = {}
    for name in base:
        if name == "00-classes.ini":
            changes[name] = "[class reads]\nrank = 3\n"
        else:
            service = int(name.partition("-")[2].partition(".")[0])
            changes[name] = service_text(service, 1_000 + number)
    record = Publish(f"change-{number}", "capacity", base, changes)
    offset = await log.append(STREAM, encode_record(record))
    await log.close()
    if isinstance(offset, LogFailure):
        raise RuntimeError(offset.detail)
    return offset


def has_version(nodes: list[NodeProcess], version: int) -> bool:
    """Return whether all nodes have a version in force."""
    return all(
        found is not None and int(found) >= version
        for found in (one.get("/status")["configuration"]["version"] for one in nodes)
    )


def measure_configuration() -> dict[str, Any]:
    """Measure memory and CPU of log readers and another node by configuration size."""
    rows = []
    for count in SERVICE_COUNTS:
        with Bench() as bench:
            _, port = bench.spawn_log()
            nodes = [bench.spawn_node("node-0", port)]
            seed = f"127.0.0.1:{nodes[0].gossip_port}"
            for i in range(1, 2 + REPETITIONS):
                nodes.append(bench.spawn_node(f"node-{i}", port, seed=seed))
            for node in nodes:
                node.wait_ready()
            time.sleep(SETTLE_S)
            rows.append(measure_changes(nodes, port, count))
            print(f"configuration {rows[-1]}", flush=True)
    names = ("rss_kb_reader", "rss_kb_other", "change_ms_reader", "change_ms_other")
    return {"rows": rows, **fit_named_slopes("services", rows, *names)}


def measure_changes(nodes: list[NodeProcess], port: int, count: int) -> dict[str, Any]:
    """Publish a configuration and then changes; return the figures of one size."""
    is_reader = [bool(one.get("/status")["log_reader"]) for one in nodes]
    empty = [one.usage() for one in nodes]
    base = {f"10-{i}.ini": ABSENT for i in range(count)}
    version = run_async(append_change, port, {"00-classes.ini": ABSENT, **base}, 0)
    wait_until(partial(has_version, nodes, version), "the configuration")
    time.sleep(2 * SETTLE_S)
    quiet = [one.usage() for one in nodes]
    time.sleep(SETTLE_S)
    before = [one.usage() for one in nodes]
    versions = dict.fromkeys(base, version)
    for number in range(1, CONFIG_CHANGES + 1):
        name = f"10-{number * 7 % count}.ini"
        versions[name] = version = run_async(
            append_change, port, {name: versions[name]}, number
        )
        time.sleep(CONFIG_CHANGE_INTERVAL_S)
    time.sleep(2.0)
    after = [one.usage() for one in nodes]
    wait_until(partial(has_version, nodes, version), "the changes")
    row: dict[str, Any] = {"services": count}
    sizes = [len(service_text(i, 1_000)) for i in range(count)]
    row["file_bytes"] = sum(sizes)
    row.update(encoded_bytes(count))
    for role, wanted in (("reader", True), ("other", False)):
        chosen = [i for i in range(len(nodes)) if is_reader[i] is wanted]
        row[f"rss_kb_{role}"] = [quiet[i].rss_kb - empty[i].rss_kb for i in chosen]
        row[f"change_ms_{role}"] = [
            round(cpu_ms_per_change(quiet[i], before[i], after[i]), 2) for i in chosen
        ]
        row[f"rss_kb_after_{role}"] = [
            after[i].rss_kb - empty[i].rss_kb for i in chosen
        ]
    return row


async def append_backlog(port: int, count: int) -> None:
    """Fill a log with changes and checkpoints of the largest configuration.

    The changes conflict, which does not matter: the cost of a starting node depends
    on their number and size only.
    """
    log = LogClient("127.0.0.1", port)
    state = make_config_state()
    services = max(SERVICE_COUNTS)
    changes: dict[str, str | None] = {"00-classes.ini": "[class reads]\nrank = 3\n"}
    changes.update((f"10-{i}.ini", service_text(i, 1_000)) for i in range(services))
    publish = Publish("first", "capacity", dict.fromkeys(changes, ABSENT), changes)
    body = encode_record(publish)
    for number in range(count):
        offset = await log.append(STREAM, body)
        while isinstance(offset, LogFailure):
            await anyio.sleep(0.1)  # The log limits the rate of appends.
            offset = await log.append(STREAM, body)
        state.apply(offset, body)
        if number % CHANGES_PER_CHECKPOINT == 0:
            body = encode_record(state.checkpoint())
        else:
            late: dict[str, str | None] = {"10-1.ini": service_text(1, number)}
            base = dict.fromkeys(late, ABSENT)
            body = encode_record(Publish(f"late-{number}", "capacity", base, late))
    await log.close()


def measure_start() -> dict[str, Any]:
    """Measure log traffic, time and memory until a node without peers is ready."""
    rows = []
    for count in BACKLOG_SIZES:
        with Bench() as bench:
            log, port = bench.spawn_log()
            run_async(append_backlog, port, count)
            row: dict[str, Any] = {"backlog": count}
            for i in range(REPETITIONS):
                log_bytes = read_transferred(log.pid)
                started_s = time.monotonic()
                node = bench.spawn_node(f"fresh-{i}", port)
                node.wait_ready()
                wait_until(partial(has_version, [node], 0), "the configuration")
                elapsed_s = time.monotonic() - started_s
                time.sleep(1.0)
                log_bytes = read_transferred(log.pid) - log_bytes
                figures = {
                    "ready_s": round(elapsed_s, 2),
                    "log_mb": round(log_bytes / 1e6, 3),
                    "cpu_s": node.usage().cpu_s,
                    "peak_rss_mb": round(read_peak_kb(node.process.pid) / 1024, 1),
                }
                for name, value in figures.items():
                    row.setdefault(name, []).append(value)
                node.process.kill()
            rows.append(row)
            print(f"start {row}", flush=True)
    return {"rows": rows, **fit_named_slopes("backlog", rows, "log_mb", "cpu_s")}


def encoded_bytes(count: int) -> dict[str, int]:
    """Return the encoded sizes of a configuration in the log and in gossip."""
    state = make_config_state()
    changes: dict[str, str | None] = {"00-classes.ini": "[class reads]\nrank = 3\n"}
    changes.update((f"10-{i}.ini", service_text(i, 1_000)) for i in range(count))
    base = dict.fromkeys(changes, ABSENT)
    state.apply(0, encode_record(Publish("first", "capacity", base, changes)))
    record = encode_record(
        Publish("next", "capacity", {"10-1.ini": 0}, {"10-1.ini": service_text(1, 9)})
    )
    step = state.apply(1, record)
    if not isinstance(step, Accepted):
        raise RuntimeError(f"{step}")
    return {
        "checkpoint_bytes": len(encode_record(state.checkpoint())),
        "snapshot_bytes": len(state.snapshot()),
        "change_record_bytes": len(record),
        "change_delta_bytes": len(step.delta),
    }


def cpu_ms_per_change(quiet: Usage, before: Usage, after: Usage) -> float:
    """Return the CPU time per change in ms, less that of an idle node."""
    idle = (before.cpu_s - quiet.cpu_s) / (before.at_s - quiet.at_s)
    changes_cpu_s = after.cpu_s - before.cpu_s - idle * (after.at_s - before.at_s)
    return 1_000.0 * changes_cpu_s / CONFIG_CHANGES


# Action records and caller connections


async def run_keyed_calls(port: int, first: int, count: int) -> None:
    """Run keyed calls in a few concurrent workers, to create action records."""
    address = parse_address(f"127.0.0.1:{port}")
    client = HttpClient()
    numbers = iter(range(first, first + count))
    keys: list[str] = []

    async def work() -> None:
        for number in numbers:
            if not keys:
                path = f"/_briardock/keys?count={KEYS_PER_REQUEST}"
                response = await client.request(
                    address, HttpRequest("POST", path), REQUEST_TIMEOUT_MS
                )
                assert isinstance(response, HttpResponse)
                keys.extend(json.loads(response.body)["keys"])
            headers = ((b"idempotency-key", keys.pop().encode()),)
            request = HttpRequest("POST", f"/app/book/{number}", headers, b"x")
            response = await client.request(address, request, REQUEST_TIMEOUT_MS)
            if not isinstance(response, HttpResponse) or response.status != 200:
                raise RuntimeError(f"keyed call failed: {response}")

    async with anyio.create_task_group() as tasks:
        for _ in range(KEYED_CALL_WORKERS):
            tasks.start_soon(work)
    await client.close()


def make_record_spec() -> DeploymentSpec:
    """Return independent instances of a service with a non-idempotent operation."""
    catalog = read_catalog(CONFIG)
    plan = target_plan(
        catalog, TargetPlan(ISSUER_SERVICE, single_operation(0.0)), False
    )
    operations = tuple(
        msgspec.structs.replace(one, calls=()) for one in plan.operations
    )
    plan = msgspec.structs.replace(plan, operations=operations)
    domains = tuple(DOMAINS)[:REPETITIONS]
    return DeploymentSpec((ServiceSpec(plan, domains),), CONFIG, domains=DOMAINS)


def measure_records() -> dict[str, Any]:
    """Measure memory by stored action records and by caller connections."""
    rows: list[dict[str, Any]] = []
    with Deployment(make_record_spec()) as deployment, Bench() as bench:
        names = list(deployment.instances)
        filled = 0
        for count in RECORD_COUNTS:
            fillers = []
            for name in names if count > filled else []:
                port = str(deployment.instances[name].ports["http"])
                arguments = ("--fill", port, str(filled), str(count - filled))
                fillers.append(bench.spawn(__file__, *arguments))
            for filler in fillers:
                wait_until(lambda one=filler: one.poll() is not None, "calls")  # type: ignore[misc]
            filled = count
            time.sleep(1.0)
            states = [deployment.admin_get(n, "/dump")["actions"] for n in names]
            rows.append(
                {
                    "records": count,
                    "rss_kb": read_rss_kb(deployment, names),
                    "held": [one["records"] for one in states],
                    "held_bytes": [one["held_bytes"] for one in states],
                }
            )
            print(f"records {rows[-1]}", flush=True)
        connections = measure_connections(deployment, names)
    return {
        "rows": rows,
        **fit_named_slopes("records", rows, "rss_kb"),
        "connections": connections,
        **fit_named_slopes("connections", connections, "rss_kb"),
    }


def read_rss_kb(deployment: Deployment, names: list[str]) -> list[int]:
    """Return the resident memory of nodes in KB."""
    processes = [deployment.processes[name] for name in names]
    return [read_usage(one.pid).rss_kb for one in processes]


def measure_connections(
    deployment: Deployment, names: list[str]
) -> list[dict[str, Any]]:
    """Measure memory by open caller connections that have each made a call."""
    rows = []
    sockets: list[socket.socket] = []
    for count in CONNECTION_COUNTS:
        for name in names:
            port = deployment.instances[name].ports["http"]
            while sum(one.getpeername()[1] == port for one in sockets) < count:
                one = socket.create_connection(("127.0.0.1", port))
                one.sendall(b"GET /app/map/1 HTTP/1.1\r\nhost: a\r\n\r\n")
                one.recv(65_536)
                sockets.append(one)
        time.sleep(1.0)
        rows.append({"connections": count, "rss_kb": read_rss_kb(deployment, names)})
        print(f"connections {rows[-1]}", flush=True)
    for one in sockets:
        one.close()
    return rows


# Calls


def measure_calls() -> dict[str, Any]:
    """Measure CPU by calls per second at the entry node and at the inbound node."""
    rows: list[dict[str, Any]] = []
    names = {"entry": f"{ISSUER_SERVICE}-0", "inbound": f"{CALLED_SERVICE}-0"}
    with Deployment(make_spec()) as deployment:
        action = ActionPlan(f"{CALLED_SERVICE}.map", "/map/{n}")
        for rate in CALL_RATES:
            row: dict[str, Any] = {"target_rate": rate, "failed": 0, "calls_per_s": []}
            for _ in range(REPETITIONS):
                entries = deployment.entries(names["entry"])
                plan = LoadPlan(entries, (action,), (Phase(CALLS_MEASUREMENT_S),), rate)
                before = read_usages(deployment, names.values())
                generator = LoadGenerator(plan, SystemClock())
                results = run_async(generator.run)
                after = read_usages(deployment, names.values())
                row["failed"] += sum(not one.succeeded for one in results)
                elapsed_s = after[0].at_s - before[0].at_s
                row["calls_per_s"].append(round(len(results) / elapsed_s, 1))
                for side, a, b in zip(names, before, after, strict=True):
                    used = round(cpu_percent(a, b), 2)
                    row.setdefault(f"cpu_percent_{side}", []).append(used)
            rows.append(row)
            print(f"calls {row}", flush=True)
    result: dict[str, Any] = {"rows": rows}
    for side in names:
        found = []
        for i in range(REPETITIONS):
            sizes: list[float] = [row["calls_per_s"][i] for row in rows]
            shares = [10.0 * row[f"cpu_percent_{side}"][i] for row in rows]
            found.append(statistics.linear_regression(sizes, shares).slope)
        name = f"cpu_ms_per_call_{side}"
        result[name] = [round(value, 3) for value in found]
        print(f"slope {name}: {result[name]}", flush=True)
    return result


def read_usages(deployment: Deployment, names: Iterable[str]) -> list[Usage]:
    """Return the current resource usage of nodes."""
    return [read_usage(deployment.processes[name].pid) for name in names]


# Idle deployments


def measure_idle(size: int) -> dict[str, Any]:
    """Measure the control traffic and CPU of the nodes of an idle deployment."""
    plan = target_plan(
        read_catalog(CONFIG), TargetPlan(CALLED_SERVICE, single_operation(0.0)), False
    )
    domains = tuple(list(DOMAINS)[i % len(DOMAINS)] for i in range(size))
    spec = DeploymentSpec((ServiceSpec(plan, domains),), CONFIG, domains=DOMAINS)
    with Deployment(spec) as deployment:
        names = list(deployment.instances)
        time.sleep(SETTLE_S)
        counters_before = [deployment.admin_get(n, "/dump")["counters"] for n in names]
        log_pid = deployment.processes["log"].pid
        log_bytes = read_transferred(log_pid)
        before = read_usages(deployment, names)
        time.sleep(IDLE_MEASUREMENT_S)
        after = read_usages(deployment, names)
        log_bytes = read_transferred(log_pid) - log_bytes
        dumps_after = [deployment.admin_get(n, "/dump") for n in names]
    elapsed_s = after[0].at_s - before[0].at_s
    row: dict[str, Any] = {"nodes": size}
    for kind in ("bytes", "messages"):
        rates = [
            sum(
                end["counters"][f"gossip.{way}_{kind}"] - start[f"gossip.{way}_{kind}"]
                for way in ("sent", "received")
            )
            / elapsed_s
            for start, end in zip(counters_before, dumps_after, strict=True)
        ]
        row[f"gossip_{kind}_per_s"] = summarize(rates)
    readers = sum(bool(end["status"]["log_reader"]) for end in dumps_after)
    row["log_readers"] = readers
    row["log_bytes_per_s_per_reader"] = round(log_bytes / elapsed_s / readers, 1)
    used = list(map(cpu_percent, before, after))
    for role, wanted in (("reader", True), ("other", False)):
        chosen = [
            one
            for one, end in zip(used, dumps_after, strict=True)
            if bool(end["status"]["log_reader"]) is wanted
        ]
        if chosen:
            row[f"cpu_percent_{role}"] = summarize(chosen)
    row["rss_mb"] = summarize([one.rss_kb / 1024 for one in after])
    print(f"idle {row}", flush=True)
    return row


def summarize(values: list[float]) -> dict[str, float]:
    """Return the mean, the lowest and the highest value."""
    figures = {
        "mean": statistics.mean(values),
        "low": min(values),
        "high": max(values),
    }
    return {name: round(value, 3) for name, value in figures.items()}


PARTS: dict[str, Callable[[], Any]] = {
    "baseline": measure_baseline,
    "members": measure_members,
    "configuration": measure_configuration,
    "start": measure_start,
    "records": measure_records,
    "calls": measure_calls,
    "idle": lambda: [measure_idle(size) for size in DEPLOYMENT_SIZES],
}


def main() -> None:
    """Run the selected parts and print the figures as JSON on the last line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--parts", nargs="*", choices=PARTS, default=list(PARTS))
    parser.add_argument("--peers", type=int, nargs=3, help=argparse.SUPPRESS)
    parser.add_argument("--fill", type=int, nargs=3, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.peers:
        run_async(SimulatedMembers(*options.peers).run)
        return
    if options.fill:
        run_async(run_keyed_calls, *options.fill)
        return
    figures: dict[str, Any] = {}
    with tempfile.TemporaryDirectory(prefix="briardock-pyc-") as cache:
        cache_bytecode(cache)
        run_parts(options.parts, figures)
    figures["load_average"] = os.getloadavg()
    print(json.dumps(figures))


def cache_bytecode(folder: str) -> None:
    """Compile all modules in advance, so that processes load them from a cache.

    Installed packages are compiled as well; compilation at the start of a process
    would leave a few MB in its heap.

    :param folder: folder of the compiled modules
    """
    os.environ["PYTHONPYCACHEPREFIX"] = folder
    os.environ["PYTHONDONTWRITEBYTECODE"] = ""
    run = "anyio.run(anyio.sleep, 0, backend_options={'use_uvloop': True})"
    code = f"import argparse, anyio, briardock.node, runpy; {run}"
    subprocess.run([sys.executable, "-c", code], check=True)


def run_parts(names: list[str], figures: dict[str, Any]) -> None:
    """Run parts and add their figures to ``figures``."""
    for name in names:
        started_s = time.monotonic()
        figures[name] = PARTS[name]()
        print(f"part {name} took {time.monotonic() - started_s:.0f} s", flush=True)


if __name__ == "__main__":
    main()
