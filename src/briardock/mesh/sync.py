"""Gossip between nodes: pushes of news, and periodic anti-entropy syncs.

News of this node goes to a few nodes of its failure domain and to one of each other
domain; whoever learns something new passes it on inside its own domain. A periodic
sync with a random node repairs what a push has missed, by comparing digests of parts
of the member table and exchanging the parts that differ.
"""

import asyncio
import math
import random
from collections import defaultdict
from collections.abc import Callable

import msgspec

from briardock.mesh.decisions import DecisionLog
from briardock.mesh.freshness import ConfigFreshness
from briardock.mesh.http1 import Request, Response
from briardock.mesh.members import NodeRecord
from briardock.mesh.model import now_s
from briardock.mesh.peer_messages import exchange_message
from briardock.mesh.pool import ConnectionPool
from briardock.mesh.replica import ConfigId, Replica
from briardock.mesh.tasks import BackgroundTasks
from briardock.overload.board import ThresholdBoard, ThresholdNews
from briardock.quarantine import QuarantineEntry

SYNC_PATH = b"/.briardock/sync"
# Nodes of the own failure domain to which news is pushed.
PUSH_FANOUT = 3
# Time for which news is collected before it is pushed, s, and the same for thresholds,
# which change often under load.
PUSH_DELAY_S = 0.02
THRESHOLDS_DELAY_S = 0.2
# Period of the anti-entropy sync with a random node, s.
SYNC_PERIOD_S = 0.5
SYNC_TIMEOUT_S = 1.0


class SyncMessage(msgspec.Struct, array_like=True):
    """Push or anti-entropy sync between two nodes.

    :param digest: digest of the sender's records and quarantine, empty unless a sync
        begins or its first message is responded to
    :param config_version: configuration version of the sender, -1 for none
    :param records: node records that the receiver may lack
    :param document: configuration that the receiver lacks, or empty
    :param suspects: quarantine entries of requests suspected of crashing targets
    :param bucket_digests: digests of the parts of the sender's member table, if the
        digests differ
    :param read_age_ms: time since the store was last read, by the sender or by the
        node that reads for it; -1 if that is not known
    :param thresholds: admission thresholds that instances tell all nodes
    :param store_era: highest era of the store that the sender knows, 0 for none
    :param config_era: latest era in which the configuration of the sender was read
    :param config_digest: digest of its document
    :param asks_to_read: whether the receiver has to read from the store, because the
        reads of the sender fail
    :param current_age_ms: time since the configuration of the sender was known to be
        current, rounded up; -1 if that is not known. Unlike the age of the read, it
        only grows while reads fail
    """

    digest: str
    config_version: int
    records: list[NodeRecord]
    document: bytes = b""
    suspects: list[QuarantineEntry] = []
    bucket_digests: list[int] = []
    read_age_ms: int = -1
    thresholds: list[ThresholdNews] = []
    store_era: int = 0
    config_era: int = 0
    config_digest: str = ""
    asks_to_read: bool = False
    current_age_ms: int = -1

    @property
    def config_id(self) -> ConfigId:
        """Configuration of the sender."""
        return ConfigId(self.config_version, self.config_era, self.config_digest)


