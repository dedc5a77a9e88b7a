"""Quotas of client accounts over all nodes together: the decisions of one node.

Each admission occupies a slot for one window. An account has as many slots as its
limit admits in a window, and each node owns an equal part of them, in whole slots. A
node lends unused slots as grants that expire soon after; it uses a lent slot again only
one window after the grant has expired. The bound therefore holds whatever messages are
lost and whatever the other nodes know; shares of the rate only pace the use of the
slots. ``docs/design/quotas.md`` gives the reasons.
"""

import math
from dataclasses import dataclass

from briardock.overload.quota_limits import DEMAND_TIME_S, QuotaLimit, QuotaSettings
from briardock.overload.quota_messages import AccountReport, NodeReport, NodeTotals
from briardock.overload.quota_slots import (
    GRANT_LIFETIME_S,
    BusySlots,
    Grants,
    own_slots,
)

# Rise of the demand that counts at once: the estimate varies that much.
MAX_RISE = 1.5
# Time after which other nodes have been told of a demand, s.
TOLD_TIME_S = 0.35
# Time without requests after which an account is no longer reported, s.
ACTIVE_TIME_S = 5.0
# Time without requests after which the state of an account is dropped, s. It exceeds
# the window and the lifetime of a grant.
RETENTION_S = 60.0
# Time for whose demand a node keeps own slots, s, the time for which it borrows, and
# the requests added to both. Borrowed slots must be used before they expire.
KEPT_TIME_S = 1.2
BORROWED_TIME_S = 0.9
EXTRA_REQUESTS = 1.2
# Requests that a node may admit at once while the total demand is within the rate:
# single requests arrive unevenly at a node with a small share.
UNEVEN_REQUESTS = 8.0
# Sum of the shares in relation to the rate while the demand exceeds it: some nodes
# receive less than their share.
PACE_RATIO = 1.02
# Requests that a node may always admit at once. With 2, nodes that waited for a slot
# lost tokens: an account without burst got 0.945 of its limit at 300 nodes, not 0.96.
MIN_DEPTH = 3.0
# Time for whose admissions it may always admit at once, s: random arrivals at the rate
# would otherwise lose a part of it.
EVENNESS_TIME_S = 0.2
# Age up to which totals are relied on, s.
TOTALS_LIFETIME_S = 1.5
# Time after a start in which the demand is only observed, s. The estimates of all nodes
# may begin anew with it, and do not show yet that an account is over its rate.
OBSERVATION_TIME_S = 1.5
# Requests in a window that a node may admit beyond its part, of an account whose demand
# is within its rate. The part of a small account may be less than one request.
UNLIMITED_SLOTS = 4.0
# Shortest and longest time after which a refused request may come again, s.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 5.0


@dataclass(frozen=True, slots=True)
class WithinQuota:
    """The request is admitted and counted."""


@dataclass(frozen=True, slots=True)
class OverQuota:
    """The request exceeds the quota.

    :param retry_after_s: time after which it would be admitted
    """

    retry_after_s: float


WITHIN_QUOTA = WithinQuota()


