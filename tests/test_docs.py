"""Compare the pages for operators with the code.

An event number, metric, reason, key or command fails here if it is added to the code
and not to its page, or renamed in only one of the two.
"""

import ast
import re
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import fields
from pathlib import Path
from typing import Any, get_args

import pytest

from briardock import exceptions
from briardock._catalog import Catalog, Policy
from briardock._sections import KEYS, REQUIRED
from briardock.cli import COMMANDS
from briardock.configuration import _POLICY_PRESETS, merge_and_check
from briardock.events import Event
from briardock.gossip import STATE_EVENTS
from briardock.outcomes import REASONS, Reason

ROOT = Path(__file__).resolve().parent.parent
SOURCES = sorted((ROOT / "src" / "briardock").glob("*.py"))
CHECKED_PAGES = (
    "README.md",
    "CHANGES.md",
    "docs/glossary.md",
    "docs/operating.md",
    "docs/events.md",
    "docs/metrics.md",
    "docs/configuration.md",
)


def page(name: str) -> str:
    return (ROOT / name).read_text()


def section(text: str, title: str) -> str:
    """Return the part of a page from a heading to the next of its level."""
    level, _, _ = title.partition(" ")
    part = text.split(f"\n{title}\n", 1)[1]
    return re.split(rf"^{level} ", part, flags=re.MULTILINE)[0]


def anchors(text: str) -> set[str]:
    """Return the link anchors of the headings of a page."""
    titles = re.findall(r"^#+ (.+)$", text, re.MULTILINE)
    return {re.sub(r"[^\w -]", "", t).lower().replace(" ", "-") for t in titles}


def rows(text: str) -> list[list[str]]:
    """Return the cells of table rows whose first cell is code or a number."""
    found = re.findall(r"^\| (`[^|]+`|\d{3}) \|(.*)\|$", text, re.MULTILINE)
    return [
        [first.strip("`"), *(cell.strip() for cell in rest.split("|"))]
        for first, rest in found
    ]


def calls(name: str) -> Iterator[ast.Call]:
    """Return the calls of a function or method in the package."""
    for path in SOURCES:
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and node.args:
                function = node.func
                found = getattr(function, "attr", getattr(function, "id", ""))
                if found == name:
                    yield node


def emitted_fields() -> dict[Event, set[str]]:
    """Return the fields that the call sites give to each event."""
    found: dict[Event, set[str]] = defaultdict(set)
    for call in calls("emit"):
        kind = call.args[0]
        names = {keyword.arg for keyword in call.keywords if keyword.arg}
        if isinstance(kind, ast.Attribute):
            found[Event[kind.attr]] |= names
        elif isinstance(kind, ast.Name):
            for event in STATE_EVENTS.values():
                found[event] |= names
    return found


def metric_names(method: str) -> set[str]:
    """Return the metric names in the package, with ``*`` for a formatted part."""
    names: set[str] = set()
    for call in calls(method):
        owner = ast.unparse(call.func).rpartition(".")[0]
        if not owner.endswith("metrics"):
            continue
        name = call.args[0]
        if isinstance(name, ast.JoinedStr):
            parts = [
                str(part.value) if isinstance(part, ast.Constant) else "*"
                for part in name.values
            ]
            names.add("".join(parts))
        else:
            assert isinstance(name, ast.Constant), ast.unparse(call)
            names.add(str(name.value))
    return names


def test_event_catalogue_has_every_event_with_number_severity_and_text() -> None:
    listed = {int(row[0]): (row[1], row[2]) for row in rows(page("docs/events.md"))}
    expected = {e.value.number: (e.value.severity, e.value.text) for e in Event}
    assert listed == expected


def test_event_numbers_are_unique() -> None:
    numbers = [event.value.number for event in Event]
    assert len(numbers) == len(set(numbers))


def test_event_catalogue_lists_the_fields_that_are_logged() -> None:
    listed = {
        int(row[0]): set(re.findall(r"`(\w+)`", row[3]))
        for row in rows(page("docs/events.md"))
    }
    emitted = emitted_fields()
    expected = {event.value.number: emitted[event] for event in Event}
    assert listed == expected


