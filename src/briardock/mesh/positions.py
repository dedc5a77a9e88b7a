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


def next_position(
    position: ReadPosition | None, result: Records | Trimmed | StoreFailure
) -> ReadPosition | None:
    """Return where to continue after a read, ``None`` to read the newest records.

    After a failure the store may have come back from a copy, so that its offsets are
    not those of the position.

    :param position: where the read started, ``None`` if it read the newest records
    :param result: result of the read
    """
    match result:
        case Records() if position is None or position.era == result.era:
            return ReadPosition(result.era, result.next_offset)
    return None
