"""Load patterns replayed in simulated time on the decisions of the product.

The bounds are those of docs/design.md, section 1, and the work that fits into the slots
of the deepest service if the most important requests go first.
"""

import functools
import json
from pathlib import Path

import pytest

from briardock.exceptions import SettingsError
from briardock.overload.waiting import usable_slots
from briardock_standins.replay.command import replay
from briardock_standins.replay.pattern import Pattern, read_pattern
from briardock_standins.replay.report import ReplayReport
from briardock_standins.replay.simulation import Simulation

PATTERNS = Path(__file__).resolve().parent.parent / "benchmarks" / "patterns"
# Share of the important requests that has to be served while their own demand fits.
IMPORTANT_SERVED = 0.99
# Share of the work that fits that has to be done.
GOODPUT = 0.9
# Share of the usual goodput to be reached again, and the time until then, s.
RECOVERED = 0.95
RECOVERY_S = 2.0
MAX_WASTED = 0.05
# Slot time at the deepest service, s.
RECORDS_S = 8 * 0.06
HAZARD_S = 0.095


@functools.cache
def replayed(name: str) -> tuple[Pattern, ReplayReport]:
    pattern = read_pattern(PATTERNS / f"{name}.ini")
    return pattern, Simulation(pattern).run()


def share_that_fits(pattern: Pattern, factor: float) -> float:
    """Return the share of the least important requests that the slots bear."""
    maps = pattern.services["maps"]
    slots = maps.instances * usable_slots(maps.slots)
    rates = {name: route.per_s * factor for name, route in pattern.routes.items()}
    left = slots - rates["issue"] * RECORDS_S - rates["hazard"] * HAZARD_S
    return max(0.0, min(1.0, left / (rates["sheet"] * RECORDS_S)))


@pytest.mark.parametrize("route", ["issue", "book", "hazard", "sheet"])
def test_demand_that_fits_is_served_in_time(route: str) -> None:
    """At nine tenths of the capacity a third of the least important requests was
    refused: bursts of calls and the rare requests at each entry counted as overload.
    """
    _, report = replayed("steady")
    assert report.share("in_time", route, 0.0, 20.0) >= IMPORTANT_SERVED - 0.02
    assert report.share("refused", route, 0.0, 20.0) <= 1.0 - IMPORTANT_SERVED


@pytest.mark.parametrize("route", ["issue", "book", "hazard"])
@pytest.mark.parametrize("name", ["surge", "overload-2"])
def test_important_requests_are_served_in_a_surge(name: str, route: str) -> None:
    """Thresholds learned from rare responses fell below the priority of bookings."""
    pattern, report = replayed(name)
    end_s = pattern.general.duration_s - 5.0
    served = report.share("in_time", route, 0.0, end_s)
    served += report.share("late", route, 0.0, end_s)
    assert served >= IMPORTANT_SERVED


@pytest.mark.parametrize(
    ("name", "factor", "from_s", "to_s"),
    [("overload-2", 2.0, 6.0, 14.0), ("surge", 1.7, 12.0, 20.0)],
)
def test_the_rest_of_the_capacity_serves_the_least_important(
    name: str, factor: float, from_s: float, to_s: float
) -> None:
    """Half of it was left unused while thresholds swung. The first seconds, in which
    demand rises or instances are replaced, are left out.
    """
    pattern, report = replayed(name)
    fitting = share_that_fits(pattern, factor)
    assert report.share("in_time", "sheet", from_s, to_s) >= GOODPUT * fitting


# The targets that lost power are cold, with half of their capacity, until second 10.
@pytest.mark.parametrize(
    ("name", "end_s"), [("surge", 20.0), ("overload-2", 14.0), ("power-loss", 10.0)]
)
def test_service_is_as_before_soon_after_an_overload(name: str, end_s: float) -> None:
    """Entries that refuse everything got no responses and went on for 4 to 10 s."""
    _, report = replayed(name)
    before = report.share("in_time", "sheet", 0.0, 4.0)
    from_s = end_s + RECOVERY_S
    after = report.share("in_time", "sheet", from_s, from_s + 3.0)
    assert after >= RECOVERED * before


@pytest.mark.parametrize("name", ["surge", "overload-2"])
def test_little_work_is_done_in_vain(name: str) -> None:
    """Runs that fail at the end of a chain take slots from those that could succeed."""
    _, report = replayed(name)
    wasted_s, spent_s = sum(report.wasted_s.values()), sum(report.spent_s.values())
    assert wasted_s <= MAX_WASTED * spent_s


def test_callers_that_ignore_the_retry_after_time_gain_nothing() -> None:
    """A third of the callers comes back at once, and up to three times."""
    _, report = replayed("surge")
    told = [t for t in report.told if t.route == "sheet" and 6.0 <= t.at_s < 20.0]
    impatient = [t for t in told if t.attempts > 2]
    # Those with more than two attempts were refused at least twice at once.
    served = sum(t.result == "served" for t in impatient)
    assert served <= 0.1 * len(impatient)


