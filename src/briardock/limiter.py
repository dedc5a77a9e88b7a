"""Adaptive concurrency limit of one target with an unknown number of slots.

A target whose slots are all taken queues requests inside. By Little's law every
request then waits (n - slots) / throughput, where n is the concurrency at its
admission; with free slots own time does not depend on n, however slow the
service is. The limit alternates between a high and a low value. Each decision
compares the own times of requests admitted near the two values, as a share of
the difference that queueing would cause.

Alternatives weighed with benchmarks/limiter_policy.py: additive increase with
decrease when own time exceeds twice its minimum takes slow service for queueing
and falls to the smallest limit; own time over its long-term mean grows to the
largest limit under lasting overload, as the mean follows the queue. A regression
of own time over concurrency was dominated by rare long requests. The shape of
own times alone, not measured, cannot tell a queue from a constant added delay.
"""

import math
from dataclasses import dataclass

from briardock.clock import Clock

# Low quantiles move with the internal queue but hardly with rare long requests;
# the median over several is robust against gaps between operations.
QUANTILES = (0.1, 0.2, 0.3, 0.4, 0.5)
# Queueing share that holds the limit. Below 1 the low value stays near the
# number of slots, so that the low phases hardly leave slots idle.
HELD_SHARE = 0.8
SHARE_BOUNDS = (-1.0, 2.0)
# A target that does not serve its queue in order hides the queue from the
# quantiles. Growth by this factor must therefore bring throughput with it.
CHECKED_GROWTH = 1.3
NEAR_GROWTH = 1.05
MIN_GAIN_SHARE = 0.3
BINDING_SHARE = 0.8
# Quantiles see a queue served in random order as a share of 0.4 to 0.7.
SUSPECT_SHARE = 0.25
SHARE_WEIGHT = 0.3
HOLD_MS = 1_000.0
# An older comparison would mistake a slowdown under light load for a queue.
ANCHOR_LIFETIME_MS = 3_000.0
START_SHARE = 0.4
START_GROWTH = 1.5
GAIN = 0.3
MAX_STREAK = 4
GROUP_SAMPLES = 64
MIN_PHASE_REQUESTS = 32
MIN_PAIRS = 2
MAX_PAIRS = 8


@dataclass(frozen=True, slots=True)
class LimiterSettings:
    """Settings of the concurrency limit.

    :param min_limit: smallest limit
    :param max_limit: largest limit, at most the connections the target takes
    :param initial_limit: limit before anything was measured
    :param cold_start_s: time of the ramp to the largest limit in s
    :param cold_start_fraction: share of the initial limit when the ramp starts
    :param probe_share: relative difference of the high and the low value
    """

    min_limit: int = 8
    max_limit: int = 400
    initial_limit: int = 32
    cold_start_s: float = 0.0
    cold_start_fraction: float = 0.2
    probe_share: float = 0.25


class _Group:
    """Observations made near one of the two values."""

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
class _Anchor:
    """Figures of a batch to which later growth is compared."""

    at_ms: float
    base: float
    concurrency: float
    rate: float
    own_time_ms: float


