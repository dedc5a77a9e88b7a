"""Ledgers of what targets ran and what callers were told, and their check.

Both are JSON lines, written line by line, so that a killed process leaves its
ledger. Times are ms of the system's monotonic clock, which all processes of one
machine share.
"""

import enum
import hashlib
from collections import defaultdict
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import TextIO

import msgspec

DIGEST_BYTES = 8
DEFAULT_RETRIES = 2


def body_digest(body: bytes) -> str:
    """Return the digest of a body as it appears in ledgers and answers."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).hexdigest()


class RunStarted(msgspec.Struct, frozen=True, tag="started"):
    """A target began to run a call.

    :param run: id of the run
    :param key: key of the call, empty without a node
    :param nonce: nonce of the call; child calls append ``/`` and their position
    :param parent_run: run that made the call, empty for entry calls
    :param operation: full name, ``service.name``
    :param digest: digest of the request body
    :param instance: target process
    :param at_ms: monotonic time in ms
    """

    run: str
    key: str
    nonce: str
    parent_run: str
    operation: str
    digest: str
    instance: str
    at_ms: float


class RunEnded(msgspec.Struct, frozen=True, tag="ended"):
    """A run ended, whole or not.

    :param run: id of the run
    :param ok: whether the whole answer was produced
    :param time_ms: own time spent, without child calls
    :param at_ms: monotonic time in ms
    :param foreign: a child call got an answer that was not its own or not whole
    """

    run: str
    ok: bool
    time_ms: float
    at_ms: float
    foreign: bool = False


class Notice(msgspec.Struct, frozen=True, tag="notice"):
    """The target announced that it leaves, or was ready.

    :param instance: target process
    :param state: announced state
    :param at_ms: monotonic time in ms
    """

    instance: str
    state: str
    at_ms: float


class Told(msgspec.Struct, frozen=True, tag="told"):
    """What a caller was told about one send of an action.

    :param action: id of the action, also its nonce
    :param attempt: 0 for the first send, counting the caller's resends
    :param final: whether the caller sent the action no more after this
    :param key: entry key, empty where none was sent
    :param operation: full name, ``service.name``
    :param class_name: class of the action
    :param outcome: ``completed``, ``not-run`` or ``unknown``
    :param reason: reason of a refusal or failure
    :param status: HTTP status, 0 without an answer
    :param body_ok: whether the answer is whole and the caller's own
    :param start_ms: monotonic time of the send in ms
    :param end_ms: monotonic time of the answer in ms
    """

    action: str
    attempt: int
    final: bool
    key: str
    operation: str
    class_name: str
    outcome: str
    reason: str
    status: int
    body_ok: bool
    start_ms: float
    end_ms: float

    @property
    def succeeded(self) -> bool:
        """Return whether the caller got its whole answer with status 200."""
        return self.outcome == "completed" and self.status == 200 and self.body_ok


Entry = RunStarted | RunEnded | Notice | Told
_decoder = msgspec.json.Decoder(Entry)


class LedgerWriter:
    """Appends entries to memory and to a file.

    :param path: file, or ``None`` to keep entries in memory only
    """

    def __init__(self, path: Path | None = None) -> None:
        self.entries: list[Entry] = []
        self._file: TextIO | None = None
        if path is not None:
            self._file = path.open("a", buffering=1, encoding="utf-8")

    def append(self, entry: Entry) -> None:
        """Append one entry."""
        self.entries.append(entry)
        if self._file is not None:
            self._file.write(msgspec.json.encode(entry).decode() + "\n")

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()
            self._file = None


def read_ledger(path: Path, first_byte: int = 0) -> list[Entry]:
    """Return the entries of a file; a torn last line of a killed process is left out.

    :param path: file written by :class:`LedgerWriter`
    :param first_byte: start of the first line to read
    :raises msgspec.DecodeError: if another line is malformed
    """
    entries: list[Entry] = []
    with path.open("rb") as file:
        file.seek(first_byte)
        lines = file.read().split(b"\n")
    for position, line in enumerate(lines):
        if not line:
            continue
        try:
            entries.append(_decoder.decode(line))
        except msgspec.DecodeError:
            if position < len(lines) - 1:
                raise
    return entries


@dataclass(frozen=True, slots=True)
class Run:
    """One run of a call by a target; ``ended`` is missing where it was killed."""

    started: RunStarted
    ended: RunEnded | None

    @property
    def action(self) -> str:
        """Return the id of the action the run belongs to."""
        return self.started.nonce.partition("/")[0]


def collect_runs(entries: Iterable[Entry]) -> list[Run]:
    """Return the runs of target ledgers in the order of their start."""
    started: list[RunStarted] = []
    ended: dict[str, RunEnded] = {}
    for entry in entries:
        match entry:
            case RunStarted():
                started.append(entry)
            case RunEnded():
                ended[entry.run] = entry
    started.sort(key=lambda start: start.at_ms)
    return [Run(start, ended.get(start.run)) for start in started]


class Rule(enum.StrEnum):
    """Rules that the ledgers of a run must keep."""

    RAN_TWICE = "ran-twice"
    NOT_RUN_RAN = "not-run-ran"
    FOREIGN_ANSWER = "foreign-answer"
    OVER_BUDGET = "over-budget"


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that was broken.

    :param rule: rule
    :param subject: key or action it concerns
    :param detail: what was found
    """

    rule: Rule
    subject: str
    detail: str


