"""Wiring of membership, configuration, gossip and the log client of one node."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from briardock._records import decode_delta
from briardock.clock import Clock
from briardock.contacts import Contact, Contacts, make_contacts
from briardock.directory import Directory
from briardock.events import Event, emit
from briardock.gossip import Gossip, make_gossip
from briardock.gossip_links import LinkSettings
from briardock.gossip_settings import Address, GossipHooks, GossipSettings
from briardock.membership import (
    MemberRecord,
    MembershipSettings,
    MemberState,
    MemberTable,
    make_member_table,
)
from briardock.metrics import Metrics
from briardock.platformlog import LogClient, make_log_client
from briardock.publishing import (
    Applied,
    ConfigReader,
    ConfigState,
    make_config_reader,
    make_config_state,
)
from briardock.quarantine import Quarantine
from briardock.settings import NodeSettings

# A node that is not a log reader still reads the log after at most this interval, so
# that it does not keep an old configuration if the readers or gossip fail.
FALLBACK_READ_INTERVAL_MS = 90_000.0
SUSPICION_PERIODS_FACTOR = 1.2


class ConfigHooks:
    """Connects the configuration state to gossip.

    Versions in gossip start at 1, and 0 means none; the state uses log offsets, which
    start at 0.

    :param state: configuration of this node
    :param on_change: called when another configuration is in force
    """

    def __init__(self, state: ConfigState, on_change: Callable[[], None]) -> None:
        self._state = state
        self._on_change = on_change

    def version(self) -> int:
        """Return the version as used in gossip."""
        return self._state.version + 1

    def on_delta(self, payload: bytes, previous: int, version: int) -> bool:
        """Apply a delta and return whether it was new.

        :param payload: encoded delta
        :param previous: version to which the delta applies
        :param version: version after the delta
        """
        applied = isinstance(self._state.apply_delta(payload), Applied)
        if applied:
            self._notify_change("gossip")
        return applied

    def snapshot(self) -> bytes | None:
        """Return a configuration snapshot, ``None`` before the first version."""
        return self._state.snapshot() if self.version() else None

    def on_snapshot(self, version: int, data: bytes) -> None:
        """Install a configuration snapshot if it is newer.

        :param version: version of the snapshot
        :param data: encoded snapshot
        """
        if self._state.install_snapshot(data):
            self._notify_change("snapshot")

    def on_accepted(self) -> None:
        """Handle a configuration accepted from the log."""
        self._notify_change("log")

    def _notify_change(self, source: str) -> None:
        emit(Event.CONFIG_IN_FORCE, version=self._state.version, source=source)
        self._on_change()


@dataclass(slots=True)
class Cluster:
    """Components of a node that communicate with other nodes and the platform.

    :param table: member table
    :param gossip: gossip of membership, configuration and quarantine
    :param config: configuration of this node
    :param reader: reader of the log
    :param contacts: source of addresses to contact first
    :param log: client of the platform log
    """

    table: MemberTable
    gossip: Gossip
    config: ConfigState
    reader: ConfigReader
    contacts: Contacts
    log: LogClient

    def set_target(self, service: str, instance: str, state: MemberState) -> None:
        """Update the target in the local record and push it to other nodes.

        :param service: service of the target, empty for none
        :param instance: id of the target process, empty for none
        :param state: state of this member
        """
        self.table.update_local(service=service, target_instance=instance, state=state)
        self.gossip.push_now()


def make_local_record(
    settings: NodeSettings, incarnation: int, call_port: int, gossip_port: int
) -> MemberRecord:
    """Return the record of this node before its target has announced itself.

    :param settings: settings of the process
    :param incarnation: incarnation of this process
    :param call_port: bound port for calls
    :param gossip_port: bound port for gossip
    """
    node = settings.node
    return MemberRecord(
        node.node_id,
        incarnation,
        1,
        node.service,
        node.failure_domain,
        node.region,
        node.advertise_host or node.host,
        node.advertise_call_port or call_port,
        node.advertise_gossip_port or gossip_port,
        "",
    )


def make_member_settings(settings: NodeSettings) -> MembershipSettings:
    """Return the settings of the member table.

    :param settings: settings of the process
    """
    gossip = settings.gossip
    return MembershipSettings(
        suspicion_factor=SUSPICION_PERIODS_FACTOR,
        min_suspicion_periods=gossip.suspicion_ms / gossip.period_ms,
        period_ms=gossip.period_ms,
    )


def make_gossip_settings(settings: NodeSettings, gossip_port: int) -> GossipSettings:
    """Return the settings of gossip.

    :param settings: settings of the process
    :param gossip_port: port to bind
    """
    gossip, node = settings.gossip, settings.node
    return GossipSettings(
        link=LinkSettings(node.host, gossip_port, node.source_host or ""),
        seeds=tuple(Address(seed.host, seed.port) for seed in node.seeds),
        period_ms=gossip.period_ms,
        ack_timeout_ms=gossip.ack_timeout_ms,
        fanout=gossip.fanout,
    )


def make_cluster(
    settings: NodeSettings,
    local_record: MemberRecord,
    gossip_port: int,
    make_directory: Callable[[MemberTable], Directory],
    quarantine: Quarantine,
    on_config: Callable[[], None],
    clock: Clock,
    rng: random.Random,
    metrics: Metrics,
) -> tuple[Cluster, Directory]:
    """Return the components for other nodes and the platform, and the directory.

    :param settings: settings of the process
    :param local_record: record of this node
    :param gossip_port: port to bind
    :param make_directory: creates the directory of a member table
    :param quarantine: quarantine of requests that crash their targets
    :param on_config: called when another configuration is in force
    :param clock: monotonic clock
    :param rng: random source
    :param metrics: counters
    """
    table = make_member_table(local_record, clock, rng, make_member_settings(settings))
    directory = make_directory(table)
    state = make_config_state()
    hooks = ConfigHooks(state, on_config)
    gossip = make_gossip(
        table,
        clock,
        rng,
        metrics,
        make_gossip_settings(settings, gossip_port),
        GossipHooks(
            config_version=hooks.version,
            on_config_delta=hooks.on_delta,
            config_snapshot=hooks.snapshot,
            on_config_snapshot=hooks.on_snapshot,
            on_quarantine=quarantine.merge,
            quarantine_entries=quarantine.entries,
            quarantine_digest=quarantine.digest,
            on_members=directory.members_changed,
        ),
    )
    log = make_log_client(
        settings.log.host,
        settings.log.port,
        float(settings.log.timeout_ms),
        settings.node.source_host,
    )

    def on_accepted(payload: bytes) -> None:
        hooks.on_accepted()
        delta = decode_delta(payload)
        if delta is not None:
            gossip.push_config(delta.previous + 1, delta.version + 1, payload)

    reader = make_config_reader(
        log,
        state,
        on_accepted,
        clock,
        rng,
        float(settings.log.poll_ms),
        _make_read_check(directory, clock, rng),
    )
    local_contact = Contact(
        local_record.node_id, local_record.host, local_record.gossip_port
    )
    contacts = make_contacts(
        log,
        local_contact,
        table.is_alone,
        directory.is_log_reader,
        gossip.add_contacts,
        rng,
    )
    return Cluster(table, gossip, state, reader, contacts, log), directory


def _make_read_check(
    directory: Directory, clock: Clock, rng: random.Random
) -> Callable[[], bool]:
    """Return a function that decides whether to read the log now.

    A log reader always reads, another node only at the fallback interval.
    """
    next_read_ms = clock.now_ms() + FALLBACK_READ_INTERVAL_MS * rng.uniform(0.5, 1.0)

    def should_read() -> bool:
        nonlocal next_read_ms
        if directory.is_log_reader():
            return True
        if clock.now_ms() < next_read_ms:
            return False
        next_read_ms = clock.now_ms() + FALLBACK_READ_INTERVAL_MS * rng.uniform(
            0.5, 1.0
        )
        return True

    return should_read
