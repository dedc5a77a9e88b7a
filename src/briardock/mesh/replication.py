"""Replication of node records and configuration through the store.

A node reads the records of all nodes when it starts, and writes its own record when
that changes, and when the store has come back from a copy that may lack it. A few nodes
of each failure domain read the operator's configuration; the others learn it from them,
and read it themselves if nobody does.
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
from briardock.mesh.sync import PeerSync
from briardock.overload.board import ThresholdBoard, ThresholdNews

# Range of the time for which a read waits for a newer configuration, s. It bounds the
# time until a read on a connection that has gone silent is noticed, and until a node
# learns of a restore from a store that leaves reads open: a configuration written then
# must be in force within 2 s. A range, as otherwise all readers wait in step.
CONFIG_WAIT_RANGE_S = (1.35, 1.5)
# Period at which a node asks the one that reads for it, s, and the period while none
# has responded.
READER_CHECK_PERIOD_S = 0.7
READER_SEARCH_PERIOD_S = 0.1
# Timeout of this question, s, and the number of nodes asked next after it.
READER_TIMEOUT_S = 0.4
NEXT_READERS_ASKED = 2
# Age of a configuration with accounts above which nodes of the domain are asked for
# theirs, s, the period at which they are asked, s, and their number.
NEIGHBOURS_ASKED_AGE_S = 1.8
NEIGHBOURS_ASKED_PERIOD_S = 0.4
NEIGHBOURS_ASKED = 3
# Number of nodes that a reader whose reads fail asks at once to read. The store may
# turn one of them away too, and a read that it leaves open takes long to fail.
SUBSTITUTE_READERS = 2
# Delays between the first reads of the node records while no other node is known, s,
# and the range of the period of later reads, s.
INITIAL_READ_DELAYS_S = (0.6, 1.0, 3.0)
NODES_READ_PERIOD_RANGE_S = (12.0, 18.0)
# Time for which changes of the local record are collected before they are written, s.
WRITE_DELAY_S = 1.0
# Rate at which all nodes together write their records again after a restore, 1/s. The
# store takes a few hundred writes a second from all nodes.
REWRITES_PER_S = 200.0
# First and longest delay before a failed store call is retried, s.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.5


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
        self._sync = PeerSync(
            self._replica,
            peers,
            board,
            log,
            rng,
            self._freshness,
            self._read_age_s,
            self._read_instead,
        )
        self._election = ReaderElection(members)
        # Latest time at which the store is known to have been read, by whichever node.
        self._last_read_s: float | None = None
        # Whether this node reads the configuration and its latest read failed.
        self._config_read_failed = False
        # Asks others to read, while that is under way.
        self._handover: asyncio.Task[None] | None = None
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
        self._failing_uses: set[str] = set()
        self._open_reads: set[asyncio.Timeout] = set()

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
        now = asyncio.get_running_loop().time()
        for scope in self._open_reads:
            scope.reschedule(now)
        self._open_reads.clear()
        self._sync.push_store_era(source)

    def tell_thresholds(self, news: ThresholdNews) -> None:
        """Tell all nodes the admission thresholds of the local instance.

        :param news: its thresholds
        """
        self._sync.push_thresholds(news)

    def run_time_changed(self) -> None:
        """Push the record of this node to peers only.

        The store keeps what has to outlive all processes; a run time and the accuracy
        of estimates do not.
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

    async def _read(
        self, stream: str, position: ReadPosition | None, wait_s: float
    ) -> Records | Trimmed | StoreFailure:
        """Read a stream from a position on, or the newest records without one.

        A read is given up once a later era of the store is known: its response may
        be from before the restore, or not come at all.
        """
        result: Records | Trimmed | StoreFailure
        scope = asyncio.timeout(None)
        self._open_reads.add(scope)
        try:
            async with scope:
                if position is None:
                    result = await self._store.read_newest(stream)
                else:
                    result = await self._store.read_from(
                        stream, position.offset, wait_s
                    )
        except TimeoutError:
            result = Trimmed(self._replica.store_era)
        finally:
            self._open_reads.discard(scope)
        self._replica.observe_era(result.era, "store")
        return result

    def _must_retry(self, result: Records | Trimmed | StoreFailure) -> bool:
        """Return whether a read has to be repeated after a delay."""
        return isinstance(result, StoreFailure) or is_outdated(result, self.store_era)

    # Configuration

    def _read_age_s(self) -> float | None:
        """Return the time since the last read that others may rely on.

        A reader whose reads fail must not wait until its last one is too old: the store
        may turn away all readers and serve the nodes that rely on them.
        """
        if self._last_read_s is None or self._config_read_failed:
            return None
        return now_s() - self._last_read_s

    def _read_instead(self) -> None:
        """Read from the store, and vouch only for the reads of this node."""
        if self._election.read_instead():
            self._last_read_s = None

    def _config_read_has_failed(self) -> None:
        """Hand over the reads after the first failure in a row."""
        if self._config_read_failed:
            return
        self._config_read_failed = True
        if self._handover is None or self._handover.done():
            self._handover = asyncio.get_running_loop().create_task(
                self._hand_over_reads()
            )

    async def _hand_over_reads(self) -> None:
        """Ask the next nodes of the domain to read, until one of them responds."""
        successors = self._election.successors()
        for start in range(0, len(successors), SUBSTITUTE_READERS):
            asked = successors[start : start + SUBSTITUTE_READERS]
            answers = await asyncio.gather(*(self._ask_to_read(r) for r in asked))
            if any(answers):
                names = [
                    r.node_id
                    for r, agreed in zip(asked, answers, strict=True)
                    if agreed
                ]
                self._log.event("reads-handed-over", peers=names)
                return

    async def _ask_to_read(self, record: NodeRecord) -> bool:
        try:
            async with asyncio.timeout(READER_TIMEOUT_S):
                return await self._sync.ask_to_read(record)
        except TimeoutError:
            self._log.event("sync-timeout", peer=record.node_id)
            return False

    def _record_read(self, read_s: float) -> None:
        self._last_read_s = max(read_s, self._last_read_s or read_s)

    async def check_readers(self) -> None:
        """Ask the node that reads from the store for this one whether it still does."""
        await self._discovered.wait()
        while True:
            found = await self._find_reader()
            period_s = READER_CHECK_PERIOD_S if found else READER_SEARCH_PERIOD_S
            await asyncio.sleep(period_s * self._rng.uniform(0.7, 1.3))

    async def watch_config_age(self) -> None:
        """Ask nodes of the domain for the age of their configuration if this one's is
        high: the store may turn this node away, or the node that reads for it.
        """
        while True:
            await asyncio.sleep(NEIGHBOURS_ASKED_PERIOD_S * self._rng.uniform(0.7, 1.3))
            age_s = self.config_age_s()
            if self._replica.has_accounts and (
                age_s is None or age_s > NEIGHBOURS_ASKED_AGE_S
            ):
                await self._ask_neighbours()

    async def _ask_neighbours(self) -> None:
        domain = self._members.local_record.domain
        peers = [r for r in self._members.peers() if r.domain == domain]
        asked = self._rng.sample(peers, min(NEIGHBOURS_ASKED, len(peers)))
        await asyncio.gather(*(self._ask_age(record) for record in asked))

    async def _ask_age(self, record: NodeRecord) -> None:
        try:
            async with asyncio.timeout(READER_TIMEOUT_S):
                await self._sync.sync_with(record)
        except TimeoutError:
            self._log.event("sync-timeout", peer=record.node_id)

    async def _find_reader(self) -> bool:
        """Return whether this node or one ahead of it reads from the store."""
        candidates = self._election.candidates(now_s())
        if not candidates or await self._ask_reader(candidates[0]):
            return True
        following = candidates[1 : 1 + NEXT_READERS_ASKED]
        answers = await asyncio.gather(*(self._ask_reader(r) for r in following))
        return any(answers)

    async def _ask_reader(self, record: NodeRecord) -> bool:
        age_s = None
        try:
            async with asyncio.timeout(READER_TIMEOUT_S):
                age_s = await self._sync.sync_with(record)
        except TimeoutError:
            self._log.event("sync-timeout", peer=record.node_id)
        now = now_s()
        if age_s is not None:
            self._record_read(now - age_s)
        return self._election.record_response(record.node_id, age_s, now)

    async def watch_config(self) -> None:
        """Long-poll the store for new versions of the operator's configuration."""
        await self._discovered.wait()
        position: ReadPosition | None = None
        backoff_s = INITIAL_BACKOFF_S
        must_confirm = False
        while True:
            if not self._election.should_read(now_s()):
                self._config_read_failed = False
                await asyncio.sleep(READER_SEARCH_PERIOD_S)
                continue
            # Whole ms, as the store is told no more of the wait.
            wait_s = round(self._rng.uniform(*CONFIG_WAIT_RANGE_S), 3)
            position = valid_position(position, self.store_era)
            if position is None or must_confirm:
                wait_s = 0.0
            started_s = now_s()
            result = await self._read(CONFIG_STREAM, position, wait_s)
            position = next_position(position, result, self.store_era)
            match result:
                case Records():
                    self._apply_config_records(result)
                    # A read that waited for a new configuration proves no more than
                    # one that returned at its start, up to the longest wait ago.
                    must_confirm = bool(result.items) and self._replica.has_accounts
                    self._record_read(now_s())
                    if position is not None and result.is_complete:
                        self._freshness.record_read(
                            started_s, now_s(), wait_s, not result.items
                        )
                    self._config_read_failed = False
                    self._record_store_success(CONFIG_STREAM)
                case StoreFailure(reason):
                    self._record_store_failure(CONFIG_STREAM, reason)
                    self._config_read_has_failed()
            if self._must_retry(result):
                await asyncio.sleep(backoff_s * self._rng.uniform(0.7, 1.3))
                backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
            else:
                backoff_s = INITIAL_BACKOFF_S

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
            result = await self._read(NODES_STREAM, position, 0.0)
            position = next_position(position, result, self.store_era)
            must_retry = self._must_retry(result)
            match result:
                case Records():
                    self._merge_node_records(result)
                    self._nodes_read.set()
                    self._record_store_success("nodes")
                case StoreFailure(reason):
                    self._record_store_failure("nodes", reason)
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
        backoff_s = INITIAL_BACKOFF_S
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
                    backoff_s = INITIAL_BACKOFF_S
                    self._record_store_success("publish")
                    self._stored_order = local_record.order
                    if not self._publish_due.is_set():
                        self._local_record_stored.set()
                case StoreFailure(reason):
                    self._record_store_failure("publish", reason)
                    self._publish_due.set()
                    self._publish_urgent.set()
                    await asyncio.sleep(backoff_s * self._rng.uniform(0.7, 1.3))
                    backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    async def _wait_before_write(self) -> None:
        rewriting_nodes = self._members.count if self._rewrite_due else 0
        try:
            async with asyncio.timeout(write_delay_s(self._rng, rewriting_nodes)):
                await self._publish_urgent.wait()
        except TimeoutError:
            return

    def _record_store_failure(self, use: str, reason: str) -> None:
        if use not in self._failing_uses:
            self._failing_uses.add(use)
            self._log.event("store-lost", use=use, reason=reason)

    def _record_store_success(self, use: str) -> None:
        if use in self._failing_uses:
            self._failing_uses.discard(use)
            self._log.event("store-regained", use=use)
