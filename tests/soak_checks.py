"""Checks of a soak run on the observations of clients and targets."""

import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from soak_accounts import KeyedRequest, account_violations
from soak_machines import Machine
from soak_programs import CALL_DEADLINE_MS, DRAIN_S
from soak_shares import SPLIT_PATH

# Statuses that guarantee that a request was not run and will not be.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Body of a non-idempotent request, which must run at most once.
ONCE_BODY = b"x" * 100
# Begin of a body that a target wrote.
TARGET_BODY = b"ran "
# Time after SIGTERM until which new requests cannot be avoided, s: the readiness checks
# that fail are a second apart.
LATE_AFTER_S = 3.0
# Share of the grace period after which a target still at work may be broken off.
WORK_SHARE = 5 / 6
# Time after which no target works for a caller that has left, s.
LEFT_ALLOWANCE_S = 0.5
# Longest time for which a process is frozen, s.
MAX_FREEZE_S = 3.0
# Difference between a timeout and the time at which a caller sees its effect, s.
TIMEOUT_MARGIN_S = 0.1


@dataclass(slots=True)
class RequestOutcome:
    """Outcome of one request as seen by the client.

    :param request_id: id of the request
    :param once: whether it is non-idempotent and must run at most once
    :param node: node that received it
    :param status: status of the response, 0 for none
    :param body: body of the response
    :param elapsed_s: time until the response or the failure
    :param sent_s: time at which it was sent
    :param timeout_s: deadline of the caller or timeout of the route
    :param closed_s: time at which the connection was closed without a response
    :param left: whether the caller closed it
    :param key: key of an account that the request carried, empty for none
    """

    request_id: str
    once: bool
    node: str
    status: int
    body: bytes
    elapsed_s: float
    sent_s: float = 0.0
    timeout_s: float = 0.0
    closed_s: float | None = None
    left: bool = False
    key: str = ""


@dataclass(slots=True)
class Run:
    """One run of a request at a target.

    :param machine: machine of the target
    :param started_s: time at which it started
    :param ended_s: time at which it ended or was cancelled, ``None`` if it did neither
    :param broken_off: whether the target ended it by itself or with its process
    """

    machine: Machine
    started_s: float
    ended_s: float | None = None
    broken_off: bool = True

    def is_at_work_after(self, at: float) -> bool:
        return self.ended_s is None or self.ended_s > at


def read_runs(folder: Path, machines: list[Machine]) -> dict[str, list[Run]]:
    """Return the runs of each request from the ledgers.

    :param folder: folder of the ledgers
    :param machines: machines of the targets
    """
    runs: dict[str, list[Run]] = {}
    for machine in machines:
        by_number: dict[tuple[str, int], Run] = {}
        for line in _read_ledger(folder / f"{machine.name}.ledger"):
            match line["event"]:
                case "run":
                    run = Run(machine, line["at"])
                    by_number[line["target"], line["run"]] = run
                    runs.setdefault(line["id"], []).append(run)
                case "end" | "cancelled" | "broken off" as event:
                    run = by_number[line["target"], line["run"]]
                    run.ended_s = line["at"]
                    run.broken_off = event == "broken off"
    return runs


def read_calls(folder: Path, machines: list[Machine]) -> list[RequestOutcome]:
    """Return what became of the calls that targets made through their nodes.

    :param folder: folder of the ledgers
    :param machines: machines of the targets
    """
    return [
        RequestOutcome(
            line["id"],
            False,
            machine.name,
            line["status"],
            line["body"].encode("latin-1"),
            line["at"] - line["sent_s"],
            line["sent_s"],
            CALL_DEADLINE_MS / 1000,
            None if line["status"] else line["at"],
            line["left"],
        )
        for machine in machines
        for line in _read_ledger(folder / f"{machine.name}.ledger")
        if line["event"] == "called"
    ]


def describe_loss(
    outcome: RequestOutcome, runs: list[Run], machines: dict[str, Machine]
) -> str | None:
    """Return how a request that a target started was lost, or ``None``.

    It needs the response of a target, unless its caller left, its time was over, a
    process or link on its way failed, or its target was still at work at the end of a
    grace period on a request that could not have been avoided.

    :param outcome: what its caller saw
    :param runs: its runs
    :param machines: machines by name
    """
    path = [machines[outcome.node], *(run.machine for run in runs)]
    end_s = outcome.sent_s + outcome.elapsed_s
    if (
        not runs
        or outcome.left
        or outcome.body.startswith(TARGET_BODY)
        or outcome.elapsed_s > outcome.timeout_s - TIMEOUT_MARGIN_S
        or any(run.broken_off for run in runs)
        or any(m.may_be_harmed_between(outcome.sent_s, end_s) for m in path)
        or any(
            outcome.sent_s <= stop_s + LATE_AFTER_S
            and any(r.is_at_work_after(stop_s + grace_s * WORK_SHARE) for r in runs)
            for machine in path
            for stop_s, grace_s in machine.stops
        )
    ):
        return None
    run = runs[-1]
    ended_s = 0.0 if run.ended_s is None else run.ended_s - outcome.sent_s
    return (
        f"{outcome.request_id}: accepted by {outcome.node} and lost: status "
        f"{outcome.status} after {outcome.elapsed_s:.2f} s, run at {run.machine.name} "
        f"from {run.started_s - outcome.sent_s:.2f} to {ended_s:.2f} s"
    )


