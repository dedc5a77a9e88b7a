"""Tests of the target stand-in, run within the test process."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest

from briardock.clock import SystemClock, make_random
from briardock_standins._client import HttpClient
from briardock_standins._http import (
    Address,
    HttpRequest,
    HttpResponse,
    TimedOut,
    listen,
    serve_http,
)
from briardock_standins._state import Faults
from briardock_standins.ledger import RunEnded, RunStarted
from briardock_standins.plans import ChildCall, OperationPlan, TargetPlan
from briardock_standins.responses import is_matching_response
from briardock_standins.target import Target

LONG_MS = 20_000.0
NONCE = ((b"x-nonce", b"n1"),)


@asynccontextmanager
async def serving(plan: TargetPlan) -> AsyncIterator[tuple[Target, Address]]:
    """Serve a target on a free port."""
    target = Target(plan, SystemClock(), make_random(1))
    listener, address = await listen("127.0.0.1", 0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_http, listener, target.handle, plan.cancel_on_close)
        yield target, address
        tasks.cancel_scope.cancel()


async def send_request(address: Address, *headers: tuple[bytes, bytes]) -> HttpResponse:
    request = HttpRequest("POST", "/x", (*NONCE, *headers), b"body")
    response = await HttpClient().request(address, request, LONG_MS)
    assert isinstance(response, HttpResponse)
    return response


def count_runs(target: Target) -> int:
    return sum(isinstance(entry, RunStarted) for entry in target.ledger.entries)


def test_full_target_sheds_without_a_run() -> None:
    # Guards against a response that is marked not-run although the run was started.
    plan = TargetPlan("a", (OperationPlan("any"),), slots=1, queue_length=0)

    async def scenario() -> None:
        async with serving(plan) as (target, address):
            target.faults = Faults(hang=True)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send_request, address)
                while not count_runs(target):
                    await anyio.sleep(0)
                response = await send_request(address)
                assert response.header("briardock-not-run") == "1"
                await target.handle_control(HttpRequest("POST", "/faults", (), b"{}"))
            assert count_runs(target) == 1

    anyio.run(scenario)


def test_closed_caller_connection_stops_the_run() -> None:
    plan = TargetPlan("a", (OperationPlan("any"),))

    async def scenario() -> None:
        async with serving(plan) as (target, address):
            target.faults = Faults(hang=True)
            request = HttpRequest("GET", "/x", NONCE)
            response = await HttpClient().request(address, request, 50.0)
            assert isinstance(response, TimedOut)
            while target.status.in_flight:
                await anyio.sleep(0)
            ended = target.ledger.entries[-1]
            assert isinstance(ended, RunEnded) and not ended.ok

    anyio.run(scenario)


def test_expired_request_does_not_run() -> None:
    async def scenario() -> None:
        async with serving(TargetPlan("a")) as (target, address):
            response = await send_request(address, (b"briardock-deadline-ms", b"0"))
            assert response.header("briardock-not-run") == "1"
            assert count_runs(target) == 0

    anyio.run(scenario)


@pytest.mark.parametrize("parallel", [False, True])
@pytest.mark.parametrize(
    "callee_faults, status", [(Faults(), 200), (Faults(shed=True), 502)]
)
def test_child_calls_determine_the_response(
    parallel: bool, callee_faults: Faults, status: int
) -> None:
    async def scenario() -> None:
        async with serving(TargetPlan("deep")) as (deep, deep_address):
            deep.faults = callee_faults
            calls = (ChildCall("deep", "/y"), ChildCall("deep", "/z", "POST"))
            operation = OperationPlan("any", calls=calls, parallel=parallel)
            plan = TargetPlan(
                "top", (operation,), upstreams={"deep": (str(deep_address),)}
            )
            async with serving(plan) as (_, address):
                response = await send_request(address)
            assert response.status == status
            assert is_matching_response(response.body, "n1", b"body")
            assert not is_matching_response(response.body, "n2", b"body")
            assert not is_matching_response(response.body[:-3], "n1", b"body")
            assert count_runs(deep) == (2 if status == 200 else 0)

    anyio.run(scenario)
