"""Inbound side of a node: admits calls and runs them on its target."""

import itertools
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from briardock.admission import Admission, Ticket
from briardock.budget import RetryBudget, make_budget
from briardock.clock import Clock
from briardock.dispatch import answer_of
from briardock.drain import Drain
from briardock.events import Event, emit
from briardock.messages import MAX_LEVEL, Answer, Call
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

# Lower than every level: the call cannot succeed whatever its class.
NOTHING_ADMITTED = -1


@dataclass(slots=True)
class RunningCall:
    """A call that the target is working on.

    :param context: token that the target returns on its own calls
    :param call: the call
    :param deadline_at_ms: deadline on this node's clock
    :param budget: retries delegated to this call
    :param started_ms: start of the run
    :param child_keys: keys recorded for its children, dropped when it ends
    :param chain_level: lowest threshold met by a refused child call
    """

    context: str
    call: Call
    deadline_at_ms: float
    budget: RetryBudget
    started_ms: float
    child_keys: set[str] = field(default_factory=set)
    chain_level: int = MAX_LEVEL
    _children_running: int = 0
    _children_since_ms: float = 0.0
    _children_ms: float = 0.0

    def child_started(self, now_ms: float) -> None:
        """Note that a child call is outstanding.

        :param now_ms: current time
        """
        if self._children_running == 0:
            self._children_since_ms = now_ms
        self._children_running += 1

    def child_finished(self, now_ms: float) -> None:
        """Note the end of a child call.

        :param now_ms: current time
        """
        self._children_running -= 1
        if self._children_running == 0:
            self._children_ms += now_ms - self._children_since_ms

    def child_refused(self, refusal: NotRun) -> None:
        """Note a refusal of a child call, which may fail this call.

        :param refusal: outcome of the child call
        """
        if refusal.reason is Reason.NO_INSTANCE:
            self.chain_level = NOTHING_ADMITTED

    def own_time_ms(self, now_ms: float) -> float:
        """Return the time in the target while no child call was outstanding.

        :param now_ms: current time
        """
        children_ms = self._children_ms
        if self._children_running:
            children_ms += now_ms - self._children_since_ms
        return max(0.0, now_ms - self.started_ms - children_ms)


@dataclass(slots=True)
class TargetState:
    """What the target beside this node has announced.

    :param service: service it offers
    :param instance: random id of the target process
    :param announced_ms: time of the last announcement
    :param leaving: whether it is shutting down
    :param reported_load: load it reports; shown in dumps, never trusted alone
    :param deaths: deaths seen by this node
    """

    service: str = ""
    instance: str = ""
    announced_ms: float = 0.0
    leaving: bool = False
    reported_load: float = 0.0
    deaths: int = 0

    @property
    def present(self) -> bool:
        """Whether a target is announced and has not died since."""
        return bool(self.instance)


