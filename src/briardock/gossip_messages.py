"""Gossip messages, validated when they are decoded.

Each message is one MessagePack array in one zmq frame. Lists and byte strings
are bounded so that a faulty peer cannot make a node use much memory.
"""

from typing import Annotated

import msgspec

from briardock.member_records import BUCKET_COUNT, Counter, MemberRecord
from briardock.messages import Message
from briardock.quarantine import QuarantineEntry

MAX_RECORDS = 2_000
MAX_ENTRIES = 500
MAX_MESSAGE_BYTES = 256 * 1024
MAX_DELTA_BYTES = 128 * 1024
CHUNK_BYTES = 32 * 1024

Records = Annotated[list[MemberRecord], msgspec.Meta(max_length=MAX_RECORDS)]
Entries = Annotated[list[QuarantineEntry], msgspec.Meta(max_length=MAX_ENTRIES)]
Digests = Annotated[
    bytes, msgspec.Meta(min_length=BUCKET_COUNT * 4, max_length=BUCKET_COUNT * 4)
]
Digest = Annotated[int, msgspec.Meta(ge=0, le=2**32 - 1)]
Chunk = Annotated[bytes, msgspec.Meta(max_length=CHUNK_BYTES)]
Delta = Annotated[bytes, msgspec.Meta(max_length=MAX_DELTA_BYTES)]


class Summary(msgspec.Struct, frozen=True, array_like=True):
    """State of the sender in each ping and ack.

    :param sender: record of the sender
    :param table_digest: digest of its member table
    :param quarantine_digest: digest of its quarantine
    :param config_version: version of its configuration, 0 for none
    """

    sender: MemberRecord
    table_digest: Digest
    quarantine_digest: Digest
    config_version: Counter


class Ping(Message, frozen=True):
    """Probe of a member.

    :param sequence: sequence number, echoed in the ack
    :param summary: state of the sender
    :param members: piggybacked member records
    :param quarantine: piggybacked quarantine entries
    """

    sequence: Counter
    summary: Summary
    members: Records = []
    quarantine: Entries = []


class Ack(Message, frozen=True):
    """Response to a ping, with the same fields."""

    sequence: Counter
    summary: Summary
    members: Records = []
    quarantine: Entries = []


class PingRequest(Message, frozen=True):
    """Request to probe a member on behalf of the sender.

    :param sequence: sequence number, echoed in the indirect ack
    :param sender: record of the sender
    :param target: record of the member as the sender knows it
    """

    sequence: Counter
    sender: MemberRecord
    target: MemberRecord


class IndirectAck(Message, frozen=True):
    """Report that the member of a ping request responded.

    :param sequence: sequence number of the request
    :param target: record of the member, as last received from it
    """

    sequence: Counter
    target: MemberRecord


class Push(Message, frozen=True):
    """Member records sent without waiting for the next ping.

    :param members: changed records
    """

    members: Records


class SyncRequest(Message, frozen=True):
    """Request for the records of buckets that differ.

    :param sender: record of the sender
    :param digests: bucket digests of the sender
    :param joining: whether to include states that others detected
    """

    sender: MemberRecord
    digests: Digests
    joining: bool


class SyncReply(Message, frozen=True):
    """Records of some differing buckets.

    :param sender: record of the sender
    :param buckets: buckets whose records are complete in this message
    :param left_count: number of differing buckets omitted for lack of space
    :param members: records of the buckets
    """

    sender: MemberRecord
    buckets: Annotated[list[int], msgspec.Meta(max_length=BUCKET_COUNT)]
    left_count: Counter
    members: Records


class ConfigDelta(Message, frozen=True):
    """A configuration change.

    :param previous: version to which the change applies
    :param version: version after the change
    :param payload: opaque change
    """

    previous: Counter
    version: Counter
    payload: Delta


class ConfigNotice(Message, frozen=True):
    """Notice that the sender has a version that it does not push as a delta.

    :param version: version of its configuration
    """

    version: Counter


class ConfigPull(Message, frozen=True):
    """Request for the changes since a version, or for a snapshot.

    :param have: version of the sender
    :param offset: position in the snapshot, 0 for the start
    """

    have: Counter
    offset: Counter


class ConfigSnapshot(Message, frozen=True):
    """One chunk of a configuration snapshot.

    :param version: version of the configuration
    :param total_bytes: size of the snapshot
    :param checksum: CRC-32 of the snapshot
    :param offset: position of the chunk in the snapshot
    :param chunk: bytes of the snapshot from that position on
    """

    version: Counter
    total_bytes: Counter
    checksum: Digest
    offset: Counter
    chunk: Chunk


class QuarantineNotice(Message, frozen=True):
    """Quarantine entries sent without waiting for the next ping.

    :param entries: changed entries
    """

    entries: Entries


GossipMessage = (
    Ping
    | Ack
    | PingRequest
    | IndirectAck
    | Push
    | SyncRequest
    | SyncReply
    | ConfigDelta
    | ConfigNotice
    | ConfigPull
    | ConfigSnapshot
    | QuarantineNotice
)

_decoder = msgspec.msgpack.Decoder(GossipMessage)


def decode_gossip(data: bytes) -> GossipMessage:
    """Return the message of one zmq frame.

    :raises msgspec.DecodeError: if the data is not a valid message
    """
    return _decoder.decode(data)
