"""Run every test suite and print one closing line with the totals.

Tests listed in KNOWN-RED.txt run too; their failures are printed and do not fail the
run. Each entry in that file is a block whose first line is ``test: <id>``.
"""

import re
import subprocess
import sys
import tempfile
import xml.etree.ElementTree as ElementTree
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
# Tests of the memory of a process, which run apart from other load.
ISOLATED_TESTS = (
    "tests/test_mesh_hostile_clients.py",
    "tests/test_mesh_full_output.py",
    "tests/test_mesh_hostile_targets.py",
    "tests/test_mesh_large_crowds.py",
    "tests/test_mesh_slow_clients.py",
    "tests/test_mesh_unread_responses.py",
    "tests/test_mesh_upload_memory.py",
)
# Tests of decisions in simulated time. They need the processor all the while and
# neither sockets nor a clock, so they run beside the tests that mostly wait.
SIMULATED_TESTS = "tests/test_overload_*.py"
# Each feature suite runs about 12 processes, which are idle most of the time.
MAX_PARALLEL_SUITES = 6
SHOWN_CHARS = 4_000


@dataclass(frozen=True, slots=True)
class Suite:
    """One process of tests and the folder of its JUnit reports."""

    command: list[str]
    reports: Path


@dataclass(slots=True)
class Totals:
    """Counts of one run over all suites."""

    passed_count: int = 0
    failed: list[str] = field(default_factory=list)
    known_red: list[str] = field(default_factory=list)


def load_known_red() -> set[str]:
    """Return the ids of the tests in KNOWN-RED.txt, which may fail."""
    if not KNOWN_RED_FILE.exists():
        return set()
    return set(re.findall(r"^test: (.+)$", KNOWN_RED_FILE.read_text(), re.MULTILINE))


def run_suite(suite: Suite) -> tuple[Suite, int]:
    """Run one suite, print its output when it ends and return its exit code."""
    result = subprocess.run(
        suite.command,
        cwd=ROOT,
        check=False,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    print("+", " ".join(suite.command), result.stdout, sep="\n", flush=True)
    return suite, result.returncode


def make_pytest_suite(reports: Path, name: str, *arguments: str) -> Suite:
    """Return a suite of pytest."""
    folder = reports / name
    report = f"--junitxml={folder / name}.xml"
    return Suite([sys.executable, "-m", "pytest", report, *arguments], folder)


def make_suites(reports: Path) -> list[Suite]:
    """Return the suites of unit tests and one suite for each feature file."""
    simulated = [str(path) for path in sorted(ROOT.glob(SIMULATED_TESTS))]
    ignored = [f"--ignore={path}" for path in ISOLATED_TESTS]
    ignored.append(f"--ignore-glob={SIMULATED_TESTS}")
    suites = [
        make_pytest_suite(reports, "unit", *ignored),
        make_pytest_suite(reports, "simulated", *simulated),
    ]
    for path in sorted((ROOT / "features").glob("*.feature")):
        folder = reports / path.stem
        command = [
            sys.executable,
            "-m",
            "behave",
            str(path.relative_to(ROOT)),
            "--format=progress",
            "--no-logcapture",
            "--junit",
            f"--junit-directory={folder}",
        ]
        suites.append(Suite(command, folder))
    return suites


def add_suite(totals: Totals, suite: Suite, code: int, known_red: set[str]) -> None:
    """Add the reports of one suite.

    A suite that exits with an error and reports no failed test counts as a failure.
    """
    failures_before = len(totals.failed) + len(totals.known_red)
    for report in sorted(suite.reports.rglob("*.xml")):
        add_report(totals, report, known_red)
    if code and len(totals.failed) + len(totals.known_red) == failures_before:
        totals.failed.append(f"{suite.command} ended with exit code {code}")


def add_report(totals: Totals, report: Path, known_red: set[str]) -> None:
    """Add the results of one JUnit report to the totals."""
    for case in ElementTree.parse(report).iter("testcase"):
        case_id = f"{case.get('classname')}::{case.get('name')}"
        failure = case.find("failure")
        failure = case.find("error") if failure is None else failure
        has_failed = failure is not None
        if failure is not None:
            print(f"{case_id}\n{failure.get('message')}\n{failure.text}"[:SHOWN_CHARS])
        if not has_failed and case.find("skipped") is None:
            totals.passed_count += 1
        elif has_failed and case_id in known_red:
            totals.known_red.append(case_id)
        else:
            totals.failed.append(case_id)


def main() -> int:
    """Run pytest and behave, print the known red cases and the totals."""
    known_red = load_known_red()
    totals = Totals()
    with tempfile.TemporaryDirectory() as folder:
        reports = Path(folder)
        isolated = make_pytest_suite(reports, "isolated", *ISOLATED_TESTS)
        add_suite(totals, *run_suite(isolated), known_red)
        with ThreadPoolExecutor(MAX_PARALLEL_SUITES) as pool:
            for suite, code in pool.map(run_suite, make_suites(reports)):
                add_suite(totals, suite, code, known_red)
    for case_id in totals.known_red:
        print("known red:", case_id)
    for case_id in totals.failed:
        print("failed:", case_id)
    print(f"{totals.passed_count} passed, {len(totals.failed)} failed")
    return 1 if totals.failed or not totals.passed_count else 0


if __name__ == "__main__":
    sys.exit(main())
