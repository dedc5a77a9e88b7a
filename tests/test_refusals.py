"""Tests of the thresholds remembered per operation."""

from hypothesis import given
from hypothesis import strategies as st

from briardock.clock import ManualClock, make_random
from briardock.messages import MAX_LEVEL
from briardock.refusals import LEVEL_EXPIRY_MS, make_chain_levels


@given(st.integers(0, MAX_LEVEL), st.floats(0, 2 * LEVEL_EXPIRY_MS))
def test_level_is_remembered_until_it_expires(level: int, age_ms: float) -> None:
    # Guards against refusals that outlive the overload.
    clock = ManualClock()
    levels = make_chain_levels(clock, make_random(1))
    levels.learn("a.b", MAX_LEVEL)
    levels.learn("a.b", level)
    clock.advance(age_ms)
    assert levels.level("a.b") == (level if age_ms < LEVEL_EXPIRY_MS else MAX_LEVEL)
    assert levels.level("a.c") == MAX_LEVEL
    assert levels.state() == {"a.b": levels.level("a.b")}


def test_refused_levels_pass_rarely_as_probes() -> None:
    levels = make_chain_levels(ManualClock(), make_random(1))
    levels.learn("a.b", 100)
    assert all(levels.admits("a.b", 100) for _ in range(1_000))
    passed = sum(levels.admits("a.b", 101) for _ in range(10_000))
    assert 100 < passed < 300
