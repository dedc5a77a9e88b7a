"""Announcements of the local target and their expiry."""

from collections.abc import Callable

import msgspec

from briardock.clock import Clock
from briardock.inbound import Inbound
from briardock.listener import HttpRequest, HttpResponse
from briardock.outcomes import NotRun, Reason
from briardock.responses import json_response, outcome_response
from briardock.target import TargetClient

ANNOUNCEMENT_EXPIRY_MS = 10_000.0
LOOPBACK_PREFIXES = ("127.", "[::1]", "::1")


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /_briardock/target``, sent about once per second.

    :param service: service that the target provides
    :param host: numeric address of the target
    :param port: TCP port of the target
    :param instance: random id of the target process
    :param state: ``ready`` or ``leaving``
    :param load: load reported by the target; 1.0 is full
    """

    service: str
    host: str
    port: int
    instance: str
    state: str = "ready"
    load: float = 0.0


class AnnouncementReply(msgspec.Struct, frozen=True):
    """Response to an announcement.

    A leaving target keeps running until nothing is in flight.

    :param in_flight: calls of this target that the node has admitted or queued
    """

    in_flight: int


class Announcements:
    """Accepts announcements and withdraws a target that stops sending them.

    :param clock: monotonic clock
    :param inbound: inbound side of the node
    :param target: HTTP client of the target
    :param in_flight: returns the number of admitted and queued calls
    :param on_change: called when service, instance or state changes
    :param on_start: called when a new target process is announced
    :param local_hosts: addresses of this instance, besides loopback
    """

    def __init__(
        self,
        clock: Clock,
        inbound: Inbound,
        target: TargetClient,
        in_flight: Callable[[], int],
        on_change: Callable[[], None],
        on_start: Callable[[], None],
        local_hosts: tuple[str, ...],
    ) -> None:
        self._clock = clock
        self._inbound = inbound
        self._target = target
        self._in_flight = in_flight
        self._on_change = on_change
        self._on_start = on_start
        self._local_hosts = local_hosts

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Accept one announcement; only processes on this instance may send it.

        :param request: complete HTTP request
        """
        if not self._is_local(request.peer):
            detail = "announcements are accepted from this instance only"
            return outcome_response(NotRun(Reason.BAD_REQUEST, detail))
        try:
            announcement = msgspec.json.decode(request.body, type=Announcement)
        except msgspec.DecodeError as error:
            return outcome_response(NotRun(Reason.BAD_REQUEST, str(error)))
        detail = _find_error(announcement)
        if detail:
            return outcome_response(NotRun(Reason.BAD_REQUEST, detail))
        self._apply(announcement)
        response = AnnouncementReply(self._in_flight())
        return json_response(200, msgspec.json.encode(response))

    def _is_local(self, peer: str) -> bool:
        # Local processes connect from this address if the node is bound to it.
        local_prefixes = tuple(f"{host}:" for host in self._local_hosts)
        return peer.startswith((*LOOPBACK_PREFIXES, *local_prefixes))

    def withdraw_expired(self) -> None:
        """Withdraw the target if its last announcement has expired."""
        state = self._inbound.target_state
        age_ms = self._clock.now_ms() - state.announced_ms
        if state.present and age_ms > ANNOUNCEMENT_EXPIRY_MS:
            state.instance = ""
            self._on_change()

    def _apply(self, announcement: Announcement) -> None:
        state = self._inbound.target_state
        leaving = announcement.state == "leaving"
        previous = (state.instance, state.service, state.leaving)
        if state.present and state.instance != announcement.instance:
            # Another target process was announced, so the earlier one has ended.
            self._inbound.target_died(state.instance)
        self._target.set_address(announcement.host, announcement.port)
        state.service = announcement.service
        state.instance = announcement.instance
        state.leaving = leaving
        state.reported_load = announcement.load
        state.announced_ms = self._clock.now_ms()
        if previous[0] != state.instance:
            self._on_start()
        if previous != (state.instance, state.service, state.leaving):
            self._on_change()


def _find_error(announcement: Announcement) -> str:
    if not announcement.service or not announcement.instance:
        return "service and instance must not be empty"
    if not 0 < announcement.port < 65_536:
        return "port must be between 1 and 65535"
    if announcement.state not in ("ready", "leaving"):
        return "state must be ready or leaving"
    return ""


def make_announcements(
    clock: Clock,
    inbound: Inbound,
    target: TargetClient,
    in_flight: Callable[[], int],
    on_change: Callable[[], None],
    on_start: Callable[[], None] = lambda: None,
    local_hosts: tuple[str, ...] = (),
) -> Announcements:
    """Return the handler of announcements.

    :param clock: monotonic clock
    :param inbound: inbound side of the node
    :param target: HTTP client of the target
    :param in_flight: returns the number of admitted and queued calls
    :param on_change: called when service, instance or state changes
    :param on_start: called when a new target process is announced
    :param local_hosts: addresses of this instance, besides loopback
    """
    return Announcements(
        clock, inbound, target, in_flight, on_change, on_start, local_hosts
    )
