"""Forwarding of requests: admission, routing, retries and the final response."""

import asyncio
import random
from dataclasses import dataclass
from functools import cached_property

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
from briardock.mesh.deadlines import Deadline
from briardock.mesh.decisions import DecisionLog
from briardock.mesh.dialect import Dialect
from briardock.mesh.http1 import ExchangeFailure, Request, Response
from briardock.mesh.members import MemberTable, NodeRecord
from briardock.mesh.model import MeshSettings, RequestHead, Route, now_s
from briardock.mesh.pool import ConnectionPool
from briardock.mesh.routes import RouteTable
from briardock.mesh.target import Target
from briardock.mesh.telemetry import Telemetry
from briardock.overload.admission import (
    OPEN_THRESHOLD,
    DemandMeter,
    admitted_share,
    is_sampled,
)
from briardock.overload.chain import (
    ChainThreshold,
    InstanceThresholds,
    LearnedThresholds,
)
from briardock.overload.placement import Balancer
from briardock.overload.retries import RetryBudget
from briardock.overload.returns import (
    AttemptAge,
    Refused,
    retry_after_s,
    return_share,
)

# Largest number of instances tried for one request, including those that it never
# reached.
MAX_TRIED_INSTANCES = 6
# Deadline of a request whose caller names none, s.
DEFAULT_DEADLINE_S = 30.0
# Retry-after time while the node has no configuration, s.
STARTING_RETRY_AFTER_S = 0.5
# Instances that a request may leave because they have no free slot.
MAX_HAND_ONS = 2
# Weight of the newest response in the mean response time of a route.
RESPONSE_TIME_WEIGHT = 0.05
# Time for which the thresholds along the chain of the local target are cached, s; a
# node responds to up to thousands of calls a second.
CHAIN_CACHE_S = 0.02
# Period at which a call of the local target looks for an instance again, s, and the
# share of its remaining time for which it does so.
INSTANCE_SEARCH_PERIOD_S = 0.05
INSTANCE_SEARCH_SHARE = 0.3


@dataclass(slots=True)
class RequestState:
    """State of one request while it is forwarded.

    :param head: decoded headers
    :param route: its route
    :param service: service chosen for it
    :param expires_s: latest time of the final response
    :param from_target: whether the local target may have sent it
    :param remaining_s: time for which its caller still waits
    :param age_s: time since the first attempt of its caller, 0 for that one
    :param arrivals: number of targets that received it
    :param may_have_run: whether one of them may have run it
    """

    head: RequestHead
    route: Route
    service: str
    expires_s: float
    from_target: bool
    remaining_s: float
    age_s: float = 0.0
    arrivals: int = 0
    may_have_run: bool = False


