"""Clock and random source, injected so that a run can be reproduced from a seed."""

import random
import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic time."""

    def now_ms(self) -> float:
        """Return monotonic time in ms; only differences are meaningful."""
        ...


class SystemClock:
    """Clock of the operating system."""

    def now_ms(self) -> float:
        """Return the system's monotonic time in ms."""
        return time.monotonic() * 1000.0


class ManualClock:
    """Clock for tests that advances only by explicit steps.

    :param start_ms: first reading in ms
    """

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> float:
        """Return the current reading in ms."""
        return self._now_ms

    def advance(self, step_ms: float) -> None:
        """Advance the clock.

        :param step_ms: time to advance in ms
        """
        self._now_ms += step_ms


def make_random(seed: int | None = None) -> random.Random:
    """Return a random source.

    :param seed: fixed seed, or ``None`` for one from the operating system
    """
    return random.Random(seed)
