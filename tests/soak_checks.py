"""Checks of a soak run on the observations of clients and targets."""

import json
from dataclasses import dataclass, field
from pathlib import Path

from soak_machines import Machine
from soak_programs import DRAIN_S

# Statuses that guarantee that a request was not run and will not be.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Body of a non-idempotent request, which must run at most once.
ONCE_BODY = b"x" * 100


@dataclass(slots=True)
class RequestOutcome:
    """Outcome of one request as seen by the client.

    :param request_id: id of the request
    :param once: whether it is non-idempotent and must run at most once
    :param node: node that received it
    :param status: status of the response, 0 for none
    :param body: body of the response
    :param elapsed_s: time until the response or the failure
    """

    request_id: str
    once: bool
    node: str
    status: int
    body: bytes
    elapsed_s: float


@dataclass(slots=True)
class SoakResults:
    """Outcomes seen by clients, and violations of the guarantees."""

    outcomes: list[RequestOutcome] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)

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

    def _check_run(
        self, machine: Machine, line: dict[str, str], departed_s: dict[str, float]
    ) -> None:
        if line["path"].startswith("/maps/") != (machine.service == "maps"):
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
        if outcome.once and runs and outcome.status in NOT_RUN_STATUSES:
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


def _read_ledger(path: Path) -> list[dict[str, str]]:
    if not path.exists():
        return []
    return [json.loads(line) for line in path.read_text().splitlines()]
