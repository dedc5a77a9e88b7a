"""Operators' configuration: a folder of INI files merged in file name order.

A later file overrides single keys of an earlier one, so that a team can add files
without editing those of other teams.
"""

import re
import sys
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any

from briardock._callgraph import check_calls
from briardock._catalog import (
    Catalog,
    Fault,
    Operation,
    OperationClass,
    Policy,
    Service,
    fault_sort_key,
    find_location,
    locate_fault,
)
from briardock._ini import IniError, IniSection, nearest, parse_ini
from briardock._sections import KEYS, REQUIRED, check_section_name, convert_value
from briardock.exceptions import ConfigurationError

__all__ = [
    "Catalog",
    "Fault",
    "Operation",
    "OperationClass",
    "Policy",
    "Service",
    "load_folder",
    "merge_and_check",
]

MAX_FILES = 2_000
MAX_FILE_BYTES = 256 * 1024
MAX_TOTAL_BYTES = 4 * 1024 * 1024
# With more changed files, a full build is as fast as an incremental one, which parses
# both the old and the new text of each changed file.
MAX_INCREMENTAL_FILES = 16
FILE_SUFFIX = ".ini"
_FILE_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}\.ini\Z")
_PATH_PARAMETER = re.compile(r"\{[^}]*\}")

# A short queue drains sooner after a surge; a long one leaves fewer slots idle.
_POLICY_PRESETS = {
    "goodput": {
        "sojourn_ms": 50,
        "critical_sojourn_ms": 300,
        "queue_length": 512,
    },
    "recovery": {
        "sojourn_ms": 25,
        "critical_sojourn_ms": 150,
        "queue_length": 256,
    },
}


# Converted values by section and key. Keeping the text of all files would take more
# memory.
_Merged = dict[str, dict[str, Any]]


def load_folder(path: str | Path) -> dict[str, str]:
    """Return the text of each INI file of a folder; other files are skipped.

    :param path: folder
    :raises ConfigurationError: if the folder or a file cannot be used
    """
    folder = Path(path)
    try:
        paths = sorted(
            item
            for item in folder.iterdir()
            if item.suffix == FILE_SUFFIX and not item.name.startswith(".")
        )
        files = {item.name: _read_text(item) for item in paths}
    except OSError as error:
        raise ConfigurationError(
            f"{error.filename or folder}: cannot be read: {error.strerror}",
            "give the path of a readable folder of INI files",
        ) from error
    if not files:
        raise ConfigurationError(
            f"{folder}: contains no *{FILE_SUFFIX} file", "give a configuration folder"
        )
    return files


def merge_and_check(
    files: Mapping[str, str], previous: Catalog | None = None
) -> Catalog | list[Fault]:
    """Return the catalog of the merged files, or all of their faults.

    :param files: text by file name
    :param previous: catalog that differs in a few files, whose unchanged parts are
        reused; the result is the same as without it
    """
    faults = list(_check_files(files))
    if faults:
        return faults
    affected = _affected_sections(files, previous) if previous else None
    merged = _merge(files, affected, faults)
    if previous is None or affected is None:
        empty = Catalog({}, {}, {}, {}, _make_policy({}))
        catalog = _build(files, merged, empty)
        calls_changed = True
    else:
        catalog = _build(files, merged, previous, affected)
        calls_changed = _calls_changed(catalog, previous, affected)
    _check_across_sections(catalog, calls_changed, faults)
    return sorted(faults, key=fault_sort_key) or catalog


def _read_text(path: Path) -> str:
    """Return the text of one file.

    :raises ConfigurationError: if it is too large or not UTF-8
    """
    with path.open("rb") as file:
        data = file.read(MAX_FILE_BYTES + 1)
    if len(data) > MAX_FILE_BYTES:
        raise ConfigurationError(
            f"{path}: larger than {MAX_FILE_BYTES} bytes", "split it into several files"
        )
    try:
        return data.decode("utf-8-sig").replace("\r\n", "\n")
    except UnicodeDecodeError as error:
        raise ConfigurationError(
            f"{path}: not UTF-8 text", "save it as UTF-8"
        ) from error


