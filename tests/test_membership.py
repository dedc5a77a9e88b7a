"""Tests of the merge rule, the timeouts and the probe order of the member table."""

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from briardock.clock import ManualClock
from briardock.member_records import is_newer, self_reported
from briardock.membership import (
    MemberRecord,
    MembershipSettings,
    MemberState,
    MemberTable,
    make_member_table,
)

HOUR_MS = 3_600_000.0
SETTINGS = MembershipSettings()


def make_record(
    node_id: str,
    incarnation: int = 1,
    version: int = 1,
    state: MemberState = MemberState.ALIVE,
    target: str = "t",
) -> MemberRecord:
    host = f"127.0.0.{sum(node_id.encode()) % 250 + 1}"
    return MemberRecord(
        node_id, incarnation, version, "svc", "d", "r", host, 1, 2, target, state
    )


def make_table(
    node_id: str = "own", *others: MemberRecord
) -> tuple[MemberTable, ManualClock]:
    clock = ManualClock()
    local_record = make_record(node_id)
    table = make_member_table(local_record, clock, random.Random(1), SETTINGS)
    table.merge(others)
    return table, clock


def states(table: MemberTable) -> dict[str, MemberState]:
    return {record.node_id: record.state for record in table.records()}


def advance_in_periods(table: MemberTable, clock: ManualClock, total_ms: float) -> None:
    """Advance the clock one probe period at a time, so that no pause is detected."""
    step_ms = SETTINGS.period_ms
    for _ in range(round(total_ms / step_ms)):
        clock.advance(step_ms)
        table.expire()


def records_of(*node_ids: str) -> st.SearchStrategy[MemberRecord]:
    return st.builds(
        make_record,
        node_id=st.sampled_from(node_ids),
        incarnation=st.integers(1, 3),
        version=st.integers(1, 3),
        state=st.sampled_from(MemberState),
        target=st.sampled_from(["t", "u"]),
    )


# A node that refutes a suspicion picks a new version, so its local record is not a
# merge of the received ones; the two tests after this one cover it.
@settings(deadline=None)
@given(received=st.lists(records_of("a", "b", "c"), max_size=20), data=st.data())
def test_merge_is_commutative_associative_and_idempotent(
    received: list[MemberRecord], data: st.DataObject
) -> None:
    # Guards against tables that differ although they received the same records.
    first, _ = make_table()
    first.merge(received)
    second, _ = make_table()
    shuffled = data.draw(st.permutations(received))
    cut = data.draw(st.integers(0, len(shuffled)))
    second.merge(shuffled[cut:])
    second.merge(shuffled[:cut])
    assert second.merge(received) == []
    assert set(first.records()) == set(second.records())
    assert first.digest.total == second.digest.total
    assert first.digest.buckets() == second.digest.buckets()


@settings(deadline=None)
@given(received=st.lists(records_of("own", "a"), max_size=20))
def test_local_record_refutes_every_suspicion(received: list[MemberRecord]) -> None:
    # Guards against a node that adopts a state others report of it, or whose refutation
    # is not newer than that report at other nodes.
    table, _ = make_table()
    table.merge(received)
    local_record = table.local_record
    other, _ = make_table("other")
    other.merge([r for r in received if r.incarnation == local_record.incarnation])
    other.merge([local_record])
    assert other.get("own") == local_record
    about_local = [r for r in received if r.node_id == "own"]
    same = [r for r in about_local if r.incarnation == local_record.incarnation]
    assert local_record.state is MemberState.ALIVE
    assert all(
        record == local_record or is_newer(local_record, record) for record in same
    )
    later = [
        r.incarnation for r in about_local if r.incarnation > local_record.incarnation
    ]
    assert table.superseded_by == max(later, default=None)


