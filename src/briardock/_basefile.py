"""Base of a configuration folder: the published state that its edits are based on."""

import hashlib
import os
import tempfile
from pathlib import Path

import msgspec

from briardock._records import ABSENT
from briardock.exceptions import ConfigurationError

BASE_FILE = ".briardock-base"
DIGEST_BYTES = 16


class BaseEntry(msgspec.Struct, frozen=True):
    """Published state of one file when the operator fetched or published it.

    :param version: version of the file
    :param digest: digest of its text, or ``None`` if it was deleted
    """

    version: int
    digest: str | None


class Base(msgspec.Struct, frozen=True):
    """Published state that the edits in a folder are based on.

    :param files: entries by file name
    """

    files: dict[str, BaseEntry]

    def version_of(self, name: str) -> int:
        """Return the version of a file, or ``ABSENT`` if it never existed."""
        entry = self.files.get(name)
        return entry.version if entry else ABSENT

    def digest_of(self, name: str) -> str | None:
        """Return the digest of a file, or ``None`` if it did not exist."""
        entry = self.files.get(name)
        return entry.digest if entry else None


def read_base(folder: Path) -> Base | None:
    """Return the base of a folder, or ``None`` if it has none.

    :raises ConfigurationError: if it is damaged
    """
    try:
        return msgspec.json.decode((folder / BASE_FILE).read_bytes(), type=Base)
    except FileNotFoundError:
        return None
    except msgspec.DecodeError as error:
        raise ConfigurationError(
            f"{folder / BASE_FILE}: damaged: {error}",
            "fetch into another folder and redo the edits there",
        ) from error


def write_base(folder: Path, base: Base) -> None:
    """Write the base of a folder."""
    write_atomically(folder / BASE_FILE, msgspec.json.encode(base))


def digest_of_text(text: str | None) -> str | None:
    """Return the digest of a text, or ``None`` for a file that does not exist."""
    if text is None:
        return None
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


def write_atomically(path: Path, data: bytes) -> None:
    """Replace a file, so that an interruption leaves either the old or the new one."""
    descriptor, temporary_path = tempfile.mkstemp(
        dir=path.parent, prefix=".briardock-tmp-"
    )
    try:
        with os.fdopen(descriptor, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.chmod(temporary_path, 0o644)
        os.replace(temporary_path, path)
    except BaseException:
        Path(temporary_path).unlink(missing_ok=True)
        raise
