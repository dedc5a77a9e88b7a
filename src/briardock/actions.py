"""Action records of an issuer, which deduplicate requests by key."""

from collections import OrderedDict
from dataclasses import dataclass, field

import anyio

from briardock.budget import RetryBudget
from briardock.clock import Clock
from briardock.outcomes import Completed, NotRun, Outcome, Reason, Unknown

MAX_HELD_BYTES = 4 * 1024 * 1024
MAX_RECORDS = 50_000


@dataclass(slots=True)
class Action:
    """One action or child call that must run at most once.

    :param key: key in text form
    :param digest: digest of the request first seen with the key
    :param budget: retries left for the call chain, including resends
    :param expires_at_ms: time at which the record may be dropped
    :param outcome: ``None`` while it runs
    """

    key: str
    digest: str
    budget: RetryBudget
    expires_at_ms: float
    outcome: Outcome | None = None
    finished: anyio.Event = field(default_factory=anyio.Event)


@dataclass(frozen=True, slots=True)
class Started:
    """The caller of ``begin`` must run the action and call ``finish``."""

    action: Action


@dataclass(frozen=True, slots=True)
class InProgress:
    """An earlier request with the key is still running; wait for its outcome."""

    action: Action


@dataclass(frozen=True, slots=True)
class Finished:
    """The action has ended; its outcome is the response to the resend."""

    outcome: Outcome


BeginResult = Started | InProgress | Finished


class ActionTable:
    """Records of actions of one issuer.

    A record is kept until its key expires, since dropping it earlier would let a
    resend run a second time. When the table is full, new actions are refused.
    Only response bodies are dropped to save memory.

    :param clock: monotonic clock
    :param max_records: limit on the number of records
    :param max_held_bytes: limit on the total size of stored response bodies
    """

    def __init__(self, clock: Clock, max_records: int, max_held_bytes: int) -> None:
        self._clock = clock
        self._max_records = max_records
        self._max_held_bytes = max_held_bytes
        self._records: dict[str, Action] = {}
        self._bodies: OrderedDict[str, int] = OrderedDict()
        self.held_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def may_have_run(self, key: str) -> bool:
        """Return whether a key has a record and its outcome is not ``NotRun``.

        :param key: key in text form
        """
        action = self._records.get(key)
        return action is not None and not isinstance(action.outcome, NotRun)

    def begin(
        self, key: str, digest: str, budget: RetryBudget, expires_at_ms: float
    ) -> BeginResult:
        """Register a request and decide whether to run it, wait or respond at once.

        A resend after ``NotRun`` runs again if the retry budget of the action allows.

        :param key: key in text form
        :param digest: digest of the request
        :param budget: retry budget of a new action; a known action keeps its budget
        :param expires_at_ms: expiry of the key on this node's clock
        """
        action = self._records.get(key)
        if action is None:
            return self._add(key, digest, budget, expires_at_ms)
        if action.digest != digest:
            return Finished(
                NotRun(Reason.KEY_REUSED, "the key belongs to another request")
            )
        match action.outcome:
            case None:
                return InProgress(action)
            case NotRun():
                return self._restart(action)
            case outcome:
                return Finished(outcome)

    def finish(self, action: Action, outcome: Outcome) -> None:
        """Store the outcome and wake waiting resends.

        :param action: record returned by ``begin``
        :param outcome: final outcome
        """
        action.outcome = outcome
        action.finished.set()
        match outcome:
            case Completed(body=body) if body:
                self._track_body(action.key, len(body))

    def discard(self, key: str) -> None:
        """Drop the record of a child call whose parent has ended.

        :param key: key in text form
        """
        if self._records.pop(key, None) is not None:
            self._release_body(key)

    def expire(self) -> None:
        """Drop the records whose keys have expired."""
        now_ms = self._clock.now_ms()
        # Running actions are kept, so that their outcome can be recorded.
        expired = [
            key
            for key, action in self._records.items()
            if action.expires_at_ms <= now_ms and action.outcome is not None
        ]
        for key in expired:
            self.discard(key)

    def state(self) -> dict[str, int]:
        """Return counts for a state dump."""
        running = sum(action.outcome is None for action in self._records.values())
        return {
            "records": len(self._records),
            "running": running,
            "held_bytes": self.held_bytes,
        }

    def _add(
        self, key: str, digest: str, budget: RetryBudget, expires_at_ms: float
    ) -> BeginResult:
        if len(self._records) >= self._max_records:
            self.expire()
        if len(self._records) >= self._max_records:
            return Finished(NotRun(Reason.OVERLOADED, "the action table is full"))
        action = Action(key, digest, budget, expires_at_ms)
        self._records[key] = action
        return Started(action)

    def _restart(self, action: Action) -> BeginResult:
        if not action.budget.spend():
            return Finished(
                NotRun(Reason.BUDGET_SPENT, "the retry budget of the action is used up")
            )
        action.outcome = None
        action.finished = anyio.Event()
        return Started(action)

    def _track_body(self, key: str, size_bytes: int) -> None:
        self._bodies[key] = size_bytes
        self.held_bytes += size_bytes
        while self.held_bytes > self._max_held_bytes:
            oldest = next(iter(self._bodies))
            self._release_body(oldest)
            if (action := self._records.get(oldest)) is not None:
                action.outcome = Unknown(
                    Reason.ANSWER_DROPPED,
                    "the action completed; its response was dropped",
                )

    def _release_body(self, key: str) -> None:
        self.held_bytes -= self._bodies.pop(key, 0)


def make_action_table(
    clock: Clock,
    max_records: int = MAX_RECORDS,
    max_held_bytes: int = MAX_HELD_BYTES,
) -> ActionTable:
    """Return an empty table.

    :param clock: monotonic clock
    :param max_records: limit on the number of records
    :param max_held_bytes: limit on the total size of stored response bodies
    """
    return ActionTable(clock, max_records, max_held_bytes)
