"""Tests of target announcements: allowed senders, validation and expiry."""

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from briardock.announcements import (
    ANNOUNCEMENT_EXPIRY_MS,
    Announcements,
    make_announcements,
)
from briardock.budget import make_budget
from briardock.inbound import RunningCall
from briardock.listener import HttpRequest, HttpResponse
from callpath_fakes import CallPath, make_call

BODY = b'{"service":"wallet","host":"127.0.0.1","port":80,"instance":"%s"%s}'


def make_handler() -> tuple[Announcements, CallPath, list[int]]:
    path = CallPath()
    path.inbound.target_state.instance = ""
    path.inbound.target_state.service = ""
    changes: list[int] = []
    handler = make_announcements(
        path.clock, path.inbound, path.target, lambda: 3, lambda: changes.append(1)
    )
    return handler, path, changes


def announce(
    handler: Announcements, body: bytes, peer: str = "127.0.0.1:9"
) -> HttpResponse:
    return anyio.run(
        handler.handle, HttpRequest("POST", "/_briardock/target", (), body, peer)
    )


def test_repeated_announcements_report_one_change() -> None:
    handler, path, changes = make_handler()
    for load in (b"0.5", b"0.9"):
        response = announce(handler, BODY % (b"t1", b',"load":' + load))
        assert (response.status, response.body) == (200, b'{"in_flight":3}')
    state = path.inbound.target_state
    assert (state.service, state.instance, state.reported_load) == ("wallet", "t1", 0.9)
    assert path.target.address == ("127.0.0.1", 80)
    assert changes == [1]
    announce(handler, BODY % (b"t1", b',"state":"leaving"'))
    assert state.leaving
    assert changes == [1, 1]


@pytest.mark.parametrize(
    "peer", ["10.0.0.1:9", "128.0.0.1:9", "[::ffff:10.0.0.1]:9", "", "12.7.0.1:1"]
)
def test_announcement_from_another_machine_is_refused(peer: str) -> None:
    handler, path, changes = make_handler()
    assert announce(handler, BODY % (b"t1", b""), peer).status == 400
    assert not path.inbound.target_state.present
    assert not changes


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{}",
        b'{"service":"w"}',
        BODY % (b"", b""),
        BODY % (b"t1", b',"state":"gone"'),
        BODY % (b"t1", b',"load":"high"'),
        BODY % (b"t1", b',"unknown":1'),
        (BODY % (b"t1", b"")).replace(b"80", b"0"),
        (BODY % (b"t1", b"")).replace(b"80", b"65536"),
        (BODY % (b"t1", b"")).replace(b"wallet", b""),
        b"\xff",
    ],
)
def test_invalid_body_is_refused_and_changes_nothing(body: bytes) -> None:
    handler, path, changes = make_handler()
    announce(handler, BODY % (b"t0", b""))
    assert announce(handler, body).status == 400
    assert path.inbound.target_state.instance == "t0"
    assert changes == [1]


@given(st.binary(max_size=40))
def test_any_body_gets_a_response(body: bytes) -> None:
    handler, _, _ = make_handler()
    assert announce(handler, body).status in (200, 400)


def test_new_instance_id_means_that_the_old_process_died() -> None:
    # Guards against missing a crash when the target restarts quickly.
    handler, path, _ = make_handler()
    announce(handler, BODY % (b"t1", b""))
    path.inbound.running["c"] = RunningCall("c", make_call(), 1e9, make_budget(0), 0.0)
    announce(handler, BODY % (b"t2", b""))
    assert (path.deaths, path.inbound.target_state.instance) == (1, "t2")
    (entry,) = path.quarantine.entries()
    assert entry.fingerprint == "f1"
    assert [death.death_id for death in entry.deaths] == ["n1:t1"]


@pytest.mark.parametrize(
    "age_ms, present",
    [(ANNOUNCEMENT_EXPIRY_MS, True), (ANNOUNCEMENT_EXPIRY_MS + 1, False)],
)
def test_target_without_announcements_is_withdrawn_without_a_death(
    age_ms: float, present: bool
) -> None:
    handler, path, changes = make_handler()
    announce(handler, BODY % (b"t1", b""))
    path.clock.advance(age_ms)
    handler.withdraw_expired()
    handler.withdraw_expired()
    assert path.inbound.target_state.present is present
    assert path.deaths == 0
    assert len(changes) == (1 if present else 2)
