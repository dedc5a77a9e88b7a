"""Faults by name; each one says how it is undone."""

import subprocess
from collections.abc import Callable

from bench import CONFIG, Bench, Probe, copy_folder, write_config
from briardock_standins.harness import target_name

Fault = Callable[[Bench, Probe, str], None]


def kill_issuer(bench: Bench, probe: Probe, runner: str) -> None:
    bench.deployment.kill(probe.issuer)
    bench.heal_later(lambda: bench.restart_node(probe.issuer))


def kill_running_node(bench: Bench, probe: Probe, runner: str) -> None:
    bench.deployment.kill(runner)
    bench.heal_later(lambda: bench.restart_node(runner))


def kill_target(bench: Bench, probe: Probe, runner: str) -> None:
    bench.deployment.kill(target_name(runner))
    bench.heal_later(lambda: bench.restart_target(runner))


def freeze(name_of: Callable[[Probe, str], str]) -> Fault:
    def apply(bench: Bench, probe: Probe, runner: str) -> None:
        name = name_of(probe, runner)
        bench.deployment.freeze(name)
        bench.heal_later(lambda: bench.deployment.resume(name))

    return apply


def cut(source: str, destination: str, mode: str) -> Fault:
    def apply(bench: Bench, probe: Probe, runner: str) -> None:
        bench.deployment.set_path(source, destination, mode)
        bench.heal_later(lambda: bench.deployment.set_path(source, destination, "open"))

    return apply


def delay_answers(bench: Bench, probe: Probe, runner: str) -> None:
    bench.deployment.set_path("a", "b", "open", 400.0)
    bench.heal_later(lambda: bench.deployment.set_path("a", "b", "open"))


def log_fault(mode: str, delay_ms: int = 0) -> Fault:
    def apply(bench: Bench, probe: Probe, runner: str) -> None:
        bench.deployment.set_log_faults(mode, delay_ms)
        bench.heal_later(lambda: bench.deployment.set_log_faults("none"))

    return apply


def target_fault(service: str, **faults: object) -> Fault:
    def apply(bench: Bench, probe: Probe, runner: str) -> None:
        names = [
            name for name in bench.deployment.instances if name.startswith(service)
        ]
        for name in names:
            bench.deployment.set_target_faults(name, **faults)

        def heal() -> None:
            for name in names:
                bench.deployment.set_target_faults(name)

        bench.heal_later(heal)

    return apply


def race_operators(bench: Bench, probe: Probe, runner: str) -> None:
    """Publish two changes of one file, made from the same version, at once."""
    results: list[subprocess.CompletedProcess[str]] = []
    for retries in (1, 2):
        folder = bench.config.with_name(f"config-{retries}")
        copy_folder(bench.config, folder)
        changed = CONFIG["10-bookings.ini"].replace(
            "class = view\n", f"class = view\nmax_body_kb = {retries}\n"
        )
        write_config(folder, {"10-bookings.ini": changed})
        bench.in_background(
            lambda folder=folder: results.append(bench.deployment.try_publish(folder))
        )
    bench.races.append(results)


def no_fault(bench: Bench, probe: Probe, runner: str) -> None:
    """Leave everything as it is, to show that the row itself is sound."""


FAULTS: dict[str, Fault] = {
    "none": no_fault,
    "issuer killed": kill_issuer,
    "running node killed": kill_running_node,
    "target killed": kill_target,
    "issuer frozen": freeze(lambda probe, runner: probe.issuer),
    "running node frozen": freeze(lambda probe, runner: runner),
    "target frozen": freeze(lambda probe, runner: target_name(runner)),
    "domains cut": cut("a", "b", "refuse"),
    "domains silent": cut("a", "b", "black-hole"),
    "platform cut": cut("a", "platform", "refuse"),
    "answers late": delay_answers,
    "log outage": log_fault("outage"),
    "log slow": log_fault("slow", 500),
    "log acknowledgement lost": log_fault("lose_ack"),
    "operators race": race_operators,
    "deep service slow": target_fault("wallet", slow_factor=4.0),
    "load lies": target_fault("bookings", lying_load=0.0),
}
