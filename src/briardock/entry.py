"""Entry of calls: requests of callers, of the target beside this node, forwards."""

import itertools
import math
from collections.abc import Callable

import anyio
import msgspec

from briardock._requestreader import CallRequest, make_request_reader
from briardock.actions import Action, ActionTable, Begun, Finished, InProgress
from briardock.admission import admission_level
from briardock.budget import RetryBudget, make_budget
from briardock.clock import Clock
from briardock.configuration import Catalog, Operation
from briardock.dispatch import Dispatch, Dispatcher, answer_of, outcome_of
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
from briardock.refusals import ChainLevels
from briardock.replies import ACTION_HEADER, json_response, outcome_response

KEY_HEADER = b"idempotency-key"
MAX_KEYS_PER_REQUEST = 1_000

FindIssuer = Callable[[str, int], PeerAddress | None]


class Entry:
    """Turns requests into calls with a key, a level, a deadline and a budget.

    :param clock: monotonic clock
    :param catalog: returns the configuration in force, ``None`` before the first
    :param issuer: issues and verifies keys
    :param actions: records of actions of this issuer
    :param dispatcher: runs calls
    :param inbound: inbound side of this node, for child calls
    :param links: links to other nodes, for forwards
    :param find_issuer: returns the address of an issuer by id and incarnation
    :param levels: thresholds learned from answers
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
        levels: ChainLevels,
        drain: Drain,
        metrics: Metrics,
    ) -> None:
        self.in_flight = 0
        self.forwarded_at_ms = float("-inf")
        self._clock = clock
        self._reader = make_request_reader(clock, catalog)
        self._issuer = issuer
        self._actions = actions
        self._dispatcher = dispatcher
        self._inbound = inbound
        self._links = links
        self._find_issuer = find_issuer
        self._levels = levels
        self._drain = drain
        self._metrics = metrics
        self._child_numbers = itertools.count(1)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request of a caller or of the target beside this node.

        :param request: whole HTTP request
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
        self._count(outcome)
        marked = ((ACTION_HEADER, key.encode()),) if key else ()
        return outcome_response(outcome, marked)

    async def handle_forward(self, forward: Forward) -> Answer:
        """Answer a request whose key was issued by this node.

        :param forward: request received by another node
        """
        key = parse_key(forward.key)
        if isinstance(key, NotRun):
            return answer_of(key, forward.call_id)
        found = self._reader.find(forward.service, forward.method, forward.path)
        if isinstance(found, NotRun):
            return answer_of(self._refuse_keyed(found, key), forward.call_id)
        request = CallRequest(
            found,
            forward.method,
            forward.path,
            tuple(forward.headers),
            forward.body,
            self._clock.now_ms() + forward.remaining_ms,
        )
        self.in_flight += 1
        self.forwarded_at_ms = self._clock.now_ms()
        try:
            outcome = await self._run_own(request, key)
        finally:
            self.in_flight -= 1
        return answer_of(outcome, forward.call_id)

    def issue_keys(self, count: int) -> HttpResponse:
        """Return new keys for callers.

        :param count: how many, up to 1,000
        """
        if self._drain.refuses_new:
            # The records of a leaving issuer end with its process.
            return outcome_response(NotRun(Reason.LEAVING, "this node is leaving"))
        if not 1 <= count <= MAX_KEYS_PER_REQUEST:
            detail = f"count must be between 1 and {MAX_KEYS_PER_REQUEST}"
            return outcome_response(NotRun(Reason.BAD_REQUEST, detail))
        keys = [str(self._issuer.issue()) for _ in range(count)]
        body = {"keys": keys, "lifetime_s": self._issuer.lifetime_ms / 1000.0}
        return json_response(200, msgspec.json.encode(body))

    def drop_children(self, running: RunningCall) -> None:
        """Forget the child calls of a call that has ended.

        Their context is unknown from now on, so none can be sent again.

        :param running: the ended call
        """
        for key in running.child_keys:
            self._actions.discard(key)

    async def _handle_entry(
        self, request: HttpRequest, headers: dict[bytes, bytes]
    ) -> tuple[Outcome, str]:
        key_text = headers.get(KEY_HEADER)
        read = self._reader.read(request, headers, math.inf)
        if key_text is not None:
            shown = key_text.decode("latin-1")
            return await self._handle_keyed(read, shown), shown
        if isinstance(read, NotRun):
            return read, ""
        key = str(self._issuer.issue())
        if not read.operation.idempotent:
            return NotRun(Reason.KEY_REQUIRED, read.operation.name), ""
        level = admission_level(read.operation.class_rank, key)
        budget = make_budget(read.operation.retries)
        return await self._dispatch(read, key, level, budget), key

    async def _handle_keyed(
        self, request: CallRequest | NotRun, key_text: str
    ) -> Outcome:
        key = parse_key(key_text)
        if isinstance(key, NotRun):
            return key
        if isinstance(request, NotRun):
            return self._refuse_keyed(request, key)
        if key.node_id == self._issuer.node_id:
            return await self._run_own(request, key)
        return await self._forward(request, key)

    def _refuse_keyed(self, refusal: NotRun, key: ActionKey) -> Outcome:
        """Refuse a request that cannot be read, for instance after a publish.

        An earlier request with the key may have run, and of a foreign key only its
        issuer knows.
        """
        if not self._issuer.is_own(key):
            return Unknown(refusal.reason, refusal.detail)
        verified = self._issuer.verify(key)
        if not isinstance(verified, ActionKey):
            return verified
        if self._actions.may_have_run(str(key)):
            return Unknown(refusal.reason, refusal.detail)
        return refusal

    async def _run_own(self, request: CallRequest, key: ActionKey) -> Outcome:
        verified = self._issuer.verify(key)
        if not isinstance(verified, ActionKey):
            return verified
        level = admission_level(request.operation.class_rank, str(key))
        budget = make_budget(request.operation.retries)
        expires_at_ms = self._issuer.expires_at_ms(key)
        return await self._run_once(request, str(key), level, budget, expires_at_ms)

    async def _run_once(
        self,
        request: CallRequest,
        key: str,
        level: int,
        budget: RetryBudget,
        expires_at_ms: float,
    ) -> Outcome:
        digest = request_digest(request.operation.name, request.path, request.body)
        beginning = self._actions.begin(key, digest, budget, expires_at_ms)
        match beginning:
            case Finished(outcome):
                self._metrics.count("actions.resends_answered")
                return outcome
            case InProgress(action):
                self._metrics.count("actions.resends_waiting")
                return await self._wait(action, request.deadline_at_ms)
            case Begun(action):
                return await self._run_begun(request, action, level)

    async def _run_begun(
        self, request: CallRequest, action: Action, level: int
    ) -> Outcome:
        outcome: Outcome = Unknown(Reason.INTERNAL, "the dispatch failed")
        try:
            # The outcome must be recorded even if this caller has gone.
            with anyio.CancelScope(shield=True):
                outcome = await self._dispatch(
                    request, action.key, level, action.budget
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
                return Unknown(Reason.DEADLINE_EXCEEDED, "the action still runs")
        return action.outcome

    async def _forward(self, request: CallRequest, key: ActionKey) -> Outcome:
        # Whatever goes wrong here, an earlier request with this key may have run.
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
        answer = await self._links.call(issuer, message, request.deadline_at_ms)
        match answer:
            case LinkFailure(detail=detail):
                return Unknown(Reason.ISSUER_GONE, detail)
            case _:
                return outcome_of(answer)

    async def _handle_child(
        self, request: HttpRequest, headers: dict[bytes, bytes], context: bytes
    ) -> tuple[Outcome, str]:
        running = self._inbound.running.get(context.decode("latin-1"))
        limit_at_ms = math.inf if running is None else running.deadline_at_ms
        read = self._reader.read(request, headers, limit_at_ms)
        if isinstance(read, NotRun):
            if running is not None and running.child_keys:
                # An equal child call may have run before a publish.
                return Unknown(read.reason, read.detail), ""
            return read, ""
        if running is None:
            return _unknown_context(read.operation), ""
        key = self._child_key(running, read, headers)
        if isinstance(key, NotRun):
            return key, ""
        running.child_started(self._clock.now_ms())
        try:
            outcome = await self._run_child(running, read, key)
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
            detail = f"{running.call.operation} calls {operation.name}"
            return NotRun(Reason.REPEATABLE_PARENT, detail)
        elif (own := headers.get(KEY_HEADER)) is not None:
            label = own.decode("latin-1")
        else:
            label = request_digest(operation.name, request.path, request.body)
        return child_key(running.call.key, operation.name, label)

    async def _run_child(
        self, running: RunningCall, request: CallRequest, key: str
    ) -> Outcome:
        level = running.call.level
        if request.operation.idempotent:
            return await self._dispatch(request, key, level, running.budget)
        running.child_keys.add(key)
        return await self._run_once(request, key, level, running.budget, math.inf)

    async def _dispatch(
        self, request: CallRequest, key: str, level: int, budget: RetryBudget
    ) -> Outcome:
        operation = request.operation
        if not self._levels.admits(operation.name, level):
            self._metrics.count("entry.refused_early")
            return NotRun(Reason.OVERLOADED, f"{operation.name} sheds this level")
        return await self._dispatcher.run(
            Dispatch(
                key,
                operation.name,
                operation.service,
                request.method,
                request.path,
                request.headers,
                request.body,
                level,
                not operation.idempotent,
                request.deadline_at_ms,
                budget,
                fingerprint(operation.name, request.path, request.body),
                bool(operation.calls),
            )
        )

    def _count(self, outcome: Outcome) -> None:
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
    # An equal child call may have run before its parent ended.
    return Unknown(Reason.UNKNOWN_CONTEXT, detail)
