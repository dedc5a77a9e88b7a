"""Which members are used as instances, and which nodes read the log."""

import zlib
from collections.abc import Callable

from briardock.clock import Clock
from briardock.membership import MemberRecord, MemberState, MemberTable
from briardock.peers import PeerAddress
from briardock.routing import Instance, Router

READERS_PER_FAILURE_DOMAIN = 2
READER_CHECK_MS = 1_000.0

UNUSABLE = (MemberState.UNREACHABLE, MemberState.LEFT)


class Directory:
    """Keeps the router's instances in step with the member table.

    Only services that this node has called are tracked, so the cost does not
    grow with the number of services.

    :param table: member table
    :param router: chooses instances
    :param clock: monotonic clock
    :param domains_of: failure domains that may hold instances of a service, empty
        for any
    """

    def __init__(
        self,
        table: MemberTable,
        router: Router,
        clock: Clock,
        domains_of: Callable[[str], tuple[str, ...]],
    ) -> None:
        self._domains_of = domains_of
        self._table = table
        self._router = router
        self._clock = clock
        self._services: set[str] = set()
        self._reader = True
        self._reader_checked_ms = float("-inf")

    def use(self, service: str) -> None:
        """Track a service from its first call on.

        :param service: name of the service
        """
        if service not in self._services:
            self._services.add(service)
            self.refresh()

    def refresh(self) -> None:
        """Hand the usable instances of the tracked services to the router."""
        instances = [
            _instance_of(record)
            for service in self._services
            for record in self._table.usable(service)
            if self._is_allowed(record)
        ]
        self._router.update(instances)

    def _is_allowed(self, record: MemberRecord) -> bool:
        domains = self._domains_of(record.service)
        return not domains or record.failure_domain in domains

    def members_changed(self, records: list[MemberRecord]) -> None:
        """React to changed member records.

        :param records: changed records
        """
        if any(record.service in self._services for record in records):
            self.refresh()

    def find_issuer(self, node_id: str, incarnation: int) -> PeerAddress | None:
        """Return the address of a node if it still has an incarnation.

        :param node_id: node
        :param incarnation: process incarnation
        """
        record = self._table.get(node_id)
        if record is None or record.incarnation != incarnation:
            return None
        if record.state is MemberState.LEFT:
            return None
        return PeerAddress(
            record.node_id, record.incarnation, record.host, record.call_port
        )

    def is_log_reader(self) -> bool:
        """Return whether this node is one of the log readers of its domain.

        Rendezvous hashing over the reachable members needs no agreement: nodes
        with different views only cause a reader more or less for a while.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._reader_checked_ms >= READER_CHECK_MS:
            self._reader_checked_ms = now_ms
            self._reader = self._compute_reader()
        return self._reader

    def _compute_reader(self) -> bool:
        own = self._table.local_record
        own_rank = _reader_rank(own.node_id)
        ahead = sum(
            1
            for record in self._table.records()
            if record.failure_domain == own.failure_domain
            and record.state not in UNUSABLE
            and _reader_rank(record.node_id) < own_rank
        )
        return ahead < READERS_PER_FAILURE_DOMAIN


def _instance_of(record: MemberRecord) -> Instance:
    return Instance(
        record.node_id,
        record.incarnation,
        record.service,
        record.failure_domain,
        record.host,
        record.call_port,
    )


def _reader_rank(node_id: str) -> tuple[int, str]:
    return zlib.crc32(node_id.encode()), node_id


def make_directory(
    table: MemberTable,
    router: Router,
    clock: Clock,
    domains_of: Callable[[str], tuple[str, ...]] = lambda service: (),
) -> Directory:
    """Return a directory that tracks no service yet.

    :param table: member table
    :param router: chooses instances
    :param clock: monotonic clock
    :param domains_of: failure domains that may hold instances of a service, empty
        for any
    """
    return Directory(table, router, clock, domains_of)
