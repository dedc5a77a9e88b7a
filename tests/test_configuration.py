"""Tests of merging, checking and lookup of the operators' configuration."""

from pathlib import Path

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from briardock.configuration import (
    Catalog,
    Fault,
    load_folder,
    merge_and_check,
)
from briardock.exceptions import ConfigurationError

ROOT = Path(__file__).resolve().parent.parent
HEAD = "[policy]\ndefault_class = c\n[class c]\nrank = 3\n[service s]\n"
SERVICE_T = "[service t]\n"
YES = "idempotent = yes"


def operation(name: str, *lines: str, match: str = "") -> str:
    head = f"[operation s.{name}]\nmatch = {match or f'GET /{name}'}\n"
    return head + "".join(f"{line}\n" for line in lines)


def build(files: dict[str, str]) -> Catalog:
    checked = merge_and_check(files)
    assert isinstance(checked, Catalog), checked
    return checked


def faults(text: str) -> list[Fault]:
    checked = merge_and_check({"00.ini": HEAD, "10.ini": text})
    assert isinstance(checked, list)
    return checked


def test_later_file_overrides_single_keys() -> None:
    files = {
        "00.ini": HEAD,
        "10.ini": operation("a", "deadline_ms = 100", "retries = 1"),
        "90.ini": "[operation s.a]\ndeadline_ms = 200\n",
    }
    catalog = build(dict(reversed(files.items())))
    found = catalog.operation("s.a")
    assert found is not None
    assert (found.deadline_ms, found.retries, found.class_rank) == (200, 1, 3)
    sources = [
        catalog.source_of("operation s.a", key)
        for key in ("deadline_ms", "retries", "class")
    ]
    assert sources == ["90.ini", "10.ini", ""]


@pytest.mark.parametrize(
    "method, path, name",
    [
        ("GET", "/jobs", "list"),
        ("GET", "/jobs?day=1", "list"),
        ("POST", "/jobs", "create"),
        ("GET", "/jobs/7", "show"),
        ("GET", "/jobs/7?x=/a/b", "show"),
        ("GET", "/jobs/next", "next"),
        ("GET", "/jobs/7/notes", "notes"),
        ("GET", "/jobs/next/notes", "next-notes"),
        ("GET", "/jobs/", None),
        ("GET", "/jobs//notes", None),
        ("GET", "/jobs/7/notes/1", None),
        ("PUT", "/jobs/7", None),
        ("GET", "", None),
        ("GET", "/", "root"),
    ],
)
def test_find_prefers_literal_segments(
    method: str, path: str, name: str | None
) -> None:
    patterns = {
        "notes": "GET /jobs/{id}/notes",
        "list": "GET /jobs",
        "create": "POST /jobs",
        "show": "GET /jobs/{id}",
        "next": "GET /jobs/next",
        "next-notes": "GET /jobs/next/{part}",
        "root": "GET /",
    }
    text = HEAD + "".join(operation(key, match=at) for key, at in patterns.items())
    found = build({"a.ini": text}).find("s", method, path)
    assert (found.name if found else None) == (f"s.{name}" if name else None)
    assert build({"a.ini": text}).find("other", method, path) is None


