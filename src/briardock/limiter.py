"""Adaptive concurrency limit of one target with an unknown number of slots.

A target with all slots in use queues further requests internally. By Little's law
every request then waits (n - slots) / throughput, where n is the concurrency at
its admission. With free slots the own time, which is the time in the target
excluding child calls, does not depend on n, however slow the service is. The limit
alternates between a high and a low value. Each adjustment compares the own times
of requests admitted near the two values and expresses their difference as a share
of the difference that queueing would cause.

Alternatives compared with benchmarks/limiter_policy.py: additive increase, with a
decrease when the own time exceeds twice its minimum, mistakes slow service for
queueing and falls to the minimum limit. The ratio of the own time to its long-term
mean grows to the maximum limit under lasting overload, because the mean follows
the queue. A regression of own time on concurrency was dominated by rare long
requests. The distribution of own times alone was not tried, because it cannot
distinguish a queue from a constant added delay.
"""

import math
from dataclasses import dataclass

from briardock.clock import Clock

# Low quantiles follow the internal queue and are hardly affected by rare long
# requests. The median over several of them is robust against gaps between the
# service times of different operations.
QUANTILES = (0.1, 0.2, 0.3, 0.4, 0.5)
# Queueing share at which the limit stays constant. With a value below 1 the low
# limit stays near the number of slots, so low phases leave few slots idle.
TARGET_QUEUEING_SHARE = 0.8
QUEUEING_SHARE_BOUNDS = (-1.0, 2.0)
# The quantiles underestimate the queue of a target that does not serve it in order.
# Growth by this factor must therefore also increase throughput.
MIN_CHECKED_GROWTH = 1.3
MIN_COMPARED_GROWTH = 1.05
MIN_GAIN_SHARE = 0.3
MIN_LIMIT_USE = 0.8
# A queue served in random order shows as a queueing share of 0.4 to 0.7.
SUSPECTED_QUEUEING_SHARE = 0.25
QUEUEING_SHARE_WEIGHT = 0.3
GROWTH_HOLD_MS = 1_000.0
# With an older baseline, a slowdown under light load would be taken for a queue.
BASELINE_LIFETIME_MS = 3_000.0
SLOW_START_MAX_SHARE = 0.4
SLOW_START_GROWTH = 1.5
GAIN = 0.3
MAX_STREAK = 4
MIN_GROUP_SAMPLES = 64
MIN_PHASE_REQUESTS = 32
MIN_PAIRS = 2
MAX_PAIRS = 8


@dataclass(frozen=True, slots=True)
class LimiterSettings:
    """Settings of the concurrency limit.

    :param min_limit: minimum limit
    :param max_limit: maximum limit, at most the connections the target accepts
    :param initial_limit: limit before the first measurement
    :param cold_start_s: duration of the ramp to the maximum limit in s
    :param cold_start_fraction: share of the initial limit at the start of the ramp
    :param probe_share: relative difference between the high and the low limit
    """

    min_limit: int = 8
    max_limit: int = 400
    initial_limit: int = 32
    cold_start_s: float = 0.0
    cold_start_fraction: float = 0.2
    probe_share: float = 0.25


class _Group:
    """Observations of requests admitted near the high or the low limit."""

    __slots__ = ("concurrency_sum", "times_ms")

    def __init__(self) -> None:
        self.times_ms: list[float] = []
        self.concurrency_sum = 0

    def add(self, own_time_ms: float, in_flight: int) -> None:
        self.times_ms.append(own_time_ms)
        self.concurrency_sum += in_flight

    def mean_concurrency(self) -> float:
        return self.concurrency_sum / len(self.times_ms)

    def quantiles_ms(self) -> list[float]:
        ordered = sorted(self.times_ms)
        return [ordered[int(share * len(ordered))] for share in QUANTILES]


@dataclass(frozen=True, slots=True)
class _Baseline:
    """Measurements of a batch with which later growth is compared."""

    at_ms: float
    measured_limit: float
    concurrency: float
    rate: float
    own_time_ms: float


