"""Selection of routes and services."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from briardock.mesh.model import CallerLimits, Route, RoutingConfig, WeightedService
from briardock.mesh.routes import RouteTable
from mesh_builders import make_route


def make_route_table(*routes: Route, rng: random.Random | None = None) -> RouteTable:
    config = RoutingConfig(1, routes, CallerLimits(), b"")
    return RouteTable(config, rng or random.Random(1))


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        (b"/a/x", "short"),
        (b"/a/b/x?q=/a/b/c/", "long"),
        (b"/a/b/", "long"),
        (b"/a/b", "short"),
        (b"/ab/x", None),
        (b"/", None),
    ],
)
def test_longest_prefix_of_the_path_wins(path: bytes, expected: str | None) -> None:
    matched = make_route_table(
        make_route("short", "/a/"), make_route("long", "/a/b/")
    ).match("h", path)
    assert (matched.name if matched else None) == expected


@given(
    st.lists(st.integers(1, 20), min_size=2, max_size=4),
    st.integers(50, 300),
    st.randoms(use_true_random=False),
)
def test_each_service_gets_its_share(
    weights: list[int], count: int, rng: random.Random
) -> None:
    """Shares must lie within 0.1 of the weights over 50 requests or more."""
    weighted_services = [
        WeightedService(str(i), float(w)) for i, w in enumerate(weights)
    ]
    route = make_route("r", "/a/", *weighted_services)
    routes = make_route_table(route, rng=rng)
    picks = [routes.pick_service(route) for _ in range(count)]
    for weighted_service in weighted_services:
        share = picks.count(weighted_service.service) / count
        assert abs(share - weighted_service.weight / sum(weights)) <= 0.1


@pytest.mark.parametrize(
    ("weights", "tables", "requests_per_table", "bound"),
    [
        pytest.param((75, 25), 200, 1, 0.2, id="one request each"),
        pytest.param((75, 25), 100, 2, 0.2, id="two requests each"),
        pytest.param((60, 25, 15), 300, 1, 0.1, id="three services"),
        pytest.param((50, 50), 300, 1, 0.1, id="equal weights"),
        pytest.param((1, 0), 300, 1, 0.1, id="no weight"),
        pytest.param((90, 10), 79, 5, 0.1, id="five requests each"),
    ],
)
def test_tables_of_many_nodes_do_not_begin_with_the_same_service(
    weights: tuple[float, ...], tables: int, requests_per_table: int, bound: float
) -> None:
    """Each node, start and configuration has a table of its own."""
    weighted_services = [
        WeightedService(str(i), float(w)) for i, w in enumerate(weights)
    ]
    route = make_route("r", "/a/", *weighted_services)
    rng = random.Random(1)
    picks: list[str] = []
    for _ in range(tables):
        routes = make_route_table(route, rng=rng)
        picks += [routes.pick_service(route) for _ in range(requests_per_table)]
    for weighted_service in weighted_services:
        share = picks.count(weighted_service.service) / len(picks)
        assert abs(share - weighted_service.weight / sum(weights)) <= bound
