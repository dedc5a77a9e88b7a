"""Retry budget."""

from hypothesis import given
from hypothesis import strategies as st

from briardock.overload.retries import RetryBudget
from mesh_builders import FakeClock


@given(
    st.integers(1, 40),
    st.lists(st.tuples(st.integers(0, 3), st.integers(0, 200)), max_size=60),
)
def test_retries_of_all_nodes_stay_within_the_budget(
    node_count: int, steps: list[tuple[int, int]]
) -> None:
    """The sum over all nodes must not exceed ratio x requests + slack in a window."""
    ratio, slack = 0.2, 49.0
    budget = RetryBudget(ratio, slack, 1e9)
    requests = retries = 0
    for new_requests, wanted_retries in steps:
        for _ in range(new_requests):
            budget.record_request(0.0)
        requests += new_requests
        retries += sum(budget.spend(node_count, 0.0) for _ in range(wanted_retries))
    assert retries * node_count <= ratio * requests * node_count + slack


def test_retries_expire_after_the_window(clock: FakeClock) -> None:
    budget = RetryBudget(0.2, 4.0, 10.0)
    assert [budget.spend(1, clock.now) for _ in range(3)] == [True, True, False]
    clock.now += 11
    assert budget.spend(1, clock.now)
