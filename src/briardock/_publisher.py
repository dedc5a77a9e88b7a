"""Operator side of publishing: the base of a folder, and one publish attempt."""

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
class Published:
    """Result of a publish.

    :param version: version now in force, or the current one without changes
    :param changed: names of the changed files
    """

    version: int
    changed: tuple[str, ...]


def fetch_into(folder: Path, state: ConfigState, overwrite: bool) -> int:
    """Write the published files and their versions, and return their number.

    :param folder: created if missing
    :param state: published state
    :param overwrite: replace files that were edited locally
    :raises ConfigurationError: if that would lose local edits
    """
    folder.mkdir(parents=True, exist_ok=True)
    local = load_folder(folder) if any(folder.glob("*.ini")) else {}
    base = read_base(folder) or Base({})
    edited = [
        name
        for name in sorted(local)
        if local[name] != state.files.get(name) and _is_edited(name, local, base)
    ]
    if edited and not overwrite:
        raise ConfigurationError(
            f"{folder}: not yet published: {', '.join(edited)}",
            "publish or move them, or give --overwrite",
        )
    for name, text in state.files.items():
        if local.get(name) != text:
            write_atomically(folder / name, text.encode())
    for name in local.keys() - state.files.keys():
        (folder / name).unlink(missing_ok=True)
    write_base(folder, _base_of(state))
    return len(state.files)


async def publish_folder(
    folder: Path, view: LogView, author: str, base_current: bool
) -> Published:
    """Publish what differs from the base of a folder.

    :param folder: folder of INI files
    :param view: view of the log, not yet read
    :param author: shown to others; empty for the user name
    :param base_current: take the current published state as the base
    :raises ConfigurationError: if the files or their base do not fit
    :raises PublishConflictError: if another publish changed the same file
    """
    local = load_folder(folder)
    require_checked(local, str(folder))
    await view.read_to_end()
    view.require_complete()
    state = view.state
    base = _base_of(state) if base_current else _require_base(folder, state)
    changes = _changes(local, base, state)
    if not changes:
        _update_base(folder, base, local, state)
        return Published(state.version, ())
    _require_current(changes, base, view)
    merged = {**state.files, **changes}
    require_checked(
        {name: text for name, text in merged.items() if text is not None},
        "merged with the files of others",
    )
    versions = {name: base.version_of(name) for name in changes}
    record = Publish(uuid.uuid4().hex, author or _user_name(), versions, changes)
    result = await view.send(record)
    if not result.accepted:
        raise _rejection(result, view)
    _update_base(folder, base, local, state)
    return Published(result.offset, tuple(sorted(changes)))


async def restore_folder(folder: Path, view: LogView) -> int:
    """Start again from the files of a folder, and return the version.

    :param folder: folder of INI files
    :param view: view of the log, not yet read
    :raises ConfigurationError: if the log is complete, so that this would discard
        what others published
    """
    local = load_folder(folder)
    require_checked(local, str(folder))
    await view.read_to_end()
    if not view.state.is_incomplete:
        raise ConfigurationError("the log is complete", "use 'briardock publish'")
    version = await view.append_checkpoint(local)
    if dict(view.state.files) != local:
        raise PublishConflictError(
            "another restore came first", "fetch what it restored into another folder"
        )
    write_base(folder, _base_of(view.state))
    return version


def require_checked(files: Mapping[str, str], what: str) -> None:
    """Check merged files.

    :raises ConfigurationError: naming the first fault and their number
    """
    checked = merge_and_check(files)
    if isinstance(checked, list):
        more = f" (and {len(checked) - 1} more)" if len(checked) > 1 else ""
        raise ConfigurationError(
            f"{what}: {checked[0]}{more}", "run 'briardock check' on the folder"
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
    """Return the base of a folder, which may only miss before the first publish."""
    base = read_base(folder)
    if base is None and state.versions:
        raise ConfigurationError(
            f"{folder}: it is not known which version the edits started from",
            "fetch into another folder and redo the edits there, or give "
            "--base-current to replace what is published now",
        )
    return base or Base({})


def _changes(
    local: Mapping[str, str], base: Base, state: ConfigState
) -> dict[str, str | None]:
    """Return the files whose text differs from both base and published state."""
    changes: dict[str, str | None] = {}
    known = {name for name, entry in base.files.items() if entry.digest is not None}
    for name in sorted(local.keys() | known):
        text = local.get(name)
        if digest_of_text(text) != base.digest_of(name) and text != state.files.get(
            name
        ):
            changes[name] = text
    return changes


def _require_current(
    changes: Mapping[str, str | None], base: Base, view: LogView
) -> None:
    """Check that no changed file has moved since the base."""
    current = view.state.versions
    moved = [
        name
        for name in changes
        if base.version_of(name) != current.get(name, ABSENT)
        or base.digest_of(name) != digest_of_text(view.state.files.get(name))
    ]
    if moved:
        raise PublishConflictError(
            f"changed by another publish since your fetch: {_blame(moved, view)}",
            "fetch into another folder, redo the edits there and publish it",
        )


def _rejection(result: ChangeResult, view: LogView) -> Exception:
    """Return the error of a change that lost a race or fails with those of others."""
    if result.conflicts:
        return PublishConflictError(
            "another publish came first; nothing of this one is in force: "
            f"{_blame(result.conflicts, view)}",
            "fetch into another folder, redo the edits there and publish it",
        )
    return ConfigurationError(
        f"rejected, merged with the files of others: {result.reason}",
        "correct the file and publish again",
    )


def _blame(names: list[str] | tuple[str, ...], view: LogView) -> str:
    """Return file names with the version and author that changed them last."""
    versions = view.state.versions
    return ", ".join(
        f"{name} (version {versions.get(name, ABSENT)}"
        f" by {view.authors.get(name, 'an earlier author')})"
        for name in names
    )


def _update_base(
    folder: Path, base: Base, local: Mapping[str, str], state: ConfigState
) -> None:
    """Move the base of the files whose local text is the published one."""
    entries = dict(base.files)
    for name, version in state.versions.items():
        if local.get(name) == state.files.get(name):
            entries[name] = BaseEntry(version, digest_of_text(local.get(name)))
    write_base(folder, Base(entries))


def _is_edited(name: str, local: Mapping[str, str], base: Base) -> bool:
    """Return whether a local file differs from its base."""
    return digest_of_text(local[name]) != base.digest_of(name)


def _user_name() -> str:
    """Return the name of the user for the author field."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
