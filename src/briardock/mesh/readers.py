"""Choice of the nodes that read from the store on behalf of their failure domain.

All nodes of a domain rank its nodes by a hash of their names, so that they agree on
the order without exchanging messages. A node reads from the store while it has not
heard for a while from one ahead of it that reads successfully, or once a reader whose
reads fail asks it to. Two nodes that read at the same time are harmless: reads change
nothing, and each node keeps the newest version that it has seen.
"""

import math
from zlib import crc32

from briardock.mesh.members import MemberTable, NodeRecord

# Smallest number of nodes that read, over all domains: configuration still reaches
# all nodes at once if one of them stops.
MIN_READERS = 3
# Age of a node's last successful read above which it no longer counts as reading, s.
# It exceeds the time between two reads of a reader.
MAX_READ_AGE_S = 4.2
# Time until a node that did not respond, or that does not read, is asked again, s.
RETRY_DELAY_S = 3.0


class ReaderElection:
    """Decides whether this node reads from the store.

    :param members: records of all nodes
    """

    def __init__(self, members: MemberTable) -> None:
        self._members = members
        # Whether it reads because no node ahead does, until one of them does again.
        self._reads_instead = False
        self._skipped_until_s: dict[str, float] = {}
        self._ranking: list[NodeRecord] = []
        self._own_rank = 0
        self._reader_count = 1
        self._generation = -1

    def successors(self) -> list[NodeRecord]:
        """Return the nodes that may read in place of this one, the next one first."""
        self._update_ranking()
        return self._ranking[self._own_rank + 1 :]

    def read_instead(self) -> bool:
        """Read from the store until a node ahead is found to read.

        :return: whether this node did not read before
        """
        self._update_ranking()
        did_read = self._reads_instead or self._own_rank < self._reader_count
        self._reads_instead = True
        return not did_read

    def candidates(self, now: float) -> list[NodeRecord]:
        """Return the nodes to ask whether they read, the first one ahead.

        The list is empty if this node has to read.

        :param now: current time in s since boot
        """
        self._update_ranking()
        if self._own_rank < self._reader_count:
            return []
        return [
            record
            for record in self._ranking[: self._own_rank]
            if self._skipped_until_s.get(record.node_id, 0.0) <= now
        ]

    def record_response(
        self, node_id: str, read_age_s: float | None, now: float
    ) -> bool:
        """Record what a node ahead has answered; return whether it reads.

        :param node_id: the node that was asked
        :param read_age_s: time since it last read successfully, ``None`` if it did
            not respond or has not read
        :param now: current time in s since boot
        """
        if read_age_s is not None and read_age_s <= MAX_READ_AGE_S:
            self._skipped_until_s.pop(node_id, None)
            self._reads_instead = False
            return True
        self._skipped_until_s[node_id] = now + RETRY_DELAY_S
        return False

    def should_read(self, now: float) -> bool:
        """Return whether this node has to read from the store.

        :param now: current time in s since boot
        """
        if not self.candidates(now):
            self._reads_instead = True
        return self._reads_instead

    def _update_ranking(self) -> None:
        if self._generation == self._members.generation:
            return
        self._generation = self._members.generation
        local = self._members.local_record
        domains = {record.domain for record in self._members.records}
        self._reader_count = math.ceil(MIN_READERS / len(domains))
        self._ranking = sorted(
            (
                record
                for record in self._members.records
                if record.domain == local.domain
                and (not record.leaving or record.node_id == local.node_id)
            ),
            key=lambda record: (crc32(record.node_id.encode()), record.node_id),
        )
        self._own_rank = next(
            rank
            for rank, record in enumerate(self._ranking)
            if record.node_id == local.node_id
        )