class Inbound:
    """Admits calls for the target beside this node and runs them.

    :param node_id: id of this node
    :param incarnation: incarnation of this process
    :param clock: monotonic clock
    :param admission: admission to the target
    :param target: HTTP leg to the target
    :param drain: drain state of this node
    :param quarantine: requests that kill their targets
    :param chain_level: returns the lowest threshold of the services that an
        operation calls
    :param on_quarantine: spreads changed quarantine entries
    :param on_end: told when a call has left the target
    :param on_death: told when the target died
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
        chain_level: Callable[[str], int],
        on_quarantine: Callable[[list[QuarantineEntry]], None],
        on_end: Callable[[RunningCall], None],
        on_death: Callable[[], None],
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
        self._chain_level = chain_level
        self._on_quarantine = on_quarantine
        self._on_end = on_end
        self._on_death = on_death
        self._metrics = metrics
        self._prefix = secrets.token_hex(6)
        self._numbers = itertools.count(1)

    async def handle(self, call: Call, transit_ms: float = 0.0) -> Answer:
        """Run one call and return its answer; never raises for a bad call.

        :param call: the call as received
        :param transit_ms: delay of the frame beyond the link's usual one
        """
        deadline_at_ms = self._clock.now_ms() + call.remaining_ms - transit_ms
        refusal = self._refusal(call, deadline_at_ms)
        if refusal is not None:
            return self._answer(call, refusal, call.retries, 0.0)
        ticket = await self._admission.admit(call.level, deadline_at_ms, call.operation)
        if isinstance(ticket, NotRun):
            return self._answer(call, ticket, call.retries, 0.0)
        return await self._run_admitted(call, deadline_at_ms, ticket)

    def _refusal(self, call: Call, deadline_at_ms: float) -> NotRun | None:
        if call.target_incarnation != self._incarnation:
            return NotRun(Reason.STALE_INCARNATION, f"{self._node_id} was replaced")
        if self._drain.refuses_new or self.target_state.leaving:
            return NotRun(Reason.LEAVING, f"{self._node_id} is leaving")
        service = call.operation.partition(".")[0]
        if not self.target_state.present or self.target_state.service != service:
            return NotRun(Reason.TARGET_ABSENT, f"{self._node_id} has no {service}")
        if self._quarantine.refuses(call.fingerprint):
            return NotRun(Reason.QUARANTINED, f"fingerprint {call.fingerprint}")
        if self._clock.now_ms() >= deadline_at_ms:
            return NotRun(Reason.DEADLINE_EXCEEDED, "the call arrived too late")
        return None

    async def _run_admitted(
        self, call: Call, deadline_at_ms: float, ticket: Ticket
    ) -> Answer:
        running = RunningCall(
            f"{self._prefix}-{next(self._numbers)}",
            call,
            deadline_at_ms,
            make_budget(call.retries),
            self._clock.now_ms(),
        )
        outcome: Outcome = Unknown(Reason.CANCELLED, "cancelled while it ran")
        try:
            # The wait for admission, or a pause of the process, may have used up
            # the time, and the target may have left or died meanwhile.
            refusal = self._refusal(call, deadline_at_ms)
            if refusal is not None:
                outcome = refusal
            else:
                self.running[running.context] = running
                # A call that runs at most once is not cut short: its outcome is
                # recorded for a resend.
                with anyio.CancelScope(shield=call.once):
                    outcome = await self._run_on_target(running)
        finally:
            if self.running.pop(running.context, None) is not None:
                self._on_end(running)
            own_time_ms = running.own_time_ms(self._clock.now_ms())
            self._admission.release(ticket, own_time_ms, isinstance(outcome, Completed))
        return self._answer(
            call, outcome, running.budget.left, own_time_ms, _evidence(running, outcome)
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
                    self._withdraw(instance)
                return NotRun(Reason.TARGET_ABSENT, detail)
            case Lost(detail=detail, died=True):
                self.target_died(instance)
                return Unknown(Reason.TARGET_DIED, detail)
            case Lost(detail=detail):
                return self._lost(running, detail)
            case Completed():
                return self._completed(running, result)

    def _lost(self, running: RunningCall, detail: str) -> Unknown:
        if self._clock.now_ms() >= running.deadline_at_ms:
            return Unknown(Reason.DEADLINE_EXCEEDED, detail)
        return Unknown(Reason.ANSWER_LOST, detail)

    def _completed(self, running: RunningCall, answer: Completed) -> Outcome:
        if answer.status in (STATUS_UNAVAILABLE, STATUS_TOO_MANY_REQUESTS):
            names = {name.lower() for name, _ in answer.headers}
            if NOT_RUN_HEADER in names:
                return NotRun(Reason.TARGET_REFUSED, "the target shed the request")
        else:
            changed = self._quarantine.record_success(running.call.fingerprint)
            if changed:
                self._on_quarantine(changed)
        return answer

    def _target_headers(self, running: RunningCall) -> Headers:
        remaining_ms = running.deadline_at_ms - self._clock.now_ms()
        own = (
            (CONTEXT_HEADER, running.context.encode()),
            (DEADLINE_HEADER, str(max(0, int(remaining_ms))).encode()),
            (KEY_HEADER, running.call.key.encode()),
        )
        return (*running.call.headers, *own)

    def _withdraw(self, instance: str) -> None:
        """Take a target out of service until it announces itself again."""
        if instance and instance == self.target_state.instance:
            self.target_state.instance = ""
            self._on_death()

    def target_died(self, instance: str) -> None:
        """Record the death of a target process, once.

        :param instance: id of the target process that died
        """
        if not instance or instance != self.target_state.instance:
            return
        self.target_state.instance = ""
        self.target_state.deaths += 1
        self._metrics.count("inbound.target_deaths")
        fingerprints = {one.call.fingerprint for one in self.running.values()}
        death_id = f"{self._node_id}:{instance}"
        changed = self._quarantine.record_death(sorted(fingerprints), death_id)
        emit(Event.TARGET_DIED, instance=instance, in_flight=len(fingerprints))
        self._on_quarantine(changed)
        self._on_death()

    def _answer(
        self,
        call: Call,
        outcome: Outcome,
        retries_left: int,
        own_time_ms: float,
        evidence_level: int = MAX_LEVEL,
    ) -> Answer:
        self._metrics.count(f"inbound.{_name_of(outcome)}")
        level = self._admission.admission_threshold()
        if self._drain.refuses_new:
            level = MAX_LEVEL
        plain = answer_of(outcome, call.call_id)
        return Answer(
            plain.call_id,
            plain.outcome,
            plain.status,
            plain.headers,
            plain.body,
            plain.body_bytes,
            plain.reason,
            plain.detail,
            retries_left,
            level,
            self._admission.load(),
            own_time_ms,
            min(level, evidence_level, self._chain_level(call.operation)),
        )


def _evidence(running: RunningCall, outcome: Outcome) -> int:
    """Return the threshold that failed a call, if a refused child call failed it.

    A target that answers well without the child call proves nothing.
    """
    match outcome:
        case Completed(status=status) if status >= STATUS_SERVER_ERROR:
            return running.chain_level
        case _:
            return MAX_LEVEL


def _name_of(outcome: Outcome) -> str:
    match outcome:
        case Completed():
            return "completed"
        case NotRun():
            return "not_run"
        case Unknown():
            return "unknown"
