"""Tests of admission control: priorities, queue order, refusals and threshold."""

import asyncio
import contextlib
import random
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from briardock.admission import (
    LOWEST_PRIORITY,
    PRIORITIES_PER_CLASS,
    Admission,
    AdmissionSettings,
    Ticket,
    make_admission,
    request_priority,
)
from briardock.clock import ManualClock
from briardock.limiter import LimiterSettings
from briardock.metrics import Metrics
from briardock.outcomes import NotRun, Reason

FAR_MS = 1e9


def make(
    limit: int = 1, queue_length: int = 4, clock: ManualClock | None = None
) -> tuple[Admission, ManualClock]:
    """Return an admission control with a constant concurrency limit."""
    clock = clock or ManualClock()
    limiter = LimiterSettings(
        min_limit=limit, max_limit=limit, initial_limit=limit, probe_share=0.0
    )
    settings = AdmissionSettings(queue_length=queue_length, limiter=limiter)
    return make_admission(settings, clock, Metrics()), clock


async def admit_now(admission: Admission, priority: int = 0) -> Ticket:
    result = await admission.admit(priority, FAR_MS)
    assert isinstance(result, Ticket)
    return result


def start(
    admission: Admission, priority: int, deadline_at_ms: float = FAR_MS
) -> "asyncio.Task[Ticket | NotRun]":
    return asyncio.create_task(admission.admit(priority, deadline_at_ms))


async def run_ready_tasks() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def running_expiry(admission: Admission):  # type: ignore[no-untyped-def]
    task = asyncio.create_task(admission.run())
    try:
        yield
    finally:
        task.cancel()


@pytest.mark.parametrize(
    "class_rank, key, priority",
    [
        (0, "n1.5.100.1.mac", zlib.crc32(b"n1.5.100.1.mac") % 128),
        (7, "n1.5.100.1.mac", 896 + zlib.crc32(b"n1.5.100.1.mac") % 128),
        (9, "k", 896 + zlib.crc32(b"k") % 128),
        (-1, "k", zlib.crc32(b"k") % 128),
    ],
)
def test_priority_of_class_and_key(class_rank: int, key: str, priority: int) -> None:
    assert request_priority(class_rank, key) == priority


@given(st.integers(0, 7), st.text(max_size=30), st.text(max_size=30))
def test_all_calls_of_an_action_have_one_priority(
    class_rank: int, root: str, label: str
) -> None:
    # Guards against nodes that shed calls of one action independently.
    root = root.replace("/", "")
    priority = request_priority(class_rank, f"{root}/{label}")
    assert priority == request_priority(class_rank, root)
    assert priority // PRIORITIES_PER_CLASS == class_rank


@given(st.lists(st.integers(0, LOWEST_PRIORITY), min_size=1, max_size=30))
def test_waiters_start_in_order_of_priority_then_arrival(priorities: list[int]) -> None:
    async def scenario() -> list[tuple[int, int]]:
        admission, _ = make(queue_length=len(priorities))
        first = await admit_now(admission)
        started: list[tuple[int, int]] = []

        async def call(order: int, priority: int) -> None:
            ticket = await admit_now(admission, priority)
            started.append((priority, order))
            admission.release(ticket, 1.0, True)

        calls = [asyncio.create_task(call(*item)) for item in enumerate(priorities)]
        await run_ready_tasks()
        admission.release(first, 1.0, True)
        await asyncio.gather(*calls)
        assert admission.in_flight == admission.queued == 0
        return started

    started = asyncio.run(scenario())
    assert started == sorted(started)


@given(
    st.lists(st.integers(0, LOWEST_PRIORITY), min_size=1, max_size=30),
    st.integers(1, 8),
)
def test_full_queue_keeps_the_most_important(
    priorities: list[int], queue_length: int
) -> None:
    # Guards against important calls refused while less important ones are queued.
    async def scenario() -> list[int]:
        admission, _ = make(queue_length=queue_length)
        await admit_now(admission)
        calls = [start(admission, priority) for priority in priorities]
        await run_ready_tasks()
        assert admission.queued <= queue_length
        waiting = [
            priority
            for priority, call in zip(priorities, calls, strict=True)
            if not call.done()
        ]
        for call in calls:
            if call.done():
                result = call.result()
                assert isinstance(result, NotRun)
                assert result.reason is Reason.OVERLOADED
            call.cancel()
        return waiting

    waiting = asyncio.run(scenario())
    assert sorted(waiting) == sorted(priorities)[:queue_length]


