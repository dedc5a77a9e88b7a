"""Steps on requests, leaving and configuration through running processes."""

import json
import math
import subprocess
import sys
import time

from behave import given, then, when
from behave.runner import Context

from bench import (
    CONFIG,
    RECOVERY_BOUND_S,
    Bench,
    Probe,
    copy_folder,
    write_config,
)
from briardock_standins.harness import target_name
from briardock_standins.ledger import RunStarted
from raw_requests import REQUESTS, closes_garbage

HTTP_BYTES = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
CRASH_BODY = "crash-target"
MAX_CRASHES = 6


@given("a running deployment with seed {seed:d}")
def start_quiet(context: Context, seed: int) -> None:
    context.bench = Bench(seed, booking_ms=20.0)
    context.bench.start()
    context.probe = None


@then("these requests are answered")
def check_answers(context: Context) -> None:
    bench: Bench = context.bench
    node = next(iter(bench.deployment.instances.values()))
    for row in context.table:
        status, body = REQUESTS[row["request"]](bench, node)
        found = (status, json.loads(body)["reason"])
        assert found == (int(row["status"]), row["reason"]), (row["request"], body)
        assert json.loads(body)["remedy"], row["request"]


@then("strangers on the call port and the gossip port change nothing")
def check_strangers(context: Context) -> None:
    bench: Bench = context.bench
    node = next(iter(bench.deployment.instances.values()))
    before = bench.deployment.status(node.name)["members"]
    assert closes_garbage(node.ports["call"], HTTP_BYTES)
    assert closes_garbage(node.ports["call"], b"\xff" * 64)
    # zmq keeps a connection of an unknown protocol open without reading from it
    # more than its message limit.
    closes_garbage(node.ports["gossip"], HTTP_BYTES)
    closes_garbage(node.ports["gossip"], b"\x01\x00\x05\x00hello")
    assert bench.deployment.status(node.name)["members"] == before


@when("a booking is sent twice with one key and different bodies")
def send_other_body(context: Context) -> None:
    bench: Bench = context.bench
    issuer = next(iter(bench.deployment.instances))
    context.probe = bench.make_probe(issuer)
    assert bench.send(context.probe, issuer).succeeded
    other = Probe(context.probe.key, issuer, "another body")
    context.refused = bench.send(other, issuer)


@then('the second one is refused as "{reason}"')
def check_refused(context: Context, reason: str) -> None:
    assert context.refused.outcome == "not-run"
    assert context.refused.reason == reason


@when("a booking that kills its target is sent with fresh keys until it is refused")
def send_killer(context: Context) -> None:
    bench: Bench = context.bench
    names = list(bench.deployment.instances)
    context.told = []
    for turn in range(MAX_CRASHES):
        probe = bench.make_probe(names[turn % len(names)], CRASH_BODY)
        told = bench.send(probe, probe.issuer)
        context.told.append(told)
        if told.reason == "quarantined":
            return
        bench.deployment.wait_until(
            "the killed target to end", lambda: bool(bench.ended_targets())
        )
        bench.restart_ended()
        bench.deployment.wait_for_members()


@then('it has killed two targets and is refused as "{reason}" on every node')
def check_quarantined(context: Context, reason: str) -> None:
    bench: Bench = context.bench
    reasons = [told.reason for told in context.told]
    assert reasons == ["target-died", "target-died", reason], reasons
    assert context.told[-1].outcome == "not-run"

    def refused(name: str) -> bool:
        probe = bench.make_probe(name, CRASH_BODY)
        return bench.send(probe, name).reason == reason

    for name in bench.deployment.instances:
        assert refused(name), name


