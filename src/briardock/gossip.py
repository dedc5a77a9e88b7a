"""Probing, spread of member records and transport of control messages.

One ping per period goes to a rotating member; acks and pings carry recent
changes in a bounded number of bytes, so the cost per node does not depend on the
number of members. Tables that still differ are compared by bucket digests.
"""

import random
from collections import deque
from collections.abc import Iterable
from typing import Any

import anyio
import anyio.abc
import msgspec
import zmq.asyncio

from briardock.clock import Clock
from briardock.events import Event, emit
from briardock.gossip_config import ConfigSpread
from briardock.gossip_links import Address, GossipLinks, Route
from briardock.gossip_messages import (
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
from briardock.gossip_probe import Prober, address_of
from briardock.gossip_push import EntrySpread, RecordSpread, UrgentPush
from briardock.gossip_settings import GossipHooks, GossipSettings
from briardock.gossip_sync import TableSync
from briardock.member_records import (
    MemberRecord,
    MemberState,
)
from briardock.membership import MemberTable
from briardock.messages import encode
from briardock.metrics import Metrics
from briardock.quarantine import QuarantineEntry

MAX_CONTACTS = 64
# Records learned in bulk are not spread again as deltas beyond this number.
MAX_RESPREAD = 32
CONTACT_EVERY = 30
CONTACTS_PER_ROUND = 2

STATE_EVENTS = {
    MemberState.LEAVING: Event.MEMBERS_LEAVING,
    MemberState.UNREACHABLE: Event.MEMBERS_UNREACHABLE,
    MemberState.LEFT: Event.MEMBERS_LEFT,
}


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
        self._spread = RecordSpread(table, clock, settings.piggyback_bytes)
        self._entries = EntrySpread(
            clock, rng, hooks, settings, self._send_few, self._reply
        )
        self._urgent = UrgentPush(table, clock, settings, self._send_few)
        self._prober = Prober(table, settings, self._send, self._reply, self._make_ping)
        self._sync = TableSync(
            table,
            clock,
            settings.sync_interval_ms,
            self._reply,
            self._note,
            self.push_now,
        )
        self._contacts: deque[Address] = deque(maxlen=MAX_CONTACTS)
        self._round = 0
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
            tasks.start_soon(self._urgent.run)

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
        own = self._table.local_record
        self._spread.add(own.node_id)
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
        self._entries.push(entries)

    def state(self) -> dict[str, Any]:
        """Return the state for a dump."""
        records = self._table.records()
        counts = {state.name.lower(): 0 for state in MemberState}
        for record in records:
            counts[record.state.name.lower()] += 1
        return {
            "members": counts,
            "digest": self._table.digest.total,
            "superseded_by": self._table.superseded_by,
            "joining": self._sync.joining,
            "queued_deltas": len(self._spread),
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
        ended = self._table.expire_grace()
        if ended:
            self._hooks.on_members(ended)
        alone = self._table.is_alone()
        if alone or self._round % CONTACT_EVERY == 0:
            self._contact_others()
        elif self._sync.joining:
            for member in self._table.sample(1):
                self._sync.ask(Route(address=address_of(member)))

    async def _probe(self, target: MemberRecord) -> None:
        settings = self._settings
        started_ms = self._clock.now_ms()
        if await self._prober.reach(target):
            self._table.on_response(target.node_id)
            return
        self._links.close(address_of(target))
        spent_ms = self._clock.now_ms() - started_ms
        limit_ms = settings.ack_timeout_ms + settings.indirect_timeout_ms
        if spent_ms > limit_ms + settings.period_ms:
            return  # This process was paused; the silence proves nothing.
        self._metrics.count("gossip.probe_failures")
        self._note(self._table.suspect(target.node_id))

    # Messages

    def _on_data(self, data: bytes, route: Route) -> None:
        try:
            message = decode_gossip(data)
        except msgspec.MsgspecError:
            self._metrics.count("gossip.bad_messages")
            return
        try:
            self._handle(message, route)
        except Exception as error:
            # One message must not end gossip, whatever a hook makes of it.
            self._metrics.count("gossip.handler_errors")
            emit(Event.GOSSIP_HANDLER_FAILED, error=repr(error))

    def _handle(self, message: GossipMessage, route: Route) -> None:
        match message:
            case Ping():
                self._on_ping(message, route)
            case Ack():
                self._on_summary(message, route)
                self._prober.on_heard(message.sequence, message.summary.sender)
            case PingRequest():
                self._note(self._table.merge([message.sender]))
                if self._tasks is not None:
                    self._tasks.start_soon(self._prober.ping_for, message, route)
            case IndirectAck():
                self._note(self._table.merge([message.target]))
                self._prober.on_heard(message.sequence, message.target)
            case Push():
                self._note(self._table.merge(message.members))
            case SyncRequest():
                self._sync.on_request(message, route)
            case SyncReply():
                self._sync.on_reply(message, route)
            case QuarantineNotice():
                self._entries.receive(message.entries)
            case ConfigDelta():
                self._config.on_delta(message, route)
            case ConfigNotice():
                self._config.on_version(message.version, "", route)
            case ConfigPull():
                self._config.on_pull(message, route)
            case ConfigSnapshot():
                self._config.on_snapshot(message, route)

    def _on_ping(self, ping: Ping, route: Route) -> None:
        self._on_summary(ping, route)
        self._reply(route, self._make_ack(ping))

    def _on_summary(self, message: Ping | Ack, route: Route) -> None:
        summary = message.summary
        sender = summary.sender
        self._note(self._table.merge([sender, *message.members]))
        self._table.on_response(sender.node_id)
        self._entries.receive(message.quarantine)
        self._config.on_version(summary.config_version, sender.node_id, route)
        if summary.table_digest != self._table.digest.total:
            self._sync.on_difference(route)
        self._entries.on_digest(summary.quarantine_digest, route)

    def _note(self, changed: list[MemberRecord]) -> None:
        """Spread changed records and tell the node."""
        if not changed:
            return
        if len(changed) <= MAX_RESPREAD:
            for record in changed:
                self._spread.add(record.node_id)
        own = self._table.local_record
        for record in changed:
            if record.state is MemberState.LEAVING or record is own:
                self._urgent.add(record.node_id)
        self._log_changes(changed)
        self._hooks.on_members(changed)

    def _log_changes(self, changed: list[MemberRecord]) -> None:
        """Log one event per kind of change, however many members it concerns."""
        for state, event in STATE_EVENTS.items():
            names = [r.node_id for r in changed if r.state is state]
            if names:
                emit(event, count=len(names), first=names[0])

    def _contact_others(self) -> None:
        """Ask first contacts that are not known as reachable members."""
        own = address_of(self._table.local_record)
        known = {
            address_of(record)
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
        members = self._spread.take(target.node_id, None)
        return Ping(sequence, self._summary(), members, self._entries.take())

    def _make_ack(self, ping: Ping) -> Ack:
        sender = ping.summary.sender
        members = self._spread.take(sender.node_id, sender)
        return Ack(ping.sequence, self._summary(), members, self._entries.take())

    def _summary(self) -> Summary:
        return Summary(
            self._table.local_record,
            self._table.digest.total,
            self._hooks.quarantine_digest(),
            self._hooks.config_version(),
        )

    def _send(self, address: Address, message: GossipMessage) -> bool:
        return self._links.send(address, encode(message))

    def _reply(self, route: Route, message: GossipMessage) -> bool:
        return self._links.reply(route, encode(message))

    def _send_few(self, message: GossipMessage) -> None:
        """Send a message to a few random members."""
        data = encode(message)
        for member in self._table.sample(self._settings.fanout):
            self._links.send(address_of(member), data)


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
