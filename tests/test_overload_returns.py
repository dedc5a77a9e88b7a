"""Return of refused requests."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from briardock.overload.entry import Admitted, EntryAdmission, EntryRequest, TurnedAway
from briardock.overload.returns import (
    MAX_WAIT_SHARE,
    MIN_RETRY_AFTER_S,
    AttemptAge,
    Refused,
    retry_after_s,
    return_share,
)


@given(
    st.floats(0.1, 5.0), st.floats(0.01, 30.0), st.floats(0.0, 30.0), st.floats(0, 1)
)
def test_a_caller_is_told_a_time_that_it_can_wait(
    objective_s: float, remaining_s: float, age_s: float, share: float
) -> None:
    """Callers wait for a third of their time at most."""
    refused = Refused(objective_s, remaining_s, age_s, 0.1, share)
    wait_s = retry_after_s(refused, random.Random(1))
    longest_s = max(MIN_RETRY_AFTER_S, remaining_s * MAX_WAIT_SHARE)
    assert MIN_RETRY_AFTER_S <= wait_s <= longest_s + 1e-9


def test_after_a_small_shortage_returns_can_be_answered_in_time() -> None:
    rng = random.Random(1)
    refused = Refused(1.5, 5.0, 0.0, 0.5, share=0.8)
    waits_s = [retry_after_s(refused, rng) for _ in range(200)]
    assert max(waits_s) + refused.response_time_s <= refused.objective_s
    assert max(waits_s) > 2 * min(waits_s)


def test_after_a_large_shortage_returns_come_as_late_as_they_can() -> None:
    """Those that come back soon are refused again, and have no further attempt."""
    rng = random.Random(1)
    refused = Refused(1.5, 5.0, 0.0, 0.5, share=0.1)
    waits_s = [retry_after_s(refused, rng) for _ in range(200)]
    assert min(waits_s) > 0.5 * 5.0 * MAX_WAIT_SHARE
    assert max(waits_s) > 1.5 * min(waits_s)


@pytest.mark.parametrize(
    ("deadlines_s", "expected_age_s"),
    [
        ([5.0] * 20 + [4.2], 0.8),
        ([5.0] * 20 + [4.999], 0.0),
        ([5.0] * 20 + [5.0], 0.0),
    ],
)
def test_a_return_is_known_by_its_shorter_deadline(
    deadlines_s: list[float], expected_age_s: float
) -> None:
    age = AttemptAge()
    ages_s = [age.observe(d, 50.0 + 0.01 * n) for n, d in enumerate(deadlines_s)]
    assert ages_s[-1] == pytest.approx(expected_age_s, abs=0.01)


def test_deadlines_that_differ_by_caller_tell_nothing() -> None:
    """Callers with short deadlines of their own must not be taken for returns."""
    rng = random.Random(1)
    age = AttemptAge()
    ages_s = [age.observe(rng.uniform(1.0, 5.0), 50.0 + 0.01 * n) for n in range(500)]
    assert not any(ages_s[200:])


def test_returns_are_admitted_once_the_shortage_is_small() -> None:
    shares = [return_share(share / 10) for share in range(11)]
    assert shares == sorted(shares)
    assert shares[5] == 0.0
    assert shares[10] == 1.0


def entry_request(number: int, age_s: float) -> EntryRequest:
    request_id = random.Random(number).randbytes(8)
    return EntryRequest(request_id, "r", "jobs", 1, 1.5, 5.0 - age_s, age_s)


@pytest.mark.parametrize(("age_s", "expected_share"), [(0.0, 0.6), (0.1, 0.0)])
def test_repeating_at_once_during_an_overload_gains_nothing(
    age_s: float, expected_share: float
) -> None:
    """With the same chance for each attempt, who repeats three times is admitted in 97
    of 100 cases where others are in 60.
    """
    entry = EntryAdmission(random.Random(1))
    decisions = [entry.decide(entry_request(n, age_s), 1.6) for n in range(1000)]
    admitted = sum(isinstance(decision, Admitted) for decision in decisions)
    assert admitted / 1000 == pytest.approx(expected_share, abs=0.05)


def test_refusals_of_one_entry_do_not_come_back_as_a_wave() -> None:
    entry = EntryAdmission(random.Random(1))
    waits_s = []
    for number in range(400):
        decision = entry.decide(entry_request(number, 0.0), 1.0)
        assert isinstance(decision, TurnedAway)
        waits_s.append(decision.retry_after_s)
    in_tenths = [int(10 * wait_s) for wait_s in waits_s]
    most = max(in_tenths.count(tenth) for tenth in set(in_tenths))
    assert most < 0.25 * len(waits_s)
