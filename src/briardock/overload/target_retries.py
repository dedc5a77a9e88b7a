"""Retries that arrive at the local target, and what the node reports about them."""

from briardock.overload.retries import USABLE_SLACK_SHARE, RetryBudget, RetryWindow
from briardock.overload.retry_reports import (
    CACHE_S,
    MAX_REPORT_AGE_S,
    RetryLoad,
    RetryReport,
)

# Time over which the share of retries among the executions is determined that calls
# carry, s. At the onset of retries a longer one still consists of first attempts.
EXECUTION_TIME_S = 0.5
# Weight of the newest attempt in the share of failing ones. A single failure is no sign
# that a service fails, two in succession are.
FAILURE_WEIGHT = 0.125
# Share of retries that is taken for a rounding error.
MIN_SHARE = 1e-6
# Time after which a service whose retries are stopped is stated again, s.
STOPPED_REPEAT_S = 10.0
# Newest part of the window that is reported on its own, and its part of the slack.
RECENT_SHARE = 0.3
RECENT_SLACK_SHARE = 0.5


class TargetRetries:
    """Retries at the local target and the budgets for its calls and for callers.

    :param ratio: retries per request that all nodes may send to a service
    :param slack: additional retries in a window that all nodes may send to it
    :param window_s: length of the window
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._limits = (ratio, slack, window_s)
        self._arrivals = RetryWindow(window_s)
        self._budgets: dict[str, RetryBudget] = {}
        # Calls of the local target by service, and the time of the last one.
        self._calls: dict[str, RetryWindow] = {}
        self._called_s: dict[str, float] = {}
        # Moving average of the share of attempts at these services that fail.
        self._failures: dict[str, float] = {}
        self._share: float | None = 0.0
        self._share_s = -1.0
        self._report: RetryReport | None = None
        self._report_s = -1.0
        self._executions = RetryWindow(EXECUTION_TIME_S)
        # Time at which the retries of a service were last stated to be stopped.
        self._stopped_s: dict[str, float] = {}

    @property
    def budgets(self) -> dict[str, RetryBudget]:
        """Budgets by service."""
        return self._budgets

    def budget(self, service: str) -> RetryBudget:
        """Return the budget for retries of requests to a service.

        :param service: name of the service
        """
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(*self._limits)
        return budget

    def record_arrival(self, inherited: float | None, now: float) -> None:
        """Count a request that is sent to the local target.

        :param inherited: share of it that is a retry, ``None`` if it is not known
        :param now: current time in s since boot
        """
        self._arrivals.record(inherited, now)
        self._executions.record(inherited, now)

    def record_request(self, service: str, from_target: bool, now: float) -> None:
        """Count the first attempt of a request.

        :param service: service that it goes to
        :param from_target: whether the local target may have sent it
        :param now: current time in s since boot
        """
        if not from_target:
            self.budget(service).record_request(now)
            return
        self.budget(service).record_request(now, self.share(now))
        calls = self._calls.get(service)
        if calls is None:
            calls = self._calls[service] = RetryWindow(self._limits[2])
        calls.record(0.0, now)
        self._called_s[service] = now

    def record_result(
        self,
        service: str,
        node_id: str,
        from_target: bool,
        failed: bool,
        report: RetryReport | None,
        now: float,
    ) -> None:
        """Record the response of an instance to an attempt.

        :param service: its service
        :param node_id: node beside it
        :param from_target: whether the local target may have sent the request
        :param failed: whether the instance rejected it or failed
        :param report: report in the response, ``None`` if it has none
        :param now: current time in s since boot
        """
        self.budget(service).reports.learn(node_id, report, now)
        if from_target:
            known = self._failures.get(service, 0.0)
            self._failures[service] = known + FAILURE_WEIGHT * (failed - known)

    def inherited(
        self, from_target: bool, sent_before: bool, now: float
    ) -> float | None:
        """Return the share of an attempt that is a retry, ``None`` if it is not known.

        :param from_target: whether the local target may have sent the request
        :param sent_before: whether a target has received it before
        :param now: current time in s since boot
        """
        if sent_before:
            return 1.0
        return self.share(now) if from_target else 0.0

    def share(self, now: float) -> float | None:
        """Return the share of the executions of the local target that are retries.

        :param now: current time in s since boot
        """
        if not 0.0 <= now - self._share_s < CACHE_S:
            total = self._executions.total(now)
            executions = total.first + total.inherited
            if total.unknown:
                self._share = None
            elif executions:
                share = total.inherited / executions
                self._share = share if share > MIN_SHARE else 0.0
            elif self._share is None:
                self._share = 0.0
            self._share_s = now
        return self._share

    def arrived_ratio(self, now: float) -> float:
        """Return the ratio of retries to requests that arrived at the local target.

        :param now: current time in s since boot
        """
        total = self._arrivals.total(now)
        return max(0.0, total.inherited) / max(1.0, total.first)

    def newly_stopped(self, now: float) -> dict[str, RetryLoad]:
        """Return the services whose retries are stopped and that were not stated yet.

        :param now: current time in s since boot
        """
        found = {}
        for service, budget in self._budgets.items():
            load = budget.reports.load(now)
            if load is None or budget.ratio(now) > 0.0:
                continue
            if now - self._stopped_s.get(service, -STOPPED_REPEAT_S) < STOPPED_REPEAT_S:
                continue
            self._stopped_s[service] = now
            found[service] = load
        return found

    def report(self, instance_count: int, now: float) -> RetryReport | None:
        """Return the report of this instance, ``None`` if it lacks one that it needs.

        :param instance_count: instances of the service
        :param now: current time in s since boot
        """
        if not 0.0 <= now - self._report_s < CACHE_S:
            self._report = self._determine_report(instance_count, now)
            self._report_s = now
        return self._report

    def _determine_report(self, instance_count: int, now: float) -> RetryReport | None:
        arrived = self._arrivals.total(now)
        if arrived.unknown:
            return None
        runs = max(1.0, arrived.first + arrived.inherited)
        downstream_share: float | None = None
        calls_per_run = failures = 0.0
        for service, called_s in self._called_s.items():
            if now - called_s > MAX_REPORT_AGE_S:
                continue
            load = self.budget(service).reports.load(now)
            if load is None:
                return None
            downstream_share = max(
                downstream_share or 0.0, load.own_share, load.downstream_share
            )
            per_run = self._calls[service].total(now).first / runs
            calls = per_run * self.budget(service).reports.calls(now)
            calls_per_run = max(calls_per_run, calls)
            failures = max(failures, load.failures, self._failures.get(service, 0.0))
        slack = self._limits[1] * USABLE_SLACK_SHARE / max(1, instance_count)
        recent = arrived
        if arrived.inherited > MIN_SHARE:
            recent = self._arrivals.since(now - RECENT_SHARE * self._limits[2])
        return RetryReport(
            arrived.first,
            arrived.inherited - slack,
            recent.first,
            recent.inherited - slack * RECENT_SLACK_SHARE,
            downstream_share,
            calls_per_run,
            failures,
        )
