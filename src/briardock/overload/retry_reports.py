"""Reports about the retries that arrive at a service and at those downstream of it."""

from dataclasses import dataclass

# Age from which a report no longer counts, s.
MAX_REPORT_AGE_S = 1.0
# The same for the number of calls per run, s.
MAX_CALLS_AGE_S = 60.0
# Time for which sums and reports are kept, s; a node handles up to thousands of calls a
# second.
CACHE_S = 0.02


@dataclass(frozen=True, slots=True)
class RetryReport:
    """Retries in the last window, as one instance reports them.

    :param requests: arrivals at the instance that are no retries
    :param retries: arrivals that are, less its part of the slack
    :param recent_requests: the same in the newest part of the window. The arrivals
        that are no retries may have become fewer.
    :param recent_retries: the same in the newest part of the window
    :param downstream_share: largest ratio of retries to requests at the services that
        it calls, directly and indirectly, ``None`` if it has made no calls of late
    :param calls: largest number of calls of one of these per run
    :param failures: largest share of attempts that fail at one of these
    """

    requests: float
    retries: float
    recent_requests: float
    recent_retries: float
    downstream_share: float | None
    calls: float
    failures: float


@dataclass(frozen=True, slots=True)
class RetryLoad:
    """Retries in the last window at one service and downstream of it.

    :param own_share: ratio of retries to requests at the service
    :param downstream_share: largest ratio at the services that it calls
    :param failures: largest share of attempts that fail at one of these
    """

    own_share: float
    downstream_share: float
    failures: float


class ServiceReports:
    """Newest reports of the instances of one service."""

    def __init__(self) -> None:
        self._by_node: dict[str, tuple[RetryReport | None, float]] = {}
        self._load: RetryLoad | None = None
        self._calls = 1.0
        self._summed_s = -1.0

    def learn(self, node_id: str, report: RetryReport | None, now: float) -> None:
        """Record what a response of an instance reports.

        :param node_id: node beside the instance
        :param report: its report, ``None`` if it has none
        :param now: current time in s since boot
        """
        self._by_node[node_id] = (report, now)

    def load(self, now: float) -> RetryLoad | None:
        """Return the retries at the service, ``None`` if they are not known.

        They are unknown if no instance has reported within the last second, or one has
        responded without a report.

        :param now: current time in s since boot
        """
        self._refresh(now)
        return self._load

    def calls(self, now: float) -> float:
        """Return the calls of one service downstream that a run makes, at least 1.

        They depend on the targets, not on the load. Older reports count as well, as
        the calls would otherwise be unknown when the reports are lost.

        :param now: current time in s since boot
        """
        self._refresh(now)
        return self._calls

    def _refresh(self, now: float) -> None:
        if 0.0 <= now - self._summed_s < CACHE_S:
            return
        self._summed_s = now
        by_node = self._by_node
        for node_id in [
            n for n, (_, at_s) in by_node.items() if now - at_s > MAX_CALLS_AGE_S
        ]:
            del by_node[node_id]
        reported = [report for report, _ in by_node.values() if report is not None]
        if reported:
            requests = max(1.0, sum(report.requests for report in reported))
            calls = sum(report.calls * report.requests for report in reported)
            self._calls = max(1.0, calls / requests)
        self._load = _sum(
            [r for r, at_s in by_node.values() if now - at_s <= MAX_REPORT_AGE_S]
        )


def _sum(reports: list[RetryReport | None]) -> RetryLoad | None:
    known = [report for report in reports if report is not None]
    if not known or len(known) < len(reports):
        return None
    share = _ratio(
        sum(report.retries for report in known),
        sum(report.requests for report in known),
    )
    recent_share = _ratio(
        sum(report.recent_retries for report in known),
        sum(report.recent_requests for report in known),
    )
    # Instances that reject everything make no calls and know nothing of them.
    calling = [r for r in known if r.downstream_share is not None]
    count = max(1, len(calling))
    return RetryLoad(
        max(share, recent_share),
        sum(report.downstream_share or 0.0 for report in calling) / count,
        sum(report.failures for report in calling) / count,
    )


def _ratio(retries: float, requests: float) -> float:
    return max(0.0, retries) / max(1.0, requests)
