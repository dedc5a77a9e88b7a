"""Background tasks that are kept alive until they end."""

import asyncio
from collections.abc import Coroutine
from typing import Any


class BackgroundTasks:
    """Tasks that nobody awaits; the event loop keeps only weak references to them."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def __bool__(self) -> bool:
        """Return whether a task has not ended yet."""
        return not all(task.done() for task in self._tasks)

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a task.

        :param work: what it runs
        """
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
