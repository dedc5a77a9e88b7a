"""Health check of the target beside a node, and what it states."""

import asyncio
import enum

from briardock.mesh.dialect import Dialect
from briardock.mesh.http1 import ExchangeFailure, FailureCause, encode_request
from briardock.mesh.pool import ConnectionPool

# Timeout of a health check, s.
HEALTH_CHECK_TIMEOUT_S = 0.5
# Statuses of a target that does not answer health checks.
UNSUPPORTED_STATUSES = frozenset({400, 404, 405, 501})


class HealthStatement(enum.Enum):
    """What a target has stated about itself in a health check.

    ``ACCEPTING``: it accepts requests.
    ``NOT_ACCEPTING``: it does not, or another target or nobody uses its address.
    ``NOTHING``: nothing, because there was no answer or all of its slots are in use.
    ``UNSUPPORTED``: nothing, because it does not answer health checks.
    """

    ACCEPTING = enum.auto()
    NOT_ACCEPTING = enum.auto()
    NOTHING = enum.auto()
    UNSUPPORTED = enum.auto()


class HealthCheck:
    """Makes health checks of targets.

    :param pool: connections to targets
    :param dialect: decodes responses
    """

    def __init__(self, pool: ConnectionPool, dialect: Dialect) -> None:
        self._pool = pool
        self._dialect = dialect

    async def check(self, address: str, path: str, target_id: str) -> HealthStatement:
        """Return what a target states.

        :param address: host and port of the target
        :param path: path of the health check
        :param target_id: id of the target
        """
        connection = await self._pool.connect(address)
        if isinstance(connection, ExchangeFailure):
            if connection.cause is FailureCause.REFUSED:
                return HealthStatement.NOT_ACCEPTING
            return HealthStatement.NOTHING
        data = encode_request(b"GET", path.encode(), [(b"host", address.encode())], b"")
        try:
            async with asyncio.timeout(HEALTH_CHECK_TIMEOUT_S):
                response = await connection.exchange(data)
        except TimeoutError:
            return HealthStatement.NOTHING
        # The check bears no request id, so its connection is not reused.
        connection.close()
        if isinstance(response, ExchangeFailure):
            return HealthStatement.NOTHING
        if response.status in UNSUPPORTED_STATUSES:
            return HealthStatement.UNSUPPORTED
        if self._dialect.decode_target_response(response).not_run:
            return HealthStatement.NOTHING
        if self._dialect.decode_health(response) == target_id:
            return HealthStatement.ACCEPTING
        return HealthStatement.NOT_ACCEPTING
