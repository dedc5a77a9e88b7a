"""Simulate admission control in front of one target.

The real ``Admission`` runs in an asyncio loop whose clock skips to the next timer.
Classes share the demand. Callers retry a refused call once and refuse calls
themselves by the last known admission threshold, as nodes do. Demand is 1x, 2x or
4x of the capacity; the surge and slowdown scenarios return to 0.9x after 8 s.
Usage: ``python benchmarks/admission_policy.py [seeds]``; the last line is JSON.
"""

import asyncio
import json
import random
import selectors
import sys
import time
from collections import deque
from dataclasses import dataclass, field
from statistics import mean

from briardock.admission import (
    LOWEST_PRIORITY,
    AdmissionSettings,
    Ticket,
    make_admission,
    request_priority,
)
from briardock.limiter import LimiterSettings
from briardock.metrics import Metrics

# Class rank and share of the demand at 1x. At 4x classes 0 and 1 take 88% of the
# capacity, so that the target can always serve them.
CLASSES = ((0, 0.12), (1, 0.10), (3, 0.38), (7, 0.40))
OPERATIONS_MS = (5.0, 20.0, 60.0)
OPERATION_WEIGHTS = (60, 30, 10)
MEAN_SERVICE_MS = 15.0
SIGMA = 0.5
DEADLINE_MS = 1_000.0
NETWORK_DELAY_MS = 1.0
THRESHOLD_LIFETIME_MS = 500.0
PROBE_SHARE = 0.02
FAULT_FROM_MS = 4_000.0
FAULT_UNTIL_MS = 8_000.0
END_MS = 13_000.0
BUCKET_MS = 100.0


class _TimeSkippingSelector(selectors.DefaultSelector):
    """Selector that advances simulated time instead of waiting."""

    now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Advance time to the next timer and poll without waiting."""
        if timeout:
            self.now_s += timeout
        return super().select(0)


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Event loop in simulated time."""

    def __init__(self) -> None:
        self.time_selector = _TimeSkippingSelector()
        super().__init__(self.time_selector)
        self._clock_resolution = 1e-9

    def time(self) -> float:
        """Return simulated time in s."""
        return self.time_selector.now_s


class LoopClock:
    """Clock of a simulated loop."""

    def __init__(self, loop: SimulatedLoop) -> None:
        self._loop = loop

    def now_ms(self) -> float:
        """Return simulated time in ms."""
        return self._loop.time() * 1000.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """Conditions of one run.

    :param name: shown in the result
    :param slots: slots of the target
    :param base: demand by capacity before and after the fault
    :param demand: demand by capacity during the fault
    :param slow_factor: factor of service times during the fault
    """

    name: str
    slots: int
    base: float
    demand: float
    slow_factor: float = 1.0


SCENARIOS = (
    Scenario("1x/90", 90, 1.0, 1.0),
    Scenario("0.9x/90", 90, 0.9, 0.9),
    Scenario("2x/90", 90, 0.9, 2.0),
    Scenario("4x/90", 90, 0.9, 4.0),
    Scenario("4x/25", 25, 0.9, 4.0),
    Scenario("4x/210", 210, 0.9, 4.0),
    Scenario("slow4/90", 90, 0.9, 0.9, slow_factor=4.0),
    Scenario("slow20/25", 25, 0.9, 0.9, slow_factor=20.0),
)


@dataclass(slots=True)
class Tally:
    """Counts of one run; by class rank in ``offered`` and ``done``."""

    offered: dict[int, int] = field(default_factory=dict)
    done: dict[int, int] = field(default_factory=dict)
    buckets: dict[int, int] = field(default_factory=dict)
    work_ms: float = 0.0
    wasted_ms: float = 0.0
    sent: int = 0
    thresholds: list[int] = field(default_factory=list)