@given(st.integers(0, 2**32), st.integers(1, 4))
def test_slots_are_conserved(seed: int, limit: int) -> None:
    # Guards against slots leaked or released twice when a task is cancelled at any
    # point of its wait.
    async def scenario() -> None:
        rng = random.Random(seed)
        admission, clock = make(limit, queue_length=5)
        calls: list[asyncio.Task[Ticket | NotRun]] = []
        for _ in range(60):
            match rng.randrange(4):
                case 0 | 1:
                    calls.append(start(admission, rng.randrange(LOWEST_PRIORITY)))
                case 2 if calls:
                    call = calls.pop(rng.randrange(len(calls)))
                    release(admission, call)
                    call.cancel()
                case _:
                    clock.advance(rng.random() * 60.0)
            if rng.random() < 0.7:
                await run_ready_tasks()
                assert admission.in_flight <= limit
        await run_ready_tasks()
        while calls:
            for call in list(calls):
                if call.done():
                    calls.remove(call)
                    release(admission, call)
            await run_ready_tasks()
        assert admission.in_flight == admission.queued == 0

    asyncio.run(scenario())


def release(admission: Admission, call: "asyncio.Task[Ticket | NotRun]") -> None:
    if call.done() and not call.cancelled():
        result = call.result()
        if isinstance(result, Ticket):
            admission.release(result, 1.0, True)


def test_second_release_has_no_effect() -> None:
    async def scenario() -> None:
        admission, _ = make(limit=2)
        ticket = await admit_now(admission)
        await admit_now(admission)
        admission.release(ticket, 1.0, True)
        admission.release(ticket, 1.0, True)
        assert admission.in_flight == 1

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "priority, waited_ms, expired",
    [(0, 250.0, False), (0, 310.0, True), (LOWEST_PRIORITY, 40.0, False)]
    + [(LOWEST_PRIORITY, 60.0, True)],
)
def test_wait_is_bounded_by_priority(
    priority: int, waited_ms: float, expired: bool
) -> None:
    async def scenario() -> Ticket | NotRun:
        admission, clock = make()
        ticket = await admit_now(admission)
        call = start(admission, priority)
        await run_ready_tasks()
        clock.advance(waited_ms)
        admission.release(ticket, 1.0, True)
        return await call

    result = asyncio.run(scenario())
    assert isinstance(result, NotRun) == expired


def test_periodic_task_expires_waiters() -> None:
    # Guards against queued requests that hang while no request finishes.
    async def scenario() -> None:
        admission, clock = make()
        await admit_now(admission)
        call = start(admission, LOWEST_PRIORITY)
        await run_ready_tasks()
        clock.advance(60.0)
        async with running_expiry(admission):
            result = await call
        assert result == NotRun(Reason.OVERLOADED, "waited too long for a slot")
        assert admission.queued == 0

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "remaining_ms, operation, refused",
    [
        (-1.0, "unknown", True),
        (1.0, "unknown", False),
        (50.0, "slow", True),
        (200.0, "slow", False),
    ],
)
def test_call_that_would_miss_its_deadline_takes_no_slot(
    remaining_ms: float, operation: str, refused: bool
) -> None:
    async def scenario() -> Ticket | NotRun:
        admission, clock = make(limit=2)
        for _ in range(2):
            ticket = await admission.admit(0, FAR_MS, "slow")
            assert isinstance(ticket, Ticket)
            clock.advance(100.0)
            admission.release(ticket, 100.0, True)
            await admission.admit(0, clock.now_ms() + 1.0, "slow")
        deadline_at_ms = clock.now_ms() + remaining_ms
        return await admission.admit(0, deadline_at_ms, operation)

    result = asyncio.run(scenario())
    if refused:
        assert isinstance(result, NotRun)
        assert result.reason is Reason.DEADLINE_EXCEEDED
    else:
        assert isinstance(result, Ticket)


