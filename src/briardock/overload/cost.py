"""Work that requests are likely to cost, and work that a target still has to do.

Load patterns: requests of one route whose costs differ by ten times, and targets whose
speed differs or changes several times a second (``tests/test_overload_cost.py``). Work
is the run time at a target of usual speed; it is measured on a clock that advances more
slowly while the target is slow, so that work and speed are told apart.
"""

import math
import re
from collections import OrderedDict
from dataclasses import dataclass
from typing import TypeVar

# Smallest work that is told apart, s, and buckets of the histogram: each is wider than
# the one before by the square root of two, so the last one begins at 47 s.
MIN_WORK_S = 0.0005
BUCKETS = 34
BUCKETS_PER_OCTAVE = 2
# Time constant with which samples are forgotten, s.
FORGETTING_S = 60.0
# Age of a weight of 1 from which all weights are reduced, so that they stay finite, s.
MAX_WEIGHT_AGE_S = 20 * FORGETTING_S
# Samples from which a kind of request is judged by its own distribution.
MIN_SAMPLES = 8.0
# Standard error up to which a mean is precise, as a share of it.
MAX_MEAN_ERROR = 0.1
# Relative variance up to which the work of a kind is regular.
REGULAR_VARIANCE = 0.5
# Samples after which the tail is computed again.
TAIL_REFRESH_SAMPLES = 32
# Largest numbers of kinds of requests and of routes.
MAX_KINDS = 400
MAX_ROUTES = 100
# Work assumed before the first sample, s.
INITIAL_WORK_S = 0.02
# Segments of a path that tell requests apart, and the largest length of each.
SHAPE_SEGMENTS = 4
MAX_SEGMENT_BYTES = 24
# Time after which the mean and the number of samples are computed again, s.
REFRESH_S = 0.1
# Time without a reading after which the slowness counts as usual, s.
READING_LIFETIME_S = 1.0
# Weight of the newest reading in the usual slowness.
READING_WEIGHT = 0.01

_VARIABLE = re.compile(rb"[0-9a-fA-F]{8,}|[0-9]+")

Kind = tuple[str, bytes, int, str]
K = TypeVar("K", str, Kind)


def request_kind(route: str, path: bytes, body_bytes: int, account: str = "") -> Kind:
    """Return what tells requests of different cost apart.

    :param route: name of the route
    :param path: path and query
    :param body_bytes: size of the body
    :param account: client account, empty without one
    """
    segments = path.partition(b"?")[0].split(b"/", SHAPE_SEGMENTS + 1)
    shape = b"/".join(
        [
            segment
            if segment.isalpha() and len(segment) < MAX_SEGMENT_BYTES
            else _VARIABLE.sub(b"#", segment[:MAX_SEGMENT_BYTES])
            for segment in segments[1 : SHAPE_SEGMENTS + 1]
        ]
    )
    # A class of sizes spans a factor of four.
    return route, shape, body_bytes.bit_length() // 2, account


class WorkDistribution:
    """Histogram of work on a logarithmic scale; newer samples have more weight."""

    __slots__ = (
        "_pending",
        "_square_sum_s2",
        "_sum_s",
        "_sums_s",
        "_tail",
        "_weights",
        "weight",
    )

    def __init__(self) -> None:
        # Sum of the weights of all samples.
        self.weight = 0.0
        self._weights = [0.0] * BUCKETS
        self._sums_s = [0.0] * BUCKETS
        self._sum_s = self._square_sum_s2 = 0.0
        self._pending = 0
        # Weight and work of the samples above each bucket, by bucket.
        self._tail: list[tuple[float, float]] | None = None

    def add(self, work_s: float, bucket: int, weight: float) -> None:
        """Add a sample.

        :param work_s: work of a request
        :param bucket: bucket that it belongs to
        :param weight: its weight
        """
        weighted_s = weight * work_s
        self.weight += weight
        self._sum_s += weighted_s
        self._square_sum_s2 += weighted_s * work_s
        self._weights[bucket] += weight
        self._sums_s[bucket] += weighted_s
        self._pending += 1
        if self._pending >= TAIL_REFRESH_SAMPLES:
            self._tail = None

    def decay(self, factor: float) -> None:
        """Reduce the weight of all samples.

        :param factor: ratio to the present weight
        """
        self._weights = [factor * weight for weight in self._weights]
        self._sums_s = [factor * sum_s for sum_s in self._sums_s]
        self.weight, self._sum_s = sum(self._weights), sum(self._sums_s)
        self._square_sum_s2 *= factor
        self._tail = None

    @property
    def mean_s(self) -> float:
        """Mean work."""
        return self._sum_s / self.weight if self.weight else INITIAL_WORK_S

    @property
    def relative_variance(self) -> float:
        """Variance divided by the square of the mean."""
        if not self._sum_s:
            return 0.0
        ratio = self._square_sum_s2 * self.weight / (self._sum_s * self._sum_s)
        return max(0.0, ratio - 1.0)

    def remaining_s(self, done_s: float) -> float:
        """Return the expected remaining work of a request that has not ended.

        :param done_s: work that was done on it
        """
        bucket = _bucket(done_s)
        if self._tail is None:
            self._refresh_tail()
            assert self._tail is not None
        weight, sum_s = self._tail[bucket]
        if not weight:
            # It exceeds all known ones. In a heavy tail, what has run long is likely
            # to run as long again.
            return max(done_s, MIN_WORK_S if self._sum_s else INITIAL_WORK_S)
        return max(sum_s / weight - done_s, MIN_WORK_S)

    def _refresh_tail(self) -> None:
        self._pending = 0
        tail = []
        weight = sum_s = 0.0
        for index in reversed(range(BUCKETS)):
            # Of the bucket itself a half is taken as above the age.
            half_weight, half_s = self._weights[index] / 2, self._sums_s[index] / 2
            if index == 0:
                half_weight, half_s = half_weight * 2, half_s * 2
            tail.append((weight + half_weight, sum_s + half_s))
            weight += self._weights[index]
            sum_s += self._sums_s[index]
        tail.reverse()
        self._tail = tail


