"""Run every test suite and print one closing line with the totals.

Scenarios listed in KNOWN-RED.txt run too; their failure is printed and does not
fail the run. Each entry there is a block whose first line is ``test: <id>``.
"""

import re
import subprocess
import sys
import tempfile
import xml.etree.ElementTree as ElementTree
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"


@dataclass(slots=True)
class Totals:
    """Counts of one run over all suites."""

    passed_count: int = 0
    failed: list[str] = field(default_factory=list)
    known_red: list[str] = field(default_factory=list)


def load_known_red() -> set[str]:
    """Return the ids of the tests whose failure is on record."""
    if not KNOWN_RED_FILE.exists():
        return set()
    return set(re.findall(r"^test: (.+)$", KNOWN_RED_FILE.read_text(), re.MULTILINE))


def run_suite(command: list[str]) -> int:
    """Run one suite with its output shown and return its exit code."""
    print("+", " ".join(command), flush=True)
    return subprocess.run(command, cwd=ROOT, check=False).returncode


def add_report(totals: Totals, report: Path, known_red: set[str]) -> None:
    """Add the results of one JUnit report to the totals."""
    for case in ElementTree.parse(report).iter("testcase"):
        case_id = f"{case.get('classname')}::{case.get('name')}"
        broken = case.find("failure") is not None or case.find("error") is not None
        if not broken and case.find("skipped") is None:
            totals.passed_count += 1
        elif broken and case_id in known_red:
            totals.known_red.append(case_id)
        else:
            totals.failed.append(case_id)


def main() -> int:
    """Run pytest and behave, print the known red cases and the totals."""
    known_red = load_known_red()
    totals = Totals()
    with tempfile.TemporaryDirectory() as folder:
        reports = Path(folder)
        unit_code = run_suite(
            [sys.executable, "-m", "pytest", f"--junitxml={reports / 'unit.xml'}"]
        )
        feature_code = run_suite(
            [
                sys.executable,
                "-m",
                "behave",
                "--format=progress",
                "--junit",
                f"--junit-directory={reports / 'features'}",
            ]
        )
        found = sorted(reports.rglob("*.xml"))
        for report in found:
            add_report(totals, report, known_red)
    for case_id in totals.known_red:
        print("known red:", case_id)
    for case_id in totals.failed:
        print("failed:", case_id)
    if (unit_code or feature_code) and not (totals.failed or totals.known_red):
        totals.failed.append("a suite ended without a report of its failure")
        print("failed:", totals.failed[-1])
    print(f"{totals.passed_count} passed, {len(totals.failed)} failed")
    return 1 if totals.failed or not totals.passed_count else 0


if __name__ == "__main__":
    sys.exit(main())
