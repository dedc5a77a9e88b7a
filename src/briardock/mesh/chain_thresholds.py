"""Admission thresholds of services and of the chains behind them, at one node."""

from collections.abc import Callable
from typing import TypeVar

from briardock.mesh.callgraph import CalledServices
from briardock.mesh.model import now_s
from briardock.mesh.target import Target
from briardock.overload.attempts import has_room_elsewhere
from briardock.overload.board import EntryThresholds
from briardock.overload.chain import (
    ChainThreshold,
    InstanceThresholds,
    LearnedThresholds,
)
from briardock.overload.placement import Balancer

# Time for which thresholds along a chain are cached, s; a node handles up to thousands
# of calls a second.
CHAIN_CACHE_S = 0.02

T = TypeVar("T")


class ChainThresholds:
    """Thresholds that a node tells, and those by which it admits and hands on.

    :param target: target beside the node
    :param balancer: chooses instances
    :param learned: thresholds learned from responses
    :param of_entry: thresholds by which callers' requests are admitted
    :param called_services: services that the local target calls
    :param max_threshold: returns the threshold above the priorities of all routes
    """

    def __init__(
        self,
        target: Target,
        balancer: Balancer,
        learned: LearnedThresholds,
        of_entry: EntryThresholds,
        called_services: CalledServices,
        max_threshold: Callable[[], float],
    ) -> None:
        self._target = target
        self._balancer = balancer
        self._learned = learned
        self._of_entry = of_entry
        self._called_services = called_services
        self._max_threshold = max_threshold
        self._chain: dict[str, ChainThreshold] = {}
        self._chain_updated_s = 0.0
        # Threshold by service and the time at which it was determined.
        self._by_service: dict[str, tuple[float, float]] = {}
        # Whether full instances may hand on, by service, and when that was determined.
        self._room_elsewhere: dict[str, tuple[bool, float]] = {}

    def of_target(self, service: str, from_caller: bool) -> InstanceThresholds:
        """Return the thresholds of the local target and of its callees.

        :param service: service of the target
        :param from_caller: whether they are for callers' requests or for calls
        """
        now = now_s()
        if now - self._chain_updated_s > CHAIN_CACHE_S:
            self._chain_updated_s = now
            self._chain = self._learned.along_chain(
                self._called_services.names, service, self._max_threshold(), now
            )
        return InstanceThresholds(self._target.threshold(from_caller), self._chain)

    def of_service(self, service: str) -> float:
        """Return the lowest threshold of a service and its callees.

        :param service: name of the service
        """

        def determine(now: float) -> float:
            return self._of_entry.of_chain(service, self._max_threshold(), now)

        return _cached(self._by_service, service, determine)

    def has_room_elsewhere(self, service: str) -> bool:
        """Return whether full instances of a service may hand on.

        :param service: name of the service
        """

        def determine(now: float) -> bool:
            threshold = self._learned.of_instances(service, now)
            return has_room_elsewhere(self._balancer, service, threshold)

        return _cached(self._room_elsewhere, service, determine)

    def learn(
        self, service: str, node_id: str, told: InstanceThresholds, now: float
    ) -> None:
        """Learn the thresholds that an instance has told.

        :param service: its service
        :param node_id: its node
        :param told: its thresholds
        :param now: current time in s since boot
        """
        self._learned.learn(service, node_id, told, self._max_threshold(), now)


def _cached(
    cache: dict[str, tuple[T, float]], service: str, determine: Callable[[float], T]
) -> T:
    """Return the cached value of a service, determined again once it is outdated."""
    now = now_s()
    known = cache.get(service)
    if known is not None and now - known[1] < CHAIN_CACHE_S:
        return known[0]
    value = determine(now)
    cache[service] = value, now
    return value
