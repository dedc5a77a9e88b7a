"""Measure goodput, wasted work, attempts and recovery time under overload.

Compares a deployment with nodes to one without overload control, where targets call
each other directly and each caller retries. The deep service is the bottleneck; its
capacity follows from its slots and service time. Run:
``python benchmarks/overload.py [--quick]``; the last line is JSON.
"""

import json
import statistics
import sys
import time
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import anyio.to_thread
import defopt
import msgspec

from briardock.clock import SystemClock
from briardock_standins.catalogs import (
    entry_actions,
    non_idempotent_operations,
    read_catalog,
    single_operation,
    target_plan,
)
from briardock_standins.deployments import DeploymentSpec, ServiceSpec
from briardock_standins.harness import Deployment, target_name
from briardock_standins.ledger import (
    Entry,
    Run,
    Told,
    collect_runs,
    find_violations,
    read_ledger,
)
from briardock_standins.load import LoadGenerator
from briardock_standins.plans import LoadPlan, Phase, TargetPlan

CONFIG = Path(__file__).parent / "overload_config"
INSTANCES = 2
DEEP_SERVICE = "store"
DEEP_SLOTS = 8
DEEP_SERVICE_MS = 125.0
UPPER_SLOTS = 256
UPPER_SERVICE_MS = 4.0
CAPACITY_PER_S = INSTANCES * DEEP_SLOTS * 1_000.0 / DEEP_SERVICE_MS
WEIGHTS = {"hazard": 0.1, "booking": 0.1, "browse": 0.4, "history": 0.4}
PROTECTED_CLASSES = ("hazard", "booking")
SHOWN_FAILURES = 4

# The targets of both example deployments accept 7 to 10 connections per slot.
QUEUE_LENGTH_PER_SLOT = 8
# Without overload control each caller retries a call that failed or timed out.
DIRECT_ATTEMPTS = 3
DIRECT_TIMEOUT_MS = 1_000.0

# The targets have no cold start; the ramp of the limit ends within the warm-up.
TUNABLES = {"admission": {"cold_start_s": "2"}}
WARM_UP_PHASE = Phase(4.0, 0.5)

FAULT_LOAD_MULTIPLE = 0.8
WARM_UP_S = 1.5
WINDOW_MS = 500.0
WINDOW_STEP_MS = 100.0
RECOVERED_SHARE = 0.95
IDLE_TIMEOUT_S = 20.0
RESENDS = 3
SLOW_FACTOR = 5.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """One load schedule with at most one fault.

    :param name: name in the report
    :param phases: arrival schedule
    :param resends: resends by the caller of an action that failed
    :param slow: whether the deep service is slow in the second phase
    :param dead: whether the deep service dies at the start of the second phase
    """

    name: str
    phases: tuple[Phase, ...]
    resends: int = 0
    slow: bool = False
    dead: bool = False

    @property
    def fault_at_s(self) -> float:
        """Return the end of the first phase, when the fault or surge starts."""
        return self.phases[0].duration_s

    @property
    def fault_end_s(self) -> float:
        """Return the end of the second phase."""
        return sum(phase.duration_s for phase in self.phases[:2])


def make_scenarios(scale: float) -> list[Scenario]:
    """Return all scenarios.

    :param scale: factor of all durations
    """

    def schedule(*parts: tuple[float, float]) -> tuple[Phase, ...]:
        return tuple(Phase(length * scale, multiple) for length, multiple in parts)

    before, after = (3.0, FAULT_LOAD_MULTIPLE), (4.0, FAULT_LOAD_MULTIPLE)
    return [
        Scenario("1x", schedule((4.0, 1.0))),
        Scenario("2x", schedule((4.0, 2.0))),
        Scenario("4x", schedule((4.0, 4.0))),
        Scenario("surge", schedule(before, (3.0, 4.0), after), resends=RESENDS),
        Scenario(
            "slow", schedule(before, (3.0, FAULT_LOAD_MULTIPLE), after), slow=True
        ),
        Scenario(
            "dead",
            schedule((2.0, FAULT_LOAD_MULTIPLE), (3.0, FAULT_LOAD_MULTIPLE)),
            dead=True,
        ),
    ]


