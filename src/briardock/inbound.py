"""Inbound side of a node: admits calls and runs them on the local target."""

import itertools
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from briardock.admission import Admission, Ticket
from briardock.budget import RetryBudget, make_budget
from briardock.clock import Clock
from briardock.dispatch import answer_from_outcome
from briardock.drain import Drain
from briardock.events import Event, emit
from briardock.messages import MAX_PRIORITY_VALUE, Answer, Call
from briardock.metrics import Metrics
from briardock.outcomes import Completed, Headers, NotRun, Outcome, Reason, Unknown
from briardock.quarantine import Quarantine, QuarantineEntry
from briardock.target import Lost, NotSent, TargetClient

CONTEXT_HEADER = b"Briardock-Context"
DEADLINE_HEADER = b"Briardock-Deadline-Ms"
KEY_HEADER = b"Briardock-Key"
NOT_RUN_HEADER = b"briardock-not-run"

RESERVED_HEADERS = frozenset(
    {
        CONTEXT_HEADER.lower(),
        DEADLINE_HEADER.lower(),
        KEY_HEADER.lower(),
        b"idempotency-key",
    }
)

STATUS_TOO_MANY_REQUESTS = 429
STATUS_UNAVAILABLE = 503
STATUS_SERVER_ERROR = 500

# Refuses calls of every priority; used when a called service has no instance.
REFUSE_ALL_THRESHOLD = -1


@dataclass(slots=True)
class RunningCall:
    """A call that is running on the target.

    :param context: token that the target sends with its child calls
    :param call: the call
    :param deadline_at_ms: deadline on this node's clock
    :param budget: retries delegated to this call
    :param started_ms: time at which the run started
    :param child_keys: action keys of its child calls, discarded when it ends
    :param child_threshold: threshold reported if this call fails; it refuses every
        priority after a child call without an instance
    """

    context: str
    call: Call
    deadline_at_ms: float
    budget: RetryBudget
    started_ms: float
    child_keys: set[str] = field(default_factory=set)
    child_threshold: int = MAX_PRIORITY_VALUE
    _children_running: int = 0
    _children_since_ms: float = 0.0
    _children_ms: float = 0.0

    def child_started(self, now_ms: float) -> None:
        """Record the start of a child call.

        :param now_ms: current time
        """
        if self._children_running == 0:
            self._children_since_ms = now_ms
        self._children_running += 1

    def child_finished(self, now_ms: float) -> None:
        """Record the end of a child call.

        :param now_ms: current time
        """
        self._children_running -= 1
        if self._children_running == 0:
            self._children_ms += now_ms - self._children_since_ms

    def child_refused(self, refusal: NotRun) -> None:
        """Record a refused child call; only a missing instance has an effect.

        :param refusal: outcome of the child call
        """
        if refusal.reason is Reason.NO_INSTANCE:
            self.child_threshold = REFUSE_ALL_THRESHOLD

    def own_time_ms(self, now_ms: float) -> float:
        """Return the time in the target while no child call was in flight.

        :param now_ms: current time
        """
        children_ms = self._children_ms
        if self._children_running:
            children_ms += now_ms - self._children_since_ms
        return max(0.0, now_ms - self.started_ms - children_ms)


@dataclass(slots=True)
class TargetState:
    """State of the local target as announced.

    :param service: service that the target provides
    :param instance: random id of the target process
    :param announced_ms: time of the last announcement
    :param leaving: whether the target is shutting down
    :param reported_load: load reported by the target; shown in dumps, but not relied
        on, since a target may report it wrongly
    :param deaths: number of target processes that died while announced
    """

    service: str = ""
    instance: str = ""
    announced_ms: float = 0.0
    leaving: bool = False
    reported_load: float = 0.0
    deaths: int = 0

    @property
    def present(self) -> bool:
        """Whether a target is announced and in service."""
        return bool(self.instance)


