"""Age of the configuration of a node: arithmetic, exchange between nodes, faults."""

import asyncio
import struct
import time
from dataclasses import replace

import msgspec
import pytest

from briardock.mesh import replication, sync
from briardock.mesh.dialect import Records, StoreFailure
from briardock.mesh.freshness import ConfigFreshness
from briardock.mesh.http1 import Request
from briardock.mesh.members import NodeRecord
from briardock.mesh.replication import CONFIG_WAIT_RANGE_S
from briardock.mesh.shared_reads import READER_CHECK_PERIOD_S, READER_TIMEOUT_S
from briardock.mesh.sync import PeerSync, SyncMessage
from briardock.platform._store import PlatformStore, _decode_records
from mesh_builders import record
from mesh_fakes import (
    Fleet,
    config,
    eventually,
    fleet,
    route,
    tenant,
)

# Bound on the age in normal operation, s.
AGE_BOUND_S = 4.0
# Age from which requests with keys are refused with the usual settings, s.
REVOCATION_LIMIT_S = 4.5
ROUTE = route("r", "/jobs/")


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


@pytest.mark.parametrize(
    ("case", "read", "age_s"),
    [
        ("waited in vain", (100.0, 101.42, 1.4, True), 8.6),
        ("waited in vain, response late", (100.0, 104.0, 1.4, True), 8.6),
        ("ended before its wait", (100.0, 101.2, 1.4, True), 10.0),
        ("returned a configuration", (100.0, 101.42, 1.4, False), 10.0),
        ("newest records", (100.0, 100.3, 0.0, False), 10.0),
        ("no records yet", (100.0, 100.3, 0.0, True), 10.0),
    ],
)
def test_age_after_a_read(
    case: str, read: tuple[float, float, float, bool], age_s: float
) -> None:
    """The store may execute a read at once and respond late, so that the time of the
    response proves nothing.
    """
    known = ConfigFreshness()
    assert known.age_s(110.0) is None
    known.record_read(*read)
    assert known.age_s(110.0) == pytest.approx(age_s)


@pytest.mark.parametrize(
    ("case", "responses", "age_s"),
    [
        ("age of the other node", [(109.0, 1.0)], 2.0),
        ("long exchange", [(105.0, 1.0)], 6.0),
        ("fresher one later", [(105.0, 1.0), (109.0, 0.5)], 1.5),
        ("fresher one earlier", [(109.0, 0.5), (109.5, 9.0)], 1.5),
    ],
)
def test_age_after_responses_of_other_nodes(
    case: str, responses: list[tuple[float, float]], age_s: float
) -> None:
    """The duration of the exchange counts, and an age only falls by a proof."""
    known = ConfigFreshness()
    for started_s, other_age_s in responses:
        known.record_response(started_s, other_age_s)
    assert known.age_s(110.0) == pytest.approx(age_s)


@pytest.mark.parametrize(
    ("latency_s", "failed_questions", "bound_s"),
    [
        (0.001, 0, AGE_BOUND_S),
        (0.3, 0, AGE_BOUND_S),
        (0.001, 1, AGE_BOUND_S),
        # A slow store and a node that does not respond are no normal operation.
        (0.3, 1, REVOCATION_LIMIT_S),
    ],
)
@pytest.mark.parametrize("published_after_s", [0.0, 0.7, 1.4, None])
def test_highest_age_by_the_periods_of_reads_and_questions(
    latency_s: float,
    published_after_s: float | None,
    failed_questions: int,
    bound_s: float,
) -> None:
    """Reads in the order of ``watch_config``, each as long as it can be; a node asks
    the reader just before its next proof, every time as late as it can.
    """
    wait_s = CONFIG_WAIT_RANGE_S[1]
    reader = ConfigFreshness()
    reader.record_read(0.0, latency_s, 0.0, was_empty=False)
    reader_ages_s = []
    started_s = latency_s
    for number in range(4):
        duration_s = latency_s + wait_s
        is_cut_short = number == 1 and published_after_s is not None
        if is_cut_short:
            duration_s = latency_s + published_after_s
        ended_s = started_s + duration_s
        reader_ages_s.append(reader.age_s(ended_s) or 0.0)
        reader.record_read(started_s, ended_s, wait_s, was_empty=not is_cut_short)
        started_s = ended_s
        if is_cut_short:
            # The read that confirms what the last one returned.
            ended_s += latency_s
            reader_ages_s.append(reader.age_s(ended_s) or 0.0)
            reader.record_read(started_s, ended_s, 0.0, was_empty=True)
            started_s = ended_s
    question_s = 1.3 * READER_CHECK_PERIOD_S + 2 * failed_questions * READER_TIMEOUT_S
    assert max(reader_ages_s) + question_s + latency_s < bound_s


