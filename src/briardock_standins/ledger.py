"""Ledgers of the runs of targets and of the results of callers, and their check.

Ledgers are JSON lines that are flushed line by line, so that they survive a kill of
the process. Times are in ms of the system's monotonic clock, which all processes of
a machine share.
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
    """Return the digest of a body, as it is written in ledgers and responses."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).hexdigest()


class RunStarted(msgspec.Struct, frozen=True, tag="started"):
    """A target started to run a call.

    :param run: id of the run
    :param key: key of the call, empty without a node
    :param nonce: nonce of the call; child calls append ``/`` and their position
    :param parent_run: id of the run that made the call, empty for entry calls
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
    """A run ended, successfully or not.

    :param run: id of the run
    :param ok: whether the run succeeded and produced its whole response
    :param time_ms: processing time, without child calls
    :param at_ms: monotonic time in ms
    :param foreign: whether the response to a child call was incomplete or belonged
        to another request
    """

    run: str
    ok: bool
    time_ms: float
    at_ms: float
    foreign: bool = False


class Notice(msgspec.Struct, frozen=True, tag="notice"):
    """The target announced that it is leaving or ready.

    :param instance: target process
    :param state: announced state
    :param at_ms: monotonic time in ms
    """

    instance: str
    state: str
    at_ms: float


class Told(msgspec.Struct, frozen=True, tag="told"):
    """The result that a caller received for one send of an action.

    :param action: id of the action, which is also the nonce of its entry call
    :param attempt: number of the caller's resends before this send
    :param final: whether the caller did not resend the action after this
    :param key: idempotency key, empty if none was sent
    :param operation: full name, ``service.name``
    :param class_name: class of the action
    :param outcome: ``completed``, ``not-run`` or ``unknown``
    :param reason: reason of a refusal or failure
    :param status: HTTP status, 0 without a response
    :param body_ok: whether the response is complete and belongs to the request
    :param start_ms: monotonic time of the send in ms
    :param end_ms: monotonic time of the result in ms
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
        """Return whether the caller received its complete response with status 200."""
        return self.outcome == "completed" and self.status == 200 and self.body_ok


Entry = RunStarted | RunEnded | Notice | Told
_decoder = msgspec.json.Decoder(Entry)


class LedgerWriter:
    """Keeps entries in memory and appends them to a file.

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
    """Return the entries of a file, without a truncated last line.

    A process that is killed while it writes leaves a truncated line.

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
    """One run of a call by a target; ``ended`` is ``None`` if the target was killed."""

    started: RunStarted
    ended: RunEnded | None

    @property
    def action(self) -> str:
        """Return the id of the action that the run belongs to."""
        return self.started.nonce.partition("/")[0]


def collect_runs(entries: Iterable[Entry]) -> list[Run]:
    """Return the runs in target ledgers, sorted by their start."""
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
    """Rules that the ledgers of a deployment are checked against.

    ``RAN_TWICE``: a non-idempotent call ran at most once. ``NOT_RUN_RAN``: an action
    that was refused as ``not-run`` did not run. ``FOREIGN_ANSWER``: each response is
    complete and belongs to its request. ``OVER_BUDGET``: nodes retried no more than
    the retry budget allows.
    """

    RAN_TWICE = "ran-twice"
    NOT_RUN_RAN = "not-run-ran"
    FOREIGN_ANSWER = "foreign-answer"
    OVER_BUDGET = "over-budget"


@dataclass(frozen=True, slots=True)
class Violation:
    """Violation of a rule.

    :param rule: violated rule
    :param subject: key, nonce or action concerned
    :param detail: description
    """

    rule: Rule
    subject: str
    detail: str


def find_violations(
    target_ledgers: Iterable[Iterable[Entry]],
    caller_ledgers: Iterable[Iterable[Entry]],
    non_idempotent_operations: Collection[str] = (),
    retries: int = DEFAULT_RETRIES,
) -> list[Violation]:
    """Return the violations of the rules, empty if all hold.

    :param target_ledgers: entries of each target
    :param caller_ledgers: entries of each load generator
    :param non_idempotent_operations: full names of the non-idempotent operations
    :param retries: retry budget of each action
    """
    runs = collect_runs(entry for ledger in target_ledgers for entry in ledger)
    results = [
        entry
        for ledger in caller_ledgers
        for entry in ledger
        if isinstance(entry, Told)
    ]
    return [
        *_check_duplicate_runs(runs, non_idempotent_operations),
        *_check_refusals(runs, results),
        *_check_responses(runs, results),
        *_check_retry_budget(runs, results, retries),
    ]


def _check_duplicate_runs(
    runs: list[Run], non_idempotent_operations: Collection[str]
) -> Iterable[Violation]:
    """Yield calls of non-idempotent operations that ran more than once.

    Runs are counted per nonce besides per key, because a call that runs under two
    keys would otherwise go unnoticed.
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


def _check_refusals(runs: list[Run], results: list[Told]) -> Iterable[Violation]:
    """Yield keyed actions that ran although their caller received ``not-run``.

    A run that starts after a ``not-run`` is correct only if the caller resent the
    action after it.
    """
    starts: dict[str, list[float]] = defaultdict(list)
    for run in runs:
        if run.started.key:
            starts[run.started.key].append(run.started.at_ms)
    for result in results:
        if not result.key or result.outcome != "not-run":
            continue
        for start_ms in starts.get(result.key, ()):
            if result.final or start_ms <= result.end_ms:
                detail = f"{result.operation} ran but was refused as {result.reason}"
                yield Violation(Rule.NOT_RUN_RAN, result.key, detail)


def _check_responses(runs: list[Run], results: list[Told]) -> Iterable[Violation]:
    for result in results:
        if result.outcome == "completed" and not result.body_ok:
            detail = f"{result.operation} returned {result.status} with a foreign body"
            yield Violation(Rule.FOREIGN_ANSWER, result.action, detail)
    for run in runs:
        if run.ended is not None and run.ended.foreign:
            detail = f"{run.started.operation} got a foreign response to a child call"
            yield Violation(Rule.FOREIGN_ANSWER, run.started.nonce, detail)


def count_retries(runs: Iterable[Run]) -> dict[str, int]:
    """Return the number of runs per action that were retries by nodes.

    Retries are counted per parent run, so that the child calls of a retried parent
    count as first attempts. For entry calls, every run after the first is a retry.
    """
    run_counts: dict[tuple[str, str, str], int] = defaultdict(int)
    for run in runs:
        run_counts[(run.action, run.started.parent_run, run.started.nonce)] += 1
    retries: dict[str, int] = defaultdict(int)
    for (action, _, _), count in run_counts.items():
        retries[action] += count - 1
    return retries


def _check_retry_budget(
    runs: list[Run], results: list[Told], retries: int
) -> Iterable[Violation]:
    """Yield actions whose calls were retried more often than their budget allows.

    Nodes treat each send without a key as a separate action.
    """
    allowed: dict[str, int] = {}
    for result in results:
        if result.key:
            allowed[result.action] = retries
        else:
            send_count = result.attempt + 1
            budget = send_count * retries + result.attempt
            allowed[result.action] = max(allowed.get(result.action, 0), budget)
    for action, count in count_retries(runs).items():
        limit = allowed.get(action)
        if limit is not None and count > limit:
            detail = f"{count} retries, {limit} allowed"
            yield Violation(Rule.OVER_BUDGET, action, detail)
