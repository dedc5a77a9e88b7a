"""Reads of the store on behalf of other nodes: ages, questions and handover.

A node that does not read from the store asks the one that reads for it how old its
last read is, and reads itself if nobody ahead of it does. A reader whose reads fail
hands them over to other nodes of its failure domain. `readers` ranks the nodes.
"""

import asyncio
import random

from briardock.mesh.decisions import DecisionLog
from briardock.mesh.freshness import ConfigFreshness
from briardock.mesh.members import MemberTable, NodeRecord
from briardock.mesh.model import now_s
from briardock.mesh.readers import ReaderElection
from briardock.mesh.replica import Replica
from briardock.mesh.sync import PeerSync
from briardock.mesh.tasks import BackgroundTasks

# Period at which a node asks the one that reads for it, s, and the period while none
# has responded.
READER_CHECK_PERIOD_S = 0.7
READER_SEARCH_PERIOD_S = 0.1
# Timeout of this question, s, and the number of nodes asked next after it.
READER_TIMEOUT_S = 0.4
NEXT_READERS_ASKED = 2
# Age of a configuration with accounts above which nodes of the domain are asked for
# theirs, s, the period at which they are asked, s, and their number.
NEIGHBOURS_ASKED_AGE_S = 1.8
NEIGHBOURS_ASKED_PERIOD_S = 0.4
NEIGHBOURS_ASKED = 3
# Number of nodes that a reader whose reads fail asks at once to read. The store may
# turn one of them away too, and a read that it leaves open takes long to fail.
SUBSTITUTE_READERS = 2


class LatestRead:
    """Time of the latest read of the store, by this node or the one that reads for it.

    :param election: decides whether this node reads
    """

    def __init__(self, election: ReaderElection) -> None:
        self._election = election
        self._read_s: float | None = None
        # Whether this node reads the configuration and its latest read failed.
        self._is_failing = False

    def age_s(self) -> float | None:
        """Return the time since the last read that others may rely on.

        A reader whose reads fail must not wait until its last one is too old: the store
        may turn away all readers and serve the nodes that rely on them.
        """
        if self._read_s is None or self._is_failing:
            return None
        return now_s() - self._read_s

    def read_instead(self) -> None:
        """Read from the store, and vouch only for the reads of this node."""
        if self._election.read_instead():
            self._read_s = None

    def record(self, read_s: float) -> None:
        """Record a read of this node, or of the one that reads for it.

        :param read_s: its time in s since boot
        """
        self._read_s = max(read_s, self._read_s or read_s)

    def record_failure(self) -> bool:
        """Record a failed read; return whether it is the first one in a row."""
        is_first = not self._is_failing
        self._is_failing = True
        return is_first

    def clear_failure(self) -> None:
        """Record that a read has succeeded, or that this node need not read."""
        self._is_failing = False


class ReaderQuestions:
    """Questions of one node to the nodes that read for it, or should.

    :param members: records of all nodes
    :param election: decides whether this node reads
    :param latest_read: latest read of the store
    :param replica: replicated state of the node
    :param freshness: time up to which the configuration is known to have been current
    :param sync: exchanges messages with other nodes
    :param log: decision log
    :param rng: random source
    """

    def __init__(
        self,
        members: MemberTable,
        election: ReaderElection,
        latest_read: LatestRead,
        replica: Replica,
        freshness: ConfigFreshness,
        sync: PeerSync,
        log: DecisionLog,
        rng: random.Random,
    ) -> None:
        self._members = members
        self._election = election
        self._latest_read = latest_read
        self._replica = replica
        self._freshness = freshness
        self._sync = sync
        self._log = log
        self._rng = rng
        self._handovers = BackgroundTasks()

    # The node that reads for this one

    async def check_readers(self) -> None:
        """Ask the node that reads from the store for this one whether it still does."""
        while True:
            found = await self._find_reader()
            period_s = READER_CHECK_PERIOD_S if found else READER_SEARCH_PERIOD_S
            await asyncio.sleep(period_s * self._rng.uniform(0.7, 1.3))

    async def _find_reader(self) -> bool:
        """Return whether this node or one ahead of it reads from the store."""
        candidates = self._election.candidates(now_s())
        if not candidates or await self._ask_reader(candidates[0]):
            return True
        following = candidates[1 : 1 + NEXT_READERS_ASKED]
        answers = await asyncio.gather(*(self._ask_reader(r) for r in following))
        return any(answers)

    async def _ask_reader(self, record: NodeRecord) -> bool:
        age_s = await self._ask_age(record)
        now = now_s()
        if age_s is not None:
            self._latest_read.record(now - age_s)
        return self._election.record_response(record.node_id, age_s, now)

    async def _ask_age(self, record: NodeRecord) -> float | None:
        """Sync with a node; return the time since the last read that it relies on."""
        try:
            async with asyncio.timeout(READER_TIMEOUT_S):
                return await self._sync.sync_with(record)
        except TimeoutError:
            self._log.event("sync-timeout", peer=record.node_id)
            return None

    # Age of the configuration

    async def watch_config_age(self) -> None:
        """Ask nodes of the domain for the age of their configuration if this one's is
        high: the store may turn this node away, or the node that reads for it.
        """
        while True:
            await asyncio.sleep(NEIGHBOURS_ASKED_PERIOD_S * self._rng.uniform(0.7, 1.3))
            age_s = self._freshness.age_s(now_s())
            if self._replica.has_accounts and (
                age_s is None or age_s > NEIGHBOURS_ASKED_AGE_S
            ):
                await self._ask_neighbours()

    async def _ask_neighbours(self) -> None:
        domain = self._members.local_record.domain
        peers = [r for r in self._members.peers() if r.domain == domain]
        asked = self._rng.sample(peers, min(NEIGHBOURS_ASKED, len(peers)))
        await asyncio.gather(*(self._ask_age(record) for record in asked))

    # Handover

    def hand_over_reads(self) -> None:
        """Start to ask other nodes to read, unless that is under way."""
        if not self._handovers:
            self._handovers.start(self._ask_successors())

    async def _ask_successors(self) -> None:
        """Ask the next nodes of the domain to read, until one of them responds."""
        successors = self._election.successors()
        for start in range(0, len(successors), SUBSTITUTE_READERS):
            asked = successors[start : start + SUBSTITUTE_READERS]
            answers = await asyncio.gather(*(self._ask_to_read(r) for r in asked))
            if any(answers):
                names = [
                    r.node_id
                    for r, agreed in zip(asked, answers, strict=True)
                    if agreed
                ]
                self._log.event("reads-handed-over", peers=names)
                return

    async def _ask_to_read(self, record: NodeRecord) -> bool:
        try:
            async with asyncio.timeout(READER_TIMEOUT_S):
                return await self._sync.ask_to_read(record)
        except TimeoutError:
            self._log.event("sync-timeout", peer=record.node_id)
            return False
