"""Timeouts on other processes that do not count stalls of this one."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from briardock.parted_timer import PartedTimer


@contextmanager
def fail_after(timeout_s: float) -> Iterator[None]:
    """Cancel the body after a time and raise ``TimeoutError``.

    A single timer that expires during a stall of this process ends the body before the
    input that arrived during the stall is handled.

    :param timeout_s: time after which the body is cancelled, s
    :raises TimeoutError: if it was cancelled
    """
    with anyio.CancelScope() as scope:
        timer = PartedTimer(asyncio.get_running_loop(), timeout_s, scope.cancel)
        try:
            yield
        finally:
            timer.stop()
    if scope.cancelled_caught:
        raise TimeoutError