@dataclass(slots=True)
class Result:
    """Measurements of one scenario with one seed.

    :param goodput_share: goodput as a share of capacity
    :param success: share of succeeded actions per class
    :param wasted_share: share of the time of targets, without child calls, that was
        spent on failed actions
    :param attempts: first attempts and retries by nodes or targets, per action
    :param sends: sends by callers per action
    :param recovery_s: time from the end of the fault to 95% success, if any
    :param cpu_cores: CPU time of all processes by elapsed time
    :param violations: number of violations found in the ledgers
    :param failures: most frequent reasons of failure in the protected classes, with
        their counts
    """

    goodput_share: float
    success: dict[str, float]
    wasted_share: float
    attempts: float
    sends: float
    recovery_s: float | None
    cpu_cores: float
    violations: int
    failures: dict[str, int]


def make_spec(direct: bool, seed: int) -> DeploymentSpec:
    """Return the deployment with or without nodes."""
    catalog = read_catalog(CONFIG)
    services = []
    for name in catalog.services:
        deep = name == DEEP_SERVICE
        plan = TargetPlan(
            name,
            single_operation(DEEP_SERVICE_MS if deep else UPPER_SERVICE_MS),
            slots=DEEP_SLOTS if deep else UPPER_SLOTS,
            queue_length=QUEUE_LENGTH_PER_SLOT * DEEP_SLOTS,
            cancel_on_close=not direct,
            attempts=DIRECT_ATTEMPTS if direct else 1,
            call_timeout_ms=DIRECT_TIMEOUT_MS if direct else 30_000.0,
        )
        plan = target_plan(catalog, plan, parallel=True)
        services.append(ServiceSpec(plan, ("a",) * INSTANCES))
    return DeploymentSpec(
        tuple(services), CONFIG, direct=direct, tunables=TUNABLES, seed=seed
    )


@dataclass(slots=True)
class Session:
    """Runs scenarios against one deployment.

    :param deployment: running deployment
    :param seed: seed of the run
    :param scenario_count: scenarios run so far; gives each a distinct seed
    :param ledger_offsets: offset of the first unread byte of each target ledger
    """

    deployment: Deployment
    seed: int
    scenario_count: int = 0
    ledger_offsets: dict[Path, int] = field(default_factory=dict)

    async def run(self, scenario: Scenario) -> Result:
        """Run one scenario and wait until all targets are idle."""
        self.scenario_count += 1
        generator = self._make_generator(scenario)
        retries_before = self.total_retries()
        cpu_before = self.cpu_s()
        start_ms = SystemClock().now_ms()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._inject_fault, scenario)
            caller_results = await generator.run()
            tasks.cancel_scope.cancel()
        cpu_cores = (self.cpu_s() - cpu_before) * 1_000.0
        cpu_cores /= SystemClock().now_ms() - start_ms
        await anyio.to_thread.run_sync(self._wait_until_idle)
        extra = self.total_retries() - retries_before
        return self._measure(scenario, caller_results, start_ms, extra, cpu_cores)

    def _make_generator(self, scenario: Scenario) -> LoadGenerator:
        deployment = self.deployment
        names = [name for name in deployment.instances if name.startswith("app-")]
        actions = tuple(
            msgspec.structs.replace(
                action,
                weight=WEIGHTS[action.class_name],
                keyed=action.keyed and not deployment.spec.direct,
                resends=scenario.resends,
            )
            for action in entry_actions(read_catalog(CONFIG))
        )
        plan = LoadPlan(
            deployment.entries(*names),
            actions,
            scenario.phases,
            CAPACITY_PER_S,
            direct=deployment.spec.direct,
            seed=self.seed * 100 + self.scenario_count,
        )
        return LoadGenerator(plan, SystemClock())

    async def _inject_fault(self, scenario: Scenario) -> None:
        deep = [
            n for n in self.deployment.instances if n.startswith(f"{DEEP_SERVICE}-")
        ]
        if not (scenario.slow or scenario.dead):
            return
        await anyio.sleep(scenario.fault_at_s)
        for name in deep:
            if scenario.dead:
                await run_in_thread(self.deployment.kill, target_name(name))
            else:
                await run_in_thread(self._set_slow_factor, name, SLOW_FACTOR)
        if scenario.slow:
            await anyio.sleep(scenario.fault_end_s - scenario.fault_at_s)
            for name in deep:
                await run_in_thread(self._set_slow_factor, name, 1.0)

    def _set_slow_factor(self, name: str, factor: float) -> None:
        self.deployment.set_target_faults(name, slow_factor=factor)

    def _wait_until_idle(self) -> None:
        """Wait until no target runs requests, so that scenarios do not overlap."""
        deployment = self.deployment

        def is_idle() -> bool:
            return all(
                deployment.target_status(name)["in_flight"] == 0
                for name in deployment.instances
                if deployment.processes[target_name(name)].is_running()
            )

        deployment.wait_until("idle targets", is_idle, "", IDLE_TIMEOUT_S)

    def _read_new_ledgers(self) -> list[list[Entry]]:
        """Return the entries since the last scenario; all targets must be idle."""
        found = []
        for instance in self.deployment.instances.values():
            for path in instance.ledgers:
                found.append(read_ledger(path, self.ledger_offsets.get(path, 0)))
                self.ledger_offsets[path] = path.stat().st_size
        return found

    def total_retries(self) -> int:
        """Return the retries made so far, by targets or by nodes."""
        deployment = self.deployment
        if deployment.spec.direct:
            found = [
                deployment.target_status(name)
                for name in deployment.instances
                if deployment.processes[target_name(name)].is_running()
            ]
            return sum(s["child_send_count"] - s["child_call_count"] for s in found)
        return sum(count_retries(deployment, name) for name in deployment.instances)

    def cpu_s(self) -> float:
        """Return the CPU time of all processes, including this one."""
        children = self.deployment.processes.values()
        return time.process_time() + sum(process.cpu_s() for process in children)

    def _measure(
        self,
        scenario: Scenario,
        caller_results: list[Told],
        start_ms: float,
        extra_sends: int,
        cpu_cores: float,
    ) -> Result:
        ledgers = self._read_new_ledgers()
        runs = collect_runs(entry for ledger in ledgers for entry in ledger)
        final_results = [entry for entry in caller_results if entry.final]
        at_most_once = non_idempotent_operations(read_catalog(CONFIG))
        recovery_s = None
        if len(scenario.phases) > 2:
            end_ms = start_ms + scenario.fault_end_s * 1_000.0
            recovery_s = measure_recovery(final_results, end_ms)
        return Result(
            goodput_share=measure_goodput(scenario, final_results, start_ms)
            / CAPACITY_PER_S,
            success=measure_success(final_results),
            wasted_share=measure_waste(runs, final_results),
            attempts=1.0 + extra_sends / len(final_results),
            sends=len(caller_results) / len(final_results),
            recovery_s=recovery_s,
            cpu_cores=cpu_cores,
            violations=count_violations(ledgers, caller_results, at_most_once),
            failures=count_failures(final_results),
        )


