"""Settings of one node process, read from an INI file and checked.

``_settings_table`` lists every key; ``docs/settings.md`` is the output of
:func:`settings_page`.
"""

import ipaddress
import typing
from collections.abc import Mapping
from dataclasses import MISSING, Field, fields
from pathlib import Path
from typing import Any, Literal

import msgspec
from msgspec import Meta

from briardock._ini import IniError, IniSection, IniValue, nearest, parse_ini
from briardock._settings_table import (
    MAX_SEEDS,
    Address,
    AdminSection,
    AdmissionSection,
    DrainSection,
    GossipSection,
    LoggingSection,
    LogSection,
    NodeSection,
    NodeSettings,
    QuarantineSection,
    RoutingSection,
    StatsdSection,
)
from briardock.exceptions import SettingsError

__all__ = [
    "Address",
    "AdminSection",
    "AdmissionSection",
    "DrainSection",
    "GossipSection",
    "LogSection",
    "LoggingSection",
    "NodeSection",
    "NodeSettings",
    "QuarantineSection",
    "RoutingSection",
    "StatsdSection",
    "load_settings",
    "settings_page",
]

MAX_FILE_BYTES = 256 * 1024
OVERRIDE_FILE = "override"

SECTIONS: dict[str, type] = typing.get_type_hints(NodeSettings)
_NUMERIC_HOSTS = {
    ("node", "host"),
    ("node", "advertise_host"),
    ("node", "source_host"),
    ("admin", "host"),
    ("log", "host"),
    ("statsd", "host"),
}


def load_settings(
    path: str | Path, overrides: Mapping[str, str] | None = None
) -> NodeSettings:
    """Return the checked settings of a file.

    :param path: INI file
    :param overrides: values by ``section.key`` that replace those of the file
    :raises SettingsError: naming file, line, key and remedy
    """
    name = str(path)
    parsed = parse_ini(_read_text(Path(path)))
    if isinstance(parsed, IniError):
        raise SettingsError(f"{name}:{parsed.line}: {parsed.message}", "correct it")
    _apply_overrides(parsed, overrides or {})
    for section, content in parsed.items():
        if section not in SECTIONS:
            raise SettingsError(
                f"{name}:{content.line}: unknown section [{section}]",
                nearest(section, SECTIONS),
            )
    sections: dict[str, Any] = {
        section: _load_section(name, section, kind, parsed.get(section))
        for section, kind in SECTIONS.items()
    }
    settings = NodeSettings(**sections)
    _check_together(name, parsed, settings)
    return settings


def settings_page() -> str:
    """Return docs/settings.md: every key with its default, range and meaning."""
    lines = [
        "# Settings",
        "",
        "Settings of one node process, an INI file given to `briardock-node`.",
        "The suffix of a key is its unit. This page is the output of",
        "`briardock settings`.",
    ]
    for section, kind in SECTIONS.items():
        lines += ["", f"## [{section}]", "", f"{kind.__doc__}", ""]
        lines += ["| key | default | range | description |", "|---|---|---|---|"]
        lines += [_page_row(kind, item) for item in fields(kind)]
    return "\n".join(lines) + "\n"


def _page_row(kind: type, item: Field) -> str:
    """Return the table row of one key."""
    annotation = typing.get_type_hints(kind, include_extras=True)[item.name]
    inner, meta = typing.get_args(annotation)
    if item.default is MISSING:
        default = "required"
    elif item.default in (None, "", ()):
        default = "empty"
    else:
        default = f"`{item.default}`"
    return f"| `{item.name}` | {default} | {_range(inner, meta)} | {meta.description} |"


def _range(inner: object, meta: Meta) -> str:
    """Return the permitted values of a key in words."""
    if meta.ge is not None:
        return f"{meta.ge} to {meta.le}"
    if typing.get_origin(inner) is Literal:
        return ", ".join(str(value) for value in typing.get_args(inner))
    if meta.max_length is not None:
        return f"at most {meta.max_length}"
    if meta.pattern is not None:
        return "letters, digits, `_`, `-`; at most 64"
    return "numeric address" if "address" in (meta.description or "") else "any"


def _read_text(path: Path) -> str:
    """Return the text of a settings file."""
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            raise SettingsError(
                f"{path}: larger than {MAX_FILE_BYTES} bytes", "trim it"
            )
        return data.decode("utf-8-sig")
    except OSError as error:
        raise SettingsError(
            f"{path}: cannot be read: {error.strerror or error}",
            "give the path of a readable settings file",
        ) from error
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: not UTF-8 text", "save it as UTF-8") from error