@settings(deadline=None)
@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(["update", "suspect", "pass", "exchange"]),
            st.integers(0, 3),
            st.integers(0, 3),
        ),
        max_size=40,
    ),
    side=st.sets(st.integers(0, 3)),
)
def test_tables_agree_after_any_partition(
    steps: list[tuple[str, int, int]], side: set[int]
) -> None:
    # Guards against states detected during a partition that remain after it.
    tables_and_clocks = [make_table(f"n{i}") for i in range(4)]
    tables = [table for table, _ in tables_and_clocks]
    for table in tables:
        table.merge([other.local_record for other in tables])
    for action, i, j in steps:
        match action:
            case "update":
                tables[i].update_local(target_instance=f"t{j}")
            case "suspect":
                tables[i].suspect(f"n{j}")
            case "pass":
                advance_in_periods(*tables_and_clocks[i], SETTINGS.period_ms * 4)
            case _ if (i in side) == (j in side):
                tables[i].merge(tables[j].records())
    for _ in range(3):
        for table in tables:
            for other in tables:
                table.merge(other.records())
    assert all(set(table.records()) == set(tables[0].records()) for table in tables)
    assert set(states(tables[0]).values()) == {MemberState.ALIVE}


@pytest.mark.parametrize(
    "old, new, replaced",
    [
        ((1, 5, MemberState.LEFT), (2, 1, MemberState.ALIVE), True),
        ((2, 1, MemberState.ALIVE), (1, 9, MemberState.LEFT), False),
        ((1, 1, MemberState.UNREACHABLE), (1, 2, MemberState.ALIVE), True),
        ((1, 1, MemberState.LEAVING), (1, 1, MemberState.SUSPECT), False),
        ((1, 1, MemberState.SUSPECT), (1, 1, MemberState.UNREACHABLE), True),
    ],
)
def test_record_merge_order(
    old: tuple[int, int, MemberState],
    new: tuple[int, int, MemberState],
    replaced: bool,
) -> None:
    # Guards against a restarted node hidden by the record of its previous process.
    table, _ = make_table("own", make_record("a", *old))
    assert bool(table.merge([make_record("a", *new)])) is replaced
    known = table.get("a")
    assert known is not None
    expected_order = new if replaced else old
    assert (known.incarnation, known.version, known.state) == expected_order


def test_suspicion_times_out_unless_refuted() -> None:
    # Guards against members that stay suspect, and against ignored refutations.
    table, clock = make_table("own", make_record("a"), make_record("b"))
    table.suspect("a")
    table.suspect("b")
    assert len(table.usable("svc")) == 3
    table.merge([make_record("b", version=2)])
    advance_in_periods(table, clock, table.suspicion_ms() + SETTINGS.period_ms)
    assert states(table)["a"] is MemberState.UNREACHABLE
    assert states(table)["b"] is MemberState.ALIVE
    assert {r.node_id for r in table.usable("svc")} == {"own", "b"}


def test_pause_of_the_process_extends_suspicions() -> None:
    # Guards against a resumed node that marks every suspect member unreachable.
    table, clock = make_table("own", make_record("a"))
    table.suspect("a")
    table.expire()
    clock.advance(60_000)
    assert table.expire() == []
    assert states(table)["a"] is MemberState.SUSPECT


def test_outdated_record_leaves_member_usable_for_the_suspicion_timeout() -> None:
    # Guards against a healed partition that empties the list of instances.
    table, clock = make_table("own", make_record("a"))
    table.merge([make_record("a", state=MemberState.UNREACHABLE)])
    assert len(table.usable("svc")) == 2
    assert table.expire_grace() == []
    advance_in_periods(table, clock, table.suspicion_ms() + SETTINGS.period_ms)
    assert [r.node_id for r in table.expire_grace()] == ["a"]
    assert [r.node_id for r in table.usable("svc")] == ["own"]
    assert table.expire_grace() == []


@pytest.mark.parametrize(
    "record",
    [
        make_record("a", version=2, state=MemberState.LEAVING),
        make_record("a", version=2, state=MemberState.LEFT),
        make_record("a", version=2, target=""),
    ],
)
def test_members_without_a_running_target_are_not_usable(record: MemberRecord) -> None:
    # Guards against new calls to a leaving target.
    table, _ = make_table("own", make_record("a"))
    assert len(table.usable("svc")) == 2
    table.merge([record])
    assert [r.node_id for r in table.usable("svc")] == ["own"]
    assert table.usable("other") == []


def test_silent_leaving_member_becomes_left() -> None:
    # Guards against leaving members that stay in the table after their process ended.
    leaving = make_record("a", state=MemberState.LEAVING)
    table, clock = make_table("own", leaving)
    table.suspect("a")
    table.on_response("a")
    advance_in_periods(table, clock, table.suspicion_ms() + SETTINGS.period_ms)
    assert states(table)["a"] is MemberState.LEAVING
    table.suspect("a")
    advance_in_periods(table, clock, table.suspicion_ms() + SETTINGS.period_ms)
    assert states(table)["a"] is MemberState.LEFT