@pytest.mark.parametrize(
    "text, line, key, message",
    [
        ("[servce x]\n", 1, "", "did you mean 'service'?"),
        ("[operation x]\n", 1, "", "SERVICE.NAME"),
        ("[service a/b]\n", 1, "", "bad name"),
        ("[service _briardock]\n", 1, "", "bad name"),
        ("[policy x]\n", 1, "", "write [policy]"),
        ("[service x]\nslots = 1\n", 2, "slots", "did you mean 'slots_hint'?"),
        ("[service x]\nslots_hint = 0\n", 2, "slots_hint", ">= 1"),
        ("[class x]\nrank = 8\n", 2, "rank", "<= 7"),
        ("[service x]\ncold_start_s = nan\n", 2, "cold_start_s", "got 'nan'"),
        ("[class x]\n", 1, "rank", "missing"),
        ("[policy]\nweigh = speed\n", 2, "weigh", "got 'speed'"),
        ("[policy]\ndefault_class = d\n", 2, "default_class", "known are: c"),
        ("[operation s.a]\nretries = 1\n", 1, "match", "missing"),
        (operation("a", match="GET jobs"), 2, "match", "expected a path"),
        (operation("a", match="GET /a?x=1"), 2, "match", "without query"),
        (operation("a", match="FETCH /a"), 2, "match", "expected one of"),
        (operation("a", "idempotent = maybe"), 3, "idempotent", "yes or no"),
        (operation("a", "deadline_ms = 0"), 3, "deadline_ms", ">= 1"),
        (operation("a", "class = d"), 3, "class", "unknown class 'd'"),
        (operation("a", "calls = s.b"), 3, "calls", "did you mean 's.a'?"),
        (operation("a", "calls = s.a"), 3, "calls", "cycle: s.a -> s.a"),
        ("[operation t.a]\nmatch = GET /\n", 1, "", "no section [service t]"),
        (
            operation("a", match="GET /{x}") + operation("b", match="GET /{y}"),
            4,
            "match",
            "already matched by s.a",
        ),
        ("text\n", 1, "", "before the first [section]"),
        ("[class x\n", 1, "", "before the first [section]"),
        ("[class x]\nrank = 1\nrank = 2\n", 3, "", "repeated"),
    ],
)
def test_fault_has_location_and_remedy(
    text: str, line: int, key: str, message: str
) -> None:
    found = faults(text)
    shown = [f"{fault.message}; {fault.remedy}" for fault in found]
    places = [(fault.file, fault.line, fault.key) for fault in found]
    assert ("10.ini", line, key) in places
    assert any(message in item for item in shown), shown


def test_all_faults_are_reported_at_once() -> None:
    text = operation("a", "class = d", "retries = x", "bogus = 1")
    assert {fault.key for fault in faults(text)} == {"class", "retries", "bogus"}


@pytest.mark.parametrize(
    "flags, reported",
    [
        # Operation n calls n + 1; y marks an idempotent one. Guards against a retry of
        # an idempotent caller that runs a payment twice.
        ("yn", {0}),
        ("yyn", {0, 1}),
        ("yny", {0}),
        ("nny", set()),
        ("ynyn", {0, 2}),
        ("yyy", set()),
    ],
)
def test_idempotent_operation_must_not_reach_one_that_is_not(
    flags: str, reported: set[int]
) -> None:
    text = ""
    for index, flag in enumerate(flags):
        calls = f"calls = s.o{index + 1}" if index + 1 < len(flags) else ""
        value = "yes" if flag == "y" else "no"
        text += operation(f"o{index}", f"idempotent = {value}", calls)
    checked = merge_and_check({"00.ini": HEAD, "10.ini": text})
    found = checked if isinstance(checked, list) else []
    assert {fault.section for fault in found} == {
        f"operation s.o{index}" for index in reported
    }
    assert all(fault.remedy == "mark it idempotent = no" for fault in found)


@pytest.mark.parametrize("length, valid", [(13, True), (14, False), (40, False)])
def test_chain_is_at_most_13_operations(length: int, valid: bool) -> None:
    text = "".join(
        operation(f"o{n}", f"calls = s.o{n + 1}" if n + 1 < length else "")
        for n in range(length)
    )
    checked = merge_and_check({"00.ini": HEAD, "10.ini": text})
    assert isinstance(checked, Catalog) == valid


def test_long_cycle_is_reported_once() -> None:
    text = "".join(operation(f"o{n}", f"calls = s.o{(n + 1) % 50}") for n in range(50))
    found = [fault for fault in faults(text) if "cycle" in fault.message]
    assert len(found) == 1


def test_longer_deadline_of_a_callee_is_a_warning() -> None:
    text = operation("a", "deadline_ms = 50", "calls = s.b")
    catalog = build({"a.ini": HEAD + text + operation("b", "deadline_ms = 60")})
    (warning,) = catalog.warnings
    assert (warning.line, warning.key) == (8, "deadline_ms")


@pytest.mark.parametrize("name", ["../a.ini", "a.txt", "", ".a.ini", "a/b.ini"])
def test_bad_file_name_is_a_fault(name: str) -> None:
    checked = merge_and_check({name: ""})
    assert isinstance(checked, list) and checked[0].message == "bad file name"


@pytest.mark.parametrize(
    "files",
    [
        {"a.ini": "#" * 300_000},
        {f"a{n}.ini": "#" * 200_000 for n in range(25)},
        {f"a{n}.ini": "" for n in range(2_001)},
    ],
)
def test_oversized_configuration_is_a_fault(files: dict[str, str]) -> None:
    assert isinstance(merge_and_check(files), list)


