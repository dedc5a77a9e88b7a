"""Run both example deployments, scaled down, and send actions of each class.

Run: ``python benchmarks/demo.py``. Exits with 1 if an action does not complete.
"""

import sys
from pathlib import Path

import anyio
import defopt

from briardock.clock import SystemClock
from briardock_standins.catalogs import (
    entry_actions,
    non_idempotent_operations,
    read_catalog,
    single_operation,
    target_plan,
)
from briardock_standins.deployments import DeploymentSpec, ServiceSpec
from briardock_standins.harness import Deployment
from briardock_standins.ledger import Told, find_violations
from briardock_standins.load import LoadGenerator
from briardock_standins.plans import LoadPlan, TargetPlan

EXAMPLES = Path(__file__).parent.parent / "examples"
DEPLOYMENTS = ("guatemala", "kenya")
INSTANCES = 2
SERVICE_MS = 5.0
SENDS_PER_ACTION = 2


def make_spec(folder: Path) -> DeploymentSpec:
    """Return a deployment with two instances of each service of a configuration."""
    catalog = read_catalog(folder)
    names = sorted({d for one in catalog.services.values() for d in one.domains})
    domains = {name: f"127.0.{i}.1" for i, name in enumerate(names or ["a"], 1)}
    services = []
    for service in catalog.services.values():
        template = TargetPlan(service.name, single_operation(SERVICE_MS))
        plan = target_plan(catalog, template, parallel=False)
        service_domains = (service.domains or tuple(domains))[:INSTANCES]
        instance_domains = (service_domains * INSTANCES)[:INSTANCES]
        services.append(ServiceSpec(plan, instance_domains))
    return DeploymentSpec(tuple(services), folder, domains=domains)


async def send_actions(deployment: Deployment, folder: Path) -> list[Told]:
    """Send each entry operation of a configuration a few times."""
    actions = entry_actions(read_catalog(folder))
    plan = LoadPlan(deployment.entries(), actions)
    generator = LoadGenerator(plan, SystemClock())
    for _ in range(SENDS_PER_ACTION):
        for action in sorted(actions, key=lambda one: one.class_name):
            print_result(await generator.perform(action))
    await generator.close()
    return generator.results


def print_result(result: Told) -> None:
    """Print the outcome of one action."""
    took_ms = result.end_ms - result.start_ms
    print(
        f"  {result.class_name:14} {result.operation:28} {result.outcome:9} "
        f"{result.status} {result.reason} {took_ms:.1f} ms"
    )


def run_deployment(name: str) -> bool:
    """Run one example; return whether all actions succeeded without a violation."""
    folder = EXAMPLES / name
    spec = make_spec(folder)
    with Deployment(spec) as deployment:
        version = deployment.status(next(iter(deployment.instances)))["configuration"]
        print(
            f"{name}: {len(deployment.instances)} nodes, "
            f"configuration version {version['version']}"
        )
        action_results = anyio.run(
            send_actions, deployment, folder, backend_options={"use_uvloop": True}
        )
        at_most_once = non_idempotent_operations(read_catalog(folder))
        violations = find_violations(
            deployment.target_ledgers(), [action_results], at_most_once
        )
    for violation in violations:
        print(f"  {violation.rule}: {violation.subject}: {violation.detail}")
    return not violations and all(one.succeeded for one in action_results)


def main() -> int:
    """Run both example deployments and send actions of each class."""
    results = [run_deployment(name) for name in DEPLOYMENTS]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(defopt.run(main))
