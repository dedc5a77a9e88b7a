"""Open-loop load generator with a ledger of the results that callers received."""

import json
import random
import sys
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import anyio.abc
import defopt
import msgspec

from briardock.clock import Clock, SystemClock, make_random
from briardock.exceptions import BriardockError
from briardock_standins._client import HttpClient
from briardock_standins._http import (
    Address,
    AnswerMissing,
    ConnectFailed,
    Exchange,
    HttpRequest,
    HttpResponse,
    TimedOut,
    parse_address,
)
from briardock_standins._keystore import IssuedKey, KeyStore
from briardock_standins.ledger import LedgerWriter, Told
from briardock_standins.plans import ActionPlan, LoadPlan, Phase, read_plan
from briardock_standins.replay.command import replay
from briardock_standins.responses import failure_detail, is_matching_response


@dataclass(slots=True)
class ClassReport:
    """Counts of one operation class, and the latencies of succeeded actions."""

    sent: int = 0
    completed: int = 0
    succeeded: int = 0
    not_run: int = 0
    unknown: int = 0
    sends: int = 0
    latencies_ms: list[float] = field(default_factory=list)

    def summary(self) -> dict[str, float]:
        """Return the counts, and quantiles instead of the latencies."""
        ordered = sorted(self.latencies_ms)
        return {
            "sent": self.sent,
            "completed": self.completed,
            "succeeded": self.succeeded,
            "not_run": self.not_run,
            "unknown": self.unknown,
            "sends": self.sends,
            "p50_ms": round(quantile(ordered, 0.5), 2),
            "p99_ms": round(quantile(ordered, 0.99), 2),
        }


def quantile(ordered: list[float], share: float) -> float:
    """Return a quantile of sorted values, or 0.0 if there are none."""
    if not ordered:
        return 0.0
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def summarize(entries: list[Told]) -> dict[str, ClassReport]:
    """Return the report of each operation class in a caller ledger."""
    reports: dict[str, ClassReport] = defaultdict(ClassReport)
    first_send_ms: dict[str, float] = {}
    for entry in entries:
        report = reports[entry.class_name]
        report.sends += 1
        first_send_ms.setdefault(entry.action, entry.start_ms)
        if not entry.final:
            continue
        report.sent += 1
        report.completed += entry.outcome == "completed"
        report.not_run += entry.outcome == "not-run"
        report.unknown += entry.outcome == "unknown"
        if entry.succeeded:
            report.succeeded += 1
            report.latencies_ms.append(entry.end_ms - first_send_ms[entry.action])
    return dict(reports)


def arrivals(
    phases: tuple[Phase, ...], rate_per_s: float, rng: random.Random
) -> Iterator[float]:
    """Yield arrival times in s from the start, a Poisson process within each phase.

    :param phases: schedule
    :param rate_per_s: rate at multiple 1
    :param rng: random source
    """
    begin_s = 0.0
    for phase in phases:
        end_s = begin_s + phase.duration_s
        rate = rate_per_s * phase.multiple
        at_s = begin_s
        while rate > 0.0:
            at_s += rng.expovariate(rate)
            if at_s >= end_s:
                break
            yield at_s
        begin_s = end_s


