"""Bounds on the connections that each listener of a process may hold open."""

from dataclasses import dataclass

# Descriptors that the platform reserves for files, of the limit of the process.
FILE_DESCRIPTORS = 200
DEFAULT_MAX_DESCRIPTORS = 4_096
# Shares of the remaining descriptors by listener. What is left is for connections that
# the node opens itself: to its target and to other nodes, mostly one for each request
# in flight, and to the store.
CALLERS_SHARE = 0.35
PEERS_SHARE = 0.25
# For each of the listeners for readiness, announcements and metrics.
OTHER_SHARE = 0.03


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Largest numbers of connections that clients may hold open.

    :param callers: at the address for callers and the target
    :param peers: at the address for other nodes
    :param others: at each further address
    """

    callers: int
    peers: int
    others: int


def connection_limits(max_descriptors: int) -> ConnectionLimits:
    """Return the limits for a process.

    :param max_descriptors: limit on the descriptors of the process
    """
    sockets = max(0, max_descriptors - FILE_DESCRIPTORS)
    return ConnectionLimits(
        max(1, int(sockets * CALLERS_SHARE)),
        max(1, int(sockets * PEERS_SHARE)),
        max(1, int(sockets * OTHER_SHARE)),
    )
