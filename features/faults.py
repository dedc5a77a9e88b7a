"""Faults by name; each registers the action that undoes it."""

import subprocess
from collections.abc import Callable

from bench import CONFIG, Bench, Probe, copy_folder, write_config
from briardock_standins.harness import target_name

Fault = Callable[[Bench, Probe, str], None]


def kill_issuer(bench: Bench, probe: Probe, running_node: str) -> None:
    bench.deployment.kill(probe.issuer)
    bench.add_heal_action(lambda: bench.restart_node(probe.issuer))


def kill_running_node(bench: Bench, probe: Probe, running_node: str) -> None:
    bench.deployment.kill(running_node)
    bench.add_heal_action(lambda: bench.restart_node(running_node))


def kill_target(bench: Bench, probe: Probe, running_node: str) -> None:
    bench.deployment.kill(target_name(running_node))
    bench.add_heal_action(lambda: bench.restart_target(running_node))


def freeze(name_of: Callable[[Probe, str], str]) -> Fault:
    def inject(bench: Bench, probe: Probe, running_node: str) -> None:
        name = name_of(probe, running_node)
        bench.deployment.freeze(name)
        bench.add_heal_action(lambda: bench.deployment.resume(name))

    return inject


def cut(source: str, destination: str, mode: str) -> Fault:
    def inject(bench: Bench, probe: Probe, running_node: str) -> None:
        bench.deployment.set_path(source, destination, mode)
        bench.add_heal_action(
            lambda: bench.deployment.set_path(source, destination, "open")
        )

    return inject


def delay_responses(bench: Bench, probe: Probe, running_node: str) -> None:
    bench.deployment.set_path("a", "b", "open", 400.0)
    bench.add_heal_action(lambda: bench.deployment.set_path("a", "b", "open"))


def log_fault(mode: str, delay_ms: int = 0) -> Fault:
    def inject(bench: Bench, probe: Probe, running_node: str) -> None:
        bench.deployment.set_log_faults(mode, delay_ms)
        bench.add_heal_action(lambda: bench.deployment.set_log_faults("none"))

    return inject


def target_fault(service: str, **faults: object) -> Fault:
    def inject(bench: Bench, probe: Probe, running_node: str) -> None:
        names = [
            name for name in bench.deployment.instances if name.startswith(service)
        ]
        for name in names:
            bench.deployment.set_target_faults(name, **faults)

        def heal() -> None:
            for name in names:
                bench.deployment.set_target_faults(name)

        bench.add_heal_action(heal)

    return inject


def race_operators(bench: Bench, probe: Probe, running_node: str) -> None:
    """Publish two changes of one file concurrently, both based on one version."""
    results: list[subprocess.CompletedProcess[str]] = []
    operators = bench.deployment.folder / "operators"
    for retries in (1, 2):
        operator = f"racer-{retries}"
        copy_folder(operators / "operator", operators / operator)
        folder = bench.config.with_name(f"config-{retries}")
        copy_folder(bench.config, folder)
        changed = CONFIG["10-bookings.ini"].replace(
            "class = view\n", f"class = view\nmax_body_kb = {retries}\n"
        )
        write_config(folder, {"10-bookings.ini": changed})
        bench.run_in_background(
            lambda folder=folder, operator=operator: results.append(
                bench.deployment.try_publish(folder, operator)
            )
        )
    bench.publish_races.append(results)


def no_fault(bench: Bench, probe: Probe, running_node: str) -> None:
    """Inject nothing; shows that the scenario passes without a fault."""


FAULTS: dict[str, Fault] = {
    "none": no_fault,
    "issuer killed": kill_issuer,
    "running node killed": kill_running_node,
    "target killed": kill_target,
    "issuer frozen": freeze(lambda probe, running_node: probe.issuer),
    "running node frozen": freeze(lambda probe, running_node: running_node),
    "target frozen": freeze(lambda probe, running_node: target_name(running_node)),
    "domains cut": cut("a", "b", "refuse"),
    "domains silent": cut("a", "b", "black-hole"),
    "platform cut": cut("a", "platform", "refuse"),
    "answers late": delay_responses,
    "log outage": log_fault("outage"),
    "log slow": log_fault("slow", 500),
    "log acknowledgement lost": log_fault("lose_ack"),
    "operators race": race_operators,
    "deep service slow": target_fault("wallet", slow_factor=4.0),
    "load lies": target_fault("bookings", lying_load=0.0),
}
