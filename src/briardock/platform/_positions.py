"""Decoding of the operator's configuration together with the line of each value.

Entries are decoded by the functions that nodes use, so that a check rejects what nodes
reject.
"""

import json
import re
from collections import defaultdict
from collections.abc import Iterator
from typing import Any

import msgspec

from briardock.mesh.dialect import Undecodable
from briardock.platform._dialect import (
    PlatformDialect,
    _AccountSpec,
    _decode_health_path,
    _decode_limits,
    _decode_route,
    _Document,
    _LimitsSpec,
    _require_account,
    _Resource,
    _RouteSpec,
    _ServiceSpec,
)
from briardock.platform_check import (
    CheckedDocument,
    Content,
    Entry,
    EntryKind,
    Finding,
    KeyList,
    Position,
    Secret,
    Severity,
    Shown,
    Value,
)

API_KEYS = "api-keys"
_KINDS = {
    "routes": EntryKind.ROUTE,
    "services": EntryKind.SERVICE,
    "tenants": EntryKind.ACCOUNT,
    "limits": EntryKind.LIMITS,
}
_KNOWN_KEYS: dict[EntryKind, set[str]] = {
    EntryKind.ROUTE: {*_RouteSpec.__struct_encode_fields__},
    # Nodes do not use the bound on connections.
    EntryKind.SERVICE: {*_ServiceSpec.__struct_encode_fields__, "max-connections"},
    EntryKind.ACCOUNT: {*_AccountSpec.__struct_encode_fields__},
    EntryKind.LIMITS: {*_LimitsSpec.__struct_encode_fields__},
    EntryKind.UNKNOWN: set(),
}
_ROUTE_KINDS = ("idempotent", "non_idempotent", "upload", "download")
# Fields of the decoded types by their key.
_FIELDS = {
    "path-prefix": "path_prefix",
    "timeout": "timeout_s",
    "target-latency": "objective_s",
    "max-attempts": "max_attempts",
    "service": "services",
    "weighted-services": "services",
    "api-keys": "keys",
    "rate-per-s": "rate_per_s",
    "burst": "burst",
    "max-header-bytes": "header_bytes",
}
_TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+"|[{}\[\],:]|[^\s{}\[\],:"]++')
_REASON = re.compile(r"(.*?)(?: - at `\$([^`]*)`)?", re.DOTALL)
_STEP = re.compile(r"\.([^.\[\]]+)|\[(\d+)\]")
_MISSING = re.compile(r"Object missing required field `([^`]+)`")
_BYTE = re.compile(r"\(byte (\d+)\)")
# Raised for invalid input; RecursionError if it is nested too deeply.
_DECODE_ERRORS = (ValueError, RecursionError)

KeyPath = tuple[str | int, ...]


def decode_with_positions(document: bytes, file: str) -> CheckedDocument:
    """Decode a configuration as far as possible.

    :param document: JSON document of the operator
    :param file: name of the file for positions
    """
    try:
        outline = msgspec.json.decode(document, type=dict[str, msgspec.Raw])
    except _DECODE_ERRORS as error:
        position = Position(file, _line_of(document, str(error)), "")
        fault = _error(position, str(error), "correct the JSON text")
        return CheckedDocument(position, None, (), (fault,))
    lines: dict[KeyPath, int] = {}
    resource_lines: dict[int, dict[KeyPath, int]] = defaultdict(dict)
    for path, line in _key_lines(document):
        match path:
            case ("resources", int(index), *rest):
                resource_lines[index][tuple(rest)] = line
            case _:
                lines[path] = line
    faults = []
    try:
        msgspec.json.decode(document, type=_Document)
    except _DECODE_ERRORS as error:
        path, message, remedy = _explain(error)
        # Faults within a resource are found below, with its name.
        if len(path) < 2:
            position = Position(file, lines.get(path, 1), "".join(map(str, path)))
            faults.append(_error(position, message, remedy))
    entries = []
    resources = _decode_or([], outline.get("resources"), list[msgspec.Raw])
    for index, raw in enumerate(resources):
        entry, entry_faults = _decode_entry(file, index, raw, resource_lines[index])
        entries.append(entry)
        faults += entry_faults
    position = Position(file, lines.get(("version",), 1), "version")
    decoded = PlatformDialect().decode_config(document)
    if isinstance(decoded, Undecodable) and not faults:
        faults.append(_error(position, decoded.reason, "correct the document"))
    version = _decode_or(None, outline.get("version"), int)
    return CheckedDocument(position, version, tuple(entries), tuple(faults))