def test_message_of_the_earlier_release_tells_no_age() -> None:
    encoded = msgspec.msgpack.encode(SyncMessage("d", 1, []))
    fields = msgspec.msgpack.decode(encoded)
    assert len(fields) == 13
    earlier = msgspec.msgpack.encode(fields[:12])
    decoded = msgspec.msgpack.decode(earlier, type=SyncMessage)
    assert decoded.current_age_ms == -1


def ages_s(system: Fleet) -> list[float]:
    """Return the age at each node, infinite if it is not known."""
    ages = [m.node.replicator.config_age_s() for m in system.machines.values()]
    return [float("inf") if age_s is None else age_s for age_s in ages]


async def wait_until_known(system: Fleet) -> None:
    async def known() -> bool:
        return max(ages_s(system)) < AGE_BOUND_S

    await eventually(known, timeout_s=AGE_BOUND_S)


@pytest.mark.anyio
@pytest.mark.parametrize(
    "resources", [(ROUTE,), (ROUTE, tenant("a", "k1"))], ids=["plain", "accounts"]
)
@pytest.mark.parametrize("domain_count", [1, 3])
async def test_age_stays_low_in_normal_operation(
    resources: tuple[dict[str, object], ...], domain_count: int
) -> None:
    """Above the bound, nodes would refuse requests with valid keys without a fault."""
    async with fleet(*resources) as system:
        for number in range(9):
            await system.add(f"n{number}", "jobs", f"d{number % domain_count}")
        await system.settle()
        await wait_until_known(system)
        highest_s = 0.0
        version, until_s = 1, time.monotonic() + 6.0
        while time.monotonic() < until_s:
            await asyncio.sleep(0.05)
            highest_s = max(highest_s, *ages_s(system))
            if time.monotonic() > until_s - 3.0 and version == 1:
                version = 2
                system.store.put("keyed.op", "config", config(version, *resources))
        assert highest_s < AGE_BOUND_S


@pytest.mark.anyio
async def test_age_grows_on_all_nodes_while_the_store_is_cut_off() -> None:
    """Nodes must not renew each other's ages without a read of the store."""
    async with fleet(ROUTE, tenant("a", "k1")) as system:
        for number in range(5):
            await system.add(f"n{number}", "jobs")
        await system.settle()
        await wait_until_known(system)
        system.store.down = True
        # The stand-in still answers the reads that wait.
        await asyncio.sleep(CONFIG_WAIT_RANGE_S[1] + 0.1)
        start_s, lowest_s = time.monotonic(), min(ages_s(system))
        await asyncio.sleep(2.0)
        elapsed_s = time.monotonic() - start_s
        assert min(ages_s(system)) >= lowest_s + elapsed_s - 0.05
        system.store.down = False
        await wait_until_known(system)


@pytest.mark.anyio
@pytest.mark.parametrize("how", ["reset", "503", "silent"])
async def test_a_node_that_the_store_turns_away_knows_the_age_of_its_neighbours(
    how: str,
) -> None:
    async with fleet(ROUTE, tenant("a", "k1")) as system:
        for number in range(6):
            address = await system.store.open_address()
            await system.add(f"n{number}", "jobs", f"d{number % 2}", address)
        await system.settle()
        await wait_until_known(system)
        # All nodes but one of each domain.
        for name in ("n0", "n1", "n2", "n3"):
            system.store.turn_away(system.machines[name].settings.store_address, how)
        highest_s = 0.0
        for _ in range(120):
            await asyncio.sleep(0.05)
            highest_s = max(highest_s, *ages_s(system))
        assert highest_s < REVOCATION_LIMIT_S


