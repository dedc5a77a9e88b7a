"""Expected work of requests, remaining work of a target, and its speed."""

import random

import pytest

from briardock.overload import cost
from briardock.overload.cost import (
    CostTable,
    RemainingWork,
    WorkClock,
    request_kind,
)
from briardock.overload.knee import MIN_ROOM_SHARE, KneeMeter
from briardock.overload.target_work import RunWork, TargetWork


@pytest.mark.parametrize(
    ("path", "same_as", "expected"),
    [
        (b"/a/items/17", b"/a/items/18?x=1", True),
        (b"/a/items/1f3c9ad04b/x", b"/a/items/77aa9ad04bcc/x", True),
        (b"/a/items/17", b"/a/orders/17", False),
        (b"/a/b/c/d/e", b"/a/b/c/d/f", True),
        (b"/a/v1-report", b"/a/v2-report", True),
        (b"/", b"", True),
    ],
)
def test_paths_that_differ_by_ids_are_of_one_kind(
    path: bytes, same_as: bytes, expected: bool
) -> None:
    """With a kind for each id, none has samples enough."""
    same = request_kind("r", path, 0) == request_kind("r", same_as, 0)
    assert same is expected


@pytest.mark.parametrize(
    ("changes", "same"),
    [
        ({"body_bytes": 1_000}, True),
        ({"body_bytes": 100_000}, False),
        ({"account": "b"}, False),
        ({"route": "q"}, False),
    ],
)
def test_route_size_and_account_tell_requests_apart(
    changes: dict[str, object], same: bool
) -> None:
    fields: dict[str, object] = {"route": "r", "path": b"/a", "body_bytes": 900}
    kind = request_kind(**fields)  # type: ignore[arg-type]
    assert (kind == request_kind(**(fields | changes))) is same  # type: ignore[arg-type]


LIGHT, HEAVY, RARE = (request_kind("r", p, 0) for p in (b"/l", b"/h", b"/rare"))


def test_kinds_are_told_apart_and_the_route_answers_for_rare_ones() -> None:
    table = CostTable()
    assert table.expected_s(LIGHT, 0.0) == cost.INITIAL_WORK_S
    for number in range(100):
        table.record(LIGHT, 0.01, number * 0.1)
        table.record(HEAVY, 0.1, number * 0.1)
    table.record(RARE, 5.0, 10.0)
    assert table.expected_s(LIGHT, 10.1) == pytest.approx(0.01)
    assert table.expected_s(HEAVY, 10.1) == pytest.approx(0.1)
    assert 0.05 < table.expected_s(RARE, 10.1) < 0.1


def test_old_samples_are_forgotten() -> None:
    """A route that becomes ten times heavier must not be judged by its past."""
    table = CostTable()
    for number in range(1000):
        table.record(LIGHT, 0.01, number * 0.01)
    later = 3 * cost.FORGETTING_S
    for number in range(100):
        table.record(LIGHT, 0.1, later + number * 0.1)
    assert table.expected_s(LIGHT, later + 10.0) > 0.05
    # The weights of samples stay finite after days.
    table.record(LIGHT, 0.1, 1e6)
    assert table.expected_s(LIGHT, 1e6 + 1) == pytest.approx(0.1)


def test_memory_is_bounded_and_kinds_in_use_are_kept() -> None:
    """Callers choose the paths."""
    table = CostTable()
    for number in range(10_000):
        name = "".join(chr(97 + int(digit)) for digit in str(number)).encode()
        table.record(request_kind(f"r{number}", b"/" + name, 0), 1.0, 1.0)
        table.record(LIGHT, 0.01, 1.0)
    assert len(table) == cost.MAX_KINDS
    assert table.expected_s(LIGHT, 2.0) == pytest.approx(0.01)


