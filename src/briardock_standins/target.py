"""Stand-in for a target service: slots, processing times, child calls and faults.

It serves HTTP with h11 on anyio because overload measurements run many targets on
few cores: at 1,000 requests/s for 5 s with this handler, a process used 1.0 s of CPU
with h11 and 1.4 s with hypercorn.
"""

import json
import os
import random
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

import anyio
import defopt
import msgspec

from briardock.clock import SystemClock, make_random
from briardock.exceptions import BriardockError
from briardock_standins._children import ChildCaller, ChildState, ParentRun
from briardock_standins._client import HttpClient
from briardock_standins._http import (
    HttpRequest,
    HttpResponse,
    json_response,
    listen,
    parse_address,
    serve_http,
)
from briardock_standins._state import Faults, Status
from briardock_standins.ledger import (
    LedgerWriter,
    Notice,
    RunEnded,
    RunStarted,
    body_digest,
)
from briardock_standins.plans import (
    Distribution,
    OperationPlan,
    TargetPlan,
    read_plan,
)
from briardock_standins.responses import ResponseBody

CRASH_EXIT_CODE = 70
ANNOUNCE_TIMEOUT_MS = 2_000.0
NOT_RUN_HEADERS = ((b"briardock-not-run", b"1"),)


@dataclass(slots=True)
class _RunProgress:
    """Progress of one run."""

    ok: bool = False
    foreign: bool = False
    processing_ms: float = 0.0


