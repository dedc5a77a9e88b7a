"""Queue of a target, and attempts of one request."""

import random

import pytest

from briardock.mesh.members import MemberTable
from briardock.overload.admission import OPEN_THRESHOLD
from briardock.overload.attempts import (
    MAX_HAND_ONS,
    Attempts,
    Busy,
    MayHaveRun,
    NotReached,
    Outcome,
    Rejected,
    Succeeded,
    has_room_elsewhere,
)
from briardock.overload.placement import Balancer
from briardock.overload.retries import RetryBudget
from briardock.overload.waiting import (
    HAND_ON_WAIT_S,
    REFUSAL_TRANSIT_S,
    Waiting,
    WaitingQueue,
    latest_start_s,
    should_hand_on,
)
from mesh_builders import record


def waiting(**changes: object) -> Waiting:
    fields: dict[str, object] = {
        "priority": 1,
        "from_caller": True,
        "expires_s": 105.0,
        "may_hand_on": True,
    }
    return Waiting(**(fields | changes))  # type: ignore[arg-type]


def test_order_is_priority_then_callers_then_expiry() -> None:
    queue: WaitingQueue[str] = WaitingQueue()
    queue.push(waiting(expires_s=103.0), "later")
    queue.push(waiting(expires_s=102.0), "sooner")
    queue.push(waiting(expires_s=101.0, from_caller=False), "call")
    queue.push(waiting(priority=0, expires_s=104.0), "important")
    assert [queue.pop() for _ in range(4)] == ["important", "sooner", "later", "call"]


def test_abandoned_calls_leave_the_queue() -> None:
    queue: WaitingQueue[str] = WaitingQueue()
    for name, from_caller in [("gone", True), ("a", True), ("b", False)]:
        queue.push(waiting(from_caller=from_caller), name)
    assert queue.retain(lambda name: name != "gone") == 1
    assert sorted(queue.items()) == ["a", "b"]


@pytest.mark.parametrize(
    ("service_time_s", "expected"),
    [(0.3, 104.7), (0.001, 105.0 - REFUSAL_TRANSIT_S), (60.0, 102.5)],
)
def test_a_call_is_refused_before_it_is_too_late_for_another_instance(
    service_time_s: float, expected: float
) -> None:
    assert latest_start_s(waiting(), service_time_s, 100.0) == expected


@pytest.mark.parametrize(
    ("may_hand_on", "queued", "service_time_s", "expected"),
    [
        (True, 0, 1.0, True),
        (True, 5, HAND_ON_WAIT_S, True),
        (True, 0, HAND_ON_WAIT_S, False),
        (False, 50, 1.0, False),
    ],
)
def test_a_call_is_handed_on_only_if_it_would_wait_longer_than_that_takes(
    may_hand_on: bool, queued: int, service_time_s: float, expected: bool
) -> None:
    call = waiting(may_hand_on=may_hand_on)
    assert should_hand_on(call, queued, 2, service_time_s) is expected


def make_attempts(
    instances: int, idempotent: bool = True, max_attempts: int = 2
) -> Attempts:
    members = MemberTable(record("own", service="portal"))
    for number in range(instances):
        members.merge(record(f"n{number}", address=f"10.0.1.{number}:1"))
    balancer = Balancer(members, "d1", random.Random(1))
    budget = RetryBudget(0.2, 100.0, 10.0)
    return Attempts(balancer, budget, "jobs", idempotent, max_attempts)


def play(attempts: Attempts, *outcomes: Outcome, overloaded: bool = False) -> list[str]:
    """Return the instances that are tried until an attempt is the last."""
    tried = []
    for outcome in outcomes:
        chosen = attempts.choose(100.0)
        if chosen is None:
            break
        tried.append(chosen.node_id)
        if not attempts.record(chosen, outcome, overloaded, 1, 100.0):
            break
    return tried


FAILED = MayHaveRun(responded=True)
LOST = MayHaveRun(responded=False)


@pytest.mark.parametrize(
    ("idempotent", "overloaded", "outcomes", "tries"),
    [
        (True, False, [Succeeded()], 1),
        (True, False, [LOST, Succeeded()], 2),
        (False, False, [LOST, Succeeded()], 1),
        (False, False, [Rejected(), Succeeded()], 2),
        (True, False, [FAILED, Succeeded()], 2),
        (True, True, [FAILED, Succeeded()], 1),
        (True, True, [LOST, Succeeded()], 2),
        (True, False, [Rejected(), Rejected(), Rejected()], 2),
        (False, True, [NotReached(), NotReached(), Succeeded()], 3),
        (False, False, [Busy(), Busy(), Succeeded()], 3),
        (False, False, [Busy(), LOST, Succeeded()], 2),
    ],
)
def test_what_may_have_run_is_repeated_only_if_that_is_harmless(
    idempotent: bool, overloaded: bool, outcomes: list[Outcome], tries: int
) -> None:
    attempts = make_attempts(6, idempotent)
    assert len(play(attempts, *outcomes, overloaded=overloaded)) == tries


def test_busy_instances_are_left_for_others_and_taken_if_none_is_left() -> None:
    """A request must not be refused because all instances were busy for a moment."""
    attempts = make_attempts(6)
    tried = play(attempts, *[Busy()] * MAX_HAND_ONS)
    assert len(set(tried)) == MAX_HAND_ONS
    assert not attempts.may_hand_on
    assert attempts.choose(100.0) is not None
    two = make_attempts(2)
    assert len(set(play(two, Busy(), Busy()))) == 2
    assert two.choose(100.0) is not None


@pytest.mark.parametrize(
    ("instances", "threshold", "expected"),
    [(6, OPEN_THRESHOLD, True), (1, OPEN_THRESHOLD, False), (6, 2.5, False)],
)
def test_a_request_is_not_handed_on_if_no_other_instance_has_room(
    instances: int, threshold: float, expected: bool
) -> None:
    """While all are full it would only go round."""
    balancer = make_attempts(instances)._balancer
    assert has_room_elsewhere(balancer, "jobs", threshold) is expected


def test_hand_ons_do_not_count_as_arrivals() -> None:
    attempts = make_attempts(6, idempotent=False)
    play(attempts, Busy(), NotReached(), Rejected(), Succeeded())
    assert attempts.arrivals == 2
    assert not attempts.may_have_run
