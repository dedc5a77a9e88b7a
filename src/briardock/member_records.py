"""Member records and their merge order.

Records of one node are ordered by (incarnation, version, state). Only the node
itself raises its version; other nodes may only raise the state of a version they
know. Each table keeps the greatest record, so tables converge whatever the order in
which records arrive.
"""

import enum
import sys
from typing import Annotated, Any
from zlib import crc32

import msgspec

BUCKET_COUNT = 256
RECORD_OVERHEAD_BYTES = 36

ShortText = Annotated[str, msgspec.Meta(max_length=128)]
NodeId = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Counter = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]


class MemberState(enum.IntEnum):
    """State of a member; of records with equal versions the greater state wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    UNREACHABLE = 3
    LEFT = 4


# States assigned to a node by the failure detection of others.
DETECTED_STATES = (MemberState.SUSPECT, MemberState.UNREACHABLE)


class MemberRecord(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Membership information about one node.

    :param node_id: name of the node
    :param incarnation: incarnation of the process; higher after each restart
    :param version: incremented by the node itself with each change
    :param service: service of its target, empty for none
    :param failure_domain: failure domain of the node
    :param region: region of the node
    :param host: numeric address
    :param call_port: TCP port of the call link
    :param gossip_port: TCP port of the gossip socket
    :param target_instance: instance id of its target, empty for none
    :param state: state of the member
    """

    node_id: NodeId
    incarnation: Counter
    version: Counter
    service: ShortText
    failure_domain: ShortText
    region: ShortText
    host: ShortText
    call_port: Port
    gossip_port: Port
    target_instance: ShortText
    state: MemberState = MemberState.ALIVE


def order_key(record: MemberRecord) -> tuple[Any, ...]:
    """Return the sort key that totally orders the records of one node.

    The remaining fields break ties between conflicting records, which no correct
    node issues, so that merging stays independent of order even then.
    """
    return (
        record.incarnation,
        record.version,
        record.state,
        msgspec.structs.astuple(record),
    )


def is_newer(record: MemberRecord, known: MemberRecord) -> bool:
    """Return whether a record supersedes a known one of the same node."""
    if record.incarnation != known.incarnation:
        return record.incarnation > known.incarnation
    if record.version != known.version:
        return record.version > known.version
    return record != known and order_key(record) > order_key(known)


def self_reported(record: MemberRecord) -> MemberRecord:
    """Return a record as its node reports it, without the states others detected."""
    if record.state in DETECTED_STATES:
        return with_state(record, MemberState.ALIVE)
    return record


def bucket_of(node_id: str) -> int:
    """Return the bucket of a node for anti-entropy sync."""
    return crc32(node_id.encode()) % BUCKET_COUNT


def record_digest(record: MemberRecord) -> int:
    """Return the digest of the self-reported state; detected states are left out."""
    if record.state is MemberState.LEFT:
        return 0
    leaving = record.state is MemberState.LEAVING
    text = f"{record.node_id}|{record.incarnation}|{record.version}|{leaving}"
    return crc32(text.encode())


def with_state(record: MemberRecord, state: MemberState) -> MemberRecord:
    """Return a record with another state."""
    return msgspec.structs.replace(record, state=state)


def with_interned_strings(
    record: MemberRecord, known: MemberRecord | None
) -> MemberRecord:
    """Return the record with its strings interned, to share them between records."""
    return msgspec.structs.replace(
        record,
        node_id=known.node_id if known else record.node_id,
        service=sys.intern(record.service),
        failure_domain=sys.intern(record.failure_domain),
        region=sys.intern(record.region),
        host=sys.intern(record.host),
    )


def record_bytes(record: MemberRecord) -> int:
    """Return the approximate encoded size of a record in bytes."""
    return (
        len(record.node_id)
        + len(record.service)
        + len(record.failure_domain)
        + len(record.region)
        + len(record.host)
        + len(record.target_instance)
        + RECORD_OVERHEAD_BYTES
    )


def fitting_records(records: list[MemberRecord], max_bytes: int) -> list[MemberRecord]:
    """Return the longest prefix of the records that fits into a byte limit."""
    taken = []
    for record in records:
        max_bytes -= record_bytes(record)
        if max_bytes < 0:
            break
        taken.append(record)
    return taken
