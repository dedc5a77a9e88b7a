"""Probing, spread of member records and transport of control messages.

One ping per period goes to a rotating member; acks and pings carry recent
changes in a bounded number of bytes, so the cost per node does not depend on the
number of members. Tables that still differ are compared by bucket digests.
"""

import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import anyio
import anyio.abc
import msgspec
import zmq.asyncio

from briardock.clock import Clock
from briardock.gossip_config import ConfigSpread
from briardock.gossip_deltas import ByteBudget, DeltaQueue
from briardock.gossip_links import Address, GossipLinks, Route
from briardock.gossip_messages import (
    MAX_ENTRIES,
    Ack,
    ConfigDelta,
    ConfigNotice,
    ConfigPull,
    ConfigSnapshot,
    GossipMessage,
    IndirectAck,
    Ping,
    PingRequest,
    Push,
    QuarantineNotice,
    Summary,
    SyncReply,
    SyncRequest,
    decode_gossip,
)
from briardock.gossip_settings import GossipHooks, GossipSettings
from briardock.gossip_sync import TableSync, record_bytes, within
from briardock.membership import VERDICTS, MemberRecord, MemberState, MemberTable
from briardock.messages import encode
from briardock.metrics import Metrics
from briardock.quarantine import QuarantineEntry

MAX_CONTACTS = 64
MAX_QUEUED_DELTAS = 2_048
# Verdicts are only spread while fresh; a partition leaves thousands of them, which
# must not reach members that can still see each other.
VERDICT_SPREAD_MS = 30_000.0
# Records learned in bulk are not spread again as deltas beyond this number.
MAX_RESPREAD = 32
URGENT_RATE_BYTES_PER_S = 6_000.0
URGENT_BURST_BYTES = 64 * 1024
PUSH_BYTES = 16 * 1024
ENTRIES_BYTES = 32 * 1024
ENTRIES_INTERVAL_MS = 10_000.0
CONTACT_EVERY = 30
CONTACTS_PER_ROUND = 2


@dataclass(slots=True)
class _Waiting:
    """A ping whose ack is awaited, for ourselves or for another node."""

    heard: anyio.Event = field(default_factory=anyio.Event)


