"""Member records, their merge rule, suspicion and the choice of probe targets.

Records of one node are ordered by (incarnation, version, state rank). Only the
node itself raises its version; others may only raise the state rank of a known
version. Merging keeps the greatest record, so tables converge in any order.
"""

import enum
import math
import random
import sys
from array import array
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated, Any
from zlib import crc32

import msgspec

from briardock.clock import Clock

BUCKET_COUNT = 256
SAMPLE_TRIES = 8

ShortText = Annotated[str, msgspec.Meta(max_length=128)]
NodeId = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Counter = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]


class MemberState(enum.IntEnum):
    """State of a member; the value is its rank between equal versions."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    UNREACHABLE = 3
    LEFT = 4


VERDICTS = (MemberState.SUSPECT, MemberState.UNREACHABLE)


class MemberRecord(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What is known of one node.

    :param node_id: name of the node
    :param incarnation: process incarnation; a later start has a higher one
    :param version: raised by the node itself with each change
    :param service: service of its target, empty for none
    :param failure_domain: failure domain of the node
    :param region: region of the node
    :param host: numeric address
    :param call_port: TCP port of the call link
    :param gossip_port: TCP port of the gossip socket
    :param target_instance: instance id of its target, empty for none
    :param state: state of the member
    """

    node_id: NodeId
    incarnation: Counter
    version: Counter
    service: ShortText
    failure_domain: ShortText
    region: ShortText
    host: ShortText
    call_port: Port
    gossip_port: Port
    target_instance: ShortText
    state: MemberState = MemberState.ALIVE


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Limits of a member table.

    :param suspicion_factor: suspicion lasts this many periods per doubling of
        the number of members, so that a refutation can spread in time
    :param min_suspicion_periods: shortest suspicion in probe periods
    :param period_ms: probe period
    :param unreachable_every: one probe in this many goes to an unreachable
        member; together the nodes then notice a healed partition in seconds
    :param unreachable_keep_ms: unreachable members are probed for this long
    :param tombstone_ms: left members are remembered for this long
    """

    suspicion_factor: float = 1.2
    min_suspicion_periods: float = 3.0
    period_ms: float = 1_000.0
    unreachable_every: int = 5
    unreachable_keep_ms: float = 3 * 3_600_000.0
    tombstone_ms: float = 3_600_000.0


def order_key(record: MemberRecord) -> tuple[Any, ...]:
    """Return the total order of records of one node.

    The remaining fields only break ties between records that no correct node
    issues, so that merging stays independent of order even then.
    """
    return (
        record.incarnation,
        record.version,
        record.state,
        msgspec.structs.astuple(record),
    )


def is_newer(record: MemberRecord, known: MemberRecord) -> bool:
    """Return whether a record replaces a known one of the same node."""
    if record.incarnation != known.incarnation:
        return record.incarnation > known.incarnation
    if record.version != known.version:
        return record.version > known.version
    return record != known and order_key(record) > order_key(known)


def declared(record: MemberRecord) -> MemberRecord:
    """Return a record as its node declares it, without verdicts of others."""
    if record.state in VERDICTS:
        return _with_state(record, MemberState.ALIVE)
    return record


def bucket_of(node_id: str) -> int:
    """Return the bucket of a node for comparing tables."""
    return crc32(node_id.encode()) % BUCKET_COUNT


def _record_digest(record: MemberRecord) -> int:
    """Return the digest of what the node says of itself; verdicts are left out."""
    if record.state is MemberState.LEFT:
        return 0
    leaving = record.state is MemberState.LEAVING
    text = f"{record.node_id}|{record.incarnation}|{record.version}|{leaving}"
    return crc32(text.encode())


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
        self._digests = array("I", [0] * BUCKET_COUNT)
        self._digest = 0
        self._ring: list[str] = []
        self._ring_index = 0
        self._probe_count = 0
        self._usable: dict[str, list[MemberRecord]] = {}
        self._usable_until_ms = math.inf
        self._last_expire_ms = clock.now_ms()
        self._store(own, None)

    @property
    def own(self) -> MemberRecord:
        """Record of this node."""
        return self._own

    @property
    def digest(self) -> int:
        """Digest of the whole table, equal in tables that agree."""
        return self._digest

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
        return self.merge([_with_state(known, MemberState.SUSPECT)])

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
        would have run out here, so that outdated verdicts arriving after a
        partition cannot empty the list. The list is shared; do not change it.

        :param service: name of the service
        """
        if self._clock.now_ms() >= self._usable_until_ms:
            self._usable.clear()
            self._usable_until_ms = math.inf
        found = self._usable.get(service)
        if found is None:
            found = [r for r in self._records.values() if self._is_usable(r, service)]
            self._usable[service] = found
        return found

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
        ring = self._ring
        if len(ring) <= count * SAMPLE_TRIES:
            return self._sample_small(count, passed)
        found: list[MemberRecord] = []
        for _ in range(count * SAMPLE_TRIES):
            node_id = ring[self._rng.randrange(len(ring))]
            if node_id not in passed and self.is_reachable(node_id):
                passed.add(node_id)
                found.append(self._records[node_id])
                if len(found) == count:
                    return found
        return found + self._sample_small(count - len(found), passed)

    def next_probe_target(self) -> MemberRecord | None:
        """Return the member to probe in this period, if there is any.

        Reachable members come in shuffled rounds; now and then an unreachable
        one comes instead.
        """
        self._probe_count += 1
        if self._probe_count % self._settings.unreachable_every == 0:
            return self._pick_unreachable() or self._next_reachable()
        return self._next_reachable() or self._pick_unreachable()

    def bucket_digests(self) -> bytes:
        """Return the digests of all buckets, 4 bytes each, little-endian."""
        if sys.byteorder == "little":
            return self._digests.tobytes()
        swapped = array("I", self._digests)
        swapped.byteswap()
        return swapped.tobytes()

    def differing_buckets(self, digests: bytes) -> list[int]:
        """Return the buckets whose digest differs from that of another table.

        :param digests: bucket digests of the other table
        """
        own = self.bucket_digests()
        starts = range(0, BUCKET_COUNT * 4, 4)
        return [i // 4 for i in starts if own[i : i + 4] != digests[i : i + 4]]

    def records_in(self, buckets: set[int]) -> list[MemberRecord]:
        """Return the records of some buckets, tombstones included."""
        return [r for r in self._records.values() if bucket_of(r.node_id) in buckets]

    def _merge_one(self, record: MemberRecord) -> MemberRecord | None:
        if record.node_id == self._own.node_id:
            return self._merge_own(record)
        known = self._records.get(record.node_id)
        if known is None:
            if self._is_forgotten(record):
                return None
        elif not is_newer(record, known):
            return None
        kept = _interned(record, known)
        self._store(kept, known)
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
        change = _record_digest(record) ^ (_record_digest(known) if known else 0)
        self._digests[bucket_of(node_id)] ^= change
        self._digest ^= change
        self._records[node_id] = record
        self._note_time(record, known)
        self._touch(record, known)
        if node_id != self._own.node_id and (
            known is None or known.state is MemberState.LEFT
        ):
            self._add_to_ring(node_id)

    def _note_time(self, record: MemberRecord, known: MemberRecord | None) -> None:
        """Keep the start of a suspicion through the verdict that ends it."""
        if record.node_id == self._own.node_id:
            return
        same = known is not None and known.version == record.version
        match record.state:
            case MemberState.ALIVE | MemberState.LEAVING:
                self._since.pop(record.node_id, None)
            case MemberState.UNREACHABLE if same and known and known.state in VERDICTS:
                pass
            case _:
                self._since[record.node_id] = self._clock.now_ms()

    def _touch(self, record: MemberRecord, known: MemberRecord | None) -> None:
        self.revision += 1
        self._usable.pop(record.service, None)
        if known is not None:
            self._usable.pop(known.service, None)

    def _add_to_ring(self, node_id: str) -> None:
        """Insert at a random place so that probe order stays unpredictable."""
        ring = self._ring
        place = self._rng.randrange(len(ring) + 1)
        ring.append(node_id)
        ring[place], ring[-1] = ring[-1], ring[place]

    def _is_usable(self, record: MemberRecord, service: str) -> bool:
        if record.service != service or not record.target_instance:
            return False
        if record.state < MemberState.LEAVING:
            return True
        if record.state is not MemberState.UNREACHABLE:
            return False
        until_ms = self._since[record.node_id] + self.suspicion_ms()
        if self._clock.now_ms() >= until_ms:
            return False
        self._usable_until_ms = min(self._usable_until_ms, until_ms)
        return True

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
        match record.state:
            case MemberState.SUSPECT if age_ms >= self.suspicion_ms():
                return self.merge([_with_state(record, MemberState.UNREACHABLE)])
            case MemberState.LEAVING if age_ms >= self.suspicion_ms():
                return self.merge([_with_state(record, MemberState.LEFT)])
            case MemberState.UNREACHABLE:
                if age_ms >= self._settings.unreachable_keep_ms:
                    self._forget(record)
            case MemberState.LEFT:
                if age_ms >= self._settings.tombstone_ms:
                    self._forget(record)
        return []

    def _forget(self, record: MemberRecord) -> None:
        """Drop a record and refuse the same version from slower members."""
        node_id = record.node_id
        digest = _record_digest(record)
        self._digests[bucket_of(node_id)] ^= digest
        self._digest ^= digest
        del self._records[node_id]
        del self._since[node_id]
        self._touch(record, None)
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

    def _sample_small(self, count: int, passed: set[str]) -> list[MemberRecord]:
        ids = {i for i in self._ring if i not in passed and self.is_reachable(i)}
        chosen = self._rng.sample(sorted(ids), min(count, len(ids)))
        return [self._records[node_id] for node_id in chosen]

    def _next_reachable(self) -> MemberRecord | None:
        for _ in range(len(self._ring) + 1):
            if self._ring_index >= len(self._ring):
                self._start_round()
            if not self._ring:
                return None
            node_id = self._ring[self._ring_index]
            self._ring_index += 1
            if self.is_reachable(node_id):
                return self._records[node_id]
        return None

    def _start_round(self) -> None:
        own_id = self._own.node_id
        left = MemberState.LEFT
        self._ring = [
            i for i, r in self._records.items() if i != own_id and r.state is not left
        ]
        self._rng.shuffle(self._ring)
        self._ring_index = 0

    def _pick_unreachable(self) -> MemberRecord | None:
        found = [
            node_id
            for node_id in self._since
            if self._records[node_id].state is MemberState.UNREACHABLE
        ]
        return self._records[self._rng.choice(found)] if found else None


def _with_state(record: MemberRecord, state: MemberState) -> MemberRecord:
    return msgspec.structs.replace(record, state=state)


def _interned(record: MemberRecord, known: MemberRecord | None) -> MemberRecord:
    """Return the record with its repeated strings shared between records."""
    return msgspec.structs.replace(
        record,
        node_id=known.node_id if known else record.node_id,
        service=sys.intern(record.service),
        failure_domain=sys.intern(record.failure_domain),
        region=sys.intern(record.region),
        host=sys.intern(record.host),
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