def _bucket(work_s: float) -> int:
    if work_s <= MIN_WORK_S:
        return 0
    index = int(BUCKETS_PER_OCTAVE * math.log2(work_s / MIN_WORK_S)) + 1
    return min(index, BUCKETS - 1)


@dataclass(slots=True)
class Known:
    """What is known of the work of one kind or route.

    :param distribution: its distribution
    :param is_kind: whether it is of a kind rather than of a route
    :param is_precise: whether its mean is hardly a matter of chance
    :param is_regular: whether single requests are close to the mean
    :param mean_s: its mean, as of the last refresh
    :param is_sufficient: whether it had samples enough then
    :param refreshed_s: time of the refresh
    """

    distribution: WorkDistribution
    is_kind: bool = False
    is_precise: bool = False
    is_regular: bool = False
    mean_s: float = INITIAL_WORK_S
    is_sufficient: bool = False
    refreshed_s: float = -math.inf


class CostTable:
    """Expected work of requests by kind; the route answers for rare kinds.

    Instead of decaying old samples, the weight of new ones grows with time.
    """

    def __init__(self) -> None:
        self._kinds: OrderedDict[Kind, Known] = OrderedDict()
        self._routes: OrderedDict[str, Known] = OrderedDict()
        # Time at which a sample has weight 1, present weight and time of it.
        self._origin_s = self._weighed_s = -math.inf
        self._weight = 1.0

    def __len__(self) -> int:
        return len(self._kinds)

    def record(self, kind: Kind, work_s: float, now: float) -> None:
        """Record the work of a request that has ended.

        :param kind: what tells it apart
        :param work_s: its work
        :param now: current time in s since boot
        """
        if now - self._weighed_s > REFRESH_S:
            self._weigh(now)
        bucket, weight = _bucket(work_s), self._weight
        _entry(self._routes, kind[0], MAX_ROUTES).add(work_s, bucket, weight)
        _entry(self._kinds, kind, MAX_KINDS).add(work_s, bucket, weight)

    def _weigh(self, now: float) -> None:
        if now - self._origin_s > MAX_WEIGHT_AGE_S:
            factor = math.exp((self._origin_s - now) / FORGETTING_S)
            for known in (*self._kinds.values(), *self._routes.values()):
                known.distribution.decay(factor)
            self._origin_s = now
        self._weighed_s = now
        self._weight = math.exp((now - self._origin_s) / FORGETTING_S)

    def expected_s(self, kind: Kind, now: float) -> float:
        """Return the expected work of a request.

        :param kind: what tells it apart
        :param now: current time in s since boot
        """
        return self.lookup(kind, now).mean_s

    def lookup(self, kind: Kind, now: float) -> Known:
        """Return what is known of the work of a request.

        :param kind: what tells it apart
        :param now: current time in s since boot
        """
        known = self._kinds.get(kind)
        if known is not None:
            if now - known.refreshed_s > REFRESH_S:
                self._refresh(known, now)
            if known.is_sufficient:
                return known
        route = self._routes.get(kind[0])
        if route is None:
            return _UNKNOWN
        if now - route.refreshed_s > REFRESH_S:
            self._refresh(route, now)
        return route

    def _refresh(self, known: Known, now: float) -> None:
        self._weigh(now)
        known.refreshed_s = now
        known.mean_s = known.distribution.mean_s
        samples = known.distribution.weight / self._weight
        known.is_sufficient = samples >= MIN_SAMPLES
        known.is_precise = known.is_kind and known.is_sufficient
        if known.is_precise:
            variance = known.distribution.relative_variance
            known.is_precise = variance < MAX_MEAN_ERROR * MAX_MEAN_ERROR * samples
            known.is_regular = variance < REGULAR_VARIANCE


