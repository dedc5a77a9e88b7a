"""INI parser that keeps the line number of every key for error messages."""

import configparser
import difflib
import re
from collections.abc import Iterable
from dataclasses import dataclass, field

_SECTION = re.compile(r"^\[(?P<name>.+)\]")
_KEY = re.compile(r"^(?P<name>[^\s=\[#;][^=]*?)\s*=")
_NO_DEFAULT_SECTION = "\0"


@dataclass(frozen=True, slots=True)
class IniValue:
    """Value of a key, and the line where it starts, counted from 1."""

    text: str
    line: int


@dataclass(frozen=True, slots=True)
class IniSection:
    """Keys of one section and the line of its header."""

    line: int
    values: dict[str, IniValue] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class IniError:
    """Syntax error in an INI text."""

    line: int
    message: str


def parse_ini(text: str) -> dict[str, IniSection] | IniError:
    """Return the sections of an INI text, or the first syntax error.

    Keys are case-insensitive, section names are not. A value continues on
    indented lines. There is no interpolation and no default section.

    :param text: whole text of the file
    """
    parser = configparser.ConfigParser(
        delimiters=("=",),
        interpolation=None,
        default_section=_NO_DEFAULT_SECTION,
        empty_lines_in_values=False,
    )
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return _syntax_error(error)
    lines = _find_lines(text)
    return {
        name: IniSection(
            lines.get((name, ""), 0),
            {
                key: IniValue(value, lines.get((name, key), 0))
                for key, value in parser.items(name)
            },
        )
        for name in parser.sections()
    }


def nearest(name: str, known: Iterable[str]) -> str:
    """Return a remedy that suggests the closest known name, or lists known names."""
    names = sorted(known)
    close = difflib.get_close_matches(name, names, n=1)
    if close:
        return f"did you mean '{close[0]}'?"
    if not names:
        return "none is defined"
    shown = ", ".join(names[:12])
    return f"known are: {shown}{', ...' if len(names) > 12 else ''}"


def _find_lines(text: str) -> dict[tuple[str, str], int]:
    """Return the line of each section, under an empty key, and of each key."""
    lines: dict[tuple[str, str], int] = {}
    section = ""
    for number, line in enumerate(text.split("\n"), 1):
        if header := _SECTION.match(line):
            section = header["name"]
            lines.setdefault((section, ""), number)
        elif key := _KEY.match(line):
            lines.setdefault((section, key["name"].lower()), number)
    return lines


def _syntax_error(error: configparser.Error) -> IniError:
    """Return the line number and a one-line message of a parser error."""
    match error:
        case configparser.DuplicateSectionError():
            return IniError(error.lineno or 0, f"section [{error.section}] is repeated")
        case configparser.DuplicateOptionError():
            return IniError(error.lineno or 0, f"key '{error.option}' is repeated")
        case configparser.MissingSectionHeaderError():
            return IniError(error.lineno, "text before the first [section]")
        case configparser.ParsingError():
            line, source = error.errors[0]
            return IniError(line, f"not a 'key = value' line: {source.strip()}")
    return IniError(0, " ".join(str(error).split()))