class _AccountState:
    """Slots and pace of one account at one node."""

    def __init__(
        self, limit: QuotaLimit, settings: QuotaSettings, node_count: int, now: float
    ) -> None:
        self.set_limit(limit, settings)
        self.used = BusySlots()
        self.lent = BusySlots()
        # Granted slots that make up for own ones used beyond the part of the node.
        self.repaid = BusySlots()
        self.arrivals = 0
        self.demand_per_s = 0.0
        self.reported_per_s = 0.0
        # Demand that was reported a report period ago.
        self.told_per_s = 0.0
        self.told_s = now
        self.measured_s = now
        self.last_arrival_s = -math.inf
        self.lend_ratio = 0.0
        self.touched_s = now
        self.refilled_s = now
        self.rate_per_s = limit.rate_per_s / node_count
        self.depth = max(UNEVEN_REQUESTS, limit.burst / node_count)
        self.tokens = self.depth
        # Latest time that a refused request was told.
        self.promised_s = 0.0
        # Whether the total demand is near the rate or above it.
        self.is_limited = False

    def promise_s(self, now: float) -> float:
        """Return the time of a token that no refused request was told of before."""
        rate_per_s = max(self.rate_per_s, 1e-6)
        next_s = now + (1.0 - self.tokens) / rate_per_s
        promised_s = max(next_s, self.promised_s + 1.0 / rate_per_s)
        self.promised_s = min(promised_s, now + MAX_RETRY_AFTER_S)
        return self.promised_s

    def set_limit(self, limit: QuotaLimit, settings: QuotaSettings) -> None:
        self.limit = limit
        self.tag = limit.tag
        self.slots = settings.slots(limit, is_starting=False)
        self.starting_slots = settings.slots(limit, is_starting=True)
        # Those granted under another limit must not be used.
        self.grants = Grants()

    def advance(self, now: float) -> None:
        self.grants.expire(now)
        self.used.expire(now)
        self.lent.expire(now)
        self.repaid.expire(now)
        elapsed_s = now - self.refilled_s
        self.tokens = min(self.depth, self.tokens + elapsed_s * self.rate_per_s)
        self.refilled_s = now

    def measure(self, now: float) -> None:
        """Update the estimate of the demand."""
        elapsed_s = now - self.measured_s
        if elapsed_s <= 0.0:
            return
        weight = 1.0 - math.exp(-elapsed_s / DEMAND_TIME_S)
        self.demand_per_s += weight * (self.arrivals / elapsed_s - self.demand_per_s)
        self.arrivals = 0
        self.measured_s = now

    def set_pace(self, total_per_s: float, node_count: int) -> None:
        """Set the share of the rate, by the demand that was reported."""
        rate_per_s, burst = self.limit.rate_per_s, self.limit.burst
        # A rise counts once other nodes have been told.
        own_per_s = min(self.reported_per_s, MAX_RISE * self.told_per_s)
        total_per_s = max(total_per_s, own_per_s)
        if total_per_s < rate_per_s:
            unused_per_s = rate_per_s - total_per_s
            self.rate_per_s = own_per_s + unused_per_s / node_count
        else:
            self.rate_per_s = PACE_RATIO * rate_per_s * own_per_s / total_per_s
        at_once = burst + EVENNESS_TIME_S * rate_per_s
        self.depth = MIN_DEPTH + at_once * self.rate_per_s / rate_per_s
        self.is_limited = self.limit.is_exceeded_by(total_per_s)
        if not self.is_limited:
            self.depth = max(self.depth, UNEVEN_REQUESTS)
        self.tokens = min(self.tokens, self.depth)