_UNKNOWN = Known(WorkDistribution())


def _entry(table: OrderedDict[K, Known], key: K, limit: int) -> WorkDistribution:
    known = table.get(key)
    if known is None:
        known = table[key] = Known(WorkDistribution(), isinstance(key, tuple))
        if len(table) > limit:
            table.popitem(last=False)
    else:
        table.move_to_end(key)
    return known.distribution


class WorkClock:
    """Work that a slot has done, from readings of how slow the target is."""

    def __init__(self) -> None:
        self._reading = self._usual = 1.0
        self._read_s = 0.0
        self._work_s = 0.0

    def read(self, slowness: float, now: float) -> None:
        """Record how slow the target is.

        :param slowness: ratio of the run time of work to the usual one
        :param now: current time in s since boot
        """
        self._work_s = self.work_s(now)
        self._reading, self._read_s = slowness, now
        self._usual += READING_WEIGHT * (slowness - self._usual)

    def work_s(self, now: float) -> float:
        """Return the work that a busy slot has done since the start of the clock.

        :param now: current time in s since boot
        """
        elapsed_s = now - self._read_s
        if elapsed_s <= READING_LIFETIME_S:
            return self._work_s + elapsed_s / self._reading
        late_s = elapsed_s - READING_LIFETIME_S
        done_s = READING_LIFETIME_S / self._reading + late_s / self._usual
        return self._work_s + done_s

    def slowness(self, now: float) -> float:
        """Return how slow the target is.

        :param now: current time in s since boot
        """
        is_recent = now - self._read_s <= READING_LIFETIME_S
        return self._reading if is_recent else self._usual


class RemainingWork:
    """Expected work of the running and waiting requests of a target."""

    def __init__(self) -> None:
        # Distribution of a running request and the work clock at its start.
        self._running: dict[int, tuple[WorkDistribution, float]] = {}
        self._waiting_s: dict[int, float] = {}

    def wait(self, key: int, expected_s: float) -> None:
        """Add a request that waits for a slot.

        :param key: identifies it
        :param expected_s: its expected work
        """
        self._waiting_s[key] = expected_s

    def start(self, key: int, distribution: WorkDistribution, work_s: float) -> None:
        """Count a request as running, and no longer as waiting.

        :param key: identifies it
        :param distribution: distribution of its work
        :param work_s: reading of the work clock
        """
        self._waiting_s.pop(key, None)
        self._running[key] = distribution, work_s

    def end(self, key: int, work_s: float) -> float:
        """Remove a request; return the work done on it, 0 if it did not run.

        :param key: identifies it
        :param work_s: reading of the work clock
        """
        self._waiting_s.pop(key, None)
        running = self._running.pop(key, None)
        return work_s - running[1] if running is not None else 0.0

    def total_s(self, work_s: float) -> float:
        """Return the expected remaining work of all requests.

        :param work_s: reading of the work clock
        """
        return sum(self._remaining_s(work_s)) + sum(self._waiting_s.values())

    def start_delay_s(self, slots: int, work_s: float, slowness: float) -> float:
        """Return the expected time until one more request would start.

        The expected time until the first of several ends is that of independent ends
        at constant rates; the waiting ones then share all slots.

        :param slots: requests that run at once
        :param work_s: reading of the work clock
        :param slowness: how slow the target is
        """
        if len(self._running) + len(self._waiting_s) < slots:
            return 0.0
        ends_per_s = sum([1.0 / left_s for left_s in self._remaining_s(work_s)])
        first_s = 1.0 / ends_per_s if ends_per_s else 0.0
        return slowness * (first_s + sum(self._waiting_s.values()) / slots)

    def _remaining_s(self, work_s: float) -> list[float]:
        return [
            distribution.remaining_s(work_s - started)
            for distribution, started in self._running.values()
        ]
