"""Replication of node records and configuration through the store.

A node reads the records of all nodes when it starts, and writes its own record when
that changes, and when the store has come back from a copy that may lack it. A few nodes
of each failure domain read the operator's configuration; the others learn it from them,
and read it themselves if nobody does: see `shared_reads`.
"""

import asyncio
import random
from collections.abc import Callable

import msgspec

from briardock.mesh.decisions import DecisionLog
from briardock.mesh.dialect import (
    CONFIG_STREAM,
    NODES_STREAM,
    Appended,
    Dialect,
    Records,
    Store,
    StoreFailure,
    Trimmed,
)
from briardock.mesh.freshness import ConfigFreshness
from briardock.mesh.http1 import Request, Response
from briardock.mesh.members import MemberTable, NodeRecord
from briardock.mesh.model import RoutingConfig, TargetState, now_s
from briardock.mesh.pool import ConnectionPool
from briardock.mesh.positions import (
    ReadPosition,
    is_outdated,
    next_position,
    valid_position,
)
from briardock.mesh.readers import ReaderElection
from briardock.mesh.replica import Replica
from briardock.mesh.shared_reads import (
    READER_SEARCH_PERIOD_S,
    LatestRead,
    ReaderQuestions,
)
from briardock.mesh.store_calls import MAX_BACKOFF_S, Backoff, StoreReads, StoreUses
from briardock.mesh.sync import PeerSync
from briardock.overload.board import ThresholdBoard, ThresholdNews

# Range of the time for which a read waits for a newer configuration, s. It bounds the
# time until a read on a connection that has gone silent is noticed, and until a node
# learns of a restore from a store that leaves reads open: a configuration written then
# must be in force within 2 s. A range, as otherwise all readers wait in step.
CONFIG_WAIT_RANGE_S = (1.35, 1.5)
# Delays between the first reads of the node records while no other node is known, s,
# and the range of the period of later reads, s.
INITIAL_READ_DELAYS_S = (0.6, 1.0, 3.0)
NODES_READ_PERIOD_RANGE_S = (12.0, 18.0)
# Time for which changes of the local record are collected before they are written, s.
WRITE_DELAY_S = 1.0
# Rate at which all nodes together write their records again after a restore, 1/s. The
# store takes a few hundred writes a second from all nodes.
REWRITES_PER_S = 200.0


def write_delay_s(rng: random.Random, rewriting_nodes: int) -> float:
    """Return the delay before a write of the local record, s.

    :param rng: random source
    :param rewriting_nodes: number of nodes that write at this time because the store
        was restored, 0 if it was not
    """
    spread_s = rewriting_nodes / REWRITES_PER_S
    return WRITE_DELAY_S * rng.uniform(0.7, 1.3) + rng.uniform(0.0, spread_s)


