"""Records and quarantine entries that do not wait for the next ping."""

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
# Verdicts are only spread while fresh; a partition leaves thousands of them, which
# must not reach members that can still see each other.
VERDICT_SPREAD_MS = 30_000.0
URGENT_RATE_BYTES_PER_S = 1_500.0
URGENT_BURST_BYTES = 64 * 1024
PUSH_BYTES = 16 * 1024
MAX_QUEUED_ENTRIES = 1_000
# Each node that learns an entry pushes it on, which reaches nearly all; the pings
# and the digests only have to cover the rest.
ENTRY_SENDS = 4
# A death with many requests in flight makes as many suspects.
ENTRY_RATE_BYTES_PER_S = 1_500.0
ENTRY_BURST_BYTES = 128 * 1024
ENTRIES_BYTES = 32 * 1024
ENTRIES_INTERVAL_MS = 10_000.0
ENTRY_OVERHEAD_BYTES = 14
DEATH_OVERHEAD_BYTES = 13

SendFew = Callable[[GossipMessage], None]
Reply = Callable[[Route, GossipMessage], bool]


class RecordSpread:
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
        """Spread the current record of a node."""
        self._queue.add(node_id)

    def take(
        self, receiver_id: str, described: MemberRecord | None
    ) -> list[MemberRecord]:
        """Return the records for one message.

        A receiver known otherwise than it describes itself, for example as
        unreachable or with a later incarnation, gets its own record.

        :param receiver_id: receiver of the message
        :param described: record the receiver gave of itself, if it just did
        """
        names = self._queue.take(
            send_limit(len(self._table)), self._max_bytes, self._size_bytes
        )
        found = [self._table.get(n) for n in names if n != receiver_id]
        members = [record for record in found if record is not None]
        receiver = self._table.get(receiver_id)
        if receiver is not None and receiver != described:
            members.append(receiver)
        return members

    def _size_bytes(self, node_id: str, age_ms: float) -> int:
        record = self._table.get(node_id)
        if record is None:
            return 0
        if record.state in DETECTED_STATES and age_ms > VERDICT_SPREAD_MS:
            return 0
        return record_bytes(record)


class UrgentPush:
    """Pushes changed records to a few members, collected over a short wait.

    :param table: member table
    :param clock: time source
    :param settings: bounds
    :param send_few: sends a message to a few random members
    """

    def __init__(
        self,
        table: MemberTable,
        clock: Clock,
        settings: GossipSettings,
        send_few: SendFew,
    ) -> None:
        self._table = table
        self._settings = settings
        self._send_few = send_few
        self._budget = ByteBudget(clock, URGENT_RATE_BYTES_PER_S, URGENT_BURST_BYTES)
        self._names: dict[str, None] = {}
        self._added = anyio.Event()

    def add(self, node_id: str) -> None:
        """Push the record of a node soon."""
        self._names[node_id] = None
        self._added.set()

    async def run(self) -> None:
        """Push until cancelled. Beyond the byte budget, pings carry the records."""
        while True:
            await self._added.wait()
            await anyio.sleep(self._settings.urgent_delay_ms / 1_000.0)
            self._added = anyio.Event()
            self._flush()

    def _flush(self) -> None:
        found = [self._table.get(node_id) for node_id in self._names]
        self._names.clear()
        records = fitting_records([r for r in found if r is not None], PUSH_BYTES)
        size_bytes = sum(map(record_bytes, records)) * self._settings.fanout
        if records and self._budget.spend(size_bytes):
            self._send_few(Push(records))


class EntrySpread:
    """Spreads quarantine entries: push, piggyback and comparison by digest.

    :param clock: time source
    :param rng: random source
    :param hooks: access to the quarantine
    :param settings: bounds
    :param send_few: sends a message to a few random members
    :param reply: sends a message on a route
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        hooks: GossipHooks,
        settings: GossipSettings,
        send_few: SendFew,
        reply: Reply,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._hooks = hooks
        self._settings = settings
        self._send_few = send_few
        self._reply = reply
        self._queue = DeltaQueue(clock, MAX_QUEUED_ENTRIES)
        self._budget = ByteBudget(clock, ENTRY_RATE_BYTES_PER_S, ENTRY_BURST_BYTES)
        self._sent_ms = float("-inf")

    def __len__(self) -> int:
        return len(self._queue)

    def push(self, entries: list[QuarantineEntry]) -> None:
        """Send changed entries to a few members and with the next pings.

        Entries with several deaths come first; beyond the byte budget the others
        only go with the pings.
        """
        ordered = sorted(entries, key=_uncleared_count, reverse=True)
        for chunk in entry_chunks(ordered, PUSH_BYTES):
            size_bytes = sum(map(entry_bytes, chunk)) * self._settings.fanout
            if _uncleared_count(chunk[0]) > 1 or self._budget.spend(size_bytes):
                self._send_few(QuarantineNotice(chunk))
        for entry in reversed(ordered):
            self._queue.add(entry.fingerprint)

    def receive(self, entries: list[QuarantineEntry]) -> None:
        """Merge received entries and push on those that changed here."""
        changed = self._hooks.on_quarantine(entries) if entries else []
        if changed:
            self.push(changed)

    def on_digest(self, digest: int, route: Route) -> None:
        """Send all entries to a member whose quarantine differs, at a low rate."""
        if digest == self._hooks.quarantine_digest():
            return
        now_ms = self._clock.now_ms()
        if now_ms - self._sent_ms < ENTRIES_INTERVAL_MS:
            return
        entries = self._hooks.quarantine_entries(None)
        if entries:
            self._sent_ms = now_ms
            self._rng.shuffle(entries)
            chunk = entry_chunks(entries, ENTRIES_BYTES)[0]
            self._reply(route, QuarantineNotice(chunk))

    def take(self) -> list[QuarantineEntry]:
        """Return the entries to piggyback on one message."""
        if not len(self._queue):
            return []
        names = self._queue.take(
            ENTRY_SENDS, self._settings.quarantine_bytes, self._size_bytes
        )
        return self._hooks.quarantine_entries(names)

    def _size_bytes(self, name: str, _: float) -> int:
        found = self._hooks.quarantine_entries([name])
        return entry_bytes(found[0]) if found else 0


def _uncleared_count(entry: QuarantineEntry) -> int:
    return sum(not death.cleared for death in entry.deaths)


def entry_bytes(entry: QuarantineEntry) -> int:
    """Return about the encoded size of an entry in bytes."""
    deaths = sum(len(death.death_id) + DEATH_OVERHEAD_BYTES for death in entry.deaths)
    return len(entry.fingerprint) + deaths + ENTRY_OVERHEAD_BYTES


def entry_chunks(
    entries: list[QuarantineEntry], max_bytes: int
) -> list[list[QuarantineEntry]]:
    """Split entries into lists of bounded encoded size.

    :param entries: entries to split
    :param max_bytes: bound on the size of each list
    """
    chunks: list[list[QuarantineEntry]] = []
    room = 0
    for entry in entries:
        need = entry_bytes(entry)
        if need > room or len(chunks[-1]) >= MAX_ENTRIES:
            chunks.append([])
            room = max_bytes
        chunks[-1].append(entry)
        room -= need
    return chunks
