"""Child calls of a target stand-in, through its node or directly."""

import enum
import random
from dataclasses import dataclass

import anyio

from briardock_standins._client import HttpClient
from briardock_standins._http import (
    Address,
    Exchange,
    HttpRequest,
    HttpResponse,
    parse_address,
)
from briardock_standins._state import Status
from briardock_standins.answers import failure_detail, is_own_answer
from briardock_standins.plans import NUMBER, ChildCall, OperationPlan, TargetPlan


class ChildState(enum.Enum):
    """How a child call ended."""

    OK = "ok"
    FAILED = "failed"
    FOREIGN = "foreign"


@dataclass(frozen=True, slots=True)
class ChildResult:
    """How a child call ended, and why.

    :param state: how it ended
    :param detail: reason of the deepest failure
    """

    state: ChildState
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Parent:
    """The run that makes child calls.

    :param run: id of the run
    :param nonce: nonce of its call
    :param context: ``Briardock-Context`` it received
    :param path: path of its request
    """

    run: str
    nonce: str
    context: str
    path: str

    @property
    def number(self) -> str:
        """Return the last segment of the path."""
        return self.path.rpartition("/")[2]


@dataclass(frozen=True, slots=True)
class ChildCaller:
    """Makes the child calls of a target.

    :param plan: plan of the target
    :param client: HTTP client
    :param rng: random source
    :param status: counters to add to
    """

    plan: TargetPlan
    client: HttpClient
    rng: random.Random
    status: Status

    async def call_all(
        self, operation: OperationPlan, parent: Parent
    ) -> list[ChildResult]:
        """Make the child calls of an operation.

        Sequential calls end at the first failure of a required one.

        :param operation: calling operation
        :param parent: calling run
        """
        if operation.parallel and len(operation.calls) > 1:
            return await self._call_parallel(operation, parent)
        results: list[ChildResult] = []
        for position, call in enumerate(operation.calls):
            result = await self._call(call, parent, position)
            results.append(result)
            if call.required and result.state is not ChildState.OK:
                break
        return results

    async def _call_parallel(
        self, operation: OperationPlan, parent: Parent
    ) -> list[ChildResult]:
        results = [ChildResult(ChildState.FAILED)] * len(operation.calls)

        async def run(position: int, call: ChildCall) -> None:
            results[position] = await self._call(call, parent, position)

        async with anyio.create_task_group() as tasks:
            for position, call in enumerate(operation.calls):
                tasks.start_soon(run, position, call)
        return results

    async def _call(
        self, call: ChildCall, parent: Parent, position: int
    ) -> ChildResult:
        nonce = f"{parent.nonce}/{position}"
        headers = [
            (b"x-nonce", nonce.encode()),
            (b"x-parent-run", parent.run.encode()),
        ]
        if parent.context:
            headers.append((b"briardock-context", parent.context.encode()))
        if call.label:
            headers.append((b"idempotency-key", call.label.encode()))
        body = b"" if call.method == "GET" else nonce.encode()
        path = call.path.replace(NUMBER, parent.number)
        if not self._is_direct(call):
            path = f"/{call.service}{path}"
        request = HttpRequest(call.method, path, tuple(headers), body)
        result = ChildResult(ChildState.FAILED)
        self.status.child_call_count += 1
        for _ in range(self.plan.attempts if self._is_direct(call) else 1):
            address = self._choose_address(call)
            self.status.child_send_count += 1
            answer = await self.client.request(
                address, request, self.plan.call_timeout_ms
            )
            result = _judge(answer, call.service, nonce, body)
            if result.state is not ChildState.FAILED:
                break
        return result

    def _is_direct(self, call: ChildCall) -> bool:
        return call.service in self.plan.upstreams

    def _choose_address(self, call: ChildCall) -> Address:
        if self._is_direct(call):
            return parse_address(self.rng.choice(self.plan.upstreams[call.service]))
        return parse_address(self.plan.node)


def _judge(
    answer: Exchange, service: str, nonce: str, request_body: bytes
) -> ChildResult:
    if not isinstance(answer, HttpResponse):
        return ChildResult(ChildState.FAILED, f"{service}: {type(answer).__name__}")
    outcome = answer.header("briardock-outcome")
    if outcome not in ("", "completed") or answer.status != 200:
        detail = failure_detail(answer.body) or str(answer.status)
        where = "" if ": " in detail else f"{service}: "
        return ChildResult(ChildState.FAILED, f"{where}{detail}")
    if is_own_answer(answer.body, nonce, request_body):
        return ChildResult(ChildState.OK)
    return ChildResult(ChildState.FOREIGN, f"{service}: foreign answer")
