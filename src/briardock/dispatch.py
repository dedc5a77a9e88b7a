"""Issuer side of a call: choose an instance, send, then retry or report."""

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

# Refusals that say nothing about load: the instance was the wrong place to ask.
# They reach no target, so they are bounded per call and not charged as retries.
REROUTE_REASONS = frozenset(
    {
        Reason.LEAVING,
        Reason.STALE_INCARNATION,
        Reason.TARGET_ABSENT,
        Reason.PEER_UNREACHABLE,
    }
)
MAX_REROUTES = 3

RETRY_REASONS = REROUTE_REASONS | {Reason.OVERLOADED, Reason.TARGET_REFUSED}

LocalHandler = Callable[[Call], Awaitable[Answer]]


@dataclass(slots=True)
class Dispatch:
    """One call as its issuer sees it.

    :param key: key in text form
    :param operation: full name of the operation
    :param service: service of the operation
    :param method: HTTP method
    :param path: path with query below the service
    :param headers: end-to-end headers
    :param body: request body
    :param level: admission level
    :param once: whether this call and all its ancestors run at most once
    :param deadline_at_ms: deadline on the issuer's clock
    :param budget: retries left for this call and its children
    :param fingerprint: digest of operation, path and body
    :param has_calls: whether the operation calls others and can use retries
    """

    key: str
    operation: str
    service: str
    method: str
    path: str
    headers: Headers
    body: bytes
    level: int
    once: bool
    deadline_at_ms: float
    budget: RetryBudget
    fingerprint: str
    has_calls: bool = True