def test_unreachable_member_is_probed_for_two_hours_and_returns() -> None:
    # Guards against members removed during a partition of an hour.
    table, clock = make_table("own", make_record("a"), make_record("b"))
    table.suspect("a")
    advance_in_periods(table, clock, 2 * HOUR_MS)
    probes = [table.next_probe_target() for _ in range(20)]
    probe_count = [p.node_id for p in probes if p is not None].count("a")
    assert 0 < probe_count <= len(probes) / SETTINGS.unreachable_every
    table.merge([make_record("a", version=2)])
    assert states(table)["a"] is MemberState.ALIVE


def test_isolated_node_keeps_probing_unreachable_members() -> None:
    # Guards against an isolated node that never rejoins because it stopped probing.
    table, clock = make_table("own", make_record("a"))
    table.suspect("a")
    advance_in_periods(table, clock, table.suspicion_ms() + SETTINGS.period_ms)
    assert table.is_alone()
    assert all(table.next_probe_target() is not None for _ in range(10))


def test_unreachable_members_are_removed_and_not_restored_by_others() -> None:
    # Guards against records that nodes keep restoring in each other forever.
    table, clock = make_table("own", make_record("a"))
    before = table.digest.total
    table.suspect("a")
    advance_in_periods(table, clock, SETTINGS.share_ms + 60_000)
    assert {r.node_id for r in table.records_in(set(range(256)))} == {"own"}
    advance_in_periods(table, clock, SETTINGS.unreachable_keep_ms)
    assert table.get("a") is None
    assert table.merge([make_record("a")]) == []
    assert table.digest.total != before
    table.merge([make_record("a", incarnation=2)])
    assert states(table)["a"] is MemberState.ALIVE


def test_stale_records_are_refused_before_and_after_the_tombstone_expires() -> None:
    # Guards against a left node restored by a member with an outdated record.
    table, clock = make_table("own", make_record("a", state=MemberState.LEFT))
    assert table.merge([make_record("a")]) == []
    advance_in_periods(table, clock, SETTINGS.tombstone_ms + SETTINGS.period_ms)
    assert table.get("a") is None
    assert table.merge([make_record("a")]) == []


def test_probe_rounds_reach_every_member() -> None:
    # Guards against members that are never probed.
    names = {f"m{i}" for i in range(50)}
    table, _ = make_table("own", *(make_record(name) for name in sorted(names)))
    table.next_probe_target()
    probed = [table.next_probe_target() for _ in range(2 * len(names))]
    assert {record.node_id for record in probed if record is not None} == names


def test_sample_is_distinct_and_reachable() -> None:
    # Guards against pushes to unreachable members or to the node itself.
    members = [make_record(f"m{i}") for i in range(100)]
    unreachable = [
        msgspec.structs.replace(record, state=MemberState.UNREACHABLE)
        for record in members[:97]
    ]
    table, _ = make_table("own", *members, *unreachable)
    for count, expected in [(2, 2), (3, 3), (9, 3)]:
        found = table.sample(count)
        assert len(found) == len({r.node_id for r in found}) == expected
        assert {r.node_id for r in found} <= {"m97", "m98", "m99"}


def test_table_is_bounded() -> None:
    # Guards against unbounded memory use when a faulty peer invents members.
    settings = MembershipSettings(max_members=10)
    table = make_member_table(
        make_record("own"), ManualClock(), random.Random(1), settings
    )
    table.merge(make_record(f"m{i}") for i in range(50))
    assert len(table) == 10


def test_digest_excludes_detected_states() -> None:
    # Guards against anti-entropy syncs that carry detected states out of a partition.
    first, _ = make_table("own", make_record("a"))
    second, _ = make_table("own", make_record("a"))
    second.suspect("a")
    assert first.digest.total == second.digest.total
    suspected = second.get("a")
    assert suspected is not None
    assert self_reported(suspected) == make_record("a")
    second.merge([make_record("a", version=2)])
    assert len(first.digest.differing(second.digest.buckets())) == 1
