"""Quarantine of requests that crash targets."""

from dataclasses import replace

import pytest

from briardock.clock import ManualClock
from briardock.mesh import crashes
from briardock.mesh.crashes import CrashSuspects
from mesh_builders import FakeClock, make_call, make_target
from mesh_fakes import announcement


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


@pytest.mark.anyio
async def test_request_in_flight_at_three_deaths_is_refused(clock: FakeClock) -> None:
    """The request is sent again under other ids and would crash target after target."""
    published: list[object] = []
    suspects = CrashSuspects(ManualClock(), published.append)
    crashing, harmless = make_call(body=b"poison"), make_call(body=b"fine")
    for death in range(3):
        assert not suspects.refuses(crashing)
        suspects.record_loss(replace(crashing, request_id=b"%d" % death))
        if death == 0:
            suspects.record_loss(harmless)
        suspects.record_death(f"i-{death}")
    assert suspects.refuses(crashing) and not suspects.refuses(harmless)
    assert len(published) == 3


def test_suspects_below_the_limit_are_not_compared_for_each_call(
    clock: FakeClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Encoding hundreds of suspects for each call exhausts the processors of nodes."""
    suspects = CrashSuspects(ManualClock(), lambda entries: None)
    for number in range(400):
        suspects.record_loss(make_call(target=b"/a/%d" % number))
    suspects.record_death("i-1")
    encoded: list[object] = []
    monkeypatch.setattr(crashes, "_fingerprint", encoded.append)
    monkeypatch.setattr(suspects.quarantine, "_to_wire", encoded.append)
    assert not suspects.refuses(make_call(target=b"/a/1"))
    assert not encoded


def test_lost_response_without_a_death_is_not_suspected(clock: FakeClock) -> None:
    suspects = CrashSuspects(ManualClock(), lambda entries: None)
    for death in range(3):
        suspects.record_loss(make_call())
        clock.now += 5.0
        suspects.record_death(f"i-{death}")
    assert not suspects.refuses(make_call())


def test_restart_of_the_target_counts_as_its_death(clock: FakeClock) -> None:
    local_target = make_target()
    for start in range(4):
        local_target.announce(announcement(born_ms=start + 1))
        local_target._crash_suspects.record_loss(make_call())
    assert local_target._crash_suspects.refuses(make_call())