class Target:
    """Slots with an internal FIFO queue."""

    def __init__(self, slots: int) -> None:
        self.free = slots
        self.waiting: deque[asyncio.Future[None]] = deque()

    async def run(self, service_ms: float) -> None:
        """Hold a slot for a service time, after waiting in the queue for a free one."""
        if self.free:
            self.free -= 1
        else:
            future = asyncio.get_running_loop().create_future()
            self.waiting.append(future)
            await future
        await asyncio.sleep(service_ms / 1000.0)
        if self.waiting:
            self.waiting.popleft().set_result(None)
        else:
            self.free += 1


class Run:
    """One scenario with one seed."""

    def __init__(self, scenario: Scenario, seed: int, loop: SimulatedLoop) -> None:
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.clock = LoopClock(loop)
        settings = AdmissionSettings(limiter=LimiterSettings(initial_limit=32))
        self.admission = make_admission(settings, self.clock, Metrics())
        self.target = Target(scenario.slots)
        self.tally = Tally()
        self.known_threshold = LOWEST_PRIORITY
        self.threshold_at_ms = -1e9
        self.sequence = 0

    def in_fault(self) -> bool:
        """Return whether the surge or slowdown is active."""
        return FAULT_FROM_MS <= self.clock.now_ms() < FAULT_UNTIL_MS

    async def run_load(self) -> None:
        """Start calls at random times until the end."""
        run_task = asyncio.create_task(self.admission.run())
        calls: set[asyncio.Task[None]] = set()
        while self.clock.now_ms() < END_MS:
            demand = self.scenario.demand if self.in_fault() else self.scenario.base
            gap_ms = MEAN_SERVICE_MS / self.scenario.slots / demand
            await asyncio.sleep(self.rng.expovariate(1.0 / gap_ms) / 1000.0)
            task = asyncio.create_task(self.call(demand))
            calls.add(task)
            task.add_done_callback(calls.discard)
            self.tally.thresholds.append(self.admission.admission_threshold())
        run_task.cancel()
        for task in calls:
            task.cancel()

    def draw_class(self) -> int:
        """Draw the class of one call."""
        shares = [share for _, share in CLASSES]
        return self.rng.choices([rank for rank, _ in CLASSES], shares)[0]

    async def call(self, demand: float) -> None:
        """Run one call with one retry after a refusal."""
        rank = self.draw_class()
        started_ms = self.clock.now_ms()
        counted = FAULT_FROM_MS + 1_000.0 <= started_ms < FAULT_UNTIL_MS
        if counted:
            self.tally.offered[rank] = self.tally.offered.get(rank, 0) + 1
        self.sequence += 1
        priority = request_priority(rank, f"n.{self.sequence}")
        deadline_ms = started_ms + DEADLINE_MS
        mean_ms = self.rng.choices(OPERATIONS_MS, OPERATION_WEIGHTS)[0]
        done = await self.attempt(priority, deadline_ms, mean_ms)
        if not done and self.in_fault():
            await asyncio.sleep(0.02)
            done = await self.attempt(priority, deadline_ms, mean_ms)
        if not done:
            return
        bucket = int(self.clock.now_ms() / BUCKET_MS)
        self.tally.buckets[bucket] = self.tally.buckets.get(bucket, 0) + 1
        if counted:
            self.tally.done[rank] = self.tally.done.get(rank, 0) + 1

    async def attempt(self, priority: int, deadline_ms: float, mean_ms: float) -> bool:
        """Send one call and return whether it completed before its deadline."""
        threshold_is_current = (
            self.clock.now_ms() - self.threshold_at_ms < THRESHOLD_LIFETIME_MS
        )
        refused = threshold_is_current and priority > self.known_threshold
        if refused and self.rng.random() >= PROBE_SHARE:
            return False
        self.tally.sent += 1
        await asyncio.sleep(NETWORK_DELAY_MS / 1000.0)
        result = await self.admission.admit(priority, deadline_ms, f"op{mean_ms}")
        completed = False
        if isinstance(result, Ticket):
            completed = await self.serve(result, deadline_ms, mean_ms)
        response_threshold = self.admission.admission_threshold()
        await asyncio.sleep(NETWORK_DELAY_MS / 1000.0)
        self.known_threshold = response_threshold
        self.threshold_at_ms = self.clock.now_ms()
        return completed

    async def serve(self, ticket: Ticket, deadline_ms: float, mean_ms: float) -> bool:
        """Run an admitted call in the target."""
        service_ms = mean_ms * self.rng.lognormvariate(-SIGMA * SIGMA / 2, SIGMA)
        if self.in_fault():
            service_ms *= self.scenario.slow_factor
        admitted_ms = self.clock.now_ms()
        await self.target.run(service_ms)
        self.admission.release(ticket, self.clock.now_ms() - admitted_ms, True)
        in_time = self.clock.now_ms() + NETWORK_DELAY_MS <= deadline_ms
        self.tally.work_ms += service_ms
        self.tally.wasted_ms += 0.0 if in_time else service_ms
        return in_time


