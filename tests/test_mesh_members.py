"""Membership table: merging of node records."""

import random

from hypothesis import given
from hypothesis import strategies as st

from briardock.mesh.members import MemberTable
from mesh_builders import record


@given(
    st.lists(st.tuples(st.integers(1, 3), st.integers(0, 5)), min_size=1),
    st.randoms(use_true_random=False),
)
def test_merge_keeps_the_newest_record_in_any_order(
    orders: list[tuple[int, int]], rng: random.Random
) -> None:
    """A delayed older record must not replace a newer one."""
    records = [record("b", incarnation_ms=i, version=v) for i, v in orders]
    rng.shuffle(records)
    members = MemberTable(record("a"))
    for item in records:
        members.merge(item)
    merged = members.get("b")
    assert merged is not None and merged.order == max(orders)


def test_local_incarnation_rises_above_that_of_an_earlier_process() -> None:
    """After the clock was set back, peers would ignore the records of this process."""
    members = MemberTable(record("a", incarnation_ms=1_000))
    members.merge(record("a", incarnation_ms=9_000, target_id="old"))
    assert members.local_record.incarnation_ms > 9_000
    assert members.local_record.target_id == "i-a"


def test_node_at_a_reused_address_replaces_the_previous_one() -> None:
    members = MemberTable(record("own"))
    members.merge(record("b", address="10.0.0.9:1"))
    members.merge(record("c", address="10.0.0.9:1", incarnation_ms=2_000))
    assert members.get("b") is None
    assert [r.node_id for r in members.peers()] == ["c"]


def test_entry_routes_are_bounded_and_removed_with_the_configuration() -> None:
    """Routes of earlier configurations would fill up the record over time."""
    table = MemberTable(record("a"))
    assert table.add_entry_routes(["r1", "r2", "r3"], 2)
    assert not table.add_entry_routes(["r1"], 2)
    assert table.local_record.entry_routes == ["r1", "r2"]
    assert table.retain_entry_routes({"r2"})
    assert (table.local_record.entry_routes, table.entry_routes) == (["r2"], {"r2"})
    assert not table.retain_entry_routes({"r2", "r9"})
