"""Tests of the differences, exit codes and output of ``briardock check-platform``."""

import json
from pathlib import Path

import pytest

from mesh_fakes import route, tenant
from platform_documents import (
    ACCOUNT,
    CLEAN,
    ROUTE,
    Resource,
    check,
    encode,
    run,
    service,
    without,
)

# Each row is named after the mistake of an operator that it stands for.
DIFFERENCES: dict[
    str, tuple[list[Resource], list[Resource], list[tuple[str | None, ...]]]
] = {
    "entries in another order": (CLEAN, CLEAN[::-1], []),
    "entry added unintentionally": (
        CLEAN,
        [*CLEAN, route("r-2", "/b/")],
        [("added", "routes/r-2", None, None)],
    ),
    "entry lost while editing": (
        [*CLEAN, tenant("t-2", "sk-2")],
        CLEAN,
        [("removed", "tenants/t-2", None, None)],
    ),
    "one digit too much": (
        CLEAN,
        [*CLEAN[:2], route("r-1", "/a/", timeout="20s"), ACCOUNT],
        [("changed", "routes/r-1/timeout", '"2s"', '"20s"')],
    ),
    "key lost, so that its default is in force": (
        CLEAN,
        [*CLEAN[:2], without(ROUTE, "priority"), ACCOUNT],
        [("changed", "routes/r-1/priority", "1", "absent")],
    ),
    "key of a client exchanged unintentionally": (
        [tenant("t-1", "sk-1", "sk-2")],
        [tenant("t-1", "sk-3", "sk-2")],
        [("changed", "tenants/t-1/api-keys", "2 keys", "2 keys (1 added, 1 removed)")],
    ),
    "keys of a client in another order": (
        [tenant("t-1", "sk-1", "sk-2")],
        [tenant("t-1", "sk-2", "sk-1")],
        [],
    ),
    "key of a client under a misspelt key": (
        [tenant("t-1", "sk-1", **{"api-key": "sk-1"})],
        [tenant("t-1", "sk-1", **{"api-key": ["sk-2"]}, priority=1)],
        [
            ("changed", "tenants/t-1/api-key", "not shown", "not shown"),
            ("changed", "tenants/t-1/priority", "absent", "1"),
        ],
    ),
    "key of a client as another value": (
        [tenant("t-1", priority="sk-1", **{"api-keys": "sk-1"})],
        [tenant("t-1", priority="sk-2", **{"api-keys": ["sk-2", 1]})],
        [
            ("changed", "tenants/t-1/api-keys", "not shown", "not shown"),
            ("changed", "tenants/t-1/priority", "not shown", "not shown"),
        ],
    ),
    "key of a client in an entry of a misspelt type": (
        [tenant("t-1", "sk-1") | {"type-url": "tenant"}],
        [tenant("t-1", x="sk-2") | {"type-url": "tenant"}],
        [
            ("changed", "tenant/t-1/api-keys", "1 keys", "0 keys (0 added, 1 removed)"),
            ("changed", "tenant/t-1/x", "absent", "not shown"),
        ],
    ),
}


@pytest.mark.parametrize(
    ("old", "new", "expected"), DIFFERENCES.values(), ids=DIFFERENCES
)
def test_differences(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    old: list[Resource],
    new: list[Resource],
    expected: list[tuple[str | None, ...]],
) -> None:
    """A change that the operator did not intend has to show before it is sent."""
    old_text, new_text = encode(*old), encode(*new, version=8)
    _, content = check(tmp_path, capsys, new_text, old_text)
    assert [
        (item["change"], item["key"], item["old"], item["new"])
        for item in content["differences"]
    ] == expected
    for item in content["differences"]:
        is_removed = item["change"] == "removed" or item["new"] == "absent"
        assert Path(item["file"]).name == ("old.json" if is_removed else "new.json")


@pytest.mark.parametrize(
    ("version", "in_force", "exit_code", "keys"),
    [
        (8, encode(*CLEAN), 0, []),
        # Nodes keep what they have, and no one notices.
        (7, encode(*CLEAN), 2, ["version"]),
        (6, encode(*CLEAN), 2, ["version"]),
        # Without a readable document in force nothing can be compared.
        (8, "{", 2, [""]),
        (8, "{}", 2, ["version"]),
        # Faults of the document in force are no findings about the new one.
        (8, encode(*CLEAN, route("r-1", "/b/", timeout="soon")), 0, []),
    ],
)
def test_version_and_document_in_force(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    version: int,
    in_force: str,
    exit_code: int,
    keys: list[str],
) -> None:
    text = encode(*CLEAN, version=version)
    actual_code, content = check(tmp_path, capsys, text, in_force)
    assert (actual_code, [item["key"] for item in content["findings"]]) == (
        exit_code,
        keys,
    )


def test_unreadable_document_is_not_compared(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """All entries would be listed as removed."""
    exit_code, content = check(tmp_path, capsys, "{", encode(*CLEAN))
    assert (exit_code, len(content["findings"]), content["differences"]) == (2, 1, [])


@pytest.mark.parametrize("name", ["none.json", "."])
def test_file_that_cannot_be_read_is_an_error(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], name: str
) -> None:
    assert run(tmp_path / name) == 2
    assert "cannot read the file" in capsys.readouterr().out
    assert run(tmp_path / name, "--json") == 2
    (finding,) = json.loads(capsys.readouterr().out)["findings"]
    assert finding["file"] == str(tmp_path / name)


def test_text_of_the_document_cannot_control_the_terminal(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "new.json").write_text(encode(*CLEAN, service("a\n\x1b[2Jb")))
    assert run(tmp_path / "new.json") == 1
    lines = capsys.readouterr().out.splitlines()
    assert len(lines) == 2 and r"services/a\n\x1b[2Jb" in lines[0]
