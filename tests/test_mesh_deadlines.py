"""Deadline for the current task."""

import asyncio

import pytest

from briardock.mesh.deadlines import Deadline
from briardock.mesh.model import now_s

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


async def wait_with_deadline(timeout_s: float, work_s: float) -> str:
    try:
        with Deadline(asyncio.get_running_loop(), now_s() + timeout_s):
            await asyncio.sleep(work_s)
    except TimeoutError:
        return "timeout"
    return "done"


@pytest.mark.parametrize(
    ("timeout_s", "work_s", "result"),
    [(5.0, 0.0, "done"), (0.01, 5.0, "timeout"), (-1.0, 5.0, "timeout")],
)
async def test_body_ends_at_the_deadline(
    timeout_s: float, work_s: float, result: str
) -> None:
    assert await wait_with_deadline(timeout_s, work_s) == result


async def test_task_continues_after_a_timeout() -> None:
    """A cancellation that is not uncounted would end a later wait of the task."""
    assert await wait_with_deadline(0.01, 5.0) == "timeout"
    task = asyncio.current_task()
    assert task is not None and task.cancelling() == 0
    assert await wait_with_deadline(5.0, 0.01) == "done"


async def test_external_cancellation_is_not_a_timeout() -> None:
    """A disconnected caller must not be handled like a timeout."""
    task = asyncio.create_task(wait_with_deadline(5.0, 5.0))
    await asyncio.sleep(0.01)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


async def test_external_cancellation_takes_precedence_over_the_deadline() -> None:
    """The deadline must not swallow the cancellation for a disconnected caller."""
    task = asyncio.create_task(wait_with_deadline(0.01, 5.0))
    await asyncio.sleep(0)
    deadline_s = now_s() + 0.02
    while now_s() < deadline_s:
        pass
    asyncio.get_running_loop().call_later(0.0, task.cancel)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


async def test_inner_deadline_does_not_affect_the_outer_one() -> None:
    loop = asyncio.get_running_loop()
    with Deadline(loop, now_s() + 5.0):
        assert await wait_with_deadline(0.01, 5.0) == "timeout"
    with pytest.raises(TimeoutError), Deadline(loop, now_s() + 0.01):
        await wait_with_deadline(5.0, 5.0)


async def test_deadline_that_expires_early_and_in_time_is_a_timeout() -> None:
    """Its second cancellation was taken for that of a disconnected caller."""
    loop = asyncio.get_running_loop()
    deadline = Deadline(loop, now_s() + 5.0)
    for delay_s in (0.01, 0.01):
        loop.call_later(delay_s, deadline.expire)
    with pytest.raises(TimeoutError), deadline:
        await asyncio.sleep(5.0)
