"""Tests of retry decisions and of the outcomes that dispatch returns."""

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from briardock.budget import make_retry_ratio
from briardock.dispatch import (
    MAX_REROUTES,
    RETRYABLE_REASONS,
    answer_from_outcome,
    outcome_from_answer,
)
from briardock.messages import Answer, Call, Forward
from briardock.outcomes import Completed, NotRun, Outcome, Reason, Unknown
from briardock.peers import LinkFailure
from callpath_fakes import CallPath, make_dispatch

MEMBERS = [f"m{i}" for i in range(9)]
RESPONSE_LOST = LinkFailure(True, "lost")
NEVER_SENT = LinkFailure(False, "refused")
TARGET_DIED = Unknown(Reason.TARGET_DIED)


def unknown(reason: Reason) -> Answer:
    return Answer(0, "unknown", reason=reason.value, retries_left=2)


def refusal(reason: Reason) -> Answer:
    return Answer(0, "not-run", reason=reason.value, retries_left=2)


def make_call_path(
    *script: Answer | LinkFailure, ratio: float = 1.0, members: int = len(MEMBERS)
) -> CallPath:
    path = CallPath(ratio=make_retry_ratio(ratio, 10.0 if ratio else 0.0))
    path.links.script = list(script)
    path.add_members(*MEMBERS[:members])
    return path


def run(path: CallPath, once: bool = True, retries: int = 2) -> Outcome:
    call = make_dispatch(path.clock, once, retries)
    return anyio.run(path.dispatcher.run, call)


RESPONSES = st.sampled_from(
    [
        RESPONSE_LOST,
        NEVER_SENT,
        Answer(0, "completed", 200),
        unknown(Reason.TARGET_DIED),
        unknown(Reason.DEADLINE_EXCEEDED),
        Answer(0, "not-run", reason="no-such-reason"),
        *[refusal(r) for r in sorted(RETRYABLE_REASONS)],
        refusal(Reason.QUARANTINED),
        refusal(Reason.DEADLINE_EXCEEDED),
    ]
)


def may_have_run(step: Answer | LinkFailure) -> bool:
    if isinstance(step, LinkFailure):
        return step.sent
    return step.outcome != "not-run"


@given(st.lists(RESPONSES, min_size=1, max_size=8), st.booleans(), st.integers(0, 3))
def test_not_run_means_that_no_attempt_may_have_run(
    script: list[Answer | LinkFailure], once: bool, retries: int
) -> None:
    # Guards against "not run" after a lost response, and against a second run
    # of an at-most-once call.
    path = make_call_path(*script)
    outcome = run(path, once, retries)
    seen = (script + [Answer(0, "completed", 200)] * 20)[: len(path.links.sent)]
    ran = [step for step in seen if may_have_run(step)]
    assert isinstance(outcome, NotRun) == (not ran)
    if once:
        assert len(ran) <= 1
        assert not ran or seen[-1] is ran[0]
    assert len(seen) <= 1 + retries + MAX_REROUTES
    nodes = [peer.node_id for peer, _ in path.links.sent]
    assert len(set(nodes)) == len(nodes)


@pytest.mark.parametrize(
    "first, once, attempts, expected",
    [
        (RESPONSE_LOST, True, 1, Unknown(Reason.ANSWER_LOST, "lost")),
        (unknown(Reason.TARGET_DIED), True, 1, TARGET_DIED),
        (unknown(Reason.TARGET_DIED), False, 2, Completed(200)),
        (NEVER_SENT, True, 2, Completed(200)),
        (refusal(Reason.OVERLOADED), True, 2, Completed(200)),
        (refusal(Reason.TARGET_REFUSED), True, 2, Completed(200)),
        (refusal(Reason.QUARANTINED), True, 1, NotRun(Reason.QUARANTINED)),
        (
            unknown(Reason.DEADLINE_EXCEEDED),
            False,
            1,
            Unknown(Reason.DEADLINE_EXCEEDED),
        ),
        (Answer(0, "gibberish"), True, 1, Unknown(Reason.INTERNAL)),
    ],
)
def test_retries_after_the_first_attempt(
    first: Answer | LinkFailure, once: bool, attempts: int, expected: Outcome
) -> None:
    path = make_call_path(first)
    assert run(path, once) == expected
    assert len(path.links.sent) == attempts


def test_refusal_after_a_lost_attempt_stays_unknown() -> None:
    path = make_call_path(
        unknown(Reason.TARGET_DIED), *[refusal(Reason.OVERLOADED)] * 9
    )
    assert run(path, once=False) == TARGET_DIED
    assert len(path.links.sent) == 3


@pytest.mark.parametrize(
    "retries, ratio, attempts", [(0, 1.0, 1), (1, 1.0, 2), (2, 1.0, 3), (2, 0.0, 1)]
)
def test_retries_stay_within_budget_and_ratio(
    retries: int, ratio: float, attempts: int
) -> None:
    # Guards against retry storms when a service deep in the call chain is down.
    path = make_call_path(*[refusal(Reason.OVERLOADED)] * 9, ratio=ratio)
    assert run(path, retries=retries) == NotRun(Reason.OVERLOADED)
    assert len(path.links.sent) == attempts