def describe_vain_work(
    outcome: RequestOutcome,
    runs: list[Run],
    machines: dict[str, Machine],
    stalled_s: float = 0.0,
) -> str | None:
    """Return how targets worked for a caller whose connection was closed, or ``None``.

    A frozen node learns of the close once it continues. Requests whose way a fault may
    have harmed are left out.

    :param outcome: what its caller saw
    :param runs: its runs
    :param machines: machines by name
    :param stalled_s: time for which the observer was stalled
    """
    if outcome.closed_s is None:
        return None
    path = [machines[outcome.node], *(run.machine for run in runs)]
    latest_run_s = max((run.ended_s or run.started_s for run in runs), default=0.0)
    if any(m.may_be_harmed_between(outcome.sent_s, latest_run_s) for m in path):
        return None
    resume_times = [t for machine in path for t in machine.resume_times]
    latest_resume_s = outcome.closed_s + MAX_FREEZE_S
    known_s = max([outcome.closed_s, *(t for t in resume_times if t < latest_resume_s)])
    for run in runs:
        latest_s = run.ended_s or run.started_s
        delay_s = stalled_s + run.machine.target_delay_s(outcome.closed_s, latest_s)
        limit_s = known_s + LEFT_ALLOWANCE_S + delay_s
        started = run.started_s > limit_s
        at_work = not outcome.once and (run.ended_s or 0.0) > limit_s
        if started or at_work:
            after_s = latest_s - outcome.closed_s
            return (
                f"{outcome.request_id}: {'started' if started else 'at work'} at "
                f"{run.machine.name} {after_s:.2f} s after its connection was closed"
            )
    return None


@dataclass(slots=True)
class SoakResults:
    """Outcomes seen by clients, and violations of the guarantees."""

    outcomes: list[RequestOutcome] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    # Ends and durations of stalls of the soak itself, s.
    stalls: list[tuple[float, float]] = field(default_factory=list)

    def check_ledgers(self, folder: Path, machines: list[Machine]) -> None:
        """Compare the ledgers of the targets with the outcomes seen by clients.

        :param folder: folder of the ledgers
        :param machines: machines of the targets
        """
        runs: dict[str, list[str]] = {}
        for machine in machines:
            departed_s: dict[str, float] = {}
            for line in _read_ledger(folder / f"{machine.name}.ledger"):
                match line["event"]:
                    case "left":
                        departed_s[line["target"]] = line["at"]
                    case "run":
                        runs.setdefault(line["id"], []).append(line["target"])
                        self._check_run(machine, line, departed_s)
        known = {outcome.request_id for outcome in self.outcomes}
        for request_id in runs:
            if request_id.startswith("s") and request_id.partition(".")[0] not in known:
                self.violations.append(f"{request_id}: run, but not sent by any client")
        for outcome in self.outcomes:
            self._check_outcome(outcome, runs.get(outcome.request_id, []))
        self._check_answers(folder, machines)

    def _check_answers(self, folder: Path, machines: list[Machine]) -> None:
        """Check that what was accepted is answered, and nothing is done in vain."""
        by_name = {machine.name: machine for machine in machines}
        runs = read_runs(folder, machines)
        for outcome in [*self.outcomes, *read_calls(folder, machines)]:
            own_runs = runs.get(outcome.request_id, [])
            stalled_s = self._stalled_s_near(outcome.closed_s or 0.0)
            for text in (
                describe_loss(outcome, own_runs, by_name),
                describe_vain_work(outcome, own_runs, by_name, stalled_s),
            ):
                if text is not None:
                    self.violations.append(text)

    def check_accounts(
        self, folder: Path, machines: list[Machine], revoked_s: float | None
    ) -> None:
        """Check what ran with the keys of accounts.

        :param folder: folder of the ledgers
        :param machines: machines of the targets
        :param revoked_s: time at which the revocation of a key was acknowledged
        """
        runs = read_runs(folder, machines)
        requests = [
            KeyedRequest(
                outcome.request_id,
                outcome.key,
                outcome.status,
                [run.started_s for run in runs.get(outcome.request_id, [])],
            )
            for outcome in self.outcomes
            if outcome.key
        ]
        self.violations += account_violations(requests, revoked_s)

    def _stalled_s_near(self, at: float) -> float:
        return sum(stall_s for end_s, stall_s in self.stalls if abs(end_s - at) < 3.0)

    def _check_run(
        self, machine: Machine, line: dict[str, Any], departed_s: dict[str, float]
    ) -> None:
        is_split = line["path"].startswith(SPLIT_PATH)
        if not is_split and (
            line["path"].startswith("/maps/") != (machine.service == "maps")
        ):
            self.violations.append(
                f"{line['id']}: run by a target of {machine.service}"
            )
        if ".call" in line["id"] and line["caller"] != "jobs":
            self.violations.append(f"{line['id']}: unexpected caller {line['caller']}")
        at = float(line["at"])
        delay_s = at - departed_s.get(line["target"], at)
        # A frozen node or a faulty link may delay requests; that is no violation.
        if delay_s > DRAIN_S and not machine.may_be_affected_at(at):
            self.violations.append(f"{line['id']}: run {delay_s:.1f} s after departure")

    def _check_outcome(self, outcome: RequestOutcome, runs: list[str]) -> None:
        if outcome.once and len(runs) > 1:
            self.violations.append(f"{outcome.request_id}: run {len(runs)} times")
        if runs and outcome.status in NOT_RUN_STATUSES:
            self.violations.append(
                f"{outcome.request_id}: status {outcome.status}, but it was run"
            )
        size = len(ONCE_BODY) if outcome.once else 0
        if (
            outcome.status == 200
            and outcome.body != f"ran {outcome.request_id} {size}".encode()
        ):
            self.violations.append(
                f"{outcome.request_id}: unexpected body {outcome.body!r}"
            )
        if outcome.status == 404:
            self.violations.append(
                f"{outcome.request_id}: 404 on a route that all versions have"
            )


def _read_ledger(path: Path) -> list[dict[str, Any]]:
    if not path.exists():
        return []
    return [json.loads(line) for line in path.read_text().splitlines()]
