"""Choice of the nodes that read from the store, and the ways to a new configuration."""

import asyncio
import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from briardock.mesh.members import MemberTable, NodeRecord
from briardock.mesh.readers import (
    MAX_READ_AGE_S,
    MIN_READERS,
    RETRY_DELAY_S,
    ReaderElection,
)
from briardock.mesh.replication import Replicator
from briardock.mesh.sync import SYNC_PERIOD_S, PeerSync
from mesh_builders import record
from mesh_fakes import Fleet, config, eventually, fleet, free_address, route

# Bound on the time until an acknowledged configuration is in force, s.
CONFIG_BOUND_S = 2.0


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


def tables(records: list[NodeRecord]) -> list[MemberTable]:
    """Return the member table of each node, all with the same records."""
    created = []
    for local_record in records:
        table = MemberTable(local_record)
        for other in records:
            table.merge(other)
        created.append(table)
    return created


def fleet_records(counts_by_domain: list[int]) -> list[NodeRecord]:
    return [
        record(f"d{d}-n{n}", domain=f"d{d}", address=f"10.{d}.{n // 200}.{n % 200}:1")
        for d, count in enumerate(counts_by_domain)
        for n in range(count)
    ]


@given(st.lists(st.integers(1, 6), min_size=1, max_size=5))
def test_each_domain_has_readers_and_their_number_does_not_grow_with_nodes(
    counts: list[int],
) -> None:
    """With reads by all nodes, 195 nodes made 3,700 calls to the store in 49 s."""
    readers_by_domain: dict[str, int] = dict.fromkeys(
        (f"d{d}" for d in range(len(counts))), 0
    )
    for table in tables(fleet_records(counts)):
        election = ReaderElection(table)
        ahead = election.candidates(0.0)
        if not ahead:
            readers_by_domain[table.local_record.domain] += 1
            assert election.should_read(0.0)
        else:
            assert {r.domain for r in ahead} == {table.local_record.domain}
    per_domain = -(-MIN_READERS // len(counts))
    expected = [min(count, per_domain) for count in counts]
    assert list(readers_by_domain.values()) == expected


def follower() -> tuple[ReaderElection, list[str]]:
    """Return the election of the last node in its ranking, and the ones ahead."""
    ranked = []
    for table in tables(fleet_records([3, 1, 1])):
        election = ReaderElection(table)
        ahead = [reader.node_id for reader in election.candidates(0.0)]
        if table.local_record.domain == "d0":
            ranked.append((len(ahead), ahead, election))
    _, ahead, election = max(ranked, key=lambda item: item[0])
    return election, ahead


@pytest.mark.parametrize(
    ("case", "read_ages_s", "must_read"),
    [
        ("the first one reads", [0.5], False),
        ("the first one is killed or frozen, the second reads", [None, 1.0], False),
        ("the first one is cut from the store", [MAX_READ_AGE_S + 1, 1.0], False),
        ("the store turns both away", [MAX_READ_AGE_S + 1, 9.0], True),
        ("both are killed", [None, None], True),
    ],
)
def test_a_node_reads_if_none_ahead_of_it_does(
    case: str, read_ages_s: list[float | None], must_read: bool
) -> None:
    """Otherwise a domain misses a configuration once its reader stops."""
    election, _ = follower()
    now = 100.0
    for age_s in read_ages_s:
        reader = election.candidates(now)[0]
        election.record_response(reader.node_id, age_s, now)
    assert election.should_read(now) is must_read


def test_a_node_looks_for_a_reader_again_and_stops_reading_once_it_found_one() -> None:
    """All nodes would read for good after one outage of the store."""
    election, ahead = follower()
    for node_id in ahead:
        election.record_response(node_id, None, 100.0)
    assert election.should_read(100.0)
    now = 100.0 + RETRY_DELAY_S
    reader = election.candidates(now)[0]
    assert reader.node_id == ahead[0]
    assert election.record_response(reader.node_id, 0.2, now)
    assert not election.should_read(now)
    now += 0.1
    for node_id in ahead:
        election.record_response(node_id, None, now)
    assert election.should_read(now)


@pytest.mark.anyio
async def test_sync_does_not_wait_for_a_node_that_is_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A node was 0.4 s late with a configuration: its syncs each waited 1 s for a
    connection that had gone silent before they asked the next node.
    """
    async with fleet() as system:
        machine = await system.add("n1", "jobs")
        await system.settle()
        sync = machine.node.replicator._sync
        machine.node.members.merge(record("n2", address=free_address()))
        asked = []

        async def never_responds(peer: NodeRecord) -> float | None:
            asked.append(peer.node_id)
            await asyncio.sleep(60.0)
            return None

        monkeypatch.setattr(
            PeerSync, "sync_with", lambda self, peer: never_responds(peer)
        )
        task = asyncio.get_running_loop().create_task(sync.sync_periodically())
        await asyncio.sleep(4 * SYNC_PERIOD_S)
        task.cancel()
        assert len(asked) >= 3


async def publish_and_wait(system: Fleet, version: int) -> None:
    """Publish a version and wait until all machines have it, within the bound."""
    system.store.put("keyed.op", "config", config(version, route("r", "/jobs/")))

    async def in_force() -> bool:
        nodes = [machine.node for machine in system.machines.values()]
        return {node.replicator.config_version for node in nodes} == {version}

    await eventually(in_force, timeout_s=CONFIG_BOUND_S)


def readers(system: Fleet) -> list[str]:
    """Return the names of the nodes that no other node reads for."""
    return [
        name
        for name, machine in system.machines.items()
        if not machine.node.replicator._election.candidates(0.0)
    ]


async def stop(system: Fleet, name: str) -> None:
    machine = system.machines.pop(name)
    machine.task.cancel()
    await asyncio.gather(machine.task, return_exceptions=True)
    for server in machine.node._servers:
        server.stop_listening()
        for connection in list(server.connections):
            connection.close_gracefully()


@pytest.mark.anyio
@pytest.mark.parametrize(
    "fault", ["none", "killed", "frozen", "cut from the store", "cut from its peers"]
)
async def test_a_new_configuration_reaches_all_nodes_without_their_readers(
    fault: str,
) -> None:
    """All readers at once stop to read, as after a power loss of half of the nodes."""
    async with fleet() as system:
        for number in range(6):
            await system.add(f"n{number}", "jobs")
        await system.settle()
        await publish_and_wait(system, 2)
        failing = readers(system)
        assert len(failing) == MIN_READERS
        for name in failing:
            node = system.machines[name].node
            match fault:
                case "killed":
                    await stop(system, name)
                case "frozen":
                    system.machines.pop(name)
                    node._peer_server._handler = lambda request: asyncio.sleep(60.0)
                    node.replicator._store._address = free_address()
                    node.replicator._sync._members = MemberTable(
                        record("alone", domain="elsewhere")
                    )
                case "cut from the store":
                    node.replicator._store._address = free_address()
                case "cut from its peers":
                    system.machines.pop(name)
                    node._peer_server._handler = lambda request: asyncio.sleep(60.0)
                    node.replicator._sync._members = MemberTable(
                        record("alone", domain="elsewhere")
                    )
        await asyncio.sleep(0.1)
        await publish_and_wait(system, 3)


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("how", "served_count"),
    [("reset", 6), ("503", 6), ("silent", 6), ("reset", 1), ("503", 1)],
)
async def test_a_new_configuration_is_in_force_while_the_store_turns_the_readers_away(
    how: str, served_count: int
) -> None:
    """Requests got 404 by an older configuration up to 1.4 s after the bound: nodes
    that the store served relied on reads of nodes that it turned away (CONFIG).
    """
    async with fleet() as system:
        for number in range(9):
            address = await system.store.open_address()
            await system.add(f"n{number}", "jobs", f"d{number % 3}", address)
        await system.settle()
        await publish_and_wait(system, 2)
        ahead = readers(system)
        assert len(ahead) == MIN_READERS
        others = [name for name in system.machines if name not in ahead]
        for name in [*ahead, *others][: 9 - served_count]:
            system.store.turn_away(system.machines[name].settings.store_address, how)
        await asyncio.sleep(0.1)
        await publish_and_wait(system, 3)


@pytest.mark.anyio
async def test_calls_to_the_store_do_not_grow_with_the_number_of_nodes() -> None:
    """Reads by all nodes were the dearest part of running the fleet."""
    async with fleet() as system:
        for number in range(8):
            await system.add(f"n{number}", "jobs")
        await system.settle()
        await asyncio.sleep(2.5)
        before = system.store.calls
        await asyncio.sleep(4.0)
        # Each reader polls every 2 s.
        assert system.store.calls - before <= MIN_READERS * 3


@pytest.mark.anyio
async def test_a_node_that_joins_gets_the_configuration_from_a_peer() -> None:
    async with fleet() as system:
        for number in range(4):
            await system.add(f"n{number}", "jobs")
        await system.settle()
        settings = system.machines["n0"].settings
        read = asyncio.Event()
        handle = system.store.server._handler

        async def refuse_configuration(request):  # type: ignore[no-untyped-def]
            if b"keyed.op" in request.target:
                await read.wait()
            return await handle(request)

        system.store.server._handler = refuse_configuration
        joined = await system.add("n9", "jobs")
        assert replace(settings, node_id="n9") != joined.settings

        async def has_configuration() -> bool:
            return joined.node.replicator.config_version == 1

        await eventually(has_configuration, timeout_s=CONFIG_BOUND_S)


def test_a_sync_sends_only_the_parts_of_the_table_that_differ() -> None:
    """Whole tables were sent both ways after each change, 19 KB at 200 nodes."""
    rng = random.Random(1)
    records = fleet_records([100, 100])
    first, second = tables(records)[:2]
    changed = rng.choice(records[2:])
    first.merge(record(changed.node_id, version=2, domain=changed.domain))
    sent = first.records_differing(second.bucket_digests)
    assert changed.node_id in {item.node_id for item in sent}
    assert len(sent) < len(records) / 8
    for item in sent:
        second.merge(item)
    assert first.digest() == second.digest()
    assert not first.records_differing(second.bucket_digests)


@pytest.mark.anyio
@pytest.mark.parametrize("task", ["check_readers", "watch_config", "publish"])
async def test_an_unexpected_error_does_not_end_a_background_task(
    task: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A node whose task had ended kept its configuration for good."""
    failures = 2
    run_task = getattr(Replicator, task)

    async def fail_first(self: Replicator) -> None:
        nonlocal failures
        if failures:
            failures -= 1
            raise RuntimeError("unexpected")
        await run_task(self)

    monkeypatch.setattr(Replicator, task, fail_first)
    async with fleet() as system:
        machine = await system.add("n1", "jobs")
        await system.settle()
        assert not failures
        assert await machine.node.replicator.wait_until_stored(CONFIG_BOUND_S)
        await publish_and_wait(system, 2)
