"""Measure configuration propagation, and calls to a target after its leave notice.

Runs 12 nodes in three failure domains with a network delay of 1.5 ms between them.
Publishes a series of changes and polls the version of every node; then terminates a
target under load and finds the last call that started on it after its notice. Run:
``python benchmarks/propagation.py``; the last line is JSON.
"""

import json
import shutil
import sys
import tempfile
from pathlib import Path

import anyio
import anyio.to_thread
import defopt

from briardock.clock import SystemClock
from briardock_standins._client import HttpClient
from briardock_standins._http import HttpRequest, HttpResponse, parse_address
from briardock_standins.catalogs import read_catalog, single_operation, target_plan
from briardock_standins.deployments import DeploymentSpec, ServiceSpec
from briardock_standins.harness import Deployment, target_name
from briardock_standins.ledger import Notice, RunStarted, Told, read_ledger
from briardock_standins.load import LoadGenerator, quantile
from briardock_standins.plans import ActionPlan, LoadPlan, Phase, TargetPlan

CONFIG = Path(__file__).parent / "overload_config"
CHANGED_FILE = "zz-change.ini"
DOMAINS = {"a": "127.0.1.1", "b": "127.0.2.1", "c": "127.0.3.1"}
DOMAIN_DELAY_MS = 1.5
INSTANCES_PER_DOMAIN = 4
CALLED_SERVICE = "price"
POLL_S = 0.005
TIMEOUT_MS = 10_000.0
LEAVE_LOAD_RATE_PER_S = 200.0
LEAVE_LOAD_S = 6.0
LEAVE_AFTER_S = 1.5


def make_spec(seed: int) -> DeploymentSpec:
    """Return 12 instances of one service over three failure domains."""
    template = TargetPlan(CALLED_SERVICE, single_operation(10.0), slots=64)
    plan = target_plan(read_catalog(CONFIG), template, parallel=False)
    service = ServiceSpec(plan, tuple(DOMAINS) * INSTANCES_PER_DOMAIN)
    return DeploymentSpec(
        (service,),
        CONFIG,
        domains=DOMAINS,
        relay=True,
        delay_ms=DOMAIN_DELAY_MS,
        seed=seed,
    )


async def wait_for_version(client: HttpClient, admin: str, version: int) -> float:
    """Wait for a version on a node; return the monotonic time in ms when seen."""
    request = HttpRequest("GET", "/status")
    clock = SystemClock()
    while True:
        response = await client.request(parse_address(admin), request, TIMEOUT_MS)
        if isinstance(response, HttpResponse) and response.status == 200:
            version_in_force = json.loads(response.body)["configuration"]["version"]
            if version_in_force is not None and version_in_force >= version:
                return clock.now_ms()
        await anyio.sleep(POLL_S)


async def read_next_offset(client: HttpClient, deployment: Deployment) -> int:
    """Return the offset of the next append to the configuration stream."""
    log = parse_address(f"127.0.0.1:{deployment.log_port}")
    request = HttpRequest("GET", "/streams/configuration?from=1000000000")
    response = await client.request(log, request, TIMEOUT_MS)
    assert isinstance(response, HttpResponse), response
    return int(json.loads(response.body)["next"])


async def wait_for_append(
    client: HttpClient, deployment: Deployment, next_offset: int
) -> float:
    """Wait for a new record in the log; return the monotonic time in ms when seen."""
    while await read_next_offset(client, deployment) <= next_offset:
        await anyio.sleep(POLL_S)
    return SystemClock().now_ms()


async def measure_publish(
    deployment: Deployment, folder: Path, round_number: int
) -> list[float]:
    """Publish one change and return the time to each node in ms, sorted.

    Times are relative to when the record was seen in the log. The polling interval
    is 5 ms.
    """
    text = f"[operation price.map]\ndeadline_ms = {2_000 + round_number}\n"
    (folder / CHANGED_FILE).write_text(text)
    names = list(deployment.instances)
    version_before = max(
        deployment.status(name)["configuration"]["version"] for name in names
    )
    client = HttpClient()
    next_offset = await read_next_offset(client, deployment)
    appended_at_ms: list[float] = []
    seen_at_ms: list[float] = []

    async def watch_log() -> None:
        appended_at_ms.append(await wait_for_append(client, deployment, next_offset))

    async def watch_node(name: str) -> None:
        admin = deployment.instances[name].admin
        seen_at_ms.append(await wait_for_version(client, admin, version_before + 1))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch_log)
        for name in names:
            tasks.start_soon(watch_node, name)
        await anyio.to_thread.run_sync(deployment.publish, folder)
    await client.close()
    return sorted(max(at_ms - appended_at_ms[0], 0.0) for at_ms in seen_at_ms)


async def measure_leaving(deployment: Deployment, seed: int) -> dict[str, float]:
    """Terminate a target under load; return figures of calls after its notice."""
    leaving = next(iter(deployment.instances))
    action = ActionPlan("price.map", "/map/{n}")
    plan = LoadPlan(
        deployment.entries(),
        (action,),
        (Phase(LEAVE_LOAD_S),),
        LEAVE_LOAD_RATE_PER_S,
        seed=seed,
    )
    generator = LoadGenerator(plan, SystemClock())
    results: list[Told] = []

    async def load() -> None:
        results.extend(await generator.run())

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(load)
        await anyio.sleep(LEAVE_AFTER_S)
        deployment.terminate(target_name(leaving))
    exit_code = deployment.wait_for_exit(target_name(leaving))
    entries = read_ledger(deployment.instances[leaving].ledgers[-1])
    notice_ms = next(e.at_ms for e in entries if isinstance(e, Notice))
    starts = [e.at_ms for e in entries if isinstance(e, RunStarted)]
    starts_after_notice = [at_ms for at_ms in starts if at_ms > notice_ms]
    return {
        "last_call_after_notice_ms": round(
            max(starts_after_notice, default=notice_ms) - notice_ms, 1
        ),
        "calls_after_notice": len(starts_after_notice),
        "failed_actions": sum(not one.succeeded for one in results),
        "actions": len(results),
        "exit_code": exit_code,
    }


async def measure(deployment: Deployment, rounds: int, seed: int) -> dict[str, object]:
    """Run all measurements against one deployment."""
    folder = Path(tempfile.mkdtemp(prefix="briardock-config-"))
    try:
        for file in CONFIG.glob("*.ini"):
            shutil.copy(file, folder)
        all_nodes_ms: list[float] = []
        first_node_ms: list[float] = []
        for number in range(rounds):
            times = await measure_publish(deployment, folder, number)
            first_node_ms.append(times[0])
            all_nodes_ms.append(times[-1])
            print(f"publish {number}: first {times[0]:.0f} ms, all {times[-1]:.0f} ms")
    finally:
        shutil.rmtree(folder)
    leaving = await measure_leaving(deployment, seed)
    return {
        "nodes": len(deployment.instances),
        "publishes": rounds,
        "first_node_p50_ms": round(quantile(sorted(first_node_ms), 0.5)),
        "all_nodes_p50_ms": round(quantile(sorted(all_nodes_ms), 0.5)),
        "all_nodes_max_ms": round(max(all_nodes_ms)),
        **leaving,
    }


def main(*, rounds: int = 10, seed: int = 1) -> None:
    """Measure configuration propagation to 12 nodes.

    :param rounds: changes published one after another
    :param seed: seed of all processes
    """
    with Deployment(make_spec(seed)) as deployment:
        result = anyio.run(
            measure, deployment, rounds, seed, backend_options={"use_uvloop": True}
        )
    print(json.dumps(result))


if __name__ == "__main__":
    sys.exit(defopt.run(main))