async def run_in_thread(function: Callable[..., None], *arguments: object) -> None:
    """Run a blocking call in a thread, so that the load generator continues."""
    await anyio.to_thread.run_sync(function, *arguments)


def count_retries(deployment: Deployment, name: str) -> int:
    """Return the number of retries made by a node."""
    counters = deployment.admin_get(name, "/dump")["counters"]
    return int(counters.get("dispatch.retries", 0))


def count_violations(
    ledgers: list[list[Entry]], caller_results: list[Told], at_most_once: Iterable[str]
) -> int:
    """Return the number of violations found in the ledgers.

    Without nodes there are no keys, so only second runs of a call and responses to
    another request are found.
    """
    return len(find_violations(ledgers, [caller_results], frozenset(at_most_once)))


def measure_goodput(
    scenario: Scenario, final_results: list[Told], start_ms: float
) -> float:
    """Return succeeded actions per second after the warm-up."""
    length_s = sum(phase.duration_s for phase in scenario.phases)
    warm_up_s = min(WARM_UP_S, length_s / 4.0)
    from_ms = start_ms + warm_up_s * 1_000.0
    to_ms = start_ms + length_s * 1_000.0
    count = sum(e.succeeded and from_ms <= e.end_ms < to_ms for e in final_results)
    return count / (length_s - warm_up_s)


def measure_success(final_results: list[Told]) -> dict[str, float]:
    """Return the share of succeeded actions per class."""
    by_class: dict[str, list[bool]] = defaultdict(list)
    for entry in final_results:
        by_class[entry.class_name].append(entry.succeeded)
    return {name: sum(found) / len(found) for name, found in by_class.items()}


def count_failures(final_results: list[Told]) -> dict[str, int]:
    """Return the most frequent reasons of failure in the protected classes."""
    found = Counter(
        f"{entry.outcome} {entry.reason}"
        for entry in final_results
        if entry.class_name in PROTECTED_CLASSES and not entry.succeeded
    )
    return dict(found.most_common(SHOWN_FAILURES))


def measure_waste(runs: list[Run], final_results: list[Told]) -> float:
    """Return the share of the time of targets that was spent on failed actions.

    The time of child calls is not counted.
    """
    succeeded = {entry.action: entry.succeeded for entry in final_results}
    total_ms = 0.0
    wasted_ms = 0.0
    for run in runs:
        if run.ended is None or run.action not in succeeded:
            continue
        total_ms += run.ended.time_ms
        if not succeeded[run.action]:
            wasted_ms += run.ended.time_ms
    return wasted_ms / total_ms if total_ms else 0.0


