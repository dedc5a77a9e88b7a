"""Entry routes and called services."""

import pytest

from briardock.mesh.callgraph import (
    CALL_MEMORY_S,
    MIN_KEYED_PER_CALL,
    MIN_KEYED_REQUESTS,
    MIN_PUBLISHED_CALLS,
    CalledServices,
    EntryRoutes,
)
from briardock.mesh.members import MemberTable
from mesh_builders import FakeClock, make_route, make_target, record


def test_request_at_an_idle_target_marks_an_entry_route(clock: FakeClock) -> None:
    members, local_target = MemberTable(record("own")), make_target()
    published: list[str] = []
    entry_routes = EntryRoutes(members, local_target, lambda: published.append("x"))
    route = make_route("r", "/a/")
    clock.now += 10
    local_target._adjust_counts(running=1)
    assert not entry_routes.observe(route, 5.0)
    local_target._adjust_counts(running=-1)
    clock.now += 0.5
    assert not entry_routes.observe(route, 5.0) and not published
    clock.now += 1.0
    entry_routes.observe(route, 5.0)
    assert entry_routes.observe(route, 5.0) and published == ["x"]


def test_no_route_is_learned_while_requests_of_an_earlier_process_may_run(
    clock: FakeClock,
) -> None:
    """Calls of requests that began before a restart look like callers' requests."""
    members = MemberTable(record("own"))
    entry_routes = EntryRoutes(members, make_target(), lambda: None)
    clock.now += 3.0
    entry_routes.observe(make_route("r", "/a/"), 5.0)
    assert not members.entry_routes


def test_few_requests_of_callers_do_not_count_as_calls() -> None:
    """Counted as calls, callers' probes can close a cycle of services in which a low
    threshold persists.
    """
    called = CalledServices()
    for period in range(40):
        for _ in range(20):
            called.record_call("maps")
        if period % 4 == 0:
            called.record_call("jobs")
        called.update(target_arrivals=10)
    assert called.names == ["maps"]


ROUTE = make_route("r", "/a/")
FEW = 5


@pytest.mark.parametrize(
    ("case", "calls", "pause_s", "keyed", "expected"),
    [
        ("only keys", 0, 0.0, 1, True),
        ("one call, one key", 1, 0.0, 1, False),
        ("one call, few keys", 1, 0.0, MIN_KEYED_REQUESTS - 1, False),
        ("one call, many keys", 1, 0.0, MIN_KEYED_REQUESTS, True),
        ("many calls, many keys", 100, 0.0, 100 * MIN_KEYED_PER_CALL, False),
        ("many calls, most with keys", 100, 0.0, 100 * MIN_KEYED_PER_CALL + 1, True),
        ("calls a while ago", 100, CALL_MEMORY_S - 1.0, FEW, False),
        ("calls long ago", 100, CALL_MEMORY_S + 1.0, 1, True),
    ],
)
def test_requests_with_keys_mark_a_route_only_if_targets_do_not_call_it(
    clock: FakeClock,
    case: str,
    calls: int,
    pause_s: float,
    keyed: int,
    expected: bool,
) -> None:
    """A single request with a key marked a route of targets, whose calls got 401 from
    then on. A request without a key must not keep a route of clients open either.
    """
    members, local_target = MemberTable(record("own")), make_target()
    entry_routes = EntryRoutes(members, local_target, lambda: None)
    clock.now += 10
    local_target._adjust_counts(running=1)
    for _ in range(calls):
        entry_routes.record_call(ROUTE, 5.0)
    clock.now += pause_s
    entry_routes.update_calls()
    for _ in range(keyed):
        assert not entry_routes.needs_key(ROUTE)
        entry_routes.record_key(ROUTE)
    assert entry_routes.needs_key(ROUTE) == expected
    assert members.local_record.entry_routes == ["r"] * expected
    may_be_called = calls >= MIN_PUBLISHED_CALLS and pause_s <= CALL_MEMORY_S
    is_called = may_be_called and not expected
    assert members.local_record.called_routes == ["r"] * is_called


def test_requests_at_an_idle_target_are_no_calls(clock: FakeClock) -> None:
    """A client without a key would otherwise keep a route open for itself."""
    members = MemberTable(record("own"))
    entry_routes = EntryRoutes(members, make_target(), lambda: None)
    clock.now += 10
    for _ in range(MIN_PUBLISHED_CALLS):
        entry_routes.record_call(ROUTE, 5.0)
    entry_routes.record_key(ROUTE)
    assert entry_routes.needs_key(ROUTE)


@pytest.mark.parametrize(
    ("calls", "caller_service", "own_marks", "pause_s", "expected"),
    [
        (0, "other", [], 0.0, True),
        # A few requests of clients without a key do not keep a route open.
        (MIN_PUBLISHED_CALLS - 1, "other", [], 0.0, True),
        (MIN_PUBLISHED_CALLS, "other", [], 0.0, False),
        # Calls would be refused for good after a pause.
        (MIN_PUBLISHED_CALLS, "other", [], CALL_MEMORY_S + 1.0, False),
        # Targets of one service make the same calls.
        (0, "jobs", [], 0.0, False),
        (0, "jobs", ["r"], 0.0, True),
    ],
)
def test_a_mark_of_another_node_does_not_stop_known_calls(
    clock: FakeClock,
    calls: int,
    caller_service: str,
    own_marks: list[str],
    pause_s: float,
    expected: bool,
) -> None:
    """A request with a key at a node that sees no calls closed the route at all."""
    members, local_target = MemberTable(record("own")), make_target()
    entry_routes = EntryRoutes(members, local_target, lambda: None)
    entry_routes.resume(own_marks)
    local_target._adjust_counts(running=1)
    for _ in range(calls):
        entry_routes.record_call(ROUTE, 5.0)
    members.merge(record("marks", service="portal", entry_routes=["r"]))
    members.merge(record("calls", service=caller_service, called_routes=["r"]))
    clock.now += pause_s
    entry_routes.update_calls()
    assert entry_routes.needs_key(ROUTE) == expected


def test_called_routes_outlive_a_restart_unless_marked_since(clock: FakeClock) -> None:
    """After a restart of the only node that sees the calls, one request with a key
    would close the route.
    """
    members = MemberTable(record("own"))
    entry_routes = EntryRoutes(members, make_target(), lambda: None)
    entry_routes.record_key(make_route("q", "/q/"))
    entry_routes.resume_calls(["q", "r"])
    assert members.local_record.called_routes == ["r"]
    entry_routes.record_key(ROUTE)
    assert not entry_routes.needs_key(ROUTE)
    entry_routes.retain({"q"})
    assert members.local_record.called_routes == []
