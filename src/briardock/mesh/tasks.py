"""Background tasks: kept alive until they end, or started again after an error."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from briardock.mesh.decisions import DecisionLog

# Delay after which a supervised task that failed is started again, s.
TASK_RESTART_DELAY_S = 0.2


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


async def supervise(
    work: Callable[[], Coroutine[Any, Any, None]], log: DecisionLog
) -> None:
    """Run a background task, and start it again after an unexpected error.

    :param work: starts the task
    :param log: decision log
    """
    while True:
        try:
            return await work()
        except Exception as error:
            log.event(
                "task-failed",
                task=work.__name__,
                error=f"{type(error).__name__}: {error}",
            )
        await asyncio.sleep(TASK_RESTART_DELAY_S)
