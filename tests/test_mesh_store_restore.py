"""Restores of the store from a copy, which lose what it had acknowledged since."""

import asyncio
import json
import random
import time
from collections.abc import Awaitable, Callable

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from briardock.mesh import replication
from briardock.mesh.dialect import CONFIG_STREAM, Records, StoreFailure, Trimmed
from briardock.mesh.http1 import Request, Response
from briardock.mesh.members import MemberTable, NodeRecord
from briardock.mesh.model import RoutingConfig, TargetState
from briardock.mesh.positions import ReadPosition, next_position
from briardock.mesh.readers import MIN_READERS
from briardock.mesh.replica import ConfigId, Replica
from briardock.mesh.sync import PeerSync
from briardock.platform._dialect import PlatformDialect
from briardock.platform._store import PlatformStore
from mesh_builders import record
from mesh_fakes import (
    Fleet,
    Machine,
    config,
    eventually,
    fleet,
    quiet_log,
    route,
)

pytestmark = pytest.mark.anyio

CONFIG = "keyed.op"
NODES = "keyed.briardock-nodes"
# Bound on the time until an acknowledged configuration is in force, s.
CONFIG_BOUND_S = 2.0
# Time within which a node writes its record again, s: the longest write delay, and
# the time until it learns of the restore.
REWRITE_BOUND_S = 3.0


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


def put_config(system: Fleet, version: int, prefix: str = "/jobs/") -> None:
    system.store.put(CONFIG, "config", config(version, route("r", prefix)))


async def in_force(system: Fleet, version: int, timeout_s: float) -> None:
    """Wait until all machines have a version."""

    async def all_have_it() -> bool:
        nodes = [machine.node for machine in system.machines.values()]
        return {node.replicator.config_version for node in nodes} == {version}

    await eventually(all_have_it, timeout_s)


def stored_records(system: Fleet) -> dict[str, NodeRecord]:
    return {
        key: msgspec.msgpack.decode(value, type=NodeRecord)
        for key, value in system.store.newest(NODES).items()
    }


async def all_stored(system: Fleet, timeout_s: float = 10.0) -> None:
    """Wait until the store has a current record of all machines."""

    async def stored() -> bool:
        records = stored_records(system)
        return all(
            name in records
            and records[name].order == machine.node.members.local_record.order
            for name, machine in system.machines.items()
        )

    await eventually(stored, timeout_s)


def intercept(
    system: Fleet,
    path: bytes,
    topic: str,
    respond: Callable[[Callable[[], Awaitable[Response]]], Awaitable[Response]],
) -> None:
    """Replace the store's response to one kind of call.

    :param path: path of the calls
    :param topic: their topic
    :param respond: called with a function that executes the call
    """
    handle = system.store.server._handler

    async def handle_intercepted(request: Request) -> Response:
        if request.target.startswith(path) and topic.encode() in request.target:
            return await respond(lambda: handle(request))
        return await handle(request)

    system.store.server._handler = handle_intercepted


