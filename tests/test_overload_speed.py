"""Run times that nodes publish of their targets, and their use by those who choose."""

import random

import msgspec
import pytest

from briardock.mesh.members import MemberTable
from briardock.overload.placement import Balancer
from briardock.overload.speed import IDLE_TIME_S, LongestRun, SpeedMeter
from mesh_builders import record

CONTROL_PERIOD_S = 0.15


def run_target(
    meter: SpeedMeter,
    run_time_s: float,
    per_s: float,
    start_s: float,
    duration_s: float,
    rng: random.Random,
    slots: int = 14,
) -> list[float]:
    """Run a target with constant demand; return the times of its publications."""
    published = []
    running: list[tuple[float, float]] = []
    now, next_arrival_s = start_s, start_s
    while now < start_s + duration_s:
        now += CONTROL_PERIOD_S
        while next_arrival_s < now:
            if len(running) < slots:
                time_s = run_time_s * rng.lognormvariate(-0.125, 0.5)
                running.append((next_arrival_s, next_arrival_s + time_s))
            next_arrival_s += rng.expovariate(per_s)
        for started_s, end_s in [run for run in running if run[1] <= now]:
            meter.record_run(end_s - started_s, end_s)
        running = [run for run in running if run[1] > now]
        if meter.update([now - started_s for started_s, _ in running], now):
            published.append(now)
    return published


@pytest.mark.parametrize("per_s", [1.0, 4.0, 12.0])
@pytest.mark.parametrize("seed", range(5))
def test_normal_variation_is_published_rarely(per_s: float, seed: int) -> None:
    """Each publication goes to all nodes of the fleet."""
    meter = SpeedMeter()
    published = run_target(meter, 0.3, per_s, 0.0, 60.0, random.Random(seed))
    assert 1 <= len(published) <= 6


@pytest.mark.parametrize("per_s", [4.0, 12.0])
@pytest.mark.parametrize("seed", range(5))
def test_a_target_twelve_times_slower_is_told_within_two_seconds(
    per_s: float, seed: int
) -> None:
    """Its first slow runs end only after 3.6 s."""
    rng = random.Random(seed)
    meter = SpeedMeter()
    run_target(meter, 0.3, per_s, 0.0, 20.0, rng)
    before_s = meter.published_s
    run_target(meter, 3.6, per_s, 20.0, 2.0, rng)
    assert meter.published_s > 2 * before_s


def test_a_time_is_withdrawn_once_nothing_runs() -> None:
    """An instance that is avoided would never show that it has recovered."""
    meter = SpeedMeter()
    run_target(meter, 3.6, 4.0, 0.0, 20.0, random.Random(1))
    assert meter.published_s > 0
    assert meter.update([], 100.0 + IDLE_TIME_S)
    assert meter.published_s == 0.0
    assert not meter.update([], 200.0)


def test_many_senders_that_know_nothing_avoid_slow_instances() -> None:
    """195 nodes send each of 98 instances a request in more than ten seconds; two
    fifths of these requests went to the two fifths that were 12 times slower.
    """
    members = MemberTable(record("own", service="portal"))
    for number in range(50):
        members.merge(
            record(
                f"n{number}",
                address=f"10.0.1.{number}:1",
                run_time_ms=3600 if number < 20 else 300,
            )
        )
    chosen_slow = 0
    for seed in range(400):
        balancer = Balancer(members, "d1", random.Random(seed))
        chosen = balancer.choose("jobs", set(), True, 100.0)
        assert chosen is not None
        chosen_slow += chosen.run_time_ms == 3600
    # Both of two random ones are slow in 16 of 100 cases.
    assert chosen_slow / 400 < 0.2


def test_instances_that_differ_as_usual_are_all_used() -> None:
    """Speeds from 0.5 to 1.5 are normal; a slow service has no faster instances."""
    for run_times_ms in ([200, 300, 300, 600], [3600, 3600, 3600, 3600]):
        members = MemberTable(record("own", service="portal"))
        for number, run_time_ms in enumerate(run_times_ms):
            item = record(f"n{number}", address=f"10.0.1.{number}:1")
            members.merge(msgspec.structs.replace(item, run_time_ms=run_time_ms))
        balancer = Balancer(members, "d1", random.Random(1))
        balancer.choose("jobs", set(), True, 100.0)
        assert balancer._slowness == {}


@pytest.mark.parametrize(
    ("runs", "running_ages_s", "longest_s"),
    [
        ([], [], 0.0),
        ([], [0.7], 0.7),
        ([(0.0, 0.1), (1.0, 2.0), (2.0, 0.1)], [0.3], 2.0),
        ([(0.0, 2.0), (11.0, 0.1)], [], 2.0),
        ([(0.0, 2.0), (11.0, 0.1), (22.0, 0.2)], [], 0.2),
    ],
)
def test_few_long_runs_beside_many_short_ones_count(
    runs: list[tuple[float, float]], running_ages_s: list[float], longest_s: float
) -> None:
    """By their mean, calls were accepted that outlasted the node."""
    longest_run = LongestRun()
    for ended_s, run_time_s in runs:
        longest_run.record_run(run_time_s, 1_000.0 + ended_s)
    assert longest_run.value_s(running_ages_s) == longest_s
