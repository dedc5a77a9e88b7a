"""Load balancing over instances."""

import random

import pytest

from briardock.mesh.members import MemberTable, NodeRecord
from briardock.overload import placement
from briardock.overload.placement import Balancer, InstanceStats
from mesh_builders import FakeClock, record


def choose(balancer: Balancer, now: float, idempotent: bool = True) -> str | None:
    chosen = balancer.choose("jobs", set(), idempotent, now)
    return chosen.node_id if chosen else None


def make_balancer(*records: NodeRecord) -> Balancer:
    members = MemberTable(record("own", service="portal"))
    for item in records:
        members.merge(item)
    return Balancer(members, "d1", random.Random(1))


def test_local_domain_is_preferred_until_it_is_loaded(clock: FakeClock) -> None:
    balancer = make_balancer(record("near"), record("faraway", domain="d2"))
    assert choose(balancer, clock.now) == "near"
    balancer.record_response(
        "near", 0.01, total_in_flight=8, failed=False, now=clock.now
    )
    assert choose(balancer, clock.now) == "faraway"


def test_unreachable_instance_is_ejected_then_probed_by_an_idempotent_request(
    clock: FakeClock,
) -> None:
    balancer = make_balancer(record("near"), record("other"))
    balancer.record_unreachable("near", clock.now)
    assert choose(balancer, clock.now) == "other"
    clock.now += 0.4
    assert choose(balancer, clock.now, idempotent=False) == "other"
    assert choose(balancer, clock.now) == "near"
    balancer.record_response("near", 0.01, 0, failed=False, now=clock.now)
    assert not balancer.stats("near").is_suspect(clock.now)


def test_lost_connections_do_not_eject_an_instance_that_accepts_new_ones(
    clock: FakeClock,
) -> None:
    """Many connections reset at once must not eject a healthy node (for up to 4 s)."""
    balancer = make_balancer(record("near"), record("other"))
    for _ in range(10):
        balancer.record_lost_connection("near")
    assert choose(balancer, clock.now) == "near"
    balancer.record_response("near", 0.01, 0, failed=False, now=clock.now)
    assert not balancer.stats("near").is_suspect(clock.now)


def test_failures_at_one_moment_count_once(clock: FakeClock) -> None:
    balancer = make_balancer(record("near"), record("other"))
    durations = [balancer.record_unreachable("near", clock.now) for _ in range(6)]
    assert durations == [placement.MIN_EJECTION_S, 0, 0, 0, 0, 0]


def test_silent_instance_is_suspect(clock: FakeClock) -> None:
    """A partitioned node sends no responses; waiting for a timeout takes too long."""
    balancer = make_balancer(record("near"), record("other"))
    balancer.record_start("near", clock.now)
    clock.now += 0.6
    assert choose(balancer, clock.now) == "other"


def test_failing_instance_gets_fewer_requests(clock: FakeClock) -> None:
    balancer = make_balancer(record("near"), record("other"))
    for _ in range(10):
        balancer.record_response("near", 0.001, 0, failed=True, now=clock.now)
    assert choose(balancer, clock.now) == "other"


def test_leaving_node_serves_others_only_if_it_is_the_last(clock: FakeClock) -> None:
    """Otherwise a service is unavailable while the node beside its last instance
    restarts.
    """
    balancer = make_balancer(record("near", leaving=True), record("other"))
    assert choose(balancer, clock.now) == "other"
    balancer.record_unreachable("other", clock.now)
    assert choose(balancer, clock.now, idempotent=False) == "near"


def test_leaving_node_serves_its_local_callers(clock: FakeClock) -> None:
    members = MemberTable(record("own"))
    members.update_local(leaving=True)
    members.merge(record("other", domain="d2"))
    assert choose(Balancer(members, "d1", random.Random(1)), clock.now) == "own"


def test_choice_among_many_instances_compares_a_few(
    clock: FakeClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Comparing all of 30 instances takes most of the processor time of a request."""
    records = [record(f"n{i}", address=f"10.0.1.{i}:1") for i in range(30)]
    balancer = make_balancer(*records)
    for name in ("n3", "n4"):
        balancer.record_unreachable(name, clock.now)
    looked_up: list[str] = []
    stats = balancer.stats

    def count(node_id: str) -> InstanceStats:
        looked_up.append(node_id)
        return stats(node_id)

    monkeypatch.setattr(balancer, "stats", count)
    chosen = {choose(balancer, clock.now) for _ in range(300)}
    assert len(looked_up) < 300 * 6
    assert chosen >= {r.node_id for r in records} - {"n3", "n4"}
    assert not chosen & {"n3", "n4"}


def test_restart_of_a_node_keeps_the_count_of_requests_in_flight(
    clock: FakeClock,
) -> None:
    """If the count falls below zero, a node that fails again is never probed."""
    balancer = make_balancer(record("near"), record("other"))
    balancer.record_start("near", clock.now)
    balancer.reinstate("near", clock.now)
    balancer.record_end("near")
    balancer.record_unreachable("near", clock.now)
    clock.now += 0.4
    assert choose(balancer, clock.now) == "near"