class Target:
    """One target process.

    :param plan: behaviour
    :param clock: time
    :param rng: random source
    """

    def __init__(
        self, plan: TargetPlan, clock: SystemClock, rng: random.Random
    ) -> None:
        self.plan = plan
        self.faults = Faults()
        self.ledger = LedgerWriter(Path(plan.ledger) if plan.ledger else None)
        self.status = Status(os.urandom(8).hex(), plan.service, "ready")
        self._clock = clock
        self._rng = rng
        self._slots = anyio.Semaphore(plan.slots)
        self._hang_ended = anyio.Event()
        self._client = HttpClient()
        self._child_caller = ChildCaller(plan, self._client, rng, self.status)
        self._started_ms = clock.now_ms()
        self._last_request_ms = self._started_ms
        self._sequence = 0

    @property
    def load(self) -> float:
        """Return the load to announce to the node, where 1.0 means full."""
        if self.faults.lying_load is not None:
            return self.faults.lying_load
        return self.status.in_flight / self.plan.slots

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one request to the service."""
        self._last_request_ms = self._clock.now_ms()
        operation = self._find_operation(request)
        if operation is None:
            return json_response(404, b'{"error":"no such operation"}')
        if self.faults.shed or self._is_full():
            self.status.shed_count += 1
            return json_response(503, b'{"error":"full"}', NOT_RUN_HEADERS)
        self.status.in_flight += 1
        try:
            return await self._wait_and_run(operation, request)
        except anyio.get_cancelled_exc_class():
            self.status.cancelled_count += 1
            raise
        finally:
            self.status.in_flight -= 1
            self._last_request_ms = self._clock.now_ms()

    def _find_operation(self, request: HttpRequest) -> OperationPlan | None:
        for operation in self.plan.operations:
            if operation.matches(request.method, request.path):
                return operation
        return None

    def _is_full(self) -> bool:
        if self._slots.value:
            return False
        return self.status.waiting >= self.plan.queue_length

    async def _wait_and_run(
        self, operation: OperationPlan, request: HttpRequest
    ) -> HttpResponse:
        deadline_ms = self._deadline_ms(request)
        self.status.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.status.waiting -= 1
        try:
            if self._clock.now_ms() >= deadline_ms:
                self.status.expired_count += 1
                return json_response(503, b'{"error":"expired"}', NOT_RUN_HEADERS)
            return await self._run(operation, request, deadline_ms)
        finally:
            self._slots.release()

    def _deadline_ms(self, request: HttpRequest) -> float:
        text = request.header("briardock-deadline-ms")
        return self._clock.now_ms() + float(text) if text else float("inf")

    async def _run(
        self, operation: OperationPlan, request: HttpRequest, deadline_ms: float
    ) -> HttpResponse:
        started = self._start_run(operation, request)
        progress = _RunProgress()
        try:
            with anyio.move_on_after((deadline_ms - started.at_ms) / 1000.0):
                return await self._execute(operation, request, started, progress)
            return self._respond(operation, started, 504, "deadline passed")
        finally:
            self._end_run(started, progress)

    def _start_run(self, operation: OperationPlan, request: HttpRequest) -> RunStarted:
        self._sequence += 1
        self.status.run_count += 1
        started = RunStarted(
            run=f"{self.status.instance}.{self._sequence}",
            key=request.header("briardock-key"),
            nonce=request.header("x-nonce"),
            parent_run=request.header("x-parent-run"),
            operation=f"{self.plan.service}.{operation.name}",
            digest=body_digest(request.body),
            instance=self.status.instance,
            at_ms=self._clock.now_ms(),
        )
        self.ledger.append(started)
        self._crash_if_requested(request)
        return started

    def _crash_if_requested(self, request: HttpRequest) -> None:
        marker = self.plan.crash_marker.encode()
        if (marker and marker in request.body) or self.faults.die_after == 0:
            os._exit(CRASH_EXIT_CODE)
        if self.faults.die_after > 0:
            self.faults = msgspec.structs.replace(
                self.faults, die_after=self.faults.die_after - 1
            )

    def _end_run(self, started: RunStarted, progress: _RunProgress) -> None:
        ended = RunEnded(
            started.run,
            progress.ok,
            progress.processing_ms,
            self._clock.now_ms(),
            progress.foreign,
        )
        self.ledger.append(ended)

    async def _execute(
        self,
        operation: OperationPlan,
        request: HttpRequest,
        started: RunStarted,
        progress: _RunProgress,
    ) -> HttpResponse:
        try:
            await self._simulate_processing(operation)
        finally:
            progress.processing_ms = self._clock.now_ms() - started.at_ms
        parent = ParentRun(
            started.run,
            started.nonce,
            request.header("briardock-context"),
            request.path,
        )
        results = await self._child_caller.call_all(operation, parent)
        progress.foreign = any(result.state is ChildState.FOREIGN for result in results)
        failed = [
            result
            for call, result in zip(operation.calls, results, strict=False)
            if result.state is ChildState.FOREIGN
            or (call.required and result.state is ChildState.FAILED)
        ]
        if failed:
            return self._respond(operation, started, 502, failed[0].detail)
        progress.ok = True
        return self._respond(operation, started, 200, "")

    async def _simulate_processing(self, operation: OperationPlan) -> None:
        while self.faults.hang:
            await self._hang_ended.wait()
        duration_ms = (
            operation.service_ms * self.faults.slow_factor * self._cold_start_factor()
        )
        if operation.distribution is Distribution.EXPONENTIAL:
            duration_ms = self._rng.expovariate(1.0) * duration_ms
        await anyio.sleep(duration_ms / 1000.0)

    def _cold_start_factor(self) -> float:
        age_s = (self._clock.now_ms() - self._started_ms) / 1000.0
        if age_s >= self.plan.cold_start_s:
            return 1.0
        remaining = 1.0 - age_s / self.plan.cold_start_s
        return 1.0 + (self.plan.cold_factor - 1.0) * remaining

    def _respond(
        self, operation: OperationPlan, started: RunStarted, status: int, error: str
    ) -> HttpResponse:
        body = ResponseBody(
            nonce=started.nonce,
            operation=started.operation,
            run=started.run,
            request_digest=started.digest,
            error=error,
            pad_bytes=operation.answer_bytes,
            pad="x" * operation.answer_bytes,
        )
        return json_response(status, msgspec.json.encode(body))

    async def handle_control(self, request: HttpRequest) -> HttpResponse:
        """Handle one request to the control port."""
        match (request.method, request.path):
            case ("GET", "/status"):
                return json_response(200, msgspec.json.encode(self.status))
            case ("POST", "/faults"):
                return self._set_faults(request.body)
        return json_response(404, b'{"error":"use GET /status or POST /faults"}')

    def _set_faults(self, body: bytes) -> HttpResponse:
        try:
            self.faults = msgspec.json.decode(body, type=Faults)
        except msgspec.DecodeError as error:
            return json_response(400, json.dumps({"error": str(error)}).encode())
        if not self.faults.hang:
            self._hang_ended.set()
            self._hang_ended = anyio.Event()
        return json_response(200, msgspec.json.encode(self.faults))

    async def announce(self, port: int) -> None:
        """Announce the target to its node once per period, until cancelled.

        :param port: port of the service
        """
        while True:
            await self._announce_once(port)
            await anyio.sleep(self.plan.announce_s)

    async def _announce_once(self, port: int) -> None:
        body = {
            "service": self.plan.service,
            "host": self.plan.host,
            "port": port,
            "instance": self.status.instance,
            "state": self.status.state,
            "load": self.load,
        }
        request = HttpRequest(
            "POST",
            "/_briardock/target",
            ((b"content-type", b"application/json"),),
            json.dumps(body).encode(),
        )
        node = parse_address(self.plan.node)
        await self._client.request(node, request, ANNOUNCE_TIMEOUT_MS)

    async def drain(self, port: int) -> None:
        """Announce that the target leaves and wait until it is idle.

        It counts as idle once no request has been in flight for ``drain_idle_s``.

        :param port: port of the service
        """
        self.status.state = "leaving"
        now_ms = self._clock.now_ms()
        self.ledger.append(Notice(self.status.instance, "leaving", now_ms))
        if self.plan.node:
            await self._announce_once(port)
        idle_since_ms = self._clock.now_ms()
        idle_ms = self.plan.drain_idle_s * 1000.0
        while self.status.in_flight or self._clock.now_ms() - idle_since_ms < idle_ms:
            await anyio.sleep(idle_ms / 10_000.0)
            if self.status.in_flight:
                idle_since_ms = self._clock.now_ms()
            idle_since_ms = max(idle_since_ms, self._last_request_ms)


async def run_target(plan: TargetPlan) -> None:
    """Run a target until SIGTERM or SIGINT, then drain it.

    :param plan: behaviour
    """
    target = Target(plan, SystemClock(), make_random(plan.seed))
    listener, address = await listen(plan.host, plan.port)
    control_listener, control_address = await listen(plan.host, plan.control_port)
    ready = {
        "address": str(address),
        "control": str(control_address),
        "instance": target.status.instance,
    }
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve_http, listener, target.handle, plan.cancel_on_close)
            tasks.start_soon(serve_http, control_listener, target.handle_control)
            if plan.node:
                tasks.start_soon(target.announce, address.port)
            print(json.dumps(ready), flush=True)
            async for _ in signals:
                break
            await target.drain(address.port)
            tasks.cancel_scope.cancel()
    target.ledger.close()


def _command(
    *,
    plan: Path | None = None,
    service: str = "",
    node: str = "",
    host: str = "",
    port: int = -1,
    control_port: int = -1,
    ledger: Path | None = None,
    slots: int = 0,
    service_ms: float = 0.0,
    seed: int = -1,
) -> None:
    """Run a stand-in for a target service.

    Print one JSON line with the addresses when it is ready. Options override the
    values of the plan.

    :param plan: JSON file with a target plan
    :param service: name of the service
    :param node: host:port of the HTTP listener of the node beside it
    :param host: loopback address to listen on
    :param port: port of the service, 0 for any free port
    :param control_port: port of POST /faults and GET /status, 0 for any free port
    :param ledger: file to append the ledger to
    :param slots: requests that may run concurrently
    :param service_ms: mean processing time in ms of a single operation for any path
    :param seed: seed of processing times
    """
    settings = read_plan(plan, TargetPlan) if plan else TargetPlan(service)
    changes: dict[str, object] = {
        "service": service,
        "node": node,
        "host": host,
        "ledger": str(ledger) if ledger else "",
        "slots": slots,
    }
    changes = {name: value for name, value in changes.items() if value}
    numbers = {"port": port, "control_port": control_port, "seed": seed}
    changes.update((name, value) for name, value in numbers.items() if value >= 0)
    if service_ms > 0.0:
        changes["operations"] = (OperationPlan("any", service_ms=service_ms),)
    settings = msgspec.structs.replace(settings, **changes)
    if not settings.service:
        raise BriardockError("no service given", "pass --service or --plan")
    anyio.run(run_target, settings, backend_options={"use_uvloop": True})


def main() -> None:
    """Run the command ``briardock-target-standin``."""
    try:
        defopt.run(_command)
    except BriardockError as error:
        print(error, file=sys.stderr)
        sys.exit(error.exit_code)


if __name__ == "__main__":
    main()
