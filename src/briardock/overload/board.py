"""Admission thresholds that instances tell all nodes directly.

Load pattern: an overload seen by many entry nodes of which each gets about one response
a second (``tests/test_overload_board.py``). What they learn from responses is old by
the time at which they use it, and an entry that refuses everything gets no responses;
the thresholds then swing between too low and too high.
"""

import math
from dataclasses import dataclass

import msgspec

from briardock.mesh.members import MemberTable
from briardock.overload.admission import OPEN_THRESHOLD
from briardock.overload.chain import OPEN_MARGIN, LearnedThresholds
from briardock.overload.needs import RouteNeeds

# Shortest time between two pieces of news of one instance, s, and the same for each
# instance of its service: the rate of news of a service does not grow with it.
NEWS_PERIOD_S = 0.15
NEWS_PERIOD_PER_INSTANCE_S = 0.02
# Change of a threshold that makes news due, and the number of periods after which an
# unchanged threshold is told again.
NEWS_CHANGE = 0.03
REPEAT_PERIODS = 7
# Number of times that an instance tells that it admits everything again.
OPEN_REPEATS = 2
# Number of periods for which news counts. It covers the loss of one repetition.
LIFETIME_PERIODS = 17
# Time and number of periods after news for which silence means that all is admitted.
SILENT_TIME_S = 10.0
SILENT_PERIODS = 40


def news_period_s(instance_count: int) -> float:
    """Return the shortest time between two pieces of news of one instance.

    :param instance_count: usable instances of its service
    """
    return max(NEWS_PERIOD_S, NEWS_PERIOD_PER_INSTANCE_S * instance_count)


class ThresholdNews(msgspec.Struct, frozen=True, array_like=True):
    """Admission thresholds of one instance, as told to all nodes.

    :param node_id: node beside the instance
    :param service: service of the instance
    :param sequence: increases with each piece of news of the instance
    :param for_callers: threshold for callers' requests
    :param for_calls: threshold for calls of targets
    :param capacity_per_s: requests that the instance completes while all its slots are
        in use
    """

    node_id: str
    service: str
    sequence: int
    for_callers: float
    for_calls: float
    capacity_per_s: float


class ThresholdAnnouncer:
    """Decides when an instance tells its thresholds.

    :param node_id: node beside the instance
    """

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id
        self._told: ThresholdNews | None = None
        self._told_s = 0.0
        self._sequence = 0
        self._open_repeats = 0

    def update(
        self,
        service: str,
        for_callers: float,
        for_calls: float,
        capacity_per_s: float,
        instance_count: int,
        wall_ms: int,
        now: float,
    ) -> ThresholdNews | None:
        """Return the news that is due, or ``None``.

        :param service: service of the instance
        :param for_callers: threshold for callers' requests
        :param for_calls: threshold for calls of targets
        :param capacity_per_s: requests that the instance completes while all its slots
            are in use
        :param instance_count: usable instances of the service
        :param wall_ms: Unix time in ms, so that a restarted node continues the sequence
        :param now: current time in s since boot
        """
        is_open = min(for_callers, for_calls) >= OPEN_THRESHOLD
        if is_open and not self._open_repeats:
            return None
        if self._told is not None:
            age_s = now - self._told_s
            change = max(
                abs(for_callers - self._told.for_callers),
                abs(for_calls - self._told.for_calls),
            )
            period_s = news_period_s(instance_count)
            if age_s < period_s:
                return None
            if change < NEWS_CHANGE and age_s < REPEAT_PERIODS * period_s:
                return None
        self._open_repeats = self._open_repeats - 1 if is_open else OPEN_REPEATS
        self._sequence = max(self._sequence + 1, wall_ms)
        self._told_s = now
        self._told = ThresholdNews(
            self._node_id,
            service,
            self._sequence,
            for_callers,
            for_calls,
            capacity_per_s,
        )
        return self._told


