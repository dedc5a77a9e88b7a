"""The page for operators lists all events and metrics; explanation of a request."""

import ast
import json
import re
from pathlib import Path

import pytest

from briardock.mesh.explain import explain
from briardock.mesh.telemetry import Telemetry

ROOT = Path(__file__).resolve().parent.parent
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()


def logged_fields() -> dict[str, set[str]]:
    """Return the fields that the code logs with each event."""
    fields_by_event: dict[str, set[str]] = {}
    for path in (ROOT / "src/briardock/mesh").glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call):
                continue
            if getattr(node.func, "attr", "") != "event" or not node.args:
                continue
            names = {str(k.arg) for k in node.keywords if k.arg is not None}
            # Fields that are logged in some cases only: ``**({} if ... else {...})``.
            for optional in (k.value for k in node.keywords if k.arg is None):
                names |= {
                    str(getattr(key, "value", key))
                    for literal in ast.walk(optional)
                    if isinstance(literal, ast.Dict)
                    for key in literal.keys
                }
            for value in ast.walk(node.args[0]):
                if isinstance(value, ast.Constant):
                    fields_by_event.setdefault(str(value.value), set()).update(names)
    return fields_by_event


def test_page_lists_every_event_with_its_fields() -> None:
    rows = re.findall(r"^\| `([a-z-]+)` \| ((?:`\w+` ?)+) \|", PAGE, re.MULTILINE)
    listed = {name: set(re.findall(r"`(\w+)`", fields)) for name, fields in rows}
    listed.pop("lines-omitted")
    assert listed == logged_fields()


def test_page_lists_every_metric() -> None:
    families = re.findall(rb"^# TYPE (\w+) (\w+)", Telemetry().render(), re.MULTILINE)
    exposed = {n.decode() for n, _ in families if not n.endswith(b"_created")}
    listed = set(re.findall(r"^\| `(briardock_\w+)` \|", PAGE, re.MULTILINE))
    assert listed == exposed


def refusal_reasons() -> set[str]:
    """Return the fixed beginnings of reasons why no instance ran a request."""
    reasons = set()
    for path in (ROOT / "src/briardock/mesh").glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and node.args:
                name = getattr(node.func, "attr", getattr(node.func, "id", ""))
                reason = node.args[1 if name == "_refuse" else 0 :][:1]
                if name in ("NotRun", "_refuse") and reason:
                    text = ast.unparse(reason[0]).removeprefix("f").strip("'")
                    reasons.add(re.split(r": |:?\{", text)[0].strip())
    return {reason for reason in reasons if reason[:1].isalpha() and " " in reason}


def test_page_lists_every_reason_of_a_refusal() -> None:
    """A reason that the page lacks leaves an operator without the cause."""
    reasons = refusal_reasons()
    assert {"no configuration", "crashed its targets"} <= reasons
    part = PAGE.split("## Why no instance ran a request")[1]
    assert not [reason for reason in reasons if f"`{reason}" not in part]


def line(at: float, node: str, event: str, **fields: object) -> str:
    return json.dumps({"at": at, "node": node, "event": event, **fields})


def test_explanation_is_sorted_by_time_and_names_missing_logs() -> None:
    """The logs of several nodes may be given in any order, and one may be missing."""
    trace = explain(
        "r1",
        [
            line(12.0, "a", "failed", id="r1", status=502),
            "prefix " + line(11.0, "a", "not-repeated", id="r1", instance="b"),
            line(10.5, "a", "store-lost", use="config"),
            line(10.0, "c", "store-lost", use="config"),
            "no json",
        ],
    )
    assert [text.split(" s ")[1].split()[1] for text in trace[:3]] == [
        "store-lost",
        "not-repeated",
        "failed",
    ]
    assert trace[3:] == ["the log of b is missing"]


@pytest.mark.parametrize("lines", [[], [line(1.0, "a", "started")]])
def test_explanation_reports_that_no_line_was_found(lines: list[str]) -> None:
    (text,) = explain("r1", lines)
    assert "no line of request r1" in text
