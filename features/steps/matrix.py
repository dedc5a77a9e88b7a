"""Steps of the fault matrix."""

import threading
import time

from behave import given, then, when
from behave.runner import Context

from bench import BOOKING, DEADLINE_MS, PAYMENT, RECOVERY_BOUND_S, Bench, Probe
from briardock.clock import make_random
from faults import FAULTS

LOAD_S = 3.0
LOAD_PER_S = 15.0
SHORT_DEADLINE_MS = 600
FAULT_S = 0.7


@given("a running deployment with seed {seed:d} and background load")
def start_deployment(context: Context, seed: int) -> None:
    context.bench = Bench(seed)
    context.bench.start()
    context.bench.start_load(LOAD_S, LOAD_PER_S)
    names = list(context.bench.deployment.instances)
    context.issuer = names[seed % len(names)]
    context.probe = context.bench.make_probe(context.issuer)
    context.versions = context.bench.versions()


def strike(context: Context, fault: str, runner: str) -> None:
    FAULTS[fault](context.bench, context.probe, runner)
    time.sleep(FAULT_S)


def other_node(context: Context) -> str:
    return next(
        name for name in context.bench.deployment.instances if name != context.issuer
    )


def send_probe(context: Context, deadline_ms: int = DEADLINE_MS) -> None:
    context.bench.send_later(context.probe, context.issuer, deadline_ms)


@when('"{fault}" strikes before dispatch')
def strike_before(context: Context, fault: str) -> None:
    strike(context, fault, other_node(context))
    send_probe(context)


@when('"{fault}" strikes while the booking runs')
def strike_during_run(context: Context, fault: str) -> None:
    send_probe(context)
    strike(context, fault, context.bench.wait_for_start(context.probe, BOOKING))


@when('"{fault}" strikes while its payment runs')
def strike_during_payment(context: Context, fault: str) -> None:
    send_probe(context)
    strike(context, fault, context.bench.wait_for_start(context.probe, PAYMENT))


@when('"{fault}" strikes after the run before the answer')
def strike_after_run(context: Context, fault: str) -> None:
    bench, probe = context.bench, context.probe
    send_probe(context)
    runner = bench.wait_for_start(probe, PAYMENT)
    # The answer of the booking cannot get past the frozen issuer. Where the same
    # node carries the booking's own calls, the run itself waits for its end.
    bench.deployment.freeze(probe.issuer)
    if bench.starts(probe.key, BOOKING)[0][0] != probe.issuer:
        bench.wait_for_exit(probe)
    strike(context, fault, runner)
    if bench.deployment.processes[probe.issuer].is_running():
        bench.deployment.resume(probe.issuer)


@when('"{fault}" strikes while the running instance drains')
def strike_during_drain(context: Context, fault: str) -> None:
    bench = context.bench
    send_probe(context)
    runner = bench.wait_for_start(context.probe, BOOKING)
    bench.in_background(lambda: bench.drain(runner))
    strike(context, fault, runner)


@when('"{fault}" strikes during a publish')
def strike_during_publish(context: Context, fault: str) -> None:
    bench = context.bench
    send_probe(context)
    runner = bench.wait_for_start(context.probe, BOOKING)
    bench.in_background(lambda: bench.deployment.try_publish(bench.changed_config()))
    strike(context, fault, runner)


@when('"{fault}" strikes when the issuer resumes after the deadline')
def strike_on_resume(context: Context, fault: str) -> None:
    bench, probe = context.bench, context.probe
    bench.deployment.freeze(probe.issuer)
    send_probe(context, SHORT_DEADLINE_MS)
    time.sleep(2 * SHORT_DEADLINE_MS / 1000.0)
    bench.deployment.resume(probe.issuer)
    strike(context, fault, other_node(context))


@when("the booking is sent again with its key to every node")
def resend(context: Context) -> None:
    bench: Bench = context.bench
    probe: Probe = context.probe
    threads = [
        threading.Thread(target=bench.send, args=(probe, name, SHORT_DEADLINE_MS))
        for name in bench.deployment.instances
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@when("the fault is healed")
def heal(context: Context) -> None:
    context.bench.join()
    context.bench.heal()
    context.bench.restart_ended()
    context.bench.check_races()


@then("the ledgers of targets and callers agree")
def check_ledgers(context: Context) -> None:
    violations = context.bench.violations(context.probe)
    assert not violations, violations


@then("bookings and reads complete on every node")
def check_recovery(context: Context) -> None:
    bench: Bench = context.bench
    for name in bench.deployment.instances:
        bench.deployment.wait_until(
            f"a booking to complete on {name}",
            lambda name=name: bench.completes(name),
            "",
            RECOVERY_BOUND_S,
        )
    violations = bench.violations(context.probe)
    assert not violations, violations


@then("the configuration has not gone back anywhere")
def check_versions(context: Context) -> None:
    bench: Bench = context.bench
    newest = max(bench.versions().values())
    assert newest >= max(context.versions.values())
    bench.wait_for_one_version()


@when("two faults drawn by seed {seed:d} strike")
def strike_pair(context: Context, seed: int) -> None:
    bench, probe = context.bench, context.probe
    rng = make_random(seed)
    first, second = rng.sample([name for name in FAULTS if name != "none"], 2)
    early = rng.random() < 0.5
    print(f"seed {seed}: {first} {'before' if early else 'during'}, then {second}")
    if early:
        FAULTS[first](bench, probe, other_node(context))
        send_probe(context)
    else:
        send_probe(context)
        runner = bench.wait_for_start(probe, BOOKING)
        FAULTS[first](bench, probe, runner)
    time.sleep(rng.uniform(0.0, FAULT_S))
    strike(context, second, rng.choice(list(bench.deployment.instances)))
