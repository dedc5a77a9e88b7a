"""Tests of the entry: keys, resends, forwards and child calls."""

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
    told,
)

Child = Callable[[str], Awaitable[HttpResponse]]


def make() -> CallPath:
    path = CallPath()
    path.use_own_target()
    return path


def foreign_key(node_id: str = "n2", incarnation: int = 1) -> str:
    issuer = make_key_issuer(node_id, incarnation, CallPath().clock, LIFETIME_MS)
    return str(issuer.issue())


def ask(path: CallPath, /, **changes: str) -> str:
    async def main() -> str:
        body = changes.pop("body", "1").encode()
        return told(await path.request(body=body, **changes))

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
def test_first_sight(changes: dict[str, str], expected: str) -> None:
    path = make()
    assert ask(path, **changes) == expected
    assert len(path.target.runs) == (expected == "completed")
    assert path.entry.in_flight == 0


def test_request_before_the_first_configuration() -> None:
    path = make()
    path.catalog = None
    assert ask(path, **SHOW) == "not-run no-configuration"


def test_resends_run_once_and_get_the_same_answer() -> None:
    path = make()
    key = str(path.issuer.issue())
    answers = [ask(path, key=key) for _ in range(3)]
    assert answers == ["completed"] * 3
    assert ask(path, key=key, body="2") == "not-run key-reused"
    assert len(path.target.runs) == 1


def test_expired_key_is_unknown() -> None:
    path = make()
    key = str(path.issuer.issue())
    assert ask(path, key=key) == "completed"
    path.clock.advance(LIFETIME_MS)
    assert ask(path, key=key) == "unknown key-expired"
    assert len(path.target.runs) == 1


@pytest.mark.parametrize("text", ["{}", "0{}", "+{}"])
def test_other_spelling_of_a_key_names_the_same_action(text: str) -> None:
    # Guards against a second run under the same key with a leading zero.
    path = make()
    node_id, incarnation, issued, sequence, mac = str(path.issuer.issue()).split(".")
    spelled = ".".join([node_id, incarnation, issued, text.format(sequence), mac])
    ask(path, key=".".join([node_id, incarnation, issued, sequence, mac]))
    assert ask(path, key=spelled) == "completed"
    assert len(path.target.runs) == 1


def test_resend_waits_for_the_run_and_outlives_the_first_caller() -> None:
    # Guards against an action whose outcome is lost when its caller hangs up.
    # The instance is remote: its node would finish the call, but the answer
    # would reach nobody.
    path = CallPath()
    path.add_members("m1")
    go = anyio.Event()
    answers: list[str] = []

    async def work(message: Call | Forward) -> Answer:
        await go.wait()
        return Answer(0, "completed", 200)

    async def resend(key: str) -> None:
        answers.append(told(await path.request(key=key)))

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
    assert answers == ["completed"]
    assert len(path.links.sent) == 1


def test_waiting_resend_ends_at_its_own_deadline() -> None:
    path = make()
    key = str(path.issuer.issue())
    answers: list[str] = []

    async def work(_path: str, _headers: Headers) -> Completed:
        answers.append(told(await path.request(key=key, deadline="1")))
        return Completed(200)

    path.target.action = work
    assert ask(path, key=key) == "completed"
    assert answers == ["unknown deadline-exceeded"]


def test_downstream_threshold_refuses_at_entry() -> None:
    path = make()
    path.levels.learn("wallet.show", -1)
    answers = [ask(path, **SHOW) for _ in range(20)]
    assert answers.count("not-run overloaded") >= 15
    assert len(path.target.runs) == answers.count("completed")


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
    path = make()
    path.add_members("n2")
    path.links.script = [step]
    key = foreign_key()
    assert ask(path, key=key) == expected
    ((peer, message),) = path.links.sent
    assert (peer.node_id, message.key) == ("n2", key)
    assert isinstance(message, Forward)
    assert not path.target.runs


@pytest.mark.parametrize("key", [foreign_key("n9"), foreign_key("n2", 2)])
def test_key_of_an_unknown_issuer_is_unknown(key: str) -> None:
    path = make()
    path.add_members("n2")
    assert ask(path, key=key) == "unknown issuer-gone"
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
    path = make()
    text = key or str(path.issuer.issue())
    forward = Forward(5, text, "wallet", "POST", "/payments", [], b"1", 900.0)
    answers = [anyio.run(path.entry.handle_forward, forward) for _ in range(2)]
    assert [(a.call_id, a.outcome, a.reason) for a in answers] == [
        (5, outcome, reason)
    ] * 2
    assert len(path.target.runs) == (outcome == "completed")


def run_parent(path: CallPath, child: Child, /, **parent: str) -> str:
    """Run a parent whose target makes child calls with the given function."""

    async def action(called: str, headers: Headers) -> Completed:
        if called != "/notes":
            await child(context_of(headers))
        return Completed(200, (), called.encode())

    path.target.action = action
    return ask(path, **(parent or {"key": str(path.issuer.issue())}))