class Limiter:
    """Concurrency limit held where the target starts to queue inside.

    :param settings: checked settings
    :param clock: time source
    """

    def __init__(self, settings: LimiterSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._base = float(settings.initial_limit)
        self._ramping = settings.cold_start_s > 0
        self._starting = True
        self._streak = 0
        self._anchor = _Anchor(-math.inf, self._base, 0.0, 0.0, 0.0)
        self._hold_until_ms = -math.inf
        self._recent_share = 0.0
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
    def high_value(self) -> float:
        """Limit of the high phases, bounded by the ramp."""
        if self._ramping:
            return min(self._base, self._ramp_ceiling())
        return self._base

    @property
    def limit(self) -> int:
        """Requests that may run in the target now."""
        value = self.high_value
        if self._low_phase:
            value *= 1.0 - self._settings.probe_share
        return max(self._settings.min_limit, int(value))

    def _ramp_ceiling(self) -> float:
        """Return a bound that grows by a constant factor per time.

        The full limit is unknown, so the ramp ends at the largest one.
        """
        settings = self._settings
        elapsed_ms = self._clock.now_ms() - self._started_ms
        done = elapsed_ms / (settings.cold_start_s * 1000.0)
        if done >= 1.0:
            self._ramping = False
            return float(settings.max_limit)
        first = max(1.0, settings.cold_start_fraction * settings.initial_limit)
        return first * (settings.max_limit / first) ** done

    def observe(self, own_time_ms: float, in_flight: int, ok: bool) -> None:
        """Record one finished request.

        :param own_time_ms: time in the target without its child calls in ms
        :param in_flight: requests in the target at its admission, itself included
        :param ok: whether the target answered; a failure's time is not its service
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
        share = in_flight / self.high_value
        probe_share = self._settings.probe_share
        if share > 1.0 - 0.4 * probe_share:
            self._high.add(own_time_ms, in_flight)
        elif 1.0 - 1.4 * probe_share < share <= 1.0 - 0.6 * probe_share:
            self._low.add(own_time_ms, in_flight)

    def _end_phase(self) -> None:
        if self._low_phase:
            self._pairs_count += 1
            if self._pairs_count >= MIN_PAIRS:
                self._end_pair()
        self._low_phase = not self._low_phase
        self._phase_left = max(MIN_PHASE_REQUESTS, int(self.high_value))

    def _end_pair(self) -> None:
        smaller = min(len(self._high.times_ms), len(self._low.times_ms))
        if smaller >= GROUP_SAMPLES:
            share = self._queueing_share()
            if share is not None:
                self._decide(share)
        elif self._pairs_count < MAX_PAIRS:
            return
        self._reset_batch()

    def _queueing_share(self) -> float | None:
        """Return 0 for free slots up to 1 for a queue at both values."""
        elapsed_ms = self._clock.now_ms() - self._batch_from_ms
        step = self._high.mean_concurrency() - self._low.mean_concurrency()
        if elapsed_ms <= 0.0 or step <= 0.0:
            return None
        expected_ms = step * elapsed_ms / self._finished_count
        pairs = zip(self._high.quantiles_ms(), self._low.quantiles_ms(), strict=True)
        shifts_ms = sorted(high - low for high, low in pairs)
        share = shifts_ms[len(shifts_ms) // 2] / expected_ms
        return min(SHARE_BOUNDS[1], max(SHARE_BOUNDS[0], share))

    def _growth_was_useless(self) -> bool:
        """Compare throughput and own time with those before the limit grew."""
        now_ms = self._clock.now_ms()
        concurrency = self._concurrency_sum / self._finished_count
        if concurrency < BINDING_SHARE * self.high_value:
            return False
        rate = self._finished_count / (now_ms - self._batch_from_ms)
        own_time_ms = self._own_time_sum_ms / self._finished_count
        anchor = self._anchor
        recent = now_ms - anchor.at_ms < ANCHOR_LIFETIME_MS
        if recent and concurrency > anchor.concurrency * NEAR_GROWTH:
            growth = concurrency / anchor.concurrency
            if growth < CHECKED_GROWTH:
                return False
            needed = 1.0 + MIN_GAIN_SHARE * (growth - 1.0)
            slower = own_time_ms > anchor.own_time_ms * needed
            if slower and rate < anchor.rate * needed:
                return True
        self._anchor = _Anchor(now_ms, self.high_value, concurrency, rate, own_time_ms)
        return False

    def _decide(self, share: float) -> None:
        now_ms = self._clock.now_ms()
        useless = self._growth_was_useless()
        self._recent_share += SHARE_WEIGHT * (share - self._recent_share)
        if self._recent_share > SUSPECT_SHARE and share < HELD_SHARE:
            if useless:
                self._base = self._anchor.base
                self._hold_until_ms = now_ms + HOLD_MS
                self._starting = False
            if now_ms < self._hold_until_ms:
                return
        if self._starting:
            if share < START_SHARE:
                self._move(START_GROWTH)
                return
            self._starting = False
        excess = share - HELD_SHARE
        same_direction = excess * self._streak > 0
        self._streak = self._streak if same_direction else 0
        self._streak += 1 if excess > 0 else -1
        boost = min(MAX_STREAK, abs(self._streak))
        self._move(math.exp(-GAIN * boost * excess / MAX_STREAK))

    def _move(self, factor: float) -> None:
        settings = self._settings
        wanted = self.high_value * factor
        self._base = min(settings.max_limit, max(settings.min_limit, wanted))


def make_limiter(settings: LimiterSettings, clock: Clock) -> Limiter:
    """Return the concurrency limit of one target.

    :param settings: checked settings
    :param clock: time source
    """
    return Limiter(settings, clock)
