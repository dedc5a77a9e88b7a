"""Reports about the quotas of accounts, to the aggregators of the failure domains.

The aggregator of a domain is the first of its nodes when they are ordered by a hash of
their names. One that does not respond is skipped for a while; nothing is lost with it
that the bound depends on.
"""

import asyncio
import math
from collections.abc import Callable
from typing import TypeVar
from zlib import crc32

import msgspec

from briardock.mesh.decisions import DecisionLog
from briardock.mesh.http1 import Request, Response
from briardock.mesh.members import MemberTable, NodeRecord
from briardock.mesh.model import RoutingConfig, now_s
from briardock.mesh.peer_messages import exchange_message
from briardock.mesh.pool import ConnectionPool
from briardock.mesh.tasks import BackgroundTasks
from briardock.mesh.telemetry import Telemetry
from briardock.overload.quota import (
    WITHIN_QUOTA,
    OverQuota,
    QuotaKeeper,
    WithinQuota,
)
from briardock.overload.quota_limits import QuotaLimit, QuotaSettings
from briardock.overload.quota_messages import DomainReport, NodeReport, NodeTotals
from briardock.overload.quota_totals import QuotaAggregator

QUOTAS_PATH = b"/.briardock/quotas"
# Period of the reports, s, and the shortest time between two of them.
REPORT_PERIOD_S = 0.4
URGENT_PERIOD_S = 0.1
# Period at which it is checked whether a report is due, s.
TICK_S = 0.05
REPORT_TIMEOUT_S = 0.3
# Number of accounts in a report above which reports are not urgent: the aggregator
# spends some microseconds on each of them.
MAX_URGENT_ACCOUNTS = 200
# Time until a node that has not responded is asked again, s.
SKIP_TIME_S = 3.0
# Time after which a node that leaves no longer counts, s. It exceeds the grace period,
# the window and the lifetime of a grant.
LEFT_AFTER_S = 60.0
# Time without refusals after which the next one of an account is logged again, s, and
# the number of accounts for which that is known.
LOG_AGAIN_S = 60.0
MAX_LOGGED_ACCOUNTS = 1000

T = TypeVar("T")


def quota_limits(config: RoutingConfig) -> dict[str, QuotaLimit]:
    """Return the limits of the accounts of a configuration that have one.

    :param config: configuration in force
    """
    accounts = (entry.account for entry in config.accounts)
    return {
        account.name: QuotaLimit(account.rate_per_s, account.burst)
        for account in accounts
        if account.rate_per_s > 0.0
    }


class AggregatorChoice:
    """Chooses the aggregators of the domains.

    :param members: records of all nodes
    """

    def __init__(self, members: MemberTable) -> None:
        self._members = members
        self._skipped_until_s: dict[str, float] = {}
        self._leaving_since_s: dict[str, float] = {}
        self._ranked: dict[str, list[NodeRecord]] = {}
        self._positions: dict[str, int] = {}
        self._generation = -1

    @property
    def domains(self) -> list[str]:
        """Failure domains, without the one of this node."""
        self._update()
        own_domain = self._members.local_record.domain
        return [domain for domain in self._ranked if domain != own_domain]

    def choose(self, domain: str, now: float) -> NodeRecord:
        """Return the aggregator of a domain.

        :param domain: name of the domain
        :param now: current time in s since boot
        """
        self._update()
        ranked = self._ranked[domain]
        own_id = self._members.local_record.node_id
        for record in ranked:
            is_skipped = self._skipped_until_s.get(record.node_id, 0.0) > now
            if record.node_id == own_id or not is_skipped:
                return record
        return ranked[0]

    def skip(self, node_id: str, now: float) -> None:
        """Skip a node that has not responded.

        :param node_id: name of the node
        :param now: current time in s since boot
        """
        self._skipped_until_s[node_id] = now + SKIP_TIME_S

    def count_nodes(self, now: float) -> int:
        """Return the number of nodes that may admit requests.

        A node that is silent counts: it may be cut off.

        :param now: current time in s since boot
        """
        return max(1, self._members.count - len(self._left(now)))

    def rank_own_node(self, now: float) -> int:
        """Return the number of counted nodes that precede this one.

        The order is the same at all nodes that know the same records.

        :param now: current time in s since boot
        """
        self._update()
        own = self._positions[self._members.local_record.node_id]
        return own - sum(self._positions[left] < own for left in self._left(now))

    def _left(self, now: float) -> list[str]:
        """Return the nodes that have left and no longer count."""
        leaving = {r.node_id for r in self._members.records if r.leaving}
        self._leaving_since_s = {
            node_id: self._leaving_since_s.get(node_id, now) for node_id in leaving
        }
        return [
            node_id
            for node_id, at in self._leaving_since_s.items()
            if now - at > LEFT_AFTER_S
        ]

    def _update(self) -> None:
        if self._generation == self._members.generation:
            return
        self._generation = self._members.generation
        own_id = self._members.local_record.node_id
        self._ranked, self._positions = {}, {}
        for position, record in enumerate(
            sorted(
                self._members.records,
                key=lambda record: (crc32(record.node_id.encode()), record.node_id),
            )
        ):
            self._positions[record.node_id] = position
            if not record.leaving or record.node_id == own_id:
                self._ranked.setdefault(record.domain, []).append(record)


