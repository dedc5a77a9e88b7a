"""Measure the cost of gossip by table size, and the time to spread a change.

The cost part runs gossip of one node with a full member table in a separate process.
A second process simulates all other members: it responds to pings, pings the node as
often as the members of a cluster of that size, and sends member changes and
configuration changes at the rates given below. Every member has a separate loopback
address, so that the node opens connections as often as in a real cluster.

One more run has a third of the members unresponsive from the start, while the others
piggyback suspect and unreachable records on every message. Bytes are those of zmq
messages; each new connection adds about 0.2 KB of zmq greeting, and TCP and IP
headers are not counted.

The spread part runs many complete gossip instances in a few processes.
"""

import argparse
import gc
import json
import multiprocessing
import random
import statistics
import time
from collections.abc import Iterator
from dataclasses import dataclass
from multiprocessing.connection import Connection
from typing import Any

import anyio
import msgspec
import zmq
import zmq.asyncio

from briardock.clock import SystemClock
from briardock.gossip import Gossip, make_gossip
from briardock.gossip_links import Address, LinkSettings
from briardock.gossip_messages import (
    Ack,
    ConfigDelta,
    Ping,
    Push,
    Summary,
    SyncReply,
    SyncRequest,
    decode_gossip,
)
from briardock.gossip_settings import GossipHooks, GossipSettings
from briardock.member_records import MemberRecord, MemberState
from briardock.membership import MembershipSettings, MemberTable, make_member_table
from briardock.messages import Message, encode
from briardock.metrics import Metrics

SERVICES = 360
FAILURE_DOMAINS = 14
REGIONS = 5
# About ten times the expected 290 failures and restarts a day with four changes
# each, so that the cost of changes is visible in a short run.
MEMBER_CHANGES_PER_S = 0.15
# Twice the expected 4,200 a day.
CONFIG_CHANGES_PER_S = 0.1
CONFIG_BYTES = 2_000
SENDERS_PER_CONFIG_CHANGE = 4
MEMBERS_PORT = 27_900
NODE_HOST = "127.1.0.1"
NODE_PORT = 27_901
SPREAD_PORT = 27_910
SOCKET_LIMIT = 8_192
PAGE_BYTES = 4_096
MEMBERS_PER_LOST = 3
FAILURE_RECORDS_PER_MESSAGE = 12


def read_rss_bytes() -> int:
    """Return the resident memory of this process."""
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES


def read_anonymous_kb() -> int:
    """Return the anonymous resident memory of this process, without mapped files."""
    with open("/proc/self/smaps_rollup") as rollup:
        lines = dict(line.split(":") for line in rollup.readlines()[1:])
    return int(lines["Anonymous"].split()[0])


def make_records(count: int, port: int) -> Iterator[MemberRecord]:
    """Yield records with distinct addresses, decoded as if received."""
    rng = random.Random(count)
    decoder = msgspec.msgpack.Decoder(MemberRecord)
    for i in range(count):
        record = MemberRecord(
            f"r{i % REGIONS}-d{i % FAILURE_DOMAINS}-node-{i:05}",
            (1_790_000_000_000 + rng.randrange(10**9)) << 16,
            rng.randrange(1, 20),
            f"service-{i % SERVICES}",
            f"domain-{i % FAILURE_DOMAINS}",
            f"region-{i % REGIONS}",
            f"127.2.{i // 250}.{i % 250 + 1}",
            20_000,
            port,
            f"{rng.getrandbits(64):016x}",
        )
        yield decoder.decode(msgspec.msgpack.encode(record))


