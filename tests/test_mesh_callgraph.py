"""Entry routes and called services."""

from briardock.mesh.callgraph import CalledServices, EntryRoutes
from briardock.mesh.members import MemberTable
from mesh_builders import Time, make_route, make_target, record


def test_route_seen_at_an_idle_target_is_an_entry(clock: Time) -> None:
    members, local_target = MemberTable(record("own")), make_target()
    published: list[str] = []
    entries = EntryRoutes(members, local_target, lambda: published.append("x"))
    route = make_route("r", "/a/")
    clock.now += 10
    local_target._adjust_counts(running=1)
    assert not entries.observe(route, 5.0)
    local_target._adjust_counts(running=-1)
    clock.now += 0.5
    assert not entries.observe(route, 5.0) and not published
    clock.now += 1.0
    entries.observe(route, 5.0)
    assert entries.observe(route, 5.0) and published == ["x"]


def test_nothing_is_learned_while_a_former_process_may_have_left_requests(
    clock: Time,
) -> None:
    """Calls of requests that ran before a restart would look like callers'."""
    members = MemberTable(record("own"))
    entries = EntryRoutes(members, make_target(), lambda: None)
    clock.now += 3.0
    entries.observe(make_route("r", "/a/"), 5.0)
    assert not members.entry_routes


def test_few_requests_of_callers_do_not_make_a_service_called() -> None:
    """Probes of callers once closed a cycle in which a low level lasted."""
    called = CalledServices()
    for period in range(40):
        for _ in range(20):
            called.record_call("maps")
        if period % 4 == 0:
            called.record_call("jobs")
        called.update(runs=10)
    assert called.names == ["maps"]
