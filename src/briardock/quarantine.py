"""Fingerprints of requests whose targets died while running them.

When a target dies, every request in flight to it becomes suspected. A fingerprint
counts each death id once. A success clears the earlier deaths, unless there are
already enough of them to refuse the request. Deaths, clears and lifts are merged
as sets, so entries may arrive late, repeatedly and in any order. Messages carry
times as ages in ms, because nodes have no common clock.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Annotated, Any
from zlib import crc32

import msgspec

from briardock.clock import Clock

FINGERPRINT_BYTES = 16
MAX_DEATHS_PER_ENTRY = 16
# Deaths this close to their expiry are not accepted from other nodes. Transit time
# makes a death look younger, so two nodes could otherwise keep sending each other
# an expired death.
MIN_REMAINING_MS = 2_000.0

AgeMs = Annotated[float, msgspec.Meta(ge=0.0, le=1e10)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class Death(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One death of a target with the request in flight.

    :param death_id: id of the death, the same for all requests in flight
    :param age_ms: time since the death
    :param cleared: whether a later success or a lift cleared it
    """

    death_id: Name
    age_ms: AgeMs
    cleared: bool = False


class QuarantineEntry(msgspec.Struct, frozen=True, array_like=True):
    """Wire format of the deaths and the lift of one fingerprint.

    :param fingerprint: digest of operation, path and body
    :param deaths: deaths with the request in flight
    :param lift_age_ms: time since an operator lifted it, ``None`` if never
    """

    fingerprint: Name
    deaths: Annotated[list[Death], msgspec.Meta(max_length=64)]
    lift_age_ms: AgeMs | None = None


@dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """Limits of the quarantine.

    :param deaths: distinct deaths from which a request is refused
    :param expiry_s: lifetime of deaths and lifts in s
    :param max_entries: maximum number of fingerprints
    :param max_successes: maximum number of recent successes
    """

    deaths: int = 2
    expiry_s: float = 600.0
    max_entries: int = 1_000
    max_successes: int = 512


@dataclass(slots=True)
class _FingerprintState:
    """Deaths of one fingerprint as (time in ms, cleared) by death id."""

    deaths: dict[str, tuple[float, bool]] = field(default_factory=dict)
    lifted_ms: float | None = None

    def active_deaths(self) -> list[float]:
        """Return the times of the deaths that are neither cleared nor lifted."""
        lifted_ms = self.lifted_ms
        return [
            at_ms
            for at_ms, cleared in self.deaths.values()
            if not cleared and (lifted_ms is None or at_ms > lifted_ms)
        ]

    def last_event_ms(self) -> float:
        """Return the time of the last death or lift."""
        times = [at_ms for at_ms, _ in self.deaths.values()]
        if self.lifted_ms is not None:
            times.append(self.lifted_ms)
        return max(times, default=float("-inf"))


