"""Tests of instance choice, ejection and the thresholds of instances."""

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


def make(*instances: Instance, seed: int = 3) -> tuple[Router, ManualClock]:
    clock = ManualClock()
    router = make_router(RoutingSettings(), "a", clock, make_random(seed), Metrics())
    router.update(instances)
    return router, clock


def choose(router: Router, exclude: tuple[str, ...] = ()) -> str:
    choice = router.choose("map", exclude)
    assert isinstance(choice, Choice)
    return choice.instance.node_id


def respond(
    router: Router,
    node_id: str,
    latency_ms: float = 5.0,
    load: float = 0.2,
    threshold: int = LOWEST_PRIORITY,
    kind: ObservationKind = OK,
) -> None:
    router.record_dispatch(node_id)
    router.observe(node_id, Observation(kind, latency_ms, load, threshold))


def respond_each(router: Router, count: int, *node_ids: str) -> None:
    for _ in range(count):
        for node_id in node_ids:
            respond(router, node_id)


def fail(router: Router, node_id: str, count: int = 10) -> None:
    for _ in range(count):
        router.record_dispatch(node_id)
        router.observe(node_id, Observation(LOST))


def count_choices(router: Router, count: int = 1_000) -> Counter[str]:
    return Counter(choose(router) for _ in range(count))


@pytest.mark.parametrize("exclude", [(), ("n1",), ("n1", "n2")])
def test_no_instance_is_a_typed_refusal(exclude: tuple[str, ...]) -> None:
    router, _ = make(*[instance(node_id) for node_id in exclude])
    result = router.choose("map", exclude)
    assert isinstance(result, NotRun)
    assert result.reason is Reason.NO_INSTANCE


def test_local_failure_domain_is_preferred() -> None:
    router, _ = make(instance("n1"), instance("n2"), instance("n3", "b"))
    assert set(count_choices(router)) == {"n1", "n2"}


def test_remote_failure_domain_serves_when_the_local_has_none() -> None:
    router, _ = make(instance("n3", "b"))
    assert choose(router) == "n3"


@pytest.mark.parametrize(
    "load, threshold, kind, remote_load, remote_threshold, chosen",
    [
        (0.5, LOWEST_PRIORITY, OK, 0.1, LOWEST_PRIORITY, "local"),
        (1.2, LOWEST_PRIORITY, OK, 0.1, LOWEST_PRIORITY, "remote"),
        (0.8, 300, OK, 0.1, LOWEST_PRIORITY, "remote"),
        (0.8, LOWEST_PRIORITY, REFUSED, 0.1, LOWEST_PRIORITY, "remote"),
        (1.2, LOWEST_PRIORITY, OK, 0.95, LOWEST_PRIORITY, "local"),
        (1.2, LOWEST_PRIORITY, OK, 0.1, 300, "local"),
    ],
)
def test_spill_only_to_headroom(
    load: float,
    threshold: int,
    kind: ObservationKind,
    remote_load: float,
    remote_threshold: int,
    chosen: str,
) -> None:
    # Guards against overload that spreads from one failure domain to the next.
    router, _ = make(instance("local"), instance("remote", "b"))
    respond_each(router, 5, "local", "remote")
    respond(router, "local", load=load, threshold=threshold, kind=kind)
    respond(router, "remote", load=remote_load, threshold=remote_threshold)
    assert choose(router) == chosen


def test_spill_ends_when_the_reported_load_expires() -> None:
    router, clock = make(instance("local"), instance("remote", "b"))
    respond(router, "local", load=1.5)
    clock.advance(1_000.0)
    assert choose(router) == "local"


def test_less_loaded_instance_gets_more_calls() -> None:
    router, _ = make(instance("n1"), instance("n2"), instance("n3"))
    respond_each(router, 10, "n1", "n2", "n3")
    for _ in range(5):
        router.record_dispatch("n1")
    seen = count_choices(router)
    assert seen["n1"] < seen["n2"] / 2
    assert seen["n1"] < seen["n3"] / 2


def test_new_instance_is_not_flooded() -> None:
    # Guards against a cold instance that looks idle to every caller.
    router, _ = make(instance("n1"), instance("n2"))
    respond_each(router, 20, "n1", "n2")
    router.update([instance("n1"), instance("n2"), instance("n3")])
    for _ in range(200):
        router.record_dispatch(choose(router))
    state = router.state()
    new_state = state["n3"]
    assert isinstance(new_state, dict)
    assert new_state["in_flight"] <= RoutingSettings().new_instance_max_in_flight


def test_update_keeps_observations_of_the_same_incarnation() -> None:
    router, _ = make(instance("n1"), instance("n2"))
    respond_each(router, 3, "n1", "n2")
    router.update([instance("n1"), instance("n2", incarnation=2)])
    state = router.state()
    latencies = [state[n]["latency_ms"] for n in ("n1", "n2")]  # type: ignore[index]
    assert latencies == [5.0, 0.0]