@dataclass
class SimulatedMembers:
    """Simulates all members except the measured node."""

    records: list[MemberRecord]
    context: zmq.asyncio.Context
    rng: random.Random
    outage: bool = False
    digest: int = 0
    version: int = 1

    def is_lost(self, record: MemberRecord) -> bool:
        """Return whether a member is unresponsive: one in three in an outage."""
        return self.outage and int(record.node_id[-5:]) % MEMBERS_PER_LOST == 0

    def failure_records(self) -> list[MemberRecord]:
        """Return the failure records that members piggyback during an outage."""
        if not self.outage:
            return []
        sampled = self.rng.sample(
            self.records, FAILURE_RECORDS_PER_MESSAGE * MEMBERS_PER_LOST
        )
        states = [MemberState.SUSPECT, MemberState.UNREACHABLE]
        return [
            msgspec.structs.replace(record, state=self.rng.choice(states))
            for record in sampled
            if self.is_lost(record)
        ]

    def summary(self, sender: MemberRecord) -> Summary:
        """Return the summary that a member sends with an ack or ping."""
        return Summary(sender, self.digest, 0, self.version)

    async def respond(self) -> None:
        """Respond to pings as the member whose record they carry last."""
        with self.context.socket(zmq.ROUTER) as router:
            router.bind(f"tcp://0.0.0.0:{MEMBERS_PORT}")
            while True:
                identity, data = await router.recv_multipart()
                message = decode_gossip(data)
                if isinstance(message, Ping):
                    target = message.members[-1]
                    self.digest = message.summary.table_digest
                    if self.is_lost(target):
                        continue
                    summary = self.summary(target)
                    ack = Ack(message.sequence, summary, self.failure_records())
                    await router.send_multipart([identity, encode(ack)])
                elif isinstance(message, SyncRequest):
                    response = SyncReply(self.records[0], [], 0, [])
                    await router.send_multipart([identity, encode(response)])

    async def send(self, message: Message, wait_for_response: bool) -> None:
        """Send over a new connection, as a random member does."""
        with self.context.socket(zmq.DEALER) as dealer:
            dealer.linger = 0
            dealer.connect(f"tcp://{NODE_HOST}:{NODE_PORT}")
            await dealer.send(encode(message))
            with anyio.move_on_after(2.0):
                if wait_for_response:
                    await dealer.recv()
                else:
                    await anyio.sleep(2.0)

    async def ping_node(self) -> None:
        """Ping the node once per second on average, as the members of a cluster do."""
        while True:
            await anyio.sleep(self.rng.expovariate(1.0))
            sender = self.rng.choice(self.records)
            if not self.is_lost(sender):
                ping = Ping(1, self.summary(sender), self.failure_records())
                await self.send(ping, True)

    async def change_members(self, tasks: Any) -> None:
        """Send changed member records at the configured rate."""
        while True:
            await anyio.sleep(self.rng.expovariate(MEMBER_CHANGES_PER_S))
            i = self.rng.randrange(len(self.records))
            old = self.records[i]
            self.records[i] = msgspec.structs.replace(old, version=old.version + 1)
            tasks.start_soon(self.send, Push([self.records[i]]), False)

    async def change_config(self, tasks: Any) -> None:
        """Send each configuration change from several members at once."""
        while True:
            await anyio.sleep(self.rng.expovariate(CONFIG_CHANGES_PER_S))
            payload = self.rng.randbytes(CONFIG_BYTES)
            delta = ConfigDelta(self.version, self.version + 1, payload)
            self.version += 1
            for _ in range(SENDERS_PER_CONFIG_CHANGE):
                tasks.start_soon(self.send, delta, False)

    async def run(self) -> None:
        """Simulate the members until the process is terminated."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.respond)
            tasks.start_soon(self.ping_node)
            tasks.start_soon(self.change_members, tasks)
            tasks.start_soon(self.change_config, tasks)


def run_simulated_members(count: int, outage: bool) -> None:
    """Entry point of the process that simulates the other members."""
    records = list(make_records(count - 1, MEMBERS_PORT))
    simulated_members = SimulatedMembers(
        records, zmq.asyncio.Context(), random.Random(1), outage
    )
    anyio.run(simulated_members.run, backend_options={"use_uvloop": True})


def measure_cost(count: int, duration_s: float, result: Connection) -> None:
    """Entry point of the measured process."""
    gc.collect()
    start_bytes = read_rss_bytes()
    local_record = MemberRecord(
        "own", 1, 1, "service-1", "domain-1", "region-1", NODE_HOST, 1, NODE_PORT, "t"
    )
    clock = SystemClock()
    table = make_member_table(
        local_record, clock, random.Random(2), MembershipSettings()
    )
    for record in make_records(count - 1, MEMBERS_PORT):
        table.merge([record])
    gc.collect()
    table_bytes = read_rss_bytes() - start_bytes
    figures = anyio.run(
        run_node, table, clock, duration_s, backend_options={"use_uvloop": True}
    )
    figures["members"] = count
    figures["rss_before_table_mb"] = round(start_bytes / 2**20, 2)
    figures["table_bytes_per_record"] = round(table_bytes / count)
    result.send(figures)


async def run_node(
    table: MemberTable, clock: SystemClock, duration_s: float
) -> dict[str, Any]:
    """Run the measured node and return its figures per second."""
    metrics = Metrics()
    version = 1

    def on_delta(payload: bytes, previous: int, new: int) -> bool:
        nonlocal version
        version = max(version, new)
        return True

    hooks = GossipHooks(config_version=lambda: version, on_config_delta=on_delta)
    settings = GossipSettings(LinkSettings(NODE_HOST, NODE_PORT, NODE_HOST))
    gossip = make_gossip(table, clock, random.Random(3), metrics, settings, hooks)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(gossip.run)
        await anyio.sleep(5.0)
        before = dict(metrics.counters)
        started_s, cpu_s = time.monotonic(), time.process_time()
        await anyio.sleep(duration_s)
        elapsed_time_s = time.monotonic() - started_s
        cpu_s = time.process_time() - cpu_s
        rates = {
            name: (value - before.get(name, 0)) / elapsed_time_s
            for name, value in metrics.counters.items()
        }
        figures = cost_figures(rates, cpu_s / elapsed_time_s, gossip)
        tasks.cancel_scope.cancel()
    return figures


def cost_figures(
    rates: dict[str, float], cpu_share: float, gossip: Gossip
) -> dict[str, Any]:
    """Return the reported figures of one run."""
    sent = rates.get("gossip.sent_bytes", 0.0)
    received = rates.get("gossip.received_bytes", 0.0)
    return {
        "cpu_percent": round(100 * cpu_share, 3),
        "sent_messages_per_s": round(rates.get("gossip.sent_messages", 0.0), 2),
        "received_messages_per_s": round(rates.get("gossip.received_messages", 0.0), 2),
        "payload_bytes_per_s": round(sent + received),
        "opened_sockets_per_s": round(rates.get("gossip.opened_sockets", 0.0), 2),
        "probe_failures_per_s": round(rates.get("gossip.probe_failures", 0.0), 3),
        "open_sockets": gossip.state()["open_sockets"],
        "rss_mb": round(read_rss_bytes() / 2**20, 2),
        "anonymous_mb": round(read_anonymous_kb() / 1024, 2),
    }


@dataclass(frozen=True)
class SpreadPlan:
    """Instances of the spread part and the schedule of their changes.

    :param processes: number of processes
    :param per_process: instances in each
    :param start_s: monotonic time at which all instances start
    :param pushes_s: times of configuration pushes after the start
    :param leaves_s: times after the start at which one instance announces to leave
    :param end_s: end of the run after the start
    """

    processes: int
    per_process: int
    start_s: float
    pushes_s: tuple[float, ...]
    leaves_s: tuple[float, ...]
    end_s: float

    @property
    def count(self) -> int:
        """Number of instances."""
        return self.processes * self.per_process

    def pushing_instance(self, i: int) -> int:
        """Return the index of the instance that makes a push."""
        return (i * 37 + 5) % self.count

    def leaving_instance(self, i: int) -> int:
        """Return the index of the instance that leaves."""
        return (i * 53 + 11) % self.count


@dataclass
class SpreadNode:
    """One instance of the spread part; times are after the start in s."""

    index: int
    plan: SpreadPlan
    table: MemberTable
    gossip: Gossip
    version: int
    applied_s: dict[int, float]
    left_s: dict[str, float]
    complete_s: float = -1.0

    def elapsed_s(self) -> float:
        """Return the time since the start in s."""
        return time.monotonic() - self.plan.start_s

    def on_delta(self, payload: bytes, previous: int, version: int) -> bool:
        """Apply a change if it is based on the current version."""
        if previous != self.version:
            return False
        self.version = version
        self.applied_s[version] = self.elapsed_s()
        return True

    def on_snapshot(self, version: int, data: bytes) -> None:
        """Install a complete configuration."""
        self.version = version
        self.applied_s[version] = self.elapsed_s()

    def on_members(self, records: list[MemberRecord]) -> None:
        """Record when the table is complete and when members announce to leave."""
        if self.complete_s < 0 and len(self.table) == self.plan.count:
            self.complete_s = self.elapsed_s()
        for record in records:
            if record.state is MemberState.LEAVING:
                self.left_s.setdefault(record.node_id, self.elapsed_s())

    async def run(self) -> None:
        """Run the instance until the end of the plan."""
        await self.sleep_until(0.0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.gossip.run)
            tasks.start_soon(self.follow_plan)
            await self.sleep_until(self.plan.end_s)
            tasks.cancel_scope.cancel()

    async def follow_plan(self) -> None:
        """Make the pushes and announcements of this instance."""
        for i, at_s in enumerate(self.plan.pushes_s):
            if self.plan.pushing_instance(i) == self.index:
                await self.sleep_until(at_s)
                self.on_delta(b"", self.version, self.version + 1)
                payload = random.randbytes(CONFIG_BYTES)
                self.gossip.push_config(self.version - 1, self.version, payload)
        for i, at_s in enumerate(self.plan.leaves_s):
            if self.plan.leaving_instance(i) == self.index:
                await self.sleep_until(at_s)
                self.table.update_local(state=MemberState.LEAVING)
                self.gossip.push_now()

    async def sleep_until(self, at_s: float) -> None:
        """Sleep until a time after the start in s."""
        await anyio.sleep(max(0.0, at_s - self.elapsed_s()))


def make_spread_node(
    index: int, plan: SpreadPlan, context: zmq.asyncio.Context
) -> SpreadNode:
    """Return one instance with a separate loopback address."""
    host = f"127.3.{index // 250}.{index % 250 + 1}"
    local_record = MemberRecord(
        f"node-{index}", 1, 1, "s", "d", "r", host, 1, SPREAD_PORT, f"target-{index}"
    )
    rng, clock = random.Random(index), SystemClock()
    table = make_member_table(local_record, clock, rng, MembershipSettings())
    settings = GossipSettings(
        LinkSettings(host, SPREAD_PORT, host),
        seeds=tuple(Address(f"127.3.0.{i + 1}", SPREAD_PORT) for i in range(3)),
    )
    hooks = GossipHooks()
    gossip = make_gossip(table, clock, rng, Metrics(), settings, hooks, context)
    node = SpreadNode(index, plan, table, gossip, 1, {}, {})
    hooks.config_version = lambda: node.version
    hooks.on_config_delta = node.on_delta
    hooks.on_config_snapshot = node.on_snapshot
    hooks.config_snapshot = lambda: b"x" * CONFIG_BYTES
    hooks.on_members = node.on_members
    return node


def run_spread_process(process: int, plan: SpreadPlan, result: Connection) -> None:
    """Entry point of one process of the spread part."""
    context = zmq.asyncio.Context()
    context.set(zmq.MAX_SOCKETS, SOCKET_LIMIT)
    first = process * plan.per_process
    nodes = [
        make_spread_node(first + i, plan, context) for i in range(plan.per_process)
    ]

    async def main() -> float:
        async with anyio.create_task_group() as tasks:
            for node in nodes:
                tasks.start_soon(node.run)
            await nodes[0].sleep_until(plan.pushes_s[0] / 2)
            cpu_s = time.process_time()
            await nodes[0].sleep_until(plan.pushes_s[0] - 0.5)
            cpu_s = time.process_time() - cpu_s
        return cpu_s / (plan.pushes_s[0] / 2 - 0.5) / len(nodes)

    cpu_share = anyio.run(main, backend_options={"use_uvloop": True})
    found = [(n.applied_s, n.left_s, n.complete_s) for n in nodes]
    result.send((cpu_share, found))


def measure_spread(processes: int, per_process: int) -> dict[str, Any]:
    """Run the instances and return the spread times in ms."""
    plan = SpreadPlan(
        processes,
        per_process,
        time.monotonic() + 3.0,
        tuple(30.0 + 3.0 * i for i in range(6)),
        tuple(50.0 + 3.0 * i for i in range(4)),
        65.0,
    )
    shares, found = [], []
    spawn = multiprocessing.get_context("spawn")
    pipes = []
    for process in range(processes):
        receiver, sender = spawn.Pipe(duplex=False)
        worker = spawn.Process(target=run_spread_process, args=(process, plan, sender))
        worker.start()
        pipes.append((worker, receiver))
    for worker, receiver in pipes:
        share, part = receiver.recv()
        worker.join()
        shares.append(share)
        found += part
    return spread_figures(plan, shares, found)


def spread_figures(
    plan: SpreadPlan, shares: list[float], found: list[Any]
) -> dict[str, Any]:
    """Return the reported figures of the spread part."""
    config_ms, config_missed = [], 0
    for i, at_s in enumerate(plan.pushes_s):
        times = [applied.get(i + 2) for applied, _, _ in found]
        config_missed += times.count(None)
        config_ms += [1_000 * (t - at_s) for t in times if t is not None]
    leave_ms, leave_missed = [], 0
    for i, at_s in enumerate(plan.leaves_s):
        name = f"node-{plan.leaving_instance(i)}"
        times = [left.get(name) for _, left, _ in found]
        leave_missed += times.count(None) - 1
        leave_ms += [1_000 * (t - at_s) for t in times if t is not None]
    complete_s = [complete for _, _, complete in found]
    return {
        "instances": plan.count,
        "processes": plan.processes,
        "cpu_percent_per_instance": round(100 * statistics.mean(shares), 3),
        "tables_complete": sum(value >= 0 for value in complete_s),
        "tables_complete_ms": quantiles([1_000 * s for s in complete_s]),
        "config_ms": quantiles(config_ms),
        "config_missed": config_missed,
        "leaving_ms": quantiles(leave_ms),
        "leaving_missed": leave_missed,
    }


def quantiles(values_ms: list[float]) -> dict[str, float]:
    """Return median, 98th percentile and maximum."""
    if len(values_ms) < 2:
        return {}
    cuts = statistics.quantiles(values_ms, n=100)
    return {
        "p50": round(cuts[49], 1),
        "p98": round(cuts[97], 1),
        "max": round(max(values_ms), 1),
    }


def run_cost(count: int, duration_s: float, outage: bool = False) -> dict[str, Any]:
    """Measure one table size with a measured process and one of simulated members.

    :param count: number of members
    :param duration_s: length of the measurement
    :param outage: whether one member in three is unresponsive from the start
    """
    spawn = multiprocessing.get_context("spawn")
    receiver, sender = spawn.Pipe(duplex=False)
    simulated_members = spawn.Process(
        target=run_simulated_members, args=(count, outage), daemon=True
    )
    simulated_members.start()
    node = spawn.Process(target=measure_cost, args=(count, duration_s, sender))
    node.start()
    figures: dict[str, Any] = receiver.recv()
    figures["outage"] = outage
    node.join()
    simulated_members.terminate()
    simulated_members.join()
    return figures


def main() -> None:
    """Run both parts and print the results as JSON on the last line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="*", default=[100, 1000, 4100])
    parser.add_argument("--duration-s", type=float, default=60.0)
    parser.add_argument("--processes", type=int, default=3)
    parser.add_argument("--per-process", type=int, default=50)
    options = parser.parse_args()
    costs = []
    for count in options.sizes:
        costs.append(run_cost(count, options.duration_s))
        print(costs[-1], flush=True)
    costs.append(run_cost(max(options.sizes), options.duration_s, outage=True))
    print(costs[-1], flush=True)
    spread = measure_spread(options.processes, options.per_process)
    print(spread, flush=True)
    print(json.dumps({"cost": costs, "spread": spread}))


if __name__ == "__main__":
    main()
