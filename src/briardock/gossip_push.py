"""Dissemination of member records and quarantine entries by push and piggyback."""

import random
from collections.abc import Callable

import anyio

from briardock.clock import Clock
from briardock.gossip_deltas import ByteBudget, DeltaQueue, send_limit
from briardock.gossip_links import Route
from briardock.gossip_messages import (
    MAX_ENTRIES,
    GossipMessage,
    Push,
    QuarantineNotice,
)
from briardock.gossip_settings import GossipHooks, GossipSettings
from briardock.member_records import (
    DETECTED_STATES,
    MemberRecord,
    fitting_records,
    record_bytes,
)
from briardock.membership import MemberTable
from briardock.quarantine import QuarantineEntry

MAX_QUEUED_RECORDS = 2_048
# Detected states are only sent while recent; a partition leaves thousands of them,
# which must not reach members that can still reach each other.
DETECTED_STATE_MAX_AGE_MS = 30_000.0
URGENT_RATE_BYTES_PER_S = 1_500.0
URGENT_BURST_BYTES = 64 * 1024
MAX_PUSH_BYTES = 16 * 1024
MAX_QUEUED_ENTRIES = 1_000
# Each node that learns of an entry pushes it on, which reaches nearly all nodes; pings
# and the comparison of digests only have to cover the rest.
ENTRY_SENDS = 4
# A target that dies with many requests in flight adds an entry for each of them.
ENTRY_RATE_BYTES_PER_S = 1_500.0
ENTRY_BURST_BYTES = 128 * 1024
MAX_SYNC_BYTES = 32 * 1024
MIN_SYNC_INTERVAL_MS = 10_000.0
ENTRY_OVERHEAD_BYTES = 14
DEATH_OVERHEAD_BYTES = 13

SendToRandom = Callable[[GossipMessage], None]
SendOnRoute = Callable[[Route, GossipMessage], bool]


class RecordPiggyback:
    """Chooses the member records to piggyback on pings and acks.

    :param table: member table
    :param clock: time source
    :param max_bytes: bound on the records in one message
    """

    def __init__(self, table: MemberTable, clock: Clock, max_bytes: int) -> None:
        self._table = table
        self._max_bytes = max_bytes
        self._queue = DeltaQueue(clock, MAX_QUEUED_RECORDS)

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, node_id: str) -> None:
        """Queue the current record of a node."""
        self._queue.add(node_id)

    def take(
        self, receiver_id: str, reported: MemberRecord | None
    ) -> list[MemberRecord]:
        """Return the records for one message.

        If this node knows the receiver in another state than it reports, for example
        as unreachable or with a later incarnation, the receiver's record is included.

        :param receiver_id: receiver of the message
        :param reported: record the receiver just sent of itself, if any
        """
        keys = self._queue.take(
            send_limit(len(self._table)), self._max_bytes, self._size_bytes
        )
        queued = [self._table.get(n) for n in keys if n != receiver_id]
        members = [record for record in queued if record is not None]
        receiver = self._table.get(receiver_id)
        if receiver is not None and receiver != reported:
            members.append(receiver)
        return members

    def _size_bytes(self, node_id: str, age_ms: float) -> int:
        record = self._table.get(node_id)
        if record is None:
            return 0
        if record.state in DETECTED_STATES and age_ms > DETECTED_STATE_MAX_AGE_MS:
            return 0
        return record_bytes(record)


class UrgentPush:
    """Pushes changed records to a few members, batched over a short delay.

    :param table: member table
    :param clock: time source
    :param settings: bounds
    :param send_to_random: sends a message to a few random members
    """

    def __init__(
        self,
        table: MemberTable,
        clock: Clock,
        settings: GossipSettings,
        send_to_random: SendToRandom,
    ) -> None:
        self._table = table
        self._settings = settings
        self._send_to_random = send_to_random
        self._budget = ByteBudget(clock, URGENT_RATE_BYTES_PER_S, URGENT_BURST_BYTES)
        self._node_ids: dict[str, None] = {}
        self._added = anyio.Event()

    def add(self, node_id: str) -> None:
        """Push the record of a node soon."""
        self._node_ids[node_id] = None
        self._added.set()

    async def run(self) -> None:
        """Push until cancelled; beyond the byte budget, records only go with pings."""
        while True:
            await self._added.wait()
            await anyio.sleep(self._settings.urgent_delay_ms / 1_000.0)
            self._added = anyio.Event()
            self._flush()

    def _flush(self) -> None:
        queued = [self._table.get(node_id) for node_id in self._node_ids]
        self._node_ids.clear()
        records = fitting_records([r for r in queued if r is not None], MAX_PUSH_BYTES)
        size_bytes = sum(map(record_bytes, records)) * self._settings.fanout
        if records and self._budget.spend(size_bytes):
            self._send_to_random(Push(records))