@pytest.mark.parametrize(
    "name, weigh", [("guatemala", "recovery"), ("kenya", "goodput")]
)
def test_examples_pass(name: str, weigh: str) -> None:
    files = load_folder(ROOT / "examples" / name)
    catalog = build(files)
    assert catalog.policy.weigh == weigh
    assert len(files) >= 3 and not catalog.warnings

    def depth(operation_name: str) -> int:
        found = catalog.operations[operation_name]
        return 1 + max((depth(callee) for callee in found.calls), default=0)

    assert max(map(depth, catalog.operations)) >= 4


@pytest.mark.parametrize("content", [None, {}, {"a.ini": b"\xff"}, {"b.txt": b""}])
def test_unusable_folder_is_an_error(
    tmp_path: Path, content: dict[str, bytes] | None
) -> None:
    folder = tmp_path / "folder"
    if content is not None:
        folder.mkdir()
        for name, data in content.items():
            (folder / name).write_bytes(data)
    with pytest.raises(ConfigurationError, match="folder"):
        load_folder(folder)


_LINES = st.sampled_from(
    [
        HEAD,
        "[class c]\nrank = 1\n",
        "[service s]\nslots_hint = 5\n",
        "[service t]\n",
        operation("a"),
        operation("a", "calls = s.b"),
        operation("a", "deadline_ms = 9"),
        operation("b", "idempotent = yes"),
        operation("b", "calls = s.a", match="GET /{x}"),
        operation("d", "idempotent = yes", "calls = s.b", match="GET /{y}"),
        "[operation s.a]\nretries = 4\n",
        "[operation t.a]\nmatch = GET /a\nclass = c\n",
        "[operation s.b]\nretries = 99\n",
        "[bogus]\n",
        "rubbish\n",
    ]
)
_FILES = st.dictionaries(
    st.sampled_from(["10.ini", "20.ini", "30.ini"]),
    st.lists(_LINES, max_size=3, unique=True).map("".join),
)


def comparable(checked: Catalog | list[Fault]) -> object:
    """Return the parts of a result that must be equal with and without ``previous``."""
    if isinstance(checked, list):
        return checked
    paths = ["/a", "/b", "/zz"]
    found = [checked.find(service, "GET", at) for service in "st" for at in paths]
    return checked.operations, checked.services, checked.classes, found


@pytest.mark.parametrize(
    "after",
    [
        SERVICE_T + operation("b", YES, "calls = s.a"),
        SERVICE_T + operation("b", "idempotent = no"),
        SERVICE_T + operation("b", YES, match="GET /a"),
        SERVICE_T,
        operation("b", YES),
    ],
)
def test_change_of_one_file_is_checked_against_the_others(after: str) -> None:
    # Each change is invalid only in combination with a file that did not change.
    callers = operation("a", YES, "calls = s.b") + "[operation t.x]\nmatch = GET /\n"
    before = SERVICE_T + operation("b", YES)
    files = {"00.ini": HEAD, "10.ini": callers, "20.ini": before}
    previous = build(files)
    changed = {**files, "20.ini": after}
    checked = merge_and_check(changed, previous)
    assert isinstance(checked, list) and checked == merge_and_check(changed)


@settings(max_examples=300, deadline=None)
@given(steps=st.lists(_FILES, min_size=2, max_size=6))
def test_result_does_not_depend_on_the_previous_catalog(
    steps: list[dict[str, str]],
) -> None:
    # Guards against nodes that accept or reject the same change differently, depending
    # on the configurations that they had before.
    previous = build({"00.ini": HEAD})
    for step in steps:
        files = {"00.ini": HEAD, **step}
        checked = merge_and_check(files, previous)
        assert comparable(checked) == comparable(merge_and_check(files))
        if isinstance(checked, Catalog):
            previous = checked


@settings(max_examples=400, deadline=None)
@given(text=st.text("[]=#; \t\n\r\x0c%ab.{}/\u2028\u00e9", max_size=60))
def test_any_text_gives_a_catalog_or_faults(text: str) -> None:
    # Guards against a published file that crashes every node.
    for files in ({"a.ini": text}, {"a.ini": HEAD + "[operation s.a]\n" + text}):
        checked = merge_and_check(files)
        assert isinstance(checked, Catalog) or all(map(str, checked))