def _decode_entry(
    file: str, index: int, raw: msgspec.Raw, lines: dict[KeyPath, int]
) -> tuple[Entry, list[Finding]]:
    """Return a resource and its faults.

    :param file: name of the file
    :param index: index among the resources
    :param raw: encoded resource
    :param lines: lines by the path of a value within the resource
    """
    parts = _decode_or({}, raw, dict[str, msgspec.Raw])
    metadata = _decode_or({}, parts.get("metadata"), dict[str, msgspec.Raw])
    type_url = _decode_or("", parts.get("type-url"), str)
    name = _decode_or("", metadata.get("name"), str)
    entry_key = f"{type_url}/{name}" if type_url and name else f"resources/{index}"

    def locate(path: KeyPath) -> Position:
        line = lines[()]
        for length in range(len(path), 0, -1):
            inner = path[:length]
            found = [("spec", *inner), ("metadata", *inner), inner]
            if known := [lines[item] for item in found if item in lines]:
                line = known[0]
                break
        return Position(file, line, "/".join([entry_key, *map(str, path)]))

    faults: list[Finding] = []
    kind = _KINDS.get(type_url, EntryKind.UNKNOWN)
    content: Content | None = None
    try:
        resource = msgspec.json.decode(raw, type=_Resource)
        if not name:
            raise ValueError("Expected a name - at `$.name`")
        content = _decode_content(kind, resource)
    except _DECODE_ERRORS as error:
        path, message, remedy = _explain(error)
        faults.append(_error(locate(path), message, remedy))
    spec = _decode_or({}, parts.get("spec"), dict[str, msgspec.Raw])
    if type_url and kind is EntryKind.UNKNOWN:
        message = f"nodes ignore entries of the type {type_url!r}"
        remedy = f"use one of {', '.join(_KINDS)}"
        faults.append(_error(locate(("type-url",)), message, remedy))
    if kind is EntryKind.ROUTE and content is not None:
        route_kind = _decode_or("", spec.get("kind"), str)
        if route_kind not in _ROUTE_KINDS:
            message = f"{route_kind!r} is unknown and counts as non_idempotent"
            remedy = f"use one of {', '.join(_ROUTE_KINDS)}"
            faults.append(_error(locate(("kind",)), message, remedy))
    positions: dict[KeyPath, Position] = {}
    for path in lines:
        match path:
            case ("spec", str(key), *rest):
                field_path = (_FIELDS.get(key, key), *rest)
                positions[field_path] = locate((key, *rest))
    for key, field in _FIELDS.items():
        positions.setdefault((field,), locate((key,)))
    # Values of an account that cannot be decoded may be a misplaced key of a client.
    is_public = kind is not EntryKind.ACCOUNT or content is not None
    shown_keys = _KNOWN_KEYS[kind] if is_public else set()
    values = {
        key: (locate((key,)), _decode_value(key, value, key in shown_keys))
        for key, value in spec.items()
    }
    return Entry(kind, name, locate(()), content, positions, values), faults


def _decode_content(kind: EntryKind, resource: _Resource) -> Content | None:
    """Decode a resource as nodes do.

    :raises ValueError: if nodes reject or leave out the resource
    """
    match kind:
        case EntryKind.ROUTE:
            return _decode_route(resource)
        case EntryKind.ACCOUNT:
            return _require_account(resource)
        case EntryKind.LIMITS:
            return _decode_limits(resource)
        case EntryKind.SERVICE:
            _decode_health_path(resource)
    return None


def _decode_value(key: str, raw: msgspec.Raw, is_shown: bool) -> Value:
    if key == API_KEYS:
        keys = _decode_or(None, raw, list[str])
        if keys is not None:
            return KeyList(frozenset(keys))
    try:
        decoded = msgspec.json.decode(raw)
        content = msgspec.json.encode(decoded, order="deterministic")
    except _DECODE_ERRORS:
        return Secret(bytes(raw))
    if is_shown and key != API_KEYS:
        return Shown(content.decode())
    return Secret(content)


def _decode_or(default: Any, raw: msgspec.Raw | None, type_: Any) -> Any:
    """Return a decoded value, or the default if it is missing or of another type."""
    if raw is None:
        return default
    try:
        return msgspec.json.decode(raw, type=type_)
    except _DECODE_ERRORS:
        return default


def _key_lines(document: bytes) -> Iterator[tuple[KeyPath, int]]:
    """Return the path and line of each key and each element of a list.

    :param document: valid JSON
    """
    line, counted_to = 1, 0
    # Current key or index in each of the open containers.
    path: list[str | int] = []
    is_key_next = False
    for token in _TOKEN.finditer(document):
        text, start = token[0], token.start()
        line += document.count(b"\n", counted_to, start)
        counted_to = start
        if text in (b"}", b"]"):
            path.pop()
            is_key_next = False
            continue
        if text == b",":
            if isinstance(path[-1], int):
                path[-1] += 1
            else:
                is_key_next = True
            continue
        if is_key_next:
            path[-1] = str(json.loads(text.decode(errors="replace"), strict=False))
            is_key_next = False
            yield tuple(path), line
        elif path and isinstance(path[-1], int):
            yield tuple(path), line
        if text in (b"{", b"["):
            is_key_next = text == b"{"
            path.append("" if is_key_next else 0)


def _line_of(document: bytes, message: str) -> int:
    """Return the line of an error in the syntax, the last one if it is not known."""
    matched = _BYTE.search(message)
    end = int(matched[1]) if matched else len(document.rstrip())
    return document.count(b"\n", 0, end) + 1


def _explain(error: Exception) -> tuple[KeyPath, str, str]:
    """Return the path, the message and the remedy of an error of the decoder."""
    matched = _REASON.fullmatch(str(error))
    message, location = matched.groups() if matched else (str(error), None)
    steps = _STEP.findall(location or "")
    path = tuple(int(index) if index else name for name, index in steps)
    if missing := _MISSING.fullmatch(message):
        return (*path, missing[1]), "missing", "add it"
    return path, message, "correct the value"


def _error(position: Position, message: str, remedy: str) -> Finding:
    return Finding(Severity.ERROR, position, message, remedy)
