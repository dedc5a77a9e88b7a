"""Tests of the load generator against a small server in the test process."""

import json

import anyio
import pytest

from briardock.clock import SystemClock, make_random
from briardock_standins._http import (
    AnswerMissing,
    ConnectFailed,
    Exchange,
    HttpRequest,
    HttpResponse,
    TimedOut,
    listen,
    serve_http,
)
from briardock_standins.load import LoadGenerator, arrivals, summarize
from briardock_standins.plans import ActionPlan, LoadPlan, Phase


def refusal(outcome: str) -> HttpResponse:
    body = json.dumps({"outcome": outcome, "reason": "overloaded"}).encode()
    return HttpResponse(503, ((b"briardock-outcome", outcome.encode()),), body)


@pytest.mark.parametrize(
    "response, outcome, body_ok",
    [
        (refusal("not-run"), "not-run", False),
        (refusal("unknown"), "unknown", False),
        (HttpResponse(200, (), b"{}"), "completed", False),
        (HttpResponse(503, ((b"briardock-not-run", b"1"),)), "not-run", False),
    ],
)
def test_resends_keep_the_key_and_are_recorded(
    response: HttpResponse, outcome: str, body_ok: bool
) -> None:
    # Guards against resends under a new key, which would hide a duplicate run.
    keys_seen: list[str] = []

    async def handle(request: HttpRequest) -> HttpResponse:
        if request.path == "/_briardock/keys":
            return HttpResponse(200, (), json.dumps({"keys": ["k2", "k1"]}).encode())
        keys_seen.append(request.header("idempotency-key"))
        return response

    async def scenario() -> None:
        listener, address = await listen("127.0.0.1", 0)
        action = ActionPlan("a.pay", "/pay", "money", "POST", keyed=True, resends=2)
        plan = LoadPlan((str(address),), (action,))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve_http, listener, handle)
            generator = LoadGenerator(plan, SystemClock())
            result = await generator.perform(action)
            await generator.close()
            tasks.cancel_scope.cancel()
        assert (result.outcome, result.body_ok, result.attempt) == (outcome, body_ok, 2)
        assert keys_seen == ["k1"] * 3
        assert [entry.final for entry in generator.results] == [False, False, True]
        assert summarize(generator.results)["money"].sent == 1

    anyio.run(scenario)


@pytest.mark.parametrize(
    ("first", "expected"),
    [
        (AnswerMissing("reset"), "unknown"),
        (TimedOut(), "unknown"),
        (ConnectFailed("refused"), "not-run"),
    ],
)
def test_resend_without_connection_keeps_the_outcome_of_the_first_attempt(
    first: Exchange, expected: str
) -> None:
    # A resend that cannot connect says nothing about the first attempt. Guards against
    # recording it as not-run, which the ledger check takes for a refusal by a node.

    async def scenario() -> None:
        action = ActionPlan("a.pay", "/pay", "money", "POST", resends=1)
        generator = LoadGenerator(LoadPlan(("127.0.0.1:1",), (action,)), SystemClock())
        exchanges = [first, ConnectFailed("refused")]

        async def send(*arguments: object) -> Exchange:
            return exchanges.pop(0)

        generator._send = send  # type: ignore[method-assign]
        result = await generator.perform(action)
        await generator.close()
        assert (result.outcome, result.attempt) == (expected, 1)

    anyio.run(scenario)


def test_arrivals_follow_the_phases() -> None:
    phases = (Phase(10.0), Phase(10.0, 4.0), Phase(10.0, 0.0))
    times = list(arrivals(phases, 100.0, make_random(3)))
    assert times == list(arrivals(phases, 100.0, make_random(3)))
    counts = [sum(i * 10 <= at_s < i * 10 + 10 for at_s in times) for i in range(3)]
    assert 800 < counts[0] < 1_200
    assert 3_600 < counts[1] < 4_400
    assert counts[2] == 0
