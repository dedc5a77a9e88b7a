"""Entry point for requests from callers, the local target and other nodes."""

import itertools
import math
from collections.abc import Callable

import anyio
import msgspec

from briardock._requestreader import CallRequest, make_request_reader
from briardock.actions import Action, ActionTable, Finished, InProgress, Started
from briardock.admission import request_priority
from briardock.budget import RetryBudget, make_budget
from briardock.clock import Clock
from briardock.configuration import Catalog, Operation
from briardock.dispatch import (
    Dispatch,
    Dispatcher,
    answer_from_outcome,
    outcome_from_answer,
)
from briardock.drain import Drain
from briardock.inbound import (
    CONTEXT_HEADER,
    Inbound,
    RunningCall,
)
from briardock.keys import (
    ActionKey,
    KeyIssuer,
    child_key,
    parse_key,
    request_digest,
)
from briardock.listener import HttpRequest, HttpResponse
from briardock.messages import Answer, Forward
from briardock.metrics import Metrics
from briardock.outcomes import Completed, NotRun, Outcome, Reason, Unknown
from briardock.peers import LinkFailure, PeerAddress, PeerLinks
from briardock.quarantine import fingerprint
from briardock.refusals import DownstreamThresholds
from briardock.responses import ACTION_HEADER, json_response, outcome_response

KEY_HEADER = b"idempotency-key"
MAX_KEYS_PER_REQUEST = 1_000

FindIssuer = Callable[[str, int], PeerAddress | None]


