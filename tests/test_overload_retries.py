"""Retry budget, alone and of all nodes in simulated time."""

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from briardock.mesh.members import MemberTable
from briardock.overload.attempts import Attempts, MayHaveRun, NoRetry, Rejected
from briardock.overload.placement import Balancer
from briardock.overload.retries import RetryBudget
from briardock.overload.retry_reports import RetryReport
from briardock.overload.target_retries import TargetRetries
from mesh_builders import FakeClock, record
from retry_simulation import ONSET_S, Chain, Hop, Load


@given(
    st.integers(1, 40),
    st.lists(st.tuples(st.integers(0, 3), st.integers(0, 200)), max_size=60),
)
def test_retries_of_all_nodes_stay_within_the_budget(
    node_count: int, steps: list[tuple[int, int]]
) -> None:
    """The sum over all nodes must not exceed ratio x requests + slack in a window."""
    ratio, slack = 0.2, 49.0
    budget = RetryBudget(ratio, slack, 1e9)
    requests = retries = 0
    for new_requests, wanted_retries in steps:
        for _ in range(new_requests):
            budget.record_request(0.0)
        requests += new_requests
        retries += sum(budget.spend(node_count, 0.0) for _ in range(wanted_retries))
    assert retries * node_count <= ratio * requests * node_count + slack


def test_retries_expire_after_the_window(clock: FakeClock) -> None:
    budget = RetryBudget(0.2, 4.0, 10.0)
    assert [budget.spend(1, clock.now) for _ in range(3)] == [True, True, False]
    clock.now += 11
    assert budget.spend(1, clock.now)