@dataclass(slots=True)
class _Heard:
    """News of one instance and the time at which it was heard."""

    news: ThresholdNews
    heard_s: float


class ThresholdBoard:
    """Newest thresholds that instances have told."""

    def __init__(self) -> None:
        self._services: dict[str, dict[str, _Heard]] = {}

    def record(self, news: ThresholdNews, now: float) -> bool:
        """Record news; return whether it is newer than what is known.

        :param news: news of an instance
        :param now: current time in s since boot
        """
        heard_by_node = self._services.setdefault(news.service, {})
        heard = heard_by_node.get(news.node_id)
        if heard is not None and heard.news.sequence >= news.sequence:
            return False
        heard_by_node[news.node_id] = _Heard(news, now)
        return True

    def of_service(
        self,
        service: str,
        from_caller: bool,
        instance_count: int,
        max_threshold: float,
        now: float,
    ) -> float | None:
        """Return the threshold of a service, ``None`` without news of it for long.

        It is the mean over the instances by their capacity. Those without news admit
        everything.

        :param service: name of the service
        :param from_caller: whether it is for callers' requests or for calls
        :param instance_count: usable instances of the service
        :param max_threshold: threshold above all priorities
        :param now: current time in s since boot
        """
        known = self._services.get(service, {}).values()
        period_s = news_period_s(instance_count)
        lifetime_s = LIFETIME_PERIODS * period_s
        heard = [item.news for item in known if now - item.heard_s < lifetime_s]
        if not heard:
            latest_s = max((item.heard_s for item in known), default=-math.inf)
            silent_s = max(SILENT_TIME_S, SILENT_PERIODS * period_s)
            is_silent = now - latest_s < silent_s
            return max_threshold if is_silent else None
        capacity_per_s = sum(news.capacity_per_s for news in heard)
        silent = max(0, instance_count - len(heard))
        silent_capacity_per_s = silent * capacity_per_s / len(heard)
        admitted = max_threshold * silent_capacity_per_s
        for news in heard:
            threshold = news.for_callers if from_caller else news.for_calls
            admitted += min(threshold, max_threshold) * news.capacity_per_s
        total_per_s = capacity_per_s + silent_capacity_per_s
        return admitted / total_per_s if total_per_s else max_threshold


class EntryThresholds:
    """Thresholds by which an entry node admits callers' requests.

    What instances have told goes before what was learned from responses.

    :param members: records of all nodes, with the services that their targets call
    :param board: what instances have told
    :param learned: what was learned from responses
    """

    def __init__(
        self, members: MemberTable, board: ThresholdBoard, learned: LearnedThresholds
    ) -> None:
        self._members = members
        self._needs = RouteNeeds(members)
        self._board = board
        self._learned = learned

    def of_chain(
        self, service: str, route: str, max_threshold: float, now: float
    ) -> float:
        """Return the lowest threshold of the services that a request needs.

        :param service: service that runs the request
        :param route: route of the request
        :param max_threshold: threshold above all priorities
        :param now: current time in s since boot
        """
        called = self._needs.of_route(service, route, now)
        told = [self._told(service, True, max_threshold, now)]
        told += [self._told(name, False, max_threshold, now) for name in called]
        known = [threshold for threshold in told if threshold is not None]
        if not known:
            return self._learned.of_service(service, max_threshold, now, called)
        lowest = min(known)
        return OPEN_THRESHOLD if lowest > max_threshold - OPEN_MARGIN else lowest

    def called_by(self, service: str, now: float) -> set[str]:
        """Return the services that the requests of a service are known to call.

        :param service: name of the service
        :param now: current time in s since boot
        """
        return self._needs.called_by(service, now)

    def _told(
        self, service: str, from_caller: bool, max_threshold: float, now: float
    ) -> float | None:
        count = len(self._members.candidates(service))
        return self._board.of_service(service, from_caller, count, max_threshold, now)
