"""Commands of operators that fetch, publish and restore a configuration folder."""

import getpass
import uuid
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from briardock._basefile import (
    Base,
    BaseEntry,
    digest_of_text,
    read_base,
    write_atomically,
    write_base,
)
from briardock._logview import LogView
from briardock._records import (
    ABSENT,
    ChangeResult,
    Publish,
)
from briardock.configuration import load_folder, merge_and_check
from briardock.exceptions import (
    ConfigurationError,
    PublishConflictError,
)
from briardock.publishing import (
    ConfigState,
)


@dataclass(frozen=True, slots=True)
class PublishResult:
    """Result of a publish.

    :param version: version of the change, or the current one if nothing changed
    :param changed: names of the changed files
    """

    version: int
    changed: tuple[str, ...]


def fetch_into(folder: Path, state: ConfigState, overwrite: bool) -> int:
    """Write the published files and their versions, and return the number of files.

    :param folder: created if missing
    :param state: published state
    :param overwrite: replace files that were edited locally
    :raises ConfigurationError: if local edits would be lost
    """
    folder.mkdir(parents=True, exist_ok=True)
    local_files = load_folder(folder) if any(folder.glob("*.ini")) else {}
    base = read_base(folder) or Base({})
    edited = [
        name
        for name in sorted(local_files)
        if local_files[name] != state.files.get(name)
        and _is_edited(name, local_files, base)
    ]
    if edited and not overwrite:
        raise ConfigurationError(
            f"{folder}: not yet published: {', '.join(edited)}",
            "publish or move them, or give --overwrite",
        )
    for name, text in state.files.items():
        if local_files.get(name) != text:
            write_atomically(folder / name, text.encode())
    for name in local_files.keys() - state.files.keys():
        (folder / name).unlink(missing_ok=True)
    write_base(folder, _base_of(state))
    return len(state.files)


async def publish_folder(
    folder: Path, view: LogView, author: str, base_current: bool
) -> PublishResult:
    """Publish the files that differ from the base of a folder.

    :param folder: folder of INI files
    :param view: view of the log, not yet read
    :param author: name shown to other operators; empty for the user name
    :param base_current: use the published state as the base
    :raises ConfigurationError: if the files or their base are invalid
    :raises PublishConflictError: if another publish changed the same file
    """
    local_files = load_folder(folder)
    require_valid(local_files, str(folder))
    await view.read_to_end()
    view.require_complete()
    state = view.state
    base = _base_of(state) if base_current else _require_base(folder, state)
    changes = _changed_files(local_files, base, state)
    if not changes:
        _update_base(folder, base, local_files, state)
        return PublishResult(state.version, ())
    _require_current_base(changes, base, view)
    merged = {**state.files, **changes}
    require_valid(
        {name: text for name, text in merged.items() if text is not None},
        "merged with the published files",
    )
    versions = {name: base.version_of(name) for name in changes}
    record = Publish(uuid.uuid4().hex, author or _user_name(), versions, changes)
    result = await view.send(record)
    if not result.accepted:
        raise _rejection_error(result, view)
    _update_base(folder, base, local_files, state)
    return PublishResult(result.offset, tuple(sorted(changes)))


async def restore_folder(folder: Path, view: LogView) -> int:
    """Restore an incomplete log from the files of a folder, and return the version.

    :param folder: folder of INI files
    :param view: view of the log, not yet read
    :raises ConfigurationError: if the log is complete, since a restore would discard
        published changes
    """
    local_files = load_folder(folder)
    require_valid(local_files, str(folder))
    await view.read_to_end()
    if not view.state.is_incomplete:
        raise ConfigurationError("the log is complete", "use 'briardock publish'")
    version = await view.append_checkpoint(local_files)
    if dict(view.state.files) != local_files:
        raise PublishConflictError(
            "another restore was applied first",
            "fetch its files into another folder",
        )
    write_base(folder, _base_of(view.state))
    return version


def require_valid(files: Mapping[str, str], description: str) -> None:
    """Check merged files.

    :param files: text by file name
    :param description: names the files in the error message
    :raises ConfigurationError: with the first fault and the number of others
    """
    checked = merge_and_check(files)
    if isinstance(checked, list):
        more = f" (and {len(checked) - 1} more)" if len(checked) > 1 else ""
        raise ConfigurationError(
            f"{description}: {checked[0]}{more}", "run 'briardock check' on the folder"
        )


def _base_of(state: ConfigState) -> Base:
    """Return the base that equals the published state."""
    return Base(
        {
            name: BaseEntry(version, digest_of_text(state.files.get(name)))
            for name, version in state.versions.items()
        }
    )


def _require_base(folder: Path, state: ConfigState) -> Base:
    """Return the base of a folder; it may be absent only before the first publish."""
    base = read_base(folder)
    if base is None and state.versions:
        raise ConfigurationError(
            f"{folder}: the version that the edits are based on is unknown",
            "fetch into another folder and redo the edits there, or give "
            "--base-current to replace what is published now",
        )
    return base or Base({})


def _changed_files(
    local_files: Mapping[str, str], base: Base, state: ConfigState
) -> dict[str, str | None]:
    """Return the files whose text differs from both the base and the published one."""
    changes: dict[str, str | None] = {}
    base_names = {
        name for name, entry in base.files.items() if entry.digest is not None
    }
    for name in sorted(local_files.keys() | base_names):
        text = local_files.get(name)
        if digest_of_text(text) != base.digest_of(name) and text != state.files.get(
            name
        ):
            changes[name] = text
    return changes


def _require_current_base(
    changes: Mapping[str, str | None], base: Base, view: LogView
) -> None:
    """Check that nobody published a new version of a changed file since the base."""
    current = view.state.versions
    outdated = [
        name
        for name in changes
        if base.version_of(name) != current.get(name, ABSENT)
        or base.digest_of(name) != digest_of_text(view.state.files.get(name))
    ]
    if outdated:
        raise PublishConflictError(
            "changed by another publish since your fetch: "
            f"{_last_changes(outdated, view)}",
            "fetch into another folder, redo the edits there and publish it",
        )


def _rejection_error(result: ChangeResult, view: LogView) -> Exception:
    """Return the error for a change that conflicts or does not pass the checks."""
    if result.conflicts:
        return PublishConflictError(
            "another publish was accepted first; no part of this one is in force: "
            f"{_last_changes(result.conflicts, view)}",
            "fetch into another folder, redo the edits there and publish it",
        )
    return ConfigurationError(
        f"rejected, merged with the published files: {result.reason}",
        "correct the file and publish again",
    )


def _last_changes(names: list[str] | tuple[str, ...], view: LogView) -> str:
    """Return file names with the version and author of their last change."""
    versions = view.state.versions
    return ", ".join(
        f"{name} (version {versions.get(name, ABSENT)}"
        f" by {view.authors.get(name, 'an unknown author')})"
        for name in names
    )


def _update_base(
    folder: Path, base: Base, local_files: Mapping[str, str], state: ConfigState
) -> None:
    """Update the base of the files whose local text equals the published one."""
    entries = dict(base.files)
    for name, version in state.versions.items():
        if local_files.get(name) == state.files.get(name):
            entries[name] = BaseEntry(version, digest_of_text(local_files.get(name)))
    write_base(folder, Base(entries))


def _is_edited(name: str, local_files: Mapping[str, str], base: Base) -> bool:
    """Return whether a local file differs from its base."""
    return digest_of_text(local_files[name]) != base.digest_of(name)


def _user_name() -> str:
    """Return the name of the user for the author field."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
