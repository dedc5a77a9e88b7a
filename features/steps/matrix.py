"""Steps of the fault scenarios: each fault at each point of a request."""

import threading
import time

from behave import given, then, when
from behave.runner import Context

from bench import BOOKING, DEADLINE_MS, PAYMENT, RECOVERY_TIMEOUT_S, Bench, Probe
from briardock.clock import make_random
from faults import FAULTS

LOAD_S = 3.0
LOAD_RATE_PER_S = 15.0
SHORT_DEADLINE_MS = 600
FAULT_S = 0.7


@given("a running deployment with seed {seed:d} and background load")
def start_deployment(context: Context, seed: int) -> None:
    context.bench = Bench(seed)
    context.bench.start()
    context.bench.start_load(LOAD_S, LOAD_RATE_PER_S)
    names = list(context.bench.deployment.instances)
    context.issuer = names[seed % len(names)]
    context.probe = context.bench.make_probe(context.issuer)
    context.versions = context.bench.versions()


def inject_fault(context: Context, fault: str, running_node: str) -> None:
    FAULTS[fault](context.bench, context.probe, running_node)
    time.sleep(FAULT_S)


def other_node(context: Context) -> str:
    return next(
        name for name in context.bench.deployment.instances if name != context.issuer
    )


def send_probe(context: Context, deadline_ms: int = DEADLINE_MS) -> None:
    context.bench.send_in_background(context.probe, context.issuer, deadline_ms)


@when('"{fault}" is injected before dispatch')
def inject_before_dispatch(context: Context, fault: str) -> None:
    inject_fault(context, fault, other_node(context))
    send_probe(context)


@when('"{fault}" is injected while the booking runs')
def inject_during_run(context: Context, fault: str) -> None:
    send_probe(context)
    inject_fault(
        context, fault, context.bench.wait_for_run_start(context.probe, BOOKING)
    )


@when('"{fault}" is injected while its payment runs')
def inject_during_payment(context: Context, fault: str) -> None:
    send_probe(context)
    inject_fault(
        context, fault, context.bench.wait_for_run_start(context.probe, PAYMENT)
    )


@when('"{fault}" is injected after the run before the response')
def inject_after_run(context: Context, fault: str) -> None:
    bench, probe = context.bench, context.probe
    send_probe(context)
    running_node = bench.wait_for_run_start(probe, PAYMENT)
    # Freezing the issuer holds back the response to the caller. If the issuer also
    # forwards the calls of the booking, the run cannot end while it is frozen.
    bench.deployment.freeze(probe.issuer)
    if bench.started_runs(probe.key, BOOKING)[0][0] != probe.issuer:
        bench.wait_for_run_end(probe)
    inject_fault(context, fault, running_node)
    if bench.deployment.processes[probe.issuer].is_running():
        bench.deployment.resume(probe.issuer)


def has_begun_to_drain(bench: Bench, name: str) -> bool:
    """Return whether a node drains, or has exited after its drain."""
    if not bench.deployment.processes[name].is_running():
        return True
    return bool(bench.deployment.status(name)["state"] != "serving")


@when('"{fault}" is injected while the running instance drains')
def inject_during_drain(context: Context, fault: str) -> None:
    bench = context.bench
    send_probe(context)
    running_node = bench.wait_for_run_start(context.probe, BOOKING)
    bench.run_in_background(lambda: bench.drain(running_node))
    bench.deployment.wait_until(
        f"{running_node} to drain", lambda: has_begun_to_drain(bench, running_node)
    )
    inject_fault(context, fault, running_node)


@when('"{fault}" is injected during a publish')
def inject_during_publish(context: Context, fault: str) -> None:
    bench = context.bench
    send_probe(context)
    running_node = bench.wait_for_run_start(context.probe, BOOKING)
    bench.run_in_background(
        lambda: bench.deployment.try_publish(bench.changed_config())
    )
    inject_fault(context, fault, running_node)


@when('"{fault}" is injected when the issuer resumes after the deadline')
def inject_on_resume(context: Context, fault: str) -> None:
    bench, probe = context.bench, context.probe
    bench.deployment.freeze(probe.issuer)
    send_probe(context, SHORT_DEADLINE_MS)
    time.sleep(2 * SHORT_DEADLINE_MS / 1000.0)
    bench.deployment.resume(probe.issuer)
    inject_fault(context, fault, other_node(context))


@when("the booking is resent with its key to every node")
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
    context.bench.check_publish_races()


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
            lambda name=name: bench.requests_complete(name),
            "",
            RECOVERY_TIMEOUT_S,
        )
    violations = bench.violations(context.probe)
    assert not violations, violations


@then("no node has an older configuration than before")
def check_versions(context: Context) -> None:
    bench: Bench = context.bench
    newest = max(bench.versions().values())
    assert newest >= max(context.versions.values())
    bench.wait_for_one_version()


@when("two faults drawn by seed {seed:d} are injected")
def inject_pair(context: Context, seed: int) -> None:
    bench, probe = context.bench, context.probe
    rng = make_random(seed)
    first, second = rng.sample([name for name in FAULTS if name != "none"], 2)
    before_send = rng.random() < 0.5
    print(
        f"seed {seed}: {first} {'before' if before_send else 'during'}, then {second}"
    )
    if before_send:
        FAULTS[first](bench, probe, other_node(context))
        send_probe(context)
    else:
        send_probe(context)
        running_node = bench.wait_for_run_start(probe, BOOKING)
        FAULTS[first](bench, probe, running_node)
    time.sleep(rng.uniform(0.0, FAULT_S))
    inject_fault(context, second, rng.choice(list(bench.deployment.instances)))