def recovery_ms(tally: Tally, normal: float) -> float:
    """Return the time until a 500 ms mean is back to 95% of normal, or -1."""
    first = int(FAULT_UNTIL_MS / BUCKET_MS)
    last = int(END_MS / BUCKET_MS) - 5
    for bucket in range(first, last):
        mean_count = mean(tally.buckets.get(bucket + i, 0) for i in range(5))
        if mean_count >= 0.95 * normal:
            return (bucket - first) * BUCKET_MS
    return -1.0


def mean_rate(tally: Tally, from_ms: float, until_ms: float) -> float:
    """Return completed calls per bucket."""
    buckets = range(int(from_ms / BUCKET_MS), int(until_ms / BUCKET_MS))
    return mean(tally.buckets.get(bucket, 0) for bucket in buckets)


def measure(scenario: Scenario, seed: int) -> dict[str, float]:
    """Run one scenario and return its figures."""
    loop = SimulatedLoop()
    run = Run(scenario, seed, loop)
    started_s = time.perf_counter()
    loop.run_until_complete(run.run_load())
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()
    tally = run.tally
    capacity = scenario.slots / MEAN_SERVICE_MS * BUCKET_MS
    normal = min(1.0, scenario.base) * capacity
    figures = {
        f"class{rank}": tally.done.get(rank, 0) / max(1, tally.offered.get(rank, 0))
        for rank, _ in CLASSES
    }
    during = mean_rate(tally, FAULT_FROM_MS + 1_000.0, FAULT_UNTIL_MS)
    figures["before"] = mean_rate(tally, 1_500.0, FAULT_FROM_MS) / normal
    figures["goodput"] = during / capacity * scenario.slow_factor
    figures["after"] = mean_rate(tally, FAULT_UNTIL_MS + 2e3, END_MS - 500.0) / normal
    figures["recovery_ms"] = recovery_ms(tally, normal)
    figures["wasted"] = tally.wasted_ms / max(1.0, tally.work_ms)
    figures["lowest_level"] = min(tally.thresholds)
    figures["sent"] = tally.sent
    figures["us_per_call"] = (time.perf_counter() - started_s) * 1e6 / tally.sent
    return figures


def main() -> None:
    """Run all scenarios and print the worst figures over the seeds."""
    seeds = range(int(sys.argv[1]) if len(sys.argv) > 1 else 3)
    only = sys.argv[2:]
    summary = {}
    for scenario in SCENARIOS:
        if only and scenario.name not in only:
            continue
        runs = [measure(scenario, seed) for seed in seeds]
        worst = {name: min(run[name] for run in runs) for name in runs[0]}
        for name in ("recovery_ms", "wasted", "us_per_call"):
            worst[name] = max(run[name] for run in runs)
        if any(run["recovery_ms"] < 0 for run in runs):
            worst["recovery_ms"] = -1.0
        shown = " ".join(f"{name}={value:.3g}" for name, value in worst.items())
        print(f"{scenario.name:10} {shown}", flush=True)
        summary[scenario.name] = {name: round(v, 4) for name, v in worst.items()}
    print(json.dumps(summary))


if __name__ == "__main__":
    main()