class LoadGenerator:
    """Sends actions on a schedule that does not depend on responses.

    :param plan: schedule and mix of actions
    :param clock: time
    """

    def __init__(self, plan: LoadPlan, clock: Clock) -> None:
        self.plan = plan
        self.ledger = LedgerWriter(Path(plan.ledger) if plan.ledger else None)
        self._clock = clock
        self._rng = make_random(plan.seed)
        self._entries = [parse_address(entry) for entry in plan.entries]
        self._client = HttpClient(plan.source_host or None)
        self._keys = KeyStore(self._client, self._entries, clock)
        self._sequence = 0

    @property
    def results(self) -> list[Told]:
        """Return the results that callers received so far."""
        return [entry for entry in self.ledger.entries if isinstance(entry, Told)]

    async def run(self) -> list[Told]:
        """Run the schedule, wait for the last responses and return all results."""
        if any(action.keyed for action in self.plan.actions):
            await self._keys.fetch()
        weights = [action.weight for action in self.plan.actions]
        start_ms = self._clock.now_ms()
        async with anyio.create_task_group() as tasks:
            for at_s in arrivals(self.plan.phases, self.plan.rate_per_s, self._rng):
                wait_ms = start_ms + at_s * 1000.0 - self._clock.now_ms()
                if wait_ms > 0.0:
                    await anyio.sleep(wait_ms / 1000.0)
                action = self._rng.choices(self.plan.actions, weights)[0]
                tasks.start_soon(self.perform, action)
                if action.keyed and self._keys.is_low():
                    tasks.start_soon(self._keys.prefetch)
        await self.close()
        return self.results

    async def close(self) -> None:
        """Close the connections and the ledger file."""
        await self._client.close()
        self.ledger.close()

    async def perform(self, action: ActionPlan) -> Told:
        """Send one action with its resends and return the last result.

        :param action: action to send
        """
        self._sequence += 1
        action_id = f"a{self.plan.seed}-{self._sequence}"
        action = action.numbered(self._sequence)
        key = await self._keys.take() if action.keyed else None
        if action.keyed and key is None:
            return self._record_unsent(action_id, action)
        deadline_ms = self._clock.now_ms() + action.deadline_ms
        attempt = 0
        may_have_run = False
        while True:
            start_ms = self._clock.now_ms()
            exchange = await self._send(action_id, action, key, deadline_ms - start_ms)
            result = self._make_result(
                action_id, action, key, exchange, start_ms, attempt
            )
            if may_have_run and isinstance(exchange, ConnectFailed):
                # The resend reached no node, so an earlier attempt may still have run.
                result = msgspec.structs.replace(result, outcome="unknown")
            may_have_run = may_have_run or result.outcome == "unknown"
            resend_ms = self._clock.now_ms() + action.resend_delay_ms
            if (
                result.succeeded
                or attempt >= action.resends
                or resend_ms >= deadline_ms
            ):
                self.ledger.append(result)
                return result
            self.ledger.append(msgspec.structs.replace(result, final=False))
            attempt += 1
            await anyio.sleep(action.resend_delay_ms / 1000.0)

    async def _send(
        self,
        action_id: str,
        action: ActionPlan,
        key: IssuedKey | None,
        remaining_ms: float,
    ) -> Exchange:
        entry = self._choose_entry(key)
        headers = [(b"x-nonce", action_id.encode())]
        if not self.plan.direct:
            deadline = b"%d" % max(int(remaining_ms), 0)
            headers.append((b"briardock-deadline-ms", deadline))
        if key is not None:
            headers.append((b"idempotency-key", key.text.encode()))
        path = action.path if self.plan.direct else f"/{action.service}{action.path}"
        request = HttpRequest(action.method, path, tuple(headers), action.body.encode())
        timeout_ms = remaining_ms + self.plan.answer_grace_ms
        return await self._client.request(entry, request, timeout_ms)

    def _choose_entry(self, key: IssuedKey | None) -> Address:
        if key is not None and self._rng.random() >= self.plan.foreign_key_share:
            return key.issuer
        return self._rng.choice(self._entries)

    def _record_unsent(self, action_id: str, action: ActionPlan) -> Told:
        now_ms = self._clock.now_ms()
        result = Told(
            action=action_id,
            attempt=0,
            final=True,
            key="",
            operation=action.operation,
            class_name=action.class_name,
            outcome="not-run",
            reason="caller-without-key",
            status=0,
            body_ok=False,
            start_ms=now_ms,
            end_ms=now_ms,
        )
        self.ledger.append(result)
        return result

    def _make_result(
        self,
        action_id: str,
        action: ActionPlan,
        key: IssuedKey | None,
        exchange: Exchange,
        start_ms: float,
        attempt: int,
    ) -> Told:
        classified = _classify_exchange(exchange, action_id, action.body.encode())
        return Told(
            action=action_id,
            attempt=attempt,
            final=True,
            key=key.text if key is not None else "",
            operation=action.operation,
            class_name=action.class_name,
            outcome=classified.outcome,
            reason=classified.reason,
            status=classified.status,
            body_ok=classified.body_ok,
            start_ms=start_ms,
            end_ms=self._clock.now_ms(),
        )


@dataclass(frozen=True, slots=True)
class _Outcome:
    """Outcome of one send."""

    outcome: str
    reason: str = ""
    status: int = 0
    body_ok: bool = False


def _classify_exchange(exchange: Exchange, nonce: str, body: bytes) -> _Outcome:
    match exchange:
        case ConnectFailed(detail=detail):
            return _Outcome("not-run", f"caller-connect: {detail}")
        case AnswerMissing(detail=detail):
            return _Outcome("unknown", f"caller-lost: {detail}")
        case TimedOut():
            return _Outcome("unknown", "caller-timeout")
        case HttpResponse():
            return _classify_response(exchange, nonce, body)


def _classify_response(response: HttpResponse, nonce: str, body: bytes) -> _Outcome:
    """Return the outcome of a response.

    A target that is called directly sends no outcome header.
    """
    outcome = response.header("briardock-outcome")
    if not outcome:
        refused = response.header("briardock-not-run") == "1"
        outcome = "not-run" if refused else "completed"
    if outcome == "completed":
        body_ok = is_matching_response(response.body, nonce, body)
        reason = "" if response.status == 200 else failure_detail(response.body)
        return _Outcome(outcome, reason, response.status, body_ok)
    reason = failure_detail(response.body) or "unreadable-refusal"
    return _Outcome(outcome, reason, response.status)


async def run_load(plan: LoadPlan) -> list[Told]:
    """Run a load plan and return the results that callers received.

    :param plan: schedule and mix of actions
    """
    return await LoadGenerator(plan, SystemClock()).run()


def _command(
    plan: Path,
    *,
    entries: list[str] | None = None,
    rate_per_s: float = 0.0,
    ledger: Path | None = None,
    seed: int = -1,
) -> None:
    """Send open-loop load and print one JSON line with the report of each class.

    Options override the values of the plan.

    :param plan: JSON file with a load plan
    :param entries: host:port of the nodes to send to
    :param rate_per_s: mean arrivals per second at multiple 1
    :param ledger: file to append the caller ledger to
    :param seed: seed of arrivals and of the choice of actions and nodes
    """
    settings = read_plan(plan, LoadPlan)
    changes: dict[str, object] = {
        "entries": tuple(entries or ()),
        "rate_per_s": rate_per_s,
        "ledger": str(ledger) if ledger else "",
    }
    changes = {name: value for name, value in changes.items() if value}
    if seed >= 0:
        changes["seed"] = seed
    settings = msgspec.structs.replace(settings, **changes)
    results = anyio.run(run_load, settings, backend_options={"use_uvloop": True})
    reports = summarize(results)
    print(json.dumps({name: r.summary() for name, r in sorted(reports.items())}))


def main() -> None:
    """Run the command ``briardock-load``, or ``briardock-load replay``."""
    arguments = sys.argv[1:]
    try:
        if arguments[:1] == ["replay"]:
            defopt.run(replay, argv=arguments[1:])
        else:
            defopt.run(_command)
    except BriardockError as error:
        print(error, file=sys.stderr)
        sys.exit(error.exit_code)


if __name__ == "__main__":
    main()
