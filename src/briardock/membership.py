"""Member table: merge rule, suspicion, timeouts and selection of probe targets."""

import math
import random
from collections.abc import Iterable
from typing import Any

import msgspec

from briardock.clock import Clock
from briardock.member_records import (
    DETECTED_STATES,
    MemberRecord,
    MemberState,
    bucket_of,
    is_newer,
    with_interned_strings,
    with_state,
)
from briardock.membership_digest import TableDigest
from briardock.membership_ring import ProbeRing
from briardock.membership_settings import MembershipSettings
from briardock.membership_usable import UsableIndex

__all__ = [
    "MemberRecord",
    "MemberState",
    "MemberTable",
    "MembershipSettings",
    "make_member_table",
]


# While members recover, one probe in this many goes to an unreachable member.
RECOVERY_UNREACHABLE_EVERY = 2


class MemberTable:
    """Records of all known members, with the rules that change their state.

    :param local_record: record of this node
    :param clock: time source
    :param rng: random source
    :param settings: limits
    """

    def __init__(
        self,
        local_record: MemberRecord,
        clock: Clock,
        rng: random.Random,
        settings: MembershipSettings,
    ) -> None:
        self.revision = 0
        self.superseded_by: int | None = None
        self._local_record = local_record
        self._clock = clock
        self._rng = rng
        self._settings = settings
        self._records: dict[str, MemberRecord] = {}
        self._state_since_ms: dict[str, float] = {}
        self._removed_versions: dict[str, tuple[int, int, float]] = {}
        self.digest = TableDigest()
        self._ring = ProbeRing(rng, self.is_reachable)
        self._probe_count = 0
        self._last_recovery_ms = -math.inf
        self._usable = UsableIndex(self._records)
        self._last_expire_ms = clock.now_ms()
        self._store(local_record, None)

    @property
    def local_record(self) -> MemberRecord:
        """Record of this node."""
        return self._local_record

    def __len__(self) -> int:
        return len(self._records)

    def get(self, node_id: str) -> MemberRecord | None:
        """Return the record of a node, if known."""
        return self._records.get(node_id)

    def records(self) -> list[MemberRecord]:
        """Return all records, tombstones included."""
        return list(self._records.values())

    def merge(self, records: Iterable[MemberRecord]) -> list[MemberRecord]:
        """Store the records that are newer than the known ones.

        :param records: received records
        :returns: records that changed, including the local one if this node had to
            refute a suspicion
        """
        changed = []
        for record in records:
            stored = self._merge_record(record)
            if stored is not None:
                changed.append(stored)
        return changed

    def update_local(self, **changes: Any) -> MemberRecord:
        """Change fields of the local record and increment its version.

        :param changes: new values by field name
        :returns: the new local record
        """
        version = self._local_record.version + 1
        local_record = msgspec.structs.replace(
            self._local_record, version=version, **changes
        )
        return self._set_local(local_record)

    def suspect(self, node_id: str) -> list[MemberRecord]:
        """Mark a member suspect after a failed probe.

        A leaving member keeps its state; only its timeout starts.

        :returns: changed records
        """
        known = self._records.get(node_id)
        if known is None or node_id == self._local_record.node_id:
            return []
        if known.state is MemberState.LEAVING:
            self._state_since_ms.setdefault(node_id, self._clock.now_ms())
            return []
        if known.state is not MemberState.ALIVE:
            return []
        return self.merge([with_state(known, MemberState.SUSPECT)])

    def on_response(self, node_id: str) -> None:
        """Cancel the timeout of a leaving member that still responds."""
        known = self._records.get(node_id)
        if known is not None and known.state is MemberState.LEAVING:
            self._state_since_ms.pop(node_id, None)

    def expire(self) -> list[MemberRecord]:
        """Apply the timeouts; to be called about once per probe period.

        :returns: changed records
        """
        now_ms = self._clock.now_ms()
        self._extend_after_pause(now_ms)
        changed: list[MemberRecord] = []
        for node_id, since_ms in list(self._state_since_ms.items()):
            changed += self._expire_record(node_id, now_ms - since_ms)
        keep_ms = self._settings.tombstone_ms
        for node_id, (_, _, removed_ms) in list(self._removed_versions.items()):
            if now_ms - removed_ms >= keep_ms:
                del self._removed_versions[node_id]
        return changed

    def expire_grace(self) -> list[MemberRecord]:
        """End elapsed grace periods and return their members, no longer usable."""
        ended = self._usable.expire_grace(self._clock.now_ms())
        self.revision += len(ended)
        return ended

    def suspicion_ms(self) -> float:
        """Return the current suspicion timeout in ms."""
        settings = self._settings
        doublings = math.log2(len(self._records) + 1)
        periods = max(
            settings.min_suspicion_periods, settings.suspicion_factor * doublings
        )
        return periods * settings.period_ms

    def usable(self, service: str) -> list[MemberRecord]:
        """Return the members that may receive new calls of a service.

        A member that others found unreachable stays usable for the time that its
        suspicion would have lasted here; ``expire_grace`` ends that time. The list
        is shared and must not be modified.

        :param service: name of the service
        """
        return self._usable.get(service)

    def is_reachable(self, node_id: str) -> bool:
        """Return whether a member is alive, suspect or leaving."""
        record = self._records.get(node_id)
        return record is not None and record.state < MemberState.UNREACHABLE

    def is_alone(self) -> bool:
        """Return whether no other member is reachable."""
        return not self.sample(1)

    def sample(self, count: int, exclude: Iterable[str] = ()) -> list[MemberRecord]:
        """Return distinct random reachable members other than this node.

        :param count: largest number of members
        :param exclude: node ids to leave out
        """
        excluded = {self._local_record.node_id, *exclude}
        return [self._records[i] for i in self._ring.sample(count, excluded)]

    def next_probe_target(self) -> MemberRecord | None:
        """Return the member to probe in this period, if there is any.

        Reachable members are probed in shuffled rounds; at intervals an unreachable
        member is probed instead.
        """
        self._probe_count += 1
        if self._probe_count % self._unreachable_every() == 0:
            return self._pick_unreachable() or self._next_reachable()
        return self._next_reachable() or self._pick_unreachable()

    def records_in(self, buckets: set[int]) -> list[MemberRecord]:
        """Return the shared records of some buckets."""
        unshared = self.digest.unshared
        return [
            record
            for node_id, record in self._records.items()
            if bucket_of(node_id) in buckets and node_id not in unshared
        ]

    def _merge_record(self, record: MemberRecord) -> MemberRecord | None:
        if record.node_id == self._local_record.node_id:
            return self._merge_local(record)
        known = self._records.get(record.node_id)
        if known is None:
            full = len(self._records) >= self._settings.max_members
            if full or self._was_removed(record):
                return None
        elif not is_newer(record, known):
            return None
        stored = with_interned_strings(record, known)
        self._store(stored, known)
        if known is not None and known.state is MemberState.UNREACHABLE:
            self._last_recovery_ms = self._clock.now_ms()
        return stored

    def _merge_local(self, record: MemberRecord) -> MemberRecord | None:
        local_record = self._local_record
        if record.incarnation > local_record.incarnation:
            self.superseded_by = max(self.superseded_by or 0, record.incarnation)
            return None
        if not is_newer(record, local_record):
            return None
        version = max(record.version, local_record.version) + 1
        return self._set_local(msgspec.structs.replace(local_record, version=version))

    def _set_local(self, local_record: MemberRecord) -> MemberRecord:
        known = self._local_record
        self._local_record = local_record
        self._store(local_record, known)
        return local_record

    def _store(self, record: MemberRecord, known: MemberRecord | None) -> None:
        node_id = record.node_id
        self.digest.replace(record, known)
        self._records[node_id] = record
        self.revision += 1
        self._usable.on_change(record, known)
        self._track_state_time(record, known)
        if node_id != self._local_record.node_id and (
            known is None or known.state is MemberState.LEFT
        ):
            self._ring.add(node_id)

    def _track_state_time(
        self, record: MemberRecord, known: MemberRecord | None
    ) -> None:
        """Record when a state began; suspect and then unreachable count as one."""
        node_id = record.node_id
        if node_id == self._local_record.node_id:
            return
        now_ms = self._clock.now_ms()
        if record.state in (MemberState.ALIVE, MemberState.LEAVING):
            self._state_since_ms.pop(node_id, None)
        elif known is None or not _ends_suspicion(record, known):
            self._state_since_ms[node_id] = now_ms
        if record.state is MemberState.UNREACHABLE and known is not None:
            until_ms = self._state_since_ms[node_id] + self.suspicion_ms()
            if until_ms > now_ms:
                self._usable.start_grace(record, until_ms)

    def _extend_after_pause(self, now_ms: float) -> None:
        """Extend running timeouts by the time for which this process was paused."""
        pause_ms = now_ms - self._last_expire_ms - 2 * self._settings.period_ms
        self._last_expire_ms = now_ms
        if pause_ms <= 0:
            return
        for node_id in self._state_since_ms:
            if self.is_reachable(node_id):
                self._state_since_ms[node_id] += pause_ms

    def _expire_record(self, node_id: str, age_ms: float) -> list[MemberRecord]:
        record = self._records[node_id]
        if record.state >= MemberState.UNREACHABLE:
            self._limit_sharing(record, age_ms)
        match record.state:
            case MemberState.SUSPECT if age_ms >= self.suspicion_ms():
                return self.merge([with_state(record, MemberState.UNREACHABLE)])
            case MemberState.LEAVING if age_ms >= self.suspicion_ms():
                return self.merge([with_state(record, MemberState.LEFT)])
            case MemberState.UNREACHABLE:
                if age_ms >= self._settings.unreachable_keep_ms:
                    self._remove(record)
            case MemberState.LEFT:
                if age_ms >= self._settings.tombstone_ms:
                    self._remove(record)
        return []

    def _limit_sharing(self, record: MemberRecord, age_ms: float) -> None:
        if record.node_id in self.digest.unshared:
            return
        if age_ms >= self._settings.share_ms:
            self.digest.stop_sharing(record)

    def _remove(self, record: MemberRecord) -> None:
        """Remove a record; members that still have this version cannot restore it."""
        node_id = record.node_id
        self.digest.replace(None, record)
        del self._records[node_id]
        del self._state_since_ms[node_id]
        self.revision += 1
        self._usable.on_change(record, None)
        self._removed_versions[node_id] = (
            record.incarnation,
            record.version,
            self._clock.now_ms(),
        )

    def _was_removed(self, record: MemberRecord) -> bool:
        entry = self._removed_versions.get(record.node_id)
        if entry is None:
            return False
        if (record.incarnation, record.version) <= entry[:2]:
            return True
        del self._removed_versions[record.node_id]
        return False

    def _next_reachable(self) -> MemberRecord | None:
        node_id = self._ring.next_id(self._probe_candidates)
        return None if node_id is None else self._records[node_id]

    def _probe_candidates(self) -> list[str]:
        local_id = self._local_record.node_id
        left = MemberState.LEFT
        return [
            i for i, r in self._records.items() if i != local_id and r.state is not left
        ]

    def _unreachable_every(self) -> int:
        """Probe unreachable members more often after one of them has recovered."""
        settings = self._settings
        recovery_ms = settings.recovery_periods * settings.period_ms
        recovering = self._clock.now_ms() - self._last_recovery_ms < recovery_ms
        return RECOVERY_UNREACHABLE_EVERY if recovering else settings.unreachable_every

    def _pick_unreachable(self) -> MemberRecord | None:
        unreachable_ids = [
            node_id
            for node_id in self._state_since_ms
            if self._records[node_id].state is MemberState.UNREACHABLE
        ]
        return (
            self._records[self._rng.choice(unreachable_ids)]
            if unreachable_ids
            else None
        )


def _ends_suspicion(record: MemberRecord, known: MemberRecord) -> bool:
    """Return whether a record only turns a suspect member unreachable."""
    return (
        record.state is MemberState.UNREACHABLE
        and known.state in DETECTED_STATES
        and record.incarnation == known.incarnation
        and record.version == known.version
    )


def make_member_table(
    local_record: MemberRecord,
    clock: Clock,
    rng: random.Random,
    settings: MembershipSettings,
) -> MemberTable:
    """Return a table that contains only this node.

    :param local_record: record of this node
    :param clock: time source
    :param rng: random source
    :param settings: limits
    """
    return MemberTable(local_record, clock, rng, settings)
