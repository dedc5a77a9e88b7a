"""Gossip messages, validated when they are decoded.

Each message is one MessagePack array in one zmq frame. Lists and byte strings
carry bounds so that a faulty peer cannot make a node hold much memory.
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
    """What each ping and ack tells of its sender.

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

    :param sequence: repeated in the ack
    :param summary: state of the sender
    :param members: piggybacked member records
    :param quarantine: piggybacked quarantine entries
    """

    sequence: Counter
    summary: Summary
    members: Records = []
    quarantine: Entries = []


class Ack(Message, frozen=True):
    """Answer to a ping; the fields are those of the ping."""

    sequence: Counter
    summary: Summary
    members: Records = []
    quarantine: Entries = []


class PingRequest(Message, frozen=True):
    """Request to probe a member on behalf of the sender.

    :param sequence: repeated in the indirect ack
    :param sender: record of the sender
    :param target: record of the member as the sender knows it
    """

    sequence: Counter
    sender: MemberRecord
    target: MemberRecord


class IndirectAck(Message, frozen=True):
    """The member of a ping request answered.

    :param sequence: that of the request
    :param target: record of the member as it described itself
    """

    sequence: Counter
    target: MemberRecord


class Push(Message, frozen=True):
    """Member records that should not wait for the next ping.

    :param members: new records
    """

    members: Records


class SyncRequest(Message, frozen=True):
    """Request for the records of buckets that differ.

    :param sender: record of the sender
    :param digests: its bucket digests
    :param joining: whether it wants verdicts of others as well
    """

    sender: MemberRecord
    digests: Digests
    joining: bool


class SyncReply(Message, frozen=True):
    """Records of some differing buckets.

    :param sender: record of the sender
    :param buckets: buckets that are complete in this reply
    :param left_count: differing buckets that found no room
    :param members: records of the buckets
    """

    sender: MemberRecord
    buckets: Annotated[list[int], msgspec.Meta(max_length=BUCKET_COUNT)]
    left_count: Counter
    members: Records


class ConfigDelta(Message, frozen=True):
    """A configuration change.

    :param previous: version it builds on
    :param version: version it leads to
    :param payload: opaque change
    """

    previous: Counter
    version: Counter
    payload: Delta


class ConfigNotice(Message, frozen=True):
    """The sender has taken over a version by snapshot.

    :param version: version of its configuration
    """

    version: Counter


class ConfigPull(Message, frozen=True):
    """Request for what follows a version.

    :param have: version of the sender
    :param offset: position in the snapshot, 0 for the start
    """

    have: Counter
    offset: Counter


class ConfigSnapshot(Message, frozen=True):
    """One chunk of a whole configuration.

    :param version: version of the configuration
    :param total_bytes: size of the whole
    :param checksum: CRC-32 of the whole
    :param offset: position of the chunk
    :param chunk: bytes from there on
    """

    version: Counter
    total_bytes: Counter
    checksum: Digest
    offset: Counter
    chunk: Chunk


class QuarantineNotice(Message, frozen=True):
    """Quarantine entries that should not wait for the next ping.

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

    :raises msgspec.DecodeError: if the data is no valid message
    """
    return _decoder.decode(data)
