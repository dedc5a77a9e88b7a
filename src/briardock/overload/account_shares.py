"""Division of what an entry node admits between the accounts of its clients.

Load pattern: one account sends eight times its usual load during a burst of all
accounts (``tests/test_overload_account_shares.py``). With one share for all accounts
it takes room from the others in proportion to its demand.

Admission thresholds decide how much of a service and rank is admitted; this module
only divides it. The design is in ``docs/design/account-shares.md``.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from briardock.overload.returns import RETURN_START_SHARE, return_share

# The window of demand consists of whole parts and the current one: 28 to 35 control
# periods, 4.2 to 5.25 s. At a few requests a second, shorter windows cannot tell a hot
# account from one that happens to send two requests in a row.
PART_PERIODS = 7
WINDOW_PARTS = 5
# Weight that the recent demand keeps in each control period, and the standard
# deviations by which it has to exceed the window to replace it. It shows a hot account
# of tens of requests a second before the window does.
RECENT_KEPT = 0.8
SIGNIFICANT_DEVIATIONS = 2.0
# Share of the requests of any account that is admitted, by the share of all requests.
# The requirement is a quarter; the rest covers that shares differ between nodes.
MIN_RELATIVE_SHARE = 0.3
# Part of one request by which the demand of an account counts less. A request is part
# of the demand that decides on it, so that an account with one request in a minute
# would look as if it had one in each window.
OWN_REQUEST = 0.7
# Requests, and least number of control periods, over which a difference from the
# admitted total is made up for. Over fewer, the level of a node with three requests a
# second follows single requests.
CORRECTION_REQUESTS = 12
CORRECTION_PERIODS = 5
# Largest number of accounts of which a node knows the demand.
MAX_ACCOUNTS = 512
# Share of them that is dropped, those with the least demand first, once all are used.
DROPPED_SHARE = 0.25

ServiceRank = tuple[str, int]


@dataclass(frozen=True, slots=True)
class AccountDemand:
    """Demand of one account in a window.

    :param first: first attempts
    :param returns: returns of requests that were refused
    :param weight: weight of the account
    """

    first: float
    returns: float
    weight: float = 1.0

    @property
    def total(self) -> float:
        """Number of all attempts."""
        return self.first + self.returns


def water_level(
    demands: Iterable[AccountDemand], capacity: float, min_share: float
) -> float:
    """Return the max-min fair number of requests to admit for each unit of weight.

    An account gets its demand if that is lower, and no less than a minimum share of
    its first attempts. The level is infinite if the capacity suffices for all.

    :param demands: demands of the accounts
    :param capacity: number of requests to admit
    :param min_share: share of the first attempts of each account to admit
    """
    admitted = 0.0
    # Levels at which an account begins and ceases to gain by a higher level.
    changes = []
    for demand in demands:
        least = min_share * demand.first
        admitted += least
        changes.append((least / demand.weight, demand.weight))
        changes.append((demand.total / demand.weight, -demand.weight))
    if capacity <= admitted:
        return 0.0
    level = slope = 0.0
    for position, change in sorted(changes):
        gained = slope * (position - level)
        if slope > 0.0 and admitted + gained >= capacity:
            return level + (capacity - admitted) / slope
        admitted += gained
        level = position
        slope += change
    return math.inf


def first_attempt_share(first: float, returns: float, allotment: float) -> float:
    """Return the share of an account's first attempts to admit, from 0 to 1.

    With the returns that :func:`return_share` admits it uses up the allotment.

    :param first: first attempts of the account
    :param returns: its returns
    :param allotment: number of its requests to admit
    """
    if allotment >= first + returns:
        return 1.0
    if allotment <= 0.0:
        return 0.0
    if allotment <= RETURN_START_SHARE * first:
        return allotment / first
    slope = returns / (1.0 - RETURN_START_SHARE)
    return (allotment + RETURN_START_SHARE * slope) / (first + slope)


@dataclass(slots=True, eq=False)
class _Meter:
    """Demand of one account in the window.

    :param weight: weight of the account
    :param parts: first attempts and returns by part of the window, the newest last
    :param first: their sum of first attempts
    :param returns: their sum of returns
    :param recent: requests, each weighted by its age
    """

    weight: float = 1.0
    parts: list[list[int]] = field(default_factory=lambda: [[0, 0]])
    first: int = 0
    returns: int = 0
    recent: float = 0.0

    def record(self, is_return: bool) -> None:
        self.parts[-1][is_return] += 1
        self.recent += 1.0
        if is_return:
            self.returns += 1
        else:
            self.first += 1

    def start_part(self) -> None:
        if len(self.parts) == WINDOW_PARTS:
            first, returns = self.parts.pop(0)
            self.first -= first
            self.returns -= returns
        self.parts.append([0, 0])

    def absorb(self, other: "_Meter") -> None:
        """Add the demand of an account that is no longer known by itself."""
        missing = len(other.parts) - len(self.parts)
        self.parts[:0] = [[0, 0] for _ in range(missing)]
        for age, (first, returns) in enumerate(reversed(other.parts), 1):
            self.parts[-age][0] += first
            self.parts[-age][1] += returns
        self.first += other.first
        self.returns += other.returns
        self.recent += other.recent

    def factor(self, recent_scale: float) -> float:
        """Return the ratio of the demand to the requests in the window."""
        significant = self.recent - SIGNIFICANT_DEVIATIONS * math.sqrt(self.recent)
        total = self.first + self.returns
        return max(total - OWN_REQUEST, significant * recent_scale) / total

    def demand(self, recent_scale: float) -> AccountDemand:
        factor = self.factor(recent_scale)
        return AccountDemand(factor * self.first, factor * self.returns, self.weight)


class _Division:
    """Division of the admitted requests of one service and rank."""

    def __init__(self) -> None:
        self.accounts: dict[str, _Meter] = {}
        self.others = _Meter()
        # Control periods that the window covers, by part, and those that the recent
        # demand amounts to.
        self._part_periods = [1]
        self._recent_periods = 1.0
        self._share = 1.0
        self._level: float | None = None
        # Requests by which the admitted ones fall short of the total.
        self._shortfall = 0.0

    @property
    def _recent_scale(self) -> float:
        return sum(self._part_periods) / self._recent_periods

    def decide(self, meter: _Meter, is_return: bool, share: float) -> float:
        """Return the share of first attempts to admit for an account."""
        self._share = share
        if self._level is None or not 0.0 < share < 1.0:
            return share
        factor = meter.factor(self._recent_scale)
        first, returns = factor * meter.first, factor * meter.returns
        least = MIN_RELATIVE_SHARE * share * first
        allotment = max(least, meter.weight * self._level * share)
        account_share = first_attempt_share(first, returns, allotment)
        if is_return:
            self._shortfall += return_share(share) - return_share(account_share)
        else:
            self._shortfall += share - account_share
        return account_share

    def update(self) -> None:
        """Set the level by the demand in the window, and age the demand."""
        self._level = self._compute_level()
        self._recent_periods = 1.0 + RECENT_KEPT * self._recent_periods
        meters = [*self.accounts.values(), self.others]
        for meter in meters:
            meter.recent *= RECENT_KEPT
        if self._part_periods[-1] < PART_PERIODS:
            self._part_periods[-1] += 1
            return
        self._part_periods = [*self._part_periods[1 - WINDOW_PARTS :], 1]
        for meter in meters:
            meter.start_part()
        self.accounts = {
            name: meter
            for name, meter in self.accounts.items()
            if meter.first or meter.returns
        }

    def _compute_level(self) -> float | None:
        """Return the level divided by the share of all requests.

        It is ``None`` if there is nothing to divide.
        """
        share = self._share
        if not 0.0 < share < 1.0:
            self._shortfall = 0.0
            return None
        scale = self._recent_scale
        demands = [
            meter.demand(scale)
            for meter in (*self.accounts.values(), self.others)
            if meter.first or meter.returns
        ]
        if not demands:
            return None
        first = sum(demand.first for demand in demands)
        returns = sum(demand.returns for demand in demands)
        capacity = share * first + return_share(share) * returns
        # Estimates of demand are late and vary, and the total must not.
        per_request = min(
            sum(self._part_periods) / CORRECTION_PERIODS,
            (first + returns) / CORRECTION_REQUESTS,
        )
        limit = capacity / per_request
        self._shortfall = max(-limit, min(limit, self._shortfall))
        capacity += per_request * self._shortfall
        return water_level(demands, capacity, MIN_RELATIVE_SHARE * share) / share


class AccountShares:
    """Shares of the accounts at one entry node, by service and rank."""

    def __init__(self) -> None:
        self._divisions: dict[ServiceRank, _Division] = {}
        self._account_count = 0

    def decide(
        self,
        key: ServiceRank,
        account: str,
        is_return: bool,
        share: float,
        weight: float = 1.0,
    ) -> float:
        """Count a request; return the share of first attempts to admit for its account.

        :param key: service and rank of the request
        :param account: name of its account, empty without one
        :param is_return: whether it returns after it was refused
        :param share: share of the first attempts of all accounts to admit
        :param weight: weight of the account
        """
        division = self._divisions.get(key)
        if division is None:
            division = self._divisions[key] = _Division()
        meter = division.accounts.get(account)
        if meter is None:
            if self._account_count < MAX_ACCOUNTS:
                self._account_count += 1
                meter = division.accounts[account] = _Meter(weight)
            else:
                meter = division.others
        meter.record(is_return)
        return division.decide(meter, is_return, share)

    def update(self) -> None:
        """Divide anew after a control period, by the demand of the last seconds."""
        if not self._divisions:
            return
        for division in self._divisions.values():
            division.update()
        self._divisions = {
            key: division
            for key, division in self._divisions.items()
            if division.accounts or division.others.first or division.others.returns
        }
        self._account_count = sum(len(d.accounts) for d in self._divisions.values())
        if self._account_count == MAX_ACCOUNTS:
            self._drop_least()

    def _drop_least(self) -> None:
        """Move the accounts with the least demand to the others.

        A hot account that appears while the table is full would otherwise be one of
        the others, which would lose by it.
        """
        known = [
            (meter.first + meter.returns, key, name)
            for key, division in self._divisions.items()
            for name, meter in division.accounts.items()
        ]
        known.sort()
        for _, key, name in known[: int(DROPPED_SHARE * MAX_ACCOUNTS)]:
            division = self._divisions[key]
            division.others.absorb(division.accounts.pop(name))
            self._account_count -= 1
