"""Simulated time for the shares of accounts: entry nodes, callers and one target."""

import heapq
import itertools
import random
from collections import Counter, deque
from dataclasses import dataclass, field

from briardock.overload.admission import (
    CONTROL_PERIOD_S,
    OPEN_THRESHOLD,
    TargetThreshold,
    Usage,
)
from briardock.overload.entry import Admitted, EntryAdmission, EntryRequest, TurnedAway

DEADLINE_S = 5.0
# Time from a request at its entry to the target, and from there to the entries, s.
REACH_S = 0.3
USUAL_S = 10.0


@dataclass(frozen=True)
class Load:
    """Load pattern; all times are s since the start.

    :param nodes: number of entry nodes
    :param accounts: number of accounts
    :param per_s: usual requests a second of each account at each node
    :param burst: factor on the demand of all accounts from second 10 on
    :param hot: factor on the demand of account 0
    :param hot_from_s: from when on
    :param hot_until_s: until when
    :param capacity: requests that the target bears, by the usual demand
    :param share: share of the requests that all nodes admit, ``None`` if the control
        loop of the target sets it
    :param attempts: attempts of a caller, who comes back at the time that it is told
    :param impatient_attempts: attempts of a caller of account 0 who comes back within
        0.2 s each time, 0 if these callers are as others
    :param end_s: length of the run
    :param names: whether the configuration has accounts
    """

    nodes: int = 8
    accounts: int = 10
    per_s: float = 0.3
    burst: float = 1.0
    hot: float = 1.0
    hot_from_s: float = USUAL_S
    hot_until_s: float = 1_000.0
    capacity: float = 1.2
    share: float | None = None
    attempts: int = 2
    impatient_attempts: int = 0
    end_s: float = 50.0
    names: bool = True

    def rate_per_s(self, account: int, now: float) -> float:
        """Return the demand of an account at one node."""
        rate = self.per_s * (self.burst if now >= USUAL_S else 1.0)
        if account == 0 and self.hot_from_s <= now < self.hot_until_s:
            rate *= self.hot
        return rate


@dataclass
class Outcomes:
    """Counts from a second on, by account."""

    offered: Counter[int] = field(default_factory=Counter)
    served: Counter[int] = field(default_factory=Counter)

    def served_of(self, accounts: range) -> int:
        """Return how many callers of accounts were served."""
        return sum(self.served[account] for account in accounts)

    def share(self, *accounts: int) -> float:
        """Return the share of the callers of accounts that were served, of all if
        none is named.
        """
        chosen = accounts or tuple(self.offered)
        offered = sum(self.offered[account] for account in chosen)
        return sum(self.served[account] for account in chosen) / offered


class Simulation:
    """Replays a load in steps of a control period.

    :param load: load pattern
    :param seed: seed of the demand and of the choices
    """

    def __init__(self, load: Load, seed: int) -> None:
        self.load = load
        self._rng = random.Random(seed)
        self.nodes = [
            EntryAdmission(random.Random(seed + n)) for n in range(load.nodes)
        ]
        self._numbers = itertools.count()
        self._target = TargetThreshold()
        self._queued = 0.0
        delay = round(REACH_S / CONTROL_PERIOD_S)
        self._thresholds = deque([OPEN_THRESHOLD] * delay, delay)
        self._arrivals = deque([0] * delay, delay)
        # Returns by time: number, node, account, first time, attempt.
        self._returns: list[tuple[float, int, int, int, float, int]] = []

    def play(self, from_s: float = USUAL_S, until_s: float = 1_000.0) -> Outcomes:
        """Return the outcomes of the callers that first came within a time."""
        outcomes = Outcomes()
        for step in range(round(self.load.end_s / CONTROL_PERIOD_S)):
            now = step * CONTROL_PERIOD_S
            admitted = 0
            for at_s, node, account, first_s, attempt in self._requests(now):
                counts = from_s <= first_s < until_s
                if counts and attempt == 1:
                    outcomes.offered[account] += 1
                decision = self._decide(node, account, at_s - first_s)
                if isinstance(decision, Admitted):
                    admitted += 1
                    outcomes.served[account] += counts
                    continue
                assert isinstance(decision, TurnedAway)
                self._come_back(decision, at_s, node, account, first_s, attempt)
            for entry in self.nodes:
                entry.update_rates()
            self._control(admitted)
        return outcomes

    def _requests(self, now: float) -> list[tuple[float, int, int, float, int]]:
        """Return the requests of a period, in order of time."""
        load, rng, end_s = self.load, self._rng, now + CONTROL_PERIOD_S
        found = []
        for account in range(load.accounts):
            rate_per_s = load.nodes * load.rate_per_s(account, now)
            at_s = now + rng.expovariate(rate_per_s)
            while at_s < end_s:
                found.append((at_s, rng.randrange(load.nodes), account, at_s, 1))
                at_s += rng.expovariate(rate_per_s)
        while self._returns and self._returns[0][0] < end_s:
            at_s, _, node, account, first_s, attempt = heapq.heappop(self._returns)
            found.append((at_s, node, account, first_s, attempt))
        return sorted(found)

    def _decide(self, node: int, account: int, age_s: float) -> Admitted | TurnedAway:
        name = f"a{account}" if self.load.names else None
        request_id = self._rng.randbytes(8)
        request = EntryRequest(
            request_id, "r", "jobs", 0, 1.5, DEADLINE_S - age_s, age_s, name
        )
        threshold = self.load.share or self._thresholds[0]
        return self.nodes[node].decide(request, threshold)

    def _come_back(
        self,
        decision: TurnedAway,
        now: float,
        node: int,
        account: int,
        first_s: float,
        attempt: int,
    ) -> None:
        wait_s, attempts = decision.retry_after_s, self.load.attempts
        if account == 0 and self.load.impatient_attempts:
            wait_s = 0.2 * self._rng.random()
            attempts = self.load.impatient_attempts
        if attempt < attempts:
            number = next(self._numbers)
            item = (now + wait_s, number, node, account, first_s, attempt + 1)
            heapq.heappush(self._returns, item)

    def _control(self, admitted: int) -> None:
        """Update the threshold by what reached the target."""
        load = self.load
        arrivals = self._arrivals[0]
        self._arrivals.append(admitted)
        capacity_per_s = load.capacity * load.nodes * load.accounts * load.per_s
        work = self._queued + arrivals
        self._queued = max(0.0, work - capacity_per_s * CONTROL_PERIOD_S)
        usage = Usage(CONTROL_PERIOD_S, arrivals, capacity_per_s, int(self._queued))
        self._target.update(usage, 1.0)
        self._thresholds.append(self._target.value)
