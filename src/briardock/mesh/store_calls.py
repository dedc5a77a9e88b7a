"""Reads of the store that are given up once it was restored, and the log of failures.

The response to a read that began before a restore may be outdated, or not come at all.
"""

import asyncio
import random

from briardock.mesh.decisions import DecisionLog
from briardock.mesh.dialect import Records, Store, StoreFailure, Trimmed
from briardock.mesh.positions import ReadPosition
from briardock.mesh.replica import Replica

# First and longest delay before a failed store call is retried, s.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.5


class Backoff:
    """Delays between the retries of a store call, doubled with each failure in a row.

    :param rng: random source
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._delay_s = INITIAL_BACKOFF_S

    def reset(self) -> None:
        """Begin with the first delay after the next failure."""
        self._delay_s = INITIAL_BACKOFF_S

    async def wait(self) -> None:
        """Wait before the next retry."""
        await asyncio.sleep(self._delay_s * self._rng.uniform(0.7, 1.3))
        self._delay_s = min(MAX_BACKOFF_S, 2 * self._delay_s)


class StoreReads:
    """Reads of one node from the store.

    :param store: keyed streams of the platform
    :param replica: keeps the highest era of the store that is known
    """

    def __init__(self, store: Store, replica: Replica) -> None:
        self._store = store
        self._replica = replica
        self._open_reads: set[asyncio.Timeout] = set()

    async def read(
        self, stream: str, position: ReadPosition | None, wait_s: float
    ) -> Records | Trimmed | StoreFailure:
        """Read a stream from a position on, or the newest records without one.

        A read is given up once a later era of the store is known.

        :param stream: name of the stream
        :param position: where to start, ``None`` for the newest records
        :param wait_s: longest time to wait for a record after the position
        """
        result: Records | Trimmed | StoreFailure
        scope = asyncio.timeout(None)
        self._open_reads.add(scope)
        try:
            async with scope:
                if position is None:
                    result = await self._store.read_newest(stream)
                else:
                    result = await self._store.read_from(
                        stream, position.offset, wait_s
                    )
        except TimeoutError:
            result = Trimmed(self._replica.store_era)
        finally:
            self._open_reads.discard(scope)
        self._replica.observe_era(result.era, "store")
        return result

    def give_up(self) -> None:
        """Give up the reads in progress."""
        now = asyncio.get_running_loop().time()
        for scope in self._open_reads:
            scope.reschedule(now)
        self._open_reads.clear()


class StoreUses:
    """Logs when a use of the store begins to fail, and when it succeeds again.

    :param log: decision log
    """

    def __init__(self, log: DecisionLog) -> None:
        self._log = log
        self._failing: set[str] = set()

    def record_failure(self, use: str, reason: str) -> None:
        """Record a failed call.

        :param use: what the store was called for
        :param reason: why it failed
        """
        if use not in self._failing:
            self._failing.add(use)
            self._log.event("store-lost", use=use, reason=reason)

    def record_success(self, use: str) -> None:
        """Record a successful call.

        :param use: what the store was called for
        """
        if use in self._failing:
            self._failing.discard(use)
            self._log.event("store-regained", use=use)
