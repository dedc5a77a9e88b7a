"""Bucket digests of a member table, to find cheaply where two tables differ."""

import sys
from array import array

from briardock.member_records import (
    BUCKET_COUNT,
    MemberRecord,
    bucket_of,
    record_digest,
)


class TableDigest:
    """XOR of the record digests, in total and by bucket.

    Records that are no longer sent to other nodes are left out.
    """

    def __init__(self) -> None:
        self.total = 0
        self.unshared: set[str] = set()
        self._buckets = array("I", [0] * BUCKET_COUNT)

    def replace(self, record: MemberRecord | None, known: MemberRecord | None) -> None:
        """Replace a known record of a node by a new one.

        :param record: new record, or ``None`` if the known one is removed
        :param known: record included so far, or ``None``
        """
        if known is not None and known.node_id in self.unshared:
            self.unshared.remove(known.node_id)
        elif known is not None:
            self._flip(known)
        if record is not None:
            self._flip(record)

    def stop_sharing(self, record: MemberRecord) -> None:
        """Exclude an included record until it is replaced."""
        self._flip(record)
        self.unshared.add(record.node_id)

    def buckets(self) -> bytes:
        """Return the digests of all buckets, 4 bytes each, little-endian."""
        if sys.byteorder == "little":
            return self._buckets.tobytes()
        swapped = array("I", self._buckets)
        swapped.byteswap()
        return swapped.tobytes()

    def differing(self, digests: bytes) -> list[int]:
        """Return the buckets whose digest differs from that of another table.

        :param digests: bucket digests of the other table
        """
        local = self.buckets()
        starts = range(0, BUCKET_COUNT * 4, 4)
        return [i // 4 for i in starts if local[i : i + 4] != digests[i : i + 4]]

    def _flip(self, record: MemberRecord) -> None:
        digest = record_digest(record)
        self._buckets[bucket_of(record.node_id)] ^= digest
        self.total ^= digest
