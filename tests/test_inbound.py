"""Tests of inbound calls: refusals, time without child calls, target deaths."""

from collections.abc import Callable

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from briardock.budget import make_budget
from briardock.drain import DrainState
from briardock.inbound import RunningCall
from briardock.messages import MAX_PRIORITY_VALUE, Answer, Call
from briardock.outcomes import Completed, Headers
from briardock.target import Lost, NotSent
from callpath_fakes import CallPath, make_call


def handle(path: CallPath, call: Call | None = None, transit_ms: float = 0.0) -> Answer:
    async def main() -> Answer:
        return await path.inbound.handle(call or make_call(), transit_ms)

    return anyio.run(main)


def start_drain(path: CallPath) -> None:
    path.drain.state = DrainState.LEAVING


def announce_leaving(path: CallPath) -> None:
    path.inbound.target_state.leaving = True


def withdraw_target(path: CallPath) -> None:
    path.inbound.target_state.instance = ""


def quarantine_request(path: CallPath) -> None:
    path.quarantine.record_death(["f1"], "d1")
    path.quarantine.record_death(["f1"], "d2")


def pass_deadline(path: CallPath) -> None:
    path.clock.advance(1_000.0)


STATES = [
    (start_drain, "leaving"),
    (announce_leaving, "leaving"),
    (withdraw_target, "target-absent"),
    (quarantine_request, "quarantined"),
]


@pytest.mark.parametrize(
    "change, reason",
    [*STATES, (pass_deadline, "deadline-exceeded")],
)
@pytest.mark.parametrize("while_queued", [False, True])
def test_refused_call_does_not_reach_the_target(
    change: Callable[[CallPath], None], reason: str, while_queued: bool
) -> None:
    # Guards against a call that runs although it became invalid in the queue.
    path = CallPath()
    call = make_call()
    if while_queued:
        path.admission.hook = lambda: change(path)
    elif change is pass_deadline:
        call = make_call(remaining_ms=0.0)
    else:
        change(path)
    response = handle(path, call)
    assert (response.outcome, response.reason, response.retries_left) == (
        "not-run",
        reason,
        2,
    )
    assert not path.target.runs
    assert path.admission.in_flight == 0
    assert not path.inbound.running


@pytest.mark.parametrize(
    "call, transit_ms, reason",
    [
        (make_call(incarnation=6), 0.0, "stale-incarnation"),
        (make_call(incarnation=8), 0.0, "stale-incarnation"),
        (make_call(operation="map.read"), 0.0, "target-absent"),
        (make_call(remaining_ms=50.0), 50.0, "deadline-exceeded"),
    ],
)
def test_stale_or_expired_call_is_refused(
    call: Call, transit_ms: float, reason: str
) -> None:
    path = CallPath()
    response = handle(path, call, transit_ms)
    assert (response.outcome, response.reason) == ("not-run", reason)
    assert not path.target.runs


@pytest.mark.parametrize(
    "result, pause_ms, outcome, reason, ok",
    [
        (Completed(200), 0.0, "completed", "", True),
        (Completed(503), 0.0, "completed", "", True),
        (
            Completed(503, ((b"Briardock-Not-Run", b"1"),)),
            0.0,
            "not-run",
            "target-refused",
            False,
        ),
        (
            Completed(500, ((b"briardock-not-run", b"1"),)),
            0.0,
            "completed",
            "",
            True,
        ),
        (NotSent("refused"), 0.0, "not-run", "target-absent", False),
        (Lost("cut", died=False), 0.0, "unknown", "answer-lost", False),
        (Lost("cut", died=False), 1_000.0, "unknown", "deadline-exceeded", False),
        (Lost("cut", died=True), 0.0, "unknown", "target-died", False),
    ],
)
def test_outcome_of_a_run(
    result: Completed | NotSent | Lost,
    pause_ms: float,
    outcome: str,
    reason: str,
    ok: bool,
) -> None:
    path = CallPath()

    async def action(_path: str, _headers: Headers) -> Completed | NotSent | Lost:
        path.clock.advance(pause_ms)
        return result

    path.target.action = action
    response = handle(path)
    assert (response.outcome, response.reason) == (outcome, reason)
    assert path.admission.released == [(pause_ms, ok)]