def test_event_catalogue_gives_a_remedy_for_every_event() -> None:
    for row in rows(page("docs/events.md")):
        assert len(row) == 5 and row[4], row


@pytest.mark.parametrize(
    ("heading", "method"), [("## Counters", "count"), ("## Gauges", "gauge")]
)
def test_metrics_page_lists_every_metric(heading: str, method: str) -> None:
    listed = rows(section(page("docs/metrics.md"), heading))
    names = {re.sub(r"<\w+>", "*", row[0]) for row in listed}
    assert names == metric_names(method)
    assert all(len(row) == 3 and row[1] and row[2] for row in listed)


def test_operating_page_lists_every_reason_with_status_and_remedy() -> None:
    listed = {
        row[0]: (int(row[2]), row[4])
        for row in rows(section(page("docs/operating.md"), "## Reasons"))
    }
    expected = {r.value: (REASONS[r].status, REASONS[r].remedy) for r in Reason}
    assert listed == expected


def range_text(key: str, annotation: Any) -> str:
    """Return the range of a configuration key in the wording of the page."""
    if annotation is bool:
        return "yes, no"
    if key == "match":
        return "METHOD /path"
    if annotation is str:
        return "name of a class"
    if annotation == tuple[str, ...]:
        return "list of names"
    values = get_args(annotation)
    if all(isinstance(value, str) for value in values):
        return ", ".join(values)
    limits = values[1]
    if limits.max_length is not None:
        return f"at most {limits.max_length} characters"
    return f"{limits.ge} to {limits.le}"


def default_text(kind: str, key: str) -> str:
    """Return the default of a configuration key in the wording of the page."""
    if key in REQUIRED.get(kind, ()):
        return "required"
    if kind == "policy" and key in _POLICY_PRESETS["goodput"]:
        goodput, recovery = (
            _POLICY_PRESETS["goodput"][key],
            _POLICY_PRESETS["recovery"][key],
        )
        return f"{goodput} for goodput, {recovery} for recovery"
    if kind == "policy":
        defaults = {item.name: item.default for item in fields(Policy)}
        return str(defaults[key]) or "none"
    if kind == "operation" and f"default_{key}" in KEYS["policy"]:
        return f"`default_{key}`"
    return "no" if KEYS[kind][key] is bool else "none"


@pytest.mark.parametrize("kind", list(KEYS))
def test_configuration_page_lists_every_key(kind: str) -> None:
    name = {"policy": "", "operation": " SERVICE.NAME"}.get(kind, " NAME")
    part = section(page("docs/configuration.md"), f"## [{kind}{name}]")
    listed = {row[0]: (row[2], row[3]) for row in rows(part)}
    expected = {
        key: (default_text(kind, key), range_text(key, annotation))
        for key, annotation in KEYS[kind].items()
    }
    assert listed == expected


def test_policy_defaults_of_the_page_are_those_in_force() -> None:
    # Guards against dataclass defaults that differ from those of an empty folder.
    catalog = merge_and_check({})
    assert isinstance(catalog, Catalog)
    for item in fields(Policy):
        expected = _POLICY_PRESETS["goodput"].get(item.name, item.default)
        assert getattr(catalog.policy, item.name) == expected


def test_readme_lists_the_exit_code_of_each_kind_of_error() -> None:
    codes = {
        value.exit_code
        for value in vars(exceptions).values()
        if isinstance(value, type) and issubclass(value, exceptions.BriardockError)
    }
    part = section(page("README.md"), "## Exit codes")
    listed = {int(code) for code in re.findall(r"^\| (\d+) \|", part, re.MULTILINE)}
    assert codes <= listed


@pytest.mark.parametrize("name", CHECKED_PAGES)
def test_links_and_commands_of_a_page_exist(name: str) -> None:
    text = page(name)
    for link, anchor in re.findall(r"\]\(([^)#:]*)(?:#([^)]*))?\)", text):
        target = (ROOT / name).parent / link if link else ROOT / name
        assert target.exists(), link
        assert not anchor or anchor in anchors(target.read_text()), anchor
    for command in re.findall(r"(?:`|^ {4})briardock ([a-z]+)", text, re.MULTILINE):
        assert command in COMMANDS, command