class Dispatcher:
    """Runs calls on instances and decides about retries.

    :param node_id: id of this node; its own target is called without a link
    :param incarnation: incarnation of this process
    :param clock: monotonic clock
    :param router: chooses instances
    :param directory: tracks the services that are called
    :param links: links to other nodes
    :param local: inbound side of this node
    :param ratio: bound on the retries of this node
    :param levels: thresholds learned from answers
    :param quarantine: requests that kill their targets
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
        local: LocalHandler,
        ratio: RetryRatio,
        levels: DownstreamThresholds,
        quarantine: Quarantine,
        metrics: Metrics,
    ) -> None:
        self._node_id = node_id
        self._incarnation = incarnation
        self._clock = clock
        self._router = router
        self._directory = directory
        self._links = links
        self._local = local
        self._ratio = ratio
        self._levels = levels
        self._quarantine = quarantine
        self._metrics = metrics

    async def run(self, call: Dispatch) -> Outcome:
        """Run a call to its outcome.

        ``NotRun`` is returned only if every attempt ended in a refusal before its
        target or was never sent.

        :param call: the call; its budget is drawn from
        """
        self._ratio.record_first_attempt()
        tried: set[str] = set()
        reroutes = 0
        lost: Unknown | None = None
        refused: NotRun | None = None
        while True:
            outcome = await self._attempt(call, tried)
            if refused is not None and _has_no_instance(outcome):
                # Every instance was tried, so the last refusal is the reason.
                return self._report(refused, lost)
            match outcome:
                case Completed():
                    return outcome
                case Unknown():
                    lost = outcome
                case NotRun():
                    refused = outcome
            if not self._may_repeat(call, outcome):
                return self._report(outcome, lost)
            if isinstance(outcome, NotRun) and outcome.reason in REROUTE_REASONS:
                reroutes += 1
                if reroutes > MAX_REROUTES:
                    return self._report(outcome, lost)
                self._metrics.count("dispatch.reroutes")
            elif not self._take_retry(call):
                return self._report(outcome, lost)

    def _report(self, outcome: Outcome, lost: Unknown | None) -> Outcome:
        # An earlier attempt may have run, so a later refusal is no "not run".
        return lost if lost is not None else outcome

    def _may_repeat(self, call: Dispatch, outcome: Outcome) -> bool:
        if self._clock.now_ms() >= call.deadline_at_ms:
            return False
        match outcome:
            case NotRun(reason=reason):
                return reason in RETRY_REASONS
            case Unknown(reason=reason):
                return not call.once and reason is not Reason.DEADLINE_EXCEEDED
            case _:
                return False

    def _take_retry(self, call: Dispatch) -> bool:
        if call.budget.left == 0 or not self._ratio.allow_retry():
            return False
        if not call.budget.spend():
            return False
        self._metrics.count("dispatch.retries")
        return True

    async def _attempt(self, call: Dispatch, tried: set[str]) -> Outcome:
        if self._quarantine.refuses(call.fingerprint):
            return NotRun(Reason.QUARANTINED, f"fingerprint {call.fingerprint}")
        self._directory.track_service(call.service)
        if not self._router.admits(call.service, call.level):
            return NotRun(Reason.OVERLOADED, f"{call.service} sheds this level")
        choice = self._router.choose(call.service, tried)
        if isinstance(choice, NotRun):
            return choice
        instance = choice.instance
        tried.add(instance.node_id)
        return await self._send(call, instance)

    async def _send(self, call: Dispatch, instance: Instance) -> Outcome:
        # A paused process may resume here long after it was given the call.
        started_ms = self._clock.now_ms()
        if started_ms >= call.deadline_at_ms:
            return NotRun(Reason.DEADLINE_EXCEEDED, "the deadline passed first")
        share = self._delegate(call)
        message = self._message(call, instance, share, started_ms)
        self._metrics.count("dispatch.attempts")
        self._router.record_dispatch(instance.node_id)
        answer: Answer | LinkFailure = LinkFailure(True, "cancelled")
        try:
            if instance.node_id == self._node_id:
                answer = await self._local(message)
            else:
                answer = await self._links.call(
                    _address_of(instance), message, call.deadline_at_ms
                )
        finally:
            outcome = self._outcome_of(answer)
            self._observe(instance, answer, outcome, started_ms)
        match answer:
            case Answer(retries_left=left):
                call.budget.refund(min(left, share))
                self._levels.learn(call.operation, answer.chain_level)
            case LinkFailure(sent=False):
                call.budget.refund(share)
        return outcome

    def _delegate(self, call: Dispatch) -> int:
        """Return the retries that go with a call.

        A lost answer takes them along. A repeatable call keeps one here, so that it
        can still be retried elsewhere; a call without children needs none.
        """
        if not call.has_calls:
            return 0
        share = call.budget.delegate()
        if share and not call.once:
            call.budget.refund(1)
            share -= 1
        return share

    def _message(
        self,
        call: Dispatch,
        instance: Instance,
        share: int,
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
            call.level,
            call.once,
            call.deadline_at_ms - started_ms,
            started_ms,
            share,
            call.fingerprint,
        )

    def _outcome_of(self, answer: Answer | LinkFailure) -> Outcome:
        match answer:
            case LinkFailure(sent=False, detail=detail):
                return NotRun(Reason.PEER_UNREACHABLE, detail)
            case LinkFailure(detail=detail):
                return Unknown(Reason.ANSWER_LOST, detail)
            case _:
                return outcome_of(answer)

    def _observe(
        self,
        instance: Instance,
        answer: Answer | LinkFailure,
        outcome: Outcome,
        started_ms: float,
    ) -> None:
        latency_ms = self._clock.now_ms() - started_ms
        load, level = 0.0, None
        if isinstance(answer, Answer):
            load, level = answer.load, answer.refusal_level
        self._router.observe(
            instance.node_id,
            Observation(_kind_of(outcome), latency_ms, load, level),
        )


def _has_no_instance(outcome: Outcome) -> bool:
    return isinstance(outcome, NotRun) and outcome.reason is Reason.NO_INSTANCE


def outcome_of(answer: Answer) -> Outcome:
    """Return the outcome that an answer carries.

    :param answer: answer of an inbound node or an issuer
    """
    match answer.outcome:
        case "completed":
            headers = tuple((name, value) for name, value in answer.headers)
            return Completed(answer.status, headers, answer.body)
        case "not-run":
            return NotRun(_reason_of(answer.reason), answer.detail)
        case _:
            return Unknown(_reason_of(answer.reason), answer.detail)


def answer_of(outcome: Outcome, call_id: int = 0) -> Answer:
    """Return an answer that carries an outcome.

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


def _reason_of(text: str) -> Reason:
    try:
        return Reason(text)
    except ValueError:
        return Reason.INTERNAL


def _kind_of(outcome: Outcome) -> ObservationKind:
    match outcome:
        case Completed():
            return ObservationKind.OK
        case NotRun(reason=Reason.PEER_UNREACHABLE):
            return ObservationKind.FAILED
        case NotRun():
            return ObservationKind.REFUSED
        case _:
            return ObservationKind.LOST


def _address_of(instance: Instance) -> PeerAddress:
    return PeerAddress(
        instance.node_id, instance.incarnation, instance.host, instance.port
    )