def hops(count: int, nodes: int, rejecting: set[int], rejected: float = 0.55) -> Load:
    """Return a chain in which the hops of the given numbers reject."""
    instances = max(1, nodes // (count + 1))
    chain = [
        Hop(instances, rejected=rejected if n in rejecting else 0.0)
        for n in range(count)
    ]
    return Load(chain, max(0, nodes - count * instances))


def random_load(rng: random.Random) -> Load:
    """Return a load with random services, faults, demand and losses of reports."""
    chain: list[Hop] = []
    calls_per_request = 1
    for _ in range(rng.randint(1, 4)):
        calls = rng.choice([1, 1, 2, 4]) if calls_per_request <= 2 else 1
        calls_per_request *= calls
        hop = Hop(
            instances=rng.choice([1, 2, 3, 8, 20]),
            calls=calls,
            rejected=rng.choice([0.0, 0.1, 0.3, 0.55, 1.0]),
            rejecting=rng.choice([1.0, 0.5, 0.34, 0.1]),
            failed=rng.choice([0.0, 0.0, 0.05, 0.5, 0.9]),
        )
        chain.append(hop)
    per_s = min(rng.choice([3.0, 10.0, 60.0, 150.0]), 400.0 / calls_per_request)
    return Load(
        chain,
        entries=rng.choice([0, 3, 10, 60, 200]),
        per_s=per_s,
        later_per_s=per_s * rng.choice([0.1, 0.3, 1.0, 2.0]),
        report_delay_s=rng.choice([0.0, 0.5, 1.0]),
        lost=rng.choice([0.0, 0.3, 0.9]),
        lost_from_s=rng.choice([1e9, 1e9, ONSET_S, ONSET_S + 3.0]),
        for_s=rng.choice([1.0, 4.0, 14.0]),
    )


ALL = {0, 1, 2, 3}
# One of two instances rejects everything, so few first attempts run there, and many
# retries run at the other one.
HALF_DEAD = Hop(2, rejected=1.0, rejecting=0.5)


@pytest.mark.parametrize(
    "load",
    [
        pytest.param(Load([Hop(3, rejected=0.55)]), id="one-hop-3-nodes"),
        pytest.param(hops(2, 300, {1}), id="two-hops-300-nodes"),
        pytest.param(hops(3, 30, {0}), id="first-hop"),
        pytest.param(hops(4, 30, {3}), id="deepest-hop"),
        pytest.param(hops(4, 30, {1, 3}, 0.9), id="two-of-four-hops"),
        pytest.param(hops(4, 30, ALL), id="all-hops"),
        pytest.param(hops(4, 300, ALL), id="all-hops-300-nodes"),
        pytest.param(replace(hops(4, 30, ALL), report_delay_s=1.0), id="late-reports"),
        pytest.param(replace(hops(4, 30, ALL), lost=0.5), id="half-of-reports-lost"),
        pytest.param(replace(hops(4, 30, ALL), lost=1.0), id="no-reports"),
        pytest.param(
            replace(hops(4, 30, ALL), lost_from_s=ONSET_S), id="no-reports-from-onset"
        ),
        pytest.param(
            replace(hops(4, 30, {3}), earlier_release=0.5), id="half-earlier-release"
        ),
        pytest.param(
            Load([HALF_DEAD, Hop(3), Hop(3)], 10, 300.0, report_delay_s=1.0),
            id="dead-instance",
        ),
        pytest.param(
            Load([HALF_DEAD] * 4, 10, 200.0, report_delay_s=1.0),
            id="dead-instances-at-all-hops",
        ),
        pytest.param(
            Load(
                [
                    Hop(12, 2, 0.55),
                    Hop(8, 1, 0.55),
                    Hop(3, 4, 0.55),
                    Hop(3, 1, 0.55),
                ],
                per_s=20.0,
                report_delay_s=1.0,
            ),
            id="several-calls-per-run",
        ),
        pytest.param(
            Load([Hop(4, 4, 0.55), Hop(3)], 4, 10.0), id="several-calls-low-demand"
        ),
        pytest.param(
            Load([Hop(2, 12, failed=0.9), Hop(3)], per_s=10.0, lost_from_s=ONSET_S),
            id="many-calls-no-reports-from-onset",
        ),
        pytest.param(
            Load([Hop(5, failed=0.5)] * 4, 6, report_delay_s=1.0), id="failing-runs"
        ),
        pytest.param(
            replace(
                hops(4, 30, ALL), per_s=300.0, later_per_s=30.0, report_delay_s=1.0
            ),
            id="demand-falls-at-the-onset",
        ),
        pytest.param(
            replace(
                hops(4, 30, {3}), per_s=300.0, later_per_s=30.0, report_delay_s=1.0
            ),
            id="demand-falls-at-the-onset-deepest-hop",
        ),
    ],
)
def test_retries_at_each_service_stay_within_the_bound(load: Load) -> None:
    """A quarter of the ratio for each hop exceeded the bound by 26 arrivals where runs
    failed at all hops, and by up to 360 where demand fell at the onset from 600 to 60
    requests per s: retries saved up from many requests arrived among few.
    """
    chain = Chain(load, seed=1)
    chain.run()
    assert max(arrivals.excess() for arrivals in chain.arrivals) <= 0.0


@pytest.mark.parametrize("seed", range(25))
def test_retries_stay_within_the_bound_under_random_loads(seed: int) -> None:
    """The quarter for each hop exceeded the bound in 41 of 300 such loads."""
    chain = Chain(random_load(random.Random(seed)), seed)
    chain.run()
    assert max(arrivals.excess() for arrivals in chain.arrivals) <= 0.0


@pytest.mark.parametrize(
    ("rejecting", "shares"), [({3}, (0.13, 0.2)), ({0}, (0.1, 0.2))]
)
def test_a_single_rejecting_hop_may_use_more_than_the_quarter(
    rejecting: set[int], shares: tuple[float, float]
) -> None:
    """A deep service whose upstream hops do not retry got a quarter of the ratio."""
    load = replace(hops(4, 10, rejecting), per_s=400.0, for_s=12.0)
    chain = Chain(load, seed=1)
    chain.run()
    arrivals = chain.arrivals[min(rejecting)]
    start_s, end_s = ONSET_S + 2.0, ONSET_S + load.for_s
    first = sum(start_s <= at_s < end_s for at_s in arrivals.first_s)
    retries = sum(start_s <= at_s < end_s for at_s in arrivals.retry_s)
    assert shares[0] <= retries / first <= shares[1]


REPORT = RetryReport(100.0, 0.0, 30.0, 0.0, None, 0.0, 0.0)


@pytest.mark.parametrize(
    ("reports", "age_s", "ratio"),
    [
        ([], 0.0, 0.05),
        ([REPORT], 0.5, 0.15),
        ([REPORT], 1.5, 0.05),
        ([REPORT, None], 0.0, 0.05),
        ([replace(REPORT, retries=16.0)], 0.0, 0.0),
        ([replace(REPORT, retries=16.0), REPORT], 0.0, 0.15),
        ([replace(REPORT, recent_retries=5.0)], 0.0, 0.0),
        ([replace(REPORT, downstream_share=0.16), REPORT], 0.0, 0.0),
    ],
)
def test_ratio_follows_the_reports(
    reports: list[RetryReport | None], age_s: float, ratio: float, clock: FakeClock
) -> None:
    """Instances that make no calls know no downstream share; counting them as 0 halved
    it. A node without a report may be of the earlier release, and retry unseen.
    """
    budget = RetryBudget(0.2, 96.0, 10.0)
    for number, report in enumerate(reports):
        budget.reports.learn(f"n{number}", report, clock.now)
    assert budget.ratio(clock.now + age_s) == pytest.approx(ratio)


def test_retries_of_the_sender_itself_count_as_those_of_its_calls(
    clock: FakeClock,
) -> None:
    retries = TargetRetries(0.2, 0.0, 10.0)
    retries.budget("maps").reports.learn("n0", REPORT, clock.now)
    for inherited in (0.0, 0.0, 0.0, 1.0):
        retries.record_arrival(inherited, clock.now)
    assert retries.inherited(True, False, clock.now) == 0.25
    assert retries.inherited(True, True, clock.now) == 1.0
    assert retries.inherited(False, False, clock.now) == 0.0
    for _ in range(400):
        retries.record_request("maps", True, clock.now)
    assert not retries.budget("maps").spend(1, clock.now)
    report = retries.report(1, clock.now)
    assert report == RetryReport(3.0, 1.0, 3.0, 1.0, 0.0, 100.0, 0.0)


def test_arrivals_from_the_earlier_release_prevent_a_report(clock: FakeClock) -> None:
    """Its retries cannot be told from first attempts."""
    retries = TargetRetries(0.2, 96.0, 10.0)
    retries.record_arrival(0.0, clock.now)
    assert retries.report(3, clock.now) is not None
    retries.record_arrival(None, clock.now)
    assert retries.share(clock.now + 0.1) is None
    assert retries.report(3, clock.now + 0.1) is None


@pytest.mark.parametrize(
    ("failures", "outcome", "reason"),
    [
        (0.0, MayHaveRun(responded=True), None),
        (0.3, MayHaveRun(responded=True), NoRetry.DOWNSTREAM),
        (0.3, MayHaveRun(responded=False), None),
        (0.3, Rejected(), None),
    ],
)
def test_failures_from_downstream_are_not_repeated(
    failures: float, outcome: MayHaveRun | Rejected, reason: NoRetry | None
) -> None:
    """Retries of whole chains took the budget of the hop next to the rejections."""
    members = MemberTable(record("n0"))
    budget = RetryBudget(0.2, 96.0, 10.0)
    report = replace(REPORT, downstream_share=0.0, failures=failures)
    budget.reports.learn("n1", report, 1_000.0)
    balancer = Balancer(members, "a", random.Random(1))
    attempts = Attempts(balancer, budget, "jobs", idempotent=True, max_attempts=2)
    retry = attempts.record(record("n1"), outcome, False, 3, 1_000.0)
    assert (retry, attempts.no_retry) == (reason is None, reason)


def test_stopped_retries_are_stated_once_per_window(clock: FakeClock) -> None:
    retries = TargetRetries(0.2, 96.0, 10.0)
    reports = retries.budget("maps").reports
    found = []
    for _ in range(120):
        reports.learn("n1", replace(REPORT, retries=20.0), clock.now)
        found += retries.newly_stopped(clock.now)
        clock.now += 0.1
    assert found == ["maps", "maps"]
