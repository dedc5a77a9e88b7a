"""Return of refused requests: when callers come back, and who is admitted first.

Load pattern: demand exceeds the capacity of a deep service for seconds, and callers
that were refused come back once (``tests/test_overload_returns.py``). If a return has
the same chance as a first attempt, the returns displace first attempts that could
still be answered in time, and are late themselves; callers that ignore the
retry-after time gain by it.
"""

import random
from dataclasses import dataclass

# Share of a priority that has to be admitted before its returns are admitted as well;
# from there on their share rises linearly.
RETURN_START_SHARE = 0.75
# Share of a priority from which a shortage counts as small: a refused request is then
# told to come back in time for its latency objective.
SMALL_SHORTAGE_SHARE = 0.6
# Largest part of its remaining time that a caller waits before it comes back.
MAX_WAIT_SHARE = 1 / 3
# Range of the random time until the return, as a share of the longest useful one.
EARLY_RETURN_RANGE = (0.35, 1.0)
LATE_RETURN_RANGE = (0.55, 1.0)
# Shortest retry-after time, s.
MIN_RETRY_AFTER_S = 0.05
# Difference of a deadline from the usual one above which a request is a return, s.
MIN_AGE_S = 0.004
# Time constant at which the usual deadline of a route follows shorter ones, s, and
# that of the share of requests with the usual deadline.
DEADLINE_MEMORY_S = 20.0
FIRST_SHARE_WEIGHT = 0.02
# Share of first attempts below which the deadlines of a route tell nothing about the
# age of its requests.
MIN_FIRST_SHARE = 0.3


class AttemptAge:
    """Estimates how long ago the callers of one route sent their first attempts.

    Callers wait for a constant time, so an attempt with a shorter deadline than usual
    is a return.
    """

    def __init__(self) -> None:
        self._usual_s = 0.0
        self._updated_s = 0.0
        self._first_share = 1.0

    def observe(self, deadline_s: float, now: float) -> float:
        """Return the time since the first attempt of a request, in s.

        :param deadline_s: time for which its caller waits
        :param now: current time in s since boot
        """
        elapsed_s, self._updated_s = now - self._updated_s, now
        decay = min(1.0, elapsed_s / DEADLINE_MEMORY_S)
        self._usual_s -= decay * max(0.0, self._usual_s - deadline_s)
        self._usual_s = max(self._usual_s, deadline_s)
        age_s = self._usual_s - deadline_s
        is_first = age_s <= MIN_AGE_S
        self._first_share += FIRST_SHARE_WEIGHT * (is_first - self._first_share)
        if is_first or self._first_share < MIN_FIRST_SHARE:
            return 0.0
        return age_s


def return_share(share: float) -> float:
    """Return the share of returns to admit.

    :param share: share of first attempts of the same priority that is admitted
    """
    return max(0.0, (share - RETURN_START_SHARE) / (1.0 - RETURN_START_SHARE))


@dataclass(frozen=True, slots=True)
class Refused:
    """A request that is refused, as far as its return depends on it.

    :param objective_s: latency objective of its route
    :param remaining_s: time for which its caller still waits
    :param age_s: time since its first attempt
    :param response_time_s: usual time to the response on its route
    :param share: share of its priority that is admitted
    """

    objective_s: float
    remaining_s: float
    age_s: float
    response_time_s: float
    share: float


def retry_after_s(refused: Refused, rng: random.Random) -> float:
    """Return the time after which a refused request is to come back, in s.

    The times are spread, so that returns do not arrive as a wave.

    :param refused: the request
    :param rng: random source
    """
    longest_s = refused.remaining_s * MAX_WAIT_SHARE
    in_time_s = refused.objective_s - refused.age_s - refused.response_time_s
    if refused.share >= SMALL_SHORTAGE_SHARE and in_time_s > MIN_RETRY_AFTER_S:
        wait_s = rng.uniform(*EARLY_RETURN_RANGE) * min(in_time_s, longest_s)
    else:
        wait_s = rng.uniform(*LATE_RETURN_RANGE) * longest_s
    return max(MIN_RETRY_AFTER_S, wait_s)
