"""Memory of which operations refuse which levels deeper in the call graph."""

import random
from dataclasses import dataclass

from briardock.clock import Clock
from briardock.messages import MAX_LEVEL

LEVEL_EXPIRY_MS = 1_000.0
PROBE_SHARE = 0.02


@dataclass(slots=True)
class _Remembered:
    level: int
    expires_at_ms: float


class ChainLevels:
    """Thresholds per operation, learned from the answers of its calls.

    An answer carries the lowest threshold of its instance and of the services
    that the operation calls, so the entry learns of overload at any depth.

    :param clock: monotonic clock
    :param rng: chooses the calls that pass in spite of a threshold, so that the
        memory is refreshed
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._levels: dict[str, _Remembered] = {}

    def learn(self, operation: str, level: int) -> None:
        """Remember the threshold that came with an answer.

        :param operation: full name of the operation
        :param level: highest level that is still admitted
        """
        expires_at_ms = self._clock.now_ms() + LEVEL_EXPIRY_MS
        self._levels[operation] = _Remembered(level, expires_at_ms)

    def level(self, operation: str) -> int:
        """Return the highest level that an operation still admits.

        :param operation: full name of the operation
        """
        known = self._levels.get(operation)
        if known is None or known.expires_at_ms <= self._clock.now_ms():
            return MAX_LEVEL
        return known.level

    def admits(self, operation: str, level: int) -> bool:
        """Return whether a call would pass, letting a few through as probes.

        :param operation: full name of the operation
        :param level: admission level of the call
        """
        return level <= self.level(operation) or self._rng.random() < PROBE_SHARE

    def state(self) -> dict[str, int]:
        """Return the thresholds in force for a state dump."""
        return {name: self.level(name) for name in self._levels}


def make_chain_levels(clock: Clock, rng: random.Random) -> ChainLevels:
    """Return an empty memory.

    :param clock: monotonic clock
    :param rng: random source
    """
    return ChainLevels(clock, rng)
