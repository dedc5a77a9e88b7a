"""Mutation tests: break one rule of the code at a time and check that a test fails.

The mutations are listed in ``mutations.toml`` beside this file. Each is applied to a
copy of the tree, where the tests that it names are run. The run fails if a mutation
survives or no longer applies, or if the tests fail without a mutation.
Usage: ``python benchmarks/mutations.py [--markdown] [module ...]``; the last line
is JSON.
"""

import json
import os
import re
import shutil
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TABLE_FILE = Path(__file__).with_suffix(".toml")
COPIED = ("src", "tests", "docs", "examples", "pyproject.toml")
PARALLEL_RUNS = 4
# A mutation may make a test wait forever; the slowest test file takes about 10 s.
TIMEOUT_S = 60.0
PYTEST_FAILED_TESTS = 1
SHOWN_CHARS = 100
# Makes property-based tests draw the same examples in each run.
SEED = 1


@dataclass(frozen=True, slots=True)
class Mutation:
    """One change of the code that breaks a rule.

    :param rule: behaviour that the code guarantees
    :param module: module of ``src/briardock`` that is changed
    :param old: text that occurs exactly once in the module
    :param new: text that replaces it
    :param tests: names of test files, without ``test_`` and suffix
    """

    rule: str
    module: str
    old: str
    new: str
    tests: str

    @property
    def file(self) -> Path:
        """Path of the changed module in the tree."""
        return Path("src", "briardock", f"{self.module}.py")


@dataclass(frozen=True, slots=True)
class Result:
    """Result of the tests on a mutated copy.

    :param verdict: ``red``, ``survived``, ``not-applicable`` or ``broken``, where
        pytest could not run the tests at all
    :param test: first test that failed
    """

    mutation: Mutation
    verdict: str
    test: str = ""


def load_mutations(modules: list[str]) -> list[Mutation]:
    """Return the listed mutations.

    :param modules: modules to select, all if empty
    """
    table = tomllib.loads(TABLE_FILE.read_text())["mutation"]
    mutations = [Mutation(**entry) for entry in table]
    return [item for item in mutations if not modules or item.module in modules]


def copy_tree(folder: Path) -> None:
    """Copy the files that the tests need."""
    for name in COPIED:
        source = ROOT / name
        if source.is_dir():
            ignored = shutil.ignore_patterns("__pycache__", ".*")
            shutil.copytree(source, folder / name, ignore=ignored)
        else:
            shutil.copy(source, folder / name)


def run_tests(folder: Path, names: list[str], first_only: bool) -> tuple[int, str]:
    """Run test files of a copy; return the exit code and the output.

    :param folder: copy of the tree
    :param names: names of test files
    :param first_only: stop at the first failure
    """
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider"]
    command += [f"--hypothesis-seed={SEED}", "--tb=line", "-rfE"]
    command += ["-x"] if first_only else []
    command += [f"tests/test_{name}.py" for name in names]
    try:
        result = subprocess.run(
            command,
            cwd=folder,
            env={**os.environ, "PYTHONPATH": "src", "PYTHONDONTWRITEBYTECODE": "1"},
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return PYTEST_FAILED_TESTS, "FAILED timeout"
    return result.returncode, result.stdout


def apply(mutation: Mutation, folder: Path) -> bool:
    """Apply a mutation to a copy; return whether the old text occurs exactly once."""
    path = folder / mutation.file
    text = path.read_text()
    if text.count(mutation.old) != 1:
        return False
    path.write_text(text.replace(mutation.old, mutation.new))
    return True


def check(mutation: Mutation) -> Result:
    """Apply one mutation to a new copy and run its tests."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        copy_tree(folder)
        if not apply(mutation, folder):
            return Result(mutation, "not-applicable")
        code, output = run_tests(folder, mutation.tests.split(), True)
    if code == 0:
        return Result(mutation, "survived")
    failed = re.search(r"^FAILED (?:tests/)?(\S+)", output, re.MULTILINE)
    if code != PYTEST_FAILED_TESTS or failed is None:
        return Result(mutation, "broken", output[-200:])
    return Result(mutation, "red", failed[1])


def check_unchanged(mutations: list[Mutation]) -> bool:
    """Return whether all named tests pass on an unchanged copy."""
    names = sorted({name for item in mutations for name in item.tests.split()})
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        copy_tree(folder)
        code, output = run_tests(folder, names, False)
    if code:
        print(output)
    return code == 0


def shorten(text: str) -> str:
    """Return the first line of a text as a Markdown code span."""
    line = text.strip().partition("\n")[0]
    if len(line) > SHOWN_CHARS:
        line = line[: SHOWN_CHARS - 3] + "..."
    return f"`{line}`".replace("|", "\\|") if line else "nothing"


def print_result(result: Result, as_markdown: bool) -> None:
    """Print the result of one mutation, as a table row if ``as_markdown``."""
    mutation = result.mutation
    if as_markdown:
        change = f"{shorten(mutation.old)} becomes {shorten(mutation.new)}"
        test = shorten(result.test)
        rule = f"`{mutation.module}`: {mutation.rule}"
        print(f"| {rule} | {change} | {test} | {result.verdict} |", flush=True)
    else:
        shown = f"{mutation.module}: {mutation.rule}"
        print(f"{result.verdict:14} {shown:80} {result.test}", flush=True)


def main() -> int:
    """Check all mutations; return 0 if tests failed for each of them, else 1."""
    as_markdown = "--markdown" in sys.argv
    modules = [name for name in sys.argv[1:] if not name.startswith("--")]
    mutations = load_mutations(modules)
    started_s = time.monotonic()
    if not check_unchanged(mutations):
        print(json.dumps({"error": "tests fail without a mutation"}))
        return 1
    counts: Counter[str] = Counter()
    with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        for result in pool.map(check, mutations):
            counts[result.verdict] += 1
            print_result(result, as_markdown)
    elapsed_s = round(time.monotonic() - started_s, 1)
    print(json.dumps({"mutations": len(mutations), **counts, "elapsed_s": elapsed_s}))
    return 0 if counts["red"] == len(mutations) else 1


if __name__ == "__main__":
    sys.exit(main())
