"""Tests of the findings of ``briardock check-platform``."""

import random
from pathlib import Path

import pytest

from briardock.mesh.dialect import Undecodable
from briardock.platform._dialect import PlatformDialect
from briardock.platform._positions import decode_with_positions
from briardock.platform_check import Severity, check_document
from mesh_fakes import route, tenant
from platform_documents import (
    ACCOUNT,
    CLEAN,
    JOBS,
    ROUTE,
    Resource,
    check,
    encode,
    limits,
    service,
    weighted,
    without,
)

# Each row is named after the mistake of an operator that it stands for.
ERRORS: dict[str, tuple[str, str, str, str]] = {
    "comma after the last entry": (
        '{"version": 7,\n"resources": [\n],}',
        "",
        "],}",
        "malformed",
    ),
    "file copied incompletely": (
        '{"version": 7,\n"resources": [',
        "",
        '"resources"',
        "truncated",
    ),
    "version written as text": (
        encode(*CLEAN, version="7"),
        "version",
        '"version"',
        "Expected `int`",
    ),
    "list of entries forgotten": (
        '{"version": 7}',
        "resources",
        '"version"',
        "missing",
    ),
    "unit that nodes do not know": (
        encode(*CLEAN, route("r-2", "/b/", timeout="5m")),
        "routes/r-2/timeout",
        '"timeout": "5m"',
        "'5m' is not a duration",
    ),
    "duration without unit": (
        encode(*CLEAN, route("r-2", "/b/", **{"target-latency": 200})),
        "routes/r-2/target-latency",
        '"target-latency": 200',
        "Expected `str`, got `int`",
    ),
    "key without default left out": (
        encode(*CLEAN, without(route("r-2", "/b/"), "max-attempts")),
        "routes/r-2/max-attempts",
        "{",
        "missing",
    ),
    "weighted service left empty": (
        encode(*CLEAN, route("r-2", "/b/", **{"weighted-services": [{}]})),
        "routes/r-2/weighted-services/0/service",
        "{}",
        "missing",
    ),
    "limit switched off by a word": (
        encode(JOBS, ROUTE, ACCOUNT, limits(**{"idle-timeout": "never"})),
        "limits/limits/idle-timeout",
        '"idle-timeout"',
        "'never' is not a duration",
    ),
    "entry without content": (
        encode(*CLEAN, {"type-url": "routes", "metadata": {"name": "r-2"}}),
        "routes/r-2/spec",
        "{",
        "missing",
    ),
    "entry without name": (
        encode(*CLEAN, service("")),
        "resources/4/name",
        '"name": ""',
        "a name",
    ),
    "misspelt kind, whose requests are never repeated": (
        encode(*CLEAN, route("r-2", "/b/", kind="idempotant")),
        "routes/r-2/kind",
        '"idempotant"',
        "'idempotant' is unknown",
    ),
    "misspelt type, which nodes ignore": (
        encode(*CLEAN, tenant("t-2", "sk-2") | {"type-url": "tenant"}),
        "tenant/t-2/type-url",
        '"tenant"',
        "nodes ignore",
    ),
    "key not in a list, so the account gets 401": (
        encode(*CLEAN, tenant("t-2", **{"api-keys": "sk-2"})),
        "tenants/t-2/api-keys",
        '"api-keys"',
        "Expected `array`, got `str`",
    ),
    "account whose name nodes do not accept": (
        encode(*CLEAN, tenant(" t-2", "sk-2")),
        "tenants/ t-2/name",
        '" t-2"',
        "not padded",
    ),
    "burst switched off by -1": (
        encode(*CLEAN, tenant("t-2", "sk-2", burst=-1)),
        "tenants/t-2/burst",
        '"burst": -1',
        "0 or more",
    ),
    "service renamed, but not in its route": (
        encode(*CLEAN, route("r-2", "/b/", service="job")),
        "routes/r-2/service",
        '"service": "job"',
        "'job' is not in the document",
    ),
    "part of the traffic sent to a service that is not there yet": (
        encode(*CLEAN, route("r-2", "/b/", **weighted(("jobs", 9), ("new", 1)))),
        "routes/r-2/weighted-services/1/service",
        '"service": "new"',
        "'new' is not in the document",
    ),
    "route without service": (
        encode(*CLEAN, without(route("r-2", "/b/"), "service")),
        "routes/r-2/service",
        "{",
        "names no service",
    ),
    "entry copied without a new name": (
        encode(*CLEAN, route("r-1", "/b/")),
        "routes/r-1",
        "{",
        "line 26 has the same kind and name",
    ),
}