class Inbound:
    """Admits calls for the local target and runs them.

    :param node_id: id of this node
    :param incarnation: incarnation of this process
    :param clock: monotonic clock
    :param admission: admission control of the target
    :param target: HTTP client of the target
    :param drain: drain state of this node
    :param quarantine: requests that crash their targets
    :param downstream_threshold: returns the lowest admission threshold of the services
        that an operation calls
    :param on_quarantine_change: called with changed quarantine entries
    :param on_call_end: called when a call has ended on the target
    :param on_target_lost: called when the target died or was withdrawn
    :param metrics: counters
    """

    def __init__(
        self,
        node_id: str,
        incarnation: int,
        clock: Clock,
        admission: Admission,
        target: TargetClient,
        drain: Drain,
        quarantine: Quarantine,
        downstream_threshold: Callable[[str], int],
        on_quarantine_change: Callable[[list[QuarantineEntry]], None],
        on_call_end: Callable[[RunningCall], None],
        on_target_lost: Callable[[], None],
        metrics: Metrics,
    ) -> None:
        self.running: dict[str, RunningCall] = {}
        self.target_state = TargetState()
        self._node_id = node_id
        self._incarnation = incarnation
        self._clock = clock
        self._admission = admission
        self._target = target
        self._drain = drain
        self._quarantine = quarantine
        self._downstream_threshold = downstream_threshold
        self._on_quarantine_change = on_quarantine_change
        self._on_call_end = on_call_end
        self._on_target_lost = on_target_lost
        self._metrics = metrics
        self._context_prefix = secrets.token_hex(6)
        self._context_numbers = itertools.count(1)

    async def handle(self, call: Call, transit_ms: float = 0.0) -> Answer:
        """Run one call and return the response; an invalid call does not raise.

        :param call: received call
        :param transit_ms: transit delay of the frame beyond the usual delay of the link
        """
        deadline_at_ms = self._clock.now_ms() + call.remaining_ms - transit_ms
        refusal = self._find_refusal(call, deadline_at_ms)
        if refusal is not None:
            return self._make_answer(call, refusal, call.retries, 0.0)
        ticket = await self._admission.admit(call.level, deadline_at_ms, call.operation)
        if isinstance(ticket, NotRun):
            return self._make_answer(call, ticket, call.retries, 0.0)
        return await self._run_admitted(call, deadline_at_ms, ticket)

    def _find_refusal(self, call: Call, deadline_at_ms: float) -> NotRun | None:
        if call.target_incarnation != self._incarnation:
            return NotRun(Reason.STALE_INCARNATION, f"{self._node_id} was replaced")
        if self._drain.refuses_new or self.target_state.leaving:
            return NotRun(Reason.LEAVING, f"{self._node_id} is leaving")
        service = call.operation.partition(".")[0]
        if not self.target_state.present or self.target_state.service != service:
            return NotRun(
                Reason.TARGET_ABSENT, f"{self._node_id} has no target for {service}"
            )
        if self._quarantine.refuses(call.fingerprint):
            return NotRun(Reason.QUARANTINED, f"fingerprint {call.fingerprint}")
        if self._clock.now_ms() >= deadline_at_ms:
            return NotRun(
                Reason.DEADLINE_EXCEEDED, "the deadline of the call has passed"
            )
        return None

    async def _run_admitted(
        self, call: Call, deadline_at_ms: float, ticket: Ticket
    ) -> Answer:
        running = RunningCall(
            f"{self._context_prefix}-{next(self._context_numbers)}",
            call,
            deadline_at_ms,
            make_budget(call.retries),
            self._clock.now_ms(),
        )
        outcome: Outcome = Unknown(Reason.CANCELLED, "cancelled while running")
        try:
            # The deadline may have passed, and the target may have left or died,
            # during the wait for admission or a pause of the process.
            refusal = self._find_refusal(call, deadline_at_ms)
            if refusal is not None:
                outcome = refusal
            else:
                self.running[running.context] = running
                # An at-most-once call is not cancelled: its outcome is recorded for
                # resends.
                with anyio.CancelScope(shield=call.once):
                    outcome = await self._run_on_target(running)
        finally:
            if self.running.pop(running.context, None) is not None:
                self._on_call_end(running)
            own_time_ms = running.own_time_ms(self._clock.now_ms())
            self._admission.release(ticket, own_time_ms, isinstance(outcome, Completed))
        return self._make_answer(
            call,
            outcome,
            running.budget.left,
            own_time_ms,
            _child_threshold(running, outcome),
        )

    async def _run_on_target(self, running: RunningCall) -> Outcome:
        call = running.call
        instance = self.target_state.instance
        result = await self._target.run(
            call.method,
            call.path,
            self._target_headers(running),
            call.body,
            running.deadline_at_ms,
        )
        match result:
            case NotSent(detail=detail, refused=refused):
                if refused:
                    self._withdraw_target(instance)
                return NotRun(Reason.TARGET_ABSENT, detail)
            case Lost(detail=detail, died=True):
                self.target_died(instance)
                return Unknown(Reason.TARGET_DIED, detail)
            case Lost(detail=detail):
                return self._lost_outcome(running, detail)
            case Completed():
                return self._completed_outcome(running, result)

    def _lost_outcome(self, running: RunningCall, detail: str) -> Unknown:
        if self._clock.now_ms() >= running.deadline_at_ms:
            return Unknown(Reason.DEADLINE_EXCEEDED, detail)
        return Unknown(Reason.ANSWER_LOST, detail)

    def _completed_outcome(self, running: RunningCall, response: Completed) -> Outcome:
        if response.status in (STATUS_UNAVAILABLE, STATUS_TOO_MANY_REQUESTS):
            names = {name.lower() for name, _ in response.headers}
            if NOT_RUN_HEADER in names:
                return NotRun(Reason.TARGET_REFUSED, "the target refused the request")
        else:
            changed = self._quarantine.record_success(running.call.fingerprint)
            if changed:
                self._on_quarantine_change(changed)
        return response

    def _target_headers(self, running: RunningCall) -> Headers:
        remaining_ms = running.deadline_at_ms - self._clock.now_ms()
        node_headers = (
            (CONTEXT_HEADER, running.context.encode()),
            (DEADLINE_HEADER, str(max(0, int(remaining_ms))).encode()),
            (KEY_HEADER, running.call.key.encode()),
        )
        return (*running.call.headers, *node_headers)

    def _withdraw_target(self, instance: str) -> None:
        """Mark a target absent until its next announcement."""
        if instance and instance == self.target_state.instance:
            self.target_state.instance = ""
            self._on_target_lost()

    def target_died(self, instance: str) -> None:
        """Record that a target process died; later calls for it have no effect.

        :param instance: id of the target process that died
        """
        if not instance or instance != self.target_state.instance:
            return
        self.target_state.instance = ""
        self.target_state.deaths += 1
        self._metrics.count("inbound.target_deaths")
        fingerprints = {running.call.fingerprint for running in self.running.values()}
        death_id = f"{self._node_id}:{instance}"
        changed = self._quarantine.record_death(sorted(fingerprints), death_id)
        emit(Event.TARGET_DIED, instance=instance, in_flight=len(fingerprints))
        self._on_quarantine_change(changed)
        self._on_target_lost()

    def _make_answer(
        self,
        call: Call,
        outcome: Outcome,
        retries_left: int,
        own_time_ms: float,
        child_threshold: int = MAX_PRIORITY_VALUE,
    ) -> Answer:
        self._metrics.count(f"inbound.{_outcome_name(outcome)}")
        threshold = self._admission.admission_threshold()
        if self._drain.refuses_new:
            threshold = MAX_PRIORITY_VALUE
        base = answer_from_outcome(outcome, call.call_id)
        return Answer(
            base.call_id,
            base.outcome,
            base.status,
            base.headers,
            base.body,
            base.body_bytes,
            base.reason,
            base.detail,
            retries_left,
            threshold,
            self._admission.load(),
            own_time_ms,
            min(threshold, child_threshold, self._downstream_threshold(call.operation)),
        )


def _child_threshold(running: RunningCall, outcome: Outcome) -> int:
    """Return the threshold of a refused child call if it made the call fail.

    If the target succeeds without the child call, the refusal is ignored.
    """
    match outcome:
        case Completed(status=status) if status >= STATUS_SERVER_ERROR:
            return running.child_threshold
        case _:
            return MAX_PRIORITY_VALUE


def _outcome_name(outcome: Outcome) -> str:
    match outcome:
        case Completed():
            return "completed"
        case NotRun():
            return "not_run"
        case Unknown():
            return "unknown"
