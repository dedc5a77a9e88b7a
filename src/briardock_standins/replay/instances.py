"""Targets of a replay, the nodes beside them and the steps of a request there.

Requests take the steps that they take on real nodes, without sockets; each decision on
the way is made by ``briardock.overload``.
"""

import random
from typing import TYPE_CHECKING, cast

from briardock.mesh.callgraph import CalledServices
from briardock.mesh.members import MemberTable, NodeRecord
from briardock.mesh.model import TargetState
from briardock.overload.admission import (
    CONTROL_PERIOD_S,
    OPEN_THRESHOLD,
    TargetThresholds,
    Usage,
)
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
from briardock.overload.attribution import CallAttribution, route_tag
from briardock.overload.board import (
    EntryThresholds,
    ThresholdAnnouncer,
    ThresholdBoard,
)
from briardock.overload.chain import InstanceThresholds, LearnedThresholds
from briardock.overload.entry import EntryAdmission, EntryRequest, TurnedAway
from briardock.overload.placement import Balancer
from briardock.overload.speed import SpeedMeter
from briardock.overload.target_retries import TargetRetries
from briardock.overload.waiting import (
    Waiting,
    WaitingQueue,
    latest_start_s,
    should_hand_on,
    usable_slots,
)
from briardock_standins.replay.parts import Condition, Process, ReplayCall, Slot
from briardock_standins.replay.pattern import CallerRoute, parse_calls

if TYPE_CHECKING:
    from briardock_standins.replay.simulation import Simulation

# Largest number of attempts at targets for one request.
MAX_ATTEMPTS = 2
RETRY_WINDOW_S = 10.0
INITIAL_SERVICE_TIME_S = 0.02
SERVICE_TIME_WEIGHT = 0.02


