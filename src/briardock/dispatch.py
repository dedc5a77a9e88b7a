"""Outbound side of a call: choose an instance, send, then retry or return."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from briardock.budget import RetryBudget, RetryRatio
from briardock.clock import Clock
from briardock.directory import Directory
from briardock.messages import Answer, Call
from briardock.metrics import Metrics
from briardock.outcomes import Completed, Headers, NotRun, Outcome, Reason, Unknown
from briardock.peers import LinkFailure, PeerAddress, PeerLinks
from briardock.quarantine import Quarantine
from briardock.refusals import DownstreamThresholds
from briardock.routing import Instance, Observation, ObservationKind, Router

# Refusals that are unrelated to load: the instance cannot serve the call at all.
# They add no load to a target, so they are limited per call and use no retries.
REROUTE_REASONS = frozenset(
    {
        Reason.LEAVING,
        Reason.STALE_INCARNATION,
        Reason.TARGET_ABSENT,
        Reason.PEER_UNREACHABLE,
    }
)
MAX_REROUTES = 3

RETRYABLE_REASONS = REROUTE_REASONS | {Reason.OVERLOADED, Reason.TARGET_REFUSED}

LocalHandler = Callable[[Call], Awaitable[Answer]]


@dataclass(slots=True)
class Dispatch:
    """One call as seen by the node that sends it.

    :param key: key in text form
    :param operation: full name of the operation
    :param service: service of the operation
    :param method: HTTP method
    :param path: path with query below the service
    :param headers: end-to-end headers
    :param body: request body
    :param priority: priority for admission; lower is more important
    :param at_most_once: whether this call and all its ancestors run at most once
    :param deadline_at_ms: deadline on this node's clock
    :param budget: retries left for this call and its children
    :param fingerprint: digest of operation, path and body
    :param has_calls: whether the operation makes child calls, which can use retries
    """

    key: str
    operation: str
    service: str
    method: str
    path: str
    headers: Headers
    body: bytes
    priority: int
    at_most_once: bool
    deadline_at_ms: float
    budget: RetryBudget
    fingerprint: str
    has_calls: bool = True


class Dispatcher:
    """Sends calls to instances and decides on retries.

    :param node_id: id of this node; the local target is called without a link
    :param incarnation: incarnation of this process
    :param clock: monotonic clock
    :param router: chooses instances
    :param directory: tracks the services that are called
    :param links: links to other nodes
    :param local_handler: handles calls to the local target
    :param retry_ratio: limit on the retries of this node
    :param downstream_thresholds: admission thresholds learned from responses
    :param quarantine: requests that crash their targets
    :param metrics: counters
    """

    def __init__(
        self,
        node_id: str,
        incarnation: int,
        clock: Clock,
        router: Router,
        directory: Directory,
        links: PeerLinks,
        local_handler: LocalHandler,
        retry_ratio: RetryRatio,
        downstream_thresholds: DownstreamThresholds,
        quarantine: Quarantine,
        metrics: Metrics,
    ) -> None:
        self._node_id = node_id
        self._incarnation = incarnation
        self._clock = clock
        self._router = router
        self._directory = directory
        self._links = links
        self._local_handler = local_handler
        self._retry_ratio = retry_ratio
        self._downstream_thresholds = downstream_thresholds
        self._quarantine = quarantine
        self._metrics = metrics

    async def run(self, call: Dispatch) -> Outcome:
        """Run a call to its outcome.

        ``NotRun`` is returned only if every attempt was refused without a run or was
        never sent.

        :param call: the call; retries are taken from its budget
        """
        self._retry_ratio.record_first_attempt()
        tried: set[str] = set()
        reroutes = 0
        lost: Unknown | None = None
        refused: NotRun | None = None
        while True:
            outcome = await self._attempt(call, tried)
            if refused is not None and _has_no_instance(outcome):
                # Every instance was tried; return the last refusal.
                return self._final_outcome(refused, lost)
            match outcome:
                case Completed():
                    return outcome
                case Unknown():
                    lost = outcome
                case NotRun():
                    refused = outcome
            if not self._may_retry(call, outcome):
                return self._final_outcome(outcome, lost)
            if isinstance(outcome, NotRun) and outcome.reason in REROUTE_REASONS:
                reroutes += 1
                if reroutes > MAX_REROUTES:
                    return self._final_outcome(outcome, lost)
                self._metrics.count("dispatch.reroutes")
            elif not self._acquire_retry(call):
                return self._final_outcome(outcome, lost)

    def _final_outcome(self, outcome: Outcome, lost: Unknown | None) -> Outcome:
        # An earlier attempt may have run, so a later refusal must not return NotRun.
        return lost if lost is not None else outcome

    def _may_retry(self, call: Dispatch, outcome: Outcome) -> bool:
        if self._clock.now_ms() >= call.deadline_at_ms:
            return False
        match outcome:
            case NotRun(reason=reason):
                return reason in RETRYABLE_REASONS
            case Unknown(reason=reason):
                return not call.at_most_once and reason is not Reason.DEADLINE_EXCEEDED
            case _:
                return False

    def _acquire_retry(self, call: Dispatch) -> bool:
        if call.budget.left == 0 or not self._retry_ratio.allow_retry():
            return False
        if not call.budget.spend():
            return False
        self._metrics.count("dispatch.retries")
        return True

    async def _attempt(self, call: Dispatch, tried: set[str]) -> Outcome:
        if self._quarantine.refuses(call.fingerprint):
            return NotRun(Reason.QUARANTINED, f"fingerprint {call.fingerprint}")
        self._directory.track_service(call.service)
        if not self._router.admits(call.service, call.priority):
            return NotRun(
                Reason.OVERLOADED, f"{call.service} refuses calls of this priority"
            )
        choice = self._router.choose(call.service, tried)
        if isinstance(choice, NotRun):
            return choice
        instance = choice.instance
        tried.add(instance.node_id)
        return await self._send(call, instance)

    async def _send(self, call: Dispatch, instance: Instance) -> Outcome:
        # The process may have been paused after it received the call.
        started_ms = self._clock.now_ms()
        if started_ms >= call.deadline_at_ms:
            return NotRun(
                Reason.DEADLINE_EXCEEDED, "the deadline passed before the call was sent"
            )
        delegated = self._delegate_retries(call)
        message = self._make_message(call, instance, delegated, started_ms)
        self._metrics.count("dispatch.attempts")
        self._router.record_dispatch(instance.node_id)
        response: Answer | LinkFailure = LinkFailure(True, "cancelled")
        try:
            if instance.node_id == self._node_id:
                response = await self._local_handler(message)
            else:
                response = await self._links.call(
                    _peer_address(instance), message, call.deadline_at_ms
                )
        finally:
            outcome = self._outcome_from(response)
            self._observe(instance, response, outcome, started_ms)
        match response:
            case Answer(retries_left=left):
                call.budget.refund(min(left, delegated))
                self._downstream_thresholds.learn(call.operation, response.chain_level)
            case LinkFailure(sent=False):
                call.budget.refund(delegated)
        return outcome

    def _delegate_retries(self, call: Dispatch) -> int:
        """Return the number of retries to delegate with a call.

        They are lost with a lost response. An idempotent call keeps one here, so
        that it can still be retried on another instance. A call without child
        calls needs none.
        """
        if not call.has_calls:
            return 0
        delegated = call.budget.delegate()
        if delegated and not call.at_most_once:
            call.budget.refund(1)
            delegated -= 1
        return delegated

    def _make_message(
        self,
        call: Dispatch,
        instance: Instance,
        delegated: int,
        started_ms: float,
    ) -> Call:
        return Call(
            0,
            instance.incarnation,
            call.key,
            call.operation,
            call.method,
            call.path,
            list(call.headers),
            call.body,
            call.priority,
            call.at_most_once,
            call.deadline_at_ms - started_ms,
            started_ms,
            delegated,
            call.fingerprint,
        )

    def _outcome_from(self, response: Answer | LinkFailure) -> Outcome:
        match response:
            case LinkFailure(sent=False, detail=detail):
                return NotRun(Reason.PEER_UNREACHABLE, detail)
            case LinkFailure(detail=detail):
                return Unknown(Reason.ANSWER_LOST, detail)
            case _:
                return outcome_from_answer(response)

    def _observe(
        self,
        instance: Instance,
        response: Answer | LinkFailure,
        outcome: Outcome,
        started_ms: float,
    ) -> None:
        latency_ms = self._clock.now_ms() - started_ms
        load, threshold = 0.0, None
        if isinstance(response, Answer):
            load, threshold = response.load, response.refusal_level
        self._router.observe(
            instance.node_id,
            Observation(_observation_kind(outcome), latency_ms, load, threshold),
        )


def _has_no_instance(outcome: Outcome) -> bool:
    return isinstance(outcome, NotRun) and outcome.reason is Reason.NO_INSTANCE


def outcome_from_answer(response: Answer) -> Outcome:
    """Return the outcome that a response message carries.

    :param response: response of an inbound node or an issuer
    """
    match response.outcome:
        case "completed":
            headers = tuple((name, value) for name, value in response.headers)
            return Completed(response.status, headers, response.body)
        case "not-run":
            return NotRun(_parse_reason(response.reason), response.detail)
        case _:
            return Unknown(_parse_reason(response.reason), response.detail)


def answer_from_outcome(outcome: Outcome, call_id: int = 0) -> Answer:
    """Return a response message that carries an outcome.

    :param outcome: outcome to send
    :param call_id: id of the call on its link
    """
    match outcome:
        case Completed(status, headers, body):
            return Answer(call_id, "completed", status, list(headers), body, len(body))
        case NotRun(reason, detail):
            return Answer(call_id, "not-run", reason=reason.value, detail=detail)
        case Unknown(reason, detail):
            return Answer(call_id, "unknown", reason=reason.value, detail=detail)


def _parse_reason(text: str) -> Reason:
    try:
        return Reason(text)
    except ValueError:
        return Reason.INTERNAL


def _observation_kind(outcome: Outcome) -> ObservationKind:
    match outcome:
        case Completed():
            return ObservationKind.OK
        case NotRun(reason=Reason.PEER_UNREACHABLE):
            return ObservationKind.FAILED
        case NotRun():
            return ObservationKind.REFUSED
        case _:
            return ObservationKind.LOST


def _peer_address(instance: Instance) -> PeerAddress:
    return PeerAddress(
        instance.node_id, instance.incarnation, instance.host, instance.port
    )