def check(
    target_ledgers: Iterable[Iterable[Entry]],
    caller_ledgers: Iterable[Iterable[Entry]],
    non_idempotent_operations: Collection[str] = (),
    retries: int = DEFAULT_RETRIES,
) -> list[Violation]:
    """Return the broken rules, empty where all hold.

    :param target_ledgers: entries of each target
    :param caller_ledgers: entries of each load generator
    :param non_idempotent_operations: full names of the non-idempotent operations
    :param retries: retry budget of an action
    """
    runs = collect_runs(entry for ledger in target_ledgers for entry in ledger)
    told = [
        entry
        for ledger in caller_ledgers
        for entry in ledger
        if isinstance(entry, Told)
    ]
    return [
        *_check_once(runs, non_idempotent_operations),
        *_check_not_run(runs, told),
        *_check_answers(runs, told),
        *_check_budget(runs, told, retries),
    ]


def _check_once(
    runs: list[Run], non_idempotent_operations: Collection[str]
) -> Iterable[Violation]:
    """Yield calls of non-idempotent operations that ran more than once.

    The nonce is counted besides the key: one call that runs under two keys would
    otherwise go unnoticed.
    """
    counts: dict[tuple[str, str, str], int] = defaultdict(int)
    for run in runs:
        if run.started.operation not in non_idempotent_operations:
            continue
        for kind, value in (("key", run.started.key), ("nonce", run.started.nonce)):
            if value:
                counts[(kind, value, run.started.operation)] += 1
    for (kind, value, operation), count in counts.items():
        if count > 1:
            detail = f"{operation} ran {count} times under one {kind}"
            yield Violation(Rule.RAN_TWICE, value, detail)


def _check_not_run(runs: list[Run], told: list[Told]) -> Iterable[Violation]:
    """Yield keyed actions that ran although their caller was told ``not-run``.

    A run that starts after a ``not-run`` is correct only if the caller sent the
    action again after it.
    """
    starts: dict[str, list[float]] = defaultdict(list)
    for run in runs:
        if run.started.key:
            starts[run.started.key].append(run.started.at_ms)
    for answer in told:
        if not answer.key or answer.outcome != "not-run":
            continue
        for start_ms in starts.get(answer.key, ()):
            if answer.final or start_ms <= answer.end_ms:
                detail = f"{answer.operation} ran, but was refused as {answer.reason}"
                yield Violation(Rule.NOT_RUN_RAN, answer.key, detail)


def _check_answers(runs: list[Run], told: list[Told]) -> Iterable[Violation]:
    for answer in told:
        if answer.outcome == "completed" and not answer.body_ok:
            detail = f"{answer.operation} answered {answer.status} with a foreign body"
            yield Violation(Rule.FOREIGN_ANSWER, answer.action, detail)
    for run in runs:
        if run.ended is not None and run.ended.foreign:
            detail = f"{run.started.operation} got a foreign answer to a child call"
            yield Violation(Rule.FOREIGN_ANSWER, run.started.nonce, detail)


def count_retries(runs: Iterable[Run]) -> dict[str, int]:
    """Return the repeated runs per action that nodes caused.

    Repeats are counted per calling run, so that the children of a retried parent
    count as first attempts. Entry calls count all runs after the first.
    """
    seen: dict[tuple[str, str, str], int] = defaultdict(int)
    for run in runs:
        seen[(run.action, run.started.parent_run, run.started.nonce)] += 1
    retries: dict[str, int] = defaultdict(int)
    for (action, _, _), count in seen.items():
        retries[action] += count - 1
    return retries


def _check_budget(
    runs: list[Run], told: list[Told], retries: int
) -> Iterable[Violation]:
    """Yield actions whose calls were repeated more often than their budget.

    Each send without a key is an action of its own for the nodes.
    """
    allowed: dict[str, int] = {}
    for answer in told:
        if answer.key:
            allowed[answer.action] = retries
        else:
            sends = answer.attempt + 1
            budget = sends * retries + answer.attempt
            allowed[answer.action] = max(allowed.get(answer.action, 0), budget)
    for action, count in count_retries(runs).items():
        limit = allowed.get(action)
        if limit is not None and count > limit:
            detail = f"{count} repeated calls, {limit} allowed"
            yield Violation(Rule.OVER_BUDGET, action, detail)
