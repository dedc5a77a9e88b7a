"""Services that the requests of a route need."""

import pytest

from briardock.mesh.members import CallCounts, MemberTable, RouteCalls
from briardock.overload.admission import OPEN_THRESHOLD
from briardock.overload.attribution import CallEstimate, CallRates, pooled_estimate
from briardock.overload.board import EntryThresholds, ThresholdBoard, ThresholdNews
from briardock.overload.chain import (
    ChainThreshold,
    InstanceThresholds,
    LearnedThresholds,
)
from briardock.overload.needs import (
    RouteNeeds,
    attribute_calls,
    needed_services,
    service_calls,
)
from mesh_builders import record

READ, CHECK, MOVE = ("archives", "read"), ("board", "check"), ("board", "move")
GAME = ("replay", "game")
ROUTE_CALLS = {
    "archives": {"download": {}, "read": {}},
    "replay": {"history": {READ: 1.0, CHECK: 0.3}, "game": {READ: 0.5}},
    "tournaments": {"fee": {GAME: 1.0}, "rare": {GAME: 0.15}},
    "many": {"known": {}, "": {READ: 1.0}},
    "loop": {"a": {("loop", "b"): 1.0}, "b": {("loop", "a"): 1.0, READ: 1.0}},
}


@pytest.mark.parametrize(
    ("service", "route", "expected"),
    [
        ("archives", "download", set()),
        ("replay", "history", {"archives", "board"}),
        ("tournaments", "fee", {"replay", "archives"}),
        # 0.15 of its requests call replay, and 0.075 of them archives.
        ("tournaments", "rare", {"replay"}),
        # Nothing is known of the route, or of the whole service.
        ("replay", "new", set()),
        ("older", "any", {"board", "replay"}),
        # The service has more routes than its nodes tell apart.
        ("many", "known", set()),
        ("many", "new", {"archives"}),
        ("loop", "a", {"archives"}),
    ],
)
def test_a_route_needs_what_its_own_requests_call(
    service: str, route: str, expected: set[str]
) -> None:
    """All routes of a service were charged with all that its targets call."""
    called = {"older": {"board"}, "board": {"replay"}}
    assert needed_services(service, route, ROUTE_CALLS.get, called) == expected


def test_requests_that_arrive_at_all_nodes_are_not_calls() -> None:
    """Callers of all routes send to the nodes of all services."""
    found = service_calls(
        {
            "archives": CallRates({"read": 100.0}, {MOVE: 15.0}),
            "replay": CallRates({"history": 20.0}, {MOVE: 11.0, READ: 20.0}),
            "tournaments": CallRates({"fee": 5.0}, {MOVE: 14.0, GAME: 5.0}),
        }
    )
    assert found == {"archives": {}, "replay": {READ: 20.0}, "tournaments": {GAME: 5.0}}


@pytest.mark.parametrize(
    ("history", "game", "expected"),
    [
        # The estimates explain the calls.
        ((1.0, 0.1), (0.0, 0.1), {"history"}),
        # They do not: the calls may belong to any route.
        ((0.1, 0.05), (0.0, 0.05), {"history", "game"}),
        # Nothing is known of one route.
        ((1.0, 0.1), (0.0, 2.0), {"history", "game"}),
        # A margin that could just include the calls does not charge a route.
        ((1.0, 0.1), (0.0, 0.3), {"history"}),
    ],
)
def test_calls_of_a_service_belong_to_some_of_its_routes(
    history: tuple[float, float], game: tuple[float, float], expected: set[str]
) -> None:
    """Calls that are made late in long runs were attributed to no route, and nothing
    was refused for the service that they overloaded.
    """
    estimates = {
        "history": CallEstimate(0.1, {READ: history}),
        "game": CallEstimate(0.1, {READ: game}),
    }
    runs = {"history": 10.0, "game": 10.0}
    found = attribute_calls(estimates, runs, {READ: 10.0})
    assert {route for route, calls in found.items() if READ in calls} == expected


def test_calls_belong_to_the_routes_that_are_not_told_apart() -> None:
    """Calls that these explain were charged to all routes of the service."""
    estimates = {
        "history": CallEstimate(0.05, {READ: (0.0, 0.05)}),
        "": CallEstimate(0.05, {READ: (1.0, 0.05)}),
    }
    runs = {"history": 10.0, "a": 5.0, "b": 5.0}
    found = attribute_calls(estimates, runs, {READ: 10.0})
    assert found == {"history": {}, "": {READ: 1.0}}


def make_members() -> MemberTable:
    members = MemberTable(record("own", service="portal"))
    members.merge(
        record(
            "a",
            service="archives",
            called_services=["board"],
            route_calls={"download": RouteCalls(0.05, [("board", "move", 0.02, 0.05)])},
            call_counts=CallCounts([("download", 5.0)], [("board", "move", 3.0)]),
        )
    )
    members.merge(
        record(
            "r",
            service="replay",
            route_calls={"history": RouteCalls(0.1, [("board", "check", 1.0, 0.1)])},
            call_counts=CallCounts(
                [("history", 5.0)], [("board", "check", 5.0), ("board", "move", 3.0)]
            ),
        )
    )
    members.merge(record("b", service="board"))
    return members


def test_a_full_service_is_charged_only_to_routes_that_need_it() -> None:
    """1,634 of 4,355 downloads were refused while `board` was full, which they never
    reach, and their own service rejected none of 56,858 arrivals.
    """
    board, learned = ThresholdBoard(), LearnedThresholds()
    entry = EntryThresholds(make_members(), board, learned)
    chain = {"board": ChainThreshold(1.0, 0.0)}
    learned.learn("archives", "a", InstanceThresholds(OPEN_THRESHOLD, chain), 3.0, 50.0)
    assert entry.of_chain("archives", "download", 3.0, 50.0) == OPEN_THRESHOLD
    board.record(ThresholdNews("b", "board", 1, 1.5, 1.5, 100.0), 50.0)
    assert entry.of_chain("archives", "download", 3.0, 50.1) == OPEN_THRESHOLD
    assert entry.of_chain("replay", "history", 3.0, 50.1) == 1.5


def test_a_route_that_turns_out_to_be_of_callers_is_no_call() -> None:
    """What nodes published before that must not outlast it."""
    members = make_members()
    needs = RouteNeeds(members)
    assert needs.of_route("replay", "history", 50.0) == {"board"}
    assert needs.called_by("replay", 50.0) == {"board"}
    members.merge(record("b", version=2, service="board", entry_routes=["check"]))
    assert needs.of_route("replay", "history", 52.0) == set()


def test_records_of_a_service_are_merged_at_most_every_two_seconds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Merging the records of all nodes with each change of one of them took the time
    of the requests that were admitted meanwhile.
    """
    members = make_members()
    needs = RouteNeeds(members)
    pooled: list[int] = []

    def count(estimates: list[CallEstimate]) -> CallEstimate:
        pooled.append(len(estimates))
        return pooled_estimate(estimates)

    monkeypatch.setattr("briardock.overload.needs.pooled_estimate", count)
    for step in range(500):
        members.merge(record("b", version=2 + step, service="board"))
        needs.of_route("replay", "history", 50.0 + step / 100)
    assert len(pooled) == 3
