"""Tests of request handling: keys, resends, forwards and child calls."""

from collections.abc import Awaitable, Callable

import anyio
import pytest

from briardock.drain import DrainState
from briardock.keys import make_key_issuer
from briardock.listener import HttpResponse
from briardock.messages import Answer, Call, Forward
from briardock.outcomes import Completed, Headers
from briardock.peers import LinkFailure
from callpath_fakes import (
    CONFIG,
    INCARNATION,
    LIFETIME_MS,
    CallPath,
    context_of,
    make_call,
    make_catalog,
    make_record,
    outcome_text,
)

Child = Callable[[str], Awaitable[HttpResponse]]


def make_call_path() -> CallPath:
    path = CallPath()
    path.use_local_target()
    return path


def foreign_key(node_id: str = "n2", incarnation: int = 1) -> str:
    issuer = make_key_issuer(node_id, incarnation, CallPath().clock, LIFETIME_MS)
    return str(issuer.issue())


def send_request(path: CallPath, /, **changes: str) -> str:
    async def main() -> str:
        body = changes.pop("body", "1").encode()
        return outcome_text(await path.request(body=body, **changes))

    return anyio.run(main)


SHOW = {"method": "GET", "path": "/wallet/wallets/1"}


@pytest.mark.parametrize(
    "changes, expected",
    [
        (SHOW, "completed"),
        ({}, "not-run key-required"),
        ({"key": "mine"}, "not-run bad-key"),
        ({"key": f"n1.{INCARNATION}.1000.1.000000000000"}, "not-run bad-key"),
        ({"key": f"n1.{INCARNATION - 1}.1000.1.000000000000"}, "unknown issuer-gone"),
        ({"path": "/wallet/nothing"}, "not-run unknown-operation"),
        ({"path": "/nothing"}, "not-run unknown-operation"),
        ({"body": "x" * 1025}, "not-run body-too-large"),
        ({**SHOW, "deadline": "soon"}, "not-run bad-request"),
        ({**SHOW, "deadline": "nan"}, "not-run bad-request"),
        ({**SHOW, "deadline": "-1"}, "not-run bad-request"),
        ({**SHOW, "deadline": "0"}, "not-run deadline-exceeded"),
        ({"context": "none"}, "unknown unknown-context"),
        ({**SHOW, "context": "none"}, "not-run unknown-context"),
    ],
)
def test_outcome_of_the_first_request(changes: dict[str, str], expected: str) -> None:
    path = make_call_path()
    assert send_request(path, **changes) == expected
    assert len(path.target.runs) == (expected == "completed")
    assert path.entry.in_flight == 0


def test_request_before_the_first_configuration() -> None:
    path = make_call_path()
    path.catalog = None
    assert send_request(path, **SHOW) == "not-run no-configuration"


def test_resends_run_once_and_get_the_same_response() -> None:
    path = make_call_path()
    key = str(path.issuer.issue())
    outcomes = [send_request(path, key=key) for _ in range(3)]
    assert outcomes == ["completed"] * 3
    assert send_request(path, key=key, body="2") == "not-run key-reused"
    assert len(path.target.runs) == 1


def test_expired_key_is_unknown() -> None:
    path = make_call_path()
    key = str(path.issuer.issue())
    assert send_request(path, key=key) == "completed"
    path.clock.advance(LIFETIME_MS)
    assert send_request(path, key=key) == "unknown key-expired"
    assert len(path.target.runs) == 1


@pytest.mark.parametrize("text", ["{}", "0{}", "+{}"])
def test_other_spelling_of_a_key_names_the_same_action(text: str) -> None:
    # Guards against a second run under the same key with a leading zero.
    path = make_call_path()
    node_id, incarnation, issued, sequence, mac = str(path.issuer.issue()).split(".")
    spelled = ".".join([node_id, incarnation, issued, text.format(sequence), mac])
    send_request(path, key=".".join([node_id, incarnation, issued, sequence, mac]))
    assert send_request(path, key=spelled) == "completed"
    assert len(path.target.runs) == 1


def test_resend_gets_the_outcome_after_the_first_caller_disconnects() -> None:
    # Guards against an action whose outcome is lost when its caller disconnects.
    # The instance is remote: its node would finish the call, but nothing would
    # receive the response.
    path = CallPath()
    path.add_members("m1")
    go = anyio.Event()
    outcomes: list[str] = []

    async def work(message: Call | Forward) -> Answer:
        await go.wait()
        return Answer(0, "completed", 200)

    async def resend(key: str) -> None:
        outcomes.append(outcome_text(await path.request(key=key)))

    async def main() -> None:
        path.links.script = [work]
        key = str(path.issuer.issue())
        first = anyio.CancelScope()

        async def first_caller() -> None:
            with first:
                await path.request(key=key)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(first_caller)
            await anyio.wait_all_tasks_blocked()
            tasks.start_soon(resend, key)
            await anyio.wait_all_tasks_blocked()
            first.cancel()
            await anyio.wait_all_tasks_blocked()
            go.set()

    anyio.run(main)
    assert outcomes == ["completed"]
    assert len(path.links.sent) == 1