def measure_recovery(final_results: list[Told], end_ms: float) -> float:
    """Return the time in s from the end of the fault until success has recovered.

    Success has recovered after the last window of 500 ms in which less than 95% of
    the actions succeeded. Actions count for the window in which they were sent.
    Without recovery the end of the run is used.

    :param final_results: last outcome of each action
    :param end_ms: end of the fault
    """
    last_ms = max(entry.start_ms for entry in final_results)
    recovered_ms = end_ms
    at_ms = end_ms
    while at_ms + WINDOW_MS <= last_ms:
        window = [
            e.succeeded
            for e in final_results
            if at_ms <= e.start_ms < at_ms + WINDOW_MS
        ]
        if window and sum(window) / len(window) < RECOVERED_SHARE:
            recovered_ms = at_ms + WINDOW_MS
        at_ms += WINDOW_STEP_MS
    return (recovered_ms - end_ms) / 1_000.0


@dataclass(slots=True)
class Report:
    """Results by variant and scenario, one per seed."""

    results: dict[str, dict[str, list[Result]]] = field(default_factory=dict)

    def add(self, variant: str, scenario: str, result: Result) -> None:
        """Add and print the result of one seed."""
        scenarios = self.results.setdefault(variant, {})
        scenarios.setdefault(scenario, []).append(result)
        recovery = "-" if result.recovery_s is None else f"{result.recovery_s:.1f}"
        success = " ".join(f"{k}={v:.3f}" for k, v in sorted(result.success.items()))
        print(
            f"{variant:11} {scenario:6} goodput {result.goodput_share:.3f} "
            f"wasted {result.wasted_share:.3f} attempts {result.attempts:.2f} "
            f"sends {result.sends:.2f} "
            f"recovery {recovery} cores {result.cpu_cores:.1f} "
            f"violations {result.violations} {success} {result.failures}",
            flush=True,
        )

    def summary(self) -> dict[str, dict[str, object]]:
        """Return medians over the seeds."""
        return {
            variant: {name: _median(found) for name, found in scenarios.items()}
            for variant, scenarios in self.results.items()
        }


def _median(results: list[Result]) -> dict[str, object]:
    def median(values: Iterable[float]) -> float:
        return round(statistics.median(values), 3)

    recoveries = [r.recovery_s for r in results if r.recovery_s is not None]
    return {
        "goodput_share": median(r.goodput_share for r in results),
        "success": {
            name: median(r.success.get(name, 0.0) for r in results) for name in WEIGHTS
        },
        "wasted_share": median(r.wasted_share for r in results),
        "attempts": median(r.attempts for r in results),
        "sends": median(r.sends for r in results),
        "recovery_s": median(recoveries) if recoveries else None,
        "cpu_cores": median(r.cpu_cores for r in results),
        "violations": sum(r.violations for r in results),
    }


async def run_session(
    direct: bool, seed: int, scenarios: list[Scenario], report: Report
) -> None:
    """Run all scenarios against one deployment."""
    with Deployment(make_spec(direct, seed)) as deployment:
        session = Session(deployment, seed)
        await session.run(Scenario("warm-up", (WARM_UP_PHASE,)))
        for scenario in scenarios:
            result = await session.run(scenario)
            report.add("no control" if direct else "nodes", scenario.name, result)


def run_async(function: Callable[..., Awaitable[None]], *arguments: object) -> None:
    """Run a coroutine function on uvloop."""
    anyio.run(function, *arguments, backend_options={"use_uvloop": True})


def main(
    *,
    quick: bool = False,
    seeds: int = 3,
    variant: str = "both",
    scenario: str = "",
) -> None:
    """Measure overload behaviour with and without nodes.

    :param quick: one seed and shorter phases
    :param seeds: number of seeds
    :param variant: nodes, direct or both
    :param scenario: name of the only scenario to run
    """
    scenarios = make_scenarios(0.7 if quick else 1.0)
    scenarios = [one for one in scenarios if scenario in ("", one.name)]
    report = Report()
    for seed in range(1, 2 if quick else seeds + 1):
        for direct in (True, False):
            if variant in ("both", "direct" if direct else "nodes"):
                run_async(run_session, direct, seed, scenarios, report)
    print(json.dumps({"capacity_per_s": CAPACITY_PER_S, **report.summary()}))


if __name__ == "__main__":
    sys.exit(defopt.run(main))
