"""Counts of the services chosen for routes with several services."""

import json
import random

import pytest

from briardock.mesh.decisions import DecisionLog
from briardock.mesh.model import CallerLimits, Route, RoutingConfig, WeightedService
from briardock.mesh.routes import RouteTable
from briardock.mesh.service_choices import ServiceChoices
from briardock.mesh.telemetry import (
    MAX_WEIGHTED_ROUTES,
    OTHER_ROUTES,
    Telemetry,
)
from mesh_builders import make_route

SPLIT = make_route("r", "/a/", WeightedService("x", 3.0), WeightedService("y", 1.0))
PLAIN = make_route("p", "/b/", WeightedService("x", 1.0))


@pytest.mark.parametrize(
    ("requests", "expected"),
    [
        ([], []),
        ([(1, PLAIN, "x", True)], []),
        (
            [(1, SPLIT, "x", True), (1, SPLIT, "y", False)],
            [(1, {"x": 1, "y": 1}, {"y": 1})],
        ),
        (
            [(1, SPLIT, "x", True), (2, SPLIT, "y", True)],
            [(1, {"x": 1}, {}), (2, {"y": 1}, {})],
        ),
    ],
    ids=["none", "one service", "two services", "two configurations"],
)
def test_choices_are_counted_by_configuration(
    requests: list[tuple[int, Route, str, bool]],
    expected: list[tuple[int, dict[str, int], dict[str, int]]],
) -> None:
    lines: list[bytes] = []
    log = DecisionLog("n", lambda data: lines.append(data) or len(data))
    telemetry = Telemetry()
    choices = ServiceChoices(log, telemetry)
    tables = {
        version: RouteTable(
            RoutingConfig(version, (SPLIT,), CallerLimits(), b""), random.Random(1)
        )
        for version in (1, 2)
    }
    for version, route, service, was_sent in requests:
        choices.record_choice(tables[version], route, service)
        if not was_sent:
            choices.record_not_sent(tables[version], route, service)
    choices.log_counts()
    choices.log_counts()
    log.flush()
    logged = [json.loads(line) for line in b"".join(lines).splitlines()]
    assert [(e["version"], e["chosen"], e["not_sent"]) for e in logged] == expected
    assert all(e["weights"] == {"x": 3.0, "y": 1.0} for e in logged)
    for service in ("x", "y"):
        labels = {"route": "r", "service": service, "outcome": "chosen"}
        name = "briardock_weighted_requests_total"
        counted = telemetry.registry.get_sample_value(name, labels) or 0
        assert counted == sum(chosen.get(service, 0) for _, chosen, _ in expected)


def test_metrics_of_many_routes_are_bounded() -> None:
    telemetry = Telemetry()
    for number in range(3 * MAX_WEIGHTED_ROUTES):
        telemetry.record_weighted_request(f"r{number}", "x", "chosen")
    counted = telemetry.registry.get_sample_value(
        "briardock_weighted_requests_total",
        {"route": OTHER_ROUTES, "service": "x", "outcome": "chosen"},
    )
    assert counted == 2 * MAX_WEIGHTED_ROUTES