@pytest.mark.parametrize("kind", [FAILED, LOST])
def test_failing_instance_is_ejected_and_probed(kind: ObservationKind) -> None:
    router, clock = make(*[instance(f"n{i}") for i in range(3)])
    respond_each(router, 20, "n0", "n1", "n2")
    for _ in range(5):
        router.record_dispatch("n0")
        router.observe("n0", Observation(kind))
    assert "n0" not in count_choices(router)
    clock.advance(1_200.0)
    assert "n0" in count_choices(router)
    router.record_dispatch("n0")
    assert "n0" not in count_choices(router)


def test_ejection_time_grows() -> None:
    router, clock = make(instance("n1"), instance("n2"))
    respond_each(router, 20, "n1", "n2")
    durations_ms = []
    for _ in range(3):
        fail(router, "n1")
        began_ms = clock.now_ms()
        while "n1" not in count_choices(router, 50):
            clock.advance(100.0)
        durations_ms.append(clock.now_ms() - began_ms)
    assert durations_ms[0] < durations_ms[1] < durations_ms[2]


def test_slow_instance_is_ejected() -> None:
    router, _ = make(*[instance(f"n{i}") for i in range(3)])
    respond_each(router, 20, "n1", "n2")
    for _ in range(20):
        respond(router, "n0", latency_ms=100.0)
    assert "n0" not in count_choices(router)


def test_equally_slow_instances_are_not_ejected() -> None:
    # Guards against ejections while a slow downstream service slows all instances.
    router, _ = make(*[instance(f"n{i}") for i in range(3)])
    for _ in range(30):
        for node_id in ("n0", "n1", "n2"):
            respond(router, node_id, latency_ms=500.0)
    assert len(count_choices(router)) == 3


def test_only_instance_is_never_ejected() -> None:
    router, _ = make(instance("n1"))
    fail(router, "n1", 50)
    assert choose(router) == "n1"


def test_callers_do_not_all_fall_back_to_the_same_instance() -> None:
    """Guards against the first of equals at every node when all are in use."""
    count = RoutingSettings().new_instance_max_in_flight
    chosen: Counter[str] = Counter()
    for seed in range(200):
        router, _ = make(*[instance(f"n{i}") for i in range(4)], seed=seed)
        for node_id in ("n0", "n1", "n2", "n3") * count:
            router.record_dispatch(node_id)
        chosen[choose(router)] += 1
    assert all(abs(n / 200 - 1 / 4) <= 0.2 for n in chosen.values()), chosen
    assert len(chosen) == 4


@given(st.integers(2, 12), st.lists(st.tuples(st.integers(0, 11), st.booleans())))
def test_ejected_share_is_capped(
    count: int, observations: list[tuple[int, bool]]
) -> None:
    # Guards against a caller that ejects all instances when the network fails.
    router, clock = make(*[instance(f"n{i}") for i in range(count)])
    for index, lost in observations * 3:
        node_id = f"n{index % count}"
        router.record_dispatch(node_id)
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
    # Guards against calls to removed instances or to those already tried.
    clock = ManualClock()
    router = make_router(RoutingSettings(), "a", clock, make_random(seed), Metrics())
    router.update([instance(f"n{i}", "ab"[i % 2]) for i in range(8)])
    for index, kind in observations:
        router.record_dispatch(f"n{index}")
        router.observe(f"n{index}", Observation(kind, 30.0, 1.0, 5))
    router.update([instance(f"n{i}", "ab"[i % 2]) for i in usable])
    for index, kind in observations:
        router.observe(f"n{index}", Observation(kind, 30.0, 1.0, 5))
    exclude = {f"n{i}" for i in excluded}
    for _ in range(20):
        result = router.choose("map", exclude)
        if isinstance(result, Choice):
            assert int(result.instance.node_id[1:]) in usable - excluded
            router.record_dispatch(result.instance.node_id)
        else:
            assert not usable - excluded


@pytest.mark.parametrize(
    "thresholds, expected",
    [
        ([300, 200], 300),
        ([300, None], LOWEST_PRIORITY),
        ([0, 0], 0),
        ([], LOWEST_PRIORITY),
    ],
)
def test_admission_threshold_is_the_highest_of_the_instances(
    thresholds: list[int | None], expected: int
) -> None:
    router, _ = make(*[instance(f"n{i}") for i in range(len(thresholds))])
    for index, threshold in enumerate(thresholds):
        if threshold is not None:
            respond(router, f"n{index}", threshold=threshold)
    assert router.admission_threshold("map") == expected


def test_reported_threshold_expires() -> None:
    # Guards against early refusals that outlast the overload.
    router, clock = make(instance("n1"))
    respond(router, "n1", threshold=100)
    assert router.admission_threshold("map") == 100
    clock.advance(1_100.0)
    assert router.admission_threshold("map") == LOWEST_PRIORITY


def test_early_refusal_lets_probes_pass() -> None:
    router, clock = make(instance("n1"))
    passed_count = 0
    for _ in range(1_000):
        respond(router, "n1", threshold=100)
        assert router.admits("map", 100)
        passed_count += router.admits("map", 101)
        clock.advance(1.0)
    assert 10 <= passed_count <= 80


def test_service_without_instances_admits() -> None:
    # Router.choose then refuses the call with the reason NO_INSTANCE.
    router, _ = make()
    assert router.admits("map", LOWEST_PRIORITY)
