"""Forwarding of requests: admission, routing, retries and the final response."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import cached_property
from typing import TypeVar

from briardock.mesh.callgraph import CalledServices
from briardock.mesh.calls import (
    Call,
    Completed,
    LoadReport,
    NotRun,
    Result,
    Unknown,
    decode_result,
    encode_call_head,
)
from briardock.mesh.clients import Sender, SenderIdentification
from briardock.mesh.deadlines import Deadline
from briardock.mesh.decisions import DecisionLog
from briardock.mesh.dialect import Dialect
from briardock.mesh.http1 import ExchangeFailure, FailureCause, Request, Response
from briardock.mesh.members import MemberTable, NodeRecord
from briardock.mesh.model import MeshSettings, RequestHead, Route, now_s
from briardock.mesh.pool import ConnectionPool
from briardock.mesh.quotas import Quotas
from briardock.mesh.routes import RouteTable
from briardock.mesh.target import Target
from briardock.mesh.telemetry import Telemetry
from briardock.overload.admission import OPEN_THRESHOLD
from briardock.overload.attempts import (
    Attempts,
    Busy,
    MayHaveRun,
    NotReached,
    Outcome,
    Rejected,
    Succeeded,
    has_room_elsewhere,
)
from briardock.overload.board import EntryThresholds
from briardock.overload.chain import (
    ChainThreshold,
    InstanceThresholds,
    LearnedThresholds,
)
from briardock.overload.cost import request_kind
from briardock.overload.entry import Admitted, EntryAdmission, EntryRequest, TurnedAway
from briardock.overload.placement import Balancer
from briardock.overload.quota import OverQuota, WithinQuota
from briardock.overload.retries import RetryBudget
from briardock.overload.shutdown import Shutdown

# Deadline of a request whose caller names none, s.
DEFAULT_DEADLINE_S = 30.0
# Retry-after time while the node has no configuration, s.
STARTING_RETRY_AFTER_S = 0.5
# Time for which thresholds along a chain are cached, s; a node handles up to thousands
# of calls a second.
CHAIN_CACHE_S = 0.02
# Period at which a call of the local target looks for an instance again, s, and the
# share of its remaining time for which it does so.
INSTANCE_SEARCH_PERIOD_S = 0.05
INSTANCE_SEARCH_SHARE = 0.3


T = TypeVar("T")


@dataclass(slots=True, eq=False)
class RequestState:
    """State of one request while it is forwarded.

    :param head: decoded headers
    :param route: its route
    :param service: service chosen for it
    :param accepted_s: time at which its handling started
    :param expires_s: latest time of the final response
    :param sender: who sent it
    :param rank: rank by the priorities of its account and its route
    :param caller_waits_until_s: time until which its caller waits
    :param attempts: attempts at instances
    :param age_s: time since the first attempt of its caller, 0 for that one
    :param unresolved: whether it was sent to an instance that has not responded yet
    :param call: call of the attempt under way
    :param search_until_s: time until which an instance is searched for again, ``None``
        before the first search
    """

    head: RequestHead
    route: Route
    service: str
    accepted_s: float
    expires_s: float
    sender: Sender
    rank: int
    caller_waits_until_s: float
    attempts: Attempts
    age_s: float = 0.0
    unresolved: bool = False
    call: Call | None = None
    search_until_s: float | None = None

    @property
    def from_target(self) -> bool:
        """Whether the local target may have sent it."""
        return self.sender.from_target

    @property
    def passed_on(self) -> bool:
        """Whether a target may have received it."""
        return self.unresolved or self.attempts.may_have_run

    @property
    def entry_request(self) -> EntryRequest:
        """What decides whether it is admitted."""
        return EntryRequest(
            self.head.request_id,
            self.route.name,
            self.service,
            self.rank,
            self.route.objective_s,
            self.caller_waits_until_s - now_s(),
            self.age_s,
            self.sender.account_name,
        )


class Forwarder:
    """Handles requests on the address for callers and the local target.

    :param settings: settings of the node
    :param dialect: headers of the platform
    :param members: records of all nodes
    :param balancer: chooses instances
    :param target: target beside the node
    :param peers: connections to other nodes
    :param thresholds: admission thresholds learned from responses
    :param entry_thresholds: thresholds by which callers' requests are admitted
    :param senders: identifies the senders of requests
    :param quotas: quotas of the accounts of clients
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
        entry_thresholds: EntryThresholds,
        senders: SenderIdentification,
        quotas: Quotas,
        log: DecisionLog,
        telemetry: Telemetry,
        rng: random.Random,
    ) -> None:
        self.routes: RouteTable | None = None
        self.called_services = CalledServices()
        # Set at the stop signal.
        self.shutdown: Shutdown | None = None
        self._requests_in_flight: dict[RequestState, Deadline] = {}
        self._has_ended = False
        self.settings = settings
        self._dialect = dialect
        self._members = members
        self._balancer = balancer
        self._target = target
        self._peers = peers
        self._learned_thresholds = thresholds
        self._entry_thresholds = entry_thresholds
        self._senders = senders
        self._quotas = quotas
        self._log = log
        self._telemetry = telemetry
        self._entry = EntryAdmission(rng)
        self._budgets: dict[str, RetryBudget] = {}
        self._chain: dict[str, ChainThreshold] = {}
        # Threshold by service and the time at which it was determined.
        self._service_thresholds: dict[str, tuple[float, float]] = {}
        # Whether full instances may hand on, by service, and when that was determined.
        self._room_elsewhere: dict[str, tuple[bool, float]] = {}
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
        self._entry.update_rates()

    async def handle(self, request: Request) -> Response:
        """Return the response to a request.

        :param request: request of a caller or of the local target
        """
        head = self._dialect.decode_request(request, self._senders.has_accounts)
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
        sender = self._senders.identify(head, route, self.routes.longest_timeout_s)
        if isinstance(sender, Response):
            return sender
        deadline_s = DEFAULT_DEADLINE_S if head.deadline_s is None else head.deadline_s
        timeout_limit_s = min(deadline_s, route.timeout_s)
        service = self.routes.pick_service(route)
        kind = None
        if self._balancer.uses_work(service):
            kind = request_kind(
                route.name,
                request.target,
                len(request.body),
                sender.account_name or "",
            )
        state = RequestState(
            head,
            route,
            service,
            now_s(),
            request.received_s + timeout_limit_s,
            sender,
            self.routes.rank(route, sender),
            request.received_s + deadline_s,
            Attempts(
                self._balancer,
                self._budget(service),
                service,
                route.idempotent,
                route.max_attempts,
                kind,
            ),
        )
        if not state.from_target and head.deadline_s is not None:
            state.age_s = self._entry.age_s(route.name, deadline_s, request.received_s)
        response = await self._forward(request, state)
        response_time_s = now_s() - request.received_s
        self._telemetry.latency.observe(response_time_s)
        if response.status < 300:
            self._entry.record_success(route.name, response_time_s)
        return response

    async def _forward(self, request: Request, state: RequestState) -> Response:
        shutdown = self.shutdown
        if shutdown and not shutdown.accepts(state.expires_s, state.accepted_s):
            return self._refuse_without_run(state, "node is stopping")
        # The quota goes first: what exceeds it must not use up the room of others.
        refusal = self._check_quota(state)
        if refusal is not None:
            return refusal
        refusal = self._admit(state)
        if refusal is not None:
            self._refund_quota(state)
            return refusal
        deadline = Deadline(self._loop, state.expires_s)
        self._requests_in_flight[state] = deadline
        try:
            with deadline:
                result = await self._try_instances(request, state)
        except TimeoutError:
            reason = "node stopped" if self._has_ended else "timeout"
            if state.passed_on:
                return self._fail_request(state, 504, reason)
            result = NotRun(f"{reason} before an instance took it")
        except asyncio.CancelledError:
            self._record_abandoned(state)
            raise
        finally:
            del self._requests_in_flight[state]
        match result:
            case Completed(response):
                self._telemetry.completed.inc()
                return response
            case NotRun(reason) if not state.attempts.may_have_run:
                self._refund_quota(state)
                return self._refuse_without_run(state, reason)
            case NotRun(reason) | Unknown(reason):
                return self._fail_request(state, 502, reason)

    def _check_quota(self, state: RequestState) -> Response | None:
        """Return a refusal if the account of the client exceeds its quota."""
        account = state.sender.account
        if account is None:
            return None
        match self._quotas.decide(account.name):
            case WithinQuota():
                return None
            case OverQuota(retry_after_s):
                self._telemetry.requests.labels("over-quota").inc()
                return Response(429, self._dialect.refusal_headers(retry_after_s))

    def _refund_quota(self, state: RequestState) -> None:
        if state.sender.account is not None:
            self._quotas.record_refund(state.sender.account.name)

    def _admit(self, state: RequestState) -> Response | None:
        """Return a refusal if the chain lacks headroom for a caller's request."""
        if state.from_target:
            self.called_services.record_call(state.service)
            return None
        threshold = self._rank_threshold(state.service)
        match self._entry.decide(state.entry_request, threshold):
            case Admitted():
                return None
            case TurnedAway(retry_after_s, baseline_ratio, account_share):
                self._log.event(
                    "refused-overload",
                    id=state.head.request_id.decode("latin-1"),
                    route=state.route.name,
                    service=state.service,
                    priority=state.rank,
                    level=round(threshold, 3),
                    usual_share=round(baseline_ratio, 2),
                    age_s=round(state.age_s, 3),
                    **(
                        {}
                        if account_share is None
                        else {
                            "account": state.sender.account_name,
                            "account_share": round(account_share, 3),
                        }
                    ),
                )
                self._telemetry.requests.labels("refused-overload").inc()
                return Response(503, self._dialect.refusal_headers(retry_after_s))

    def _service_threshold(self, service: str) -> float:
        def determine(now: float) -> float:
            return self._entry_thresholds.of_chain(service, self.max_threshold, now)

        return _cached(self._service_thresholds, service, determine)

    def _rank_threshold(self, service: str) -> float:
        """Return the threshold of a service and its callees in ranks."""
        assert self.routes is not None
        return self._service_threshold(service) * self.routes.ranks.ranks_per_level

    def _has_room_elsewhere(self, service: str) -> bool:
        def determine(now: float) -> bool:
            threshold = self._learned_thresholds.of_instances(service, now)
            return has_room_elsewhere(self._balancer, service, threshold)

        return _cached(self._room_elsewhere, service, determine)

    def _refuse_without_run(self, state: RequestState, reason: str) -> Response:
        retry_after_s = self._entry.retry_after_s(state.entry_request, 0.0)
        return self._refuse(state.head, reason, retry_after_s)

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
            arrivals=state.attempts.arrivals,
        )
        self._telemetry.requests.labels("failed").inc()
        return Response(status)

    def _record_abandoned(self, state: RequestState) -> None:
        self._log.event(
            "caller-left",
            id=state.head.request_id.decode("latin-1"),
            route=state.route.name,
            passed_on=state.passed_on,
            age_s=round(now_s() - state.accepted_s, 3),
        )
        self._telemetry.requests.labels("caller-left").inc()

    def end_attempts(self) -> None:
        """Make no further attempts for the requests in flight."""
        self._has_ended = True

    def end_requests(self) -> int:
        """Answer the requests in flight: not run, or 504 if a target may run them.

        Those whose response was read just now are left to complete.

        :return: number of those that were ended
        """
        assert self.shutdown is not None
        ended_count = 0
        for state, deadline in self._requests_in_flight.items():
            if state.call is not None and state.call.has_response:
                continue
            ended_count += 1
            self._log.event(
                "cut-off",
                id=state.head.request_id.decode("latin-1"),
                route=state.route.name,
                passed_on=state.passed_on,
                accepted_after_stop_s=round(
                    state.accepted_s - self.shutdown.started_s, 3
                ),
            )
            deadline.expire()
        return ended_count

    async def _try_instances(self, request: Request, state: RequestState) -> Result:
        self._budget(state.service).record_request(now_s())
        attempts = state.attempts
        target_response: Completed | None = None
        result: Result = NotRun("no instance")
        while not self._has_ended:
            record = await self._choose_instance(state)
            if record is None or self._has_ended:
                break
            may_hand_on = attempts.may_hand_on and self._has_room_elsewhere(
                state.service
            )
            result = await self._send(request, state, record, may_hand_on)
            if isinstance(result, Completed):
                target_response = result
            outcome = _outcome(result)
            overloaded = (
                isinstance(outcome, MayHaveRun)
                and self._service_threshold(state.service) < OPEN_THRESHOLD
            )
            retry = attempts.record(
                record, outcome, overloaded, self._members.count, now_s()
            )
            self._record_attempt(state, record, result, outcome, retry)
            if not retry:
                break
        # A failed response of a target is passed on if no retry completed.
        return target_response or result

    async def _choose_instance(self, state: RequestState) -> NodeRecord | None:
        """Return an instance; a call of the local target waits a while for one.

        One search covers all attempts. If each attempt began a new one, a call that
        every instance refuses would be under way at its deadline, and its caller
        could not know that it was not run.
        """
        record = state.attempts.choose(now_s())
        if record is not None or not state.from_target:
            return record
        if state.search_until_s is None:
            now = now_s()
            remaining_s = state.expires_s - now
            state.search_until_s = now + INSTANCE_SEARCH_SHARE * remaining_s
        while record is None and now_s() < state.search_until_s:
            await asyncio.sleep(INSTANCE_SEARCH_PERIOD_S)
            record = state.attempts.choose_again(now_s())
        return record

    def _record_attempt(
        self,
        state: RequestState,
        record: NodeRecord,
        result: Result,
        outcome: Outcome,
        retry: bool,
    ) -> None:
        match result, outcome:
            case _, Busy():
                self._telemetry.handed_on.inc()
            case Completed(response), MayHaveRun():
                self._log_retry(state, record, f"status {response.status}", retry)
            case NotRun(reason) | Unknown(reason), _:
                self._log_retry(state, record, reason, retry)

    def _log_retry(
        self, state: RequestState, record: NodeRecord, reason: str, allowed: bool
    ) -> None:
        self._log.event(
            "repeated" if allowed else "not-repeated",
            id=state.head.request_id.decode("latin-1"),
            service=state.service,
            instance=record.node_id,
            reason=reason,
            arrivals=state.attempts.arrivals,
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
            priority=state.rank,
            from_caller=not state.from_target,
            expires_s=state.expires_s,
            may_hand_on=may_hand_on,
            account=state.sender.account_name,
        )
        state.call = call
        started_s = now_s()
        self._balancer.record_start(record.node_id, started_s)
        try:
            if record.node_id == self.settings.node_id:
                state.unresolved = True
                result = await self._target.run(call)
                state.unresolved = False
                thresholds = self.thresholds(call.from_caller)
                work = self._target.work_report(call)
                load: LoadReport | None = LoadReport(
                    self._target.in_flight, thresholds, work
                )
            else:
                result, load = await self._send_to_peer(call, record, state)
        finally:
            state.call = None
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
        elif not (isinstance(result, Unknown) and result.own_shortage):
            failed = not isinstance(result, Completed) or result.response.status >= 500
            self._balancer.record_response(
                node_id, now - started_s, load.in_flight, failed, now
            )
        if load.work is not None:
            self._telemetry.work_reports.inc()
            if not self._balancer.uses_work(state.service):
                self._log.event("placement-by-completion", service=state.service)
            self._balancer.record_work(record, load.work, state.attempts.kind, now)
        self._learned_thresholds.learn(
            state.service, node_id, load.thresholds, self.max_threshold, now
        )

    async def _send_to_peer(
        self, call: Call, record: NodeRecord, state: RequestState
    ) -> tuple[Result, LoadReport | None]:
        """Return the result, and the load if the other node reported it."""
        connection = await self._peers.acquire(record.address)
        if isinstance(connection, ExchangeFailure):
            if connection.cause is FailureCause.OWN_SHORTAGE:
                return NotRun(connection.reason), None
            self._eject(record, connection.reason)
            return NotRun(f"node unreachable: {connection.reason}"), None
        if self._has_ended:
            self._peers.release(record.address, connection)
            return NotRun("node stopped"), None
        state.unresolved = True
        call.connection = connection
        response = await connection.exchange(
            encode_call_head(call, now_s()), body=call.body
        )
        state.unresolved = False
        if isinstance(response, ExchangeFailure):
            if response.cause is FailureCause.OWN_SHORTAGE:
                return Unknown(response.reason, own_shortage=True), None
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


def _cached(
    cache: dict[str, tuple[T, float]], service: str, determine: Callable[[float], T]
) -> T:
    """Return the cached value of a service, determined again once it is outdated."""
    now = now_s()
    known = cache.get(service)
    if known is not None and now - known[1] < CHAIN_CACHE_S:
        return known[0]
    value = determine(now)
    cache[service] = value, now
    return value


def _outcome(result: Result) -> Outcome:
    match result:
        case Completed(response) if response.status < 500:
            return Succeeded()
        case Completed():
            return MayHaveRun(responded=True)
        case NotRun(busy=True):
            return Busy()
        case NotRun(arrived=True):
            return Rejected()
        case NotRun():
            return NotReached()
        case Unknown():
            return MayHaveRun(responded=False)
