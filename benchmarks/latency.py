"""Measure the latency that nodes add to a call, one request at a time.

Alternates between a call sent directly to the target and a call through two nodes
(caller, issuer, inbound node, target). Run:
``python benchmarks/latency.py [--count N]``; the last line is JSON.
"""

import json
import sys
from pathlib import Path

import anyio
import defopt

from briardock.clock import SystemClock
from briardock_standins._client import HttpClient
from briardock_standins._http import (
    Address,
    HttpRequest,
    HttpResponse,
    parse_address,
)
from briardock_standins.catalogs import read_catalog, single_operation, target_plan
from briardock_standins.deployments import DeploymentSpec, ServiceSpec
from briardock_standins.harness import Deployment
from briardock_standins.load import quantile
from briardock_standins.plans import TargetPlan

CONFIG = Path(__file__).parent / "overload_config"
CALLED_SERVICE = "price"
ISSUER_SERVICE = "app"
WARM_UP_CALLS = 300
TIMEOUT_MS = 5_000.0


def make_spec() -> DeploymentSpec:
    """Return one instance each of the called service and of the issuer's service."""
    catalog = read_catalog(CONFIG)
    services = []
    for name in (CALLED_SERVICE, ISSUER_SERVICE):
        template = TargetPlan(name, single_operation(0.0))
        plan = target_plan(catalog, template, parallel=False)
        services.append(ServiceSpec(plan, ("a",)))
    return DeploymentSpec(tuple(services), CONFIG)


async def time_call(client: HttpClient, address: Address, path: str) -> float:
    """Return the latency of one call in ms.

    :raises RuntimeError: if it does not succeed
    """
    clock = SystemClock()
    request = HttpRequest("GET", path, ((b"x-nonce", b"n"),))
    start_ms = clock.now_ms()
    response = await client.request(address, request, TIMEOUT_MS)
    time_ms = clock.now_ms() - start_ms
    if not isinstance(response, HttpResponse) or response.status != 200:
        raise RuntimeError(f"{path} on {address} failed: {response}")
    return time_ms


async def measure(deployment: Deployment, count: int) -> dict[str, float]:
    """Return latency quantiles with and without nodes.

    :param deployment: running deployment
    :param count: calls of each kind
    """
    issuer = parse_address(deployment.entries(f"{ISSUER_SERVICE}-0")[0])
    target = parse_address(deployment.instances[f"{CALLED_SERVICE}-0"].address)
    client = HttpClient()
    direct: list[float] = []
    via_nodes: list[float] = []
    for number in range(WARM_UP_CALLS + count):
        path = f"/map/{number}"
        direct.append(await time_call(client, target, path))
        via_nodes.append(await time_call(client, issuer, f"/{CALLED_SERVICE}{path}"))
    await client.close()
    added = [b - a for a, b in zip(direct, via_nodes, strict=True)]
    return summarize(
        direct[WARM_UP_CALLS:], via_nodes[WARM_UP_CALLS:], added[WARM_UP_CALLS:]
    )


def summarize(
    direct: list[float], via_nodes: list[float], added: list[float]
) -> dict[str, float]:
    """Return the figures of the report in ms.

    ``added_p99_ms`` is the quantile of the paired differences;
    ``p99_difference_ms`` is the difference of the two quantiles.
    """
    direct, via_nodes, added = sorted(direct), sorted(via_nodes), sorted(added)
    result = {
        "direct_p50_ms": quantile(direct, 0.5),
        "direct_p99_ms": quantile(direct, 0.99),
        "nodes_p50_ms": quantile(via_nodes, 0.5),
        "nodes_p99_ms": quantile(via_nodes, 0.99),
        "added_p50_ms": quantile(added, 0.5),
        "added_p99_ms": quantile(added, 0.99),
        "p99_difference_ms": quantile(via_nodes, 0.99) - quantile(direct, 0.99),
    }
    return {name: round(value, 3) for name, value in result.items()}


def main(*, count: int = 4_000) -> None:
    """Measure the latency that nodes add to a call.

    :param count: calls of each kind
    """
    with Deployment(make_spec()) as deployment:
        result = anyio.run(
            measure, deployment, count, backend_options={"use_uvloop": True}
        )
    for name, value in result.items():
        print(f"{name:18} {value:.3f}")
    print(json.dumps({"count": count, **result}))


if __name__ == "__main__":
    sys.exit(defopt.run(main))