class Entry:
    """Turns requests into calls with a key, priority, deadline and retry budget.

    :param clock: monotonic clock
    :param catalog: returns the configuration in force, ``None`` before the first
    :param issuer: issues and verifies keys
    :param actions: action records of this issuer
    :param dispatcher: runs calls
    :param inbound: inbound side of this node, for child calls
    :param links: links to other nodes, for forwards
    :param find_issuer: returns the address of an issuer by id and incarnation
    :param downstream_thresholds: admission thresholds learned from responses
    :param drain: drain state of this node
    :param metrics: counters
    """

    def __init__(
        self,
        clock: Clock,
        catalog: Callable[[], Catalog | None],
        issuer: KeyIssuer,
        actions: ActionTable,
        dispatcher: Dispatcher,
        inbound: Inbound,
        links: PeerLinks,
        find_issuer: FindIssuer,
        downstream_thresholds: DownstreamThresholds,
        drain: Drain,
        metrics: Metrics,
    ) -> None:
        self.in_flight = 0
        self.last_forward_at_ms = float("-inf")
        self._clock = clock
        self._reader = make_request_reader(clock, catalog)
        self._issuer = issuer
        self._actions = actions
        self._dispatcher = dispatcher
        self._inbound = inbound
        self._links = links
        self._find_issuer = find_issuer
        self._downstream_thresholds = downstream_thresholds
        self._drain = drain
        self._metrics = metrics
        self._child_numbers = itertools.count(1)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one request from a caller or from the local target.

        :param request: complete HTTP request
        """
        self.in_flight += 1
        try:
            headers = {name.lower(): value for name, value in request.headers}
            context = headers.get(CONTEXT_HEADER.lower())
            if context is None:
                outcome, key = await self._handle_entry(request, headers)
            else:
                outcome, key = await self._handle_child(request, headers, context)
        finally:
            self.in_flight -= 1
        self._count_outcome(outcome)
        action_headers = ((ACTION_HEADER, key.encode()),) if key else ()
        return outcome_response(outcome, action_headers)

    async def handle_forward(self, forward: Forward) -> Answer:
        """Handle a forwarded request whose key was issued by this node.

        :param forward: request received by another node
        """
        key = parse_key(forward.key)
        if isinstance(key, NotRun):
            return answer_from_outcome(key, forward.call_id)
        operation = self._reader.find(forward.service, forward.method, forward.path)
        if isinstance(operation, NotRun):
            return answer_from_outcome(
                self._refuse_keyed(operation, key), forward.call_id
            )
        request = CallRequest(
            operation,
            forward.method,
            forward.path,
            tuple(forward.headers),
            forward.body,
            self._clock.now_ms() + forward.remaining_ms,
        )
        self.in_flight += 1
        self.last_forward_at_ms = self._clock.now_ms()
        try:
            outcome = await self._run_local(request, key)
        finally:
            self.in_flight -= 1
        return answer_from_outcome(outcome, forward.call_id)

    def issue_keys(self, count: int) -> HttpResponse:
        """Issue new keys for callers.

        :param count: number of keys, up to 1,000
        """
        if self._drain.refuses_new:
            # The action records of this issuer are lost when its process ends.
            return outcome_response(NotRun(Reason.LEAVING, "this node is leaving"))
        if not 1 <= count <= MAX_KEYS_PER_REQUEST:
            detail = f"count must be between 1 and {MAX_KEYS_PER_REQUEST}"
            return outcome_response(NotRun(Reason.BAD_REQUEST, detail))
        keys = [str(self._issuer.issue()) for _ in range(count)]
        body = {"keys": keys, "lifetime_s": self._issuer.lifetime_ms / 1000.0}
        return json_response(200, msgspec.json.encode(body))

    def discard_child_actions(self, running: RunningCall) -> None:
        """Discard the action records of the child calls of a call that has ended.

        Its context is no longer accepted, so these child calls cannot be resent.

        :param running: the ended call
        """
        for key in running.child_keys:
            self._actions.discard(key)

    async def _handle_entry(
        self, request: HttpRequest, headers: dict[bytes, bytes]
    ) -> tuple[Outcome, str]:
        key_header = headers.get(KEY_HEADER)
        parsed = self._reader.read(request, headers, math.inf)
        if key_header is not None:
            key_text = key_header.decode("latin-1")
            return await self._handle_keyed(parsed, key_text), key_text
        if isinstance(parsed, NotRun):
            return parsed, ""
        key = str(self._issuer.issue())
        if not parsed.operation.idempotent:
            return NotRun(Reason.KEY_REQUIRED, parsed.operation.name), ""
        priority = request_priority(parsed.operation.class_rank, key)
        budget = make_budget(parsed.operation.retries)
        return await self._dispatch(parsed, key, priority, budget), key

    async def _handle_keyed(
        self, request: CallRequest | NotRun, key_text: str
    ) -> Outcome:
        key = parse_key(key_text)
        if isinstance(key, NotRun):
            return key
        if isinstance(request, NotRun):
            return self._refuse_keyed(request, key)
        if key.node_id == self._issuer.node_id:
            return await self._run_local(request, key)
        return await self._forward(request, key)

    def _refuse_keyed(self, refusal: NotRun, key: ActionKey) -> Outcome:
        """Refuse a keyed request that is invalid, for instance after a publish.

        An earlier request with the key may have run. For a key issued elsewhere,
        only its issuer knows.
        """
        if not self._issuer.is_local(key):
            return Unknown(refusal.reason, refusal.detail)
        verified = self._issuer.verify(key)
        if not isinstance(verified, ActionKey):
            return verified
        if self._actions.may_have_run(str(key)):
            return Unknown(refusal.reason, refusal.detail)
        return refusal

    async def _run_local(self, request: CallRequest, key: ActionKey) -> Outcome:
        verified = self._issuer.verify(key)
        if not isinstance(verified, ActionKey):
            return verified
        priority = request_priority(request.operation.class_rank, str(key))
        budget = make_budget(request.operation.retries)
        expires_at_ms = self._issuer.expires_at_ms(key)
        return await self._run_once(request, str(key), priority, budget, expires_at_ms)

    async def _run_once(
        self,
        request: CallRequest,
        key: str,
        priority: int,
        budget: RetryBudget,
        expires_at_ms: float,
    ) -> Outcome:
        digest = request_digest(request.operation.name, request.path, request.body)
        result = self._actions.begin(key, digest, budget, expires_at_ms)
        match result:
            case Finished(outcome):
                self._metrics.count("actions.resends_answered")
                return outcome
            case InProgress(action):
                self._metrics.count("actions.resends_waiting")
                return await self._wait(action, request.deadline_at_ms)
            case Started(action):
                return await self._run_started(request, action, priority)

    async def _run_started(
        self, request: CallRequest, action: Action, priority: int
    ) -> Outcome:
        outcome: Outcome = Unknown(Reason.INTERNAL, "dispatch failed")
        try:
            # The outcome must be recorded even if this caller disconnects.
            with anyio.CancelScope(shield=True):
                outcome = await self._dispatch(
                    request, action.key, priority, action.budget
                )
        finally:
            self._actions.finish(action, outcome)
        return outcome

    async def _wait(self, action: Action, deadline_at_ms: float) -> Outcome:
        while action.outcome is None:
            remaining_s = (deadline_at_ms - self._clock.now_ms()) / 1000.0
            with anyio.move_on_after(max(0.0, remaining_s)) as scope:
                await action.finished.wait()
            if scope.cancelled_caught:
                return Unknown(Reason.DEADLINE_EXCEEDED, "the action is still running")
        return action.outcome

    async def _forward(self, request: CallRequest, key: ActionKey) -> Outcome:
        # Failures give Unknown: an earlier request with this key may have run.
        issuer = self._find_issuer(key.node_id, key.incarnation)
        if issuer is None:
            return Unknown(Reason.ISSUER_GONE, f"{key.node_id} is not a member")
        self._metrics.count("actions.forwards")
        message = Forward(
            0,
            str(key),
            request.operation.service,
            request.method,
            request.path,
            list(request.headers),
            request.body,
            0.0,
        )
        response = await self._links.call(issuer, message, request.deadline_at_ms)
        match response:
            case LinkFailure(detail=detail):
                return Unknown(Reason.ISSUER_GONE, detail)
            case _:
                return outcome_from_answer(response)

    async def _handle_child(
        self, request: HttpRequest, headers: dict[bytes, bytes], context: bytes
    ) -> tuple[Outcome, str]:
        running = self._inbound.running.get(context.decode("latin-1"))
        limit_at_ms = math.inf if running is None else running.deadline_at_ms
        parsed = self._reader.read(request, headers, limit_at_ms)
        if isinstance(parsed, NotRun):
            if running is not None and running.child_keys:
                # An identical child call may have run before a publish.
                return Unknown(parsed.reason, parsed.detail), ""
            return parsed, ""
        if running is None:
            return _unknown_context(parsed.operation), ""
        key = self._child_key(running, parsed, headers)
        if isinstance(key, NotRun):
            return key, ""
        running.child_started(self._clock.now_ms())
        try:
            outcome = await self._run_child(running, parsed, key)
        finally:
            running.child_finished(self._clock.now_ms())
        if isinstance(outcome, NotRun):
            running.child_refused(outcome)
        return outcome, key

    def _child_key(
        self, running: RunningCall, request: CallRequest, headers: dict[bytes, bytes]
    ) -> str | NotRun:
        operation = request.operation
        if operation.idempotent:
            label = f"n{next(self._child_numbers)}"
        elif not running.call.once:
            detail = f"{running.call.operation} calls non-idempotent {operation.name}"
            return NotRun(Reason.REPEATABLE_PARENT, detail)
        elif (key_header := headers.get(KEY_HEADER)) is not None:
            label = key_header.decode("latin-1")
        else:
            label = request_digest(operation.name, request.path, request.body)
        return child_key(running.call.key, operation.name, label)

    async def _run_child(
        self, running: RunningCall, request: CallRequest, key: str
    ) -> Outcome:
        priority = running.call.level
        if request.operation.idempotent:
            return await self._dispatch(request, key, priority, running.budget)
        running.child_keys.add(key)
        return await self._run_once(request, key, priority, running.budget, math.inf)

    async def _dispatch(
        self, request: CallRequest, key: str, priority: int, budget: RetryBudget
    ) -> Outcome:
        operation = request.operation
        if not self._downstream_thresholds.admits(operation.name, priority):
            self._metrics.count("entry.refused_early")
            return NotRun(
                Reason.OVERLOADED, f"{operation.name} refuses calls of this priority"
            )
        return await self._dispatcher.run(
            Dispatch(
                key,
                operation.name,
                operation.service,
                request.method,
                request.path,
                request.headers,
                request.body,
                priority,
                not operation.idempotent,
                request.deadline_at_ms,
                budget,
                fingerprint(operation.name, request.path, request.body),
                bool(operation.calls),
            )
        )

    def _count_outcome(self, outcome: Outcome) -> None:
        match outcome:
            case Completed():
                self._metrics.count("entry.completed")
            case NotRun(reason=reason):
                self._metrics.count(f"entry.not_run.{reason}")
            case Unknown(reason=reason):
                self._metrics.count(f"entry.unknown.{reason}")


def _unknown_context(operation: Operation) -> Outcome:
    detail = "no request with this context is running"
    if operation.idempotent:
        return NotRun(Reason.UNKNOWN_CONTEXT, detail)
    # An identical child call may have run before its parent ended.
    return Unknown(Reason.UNKNOWN_CONTEXT, detail)