class Replicator:
    """Keeps node records and configuration of one node up to date.

    :param members: records of all nodes
    :param board: thresholds that instances have told
    :param store: keyed streams of the platform
    :param dialect: decodes the configuration
    :param peers: connections to other nodes
    :param log: decision log
    :param rng: random source
    :param install: puts a newer configuration into force
    :param on_joined: called with the id of a node that is new or has restarted
    :param on_previous_record: called with the newest record that an earlier process of
        this node published
    """

    def __init__(
        self,
        members: MemberTable,
        board: ThresholdBoard,
        store: Store,
        dialect: Dialect,
        peers: ConnectionPool,
        log: DecisionLog,
        rng: random.Random,
        install: Callable[[RoutingConfig], None],
        on_joined: Callable[[str], None],
        on_previous_record: Callable[[NodeRecord], None],
    ) -> None:
        self._members = members
        self._store = store
        self._log = log
        self._rng = rng
        self._replica = Replica(
            members, dialect, log, install, on_joined, on_previous_record
        )
        self._replica.on_local_record = self.local_record_changed
        self._replica.on_store_era = self._store_era_changed
        self.crash_suspects = self._replica.crash_suspects
        self._freshness = ConfigFreshness()
        self._election = ReaderElection(members)
        self._latest_read = LatestRead(self._election)
        self._sync = PeerSync(
            self._replica,
            peers,
            board,
            log,
            rng,
            self._freshness,
            self._latest_read.age_s,
            self._latest_read.read_instead,
        )
        self._questions = ReaderQuestions(
            members,
            self._election,
            self._latest_read,
            self._replica,
            self._freshness,
            self._sync,
            log,
            rng,
        )
        self._reads = StoreReads(store, self._replica)
        self._uses = StoreUses(log)
        self._publish_due = asyncio.Event()
        self._publish_urgent = asyncio.Event()
        # Whether a write is due because the store was restored.
        self._rewrite_due = False
        self._knows_era = False
        self._local_record_stored = asyncio.Event()
        # Order of the local record that the store has, or had until a restore.
        self._stored_order = (0, 0)
        self._nodes_read = asyncio.Event()
        # Set once other nodes are known, or after two reads have found none.
        self._discovered = asyncio.Event()

    @property
    def config_version(self) -> int:
        """Version in force, -1 for none."""
        return self._replica.config_version

    @property
    def has_read_nodes(self) -> bool:
        """Whether the records of all nodes have been read from the store."""
        return self._nodes_read.is_set()

    @property
    def store_era(self) -> int:
        """Highest era of the store that is known, 0 for none."""
        return self._replica.store_era

    def config_age_s(self) -> float | None:
        """Return the time since the configuration was known to be current, in s."""
        return self._freshness.age_s(now_s())

    def local_record_changed(self) -> None:
        """Push the record of this node to peers and schedule its write to the store."""
        self._schedule_write()
        self._sync.push_local_record()

    def _schedule_write(self) -> None:
        self._publish_due.set()
        self._local_record_stored.clear()

    def _schedule_rewrite(self) -> None:
        """Schedule a write of a record that the store lost, a departure at once."""
        self._schedule_write()
        if self._members.local_record.state is TargetState.LEAVING:
            self._publish_urgent.set()

    def _store_era_changed(self, source: str) -> None:
        """Write the record of this node again, and give up reads of an earlier era.

        Only departures are urgent: the nodes of a fleet learn of the era at about the
        same time, and the delay spreads their writes.
        """
        # The first era that a node learns tells no restore.
        self._rewrite_due = self._knows_era
        self._knows_era = True
        self._schedule_rewrite()
        self._reads.give_up()
        self._sync.push_store_era(source)

    def tell_thresholds(self, news: ThresholdNews) -> None:
        """Tell all nodes the admission thresholds of the local instance.

        :param news: its thresholds
        """
        self._sync.push_thresholds(news)

    def run_time_changed(self) -> None:
        """Push the record of this node to peers only.

        The store keeps what has to outlive all processes; a run time does not.
        """
        self._sync.push_local_record()

    async def wait_until_stored(self, timeout_s: float) -> bool:
        """Wait until the store has the current record of this node, in its latest era.

        :param timeout_s: longest time to wait
        :return: whether it was stored in time
        """
        self._publish_urgent.set()
        try:
            async with asyncio.timeout(timeout_s):
                await self._local_record_stored.wait()
        except TimeoutError:
            return False
        return True

    async def handle(self, request: Request) -> Response:
        """Return the response to a gossip message of another node.

        :param request: request on the peer address
        """
        return await self._sync.handle(request)

    async def sync_periodically(self) -> None:
        """Sync with a random node once per period."""
        await self._sync.sync_periodically()

    def _must_retry(self, result: Records | Trimmed | StoreFailure) -> bool:
        """Return whether a read has to be repeated after a delay."""
        return isinstance(result, StoreFailure) or is_outdated(result, self.store_era)

    # Configuration

    async def check_readers(self) -> None:
        """Ask the node that reads from the store for this one whether it still does."""
        await self._discovered.wait()
        await self._questions.check_readers()

    async def watch_config_age(self) -> None:
        """Ask nodes of the domain for the age of their configuration if this one's is
        high.
        """
        await self._questions.watch_config_age()

    async def watch_config(self) -> None:
        """Long-poll the store for new versions of the operator's configuration."""
        await self._discovered.wait()
        position: ReadPosition | None = None
        backoff = Backoff(self._rng)
        must_confirm = False
        while True:
            if not self._election.should_read(now_s()):
                self._latest_read.clear_failure()
                await asyncio.sleep(READER_SEARCH_PERIOD_S)
                continue
            # Whole ms, as the store is told no more of the wait.
            wait_s = round(self._rng.uniform(*CONFIG_WAIT_RANGE_S), 3)
            position = valid_position(position, self.store_era)
            if position is None or must_confirm:
                wait_s = 0.0
            started_s = now_s()
            result = await self._reads.read(CONFIG_STREAM, position, wait_s)
            position = next_position(position, result, self.store_era)
            match result:
                case Records():
                    self._apply_config_records(result)
                    # A read that waited for a new configuration proves no more than
                    # one that returned at its start, up to the longest wait ago.
                    must_confirm = bool(result.items) and self._replica.has_accounts
                    self._latest_read.record(now_s())
                    if position is not None and result.is_complete:
                        self._freshness.record_read(
                            started_s, now_s(), wait_s, not result.items
                        )
                    self._latest_read.clear_failure()
                    self._uses.record_success(CONFIG_STREAM)
                case StoreFailure(reason):
                    self._uses.record_failure(CONFIG_STREAM, reason)
                    if self._latest_read.record_failure():
                        self._questions.hand_over_reads()
            if self._must_retry(result):
                await backoff.wait()
            else:
                backoff.reset()

    def _apply_config_records(self, records: Records) -> None:
        for key, value in records.items:
            if key == "config" and value:
                self._replica.apply_document(value, "store", records.era)

    # Node records

    def _merge_node_records(self, records: Records) -> None:
        own_record: NodeRecord | None = None
        for key, value in records.items:
            try:
                record = msgspec.msgpack.decode(value, type=NodeRecord)
            except msgspec.DecodeError as error:
                self._log.event("record-undecodable", key=key, reason=str(error))
                continue
            self._replica.merge_record(record)
            if record.node_id == self._members.local_record.node_id:
                own_record = record
        if own_record is not None and own_record.order < self._stored_order:
            # The store executed an earlier append late, over the newest record.
            self._log.event("record-outdated", version=own_record.version)
            self._schedule_rewrite()

    async def watch_nodes(self) -> None:
        """Read node records until other nodes are known, then if this node reads."""
        delays = list(INITIAL_READ_DELAYS_S)
        reads = 0
        position: ReadPosition | None = None
        while True:
            position = valid_position(position, self.store_era)
            result = await self._reads.read(NODES_STREAM, position, 0.0)
            position = next_position(position, result, self.store_era)
            must_retry = self._must_retry(result)
            match result:
                case Records():
                    self._merge_node_records(result)
                    self._nodes_read.set()
                    self._uses.record_success("nodes")
                case StoreFailure(reason):
                    self._uses.record_failure("nodes", reason)
            if must_retry:
                delays.insert(0, MAX_BACKOFF_S / 2)
            elif position is None:
                continue
            reads += 1
            if self._members.count > 1 or reads > 1:
                self._discovered.set()
            while True:
                is_alone = self._members.count == 1
                period_s = self._rng.uniform(*NODES_READ_PERIOD_RANGE_S)
                if delays and (is_alone or must_retry):
                    period_s = delays.pop(0) * self._rng.uniform(0.7, 1.3)
                await asyncio.sleep(period_s)
                if is_alone or must_retry or self._election.should_read(now_s()):
                    break

    async def publish(self) -> None:
        """Write the record of this node to the store after each change.

        Waits for the first read of the node records, because the first write replaces
        the record of an earlier process of this node. That write is not delayed while
        no other node is known, because others find this one by it.
        """
        await self._nodes_read.wait()
        backoff = Backoff(self._rng)
        if self._members.count == 1:
            self._publish_urgent.set()
        while True:
            await self._publish_due.wait()
            await self._wait_before_write()
            self._publish_due.clear()
            self._publish_urgent.clear()
            self._rewrite_due = False
            local_record = self._members.local_record
            value = msgspec.msgpack.encode(local_record)
            result = await self._store.append(NODES_STREAM, local_record.node_id, value)
            # A later era schedules the write again, also if it became known during the
            # call: the store may then have lost this record.
            self._replica.observe_era(result.era, "store")
            match result:
                case Appended():
                    backoff.reset()
                    self._uses.record_success("publish")
                    self._stored_order = local_record.order
                    if not self._publish_due.is_set():
                        self._local_record_stored.set()
                case StoreFailure(reason):
                    self._uses.record_failure("publish", reason)
                    self._publish_due.set()
                    self._publish_urgent.set()
                    await backoff.wait()

    async def _wait_before_write(self) -> None:
        rewriting_nodes = self._members.count if self._rewrite_due else 0
        try:
            async with asyncio.timeout(write_delay_s(self._rng, rewriting_nodes)):
                await self._publish_urgent.wait()
        except TimeoutError:
            return
