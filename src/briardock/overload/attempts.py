"""Attempts of one request at instances of its service, within one retry budget.

Load pattern: instances that reject, fail or are full, some of them or all
(``tests/test_overload_waiting.py``). What certainly has not run may go to another
instance; what may have run only if it is idempotent; and what failed for lack of
capacity further along the chain is not repeated, as that would add to the load there.
Nor is what failed while attempts further along the chain fail: these are repeated
there, at less cost.
"""

from dataclasses import dataclass
from enum import StrEnum

from briardock.mesh.members import NodeRecord
from briardock.overload.admission import OPEN_THRESHOLD
from briardock.overload.cost import Kind
from briardock.overload.placement import Balancer
from briardock.overload.retries import RetryBudget

# Largest number of instances tried for one request, including those that it never
# reached.
MAX_TRIED_INSTANCES = 6
# Instances that a request may leave because they have no free slot.
MAX_HAND_ONS = 2


@dataclass(frozen=True, slots=True)
class Succeeded:
    """The target ran the request and responded, not with a failure."""


@dataclass(frozen=True, slots=True)
class Busy:
    """The instance has no free slot; the request did not wait for one."""


@dataclass(frozen=True, slots=True)
class NotReached:
    """The request reached no target."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The target received the request and rejected it without running it."""


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The target failed, or its response was lost.

    :param responded: whether it responded that it failed
    """

    responded: bool


Outcome = Succeeded | Busy | NotReached | Rejected | MayHaveRun


class NoRetry(StrEnum):
    """Why a request that did not succeed is not repeated."""

    MAY_HAVE_RUN = "may-have-run"
    DOWNSTREAM = "downstream"
    ATTEMPTS = "attempts"
    BUDGET = "budget"


def has_room_elsewhere(balancer: Balancer, service: str, threshold: float) -> bool:
    """Return whether a busy instance may leave requests to others of its service.

    While the whole service is overloaded no other one has a free slot.

    :param balancer: knows the instances
    :param service: the service
    :param threshold: threshold of its least loaded instance
    """
    return threshold >= OPEN_THRESHOLD and balancer.has_alternatives(service)


class Attempts:
    """Attempts of one request.

    :param balancer: chooses instances
    :param budget: retry budget of the service
    :param service: service of the request
    :param idempotent: whether it may run more than once
    :param max_attempts: largest number of targets that may receive it
    :param kind: what tells requests of different cost apart
    """

    def __init__(
        self,
        balancer: Balancer,
        budget: RetryBudget,
        service: str,
        idempotent: bool,
        max_attempts: int,
        kind: Kind | None = None,
    ) -> None:
        self.arrivals = 0
        self.may_have_run = False
        self.no_retry: NoRetry | None = None
        self._balancer = balancer
        self._budget = budget
        self._service = service
        self._idempotent = idempotent
        self._max_attempts = max_attempts
        self.kind = kind
        self._tried_count = 0
        self._excluded: set[str] = set()
        self._busy: list[NodeRecord] = []

    def choose(self, now: float) -> NodeRecord | None:
        """Return the instance for the next attempt, or ``None``.

        An instance that was busy is chosen again only once none is left to try.

        :param now: current time in s since boot
        """
        if self._tried_count >= MAX_TRIED_INSTANCES:
            return None
        busy = self._busy
        tried = self._excluded
        if busy:
            tried = tried.union(record.node_id for record in busy)
        last_choice = busy if len(busy) >= MAX_HAND_ONS else None
        choose = self._balancer.choose
        kind = self.kind
        record = choose(self._service, tried, self._idempotent, now, last_choice, kind)
        if record is None and busy:
            tried = self._excluded
            record = choose(self._service, tried, self._idempotent, now, None, kind)
        return record

    def choose_again(self, now: float) -> NodeRecord | None:
        """Return any usable instance, including those tried before.

        :param now: current time in s since boot
        """
        return self._balancer.choose(
            self._service, set(), self._idempotent, now, None, self.kind
        )

    @property
    def may_hand_on(self) -> bool:
        """Whether the next instance may leave the request to another one."""
        return len(self._busy) < MAX_HAND_ONS

    def record(
        self,
        record: NodeRecord,
        outcome: Outcome,
        overloaded: bool,
        node_count: int,
        now: float,
    ) -> bool:
        """Record the outcome of an attempt; return whether to try another instance.

        :param record: instance that was tried
        :param outcome: what became of the attempt
        :param overloaded: whether the service or one that it calls is overloaded
        :param node_count: nodes that share the retry budget
        :param now: current time in s since boot
        """
        self._tried_count += 1
        if isinstance(outcome, Busy):
            self._busy.append(record)
            return True
        self._excluded.add(record.node_id)
        self._busy = [r for r in self._busy if r.node_id != record.node_id]
        match outcome:
            case NotReached():
                return True
            case Succeeded():
                self.arrivals += 1
                return False
            case MayHaveRun(responded):
                self.may_have_run = True
                if responded and (overloaded or self._budget.fails_downstream(now)):
                    self.arrivals += 1
                    self.no_retry = NoRetry.DOWNSTREAM
                    return False
        self.arrivals += 1
        if self.may_have_run and not self._idempotent:
            self.no_retry = NoRetry.MAY_HAVE_RUN
        elif self.arrivals >= self._max_attempts:
            self.no_retry = NoRetry.ATTEMPTS
        elif not self._budget.spend(node_count, now):
            self.no_retry = NoRetry.BUDGET
        return self.no_retry is None