@pytest.mark.parametrize(
    ("lost", "later", "reads_stay_open"),
    [
        pytest.param(3, 0, False, id="end-below-the-position"),
        pytest.param(1, 0, False, id="end-at-the-position"),
        pytest.param(1, 0, True, id="end-at-the-position-of-an-open-read"),
        pytest.param(1, 2, False, id="end-past-the-position"),
    ],
)
async def test_configuration_written_before_the_former_read_position_is_read(
    lost: int, later: int, reads_stay_open: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A node kept its read position; nothing told it that the records before that had
    been replaced.
    """
    # Node records are not read during the test, so that they do not tell the restore.
    monkeypatch.setattr(replication, "INITIAL_READ_DELAYS_S", (0.1,))
    async with fleet() as system:
        await system.add("n1", "jobs")
        await system.add("n2", "jobs")
        await system.settle()
        await all_stored(system)
        system.store.keeps_reads_open = reads_stay_open
        copied_s = time.monotonic()
        for version in range(2, 2 + lost):
            put_config(system, version)
        await in_force(system, 1 + lost, CONFIG_BOUND_S)
        system.store.restore(copied_s)
        put_config(system, 9)
        for number in range(later):
            system.store.put(CONFIG, f"other-{number}", b"x")
        await in_force(system, 9, CONFIG_BOUND_S)


async def test_node_records_written_before_the_former_read_position_are_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A reader never saw a node that started just after the restore."""
    monkeypatch.setattr(replication, "NODES_READ_PERIOD_RANGE_S", (0.3, 0.4))
    async with fleet() as system:
        machine = await system.add("n1", "jobs")
        await system.settle()
        await all_stored(system)
        copied_s = time.monotonic()

        async def known(*names: str) -> None:
            async def all_known() -> bool:
                return all(machine.node.members.get(name) for name in names)

            await eventually(all_known, timeout_s=REWRITE_BOUND_S)

        def put(name: str) -> None:
            other = record(name, address=f"127.0.0.1:{ord(name)}", domain="d2")
            system.store.put(NODES, name, msgspec.msgpack.encode(other))

        put("a")
        put("b")
        await known("a", "b")
        system.store.restore(copied_s)
        for name in "cde":
            put(name)
        await known("c", "d", "e")


async def test_read_position_is_given_up_if_reading_from_it_fails() -> None:
    """A node asked for good with an offset that the store refused."""
    async with fleet() as system:
        await system.add("n1", "jobs")
        await system.settle()

        async def refuse(execute: Callable[[], Awaitable[Response]]) -> Response:
            await asyncio.sleep(0.1)
            return Response(404)

        intercept(system, b"/log-read", CONFIG, refuse)
        # Ends the read in progress.
        system.store.put(CONFIG, "other", b"x")
        await asyncio.sleep(0.5)
        put_config(system, 2)
        await in_force(system, 2, CONFIG_BOUND_S)


async def test_records_of_all_nodes_are_written_again_over_a_second() -> None:
    """A record that the copy lost stayed lost until its node changed. Most nodes do
    not read from the store, and must not all write at the same moment.
    """
    async with fleet() as system:
        copied_s = time.monotonic()
        for number in range(MIN_READERS + 3):
            await system.add(f"n{number}", "jobs")
        await system.settle()
        await all_stored(system)
        system.store.restore(copied_s)
        appends = system.store.appends
        await asyncio.sleep(0.4 * replication.WRITE_DELAY_S)
        assert system.store.appends == appends
        await all_stored(system, REWRITE_BOUND_S)
        assert system.store.appends <= appends + 2 * len(system.machines)


@pytest.mark.parametrize("nodes", [20, 300, 4100])
def test_records_of_a_large_fleet_are_written_again_at_a_bounded_rate(
    nodes: int,
) -> None:
    """All nodes wrote within 0.6 s, whatever their number."""
    rng = random.Random(1)
    delays = sorted(replication.write_delay_s(rng, nodes) for _ in range(nodes))
    busiest = max(
        sum(start <= delay < start + 1.0 for delay in delays) for start in delays
    )
    assert busiest <= 1.5 * replication.REWRITES_PER_S
    assert delays[0] >= 0.5 * replication.WRITE_DELAY_S
    assert delays[-1] <= 1.5 * replication.WRITE_DELAY_S + nodes / 200


async def depart_and_lose_it(system: Fleet) -> Machine:
    """Acknowledge a departure that the store then loses."""
    machine = await system.add("n1", "jobs")
    await system.settle()
    await all_stored(system)
    copied_s = time.monotonic()
    assert await machine.announce("draining") == 200
    assert stored_records(system)["n1"].state is TargetState.LEAVING
    system.store.restore(copied_s)
    return machine


async def test_acknowledged_departure_is_written_again_at_once() -> None:
    """The next process of the node took the target for ready."""
    async with fleet() as system:
        await depart_and_lose_it(system)
        await asyncio.sleep(0.4 * replication.WRITE_DELAY_S)
        assert stored_records(system)["n1"].state is TargetState.LEAVING
        restarted = await system.restart("n1")
        await restarted.node.replicator._discovered.wait()
        assert restarted.node.target.state is not TargetState.READY


async def test_record_stored_before_the_restore_does_not_count_as_stored() -> None:
    """An append that the store had executed before the restore was answered after it,
    and a departure was acknowledged that the store had lost.
    """
    async with fleet() as system:
        machine = await system.add("n1", "jobs")
        await system.settle()
        await all_stored(system)
        copied_s = time.monotonic()
        executed, released = asyncio.Event(), asyncio.Event()

        async def hold(execute: Callable[[], Awaitable[Response]]) -> Response:
            response = await execute()
            executed.set()
            await released.wait()
            return response

        intercept(system, b"/log-append", NODES, hold)
        machine.node.target.leave("i-n1", 0)
        stored = asyncio.create_task(machine.node.replicator.wait_until_stored(3.0))
        await executed.wait()
        system.store.restore(copied_s)
        await asyncio.sleep(0.2)
        assert not stored.done()
        released.set()
        assert await stored
        assert stored_records(system)["n1"].state is TargetState.LEAVING


@pytest.mark.parametrize("answer", ["late", "none"])
async def test_read_that_began_before_the_restore_sets_no_position(answer: str) -> None:
    """The late answer to a long poll moved the node past the records that were written
    since, and a long poll without an answer delayed them.
    """
    async with fleet() as system:
        machine = await system.add("n1", "jobs")
        await system.settle()
        copied_s = time.monotonic()
        put_config(system, 2)
        await in_force(system, 2, CONFIG_BOUND_S)
        held = asyncio.Event()

        async def hold(execute: Callable[[], Awaitable[Response]]) -> Response:
            response = await execute()
            if not held.is_set():
                held.set()
                await asyncio.sleep(0.5 if answer == "late" else 60.0)
            return response

        # The read in progress is answered by this record and the next one is held.
        intercept(system, b"/log-read", CONFIG, hold)
        system.store.put(CONFIG, "other", b"x")
        await asyncio.sleep(0.1)
        system.store.put(CONFIG, "other", b"y")
        await held.wait()
        system.store.restore(copied_s)
        put_config(system, 9)
        for _ in range(2):
            system.store.put(CONFIG, "other", b"z")
        machine.node.replicator.local_record_changed()
        await machine.node.replicator.wait_until_stored(0.4)
        await in_force(system, 9, CONFIG_BOUND_S)


async def test_pages_of_different_eras_are_not_joined() -> None:
    """Records of the lost history were kept as newest ones, and the later era was not
    noticed.
    """
    async with fleet() as system:

        async def respond(execute: Callable[[], Awaitable[Response]]) -> Response:
            response = await execute()
            page = json.loads(response.body) | {"has-more": system.store.era == 1}
            response.body = json.dumps(page).encode()
            system.store.restore(time.monotonic())
            return response

        intercept(system, b"/log-newest", CONFIG, respond)
        store = PlatformStore(system.store.address)
        result = await store.read_newest(CONFIG_STREAM)
        assert isinstance(result, StoreFailure)
        assert result.era == 2


async def test_position_of_an_earlier_era_is_not_read_from() -> None:
    """A node that read again after a restore waited at its former position, past a
    configuration that was written before that.
    """
    async with fleet() as system:
        machine = await system.add("n1", "jobs")
        await system.settle()
        await all_stored(system)
        election = machine.node.replicator._election
        copied_s = time.monotonic()
        put_config(system, 2)
        await in_force(system, 2, CONFIG_BOUND_S)
        should_read, election.should_read = election.should_read, lambda now: False
        await asyncio.sleep(replication.CONFIG_WAIT_RANGE_S[1] + 0.1)
        system.store.restore(copied_s)
        put_config(system, 9)
        machine.node.replicator.local_record_changed()
        await machine.node.replicator.wait_until_stored(0.4)
        assert machine.node.replicator.store_era == 2
        election.should_read = should_read
        await in_force(system, 9, 1.0)


@pytest.mark.parametrize(
    ("started", "result", "store_era", "expected"),
    [
        (None, Records([], 4, 2), 2, ReadPosition(2, 4)),
        (ReadPosition(2, 3), Records([], 4, 2), 2, ReadPosition(2, 4)),
        (ReadPosition(0, 3), Records([], 4, 0), 0, ReadPosition(0, 4)),
        (ReadPosition(1, 3), Records([], 4, 2), 2, None),
        (ReadPosition(1, 3), Records([], 4, 1), 2, None),
        (None, Records([], 4, 1), 2, None),
        (ReadPosition(2, 3), Trimmed(2), 2, None),
        (ReadPosition(2, 3), StoreFailure("timeout"), 2, None),
    ],
)
def test_read_position_is_valid_in_its_own_era_only(
    started: ReadPosition | None,
    result: Records | Trimmed | StoreFailure,
    store_era: int,
    expected: ReadPosition | None,
) -> None:
    """Offsets are given out again after a restore."""
    assert next_position(started, result, store_era) == expected


def count_config_traffic(
    system: Fleet, monkeypatch: pytest.MonkeyPatch
) -> Callable[[], int]:
    """Return a function that counts installs and messages with a document."""
    counts = {"installs": 0, "documents": 0}
    apply = PeerSync._apply

    def apply_counted(self, message):  # type: ignore[no-untyped-def]
        counts["documents"] += bool(message.document)
        return apply(self, message)

    monkeypatch.setattr(PeerSync, "_apply", apply_counted)
    for machine in system.machines.values():
        replica = machine.node.replicator._replica
        install = replica._install

        def install_counted(installed, install=install):  # type: ignore[no-untyped-def]
            counts["installs"] += 1
            install(installed)

        replica._install = install_counted
    return lambda: sum(counts.values())


@pytest.mark.parametrize("content", ["other", "same"])
async def test_one_version_with_two_contents_ends_as_one_on_all_nodes(
    content: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The nodes kept the content that the store had lost, and a node that started then
    the other one.
    """
    async with fleet() as system:
        for number in range(MIN_READERS + 2):
            await system.add(f"n{number}", "jobs")
        await system.settle()
        copied_s = time.monotonic()
        put_config(system, 5, "/jobs/lost/")
        await in_force(system, 5, CONFIG_BOUND_S)
        count = count_config_traffic(system, monkeypatch)
        system.store.restore(copied_s)
        prefix = "/jobs/kept/" if content == "other" else "/jobs/lost/"
        put_config(system, 5, prefix)

        async def all_serve_it() -> bool:
            for machine in system.machines.values():
                assert machine.node.replicator.config_version == 5
                if (await machine.call(f"{prefix}1")).status != 200:
                    return False
            return True

        await eventually(all_serve_it, CONFIG_BOUND_S)
        await asyncio.sleep(0.5)
        settled = count()
        if content == "same":
            assert settled == 0
        await asyncio.sleep(1.0)
        assert count() == settled
        assert await all_serve_it()


@pytest.mark.parametrize("lost", ["configuration", "configuration and node records"])
async def test_starting_node_gets_a_configuration_that_the_store_lost(
    lost: str,
) -> None:
    """It must not use the older version from the store for longer than an exchange, and
    must know all members in the same time.
    """
    async with fleet() as system:
        if lost == "configuration and node records":
            copied_s = time.monotonic()
        for number in range(MIN_READERS):
            await system.add(f"n{number}", "jobs")
        await system.settle()
        await all_stored(system)
        if lost == "configuration":
            copied_s = time.monotonic()
        put_config(system, 5)
        await in_force(system, 5, CONFIG_BOUND_S)
        system.store.restore(copied_s)
        started = await system.add("n9", "jobs")

        async def all_known() -> bool:
            return started.node.members.count == MIN_READERS + 1

        async with asyncio.timeout(4.0):
            await in_force(system, 5, 4.0)
            await eventually(all_known)


async def test_own_record_that_an_older_one_replaced_is_written_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The store executed an append seconds late, over the newer record."""
    # A node that knows no other one reads first after these delays.
    monkeypatch.setattr(replication, "INITIAL_READ_DELAYS_S", (0.3, 0.3, 0.3))
    monkeypatch.setattr(replication, "NODES_READ_PERIOD_RANGE_S", (0.3, 0.4))
    async with fleet() as system:
        machine = await system.add("n1", "jobs")
        await system.settle()
        await all_stored(system)
        older = system.store.newest(NODES)["n1"]
        assert await machine.announce("draining") == 200
        system.store.put(NODES, "n1", older)
        await all_stored(system, REWRITE_BOUND_S)
        appends = system.store.appends
        await asyncio.sleep(2.0)
        assert system.store.appends == appends


async def test_configuration_is_in_force_in_time_after_all_reads_went_silent() -> None:
    """A long poll on a silent connection was given up after up to 3.3 s; if all readers
    had one, nobody told them of the restore.
    """
    async with fleet() as system:
        for number in range(MIN_READERS):
            await system.add(f"n{number}", "jobs")
        await system.settle()
        await all_stored(system)
        silent = True

        async def hold(execute: Callable[[], Awaitable[Response]]) -> Response:
            if silent:
                await asyncio.sleep(60.0)
            return await execute()

        intercept(system, b"/log-read", CONFIG, hold)
        # Ends the reads in progress; the next ones are silent.
        system.store.put(CONFIG, "other", b"x")
        await asyncio.sleep(0.1)
        silent = False
        put_config(system, 9)
        await in_force(system, 9, CONFIG_BOUND_S)


CONTENTS = [
    (config(version, route("r", prefix)), era)
    for version in (4, 5)
    for prefix in ("/a/", "/b/")
    for era in (0, 1, 2)
]


def make_replica(
    installed: list[RoutingConfig],
) -> Replica:
    members = MemberTable(record("a"))

    def ignore(_: object) -> None:
        return None

    log = quiet_log()
    return Replica(members, PlatformDialect(), log, installed.append, ignore, ignore)


@given(st.lists(st.sampled_from(CONTENTS), min_size=1), st.randoms())
def test_configuration_in_force_does_not_depend_on_the_order_of_news(
    news: list[tuple[bytes, int]], rng: random.Random
) -> None:
    """Two nodes with one version and two contents kept a content each."""
    ids = set()
    for _ in range(2):
        installed: list[RoutingConfig] = []
        replica = make_replica(installed)
        for document, era in news:
            replica.apply_document(document, "store", era)
            replica.apply_document(b"{", "store", 9)
        versions = [item.version for item in installed]
        assert versions == sorted(versions)
        newest = max(item.version for item in installed)
        expected = max(
            (era, document)
            for document, era in news
            if b'"version": %d' % newest in document
        )
        assert replica.config_id.era == expected[0]
        ids.add(replica.config_id)
        rng.shuffle(news)
    assert len(ids) == 1


@pytest.mark.parametrize(
    ("own", "other", "sends", "own_after"),
    [
        pytest.param((5, 2, "x"), (4, 3, "y"), True, (5, 2, "x"), id="newer version"),
        pytest.param((5, 2, "x"), (5, 1, "y"), True, (5, 2, "x"), id="later era"),
        pytest.param((5, 1, "x"), (5, 2, "y"), False, (5, 1, "x"), id="earlier era"),
        pytest.param((5, 2, "x"), (5, 1, "x"), False, (5, 2, "x"), id="same, later"),
        pytest.param((5, 1, "x"), (5, 2, "x"), False, (5, 2, "x"), id="same, earlier"),
        pytest.param((5, 1, "x"), (-1, 0, ""), True, (5, 1, "x"), id="none"),
        pytest.param((5, 1, "x"), (5, 0, ""), False, (5, 1, "x"), id="same, no digest"),
        pytest.param((5, 1, "x"), (4, 0, ""), True, (5, 1, "x"), id="older, no digest"),
    ],
)
def test_documents_are_sent_only_to_nodes_that_lack_the_content(
    own: tuple[int, int, str],
    other: tuple[int, int, str],
    sends: bool,
    own_after: tuple[int, int, str],
) -> None:
    """Nodes that read one document in two eras would send it to each other for good,
    and send it to nodes of the release without digests at each exchange.
    """
    replica = make_replica([])
    replica.config_id = ConfigId(*own)
    assert replica.has_newer_config(ConfigId(*other)) is sends
    replica.confirm_config(ConfigId(*other))
    assert replica.config_id == own_after
