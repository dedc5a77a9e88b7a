"""Versioned state of the configuration, determined by the log alone.

Every node that applies the same records reaches the same state: acceptance depends on
offsets and contents of records, never on times or the order of arrival.
"""

from collections.abc import Mapping

from briardock._catalog import Catalog
from briardock._changes import (
    Accepted,
    Applied,
    Behind,
    Ignored,
    RecentChanges,
    Rejected,
    Stale,
)
from briardock._records import (
    ABSENT,
    MAX_REASON_LENGTH,
    NO_VERSION,
    ChangeResult,
    Checkpoint,
    Delta,
    FileVersion,
    Publish,
    decode_delta,
    decode_record,
    digest_of,
    encode_delta,
)
from briardock.configuration import merge_and_check
from briardock.events import Event, emit

# Limits existing and deleted files together. Deleted files keep their version, so that
# a late duplicate of the record that created one cannot restore it.
MAX_NAMES = 4_000


class ConfigState:
    """Files, versions and recent changes of the configuration on one node."""

    def __init__(self) -> None:
        self.version = NO_VERSION
        self.last_offset = -1
        self.checkpoint_offset = -1
        self.log_restarted = False
        self.catalog = _empty_catalog()
        self._files: dict[str, FileVersion] = {}
        self._changes = RecentChanges()
        self._snapshot: bytes | None = None
        self._missing_before: int | None = None
        self._scan_offset = 0

    @property
    def files(self) -> Mapping[str, str]:
        """Text of each file that exists."""
        return self.catalog.files

    @property
    def versions(self) -> dict[str, int]:
        """Version of each file, including deleted files."""
        return {name: entry.version for name, entry in self._files.items()}

    @property
    def next_offset(self) -> int:
        """Offset of the next record to read from the log."""
        if self._missing_before is not None:
            return max(self._scan_offset, self.last_offset + 1)
        return self.last_offset + 1

    @property
    def is_incomplete(self) -> bool:
        """Whether records needed here were trimmed and no checkpoint covers them."""
        return self._missing_before is not None

    @property
    def digest(self) -> str:
        """Digest of version and files."""
        return digest_of(self.version, self._files)

    def report(self) -> dict[str, object]:
        """Return the state without the file texts, for a dump."""
        return {
            "version": self.version,
            "last_offset": self.last_offset,
            "checkpoint_offset": self.checkpoint_offset,
            "is_incomplete": self.is_incomplete,
            "log_restarted": self.log_restarted,
            "digest": self.digest,
            "files": self.versions,
        }

    def result_of(self, change_id: str) -> ChangeResult | None:
        """Return the result of a recent change, or ``None`` if it is unknown."""
        return self._changes.get(change_id)

    def observe_log(self, first: int, end_offset: int) -> None:
        """Update the range of offsets that the log holds.

        :param first: oldest offset that can be read
        :param end_offset: offset of the next append
        """
        has_restarted = end_offset <= self.last_offset
        if has_restarted and not self.log_restarted:
            emit(
                Event.CONFIG_LOG_RESTARTED,
                log_next=end_offset,
                applied=self.last_offset,
                version=self.version,
            )
        self.log_restarted = has_restarted
        if first <= self.last_offset + 1:
            self._missing_before = None
        elif self._missing_before is None:
            emit(Event.CONFIG_HISTORY_TRIMMED, first=first, applied=self.last_offset)
            self._missing_before = first
            self._scan_offset = first
        else:
            self._missing_before = first
            self._scan_offset = max(self._scan_offset, first)

    def apply(self, offset: int, body: bytes) -> Accepted | Rejected | Ignored:
        """Apply one record of the log.

        :param offset: offset of the record
        :param body: content of the record
        """
        if offset <= self.last_offset:
            return Ignored("already applied")
        record = decode_record(body)
        if self._missing_before is not None:
            self._scan_offset = offset + 1
            return self._restore_from(offset, record)
        self.last_offset = offset
        match record:
            case Publish():
                return self._apply_publish(offset, record)
            case Checkpoint():
                return self._verify_checkpoint(offset, record)
        emit(Event.CONFIG_RECORD_IGNORED, offset=offset, size_bytes=len(body))
        return Ignored("not a configuration record")

    def checkpoint(self) -> Checkpoint:
        """Return the complete state as of the last applied record."""
        return Checkpoint(
            as_of=self.last_offset,
            version=self.version,
            files=dict(self._files),
            results=self._changes.between(-1, self.last_offset),
            digest=self.digest,
        )

    def restore(self, checkpoint: Checkpoint, offset: int) -> bool:
        """Replace the state with a checkpoint, unless it is older.

        :param checkpoint: from the log
        :param offset: offset of its record
        :returns: whether the state covers ``checkpoint.as_of`` now
        """
        if digest_of(checkpoint.version, checkpoint.files) != checkpoint.digest:
            emit(Event.CONFIG_CHECKPOINT_DAMAGED, as_of=checkpoint.as_of)
            return False
        if checkpoint.version < self.version or checkpoint.as_of < checkpoint.version:
            emit(
                Event.CONFIG_OLDER_REFUSED,
                offered=checkpoint.version,
                version=self.version,
            )
            return False
        if checkpoint.version > self.version and not self._install(
            checkpoint.version, dict(checkpoint.files)
        ):
            return False
        self._changes.add(checkpoint.results)
        self._advance(checkpoint.as_of)
        self.checkpoint_offset = max(self.checkpoint_offset, offset)
        emit(Event.CONFIG_RESTORED, as_of=checkpoint.as_of, version=self.version)
        return True

    def snapshot(self) -> bytes:
        """Return the complete state of the current version, for gossip."""
        if self._snapshot is None:
            results = self._changes.between(-1, self.version)
            full_delta = Delta(NO_VERSION, self.version, self._files, results)
            self._snapshot = encode_delta(full_delta)
        return self._snapshot

    def install_snapshot(self, data: bytes) -> bool:
        """Install a snapshot if it is newer, and return whether it was installed.

        :param data: from :meth:`snapshot` of another node
        """
        return isinstance(self.apply_delta(data), Applied)

    def apply_delta(self, data: bytes) -> Applied | Behind | Stale:
        """Apply a delta or snapshot of another node.

        :param data: from :class:`Accepted` or :meth:`snapshot`
        """
        delta = decode_delta(data)
        if delta is None:
            emit(Event.CONFIG_DELTA_DAMAGED, size_bytes=len(data))
            return Stale("damaged")
        if delta.version <= self.version:
            return Stale("not newer")
        if delta.previous not in (NO_VERSION, self.version):
            return Behind(delta.version)
        base_files = {} if delta.previous == NO_VERSION else self._files
        if not self._install(delta.version, {**base_files, **delta.files}):
            return Stale("does not pass the checks")
        self._changes.add(delta.results)
        self._advance(delta.version)
        return Applied(self.version)

    def _advance(self, offset: int) -> None:
        """Count all records up to an offset as applied."""
        self.last_offset = max(self.last_offset, offset)
        first = self._missing_before
        if first is not None and first <= self.last_offset + 1:
            self._missing_before = None

    def _apply_publish(
        self, offset: int, record: Publish
    ) -> Accepted | Rejected | Ignored:
        """Accept or reject a change."""
        if self._changes.is_recent(record.change_id):
            return Ignored("change id already seen")
        conflicts = tuple(
            sorted(
                name
                for name in record.changes
                if record.base.get(name, ABSENT) != self._version_of(name)
            )
        )
        if conflicts:
            reason = f"changed by another publish: {', '.join(conflicts)}"
            return self._reject(offset, record, reason, conflicts)
        changed = {
            name: FileVersion(offset, text) for name, text in record.changes.items()
        }
        files = {**self._files, **changed}
        if len(files) > MAX_NAMES:
            return self._reject(offset, record, f"more than {MAX_NAMES} file names", ())
        checked = merge_and_check(_existing_texts(files), self.catalog)
        if isinstance(checked, list):
            return self._reject(offset, record, f"{checked[0]}", ())
        previous = self.version
        self._put_in_force(offset, files, checked)
        self._changes.append(ChangeResult(offset, record.change_id, True))
        results = self._changes.between(previous, offset)
        emit(
            Event.CONFIG_ACCEPTED,
            version=offset,
            change_id=record.change_id,
            author=record.author,
            files=len(changed),
        )
        return Accepted(offset, encode_delta(Delta(previous, offset, changed, results)))

    def _reject(
        self, offset: int, record: Publish, reason: str, conflicts: tuple[str, ...]
    ) -> Rejected:
        """Record that a change is rejected."""
        reason = reason[:MAX_REASON_LENGTH]
        result = ChangeResult(offset, record.change_id, False, reason, conflicts)
        self._changes.append(result)
        emit(
            Event.CONFIG_REJECTED,
            offset=offset,
            change_id=record.change_id,
            author=record.author,
            reason=reason,
        )
        return Rejected(record.change_id, reason, conflicts)

    def _verify_checkpoint(self, offset: int, checkpoint: Checkpoint) -> Ignored:
        """Compare a checkpoint with the local state if it covers the same version."""
        if checkpoint.as_of >= offset:
            emit(Event.CONFIG_CHECKPOINT_DAMAGED, as_of=checkpoint.as_of, offset=offset)
            return Ignored("checkpoint covers its own or later offsets")
        if checkpoint.as_of >= self.version and checkpoint.digest != self.digest:
            emit(
                Event.CONFIG_CHECKPOINT_MISMATCH,
                offset=offset,
                as_of=checkpoint.as_of,
                version=self.version,
            )
            return Ignored("checkpoint differs from the local state")
        self.checkpoint_offset = offset
        return Ignored("checkpoint")

    def _restore_from(
        self, offset: int, record: Publish | Checkpoint | None
    ) -> Accepted | Ignored:
        """Restore from a record of a trimmed log if its checkpoint covers the gap."""
        first = self._missing_before or 0
        if not isinstance(record, Checkpoint) or not first - 1 <= record.as_of < offset:
            return Ignored("records are missing; waiting for a checkpoint")
        previous_version = self.version
        if not self.restore(record, offset):
            return Ignored("checkpoint cannot be used")
        if self.version == previous_version:
            return Ignored("checkpoint has the version in force")
        return Accepted(self.version, self.snapshot())

    def _version_of(self, name: str) -> int:
        """Return the version of a file."""
        entry = self._files.get(name)
        return entry.version if entry else ABSENT

    def _install(self, version: int, files: dict[str, FileVersion]) -> bool:
        """Install files of another node; return whether they pass the checks here."""
        checked = merge_and_check(_existing_texts(files), self.catalog)
        if isinstance(checked, list):
            emit(Event.CONFIG_NOT_INSTALLED, version=version, fault=checked[0])
            return False
        self._put_in_force(version, files, checked)
        return True

    def _put_in_force(
        self, version: int, files: dict[str, FileVersion], catalog: Catalog
    ) -> None:
        """Put a version in force."""
        self.version = version
        self.catalog = catalog
        self._files = files
        self._snapshot = None


def make_config_state() -> ConfigState:
    """Return the state before any publish."""
    return ConfigState()


def _existing_texts(files: Mapping[str, FileVersion]) -> dict[str, str]:
    """Return the text of the files that are not deleted."""
    return {name: entry.text for name, entry in files.items() if entry.text is not None}


def _empty_catalog() -> Catalog:
    """Return the catalog of no files."""
    checked = merge_and_check({})
    if isinstance(checked, list):
        raise AssertionError(checked)
    return checked
