"""Replication of node records and configuration, through the store and by gossip.

A node reads both from the store when it starts. Between nodes, each change is pushed
immediately, and a periodic anti-entropy sync with a random node repairs missed
updates, so that nodes converge while some or all of them cannot reach the store.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from briardock.clock import SystemClock
from briardock.mesh.crashes import CrashSuspects
from briardock.mesh.decisions import DecisionLog
from briardock.mesh.dialect import (
    CONFIG_STREAM,
    NODES_STREAM,
    Dialect,
    Records,
    Store,
    StoreFailure,
    Trimmed,
    Undecodable,
)
from briardock.mesh.http1 import ExchangeFailure, Request, Response, encode_request
from briardock.mesh.members import MemberTable, NodeRecord
from briardock.mesh.model import RoutingConfig
from briardock.mesh.pool import ConnectionPool
from briardock.quarantine import QuarantineEntry

SYNC_PATH = b"/.briardock/sync"
# Nodes to which a change is pushed directly; the others get it by anti-entropy sync or
# from the store.
PUSH_FANOUT = 64
# Period of the anti-entropy sync with a random node, s.
SYNC_PERIOD_S = 0.5
SYNC_TIMEOUT_S = 1.0
# Range of the long-poll time of a configuration read, s. The time bounds the wait for a
# read that the store has lost, and is random so that the reads of nodes don't coincide.
CONFIG_WAIT_RANGE_S = (4.0, 12.0)
# Delays between the first reads of the node records after the start, s, and the range
# of the period of later reads, s.
INITIAL_READ_DELAYS_S = (0.3, 1.0, 3.0)
NODES_READ_PERIOD_RANGE_S = (12.0, 18.0)
# First and longest delay before a failed store call is retried, s.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.5


class SyncMessage(msgspec.Struct, array_like=True):
    """Push or anti-entropy sync between two nodes.

    :param digest: digest of the sender's records and quarantine, empty for a push
    :param config_version: configuration version of the sender, -1 for none
    :param records: node records that the receiver may lack
    :param document: configuration that the receiver lacks, or empty
    :param suspects: quarantine entries of requests suspected of crashing targets
    """

    digest: str
    config_version: int
    records: list[NodeRecord]
    document: bytes = b""
    suspects: list[QuarantineEntry] = []


class Replicator:
    """Keeps node records and configuration of one node up to date.

    :param members: records of all nodes
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
        store: Store,
        dialect: Dialect,
        peers: ConnectionPool,
        log: DecisionLog,
        rng: random.Random,
        install: Callable[[RoutingConfig], None],
        on_joined: Callable[[str], None],
        on_previous_record: Callable[[NodeRecord], None],
    ) -> None:
        self.config: RoutingConfig | None = None
        self._local_incarnations = {members.local_record.incarnation_ms}
        self._previous_record: NodeRecord | None = None
        self._members = members
        self._store = store
        self._dialect = dialect
        self._peers = peers
        self._log = log
        self._rng = rng
        self._install = install
        self._on_joined = on_joined
        self._on_previous_record = on_previous_record
        self.crash_suspects = CrashSuspects(SystemClock(), self.suspects_changed)
        self.quarantine = self.crash_suspects.quarantine
        self._publish_due = asyncio.Event()
        self._local_record_stored = asyncio.Event()
        self._nodes_read = asyncio.Event()
        self._failing_uses: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def config_version(self) -> int:
        """Version in force, -1 for none."""
        return self.config.version if self.config is not None else -1

    def local_record_changed(self) -> None:
        """Push the record of this node to peers and schedule its write to the store."""
        self._publish_due.set()
        self._local_record_stored.clear()
        self._push(SyncMessage("", self.config_version, [self._members.local_record]))

    async def wait_until_stored(self, timeout_s: float) -> bool:
        """Wait until the store has the current record of this node.

        :param timeout_s: longest time to wait
        :return: whether it was stored in time
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._local_record_stored.wait()
        except TimeoutError:
            return False
        return True

    def suspects_changed(self, suspects: list[QuarantineEntry]) -> None:
        """Push changed quarantine entries to peers.

        :param suspects: changed entries
        """
        self._log.event("requests-suspected", count=len(suspects))
        self._push(SyncMessage("", self.config_version, [], suspects=suspects))

    def _digest(self) -> str:
        return f"{self._members.digest()}.{self.quarantine.digest()}"

    def _push(self, message: SyncMessage) -> None:
        peers = self._members.peers()
        if len(peers) > PUSH_FANOUT:
            peers = self._rng.sample(peers, PUSH_FANOUT)
        for record in peers:
            self._start_task(self._exchange(record, message))

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Gossip between nodes

    async def handle(self, request: Request) -> Response:
        """Return the response to a sync message of another node.

        :param request: request on the peer address
        """
        try:
            message = msgspec.msgpack.decode(request.body, type=SyncMessage)
        except msgspec.DecodeError as error:
            self._log.event("sync-undecodable", reason=str(error))
            return Response(400)
        self._apply_message(message)
        return Response(200, body=msgspec.msgpack.encode(self._build_response(message)))

    def _build_response(self, message: SyncMessage) -> SyncMessage:
        response_message = SyncMessage(self._digest(), self.config_version, [])
        if message.digest and message.digest != response_message.digest:
            response_message.records = list(self._members.records)
            response_message.suspects = self.quarantine.entries()
        if self.config is not None and message.config_version < self.config.version:
            response_message.document = self.config.document
        return response_message

    def _apply_message(self, message: SyncMessage) -> None:
        for record in message.records:
            self._merge(record)
        self.quarantine.merge(message.suspects)
        if message.document:
            self._apply_document(message.document, "peer")

    async def sync_periodically(self) -> None:
        """Sync with a random node once per period."""
        while True:
            await asyncio.sleep(SYNC_PERIOD_S * self._rng.uniform(0.7, 1.3))
            peers = self._members.peers()
            if peers:
                message = SyncMessage(self._digest(), self.config_version, [])
                await self._exchange(self._rng.choice(peers), message)

    async def _exchange(self, record: NodeRecord, message: SyncMessage) -> None:
        try:
            async with asyncio.timeout(SYNC_TIMEOUT_S):
                response_message = await self._send(record, message)
                if response_message is None:
                    return
                self._apply_message(response_message)
                if message.digest and response_message.digest != message.digest:
                    update = SyncMessage(
                        "",
                        self.config_version,
                        list(self._members.records),
                        suspects=self.quarantine.entries(),
                    )
                    await self._send(record, update)
                if (
                    self.config
                    and response_message.config_version < self.config.version
                ):
                    update = SyncMessage(
                        "", self.config.version, [], self.config.document
                    )
                    await self._send(record, update)
        except TimeoutError:
            self._log.event("sync-timeout", peer=record.node_id)

    async def _send(
        self, record: NodeRecord, message: SyncMessage
    ) -> SyncMessage | None:
        connection = await self._peers.acquire(record.address)
        if isinstance(connection, ExchangeFailure):
            return None
        body = msgspec.msgpack.encode(message)
        response = await connection.exchange(
            encode_request(b"POST", SYNC_PATH, [], body)
        )
        if isinstance(response, ExchangeFailure):
            return None
        self._peers.release(record.address, connection)
        if response.status != 200:
            return None
        try:
            return msgspec.msgpack.decode(response.body, type=SyncMessage)
        except msgspec.DecodeError as error:
            self._log.event("sync-undecodable", reason=str(error))
            return None

    # Records and configuration

    def _merge(self, record: NodeRecord) -> None:
        if record.node_id == self._members.local_record.node_id:
            self._merge_local_record(record)
            return
        known = self._members.get(record.node_id)
        if not self._members.merge(record):
            return
        if known is None or known.incarnation_ms < record.incarnation_ms:
            self._on_joined(record.node_id)
        self._log.event(
            "member-changed",
            peer=record.node_id,
            service=record.service,
            target=record.target_id,
            state=record.state.value,
            leaving=record.leaving,
            version=record.version,
        )

    def _merge_local_record(self, record: NodeRecord) -> None:
        local_record = self._members.local_record
        self._local_incarnations.add(local_record.incarnation_ms)
        is_newer = (
            self._previous_record is None or self._previous_record.order < record.order
        )
        if record.incarnation_ms not in self._local_incarnations and is_newer:
            self._previous_record = record
            self._on_previous_record(record)
        self._members.merge(record)
        if self._members.local_record is not local_record:
            self.local_record_changed()

    def _apply_document(self, document: bytes, source: str) -> None:
        config = self._dialect.decode_config(document)
        if isinstance(config, Undecodable):
            self._log.event("config-undecodable", source=source, reason=config.reason)
            return
        if config.version <= self.config_version:
            return
        self._log.event(
            "config-installed",
            source=source,
            version=config.version,
            before=self.config_version,
            routes=len(config.routes),
        )
        self.config = config
        self._install(config)

    # Store

    async def watch_config(self) -> None:
        """Long-poll the store for new versions of the operator's configuration."""
        await self._follow(
            CONFIG_STREAM, self._apply_config_records, CONFIG_WAIT_RANGE_S
        )

    def _apply_config_records(self, records: Records) -> None:
        for key, value in records.items:
            if key == "config" and value:
                self._apply_document(value, "store")

    def _merge_node_records(self, records: Records) -> None:
        for key, value in records.items:
            try:
                record = msgspec.msgpack.decode(value, type=NodeRecord)
            except msgspec.DecodeError as error:
                self._log.event("record-undecodable", key=key, reason=str(error))
                continue
            self._merge(record)

    async def _follow(
        self,
        stream: str,
        apply: Callable[[Records], None],
        wait_range_s: tuple[float, float],
    ) -> None:
        offset = -1
        backoff_s = INITIAL_BACKOFF_S
        while True:
            result: Records | Trimmed | StoreFailure
            if offset < 0:
                result = await self._store.read_newest(stream)
            else:
                wait_s = self._rng.uniform(*wait_range_s)
                result = await self._store.read_from(stream, offset, wait_s)
            match result:
                case Records():
                    apply(result)
                    offset = result.next_offset
                    backoff_s = INITIAL_BACKOFF_S
                    self._record_store_success(stream)
                case Trimmed():
                    offset = -1
                case StoreFailure(reason):
                    self._record_store_failure(stream, reason)
                    await asyncio.sleep(backoff_s * self._rng.uniform(0.7, 1.3))
                    backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    async def watch_nodes(self) -> None:
        """Poll the store for node records, more often shortly after the start."""
        delays = list(INITIAL_READ_DELAYS_S)
        offset = -1
        while True:
            result: Records | Trimmed | StoreFailure
            if offset < 0:
                result = await self._store.read_newest(NODES_STREAM)
            else:
                result = await self._store.read_from(NODES_STREAM, offset, 0.0)
            match result:
                case Records():
                    self._merge_node_records(result)
                    offset = result.next_offset
                    self._nodes_read.set()
                    self._record_store_success("nodes")
                case Trimmed():
                    offset = -1
                    continue
                case StoreFailure(reason):
                    self._record_store_failure("nodes", reason)
                    delays.insert(0, MAX_BACKOFF_S / 2)
            period_s = self._rng.uniform(*NODES_READ_PERIOD_RANGE_S)
            await asyncio.sleep(delays.pop(0) if delays else period_s)

    async def publish(self) -> None:
        """Write the record of this node to the store after each change.

        Waits for the first read of the node records, because the first write replaces
        the record of an earlier process of this node.
        """
        await self._nodes_read.wait()
        backoff_s = INITIAL_BACKOFF_S
        while True:
            await self._publish_due.wait()
            self._publish_due.clear()
            local_record = self._members.local_record
            value = msgspec.msgpack.encode(local_record)
            failure = await self._store.append(
                NODES_STREAM, local_record.node_id, value
            )
            if failure is None:
                backoff_s = INITIAL_BACKOFF_S
                self._record_store_success("publish")
                if not self._publish_due.is_set():
                    self._local_record_stored.set()
                continue
            self._record_store_failure("publish", failure.reason)
            self._publish_due.set()
            await asyncio.sleep(backoff_s * self._rng.uniform(0.7, 1.3))
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    def _record_store_failure(self, use: str, reason: str) -> None:
        if use not in self._failing_uses:
            self._failing_uses.add(use)
            self._log.event("store-lost", use=use, reason=reason)

    def _record_store_success(self, use: str) -> None:
        if use in self._failing_uses:
            self._failing_uses.discard(use)
            self._log.event("store-regained", use=use)
