"""Tests of the operator endpoints: authorization, routes, drain and lift."""

import anyio
import pytest

from briardock.admin import Admin, AdminSources, make_admin
from briardock.clock import SystemClock
from briardock.drain import DrainState, make_drain
from briardock.listener import HttpRequest, HttpResponse
from callpath_fakes import CallPath


def make_test_admin(token: str = "") -> tuple[Admin, CallPath, list[str]]:
    call_path = CallPath()
    calls: list[str] = []
    sources = AdminSources(
        lambda: {"state": "serving"},
        lambda: {"whole": 1},
        call_path.drain,
        lambda: calls.append("drained"),
        call_path.quarantine,
        calls.append,
    )
    return make_admin(sources, token), call_path, calls


def send_request(
    admin: Admin, method: str, target: str, body: bytes = b"", authorization: str = ""
) -> HttpResponse:
    headers = ((b"authorization", authorization.encode()),) if authorization else ()
    return anyio.run(admin.handle, HttpRequest(method, target, headers, body, ""))


@pytest.mark.parametrize(
    "token, authorization, status",
    [
        ("", "", 200),
        ("s3", "", 401),
        ("s3", "Bearer s3", 200),
        ("s3", "Bearer s", 401),
        ("s3", "Bearer s33", 401),
        ("s3", "s3", 401),
        ("s3", "Bearer é", 401),
    ],
)
def test_token_is_required_where_one_is_set(
    token: str, authorization: str, status: int
) -> None:
    admin, _, _ = make_test_admin(token)
    assert (
        send_request(admin, "GET", "/status", authorization=authorization).status
        == status
    )


def test_unauthorized_drain_does_not_drain() -> None:
    admin, call_path, calls = make_test_admin("s3")
    assert send_request(admin, "POST", "/drain").status == 401
    assert not call_path.drain.refuses_new
    assert not calls


@pytest.mark.parametrize(
    "method, target, status",
    [
        ("GET", "/status", 200),
        ("GET", "/status?verbose=1", 200),
        ("GET", "/dump", 200),
        ("GET", "/quarantine", 200),
        ("POST", "/status", 404),
        ("GET", "/drain", 404),
        ("GET", "/", 404),
        ("GET", "/quarantine/lift", 404),
    ],
)
def test_routes(method: str, target: str, status: int) -> None:
    admin, call_path, _ = make_test_admin()
    response = send_request(admin, method, target)
    assert response.status == status
    assert (b"POST /quarantine/lift" in response.body) is (status == 404)
    assert not call_path.drain.refuses_new


def test_drain_continues_after_its_requester_disconnects() -> None:
    # Guards against a drain that is cancelled when its requester disconnects: the node
    # then refuses every request, never ends and is never replaced.
    calls: list[str] = []
    in_flight = 1

    async def cancel_requester_during_drain() -> None:
        nonlocal in_flight
        drain = make_drain(SystemClock(), lambda: in_flight, lambda: None, 5_000.0)
        _, call_path, _ = make_test_admin()
        sources = AdminSources(
            dict,
            dict,
            drain,
            lambda: calls.append("drained"),
            call_path.quarantine,
            print,
        )
        admin = make_admin(sources, "")
        async with anyio.create_task_group() as requester:
            request = HttpRequest("POST", "/drain", (), b"", "")
            requester.start_soon(admin.handle, request)
            while not drain.refuses_new:
                await anyio.sleep(0)
            requester.cancel_scope.cancel()
            in_flight = 0
        assert drain.state is DrainState.LEFT

    anyio.run(cancel_requester_during_drain)
    assert calls == ["drained"]


def test_drain_reports_that_it_has_finished() -> None:
    admin, call_path, calls = make_test_admin()
    body = send_request(admin, "POST", "/drain").body
    assert body == b'{"state":"left","in_flight_empty":true}'
    assert call_path.drain.refuses_new
    assert calls == ["drained"]


@pytest.mark.parametrize(
    "body, status, lifted",
    [
        (b'{"fingerprint":"f1"}', 200, ["f1"]),
        (b'{"fingerprint":"f2"}', 404, []),
        (b'{"fingerprint":1}', 400, []),
        (b'{"fingerprint":"f1","all":true}', 400, []),
        (b"", 400, []),
        (b"\xff", 400, []),
    ],
)
def test_lift(body: bytes, status: int, lifted: list[str]) -> None:
    admin, call_path, calls = make_test_admin()
    for death in ("d1", "d2"):
        call_path.quarantine.record_death(["f1"], death)
    assert send_request(admin, "POST", "/quarantine/lift", body).status == status
    assert calls == lifted
    assert call_path.quarantine.refuses("f1") is not bool(lifted)
