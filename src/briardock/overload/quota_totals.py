"""Quotas of client accounts: totals and grants at the aggregator of a failure domain.

An aggregator only passes on slots that nodes have lent. If it is lost, or if a domain
has two of them for a while, slots stay unused until their owners use them again.
"""

from dataclasses import dataclass, field

from briardock.overload.quota import TOTALS_LIFETIME_S
from briardock.overload.quota_limits import QuotaLimit, QuotaSettings
from briardock.overload.quota_messages import (
    AccountReport,
    AccountTotals,
    DomainAccount,
    DomainReport,
    NodeReport,
    NodeTotals,
)
from briardock.overload.quota_slots import GRANT_LIFETIME_S, Grants

# Age above which the report of a node no longer counts, s.
NODE_LIFETIME_S = 2.0
# Time for which an ask of another domain counts, s, and for which lent slots are
# expected after they were asked for.
ASK_LIFETIME_S = 0.9
EXPECTED_TIME_S = 0.4
# Remaining lifetime below which slots are not granted, s.
MIN_REMAINING_S = 0.15
# Number of lacking slots below which nodes are not asked to lend.
MIN_LACKING = 0.01
# Growth of the demand of a domain after which other domains are told at once.
URGENT_GROWTH = 1.5


@dataclass(slots=True)
class _Reported:
    demand_per_s: float
    ask: float
    spare: float
    heard_s: float


@dataclass(slots=True)
class _Account:
    """What is known of an account in one domain, with the sums of its nodes."""

    tag: int
    slots_per_node: float
    nodes: dict[str, _Reported] = field(default_factory=dict)
    demand_per_s: float = 0.0
    ask: float = 0.0
    spare: float = 0.0
    # Demand and ask of other domains.
    others: dict[str, _Reported] = field(default_factory=dict)
    pool: Grants = field(default_factory=Grants)
    expected: Grants = field(default_factory=Grants)
    told_per_s: float = 0.0

    def record(self, node_id: str, reported: _Reported) -> None:
        self.forget(node_id)
        self.nodes[node_id] = reported
        self.demand_per_s += reported.demand_per_s
        self.ask += reported.ask
        self.spare += reported.spare

    def forget(self, node_id: str) -> None:
        known = self.nodes.pop(node_id, None)
        if known is not None:
            self.demand_per_s -= known.demand_per_s
            self.ask -= known.ask
            self.spare -= known.spare

    def add_up(self) -> None:
        """Determine the sums anew, as rounding errors add up over time."""
        nodes = self.nodes.values()
        self.demand_per_s = sum(n.demand_per_s for n in nodes)
        self.ask = sum(n.ask for n in nodes)
        self.spare = sum(n.spare for n in nodes)

    def total_per_s(self) -> float:
        return self.demand_per_s + sum(o.demand_per_s for o in self.others.values())

    def others_ask(self, now: float) -> float:
        return sum(
            o.ask for o in self.others.values() if now - o.heard_s < ASK_LIFETIME_S
        )


