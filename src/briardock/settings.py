"""Load and validate the settings of a node process from an INI file.

``_settings_table`` defines every key; ``docs/settings.md`` is the output of
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
OVERRIDE_SOURCE_NAME = "override"

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
    file_name = str(path)
    parsed = parse_ini(_read_text(Path(path)))
    if isinstance(parsed, IniError):
        raise SettingsError(
            f"{file_name}:{parsed.line}: {parsed.message}", "correct it"
        )
    _apply_overrides(parsed, overrides or {})
    for section, ini_section in parsed.items():
        if section not in SECTIONS:
            raise SettingsError(
                f"{file_name}:{ini_section.line}: unknown section [{section}]",
                nearest(section, SECTIONS),
            )
    sections: dict[str, Any] = {
        section: _load_section(file_name, section, section_type, parsed.get(section))
        for section, section_type in SECTIONS.items()
    }
    settings = NodeSettings(**sections)
    _check_key_combinations(file_name, parsed, settings)
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
    for section, section_type in SECTIONS.items():
        lines += ["", f"## [{section}]", "", f"{section_type.__doc__}", ""]
        lines += ["| key | default | range | description |", "|---|---|---|---|"]
        lines += [_page_row(section_type, field) for field in fields(section_type)]
    return "\n".join(lines) + "\n"


def _page_row(section_type: type, field: Field) -> str:
    """Return the table row of one key."""
    annotation = typing.get_type_hints(section_type, include_extras=True)[field.name]
    inner, meta = typing.get_args(annotation)
    if field.default is MISSING:
        default = "required"
    elif field.default in (None, "", ()):
        default = "empty"
    else:
        default = f"`{field.default}`"
    return (
        f"| `{field.name}` | {default} | {_range(inner, meta)} | {meta.description} |"
    )


def _range(inner: object, meta: Meta) -> str:
    """Return a description of the permitted values of a key."""
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
    """Replace values of the file by the overriding values."""
    for full_key, text in overrides.items():
        section, _, key = full_key.partition(".")
        if section not in SECTIONS or not key:
            raise SettingsError(
                f"{OVERRIDE_SOURCE_NAME}: unknown key '{full_key}'",
                "write section.key; " + nearest(section, SECTIONS),
            )
        ini_section = parsed.setdefault(section, IniSection(0))
        ini_section.values[key.lower()] = IniValue(text, 0)


def _load_section(
    file_name: str, section: str, section_type: type, ini_section: IniSection | None
) -> object:
    """Return one section with every key converted and validated."""
    given = ini_section.values if ini_section else {}
    annotations = typing.get_type_hints(section_type, include_extras=True)
    for key, value in given.items():
        if key not in annotations:
            raise _error(
                file_name,
                section,
                key,
                value.line,
                "unknown key",
                nearest(key, annotations),
            )
    values = {}
    for field in fields(section_type):
        given_value = given.get(field.name)
        if given_value is not None and not _selects_empty_default(
            given_value.text, field
        ):
            values[field.name] = _convert(
                file_name, section, field.name, given_value, annotations[field.name]
            )
        elif field.default is MISSING:
            line = ini_section.line if ini_section else 0
            raise _error(file_name, section, field.name, line, "missing", "add it")
    return section_type(**values)


def _selects_empty_default(text: str, field: Field) -> bool:
    """Return whether an empty value selects a default that is itself empty."""
    return not text and field.default in (None, "", ())


def _convert(
    file_name: str, section: str, key: str, value: IniValue, annotation: object
) -> object:
    """Convert the text of one key to its type and check its range."""
    try:
        if key == "seeds":
            return _parse_seeds(value.text)
        if (section, key) in _NUMERIC_HOSTS:
            return str(ipaddress.ip_address(value.text))
        return msgspec.convert(value.text, annotation, strict=False)
    except msgspec.ValidationError as error:
        message = str(error)[0].lower() + str(error)[1:]
        raise _error(
            file_name, section, key, value.line, message, f"got '{value.text}'"
        ) from error
    except ValueError as error:
        raise _error(
            file_name, section, key, value.line, str(error), "use a numeric IP address"
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
    port_number = int(port) if port.isascii() and port.isdigit() else 0
    if not 1 <= port_number <= 65535:
        raise ValueError(f"'{text}' is not host:port")
    return Address(str(ipaddress.ip_address(host.strip("[]"))), port_number)


def _check_key_combinations(
    file_name: str, parsed: dict[str, IniSection], settings: NodeSettings
) -> None:
    """Check rules that involve several keys.

    :raises SettingsError: naming the key to change
    """

    def fail(section: str, key: str, message: str, remedy: str) -> None:
        value = parsed.get(section, IniSection(0)).values.get(key)
        raise _error(
            file_name, section, key, value.line if value else 0, message, remedy
        )

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
    file_name: str, section: str, key: str, line: int, message: str, remedy: str
) -> SettingsError:
    """Return the error for one key, with file and line."""
    location = f"{file_name}:{line}" if line else file_name
    return SettingsError(f"{location}: [{section}] {key}: {message}", remedy)
