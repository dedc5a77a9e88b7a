"""Retry limits: the token budget of an action and the retry ratio of a node."""

DEFAULT_BURST_TOKENS = 10.0


class RetryBudget:
    """Retry tokens of one call on one node.

    The root of an action starts with the tokens of the action. Tokens move to a
    child call when it is dispatched and return with its response. The tokens of a
    lost response are never returned, so the retries in the call tree cannot exceed
    the tokens of the root.

    :param tokens: initial number of retries
    """

    __slots__ = ("_left",)

    def __init__(self, tokens: int) -> None:
        self._left = max(0, tokens)

    @property
    def left(self) -> int:
        """Tokens left."""
        return self._left

    def delegate(self, children_left: int = 1) -> int:
        """Remove and return the tokens for one child call.

        The share is rounded up, so the first of several children gets a token even
        with fewer tokens than children.

        :param children_left: children still to be dispatched, this one included
        """
        children_count = max(1, children_left)
        share = -(-self._left // children_count)
        self._left -= share
        return share

    def refund(self, count: int) -> None:
        """Return the unused tokens of a child call that received a response.

        :param count: tokens reported by the response, at most the delegated share
        """
        self._left += max(0, count)

    def spend(self) -> bool:
        """Take one token for a retry by this node.

        :returns: whether the retry is allowed
        """
        if self._left <= 0:
            return False
        self._left -= 1
        return True


def make_budget(tokens: int) -> RetryBudget:
    """Return the budget of one call.

    :param tokens: retries of the action at the root, or the delegated share
    """
    return RetryBudget(tokens)


class RetryRatio:
    """Token bucket that limits a node's retries to a ratio of its first attempts.

    :param ratio: tokens added per first attempt
    :param burst: maximum number of tokens
    """

    __slots__ = ("_burst", "_ratio", "_tokens")

    def __init__(self, ratio: float, burst: float) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def record_first_attempt(self) -> None:
        """Count one first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def allow_retry(self) -> bool:
        """Take one token for a retry if there is one.

        :returns: whether the retry is allowed
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def make_retry_ratio(ratio: float, burst: float = DEFAULT_BURST_TOKENS) -> RetryRatio:
    """Return the retry ratio of one node.

    :param ratio: tokens added per first attempt, for example 0.05
    :param burst: maximum number of tokens
    """
    return RetryRatio(ratio, burst)
