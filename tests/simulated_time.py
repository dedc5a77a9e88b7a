"""Event loop in simulated time, for tests of timeouts on machines of any speed."""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

START_S = 1_000.0

T = TypeVar("T")


class _JumpingSelector(selectors.SelectSelector):
    """Advances its clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = START_S

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        assert timeout is not None, "all tasks wait and no timer is set"
        self.now_s += max(0.0, timeout)
        return super().select(0)


class _SimulatedLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now_s


def simulated_now_s() -> float:
    """Return the simulated time in s."""
    return asyncio.get_running_loop().time()


class SimulatedClock:
    """Clock of the nodes in simulated time."""

    def now_ms(self) -> float:
        return simulated_now_s() * 1_000.0


def run_simulated(work: Callable[[], Coroutine[Any, Any, T]]) -> T:
    """Run a coroutine that uses timers and no sockets; return its result.

    :param work: starts the coroutine
    """
    with asyncio.Runner(loop_factory=_SimulatedLoop) as runner:
        return runner.run(work())