def _check_files(files: Mapping[str, str]) -> Iterator[Fault]:
    """Return faults in the number, names and sizes of the files."""
    if len(files) > MAX_FILES:
        message = f"{len(files)} files exceed the limit of {MAX_FILES}"
        yield Fault("", 0, "", "", message, "merge some of them")
    total_bytes = 0
    for name, text in files.items():
        size_bytes = len(text) if text.isascii() else len(text.encode())
        total_bytes += size_bytes
        if not _FILE_NAME.match(name):
            remedy = f"use letters, digits, '.', '_', '-' and end in {FILE_SUFFIX}"
            yield Fault(name, 0, "", "", "bad file name", remedy)
        if size_bytes > MAX_FILE_BYTES:
            message = f"larger than {MAX_FILE_BYTES} bytes"
            yield Fault(name, 0, "", "", message, "split it into several files")
    if total_bytes > MAX_TOTAL_BYTES:
        message = f"{total_bytes} bytes in total exceed the limit of {MAX_TOTAL_BYTES}"
        yield Fault("", 0, "", "", message, "shorten the descriptions and comments")


def _affected_sections(files: Mapping[str, str], previous: Catalog) -> set[str] | None:
    """Return the sections in changed files, or ``None`` if a full build is needed."""
    changed = [
        name
        for name in files.keys() | previous.files.keys()
        if files.get(name) != previous.files.get(name)
    ]
    if len(changed) > MAX_INCREMENTAL_FILES:
        return None
    affected: set[str] = set()
    for name in changed:
        for text in (previous.files.get(name), files.get(name)):
            parsed = parse_ini(text or "")
            if isinstance(parsed, IniError):
                return None
            affected.update(parsed)
    kinds = {section.partition(" ")[0] for section in affected}
    return None if kinds & {"policy", "class"} else affected


def _merge(
    files: Mapping[str, str], affected: set[str] | None, faults: list[Fault]
) -> _Merged:
    """Merge the sections in file name order.

    :param affected: sections to merge, or ``None`` for all
    """
    merged: _Merged = {}
    headers = None if affected is None else [f"[{item}]" for item in affected]
    for name in sorted(files):
        text = files[name]
        if headers is not None and not any(header in text for header in headers):
            continue
        parsed = parse_ini(text)
        if isinstance(parsed, IniError):
            remedy = "write [section] headers and 'key = value' lines"
            faults.append(Fault(name, parsed.line, "", "", parsed.message, remedy))
            continue
        for section, content in parsed.items():
            if affected is None or section in affected:
                _merge_section(merged, name, section, content, faults)
    _require_keys(files, merged, faults)
    return merged


def _merge_section(
    merged: _Merged, file: str, section: str, content: IniSection, faults: list[Fault]
) -> None:
    """Add the keys of one section of one file."""
    kind, _, name = section.partition(" ")
    problem = check_section_name(kind, name)
    if problem:
        faults.append(Fault(file, content.line, section, "", *problem))
        return
    merged_values = merged.setdefault(section, {})
    for key, value in content.values.items():
        if key not in KEYS[kind]:
            remedy = nearest(key, KEYS[kind])
            faults.append(Fault(file, value.line, section, key, "unknown key", remedy))
            continue
        try:
            typed_value = convert_value(key, value.text, KEYS[kind][key])
        except ValueError as error:
            message = str(error)[:1].lower() + str(error)[1:]
            remedy = f"got '{value.text[:60]}'"
            faults.append(Fault(file, value.line, section, key, message, remedy))
            continue
        if key != "description":
            merged_values[key] = typed_value


def _require_keys(
    files: Mapping[str, str], merged: _Merged, faults: list[Fault]
) -> None:
    """Report required keys that no file sets."""
    for section, content in merged.items():
        for key in REQUIRED.get(section.partition(" ")[0], ()):
            # A key that a file sets but the content lacks has an invalid value, which
            # is already reported.
            if key in content or find_location(files, section, key)[0]:
                continue
            file, line = find_location(files, section, "")
            faults.append(Fault(file, line, section, key, "missing", "add it"))


def _build(
    files: Mapping[str, str],
    merged: _Merged,
    base: Catalog,
    affected: Iterable[str] = (),
) -> Catalog:
    """Return a catalog of the merged sections and the unaffected ones of a base."""
    services = dict(base.services)
    operations = dict(base.operations)
    for section in affected:
        kind, _, name = section.partition(" ")
        if kind == "service":
            services.pop(name, None)
        elif kind == "operation":
            operations.pop(name, None)
    classes = dict(base.classes) or {
        section[6:]: OperationClass(section[6:], content.get("rank", 0))
        for section, content in merged.items()
        if section.startswith("class ")
    }
    policy = _make_policy(merged["policy"]) if "policy" in merged else base.policy
    for section, content in merged.items():
        kind, _, name = section.partition(" ")
        if kind == "service":
            services[name] = _make_service(name, content)
        elif kind == "operation":
            operations[name] = _make_operation(name, content, policy, classes)
    return Catalog(files, services, classes, operations, policy)


