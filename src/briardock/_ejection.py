"""Outlier ejection: failing or slow instances get no calls for a while."""

import random
from statistics import median

from briardock._instances import RoutingSettings, ServiceInstances, TrackedInstance
from briardock.events import Event, emit
from briardock.metrics import Metrics

LATENCY_WEIGHT = 0.1
FAILURE_WEIGHT = 0.15
MAX_BACKOFF_EXPONENT = 10
# Comparing an instance with all its peers is too costly for every response.
SLOW_CHECK_RESPONSES = 10
# An instance that stays healthy for this many times the duration of its last
# ejection has its ejection count reduced by one.
BACKOFF_DECAY_DURATIONS = 2.0


class Ejector:
    """Ejects outliers, each time for longer up to a maximum.

    :param settings: checked settings
    :param rng: random source
    :param metrics: counters of the process
    """

    def __init__(
        self, settings: RoutingSettings, rng: random.Random, metrics: Metrics
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._metrics = metrics

    def record_success(
        self,
        entry: TrackedInstance,
        service: ServiceInstances,
        latency_ms: float,
        now_ms: float,
    ) -> None:
        """Record a response and eject its instance if it is slow."""
        entry.observed_count += 1
        entry.failure_share *= 1.0 - FAILURE_WEIGHT
        weight = max(LATENCY_WEIGHT, 1.0 / entry.observed_count)
        entry.latency_ms += weight * (latency_ms - entry.latency_ms)
        if entry.probes_left:
            entry.probes_left -= 1
            return
        if entry.observed_count % SLOW_CHECK_RESPONSES == 0:
            self._decay_backoff(entry, now_ms)
            if self._is_slow(entry, service):
                self._eject(entry, service, now_ms)

    def record_failure(
        self, entry: TrackedInstance, service: ServiceInstances, now_ms: float
    ) -> None:
        """Record a failure and eject its instance if its failure share is too high."""
        entry.observed_count += 1
        entry.failure_share += FAILURE_WEIGHT * (1.0 - entry.failure_share)
        fails = entry.failure_share > self._settings.eject_failure_share
        if entry.probes_left or fails:
            self._eject(entry, service, now_ms)

    def _is_slow(self, entry: TrackedInstance, service: ServiceInstances) -> bool:
        settings = self._settings
        if entry.observed_count < settings.eject_min_observations:
            return False
        if entry.latency_ms < settings.eject_slow_min_ms:
            return False
        peers = [
            item.latency_ms
            for item in service.members
            if item is not entry and item.observed_count
        ]
        if not peers:
            return False
        return entry.latency_ms > settings.eject_slow_factor * median(peers)

    def _eject(
        self, entry: TrackedInstance, service: ServiceInstances, now_ms: float
    ) -> None:
        if entry.ejected_until_ms > now_ms:
            return
        members = service.members
        ejected_count = sum(
            item.ejected_until_ms > now_ms or item.probes_left > 0
            for item in members
            if item is not entry
        )
        if ejected_count >= self._max_ejected(len(members)):
            return
        duration_ms = self._duration_ms(entry.ejections_count)
        entry.ejected_until_ms = now_ms + duration_ms * (0.9 + 0.2 * self._rng.random())
        entry.ejections_count += 1
        entry.probes_left = self._settings.probe_successes
        entry.failure_share = 0.0
        entry.observed_count = 0
        self._metrics.count("routing.ejected")
        emit(
            Event.INSTANCE_EJECTED,
            node_id=entry.instance.node_id,
            service=entry.instance.service,
            duration_ms=round(duration_ms),
        )

    def _duration_ms(self, ejections_count: int) -> float:
        exponent = min(ejections_count, MAX_BACKOFF_EXPONENT)
        settings = self._settings
        return min(settings.eject_max_ms, settings.eject_base_ms * 2**exponent)

    def _decay_backoff(self, entry: TrackedInstance, now_ms: float) -> None:
        if not entry.ejections_count:
            return
        duration_ms = self._duration_ms(entry.ejections_count - 1)
        if now_ms - entry.ejected_until_ms > BACKOFF_DECAY_DURATIONS * duration_ms:
            entry.ejections_count -= 1
            entry.ejected_until_ms = now_ms

    def _max_ejected(self, instances_count: int) -> int:
        if instances_count < 2:
            return 0
        return max(1, int(instances_count * self._settings.eject_max_share))
