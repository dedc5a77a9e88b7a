"""Tests of the injected time and random source."""

import pytest

from briardock.clock import ManualClock, make_random


@pytest.mark.parametrize("steps_ms, expected_ms", [([], 5.0), ([1.5, 2.5], 9.0)])
def test_manual_clock_advances_only_by_steps(
    steps_ms: list[float], expected_ms: float
) -> None:
    clock = ManualClock(5.0)
    for step_ms in steps_ms:
        clock.advance(step_ms)
    assert clock.now_ms() == expected_ms


def test_seed_reproduces_the_sequence() -> None:
    # Guards against a random source that ignores its seed.
    assert make_random(7).random() == make_random(7).random()
