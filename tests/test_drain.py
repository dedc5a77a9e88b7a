"""Tests of draining: refuse new work, wait for work in flight, time out."""

import anyio
import pytest

from briardock.clock import ManualClock
from briardock.drain import POLL_INTERVAL_S, DrainState, make_drain


class CountedWork:
    """Work in flight that ends after a number of polls."""

    def __init__(self, polls: int) -> None:
        self.polls_left = polls
        self.clock = ManualClock()

    def in_flight(self) -> int:
        self.polls_left -= 1
        self.clock.advance(POLL_INTERVAL_S * 1000.0)
        return int(self.polls_left > 0)


@pytest.mark.parametrize("polls, empty", [(0, True), (5, True), (10_000, False)])
def test_drain_waits_for_work_until_its_timeout(polls: int, empty: bool) -> None:
    work = CountedWork(polls)
    announced: list[bool] = []
    drain = make_drain(
        work.clock, work.in_flight, lambda: announced.append(drain.refuses_new), 300.0
    )
    assert not drain.refuses_new
    assert anyio.run(drain.run) is empty
    assert announced == [True]
    assert drain.state is DrainState.LEFT
    assert drain.refuses_new
    assert empty or work.clock.now_ms() < 1_000.0


def test_second_drain_waits_with_the_first() -> None:
    # Guards against a second announcement and an early process exit.
    count = 1
    announced: list[int] = []
    ended: list[bool] = []
    drain = make_drain(
        ManualClock(), lambda: count, lambda: announced.append(1), 1_000.0
    )

    async def run() -> None:
        ended.append(await drain.run())

    async def main() -> None:
        nonlocal count
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run)
            tasks.start_soon(run)
            await anyio.sleep(2 * POLL_INTERVAL_S)
            assert not ended
            assert drain.state is DrainState.LEAVING
            count = 0

    anyio.run(main)
    assert (announced, ended) == ([1], [True, True])
