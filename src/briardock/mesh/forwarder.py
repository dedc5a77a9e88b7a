"""Requests of callers and of the own target: admission, routing, repeats, result."""

import asyncio
import random
from dataclasses import dataclass
from functools import cached_property

from briardock.mesh.balancer import Balancer
from briardock.mesh.callgraph import CalledServices, EntryRoutes
from briardock.mesh.calls import (
    Call,
    Completed,
    LoadReport,
    NotRun,
    Result,
    Unknown,
    decode_result,
    encode_call,
)
from briardock.mesh.chain import ChainLevel, LearnedLevels, Levels
from briardock.mesh.deadlines import Deadline
from briardock.mesh.decisions import DecisionLog
from briardock.mesh.dialect import Dialect
from briardock.mesh.http1 import ExchangeFailure, Request, Response
from briardock.mesh.levels import OPEN_LEVEL, DemandMeter, admits
from briardock.mesh.members import MemberTable, NodeRecord
from briardock.mesh.model import MeshSettings, RequestHead, Route, now_s
from briardock.mesh.pool import ConnectionPool
from briardock.mesh.retries import RetryBudget
from briardock.mesh.routes import RouteTable
from briardock.mesh.target import Target
from briardock.mesh.telemetry import Telemetry

# Instances that may turn a request away unseen before it is given up.
MAX_REROUTES = 6
# Time that a caller without a deadline is given, s.
DEFAULT_DEADLINE_S = 30.0
# Time after which a caller may come back while the node knows no configuration, s.
STARTING_RETRY_AFTER_S = 0.5
# Range, as parts of the objective, in which refused callers are asked back.
RETRY_AFTER_PARTS = (0.4, 0.9)
# Time for which the levels along the chain of the own target are told again, s; a
# node answers up to thousands of calls a second.
CHAIN_REFRESH_S = 0.02
# Period at which a call of the own target looks for an instance again, s, and the
# part of its remaining time for which it does so.
RETRY_SEARCH_PERIOD_S = 0.05
RETRY_SEARCH_PART = 0.3


@dataclass(slots=True)
class Attempt:
    """State of one request while it is forwarded.

    :param head: decoded headers
    :param route: its route
    :param service: service chosen for it
    :param expires_s: time of the final response at the latest
    :param from_target: whether the own target may have sent it
    :param arrivals: targets that received it
    :param may_have_run: whether one of them may have run it
    """

    head: RequestHead
    route: Route
    service: str
    expires_s: float
    from_target: bool
    arrivals: int = 0
    may_have_run: bool = False


