"""Forwarding of requests: admission, routing, retries and the final response."""

import asyncio
import random
from functools import cached_property

from briardock.mesh.callgraph import CalledServices
from briardock.mesh.calls import Completed, NotRun, Result, Unknown
from briardock.mesh.chain_thresholds import ChainThresholds
from briardock.mesh.clients import SenderIdentification
from briardock.mesh.deadlines import Deadline
from briardock.mesh.decisions import DecisionLog
from briardock.mesh.dialect import Dialect
from briardock.mesh.http1 import Request, Response
from briardock.mesh.instance_sender import InstanceSender
from briardock.mesh.members import MemberTable, NodeRecord
from briardock.mesh.model import MeshSettings, RequestHead, now_s
from briardock.mesh.pool import ConnectionPool
from briardock.mesh.quotas import Quotas
from briardock.mesh.request_recorder import RequestRecorder
from briardock.mesh.request_state import RequestState
from briardock.mesh.routes import RouteTable
from briardock.mesh.service_choices import ServiceChoices
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
)
from briardock.overload.board import EntryThresholds
from briardock.overload.chain import InstanceThresholds, LearnedThresholds
from briardock.overload.cost import request_kind
from briardock.overload.entry import Admitted, EntryAdmission, TurnedAway
from briardock.overload.placement import Balancer
from briardock.overload.quota import OverQuota, WithinQuota
from briardock.overload.retries import RetryBudget
from briardock.overload.shutdown import Shutdown

# Deadline of a request whose caller names none, s.
DEFAULT_DEADLINE_S = 30.0
# Retry-after time while the node has no configuration, s.
STARTING_RETRY_AFTER_S = 0.5
# Period at which a call of the local target looks for an instance again, s, and the
# share of its remaining time for which it does so.
INSTANCE_SEARCH_PERIOD_S = 0.05
INSTANCE_SEARCH_SHARE = 0.3


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
        self.service_choices = ServiceChoices(log, telemetry)
        # Set at the stop signal.
        self.shutdown: Shutdown | None = None
        self._requests_in_flight: dict[RequestState, Deadline] = {}
        self.settings = settings
        self._dialect = dialect
        self._members = members
        self._balancer = balancer
        self._thresholds = ChainThresholds(
            target,
            balancer,
            thresholds,
            entry_thresholds,
            self.called_services,
            lambda: self.max_threshold,
        )
        self._sender = InstanceSender(
            settings.node_id,
            balancer,
            target,
            peers,
            self._thresholds,
            log,
            telemetry,
        )
        self._senders = senders
        self._quotas = quotas
        self._log = log
        self._telemetry = telemetry
        self._recorder = RequestRecorder(log, telemetry)
        self._entry = EntryAdmission(rng)
        self._budgets: dict[str, RetryBudget] = {}

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
        return self._thresholds.of_target(self.settings.service, from_caller)

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
        routes = self.routes
        if routes is None:
            return self._refuse(head, "no configuration", STARTING_RETRY_AFTER_S)
        route = routes.match(head.host, request.target)
        if route is None:
            self._log.event(
                "no-route",
                id=head.request_id.decode("latin-1"),
                host=head.host,
                config=routes.version,
            )
            return Response(404)
        sender = self._senders.identify(head, route, routes.longest_timeout_s)
        if isinstance(sender, Response):
            return sender
        deadline_s = DEFAULT_DEADLINE_S if head.deadline_s is None else head.deadline_s
        timeout_limit_s = min(deadline_s, route.timeout_s)
        service = routes.pick_service(route)
        self.service_choices.record_choice(routes, route, service)
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
            routes.rank(route, sender),
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
        if not (state.passed_on or state.attempts.arrivals):
            self.service_choices.record_not_sent(routes, route, service)
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
            reason = "node stopped" if self._sender.has_ended else "timeout"
            if state.passed_on:
                return self._fail_request(state, 504, reason)
            result = NotRun(f"{reason} before an instance took it")
        except asyncio.CancelledError:
            self._recorder.record_abandoned(state)
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
        assert self.routes is not None
        threshold = self._thresholds.of_service(state.service)
        threshold *= self.routes.ranks.ranks_per_level
        match self._entry.decide(state.entry_request, threshold):
            case Admitted():
                return None
            case TurnedAway(retry_after_s) as decision:
                self._recorder.record_overload(state, threshold, decision)
                return Response(503, self._dialect.refusal_headers(retry_after_s))

    def _refuse_without_run(self, state: RequestState, reason: str) -> Response:
        retry_after_s = self._entry.retry_after_s(state.entry_request, 0.0)
        return self._refuse(state.head, reason, retry_after_s)

    def _refuse(self, head: RequestHead, reason: str, retry_after_s: float) -> Response:
        self._log.event("refused", id=head.request_id.decode("latin-1"), reason=reason)
        self._telemetry.requests.labels("refused").inc()
        return Response(503, self._dialect.refusal_headers(retry_after_s))

    def _fail_request(self, state: RequestState, status: int, reason: str) -> Response:
        self._recorder.record_failure(state, status, reason)
        return Response(status)

    def end_attempts(self) -> None:
        """Make no further attempts for the requests in flight."""
        self._sender.has_ended = True

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
            self._recorder.record_cut_off(state, self.shutdown.started_s)
            deadline.expire()
        return ended_count

    async def _try_instances(self, request: Request, state: RequestState) -> Result:
        self._budget(state.service).record_request(now_s())
        attempts = state.attempts
        target_response: Completed | None = None
        result: Result = NotRun("no instance")
        while not self._sender.has_ended:
            record = await self._choose_instance(state)
            if record is None or self._sender.has_ended:
                break
            may_hand_on = attempts.may_hand_on and self._thresholds.has_room_elsewhere(
                state.service
            )
            call = state.make_call(request, record, self.settings.service, may_hand_on)
            result = await self._sender.send(call, state, record)
            if isinstance(result, Completed):
                target_response = result
            outcome = _outcome(result)
            overloaded = (
                isinstance(outcome, MayHaveRun)
                and self._thresholds.of_service(state.service) < OPEN_THRESHOLD
            )
            retry = attempts.record(
                record, outcome, overloaded, self._members.count, now_s()
            )
            self._recorder.record_attempt(state, record, result, outcome, retry)
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

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            settings = self.settings
            budget = self._budgets[service] = RetryBudget(
                settings.retry_ratio, settings.retry_slack, settings.retry_window_s
            )
        return budget


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