class Quotas:
    """Quotas of accounts at one node: decisions, reports and totals.

    :param members: records of all nodes
    :param peers: connections to other nodes
    :param settings: bound on the admissions in a window
    :param knows_nodes: returns whether the records of all nodes were read once
    :param log: decision log
    :param telemetry: metrics
    """

    def __init__(
        self,
        members: MemberTable,
        peers: ConnectionPool,
        settings: QuotaSettings,
        knows_nodes: Callable[[], bool],
        log: DecisionLog,
        telemetry: Telemetry,
    ) -> None:
        self._members = members
        self._peers = peers
        self._knows_nodes = knows_nodes
        self._log = log
        self._telemetry = telemetry
        local_record = members.local_record
        self._choice = AggregatorChoice(members)
        self._limits: dict[str, QuotaLimit] = {}
        self.keeper = QuotaKeeper(local_record.node_id, settings, now_s())
        self.aggregator = QuotaAggregator(local_record.domain, settings)
        self._refused_s: dict[str, float] = {}
        self._reported_s = self._told_s = -math.inf
        self._is_reporting = False
        self._reported_accounts = 0
        self._tasks = BackgroundTasks()
        self._node_decoder = msgspec.msgpack.Decoder(NodeTotals)
        self._domain_decoder = msgspec.msgpack.Decoder(DomainReport)
        self._report_decoder = msgspec.msgpack.Decoder(NodeReport | DomainReport)

    def set_limits(self, limits: dict[str, QuotaLimit]) -> None:
        """Set the limits of all accounts that have one.

        :param limits: limits by account
        """
        self._limits = limits
        self._update_node_count()
        self.keeper.set_limits(limits)
        self.aggregator.set_limits(limits)

    def _update_node_count(self) -> None:
        now = now_s()
        count = self._choice.count_nodes(now)
        self.keeper.node_rank = self._choice.rank_own_node(now)
        self.keeper.knows_nodes = self._knows_nodes()
        self.keeper.node_count = self.aggregator.node_count = count
        self.aggregator.other_domains = len(self._choice.domains)

    # Requests

    def decide(self, account: str) -> WithinQuota | OverQuota:
        """Decide about a request of an account, and count it if it is admitted.

        :param account: name of the account
        """
        limit = self._limits.get(account)
        if limit is None:
            return WITHIN_QUOTA
        now = now_s()
        decision = self.keeper.decide(account, limit, now)
        if isinstance(decision, OverQuota):
            self._record_refusal(account, limit, now)
        return decision

    def record_refund(self, account: str) -> None:
        """Record that an admitted request has not reached a target.

        :param account: name of the account
        """
        if account in self._limits:
            self.keeper.record_refund(account, now_s())

    def _record_refusal(self, account: str, limit: QuotaLimit, now: float) -> None:
        self._telemetry.record_over_quota(account)
        refused_s = self._refused_s.pop(account, -math.inf)
        if now - refused_s > LOG_AGAIN_S:
            self._log.event(
                "quota-exceeded",
                account=account,
                rate_per_s=limit.rate_per_s,
                burst=limit.burst,
            )
        # The order is that of the latest refusals.
        self._refused_s[account] = now
        if len(self._refused_s) > MAX_LOGGED_ACCOUNTS:
            del self._refused_s[next(iter(self._refused_s))]

    # Reports

    async def report_periodically(self) -> None:
        """Report to the aggregator, and as aggregator to those of other domains."""
        while True:
            if not self._limits:
                await asyncio.sleep(REPORT_PERIOD_S)
                continue
            now = now_s()
            is_urgent = (
                self.keeper.is_urgent and self._reported_accounts <= MAX_URGENT_ACCOUNTS
            )
            if not self._is_reporting and _is_due(self._reported_s, is_urgent, now):
                self._reported_s = now
                self._update_node_count()
                self._tasks.start(self._report())
            if _is_due(self._told_s, self.aggregator.is_urgent, now):
                self._told_s = now
                self.aggregator.sweep(now)
                if self.aggregator.is_active(now):
                    self._tell_domains(now)
            await asyncio.sleep(TICK_S)

    async def _report(self) -> None:
        self._is_reporting = True
        try:
            if await self._report_once():
                # Slots that are lent at once live longest.
                await self._report_once()
        finally:
            self._is_reporting = False

    async def _report_once(self) -> bool:
        """Report to the aggregator; return whether it asks for another report."""
        local_record = self._members.local_record
        sent_s = now_s()
        record = self._choice.choose(local_record.domain, sent_s)
        report = self.keeper.report(record.node_id, sent_s)
        self._reported_accounts = len(report.accounts)
        totals: NodeTotals | None
        if record.node_id == local_record.node_id:
            totals = self.aggregator.handle_node(report, sent_s)
        else:
            totals = await self._exchange(record, report, self._node_decoder)
        if totals is None:
            return False
        return self.keeper.apply(totals, record.node_id, sent_s, now_s())

    def _tell_domains(self, now: float) -> None:
        report = self.aggregator.report(now)
        for domain in self._choice.domains:
            record = self._choice.choose(domain, now)
            self._tasks.start(self._tell_domain(record, report, now))

    async def _tell_domain(
        self, record: NodeRecord, report: DomainReport, sent_s: float
    ) -> None:
        response = await self._exchange(record, report, self._domain_decoder)
        if response is not None:
            self.aggregator.apply(response, sent_s, now_s())

    async def _exchange(
        self,
        record: NodeRecord,
        report: NodeReport | DomainReport,
        decoder: msgspec.msgpack.Decoder[T],
    ) -> T | None:
        """Send a report; return the response, or ``None`` and skip the node."""
        self._telemetry.quota_reports.inc()
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                body = await exchange_message(
                    self._peers, record.address, QUOTAS_PATH, report
                )
            result = None if body is None else decoder.decode(body)
        except TimeoutError:
            # Other idle connections to the node may have gone silent as well.
            self._peers.discard(record.address)
            result = None
        except msgspec.DecodeError as error:
            self._log.event("quota-report-undecodable", reason=str(error))
            result = None
        if result is None:
            self._choice.skip(record.node_id, now_s())
            self._log.event("quota-report-lost", peer=record.node_id)
        return result

    async def handle(self, request: Request) -> Response:
        """Return the response to a report of another node.

        :param request: request on the peer address
        """
        try:
            report = self._report_decoder.decode(request.body)
        except msgspec.DecodeError as error:
            self._log.event("quota-report-undecodable", reason=str(error))
            return Response(400)
        now = now_s()
        response: NodeTotals | DomainReport
        match report:
            case NodeReport():
                response = self.aggregator.handle_node(report, now)
            case DomainReport():
                response = self.aggregator.handle_domain(report, now)
        return Response(200, body=msgspec.msgpack.encode(response))


def _is_due(last_s: float, is_urgent: bool, now: float) -> bool:
    return now - last_s >= (URGENT_PERIOD_S if is_urgent else REPORT_PERIOD_S)
