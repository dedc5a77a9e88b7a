"""Membership table: a record per node and its target, and their merge rules.

Each node writes only its own record. A record with a later incarnation, or a later
version of the same incarnation, replaces an older one regardless of arrival order.
"""

import hashlib
from collections import defaultdict
from collections.abc import Iterable
from zlib import crc32

import msgspec

from briardock.mesh.model import TargetState

# Parts of the table with a digest each, so that a sync sends only what differs.
BUCKET_COUNT = 16


class NodeRecord(msgspec.Struct, frozen=True, array_like=True):
    """State of one node and its target, as published by the node.

    :param node_id: name of the machine
    :param incarnation_ms: start of the node, Unix time in ms
    :param version: increases with each change within one incarnation
    :param domain: failure domain
    :param address: host and port for requests of other nodes
    :param service: service of the target
    :param target_id: id of the target, empty without one
    :param target_born_ms: start of the target, Unix time in ms
    :param state: whether the target accepts new requests
    :param slots: requests that the target runs concurrently
    :param leaving: whether the node itself is shutting down
    :param entry_routes: routes on which this node observed requests of callers
    :param run_time_ms: mean run time of requests at the target, 0 if it is not known
    :param called_services: services that the target calls
    :param called_routes: routes on which the target makes calls without a key
    """

    node_id: str
    incarnation_ms: int
    version: int
    domain: str
    address: str
    service: str
    target_id: str
    target_born_ms: int
    state: TargetState
    slots: int
    leaving: bool
    entry_routes: list[str] = []
    run_time_ms: int = 0
    called_services: list[str] = []
    called_routes: list[str] = []

    @property
    def order(self) -> tuple[int, int]:
        """Sort key among the records of one node; the highest is the newest."""
        return (self.incarnation_ms, self.version)

    @property
    def target_ready(self) -> bool:
        """Whether its target accepts new requests."""
        return self.state is TargetState.READY


