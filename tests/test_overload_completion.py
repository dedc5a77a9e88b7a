"""Choice of an instance by expected completion, against that by requests per slot.

Both see the same demand. The bounds are ratios to the response times of the choice by
requests per slot, and the gain in the share of requests within 150 ms.
"""

import random

import pytest

from briardock.mesh.members import MemberTable, NodeRecord
from briardock.overload.completion import SPILLOVER_RATIO
from briardock.overload.cost import request_kind
from briardock.overload.placement import Balancer
from briardock.overload.target_work import RunWork, WorkReport
from mesh_builders import record
from overload_cluster import SPEED_PERIOD_S, Cluster, Pattern

KIND = request_kind("r", b"/a/1", 0)
SEEDS = (1, 2)
LIMIT_S = 0.15


def unequal(target: int, now: float) -> float:
    """Half of the targets are two or three times slower."""
    return (1.0, 1.0, 2.0, 3.0)[target % 4]


def changing(target: int, now: float) -> float:
    """Each target is 2.5 times slower in about half of the periods of 600 ms."""
    period = int(now / SPEED_PERIOD_S + 0.37 * target)
    return 2.5 if random.Random(f"{target} {period}").random() < 0.5 else 1.0


def cold(target: int, now: float) -> float:
    """One target is four times slower for a while."""
    return 4.0 if target == 0 and 4.0 < now < 8.0 else 1.0


TOLD_APART = ((b"/a/1", 0.9, 0.02), (b"/b/1", 0.1, 0.2))
NOT_TOLD_APART = ((b"/a/1", 0.9, 0.02), (b"/a/2", 0.1, 0.2))

PATTERNS = {
    "equal targets and costs": (Pattern(load=0.7), 1.02, 1.02, -0.002),
    "equal, many targets": (
        Pattern(senders=60, targets=20, load=0.8, duration_s=4.0),
        1.02,
        1.02,
        -0.002,
    ),
    "speeds two to three times apart, reported": (
        Pattern(load=0.4, slowness=unequal),
        0.97,
        0.75,
        0.07,
    ),
    "speeds two to three times apart, not reported": (
        Pattern(load=0.4, pace=unequal),
        0.97,
        0.8,
        0.07,
    ),
    "speeds that change by 2.5 every 600 ms": (
        Pattern(load=0.42, slowness=changing),
        0.99,
        0.95,
        0.03,
    ),
    "heavy and light told apart, unequal speeds": (
        Pattern(load=0.4, paths=TOLD_APART, pace=unequal),
        0.97,
        0.75,
        0.0,
    ),
    "heavy and light told apart": (
        Pattern(load=0.75, paths=TOLD_APART),
        0.99,
        1.02,
        -0.002,
    ),
    "heavy and light not told apart": (
        Pattern(load=0.75, paths=NOT_TOLD_APART),
        1.01,
        1.02,
        -0.002,
    ),
    "knee when nearly full, at half of the targets": (
        Pattern(load=0.6, slots=16, senders=30, knee=0.5, knee_factor=2.0),
        1.01,
        0.8,
        0.04,
    ),
    "knee that the slowness does not show": (
        Pattern(
            load=0.6,
            slots=16,
            senders=30,
            knee=0.5,
            knee_factor=2.0,
            knee_reported=False,
        ),
        1.01,
        0.8,
        0.04,
    ),
    "stale reports, 60 senders see one free target": (
        Pattern(senders=60, targets=4, slots=16, load=0.8),
        1.02,
        1.02,
        -0.002,
    ),
    "cold target": (Pattern(load=0.6, pace=cold, duration_s=10.0), 1.02, 0.85, 0.0),
}


@pytest.mark.parametrize(
    ("pattern", "median_ratio", "p99_ratio", "gain_in_time"),
    [pytest.param(*row, id=name) for name, row in PATTERNS.items()],
)
def test_expected_completion_gains_where_costs_or_speeds_differ(
    pattern: Pattern, median_ratio: float, p99_ratio: float, gain_in_time: float
) -> None:
    """By requests per slot, slow targets got as much work as fast ones."""
    sums: dict[bool, list[float]] = {}
    for by_work in (False, True):
        runs = [Cluster(pattern, by_work, seed).play() for seed in SEEDS]
        sums[by_work] = [
            sum(run.quantile_s(0.5) for run in runs),
            sum(run.quantile_s(0.99) for run in runs),
            sum(run.share_within(LIMIT_S) for run in runs) / len(runs),
        ]
    before, after = sums[False], sums[True]
    assert after[0] <= median_ratio * before[0]
    assert after[1] <= p99_ratio * before[1]
    assert after[2] >= before[2] + gain_in_time