class Quarantine:
    """Bounded set of suspected and refused fingerprints.

    :param settings: limits
    :param clock: time source
    """

    def __init__(self, settings: QuarantineSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._expiry_ms = settings.expiry_s * 1_000.0
        self._entries: dict[str, _FingerprintState] = {}
        self._successes: OrderedDict[str, float] = OrderedDict()
        self._digest: int | None = None
        self._may_refuse: bool | None = None
        self._may_clear: bool | None = None

    def record_death(
        self, fingerprints: Iterable[str], death_id: str
    ) -> list[QuarantineEntry]:
        """Suspect the requests in flight at the death of a target.

        :param fingerprints: fingerprints of the requests in flight
        :param death_id: id of the death
        :returns: changed entries, to be gossiped
        """
        death = Death(death_id, 0.0)
        return self.merge([QuarantineEntry(name, [death]) for name in fingerprints])

    def record_success(self, fingerprint: str) -> list[QuarantineEntry]:
        """Clear a suspected request that completed; a refused one stays refused.

        The success is kept, because earlier deaths may arrive after it.

        :returns: changed entries, to be gossiped
        """
        now_ms = self._clock.now_ms()
        self._successes[fingerprint] = now_ms
        self._successes.move_to_end(fingerprint)
        if len(self._successes) > self._settings.max_successes:
            self._successes.popitem(last=False)
        entry = self._entries.get(fingerprint)
        if entry is None or not self._clear_before(entry, now_ms):
            return []
        self._invalidate_cached()
        return [self._to_wire(fingerprint, entry)]

    def _invalidate_cached(self) -> None:
        self._digest = None
        self._may_refuse = None
        self._may_clear = None

    def may_clear(self) -> bool:
        """Return whether a success may clear any fingerprint.

        The result is cached, as that of ``may_refuse``.
        """
        if self._may_clear is None:
            self._may_clear = any(
                0 < len(entry.active_deaths()) < self._settings.deaths
                for entry in self._entries.values()
            )
        return self._may_clear

    def may_refuse(self) -> bool:
        """Return whether any fingerprint may have to be refused.

        The result is cached, so callers can skip hashing requests cheaply.
        """
        if self._may_refuse is None:
            self._may_refuse = any(
                len(entry.active_deaths()) >= self._settings.deaths
                for entry in self._entries.values()
            )
        return self._may_refuse

    def refuses(self, fingerprint: str) -> bool:
        """Return whether a request must be refused."""
        entry = self._entries.get(fingerprint)
        if entry is None:
            return False
        if self._drop_expired(fingerprint, entry):
            return False
        return len(entry.active_deaths()) >= self._settings.deaths

    def lift(self, fingerprint: str) -> bool:
        """Clear all deaths of a fingerprint up to now.

        The caller gossips ``entries([fingerprint])`` afterwards. The lift overrides
        earlier deaths that arrive later.

        :returns: whether the fingerprint was suspected or refused
        """
        entry = self._entries.get(fingerprint)
        if entry is None or self._drop_expired(fingerprint, entry):
            return False
        had_active_deaths = bool(entry.active_deaths())
        for death_id, (at_ms, _) in entry.deaths.items():
            entry.deaths[death_id] = (at_ms, True)
        entry.lifted_ms = self._clock.now_ms()
        self._invalidate_cached()
        return had_active_deaths

    def entries(
        self, fingerprints: Iterable[str] | None = None
    ) -> list[QuarantineEntry]:
        """Return entries in wire format.

        :param fingerprints: fingerprints to return, ``None`` for all
        """
        names = list(self._entries) if fingerprints is None else fingerprints
        wire_entries = []
        for name in names:
            entry = self._entries.get(name)
            if entry is not None and not self._drop_expired(name, entry):
                wire_entries.append(self._to_wire(name, entry))
        return wire_entries

    def merge(self, entries: Iterable[QuarantineEntry]) -> list[QuarantineEntry]:
        """Merge entries of another node.

        :returns: changed entries that were kept, to be gossiped
        """
        changed = []
        for received in entries:
            if self._merge_entry(received):
                changed.append(received.fingerprint)
        if changed:
            self._invalidate_cached()
            self._evict()
        return self.entries(changed)

    def digest(self) -> int:
        """Return a digest of the entries, excluding their times."""
        for name, entry in list(self._entries.items()):
            self._drop_expired(name, entry)
        if self._digest is None:
            self._digest = self._compute_digest()
        return self._digest

    def state(self) -> dict[str, Any]:
        """Return the entries for a diagnostic dump."""
        shown = [
            {
                "fingerprint": wire.fingerprint,
                "refused": self.refuses(wire.fingerprint),
                "lifted": wire.lift_age_ms is not None,
                "deaths": [msgspec.to_builtins(death) for death in wire.deaths],
            }
            for wire in self.entries()
        ]
        return {"entries": shown, "recent_successes": len(self._successes)}

    def _compute_digest(self) -> int:
        value = 0
        for name, entry in self._entries.items():
            for death_id, (_, cleared) in entry.deaths.items():
                value ^= crc32(f"{name}|{death_id}|{cleared}".encode())
        return value

    def _merge_entry(self, received: QuarantineEntry) -> bool:
        now_ms = self._clock.now_ms()
        name = received.fingerprint
        entry = self._entries.get(name)
        if entry is not None and self._drop_expired(name, entry):
            entry = None
        merged = entry or _FingerprintState()
        changed = self._merge_lift(merged, received.lift_age_ms, now_ms)
        for death in received.deaths:
            changed |= self._merge_death(merged, death, now_ms)
        success_ms = self._successes.get(name)
        if success_ms is not None:
            changed |= self._clear_before(merged, success_ms)
        if entry is None and changed:
            self._entries[name] = merged
        return changed

    def _merge_lift(
        self, entry: _FingerprintState, age_ms: float | None, now_ms: float
    ) -> bool:
        if age_ms is None or age_ms > self._expiry_ms - MIN_REMAINING_MS:
            return False
        known_ms = entry.lifted_ms
        at_ms = now_ms - age_ms
        if known_ms is not None and at_ms <= known_ms:
            return False
        entry.lifted_ms = at_ms
        # Copies of one lift differ by their transit times. Reporting that as a
        # change would gossip the lift forever.
        return known_ms is None or at_ms - known_ms > MIN_REMAINING_MS

    def _merge_death(
        self, entry: _FingerprintState, death: Death, now_ms: float
    ) -> bool:
        at_ms = now_ms - death.age_ms
        known = entry.deaths.get(death.death_id)
        if known is None:
            if death.age_ms > self._expiry_ms - MIN_REMAINING_MS:
                return False
            entry.deaths[death.death_id] = (at_ms, death.cleared)
            _trim_deaths(entry)
            return death.death_id in entry.deaths
        # Transit time makes a death look younger, so the earliest time is the most
        # accurate.
        cleared = known[1] or death.cleared
        entry.deaths[death.death_id] = (min(known[0], at_ms), cleared)
        return cleared != known[1]

    def _clear_before(self, entry: _FingerprintState, success_ms: float) -> bool:
        """Clear the deaths before a success, unless the request is refused by them."""
        earlier = [
            death_id
            for death_id, (at_ms, cleared) in entry.deaths.items()
            if not cleared and at_ms <= success_ms
        ]
        if not earlier or len(earlier) >= self._settings.deaths:
            return False
        for death_id in earlier:
            entry.deaths[death_id] = (entry.deaths[death_id][0], True)
        return True

    def _drop_expired(self, name: str, entry: _FingerprintState) -> bool:
        """Drop expired deaths; return whether the whole entry was dropped."""
        oldest_ms = self._clock.now_ms() - self._expiry_ms
        for death_id, (at_ms, _) in list(entry.deaths.items()):
            if at_ms <= oldest_ms:
                del entry.deaths[death_id]
                self._invalidate_cached()
        if entry.lifted_ms is not None and entry.lifted_ms <= oldest_ms:
            entry.lifted_ms = None
        if entry.deaths or entry.lifted_ms is not None:
            return False
        self._entries.pop(name, None)
        return True

    def _evict(self) -> None:
        """Enforce the limit: drop suspected, then cleared, then refused entries."""
        surplus = len(self._entries) - self._settings.max_entries
        if surplus <= 0:
            return
        for name, entry in list(self._entries.items()):
            self._drop_expired(name, entry)
        surplus = len(self._entries) - self._settings.max_entries
        for name in sorted(self._entries, key=self._eviction_order)[: max(0, surplus)]:
            del self._entries[name]

    def _eviction_order(self, name: str) -> tuple[int, float]:
        entry = self._entries[name]
        count = len(entry.active_deaths())
        if count >= self._settings.deaths:
            return (2, entry.last_event_ms())
        return (1 if count == 0 else 0, entry.last_event_ms())

    def _to_wire(self, name: str, entry: _FingerprintState) -> QuarantineEntry:
        now_ms = self._clock.now_ms()
        deaths = [
            Death(death_id, max(0.0, now_ms - at_ms), cleared)
            for death_id, (at_ms, cleared) in entry.deaths.items()
        ]
        lifted_ms = entry.lifted_ms
        age_ms = None if lifted_ms is None else max(0.0, now_ms - lifted_ms)
        return QuarantineEntry(name, deaths, age_ms)


def _trim_deaths(entry: _FingerprintState) -> None:
    """Drop the oldest deaths beyond the maximum."""
    while len(entry.deaths) > MAX_DEATHS_PER_ENTRY:
        oldest = min(entry.deaths, key=lambda i: (entry.deaths[i][0], i))
        del entry.deaths[oldest]


def fingerprint(operation: str, path: str, body: bytes | bytearray) -> str:
    """Return the digest of a request, 32 hexadecimal characters.

    :param operation: full name of the operation
    :param path: path with query
    :param body: request body
    """
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (operation.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def make_quarantine(settings: QuarantineSettings, clock: Clock) -> Quarantine:
    """Return an empty quarantine.

    :param settings: limits
    :param clock: time source
    """
    return Quarantine(settings, clock)
