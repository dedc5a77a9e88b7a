"""Speed of a target as the node beside it sees it, told to the nodes that choose.

Load pattern: two fifths of the instances of a service become several times slower
while each of many nodes sends them a request every few seconds
(``tests/test_overload_speed.py``). A sender learns that too late from its own
responses, while the node beside the target sees every run.
"""

import math

# Time constant of the moving average of run times, s, and the largest weight of one
# run, so that a single long one does not count as a change of speed.
AVERAGING_TIME_S = 1.0
MAX_WEIGHT = 0.2
# Ratio to the published time from which a change is published.
PUBLISHED_RATIO = 2.0
# Shortest time between two publications, s.
PUBLISH_PERIOD_S = 1.0
# Time without a run after which the published time is halved, s: an instance that is
# avoided for its speed has to be tried again.
IDLE_DECAY_S = 1.0
# Published times below this are not told apart, s.
MIN_PUBLISHED_S = 0.005


class SpeedMeter:
    """Moving average of run times, and the value published of it."""

    def __init__(self) -> None:
        self.published_s = 0.0
        self._mean_s = 0.0
        self._run_ended_s = 0.0
        self._published_at_s = -math.inf

    def record_run(self, run_time_s: float, now: float) -> None:
        """Record a run that has ended.

        :param run_time_s: how long it took
        :param now: current time in s since boot
        """
        if self._mean_s == 0.0:
            self._mean_s = run_time_s
        elapsed_s, self._run_ended_s = now - self._run_ended_s, now
        weight = min(MAX_WEIGHT, 1.0 - math.exp(-elapsed_s / AVERAGING_TIME_S))
        self._mean_s += weight * (run_time_s - self._mean_s)

    def update(self, running_ages_s: list[float], now: float) -> bool:
        """Return whether the published time has changed.

        :param running_ages_s: times since the start of the current runs
        :param now: current time in s since boot
        """
        if now - self._published_at_s < PUBLISH_PERIOD_S:
            return False
        if running_ages_s:
            # Runs that have just become slower have not ended yet.
            mean_age_s = sum(running_ages_s) / len(running_ages_s)
            run_time_s = max(self._mean_s, mean_age_s)
        elif now - self._run_ended_s > IDLE_DECAY_S:
            self._mean_s /= 2
            run_time_s = self._mean_s
        else:
            run_time_s = self._mean_s
        current_s = max(MIN_PUBLISHED_S, self.published_s)
        run_time_s = max(MIN_PUBLISHED_S, run_time_s)
        if 1 / PUBLISHED_RATIO < run_time_s / current_s < PUBLISHED_RATIO:
            return False
        self.published_s = run_time_s
        self._published_at_s = now
        return True
