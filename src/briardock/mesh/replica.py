"""Replicated state of one node: node records, configuration and crash suspects.

The merge rules do not depend on the order or the source of what arrives, so that the
store and any number of peers may bring the same news.
"""

import hashlib
from collections.abc import Callable
from dataclasses import replace
from typing import NamedTuple

from briardock.clock import SystemClock
from briardock.mesh.crashes import CrashSuspects
from briardock.mesh.decisions import DecisionLog
from briardock.mesh.dialect import Dialect, Undecodable
from briardock.mesh.members import MemberTable, NodeRecord
from briardock.mesh.model import RoutingConfig
from briardock.quarantine import QuarantineEntry


class ConfigId(NamedTuple):
    """Names the content of a configuration; the highest id is in force.

    The version decides. If a restore of the store lost a version that nodes have, and
    the operator wrote other content under the same version, the era decides: the later
    one is what the operator wrote last. The digest lets all nodes agree otherwise.

    :param version: version given by the operator, -1 for none
    :param era: latest era of the store in which it is known to have been read
    :param digest: digest of the document
    """

    version: int = -1
    era: int = 0
    digest: str = ""

    def has_content_of(self, other: "ConfigId") -> bool:
        """Return whether both name the same content."""
        return (self.version, self.digest) == (other.version, other.digest)


class Replica:
    """Replicated state and its merge rules.

    ``on_record`` is called with each newer record of another node, ``on_config`` with
    the source of a newer configuration, ``on_local_record`` after a merge changed the
    record of this node, ``on_suspects`` with entries that this node added, and
    ``on_store_era`` with the source of a later era of the store.

    :param members: records of all nodes
    :param dialect: decodes the configuration
    :param log: decision log
    :param install: puts a newer configuration into force
    :param on_joined: called with the id of a node that is new or has restarted
    :param on_previous_record: called with the newest record that an earlier process of
        this node published
    """

    def __init__(
        self,
        members: MemberTable,
        dialect: Dialect,
        log: DecisionLog,
        install: Callable[[RoutingConfig], None],
        on_joined: Callable[[str], None],
        on_previous_record: Callable[[NodeRecord], None],
    ) -> None:
        self.config: RoutingConfig | None = None
        self.config_id = ConfigId()
        self.members = members
        self.on_record: Callable[[NodeRecord], None] = lambda record: None
        self.on_config: Callable[[str], None] = lambda source: None
        self.on_local_record: Callable[[], None] = lambda: None
        self.on_suspects: Callable[[list[QuarantineEntry]], None] = lambda added: None
        self.on_store_era: Callable[[str], None] = lambda source: None
        # Highest era of the store that is known, 0 for none.
        self.store_era = 0
        self._local_incarnations = {members.local_record.incarnation_ms}
        self._previous_record: NodeRecord | None = None
        self._dialect = dialect
        self._log = log
        self._install = install
        self._on_joined = on_joined
        self._on_previous_record = on_previous_record
        self.crash_suspects = CrashSuspects(SystemClock(), self._suspects_changed)
        self.quarantine = self.crash_suspects.quarantine

    @property
    def has_accounts(self) -> bool:
        """Whether the configuration in force has accounts."""
        return self.config is not None and self.config.has_accounts

    @property
    def config_version(self) -> int:
        """Version in force, -1 for none."""
        return self.config_id.version

    def _suspects_changed(self, suspects: list[QuarantineEntry]) -> None:
        cleared_count = sum(
            all(death.cleared for death in entry.deaths) for entry in suspects
        )
        if cleared_count:
            self._log.event("suspects-cleared", count=cleared_count)
        if cleared_count < len(suspects):
            count = len(suspects) - cleared_count
            self._log.event("requests-suspected", count=count)
        self.on_suspects(suspects)

    def merge_record(self, record: NodeRecord) -> NodeRecord | None:
        """Merge a record from the store or a peer.

        :param record: record of any node
        :return: the record that it replaces, if an earlier process of the node
            published that; the node itself may not know it
        """
        if record.node_id == self.members.local_record.node_id:
            self._merge_local_record(record)
            return None
        known = self.members.get(record.node_id)
        if not self.members.merge(record):
            return None
        has_restarted = known is None or known.incarnation_ms < record.incarnation_ms
        if has_restarted:
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
        self.on_record(record)
        return known if has_restarted else None

    def _merge_local_record(self, record: NodeRecord) -> None:
        local_record = self.members.local_record
        self._local_incarnations.add(local_record.incarnation_ms)
        is_newer = (
            self._previous_record is None or self._previous_record.order < record.order
        )
        if record.incarnation_ms not in self._local_incarnations and is_newer:
            self._previous_record = record
            self._on_previous_record(record)
        self.members.merge(record)
        if self.members.local_record is not local_record:
            self.on_local_record()

    def observe_era(self, era: int, source: str) -> None:
        """Keep an era of the store if it is later than the one known.

        :param era: era in a response of the store or a message of a peer, 0 for none
        :param source: ``store`` or ``peer``
        """
        if era <= self.store_era:
            return
        self._log.event("era-changed", source=source, era=era, before=self.store_era)
        self.store_era = era
        self.on_store_era(source)

    def has_newer_config(self, other: ConfigId) -> bool:
        """Return whether a node has to replace its configuration by the one in force.

        A node of the release that sends no digest goes by the version only.

        :param other: configuration of that node
        """
        if not other.digest:
            return self.config_id.version > other.version
        return self.config_id > other and not self.config_id.has_content_of(other)

    def confirm_config(self, other: ConfigId) -> None:
        """Keep the later era if a node has the content in force from a later one.

        :param other: configuration of that node
        """
        if self.config_id.has_content_of(other):
            self.config_id = max(self.config_id, other)

    def apply_document(self, document: bytes, source: str, era: int) -> None:
        """Put a configuration into force if it is newer.

        :param document: encoded configuration
        :param source: ``store`` or ``peer``
        :param era: era of the store in which it was read, 0 if it is not known
        """
        if self.config is not None and document == self.config.document:
            self.confirm_config(self.config_id._replace(era=era))
            return
        config = self._dialect.decode_config(document)
        if isinstance(config, Undecodable):
            self._log.event("config-undecodable", source=source, reason=config.reason)
            return
        digest = hashlib.blake2b(document, digest_size=8).hexdigest()
        config_id = ConfigId(config.version, era, digest)
        if config_id <= self.config_id:
            return
        self._log.event(
            "config-installed",
            source=source,
            version=config.version,
            before=self.config_version,
            routes=len(config.routes),
        )
        # The keys of accounts are not kept beyond the document.
        self.config, self.config_id = replace(config, accounts=()), config_id
        self._install(config)
        self.on_config(source)
