"""Outcomes of records and deltas, and the memory of recent changes."""

from collections.abc import Iterable
from dataclasses import dataclass

from briardock._records import ChangeResult

# A change id is recognised while it is among this many latest ones.
RECENT_CHANGES = 512
# More are held than recognised, so that a snapshot of the current version can
# list all that were recent at that version.
_HELD_CHANGES = 2 * RECENT_CHANGES


@dataclass(frozen=True, slots=True)
class Accepted:
    """A record moved the configuration to a new version.

    :param version: offset of the accepted record
    :param delta: step for gossip
    """

    version: int
    delta: bytes


@dataclass(frozen=True, slots=True)
class Rejected:
    """A publish record has no effect; its author must publish again.

    :param change_id: id of the change
    :param reason: text for the author
    :param conflicts: files that another change moved first
    """

    change_id: str
    reason: str
    conflicts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Ignored:
    """A record that is no new change.

    :param reason: text for operators
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Applied:
    """A delta moved the configuration to a new version."""

    version: int


@dataclass(frozen=True, slots=True)
class Behind:
    """Versions between the own one and the delta are missing; pull a snapshot."""

    version: int


@dataclass(frozen=True, slots=True)
class Stale:
    """A delta brings nothing new, or cannot be used.

    :param reason: text for operators
    """

    reason: str


class RecentChanges:
    """Recent changes in the order of the log."""

    def __init__(self) -> None:
        self._results: list[ChangeResult] = []
        self._by_id: dict[str, ChangeResult] = {}

    def add(self, added: Iterable[ChangeResult]) -> None:
        """Add results in any order; those already held are skipped."""
        offsets = {result.offset for result in self._results}
        new = [result for result in added if result.offset not in offsets]
        ordered = sorted(self._results + new, key=lambda result: result.offset)
        self._results = ordered[-_HELD_CHANGES:]
        self._by_id = {result.change_id: result for result in self._results}

    def append(self, result: ChangeResult) -> None:
        """Add the result with the highest offset."""
        self._results.append(result)
        self._by_id[result.change_id] = result
        if len(self._results) > _HELD_CHANGES:
            oldest = self._results.pop(0)
            if self._by_id[oldest.change_id] is oldest:
                del self._by_id[oldest.change_id]

    def recognises(self, change_id: str) -> bool:
        """Return whether a change id is among the recent ones."""
        result = self._by_id.get(change_id)
        if result is None:
            return False
        recent = self._results[-RECENT_CHANGES:]
        return result.offset >= recent[0].offset

    def get(self, change_id: str) -> ChangeResult | None:
        """Return the latest result of a change id that is still held."""
        return self._by_id.get(change_id)

    def between(self, after: int, upto: int) -> list[ChangeResult]:
        """Return recent results with an offset in a half-open range."""
        chosen = [item for item in self._results if after < item.offset <= upto]
        return chosen[-RECENT_CHANGES:]
