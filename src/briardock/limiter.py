"""Adaptive concurrency limit of one target with an unknown number of slots."""

from dataclasses import dataclass

from briardock.clock import Clock

# Elasticity of own time by concurrency is 0 with free slots and 1 with a queue.
QUEUEING_ELASTICITY = 0.5
FREE_ELASTICITY = 0.3


@dataclass(frozen=True, slots=True)
class LimiterSettings:
    """Settings of the concurrency limit.

    :param min_limit: smallest limit
    :param max_limit: largest limit, at most the connections the target takes
    :param initial_limit: limit before anything was measured
    :param cold_start_s: time of the ramp from the fraction to the full limit in s
    :param cold_start_fraction: share of the limit at the start of the ramp
    :param dither: relative amplitude of the changes that probe the target
    :param phase_ms: duration of one high or low phase of the probing in ms
    :param decision_samples: observations per decision
    """

    min_limit: int = 8
    max_limit: int = 400
    initial_limit: int = 32
    cold_start_s: float = 0.0
    cold_start_fraction: float = 0.2
    dither: float = 0.15
    phase_ms: float = 100.0
    decision_samples: int = 200


class Limiter:
    """Concurrency limit moved by the slope of own time over concurrency.

    A target with free slots has an own time that does not depend on the
    concurrency, however slow its service is; a target whose slots are taken
    queues inside, and own time grows in proportion to the concurrency. The limit
    alternates between a high and a low phase so that the slope is measurable at
    saturation, and the decision compares only observations made close in time.

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
        self._reset_sums()

    def _reset_sums(self) -> None:
        self._count = 0
        self._sum_n = 0.0
        self._sum_t = 0.0
        self._sum_nn = 0.0
        self._sum_nt = 0.0

    @property
    def base_limit(self) -> float:
        """Limit without ramp and probing phase."""
        return self._base

    @property
    def limit(self) -> int:
        """Requests that may run in the target now."""
        settings = self._settings
        now_ms = self._clock.now_ms()
        value = self._base * self._phase_factor(now_ms)
        if self._ramping:
            value *= self._ramp_factor(now_ms)
        bounded = min(float(settings.max_limit), max(float(settings.min_limit), value))
        return int(bounded)

    def _phase_factor(self, now_ms: float) -> float:
        phase = int((now_ms - self._started_ms) / self._settings.phase_ms)
        return 1.0 - self._settings.dither if phase % 2 else 1.0

    def _ramp_factor(self, now_ms: float) -> float:
        settings = self._settings
        done = (now_ms - self._started_ms) / (settings.cold_start_s * 1000.0)
        if done >= 1.0:
            self._ramping = False
            return 1.0
        fraction = settings.cold_start_fraction
        return fraction + (1.0 - fraction) * done

    def observe(self, own_time_ms: float, in_flight: int, ok: bool) -> None:
        """Record one finished request.

        :param own_time_ms: time in the target without its child calls in ms
        :param in_flight: requests in the target when this one was admitted
        :param ok: whether the target answered; fast failures say nothing
        """
        if not ok and own_time_ms * self._count < self._sum_t:
            return
        self._count += 1
        self._sum_n += in_flight
        self._sum_t += own_time_ms
        self._sum_nn += in_flight * in_flight
        self._sum_nt += in_flight * own_time_ms
        if self._count >= self._settings.decision_samples:
            self._decide()

    def _decide(self) -> None:
        mean_n = self._sum_n / self._count
        mean_t = self._sum_t / self._count
        variance = self._sum_nn / self._count - mean_n * mean_n
        covariance = self._sum_nt / self._count - mean_n * mean_t
        self._reset_sums()
        if variance <= 0.0 or mean_t <= 0.0:
            return
        elasticity = covariance / variance * mean_n / mean_t
        if elasticity > QUEUEING_ELASTICITY:
            self._starting = False
            self._move(0.9)
        elif elasticity < FREE_ELASTICITY and mean_n > 0.7 * self.limit:
            self._move(1.5 if self._starting else 1.08)

    def _move(self, factor: float) -> None:
        settings = self._settings
        wanted = self._base * factor
        self._base = min(settings.max_limit, max(settings.min_limit, wanted))


def make_limiter(settings: LimiterSettings, clock: Clock) -> Limiter:
    """Return the concurrency limit of one target.

    :param settings: checked settings
    :param clock: time source
    """
    return Limiter(settings, clock)
