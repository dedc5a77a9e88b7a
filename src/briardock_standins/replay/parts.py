"""Small parts of the instances of a replay."""

from collections.abc import Generator
from dataclasses import dataclass
from typing import Any

import simpy

from briardock.overload.waiting import Waiting

Process = Generator[simpy.Event, Any, Any]


@dataclass(slots=True)
class Slot:
    """A call that waits for a slot."""

    granted: simpy.Event
    abandoned: bool = False


@dataclass(slots=True)
class Condition:
    """Disturbances of one instance.

    :param slow_factor: factor of its run times
    :param fail_share: share of its runs that fail at their end
    :param reject_share: share of requests that it rejects
    :param lost_share: share of its responses that are lost
    :param away: whether the instance and its node are gone
    """

    slow_factor: float = 1.0
    fail_share: float = 0.0
    reject_share: float = 0.0
    lost_share: float = 0.0
    away: bool = False


@dataclass(slots=True)
class ReplayCall:
    """A request at one instance, from a caller or from a target.

    :param retry_share: share of it that is a retry, ``None`` if it is not known
    """

    operation: str
    route: str
    waiting: Waiting
    retry_share: float | None