class Limiter:
    """Concurrency limit kept where the target starts to queue internally.

    :param settings: checked settings
    :param clock: time source
    """

    def __init__(self, settings: LimiterSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._unramped_limit = float(settings.initial_limit)
        self._ramping = settings.cold_start_s > 0
        self._slow_start = True
        self._direction_streak = 0
        self._baseline = _Baseline(-math.inf, self._unramped_limit, 0.0, 0.0, 0.0)
        self._growth_held_until_ms = -math.inf
        self._mean_queueing_share = 0.0
        self._low_phase = False
        self._phase_left = MIN_PHASE_REQUESTS
        self._reset_batch()

    def _reset_batch(self) -> None:
        self._high = _Group()
        self._low = _Group()
        self._finished_count = 0
        self._concurrency_sum = 0
        self._own_time_sum_ms = 0.0
        self._pairs_count = 0
        self._batch_from_ms = self._clock.now_ms()

    @property
    def high_limit(self) -> float:
        """Limit of the high phases, bounded by the cold-start ramp."""
        if self._ramping:
            return min(self._unramped_limit, self._ramp_limit())
        return self._unramped_limit

    @property
    def limit(self) -> int:
        """Number of requests that may be in the target now."""
        value = self.high_limit
        if self._low_phase:
            value *= 1.0 - self._settings.probe_share
        return max(self._settings.min_limit, int(value))

    def _ramp_limit(self) -> float:
        """Return a bound that grows exponentially with time.

        The limit of the warm target is unknown, so the ramp ends at the maximum.
        """
        settings = self._settings
        elapsed_ms = self._clock.now_ms() - self._started_ms
        done = elapsed_ms / (settings.cold_start_s * 1000.0)
        if done >= 1.0:
            self._ramping = False
            return float(settings.max_limit)
        initial = max(1.0, settings.cold_start_fraction * settings.initial_limit)
        return initial * (settings.max_limit / initial) ** done

    def observe(self, own_time_ms: float, in_flight: int, ok: bool) -> None:
        """Record one finished request.

        :param own_time_ms: time in the target excluding its child calls in ms
        :param in_flight: requests in the target at its admission, itself included
        :param ok: whether the target responded; failures say nothing about the
            service time
        """
        self._finished_count += 1
        self._concurrency_sum += in_flight
        self._own_time_sum_ms += own_time_ms
        if ok:
            self._group_by_concurrency(own_time_ms, in_flight)
        self._phase_left -= 1
        if self._phase_left <= 0:
            self._end_phase()

    def _group_by_concurrency(self, own_time_ms: float, in_flight: int) -> None:
        share = in_flight / self.high_limit
        probe_share = self._settings.probe_share
        if share > 1.0 - 0.4 * probe_share:
            self._high.add(own_time_ms, in_flight)
        elif 1.0 - 1.4 * probe_share < share <= 1.0 - 0.6 * probe_share:
            self._low.add(own_time_ms, in_flight)

    def _end_phase(self) -> None:
        if self._low_phase:
            self._pairs_count += 1
            if self._pairs_count >= MIN_PAIRS:
                self._evaluate_batch()
        self._low_phase = not self._low_phase
        self._phase_left = max(MIN_PHASE_REQUESTS, int(self.high_limit))

    def _evaluate_batch(self) -> None:
        min_samples = min(len(self._high.times_ms), len(self._low.times_ms))
        if min_samples >= MIN_GROUP_SAMPLES:
            share = self._queueing_share()
            if share is not None:
                self._adjust_limit(share)
        elif self._pairs_count < MAX_PAIRS:
            return
        self._reset_batch()

    def _queueing_share(self) -> float | None:
        """Return 0 for free slots up to 1 for queueing at both limits."""
        elapsed_ms = self._clock.now_ms() - self._batch_from_ms
        step = self._high.mean_concurrency() - self._low.mean_concurrency()
        if elapsed_ms <= 0.0 or step <= 0.0:
            return None
        expected_ms = step * elapsed_ms / self._finished_count
        pairs = zip(self._high.quantiles_ms(), self._low.quantiles_ms(), strict=True)
        shifts_ms = sorted(high - low for high, low in pairs)
        share = shifts_ms[len(shifts_ms) // 2] / expected_ms
        return min(QUEUEING_SHARE_BOUNDS[1], max(QUEUEING_SHARE_BOUNDS[0], share))

    def _growth_was_ineffective(self) -> bool:
        """Return whether growth slowed requests without more throughput."""
        now_ms = self._clock.now_ms()
        concurrency = self._concurrency_sum / self._finished_count
        if concurrency < MIN_LIMIT_USE * self.high_limit:
            return False
        rate = self._finished_count / (now_ms - self._batch_from_ms)
        own_time_ms = self._own_time_sum_ms / self._finished_count
        baseline = self._baseline
        recent = now_ms - baseline.at_ms < BASELINE_LIFETIME_MS
        if recent and concurrency > baseline.concurrency * MIN_COMPARED_GROWTH:
            growth = concurrency / baseline.concurrency
            if growth < MIN_CHECKED_GROWTH:
                return False
            needed = 1.0 + MIN_GAIN_SHARE * (growth - 1.0)
            slower = own_time_ms > baseline.own_time_ms * needed
            if slower and rate < baseline.rate * needed:
                return True
        self._baseline = _Baseline(
            now_ms, self.high_limit, concurrency, rate, own_time_ms
        )
        return False

    def _adjust_limit(self, share: float) -> None:
        now_ms = self._clock.now_ms()
        ineffective = self._growth_was_ineffective()
        self._mean_queueing_share += QUEUEING_SHARE_WEIGHT * (
            share - self._mean_queueing_share
        )
        if (
            self._mean_queueing_share > SUSPECTED_QUEUEING_SHARE
            and share < TARGET_QUEUEING_SHARE
        ):
            if ineffective:
                self._unramped_limit = self._baseline.measured_limit
                self._growth_held_until_ms = now_ms + GROWTH_HOLD_MS
                self._slow_start = False
            if now_ms < self._growth_held_until_ms:
                return
        if self._slow_start:
            if share < SLOW_START_MAX_SHARE:
                self._scale_limit(SLOW_START_GROWTH)
                return
            self._slow_start = False
        excess = share - TARGET_QUEUEING_SHARE
        same_direction = excess * self._direction_streak > 0
        self._direction_streak = self._direction_streak if same_direction else 0
        self._direction_streak += 1 if excess > 0 else -1
        boost = min(MAX_STREAK, abs(self._direction_streak))
        self._scale_limit(math.exp(-GAIN * boost * excess / MAX_STREAK))

    def _scale_limit(self, factor: float) -> None:
        settings = self._settings
        scaled = self.high_limit * factor
        self._unramped_limit = min(settings.max_limit, max(settings.min_limit, scaled))


def make_limiter(settings: LimiterSettings, clock: Clock) -> Limiter:
    """Return the concurrency limit of one target.

    :param settings: checked settings
    :param clock: time source
    """
    return Limiter(settings, clock)
