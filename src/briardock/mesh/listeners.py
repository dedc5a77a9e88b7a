"""Addresses at which a node listens, with the limits for the clients of each."""

from dataclasses import replace

from briardock.exceptions import SettingsError
from briardock.mesh.decisions import DecisionLog
from briardock.mesh.descriptors import connection_limits
from briardock.mesh.http_server import Handler, HttpServer
from briardock.mesh.memory import MemoryAccount
from briardock.mesh.model import CallerLimits, MeshSettings, split_address
from briardock.mesh.parse_pace import ParsePace

# Limits for peers, which are trusted; their connections may stay idle longer.
PEER_LIMITS = CallerLimits(header_bytes=64 * 1024, idle_timeout_s=30.0)
# Room for what a node adds to the head of a client's request, bytes.
CALL_HEAD_BYTES = 8 * 1024


def peer_limits(callers: CallerLimits) -> CallerLimits:
    """Return the limits for peers, which forward requests within those on callers.

    :param callers: limits on callers
    """
    return replace(
        PEER_LIMITS,
        header_bytes=max(
            PEER_LIMITS.header_bytes, callers.header_bytes + CALL_HEAD_BYTES
        ),
        body_bytes=max(PEER_LIMITS.body_bytes, callers.body_bytes),
    )


class Listeners:
    """Servers of one node.

    :param settings: addresses and the limit on descriptors
    :param memory: memory that requests may take
    :param log: decision log
    :param callers: handles requests of callers and of the target
    :param peers: handles requests of other nodes
    :param ready: handles readiness checks
    :param announcements: handles announcements of the target
    :param metrics: handles requests for the metrics page
    """

    def __init__(
        self,
        settings: MeshSettings,
        memory: MemoryAccount,
        log: DecisionLog,
        callers: Handler,
        peers: Handler,
        ready: Handler,
        announcements: Handler,
        metrics: Handler,
    ) -> None:
        self._settings = settings
        limits = connection_limits(settings.max_descriptors)
        pace = ParsePace()
        self.callers = HttpServer(
            callers, CallerLimits(), log, memory, limits.callers, pace
        )
        self.peers = HttpServer(peers, PEER_LIMITS, log, memory, limits.peers, pace)
        self.ready, self.announcements, self.metrics = (
            HttpServer(handler, CallerLimits(), log, memory, limits.others, pace)
            for handler in (ready, announcements, metrics)
        )

    @property
    def all(self) -> list[HttpServer]:
        """All servers."""
        return [
            self.callers,
            self.peers,
            self.ready,
            self.announcements,
            self.metrics,
        ]

    async def start(self) -> None:
        """Listen on all addresses.

        :raises SettingsError: if an address cannot be bound
        """
        settings = self._settings
        await _listen(self.peers, settings.peer_address)
        await _listen(self.announcements, settings.announce_address)
        await _listen(self.callers, settings.caller_address)
        await _listen(self.ready, settings.ready_address)
        host = split_address(settings.peer_address)[0]
        if settings.metrics_port:
            await _listen(self.metrics, f"{host}:{settings.metrics_port}")


async def _listen(server: HttpServer, address: str) -> None:
    try:
        await server.start(*split_address(address))
    except OSError as error:
        raise SettingsError(
            f"cannot listen on {address}: {error.strerror or error}",
            "end the process that uses the address, or change the settings",
        ) from error
