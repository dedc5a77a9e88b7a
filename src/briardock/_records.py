"""Records of the log stream ``configuration``, and the deltas sent by gossip."""

import hashlib
import zlib
from collections.abc import Mapping

import msgspec

STREAM = "configuration"
NO_VERSION = -1
# Version of a file that never existed. Offset 0 is a valid version.
ABSENT = -1
MAX_PUBLISH_BYTES = 5 * 1024 * 1024
MAX_DELTA_BYTES = 32 * 1024 * 1024
MAX_ID_LENGTH = 128
MAX_REASON_LENGTH = 400
DIGEST_BYTES = 16


class FileVersion(msgspec.Struct, frozen=True, array_like=True):
    """One file of the configuration.

    :param version: offset of the record that last changed it
    :param text: content, or ``None`` if that record deleted it
    """

    version: int
    text: str | None


class ChangeResult(msgspec.Struct, frozen=True, array_like=True):
    """Result of one publish record.

    :param offset: offset of the record
    :param change_id: id that the author assigned
    :param accepted: whether the change was accepted
    :param reason: why it was rejected, otherwise empty
    :param conflicts: files whose version differs from the base of the change
    """

    offset: int
    change_id: str
    accepted: bool
    reason: str = ""
    conflicts: tuple[str, ...] = ()


class Publish(msgspec.Struct, frozen=True, tag="publish"):
    """Atomic change of one or more files.

    :param change_id: unique id; a record with an id already seen has no effect
    :param author: name of the publisher
    :param base: version of each changed file that the edits are based on
    :param changes: new text of each changed file, or ``None`` to delete it
    """

    change_id: str
    author: str
    base: dict[str, int]
    changes: dict[str, str | None]


class Checkpoint(msgspec.Struct, frozen=True, tag="checkpoint"):
    """Complete state, so that it survives the trimming of older records.

    :param as_of: offset of the last record included
    :param version: offset of the last accepted publish
    :param files: all files, including deleted ones
    :param results: recent changes, oldest first
    :param digest: digest of version and files
    """

    as_of: int
    version: int
    files: dict[str, FileVersion]
    results: list[ChangeResult]
    digest: str


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """Difference between two versions, for gossip.

    :param previous: version that the delta applies to; -1 for a snapshot, which has all
        files and replaces any version
    :param version: resulting version
    :param files: changed files
    :param results: changes after ``previous`` up to ``version``, oldest first
    """

    previous: int
    version: int
    files: dict[str, FileVersion]
    results: list[ChangeResult]


_encoder = msgspec.json.Encoder()
_record_decoder = msgspec.json.Decoder(Publish | Checkpoint)
_delta_encoder = msgspec.msgpack.Encoder()
_delta_decoder = msgspec.msgpack.Decoder(Delta)


def encode_record(record: Publish | Checkpoint) -> bytes:
    """Return a record encoded as JSON."""
    return _encoder.encode(record)


def decode_record(body: bytes) -> Publish | Checkpoint | None:
    """Return the decoded record, or ``None`` if it is invalid or too large."""
    try:
        record = _record_decoder.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError):
        return None
    if isinstance(record, Checkpoint):
        return record
    if len(body) > MAX_PUBLISH_BYTES or not record.changes:
        return None
    if not 0 < len(record.change_id) <= MAX_ID_LENGTH:
        return None
    return record


def encode_delta(delta: Delta) -> bytes:
    """Return an encoded and compressed delta."""
    return zlib.compress(_delta_encoder.encode(delta))


def decode_delta(data: bytes) -> Delta | None:
    """Return the decoded delta, or ``None`` if the data is damaged or too large."""
    try:
        unpacker = zlib.decompressobj()
        plain = unpacker.decompress(data, MAX_DELTA_BYTES)
        if unpacker.unconsumed_tail or not unpacker.eof:
            return None
        return _delta_decoder.decode(plain)
    except (zlib.error, msgspec.DecodeError, ValueError):
        return None


def digest_of(version: int, files: Mapping[str, FileVersion]) -> str:
    """Return the digest of a state.

    :param version: offset of the last accepted publish
    :param files: all files, including deleted ones
    """
    content = [version, sorted(files.items())]
    digest = hashlib.blake2b(_encoder.encode(content), digest_size=DIGEST_BYTES)
    return digest.hexdigest()
