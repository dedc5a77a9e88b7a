"""Gossip: failure detection and dissemination of member and control state.

A node pings one member per period, in shuffled rounds. Pings and acks piggyback
recent changes in a bounded number of bytes, so the cost per node does not depend on
the number of members. An anti-entropy sync by bucket digests repairs tables that
still differ.
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
from briardock.gossip_config import ConfigDissemination
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
from briardock.gossip_push import QuarantineDissemination, RecordPiggyback, UrgentPush
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
# Larger sets of changed records, as received in a sync, are not piggybacked again.
MAX_FORWARDED_RECORDS = 32
CONTACT_EVERY_PERIODS = 30
CONTACTS_PER_ROUND = 2

STATE_EVENTS = {
    MemberState.LEAVING: Event.MEMBERS_LEAVING,
    MemberState.UNREACHABLE: Event.MEMBERS_UNREACHABLE,
    MemberState.LEFT: Event.MEMBERS_LEFT,
}


class Gossip:
    """Gossip protocol of one node; ``run`` executes it.

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
        self._config = ConfigDissemination(
            clock, metrics, hooks, self._send_to_random, self._send_on_route
        )
        self._piggyback = RecordPiggyback(table, clock, settings.piggyback_bytes)
        self._quarantine = QuarantineDissemination(
            clock, rng, hooks, settings, self._send_to_random, self._send_on_route
        )
        self._urgent = UrgentPush(table, clock, settings, self._send_to_random)
        self._prober = Prober(
            table, settings, self._send, self._send_on_route, self._make_ping
        )
        self._sync = TableSync(
            table,
            clock,
            settings.sync_interval_ms,
            self._send_on_route,
            self._on_member_changes,
            self.push_now,
        )
        self._contacts: deque[Address] = deque(maxlen=MAX_CONTACTS)
        self._period_count = 0
        self._tasks: anyio.abc.TaskGroup | None = None

    def bind(self) -> None:
        """Bind the socket before ``run``, so that an address in use is reported early.

        :raises zmq.ZMQError: if the address is in use or not local
        """
        self._links.bind()

    async def run(self) -> None:
        """Gossip until cancelled.

        :raises zmq.ZMQError: if the address is in use or not local
        """
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._links.run, tasks)
            tasks.start_soon(self._probe_loop)
            tasks.start_soon(self._urgent.run)

    def add_contacts(self, contacts: Iterable[tuple[str, int]]) -> None:
        """Add addresses to contact while no member is reachable.

        :param contacts: numeric hosts and gossip ports; the latest are kept
        """
        for host, port in contacts:
            address = Address(host, port)
            if address not in self._contacts:
                self._contacts.append(address)

    def push_now(self) -> None:
        """Send the local record to a few random members without waiting for a ping."""
        local_record = self._table.local_record
        self._piggyback.add(local_record.node_id)
        self._send_to_random(Push([local_record]))

    def push_config(self, previous: int, version: int, payload: bytes) -> None:
        """Disseminate a configuration change that this node has already applied.

        :param previous: version to which the change applies
        :param version: version after the change
        :param payload: opaque change
        """
        self._config.push(ConfigDelta(previous, version, payload))

    def push_quarantine(self, entries: list[QuarantineEntry]) -> None:
        """Disseminate changed quarantine entries."""
        self._quarantine.push(entries)

    def state(self) -> dict[str, Any]:
        """Return the state for a diagnostic dump."""
        records = self._table.records()
        counts = {state.name.lower(): 0 for state in MemberState}
        for record in records:
            counts[record.state.name.lower()] += 1
        return {
            "members": counts,
            "digest": self._table.digest.total,
            "superseded_by": self._table.superseded_by,
            "joining": self._sync.joining,
            "queued_deltas": len(self._piggyback),
            "queued_entries": len(self._quarantine),
            "open_sockets": self._links.open_count,
            "contacts": [f"{c.host}:{c.port}" for c in self._all_contacts()],
        }

    # Probing

    async def _probe_loop(self) -> None:
        period_s = self._settings.period_ms / 1_000.0
        self._sync_with_contacts()
        self.push_now()
        await anyio.sleep(self._rng.random() * period_s)
        while True:
            started_ms = self._clock.now_ms()
            self._tick()
            target = self._table.next_probe_target()
            if target is not None:
                await self._probe(target)
            elapsed_s = (self._clock.now_ms() - started_ms) / 1_000.0
            await anyio.sleep(max(0.0, period_s - elapsed_s))

    def _tick(self) -> None:
        self._period_count += 1
        self._on_member_changes(self._table.expire())
        ended = self._table.expire_grace()
        if ended:
            self._hooks.on_members(ended)
        alone = self._table.is_alone()
        if alone or self._period_count % CONTACT_EVERY_PERIODS == 0:
            self._sync_with_contacts()
        elif self._sync.joining:
            for member in self._table.sample(1):
                self._sync.send_request(Route(address=address_of(member)))

    async def _probe(self, target: MemberRecord) -> None:
        settings = self._settings
        started_ms = self._clock.now_ms()
        if await self._prober.check_reachable(target):
            self._table.on_response(target.node_id)
            return
        self._links.close(address_of(target))
        elapsed_ms = self._clock.now_ms() - started_ms
        limit_ms = settings.ack_timeout_ms + settings.indirect_timeout_ms
        if elapsed_ms > limit_ms + settings.period_ms:
            return  # This process was paused, so it may have missed an ack.
        self._metrics.count("gossip.probe_failures")
        self._on_member_changes(self._table.suspect(target.node_id))

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
            # An error in handling one message, such as in a hook, must not end gossip.
            self._metrics.count("gossip.handler_errors")
            emit(Event.GOSSIP_HANDLER_FAILED, error=repr(error))

    def _handle(self, message: GossipMessage, route: Route) -> None:
        match message:
            case Ping():
                self._on_ping(message, route)
            case Ack():
                self._on_summary(message, route)
                self._prober.on_ack(message.sequence, message.summary.sender)
            case PingRequest():
                self._on_member_changes(self._table.merge([message.sender]))
                if self._tasks is not None:
                    self._tasks.start_soon(self._prober.ping_on_behalf, message, route)
            case IndirectAck():
                self._on_member_changes(self._table.merge([message.target]))
                self._prober.on_ack(message.sequence, message.target)
            case Push():
                self._on_member_changes(self._table.merge(message.members))
            case SyncRequest():
                self._sync.on_request(message, route)
            case SyncReply():
                self._sync.on_response(message, route)
            case QuarantineNotice():
                self._quarantine.receive(message.entries)
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
        self._send_on_route(route, self._make_ack(ping))

    def _on_summary(self, message: Ping | Ack, route: Route) -> None:
        summary = message.summary
        sender = summary.sender
        self._on_member_changes(self._table.merge([sender, *message.members]))
        self._table.on_response(sender.node_id)
        self._quarantine.receive(message.quarantine)
        self._config.on_version(summary.config_version, sender.node_id, route)
        if summary.table_digest != self._table.digest.total:
            self._sync.on_difference(route)
        self._quarantine.on_digest(summary.quarantine_digest, route)

    def _on_member_changes(self, changed: list[MemberRecord]) -> None:
        """Queue changed records for gossip and notify the node."""
        if not changed:
            return
        if len(changed) <= MAX_FORWARDED_RECORDS:
            for record in changed:
                self._piggyback.add(record.node_id)
        local_record = self._table.local_record
        for record in changed:
            if record.state is MemberState.LEAVING or record is local_record:
                self._urgent.add(record.node_id)
        self._log_changes(changed)
        self._hooks.on_members(changed)

    def _log_changes(self, changed: list[MemberRecord]) -> None:
        """Log one event per new state, with the number of members."""
        for state, event in STATE_EVENTS.items():
            node_ids = [r.node_id for r in changed if r.state is state]
            if node_ids:
                emit(event, count=len(node_ids), first=node_ids[0])

    def _sync_with_contacts(self) -> None:
        """Request a sync from seeds and contacts that are not reachable members."""
        local_address = address_of(self._table.local_record)
        known = {
            address_of(record)
            for record in self._table.records()
            if self._table.is_reachable(record.node_id)
        }
        known.add(local_address)
        others = [c for c in self._all_contacts() if c not in known]
        count = min(CONTACTS_PER_ROUND, len(others))
        for address in self._rng.sample(others, count):
            self._sync.send_request(Route(address=address))

    def _all_contacts(self) -> list[Address]:
        return [*self._settings.seeds, *self._contacts]

    # Sending

    def _make_ping(self, sequence: int, target: MemberRecord) -> Ping:
        members = self._piggyback.take(target.node_id, None)
        return Ping(sequence, self._summary(), members, self._quarantine.take())

    def _make_ack(self, ping: Ping) -> Ack:
        sender = ping.summary.sender
        members = self._piggyback.take(sender.node_id, sender)
        return Ack(ping.sequence, self._summary(), members, self._quarantine.take())

    def _summary(self) -> Summary:
        return Summary(
            self._table.local_record,
            self._table.digest.total,
            self._hooks.quarantine_digest(),
            self._hooks.config_version(),
        )

    def _send(self, address: Address, message: GossipMessage) -> bool:
        return self._links.send(address, encode(message))

    def _send_on_route(self, route: Route, message: GossipMessage) -> bool:
        return self._links.send_on_route(route, encode(message))

    def _send_to_random(self, message: GossipMessage) -> None:
        """Send a message to ``fanout`` random members."""
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
    """Return the gossip protocol of one node; its socket is not bound yet.

    :param table: member table
    :param clock: time source
    :param rng: random source
    :param metrics: counters
    :param settings: addresses, periods and bounds
    :param hooks: access to the node
    :param context: zmq context, by default the one of the process
    """
    context = context or zmq.asyncio.Context.instance()
    return Gossip(table, clock, rng, metrics, settings, hooks, context)