def note(path: CallPath, context: str, key: str = "") -> Awaitable[HttpResponse]:
    return path.request("/wallet/notes", key, context=context, deadline="900")


def test_equal_children_run_once_per_parent() -> None:
    # Guards against a target that resends its own child call, and against a
    # second parent that gets the answer of the first one's child.
    path = make()
    answers: list[str] = []

    async def twice(context: str) -> HttpResponse:
        answers.append(told(await note(path, context)))
        answers.append(told(await note(path, context)))
        return await note(path, context)

    for runs in (1, 2):
        assert run_parent(path, twice) == "completed"
        assert path.target.runs.count("/notes") == runs
    assert answers == ["completed"] * 4


@pytest.mark.parametrize(
    "keys, runs", [(("a", "a"), 1), (("a", "b"), 2), (("", "a"), 2)]
)
def test_label_of_a_child_tells_calls_apart(keys: tuple[str, str], runs: int) -> None:
    path = make()

    async def labelled(context: str) -> HttpResponse:
        for key in keys:
            assert told(await note(path, context, key=key)) == "completed"
        return await note(path, context, key="a/b")

    assert run_parent(path, labelled) == "completed"
    assert path.target.runs.count("/notes") == runs


def test_non_idempotent_child_of_a_repeatable_parent_is_refused() -> None:
    # Guards against two payments when the idempotent parent runs twice.
    path = make()
    answers: list[str] = []

    async def child(context: str) -> HttpResponse:
        answer = await note(path, context)
        answers.append(told(answer))
        return answer

    assert run_parent(path, child, **SHOW) == "completed"
    assert answers == ["not-run repeatable-parent"]
    assert path.target.runs == ["/wallets/1"]


def test_child_keys_and_context_end_with_the_parent() -> None:
    path = make()
    contexts: list[str] = []

    async def child(context: str) -> HttpResponse:
        contexts.append(context)
        assert len(path.actions) == 1
        answer = await note(path, context)
        assert len(path.actions) == 2
        return answer

    assert run_parent(path, child) == "completed"
    assert len(path.actions) == 1
    assert ask(path, path="/wallet/notes", context=contexts[0]) == (
        "unknown unknown-context"
    )
    assert path.target.runs.count("/notes") == 1


def test_child_inherits_level_deadline_key_and_budget() -> None:
    path = make()
    seen: list[Call] = []
    handle = path.inbound.handle

    async def spy(call: Call) -> Answer:
        seen.append(call)
        return await handle(call)

    path.dispatcher._local = spy

    async def child(context: str) -> HttpResponse:
        path.clock.advance(400.0)
        answer = await note(path, context)
        path.clock.advance(100.0)
        return answer

    assert run_parent(path, child) == "completed"
    parent, inner = seen
    assert inner.level == parent.level
    assert inner.key.startswith(f"{parent.key}/wallet.note~")
    assert (inner.remaining_ms, inner.once) == (600.0, True)
    assert (parent.retries, inner.retries) == (2, 2)
    assert path.admission.released[-1] == (500.0, True)


def test_retries_of_children_are_taken_from_the_share_of_the_parent() -> None:
    # Guards against retries that multiply from hop to hop.
    path = CallPath()
    path.add_members("m1", "m2")
    path.links.script = [
        Answer(0, "not-run", reason="overloaded", retries_left=9),
        Answer(0, "completed", 200, retries_left=9),
    ]

    async def action(called: str, headers: Headers) -> Completed:
        assert told(await note(path, context_of(headers))) == "completed"
        return Completed(200)

    path.target.action = action
    answer = anyio.run(path.inbound.handle, make_call())
    assert (answer.outcome, answer.retries_left) == ("completed", 1)


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
    # Guards against keys of a process whose records are about to end.
    path = make()
    path.drain.state = state
    response = path.entry.issue_keys(count)
    assert response.status == status
    assert response.body.count(b"n1.") == (count if status == 200 else 0)


def test_own_instance_is_called_without_a_link() -> None:
    path = make()
    path.table.merge([make_record("n2", "history")])
    assert ask(path, **SHOW) == "completed"
    assert not path.links.sent


@pytest.mark.parametrize(
    "first, expected",
    [(True, "unknown unknown-operation"), (False, "not-run unknown-operation")],
)
def test_resend_after_its_operation_was_removed(first: bool, expected: str) -> None:
    # Guards against "not run" for an action that ran under an earlier configuration.
    path = make()
    key = str(path.issuer.issue())
    if first:
        assert ask(path, key=key) == "completed"
    path.catalog = make_catalog(CONFIG.replace("POST /payments", "POST /bills"))
    assert ask(path, key=key) == expected


def test_foreign_key_of_an_unknown_operation_is_unknown() -> None:
    # Only the issuer knows whether an earlier request with the key ran.
    path = make()
    asked = ask(path, key=f"n2.{INCARNATION}.1.1.000000000000", path="/wallet/no")
    assert asked == "unknown unknown-operation"
