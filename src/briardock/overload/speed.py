"""Speed of a target as the node beside it sees it, told to the nodes that choose.

Load pattern: two fifths of the instances of a service become several times slower
while each of many nodes sends them a request every few seconds
(``tests/test_overload_speed.py``). A sender learns that too late from its own
responses, while the node beside the target sees every run.
"""

import math

# Time constant of the moving sums of run times and of their number, s.
WINDOW_S = 2.0
# Weight of one run in the long-term mean, and the number of runs as which that mean
# counts beside those of the window.
LONG_TERM_WEIGHT = 0.02
PRIOR_RUNS = 3
# Ratio to the published time from which a change is published.
PUBLISHED_RATIO = 2.0
# Shortest time between two publications, s.
PUBLISH_PERIOD_S = 2.0
# Time without a run after which the published time is withdrawn, s: an instance that
# is avoided for its speed has to be tried again.
IDLE_TIME_S = 8.0
# Time for which the longest run counts at least, s.
LONGEST_RUN_WINDOW_S = 10.0


class SpeedMeter:
    """Mean run time of the last seconds, and the value published of it."""

    def __init__(self) -> None:
        # 0 if it is not known.
        self.published_s = 0.0
        self._long_term_mean_s = 0.0
        self._runs = 0
        self._window_runs = 0.0
        self._window_sum_s = 0.0
        self._run_ended_s = 0.0
        self._published_at_s = -math.inf

    def record_run(self, run_time_s: float, now: float) -> None:
        """Record a run that has ended.

        :param run_time_s: how long it took
        :param now: current time in s since boot
        """
        self._runs += 1
        decay = math.exp((self._run_ended_s - now) / WINDOW_S)
        self._run_ended_s = now
        self._window_runs = decay * self._window_runs + 1.0
        self._window_sum_s = decay * self._window_sum_s + run_time_s
        weight = max(LONG_TERM_WEIGHT, 1.0 / self._runs)
        self._long_term_mean_s += weight * (run_time_s - self._long_term_mean_s)

    def update(self, running_ages_s: list[float], now: float) -> bool:
        """Return whether the published time has changed.

        :param running_ages_s: times since the start of the current runs
        :param now: current time in s since boot
        """
        if now - self._published_at_s < PUBLISH_PERIOD_S:
            return False
        if not running_ages_s and now - self._run_ended_s > IDLE_TIME_S:
            self._runs, self._window_runs, self._window_sum_s = 0, 0.0, 0.0
            return self._publish(0.0, now)
        if self._runs < PRIOR_RUNS:
            return False
        run_time_s = self._estimate_s(running_ages_s, now)
        ratio = run_time_s / self.published_s if self.published_s else math.inf
        if 1.0 / PUBLISHED_RATIO < ratio < PUBLISHED_RATIO:
            return False
        return self._publish(run_time_s, now)

    def _estimate_s(self, running_ages_s: list[float], now: float) -> float:
        """Return the time spent on runs divided by the number of those that ended.

        Runs that have just become slower have not ended yet; the time spent on them
        counts already.
        """
        decay = math.exp((self._run_ended_s - now) / WINDOW_S)
        spent_s = PRIOR_RUNS * self._long_term_mean_s + decay * self._window_sum_s
        ended = PRIOR_RUNS + decay * self._window_runs
        return (spent_s + sum(running_ages_s)) / ended

    def _publish(self, run_time_s: float, now: float) -> bool:
        if self.published_s == run_time_s:
            return False
        self.published_s = run_time_s
        self._published_at_s = now
        return True


class LongestRun:
    """Longest run time of the last seconds.

    A few requests may run much longer than the mean.
    """

    def __init__(self) -> None:
        self._window_started_s = -math.inf
        self._window_s = self._previous_window_s = 0.0

    def record_run(self, run_time_s: float, now: float) -> None:
        """Record a run that has ended.

        :param run_time_s: how long it took
        :param now: current time in s since boot
        """
        if now - self._window_started_s > LONGEST_RUN_WINDOW_S:
            self._window_started_s = now
            self._previous_window_s, self._window_s = self._window_s, 0.0
        self._window_s = max(self._window_s, run_time_s)

    def value_s(self, running_ages_s: list[float]) -> float:
        """Return the longest run time, 0 if it is not known.

        :param running_ages_s: times since the start of the current runs
        """
        return max(self._window_s, self._previous_window_s, *running_ages_s, 0.0)