@pytest.mark.parametrize("route", ["hazard", "sheet"])
def test_slow_instances_are_avoided(route: str) -> None:
    """Two fifths of the instances are 12 times slower, which fewer responses show to
    each node than there are instances.
    """
    pattern, report = replayed("slow-instances")
    assert report.share("in_time", route, 6.0, 14.0) >= GOODPUT


def test_routes_that_do_not_need_a_full_service_are_served() -> None:
    """Callers' requests at the nodes of `archives` counted as calls of `board`, and
    from second 6 on all downloads were refused for its sake.
    """
    _, report = replayed("full-service")
    assert report.share("refused", "archive-download", 0.0, 24.0) <= 0.01
    assert report.share("in_time", "archive-download", 0.0, 23.0) >= IMPORTANT_SERVED


def test_a_less_important_route_gives_way_at_a_shared_service() -> None:
    """Long runs of the least important callers left no slots to the short calls of more
    important requests: 0.92 of those were served, and 0.41 of these.
    """
    _, report = replayed("long-runs")
    assert report.share("in_time", "play", 0.0, 23.0) >= 0.97
    refused = report.share("refused", "standings", 0.0, 23.0)
    assert report.share("refused", "play", 0.0, 23.0) <= 0.02 < refused
    # 0.58 of the long runs fit into the slots that the calls leave.
    assert report.share("served", "standings", 0.0, 20.0) >= 0.45


def test_a_minor_load_does_not_give_way_alone() -> None:
    """At four times the demand 0.28 of the hazard checks, which use 0.15 of the slots,
    were refused for 0.06 of the more important certificates.
    """
    _, report = replayed("overload-4")
    important = report.share("served", "issue", 0.0, 22.0)
    minor = report.share("served", "hazard", 0.0, 22.0)
    # The shares before less important routes gave way were 0.93 and 0.97.
    assert important >= 0.93
    assert minor >= GOODPUT * 0.97
    assert important >= minor - 0.05


def test_requests_of_one_priority_are_served_alike_wherever_they_enter() -> None:
    """Two routes of one priority share a full service: where requests enter there, 0.63
    were served, and 0.16 where they only make a call there.
    """
    _, report = replayed("full-service")
    entering = report.share("served", "move-submit", 8.0, 22.0)
    calling = report.share("served", "game-history", 8.0, 22.0)
    # Callers' requests go first in the queue, so more of the calls are late.
    assert calling >= 2 / 3 * entering


def test_report_counts_each_request_once() -> None:
    _, report = replayed("overload-2")
    for route in ("sheet", "issue"):
        counts = report.counts(route)
        results = ("in_time", "late", "refused", "failed", "left", "waiting")
        assert sum(counts[name] for name in results) == counts["offered"]
        rows = report.by_period(1.0)[route]
        assert sum(row["offered"] for row in rows) == counts["offered"]


def test_command_prints_the_same_result_for_the_same_seed(
    capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    short = tmp_path / "short.ini"
    text = (PATTERNS / "steady.ini").read_text()
    short.write_text(text.replace("duration_s = 24", "duration_s = 3"))
    for _ in range(2):
        replay(short, seed=5)
    first, second = capsys.readouterr().out.splitlines()
    assert first == second
    result = json.loads(first)
    assert result["seed"] == 5
    assert result["routes"]["sheet"]["offered"] > 50


@pytest.mark.parametrize(
    ("change", "message", "remedy"),
    [
        (("slots = 15", "slot = 15"), ":9: key 'slot' is unknown", "did you mean"),
        (("slots = 15", "slots = no"), ":9: key 'slots'", "correct the value"),
        (("slots = 15", ""), ":7: key 'slots' is missing", "add it"),
        (("[service maps]", "[servic maps]"), "unknown section", "did you mean"),
        (("calls = bookings.calendar\n", "calls = x.y\n"), "names 'x.y'", "known are"),
        (("together = yes", "together = 1"), "is not yes or no", "write yes or no"),
        (("*4", "*x"), "has no count", "NAME*COUNT"),
        (("[pattern]", "pattern"), ":1:", "correct this line"),
    ],
)
def test_faults_of_a_pattern_name_file_line_key_and_remedy(
    change: tuple[str, str], message: str, remedy: str, tmp_path: Path
) -> None:
    path = tmp_path / "bad.ini"
    path.write_text((PATTERNS / "steady.ini").read_text().replace(*change, 1))
    with pytest.raises(SettingsError) as caught:
        read_pattern(path)
    assert str(path) in str(caught.value)
    assert message in str(caught.value)
    assert remedy in str(caught.value)
