"""Timeouts on other processes that do not count stalls of this one."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

import anyio

# Parts into which a timeout is divided. A stall of this process, however long, uses up
# one of them, since the loop handles input between two of them.
PARTS = 10


@contextmanager
def fail_after(timeout_s: float) -> Iterator[None]:
    """Cancel the body after a time and raise ``TimeoutError``.

    A single timer that expires during a stall of this process ends the body before the
    input that arrived during the stall is handled.

    :param timeout_s: time after which the body is cancelled, s
    :raises TimeoutError: if it was cancelled
    """
    with anyio.CancelScope() as scope:
        timer = _PartedTimer(scope, timeout_s / PARTS)
        try:
            yield
        finally:
            timer.stop()
    if scope.cancelled_caught:
        raise TimeoutError


class _PartedTimer:
    def __init__(self, scope: anyio.CancelScope, part_s: float) -> None:
        self._scope = scope
        self._part_s = part_s
        self._expired_count = 0
        self._start_part()

    def _start_part(self) -> None:
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(self._part_s, self._end_part)

    def _end_part(self) -> None:
        self._expired_count += 1
        if self._expired_count < PARTS:
            self._start_part()
        else:
            self._scope.cancel()

    def stop(self) -> None:
        self._handle.cancel()
