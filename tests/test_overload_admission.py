"""Admission thresholds."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from briardock.overload.admission import (
    CONTROL_PERIOD_S,
    OPEN_THRESHOLD,
    DemandMeter,
    TargetThreshold,
    Usage,
    admitted_share,
    is_sampled,
)
from briardock.overload.target_thresholds import TargetThresholds


def usage_at(factor: float) -> Usage:
    return Usage(
        elapsed_s=1.0, arrivals=int(100 * factor), capacity_per_s=100, queued=0
    )


def open_threshold() -> TargetThreshold:
    """Return the threshold of a target that has had headroom for a while."""
    threshold = TargetThreshold()
    for _ in range(20):
        threshold.update(usage_at(0.0), 3.0)
    assert threshold.value == OPEN_THRESHOLD
    return threshold


@pytest.mark.parametrize(("max_threshold", "first"), [(3.0, 2.0), (1.0, 0.5)])
def test_threshold_rises_gradually_after_the_start(
    max_threshold: float, first: float
) -> None:
    """A restart of all nodes must not admit all callers at once in its first second."""
    threshold = TargetThreshold()
    threshold.update(usage_at(0.9), max_threshold)
    assert first <= threshold.value < first + 0.1
    for _ in range(20):
        threshold.update(usage_at(0.2), max_threshold)
    assert threshold.value == OPEN_THRESHOLD


def test_threshold_falls_under_overload_and_rises_again() -> None:
    threshold = open_threshold()
    for _ in range(3):
        threshold.update(usage_at(2.0), 3.0)
    assert 2.0 <= threshold.value < 3.0
    for _ in range(100):
        threshold.update(usage_at(0.3), 3.0)
    assert threshold.value == OPEN_THRESHOLD


def test_a_priority_is_refused_completely_before_the_next() -> None:
    """One large step could refuse bookings together with less important reads."""
    threshold = open_threshold()
    threshold.update(Usage(1.0, 10_000, 100.0, 500), 3.0)
    assert threshold.value == 2.0
    threshold.update(Usage(1.0, 10_000, 100.0, 500), 3.0)
    assert threshold.value == 2.0


def test_threshold_is_kept_while_the_backlog_shrinks() -> None:
    """The backlog of the first second after a restart of all nodes must not have the
    most important requests refused once it has stopped growing.
    """
    threshold = open_threshold()
    for queued in (100, 300, 500):
        threshold.update(Usage(1.0, 150, 100.0, queued), 3.0)
    lowered = threshold.value
    for queued in range(480, 0, -20):
        threshold.update(Usage(1.0, 95, 100.0, queued), 3.0)
    assert threshold.value == lowered


@given(st.integers(0, 5), st.binary(min_size=1, max_size=16))
def test_surge_does_not_limit_more_important_priorities(
    priority: int, request_id: bytes
) -> None:
    """Scaling by the baseline demand must only affect the priority at the threshold;
    otherwise requests for certificates are refused as well.
    """
    assert admitted_share(priority, priority + 1.0, baseline_ratio=0.1) == 1.0
    assert is_sampled(request_id, 1.0)
    assert admitted_share(priority, float(priority), baseline_ratio=1.0) == 0.0
    assert not is_sampled(request_id, 0.0)


def test_surge_is_admitted_at_the_baseline_rate() -> None:
    meter = DemandMeter()
    for _ in range(100):
        for _ in range(10):
            meter.record()
        meter.update()
    assert meter.baseline_ratio > 0.95
    for _ in range(3):
        for _ in range(30):
            meter.record()
        meter.update()
    assert meter.baseline_ratio < 0.6


@pytest.mark.parametrize("important_share", [0.2, 0.5])
@pytest.mark.parametrize("delay_s", [0.45, 0.9])
def test_level_follows_a_lost_instance_without_waste(
    important_share: float, delay_s: float
) -> None:
    """The threshold must not fall a whole priority below the capacity of the remaining
    instances, which leaves half of their slots free for more than 3 s.
    """
    delay = round(delay_s / CONTROL_PERIOD_S)
    threshold = open_threshold()
    history = [3.0] * (delay + 1)
    queued, used = 0.0, []
    for step in range(100):
        capacity_per_s = 1_000.0 if step < 20 else 667.0
        share = min(1.0, max(0.0, history[-1 - delay] - 2.0))
        demand_per_s = 800.0 * (important_share + (1.0 - important_share) * share)
        work = queued + demand_per_s * CONTROL_PERIOD_S
        completed = min(work, capacity_per_s * CONTROL_PERIOD_S)
        queued = work - completed
        used.append(completed / capacity_per_s / CONTROL_PERIOD_S)
        arrivals = int(demand_per_s * CONTROL_PERIOD_S)
        usage = Usage(CONTROL_PERIOD_S, arrivals, capacity_per_s, int(queued))
        threshold.update(usage, 3.0)
        history.append(min(3.0, threshold.value))
    assert queued < 0.1 * 667
    assert sum(used[20:]) / 80 > 0.9


def test_threshold_falls_again_soon_after_it_rose_from_a_boundary() -> None:
    """Settling at a boundary protects the next priority, not the one above it."""
    threshold = open_threshold()
    overloaded, idle = Usage(0.15, 300, 1_000.0, 500), Usage(0.15, 0, 1_000.0, 0)
    while threshold.value != 2.0:
        threshold.update(overloaded, 3.0)
    while threshold.value < 2.3:
        threshold.update(idle, 3.0)
    raised = threshold.value
    for _ in range(3):
        threshold.update(overloaded, 3.0)
    assert 2.0 <= threshold.value < raised


class _Load:
    """Load of a target of 10 slots, which completes 100 requests per s.

    :param callers_share: share of the slots that callers' requests use
    :param ranks_per_level: ranks that make up one unit of a threshold
    """

    def __init__(self, callers_share: float, ranks_per_level: int = 1) -> None:
        self._callers_share = callers_share
        self._ranks_per_level = ranks_per_level
        self.thresholds = TargetThresholds()

    def update(self, arrivals: int, queued: int) -> None:
        """Run one control period; one of the ended runs is of callers' requests."""
        self.thresholds.record_run(True, 1.5 * self._callers_share)
        for _ in range(14):
            run_time_s = 0.1 * (1.0 - self._callers_share)
            self.thresholds.record_run(False, run_time_s)
        self.thresholds.update(
            Usage(0.15, arrivals, 100.0, queued),
            Usage(0.15, 4, 100.0, 0),
            4.0,
            self._ranks_per_level,
        )

    def fit(self) -> None:
        """Have all requests fit until the thresholds are open."""
        for _ in range(60):
            self.update(9, 0)

    def exceed(self, until: float) -> float:
        """Have more calls than fit; return their threshold once it is low enough."""
        for _ in range(60):
            self.update(25, 30)
            calls = self.thresholds.value(from_caller=False)
            if calls < until:
                break
        return calls