def _make_policy(values: dict[str, Any]) -> Policy:
    """Return the policy, with the queue limits that its ``weigh`` value implies."""
    weigh = values.get("weigh", "goodput")
    return Policy(**{**_POLICY_PRESETS[weigh], **values})


def _make_service(name: str, values: dict[str, Any]) -> Service:
    """Return a service."""
    return Service(
        name,
        values.get("domains", ()),
        values.get("slots_hint"),
        values.get("cold_start_s"),
    )


def _make_operation(
    name: str,
    values: dict[str, Any],
    policy: Policy,
    classes: Mapping[str, OperationClass],
) -> Operation:
    """Return an operation, without a check of its references."""
    name = sys.intern(name)
    method, pattern = values.get("match", ("", ""))
    class_name = values.get("class", policy.default_class)
    rank = classes[class_name].rank if class_name in classes else 0
    max_body_kb = values.get("max_body_kb", policy.default_max_body_kb)
    return Operation(
        name=name,
        service=sys.intern(name.partition(".")[0]),
        method=method,
        pattern=pattern,
        class_name=class_name,
        class_rank=rank,
        idempotent=values.get("idempotent", False),
        deadline_ms=values.get("deadline_ms", policy.default_deadline_ms),
        retries=values.get("retries", policy.default_retries),
        max_body_bytes=max_body_kb * 1024,
        calls=values.get("calls", ()),
    )


def _calls_changed(catalog: Catalog, previous: Catalog, affected: set[str]) -> bool:
    """Return whether the call graph may differ from that of a checked catalog."""
    for section in affected:
        kind, _, name = section.partition(" ")
        if kind != "operation":
            continue
        old, new = previous.operation(name), catalog.operation(name)
        if old is None or new is None:
            return True
        if (old.calls, old.idempotent) != (new.calls, new.idempotent):
            return True
    return False


def _check_across_sections(
    catalog: Catalog, calls_changed: bool, faults: list[Fault]
) -> None:
    """Report faults that involve more than one section."""
    default_class = catalog.policy.default_class
    if default_class and default_class not in catalog.classes:
        message = f"unknown class '{default_class}'"
        remedy = nearest(default_class, catalog.classes)
        faults.append(
            locate_fault(catalog.files, "policy", "default_class", message, remedy)
        )
    for operation in catalog.operations.values():
        for problem in _check_references(operation, catalog):
            faults.append(
                locate_fault(catalog.files, f"operation {operation.name}", *problem)
            )
    for name, message in _duplicate_patterns(catalog.operations.values()):
        section, remedy = f"operation {name}", "change one of them"
        faults.append(locate_fault(catalog.files, section, "match", message, remedy))
    for issue in check_calls(catalog.operations) if calls_changed else ():
        section = f"operation {issue.operation}"
        faults.append(
            locate_fault(catalog.files, section, issue.key, issue.message, issue.remedy)
        )


def _check_references(
    operation: Operation, catalog: Catalog
) -> Iterator[tuple[str, str, str]]:
    """Return key, message and remedy of each invalid reference of an operation."""
    if operation.service not in catalog.services:
        message = f"no section [service {operation.service}]"
        yield "", message, nearest(operation.service, catalog.services)
    name = operation.class_name
    if not name:
        yield "class", "missing", "add it or set default_class in [policy]"
    elif name not in catalog.classes and name != catalog.policy.default_class:
        yield "class", f"unknown class '{name}'", nearest(name, catalog.classes)


def _duplicate_patterns(operations: Iterable[Operation]) -> Iterator[tuple[str, str]]:
    """Return name and message of operations that repeat the pattern of another."""
    seen: dict[str, str] = {}
    for operation in operations:
        if not operation.pattern:
            continue
        normalized = _PATH_PARAMETER.sub("{}", operation.pattern)
        pattern_key = f"{operation.service} {operation.method} {normalized}"
        first_name = seen.setdefault(pattern_key, operation.name)
        if first_name != operation.name:
            text = f"{operation.method} {operation.pattern}"
            yield operation.name, f"'{text}' is already matched by {first_name}"