class Gossip:
    """Gossip of one node; ``run`` drives it.

    :param table: member table
    :param clock: time source
    :param rng: random source
    :param metrics: counters
    :param settings: addresses, periods and bounds
    :param hooks: access to the node
    :param context: zmq context
    """

    def __init__(
        self,
        table: MemberTable,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        settings: GossipSettings,
        hooks: GossipHooks,
        context: zmq.asyncio.Context,
    ) -> None:
        self._table = table
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._settings = settings
        self._hooks = hooks
        self._links = GossipLinks(settings.link, clock, metrics, self._on_data, context)
        self._config = ConfigSpread(clock, metrics, hooks, self._send_few, self._reply)
        self._deltas = DeltaQueue(clock, MAX_QUEUED_DELTAS)
        self._entries = DeltaQueue(clock, MAX_QUEUED_DELTAS)
        self._sync = TableSync(
            table, clock, settings.sync_interval_ms, self._reply, self._note
        )
        self._urgent_bytes = ByteBudget(
            clock, URGENT_RATE_BYTES_PER_S, URGENT_BURST_BYTES
        )
        self._urgent: dict[str, None] = {}
        self._urgent_added = anyio.Event()
        self._contacts: deque[Address] = deque(maxlen=MAX_CONTACTS)
        self._waiting: dict[int, _Waiting] = {}
        self._sequence = 0
        self._round = 0
        self._entries_sent_ms = float("-inf")
        self._tasks: anyio.abc.TaskGroup | None = None

    def bind(self) -> None:
        """Bind the socket ahead of ``run``, so that a taken address shows early.

        :raises zmq.ZMQError: if the address is taken or not local
        """
        self._links.bind()

    async def run(self) -> None:
        """Gossip until cancelled.

        :raises zmq.ZMQError: if the address is taken or not local
        """
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._links.run, tasks)
            tasks.start_soon(self._probe_loop)
            tasks.start_soon(self._urgent_loop)

    def add_contacts(self, contacts: Iterable[tuple[str, int]]) -> None:
        """Add addresses that are tried while no member is reachable.

        :param contacts: numeric hosts and gossip ports; the latest are kept
        """
        for host, port in contacts:
            address = Address(host, port)
            if address not in self._contacts:
                self._contacts.append(address)

    def push_now(self) -> None:
        """Send the own record to a few random members at once."""
        own = self._table.own
        self._deltas.add(own.node_id)
        self._send_few(Push([own]))

    def push_config(self, previous: int, version: int, payload: bytes) -> None:
        """Send a configuration change, already applied here, to all members.

        :param previous: version it builds on
        :param version: version it leads to
        :param payload: opaque change
        """
        self._config.push(ConfigDelta(previous, version, payload))

    def push_quarantine(self, entries: list[QuarantineEntry]) -> None:
        """Send changed quarantine entries to all members."""
        for chunk in _chunks(entries, PUSH_BYTES):
            self._send_few(QuarantineNotice(chunk))
        for entry in reversed(entries):
            self._entries.add(entry.fingerprint)

    def state(self) -> dict[str, Any]:
        """Return the state for a dump."""
        records = self._table.records()
        counts = {state.name.lower(): 0 for state in MemberState}
        for record in records:
            counts[record.state.name.lower()] += 1
        return {
            "members": counts,
            "digest": self._table.digest,
            "superseded_by": self._table.superseded_by,
            "joining": self._sync.joining,
            "queued_deltas": len(self._deltas),
            "queued_entries": len(self._entries),
            "open_sockets": self._links.open_count,
            "contacts": [f"{c.host}:{c.port}" for c in self._all_contacts()],
        }

    # Probing

    async def _probe_loop(self) -> None:
        period_s = self._settings.period_ms / 1_000.0
        self._contact_others()
        self.push_now()
        await anyio.sleep(self._rng.random() * period_s)
        while True:
            started_ms = self._clock.now_ms()
            self._tick()
            target = self._table.next_probe_target()
            if target is not None:
                await self._probe(target)
            spent_s = (self._clock.now_ms() - started_ms) / 1_000.0
            await anyio.sleep(max(0.0, period_s - spent_s))

    def _tick(self) -> None:
        self._round += 1
        self._note(self._table.expire())
        alone = self._table.is_alone()
        if alone or self._round % CONTACT_EVERY == 0:
            self._contact_others()
        elif self._sync.joining:
            for member in self._table.sample(1):
                self._sync.ask(Route(address=_address(member)))

    async def _probe(self, target: MemberRecord) -> None:
        settings = self._settings
        started_ms = self._clock.now_ms()
        reachable = self._table.is_reachable(target.node_id)
        heard = await self._ping(target, settings.ack_timeout_ms)
        if not heard and reachable:
            heard = await self._ping_through_others(target)
        if heard:
            self._table.heard_from(target.node_id)
            return
        self._links.close(_address(target))
        limit_ms = settings.ack_timeout_ms + settings.indirect_timeout_ms
        if self._clock.now_ms() - started_ms > limit_ms + settings.period_ms:
            return  # This process was paused; the silence proves nothing.
        self._metrics.count("gossip.probe_failures")
        self._note(self._table.suspect(target.node_id))

    async def _ping(self, target: MemberRecord, timeout_ms: float) -> bool:
        sequence, waiting = self._expect()
        self._send(_address(target), self._make_ping(sequence, target))
        return await self._wait(sequence, waiting, timeout_ms)

    async def _ping_through_others(self, target: MemberRecord) -> bool:
        others = self._table.sample(self._settings.indirect_count, [target.node_id])
        if not others:
            return False
        sequence, waiting = self._expect()
        request = PingRequest(sequence, self._table.own, target)
        for other in others:
            self._send(_address(other), request)
        return await self._wait(sequence, waiting, self._settings.indirect_timeout_ms)

    def _expect(self) -> tuple[int, _Waiting]:
        self._sequence += 1
        waiting = _Waiting()
        self._waiting[self._sequence] = waiting
        return self._sequence, waiting

    async def _wait(self, sequence: int, waiting: _Waiting, timeout_ms: float) -> bool:
        try:
            with anyio.move_on_after(timeout_ms / 1_000.0):
                await waiting.heard.wait()
            return waiting.heard.is_set()
        finally:
            self._waiting.pop(sequence, None)

    async def _ping_for(self, request: PingRequest, route: Route) -> None:
        target = self._table.get(request.target.node_id) or request.target
        if await self._ping(target, self._settings.ack_timeout_ms):
            found = self._table.get(target.node_id) or target
            self._reply(route, IndirectAck(request.sequence, found))

    # Messages

    def _on_data(self, data: bytes, route: Route) -> None:
        try:
            message = decode_gossip(data)
        except msgspec.MsgspecError:
            self._metrics.count("gossip.bad_messages")
            return
        self._handle(message, route)

    def _handle(self, message: GossipMessage, route: Route) -> None:
        match message:
            case Ping():
                self._on_ping(message, route)
            case Ack():
                self._on_summary(message, route)
                self._on_heard(message.sequence)
            case PingRequest():
                self._note(self._table.merge([message.sender]))
                if self._tasks is not None:
                    self._tasks.start_soon(self._ping_for, message, route)
            case IndirectAck():
                self._note(self._table.merge([message.target]))
                self._on_heard(message.sequence)
            case Push():
                self._note(self._table.merge(message.members))
            case SyncRequest():
                self._sync.on_request(message, route)
            case SyncReply():
                self._sync.on_reply(message, route)
            case QuarantineNotice():
                self._on_entries(message.entries)
            case ConfigDelta():
                self._config.on_delta(message, route)
            case ConfigNotice():
                self._config.on_version(message.version, "", route)
            case ConfigPull():
                self._config.on_pull(message, route)
            case ConfigSnapshot():
                self._config.on_snapshot(message, route)

    def _on_ping(self, ping: Ping, route: Route) -> None:
        known = self._table.get(ping.summary.sender.node_id)
        self._on_summary(ping, route)
        self._reply(route, self._make_ack(ping))
        if known is None or known.state is MemberState.UNREACHABLE:
            self._send_entries(route)

    def _on_summary(self, message: Ping | Ack, route: Route) -> None:
        summary = message.summary
        sender = summary.sender
        self._note(self._table.merge([sender, *message.members]))
        self._table.heard_from(sender.node_id)
        if message.quarantine:
            self._on_entries(message.quarantine)
        self._config.on_version(summary.config_version, sender.node_id, route)
        if summary.table_digest != self._table.digest:
            self._sync.on_difference(route)
        if summary.quarantine_digest != self._hooks.quarantine_digest():
            self._send_entries(route)

    def _on_heard(self, sequence: int) -> None:
        waiting = self._waiting.get(sequence)
        if waiting is not None:
            waiting.heard.set()

    def _on_entries(self, entries: list[QuarantineEntry]) -> None:
        changed = self._hooks.on_quarantine(entries)
        if changed:
            self.push_quarantine(changed)

    def _send_entries(self, route: Route) -> None:
        """Send the quarantine to a member whose digest differs."""
        now_ms = self._clock.now_ms()
        if now_ms - self._entries_sent_ms < ENTRIES_INTERVAL_MS:
            return
        entries = self._hooks.quarantine_entries(None)
        if entries:
            self._entries_sent_ms = now_ms
            self._rng.shuffle(entries)
            self._reply(route, QuarantineNotice(_chunks(entries, ENTRIES_BYTES)[0]))

    def _note(self, changed: list[MemberRecord]) -> None:
        """Spread changed records and tell the node."""
        if not changed:
            return
        if len(changed) <= MAX_RESPREAD:
            for record in changed:
                self._deltas.add(record.node_id)
        own = self._table.own
        urgent = [r for r in changed if r.state is MemberState.LEAVING or r is own]
        for record in urgent:
            self._urgent[record.node_id] = None
            self._urgent_added.set()
        self._hooks.on_members(changed)

    async def _urgent_loop(self) -> None:
        """Push leaving records and refutations, collected over a short wait."""
        while True:
            await self._urgent_added.wait()
            await anyio.sleep(self._settings.urgent_delay_ms / 1_000.0)
            self._urgent_added = anyio.Event()
            found = [self._table.get(node_id) for node_id in self._urgent]
            self._urgent.clear()
            records = within([r for r in found if r is not None], PUSH_BYTES)
            size_bytes = sum(map(record_bytes, records)) * self._settings.fanout
            if self._urgent_bytes.spend(size_bytes):
                self._send_few(Push(records))

    def _contact_others(self) -> None:
        """Ask first contacts that are not known as reachable members."""
        own = _address(self._table.own)
        known = {
            _address(record)
            for record in self._table.records()
            if self._table.is_reachable(record.node_id)
        }
        known.add(own)
        others = [c for c in self._all_contacts() if c not in known]
        count = min(CONTACTS_PER_ROUND, len(others))
        for address in self._rng.sample(others, count):
            self._sync.ask(Route(address=address))

    def _all_contacts(self) -> list[Address]:
        return [*self._settings.seeds, *self._contacts]

    # Sending

    def _make_ping(self, sequence: int, target: MemberRecord) -> Ping:
        members = self._take_members(target.node_id)
        return Ping(sequence, self._summary(), members, self._take_entries())

    def _make_ack(self, ping: Ping) -> Ack:
        members = self._take_members(ping.summary.sender.node_id)
        return Ack(ping.sequence, self._summary(), members, self._take_entries())

    def _summary(self) -> Summary:
        return Summary(
            self._table.own,
            self._table.digest,
            self._hooks.quarantine_digest(),
            self._hooks.config_version(),
        )

    def _take_members(self, receiver_id: str) -> list[MemberRecord]:
        """Return records to piggyback; a receiver held for lost learns of it."""
        names = self._deltas.take(
            len(self._table), self._settings.piggyback_bytes, self._delta_bytes
        )
        found = [self._table.get(n) for n in names if n != receiver_id]
        members = [record for record in found if record is not None]
        receiver = self._table.get(receiver_id)
        if receiver is not None and receiver.state is not MemberState.ALIVE:
            members.append(receiver)
        return members

    def _delta_bytes(self, node_id: str, age_ms: float) -> int:
        record = self._table.get(node_id)
        if record is None:
            return 0
        if record.state in VERDICTS and age_ms > VERDICT_SPREAD_MS:
            return 0
        return record_bytes(record)

    def _take_entries(self) -> list[QuarantineEntry]:
        if not len(self._entries):
            return []
        names = self._entries.take(
            len(self._table), self._settings.quarantine_bytes, self._entry_bytes
        )
        return self._hooks.quarantine_entries(names)

    def _entry_bytes(self, name: str, _: float) -> int:
        found = self._hooks.quarantine_entries([name])
        return entry_bytes(found[0]) if found else 0

    def _send(self, address: Address, message: GossipMessage) -> bool:
        return self._links.send(address, encode(message))

    def _reply(self, route: Route, message: GossipMessage) -> bool:
        return self._links.reply(route, encode(message))

    def _send_few(self, message: GossipMessage) -> None:
        """Send a message to a few random members."""
        data = encode(message)
        for member in self._table.sample(self._settings.fanout):
            self._links.send(_address(member), data)