def test_reroutes_are_bounded_and_use_no_retries() -> None:
    path = make_call_path(*[refusal(Reason.LEAVING)] * 9)
    call = make_dispatch(path.clock, retries=2)
    assert anyio.run(path.dispatcher.run, call) == NotRun(Reason.LEAVING)
    assert len(path.links.sent) == 1 + MAX_REROUTES
    assert call.budget.left == 2


@pytest.mark.parametrize(
    "step, left",
    [
        (Answer(0, "completed", 200, retries_left=1), 1),
        (Answer(0, "completed", 200, retries_left=99), 2),
        (Answer(0, "completed", 200, retries_left=-5), 0),
        (RESPONSE_LOST, 0),
    ],
)
def test_only_unused_delegated_retries_are_returned(
    step: Answer | LinkFailure, left: int
) -> None:
    # Guards against retry budgets that grow through lost or incorrect responses.
    path = make_call_path(step)
    call = make_dispatch(path.clock)
    anyio.run(path.dispatcher.run, call)
    assert call.budget.left == left


def test_unsent_call_returns_all_delegated_retries() -> None:
    path = make_call_path(*[NEVER_SENT] * 9)
    call = make_dispatch(path.clock)
    outcome = anyio.run(path.dispatcher.run, call)
    assert outcome == NotRun(Reason.PEER_UNREACHABLE, "refused")
    assert call.budget.left == 2


def test_passed_deadline_sends_nothing() -> None:
    # Guards against sending an expired call after a pause of the process.
    path = make_call_path()
    call = make_dispatch(path.clock)
    path.clock.advance(1_000.0)
    outcome = anyio.run(path.dispatcher.run, call)
    assert isinstance(outcome, NotRun)
    assert outcome.reason is Reason.DEADLINE_EXCEEDED
    assert not path.links.sent


def test_deadline_that_passes_during_an_attempt_ends_the_retries() -> None:
    path = make_call_path()

    async def slow(message: Call | Forward) -> Answer:
        path.clock.advance(1_000.0)
        return refusal(Reason.OVERLOADED)

    path.links.script = [slow]
    assert run(path) == NotRun(Reason.OVERLOADED)
    assert len(path.links.sent) == 1


def test_cancelled_call_returns_no_retries_and_is_not_in_flight() -> None:
    # Guards against returning retries that the remote node may still use, and
    # against an in-flight count that never returns to zero.
    path = make_call_path()
    call = make_dispatch(path.clock)

    async def hang(message: Call | Forward) -> Answer:
        await anyio.sleep_forever()
        raise AssertionError

    async def main() -> None:
        path.links.script = [hang]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(path.dispatcher.run, call)
            await anyio.wait_all_tasks_blocked()
            tasks.cancel_scope.cancel()

    anyio.run(main)
    assert call.budget.left == 0
    states = path.router.state().values()
    assert all(isinstance(s, dict) and s["in_flight"] == 0 for s in states)


def test_quarantined_request_is_not_sent() -> None:
    path = make_call_path()
    for death in ("d1", "d2"):
        path.quarantine.record_death(["f1"], death)
    outcome = run(path)
    assert isinstance(outcome, NotRun)
    assert outcome.reason is Reason.QUARANTINED
    assert not path.links.sent


def test_priority_refused_downstream_is_refused_locally() -> None:
    path = make_call_path(
        *[Answer(0, "completed", 200, refusal_level=10)] * 2, members=1
    )
    call = make_dispatch(path.clock)
    call.priority = 500
    outcomes = [anyio.run(path.dispatcher.run, call) for _ in range(3)]
    # The second call is admitted as a probe.
    assert outcomes[:2] == [Completed(200), Completed(200)]
    assert isinstance(outcomes[2], NotRun)
    assert outcomes[2].reason is Reason.OVERLOADED


def test_message_carries_the_fields_that_the_receiver_checks() -> None:
    path = make_call_path()
    run(path)
    ((peer, message),) = path.links.sent
    assert isinstance(message, Call)
    assert (message.target_incarnation, message.once) == (peer.incarnation, True)
    assert (message.retries, message.remaining_ms) == (2, 1_000.0)


@given(
    st.one_of(
        st.builds(Completed, st.integers(100, 599), st.just(()), st.binary()),
        st.builds(NotRun, st.sampled_from(Reason), st.text()),
        st.builds(Unknown, st.sampled_from(Reason), st.text()),
    )
)
def test_outcome_round_trips_through_an_answer(outcome: Outcome) -> None:
    assert outcome_from_answer(answer_from_outcome(outcome)) == outcome


def test_refusal_by_every_instance_returns_the_refusal() -> None:
    # Guards against "no instance" when every instance refused the call.
    path = CallPath()
    path.add_members("n2")
    path.links.script = [refusal(Reason.OVERLOADED)]
    outcome = run(path)
    assert isinstance(outcome, NotRun)
    assert outcome.reason is Reason.OVERLOADED
