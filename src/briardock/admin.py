"""Operator endpoints of one node: status, state dump, drain, quarantine."""

import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
import msgspec

from briardock.drain import Drain
from briardock.listener import HttpRequest, HttpResponse
from briardock.outcomes import NotRun, Reason
from briardock.quarantine import Quarantine
from briardock.responses import json_response, outcome_response

STATUS_OK = 200
STATUS_UNAUTHORIZED = 401
STATUS_NOT_FOUND = 404

StateSource = Callable[[], dict[str, object]]


class LiftRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /quarantine/lift``.

    :param fingerprint: fingerprint whose deaths are cleared
    """

    fingerprint: str


class _Error(msgspec.Struct, frozen=True):
    error: str
    remedy: str


@dataclass(frozen=True, slots=True)
class AdminSources:
    """State and actions behind the operator endpoints.

    :param status: short state of the node
    :param dump: full state of the node
    :param drain: drain of the node
    :param on_drained: called once a requested drain has ended
    :param quarantine: requests that are refused because their targets died
    :param on_lift: called with each lifted fingerprint, to gossip it
    """

    status: StateSource
    dump: StateSource
    drain: Drain
    on_drained: Callable[[], None]
    quarantine: Quarantine
    on_lift: Callable[[str], None]


class Admin:
    """Handles operator requests.

    :param sources: state and actions behind the endpoints
    :param token: bearer token, empty for none
    """

    def __init__(self, sources: AdminSources, token: str) -> None:
        self._sources = sources
        self._token = token
        self._routes: dict[
            tuple[str, str], Callable[[HttpRequest], Awaitable[HttpResponse]]
        ] = {
            ("GET", "/status"): self._status,
            ("GET", "/dump"): self._dump,
            ("POST", "/drain"): self._drain,
            ("GET", "/quarantine"): self._quarantine,
            ("POST", "/quarantine/lift"): self._lift,
        }

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one request.

        :param request: complete HTTP request
        """
        if not self._is_authorized(request):
            remedy = "send the token of [admin] as 'Authorization: Bearer TOKEN'"
            return _error(STATUS_UNAUTHORIZED, "not authorized", remedy)
        path = request.path.partition("?")[0]
        route = self._routes.get((request.method, path))
        if route is None:
            known = ", ".join(f"{method} {path}" for method, path in self._routes)
            return _error(STATUS_NOT_FOUND, "no such endpoint", f"use one of {known}")
        return await route(request)

    def _is_authorized(self, request: HttpRequest) -> bool:
        if not self._token:
            return True
        headers = {name.lower(): value for name, value in request.headers}
        expected = f"Bearer {self._token}".encode()
        return secrets.compare_digest(headers.get(b"authorization", b""), expected)

    async def _status(self, request: HttpRequest) -> HttpResponse:
        return json_response(STATUS_OK, msgspec.json.encode(self._sources.status()))

    async def _dump(self, request: HttpRequest) -> HttpResponse:
        body = msgspec.json.format(msgspec.json.encode(self._sources.dump()))
        return json_response(STATUS_OK, body)

    async def _drain(self, request: HttpRequest) -> HttpResponse:
        # Shielded from cancellation: a drain that stops when its requester disconnects
        # leaves a node that refuses every request and never ends.
        with anyio.CancelScope(shield=True):
            in_flight_empty = await self._sources.drain.run()
            self._sources.on_drained()
        body = {
            "state": self._sources.drain.state.value,
            "in_flight_empty": in_flight_empty,
        }
        return json_response(STATUS_OK, msgspec.json.encode(body))

    async def _quarantine(self, request: HttpRequest) -> HttpResponse:
        entries = self._sources.quarantine.state()
        return json_response(STATUS_OK, msgspec.json.encode(entries))

    async def _lift(self, request: HttpRequest) -> HttpResponse:
        try:
            lift = msgspec.json.decode(request.body, type=LiftRequest)
        except msgspec.DecodeError as error:
            return outcome_response(NotRun(Reason.BAD_REQUEST, str(error)))
        if not self._sources.quarantine.lift(lift.fingerprint):
            remedy = "list the entries with 'briardock quarantine list'"
            return _error(STATUS_NOT_FOUND, "no such fingerprint", remedy)
        self._sources.on_lift(lift.fingerprint)
        return json_response(STATUS_OK, msgspec.json.encode(lift))


def _error(status: int, error: str, remedy: str) -> HttpResponse:
    return json_response(status, msgspec.json.encode(_Error(error, remedy)))


def make_admin(sources: AdminSources, token: str) -> Admin:
    """Return the operator endpoints of a node.

    :param sources: state and actions behind the endpoints
    :param token: bearer token, empty for none
    """
    return Admin(sources, token)
