"""Outcomes of records and deltas, and the list of recent changes."""

from collections.abc import Iterable
from dataclasses import dataclass

from briardock._records import ChangeResult

# A change id is recognized as a duplicate while it is among this many latest ones.
RECENT_CHANGES = 512
# More changes are retained than count as recent, so that a snapshot of the current
# version can list all that were recent at that version.
_MAX_RETAINED = 2 * RECENT_CHANGES


@dataclass(frozen=True, slots=True)
class Accepted:
    """A record advanced the configuration to a new version.

    :param version: offset of the accepted record
    :param delta: difference to the previous version, for gossip
    """

    version: int
    delta: bytes


@dataclass(frozen=True, slots=True)
class Rejected:
    """A publish record has no effect; its author must publish again.

    :param change_id: id of the change
    :param reason: text for the author
    :param conflicts: files that another change updated first
    """

    change_id: str
    reason: str
    conflicts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Ignored:
    """A record that is not a new change.

    :param reason: text for operators
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Applied:
    """A delta advanced the configuration to a new version."""

    version: int


@dataclass(frozen=True, slots=True)
class Behind:
    """Versions between the local one and the delta are missing; pull a snapshot."""

    version: int


@dataclass(frozen=True, slots=True)
class Stale:
    """A delta is not newer, or cannot be used.

    :param reason: text for operators
    """

    reason: str


class RecentChanges:
    """Recent changes in the order of the log."""

    def __init__(self) -> None:
        self._results: list[ChangeResult] = []
        self._by_id: dict[str, ChangeResult] = {}

    def add(self, results: Iterable[ChangeResult]) -> None:
        """Add results in any order; those already present are skipped."""
        offsets = {result.offset for result in self._results}
        new = [result for result in results if result.offset not in offsets]
        ordered = sorted(self._results + new, key=lambda result: result.offset)
        self._results = ordered[-_MAX_RETAINED:]
        self._by_id = {result.change_id: result for result in self._results}

    def append(self, result: ChangeResult) -> None:
        """Add the result with the highest offset."""
        self._results.append(result)
        self._by_id[result.change_id] = result
        if len(self._results) > _MAX_RETAINED:
            oldest = self._results.pop(0)
            if self._by_id[oldest.change_id] is oldest:
                del self._by_id[oldest.change_id]

    def is_recent(self, change_id: str) -> bool:
        """Return whether a change id is among the recent ones."""
        result = self._by_id.get(change_id)
        if result is None:
            return False
        recent = self._results[-RECENT_CHANGES:]
        return result.offset >= recent[0].offset

    def get(self, change_id: str) -> ChangeResult | None:
        """Return the latest retained result of a change id, if any."""
        return self._by_id.get(change_id)

    def between(self, after_offset: int, last_offset: int) -> list[ChangeResult]:
        """Return recent results after one offset, up to and including another."""
        selected = [
            item for item in self._results if after_offset < item.offset <= last_offset
        ]
        return selected[-RECENT_CHANGES:]