def make_balancer(*records: NodeRecord, seed: int = 1) -> Balancer:
    members = MemberTable(record("own", service="portal"))
    for item in records:
        members.merge(item)
    return Balancer(members, "d1", random.Random(seed))


def report(
    balancer: Balancer, item: NodeRecord, now: float = 100.0, **fields: object
) -> None:
    values: dict[str, object] = {
        "start_delay_s": 0.0,
        "room": 8,
        "slowness": 1.0,
        "run": RunWork(0.05, 0.05),
    }
    work = WorkReport(**(values | fields))  # type: ignore[arg-type]
    balancer.record_response(item.node_id, 0.05, 2, failed=False, now=now)
    balancer.record_work(item, work, KIND, now)


@pytest.mark.parametrize(
    ("first", "second", "expected"),
    [
        ({"slowness": 2.5}, {}, "second"),
        ({"room": 0, "start_delay_s": 0.1}, {"slowness": 2.0}, "second"),
        ({"room": 0, "start_delay_s": 0.02}, {"slowness": 2.0}, "first"),
        ({"room": 0}, {}, "second"),
        ({"run": RunWork(0.15, 0.15)}, {}, "second"),
    ],
)
def test_the_instance_that_completes_the_request_first_is_chosen(
    first: dict[str, object], second: dict[str, object], expected: str
) -> None:
    records = [record("first"), record("second")]
    balancer = make_balancer(*records)
    for number in range(40):
        report(balancer, records[0], 96.1 + 0.1 * number, **first)
        report(balancer, records[1], 96.1 + 0.1 * number, **second)
    chosen = balancer.choose("jobs", set(), True, 100.0, None, KIND)
    assert chosen is not None
    assert chosen.node_id == expected


def test_requests_sent_since_the_report_count() -> None:
    """One report of a free target must not draw all requests of its sender."""
    records = [record("first"), record("second")]
    balancer = make_balancer(*records)
    report(balancer, records[0], room=2)
    report(balancer, records[1], room=1)
    counts = {"first": 0, "second": 0}
    for _ in range(20):
        chosen = balancer.choose("jobs", set(), True, 100.0, None, KIND)
        assert chosen is not None
        balancer.record_start(chosen.node_id, 100.0)
        counts[chosen.node_id] += 1
    assert abs(counts["first"] - counts["second"]) <= 3


def test_many_senders_with_the_same_stale_reports_choose_different_instances() -> None:
    """All 60 nodes see the same free target among 20."""
    records = [record(f"n{i}", address=f"10.0.1.{i}:1") for i in range(20)]
    counts: dict[str, int] = {}
    for seed in range(60):
        balancer = make_balancer(*records, seed=seed)
        for item in records:
            is_free = item.node_id == "n0"
            report(balancer, item, room=8 if is_free else 1)
        chosen = balancer.choose("jobs", set(), True, 101.5, None, KIND)
        assert chosen is not None
        counts[chosen.node_id] = counts.get(chosen.node_id, 0) + 1
    assert counts["n0"] <= 15


@pytest.mark.parametrize(
    ("local", "expected"),
    [
        ({}, "near"),
        ({"slowness": SPILLOVER_RATIO - 0.1}, "near"),
        ({"slowness": 2.5}, "faraway"),
        ({"room": 0, "start_delay_s": 0.2}, "faraway"),
    ],
)
def test_another_domain_is_taken_only_if_it_is_clearly_better(
    local: dict[str, object], expected: str
) -> None:
    records = [record("near"), record("faraway", domain="d2")]
    balancer = make_balancer(*records)
    report(balancer, records[0], **local)
    report(balancer, records[1])
    chosen = balancer.choose("jobs", set(), True, 100.0, None, KIND)
    assert chosen is not None
    assert chosen.node_id == expected


def test_without_reports_the_choice_is_unchanged() -> None:
    """Services whose targets do not state how slow they are keep their placement."""
    records = [record(f"n{i}", address=f"10.0.1.{i}:1") for i in range(9)]
    plain, with_kind = make_balancer(*records), make_balancer(*records)
    # Reports of another service change nothing.
    report(with_kind, record("other", service="maps"))
    for _ in range(200):
        chosen = plain.choose("jobs", set(), True, 100.0)
        assert with_kind.choose("jobs", set(), True, 100.0, None, KIND) == chosen


def test_a_node_that_started_again_is_judged_anew() -> None:
    records = [record("first"), record("second")]
    balancer = make_balancer(*records)
    for _ in range(10):
        report(balancer, records[0], slowness=8.0)
        report(balancer, records[1], slowness=4.0)
    balancer.reinstate("first", 100.0)
    balancer.record_start("second", 100.0)
    chosen = balancer.choose("jobs", set(), True, 100.0, None, KIND)
    assert chosen is not None
    assert chosen.node_id == "first"
