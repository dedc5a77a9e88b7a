"""Entry routes and called services."""

from briardock.mesh.callgraph import CalledServices, EntryRoutes
from briardock.mesh.members import MemberTable, RouteCalls
from briardock.overload.attribution import route_tag
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


def test_calls_of_an_earlier_process_are_used_until_they_are_known_again() -> None:
    """Nodes that restarted under load knew for seconds of no service that their
    requests need.
    """
    called = CalledServices()
    names_by_tag = {route_tag("r"): "r"}
    resumed = {"r": RouteCalls(0.1, [("maps", "m", 1.0, 0.1)])}
    called.resume(resumed | {"gone": RouteCalls(0.1, [])})
    called.update(target_arrivals=0)
    assert called.names == ["maps"]
    assert called.route_calls(names_by_tag) == resumed
    for _ in range(300):
        called.update(target_arrivals=0)
    assert called.names == []
    assert called.route_calls(names_by_tag) == {}