@pytest.mark.parametrize(
    ("callers_share", "caller_ranks", "call_ranks", "margin"),
    [
        (0.5, [], [], None),
        # Callers of more important requests go before the calls that are refused.
        (0.5, [0, 1], [], None),
        # Those of requests as important, or less, are limited with the calls.
        (0.5, [1, 2], [], 0.0),
        (0.5, [3], [], 0.0),
        # Calls of more important requests go before a small load of callers.
        (0.15, [2], [1], 1.05),
        # Calls of the same level go after it.
        (0.15, [2], [1, 2], 0.0),
    ],
)
def test_calls_in_excess_limit_callers_that_are_not_more_important(
    callers_share: float,
    caller_ranks: list[int],
    call_ranks: list[int],
    margin: float | None,
) -> None:
    """Long runs of the least important callers were served at 0.885, and more important
    requests whose calls ended at the same service at 0.517. Limited with the calls, a
    small load of callers was served at 0.72 instead of 0.97.
    """
    load = _Load(callers_share)
    load.fit()
    for rank in caller_ranks:
        load.thresholds.record_arrival(rank, from_caller=True)
    for rank in call_ranks:
        load.thresholds.record_arrival(rank, from_caller=False)
    calls = load.exceed(until=3.0)
    assert 2.0 <= calls < 3.0
    callers = load.thresholds.value(from_caller=True)
    assert callers == (OPEN_THRESHOLD if margin is None else calls + margin)