class QuarantineDissemination:
    """Disseminates quarantine entries by push, piggyback and anti-entropy sync.

    :param clock: time source
    :param rng: random source
    :param hooks: access to the quarantine
    :param settings: bounds
    :param send_to_random: sends a message to a few random members
    :param send_on_route: sends a message on a route
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        hooks: GossipHooks,
        settings: GossipSettings,
        send_to_random: SendToRandom,
        send_on_route: SendOnRoute,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._hooks = hooks
        self._settings = settings
        self._send_to_random = send_to_random
        self._send_on_route = send_on_route
        self._queue = DeltaQueue(clock, MAX_QUEUED_ENTRIES)
        self._budget = ByteBudget(clock, ENTRY_RATE_BYTES_PER_S, ENTRY_BURST_BYTES)
        self._last_sync_ms = float("-inf")

    def __len__(self) -> int:
        return len(self._queue)

    def push(self, entries: list[QuarantineEntry]) -> None:
        """Send changed entries to a few members at once and with the next pings.

        Entries with several deaths come first; beyond the byte budget the others
        only go with pings.
        """
        ordered = sorted(entries, key=_uncleared_count, reverse=True)
        for chunk in entry_chunks(ordered, MAX_PUSH_BYTES):
            size_bytes = sum(map(entry_bytes, chunk)) * self._settings.fanout
            if _uncleared_count(chunk[0]) > 1 or self._budget.spend(size_bytes):
                self._send_to_random(QuarantineNotice(chunk))
        for entry in reversed(ordered):
            self._queue.add(entry.fingerprint)

    def receive(self, entries: list[QuarantineEntry]) -> None:
        """Merge received entries and push those that changed here."""
        changed = self._hooks.on_quarantine(entries) if entries else []
        if changed:
            self.push(changed)

    def on_digest(self, digest: int, route: Route) -> None:
        """Send entries to a member whose quarantine differs, at a low rate."""
        if digest == self._hooks.quarantine_digest():
            return
        now_ms = self._clock.now_ms()
        if now_ms - self._last_sync_ms < MIN_SYNC_INTERVAL_MS:
            return
        entries = self._hooks.quarantine_entries(None)
        if entries:
            self._last_sync_ms = now_ms
            self._rng.shuffle(entries)
            chunk = entry_chunks(entries, MAX_SYNC_BYTES)[0]
            self._send_on_route(route, QuarantineNotice(chunk))

    def take(self) -> list[QuarantineEntry]:
        """Return the entries to piggyback on one message."""
        if not len(self._queue):
            return []
        keys = self._queue.take(
            ENTRY_SENDS, self._settings.quarantine_bytes, self._size_bytes
        )
        return self._hooks.quarantine_entries(keys)

    def _size_bytes(self, fingerprint: str, _: float) -> int:
        entries = self._hooks.quarantine_entries([fingerprint])
        return entry_bytes(entries[0]) if entries else 0


def _uncleared_count(entry: QuarantineEntry) -> int:
    return sum(not death.cleared for death in entry.deaths)


def entry_bytes(entry: QuarantineEntry) -> int:
    """Return the approximate encoded size of an entry in bytes."""
    death_bytes = sum(
        len(death.death_id) + DEATH_OVERHEAD_BYTES for death in entry.deaths
    )
    return len(entry.fingerprint) + death_bytes + ENTRY_OVERHEAD_BYTES


def entry_chunks(
    entries: list[QuarantineEntry], max_bytes: int
) -> list[list[QuarantineEntry]]:
    """Split entries into lists of bounded encoded size.

    :param entries: entries to split
    :param max_bytes: bound on the size of each list
    """
    chunks: list[list[QuarantineEntry]] = []
    left_bytes = 0
    for entry in entries:
        needed_bytes = entry_bytes(entry)
        if needed_bytes > left_bytes or len(chunks[-1]) >= MAX_ENTRIES:
            chunks.append([])
            left_bytes = max_bytes
        chunks[-1].append(entry)
        left_bytes -= needed_bytes
    return chunks
