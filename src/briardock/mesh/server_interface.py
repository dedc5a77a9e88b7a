"""What a connection uses of the listener that accepted it."""

from typing import TYPE_CHECKING, Protocol

from briardock.mesh.decisions import DecisionLog
from briardock.mesh.http1 import Request, Response
from briardock.mesh.memory import MemoryAccount
from briardock.mesh.model import CallerLimits
from briardock.mesh.parse_pace import ParsePace

if TYPE_CHECKING:
    from briardock.mesh.server_connection import ServerConnection


class Server(Protocol):
    """Listener of a connection."""

    limits: CallerLimits
    memory: MemoryAccount
    pace: ParsePace
    log: DecisionLog
    closing: bool
    connections: "set[ServerConnection]"

    def add_connection(self, connection: "ServerConnection") -> None:
        """Add a connection that was just accepted."""
        ...

    def limit_unread(self) -> None:
        """Close connections with unread responses if these use too much memory."""
        ...

    async def respond(self, request: Request) -> Response:
        """Return the response to a request."""
        ...
