"""Retry budget: bounds the retries that all nodes together send to a service."""

from collections import deque

# A retry at one hop repeats the calls below it, which count at their services as well.
# The ratio is divided by this number of hops so that all hops together stay within it.
CHAIN_DEPTH = 4
# Share of the slack that is used, as nodes may disagree on the number of nodes.
USABLE_SLACK_SHARE = 0.5


class RetryBudget:
    """Requests and retries of one node to one service in a sliding window.

    :param ratio: retries per request that all nodes may send
    :param slack: additional retries in a window that all nodes may send
    :param window_s: length of the window
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio / CHAIN_DEPTH
        self._slack = slack * USABLE_SLACK_SHARE
        self._window_s = window_s
        self._bucket_s = window_s / 10
        # Each bucket holds its start, requests and retries.
        self._buckets: deque[list[float]] = deque()
        self._requests = 0.0
        self._retries = 0.0

    def record_request(self, now: float) -> None:
        """Count a first attempt.

        :param now: current time in s since boot
        """
        self._current_bucket(now)[1] += 1
        self._requests += 1

    def spend(self, node_count: int, now: float) -> bool:
        """Count a retry if the budget allows it; return whether it does.

        :param node_count: nodes that share the slack
        :param now: current time in s since boot
        """
        bucket = self._current_bucket(now)
        allowed = self._requests * self._ratio + self._slack / max(1, node_count)
        if self._retries + 1 > allowed:
            return False
        bucket[2] += 1
        self._retries += 1
        return True

    def _current_bucket(self, now: float) -> list[float]:
        while self._buckets and now - self._buckets[0][0] > self._window_s:
            _, requests, retries = self._buckets.popleft()
            self._requests -= requests
            self._retries -= retries
        if not self._buckets or now - self._buckets[-1][0] > self._bucket_s:
            self._buckets.append([now, 0.0, 0.0])
        return self._buckets[-1]
