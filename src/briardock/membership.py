"""Table of members: merge rule, suspicion, timeouts and probe targets."""

import math
import random
from collections.abc import Iterable
from typing import Any

import msgspec

from briardock.clock import Clock
from briardock.member_records import (
    VERDICTS,
    MemberRecord,
    MemberState,
    bucket_of,
    interned,
    is_newer,
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


HURRIED_EVERY = 2


class MemberTable:
    """All known members, with the rules that change their state.

    :param own: record of this node
    :param clock: time source
    :param rng: random source
    :param settings: limits
    """

    def __init__(
        self,
        own: MemberRecord,
        clock: Clock,
        rng: random.Random,
        settings: MembershipSettings,
    ) -> None:
        self.revision = 0
        self.superseded_by: int | None = None
        self._own = own
        self._clock = clock
        self._rng = rng
        self._settings = settings
        self._records: dict[str, MemberRecord] = {}
        self._since: dict[str, float] = {}
        self._forgotten: dict[str, tuple[int, int, float]] = {}
        self.digest = TableDigest()
        self._ring = ProbeRing(rng, self.is_reachable)
        self._probe_count = 0
        self._returned_ms = -math.inf
        self._usable = UsableIndex(self._records)
        self._last_expire_ms = clock.now_ms()
        self._store(own, None)

    @property
    def own(self) -> MemberRecord:
        """Record of this node."""
        return self._own

    def __len__(self) -> int:
        return len(self._records)

    def get(self, node_id: str) -> MemberRecord | None:
        """Return the record of a node, if known."""
        return self._records.get(node_id)

    def records(self) -> list[MemberRecord]:
        """Return all records, tombstones included."""
        return list(self._records.values())

    def merge(self, records: Iterable[MemberRecord]) -> list[MemberRecord]:
        """Take over records that are newer than the known ones.

        :param records: received records
        :returns: records that changed, the own one included if it was refuted
        """
        changed = []
        for record in records:
            kept = self._merge_one(record)
            if kept is not None:
                changed.append(kept)
        return changed

    def update_own(self, **changes: Any) -> MemberRecord:
        """Change fields of the own record and raise its version.

        :param changes: new values by field name
        :returns: the new own record
        """
        version = self._own.version + 1
        own = msgspec.structs.replace(self._own, version=version, **changes)
        return self._set_own(own)

    def suspect(self, node_id: str) -> list[MemberRecord]:
        """Note that a member failed a probe.

        A leaving member keeps its state; its suspicion only runs the timeout.

        :returns: changed records
        """
        known = self._records.get(node_id)
        if known is None or node_id == self._own.node_id:
            return []
        if known.state is MemberState.LEAVING:
            self._since.setdefault(node_id, self._clock.now_ms())
            return []
        if known.state is not MemberState.ALIVE:
            return []
        return self.merge([with_state(known, MemberState.SUSPECT)])

    def heard_from(self, node_id: str) -> None:
        """Note that a leaving member still answers."""
        known = self._records.get(node_id)
        if known is not None and known.state is MemberState.LEAVING:
            self._since.pop(node_id, None)

    def expire(self) -> list[MemberRecord]:
        """Apply the timeouts; call it about once per probe period.

        :returns: changed records
        """
        now_ms = self._clock.now_ms()
        self._excuse_pause(now_ms)
        changed: list[MemberRecord] = []
        for node_id, since_ms in list(self._since.items()):
            changed += self._expire_one(node_id, now_ms - since_ms)
        keep_ms = self._settings.tombstone_ms
        for node_id, (_, _, at_ms) in list(self._forgotten.items()):
            if now_ms - at_ms >= keep_ms:
                del self._forgotten[node_id]
        return changed

    def end_grace(self) -> list[MemberRecord]:
        """Return the unreachable members that were usable until now."""
        ended = self._usable.end_grace(self._clock.now_ms())
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
        """Return the members that may get new calls of a service.

        A member found unreachable by others stays usable until its suspicion
        would have run out here; ``end_grace`` ends it. The list is shared; do not
        change it.

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
        """Return up to a number of random reachable members, never the own one.

        :param count: how many
        :param exclude: node ids to leave out
        """
        passed = {self._own.node_id, *exclude}
        return [self._records[i] for i in self._ring.sample(count, passed)]

    def next_probe_target(self) -> MemberRecord | None:
        """Return the member to probe in this period, if there is any.

        Reachable members come in shuffled rounds; now and then an unreachable
        one comes instead.
        """
        self._probe_count += 1
        if self._probe_count % self._unreachable_every() == 0:
            return self._pick_unreachable() or self._next_reachable()
        return self._next_reachable() or self._pick_unreachable()

    def records_in(self, buckets: set[int]) -> list[MemberRecord]:
        """Return the records of some buckets that may be handed on."""
        unshared = self.digest.unshared
        return [
            record
            for node_id, record in self._records.items()
            if bucket_of(node_id) in buckets and node_id not in unshared
        ]

    def _merge_one(self, record: MemberRecord) -> MemberRecord | None:
        if record.node_id == self._own.node_id:
            return self._merge_own(record)
        known = self._records.get(record.node_id)
        if known is None:
            full = len(self._records) >= self._settings.max_members
            if full or self._is_forgotten(record):
                return None
        elif not is_newer(record, known):
            return None
        kept = interned(record, known)
        self._store(kept, known)
        if known is not None and known.state is MemberState.UNREACHABLE:
            self._returned_ms = self._clock.now_ms()
        return kept

    def _merge_own(self, record: MemberRecord) -> MemberRecord | None:
        own = self._own
        if record.incarnation > own.incarnation:
            self.superseded_by = max(self.superseded_by or 0, record.incarnation)
            return None
        if not is_newer(record, own):
            return None
        version = max(record.version, own.version) + 1
        return self._set_own(msgspec.structs.replace(own, version=version))

    def _set_own(self, own: MemberRecord) -> MemberRecord:
        known = self._own
        self._own = own
        self._store(own, known)
        return own

    def _store(self, record: MemberRecord, known: MemberRecord | None) -> None:
        node_id = record.node_id
        self.digest.replace(record, known)
        self._records[node_id] = record
        self.revision += 1
        self._usable.changed(record, known)
        self._note_time(record, known)
        if node_id != self._own.node_id and (
            known is None or known.state is MemberState.LEFT
        ):
            self._ring.add(node_id)

    def _note_time(self, record: MemberRecord, known: MemberRecord | None) -> None:
        """Keep the start of a suspicion through the verdict that ends it."""
        node_id = record.node_id
        if node_id == self._own.node_id:
            return
        now_ms = self._clock.now_ms()
        if record.state in (MemberState.ALIVE, MemberState.LEAVING):
            self._since.pop(node_id, None)
        elif known is None or not _ends_suspicion(record, known):
            self._since[node_id] = now_ms
        if record.state is MemberState.UNREACHABLE and known is not None:
            until_ms = self._since[node_id] + self.suspicion_ms()
            if until_ms > now_ms:
                self._usable.give_grace(record, until_ms)

    def _excuse_pause(self, now_ms: float) -> None:
        """Extend running suspicions after this process was paused."""
        pause_ms = now_ms - self._last_expire_ms - 2 * self._settings.period_ms
        self._last_expire_ms = now_ms
        if pause_ms <= 0:
            return
        for node_id in self._since:
            if self.is_reachable(node_id):
                self._since[node_id] += pause_ms

    def _expire_one(self, node_id: str, age_ms: float) -> list[MemberRecord]:
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
                    self._forget(record)
            case MemberState.LEFT:
                if age_ms >= self._settings.tombstone_ms:
                    self._forget(record)
        return []

    def _limit_sharing(self, record: MemberRecord, age_ms: float) -> None:
        if record.node_id in self.digest.unshared:
            return
        if age_ms >= self._settings.share_ms:
            self.digest.stop_sharing(record)

    def _forget(self, record: MemberRecord) -> None:
        """Drop a record and refuse the same version from slower members."""
        node_id = record.node_id
        self.digest.replace(None, record)
        del self._records[node_id]
        del self._since[node_id]
        self.revision += 1
        self._usable.changed(record, None)
        self._forgotten[node_id] = (
            record.incarnation,
            record.version,
            self._clock.now_ms(),
        )

    def _is_forgotten(self, record: MemberRecord) -> bool:
        entry = self._forgotten.get(record.node_id)
        if entry is None:
            return False
        if (record.incarnation, record.version) <= entry[:2]:
            return True
        del self._forgotten[record.node_id]
        return False

    def _next_reachable(self) -> MemberRecord | None:
        node_id = self._ring.next_id(self._probed_ids)
        return None if node_id is None else self._records[node_id]

    def _probed_ids(self) -> list[str]:
        own_id = self._own.node_id
        left = MemberState.LEFT
        return [
            i for i, r in self._records.items() if i != own_id and r.state is not left
        ]

    def _unreachable_every(self) -> int:
        """Probe unreachable members more often once one of them returned."""
        settings = self._settings
        hurry_ms = settings.hurry_periods * settings.period_ms
        hurried = self._clock.now_ms() - self._returned_ms < hurry_ms
        return HURRIED_EVERY if hurried else settings.unreachable_every

    def _pick_unreachable(self) -> MemberRecord | None:
        found = [
            node_id
            for node_id in self._since
            if self._records[node_id].state is MemberState.UNREACHABLE
        ]
        return self._records[self._rng.choice(found)] if found else None


def _ends_suspicion(record: MemberRecord, known: MemberRecord) -> bool:
    """Return whether a record only turns a suspicion into a verdict."""
    return (
        record.state is MemberState.UNREACHABLE
        and known.state in VERDICTS
        and record.incarnation == known.incarnation
        and record.version == known.version
    )


def make_member_table(
    own: MemberRecord,
    clock: Clock,
    rng: random.Random,
    settings: MembershipSettings,
) -> MemberTable:
    """Return a table that knows only this node.

    :param own: record of this node
    :param clock: time source
    :param rng: random source
    :param settings: limits
    """
    return MemberTable(own, clock, rng, settings)
