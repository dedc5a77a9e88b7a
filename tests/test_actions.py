"""Tests of action records: at most one run per key for any number of resends."""

from hypothesis import given
from hypothesis import strategies as st

from briardock.actions import Finished, InProgress, Started, make_action_table
from briardock.budget import make_budget
from briardock.clock import ManualClock
from briardock.outcomes import Completed, NotRun, Outcome, Reason, Unknown

EXPIRES_AT_MS = 1_000.0

OUTCOMES = st.sampled_from(
    [
        Completed(200, (), b"booked"),
        NotRun(Reason.OVERLOADED),
        Unknown(Reason.ANSWER_LOST),
    ]
)


@given(
    outcomes=st.lists(OUTCOMES, min_size=1, max_size=8),
    resends=st.integers(0, 10),
    retries=st.integers(0, 4),
)
def test_resends_never_run_an_action_that_may_have_run(
    outcomes: list[Outcome], resends: int, retries: int
) -> None:
    # Guards against a second run when the first may have run.
    table = make_action_table(ManualClock())
    runs: list[Outcome] = []
    remaining = iter(outcomes)
    for _ in range(resends + 1):
        result = table.begin("k", "digest", make_budget(retries), EXPIRES_AT_MS)
        if not isinstance(result, Started):
            continue
        outcome = next(remaining, Completed(200))
        table.finish(result.action, outcome)
        runs.append(outcome)
    assert all(isinstance(outcome, NotRun) for outcome in runs[:-1])
    assert len(runs) <= retries + 1


def test_resend_during_the_run_waits_for_the_same_action() -> None:
    table = make_action_table(ManualClock())
    first = table.begin("k", "d", make_budget(2), EXPIRES_AT_MS)
    second = table.begin("k", "d", make_budget(2), EXPIRES_AT_MS)
    assert isinstance(first, Started)
    assert isinstance(second, InProgress)
    assert second.action is first.action


def test_key_with_another_body_is_refused() -> None:
    table = make_action_table(ManualClock())
    table.begin("k", "d1", make_budget(2), EXPIRES_AT_MS)
    other = table.begin("k", "d2", make_budget(2), EXPIRES_AT_MS)
    assert isinstance(other, Finished)
    assert isinstance(other.outcome, NotRun)
    assert other.outcome.reason is Reason.KEY_REUSED


def test_full_table_refuses_new_actions_and_drops_none() -> None:
    # Guards against dropping a record whose key is still valid.
    table = make_action_table(ManualClock(), max_records=2)
    for key in ("a", "b"):
        started = table.begin(key, "d", make_budget(0), EXPIRES_AT_MS)
        assert isinstance(started, Started)
        table.finish(started.action, Completed(200))
    refused = table.begin("c", "d", make_budget(0), EXPIRES_AT_MS)
    assert isinstance(refused, Finished)
    assert isinstance(refused.outcome, NotRun)
    assert table.begin("a", "d", make_budget(0), EXPIRES_AT_MS) == Finished(
        Completed(200)
    )


def test_dropped_body_gives_unknown_and_never_a_second_run() -> None:
    table = make_action_table(ManualClock(), max_held_bytes=10)
    for key in ("a", "b"):
        started = table.begin(key, "d", make_budget(2), EXPIRES_AT_MS)
        assert isinstance(started, Started)
        table.finish(started.action, Completed(200, (), b"12345678"))
    resent = table.begin("a", "d", make_budget(2), EXPIRES_AT_MS)
    assert isinstance(resent, Finished)
    assert isinstance(resent.outcome, Unknown)
    assert table.held_bytes <= 10


def test_expiry_keeps_running_actions() -> None:
    clock = ManualClock()
    table = make_action_table(clock)
    table.begin("running", "d", make_budget(0), EXPIRES_AT_MS)
    finished = table.begin("done", "d", make_budget(0), EXPIRES_AT_MS)
    assert isinstance(finished, Started)
    table.finish(finished.action, Completed(200))
    clock.advance(EXPIRES_AT_MS)
    table.expire()
    assert len(table) == 1
