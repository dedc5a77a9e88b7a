"""Steps for requests, departures and configuration of a running deployment."""

import json
import math
import subprocess
import sys
import time

from behave import given, then, when
from behave.runner import Context

from bench import (
    CONFIG,
    RECOVERY_TIMEOUT_S,
    Bench,
    Probe,
    copy_folder,
    write_config,
)
from briardock_standins.harness import target_name
from briardock_standins.ledger import RunStarted
from raw_requests import REQUESTS, closes_on_garbage

HTTP_BYTES = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
CRASH_BODY = "crash-target"
MAX_CRASHES = 6


@given("a running deployment with seed {seed:d}")
def start_deployment_without_load(context: Context, seed: int) -> None:
    context.bench = Bench(seed, booking_ms=20.0)
    context.bench.start()
    context.probe = None


@then("these requests receive these responses")
def check_answers(context: Context) -> None:
    bench: Bench = context.bench
    node = next(iter(bench.deployment.instances.values()))
    for row in context.table:
        status, body = REQUESTS[row["request"]](bench, node)
        received = (status, json.loads(body)["reason"])
        assert received == (int(row["status"]), row["reason"]), (row["request"], body)
        assert json.loads(body)["remedy"], row["request"]


@then("unknown protocols on the call and gossip ports leave the members unchanged")
def check_unknown_protocols(context: Context) -> None:
    bench: Bench = context.bench
    node = next(iter(bench.deployment.instances.values()))
    before = bench.deployment.status(node.name)["members"]
    assert closes_on_garbage(node.ports["call"], HTTP_BYTES)
    assert closes_on_garbage(node.ports["call"], b"\xff" * 64)
    # zmq keeps a connection of an unknown protocol open, but reads no more from it
    # than its message limit.
    closes_on_garbage(node.ports["gossip"], HTTP_BYTES)
    closes_on_garbage(node.ports["gossip"], b"\x01\x00\x05\x00hello")
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


@when("a booking that crashes its target is sent with new keys until it is refused")
def send_crashing_booking(context: Context) -> None:
    bench: Bench = context.bench
    names = list(bench.deployment.instances)
    context.crash_results = []
    for turn in range(MAX_CRASHES):
        probe = bench.make_probe(names[turn % len(names)], CRASH_BODY)
        result = bench.send(probe, probe.issuer)
        context.crash_results.append(result)
        if result.reason == "quarantined":
            return
        bench.deployment.wait_until(
            "the crashed target to end", lambda: bool(bench.ended_targets())
        )
        bench.restart_ended()
        bench.deployment.wait_for_members()


@then('it has crashed two targets and is refused as "{reason}" on every node')
def check_quarantined(context: Context, reason: str) -> None:
    bench: Bench = context.bench
    reasons = [result.reason for result in context.crash_results]
    assert reasons == ["target-died", "target-died", reason], reasons
    assert context.crash_results[-1].outcome == "not-run"

    def refused(name: str) -> bool:
        probe = bench.make_probe(name, CRASH_BODY)
        return bench.send(probe, name).reason == reason

    for name in bench.deployment.instances:
        assert refused(name), name