class QuotaAggregator:
    """Totals of the accounts of one failure domain.

    :param domain: name of the domain
    :param settings: bound on the admissions in a window
    """

    def __init__(self, domain: str, settings: QuotaSettings) -> None:
        self._domain = domain
        self._settings = settings
        self._limits: dict[str, QuotaLimit] = {}
        self._tags: dict[str, int] = {}
        self._accounts: dict[str, _Account] = {}
        # Accounts of which slots may be lacking here or in another domain.
        self._lacking: set[str] = set()
        # Nodes that report, and when they did last.
        self._heard_s: dict[str, float] = {}
        # Accounts whose demand exceeds their rate.
        self._limited: set[str] = set()
        self._domains_heard_s: dict[str, float] = {}
        self.node_count = 1
        # Number of the other domains.
        self.other_domains = 0
        # Whether other domains are to be told at once.
        self.is_urgent = False

    def set_limits(self, limits: dict[str, QuotaLimit]) -> None:
        """Set the limits of all accounts that have one.

        :param limits: limits by account
        """
        self._limits = limits
        self._limited &= limits.keys()
        self._tags = {account: limit.tag for account, limit in limits.items()}

    def is_active(self, now: float) -> bool:
        """Return whether nodes report to this one.

        :param now: current time in s since boot
        """
        return any(now - at < NODE_LIFETIME_S for at in self._heard_s.values())

    def _account(self, name: str, tag: int) -> _Account | None:
        """Return an account, ``None`` if its limit is another one here."""
        if self._tags.get(name) != tag:
            return None
        account = self._accounts.get(name)
        if account is None or account.tag != tag:
            slots = self._settings.slots(self._limits[name], is_starting=False)
            account = _Account(tag, slots / self.node_count)
            self._accounts[name] = account
        return account

    def sweep(self, now: float) -> None:
        """Remove what is outdated.

        The demand of a domain that is cut off counts for one more window.

        :param now: current time in s since boot
        """
        self._heard_s = {
            node_id: at
            for node_id, at in self._heard_s.items()
            if now - at < NODE_LIFETIME_S
        }
        for name, account in list(self._accounts.items()):
            account.pool.expire(now)
            for node_id, reported in list(account.nodes.items()):
                if now - reported.heard_s > NODE_LIFETIME_S:
                    account.forget(node_id)
            account.add_up()
            for domain, reported in list(account.others.items()):
                if now - reported.heard_s > self._settings.window_s:
                    del account.others[domain]
            if not (account.nodes or account.others or account.pool.amount):
                del self._accounts[name]
                self._lacking.discard(name)
                self._limited.discard(name)
                continue
            if name in self._limits:
                self._update_limited(name, account)
            if account.ask <= 0.0 and account.others_ask(now) <= 0.0:
                self._lacking.discard(name)

    def handle_node(self, report: NodeReport, now: float) -> NodeTotals:
        """Apply the report of a node and return the response.

        :param report: the report
        :param now: current time in s since boot
        """
        self._heard_s[report.node_id] = now
        listed = {item.account for item in report.accounts}
        totals = []
        for item in report.accounts:
            account = self._account(item.account, item.tag)
            if account is not None:
                totals.append(self._apply_node(account, item, report, now))
        for name, account in self._accounts.items():
            if name not in listed and (
                account.ask > 0.0 or account.others_ask(now) > 0.0
            ):
                account.forget(report.node_id)
                ratio = self._lend_ratio(account, account.slots_per_node, now)
                if ratio:
                    demand_per_s = account.total_per_s()
                    totals.append(
                        AccountTotals(name, account.tag, demand_per_s, lend_ratio=ratio)
                    )
        limited = list(self._limited)
        return NodeTotals(now, totals, self._is_complete(now), limited)

    def _update_limited(self, name: str, account: _Account) -> None:
        if self._limits[name].is_exceeded_by(account.total_per_s()):
            self._limited.add(name)
        else:
            self._limited.discard(name)

    def _is_complete(self, now: float) -> bool:
        heard = sum(
            now - at < TOTALS_LIFETIME_S for at in self._domains_heard_s.values()
        )
        return heard >= self.other_domains

    def _apply_node(
        self, account: _Account, item: AccountReport, report: NodeReport, now: float
    ) -> AccountTotals:
        account.pool.expire(now)
        expires_s = report.stamp_s + GRANT_LIFETIME_S
        if item.lent > 0.0 and now < expires_s:
            account.pool.add(item.lent, expires_s)
            account.expected.take(item.lent, now)
        account.record(
            report.node_id,
            _Reported(item.demand_per_s, item.ask, item.spare, now),
        )
        self._update_limited(item.account, account)
        if item.ask > 0.0:
            self._lacking.add(item.account)
        granted = self._take(account, item.ask, account.ask, now)
        if granted:
            remaining = item.ask - sum(amount for amount, _ in granted)
            account.record(
                report.node_id,
                _Reported(item.demand_per_s, remaining, item.spare, now),
            )
        ratio = 0.0
        if not item.ask and item.spare:
            ratio = self._lend_ratio(account, item.spare, now)
        has_grown = account.demand_per_s > URGENT_GROWTH * account.told_per_s + 1.0
        if has_grown or account.ask > account.pool.amount + account.spare:
            self.is_urgent = True
        return AccountTotals(
            item.account, item.tag, account.total_per_s(), granted, ratio
        )

    def _take(
        self, account: _Account, ask: float, all_asks: float, now: float
    ) -> list[tuple[float, float]]:
        """Take slots from the pool for an ask."""
        account.pool.expire(now + MIN_REMAINING_S)
        pool = account.pool.amount
        if ask <= 0.0 or pool <= 0.0:
            return []
        amount = min(ask, pool * ask / max(all_asks, ask))
        if amount < 1.0:
            # A part of a slot admits nothing at a node that has none.
            amount = min(ask, pool, 1.0)
        return account.pool.take(amount, now)

    def _lend_ratio(self, account: _Account, spare: float, now: float) -> float:
        """Return the part of its spare slots that a node is asked to lend."""
        account.expected.expire(now)
        lacking = account.ask + account.others_ask(now)
        lacking -= account.pool.amount + account.expected.amount
        if lacking < MIN_LACKING or spare <= 0.0:
            return 0.0
        silent = max(0, len(self._heard_s) - len(account.nodes))
        all_spare = max(spare, account.spare + silent * account.slots_per_node)
        ratio = min(1.0, max(lacking / all_spare, 0.02))
        account.expected.add(ratio * spare, now + EXPECTED_TIME_S)
        return ratio

    def report(self, now: float) -> DomainReport:
        """Return the report to the aggregators of other domains.

        :param now: current time in s since boot
        """
        self.is_urgent = False
        items = []
        for name, account in self._accounts.items():
            if not account.nodes:
                continue
            account.told_per_s = account.demand_per_s
            ask = max(0.0, account.ask - account.pool.amount - account.spare)
            items.append(
                DomainAccount(name, account.tag, account.demand_per_s, ask=ask)
            )
        return DomainReport(self._domain, items)

    def handle_domain(self, report: DomainReport, now: float) -> DomainReport:
        """Apply the report of another domain and return the response.

        :param report: the report
        :param now: current time in s since boot
        """
        self._domains_heard_s[report.domain] = now
        items = []
        for item in report.accounts:
            account = self._account(item.account, item.tag)
            if account is None:
                continue
            granted = self._take(
                account, item.ask, account.ask + account.others_ask(now), now
            )
            if item.ask > 0.0:
                self._lacking.add(item.account)
            remaining = item.ask - sum(amount for amount, _ in granted)
            account.others[report.domain] = _Reported(
                item.demand_per_s, remaining, 0.0, now
            )
            items.append(
                DomainAccount(
                    item.account,
                    item.tag,
                    account.demand_per_s,
                    granted=granted,
                )
            )
        return DomainReport(self._domain, items)

    def apply(self, response: DomainReport, sent_s: float, now: float) -> None:
        """Apply the response to a report to another domain.

        :param response: the response
        :param sent_s: time at which the report was sent
        :param now: current time in s since boot
        """
        self._domains_heard_s[response.domain] = sent_s
        for item in response.accounts:
            account = self._account(item.account, item.tag)
            if account is None:
                continue
            known = account.others.get(response.domain)
            ask, heard_s = (known.ask, known.heard_s) if known else (0.0, now)
            # The ask keeps its time, the demand is as of now.
            if now - heard_s >= ASK_LIFETIME_S:
                ask = 0.0
            account.others[response.domain] = _Reported(
                item.demand_per_s, ask, 0.0, now
            )
            for amount, remaining_s in item.granted:
                account.pool.add(amount, sent_s + remaining_s)
