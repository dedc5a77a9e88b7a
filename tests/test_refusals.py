"""Tests of the thresholds learned per operation."""

from hypothesis import given
from hypothesis import strategies as st

from briardock.clock import ManualClock, make_random
from briardock.messages import MAX_PRIORITY_VALUE
from briardock.refusals import (
    THRESHOLD_EXPIRY_MS,
    make_downstream_thresholds,
)


@given(st.integers(0, MAX_PRIORITY_VALUE), st.floats(0, 2 * THRESHOLD_EXPIRY_MS))
def test_threshold_is_kept_until_it_expires(threshold: int, age_ms: float) -> None:
    # Guards against refusals that outlive the overload.
    clock = ManualClock()
    thresholds = make_downstream_thresholds(clock, make_random(1))
    thresholds.learn("a.b", MAX_PRIORITY_VALUE)
    thresholds.learn("a.b", threshold)
    clock.advance(age_ms)
    assert thresholds.threshold("a.b") == (
        threshold if age_ms < THRESHOLD_EXPIRY_MS else MAX_PRIORITY_VALUE
    )
    assert thresholds.threshold("a.c") == MAX_PRIORITY_VALUE
    assert thresholds.state() == {"a.b": thresholds.threshold("a.b")}


def test_refused_priorities_pass_rarely_as_probes() -> None:
    thresholds = make_downstream_thresholds(ManualClock(), make_random(1))
    thresholds.learn("a.b", 100)
    assert all(thresholds.admits("a.b", 100) for _ in range(1_000))
    passed = sum(thresholds.admits("a.b", 101) for _ in range(10_000))
    assert 100 < passed < 300
