"""Tests of instance choice, ejection and remembered refusal levels."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from briardock.admission import LOWEST_PRIORITY
from briardock.clock import ManualClock, make_random
from briardock.metrics import Metrics
from briardock.outcomes import NotRun, Reason
from briardock.routing import (
    Choice,
    Instance,
    Observation,
    ObservationKind,
    Router,
    RoutingSettings,
    make_router,
)

OK = ObservationKind.OK
REFUSED = ObservationKind.REFUSED
FAILED = ObservationKind.FAILED
LOST = ObservationKind.LOST


def instance(node_id: str, domain: str = "a", incarnation: int = 1) -> Instance:
    return Instance(node_id, incarnation, "map", domain, "127.0.0.1", 7000)


def make(*instances: Instance) -> tuple[Router, ManualClock]:
    clock = ManualClock()
    router = make_router(RoutingSettings(), "a", clock, make_random(3), Metrics())
    router.update(instances)
    return router, clock


def choose(router: Router, exclude: tuple[str, ...] = ()) -> str:
    choice = router.choose("map", exclude)
    assert isinstance(choice, Choice)
    return choice.instance.node_id


def answer(
    router: Router,
    node_id: str,
    latency_ms: float = 5.0,
    load: float = 0.2,
    level: int = LOWEST_PRIORITY,
    kind: ObservationKind = OK,
) -> None:
    router.started(node_id)
    router.observe(node_id, Observation(kind, latency_ms, load, level))


def answers(router: Router, count: int, *node_ids: str) -> None:
    for _ in range(count):
        for node_id in node_ids:
            answer(router, node_id)


def fail(router: Router, node_id: str, count: int = 10) -> None:
    for _ in range(count):
        router.started(node_id)
        router.observe(node_id, Observation(LOST))


def shares(router: Router, count: int = 1_000) -> Counter[str]:
    return Counter(choose(router) for _ in range(count))


@pytest.mark.parametrize("exclude", [(), ("n1",), ("n1", "n2")])
def test_no_instance_is_a_typed_refusal(exclude: tuple[str, ...]) -> None:
    router, _ = make(*[instance(node_id) for node_id in exclude])
    result = router.choose("map", exclude)
    assert isinstance(result, NotRun)
    assert result.reason is Reason.NO_INSTANCE


def test_own_failure_domain_is_preferred() -> None:
    router, _ = make(instance("n1"), instance("n2"), instance("n3", "b"))
    assert set(shares(router)) == {"n1", "n2"}


def test_other_failure_domain_serves_when_the_own_has_none() -> None:
    router, _ = make(instance("n3", "b"))
    assert choose(router) == "n3"


@pytest.mark.parametrize(
    "load, level, kind, other_load, other_level, chosen",
    [
        (0.5, LOWEST_PRIORITY, OK, 0.1, LOWEST_PRIORITY, "own"),
        (1.2, LOWEST_PRIORITY, OK, 0.1, LOWEST_PRIORITY, "other"),
        (0.8, 300, OK, 0.1, LOWEST_PRIORITY, "other"),
        (0.8, LOWEST_PRIORITY, REFUSED, 0.1, LOWEST_PRIORITY, "other"),
        (1.2, LOWEST_PRIORITY, OK, 0.95, LOWEST_PRIORITY, "own"),
        (1.2, LOWEST_PRIORITY, OK, 0.1, 300, "own"),
    ],
)
def test_spill_only_to_room(
    load: float,
    level: int,
    kind: ObservationKind,
    other_load: float,
    other_level: int,
    chosen: str,
) -> None:
    # Guards against overload that moves from one failure domain to the next.
    router, _ = make(instance("own"), instance("other", "b"))
    answers(router, 5, "own", "other")
    answer(router, "own", load=load, level=level, kind=kind)
    answer(router, "other", load=other_load, level=other_level)
    assert choose(router) == chosen


def test_spill_ends_when_the_memory_expires() -> None:
    router, clock = make(instance("own"), instance("other", "b"))
    answer(router, "own", load=1.5)
    clock.advance(1_000.0)
    assert choose(router) == "own"


def test_less_loaded_instance_gets_more() -> None:
    router, _ = make(instance("n1"), instance("n2"), instance("n3"))
    answers(router, 10, "n1", "n2", "n3")
    for _ in range(5):
        router.started("n1")
    seen = shares(router)
    assert seen["n1"] < seen["n2"] / 2
    assert seen["n1"] < seen["n3"] / 2


def test_new_instance_gets_no_flood() -> None:
    # Guards against a cold instance that looks idle to every caller.
    router, _ = make(instance("n1"), instance("n2"))
    answers(router, 20, "n1", "n2")
    router.update([instance("n1"), instance("n2"), instance("n3")])
    for _ in range(200):
        router.started(choose(router))
    state = router.state()
    fresh = state["n3"]
    assert isinstance(fresh, dict)
    assert fresh["in_flight"] <= RoutingSettings().fresh_in_flight


def test_update_keeps_observations_of_the_same_incarnation() -> None:
    router, _ = make(instance("n1"), instance("n2"))
    answers(router, 3, "n1", "n2")
    router.update([instance("n1"), instance("n2", incarnation=2)])
    state = router.state()
    latencies = [state[n]["latency_ms"] for n in ("n1", "n2")]  # type: ignore[index]
    assert latencies == [5.0, 0.0]


@pytest.mark.parametrize("kind", [FAILED, LOST])
def test_failing_instance_is_ejected_and_probed(kind: ObservationKind) -> None:
    router, clock = make(*[instance(f"n{i}") for i in range(3)])
    answers(router, 20, "n0", "n1", "n2")
    for _ in range(5):
        router.started("n0")
        router.observe("n0", Observation(kind))
    assert "n0" not in shares(router)
    clock.advance(1_200.0)
    assert "n0" in shares(router)
    router.started("n0")
    assert "n0" not in shares(router)


def test_ejection_time_grows() -> None:
    router, clock = make(instance("n1"), instance("n2"))
    answers(router, 20, "n1", "n2")
    lasted_ms = []
    for _ in range(3):
        fail(router, "n1")
        began_ms = clock.now_ms()
        while "n1" not in shares(router, 50):
            clock.advance(100.0)
        lasted_ms.append(clock.now_ms() - began_ms)
    assert lasted_ms[0] < lasted_ms[1] < lasted_ms[2]


def test_slow_instance_is_ejected() -> None:
    router, _ = make(*[instance(f"n{i}") for i in range(3)])
    answers(router, 20, "n1", "n2")
    for _ in range(20):
        answer(router, "n0", latency_ms=100.0)
    assert "n0" not in shares(router)


def test_equally_slow_instances_stay() -> None:
    # Guards against ejections while a deep service slows all instances.
    router, _ = make(*[instance(f"n{i}") for i in range(3)])
    for _ in range(30):
        for node_id in ("n0", "n1", "n2"):
            answer(router, node_id, latency_ms=500.0)
    assert len(shares(router)) == 3


def test_only_instance_is_never_ejected() -> None:
    router, _ = make(instance("n1"))
    fail(router, "n1", 50)
    assert choose(router) == "n1"


@given(st.integers(2, 12), st.lists(st.tuples(st.integers(0, 11), st.booleans())))
def test_ejected_share_is_capped(
    count: int, observations: list[tuple[int, bool]]
) -> None:
    # Guards against a caller that ejects all instances when the network fails.
    router, clock = make(*[instance(f"n{i}") for i in range(count)])
    for index, lost in observations * 3:
        node_id = f"n{index % count}"
        router.started(node_id)
        kind = LOST if lost else OK
        router.observe(node_id, Observation(kind, 5.0, 0.1, LOWEST_PRIORITY))
        clock.advance(10.0)
        out = [
            item
            for item in router.state().values()
            if isinstance(item, dict) and item["ejected_for_ms"] > 0
        ]
        assert len(out) <= max(1, count // 3)


@given(
    st.sets(st.integers(0, 7)),
    st.sets(st.integers(0, 7)),
    st.lists(st.tuples(st.integers(0, 7), st.sampled_from(list(ObservationKind)))),
    st.integers(0, 2**32),
)
def test_choice_is_usable_and_not_excluded(
    usable: set[int],
    excluded: set[int],
    observations: list[tuple[int, ObservationKind]],
    seed: int,
) -> None:
    # Guards against dispatches to removed instances or to those already tried.
    clock = ManualClock()
    router = make_router(RoutingSettings(), "a", clock, make_random(seed), Metrics())
    router.update([instance(f"n{i}", "ab"[i % 2]) for i in range(8)])
    for index, kind in observations:
        router.started(f"n{index}")
        router.observe(f"n{index}", Observation(kind, 30.0, 1.0, 5))
    router.update([instance(f"n{i}", "ab"[i % 2]) for i in usable])
    for index, kind in observations:
        router.observe(f"n{index}", Observation(kind, 30.0, 1.0, 5))
    exclude = {f"n{i}" for i in excluded}
    for _ in range(20):
        result = router.choose("map", exclude)
        if isinstance(result, Choice):
            assert int(result.instance.node_id[1:]) in usable - excluded
            router.started(result.instance.node_id)
        else:
            assert not usable - excluded


@pytest.mark.parametrize(
    "levels, expected",
    [
        ([300, 200], 300),
        ([300, None], LOWEST_PRIORITY),
        ([0, 0], 0),
        ([], LOWEST_PRIORITY),
    ],
)
def test_refusal_level_is_the_highest_remembered(
    levels: list[int | None], expected: int
) -> None:
    router, _ = make(*[instance(f"n{i}") for i in range(len(levels))])
    for index, level in enumerate(levels):
        if level is not None:
            answer(router, f"n{index}", level=level)
    assert router.refusal_level("map") == expected


def test_remembered_level_expires() -> None:
    # Guards against early refusals that outlast the overload.
    router, clock = make(instance("n1"))
    answer(router, "n1", level=100)
    assert router.refusal_level("map") == 100
    clock.advance(1_100.0)
    assert router.refusal_level("map") == LOWEST_PRIORITY


def test_early_refusal_lets_probes_pass() -> None:
    router, clock = make(instance("n1"))
    passed_count = 0
    for _ in range(1_000):
        answer(router, "n1", level=100)
        assert router.admits("map", 100)
        passed_count += router.admits("map", 101)
        clock.advance(1.0)
    assert 10 <= passed_count <= 80


def test_service_without_instances_admits() -> None:
    # The refusal is then given by choose, with its own reason.
    router, _ = make()
    assert router.admits("map", LOWEST_PRIORITY)