def test_death_records_all_fingerprints_in_flight_once() -> None:
    # Guards against blaming only the request that saw the lost connection: any
    # request in flight may have crashed the target.
    path = CallPath()
    both_running = anyio.Event()

    async def die(_path: str, _headers: Headers) -> Lost:
        if len(path.target.runs) == 2:
            both_running.set()
        await both_running.wait()
        return Lost("cut", died=True)

    async def main() -> None:
        path.target.action = die
        async with anyio.create_task_group() as tasks:
            for name in ("f1", "f2"):
                tasks.start_soon(path.inbound.handle, make_call(fingerprint=name))

    anyio.run(main)
    entries = {e.fingerprint: e for e in path.quarantine.entries()}
    assert sorted(entries) == ["f1", "f2"]
    assert [len(e.deaths) for e in entries.values()] == [1, 1]
    assert sorted(e.fingerprint for e in path.sent_quarantine) == ["f1", "f2"]
    assert (path.deaths, path.inbound.target_state.present) == (1, False)


def test_death_of_an_earlier_process_leaves_the_new_one_in_use() -> None:
    path = CallPath()

    async def replaced(_path: str, _headers: Headers) -> Lost:
        path.inbound.target_state.instance = "t2"
        return Lost("cut", died=True)

    path.target.action = replaced
    assert handle(path).reason == "target-died"
    assert path.inbound.target_state.instance == "t2"
    assert path.deaths == 0


@pytest.mark.parametrize("status, cleared", [(200, True), (503, False)])
def test_success_clears_a_recorded_death(status: int, cleared: bool) -> None:
    path = CallPath()
    path.quarantine.record_death(["f1"], "d1")

    async def respond(_path: str, _headers: Headers) -> Completed:
        return Completed(status)

    path.target.action = respond
    handle(path)
    path.quarantine.record_death(["f1"], "d2")
    assert path.quarantine.refuses("f1") is not cleared


@pytest.mark.parametrize("once, finished", [(True, 1), (False, 0)])
def test_only_idempotent_calls_are_cancelled(once: bool, finished: int) -> None:
    # Guards against losing the outcome of a payment whose caller disconnects.
    path = CallPath()
    ended: list[int] = []

    async def work(_path: str, _headers: Headers) -> Completed:
        await anyio.sleep(0.01)
        ended.append(1)
        return Completed(200)

    async def main() -> None:
        path.target.action = work
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(path.inbound.handle, make_call(once=once))
            await anyio.wait_all_tasks_blocked()
            tasks.cancel_scope.cancel()

    anyio.run(main)
    assert len(ended) == finished
    assert path.admission.in_flight == 0
    assert not path.inbound.running


def test_draining_instance_does_not_report_its_threshold() -> None:
    # Guards against callers that shed load because of a leaving instance.
    path = CallPath()
    path.admission._threshold = 10
    assert handle(path).refusal_level == 10
    start_drain(path)
    assert handle(path).refusal_level == MAX_PRIORITY_VALUE


def test_response_carries_the_lowest_threshold_of_the_chain() -> None:
    path = CallPath()
    path.downstream_thresholds.learn("wallet.pay", 20)
    response = handle(path)
    assert (response.refusal_level, response.chain_level) == (MAX_PRIORITY_VALUE, 20)


@given(
    st.lists(st.tuples(st.integers(0, 40), st.integers(1, 40)), max_size=6),
    st.integers(0, 100),
)
def test_own_time_excludes_the_union_of_child_calls(
    children: list[tuple[int, int]], end_ms: int
) -> None:
    # Guards against subtracting overlapping child calls twice, which would make
    # a slow target look fast.
    running = RunningCall("c", make_call(), 1e9, make_budget(0), 0.0)
    edges = sorted(
        [(start, 1) for start, _ in children]
        + [(start + length, -1) for start, length in children],
        key=lambda edge: (edge[0], -edge[1]),
    )
    for at_ms, step in edges:
        if at_ms > end_ms:
            break
        (running.child_started if step > 0 else running.child_finished)(float(at_ms))
    covered = {
        ms for start, length in children for ms in range(start, start + length)
    } & set(range(end_ms))
    assert running.own_time_ms(float(end_ms)) == end_ms - len(covered)