@then("the operator lists the quarantine entry and lifts it")
def lift_quarantine(context: Context) -> None:
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

    def lifted_everywhere() -> bool:
        return not any(
            entry["refused"]
            for name in bench.deployment.instances
            for entry in bench.deployment.admin_get(name, "/quarantine")["entries"]
        )

    bench.deployment.wait_until("the lift to reach every node", lifted_everywhere)


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the ``briardock`` command."""
    return subprocess.run(
        [sys.executable, "-m", "briardock.cli", *arguments],
        capture_output=True,
        text=True,
        timeout=RECOVERY_TIMEOUT_S,
        check=False,
    )


def wait_for_left_notice(bench: Bench, name: str) -> float:
    """Wait until a peer sees that a node has left.

    Returns the monotonic time in ms of the last check that did not see it yet.
    """
    other = next(n for n in bench.deployment.instances if n != name)
    last_absent_ms = time.monotonic() * 1000.0

    def arrived() -> bool:
        nonlocal last_absent_ms
        now_ms = time.monotonic() * 1000.0
        members = bench.deployment.status(other)["members"]
        states = {member["node_id"]: member["state"] for member in members}
        if states.get(name) == "left":
            return True
        last_absent_ms = now_ms
        return False

    bench.deployment.wait_until(f"{name} to announce that it has left", arrived)
    return last_absent_ms


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
        context.left_ms = wait_for_left_notice(bench, name)
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


@then("no caller received an unknown outcome")
def check_no_unknown_outcome(context: Context) -> None:
    unknown = [one for one in context.bench.load_results if one.outcome == "unknown"]
    # Two kinds are expected: callers that connect to an ended process find its port
    # closed, and a key first used after its issuer has left has no issuer.
    left_ms = getattr(context, "left_ms", math.inf)
    # A resend that reached no node is unknown only because of an earlier attempt,
    # which is in this list as well.
    lost = [
        one
        for one in unknown
        if one.reason != "no-connection"
        and not one.reason.startswith("caller-connect")
        and not (one.reason == "issuer-gone" and one.start_ms >= left_ms)
    ]
    actions = {one.action for one in lost}
    assert not lost, [
        one for one in context.bench.load_results if one.action in actions
    ]


@when("the log is out of service")
def stop_log(context: Context) -> None:
    context.bench.deployment.set_log_faults("outage")
    context.bench.add_heal_action(
        lambda: context.bench.deployment.set_log_faults("none")
    )


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
    # The cut does not separate the only peer in the same domain, so it is frozen.
    peer = next(
        n
        for n, one in bench.deployment.instances.items()
        if one.domain == domain and n != name
    )
    bench.deployment.freeze(peer)
    bench.add_heal_action(lambda: bench.deployment.resume(peer))
    for other in ("platform", *(d for d in bench.deployment.spec.domains)):
        if other != domain:
            bench.cut(domain, other)
    bench.deployment.kill(name)
    bench.restart_node(name)


@then("its status reports that neither can be reached")
def check_cut_off(context: Context) -> None:
    def reports_cut_off() -> bool:
        state = context.bench.deployment.status(context.name)["configuration"]["state"]
        return state == "none: neither the log nor another node can be reached"

    context.bench.deployment.wait_until("the status to report it", reports_cut_off)


@then("it joins without a restart once the cut is healed")
def check_joins(context: Context) -> None:
    context.bench.heal()
    context.bench.deployment.wait_for_configuration()
    context.bench.deployment.wait_for_members()


@when("two operators change one file from the same version")
def race_one_file(context: Context) -> None:
    context.exit_codes = race(
        context.bench,
        "one",
        [
            {"20-wallet.ini": CONFIG["20-wallet.ini"] + "max_body_kb = 8\n"},
            {"20-wallet.ini": CONFIG["20-wallet.ini"] + "max_body_kb = 16\n"},
        ],
    )


@when("two operators change different files from the same version")
def race_two_files(context: Context) -> None:
    context.exit_codes = race(
        context.bench,
        "two",
        [
            {"30-team-a.ini": "[class extra-a]\nrank = 2\n"},
            {"40-team-b.ini": "[class extra-b]\nrank = 2\n"},
        ],
    )


def race(bench: Bench, label: str, changes: list[dict[str, str]]) -> list[int]:
    """Publish changes based on one version concurrently; return sorted exit codes."""
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

        bench.run_in_background(publish)
    bench.join()
    print(errors)
    return sorted(codes)


@then("one publish is accepted and the other exits with code {code:d}")
def check_one_winner(context: Context, code: int) -> None:
    assert context.exit_codes == [0, code], context.exit_codes


@then("both publishes are accepted")
def check_both(context: Context) -> None:
    assert context.exit_codes == [0, 0], context.exit_codes


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
                lambda name=name: bench.requests_complete(name),
            )
        time.sleep(0.5)


@then("a change published during the cut is in force on every node after it")
def check_published(context: Context) -> None:
    bench: Bench = context.bench
    result = bench.deployment.try_publish(bench.changed_config())
    assert result.returncode == 0, result.stderr
    bench.heal()
    bench.deployment.wait_for_members()
    bench.wait_for_one_version()
