"""Documents of a platform operator and runs of their check."""

import json
from pathlib import Path
from typing import Any

import pytest

from briardock import cli
from mesh_fakes import route, tenant

# Begins each key of a client, none of which may be printed.
KEY_MARK = "sk-"
Resource = dict[str, Any]


def service(name: str, **spec: Any) -> Resource:
    return {"type-url": "services", "metadata": {"name": name}, "spec": spec}


def limits(name: str = "limits", **spec: Any) -> Resource:
    base = {
        "max-header-bytes": 16384,
        "max-body-bytes": 67108864,
        "header-timeout": "3s",
        "idle-timeout": "15s",
    }
    return {"type-url": "limits", "metadata": {"name": name}, "spec": base | spec}


def weighted(*parts: tuple[str, float]) -> dict[str, Any]:
    """Return the spec of a route with weighted services."""
    listed = [{"service": name, "weight": weight} for name, weight in parts]
    return {"weighted-services": listed}


def without(resource: Resource, key: str) -> Resource:
    """Return a resource without one key of its spec."""
    spec = {name: value for name, value in resource["spec"].items() if name != key}
    return resource | {"spec": spec}


JOBS = service("jobs", **{"health-path": "/health", "max-connections": 500})
ROUTE = route("r-1", "/a/")
ACCOUNT = tenant("t-1", "sk-1", priority=1, burst=5, **{"rate-per-s": 2})
CLEAN = [limits(), JOBS, ROUTE, ACCOUNT]


def encode(*resources: Resource, version: object = 7) -> str:
    content = {"version": version, "resources": list(resources)}
    return json.dumps(content, indent=1)


def run(*arguments: object) -> int:
    """Run the command and return its exit code."""
    try:
        cli.main(["check-platform", *map(str, arguments)])
    except SystemExit as end:
        return int(end.code or 0)
    return 0


def check(
    folder: Path,
    capsys: pytest.CaptureFixture[str],
    text: str,
    in_force: str | None = None,
) -> tuple[int, dict[str, Any]]:
    """Check a document in both forms; return the exit code and the JSON document."""
    file = folder / "new.json"
    file.write_text(text)
    arguments: list[object] = [file]
    if in_force is not None:
        (folder / "old.json").write_text(in_force)
        arguments += ["--in-force", folder / "old.json"]
    exit_code = run(*arguments)
    lines = capsys.readouterr().out.splitlines()
    assert run(*arguments, "--json") == exit_code
    output = capsys.readouterr().out
    content = json.loads(output)
    assert len(lines) == len(content["findings"]) + len(content["differences"]) + 1
    assert KEY_MARK not in output + "".join(lines)
    for line, item in zip(
        lines, content["findings"] + content["differences"], strict=False
    ):
        assert line.startswith(f"{item['file']}:{item['line']}: "), line
        assert item["key"] in line
    return exit_code, content
