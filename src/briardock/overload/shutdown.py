"""When a node that is shutting down has to end, and which requests it still accepts.

Load pattern: callers go on sending to a node after its stop signal, because their load
balancer follows the readiness checks late or has too few other nodes
(``tests/test_overload_shutdown.py``). A request that is accepted must be answered
before the process exits, or its caller cannot know whether it has run.
"""

from dataclasses import dataclass

# Longest time after the stop signal for which every request is accepted, s. Callers are
# directed elsewhere after two failed readiness checks, one second apart.
MAX_ACCEPT_ALL_S = 2.8
# Largest part of the grace period for which every request is accepted.
ACCEPT_ALL_SHARE = 0.5
# Time before the end of the grace period at which the requests still in flight are
# answered, s, so that the answers are written before the process is killed, and the
# largest part of the grace period for it: a target may use all but the last sixth.
ANSWER_MARGIN_S = 0.3
MAX_ANSWER_MARGIN_SHARE = 1 / 6
# Multiple of the longest recent run time that a call is assumed to take at most.
RUN_TIME_FACTOR = 1.5
# Time between two runs of a periodic task above which the process was stalled, s.
MIN_STALL_S = 0.5
# Time after a stall in which a signal that was sent during it is handled, s.
SIGNAL_DELAY_S = 0.1
# Largest part of the grace period that counts as passed because of a stall.
MAX_UNNOTICED_SHARE = 0.5


class StallMeter:
    """Estimates when a signal was sent, of which a frozen process learns later.

    :param now: current time in s since boot
    """

    def __init__(self, now: float) -> None:
        self._last_run_s = now
        self._stall_start_s = self._stall_end_s = 0.0

    def record_run(self, now: float) -> None:
        """Record that a task which runs several times a second has run.

        :param now: current time in s since boot
        """
        if now - self._last_run_s > MIN_STALL_S:
            self._stall_start_s, self._stall_end_s = self._last_run_s, now
        self._last_run_s = now

    def signal_time_s(self, now: float, grace_s: float) -> float:
        """Return the earliest time at which a signal that is handled now was sent.

        :param now: current time in s since boot
        :param grace_s: time from the signal until the process is killed
        """
        self.record_run(now)
        if now >= self._stall_end_s + SIGNAL_DELAY_S:
            return now
        return max(self._stall_start_s, now - MAX_UNNOTICED_SHARE * grace_s)


@dataclass(frozen=True, slots=True)
class Shutdown:
    """Time limits of a shutdown.

    :param started_s: time of the stop signal, in s since boot
    :param grace_s: time from the signal until the process is killed
    """

    started_s: float
    grace_s: float

    @property
    def accepts_all_until_s(self) -> float:
        """Time until which every request is accepted, in s since boot."""
        accept_all_s = min(MAX_ACCEPT_ALL_S, ACCEPT_ALL_SHARE * self.grace_s)
        return self.started_s + accept_all_s

    @property
    def ends_s(self) -> float:
        """Time at which the remaining requests are answered, in s since boot."""
        margin_s = min(ANSWER_MARGIN_S, MAX_ANSWER_MARGIN_SHARE * self.grace_s)
        return self.started_s + self.grace_s - margin_s

    def accepts(self, expires_s: float, now: float) -> bool:
        """Return whether a caller's request is accepted.

        Later requests are accepted if they expire before the end: they are answered in
        any case by then.

        :param expires_s: latest time of the final response, in s since boot
        :param now: current time in s since boot
        """
        return now < self.accepts_all_until_s or expires_s <= self.ends_s

    def accepts_call(
        self, expires_s: float, idempotent: bool, longest_run_s: float, now: float
    ) -> bool:
        """Return whether a call of another node is accepted.

        A call that may be repeated is accepted as long as it is likely to complete,
        because this node may be beside the last instance of its service.

        :param expires_s: time at which its result is no longer wanted
        :param idempotent: whether it may run more than once
        :param longest_run_s: longest recent run at the target, 0 if unknown
        :param now: current time in s since boot
        """
        if (
            idempotent
            and longest_run_s
            and now + RUN_TIME_FACTOR * longest_run_s <= self.ends_s
        ):
            return True
        return self.accepts(expires_s, now)
