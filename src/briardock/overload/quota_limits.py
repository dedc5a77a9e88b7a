"""Limits of client accounts, and the bound on their admissions."""

import math
from dataclasses import dataclass
from zlib import crc32

# Time constant of the demand estimate, s.
DEMAND_TIME_S = 0.6
# Part of the tolerance of the bound that is left for nodes that have just started.
STARTING_RATIO = 0.3
# Deviations by which the estimate of a demand exceeds the rate of a limited account.
DEMAND_DEVIATIONS = 2.0


@dataclass(frozen=True, slots=True)
class QuotaLimit:
    """Limit of one account over all nodes.

    :param rate_per_s: admitted requests per second
    :param burst: requests admitted in addition within a short time
    """

    rate_per_s: float
    burst: float

    def is_exceeded_by(self, demand_per_s: float) -> bool:
        """Return whether a demand exceeds the rate by more than its estimate varies.

        :param demand_per_s: estimated demand at all nodes
        """
        deviation_per_s = math.sqrt(self.rate_per_s / (2.0 * DEMAND_TIME_S))
        return demand_per_s > self.rate_per_s + DEMAND_DEVIATIONS * deviation_per_s

    @property
    def tag(self) -> int:
        """Distinguishes grants of this limit from those of an earlier one."""
        return crc32(f"{self.rate_per_s:g} {self.burst:g}".encode())


@dataclass(frozen=True, slots=True)
class QuotaSettings:
    """Bound on the admissions of an account in a window.

    :param window_s: length of the window
    :param over_ratio: admissions beyond the limit, as a share of it
    :param slack: admissions beyond the limit, as a number
    """

    window_s: float = 5.0
    over_ratio: float = 0.1
    slack: float = 20.0

    def bound(self, limit: QuotaLimit) -> float:
        """Return the largest number of admissions in a window.

        :param limit: limit of the account
        """
        within = limit.rate_per_s * self.window_s + limit.burst
        return within * (1.0 + self.over_ratio) + self.slack

    def slots(self, limit: QuotaLimit, is_starting: bool) -> float:
        """Return the slots of all nodes together.

        A part of the tolerance is left for nodes that have just started, as what the
        process before them admitted still counts.

        :param limit: limit of the account
        :param is_starting: whether they are for nodes that have just started
        """
        bound = self.bound(limit)
        within = limit.rate_per_s * self.window_s + limit.burst
        for_start = STARTING_RATIO * (bound - within)
        return for_start if is_starting else bound - for_start
