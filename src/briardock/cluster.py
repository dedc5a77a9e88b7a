"""Configuration and membership of one node, carried by gossip and the log."""

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

# A node that is no reader still looks at the log now and then, so that a failed
# reader or gossip cannot leave it with an old configuration for good.
FALLBACK_READ_MS = 90_000.0
SUSPICION_PERIODS_FACTOR = 1.2


class ConfigHooks:
    """Connects the configuration state to gossip.

    Gossip counts versions from 1, where 0 means none; the state counts log
    offsets from 0.

    :param state: configuration of this node
    :param on_change: told when another configuration is in force
    """

    def __init__(self, state: ConfigState, on_change: Callable[[], None]) -> None:
        self._state = state
        self._on_change = on_change

    def version(self) -> int:
        """Return the version as gossip counts it."""
        return self._state.version + 1

    def on_delta(self, payload: bytes, previous: int, version: int) -> bool:
        """Apply a delta and return whether it was new.

        :param payload: encoded delta
        :param previous: version it builds on
        :param version: version it leads to
        """
        applied = isinstance(self._state.apply_delta(payload), Applied)
        if applied:
            self._in_force("gossip")
        return applied

    def snapshot(self) -> bytes | None:
        """Return the whole configuration, ``None`` before the first."""
        return self._state.snapshot() if self.version() else None

    def on_snapshot(self, version: int, data: bytes) -> None:
        """Install a whole configuration if it is newer.

        :param version: version of the snapshot
        :param data: encoded snapshot
        """
        if self._state.install_snapshot(data):
            self._in_force("snapshot")

    def accepted(self) -> None:
        """Note a configuration accepted from the log."""
        self._in_force("log")

    def _in_force(self, source: str) -> None:
        emit(Event.CONFIG_IN_FORCE, version=self._state.version, source=source)
        self._on_change()


@dataclass(slots=True)
class Cluster:
    """Parts of a node that know about other nodes and the platform.

    :param table: member table
    :param gossip: transport of membership, configuration and quarantine
    :param config: configuration of this node
    :param reader: reader of the log
    :param contacts: source of first contacts
    :param log: client of the platform log
    """

    table: MemberTable
    gossip: Gossip
    config: ConfigState
    reader: ConfigReader
    contacts: Contacts
    log: LogClient

    def set_target(self, service: str, instance: str, state: MemberState) -> None:
        """Tell other nodes about the target beside this node.

        :param service: service of the target, empty for none
        :param instance: id of the target process, empty for none
        :param state: state of this member
        """
        self.table.update_local(service=service, target_instance=instance, state=state)
        self.gossip.push_now()


def make_own_record(
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
    """Return the limits of the member table.

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
    own: MemberRecord,
    gossip_port: int,
    directory_of: Callable[[MemberTable], Directory],
    quarantine: Quarantine,
    on_config: Callable[[], None],
    clock: Clock,
    rng: random.Random,
    metrics: Metrics,
) -> tuple[Cluster, Directory]:
    """Return the parts that know about other nodes, and the directory.

    :param settings: settings of the process
    :param own: record of this node
    :param gossip_port: port to bind
    :param directory_of: makes the directory of a member table
    :param quarantine: requests that kill their targets
    :param on_config: told when another configuration is in force
    :param clock: monotonic clock
    :param rng: random source
    :param metrics: counters
    """
    table = make_member_table(own, clock, rng, make_member_settings(settings))
    directory = directory_of(table)
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

    def accepted(payload: bytes) -> None:
        hooks.accepted()
        step = decode_delta(payload)
        if step is not None:
            gossip.push_config(step.previous + 1, step.version + 1, payload)

    reader = make_config_reader(
        log,
        state,
        accepted,
        clock,
        rng,
        float(settings.log.poll_ms),
        _reader_choice(directory, clock, rng),
    )
    contact = Contact(own.node_id, own.host, own.gossip_port)
    contacts = make_contacts(
        log,
        contact,
        table.is_alone,
        directory.is_log_reader,
        gossip.add_contacts,
        rng,
    )
    return Cluster(table, gossip, state, reader, contacts, log), directory


def _reader_choice(
    directory: Directory, clock: Clock, rng: random.Random
) -> Callable[[], bool]:
    """Return whether to read now: always for a reader, rarely for others."""
    next_read_ms = clock.now_ms() + FALLBACK_READ_MS * rng.uniform(0.5, 1.0)

    def is_chosen() -> bool:
        nonlocal next_read_ms
        if directory.is_log_reader():
            return True
        if clock.now_ms() < next_read_ms:
            return False
        next_read_ms = clock.now_ms() + FALLBACK_READ_MS * rng.uniform(0.5, 1.0)
        return True

    return is_chosen
