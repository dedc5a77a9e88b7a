"""Compare concurrency limit algorithms in a simulation of one target.

The algorithms do not know the number of slots of the target, which has an internal
FIFO queue. Requests arrive at random; those beyond the limit wait in a bounded queue,
and those that find it full are dropped. Own time is the time of a request in the
target without child calls.
Usage: ``python benchmarks/limiter_policy.py [seeds]``; the last line is JSON.
"""

import heapq
import json
import random
import sys
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import mean
from typing import Protocol

from briardock.clock import ManualClock
from briardock.limiter import LimiterSettings, make_limiter

OPERATIONS = ((0.6, 5.0), (0.3, 20.0), (0.1, 60.0))
ONE_OPERATION = ((1.0, 20.0),)
GAPPED_OPERATIONS = ((0.45, 1.0), (0.1, 30.0), (0.45, 300.0))
QUEUE_LENGTH = 200
SIGMA = 0.5
WARM_UP_REQUESTS = 100


class LimitPolicy(Protocol):
    """Interface of a concurrency limit algorithm."""

    @property
    def limit(self) -> int:
        """Current limit of requests in flight."""
        ...

    def observe(self, own_time_ms: float, in_flight: int, ok: bool) -> None:
        """Record one finished request."""
        ...


class FixedLimit:
    """Constant limit; the optimum if it equals the slots of the target."""

    def __init__(self, limit: int) -> None:
        self.limit = limit

    def observe(self, own_time_ms: float, in_flight: int, ok: bool) -> None:
        """Ignore the observation."""


class AimdLimit:
    """Additive increase; multiplicative decrease above twice the minimum own time."""

    def __init__(self) -> None:
        self._value = 32.0
        self._min_ms = 1e9
        self._recent_ms = 0.0
        self._count = 0

    @property
    def limit(self) -> int:
        """Current limit of requests in flight."""
        return int(self._value)

    def observe(self, own_time_ms: float, in_flight: int, ok: bool) -> None:
        """Adjust the limit after each request."""
        self._count += 1
        weight = max(0.02, 1.0 / self._count)
        self._recent_ms += weight * (own_time_ms - self._recent_ms)
        if self._count < WARM_UP_REQUESTS:
            return
        self._min_ms = min(self._min_ms * 1.00001, max(self._recent_ms, 0.1))
        if self._recent_ms > 2.0 * self._min_ms:
            self._value = max(8.0, self._value * 0.995)
        elif in_flight > 0.7 * self._value:
            self._value = min(400.0, self._value + 1.0 / self._value)


class GradientLimit:
    """Limit scaled by long-term over short-term own time, plus headroom for a queue."""

    def __init__(self) -> None:
        self._value = 32.0
        self._short_ms = 0.0
        self._long_ms = 0.0
        self._count = 0

    @property
    def limit(self) -> int:
        """Current limit of requests in flight."""
        return int(self._value)

    def observe(self, own_time_ms: float, in_flight: int, ok: bool) -> None:
        """Adjust the limit after each request."""
        self._count += 1
        short_weight = max(0.02, 1.0 / self._count)
        long_weight = max(0.0005, 1.0 / self._count)
        self._short_ms += short_weight * (own_time_ms - self._short_ms)
        self._long_ms += long_weight * (own_time_ms - self._long_ms)
        if self._long_ms > 2.0 * self._short_ms:
            self._long_ms *= 0.95
        if in_flight < 0.5 * self._value or self._short_ms <= 0.0:
            return
        gradient = min(1.0, max(0.5, 1.5 * self._long_ms / self._short_ms))
        desired_limit = self._value * gradient + 4.0
        self._value += 0.01 * (desired_limit - self._value)
        self._value = min(400.0, max(8.0, self._value))


@dataclass(frozen=True, slots=True)
class Scenario:
    """Conditions of one run.

    :param name: shown in the result
    :param slots: slots of the target
    :param demand: arrivals as a multiple of the capacity
    :param slow_factor: service time factor from 10 s to 20 s
    :param child_ms: time of child calls that hold the slot, from 10 s to 20 s
    :param operations: shares and mean service times in ms
    :param sigma: spread of the log-normal service time of one operation
    :param random_order: whether the target serves its queue in random order
    """

    name: str
    slots: int
    demand: float
    slow_factor: float = 1.0
    child_ms: float = 0.0
    operations: tuple[tuple[float, float], ...] = OPERATIONS
    sigma: float = SIGMA
    random_order: bool = False

    def mean_service_ms(self) -> float:
        """Return the mean service time over all operations in ms."""
        return sum(share * mean_ms for share, mean_ms in self.operations)


