"""Deadline for the current task, optimized for the request path."""

import asyncio
from types import TracebackType

from briardock.mesh.model import now_s


class Deadline:
    """Cancels the body at a point in time and raises ``TimeoutError``.

    ``asyncio.timeout`` does the same, but looks up the running event loop several times
    for each use, which takes a system call each in Python 3.11.

    :param loop: running event loop
    :param expires_s: time since boot in s
    """

    __slots__ = ("_cancelling", "_expired", "_handle", "_loop", "_task", "_timeout_s")

    def __init__(self, loop: asyncio.AbstractEventLoop, expires_s: float) -> None:
        self._loop = loop
        self._timeout_s = max(0.0, expires_s - now_s())
        self._task: asyncio.Task[object] | None = None
        self._handle: asyncio.TimerHandle | None = None
        self._expired = False
        self._cancelling = 0

    def __enter__(self) -> None:
        """Start the timer."""
        self._task = asyncio.current_task(self._loop)
        assert self._task is not None
        self._cancelling = self._task.cancelling()
        self._handle = self._loop.call_later(self._timeout_s, self.expire)

    def expire(self) -> None:
        """Cancel the body now, unless that was done; it raises ``TimeoutError``."""
        assert self._task is not None
        if self._expired:
            return
        self._expired = True
        self._task.cancel()

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop the timer; turn its cancellation into ``TimeoutError``."""
        assert self._task is not None and self._handle is not None
        self._handle.cancel()
        # A concurrent cancellation by other code takes precedence.
        if not self._expired or self._task.uncancel() > self._cancelling:
            return
        if exc_type is asyncio.CancelledError:
            raise TimeoutError from error
