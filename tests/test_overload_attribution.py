"""Attribution of calls to routes by their counts."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

import pytest

from briardock.overload.attribution import (
    MAX_CALLEES,
    OTHER_ROUTES,
    CallAttribution,
    CallEstimate,
    calls_callee,
    pooled_estimate,
)

HISTORY, DOWNLOAD = 1, 2
READ, MOVE = ("archives", "read"), ("board", "move")


def poisson(rng: random.Random, mean: float) -> int:
    count, left = 0, rng.expovariate(1.0)
    while left < mean:
        count += 1
        left += rng.expovariate(1.0)
    return count


@dataclass
class Load:
    """Load of one target.

    :param runs: mean runs per period by route
    :param calls: calls per run by route and callee
    :param delay: periods from a run to its calls
    :param callers: mean requests of callers per period, by callee, that look like calls
    :param begins: period at which all traffic begins
    """

    runs: dict[int, float]
    calls: dict[tuple[int, tuple[str, str]], float]
    delay: int = 0
    callers: dict[tuple[str, str], float] | None = None
    begins: int = 0


def attribute(load: Load, periods: int = 120, seed: int = 1) -> CallAttribution:
    rng = random.Random(seed)
    found = CallAttribution()
    due: dict[int, list[tuple[str, str]]] = {}
    for period in range(periods):
        for callee in due.pop(period, []):
            found.record_call(*callee)
        if period >= load.begins:
            for route, mean in load.runs.items():
                for _ in range(poisson(rng, mean)):
                    found.record_run(route)
                    for (of_route, callee), rate in load.calls.items():
                        count = int(rate) + (rng.random() < rate % 1.0)
                        if of_route == route and not load.delay:
                            for _ in range(count):
                                found.record_call(*callee)
                        elif of_route == route:
                            later = due.setdefault(period + load.delay, [])
                            later += [callee] * count
            for callee, mean in (load.callers or {}).items():
                for _ in range(poisson(rng, mean)):
                    found.record_call(*callee)
        found.update()
    return found


@pytest.mark.parametrize(
    ("load", "expected"),
    [
        # One of two routes of a target makes the calls.
        (
            Load({HISTORY: 6, DOWNLOAD: 6}, {(HISTORY, READ): 1.0}),
            {(HISTORY, READ): 1.0, (DOWNLOAD, READ): 0.0},
        ),
        # Some of its requests do.
        (
            Load({HISTORY: 6, DOWNLOAD: 6}, {(HISTORY, READ): 0.4}),
            {(HISTORY, READ): 0.4, (DOWNLOAD, READ): 0.0},
        ),
        # Calls are made some time after the start of the run.
        (
            Load({HISTORY: 6, DOWNLOAD: 6}, {(HISTORY, READ): 2.0}, delay=3),
            {(HISTORY, READ): 2.0, (DOWNLOAD, READ): 0.0},
        ),
        # Requests of callers on a route that is not known look like calls.
        (
            Load({HISTORY: 3, DOWNLOAD: 3}, {(HISTORY, READ): 1.0}, 0, {MOVE: 3.0}),
            {(HISTORY, READ): 1.0, (HISTORY, MOVE): 0.0, (DOWNLOAD, MOVE): 0.0},
        ),
        # They begin when the runs begin.
        (
            Load({DOWNLOAD: 12}, {}, 0, {MOVE: 6.0}, begins=40),
            {(DOWNLOAD, MOVE): 0.0},
        ),
    ],
)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_calls_are_attributed_to_the_routes_that_make_them(
    load: Load, expected: dict[tuple[int, tuple[str, str]], float], seed: int
) -> None:
    """A target that made no calls counted as calling `board`, as callers sent requests
    for it to the node; downloads were then refused while `board` was full.
    """
    # Several nodes of a service see the same load.
    nodes = [attribute(load, seed=100 * seed + n) for n in range(12)]
    for (route, callee), rate in expected.items():
        estimates = [n.estimates[route] for n in nodes if route in n.estimates]
        found, error = pooled_estimate(estimates).of_callee(callee)
        assert calls_callee(found, error) == (rate > 0.0)
        # The standard error is what other nodes weigh the estimate by.
        assert abs(found - rate) < 4.0 * error
        assert error < 0.35


@pytest.mark.parametrize(
    "routes",
    [
        # More routes than a node tells apart.
        range(1, 21),
        # Nodes of the previous release name no routes.
        [0],
    ],
)
def test_calls_of_routes_that_are_not_told_apart_are_known(
    routes: Sequence[int],
) -> None:
    """With 20 routes the calls of 14 were attributed to none, and nothing was refused
    for the service that they overloaded.
    """
    runs = {route: 24.0 / len(routes) for route in routes}
    load = Load(runs, {(route, READ): 1.0 for route in routes})
    found = attribute(load).estimates[OTHER_ROUTES]
    assert calls_callee(*found.of_callee(READ))


def test_what_no_longer_holds_is_forgotten() -> None:
    """Services would be charged to a route for which a target was changed."""
    found = attribute(Load({HISTORY: 6}, {(HISTORY, READ): 1.0}), periods=200)
    assert calls_callee(*found.estimates[HISTORY].of_callee(READ))
    rng = random.Random(4)
    for _ in range(800):
        for _ in range(poisson(rng, 6)):
            found.record_run(HISTORY)
        found.update()
    assert not calls_callee(*found.estimates[HISTORY].of_callee(READ))


def test_silence_changes_nothing() -> None:
    """The absence of requests must not make a node forget what they need."""
    found = attribute(Load({HISTORY: 6}, {(HISTORY, READ): 1.0}))
    before = dict(found.estimates)
    for _ in range(2_000):
        found.update()
    assert found.estimates == before


def test_published_state_is_bounded_and_stays_as_it_is_under_steady_load() -> None:
    """Each change goes to all nodes."""
    many = {("s", f"r{n}"): 1.0 for n in range(100)}
    found = attribute(Load({n: 2.0 for n in range(30)}, {}, 0, many))
    assert len(found.estimates) <= 6
    assert all(len(e.calls) <= MAX_CALLEES for e in found.estimates.values())
    assert len(found.published_calls_per_s) <= MAX_CALLEES
    assert len(found.published_runs_per_s) <= 16
    steady = Load({HISTORY: 6, DOWNLOAD: 6}, {(HISTORY, READ): 1.0})
    changes = sum(
        attribute(steady, 400 + n).estimates != attribute(steady, 404 + n).estimates
        for n in range(0, 80, 4)
    )
    assert changes <= 8


def test_an_estimate_with_little_evidence_weighs_little() -> None:
    sure, unsure = CallEstimate(0.05, {READ: (0.0, 0.05)}), CallEstimate(1.0, {})
    wrong = CallEstimate(1.0, {READ: (3.0, 1.0)})
    rate, error = pooled_estimate([sure, unsure, wrong]).of_callee(READ)
    assert rate < 0.05
    assert error < 0.06