class Instance:
    """A target, the node beside it and what that node knows.

    :param world: simulation that it belongs to
    :param node_id: name of the node
    :param service: service of the target
    """

    def __init__(self, world: "Simulation", node_id: str, service: str) -> None:
        pattern = world.pattern
        self.world = world
        self.node_id = node_id
        self.service = service
        self.condition = Condition()
        self.domain = pattern.general.domains[
            len(world.instances) % len(pattern.general.domains)
        ]
        self.slots = pattern.services[service].slots
        self.record = NodeRecord(
            node_id=node_id,
            incarnation_ms=1,
            version=0,
            domain=self.domain,
            address=f"{node_id}:1",
            service=service,
            target_id=node_id,
            target_born_ms=1,
            state=TargetState.READY,
            slots=self.slots,
            leaving=False,
            called_services=[]
            if pattern.general.learn_calls
            else sorted(set(world.called_services[service])),
        )
        self.members = MemberTable(self.record)
        self.begin()

    def begin(self) -> None:
        """Start the node with an empty memory, and its target cold."""
        general = self.world.pattern.general
        rng = random.Random(self.world.rng.random())
        now = self.world.env.now
        self.started_s = now
        self.balancer = Balancer(self.members, self.domain, rng)
        self.entry = EntryAdmission(rng)
        self.learned = LearnedThresholds()
        self.attribution = CallAttribution()
        self.called = CalledServices(self.attribution)
        self.board = ThresholdBoard()
        self.announcer = ThresholdAnnouncer(self.node_id)
        self.entry_thresholds = EntryThresholds(self.members, self.board, self.learned)
        budget = general.retry_ratio, general.retry_slack, RETRY_WINDOW_S
        self.retries = TargetRetries(*budget)
        self.target_thresholds = TargetThresholds()
        self.speed = SpeedMeter()
        self.queue: WaitingQueue[Slot] = WaitingQueue()
        self.running = self.queued = self.granted = 0
        self.arrivals = self.caller_arrivals = 0
        self.service_time_s = INITIAL_SERVICE_TIME_S
        self.run_starts_s: dict[int, float] = {}

    # Decisions of the node beside the target

    def control(self) -> None:
        """Update thresholds and the published run time after a control period."""
        capacity_per_s = usable_slots(self.slots) / self.service_time_s
        highest = self.world.max_threshold
        usage = Usage(CONTROL_PERIOD_S, self.arrivals, capacity_per_s, self.queued)
        waiting_callers = self.queue.retain(lambda slot: not slot.abandoned)
        caller_usage = Usage(
            CONTROL_PERIOD_S, self.caller_arrivals, capacity_per_s, waiting_callers
        )
        self.target_thresholds.update(usage, caller_usage, highest)
        if self.world.pattern.general.learn_calls:
            self._learn_calls()
        self.arrivals = self.caller_arrivals = 0
        self.entry.update_rates()
        now = self.world.env.now
        news = self.announcer.update(
            self.service,
            self.target_thresholds.value(from_caller=True),
            self.target_thresholds.value(from_caller=False),
            capacity_per_s,
            self.world.pattern.services[self.service].instances,
            int(now * 1000),
            now,
        )
        if news is not None:
            self.world.env.process(self.world.spread_thresholds(news))
        ages_s = [now - started_s for started_s in self.run_starts_s.values()]
        if self.speed.update(ages_s, now):
            run_time_ms = round(self.speed.published_s * 1000)
            self.world.publish(self, run_time_ms=run_time_ms)

    def _learn_calls(self) -> None:
        self.called.update(self.arrivals)
        called = sorted(self.called.confirmed)
        route_calls = self.called.route_calls(self.world.names_by_tag)
        changes = {
            "called_services": called,
            "route_calls": route_calls,
            "call_counts": self.called.call_counts(self.world.names_by_tag),
        }
        if any(getattr(self.record, name) != new for name, new in changes.items()):
            self.world.publish(self, **changes)

    def thresholds(self, from_caller: bool) -> InstanceThresholds:
        """Return the thresholds that a response carries."""
        learns = self.world.pattern.general.learn_calls
        chain = self.learned.along_chain(
            sorted(self.entry_thresholds.called_by(self.service)) or self.called.names
            if learns
            else self.world.called_services[self.service],
            self.service,
            self.world.max_threshold,
            self.world.env.now,
        )
        return InstanceThresholds(self.target_thresholds.value(from_caller), chain)

    # Runs at the target

    def run(self, call: ReplayCall) -> Process:
        """Run a call once a slot is free; return its outcome."""
        env, waiting = self.world.env, call.waiting
        if self.condition.away:
            return NotReached()
        limit = usable_slots(self.slots)
        must_wait = self.running + self.granted >= limit or self.queued
        if must_wait and should_hand_on(
            waiting, self.queued, limit, self.service_time_s
        ):
            return Busy()
        self.arrivals += 1
        if waiting.from_caller:
            self.caller_arrivals += 1
            self.target_thresholds.record_caller(waiting.priority)
        if must_wait:
            slot = Slot(env.event())
            self.queue.push(waiting, slot)
            self.queued += 1
            latest_s = latest_start_s(waiting, self.service_time_s, env.now)
            yield slot.granted | env.timeout(max(0.0, latest_s - env.now))
            self.queued -= 1
            if not slot.granted.triggered:
                slot.abandoned = True
                return NotReached()
            self.granted -= 1
        self.running += 1
        started_s = self.started_s
        self.attribution.record_run(route_tag(call.route))
        self.retries.record_arrival(call.retry_share, env.now)
        try:
            return (yield from self._run_in_slot(call))
        finally:
            if started_s == self.started_s:
                self.running -= 1
                self._grant_slots()

    def _grant_slots(self) -> None:
        limit = usable_slots(self.slots)
        while len(self.queue) and self.running + self.granted < limit:
            slot = self.queue.pop()
            if not slot.abandoned:
                self.granted += 1
                slot.granted.succeed()

    def _run_in_slot(self, call: ReplayCall) -> Process:
        world, env, condition = self.world, self.world.env, self.condition
        if world.rng.random() < condition.reject_share:
            return Rejected()
        begun_s, started_s = env.now, self.started_s
        self.run_starts_s[id(call)] = begun_s
        operation = world.pattern.operations[call.operation]
        remaining_s = call.waiting.expires_s - begun_s
        run_time_s = self._sample_run_time_s(call.operation)
        yield env.timeout(max(0.0, min(run_time_s, remaining_s)))
        succeeded = run_time_s < remaining_s
        if succeeded and operation.calls:
            succeeded = yield from self._make_calls(call)
        if started_s != self.started_s or condition.away:
            return MayHaveRun(responded=False)
        self.run_starts_s.pop(id(call), None)
        elapsed_s = env.now - begun_s
        world.report.record_run(call.waiting.priority, elapsed_s, succeeded)
        self.service_time_s += SERVICE_TIME_WEIGHT * (elapsed_s - self.service_time_s)
        if world.rng.random() < condition.lost_share:
            return MayHaveRun(responded=False)
        if not succeeded or world.rng.random() < condition.fail_share:
            return MayHaveRun(responded=True)
        self.speed.record_run(elapsed_s, env.now)
        return Succeeded()

    def _sample_run_time_s(self, operation_name: str) -> float:
        operation = self.world.pattern.operations[operation_name]
        service = self.world.pattern.services[self.service]
        spread = operation.spread
        factor = self.world.rng.lognormvariate(-spread * spread / 2, spread)
        factor *= self.condition.slow_factor
        if self.world.env.now - self.started_s < service.cold_s:
            factor *= service.cold_factor
        return operation.run_ms / 1000 * factor

    def _make_calls(self, call: ReplayCall) -> Process:
        operation = self.world.pattern.operations[call.operation]
        env = self.world.env
        names = parse_calls(operation.calls)
        if operation.together:
            calls = [env.process(self.send(n, n, call.waiting, False)) for n in names]
            outcomes = yield env.all_of(calls)
            return all(isinstance(o, Succeeded) for o in outcomes.values())
        for name in names:
            outcome = yield env.process(self.send(name, name, call.waiting, False))
            if not isinstance(outcome, Succeeded):
                return False
        return True

    # Requests that enter at this node

    def send(
        self,
        operation: str,
        route: str,
        parent: Waiting,
        from_caller: bool,
        idempotent: bool = True,
    ) -> Process:
        """Forward a request; return its outcome, ``MayHaveRun`` after its timeout."""
        env = self.world.env
        service = operation.partition(".")[0]
        budget = self.retries.budget(service)
        self.retries.record_request(service, not from_caller, env.now)
        if not from_caller:
            self.called.record_call(service, route)
        attempts = Attempts(self.balancer, budget, service, idempotent, MAX_ATTEMPTS)
        outcome: Outcome = NotReached()
        while (record := attempts.choose(env.now)) is not None:
            threshold = self.learned.of_instances(service, env.now)
            may_hand_on = attempts.may_hand_on and has_room_elsewhere(
                self.balancer, service, threshold
            )
            waiting = Waiting(
                parent.priority, from_caller, parent.expires_s, may_hand_on
            )
            self.balancer.record_start(record.node_id, env.now)
            is_retry = attempts.arrivals > 0
            share = self.retries.inherited(not from_caller, is_retry, env.now)
            call = ReplayCall(operation, route, waiting, share)
            attempt = env.process(self._attempt(record, call))
            yield attempt | env.timeout(max(0.0, parent.expires_s - env.now))
            self.balancer.record_end(record.node_id)
            if not attempt.triggered:
                return MayHaveRun(responded=False)
            outcome = cast(Outcome, attempt.value)
            overloaded = self._chain_threshold(service, route) < OPEN_THRESHOLD
            count = len(self.world.instances)
            if not attempts.record(record, outcome, overloaded, count, env.now):
                break
        if attempts.may_have_run and not isinstance(outcome, Succeeded):
            return MayHaveRun(responded=True)
        return outcome

    def _attempt(self, record: NodeRecord, call: ReplayCall) -> Process:
        env = self.world.env
        instance = self.world.instances[record.node_id]
        hop_s = self.world.hop_s(self, instance)
        sent_s = env.now
        yield env.timeout(hop_s)
        outcome = yield env.process(instance.run(call))
        yield env.timeout(hop_s)
        now = env.now
        if instance.condition.away:
            self.balancer.record_unreachable(record.node_id, now)
            return outcome
        if isinstance(outcome, Busy):
            self.world.report.handed_on += 1
            self.balancer.record_busy(
                record.node_id, instance.running + instance.queued, now
            )
        else:
            self.balancer.record_response(
                record.node_id,
                now - sent_s,
                instance.running + instance.queued,
                not isinstance(outcome, Succeeded),
                now,
            )
        instance_count = len(self.members.candidates(instance.service))
        self.retries.record_result(
            instance.service,
            record.node_id,
            not call.waiting.from_caller,
            not isinstance(outcome, Succeeded | Busy),
            instance.retries.report(instance_count, now),
            now,
        )
        self.learned.learn(
            instance.service,
            record.node_id,
            instance.thresholds(call.waiting.from_caller),
            self.world.max_threshold,
            now,
        )
        return outcome

    def _chain_threshold(self, service: str, route: str) -> float:
        return self.entry_thresholds.of_chain(
            service, route, self.world.max_threshold, self.world.env.now
        )

    def enter(self, name: str, route: CallerRoute, remaining_s: float) -> Process:
        """Handle a caller's request; return its outcome or its refusal."""
        env = self.world.env
        if self.condition.away:
            return NotReached()
        begun_s = env.now
        service = route.operation.partition(".")[0]
        request = EntryRequest(
            self.world.rng.randbytes(8),
            name,
            service,
            route.priority,
            route.objective_ms / 1000,
            remaining_s,
            self.entry.age_s(name, round(remaining_s, 3), begun_s),
        )
        from_caller = self.world.routes_known
        if from_caller:
            decision = self.entry.decide(request, self._chain_threshold(service, name))
            if isinstance(decision, TurnedAway):
                return decision
        timeout_s = min(remaining_s, route.timeout_ms / 1000)
        parent = Waiting(route.priority, from_caller, begun_s + timeout_s, False)
        outcome = yield env.process(
            self.send(route.operation, name, parent, from_caller, route.idempotent)
        )
        if isinstance(outcome, Succeeded):
            self.entry.record_success(name, env.now - begun_s)
        elif isinstance(outcome, NotReached | Rejected):
            return TurnedAway(self.entry.retry_after_s(request, 0.0), 1.0)
        return outcome