def test_waiting_resend_ends_at_its_own_deadline() -> None:
    path = make_call_path()
    key = str(path.issuer.issue())
    outcomes: list[str] = []

    async def work(_path: str, _headers: Headers) -> Completed:
        outcomes.append(outcome_text(await path.request(key=key, deadline="1")))
        return Completed(200)

    path.target.action = work
    assert send_request(path, key=key) == "completed"
    assert outcomes == ["unknown deadline-exceeded"]


def test_downstream_threshold_refuses_at_entry() -> None:
    path = make_call_path()
    path.downstream_thresholds.learn("wallet.show", -1)
    outcomes = [send_request(path, **SHOW) for _ in range(20)]
    assert outcomes.count("not-run overloaded") >= 15
    assert len(path.target.runs) == outcomes.count("completed")


@pytest.mark.parametrize(
    "step, expected",
    [
        (Answer(0, "completed", 200), "completed"),
        (Answer(0, "not-run", reason="key-reused"), "not-run key-reused"),
        (Answer(0, "unknown", reason="key-expired"), "unknown key-expired"),
        (LinkFailure(False, "refused"), "unknown issuer-gone"),
        (LinkFailure(True, "lost"), "unknown issuer-gone"),
    ],
)
def test_foreign_key_goes_to_its_issuer(
    step: Answer | LinkFailure, expected: str
) -> None:
    # Guards against "not run" for a forward that failed: an earlier request with
    # the key may have run at the issuer.
    path = make_call_path()
    path.add_members("n2")
    path.links.script = [step]
    key = foreign_key()
    assert send_request(path, key=key) == expected
    ((peer, message),) = path.links.sent
    assert (peer.node_id, message.key) == ("n2", key)
    assert isinstance(message, Forward)
    assert not path.target.runs


@pytest.mark.parametrize("key", [foreign_key("n9"), foreign_key("n2", 2)])
def test_key_of_an_unknown_issuer_is_unknown(key: str) -> None:
    path = make_call_path()
    path.add_members("n2")
    assert send_request(path, key=key) == "unknown issuer-gone"
    assert not path.links.sent


@pytest.mark.parametrize(
    "key, outcome, reason",
    [
        ("", "completed", ""),
        ("bad", "not-run", "bad-key"),
        (foreign_key("n1", INCARNATION - 1), "unknown", "issuer-gone"),
        (foreign_key("n2"), "unknown", "issuer-gone"),
    ],
)
def test_received_forward(key: str, outcome: str, reason: str) -> None:
    path = make_call_path()
    text = key or str(path.issuer.issue())
    forward = Forward(5, text, "wallet", "POST", "/payments", [], b"1", 900.0)
    responses = [anyio.run(path.entry.handle_forward, forward) for _ in range(2)]
    assert [(r.call_id, r.outcome, r.reason) for r in responses] == [
        (5, outcome, reason)
    ] * 2
    assert len(path.target.runs) == (outcome == "completed")


def run_parent(path: CallPath, child: Child, /, **parent: str) -> str:
    """Run a parent call whose target makes child calls with the given function."""

    async def action(called: str, headers: Headers) -> Completed:
        if called != "/notes":
            await child(context_of(headers))
        return Completed(200, (), called.encode())

    path.target.action = action
    return send_request(path, **(parent or {"key": str(path.issuer.issue())}))


def call_note(path: CallPath, context: str, key: str = "") -> Awaitable[HttpResponse]:
    return path.request("/wallet/notes", key, context=context, deadline="900")


def test_identical_child_calls_run_once_per_parent() -> None:
    # Guards against a second run when a target resends a child call, and against
    # a parent that gets the response to the child call of another parent.
    path = make_call_path()
    outcomes: list[str] = []

    async def twice(context: str) -> HttpResponse:
        outcomes.append(outcome_text(await call_note(path, context)))
        outcomes.append(outcome_text(await call_note(path, context)))
        return await call_note(path, context)

    for runs in (1, 2):
        assert run_parent(path, twice) == "completed"
        assert path.target.runs.count("/notes") == runs
    assert outcomes == ["completed"] * 4


