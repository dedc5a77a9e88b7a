"""Pool of idle client connections by address."""

import asyncio
import errno
import socket
from collections import defaultdict
from dataclasses import dataclass

from briardock.mesh.http1 import ExchangeFailure, FailureCause
from briardock.mesh.http_client import DEFAULT_MEMORY, ClientConnection
from briardock.mesh.memory import MemoryAccount
from briardock.mesh.model import now_s, split_address
from briardock.parted_timer import PartedTimer

# Parts of the timeout of a connection attempt that are not counted if the loop was
# stalled as they ended, such as the last one.
MAX_UNCOUNTED_PARTS = 10
# Margin before the peer's idle timeout within which a connection is not reused, s.
IDLE_MARGIN_S = 1.0
# Reduced limit on the idle time for an address that silently drops idle connections, s.
REDUCED_IDLE_TIME_S = 0.2
# Idle time above which the loss of a reused connection reduces the limit, s.
MIN_STALE_IDLE_S = 0.05
# Time after which the reduced limit expires, s.
REDUCED_IDLE_LIFETIME_S = 10.0
# TCP keepalive probes detect connections whose peer vanished without a reset.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_PERIOD_S = 1
KEEPALIVE_PROBES = 2
# Errors of a connect that tell of a shortage in this process or on its machine: no file
# descriptor, memory or local port. They tell nothing about the peer.
OWN_SHORTAGES = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
)


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Timeouts of the connections of one pool.

    :param connect_timeout_s: longest time to establish a connection, without stalls of
        the event loop
    :param idle_timeout_s: time after which an idle connection is closed
    :param unacknowledged_timeout_s: time for which sent bytes may stay unacknowledged
        before the kernel closes the connection (TCP_USER_TIMEOUT)
    """

    connect_timeout_s: float
    idle_timeout_s: float
    unacknowledged_timeout_s: float


class ConnectionPool:
    """Pool of idle connections to any number of addresses.

    :param settings: timeouts
    :param memory: account of the responses that are read
    """

    def __init__(
        self, settings: PoolSettings, memory: MemoryAccount = DEFAULT_MEMORY
    ) -> None:
        self._settings = settings
        self._memory = memory
        self._idle: dict[str, list[ClientConnection]] = defaultdict(list)
        # Limit on the idle time and when it expires, by address that dropped an idle
        # connection.
        self._reduced_idle_limits: dict[str, tuple[float, float]] = {}
        self.connections_opened = 0

    async def acquire(
        self, address: str, max_idle_s: float | None = None
    ) -> ClientConnection | ExchangeFailure:
        """Return an idle connection, or a new one.

        :param address: ``host:port``
        :param max_idle_s: additional limit on the idle time of a reused connection
        """
        idle = self._idle[address]
        now = now_s()
        while idle:
            connection = idle[-1]
            idle_duration_s = now - connection.idle_since_s
            reusable = self._is_reusable(address, connection, now)
            if reusable and max_idle_s is not None and idle_duration_s > max_idle_s:
                # Keeps it in the pool for requests without such a limit.
                break
            idle.pop()
            if reusable:
                connection.idle_duration_s = idle_duration_s
                return connection
            connection.close()
        return await self.connect(address)

    def reduce_idle_time(self, address: str, connection: ClientConnection) -> None:
        """Reduce the limit on the idle time of an address for a while.

        :param address: ``host:port``
        :param connection: connection that was lost when it was reused
        """
        if connection.idle_duration_s > MIN_STALE_IDLE_S:
            reduced_limit_s = min(REDUCED_IDLE_TIME_S, connection.idle_duration_s / 2)
            self._reduced_idle_limits[address] = (
                reduced_limit_s,
                now_s() + REDUCED_IDLE_LIFETIME_S,
            )

    def release(self, address: str, connection: ClientConnection) -> None:
        """Return a connection to the pool after an exchange.

        :param address: ``host:port``
        :param connection: connection without an exchange in progress
        """
        if connection.usable:
            connection.idle_since_s = now_s()
            self._idle[address].append(connection)

    def discard(self, address: str) -> None:
        """Close the idle connections to an address.

        :param address: ``host:port`` at which a connection has gone silent
        """
        for connection in self._idle.pop(address, []):
            connection.close()

    def _is_reusable(
        self, address: str, connection: ClientConnection, now: float
    ) -> bool:
        limit_s = self._settings.idle_timeout_s
        reduced_s, until_s = self._reduced_idle_limits.get(address, (limit_s, 0.0))
        if now < until_s:
            limit_s = min(limit_s, reduced_s)
        if connection.idle_timeout_s is not None:
            limit_s = min(limit_s, connection.idle_timeout_s - IDLE_MARGIN_S)
        return connection.usable and now - connection.idle_since_s < limit_s

    async def replace(self, address: str) -> ClientConnection | ExchangeFailure:
        """Return a new connection in place of the one that is idle longest, if any.

        :param address: ``host:port``
        """
        idle = self._idle.get(address)
        if idle:
            idle.pop(0).close()
        return await self.connect(address)

    async def connect(self, address: str) -> ClientConnection | ExchangeFailure:
        """Return a new connection.

        :param address: ``host:port``
        """
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(None) as scope:
                timer = PartedTimer(
                    loop,
                    self._settings.connect_timeout_s,
                    lambda: scope.reschedule(loop.time()),
                    MAX_UNCOUNTED_PARTS,
                )
                try:
                    transport, connection = await loop.create_connection(
                        lambda: ClientConnection(self._memory), host, port
                    )
                finally:
                    timer.stop()
        except TimeoutError:
            return ExchangeFailure("connect timeout", sent=False)
        except OSError as error:
            return _connect_failure(error)
        self.connections_opened += 1
        self._set_options(transport.get_extra_info("socket"))
        return connection

    def _set_options(self, sock: socket.socket) -> None:
        timeout_ms = int(self._settings.unacknowledged_timeout_s * 1000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PERIOD_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)

    def sweep(self) -> None:
        """Close connections whose idle time exceeds its limit."""
        now = now_s()
        for address in list(self._idle):
            kept = []
            for connection in self._idle[address]:
                if self._is_reusable(address, connection, now):
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]


def _connect_failure(error: OSError) -> ExchangeFailure:
    if error.errno in OWN_SHORTAGES:
        reason = f"own shortage: {errno.errorcode[error.errno]}"
        return ExchangeFailure(reason, sent=False, cause=FailureCause.OWN_SHORTAGE)
    refused = isinstance(error, ConnectionRefusedError)
    cause = FailureCause.REFUSED if refused else FailureCause.OTHER
    return ExchangeFailure(f"connect: {type(error).__name__}", sent=False, cause=cause)
