"""Tests of the ledger check: it finds the violations of each rule and no others."""

from pathlib import Path

import pytest

from briardock_standins.ledger import (
    Entry,
    LedgerWriter,
    Rule,
    RunEnded,
    RunStarted,
    Told,
    find_violations,
    read_ledger,
)


def run(
    name: str,
    key: str = "k1",
    nonce: str = "a1",
    parent: str = "",
    at_ms: float = 10.0,
    operation: str = "pay.charge",
) -> RunStarted:
    return RunStarted(name, key, nonce, parent, operation, "d", "i", at_ms)


def result(
    outcome: str = "completed",
    key: str = "k1",
    attempt: int = 0,
    final: bool = True,
    body_ok: bool = True,
    end_ms: float = 20.0,
) -> Told:
    return Told(
        action="a1",
        attempt=attempt,
        final=final,
        key=key,
        operation="pay.charge",
        class_name="money",
        outcome=outcome,
        reason="",
        status=200,
        body_ok=body_ok,
        start_ms=0.0,
        end_ms=end_ms,
    )


CASES: list[tuple[str, list[Entry], list[Entry], list[Rule]]] = [
    ("correct", [run("r1")], [result()], []),
    ("same key twice", [run("r1"), run("r2", nonce="b")], [], [Rule.RAN_TWICE]),
    ("other key, same call", [run("r1"), run("r2", "k2")], [], [Rule.RAN_TWICE]),
    (
        "idempotent twice",
        [run("r1", operation="map.read"), run("r2", operation="map.read")],
        [result()],
        [],
    ),
    ("refused and ran", [run("r1")], [result("not-run")], [Rule.NOT_RUN_RAN]),
    (
        "refused, then ran after the last result",
        [run("r1", at_ms=30.0)],
        [result("not-run")],
        [Rule.NOT_RUN_RAN],
    ),
    (
        "refused, then resent",
        [run("r1", at_ms=30.0)],
        [result("not-run", final=False), result(attempt=1, end_ms=40.0)],
        [],
    ),
    (
        "refused while it ran, then resent",
        [run("r1")],
        [result("not-run", final=False), result(attempt=1, end_ms=40.0)],
        [Rule.NOT_RUN_RAN],
    ),
    ("unknown may have run", [run("r1")], [result("unknown")], []),
    (
        "incomplete response",
        [run("r1")],
        [result(body_ok=False)],
        [Rule.FOREIGN_ANSWER],
    ),
    (
        "foreign response to a child call",
        [run("r1"), RunEnded("r1", False, 1.0, 15.0, foreign=True)],
        [result()],
        [Rule.FOREIGN_ANSWER],
    ),
    (
        "retried child calls over the budget",
        [run(f"r{n}", "c", "a1/0", "p", operation="map.read") for n in range(4)],
        [result()],
        [Rule.OVER_BUDGET],
    ),
    (
        "child calls of a retried parent are first attempts",
        [run(f"r{n}", "c", "a1/0", f"p{n}", operation="map.read") for n in range(4)],
        [result()],
        [],
    ),
    (
        "each send without a key has its own budget",
        [run(f"r{n}", "", operation="map.read") for n in range(6)],
        [result(key="", final=False), result(key="", attempt=1)],
        [],
    ),
]


@pytest.mark.parametrize(
    "runs, results, rules", [case[1:] for case in CASES], ids=[c[0] for c in CASES]
)
def test_check_finds_violations(
    runs: list[Entry], results: list[Entry], rules: list[Rule]
) -> None:
    # Guards against a check that passes everything or that reports allowed retries.
    found = find_violations([runs], [results], ["pay.charge"], retries=2)
    assert sorted({violation.rule for violation in found}) == sorted(rules)


def test_truncated_last_line_is_skipped(tmp_path: Path) -> None:
    # A process that is killed while it writes leaves a truncated line.
    path = tmp_path / "ledger.jsonl"
    writer = LedgerWriter(path)
    writer.append(run("r1"))
    writer.append(result())
    writer.close()
    path.write_bytes(path.read_bytes()[:-5])
    assert read_ledger(path) == [run("r1")]