DURATION_MS = 30_000.0
FAULT_FROM_MS = 10_000.0
FAULT_UNTIL_MS = 20_000.0
SCENARIOS = (
    *(Scenario(f"2x/{slots}", slots, 2.0) for slots in (25, 65, 90, 125, 210)),
    Scenario("0.5x/90", 90, 0.5),
    Scenario("1x/90", 90, 1.0),
    Scenario("4x/25", 25, 4.0),
    Scenario("slow5/25", 25, 1.5, slow_factor=5.0),
    Scenario("slow5/90", 90, 1.5, slow_factor=5.0),
    Scenario("slow5-0.5x/90", 90, 0.5, slow_factor=5.0),
    Scenario("slow20/90", 90, 1.5, slow_factor=20.0),
    Scenario("child50/90", 90, 1.5, child_ms=50.0),
    Scenario("constant/90", 90, 2.0, operations=ONE_OPERATION, sigma=0.1),
    Scenario("gapped/25", 25, 2.0, operations=GAPPED_OPERATIONS),
    Scenario("gapped/90", 90, 2.0, operations=GAPPED_OPERATIONS),
    Scenario("heavy/90", 90, 2.0, operations=ONE_OPERATION, sigma=1.5),
    Scenario("random/25", 25, 2.0, random_order=True),
    Scenario("random/90", 90, 2.0, random_order=True),
)


@dataclass(slots=True)
class Request:
    """One request in the model."""

    service_ms: float
    child_ms: float
    admitted_ms: float = 0.0
    in_flight: int = 0


@dataclass(slots=True)
class Phase:
    """Measurements of one phase of a run."""

    work_ms: float = 0.0
    own_ms: float = 0.0
    service_ms: float = 0.0
    limits: list[int] = field(default_factory=list)


class Model:
    """Event-driven simulation of a target behind a limit algorithm."""

    def __init__(self, scenario: Scenario, policy: LimitPolicy, seed: int) -> None:
        self.scenario = scenario
        self.policy = policy
        self.rng = random.Random(seed)
        self.now_ms = 0.0
        self.events: list[tuple[float, int, Request | None]] = []
        self.sequence = 0
        self.admission_queue: deque[Request] = deque()
        self.target_queue: deque[Request] = deque()
        self.in_flight = 0
        self.running = 0
        self.phases = {name: Phase() for name in ("ramp", "before", "fault", "after")}

    def phase(self) -> Phase:
        """Return the phase of the current simulated time."""
        if self.now_ms < 5_000.0:
            return self.phases["ramp"]
        if self.now_ms < FAULT_FROM_MS:
            return self.phases["before"]
        if self.now_ms < FAULT_UNTIL_MS:
            return self.phases["fault"]
        return self.phases["after"]

    def schedule(self, delay_ms: float, request: Request | None) -> None:
        """Schedule the next arrival (``None``) or the end of a request."""
        self.sequence += 1
        heapq.heappush(self.events, (self.now_ms + delay_ms, self.sequence, request))

    def new_request(self) -> Request:
        """Draw the operation and service time of an arrival."""
        draw = self.rng.random()
        mean_ms = self.scenario.operations[-1][1]
        for share, candidate_ms in self.scenario.operations:
            if draw < share:
                mean_ms = candidate_ms
                break
            draw -= share
        sigma = self.scenario.sigma
        service_ms = mean_ms * self.rng.lognormvariate(-sigma * sigma / 2, sigma)
        child_ms = 0.0
        if FAULT_FROM_MS <= self.now_ms < FAULT_UNTIL_MS:
            service_ms *= self.scenario.slow_factor
            child_ms = self.scenario.child_ms
        return Request(service_ms, child_ms)

    def run(self, clock: ManualClock) -> None:
        """Run until the end of the scenario."""
        gap_ms = (
            self.scenario.mean_service_ms() / self.scenario.slots / self.scenario.demand
        )
        self.schedule(0.0, None)
        while self.events:
            at_ms, _, request = heapq.heappop(self.events)
            if at_ms > DURATION_MS:
                return
            clock.advance(at_ms - self.now_ms)
            self.now_ms = at_ms
            if request is None:
                self.schedule(self.rng.expovariate(1.0 / gap_ms), None)
                if len(self.admission_queue) < QUEUE_LENGTH:
                    self.admission_queue.append(self.new_request())
                self.phase().limits.append(self.policy.limit)
            else:
                self.finish(request)
            self.admit()

    def admit(self) -> None:
        """Admit queued requests up to the limit and start them in free slots."""
        limit = self.policy.limit
        while self.admission_queue and self.in_flight < limit:
            request = self.admission_queue.popleft()
            self.in_flight += 1
            request.admitted_ms = self.now_ms
            request.in_flight = self.in_flight
            self.target_queue.append(request)
        while self.target_queue and self.running < self.scenario.slots:
            if self.scenario.random_order:
                self.target_queue.rotate(self.rng.randrange(len(self.target_queue)))
            request = self.target_queue.popleft()
            self.running += 1
            self.schedule(request.service_ms + request.child_ms, request)

    def finish(self, request: Request) -> None:
        """Record a finished request."""
        self.running -= 1
        self.in_flight -= 1
        own_ms = self.now_ms - request.admitted_ms - request.child_ms
        phase = self.phase()
        phase.work_ms += request.service_ms + request.child_ms
        phase.own_ms += own_ms
        phase.service_ms += request.service_ms
        self.policy.observe(own_ms, request.in_flight, True)