class Forwarder:
    """Handles requests on the address for callers and the local target.

    :param settings: settings of the node
    :param dialect: headers of the platform
    :param members: records of all nodes
    :param balancer: chooses instances
    :param target: target beside the node
    :param peers: connections to other nodes
    :param thresholds: admission thresholds learned from responses
    :param entry_routes: distinguishes callers' requests from calls of the local target
    :param log: decision log
    :param telemetry: metrics
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
        thresholds: LearnedThresholds,
        entry_routes: EntryRoutes,
        log: DecisionLog,
        telemetry: Telemetry,
        rng: random.Random,
    ) -> None:
        self.routes: RouteTable | None = None
        self.called_services = CalledServices()
        self.settings = settings
        self._dialect = dialect
        self._members = members
        self._balancer = balancer
        self._target = target
        self._peers = peers
        self._learned_thresholds = thresholds
        self._entry_routes = entry_routes
        self._log = log
        self._telemetry = telemetry
        self._rng = rng
        self._demand_meters: dict[tuple[str, int], DemandMeter] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._attempt_ages: dict[str, AttemptAge] = {}
        self._response_times_s: dict[str, float] = {}
        self._chain: dict[str, ChainThreshold] = {}
        self._chain_updated_s = 0.0

    @cached_property
    def _loop(self) -> asyncio.AbstractEventLoop:
        """Running event loop, cached because its lookup makes a system call."""
        return asyncio.get_running_loop()

    @property
    def max_threshold(self) -> float:
        """Threshold above the priorities of all routes."""
        return float(self.routes.priority_count) if self.routes else 1.0

    def thresholds(self, from_caller: bool) -> InstanceThresholds:
        """Return the thresholds of the local target and of its callees.

        :param from_caller: whether they are for callers' requests or for calls
        """
        now = now_s()
        if now - self._chain_updated_s > CHAIN_CACHE_S:
            self._chain_updated_s = now
            self._chain = self._learned_thresholds.along_chain(
                self.called_services.names,
                self.settings.service,
                self.max_threshold,
                now,
            )
        return InstanceThresholds(self._target.threshold(from_caller), self._chain)

    def update_rates(self, target_arrivals: int) -> None:
        """Update the rates of demand and of the local target's calls.

        :param target_arrivals: requests for the local target in the control period
        """
        self.called_services.update(target_arrivals)
        for meter in self._demand_meters.values():
            meter.update()

    async def handle(self, request: Request) -> Response:
        """Return the response to a request.

        :param request: request of a caller or of the local target
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
        timeout_limit_s = min(deadline_s, route.timeout_s)
        state = RequestState(
            head,
            route,
            self.routes.pick_service(route),
            request.received_s + timeout_limit_s,
            not self._entry_routes.observe(route, self.routes.longest_timeout_s),
            deadline_s,
        )
        if not state.from_target and head.deadline_s is not None:
            attempt_age = self._attempt_ages.setdefault(route.name, AttemptAge())
            state.age_s = attempt_age.observe(deadline_s, request.received_s)
        response = await self._forward(request, state)
        response_time_s = now_s() - request.received_s
        self._telemetry.latency.observe(response_time_s)
        if response.status < 300:
            known_s = self._response_times_s.setdefault(route.name, response_time_s)
            self._response_times_s[route.name] = known_s + RESPONSE_TIME_WEIGHT * (
                response_time_s - known_s
            )
        return response

    async def _forward(self, request: Request, state: RequestState) -> Response:
        refusal = self._admit(state)
        if refusal is not None:
            return refusal
        try:
            with Deadline(self._loop, state.expires_s):
                result = await self._try_instances(request, state)
        except TimeoutError:
            return self._fail_request(state, 504, "timeout")
        match result:
            case Completed(response):
                self._telemetry.completed.inc()
                return response
            case NotRun(reason) if not state.may_have_run:
                return self._refuse(state.head, reason, self._retry_after_s(state, 0.0))
            case NotRun(reason) | Unknown(reason):
                return self._fail_request(state, 502, reason)

    def _admit(self, state: RequestState) -> Response | None:
        """Return a refusal if the chain lacks headroom for a caller's request."""
        if state.from_target:
            self.called_services.record_call(state.service)
            return None
        threshold = self._service_threshold(state.service)
        priority = state.route.priority
        key = (state.service, priority)
        meter = self._demand_meters.get(key) or self._demand_meters.setdefault(
            key, DemandMeter()
        )
        meter.record()
        baseline_ratio = meter.baseline_ratio
        first_share = admitted_share(priority, threshold, baseline_ratio)
        share = return_share(first_share) if state.age_s else first_share
        if is_sampled(state.head.request_id, share):
            return None
        self._log.event(
            "refused-overload",
            id=state.head.request_id.decode("latin-1"),
            route=state.route.name,
            service=state.service,
            priority=priority,
            level=round(threshold, 3),
            usual_share=round(baseline_ratio, 2),
            age_s=round(state.age_s, 3),
        )
        self._telemetry.requests.labels("refused-overload").inc()
        headers = self._dialect.refusal_headers(self._retry_after_s(state, first_share))
        return Response(503, headers)

    def _service_threshold(self, service: str) -> float:
        return self._learned_thresholds.of_service(service, self.max_threshold, now_s())

    def _retry_after_s(self, state: RequestState, share: float) -> float:
        refused = Refused(
            state.route.objective_s,
            state.remaining_s,
            state.age_s,
            self._response_times_s.get(state.route.name, 0.0),
            share,
        )
        return retry_after_s(refused, self._rng)

    def _refuse(self, head: RequestHead, reason: str, retry_after_s: float) -> Response:
        self._log.event("refused", id=head.request_id.decode("latin-1"), reason=reason)
        self._telemetry.requests.labels("refused").inc()
        return Response(503, self._dialect.refusal_headers(retry_after_s))

    def _fail_request(self, state: RequestState, status: int, reason: str) -> Response:
        self._log.event(
            "failed",
            id=state.head.request_id.decode("latin-1"),
            route=state.route.name,
            service=state.service,
            status=status,
            reason=reason,
            arrivals=state.arrivals,
        )
        self._telemetry.requests.labels("failed").inc()
        return Response(status)

    async def _try_instances(self, request: Request, state: RequestState) -> Result:
        budget = self._budget(state.service)
        budget.record_request(now_s())
        excluded: set[str] = set()
        busy: list[NodeRecord] = []
        target_response: Completed | None = None
        result: Result = NotRun("no instance")
        for _ in range(MAX_TRIED_INSTANCES):
            record = await self._choose_instance(state, excluded, busy)
            if record is None:
                break
            may_hand_on = len(busy) < MAX_HAND_ONS and self._may_hand_on(state)
            result = await self._send(request, state, record, may_hand_on)
            if isinstance(result, NotRun) and result.busy:
                busy.append(record)
                self._telemetry.handed_on.inc()
                continue
            excluded.add(record.node_id)
            busy = [other for other in busy if other.node_id != record.node_id]
            if isinstance(result, Completed):
                target_response = result
            if not self._should_retry(state, result, record, budget):
                break
        # A failed response of a target is passed on if no retry completed.
        return target_response or result

    def _may_hand_on(self, state: RequestState) -> bool:
        """Return whether a busy instance may leave a request to another one.

        While the whole service is overloaded no other one has a free slot.
        """
        threshold = self._learned_thresholds.of_instances(state.service, now_s())
        is_open = threshold >= OPEN_THRESHOLD
        return is_open and self._balancer.has_alternatives(state.service)

    async def _choose_instance(
        self, state: RequestState, excluded: set[str], busy: list[NodeRecord]
    ) -> NodeRecord | None:
        """Return an instance; a call of the local target waits a while for one."""
        idempotent = state.route.idempotent
        choose = self._balancer.choose
        tried = excluded | {record.node_id for record in busy}
        # An instance without a free slot is chosen again only once none is left to try.
        last_choice = busy if len(busy) >= MAX_HAND_ONS else None
        record = choose(state.service, tried, idempotent, now_s(), last_choice)
        if record is None and busy:
            record = choose(state.service, excluded, idempotent, now_s())
        if record is not None or not state.from_target:
            return record
        now = now_s()
        until_s = now + INSTANCE_SEARCH_SHARE * (state.expires_s - now)
        while record is None and now_s() < until_s:
            await asyncio.sleep(INSTANCE_SEARCH_PERIOD_S)
            record = choose(state.service, set(), idempotent, now_s())
        return record

    def _should_retry(
        self,
        state: RequestState,
        result: Result,
        record: NodeRecord,
        budget: RetryBudget,
    ) -> bool:
        """Record a result; return whether to retry on another instance."""
        overloaded = False
        match result:
            case NotRun(reason, False):
                self._log_retry(state, record, reason, True)
                return True
            case Completed(response) if response.status < 500:
                state.arrivals += 1
                return False
            case Completed(response):
                reason = f"status {response.status}"
                state.may_have_run = True
                # Under overload the failure is caused further along the chain, and a
                # retry would add load there.
                overloaded = self._service_threshold(state.service) < OPEN_THRESHOLD
            case NotRun(reason, True):
                pass
            case Unknown(reason):
                state.may_have_run = True
        state.arrivals += 1
        allowed = (
            not overloaded
            and (state.route.idempotent or not state.may_have_run)
            and state.arrivals < state.route.max_attempts
            and budget.spend(self._members.count, now_s())
        )
        self._log_retry(state, record, reason, allowed)
        return allowed

    def _log_retry(
        self, state: RequestState, record: NodeRecord, reason: str, allowed: bool
    ) -> None:
        self._log.event(
            "repeated" if allowed else "not-repeated",
            id=state.head.request_id.decode("latin-1"),
            service=state.service,
            instance=record.node_id,
            reason=reason,
            arrivals=state.arrivals,
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
        self,
        request: Request,
        state: RequestState,
        record: NodeRecord,
        may_hand_on: bool,
    ) -> Result:
        call = Call(
            method=request.method,
            target=request.target,
            headers=state.head.forwarded,
            body=request.body,
            request_id=state.head.request_id,
            service=state.service,
            target_id=record.target_id,
            caller_service=self.settings.service,
            idempotent=state.route.idempotent,
            priority=state.route.priority,
            from_caller=not state.from_target,
            expires_s=state.expires_s,
            may_hand_on=may_hand_on,
        )
        started_s = now_s()
        self._balancer.record_start(record.node_id, started_s)
        try:
            if record.node_id == self.settings.node_id:
                result = await self._target.run(call)
                thresholds = self.thresholds(call.from_caller)
                load: LoadReport | None = LoadReport(self._target.in_flight, thresholds)
            else:
                result, load = await self._send_to_peer(call, record)
        finally:
            self._balancer.record_end(record.node_id)
        if load is not None:
            self._record_load(state, record, result, load, started_s)
        return result

    def _record_load(
        self,
        state: RequestState,
        record: NodeRecord,
        result: Result,
        load: LoadReport,
        started_s: float,
    ) -> None:
        now = now_s()
        node_id = record.node_id
        if isinstance(result, NotRun) and result.busy:
            self._balancer.record_busy(node_id, load.in_flight, now)
        else:
            failed = not isinstance(result, Completed) or result.response.status >= 500
            self._balancer.record_response(
                node_id, now - started_s, load.in_flight, failed, now
            )
        self._learned_thresholds.learn(
            state.service, node_id, load.thresholds, self.max_threshold, now
        )

    async def _send_to_peer(
        self, call: Call, record: NodeRecord
    ) -> tuple[Result, LoadReport | None]:
        """Return the result, and the load if the other node reported it."""
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
        duration_s = self._balancer.record_unreachable(record.node_id, now_s())
        if not duration_s:
            return
        self._log.event(
            "instance-ejected",
            instance=record.node_id,
            reason=reason,
            duration_s=round(duration_s, 2),
        )