@then("the operator lists it and lifts it")
def lift(context: Context) -> None:
    bench: Bench = context.bench
    node = next(iter(bench.deployment.instances.values()))
    listed = run_command("quarantine", "list", node.admin)
    assert listed.returncode == 0, listed.stderr
    fingerprints = [
        entry["fingerprint"]
        for entry in bench.deployment.admin_get(node.name, "/quarantine")["entries"]
        if entry["refused"]
    ]
    assert len(fingerprints) == 1
    assert fingerprints[0] in listed.stdout
    lifted = run_command("quarantine", "lift", node.admin, fingerprints[0])
    assert lifted.returncode == 0, lifted.stderr

    def gone_everywhere() -> bool:
        return not any(
            entry["refused"]
            for name in bench.deployment.instances
            for entry in bench.deployment.admin_get(name, "/quarantine")["entries"]
        )

    bench.deployment.wait_until("the lift to reach every node", gone_everywhere)


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the operator command."""
    return subprocess.run(
        [sys.executable, "-m", "briardock.cli", *arguments],
        capture_output=True,
        text=True,
        timeout=RECOVERY_BOUND_S,
        check=False,
    )


def watch_left_notice(bench: Bench, name: str) -> float:
    """Wait for the last notice of a node; return when it had not arrived yet."""
    other = next(n for n in bench.deployment.instances if n != name)
    asked_ms = time.monotonic() * 1000.0

    def arrived() -> bool:
        nonlocal asked_ms
        now_ms = time.monotonic() * 1000.0
        members = bench.deployment.status(other)["members"]
        states = {member["node_id"]: member["state"] for member in members}
        if states.get(name) == "left":
            return True
        asked_ms = now_ms
        return False

    bench.deployment.wait_until(f"{name} to announce that it has left", arrived)
    return asked_ms


@when("an instance of bookings leaves by {way}")
def leave(context: Context, way: str) -> None:
    bench: Bench = context.bench
    name = next(n for n in bench.deployment.instances if n.startswith("bookings"))
    context.leaving = name
    time.sleep(0.5)
    context.notice_ms = time.monotonic() * 1000.0
    match way:
        case "the drain command":
            admin = bench.deployment.instances[name].admin
            drained = run_command("drain", admin)
            assert drained.returncode == 0, drained.stderr
        case "SIGTERM of the node":
            bench.deployment.terminate(name)
        case "SIGTERM of the target":
            bench.deployment.terminate(target_name(name))
    if way != "SIGTERM of the target":
        context.left_ms = watch_left_notice(bench, name)
        bench.deployment.wait_for_exit(name)
    bench.join()


@then("no booking starts on it more than {bound_ms:d} ms after its notice")
def check_no_new_work(context: Context, bound_ms: int) -> None:
    late = [
        entry
        for name, ledger in context.bench.ledgers_by_node()
        if name == context.leaving
        for entry in ledger
        if isinstance(entry, RunStarted) and entry.at_ms > context.notice_ms + bound_ms
    ]
    assert not late, late


@then("no caller was told unknown")
def check_nothing_cut(context: Context) -> None:
    told = [one for one in context.bench.load_told if one.outcome == "unknown"]
    # Callers connected to a process that has ended find its port closed. Keys that
    # it issued and that are first used after its last notice have no issuer left.
    left_ms = getattr(context, "left_ms", math.inf)
    # A resend that found no node is unknown only for an earlier attempt, which is in
    # this list as well.
    cut = [
        one
        for one in told
        if one.reason != "no-connection"
        and not one.reason.startswith("caller-connect")
        and not (one.reason == "issuer-gone" and one.start_ms >= left_ms)
    ]
    attempts = {one.action for one in cut}
    assert not cut, [one for one in context.bench.load_told if one.action in attempts]


@when("the log is out of service")
def stop_log(context: Context) -> None:
    context.bench.deployment.set_log_faults("outage")
    context.bench.heal_later(lambda: context.bench.deployment.set_log_faults("none"))


@then("publishing fails with exit code {code:d} and names the log")
def check_publish_fails(context: Context, code: int) -> None:
    bench: Bench = context.bench
    result = bench.deployment.try_publish(bench.changed_config())
    assert result.returncode == code, (result.returncode, result.stderr)
    assert "log" in result.stderr
    assert "Traceback" not in result.stderr


@then("a node that is replaced takes the configuration from its peers")
def check_replaced(context: Context) -> None:
    bench: Bench = context.bench
    name = next(iter(bench.deployment.instances))
    bench.deployment.kill(name)
    bench.restart_node(name)
    bench.deployment.wait_for_configuration()
    assert not bench.deployment.status(name)["log_reachable"]


@when("a node is replaced while it is cut from the log and all peers")
def replace_cut_off(context: Context) -> None:
    bench: Bench = context.bench
    name = next(n for n in bench.deployment.instances if n.startswith("bookings"))
    domain = bench.deployment.instances[name].domain
    context.name = name
    # The only peer in the same domain is stopped, so that no path is left.
    peer = next(
        n
        for n, one in bench.deployment.instances.items()
        if one.domain == domain and n != name
    )
    bench.deployment.freeze(peer)
    bench.heal_later(lambda: bench.deployment.resume(peer))
    for other in ("platform", *(d for d in bench.deployment.spec.domains)):
        if other != domain:
            bench.cut(domain, other)
    bench.deployment.kill(name)
    bench.restart_node(name)


@then("its status says that neither can be reached")
def check_alone(context: Context) -> None:
    def says_so() -> bool:
        state = context.bench.deployment.status(context.name)["configuration"]["state"]
        return state == "none: neither the log nor another node can be reached"

    context.bench.deployment.wait_until("the status to say so", says_so)


@then("it joins without a restart once the cut is healed")
def check_joins(context: Context) -> None:
    context.bench.heal()
    context.bench.deployment.wait_for_configuration()
    context.bench.deployment.wait_for_members()


@when("two operators change one file from the same version")
def race_one_file(context: Context) -> None:
    context.results = race(
        context.bench,
        "one",
        [
            {"20-wallet.ini": CONFIG["20-wallet.ini"] + "max_body_kb = 8\n"},
            {"20-wallet.ini": CONFIG["20-wallet.ini"] + "max_body_kb = 16\n"},
        ],
    )


@when("two operators change different files from the same version")
def race_two_files(context: Context) -> None:
    context.results = race(
        context.bench,
        "two",
        [
            {"30-team-a.ini": "[class extra-a]\nrank = 2\n"},
            {"40-team-b.ini": "[class extra-b]\nrank = 2\n"},
        ],
    )


def race(bench: Bench, label: str, changes: list[dict[str, str]]) -> list[int]:
    """Publish changes made from the same version at once; return exit codes."""
    operators = bench.deployment.folder / "operators"
    codes: list[int] = []
    errors: list[str] = []
    for number, change in enumerate(changes):
        operator = f"{label}-{number}"
        copy_folder(operators / "operator", operators / operator)
        folder = bench.config.with_name(f"race-{operator}")
        copy_folder(operators / operator, folder)
        write_config(folder, change)

        def publish(folder=folder, operator=operator) -> None:
            result = bench.deployment.try_publish(folder, operator)
            codes.append(result.returncode)
            errors.append(result.stderr)

        bench.in_background(publish)
    bench.join()
    print(errors)
    return sorted(codes)


@then("one publish is accepted and the other exits with code {code:d}")
def check_one_winner(context: Context, code: int) -> None:
    assert context.results == [0, code], context.results


@then("both publishes are accepted")
def check_both(context: Context) -> None:
    assert context.results == [0, 0], context.results


@then("every node has the newest configuration")
def check_newest(context: Context) -> None:
    context.bench.wait_for_one_version()


@when("the failure domains are cut for {cut_s:d} seconds")
def cut_domains(context: Context, cut_s: int) -> None:
    context.bench.cut("a", "b")
    context.cut_until_s = time.monotonic() + cut_s


@then("bookings and reads complete on every node during the cut")
def check_during_cut(context: Context) -> None:
    bench: Bench = context.bench
    while time.monotonic() < context.cut_until_s:
        for name in bench.deployment.instances:
            bench.deployment.wait_until(
                f"a booking to complete on {name}",
                lambda name=name: bench.completes(name),
            )
        time.sleep(0.5)


@then("a change published during the cut is in force everywhere after it")
def check_published(context: Context) -> None:
    bench: Bench = context.bench
    result = bench.deployment.try_publish(bench.changed_config())
    assert result.returncode == 0, result.stderr
    bench.heal()
    bench.deployment.wait_for_members()
    bench.wait_for_one_version()