class QuotaKeeper:
    """Admits requests of accounts at one node, and exchanges slots with others.

    :param node_id: name of the node
    :param settings: bound on the admissions in a window
    :param started_s: start of the process, in s since boot
    """

    def __init__(self, node_id: str, settings: QuotaSettings, started_s: float) -> None:
        self._node_id = node_id
        self._settings = settings
        self._started_s = started_s
        # Time from which no slot that an earlier process used or lent is in use.
        self._steady_s = started_s + settings.window_s + GRANT_LIFETIME_S
        self._accounts: dict[str, _AccountState] = {}
        self._limits: dict[str, QuotaLimit] = {}
        self._tags: dict[str, int] = {}
        self._stamps_s: dict[str, float] = {}
        # Aggregator that asked for slots which the next report lends.
        self._lends_to = ""
        # Accounts whose demand exceeds their rate, and the time of the report to which
        # the totals of all domains responded.
        self._limited: frozenset[str] = frozenset()
        self._complete_s = -math.inf
        self.node_count = 1
        # Number of nodes before this one in the order that all nodes share.
        self.node_rank: int | None = None
        # Whether all nodes have been learned of since the start.
        self.knows_nodes = True
        # Whether a report is due at once.
        self.is_urgent = False

    def set_limits(self, limits: dict[str, QuotaLimit]) -> None:
        """Set the limits of all accounts that have one.

        :param limits: limits by account
        """
        self._limits = limits
        self._tags = {account: limit.tag for account, limit in limits.items()}
        for account, state in self._accounts.items():
            limit = limits.get(account)
            if limit is not None and limit != state.limit:
                self._change_limit(state, limit)

    def _change_limit(self, state: _AccountState, limit: QuotaLimit) -> None:
        state.set_limit(limit, self._settings)
        state.set_pace(state.reported_per_s * self.node_count, self.node_count)

    def _state(self, account: str, limit: QuotaLimit, now: float) -> _AccountState:
        state = self._accounts.get(account)
        if state is None:
            state = _AccountState(limit, self._settings, self.node_count, now)
            self._accounts[account] = state
        elif state.limit is not limit and state.limit != limit:
            self._change_limit(state, limit)
        return state

    def _own_free(self, state: _AccountState, now: float) -> float:
        part: float = self._part(state)
        if now < self._steady_s:
            # Grows with the age, so that several starts in one window use no more.
            age_ratio = min(1.0, (now - self._started_s) / self._settings.window_s)
            slots = state.starting_slots * age_ratio if self.knows_nodes else 0.0
            part = slots / self.node_count
        busy = state.used.amount + state.lent.amount
        return max(0.0, part - busy)

    def _part(self, state: _AccountState) -> int:
        """Return the slots that the node owns, the fewest if its rank is not known."""
        rank = self.node_count - 1 if self.node_rank is None else self.node_rank
        return own_slots(state.slots, self.node_count, rank)

    def _free(self, account: str, state: _AccountState, now: float) -> float:
        """Return the slots that the node may use without a grant.

        While the totals of all domains show that the demand of an account is within its
        rate, the parts of the nodes need not add up to its slots. The tolerance covers
        what is admitted until the totals show that it no longer is.
        """
        is_known = (
            now - self._complete_s < TOTALS_LIFETIME_S
            and now - self._started_s > OBSERVATION_TIME_S
        )
        if not is_known or account in self._limited:
            return self._own_free(state, now)
        part = self._part(state) + UNLIMITED_SLOTS
        return max(0.0, part - state.used.amount)

    def _overused(self, state: _AccountState) -> float:
        """Return the slots that were used beyond the part of the node."""
        part = self._part(state)
        busy = state.used.amount + state.lent.amount - state.repaid.amount
        return max(0.0, busy - part)

    def decide(
        self, account: str, limit: QuotaLimit, now: float
    ) -> WithinQuota | OverQuota:
        """Decide about a request, and count it if it is admitted.

        :param account: name of the account
        :param limit: limit of the account
        :param now: current time in s since boot
        """
        state = self._state(account, limit, now)
        state.advance(now)
        state.arrivals += 1
        state.last_arrival_s = state.touched_s = now
        own_free = self._free(account, state, now)
        available = state.grants.amount + own_free
        is_unusual = not state.is_limited and state.tokens < 0.5 * state.depth
        needed = EXTRA_REQUESTS + BORROWED_TIME_S * state.rate_per_s
        if is_unusual or available < needed:
            self.is_urgent = True
        if state.tokens < 1.0:
            return OverQuota(_clamped(state.promise_s(now) - now))
        if available < 1.0 - 1e-9:
            free_s = [s.first_free_s for s in (state.used, state.lent) if s.amount]
            return OverQuota(_clamped(min(free_s, default=now + 1.0) - now))
        state.tokens -= 1.0
        granted = sum(part for part, _ in state.grants.take(1.0, now))
        if granted < 1.0:
            state.used.add(1.0 - granted, now + self._settings.window_s)
        return WITHIN_QUOTA

    def record_refund(self, account: str, now: float) -> None:
        """Record that an admitted request has not reached a target.

        The oldest slot becomes free: it would have been free first, so that the
        remaining slots are not free too early, whichever request it was.

        :param account: name of the account
        :param now: current time in s since boot
        """
        state = self._accounts.get(account)
        if state is not None:
            state.advance(now)
            state.used.free_oldest(1.0)
            state.tokens = min(state.depth, state.tokens + 1.0)

    def report(self, aggregator_id: str, now: float) -> NodeReport:
        """Return the report to an aggregator.

        Slots are lent only to the aggregator that asked for them last, whose stamp
        dates them by its own clock.

        :param aggregator_id: name of its node
        :param now: current time in s since boot
        """
        self.is_urgent = False
        lends = self._lends_to == aggregator_id
        self._lends_to = ""
        reports = []
        for account, state in list(self._accounts.items()):
            state.advance(now)
            state.measure(now)
            ratio, state.lend_ratio = state.lend_ratio, 0.0
            if now - state.touched_s > RETENTION_S:
                del self._accounts[account]
                continue
            if now - state.last_arrival_s > ACTIVE_TIME_S:
                state.demand_per_s = 0.0
                if not (lends and ratio):
                    continue
            report = self._account_report(account, state, now)
            if lends and ratio:
                # Grants are not lent on: their expiry was set by another clock.
                report.lent = min(report.spare, self._own_free(state, now)) * ratio
                if report.lent > 0.0:
                    busy_s = GRANT_LIFETIME_S + self._settings.window_s
                    state.lent.add(report.lent, now + busy_s)
                    state.touched_s = now
                    report.spare -= report.lent
            reports.append(report)
        stamp_s = self._stamps_s.get(aggregator_id, 0.0)
        return NodeReport(self._node_id, stamp_s, reports)

    def _account_report(
        self, account: str, state: _AccountState, now: float
    ) -> AccountReport:
        available = self._own_free(state, now) + state.grants.amount
        usable = self._free(account, state, now) + state.grants.amount
        is_limited = account in self._limited
        overused = self._overused(state) if is_limited else 0.0
        kept = borrowed = 0.0
        if now - state.last_arrival_s <= ACTIVE_TIME_S:
            paced_per_s = min(state.demand_per_s, state.rate_per_s)
            kept = EXTRA_REQUESTS + KEPT_TIME_S * paced_per_s
            borrowed = EXTRA_REQUESTS + BORROWED_TIME_S * paced_per_s
        if now - state.told_s >= TOLD_TIME_S:
            state.told_per_s, state.told_s = state.reported_per_s, now
        state.reported_per_s = state.demand_per_s
        return AccountReport(
            account,
            state.tag,
            state.demand_per_s,
            ask=max(0.0, borrowed - usable) + overused,
            spare=max(0.0, available - kept),
        )

    def apply(
        self, totals: NodeTotals, aggregator_id: str, sent_s: float, now: float
    ) -> bool:
        """Apply the response to a report; return whether to report again at once.

        :param totals: the response
        :param aggregator_id: name of the node that sent it
        :param sent_s: time at which the report was sent
        :param now: current time in s since boot
        """
        self._stamps_s = {aggregator_id: totals.stamp_s}
        self._limited = frozenset(totals.limited)
        if totals.is_complete:
            self._complete_s = sent_s
        is_asked = False
        for item in totals.accounts:
            if self._tags.get(item.account) != item.tag:
                continue
            state = self._state(item.account, self._limits[item.account], now)
            state.advance(now)
            state.set_pace(item.demand_per_s, self.node_count)
            for amount, remaining_s in item.granted:
                repaid = min(amount, self._overused(state))
                state.repaid.add(repaid, now + self._settings.window_s)
                state.grants.add(amount - repaid, sent_s + remaining_s)
            state.lend_ratio = min(1.0, item.lend_ratio)
            if state.lend_ratio and self._own_free(state, now) > 0.0:
                is_asked = True
        self._lends_to = aggregator_id if is_asked else ""
        return is_asked


def _clamped(retry_after_s: float) -> float:
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s))
