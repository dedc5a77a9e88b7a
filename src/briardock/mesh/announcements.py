"""Announcements and departures of the target beside a node."""

from briardock.mesh.decisions import DecisionLog
from briardock.mesh.dialect import Departure, Dialect, Undecodable
from briardock.mesh.http1 import Request, Response
from briardock.mesh.model import Announcement, TargetState
from briardock.mesh.replication import Replicator
from briardock.mesh.target import Target
from briardock.mesh.target_confirmation import TargetConfirmation

# Longest time for which the acknowledgement of a departure waits for the store, s. A
# target treats an acknowledgement that takes more than 1 s as missing.
DEPARTURE_WAIT_S = 0.6


class Announcements:
    """Handles what the target beside a node announces.

    :param target: the target
    :param confirmation: applies announcements
    :param replicator: writes departures to the store
    :param dialect: decodes announcements
    :param log: decision log
    """

    def __init__(
        self,
        target: Target,
        confirmation: TargetConfirmation,
        replicator: Replicator,
        dialect: Dialect,
        log: DecisionLog,
    ) -> None:
        self._target = target
        self._confirmation = confirmation
        self._replicator = replicator
        self._dialect = dialect
        self._log = log

    async def handle(self, request: Request) -> Response:
        """Return the response to an announcement or a departure.

        :param request: request on the announcement address
        """
        announcement = self._dialect.decode_announcement(request)
        match announcement:
            case Undecodable(reason):
                self._log.event("announcement-refused", reason=reason)
                return Response(400)
            case Departure():
                self._log.event(
                    "target-departed",
                    target=announcement.target_id,
                    born_ms=announcement.born_ms,
                    known=self._target.target_id,
                    known_born_ms=self._target.born_ms,
                    state=self._target.state.value,
                )
                self._target.leave(announcement.target_id, announcement.born_ms)
                await self._store_departure(announcement.target_id)
            case Announcement():
                if not self._target.matches(announcement):
                    self._log.event(
                        "announcement-refused",
                        reason="another service or address",
                        target=announcement.target_id,
                    )
                    return Response(400)
                self._confirmation.announce(announcement)
                if self._target.state is TargetState.LEAVING:
                    await self._store_departure(announcement.target_id)
        return Response(200, [(b"content-type", b"application/json")], b"{}")

    async def _store_departure(self, target_id: str) -> None:
        """Wait until the store has a departure, before it is acknowledged.

        If this process exits right after the acknowledgement, its successor must know
        of the departure. While the store is unreachable, it may not, and learns from
        the target's health check that the target is leaving.
        """
        if not await self._replicator.wait_until_stored(DEPARTURE_WAIT_S):
            self._log.event("departure-not-stored", target=target_id)
