"""Read positions in the streams of the store."""

from dataclasses import dataclass

from briardock.mesh.dialect import Records, StoreFailure, Trimmed


@dataclass(frozen=True, slots=True)
class ReadPosition:
    """Where to continue reading a stream; offsets are valid in one era only.

    :param era: era of the store
    :param offset: offset of the next record
    """

    era: int
    offset: int


def is_outdated(result: Records | Trimmed, store_era: int) -> bool:
    """Return whether a read was executed before a restore that is already known.

    :param result: result of the read
    :param store_era: highest era of the store that is known
    """
    return result.era < store_era


def valid_position(
    position: ReadPosition | None, store_era: int
) -> ReadPosition | None:
    """Return a position, or ``None`` if a later era than its own is known.

    :param position: where a read would start
    :param store_era: highest era of the store that is known
    """
    if position is None or position.era < store_era:
        return None
    return position


def next_position(
    position: ReadPosition | None,
    result: Records | Trimmed | StoreFailure,
    store_era: int,
) -> ReadPosition | None:
    """Return where to continue after a read, ``None`` to read the newest records.

    After a failure the store may have come back from a copy, so that its offsets are
    not those of the position.

    :param position: where the read started, ``None`` if it read the newest records
    :param result: result of the read
    :param store_era: highest era of the store that is known
    """
    if not isinstance(result, Records) or is_outdated(result, store_era):
        return None
    if position is not None and position.era != result.era:
        return None
    return ReadPosition(result.era, result.next_offset)