@pytest.mark.parametrize("until", [1.9, 1.5, 1.1])
def test_a_minor_load_of_callers_is_refused_as_more_important_calls_are(
    until: float,
) -> None:
    """With a margin of 1.25, callers of priority 1 at 8 times their usual demand were
    served at 0.43, and more important requests that make calls at 0.38.
    """
    load = _Load(0.15)
    load.fit()
    load.thresholds.record_arrival(2, from_caller=True)
    load.thresholds.record_arrival(1, from_caller=False)
    calls = load.exceed(until)
    assert 1.0 <= calls < until
    callers = load.thresholds.value(from_caller=True)
    assert callers == pytest.approx(calls + 1.05)


@pytest.mark.parametrize(("rank", "limited"), [(4, False), (5, False), (6, True)])
def test_callers_are_limited_by_their_rank(rank: int, limited: bool) -> None:
    """With three account priorities a threshold of 2.0 admits the ranks up to 5; with
    ranks compared as priorities, callers that it admits would be limited.
    """
    load = _Load(0.5, ranks_per_level=3)
    load.fit()
    load.thresholds.record_arrival(rank, from_caller=True)
    calls = load.exceed(until=2.05)
    assert 1.95 < calls < 2.05
    callers = load.thresholds.value(from_caller=True)
    assert callers == (calls if limited else OPEN_THRESHOLD)


def test_callers_with_a_large_load_stay_limited_while_it_is_refused() -> None:
    """Refused requests use no slots; taking that for a small load would admit all of
    them again and again.
    """
    load = _Load(0.5)
    load.fit()
    load.thresholds.record_arrival(2, from_caller=True)
    load.exceed(until=2.5)
    for _ in range(100):
        load.thresholds.record_run(False, 0.1)
        load.thresholds.update(
            Usage(0.15, 16, 100.0, 10), Usage(0.15, 0, 100.0, 0), 4.0
        )
        assert load.thresholds.value(from_caller=True) < OPEN_THRESHOLD


def test_refused_callers_do_not_lower_the_threshold_of_calls() -> None:
    """Long runs that were refused already still waited in the queue, and the calls of
    more important requests were refused for them.
    """
    load = _Load(0.5)
    load.fit()
    thresholds = load.thresholds
    queued = {(2, True): 30}
    for _ in range(60):
        for _ in range(20):
            thresholds.record_arrival(2, from_caller=True)
        thresholds.update(
            Usage(0.15, 25, 100.0, 30), Usage(0.15, 20, 100.0, 30), 4.0, 1, queued
        )
    assert thresholds.value(from_caller=False) == 2.0


def test_least_important_callers_stay_limited_while_they_do_not_arrive() -> None:
    """Refused requests reach no target; taking that for their absence would admit all
    of them again and again.
    """
    load = _Load(0.5)
    load.fit()
    thresholds = load.thresholds
    thresholds.record_arrival(2, from_caller=True)
    for step in range(400):
        arrivals = 16 if step < 200 else 15
        thresholds.update(
            Usage(0.15, arrivals, 100.0, 10), Usage(0.15, 0, 100.0, 0), 3.0
        )
        if step > 50 and thresholds.value(from_caller=False) < OPEN_THRESHOLD:
            assert thresholds.value(from_caller=True) < OPEN_THRESHOLD
    for _ in range(400):
        thresholds.update(Usage(0.15, 1, 100.0, 0), Usage(0.15, 0, 100.0, 0), 3.0)
    assert thresholds.value(from_caller=True) == OPEN_THRESHOLD
