"""Parts of the nodes in the slots of an account, whatever the nodes know."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from briardock.overload.quota import QuotaKeeper, WithinQuota
from briardock.overload.quota_limits import QuotaLimit
from briardock.overload.quota_slots import own_slots
from quota_simulation import SETTINGS

NODES = st.sets(st.integers(0, 60), min_size=1, max_size=40)


def part(node: int, known: set[int], slots: float) -> int:
    """Return the slots that a node owns by the nodes that it knows."""
    rank = sum(other < node for other in known)
    return own_slots(slots, len(known), rank)


@given(nodes=NODES, slots=st.floats(0.0, 500.0))
def test_parts_use_all_whole_slots(nodes: set[int], slots: float) -> None:
    """Parts of slots stayed unused at nodes that all had the same demand."""
    parts = [part(node, nodes, slots) for node in nodes]
    assert sum(parts) == int(slots + 1e-6)
    assert max(parts) - min(parts) <= 1


@given(nodes=NODES, slots=st.floats(0.0, 500.0), data=st.data())
def test_parts_do_not_exceed_the_slots_while_nodes_know_different_others(
    nodes: set[int], slots: float, data: st.DataObject
) -> None:
    """Nodes that were cut off, or have not heard of a dead, a new or a leaving node
    yet, rank themselves and the others differently.
    """
    total = sum(
        part(node, nodes | data.draw(NODES, label=f"also known to {node}"), slots)
        for node in nodes
    )
    assert total <= slots + 1e-6


@given(
    nodes=st.sets(st.integers(0, 60), min_size=4, max_size=40),
    slots=st.floats(0.0, 500.0),
    data=st.data(),
)
def test_a_replaced_node_adds_one_slot_at_most_while_others_are_cut_off(
    nodes: set[int], slots: float, data: st.DataObject
) -> None:
    """Nodes that are cut off rank a node that was replaced under another name."""
    replaced = data.draw(st.sampled_from(sorted(nodes)))
    new = data.draw(st.integers(0, 60).filter(lambda node: node not in nodes))
    kept = nodes - {replaced}
    cut = data.draw(st.sets(st.sampled_from(sorted(kept))))
    now_known = kept | {new}
    total = part(new, now_known, slots) + sum(
        part(node, nodes if node in cut else now_known, slots) for node in kept
    )
    assert total <= slots + 1.0 + 1e-6


@pytest.mark.parametrize(
    ("case", "rank", "admitted"),
    [
        ("first, owns the slot that cannot be divided", 0, 5),
        ("last", 2, 4),
        ("rank not known, owns what each node owns at least", None, 4),
    ],
)
def test_a_node_admits_its_part(case: str, rank: int | None, admitted: int) -> None:
    """Two nodes that both took the remaining slot would exceed the bound."""
    limit = QuotaLimit(0.01, 0.0)
    assert int(SETTINGS.slots(limit, is_starting=False)) == 14
    keeper = QuotaKeeper("n", SETTINGS, started_s=0.0)
    keeper.node_count, keeper.node_rank = 3, rank
    keeper.set_limits({"a": limit})
    decisions = [keeper.decide("a", limit, 100.0) for _ in range(8)]
    assert sum(isinstance(item, WithinQuota) for item in decisions) == admitted
