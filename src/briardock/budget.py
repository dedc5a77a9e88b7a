"""Retry budgets: tokens of one action and the retry ratio of one node."""

DEFAULT_BURST_TOKENS = 10.0


class RetryBudget:
    """Retry tokens of one call at its issuer.

    The root of an action starts with the action's tokens. Tokens move to a child
    call when it is dispatched and come back with its answer. Tokens of a lost
    answer never come back, so retries in the call tree cannot exceed the root's.

    :param tokens: retries held at the start
    """

    __slots__ = ("_left",)

    def __init__(self, tokens: int) -> None:
        self._left = max(0, tokens)

    @property
    def left(self) -> int:
        """Tokens held here."""
        return self._left

    def delegate(self, fan_out_left: int = 1) -> int:
        """Remove and return the share of one child dispatch.

        The share is rounded up, so that the first of several children gets a
        token even when there are fewer tokens than children.

        :param fan_out_left: children still to be dispatched, this one included
        """
        children_count = max(1, fan_out_left)
        share = -(-self._left // children_count)
        self._left -= share
        return share

    def give_back(self, count: int) -> None:
        """Add the unspent tokens of an answered child.

        :param count: tokens reported by the answer, at most the delegated share
        """
        self._left += max(0, count)

    def spend(self) -> bool:
        """Take one token for a retry here.

        :returns: whether the retry is allowed
        """
        if self._left <= 0:
            return False
        self._left -= 1
        return True


def make_budget(tokens: int) -> RetryBudget:
    """Return the budget of one call.

    :param tokens: retries of the action at its root, or the delegated share
    """
    return RetryBudget(tokens)


class RetryRatio:
    """Limit of a node's retries to a ratio of its first attempts.

    :param ratio: retries earned by one first attempt
    :param burst: most retries that can be saved up
    """

    __slots__ = ("_burst", "_ratio", "_tokens")

    def __init__(self, ratio: float, burst: float) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def record_first(self) -> None:
        """Count one first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def allow_retry(self) -> bool:
        """Take one retry if the ratio allows it.

        :returns: whether the retry is allowed
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def make_retry_ratio(ratio: float, burst: float = DEFAULT_BURST_TOKENS) -> RetryRatio:
    """Return the retry ratio of one node.

    :param ratio: retries per first attempt, for example 0.05
    :param burst: most retries that can be saved up
    """
    return RetryRatio(ratio, burst)
