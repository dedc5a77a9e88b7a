"""Tests of counting, clearing, lifting and merging of quarantine entries."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from briardock.clock import ManualClock
from briardock.quarantine import (
    MAX_DEATHS_PER_ENTRY,
    Quarantine,
    QuarantineEntry,
    QuarantineSettings,
    fingerprint,
    make_quarantine,
)

CRASHING = "crashing"
FREQUENT = "frequent"
SETTINGS = QuarantineSettings()


def make_pair(
    settings: QuarantineSettings = SETTINGS,
) -> tuple[Quarantine, Quarantine, ManualClock]:
    """Return the quarantines of two nodes."""
    clock = ManualClock()
    return make_quarantine(settings, clock), make_quarantine(settings, clock), clock


def exchange(first: Quarantine, second: Quarantine) -> None:
    second.merge(first.entries())
    first.merge(second.entries())


@pytest.mark.parametrize(
    "death_ids, refused",
    [(["d1"], False), (["d1", "d1"], False), (["d1", "d2"], True)],
)
def test_distinct_deaths_are_counted(death_ids: list[str], refused: bool) -> None:
    # Guards against a request refused because one death was reported twice.
    first, second, _ = make_pair()
    for death_id in death_ids:
        first.record_death([CRASHING], death_id)
        exchange(first, second)
        second.record_death([CRASHING], death_id)
    assert first.refuses(CRASHING) is second.refuses(CRASHING) is refused
    assert not first.refuses("other")


def test_request_that_succeeded_between_two_deaths_is_not_refused() -> None:
    # Guards against a harmless request refused because it was in flight at two deaths.
    first, second, clock = make_pair()
    first.record_death([CRASHING, FREQUENT], "d1")
    exchange(first, second)
    clock.advance(100)
    cleared = second.record_success(FREQUENT)
    clock.advance(100)
    first.record_death([CRASHING, FREQUENT], "d2")
    first.merge(cleared)
    exchange(first, second)
    assert [q.refuses(FREQUENT) for q in (first, second)] == [False, False]
    assert [q.refuses(CRASHING) for q in (first, second)] == [True, True]


@pytest.mark.parametrize("clear_arrives_first", [True, False])
def test_success_counts_where_the_death_was_not_known_yet(
    clear_arrives_first: bool,
) -> None:
    # Guards against a success that is lost because the earlier death arrives late.
    first, second, clock = make_pair()
    first.record_death([FREQUENT], "d1")
    clock.advance(100)
    assert second.record_success(FREQUENT) == []
    clock.advance(100)
    if clear_arrives_first:
        first.merge(second.merge(first.entries()))
        first.record_death([FREQUENT], "d2")
    else:
        first.record_death([FREQUENT], "d2")
        assert first.refuses(FREQUENT)
        first.merge(second.merge(first.entries()))
    assert not first.refuses(FREQUENT)
    assert not second.refuses(FREQUENT)


def test_success_before_the_first_death_clears_nothing() -> None:
    # Guards against old successes that hide a request that now kills targets.
    first, _, clock = make_pair()
    first.record_success(CRASHING)
    clock.advance(100)
    first.record_death([CRASHING], "d1")
    first.record_death([CRASHING], "d2")
    assert first.refuses(CRASHING)


def test_success_does_not_release_a_refused_request() -> None:
    # Guards against the success of a request in flight on another node that releases
    # a refused fingerprint.
    first, second, _ = make_pair()
    first.record_death([CRASHING], "d1")
    first.record_death([CRASHING], "d2")
    assert first.record_success(CRASHING) == []
    second.record_success(CRASHING)
    second.merge(first.entries())
    assert first.refuses(CRASHING)
    assert second.refuses(CRASHING)


def test_lift_overrides_earlier_deaths_that_arrive_later() -> None:
    # Guards against late copies of deaths that refuse a lifted request again.
    first, second, clock = make_pair()
    first.record_death([CRASHING], "d1")
    first.record_death([CRASHING], "d2")
    second.merge(first.entries())
    second.record_death([CRASHING], "d3")
    second.record_death([CRASHING], "d4")
    clock.advance(50)
    assert first.lift(CRASHING)
    exchange(first, second)
    assert [q.refuses(CRASHING) for q in (first, second)] == [False, False]
    clock.advance(50)
    second.record_death([CRASHING], "d5")
    second.record_death([CRASHING], "d6")
    exchange(first, second)
    assert [q.refuses(CRASHING) for q in (first, second)] == [True, True]


def test_lift_of_an_unknown_fingerprint_returns_false() -> None:
    # Guards against an operator told of a lift that changed nothing.
    first, _, _ = make_pair()
    assert not first.lift(CRASHING)
    first.record_death([CRASHING], "d1")
    assert first.lift(CRASHING)
    assert not first.lift(CRASHING)


def test_entries_expire_on_all_nodes_and_are_not_restored() -> None:
    # Guards against nodes that restore expired entries from each other.
    first, second, clock = make_pair()
    first.record_death([CRASHING], "d1")
    first.record_death([CRASHING], "d2")
    in_transit = first.entries()
    clock.advance(SETTINGS.expiry_s * 1_000 - 1_000)
    assert second.merge(first.entries()) == []
    assert first.refuses(CRASHING)
    clock.advance(1_000)
    assert not first.refuses(CRASHING)
    assert first.entries() == []
    assert first.digest() == 0
    # The receiver cannot know the transit time, but the carried age still expires.
    second.merge(in_transit)
    clock.advance(SETTINGS.expiry_s * 1_000)
    assert second.entries() == []


def test_number_of_entries_is_bounded_and_refused_ones_are_kept() -> None:
    # Guards against suspected fingerprints that evict refused ones.
    settings = QuarantineSettings(max_entries=20)
    first, second, clock = make_pair(settings)
    first.record_death([CRASHING], "d1")
    first.record_death([CRASHING], "d2")
    for i in range(10):
        clock.advance(10)
        changed = first.record_death([f"f{i}-{j}" for j in range(8)], f"e{i}")
        assert len(changed) <= 20
    assert len(first.entries()) == 20
    assert first.refuses(CRASHING)
    second.merge(first.entries())
    assert len(second.entries()) == 20


def test_stored_deaths_and_successes_are_bounded() -> None:
    # Guards against memory that grows with traffic or with a crash loop.
    first, _, clock = make_pair(QuarantineSettings(max_successes=5))
    for i in range(3 * MAX_DEATHS_PER_ENTRY):
        clock.advance(1)
        first.record_death([CRASHING], f"d{i}")
        first.record_success(f"f{i}")
    assert len(first.entries()[0].deaths) == MAX_DEATHS_PER_ENTRY
    state = first.state()
    assert state["recent_successes"] == 5
    assert state["entries"][0]["refused"]


steps = st.lists(
    st.tuples(
        st.sampled_from(["death", "success", "lift", "pass", "send"]),
        st.integers(0, 2),
        st.sampled_from([CRASHING, FREQUENT, "third"]),
        st.sampled_from(["d1", "d2", "d3", "d4"]),
    ),
    max_size=25,
)


@settings(deadline=None)
@given(steps=steps, data=st.data())
def test_merge_is_commutative_and_idempotent(
    steps: list[tuple[str, int, str, str]], data: st.DataObject
) -> None:
    # Guards against nodes that permanently disagree on the refused requests.
    clock = ManualClock()
    nodes = [make_quarantine(SETTINGS, clock) for _ in range(3)]
    sent: list[QuarantineEntry] = []
    for action, i, name, death_id in steps:
        match action:
            case "death":
                sent += nodes[i].record_death([name], death_id)
            case "success":
                sent += nodes[i].record_success(name)
            case "lift":
                nodes[i].lift(name)
            case "pass":
                clock.advance(10)
            case _:
                nodes[i].merge(nodes[(i + 1) % 3].entries())
    final = [entry for node in nodes for entry in node.entries()]
    results = []
    for _ in range(2):
        merged = make_quarantine(SETTINGS, clock)
        for entry in data.draw(st.permutations(final)):
            merged.merge([entry])
        assert merged.merge(final) == []
        results.append(merged)
    for node in nodes:
        node.merge(final)
        node.merge(entry for other in nodes for entry in other.entries())
    refused = [[q.refuses(n) for n in (CRASHING, FREQUENT, "third")] for q in results]
    assert refused[0] == refused[1]
    assert results[0].digest() == results[1].digest()


def test_fingerprint_covers_every_part() -> None:
    # Guards against two requests that share a fingerprint by concatenation.
    found = {
        fingerprint("s.op", "/a", b"x"),
        fingerprint("s.op", "/ax", b""),
        fingerprint("s.op/a", "", b"x"),
        fingerprint("s.op", "/a", b"y"),
    }
    assert len(found) == 4
    assert all(len(text) == 32 for text in found)