@pytest.mark.anyio
async def test_a_node_that_only_its_neighbour_reads_for_asks_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A node that is to read itself asks no other whether that reads, and the periodic
    sync may choose nodes that cannot be reached several times in a row.
    """

    async def skip(self: PeerSync, peer: NodeRecord) -> None:
        pass

    async with fleet(ROUTE, tenant("a", "k1")) as system:
        for name in ("n1", "n2"):
            address = await system.store.open_address()
            await system.add(name, "jobs", "d1", address)
        await system.settle()
        await wait_until_known(system)
        monkeypatch.setattr(PeerSync, "_sync_in_background", skip)
        settings = system.machines["n1"].settings
        system.store.turn_away(settings.store_address, "503")
        highest_s = 0.0
        for _ in range(100):
            await asyncio.sleep(0.05)
            highest_s = max(highest_s, *ages_s(system))
        assert highest_s < AGE_BOUND_S


@pytest.mark.anyio
async def test_reads_of_a_part_of_the_records_do_not_count(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    read_newest = PlatformStore.read_newest

    async def read_part(
        self: PlatformStore, stream: str, *args: object
    ) -> Records | StoreFailure:
        await asyncio.sleep(0.05)
        result = await read_newest(self, stream)
        if stream == "config" and isinstance(result, Records):
            return replace(result, is_complete=False)
        return result

    monkeypatch.setattr(PlatformStore, "read_newest", read_part)
    monkeypatch.setattr(PlatformStore, "read_from", read_part)
    async with fleet(ROUTE) as system:
        await system.add("n1", "jobs")
        await system.settle()
        await asyncio.sleep(0.5)
        assert ages_s(system) == [float("inf")]


@pytest.mark.anyio
async def test_duration_of_an_exchange_counts(monkeypatch: pytest.MonkeyPatch) -> None:
    """A response may lie in the buffer of a suspended process."""
    async with fleet(ROUTE) as system:
        machine = await system.add("n1", "jobs")
        await system.settle()
        await wait_until_known(system)
        peer_sync = machine.node.replicator._sync
        response = peer_sync._message()
        response.current_age_ms = 1_000
        now_s = sync.now_s

        async def respond_late(address: str, message: SyncMessage) -> SyncMessage:
            monkeypatch.setattr(sync, "now_s", lambda: now_s() + 30.0)
            return response

        monkeypatch.setattr(peer_sync, "_send", respond_late)
        peer_sync._freshness = known = ConfigFreshness()
        await peer_sync._exchange(record("n2"), peer_sync._message())
        assert known.age_s(sync.now_s()) == pytest.approx(31.0, abs=0.5)


@pytest.mark.anyio
async def test_a_suspended_node_finds_its_age_high_and_is_not_misled_by_pushes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A push waits in the buffer of a suspended process; the age in it is outdated."""
    async with fleet(ROUTE, tenant("a", "k1")) as system:
        machine = await system.add("n1", "jobs")
        await system.settle()
        await wait_until_known(system)
        replicator = machine.node.replicator
        system.store.down = True
        await asyncio.sleep(0.05)
        now_s = replication.now_s
        for module in (replication, sync):
            monkeypatch.setattr(module, "now_s", lambda: now_s() + 60.0)
        before_s = replicator.config_age_s()
        assert before_s is not None and before_s > 60.0
        config_id = replicator._replica.config_id
        push = SyncMessage(
            "",
            config_id.version,
            [],
            config_era=config_id.era,
            config_digest=config_id.digest,
            current_age_ms=0,
        )
        request = Request(
            b"POST", sync.SYNC_PATH, [], msgspec.msgpack.encode(push), now_s()
        )
        assert (await replicator.handle(request)).status == 200
        after_s = replicator.config_age_s()
        assert after_s is not None and after_s >= before_s


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("changes", "is_taken"),
    [
        ({}, True),
        ({"config_version": 0}, False),
        ({"config_digest": "other"}, False),
        ({"config_digest": ""}, False),
        ({"current_age_ms": -1}, False),
    ],
)
async def test_an_age_is_taken_only_from_a_node_with_the_same_configuration(
    changes: dict[str, object], is_taken: bool
) -> None:
    """The age of another configuration says nothing about the one in force."""
    async with fleet(ROUTE) as system:
        machine = await system.add("n1", "jobs")
        await system.settle()
        replicator = machine.node.replicator
        await wait_until_known(system)
        config_id = replicator._replica.config_id
        response = SyncMessage(
            "",
            config_id.version,
            [],
            config_era=config_id.era,
            config_digest=config_id.digest,
            current_age_ms=0,
        )
        replicator._sync._freshness = known = ConfigFreshness()
        response = msgspec.structs.replace(response, **changes)
        replicator._sync._confirm_freshness(response, sync.now_s())
        assert (known.age_s(sync.now_s()) is not None) is is_taken


@pytest.mark.anyio
async def test_a_restarted_node_knows_no_age_before_its_first_read() -> None:
    async with fleet(ROUTE) as system:
        await system.add("n1", "jobs")
        await system.settle()
        await wait_until_known(system)
        system.store.down = True
        machine = await system.restart("n1")
        await asyncio.sleep(0.5)
        assert machine.node.replicator.config_age_s() is None
        system.store.down = False
        await wait_until_known(system)


@pytest.mark.parametrize(("end", "is_complete"), [(2, True), (3, False)])
def test_a_part_of_the_records_proves_nothing(end: int, is_complete: bool) -> None:
    """The rest may hold the configuration that withdraws a key."""
    records = _decode_records(struct.pack(">QQ", end, 0), 2, 1)
    assert records == Records([], 2, 1, is_complete)
