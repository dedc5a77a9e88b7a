"""Admission thresholds along the call chain, learned from responses."""

import pytest

from briardock.overload import chain
from briardock.overload.admission import OPEN_THRESHOLD
from briardock.overload.chain import (
    ChainThreshold,
    InstanceThresholds,
    LearnedThresholds,
)
from mesh_builders import FakeClock

MAX_THRESHOLD = 2.0


def make_chain(
    service: str, threshold: float, age_s: float = 0.0
) -> dict[str, ChainThreshold]:
    """Return the chain of a response that names one service."""
    return {service: ChainThreshold(threshold, age_s)}


def test_one_overloaded_instance_does_not_limit_its_service(clock: FakeClock) -> None:
    """A slow instance must not have the requests of its whole domain refused."""
    learned = LearnedThresholds()
    learned.learn("jobs", "slow", InstanceThresholds(1.0), 3.0, clock.now)
    learned.learn("jobs", "fast", InstanceThresholds(OPEN_THRESHOLD), 3.0, clock.now)
    assert learned.of_service("jobs", 3.0, clock.now) == OPEN_THRESHOLD
    clock.now += 0.6
    learned.learn("jobs", "slow", InstanceThresholds(1.0), 3.0, clock.now)
    clock.now += 0.6
    assert learned.of_service("jobs", 3.0, clock.now) == 1.0


def test_learned_threshold_rises_gradually_after_its_lifetime(clock: FakeClock) -> None:
    """A service that refuses everything sends no responses, and must not be flooded
    when its last one expires after 3 s.
    """
    learned = LearnedThresholds()
    learned.learn(
        "jobs", "a", InstanceThresholds(0.5, make_chain("maps", 0.5)), 3.0, clock.now
    )
    clock.now += chain.THRESHOLD_LIFETIME_S
    assert learned.of_service("jobs", 3.0, clock.now) == 0.5
    clock.now += 1.0
    assert 1.0 < learned.of_service("jobs", 3.0, clock.now) < 2.0
    clock.now += 2.0
    assert learned.of_service("jobs", 3.0, clock.now) == OPEN_THRESHOLD


def test_rare_responses_count_more_than_frequent_ones(clock: FakeClock) -> None:
    """With a fixed weight of a tenth for each response, an entry node that refuses
    nearly everything gets few responses and keeps a low threshold for seconds.
    """
    learned = LearnedThresholds()
    learned.learn(
        "jobs",
        "a",
        InstanceThresholds(OPEN_THRESHOLD, make_chain("maps", 0.5)),
        3.0,
        clock.now,
    )
    for _ in range(10):
        clock.now += 0.001
        learned.learn(
            "jobs",
            "a",
            InstanceThresholds(OPEN_THRESHOLD, make_chain("maps", 2.5)),
            3.0,
            clock.now,
        )
    assert learned.of_service("jobs", 3.0, clock.now) < 1.0
    clock.now += 1.0
    learned.learn(
        "jobs",
        "a",
        InstanceThresholds(OPEN_THRESHOLD, make_chain("maps", 2.5)),
        3.0,
        clock.now,
    )
    assert learned.of_service("jobs", 3.0, clock.now) > 2.4


@pytest.mark.parametrize("cycle", [["a", "b"], ["a", "b", "c"]])
def test_low_threshold_does_not_persist_in_a_cycle_of_services(
    clock: FakeClock, cycle: list[str]
) -> None:
    """Services that call each other could pass a low threshold around for more than
    15 s after the only overload had ended (fault soak, seed 102).
    """
    learned = {service: LearnedThresholds() for service in cycle}
    callee_of = dict(zip(cycle, [*cycle[1:], cycle[0]], strict=True))
    instance_threshold = dict.fromkeys(cycle, OPEN_THRESHOLD) | {"a": 1.2}
    for step in range(100):
        clock.now += 0.05
        if step == 20:
            instance_threshold["a"] = OPEN_THRESHOLD
        for service, callee in callee_of.items():
            callee_thresholds = learned[callee].along_chain(
                [callee_of[callee]],
                callee,
                MAX_THRESHOLD,
                clock.now,
            )
            response = InstanceThresholds(instance_threshold[callee], callee_thresholds)
            learned[service].learn(callee, "n", response, MAX_THRESHOLD, clock.now)
        if step == 19:
            assert learned[cycle[-1]].of_service("a", MAX_THRESHOLD, clock.now) == 1.2
    for service, callee in callee_of.items():
        assert (
            learned[service].of_service(callee, MAX_THRESHOLD, clock.now)
            == OPEN_THRESHOLD
        )


def test_outdated_threshold_does_not_replace_a_newer_one(clock: FakeClock) -> None:
    """An instance that rarely calls a service reports what it learned long ago."""
    learned = LearnedThresholds()
    learned.learn(
        "jobs",
        "busy",
        InstanceThresholds(OPEN_THRESHOLD, make_chain("maps", 1.5)),
        MAX_THRESHOLD,
        clock.now,
    )
    for _ in range(10):
        clock.now += 0.1
        stale = InstanceThresholds(OPEN_THRESHOLD, make_chain("maps", 0.2, 2.5))
        learned.learn("jobs", "rare", stale, MAX_THRESHOLD, clock.now)
    assert learned.of_service("jobs", MAX_THRESHOLD, clock.now) == 1.5


def test_thresholds_of_all_services_along_the_chain_are_passed_on(
    clock: FakeClock,
) -> None:
    """The threshold of the deepest service must reach the entry nodes, regardless of
    how many nodes relay it.
    """
    inner, outer = LearnedThresholds(), LearnedThresholds()
    inner.learn("maps", "m", InstanceThresholds(1.25), MAX_THRESHOLD, clock.now)
    clock.now += 0.5
    outer.learn(
        "jobs",
        "j",
        InstanceThresholds(
            OPEN_THRESHOLD,
            inner.along_chain(["maps"], "jobs", MAX_THRESHOLD, clock.now),
        ),
        MAX_THRESHOLD,
        clock.now,
    )
    assert outer.of_service("jobs", MAX_THRESHOLD, clock.now) == 1.25
    assert outer.along_chain(
        ["jobs"], "portal", MAX_THRESHOLD, clock.now
    ) == make_chain("maps", 1.25, 0.5)
