"""Tests of bounds of the limiter, ejection, quarantine and checkpoints."""

import pytest

from briardock._records import Checkpoint, digest_of
from briardock.clock import ManualClock, make_random
from briardock.limiter import LimiterSettings, make_limiter
from briardock.metrics import Metrics
from briardock.publishing import make_config_state
from briardock.quarantine import QuarantineSettings, make_quarantine
from briardock.routing import (
    Instance,
    Observation,
    ObservationKind,
    RoutingSettings,
    make_router,
)


def test_limit_of_a_target_that_never_queues_stays_within_its_bound() -> None:
    # Guards against a limit that grows without bound and then falls too slowly.
    clock = ManualClock()
    limiter = make_limiter(LimiterSettings(max_limit=100), clock)
    rng = make_random(1)
    limits = []
    for _ in range(20_000):
        clock.advance(20.0 / limiter.limit)
        limiter.observe(20.0 + rng.random(), limiter.limit, True)
        limits.append(limiter.limit)
    assert max(limits) == 100


@pytest.mark.parametrize("members, max_ejected", [(1, 0), (2, 1), (3, 1), (9, 3)])
def test_ejections_leave_instances_when_all_fail(
    members: int, max_ejected: int
) -> None:
    # Guards against a caller that ejects every instance when its network fails.
    clock = ManualClock()
    router = make_router(RoutingSettings(), "a", clock, make_random(1), Metrics())
    node_ids = [f"n{i}" for i in range(members)]
    router.update([Instance(n, 1, "s", "a", "127.0.0.1", 1) for n in node_ids])
    for _ in range(50):
        for name in node_ids:
            router.record_dispatch(name)
            router.observe(name, Observation(ObservationKind.LOST))
    states = [s for s in router.state().values() if isinstance(s, dict)]
    assert sum(s["ejected_for_ms"] > 0 for s in states) == max_ejected


def test_success_that_clears_a_death_is_gossiped() -> None:
    # Guards against nodes that still suspect a request that completed elsewhere.
    quarantine = make_quarantine(QuarantineSettings(), ManualClock())
    quarantine.record_death(["f"], "d1")
    (entry,) = quarantine.record_success("f")
    assert [(d.death_id, d.cleared) for d in entry.deaths] == [("d1", True)]
    assert quarantine.record_success("f") == []


@pytest.mark.parametrize("as_of, restored", [(5, True), (6, True), (4, False)])
def test_checkpoint_covers_its_own_version(as_of: int, restored: bool) -> None:
    # Guards against a checkpoint after which records are applied a second time.
    state = make_config_state()
    checkpoint = Checkpoint(as_of, 5, {}, [], digest_of(5, {}))
    assert state.restore(checkpoint, 7) is restored
    assert state.version == (5 if restored else -1)