WARNINGS: dict[str, tuple[list[Resource], str, str, str]] = {
    "route copied without a new prefix": (
        [*CLEAN, route("r-2", "/a/", host="A.Example")],
        "routes/r-1/path-prefix",
        '"path-prefix": "/a/"',
        "routes/r-2 in line 56 has the same host and prefix",
    ),
    "prefix without closing slash": (
        [*CLEAN, route("r-2", "/b")],
        "routes/r-2/path-prefix",
        '"/b"',
        "begin and end with a slash",
    ),
    "host with port": (
        [*CLEAN, route("r-2", "/b/", host="a.example:80")],
        "routes/r-2/host",
        '"a.example:80"',
        "without their port",
    ),
    "service taken out by its weight and forgotten": (
        [*CLEAN, route("r-2", "/b/", **weighted(("jobs", 1), ("jobs", 0)))],
        "routes/r-2/weighted-services/1/weight",
        '"weight": 0',
        "it gets no requests",
    ),
    "only service taken out by its weight, which has no effect": (
        [*CLEAN, route("r-2", "/b/", **weighted(("jobs", 0)))],
        "routes/r-2/weighted-services/0/weight",
        '"weight": 0',
        "the first service gets all requests",
    ),
    "service left behind by its routes": (
        [*CLEAN, service("old")],
        "services/old",
        "{",
        "no route names",
    ),
    "misspelt list of keys": (
        [*CLEAN, without(tenant("t-2", **{"api-key": ["sk-2"]}), "api-keys")],
        "tenants/t-2/api-keys",
        "{",
        "no key",
    ),
    "account whose keys are all withdrawn": (
        [*CLEAN, tenant("t-2")],
        "tenants/t-2/api-keys",
        '"api-keys"',
        "no key",
    ),
    "key given to two accounts": (
        [*CLEAN, tenant("t-2", "sk-2", "sk-1")],
        "tenants/t-2/api-keys/1",
        '"sk-1"',
        "tenants/t-1 in line 42 also has this key",
    ),
    "key pasted with a line break": (
        [*CLEAN, tenant("t-2", "sk-2\n")],
        "tenants/t-2/api-keys/0",
        '"sk-2',
        "spaces around it",
    ),
    "limits added beside those in force": (
        [*CLEAN, limits("new")],
        "limits/limits",
        "{",
        "limits/new in line 56",
    ),
    "objective in the wrong unit": (
        [*CLEAN, route("r-2", "/b/", **{"target-latency": "2.5s"})],
        "routes/r-2/target-latency",
        '"2.5s"',
        "2.5 s is above the timeout of 2 s",
    ),
    "timeout below the default objective": (
        [*CLEAN, without(route("r-2", "/b/", timeout="500ms"), "target-latency")],
        "routes/r-2/target-latency",
        "{",
        "1 s is above the timeout of 0.5 s",
    ),
    "no attempts for no repeats": (
        [*CLEAN, route("r-2", "/b/", **{"max-attempts": 0})],
        "routes/r-2/max-attempts",
        '"max-attempts": 0',
        "0 attempts",
    ),
    "low rate without room for one request": (
        [*CLEAN, tenant("t-2", "sk-2", burst=0.5, **{"rate-per-s": 0.5})],
        "tenants/t-2/burst",
        '"burst": 0.5',
        "below one request",
    ),
    "account blocked by a rate of 0, which is no limit": (
        [*CLEAN, tenant("t-2", "sk-2", burst=5, **{"rate-per-s": 0})],
        "tenants/t-2/burst",
        '"burst": 5',
        "a rate of 0 is no limit",
    ),
    "limit in KiB": (
        [JOBS, ROUTE, ACCOUNT, limits(**{"max-header-bytes": 16})],
        "limits/limits/max-header-bytes",
        '"max-header-bytes": 16',
        "16 bytes are below",
    ),
}