def test_operation_that_became_fast_is_admitted_again() -> None:
    # Guards against an estimate that refuses every call and so is never updated.
    async def scenario() -> int:
        admission, clock = make(limit=10)
        ticket = await admission.admit(0, FAR_MS, "op")
        assert isinstance(ticket, Ticket)
        clock.advance(5_000.0)
        admission.release(ticket, 5_000.0, True)
        admitted_count = 0
        for _ in range(30):
            result = await admission.admit(0, clock.now_ms() + 1_000.0, "op")
            clock.advance(100.0)
            if isinstance(result, Ticket):
                admitted_count += 1
                admission.release(result, 100.0, True)
        return admitted_count

    assert asyncio.run(scenario()) >= 10


async def overload(
    admission: Admission, clock: ManualClock, windows: int, priorities: list[int]
) -> None:
    """Send each priority every 10 ms to a target that finishes one call per 10 ms."""
    pending: list[asyncio.Task[Ticket | NotRun]] = []
    for _ in range(windows * 10):
        pending += [start(admission, priority) for priority in priorities]
        await run_ready_tasks()
        clock.advance(10.0)
        for call in pending:
            if call.done():
                pending.remove(call)
                release(admission, call)
                break
    for call in pending:
        release(admission, call)
        call.cancel()
    await run_ready_tasks()


def test_threshold_falls_between_the_classes_and_recovers() -> None:
    async def scenario() -> tuple[int, int, int]:
        admission, clock = make(limit=1, queue_length=20)
        await overload(admission, clock, 10, [5, 600, 700, 800])
        during = admission.admission_threshold()
        refused = await admission.admit(800, FAR_MS)
        assert isinstance(refused, NotRun)
        for _ in range(20):
            clock.advance(100.0)
            admission.admission_threshold()
        return during, admission.admission_threshold(), admission.queued

    during, after, queued = asyncio.run(scenario())
    assert 5 <= during < 800
    assert after == LOWEST_PRIORITY
    assert queued == 0


def test_target_at_capacity_is_not_shed() -> None:
    # Guards against a threshold that falls although every call got a slot.
    async def scenario() -> int:
        admission, clock = make(limit=1, queue_length=20)
        lowest = LOWEST_PRIORITY
        for _ in range(300):
            ticket = await admit_now(admission, 900)
            clock.advance(10.0)
            admission.release(ticket, 10.0, True)
            lowest = min(lowest, admission.admission_threshold())
        return lowest

    assert asyncio.run(scenario()) == LOWEST_PRIORITY


def test_idle_target_resets_its_threshold() -> None:
    # Guards against refusals after a pause in which no task rolled the windows.
    async def scenario() -> Ticket | NotRun:
        admission, clock = make(limit=1, queue_length=20)
        await overload(admission, clock, 10, [5, 600, 700, 800])
        clock.advance(10_000.0)
        return await admission.admit(LOWEST_PRIORITY, FAR_MS)

    assert isinstance(asyncio.run(scenario()), Ticket)


@pytest.mark.parametrize("priority", [-5, LOWEST_PRIORITY + 1, 10**9])
def test_priority_out_of_range_is_bounded(priority: int) -> None:
    async def scenario() -> None:
        admission, _ = make()
        await admit_now(admission, priority)

    asyncio.run(scenario())


def test_load_and_state() -> None:
    async def scenario() -> None:
        admission, _ = make(limit=2)
        assert admission.load() == 0.0
        await admit_now(admission)
        await admit_now(admission)
        call = start(admission, 3)
        await run_ready_tasks()
        assert admission.load() == 1.5
        assert admission.state() == {
            "in_flight": 2,
            "queued": 1,
            "limit": 2,
            "refusal_level": LOWEST_PRIORITY,
            "load": 1.5,
        }
        call.cancel()
        await run_ready_tasks()
        assert admission.queued == 0

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "hint, expected", [(None, 32), (90, 90), (1, 8), (10_000, 400)]
)
def test_limit_of_a_new_target_starts_from_its_hint(
    hint: int | None, expected: int
) -> None:
    # Guards against a published hint without effect or beyond the limits.
    admission = make_admission(AdmissionSettings(), ManualClock(), Metrics())
    admission.target_started(0.0, hint)
    limit = admission.state()["limit"]
    assert isinstance(limit, int)
    # The limiter varies its limit by 15% to measure queueing.
    assert abs(limit - expected) <= 0.15 * expected + 1
