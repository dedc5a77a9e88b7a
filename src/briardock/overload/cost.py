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
# Samples from which a kind of request is judged by its own distribution.
MIN_SAMPLES = 8.0
# Samples after which the tail is computed again.
TAILREFRESH_SAMPLES = 32
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
# Ranges of occupancy for which the stretch of run times is learned, the weight of the
# newest run in each, and the runs from which a range counts.
OCCUPANCY_RANGES = 10
STRETCH_WEIGHT = 0.05
MIN_STRETCH_RUNS = 10
# Ratio to the stretch at low occupancy from which a target is past its knee, and the
# smallest share of slots that is used nevertheless.
KNEE_RATIO = 1.4
MIN_ROOM_SHARE = 0.5

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
    """Decayed histogram of work on a logarithmic scale.

    Instead of decaying all buckets, the weight of new samples grows with time.
    """

    __slots__ = ("_origin_s", "_pending", "_sum_s", "_sums_s", "_tail", "_weights")

    def __init__(self) -> None:
        self._origin_s: float | None = None
        self._weights = [0.0] * BUCKETS
        self._sums_s = [0.0] * BUCKETS
        self._sum_s = 0.0
        self._pending = 0
        # Weight and work of the samples above each bucket, by bucket.
        self._tail: list[tuple[float, float]] | None = None

    def record(self, work_s: float, now: float) -> None:
        """Record a sample.

        :param work_s: work of a request
        :param now: current time in s since boot
        """
        if self._origin_s is None:
            self._origin_s = now
        elif now - self._origin_s > 20 * FORGETTING_S:
            self._rebase(now)
        weight = math.exp((now - self._origin_s) / FORGETTING_S)
        bucket = _bucket(work_s)
        self._weights[bucket] += weight
        self._sums_s[bucket] += weight * work_s
        self._sum_s += weight * work_s
        self._pending += 1
        if self._pending >= TAILREFRESH_SAMPLES:
            self._tail = None

    def _rebase(self, now: float) -> None:
        assert self._origin_s is not None
        decay = math.exp((self._origin_s - now) / FORGETTING_S)
        self._weights = [decay * weight for weight in self._weights]
        self._sums_s = [decay * sum_s for sum_s in self._sums_s]
        self._sum_s = sum(self._sums_s)
        self._origin_s = now
        self._tail = None

    def samples(self, now: float) -> float:
        """Return the number of samples, less those that are forgotten.

        :param now: current time in s since boot
        """
        if self._origin_s is None:
            return 0.0
        age = math.exp((self._origin_s - now) / FORGETTING_S)
        return sum(self._weights) * age

    @property
    def mean_s(self) -> float:
        """Mean work."""
        weight = sum(self._weights)
        return self._sum_s / weight if weight else INITIAL_WORK_S

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
class _Known:
    """Distribution of one kind or route, and its mean of some time ago."""

    distribution: WorkDistribution
    is_sufficient: bool = False
    mean_s: float = INITIAL_WORK_S
    refreshed_s: float = -math.inf


class CostTable:
    """Expected work of requests by kind; the route answers for rare kinds."""

    def __init__(self) -> None:
        self._kinds: OrderedDict[Kind, _Known] = OrderedDict()
        self._routes: OrderedDict[str, _Known] = OrderedDict()

    def __len__(self) -> int:
        return len(self._kinds)

    def record(self, kind: Kind, work_s: float, now: float) -> None:
        """Record the work of a request that has ended.

        :param kind: what tells it apart
        :param work_s: its work
        :param now: current time in s since boot
        """
        route = _entry(self._routes, kind[0], MAX_ROUTES)
        route.distribution.record(work_s, now)
        _entry(self._kinds, kind, MAX_KINDS).distribution.record(work_s, now)

    def expected_s(self, kind: Kind, now: float) -> float:
        """Return the expected work of a request.

        :param kind: what tells it apart
        :param now: current time in s since boot
        """
        known = self._known(kind, now)
        return known.mean_s if known is not None else INITIAL_WORK_S

    def distribution(self, kind: Kind, now: float) -> WorkDistribution:
        """Return the distribution of the work of a request.

        :param kind: what tells it apart
        :param now: current time in s since boot
        """
        known = self._known(kind, now)
        return known.distribution if known is not None else _UNKNOWN

    def _known(self, kind: Kind, now: float) -> _Known | None:
        known = self._kinds.get(kind)
        if known is not None:
            _refresh(known, now)
            if known.is_sufficient:
                return known
        route = self._routes.get(kind[0])
        if route is not None:
            _refresh(route, now)
        return route


_UNKNOWN = WorkDistribution()


def _refresh(known: _Known, now: float) -> None:
    if now - known.refreshed_s < REFRESH_S:
        return
    known.refreshed_s = now
    known.mean_s = known.distribution.mean_s
    known.is_sufficient = known.distribution.samples(now) >= MIN_SAMPLES


def _entry(table: OrderedDict[K, _Known], key: K, limit: int) -> _Known:
    known = table.get(key)
    if known is None:
        known = table[key] = _Known(WorkDistribution())
        if len(table) > limit:
            table.popitem(last=False)
    else:
        table.move_to_end(key)
    return known


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


class KneeMeter:
    """Occupancy from which a target runs all its requests more slowly."""

    def __init__(self) -> None:
        self._stretch = [1.0] * (OCCUPANCY_RANGES + 1)
        self._runs = [0] * (OCCUPANCY_RANGES + 1)

    def record_run(self, occupancy: float, stretch: float) -> None:
        """Record a run that has ended.

        :param occupancy: share of the slots that were busy
        :param stretch: its run time divided by the expected work
        """
        index = min(OCCUPANCY_RANGES, int(occupancy * OCCUPANCY_RANGES))
        self._runs[index] += 1
        weight = max(STRETCH_WEIGHT, 1.0 / self._runs[index])
        self._stretch[index] += weight * (stretch - self._stretch[index])

    def room_share(self) -> float:
        """Return the share of the slots up to which run times are as usual."""
        lower: list[float] = []
        for index, runs in enumerate(self._runs):
            if runs < MIN_STRETCH_RUNS:
                continue
            if lower and self._stretch[index] > KNEE_RATIO * sum(lower) / len(lower):
                return max(MIN_ROOM_SHARE, index / OCCUPANCY_RANGES)
            lower.append(self._stretch[index])
        return 1.0
