"""Child calls of a target stand-in, sent through its node or directly."""

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
from briardock_standins.plans import (
    NUMBER_PLACEHOLDER,
    ChildCall,
    OperationPlan,
    TargetPlan,
)
from briardock_standins.responses import failure_detail, is_matching_response


class ChildState(enum.Enum):
    """Result of a child call.

    ``FOREIGN`` is a response that is incomplete or belongs to another request.
    """

    OK = "ok"
    FAILED = "failed"
    FOREIGN = "foreign"


@dataclass(frozen=True, slots=True)
class ChildResult:
    """Result of a child call with its reason.

    :param state: result
    :param detail: reason of the failure deepest in the call chain
    """

    state: ChildState
    detail: str = ""


@dataclass(frozen=True, slots=True)
class ParentRun:
    """The run that makes the child calls.

    :param run: id of the run
    :param nonce: nonce of the call that it runs
    :param context: ``Briardock-Context`` header of that call
    :param path: request path of that call
    """

    run: str
    nonce: str
    context: str
    path: str

    @property
    def last_segment(self) -> str:
        """Return the last segment of the request path."""
        return self.path.rpartition("/")[2]


@dataclass(frozen=True, slots=True)
class ChildCaller:
    """Makes the child calls of a target.

    :param plan: plan of the target
    :param client: HTTP client
    :param rng: random source
    :param status: counters to update
    """

    plan: TargetPlan
    client: HttpClient
    rng: random.Random
    status: Status

    async def call_all(
        self, operation: OperationPlan, parent: ParentRun
    ) -> list[ChildResult]:
        """Make the child calls of an operation.

        Sequential calls stop after the first required call that fails.

        :param operation: operation that makes the calls
        :param parent: run that makes the calls
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
        self, operation: OperationPlan, parent: ParentRun
    ) -> list[ChildResult]:
        results = [ChildResult(ChildState.FAILED)] * len(operation.calls)

        async def run(position: int, call: ChildCall) -> None:
            results[position] = await self._call(call, parent, position)

        async with anyio.create_task_group() as tasks:
            for position, call in enumerate(operation.calls):
                tasks.start_soon(run, position, call)
        return results

    async def _call(
        self, call: ChildCall, parent: ParentRun, position: int
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
        path = call.path.replace(NUMBER_PLACEHOLDER, parent.last_segment)
        if not self._is_direct(call):
            path = f"/{call.service}{path}"
        request = HttpRequest(call.method, path, tuple(headers), body)
        result = ChildResult(ChildState.FAILED)
        self.status.child_call_count += 1
        for _ in range(self.plan.attempts if self._is_direct(call) else 1):
            address = self._choose_address(call)
            self.status.child_send_count += 1
            exchange = await self.client.request(
                address, request, self.plan.call_timeout_ms
            )
            result = _classify_exchange(exchange, call.service, nonce, body)
            if result.state is not ChildState.FAILED:
                break
        return result

    def _is_direct(self, call: ChildCall) -> bool:
        return call.service in self.plan.upstreams

    def _choose_address(self, call: ChildCall) -> Address:
        if self._is_direct(call):
            return parse_address(self.rng.choice(self.plan.upstreams[call.service]))
        return parse_address(self.plan.node)


def _classify_exchange(
    exchange: Exchange, service: str, nonce: str, request_body: bytes
) -> ChildResult:
    if not isinstance(exchange, HttpResponse):
        return ChildResult(ChildState.FAILED, f"{service}: {type(exchange).__name__}")
    outcome = exchange.header("briardock-outcome")
    if outcome not in ("", "completed") or exchange.status != 200:
        detail = failure_detail(exchange.body) or str(exchange.status)
        prefix = "" if ": " in detail else f"{service}: "
        return ChildResult(ChildState.FAILED, f"{prefix}{detail}")
    if is_matching_response(exchange.body, nonce, request_body):
        return ChildResult(ChildState.OK)
    return ChildResult(ChildState.FOREIGN, f"{service}: foreign answer")