class MemberTable:
    """Newest record of each node.

    ``generation`` increases with each change. Indexes and digests are updated with
    each record, because a large fleet changes several records a second.

    :param local_record: record of this node
    """

    def __init__(self, local_record: NodeRecord) -> None:
        self.local_record = local_record
        self.generation = 0
        self.entry_routes: set[str] = set()
        self._records: dict[str, NodeRecord] = {}
        self._ready_by_service: dict[str, dict[str, NodeRecord]] = defaultdict(dict)
        self._node_ids_by_address: dict[str, set[str]] = defaultdict(set)
        self._bucket_digests = [0] * BUCKET_COUNT
        self._called_services: dict[str, set[str]] = {}
        self._called_routes: dict[str, set[str]] = {}
        self._called_generation = -1
        self._add(local_record)

    @property
    def records(self) -> Iterable[NodeRecord]:
        """All records."""
        return self._records.values()

    @property
    def count(self) -> int:
        """Number of known nodes."""
        return len(self._records)

    def get(self, node_id: str) -> NodeRecord | None:
        """Return the record of a node.

        :param node_id: name of the machine
        """
        return self._records.get(node_id)

    def peers(self) -> list[NodeRecord]:
        """Return the records of the other nodes."""
        return [
            r for r in self._records.values() if r.node_id != self.local_record.node_id
        ]

    def candidates(self, service: str) -> list[NodeRecord]:
        """Return the nodes whose targets accept requests of a service.

        Includes nodes that are shutting down themselves.

        :param service: name of the service
        """
        return list(self._ready_by_service.get(service, {}).values())

    def called_services(self) -> dict[str, set[str]]:
        """Return the services that the targets of each service call."""
        self._update_called()
        return self._called_services

    def called_routes(self) -> dict[str, set[str]]:
        """Return the routes on which the targets of each service make calls."""
        self._update_called()
        return self._called_routes

    def _update_called(self) -> None:
        if self._called_generation == self.generation:
            return
        self._called_generation = self.generation
        self._called_services = defaultdict(set)
        self._called_routes = defaultdict(set)
        for record in self._records.values():
            self._called_services[record.service].update(record.called_services)
            if record.called_routes:
                self._called_routes[record.service].update(record.called_routes)

    @property
    def bucket_digests(self) -> list[int]:
        """Digest of each part of the table."""
        return list(self._bucket_digests)

    def digest(self) -> str:
        """Return a digest that is equal for equal tables."""
        return hashlib.blake2b(
            repr(self._bucket_digests).encode(), digest_size=8
        ).hexdigest()

    def records_differing(self, bucket_digests: list[int]) -> list[NodeRecord]:
        """Return the records of the buckets whose digests differ from those given.

        :param bucket_digests: digests of another node; all records are returned if
            they are not as many as here
        """
        own = self._bucket_digests
        if len(bucket_digests) != len(own):
            return list(self._records.values())
        return [
            record
            for record in self._records.values()
            if own[_bucket(record.node_id)] != bucket_digests[_bucket(record.node_id)]
        ]

    def update_local(self, **changes: object) -> NodeRecord:
        """Replace the record of this node by its next version.

        :param changes: new values by field
        """
        version = self.local_record.version + 1
        self.local_record = msgspec.structs.replace(
            self.local_record, version=version, **changes
        )
        self._store(self.local_record)
        return self.local_record

    def add_entry_routes(self, names: Iterable[str], limit: int) -> bool:
        """Add routes to the record of this node; return whether it changed.

        :param names: names of routes that callers use
        :param limit: maximum number of routes in the record
        """
        merged = list(dict.fromkeys([*self.local_record.entry_routes, *names]))[:limit]
        if merged == self.local_record.entry_routes:
            return False
        self.update_local(entry_routes=merged)
        return True

    def retain_entry_routes(self, names: set[str]) -> bool:
        """Remove routes that are no longer configured.

        :param names: names of the configured routes
        :return: whether the record of this node changed
        """
        self.entry_routes &= names
        kept = [name for name in self.local_record.entry_routes if name in names]
        if kept == self.local_record.entry_routes:
            return False
        self.update_local(entry_routes=kept)
        return True

    def merge(self, record: NodeRecord) -> bool:
        """Store a record if it is newer than the known one; return whether it was.

        A newer record of this node, written by an earlier process, raises the
        incarnation of this process above it. Otherwise peers would ignore this
        process after its clock was set back.

        :param record: record from the store or a peer
        """
        if record.node_id == self.local_record.node_id:
            if record.order > self.local_record.order:
                self.update_local(incarnation_ms=record.incarnation_ms + 1)
            return False
        known = self._records.get(record.node_id)
        if known is not None and record.order <= known.order:
            return False
        self._store(record)
        return True

    def _store(self, record: NodeRecord) -> None:
        known = self._records.get(record.node_id)
        if known is not None:
            self._remove(known)
        self._add(record)
        self.generation += 1
        self.entry_routes.update(record.entry_routes)
        self._remove_superseded_nodes(record)

    def _add(self, record: NodeRecord) -> None:
        self._records[record.node_id] = record
        self._node_ids_by_address[record.address].add(record.node_id)
        if record.target_ready:
            self._ready_by_service[record.service][record.node_id] = record
        self._bucket_digests[_bucket(record.node_id)] ^= _record_digest(record)

    def _remove(self, record: NodeRecord) -> None:
        del self._records[record.node_id]
        same_address = self._node_ids_by_address[record.address]
        same_address.discard(record.node_id)
        if not same_address:
            del self._node_ids_by_address[record.address]
        if record.target_ready:
            del self._ready_by_service[record.service][record.node_id]
        self._bucket_digests[_bucket(record.node_id)] ^= _record_digest(record)

    def _remove_superseded_nodes(self, record: NodeRecord) -> None:
        """Remove older nodes whose address is now used by the node of a record."""
        for node_id in list(self._node_ids_by_address[record.address]):
            other = self._records[node_id]
            is_older = other.incarnation_ms < record.incarnation_ms
            if node_id != record.node_id and is_older:
                self._remove(other)


def _bucket(node_id: str) -> int:
    return crc32(node_id.encode()) % BUCKET_COUNT


def _record_digest(record: NodeRecord) -> int:
    """Return the share of a record in the digest of its bucket.

    The records of a bucket are combined by exclusive or, so that one of them can be
    replaced without looking at the others.
    """
    text = f"{record.node_id} {record.incarnation_ms} {record.version}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())
