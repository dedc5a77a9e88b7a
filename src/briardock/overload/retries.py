"""Retry budget: bounds the retries that all nodes together send to a service.

Load pattern: instances at one or several hops of a chain reject a share of their calls
(``tests/test_overload_retries.py``). Retries of upstream hops repeat the calls
downstream, where they count as well.
"""

from collections import deque
from dataclasses import dataclass

from briardock.overload.retry_reports import ServiceReports

# Without a report a hop uses the ratio divided by this number, so that hops which know
# nothing of each other stay within it together.
CHAIN_DEPTH = 4
# Share of the ratio that is used with reports, as these are delayed.
USABLE_RATIO_SHARE = 0.75
# Share of the slack that is used, as nodes may disagree on the number of nodes.
USABLE_SLACK_SHARE = 0.5
PARTS_PER_WINDOW = 40
# Retries above the budget that a part of the window may hold: the budget of many nodes
# is less than one retry each.
ROUNDING_RETRIES = 1.0
# Share of failing attempts downstream from which a failure is taken for one that comes
# from there.
MIN_FAILURES = 0.2


@dataclass(slots=True)
class Counts:
    """Counts of a window or a part of it.

    :param start_s: its start
    :param first: requests and arrivals that are no retries
    :param inherited: those caused by a retry further up the chain
    :param own: further attempts
    :param unknown: requests and arrivals of which that is not known
    """

    start_s: float = 0.0
    first: float = 0.0
    inherited: float = 0.0
    own: int = 0
    unknown: int = 0


class RetryWindow:
    """Requests and retries in a sliding window.

    :param window_s: length of the window
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._part_s = window_s / PARTS_PER_WINDOW
        self._total = Counts()
        # Oldest part first.
        self.parts: deque[Counts] = deque()

    def record(self, inherited: float | None, now: float) -> None:
        """Count a request.

        :param inherited: share that counts as a retry, ``None`` if it is not known
        :param now: current time in s since boot
        """
        part, total = self._current(now), self._total
        if inherited is None:
            part.unknown += 1
            total.unknown += 1
        elif inherited:
            part.first += 1.0 - inherited
            total.first += 1.0 - inherited
            part.inherited += inherited
            total.inherited += inherited
        else:
            part.first += 1.0
            total.first += 1.0

    def record_retry(self, now: float) -> None:
        """Count a further attempt.

        :param now: current time in s since boot
        """
        self._current(now).own += 1
        self._total.own += 1

    def total(self, now: float) -> Counts:
        """Return the counts of the window.

        :param now: current time in s since boot
        """
        self._current(now)
        return self._total

    def since(self, start_s: float) -> Counts:
        """Return the counts of the parts that began at a time or later.

        :param start_s: that time
        """
        total = Counts(start_s)
        for part in reversed(self.parts):
            if part.start_s < start_s:
                break
            total.first += part.first
            total.inherited += part.inherited
            total.own += part.own
            total.unknown += part.unknown
        return total

    def _current(self, now: float) -> Counts:
        """Return the newest part; drop those that have left the window."""
        parts, total = self.parts, self._total
        if parts and now - parts[-1].start_s <= self._part_s:
            return parts[-1]
        while parts and now - parts[0].start_s > self._window_s:
            part = parts.popleft()
            total.first -= part.first
            total.inherited -= part.inherited
            total.own -= part.own
            total.unknown -= part.unknown
        if not parts:
            # Without the rounding errors of the sums.
            total = self._total = Counts()
        parts.append(Counts(now))
        return parts[-1]


class RetryBudget:
    """Requests and retries of one node to one service in a sliding window.

    The budget holds for each part of the window up to now. Retries saved up from many
    requests would otherwise arrive in a window with few.

    :param ratio: retries per request that all nodes may send
    :param slack: additional retries in a window that all nodes may send
    :param window_s: length of the window
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self.reports = ServiceReports()
        self._unreported_ratio = ratio / CHAIN_DEPTH
        self._ratio = ratio * USABLE_RATIO_SHARE
        self._slack = slack * USABLE_SLACK_SHARE
        self.window = RetryWindow(window_s)

    def record_request(self, now: float, inherited: float | None = 0.0) -> None:
        """Count a first attempt.

        :param now: current time in s since boot
        :param inherited: share of the executions that cause it which are retries
            themselves, ``None`` if it is not known
        """
        self.window.record(inherited, now)

    def spend(self, node_count: int, now: float) -> bool:
        """Count a retry if the budget allows it; return whether it does.

        :param node_count: nodes that share the slack
        :param now: current time in s since boot
        """
        if not self._allows(self._slack / max(1, node_count), now):
            return False
        self.window.record_retry(now)
        return True

    def fails_downstream(self, now: float) -> bool:
        """Return whether failures of the service come from the hops after it.

        A retry here would repeat all calls, and use up the budget of the hop next to
        the failures.

        :param now: current time in s since boot
        """
        load = self.reports.load(now)
        return load is not None and load.failures >= MIN_FAILURES

    def ratio(self, now: float) -> float:
        """Return the retries per request that are allowed at present.

        :param now: current time in s since boot
        """
        load = self.reports.load(now)
        if load is None or self.window.total(now).unknown:
            return self._unreported_ratio
        if max(load.own_share, load.downstream_share) >= self._ratio:
            return 0.0
        return self._ratio

    def _allows(self, slack: float, now: float) -> bool:
        ratio = self.ratio(now)
        if not ratio:
            return False
        total = self.window.total(now)
        requests = total.first + total.unknown
        if total.own + 1 > requests * ratio + slack:
            return False
        # Each retry repeats this number of calls of one service downstream.
        slack /= self.reports.calls(now)
        if total.own + 1 + total.inherited > requests * self._ratio + slack:
            return False
        left = max(slack, ROUNDING_RETRIES) - 1.0
        for part in reversed(self.window.parts):
            left += (part.first + part.unknown) * ratio - part.inherited - part.own
            if left < 0.0:
                return False
        return True
