"""Tests of retry budgets."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from briardock.budget import RetryBudget, make_budget, make_retry_ratio


@pytest.mark.parametrize(
    "tokens, fan_outs, shares, left",
    [
        (2, [1], [2], 0),
        (2, [2, 1], [1, 1], 0),
        (3, [2, 1], [2, 1], 0),
        (1, [3, 2, 1], [1, 0, 0], 0),
        (0, [1], [0], 0),
        (-1, [1], [0], 0),
        (4, [0], [4], 0),
    ],
)
def test_delegate_splits_over_children(
    tokens: int, fan_outs: list[int], shares: list[int], left: int
) -> None:
    budget = make_budget(tokens)
    assert [budget.delegate(fan_out) for fan_out in fan_outs] == shares
    assert budget.left == left


def test_refunded_tokens_go_to_the_next_child() -> None:
    budget = make_budget(2)
    budget.refund(budget.delegate())
    assert budget.delegate() == 2


def test_spend_stops_at_zero() -> None:
    budget = make_budget(1)
    assert [budget.spend(), budget.spend()] == [True, False]
    assert budget.left == 0


def run_call(budget: RetryBudget, depth: int, data: st.DataObject) -> int:
    """Run a random call tree and return the retries made in it."""
    retries_count = 0
    children_count = data.draw(st.integers(0, 3)) if depth else 0
    for index in range(children_count):
        children_left = children_count - index
        while True:
            child = make_budget(budget.delegate(children_left))
            retries_count += run_call(child, depth - 1, data)
            outcome = data.draw(st.sampled_from(["ok", "refused", "lost"]))
            if outcome != "lost":
                budget.refund(child.left)
            if outcome == "ok" or not budget.spend():
                break
            retries_count += 1
    return retries_count


@given(st.integers(0, 6), st.integers(0, 4), st.data())
def test_retries_in_a_tree_never_exceed_the_root_budget(
    tokens: int, depth: int, data: st.DataObject
) -> None:
    # Guards against retries that multiply per hop, and against a refund of the
    # tokens of a lost response.
    budget = make_budget(tokens)
    assert run_call(budget, depth, data) + budget.left <= tokens


@given(st.floats(0.0, 1.0), st.integers(0, 20), st.lists(st.booleans(), max_size=300))
def test_ratio_bounds_retries(
    ratio: float, burst: int, first_attempts: list[bool]
) -> None:
    # Guards against a retry storm of many actions, each within its own budget.
    retry_ratio = make_retry_ratio(ratio, burst)
    first_attempts_count = 0
    retries_count = 0
    for is_first in first_attempts:
        if is_first:
            retry_ratio.record_first_attempt()
            first_attempts_count += 1
        elif retry_ratio.allow_retry():
            retries_count += 1
        assert retries_count <= burst + ratio * first_attempts_count + 1e-6
