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

BAD = "bad"
POPULAR = "popular"
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
    # Guards against one death reported twice that refuses a request.
    first, second, _ = make_pair()
    for death_id in death_ids:
        first.record_death([BAD], death_id)
        exchange(first, second)
        second.record_death([BAD], death_id)
    assert first.refuses(BAD) is second.refuses(BAD) is refused
    assert not first.refuses("other")


def test_innocent_request_that_succeeded_between_two_deaths_is_not_refused() -> None:
    # Guards against a popular request refused for being in flight at two deaths.
    first, second, clock = make_pair()
    first.record_death([BAD, POPULAR], "d1")
    exchange(first, second)
    clock.advance(100)
    cleared = second.record_success(POPULAR)
    clock.advance(100)
    first.record_death([BAD, POPULAR], "d2")
    first.merge(cleared)
    exchange(first, second)
    assert [q.refuses(POPULAR) for q in (first, second)] == [False, False]
    assert [q.refuses(BAD) for q in (first, second)] == [True, True]


@pytest.mark.parametrize("clear_arrives_first", [True, False])
def test_success_counts_where_the_death_was_not_known_yet(
    clear_arrives_first: bool,
) -> None:
    # Guards against a success forgotten because the death before it arrived late.
    first, second, clock = make_pair()
    first.record_death([POPULAR], "d1")
    clock.advance(100)
    assert second.record_success(POPULAR) == []
    clock.advance(100)
    if clear_arrives_first:
        first.merge(second.merge(first.entries()))
        first.record_death([POPULAR], "d2")
    else:
        first.record_death([POPULAR], "d2")
        assert first.refuses(POPULAR)
        first.merge(second.merge(first.entries()))
    assert not first.refuses(POPULAR)
    assert not second.refuses(POPULAR)


def test_success_before_the_first_death_proves_nothing() -> None:
    # Guards against old successes that hide a request that has become harmful.
    first, _, clock = make_pair()
    first.record_success(BAD)
    clock.advance(100)
    first.record_death([BAD], "d1")
    first.record_death([BAD], "d2")
    assert first.refuses(BAD)


def test_success_does_not_release_a_refused_request() -> None:
    # Guards against a request in flight elsewhere that releases a refused one.
    first, second, _ = make_pair()
    first.record_death([BAD], "d1")
    first.record_death([BAD], "d2")
    assert first.record_success(BAD) == []
    second.record_success(BAD)
    second.merge(first.entries())
    assert first.refuses(BAD)
    assert second.refuses(BAD)


def test_lift_wins_over_deaths_still_on_their_way() -> None:
    # Guards against a lifted request refused again by late copies.
    first, second, clock = make_pair()
    first.record_death([BAD], "d1")
    first.record_death([BAD], "d2")
    second.merge(first.entries())
    second.record_death([BAD], "d3")
    second.record_death([BAD], "d4")
    clock.advance(50)
    assert first.lift(BAD)
    exchange(first, second)
    assert [q.refuses(BAD) for q in (first, second)] == [False, False]
    clock.advance(50)
    second.record_death([BAD], "d5")
    second.record_death([BAD], "d6")
    exchange(first, second)
    assert [q.refuses(BAD) for q in (first, second)] == [True, True]


def test_lift_of_an_unknown_fingerprint_says_so() -> None:
    # Guards against an operator told that something was lifted.
    first, _, _ = make_pair()
    assert not first.lift(BAD)
    first.record_death([BAD], "d1")
    assert first.lift(BAD)
    assert not first.lift(BAD)


def test_entries_expire_everywhere_without_coming_back() -> None:
    # Guards against nodes that hand expired entries back and forth.
    first, second, clock = make_pair()
    first.record_death([BAD], "d1")
    first.record_death([BAD], "d2")
    on_the_way = first.entries()
    clock.advance(SETTINGS.expiry_s * 1_000 - 1_000)
    assert second.merge(first.entries()) == []
    assert first.refuses(BAD)
    clock.advance(1_000)
    assert not first.refuses(BAD)
    assert first.entries() == []
    assert first.digest() == 0
    # The receiver cannot see the delay, but the age it takes over still counts.
    second.merge(on_the_way)
    clock.advance(SETTINGS.expiry_s * 1_000)
    assert second.entries() == []


def test_number_of_entries_is_bounded_and_refused_ones_stay() -> None:
    # Guards against suspects that push refused requests out.
    settings = QuarantineSettings(max_entries=20)
    first, second, clock = make_pair(settings)
    first.record_death([BAD], "d1")
    first.record_death([BAD], "d2")
    for i in range(10):
        clock.advance(10)
        changed = first.record_death([f"f{i}-{j}" for j in range(8)], f"e{i}")
        assert len(changed) <= 20
    assert len(first.entries()) == 20
    assert first.refuses(BAD)
    second.merge(first.entries())
    assert len(second.entries()) == 20


def test_remembered_deaths_and_successes_are_bounded() -> None:
    # Guards against memory that grows with traffic or with a crash loop.
    first, _, clock = make_pair(QuarantineSettings(max_successes=5))
    for i in range(3 * MAX_DEATHS_PER_ENTRY):
        clock.advance(1)
        first.record_death([BAD], f"d{i}")
        first.record_success(f"f{i}")
    assert len(first.entries()[0].deaths) == MAX_DEATHS_PER_ENTRY
    state = first.state()
    assert state["recent_successes"] == 5
    assert state["entries"][0]["refused"]


steps = st.lists(
    st.tuples(
        st.sampled_from(["death", "success", "lift", "pass", "send"]),
        st.integers(0, 2),
        st.sampled_from([BAD, POPULAR, "third"]),
        st.sampled_from(["d1", "d2", "d3", "d4"]),
    ),
    max_size=25,
)


@settings(deadline=None)
@given(steps=steps, data=st.data())
def test_merge_is_free_of_order_and_repetition(
    steps: list[tuple[str, int, str, str]], data: st.DataObject
) -> None:
    # Guards against nodes that disagree for good on what they refuse.
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
        fresh = make_quarantine(SETTINGS, clock)
        for entry in data.draw(st.permutations(final)):
            fresh.merge([entry])
        assert fresh.merge(final) == []
        results.append(fresh)
    for node in nodes:
        node.merge(final)
        node.merge(entry for other in nodes for entry in other.entries())
    refused = [[q.refuses(n) for n in (BAD, POPULAR, "third")] for q in results]
    assert refused[0] == refused[1]
    assert results[0].digest() == results[1].digest()


def test_fingerprint_depends_on_every_part() -> None:
    # Guards against two requests that share a fingerprint by concatenation.
    found = {
        fingerprint("s.op", "/a", b"x"),
        fingerprint("s.op", "/ax", b""),
        fingerprint("s.op/a", "", b"x"),
        fingerprint("s.op", "/a", b"y"),
    }
    assert len(found) == 4
    assert all(len(text) == 32 for text in found)
