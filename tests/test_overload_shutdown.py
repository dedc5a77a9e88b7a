"""Requests and calls that a node accepts while it shuts down."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from briardock.overload.shutdown import ANSWER_MARGIN_S, Shutdown, StallMeter

START_S = 100.0


@pytest.mark.parametrize(
    ("grace_s", "after_stop_s", "remaining_s", "accepted"),
    [
        (6.0, 0.0, 30.0, True),
        (6.0, 2.7, 30.0, True),
        (6.0, 2.9, 30.0, False),
        (6.0, 2.9, 2.0, True),
        (6.0, 5.0, 0.6, True),
        (6.0, 5.0, 0.8, False),
        (4.0, 1.9, 30.0, True),
        (4.0, 2.1, 30.0, False),
        (30.0, 2.9, 28.0, False),
        (0.0, 0.1, 1.0, False),
    ],
)
def test_late_request_is_accepted_only_if_it_expires_before_the_end(
    grace_s: float, after_stop_s: float, remaining_s: float, accepted: bool
) -> None:
    """A request that outlasts the process ends without an answer."""
    now = START_S + after_stop_s
    assert Shutdown(START_S, grace_s).accepts(now + remaining_s, now) is accepted


@given(st.floats(0.5, 60.0), st.floats(0.0, 60.0), st.floats(0.0, 60.0))
def test_accepted_request_has_half_of_the_grace_period_or_expires_in_it(
    grace_s: float, after_stop_s: float, remaining_s: float
) -> None:
    shutdown = Shutdown(START_S, grace_s)
    now = START_S + after_stop_s
    if shutdown.accepts(now + remaining_s, now):
        end_s = START_S + grace_s - min(ANSWER_MARGIN_S, grace_s / 6)
        assert now + remaining_s <= end_s or now < START_S + grace_s / 2


@pytest.mark.parametrize(
    ("idempotent", "longest_run_s", "after_stop_s", "accepted"),
    [
        (True, 0.2, 5.3, True),
        (True, 0.2, 5.5, False),
        (True, 1.0, 4.0, True),
        (True, 2.0, 2.9, False),
        (True, 0.0, 2.9, False),
        (False, 0.2, 2.7, True),
        (False, 0.2, 2.9, False),
    ],
)
def test_call_that_must_not_repeat_is_not_accepted_late(
    idempotent: bool, longest_run_s: float, after_stop_s: float, accepted: bool
) -> None:
    """It may be lost with the process, and nobody can tell whether it has run."""
    shutdown, now = Shutdown(START_S, 6.0), START_S + after_stop_s
    is_accepted = shutdown.accepts_call(now + 5.0, idempotent, longest_run_s, now)
    assert is_accepted is accepted


@pytest.mark.parametrize(
    ("runs_s", "handled_s", "sent_s"),
    [
        ((0.2, 0.4), 0.5, 0.5),
        ((0.2, 0.4), 2.0, 0.4),
        ((0.2, 0.4, 2.0), 2.0, 0.4),
        ((0.2, 0.4, 2.0, 2.2), 2.2, 2.2),
        ((), 1.0, 0.0),
        ((0.2, 0.4), 9.0, 6.0),
    ],
)
def test_signal_after_a_stall_may_have_been_sent_at_its_start(
    runs_s: tuple[float, ...], handled_s: float, sent_s: float
) -> None:
    """The grace period of a frozen process begins before it learns of the signal."""
    meter = StallMeter(START_S)
    for run_s in runs_s:
        meter.record_run(START_S + run_s)
    assert meter.signal_time_s(START_S + handled_s, 6.0) == START_S + sent_s


@pytest.mark.parametrize("grace_s", [0.6, 1.0, 1.7, 6.0])
def test_requests_in_flight_are_ended_in_the_last_sixth_only(grace_s: float) -> None:
    """A shortened grace period ended them while their targets still had time."""
    end_s = Shutdown(START_S, grace_s).ends_s - START_S
    assert grace_s * 5 / 6 <= end_s + 1e-6
    assert end_s < grace_s
