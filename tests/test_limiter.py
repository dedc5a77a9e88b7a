"""Tests of the adaptive concurrency limit against a model target."""

import heapq
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from briardock.clock import ManualClock
from briardock.limiter import Limiter, LimiterSettings, make_limiter


class Target:
    """Saturated target that serves requests in order of admission.

    :param slots: requests that it runs concurrently
    """

    def __init__(self, limiter: Limiter, clock: ManualClock, slots: int) -> None:
        self.limiter = limiter
        self.clock = clock
        self.rng = random.Random(slots)
        self.free_at_ms = [0.0] * slots
        self.completions: list[tuple[float, float, int]] = []

    def run(self, requests_count: int, service_ms: float) -> list[int]:
        """Finish requests one by one and return the limit after each."""
        limits = []
        for _ in range(requests_count):
            while len(self.completions) < self.limiter.limit:
                self.admit(service_ms)
            end_ms, admitted_ms, in_flight = heapq.heappop(self.completions)
            self.clock.advance(max(0.0, end_ms - self.clock.now_ms()))
            self.limiter.observe(end_ms - admitted_ms, in_flight, True)
            limits.append(self.limiter.limit)
        return limits

    def admit(self, service_ms: float) -> None:
        now_ms = self.clock.now_ms()
        start_ms = max(now_ms, heapq.heappop(self.free_at_ms))
        end_ms = start_ms + service_ms * self.rng.lognormvariate(-0.125, 0.5)
        heapq.heappush(self.free_at_ms, end_ms)
        heapq.heappush(self.completions, (end_ms, now_ms, len(self.completions) + 1))


def make_target(slots: int, **changes: int) -> Target:
    clock = ManualClock()
    return Target(make_limiter(LimiterSettings(**changes), clock), clock, slots)


@pytest.mark.parametrize("slots", [25, 65, 90, 125, 210])
def test_limit_converges_to_the_slots(slots: int) -> None:
    # Guards against a limit that collapses and leaves slots idle, and against one
    # that fills the internal queue of the target.
    target = make_target(slots)
    target.run(60 * slots, 20.0)
    limits = target.run(40 * slots, 20.0)
    assert min(limits) > 0.75 * slots
    assert max(limits) < 1.6 * slots


@pytest.mark.parametrize("factor", [3.0, 20.0])
def test_slow_service_does_not_collapse_the_limit(factor: float) -> None:
    # Guards against a limit that mistakes slow service for queueing.
    target = make_target(90)
    target.run(6_000, 10.0)
    limits = target.run(6_000, 10.0 * factor)
    limits += target.run(6_000, 10.0)
    assert min(limits) > 60
    assert max(limits) < 160


def test_unused_limit_does_not_grow() -> None:
    # Guards against unbounded growth while demand is low.
    clock = ManualClock()
    limiter = make_limiter(LimiterSettings(), clock)
    for _ in range(10_000):
        clock.advance(1.0)
        limiter.observe(5.0, 3, True)
    assert limiter.high_limit == 32


def test_failures_do_not_count_as_fast_responses() -> None:
    # Guards against growth caused by immediate errors of a broken target.
    clock = ManualClock()
    limiter = make_limiter(LimiterSettings(), clock)
    for _ in range(10_000):
        clock.advance(1.0)
        limiter.observe(0.1, limiter.limit, False)
    assert limiter.high_limit == 32


@pytest.mark.parametrize(
    "at_ms, limit",
    [(0.0, 20), (5_000.0, 89), (10_000.0, 100), (60_000.0, 100)],
)
def test_cold_start_bounds_the_limit(at_ms: float, limit: int) -> None:
    # The bound grows from 20% of the initial limit to the maximum limit.
    clock = ManualClock()
    settings = LimiterSettings(initial_limit=100, max_limit=400, cold_start_s=10.0)
    limiter = make_limiter(settings, clock)
    assert limiter.limit == 20
    clock.advance(at_ms)
    assert limiter.limit == limit


@given(
    st.integers(1, 20),
    st.integers(20, 500),
    st.lists(
        st.tuples(st.floats(0.0, 1e5), st.integers(0, 1_000), st.booleans()),
        max_size=400,
    ),
    st.floats(0.0, 50.0),
)
def test_limit_stays_within_its_bounds(
    lower_bound: int,
    upper_bound: int,
    observations: list[tuple[float, int, bool]],
    step_ms: float,
) -> None:
    # Guards against division by zero, NaN and limits outside of their bounds.
    clock = ManualClock()
    settings = LimiterSettings(
        min_limit=lower_bound, max_limit=upper_bound, initial_limit=upper_bound
    )
    limiter = make_limiter(settings, clock)
    for own_time_ms, in_flight, ok in observations:
        clock.advance(step_ms)
        limiter.observe(own_time_ms, in_flight, ok)
        assert lower_bound <= limiter.limit <= upper_bound
