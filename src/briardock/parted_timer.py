"""Timer that does not count the time in which the event loop was stalled."""

import asyncio
from collections.abc import Callable

# Parts into which a timeout is divided. A stall, however long, uses up one of them,
# since the loop handles input between two of them.
PARTS = 10


class PartedTimer:
    """Calls a function after a time during which the event loop was running.

    A single timer that expires during a stall (a suspended process, a busy processor)
    is handled before the input that arrived meanwhile. Here a stall uses up one part of
    the time, and none if the part ended during the stall and may be left out.

    :param loop: running event loop
    :param timeout_s: time after which the timer expires, s
    :param on_expiry: called then
    :param max_uncounted_parts: largest number of parts that are not counted because the
        loop was stalled as they ended; without a limit a loop that is late all the time
        would never let the timer expire
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        timeout_s: float,
        on_expiry: Callable[[], None],
        max_uncounted_parts: int = 0,
    ) -> None:
        self._loop = loop
        self._part_s = timeout_s / PARTS
        self._on_expiry = on_expiry
        self._remaining_parts = PARTS
        self._uncountable_parts = max_uncounted_parts
        self._start_part()

    def _start_part(self) -> None:
        self._due_s = self._loop.time() + self._part_s
        self._handle = self._loop.call_at(self._due_s, self._end_part)

    def _end_part(self) -> None:
        was_stalled = self._loop.time() - self._due_s > self._part_s
        if was_stalled and self._uncountable_parts:
            self._uncountable_parts -= 1
        else:
            self._remaining_parts -= 1
        if self._remaining_parts:
            self._start_part()
        else:
            self._on_expiry()

    def stop(self) -> None:
        """Stop the timer; it does not expire any more."""
        self._handle.cancel()
