"""Tests of outcomes returned to callers that depend on several modules."""

import anyio
import pytest

from briardock import _peerserver
from briardock.messages import Answer, Forward
from briardock.outcomes import Completed, Headers
from briardock.peers import LinkFailure
from callpath_fakes import (
    CONFIG,
    CallPath,
    context_of,
    make_call,
    make_catalog,
    make_dispatch,
    outcome_text,
)
from peer_fakes import call_with, connect, running_server

RENAMED = CONFIG.replace("POST /payments", "POST /transfers")
SMALLER = CONFIG.replace("max_body_kb = 1", "max_body_kb = 2")


@pytest.mark.parametrize(
    "before, after, deadline",
    [
        pytest.param(CONFIG, RENAMED, "", id="operation-changed"),
        pytest.param(SMALLER, CONFIG, "", id="body-limit-lowered"),
        pytest.param(CONFIG, CONFIG, "soon", id="bad-deadline"),
    ],
)
def test_resend_never_gets_not_run_after_the_run(
    before: str, after: str, deadline: str
) -> None:
    # Guards against "not run" for a payment that ran, when the resend is no
    # longer valid.
    path = CallPath(catalog=make_catalog(before))
    path.use_local_target()
    key, body = str(path.issuer.issue()), b"x" * (1_500 if before is SMALLER else 1)

    async def main() -> list[str]:
        first = await path.request(key=key, body=body)
        path.catalog = make_catalog(after)
        resend = await path.request(key=key, body=body, deadline=deadline)
        return [outcome_text(first), outcome_text(resend)]

    first, resend = anyio.run(main)
    assert first == "completed"
    assert not resend.startswith("not-run")
    assert len(path.target.runs) == 1


def test_resent_child_call_never_gets_not_run_after_the_run() -> None:
    # Guards against a target that books again because the response was "not run".
    path = CallPath()
    path.use_local_target()
    outcomes: list[str] = []

    async def action(called: str, headers: Headers) -> Completed:
        for deadline in ("", "soon") if called == "/payments" else ():
            context = context_of(headers)
            child = await path.request(
                "/wallet/notes", context=context, deadline=deadline
            )
            outcomes.append(outcome_text(child))
        return Completed(200)

    path.target.action = action
    anyio.run(path.inbound.handle, make_call())
    assert outcomes[0] == "completed"
    assert not outcomes[1].startswith("not-run")


def test_forward_after_a_change_never_gets_not_run_after_the_run() -> None:
    # Guards against the same fault for a resend that another node forwards.
    path = CallPath()
    path.use_local_target()
    key = str(path.issuer.issue())
    forward = Forward(5, key, "wallet", "POST", "/payments", [], b"1", 900.0)
    assert anyio.run(path.entry.handle_forward, forward).outcome == "completed"
    path.catalog = make_catalog(RENAMED)
    assert anyio.run(path.entry.handle_forward, forward).outcome == "unknown"


def test_forward_refused_on_a_busy_link_is_unknown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against "not run" for a resend whose first request may have run at
    # the issuer; the server refuses it before the issuer checks the key.
    monkeypatch.setattr(_peerserver, "MAX_CALLS_PER_CONNECTION", 1)

    async def main() -> list[str]:
        async with running_server() as server:
            peer = await connect(server)
            await peer.send(call_with(1, path="/wait"))
            forward = Forward(2, "k", "s", "POST", "/p", [], b"", 900.0)
            await peer.send(forward, call_with(3))
            responses = [await peer.receive() for _ in range(2)]
            await peer.stream.aclose()
            return [r.outcome for r in responses if isinstance(r, Answer)]

    assert anyio.run(main) == ["unknown", "not-run"]


def test_idempotent_call_is_retried_elsewhere_after_a_lost_response() -> None:
    # Guards against a lookup that fails because one node failed.
    path = CallPath()
    path.add_members("m1", "m2")
    path.links.script = [LinkFailure(True, "connection lost")]
    call = make_dispatch(path.clock, once=False)
    assert anyio.run(path.dispatcher.run, call) == Completed(200)
    assert len({peer.node_id for peer, _ in path.links.sent}) == 2
