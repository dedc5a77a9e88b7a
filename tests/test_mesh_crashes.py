"""Requests that crash targets."""

from dataclasses import replace

import pytest

from briardock.clock import ManualClock
from briardock.mesh import crashes
from briardock.mesh.crashes import CrashSuspects
from mesh_builders import Time, make_call, make_target
from mesh_fakes import announcement


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


@pytest.mark.anyio
async def test_request_in_flight_at_three_deaths_is_refused(clock: Time) -> None:
    """It comes again under other ids and would crash one target after the other."""
    spread: list[object] = []
    suspects = CrashSuspects(ManualClock(), spread.append)
    poison, innocent = make_call(body=b"poison"), make_call(body=b"fine")
    for death in range(3):
        assert not suspects.refuses(poison)
        suspects.record_loss(replace(poison, request_id=b"%d" % death))
        if death == 0:
            suspects.record_loss(innocent)
        suspects.record_death(f"i-{death}")
    assert suspects.refuses(poison) and not suspects.refuses(innocent)
    assert len(spread) == 3


def test_suspects_below_the_limit_cost_no_time_per_call(
    clock: Time, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Hundreds of suspects were encoded for each call, and nodes ran out of cores."""
    suspects = CrashSuspects(ManualClock(), lambda entries: None)
    for number in range(400):
        suspects.record_loss(make_call(target=b"/a/%d" % number))
    suspects.record_death("i-1")
    hashed: list[object] = []
    monkeypatch.setattr(crashes, "_fingerprint", hashed.append)
    monkeypatch.setattr(suspects.quarantine, "_wire", hashed.append)
    assert not suspects.refuses(make_call(target=b"/a/1"))
    assert not hashed


def test_lost_answer_without_a_death_is_no_crash(clock: Time) -> None:
    suspects = CrashSuspects(ManualClock(), lambda entries: None)
    for death in range(3):
        suspects.record_loss(make_call())
        clock.now += 5.0
        suspects.record_death(f"i-{death}")
    assert not suspects.refuses(make_call())


def test_restart_of_the_target_counts_as_its_death(clock: Time) -> None:
    local_target = make_target()
    for start in range(4):
        local_target.announce(announcement(born_ms=start + 1))
        local_target._crashes.record_loss(make_call())
    assert local_target._crashes.refuses(make_call())
