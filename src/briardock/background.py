"""Background tasks of a node and their supervision."""

from collections.abc import Awaitable, Callable

import anyio

from briardock.clock import Clock
from briardock.events import Event, emit
from briardock.metrics import FLUSH_PERIOD_S, Metrics, make_statsd_client
from briardock.settings import StatsdSection

CHECK_PERIOD_S = 0.25
PAUSE_THRESHOLD_MS = 1_500.0
RESTART_DELAY_S = 1.0

Task = Callable[[], Awaitable[None]]


async def supervise(name: str, task: Task, metrics: Metrics) -> None:
    """Run a task and restart it after a delay when it fails.

    An error in one background task does not end the node, which still serves calls.

    :param name: name of the task in logs
    :param task: coroutine function
    :param metrics: counters
    """
    while True:
        try:
            await task()
            return
        except Exception as error:
            metrics.count("node.task_restarts")
            emit(Event.TASK_RESTARTED, task=name, error=repr(error))
        await anyio.sleep(RESTART_DELAY_S)


async def run_periodic_checks(clock: Clock, checks: list[Callable[[], None]]) -> None:
    """Run checks periodically and report pauses of the process.

    :param clock: monotonic clock
    :param checks: functions called every 250 ms
    """
    last_ms = clock.now_ms()
    while True:
        await anyio.sleep(CHECK_PERIOD_S)
        now_ms = clock.now_ms()
        if now_ms - last_ms > PAUSE_THRESHOLD_MS:
            emit(Event.PAUSE_DETECTED, pause_ms=round(now_ms - last_ms))
        last_ms = now_ms
        for check in checks:
            check()


async def send_metrics(
    settings: StatsdSection, metrics: Metrics, set_gauges: Callable[[], None]
) -> None:
    """Send metrics periodically to the receiver, if one is configured.

    :param settings: address of the receiver
    :param metrics: counters and gauges
    :param set_gauges: called to update the gauges before each flush
    """
    if not settings.host:
        return
    client = make_statsd_client(settings.host, settings.port, settings.prefix)
    while True:
        await anyio.sleep(FLUSH_PERIOD_S)
        set_gauges()
        metrics.flush(client)
