"""Admission levels of services and of what they call, as responses told them.

A response carries the level of its instance, and the levels below the highest one
of the services further along the chain. Each of these names its service and the
time since an instance of it told it, so that a level neither returns to its own
service nor outlives its cause where services call each other in a circle.
"""

import math
from dataclasses import dataclass, field

from briardock.mesh.model import now_s
from briardock.mesh.thresholds import OPEN_THRESHOLD

# Time after which a level that was learned from a response is no longer used, s.
LEVEL_LIFETIME_S = 3.0
# The same for the own level of one instance among others, s. A level further along
# the chain that is older than the one known by this time is not used either.
OWN_LEVEL_LIFETIME_S = 1.0
# Time constant of the average over responses, s. It covers many responses under load,
# and after a pause the newest one counts alone.
LEARNING_TIME_S = 0.2
# Rise of a learned level per s once it is older than its lifetime. A service that
# refuses everything sends no responses; opening it at once would flood it.
REOPENING_PER_S = 1.0
# Distance from the highest level at which a learned level counts as open.
OPEN_MARGIN = 0.01


@dataclass(frozen=True, slots=True)
class ChainLevel:
    """Level of a service further along the chain.

    :param level: level of the service
    :param age_s: time since an instance of the service told it
    """

    level: float
    age_s: float


@dataclass(frozen=True, slots=True)
class Levels:
    """Levels that the response of an instance carries.

    :param own: level of the instance
    :param chain: levels of the services that it calls, and that these call; those
        that are missing admit all
    """

    own: float
    chain: dict[str, ChainLevel] = field(default_factory=dict)


@dataclass(slots=True)
class _Average:
    """Level of a service further along the chain of another one.

    :param level: moving average over responses of the other service
    :param learned_s: time of the last of these responses
    :param told_s: latest time at which an instance of the service told it
    """

    level: float
    learned_s: float
    told_s: float


@dataclass(slots=True)
class _Service:
    """What the responses of one service told.

    :param own: level and time of learning, by node beside the instance
    :param heard_s: time of the last response
    :param chain: services further along the chain that do not admit all
    """

    own: dict[str, tuple[float, float]]
    heard_s: float
    chain: dict[str, _Average]


def _reopened(level: float, age_s: float) -> float:
    return level + max(0.0, age_s - LEVEL_LIFETIME_S) * REOPENING_PER_S


class LearnedLevels:
    """Levels of services as the responses of their instances told them.

    Requests go to the instance with room, so the own level of a service is that of
    its least loaded instance. What the instances call is the same for all of them;
    its level is a moving average over responses.
    """

    def __init__(self) -> None:
        self._services: dict[str, _Service] = {}

    def learn(self, service: str, node_id: str, levels: Levels, highest: float) -> None:
        """Take the levels that a response carried.

        :param service: service of the instance that answered
        :param node_id: node beside the instance
        :param levels: levels of the instance
        :param highest: level above all priorities
        """
        now = now_s()
        known = self._services.get(service)
        if known is None:
            known = self._services[service] = _Service({}, now, {})
            known.chain = {
                name: _Average(min(told.level, highest), now, now - told.age_s)
                for name, told in levels.chain.items()
            }
        known.own[node_id] = (levels.own, now)
        for name in levels.chain.keys() - known.chain.keys():
            known.chain[name] = _Average(highest, known.heard_s, 0.0)
        known.heard_s = now
        for name in list(known.chain):
            told = levels.chain.get(name, ChainLevel(highest, 0.0))
            average = known.chain[name]
            _move(average, min(told.level, highest), now, now - told.age_s)
            if average.level > highest - OPEN_MARGIN:
                del known.chain[name]

    def along_chain(
        self, services: list[str], own_service: str, highest: float
    ) -> dict[str, ChainLevel]:
        """Return the levels of services, and of what these call.

        :param services: names of the services that the own target calls
        :param own_service: service of the own target, which is left out
        :param highest: level above all priorities
        """
        now = now_s()
        found: dict[str, ChainLevel] = {}
        for service in services:
            known = self._services.get(service)
            if known is None:
                continue
            age_s = now - known.heard_s
            own = _reopened(_own_level(known, now), age_s)
            _add(found, service, own, age_s, highest)
            for name, average in known.chain.items():
                age_s = now - average.told_s
                _add(found, name, _reopened(average.level, age_s), age_s, highest)
        found.pop(own_service, None)
        return found

    def of_service(self, service: str, highest: float) -> float:
        """Return the level of a service and what it calls.

        :param service: name of the service
        :param highest: level above all priorities
        """
        known = self._services.get(service)
        if known is None:
            return OPEN_THRESHOLD
        now = now_s()
        level = _reopened(_own_level(known, now), now - known.heard_s)
        for average in known.chain.values():
            level = min(level, _reopened(average.level, now - average.told_s))
        return OPEN_THRESHOLD if level > highest - OPEN_MARGIN else level


def _own_level(known: _Service, now: float) -> float:
    """Return the level of the least loaded instance.

    The last response is used however old it is.
    """
    oldest_s = min(now - OWN_LEVEL_LIFETIME_S, known.heard_s)
    return max(level for level, at in known.own.values() if at >= oldest_s)


def _move(average: _Average, level: float, now: float, told_s: float) -> None:
    """Move an average by the level that a response carried, unless it is outdated."""
    if told_s < average.told_s - OWN_LEVEL_LIFETIME_S:
        return
    weight = 1.0 - math.exp(-(now - average.learned_s) / LEARNING_TIME_S)
    average.level += weight * (level - average.level)
    average.learned_s = now
    average.told_s = max(average.told_s, told_s)


def _add(
    found: dict[str, ChainLevel],
    service: str,
    level: float,
    age_s: float,
    highest: float,
) -> None:
    """Add the level of a service unless it admits all or a newer one is there."""
    if level > highest - OPEN_MARGIN:
        return
    other = found.get(service)
    if other is None or age_s < other.age_s:
        found[service] = ChainLevel(level, age_s)
