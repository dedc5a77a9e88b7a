"""Differences between two configurations of the users' platform, entry by entry."""

import enum
from collections.abc import Iterator
from dataclasses import dataclass

from briardock.platform_check import (
    CheckedDocument,
    Entry,
    KeyList,
    Position,
    Secret,
    Shown,
    Value,
)

ABSENT = "absent"


class Change(enum.StrEnum):
    """How an entry differs from the version in force."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True)
class Difference:
    """A difference from the version in force.

    :param change: kind of the difference
    :param position: where it is; of what is removed, in the document in force
    :param old: value in force of a changed key, ``None`` for an entry
    :param new: value of a changed key, ``None`` for an entry
    """

    change: Change
    position: Position
    old: str | None = None
    new: str | None = None


def compare(document: CheckedDocument, in_force: CheckedDocument) -> list[Difference]:
    """Return the differences between two documents, entry by entry.

    :param document: document to be sent
    :param in_force: document that nodes have
    """
    old_entries = {entry.position.key: entry for entry in in_force.entries}
    new_entries = {entry.position.key: entry for entry in document.entries}
    differences: list[Difference] = []
    for key, entry in new_entries.items():
        if key in old_entries:
            differences += _compare_values(old_entries[key], entry)
        else:
            differences.append(Difference(Change.ADDED, entry.position))
    for key, entry in old_entries.items():
        if key not in new_entries:
            differences.append(Difference(Change.REMOVED, entry.position))
    return differences


def _compare_values(old: Entry, new: Entry) -> Iterator[Difference]:
    for key in [*new.values, *(key for key in old.values if key not in new.values)]:
        position, new_value = new.values.get(key, (None, None))
        old_position, old_value = old.values.get(key, (None, None))
        position = position or old_position
        if position is not None and new_value != old_value:
            yield Difference(Change.CHANGED, position, *_describe(old_value, new_value))


def _describe(old: Value | None, new: Value | None) -> tuple[str, str]:
    """Return texts of two values that contain no key of a client."""
    texts = []
    for value in (old, new):
        match value:
            case None:
                texts.append(ABSENT)
            case Shown(text):
                texts.append(text)
            case Secret():
                texts.append("not shown")
            case KeyList(keys):
                texts.append(f"{len(keys)} keys")
    old_keys = old.keys if isinstance(old, KeyList) else frozenset()
    if isinstance(new, KeyList):
        added, removed = len(new.keys - old_keys), len(old_keys - new.keys)
        texts[1] += f" ({added} added, {removed} removed)"
    return texts[0], texts[1]