@pytest.mark.parametrize(
    ("done_s", "low_s", "high_s"),
    [(0.0, 0.15, 0.25), (0.05, 0.1, 0.2), (0.5, 0.4, 0.8), (5.0, 4.0, 6.0)],
)
def test_what_has_run_long_has_the_tail_before_it(
    done_s: float, low_s: float, high_s: float
) -> None:
    """Nine of ten requests take 0.1 s, one takes ten times as long."""
    table = CostTable()
    rng = random.Random(1)
    for number in range(1000):
        work_s = (0.1 if number % 10 else 1.0) * rng.uniform(0.9, 1.1)
        table.record(LIGHT, work_s, number * 0.01)
    expected_s = table.lookup(LIGHT, 10.0).distribution.remaining_s(done_s)
    assert low_s < expected_s < high_s


@pytest.mark.parametrize("slowness", [0.5, 1.0, 2.5])
def test_work_does_not_depend_on_the_speed(slowness: float) -> None:
    """The same work takes 2.5 times as long for 600 ms, and is not dearer for it."""
    work = TargetWork()
    work.read(1.0, 100.0)
    work.start(1, LIGHT, 1, 8, 100.0)
    work.read(slowness, 100.2)
    ended_s = 100.2 + 0.3 * slowness
    run = work.record(work.end(1, ended_s), ended_s)
    assert run is not None
    assert run.work_s == pytest.approx(0.5)


def test_an_old_reading_gives_way_to_what_is_usual() -> None:
    clock = WorkClock()
    for number in range(1000):
        clock.read(2.0, number * 0.01)
    clock.read(8.0, 10.0)
    assert clock.slowness(10.5) == 8.0
    assert clock.slowness(12.0) == pytest.approx(2.0, rel=0.1)
    before = clock.work_s(11.0)
    assert clock.work_s(13.0) - before == pytest.approx(1.0, rel=0.1)


def test_a_start_is_expected_once_the_first_of_the_running_requests_ends() -> None:
    table = CostTable()
    rng = random.Random(1)
    for number in range(1000):
        table.record(LIGHT, rng.expovariate(10.0), number * 0.01)
    distribution = table.lookup(LIGHT, 10.0).distribution
    remaining = RemainingWork()
    for key in range(4):
        remaining.start(key, distribution, 0.0)
    assert remaining.start_delay_s(5, 0.0, 1.0) == 0.0
    # The first of four exponential ones ends after a fourth of the mean.
    assert remaining.start_delay_s(4, 0.0, 1.0) == pytest.approx(0.025, rel=0.2)
    assert remaining.start_delay_s(4, 0.0, 2.0) == pytest.approx(0.05, rel=0.2)
    remaining.wait(9, 0.4)
    assert remaining.start_delay_s(4, 0.0, 1.0) == pytest.approx(0.125, rel=0.2)
    assert remaining.total_s(0.0) == pytest.approx(0.8, rel=0.2)
    assert remaining.end(9, 0.0) == 0.0
    assert remaining.end(0, 0.07) == pytest.approx(0.07)
    assert remaining.start_delay_s(4, 0.0, 1.0) == 0.0


@pytest.mark.parametrize(
    ("knee", "room_share"), [(2.0, 1.0), (0.8, 0.8), (0.2, MIN_ROOM_SHARE)]
)
def test_the_knee_is_learned_from_run_times(knee: float, room_share: float) -> None:
    meter = KneeMeter()
    rng = random.Random(1)
    for _ in range(2000):
        occupancy = rng.randint(1, 20) / 20
        stretch = rng.lognormvariate(0.0, 0.3) * (2.5 if occupancy >= knee else 1.0)
        meter.record_run(occupancy, stretch)
    assert meter.room_share == room_share


def test_requests_that_fail_leave_no_work_behind() -> None:
    """Otherwise a target that lost many requests would look full for ever."""
    work = TargetWork()
    work.read(1.0, 100.0)
    for key in range(8):
        work.start(key, LIGHT, key + 1, 8, 100.0)
        work.end(key, 100.5)
    assert work.end(99, 100.5) is None
    assert work.report(8, 7, 0, 100.5, None).start_delay_s == 0.0
    work.start(1, LIGHT, 1, 8, 101.0)
    run_work = work.record(work.end(1, 101.2), 101.2)
    assert run_work == RunWork(pytest.approx(0.2), 0.0)