def _apply_overrides(
    parsed: dict[str, IniSection], overrides: Mapping[str, str]
) -> None:
    """Put overriding values in place of those of the file."""
    for full_key, text in overrides.items():
        section, _, key = full_key.partition(".")
        if section not in SECTIONS or not key:
            raise SettingsError(
                f"{OVERRIDE_FILE}: unknown key '{full_key}'",
                "write section.key; " + nearest(section, SECTIONS),
            )
        content = parsed.setdefault(section, IniSection(0))
        content.values[key.lower()] = IniValue(text, 0)


def _load_section(
    name: str, section: str, kind: type, content: IniSection | None
) -> object:
    """Return one section with every key converted and checked."""
    given = content.values if content else {}
    hints = typing.get_type_hints(kind, include_extras=True)
    for key, value in given.items():
        if key not in hints:
            raise _error(
                name, section, key, value.line, "unknown key", nearest(key, hints)
            )
    values = {}
    for item in fields(kind):
        found = given.get(item.name)
        if found is not None and not _is_unset(found.text, item):
            values[item.name] = _convert(
                name, section, item.name, found, hints[item.name]
            )
        elif item.default is MISSING:
            line = content.line if content else 0
            raise _error(name, section, item.name, line, "missing", "add it")
    return kind(**values)


def _is_unset(text: str, item: Field) -> bool:
    """Return whether an empty value stands for the empty default."""
    return not text and item.default in (None, "", ())


def _convert(
    name: str, section: str, key: str, value: IniValue, annotation: object
) -> object:
    """Return the value of one key in its type and range."""
    try:
        if key == "seeds":
            return _parse_seeds(value.text)
        if (section, key) in _NUMERIC_HOSTS:
            return str(ipaddress.ip_address(value.text))
        return msgspec.convert(value.text, annotation, strict=False)
    except msgspec.ValidationError as error:
        message = str(error)[0].lower() + str(error)[1:]
        raise _error(
            name, section, key, value.line, message, f"got '{value.text}'"
        ) from error
    except ValueError as error:
        raise _error(
            name, section, key, value.line, str(error), "use a numeric IP address"
        ) from error


def _parse_seeds(text: str) -> tuple[Address, ...]:
    """Return the addresses of a list separated by commas or white space.

    :raises ValueError: if one is malformed or there are too many
    """
    parts = text.replace(",", " ").split()
    if len(parts) > MAX_SEEDS:
        raise ValueError(f"more than {MAX_SEEDS} addresses")
    return tuple(_parse_address(part) for part in parts)


def _parse_address(text: str) -> Address:
    """Return the address of a ``host:port`` text.

    :raises ValueError: if it is not a numeric address and port
    """
    host, _, port = text.rpartition(":")
    number = int(port) if port.isascii() and port.isdigit() else 0
    if not 1 <= number <= 65535:
        raise ValueError(f"'{text}' is not host:port")
    return Address(str(ipaddress.ip_address(host.strip("[]"))), number)


def _check_together(
    name: str, parsed: dict[str, IniSection], settings: NodeSettings
) -> None:
    """Check rules over several keys.

    :raises SettingsError: naming the key to change
    """

    def fail(section: str, key: str, message: str, remedy: str) -> None:
        value = parsed.get(section, IniSection(0)).values.get(key)
        raise _error(name, section, key, value.line if value else 0, message, remedy)

    admin, admission = settings.admin, settings.admission
    if not admin.token and not ipaddress.ip_address(admin.host).is_loopback:
        fail("admin", "token", "missing for a host that is not loopback", "add it")
    if admission.min_limit > admission.max_limit:
        fail("admission", "min_limit", "above max_limit", "lower it")
    if not admission.min_limit <= admission.initial_limit <= admission.max_limit:
        fail(
            "admission",
            "initial_limit",
            "not between min_limit and max_limit",
            "change it",
        )
    if settings.gossip.ack_timeout_ms >= settings.gossip.period_ms:
        fail("gossip", "ack_timeout_ms", "not below period_ms", "lower it")


def _error(
    name: str, section: str, key: str, line: int, message: str, remedy: str
) -> SettingsError:
    """Return the error of one key."""
    place = f"{name}:{line}" if line else name
    return SettingsError(f"{place}: [{section}] {key}: {message}", remedy)
