"""Admission thresholds of services and of their callees, learned from responses.

A response carries the threshold of its instance, and those of the services further
along the chain that do not admit everything. Each of the latter names its service and
the time since one of its instances reported it, so that a threshold neither returns
to its service nor outlives its cause where services call each other in a cycle.
"""

import math
from dataclasses import dataclass, field

from briardock.overload.admission import OPEN_THRESHOLD

# Time for which a threshold learned from a response applies unchanged, s.
THRESHOLD_LIFETIME_S = 3.0
# The same for the threshold of one instance among others, s. A threshold from further
# along the chain is ignored if it is older than the known one by more than this.
INSTANCE_THRESHOLD_LIFETIME_S = 1.0
# Time constant of the average over responses, s. Under load it covers many responses;
# after a pause only the newest one counts.
AVERAGING_TIME_S = 0.2
# Rise of a learned threshold per s once it is older than its lifetime. A service that
# refuses everything sends no responses; opening it at once would flood it.
RISE_PER_S = 1.0
# Distance from the maximum within which a learned threshold counts as open.
OPEN_MARGIN = 0.01


@dataclass(frozen=True, slots=True)
class ChainThreshold:
    """Admission threshold of a service further along the chain.

    :param threshold: threshold of the service
    :param age_s: time since an instance of the service reported it
    """

    threshold: float
    age_s: float


@dataclass(frozen=True, slots=True)
class InstanceThresholds:
    """Admission thresholds carried by the response of an instance.

    :param instance: threshold of the instance
    :param chain: thresholds of its direct and indirect callees by service; services
        that are missing admit everything
    """

    instance: float
    chain: dict[str, ChainThreshold] = field(default_factory=dict)


@dataclass(slots=True)
class _Average:
    """Average threshold of a service further along the chain of another one.

    :param threshold: moving average over responses of the other service
    :param updated_s: time of the last of these responses
    :param reported_s: latest time at which an instance of the service reported it
    """

    threshold: float
    updated_s: float
    reported_s: float


@dataclass(slots=True)
class _ServiceThresholds:
    """Thresholds learned from the responses of one service.

    :param by_node: threshold and time of the response, by node beside the instance
    :param last_response_s: time of the last response
    :param chain: services further along the chain that do not admit everything
    """

    by_node: dict[str, tuple[float, float]]
    last_response_s: float
    chain: dict[str, _Average]


def _raised_by_age(threshold: float, age_s: float) -> float:
    return threshold + max(0.0, age_s - THRESHOLD_LIFETIME_S) * RISE_PER_S


class LearnedThresholds:
    """Admission thresholds of services, learned from responses of their instances.

    Requests go to the instance with headroom, so the threshold of a service is that of
    its least loaded instance. All instances have the same callees; the thresholds of
    these are moving averages over responses.
    """

    def __init__(self) -> None:
        self._services: dict[str, _ServiceThresholds] = {}

    def learn(
        self,
        service: str,
        node_id: str,
        thresholds: InstanceThresholds,
        max_threshold: float,
        now: float,
    ) -> None:
        """Record the thresholds carried by a response.

        :param service: service of the instance that responded
        :param node_id: node beside the instance
        :param thresholds: thresholds in the response
        :param max_threshold: threshold above all priorities
        :param now: current time in s since boot
        """
        known = self._services.get(service)
        if known is None:
            known = self._services[service] = _ServiceThresholds({}, now, {})
            known.chain = {
                name: _Average(
                    min(reported.threshold, max_threshold), now, now - reported.age_s
                )
                for name, reported in thresholds.chain.items()
            }
        known.by_node[node_id] = (thresholds.instance, now)
        for name in thresholds.chain.keys() - known.chain.keys():
            known.chain[name] = _Average(max_threshold, known.last_response_s, 0.0)
        known.last_response_s = now
        for name in list(known.chain):
            reported = thresholds.chain.get(name, ChainThreshold(max_threshold, 0.0))
            average = known.chain[name]
            _update_average(
                average,
                min(reported.threshold, max_threshold),
                now,
                now - reported.age_s,
            )
            if average.threshold > max_threshold - OPEN_MARGIN:
                del known.chain[name]

    def along_chain(
        self,
        services: list[str],
        local_service: str,
        max_threshold: float,
        now: float,
    ) -> dict[str, ChainThreshold]:
        """Return the thresholds of services and of their callees.

        :param services: names of the services that the local target calls
        :param local_service: service of the local target, which is left out
        :param max_threshold: threshold above all priorities
        :param now: current time in s since boot
        """
        collected: dict[str, ChainThreshold] = {}
        for service in services:
            known = self._services.get(service)
            if known is None:
                continue
            age_s = now - known.last_response_s
            instance_threshold = _raised_by_age(_instance_threshold(known, now), age_s)
            _add_threshold(collected, service, instance_threshold, age_s, max_threshold)
            for name, average in known.chain.items():
                age_s = now - average.reported_s
                _add_threshold(
                    collected,
                    name,
                    _raised_by_age(average.threshold, age_s),
                    age_s,
                    max_threshold,
                )
        collected.pop(local_service, None)
        return collected

    def of_instances(self, service: str, now: float) -> float:
        """Return the threshold of the least loaded instance of a service.

        :param service: name of the service
        :param now: current time in s since boot
        """
        known = self._services.get(service)
        return OPEN_THRESHOLD if known is None else _instance_threshold(known, now)

    def of_service(
        self,
        service: str,
        max_threshold: float,
        now: float,
        needed: set[str] | None = None,
    ) -> float:
        """Return the lowest threshold of a service and its callees.

        :param service: name of the service
        :param max_threshold: threshold above all priorities
        :param now: current time in s since boot
        :param needed: callees that count, all if ``None``
        """
        known = self._services.get(service)
        if known is None:
            return OPEN_THRESHOLD
        threshold = _raised_by_age(
            _instance_threshold(known, now), now - known.last_response_s
        )
        for name, average in known.chain.items():
            if needed is not None and name not in needed:
                continue
            threshold = min(
                threshold, _raised_by_age(average.threshold, now - average.reported_s)
            )
        return OPEN_THRESHOLD if threshold > max_threshold - OPEN_MARGIN else threshold


def _instance_threshold(known: _ServiceThresholds, now: float) -> float:
    """Return the threshold of the least loaded instance.

    The last response is used regardless of its age.
    """
    oldest_s = min(now - INSTANCE_THRESHOLD_LIFETIME_S, known.last_response_s)
    return max(
        threshold
        for threshold, received_s in known.by_node.values()
        if received_s >= oldest_s
    )


def _update_average(
    average: _Average, threshold: float, now: float, reported_s: float
) -> None:
    """Update an average by the threshold of a response, unless that is outdated."""
    if reported_s < average.reported_s - INSTANCE_THRESHOLD_LIFETIME_S:
        return
    weight = 1.0 - math.exp(-(now - average.updated_s) / AVERAGING_TIME_S)
    average.threshold += weight * (threshold - average.threshold)
    average.updated_s = now
    average.reported_s = max(average.reported_s, reported_s)


def _add_threshold(
    collected: dict[str, ChainThreshold],
    service: str,
    threshold: float,
    age_s: float,
    max_threshold: float,
) -> None:
    """Add a threshold unless it admits everything or a newer one was added."""
    if threshold > max_threshold - OPEN_MARGIN:
        return
    other = collected.get(service)
    if other is None or age_s < other.age_s:
        collected[service] = ChainThreshold(threshold, age_s)
