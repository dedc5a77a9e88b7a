"""Admission thresholds that instances tell all nodes."""

import pytest

from briardock.mesh.members import MemberTable
from briardock.overload.admission import OPEN_THRESHOLD
from briardock.overload.board import (
    LIFETIME_PERIODS,
    NEWS_PERIOD_S,
    REPEAT_PERIODS,
    SILENT_TIME_S,
    EntryThresholds,
    ThresholdAnnouncer,
    ThresholdBoard,
    ThresholdNews,
    news_period_s,
)
from briardock.overload.chain import InstanceThresholds, LearnedThresholds
from briardock.overload.needs import along_chain
from mesh_builders import record

MAX_THRESHOLD = 3.0


def news(node_id: str, for_calls: float, **changes: object) -> ThresholdNews:
    fields: dict[str, object] = {
        "node_id": node_id,
        "service": "maps",
        "sequence": 1,
        "for_callers": OPEN_THRESHOLD,
        "for_calls": for_calls,
        "capacity_per_s": 100.0,
    }
    return ThresholdNews(**(fields | changes))  # type: ignore[arg-type]


def announce(announcer: ThresholdAnnouncer, value: float, now: float) -> bool:
    return announcer.update("maps", value, value, 100.0, 2, 5, now) is not None


def test_an_open_instance_is_silent() -> None:
    """News of all instances without overload would be traffic for nothing."""
    announcer = ThresholdAnnouncer("m1")
    assert not any(announce(announcer, OPEN_THRESHOLD, 0.1 * n) for n in range(100))


def test_news_is_bounded_in_rate_repeated_and_ends_after_the_overload() -> None:
    """A lost piece of news must not leave entries closed, nor open ones flooding."""
    announcer = ThresholdAnnouncer("m1")
    assert announce(announcer, 2.0, 0.0)
    assert not announce(announcer, 1.0, NEWS_PERIOD_S / 2)
    assert announce(announcer, 1.0, NEWS_PERIOD_S)
    assert not announce(announcer, 1.0, (1 + REPEAT_PERIODS / 2) * NEWS_PERIOD_S)
    assert announce(announcer, 1.0, (1.1 + REPEAT_PERIODS) * NEWS_PERIOD_S)
    now, told = 10.0, []
    for step in range(50):
        now += 0.15
        if announce(announcer, OPEN_THRESHOLD, now):
            told.append(step)
    assert len(told) == 2
    assert announce(announcer, 2.0, now + 1.0)


@pytest.mark.parametrize(
    ("heard", "instances", "expected"),
    [
        ([], 2, None),
        ([news("a", 1.0), news("b", 2.0)], 2, 1.5),
        ([news("a", 1.0), news("b", 2.0, capacity_per_s=300.0)], 2, 1.75),
        ([news("a", 1.0)], 4, 2.5),
        ([news("a", OPEN_THRESHOLD), news("b", OPEN_THRESHOLD)], 2, MAX_THRESHOLD),
    ],
)
def test_threshold_of_a_service_is_the_mean_by_capacity(
    heard: list[ThresholdNews], instances: int, expected: float | None
) -> None:
    """One overloaded instance must not have the requests of its service refused."""
    board = ThresholdBoard()
    for item in heard:
        assert board.record(item, 50.0)
    found = board.of_service("maps", False, instances, MAX_THRESHOLD, 50.1)
    assert found == expected


def test_older_news_does_not_replace_newer() -> None:
    """Pushes take different ways and arrive in any order."""
    board = ThresholdBoard()
    assert board.record(news("a", 2.5, sequence=7), 50.0)
    assert not board.record(news("a", 1.0, sequence=6), 50.1)
    assert not board.record(news("a", 2.5, sequence=7), 50.1)
    assert board.of_service("maps", False, 1, MAX_THRESHOLD, 50.2) == 2.5


def test_silence_after_news_means_open_and_later_unknown() -> None:
    """An instance that died while closed must not keep callers out."""
    board = ThresholdBoard()
    board.record(news("a", 0.0), 50.0)
    for age_s, expected in [
        (LIFETIME_PERIODS * NEWS_PERIOD_S / 2, 0.0),
        (LIFETIME_PERIODS * NEWS_PERIOD_S + 0.01, MAX_THRESHOLD),
        (SILENT_TIME_S, None),
    ]:
        found = board.of_service("maps", False, 1, MAX_THRESHOLD, 50.0 + age_s)
        assert found == expected


def test_services_along_a_chain_are_found_also_in_a_cycle() -> None:
    calls = {"a": {"b"}, "b": {"c", "a"}, "c": {"b"}}
    assert along_chain("a", calls) == {"b", "c"}
    assert along_chain("d", calls) == set()


def make_entry() -> tuple[EntryThresholds, ThresholdBoard, LearnedThresholds]:
    members = MemberTable(record("own", service="portal"))
    members.merge(record("j", service="jobs", called_services=["maps"]))
    members.merge(record("m", service="maps"))
    board, learned = ThresholdBoard(), LearnedThresholds()
    return EntryThresholds(members, board, learned), board, learned


def test_news_of_the_deepest_service_reaches_an_entry_without_responses() -> None:
    entry, board, _ = make_entry()
    board.record(news("m", 1.25), 50.0)
    assert entry.of_chain("jobs", "r", MAX_THRESHOLD, 50.1) == 1.25
    assert entry.of_chain("portal", "r", MAX_THRESHOLD, 50.1) == OPEN_THRESHOLD


def test_news_goes_before_what_responses_have_told() -> None:
    """A response from before the end of an overload kept an entry closed for 3 s."""
    entry, board, learned = make_entry()
    learned.learn("jobs", "j", InstanceThresholds(0.5), MAX_THRESHOLD, 50.0)
    assert entry.of_chain("jobs", "r", MAX_THRESHOLD, 50.1) == 0.5
    board.record(news("m", OPEN_THRESHOLD), 50.2)
    assert entry.of_chain("jobs", "r", MAX_THRESHOLD, 50.3) == OPEN_THRESHOLD


@pytest.mark.parametrize("instances", [3, 12, 98, 1_000])
def test_rate_of_news_of_a_service_does_not_grow_with_its_instances(
    instances: int,
) -> None:
    """Each piece goes to all nodes, so the traffic would grow with their square."""
    announcer = ThresholdAnnouncer("m1")
    announcer.update("maps", OPEN_THRESHOLD, OPEN_THRESHOLD, 1.0, instances, 5, 0.0)
    told = 0
    for step in range(2_000):
        value = 1.0 + step % 2
        news = announcer.update("maps", value, value, 1.0, instances, 5, 0.15 * step)
        told += news is not None
    assert told * instances / (2_000 * 0.15) <= 60
    assert news_period_s(instances) >= NEWS_PERIOD_S