@pytest.mark.parametrize(
    "keys, runs", [(("a", "a"), 1), (("a", "b"), 2), (("", "a"), 2)]
)
def test_child_calls_with_different_labels_run_separately(
    keys: tuple[str, str], runs: int
) -> None:
    path = make_call_path()

    async def labelled(context: str) -> HttpResponse:
        for key in keys:
            assert outcome_text(await call_note(path, context, key=key)) == "completed"
        return await call_note(path, context, key="a/b")

    assert run_parent(path, labelled) == "completed"
    assert path.target.runs.count("/notes") == runs


def test_non_idempotent_child_of_an_idempotent_parent_is_refused() -> None:
    # Guards against two payments when the idempotent parent runs twice.
    path = make_call_path()
    outcomes: list[str] = []

    async def child(context: str) -> HttpResponse:
        response = await call_note(path, context)
        outcomes.append(outcome_text(response))
        return response

    assert run_parent(path, child, **SHOW) == "completed"
    assert outcomes == ["not-run repeatable-parent"]
    assert path.target.runs == ["/wallets/1"]


def test_child_keys_and_context_are_discarded_with_the_parent() -> None:
    path = make_call_path()
    contexts: list[str] = []

    async def child(context: str) -> HttpResponse:
        contexts.append(context)
        assert len(path.actions) == 1
        response = await call_note(path, context)
        assert len(path.actions) == 2
        return response

    assert run_parent(path, child) == "completed"
    assert len(path.actions) == 1
    assert send_request(path, path="/wallet/notes", context=contexts[0]) == (
        "unknown unknown-context"
    )
    assert path.target.runs.count("/notes") == 1


def test_child_inherits_priority_deadline_key_and_budget() -> None:
    path = make_call_path()
    seen: list[Call] = []
    handle = path.inbound.handle

    async def spy(call: Call) -> Answer:
        seen.append(call)
        return await handle(call)

    path.dispatcher._local_handler = spy

    async def child(context: str) -> HttpResponse:
        path.clock.advance(400.0)
        response = await call_note(path, context)
        path.clock.advance(100.0)
        return response

    assert run_parent(path, child) == "completed"
    parent, inner = seen
    assert inner.level == parent.level
    assert inner.key.startswith(f"{parent.key}/wallet.note~")
    assert (inner.remaining_ms, inner.once) == (600.0, True)
    assert (parent.retries, inner.retries) == (2, 2)
    assert path.admission.released[-1] == (500.0, True)


def test_retries_of_child_calls_use_the_delegated_retries_of_the_parent() -> None:
    # Guards against retry amplification along the call chain.
    path = CallPath()
    path.add_members("m1", "m2")
    path.links.script = [
        Answer(0, "not-run", reason="overloaded", retries_left=9),
        Answer(0, "completed", 200, retries_left=9),
    ]

    async def action(called: str, headers: Headers) -> Completed:
        assert outcome_text(await call_note(path, context_of(headers))) == "completed"
        return Completed(200)

    path.target.action = action
    response = anyio.run(path.inbound.handle, make_call())
    assert (response.outcome, response.retries_left) == ("completed", 1)


@pytest.mark.parametrize(
    "count, state, status",
    [
        (1, DrainState.SERVING, 200),
        (1_000, DrainState.SERVING, 200),
        (0, DrainState.SERVING, 400),
        (1_001, DrainState.SERVING, 400),
        (1, DrainState.LEAVING, 503),
    ],
)
def test_issued_keys(count: int, state: DrainState, status: int) -> None:
    # Guards against keys issued by a process that is about to lose its records.
    path = make_call_path()
    path.drain.state = state
    response = path.entry.issue_keys(count)
    assert response.status == status
    assert response.body.count(b"n1.") == (count if status == 200 else 0)


def test_local_instance_is_called_without_a_link() -> None:
    path = make_call_path()
    path.table.merge([make_record("n2", "history")])
    assert send_request(path, **SHOW) == "completed"
    assert not path.links.sent


@pytest.mark.parametrize(
    "first, expected",
    [(True, "unknown unknown-operation"), (False, "not-run unknown-operation")],
)
def test_resend_after_its_operation_was_removed(first: bool, expected: str) -> None:
    # Guards against "not run" for an action that ran under an earlier configuration.
    path = make_call_path()
    key = str(path.issuer.issue())
    if first:
        assert send_request(path, key=key) == "completed"
    path.catalog = make_catalog(CONFIG.replace("POST /payments", "POST /bills"))
    assert send_request(path, key=key) == expected


def test_foreign_key_of_an_unknown_operation_is_unknown() -> None:
    # Only the issuer knows whether an earlier request with the key ran.
    path = make_call_path()
    outcome = send_request(
        path, key=f"n2.{INCARNATION}.1.1.000000000000", path="/wallet/no"
    )
    assert outcome == "unknown unknown-operation"
