"""Service discovery from the member table, and the choice of the log readers."""

import zlib
from collections.abc import Callable

from briardock.clock import Clock
from briardock.membership import MemberRecord, MemberState, MemberTable
from briardock.peers import PeerAddress
from briardock.routing import Instance, Router

READERS_PER_FAILURE_DOMAIN = 2
READER_CHECK_INTERVAL_MS = 1_000.0

UNUSABLE_STATES = (MemberState.UNREACHABLE, MemberState.LEFT)


class Directory:
    """Updates the router's instances from the member table.

    Only services that this node has called are tracked, so the cost does not grow
    with the number of services.

    :param table: member table
    :param router: chooses instances
    :param clock: monotonic clock
    :param domains_of: returns the failure domains that may hold instances of a
        service; empty for any
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
        self._is_reader = True
        self._reader_checked_ms = float("-inf")

    def track_service(self, service: str) -> None:
        """Start tracking a service at its first call.

        :param service: name of the service
        """
        if service not in self._services:
            self._services.add(service)
            self.refresh()

    def refresh(self) -> None:
        """Update the router with the usable instances of the tracked services."""
        instances = [
            _to_instance(record)
            for service in self._services
            for record in self._table.usable(service)
            if self._is_allowed(record)
        ]
        self._router.update(instances)

    def _is_allowed(self, record: MemberRecord) -> bool:
        domains = self._domains_of(record.service)
        return not domains or record.failure_domain in domains

    def members_changed(self, records: list[MemberRecord]) -> None:
        """Refresh the router if a record belongs to a tracked service.

        :param records: changed records
        """
        if any(record.service in self._services for record in records):
            self.refresh()

    def find_issuer(self, node_id: str, incarnation: int) -> PeerAddress | None:
        """Return the address of a node if its incarnation is still current.

        :param node_id: id of the node
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
        """Return whether this node is a log reader of its failure domain.

        The readers are chosen by rendezvous hashing over the reachable members,
        which needs no consensus. Nodes with different views only cause one reader
        more or less until they converge.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._reader_checked_ms >= READER_CHECK_INTERVAL_MS:
            self._reader_checked_ms = now_ms
            self._is_reader = self._compute_is_reader()
        return self._is_reader

    def _compute_is_reader(self) -> bool:
        local = self._table.local_record
        local_score = _rendezvous_score(local.node_id)
        better_count = sum(
            1
            for record in self._table.records()
            if record.failure_domain == local.failure_domain
            and record.state not in UNUSABLE_STATES
            and _rendezvous_score(record.node_id) < local_score
        )
        return better_count < READERS_PER_FAILURE_DOMAIN


def _to_instance(record: MemberRecord) -> Instance:
    return Instance(
        record.node_id,
        record.incarnation,
        record.service,
        record.failure_domain,
        record.host,
        record.call_port,
    )


def _rendezvous_score(node_id: str) -> tuple[int, str]:
    return zlib.crc32(node_id.encode()), node_id


def make_directory(
    table: MemberTable,
    router: Router,
    clock: Clock,
    domains_of: Callable[[str], tuple[str, ...]] = lambda service: (),
) -> Directory:
    """Return a directory that tracks no service.

    :param table: member table
    :param router: chooses instances
    :param clock: monotonic clock
    :param domains_of: returns the failure domains that may hold instances of a
        service; empty for any
    """
    return Directory(table, router, clock, domains_of)