def _address(record: MemberRecord) -> Address:
    return Address(record.host, record.gossip_port)


def entry_bytes(entry: QuarantineEntry) -> int:
    """Return about the encoded size of an entry in bytes."""
    deaths = sum(len(death.death_id) + 13 for death in entry.deaths)
    return len(entry.fingerprint) + deaths + 14


def _chunks(entries: list[QuarantineEntry], size: int) -> list[list[QuarantineEntry]]:
    """Split entries into lists of bounded encoded size."""
    chunks: list[list[QuarantineEntry]] = []
    room = 0
    for entry in entries:
        need = entry_bytes(entry)
        if need > room or len(chunks[-1]) >= MAX_ENTRIES:
            chunks.append([])
            room = size
        chunks[-1].append(entry)
        room -= need
    return chunks


def make_gossip(
    table: MemberTable,
    clock: Clock,
    rng: random.Random,
    metrics: Metrics,
    settings: GossipSettings,
    hooks: GossipHooks,
    context: zmq.asyncio.Context | None = None,
) -> Gossip:
    """Return the gossip of one node; nothing is bound yet.

    :param table: member table
    :param clock: time source
    :param rng: random source
    :param metrics: counters
    :param settings: addresses, periods and bounds
    :param hooks: access to the node
    :param context: zmq context, by default that of the process
    """
    context = context or zmq.asyncio.Context.instance()
    return Gossip(table, clock, rng, metrics, settings, hooks, context)
