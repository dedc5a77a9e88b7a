"""Levels of services along the chain, as responses tell them."""

import pytest

from briardock.mesh import chain
from briardock.mesh.chain import ChainLevel, LearnedLevels, Levels
from briardock.mesh.thresholds import OPEN_THRESHOLD
from mesh_builders import Time

HIGHEST = 2.0


def told(service: str, level: float, age_s: float = 0.0) -> dict[str, ChainLevel]:
    """Return the chain of a response that names one service."""
    return {service: ChainLevel(level, age_s)}


def test_one_overloaded_instance_does_not_limit_its_service(clock: Time) -> None:
    """A slow instance once had the requests of its whole domain refused."""
    learned = LearnedLevels()
    learned.learn("jobs", "slow", Levels(1.0), 3.0)
    learned.learn("jobs", "fast", Levels(OPEN_THRESHOLD), 3.0)
    assert learned.of_service("jobs", 3.0) == OPEN_THRESHOLD
    clock.now += 0.6
    learned.learn("jobs", "slow", Levels(1.0), 3.0)
    clock.now += 0.6
    assert learned.of_service("jobs", 3.0) == 1.0


def test_learned_level_opens_step_by_step_after_its_lifetime(clock: Time) -> None:
    """A service that refused everything was flooded 3 s after its last response."""
    learned = LearnedLevels()
    learned.learn("jobs", "a", Levels(0.5, told("maps", 0.5)), 3.0)
    clock.now += chain.LEVEL_LIFETIME_S
    assert learned.of_service("jobs", 3.0) == 0.5
    clock.now += 1.0
    assert 1.0 < learned.of_service("jobs", 3.0) < 2.0
    clock.now += 2.0
    assert learned.of_service("jobs", 3.0) == OPEN_THRESHOLD


def test_rare_responses_count_more_than_frequent_ones(clock: Time) -> None:
    """An entry that refused nearly everything kept a low level for seconds, since
    each of its few responses moved the average by a tenth only.
    """
    learned = LearnedLevels()
    learned.learn("jobs", "a", Levels(OPEN_THRESHOLD, told("maps", 0.5)), 3.0)
    for _ in range(10):
        clock.now += 0.001
        learned.learn("jobs", "a", Levels(OPEN_THRESHOLD, told("maps", 2.5)), 3.0)
    assert learned.of_service("jobs", 3.0) < 1.0
    clock.now += 1.0
    learned.learn("jobs", "a", Levels(OPEN_THRESHOLD, told("maps", 2.5)), 3.0)
    assert learned.of_service("jobs", 3.0) > 2.4


@pytest.mark.parametrize("circle", [["a", "b"], ["a", "b", "c"]])
def test_level_does_not_last_in_a_circle_of_services(
    clock: Time, circle: list[str]
) -> None:
    """Services that call each other kept a low level for more than 15 s after the
    only overload had ended (fault soak, seed 102).
    """
    learned = {service: LearnedLevels() for service in circle}
    callees = dict(zip(circle, [*circle[1:], circle[0]], strict=True))
    own = dict.fromkeys(circle, OPEN_THRESHOLD) | {"a": 1.2}
    for step in range(100):
        clock.now += 0.05
        if step == 20:
            own["a"] = OPEN_THRESHOLD
        for service, called in callees.items():
            further = learned[called].along_chain([callees[called]], called, HIGHEST)
            answer = Levels(own[called], further)
            learned[service].learn(called, "n", answer, HIGHEST)
        if step == 19:
            assert learned[circle[-1]].of_service("a", HIGHEST) == 1.2
    for service, called in callees.items():
        assert learned[service].of_service(called, HIGHEST) == OPEN_THRESHOLD


def test_outdated_level_does_not_replace_a_newer_one(clock: Time) -> None:
    """An instance that rarely calls a service tells what it learned long ago."""
    learned = LearnedLevels()
    learned.learn("jobs", "busy", Levels(OPEN_THRESHOLD, told("maps", 1.5)), HIGHEST)
    for _ in range(10):
        clock.now += 0.1
        stale = Levels(OPEN_THRESHOLD, told("maps", 0.2, 2.5))
        learned.learn("jobs", "rare", stale, HIGHEST)
    assert learned.of_service("jobs", HIGHEST) == 1.5


def test_levels_of_all_services_further_along_are_passed_on(clock: Time) -> None:
    """The deepest service limits the entries however many nodes relay its level."""
    inner, outer = LearnedLevels(), LearnedLevels()
    inner.learn("maps", "m", Levels(1.25), HIGHEST)
    clock.now += 0.5
    outer.learn(
        "jobs",
        "j",
        Levels(OPEN_THRESHOLD, inner.along_chain(["maps"], "jobs", HIGHEST)),
        HIGHEST,
    )
    assert outer.of_service("jobs", HIGHEST) == 1.25
    assert outer.along_chain(["jobs"], "portal", HIGHEST) == told("maps", 1.25, 0.5)
