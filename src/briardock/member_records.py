"""Member records and their order.

Records of one node are ordered by (incarnation, version, state rank). Only the
node itself raises its version; others may only raise the state rank of a known
version. Keeping the greatest record makes tables converge in any order.
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
    """State of a member; the value is its rank between equal versions."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    UNREACHABLE = 3
    LEFT = 4


VERDICTS = (MemberState.SUSPECT, MemberState.UNREACHABLE)


class MemberRecord(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What is known of one node.

    :param node_id: name of the node
    :param incarnation: process incarnation; a later start has a higher one
    :param version: raised by the node itself with each change
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
    """Return the total order of records of one node.

    The remaining fields only break ties between records that no correct node
    issues, so that merging stays independent of order even then.
    """
    return (
        record.incarnation,
        record.version,
        record.state,
        msgspec.structs.astuple(record),
    )


def is_newer(record: MemberRecord, known: MemberRecord) -> bool:
    """Return whether a record replaces a known one of the same node."""
    if record.incarnation != known.incarnation:
        return record.incarnation > known.incarnation
    if record.version != known.version:
        return record.version > known.version
    return record != known and order_key(record) > order_key(known)


def declared(record: MemberRecord) -> MemberRecord:
    """Return a record as its node declares it, without verdicts of others."""
    if record.state in VERDICTS:
        return with_state(record, MemberState.ALIVE)
    return record


def bucket_of(node_id: str) -> int:
    """Return the bucket of a node for comparing tables."""
    return crc32(node_id.encode()) % BUCKET_COUNT


def record_digest(record: MemberRecord) -> int:
    """Return the digest of what the node says of itself; verdicts are left out."""
    if record.state is MemberState.LEFT:
        return 0
    leaving = record.state is MemberState.LEAVING
    text = f"{record.node_id}|{record.incarnation}|{record.version}|{leaving}"
    return crc32(text.encode())


def with_state(record: MemberRecord, state: MemberState) -> MemberRecord:
    """Return a record with another state."""
    return msgspec.structs.replace(record, state=state)


def interned(record: MemberRecord, known: MemberRecord | None) -> MemberRecord:
    """Return the record with its repeated strings shared between records."""
    return msgspec.structs.replace(
        record,
        node_id=known.node_id if known else record.node_id,
        service=sys.intern(record.service),
        failure_domain=sys.intern(record.failure_domain),
        region=sys.intern(record.region),
        host=sys.intern(record.host),
    )


def record_bytes(record: MemberRecord) -> int:
    """Return about the encoded size of a record in bytes."""
    return (
        len(record.node_id)
        + len(record.service)
        + len(record.failure_domain)
        + len(record.region)
        + len(record.host)
        + len(record.target_instance)
        + RECORD_OVERHEAD_BYTES
    )


def within(records: list[MemberRecord], max_bytes: int) -> list[MemberRecord]:
    """Return the first records that fit into a number of bytes."""
    taken = []
    for record in records:
        max_bytes -= record_bytes(record)
        if max_bytes < 0:
            break
        taken.append(record)
    return taken