@pytest.mark.parametrize(
    ("text", "key", "line_text", "message"), ERRORS.values(), ids=ERRORS
)
def test_error(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    text: str,
    key: str,
    line_text: str,
    message: str,
) -> None:
    assert_only_finding(tmp_path, capsys, text, 2, ("error", key, line_text, message))


@pytest.mark.parametrize(
    ("resources", "key", "line_text", "message"), WARNINGS.values(), ids=WARNINGS
)
def test_warning(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    resources: list[Resource],
    key: str,
    line_text: str,
    message: str,
) -> None:
    expected = ("warning", key, line_text, message)
    assert_only_finding(tmp_path, capsys, encode(*resources), 1, expected)


def assert_only_finding(
    folder: Path,
    capsys: pytest.CaptureFixture[str],
    text: str,
    exit_code: int,
    expected: tuple[str, str, str, str],
) -> None:
    """Check that a document has one finding, and its severity, key, line and text."""
    actual_code, content = check(folder, capsys, text)
    (finding,) = content["findings"]
    severity, key, line_text, message = expected
    assert (actual_code, finding["severity"], finding["key"]) == (
        exit_code,
        severity,
        key,
    )
    assert line_text in text.splitlines()[finding["line"] - 1]
    assert message in finding["message"] and finding["remedy"]


def test_bounds_are_no_finding(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """A check that warns of valid documents is soon ignored."""
    text = encode(
        limits(**{"max-header-bytes": 1024}),
        JOBS,
        service("upload", **{"health-path": None}),
        route("r-1", "/a/", **{"target-latency": "2000ms", "max-attempts": 1}),
        route("r-2", "/", kind="upload", **weighted(("jobs", 0.1), ("upload", 1))),
        route("r-3", "/a/", host="b.example", kind="non_idempotent"),
        tenant("t-1", "sk-1", "sk-2", burst=1, **{"rate-per-s": 0.5}),
        tenant("t-2", "sk-3", burst=0, **{"rate-per-s": 1}),
        tenant("t-3", "sk-4", burst=None, **{"rate-per-s": None}),
    )
    assert check(tmp_path, capsys, text) == (0, {"findings": [], "differences": []})


def test_all_findings_are_reported_together(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Operators would otherwise repeat the check for each fault.

    No service is reported as unused while a route that may name it cannot be decoded.
    """
    text = encode(
        JOBS,
        service("other"),
        route("r-1", "/a/", timeout="soon"),
        {"type-url": "services"},
        route("r-2", "/b/", **{"max-attempts": 0}),
        version=None,
    )
    exit_code, content = check(tmp_path, capsys, text)
    assert (exit_code, [item["key"] for item in content["findings"]]) == (
        2,
        [
            "version",
            "routes/r-1/timeout",
            "resources/3/metadata",
            "routes/r-2/max-attempts",
        ],
    )


def test_damaged_documents_end_in_findings() -> None:
    """A damaged file must not end the check with an internal error.

    Whatever nodes reject has to be an error, or the operator sends it.
    """
    rng = random.Random(1)
    intact = encode(*CLEAN, route("r-2", "/b/", **weighted(("jobs", 1)))).encode()
    deep = b"[" * 9_999 + b"]" * 9_999
    documents = [
        b"",
        b"\xff",
        deep,
        b'{"version":1,"resources":[],"x":' + deep + b"}",
        intact.replace(b'"jobs"', deep),
        intact.replace(b"r-2", b"\xff"),
        intact.replace(b"t-1", b"\\ud800"),
    ]
    for _ in range(300):
        damaged = bytearray(intact)
        for _ in range(rng.randint(1, 3)):
            damaged[rng.randrange(len(damaged))] = rng.choice(b'{}[],:"\\1ax\n\xff')
        documents.append(bytes(damaged))
    for document in documents:
        decoded = decode_with_positions(document, "f")
        findings = check_document(decoded)
        is_rejected = isinstance(PlatformDialect().decode_config(document), Undecodable)
        has_errors = any(item.severity is Severity.ERROR for item in findings)
        assert has_errors or not is_rejected
        last_line = document.count(b"\n") + 1
        assert all(1 <= item.position.line <= last_line for item in findings)