class PeerSync:
    """Gossip of one node.

    :param replica: replicated state of the node
    :param peers: connections to other nodes
    :param board: thresholds that instances have told
    :param log: decision log
    :param rng: random source
    :param freshness: time up to which the configuration is known to have been current
    :param read_age_s: returns the time since the last read of the store, or ``None``
    :param on_asked_to_read: called when another node asks this one to read
    """

    def __init__(
        self,
        replica: Replica,
        peers: ConnectionPool,
        board: ThresholdBoard,
        log: DecisionLog,
        rng: random.Random,
        freshness: ConfigFreshness,
        read_age_s: Callable[[], float | None],
        on_asked_to_read: Callable[[], None],
    ) -> None:
        self._replica = replica
        self._members = replica.members
        self._peers = peers
        self._board = board
        self._log = log
        self._rng = rng
        self._freshness = freshness
        self._read_age_s = read_age_s
        self._on_asked_to_read = on_asked_to_read
        self._tasks = BackgroundTasks()
        # News that is due to be pushed, by node id, and whether it also goes to other
        # domains.
        self._records_due: dict[str, NodeRecord] = {}
        self._suspects_due: list[QuarantineEntry] = []
        self._thresholds_due: dict[str, ThresholdNews] = {}
        self._push_timer: asyncio.TimerHandle | None = None
        self._push_to_all_domains = False
        replica.on_record = self._record_learned
        replica.on_config = self._config_installed
        replica.on_suspects = self._suspects_added

    # Pushes

    def push_local_record(self) -> None:
        """Push the record of this node to all failure domains."""
        record = self._members.local_record
        self._records_due[record.node_id] = record
        self._schedule_push(to_all_domains=True)

    def push_thresholds(self, news: ThresholdNews) -> None:
        """Push the thresholds of the local instance to all failure domains.

        :param news: its thresholds
        """
        self._board.record(news, now_s())
        self._thresholds_due[news.node_id] = news
        self._schedule_push(to_all_domains=True, delay_s=THRESHOLDS_DELAY_S)

    def push_store_era(self, source: str) -> None:
        """Push the era of the store, which most nodes do not read from.

        :param source: ``store`` or ``peer``
        """
        self._schedule_push(to_all_domains=source == "store")

    def _record_learned(self, record: NodeRecord) -> None:
        self._records_due[record.node_id] = record
        self._schedule_push(to_all_domains=False)

    def _config_installed(self, source: str) -> None:
        self._schedule_push(to_all_domains=source == "store")

    def _suspects_added(self, suspects: list[QuarantineEntry]) -> None:
        self._suspects_due += suspects
        self._schedule_push(to_all_domains=True)

    def _schedule_push(
        self, to_all_domains: bool, delay_s: float = PUSH_DELAY_S
    ) -> None:
        self._push_to_all_domains |= to_all_domains
        loop = asyncio.get_running_loop()
        due_s = loop.time() + delay_s
        if self._push_timer is not None:
            if self._push_timer.when() <= due_s:
                return
            self._push_timer.cancel()
        self._push_timer = loop.call_at(due_s, self._push)

    def _push(self) -> None:
        message = self._message(
            records=list(self._records_due.values()), suspects=self._suspects_due
        )
        message.thresholds = list(self._thresholds_due.values())
        for record in self._push_receivers(self._push_to_all_domains):
            self._tasks.start(self._push_to(record, message))
        self._records_due, self._suspects_due = {}, []
        self._thresholds_due = {}
        self._push_timer, self._push_to_all_domains = None, False

    def _push_receivers(self, to_all_domains: bool) -> list[NodeRecord]:
        by_domain: dict[str, list[NodeRecord]] = defaultdict(list)
        for record in self._members.peers():
            by_domain[record.domain].append(record)
        local = by_domain.pop(self._members.local_record.domain, [])
        receivers = self._rng.sample(local, min(PUSH_FANOUT, len(local)))
        if to_all_domains:
            receivers += [self._rng.choice(records) for records in by_domain.values()]
        return receivers

    async def _push_to(self, record: NodeRecord, message: SyncMessage) -> None:
        response = await self._exchange(record, message)
        if response is not None:
            await self._send_config_if_older(record, response)

    # Anti-entropy

    async def sync_periodically(self) -> None:
        """Start a sync with a random node once per period.

        Syncs do not wait for each other: after connections have gone silent, several
        in a row may run into their timeouts.
        """
        while True:
            await asyncio.sleep(SYNC_PERIOD_S * self._rng.uniform(0.7, 1.3))
            peers = self._members.peers()
            if peers:
                self._tasks.start(self._sync_in_background(self._rng.choice(peers)))

    async def _sync_in_background(self, record: NodeRecord) -> None:
        await self.sync_with(record)

    async def sync_with(self, record: NodeRecord) -> float | None:
        """Exchange with a node what differs.

        :param record: the other node
        :return: time since the store was read, as the other node knows, in s; ``None``
            if it does not know or has not responded
        """
        started_s = now_s()
        message = self._message(digest=self._digest())
        response = await self._exchange(record, message)
        if response is None:
            return None
        if response.digest != message.digest:
            bucket_digests = self._members.bucket_digests
            differing = self._members.records_differing(response.bucket_digests)
            suspects = self._replica.quarantine.entries()
            update = self._message(differing, suspects, bucket_digests)
            await self._exchange(record, update)
        await self._send_config_if_older(record, response)
        if response.read_age_ms < 0:
            return None
        return response.read_age_ms / 1000 + now_s() - started_s

    async def ask_to_read(self, record: NodeRecord) -> bool:
        """Ask a node to read from the store; return whether it has responded.

        :param record: the other node
        """
        message = self._message()
        message.asks_to_read = True
        response = await self._exchange(record, message)
        return response is not None

    async def _send_config_if_older(
        self, record: NodeRecord, response: SyncMessage
    ) -> None:
        config = self._replica.config
        if config is not None and self._replica.has_newer_config(response.config_id):
            message = self._message()
            message.document = config.document
            await self._exchange(record, message)

    async def handle(self, request: Request) -> Response:
        """Return the response to a message of another node.

        :param request: request on the peer address
        """
        try:
            message = msgspec.msgpack.decode(request.body, type=SyncMessage)
        except msgspec.DecodeError as error:
            self._log.event("sync-undecodable", reason=str(error))
            return Response(400)
        replaced = self._apply(message)
        if message.asks_to_read:
            self._on_asked_to_read()
        response = self._response_to(message)
        # A node that has restarted learns here what its earlier process published.
        response.records += replaced
        return Response(200, body=msgspec.msgpack.encode(response))

    def _response_to(self, message: SyncMessage) -> SyncMessage:
        response = self._message(digest=self._digest())
        if message.bucket_digests:
            response.records = self._members.records_differing(message.bucket_digests)
        elif message.digest and message.digest != response.digest:
            response.bucket_digests = self._members.bucket_digests
            response.suspects = self._replica.quarantine.entries()
        config = self._replica.config
        if config is not None and self._replica.has_newer_config(message.config_id):
            response.document = config.document
        return response

    def _message(
        self,
        records: list[NodeRecord] | None = None,
        suspects: list[QuarantineEntry] | None = None,
        bucket_digests: list[int] | None = None,
        digest: str = "",
    ) -> SyncMessage:
        age_s = self._read_age_s()
        current_age_s = self._freshness.age_s(now_s())
        return SyncMessage(
            digest,
            self._replica.config_version,
            records or [],
            suspects=suspects or [],
            bucket_digests=bucket_digests or [],
            read_age_ms=-1 if age_s is None else int(age_s * 1000),
            store_era=self._replica.store_era,
            config_era=self._replica.config_id.era,
            config_digest=self._replica.config_id.digest,
            current_age_ms=-1
            if current_age_s is None
            else math.ceil(current_age_s * 1000),
        )

    def _digest(self) -> str:
        return f"{self._members.digest()}.{self._replica.quarantine.digest()}"

    def _apply(self, message: SyncMessage) -> list[NodeRecord]:
        """Merge what a message carries; return the records of earlier processes."""
        self._replica.observe_era(message.store_era, "peer")
        replaced = [self._replica.merge_record(record) for record in message.records]
        self._replica.quarantine.merge(message.suspects)
        now = now_s()
        for news in message.thresholds:
            if self._board.record(news, now):
                self._thresholds_due[news.node_id] = news
                self._schedule_push(False, THRESHOLDS_DELAY_S)
        self._replica.confirm_config(message.config_id)
        if message.document:
            self._replica.apply_document(message.document, "peer", message.config_era)
        return [record for record in replaced if record is not None]

    async def _exchange(
        self, record: NodeRecord, message: SyncMessage
    ) -> SyncMessage | None:
        """Send a message and apply its response; return ``None`` without one."""
        started_s = now_s()
        try:
            async with asyncio.timeout(SYNC_TIMEOUT_S):
                response = await self._send(record.address, message)
        except TimeoutError:
            # Other idle connections to the node may have gone silent as well.
            self._peers.discard(record.address)
            self._log.event("sync-timeout", peer=record.node_id)
            return None
        if response is not None:
            self._apply(response)
            self._confirm_freshness(response, started_s)
        return response

    def _confirm_freshness(self, response: SyncMessage, started_s: float) -> None:
        """Take over the age of a configuration if it is the one in force here too."""
        if response.current_age_ms >= 0 and self._replica.config_id.has_content_of(
            response.config_id
        ):
            self._freshness.record_response(started_s, response.current_age_ms / 1000)

    async def _send(self, address: str, message: SyncMessage) -> SyncMessage | None:
        body = await exchange_message(self._peers, address, SYNC_PATH, message)
        if body is None:
            return None
        try:
            return msgspec.msgpack.decode(body, type=SyncMessage)
        except msgspec.DecodeError as error:
            self._log.event("sync-undecodable", reason=str(error))
            return None