def measure(
    scenario: Scenario, policy: LimitPolicy, clock: ManualClock, seed: int
) -> dict[str, dict[str, float]]:
    """Return utilization, own time by service time and limits of each phase."""
    model = Model(scenario, policy, seed)
    model.run(clock)
    spans_ms = {"ramp": 5e3, "before": 5e3, "fault": 10e3, "after": 10e3}
    result = {}
    for name, phase in model.phases.items():
        result[name] = {
            "used": phase.work_ms / spans_ms[name] / scenario.slots,
            "stretch": phase.own_ms / max(1e-9, phase.service_ms),
            "limit": mean(phase.limits),
            "limit_min": min(phase.limits),
            "limit_max": max(phase.limits),
        }
    return result


def make_policies(slots: int) -> dict[str, Callable[[ManualClock], LimitPolicy]]:
    """Return constructors of the compared algorithms for a number of slots."""
    return {
        "oracle": lambda clock: FixedLimit(slots),
        "fixed400": lambda clock: FixedLimit(400),
        "aimd": lambda clock: AimdLimit(),
        "gradient": lambda clock: GradientLimit(),
        "slope": lambda clock: make_limiter(LimiterSettings(), clock),
    }


def main() -> None:
    """Run all scenarios and print one line per scenario and algorithm."""
    seeds = range(int(sys.argv[1]) if len(sys.argv) > 1 else 3)
    only = sys.argv[2:]
    summary: dict[str, dict[str, dict[str, float]]] = {}
    for scenario in SCENARIOS:
        for name, make_policy in make_policies(scenario.slots).items():
            if only and name not in only:
                continue
            runs = []
            for seed in seeds:
                clock = ManualClock()
                runs.append(measure(scenario, make_policy(clock), clock, seed))
            cells = []
            summary.setdefault(name, {})[scenario.name] = {}
            for phase in ("ramp", "before", "fault", "after"):
                used = min(run[phase]["used"] for run in runs)
                stretch = mean(run[phase]["stretch"] for run in runs)
                low = min(run[phase]["limit_min"] for run in runs)
                high = max(run[phase]["limit_max"] for run in runs)
                cells.append(f"{used:5.2f} {stretch:5.2f} {low:3.0f}-{high:3.0f}")
                summary[name][scenario.name][phase] = round(used, 3)
                summary[name][scenario.name][f"{phase}_stretch"] = round(stretch, 2)
            print(f"{scenario.name:14} {name:9}", " | ".join(cells), flush=True)
    print(json.dumps(summary))


if __name__ == "__main__":
    main()
