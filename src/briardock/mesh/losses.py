"""Checks of the local target after the loss of a response.

At low load no other request would find out in time whether the target has died.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterator

# Pauses before the further checks, s: a process may close its connections before its
# port.
CHECK_PAUSES_S = (0.05, 0.2, 0.5, 1.0)
# Least time between two checks, s, while responses are lost one after the other.
MIN_CHECK_PERIOD_S = 0.02


class LossWatch:
    """Runs checks of the target at once after a lost response, and some time later.

    :param check: checks the target; returns whether further checks are not needed
    """

    def __init__(self, check: Callable[[], Awaitable[bool]]) -> None:
        self._check = check
        self._lost = asyncio.Event()

    def record_loss(self) -> None:
        """Start the checks, again from the first one if some are under way."""
        self._lost.set()

    async def watch_losses(self) -> None:
        """Wait for losses and run the checks."""
        pauses_s: Iterator[float] = iter(())
        while True:
            try:
                async with asyncio.timeout(next(pauses_s, None)):
                    await self._lost.wait()
                self._lost.clear()
                pauses_s = iter(CHECK_PAUSES_S)
            except TimeoutError:
                pass
            if await self._check():
                pauses_s = iter(())
            await asyncio.sleep(MIN_CHECK_PERIOD_S)