class Forwarder:
    """Answers requests on the address for callers.

    :param settings: settings of the node
    :param dialect: headers of the platform
    :param members: records of all nodes
    :param balancer: choice of instances
    :param target: target beside the node
    :param peers: connections to other nodes
    :param levels: admission levels learned from responses
    :param entries: tells requests of callers from calls of the own target
    :param log: decisions
    :param telemetry: counters
    :param rng: random source
    """

    def __init__(
        self,
        settings: MeshSettings,
        dialect: Dialect,
        members: MemberTable,
        balancer: Balancer,
        target: Target,
        peers: ConnectionPool,
        levels: LearnedLevels,
        entries: EntryRoutes,
        log: DecisionLog,
        telemetry: Telemetry,
        rng: random.Random,
    ) -> None:
        self.routes: RouteTable | None = None
        self.called = CalledServices()
        self.settings = settings
        self._dialect = dialect
        self._members = members
        self._balancer = balancer
        self._target = target
        self._peers = peers
        self._levels = levels
        self._entries = entries
        self._log = log
        self._telemetry = telemetry
        self._rng = rng
        self._demand: dict[tuple[str, int], DemandMeter] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._chain: dict[str, ChainLevel] = {}
        self._chain_at_s = 0.0

    @cached_property
    def _loop(self) -> asyncio.AbstractEventLoop:
        """Running loop, which takes a system call to find."""
        return asyncio.get_running_loop()

    @property
    def highest_level(self) -> float:
        """Level above the priorities of all routes."""
        return float(self.routes.priority_count) if self.routes else 1.0

    def levels(self, from_caller: bool) -> Levels:
        """Return the levels of the own target and of what it calls.

        :param from_caller: whether it is for callers' requests or for calls
        """
        now = now_s()
        if now - self._chain_at_s > CHAIN_REFRESH_S:
            self._chain_at_s = now
            self._chain = self._levels.along_chain(
                self.called.names, self.settings.service, self.highest_level
            )
        return Levels(self._target.level(from_caller), self._chain)

    def update_rates(self, runs: int) -> None:
        """Move the rates of demand and of the own target's calls.

        :param runs: requests that came for the own target in the control period
        """
        self.called.update(runs)
        for meter in self._demand.values():
            meter.update()

    async def handle(self, request: Request) -> Response:
        """Return the response to a request.

        :param request: request of a caller or of the own target
        """
        head = self._dialect.decode_request(request)
        if self.routes is None:
            return self._refuse(head, "no configuration", STARTING_RETRY_AFTER_S)
        route = self.routes.match(head.host, request.target)
        if route is None:
            self._log.event(
                "no-route",
                id=head.request_id.decode("latin-1"),
                host=head.host,
                config=self.routes.version,
            )
            return Response(404)
        deadline_s = DEFAULT_DEADLINE_S if head.deadline_s is None else head.deadline_s
        limit_s = min(deadline_s, route.timeout_s)
        attempt = Attempt(
            head,
            route,
            self.routes.pick_service(route),
            request.received_s + limit_s,
            not self._entries.observe(route, self.routes.longest_timeout_s),
        )
        response = await self._forward(request, attempt)
        self._telemetry.latency.observe(now_s() - request.received_s)
        return response

    async def _forward(self, request: Request, attempt: Attempt) -> Response:
        refusal = self._admit(attempt)
        if refusal is not None:
            return refusal
        try:
            with Deadline(self._loop, attempt.expires_s):
                result = await self._try_instances(request, attempt)
        except TimeoutError:
            return self._finish(attempt, 504, "timeout")
        match result:
            case Completed(response):
                self._telemetry.completed.inc()
                return response
            case NotRun(reason) if not attempt.may_have_run:
                return self._refuse(attempt.head, reason, self._retry_after_s(attempt))
            case NotRun(reason) | Unknown(reason):
                return self._finish(attempt, 502, reason)

    def _admit(self, attempt: Attempt) -> Response | None:
        """Refuse a caller's request that its chain has no room for."""
        if attempt.from_target:
            self.called.record_call(attempt.service)
            return None
        limit = self._limit(attempt.service)
        priority = attempt.route.priority
        key = (attempt.service, priority)
        meter = self._demand.get(key) or self._demand.setdefault(key, DemandMeter())
        meter.record()
        usual_share = meter.usual_share
        if admits(priority, attempt.head.request_id, limit, usual_share):
            return None
        self._log.event(
            "refused-overload",
            id=attempt.head.request_id.decode("latin-1"),
            route=attempt.route.name,
            service=attempt.service,
            priority=priority,
            level=round(limit, 3),
            usual_share=round(usual_share, 2),
        )
        self._telemetry.requests.labels("refused-overload").inc()
        headers = self._dialect.refusal_headers(self._retry_after_s(attempt))
        return Response(503, headers)

    def _limit(self, service: str) -> float:
        return self._levels.of_service(service, self.highest_level)

    def _retry_after_s(self, attempt: Attempt) -> float:
        part = self._rng.uniform(*RETRY_AFTER_PARTS)
        return part * attempt.route.objective_s

    def _refuse(self, head: RequestHead, reason: str, retry_after_s: float) -> Response:
        self._log.event("refused", id=head.request_id.decode("latin-1"), reason=reason)
        self._telemetry.requests.labels("refused").inc()
        return Response(503, self._dialect.refusal_headers(retry_after_s))

    def _finish(self, attempt: Attempt, status: int, reason: str) -> Response:
        self._log.event(
            "failed",
            id=attempt.head.request_id.decode("latin-1"),
            route=attempt.route.name,
            service=attempt.service,
            status=status,
            reason=reason,
            arrivals=attempt.arrivals,
        )
        self._telemetry.requests.labels("failed").inc()
        return Response(status)

    async def _try_instances(self, request: Request, attempt: Attempt) -> Result:
        budget = self._budget(attempt.service)
        budget.record_request()
        excluded: set[str] = set()
        answer: Completed | None = None
        result: Result = NotRun("no instance")
        for _ in range(MAX_REROUTES):
            record = await self._choose(attempt, excluded)
            if record is None:
                break
            excluded.add(record.node_id)
            result = await self._send(request, attempt, record)
            if isinstance(result, Completed):
                answer = result
            if not self._may_repeat(attempt, result, record, budget):
                break
        # A failure that a target answered with is delivered if no repeat completed.
        return answer or result

    async def _choose(self, attempt: Attempt, excluded: set[str]) -> NodeRecord | None:
        """Return an instance; a call of the own target waits for one for a while."""
        idempotent = attempt.route.idempotent
        choose = self._balancer.choose
        record = choose(attempt.service, excluded, idempotent)
        if record is not None or not attempt.from_target:
            return record
        now = now_s()
        until_s = now + RETRY_SEARCH_PART * (attempt.expires_s - now)
        while record is None and now_s() < until_s:
            await asyncio.sleep(RETRY_SEARCH_PERIOD_S)
            record = choose(attempt.service, set(), idempotent)
        return record

    def _may_repeat(
        self, attempt: Attempt, result: Result, record: NodeRecord, budget: RetryBudget
    ) -> bool:
        """Return whether another instance is tried after a result."""
        overloaded = False
        match result:
            case NotRun(reason, False):
                self._log_repeat(attempt, record, reason, True)
                return True
            case Completed(response) if response.status < 500:
                attempt.arrivals += 1
                return False
            case Completed(response):
                reason = f"status {response.status}"
                attempt.may_have_run = True
                # Under overload a failure comes from the chain below, and running
                # the request again adds to it.
                overloaded = self._limit(attempt.service) < OPEN_LEVEL
            case NotRun(reason, True):
                pass
            case Unknown(reason):
                attempt.may_have_run = True
        attempt.arrivals += 1
        allowed = (
            not overloaded
            and (attempt.route.idempotent or not attempt.may_have_run)
            and attempt.arrivals < attempt.route.max_attempts
            and budget.spend(self._members.count)
        )
        self._log_repeat(attempt, record, reason, allowed)
        return allowed

    def _log_repeat(
        self, attempt: Attempt, record: NodeRecord, reason: str, allowed: bool
    ) -> None:
        self._log.event(
            "repeated" if allowed else "not-repeated",
            id=attempt.head.request_id.decode("latin-1"),
            service=attempt.service,
            instance=record.node_id,
            reason=reason,
            arrivals=attempt.arrivals,
        )
        if allowed:
            self._telemetry.retries.labels(reason.partition(":")[0]).inc()

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            settings = self.settings
            budget = self._budgets[service] = RetryBudget(
                settings.retry_ratio, settings.retry_slack, settings.retry_window_s
            )
        return budget

    async def _send(
        self, request: Request, attempt: Attempt, record: NodeRecord
    ) -> Result:
        call = Call(
            method=request.method,
            target=request.target,
            headers=attempt.head.forwarded,
            body=request.body,
            request_id=attempt.head.request_id,
            service=attempt.service,
            target_id=record.target_id,
            caller_service=self.settings.service,
            idempotent=attempt.route.idempotent,
            priority=attempt.route.priority,
            from_caller=not attempt.from_target,
            expires_s=attempt.expires_s,
        )
        started_s = now_s()
        self._balancer.begin(record.node_id)
        try:
            if record.node_id == self.settings.node_id:
                result = await self._target.run(call)
                levels = self.levels(call.from_caller)
                load: LoadReport | None = LoadReport(self._target.inflight, levels)
            else:
                result, load = await self._send_to_peer(call, record)
        finally:
            self._balancer.end(record.node_id)
        if load is not None:
            failed = not isinstance(result, Completed) or result.response.status >= 500
            took_s = now_s() - started_s
            node_id, highest = record.node_id, self.highest_level
            self._balancer.record_response(node_id, took_s, load.inflight, failed)
            self._levels.learn(attempt.service, node_id, load.levels, highest)
        return result

    async def _send_to_peer(
        self, call: Call, record: NodeRecord
    ) -> tuple[Result, LoadReport | None]:
        """Return the result and the load, if the other node told it."""
        connection = await self._peers.acquire(record.address)
        if isinstance(connection, ExchangeFailure):
            self._eject(record, connection.reason)
            return NotRun(f"node unreachable: {connection.reason}"), None
        response = await connection.exchange(encode_call(call, now_s()))
        if isinstance(response, ExchangeFailure):
            self._balancer.record_lost_connection(record.node_id)
            if response.sent:
                return Unknown(f"node: {response.reason}"), None
            return NotRun(f"node: {response.reason}"), None
        self._peers.release(record.address, connection)
        return decode_result(response)

    def _eject(self, record: NodeRecord, reason: str) -> None:
        duration_s = self._balancer.record_unreachable(record.node_id)
        if not duration_s:
            return
        self._log.event(
            "instance-ejected",
            instance=record.node_id,
            reason=reason,
            duration_s=round(duration_s, 2),
        )
