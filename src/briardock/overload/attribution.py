"""Attribution of a target's calls to the routes whose requests it runs.

Load pattern: one of several services is full, and requests on some routes reach it
while those on other routes do not (``tests/test_overload_attribution.py``). A call
names no parent, and while the routes of callers are not known yet, callers' requests
look like calls. A regression tells them apart: calls follow the runs of the requests
that make them, and the requests of callers do not.
"""

import math
from collections import deque
from dataclasses import dataclass
from typing import TypeVar
from zlib import crc32

from briardock.overload.admission import CONTROL_PERIOD_S
from briardock.overload.matrices import dot, inverse_of

T = TypeVar("T")
Callee = tuple[str, str]


def route_tag(route: str) -> int:
    """Return the number by which calls between nodes name their route.

    :param route: name of the route
    """
    # Shorter tags coincide too often: with 24 bits, two of 1,400 routes do so in one of
    # 17 configurations.
    return crc32(route.encode())


# Control periods of one sample, and samples after the start of a run in which its calls
# are looked for.
WINDOW_PERIODS = 2
LAGS = 3
# Samples after which the weight of a sample has fallen to 1/e.
MEMORY_WINDOWS = 100
# Smallest number of samples, and the number of samples between two estimates.
MIN_SAMPLES = 8
SAMPLES_PER_ESTIMATE = 4
# Calls of a service per request from which its requests need that service, and standard
# errors by which the number exceeds 0 if it is no accident.
MIN_CALLS_PER_REQUEST = 0.15
SIGNIFICANT_ERRORS = 2.5
# Largest standard error of an estimate that is of use together with those of other
# nodes.
MAX_ERROR = 2.0
# Change of the error, and of a number of calls in errors, from which an estimate is
# published anew.
ERROR_CHANGE = 0.5
SIGNIFICANT_CHANGE = 2.5
# Weight of the newest sample in the rates of runs and calls, smallest rate that is
# published, 1/s, and the factor of a change from which rates are published anew.
RATE_WEIGHT = 0.1
MIN_RATE_PER_S = 0.1
RATE_CHANGE = 1.6
# Smallest standard error that is published.
MIN_ERROR = 0.02
# Largest number of routes, with all further ones as one of them, and of called routes.
MAX_ROUTES = 6
MAX_CALLEES = 16
MAX_PUBLISHED_RUNS = 16
OTHER_ROUTES = -1
# Name under which the estimate of all routes without one of their own is published.
OTHER_ROUTES_NAME = ""
# Variance added to that of each route, so that the equations can always be solved.
RIDGE = 0.5
# Variance of runs or calls below which a route or a callee is forgotten.
MIN_VARIANCE = 0.05

Lagged = tuple[int, int]


@dataclass(slots=True)
class _Sample:
    """Runs started by route, and calls by service and route, in one window."""

    runs: dict[int, float]
    calls: dict[Callee, float]


@dataclass(frozen=True, slots=True)
class CallEstimate:
    """Calls that the requests of a route make, as one node estimates them.

    :param error: standard error for services and routes that are missing in ``calls``
    :param calls: calls per request, and their standard error, by service and route
    """

    error: float
    calls: dict[Callee, tuple[float, float]]

    def of_callee(self, callee: Callee) -> tuple[float, float]:
        """Return calls per request and their standard error.

        :param callee: service and route that is called
        """
        return self.calls.get(callee, (0.0, self.error))


@dataclass(frozen=True, slots=True)
class CallRates:
    """Runs and possible calls of one target.

    :param runs: runs that start, per s, by route
    :param calls: calls per s by service and route, with the requests of callers on
        routes that are not known to be theirs
    """

    runs: dict[str, float]
    calls: dict[Callee, float]


def calls_callee(rate: float, error: float) -> bool:
    """Return whether requests are shown to make calls.

    :param rate: estimated calls per request
    :param error: standard error of the estimate
    """
    return rate >= max(MIN_CALLS_PER_REQUEST, SIGNIFICANT_ERRORS * error)


def pooled_estimate(estimates: list[CallEstimate]) -> CallEstimate:
    """Return what the estimates of several nodes show together.

    Each weighs by its accuracy, so that one node with little evidence does not have a
    route refused everywhere.

    :param estimates: estimates of the nodes of one service
    """
    weights = [_weight(item.error) for item in estimates]
    total = sum(weights)
    weight_changes: dict[Callee, float] = {}
    products: dict[Callee, float] = {}
    for estimate, default in zip(estimates, weights, strict=True):
        for callee, (rate, error) in estimate.calls.items():
            weight = _weight(error)
            weight_changes[callee] = weight_changes.get(callee, 0.0) + weight - default
            products[callee] = products.get(callee, 0.0) + weight * rate
    calls = {}
    for callee, product in products.items():
        weight = total + weight_changes[callee]
        calls[callee] = product / weight, 1.0 / math.sqrt(weight)
    return CallEstimate(1.0 / math.sqrt(total), calls)


def _weight(error: float) -> float:
    return 1.0 / max(MIN_ERROR, error) ** 2


class CallAttribution:
    """Calls per run by route, estimated from counts of runs and calls.

    The samples are differences between successive windows, weighted down if all runs
    change together: when traffic begins or ends, the requests of callers change as the
    runs do.
    """

    def __init__(self) -> None:
        # Runs and calls, as they are published.
        self.published_runs_per_s: dict[int, float] = {}
        self.published_calls_per_s: dict[Callee, float] = {}
        self._runs_per_s: dict[int, float] = {}
        self._calls_per_s: dict[Callee, float] = {}
        # Estimates by route tag; nothing is known of other routes.
        self.estimates: dict[int, CallEstimate] = {}
        self._current = _Sample({}, {})
        self._previous = _Sample({}, {})
        # Routes that are told apart from the others.
        self._placed: set[int] = set()
        self._run_changes: deque[dict[int, float]] = deque(maxlen=LAGS)
        self._periods = 0
        self._sample_count = 0.0
        self._samples_left = MIN_SAMPLES
        # Weighted products of differences: runs by runs, calls by runs, calls by calls.
        self._runs_runs: dict[Lagged, dict[Lagged, float]] = {}
        self._calls_runs: dict[Callee, dict[Lagged, float]] = {}
        self._calls_calls: dict[Callee, float] = {}

    @property
    def has_evidence(self) -> bool:
        """Whether runs have varied, so that calls can be attributed."""
        return bool(self._runs_runs)

    def record_call(self, service: str, route: str) -> None:
        """Count a request that may be a call of the local target.

        :param service: service of the request
        :param route: name of its route
        """
        calls = self._current.calls
        callee = (service, route)
        calls[callee] = calls.get(callee, 0.0) + 1.0

    def record_run(self, route_tag: int) -> None:
        """Count a run that starts.

        :param route_tag: tag of the route of the request, 0 if the sender did not name
            it, as nodes of the previous release do
        """
        runs = self._current.runs
        key = route_tag or OTHER_ROUTES
        runs[key] = runs.get(key, 0.0) + 1.0

    def update(self) -> None:
        """Take a sample if a window ends with this control period."""
        self._periods += 1
        if self._periods % WINDOW_PERIODS:
            return
        previous, sample = self._previous, self._current
        self._previous, self._current = sample, _Sample({}, {})
        # Without runs there is nothing to learn, and nothing is forgotten.
        if not previous.runs and not sample.runs:
            self._run_changes.clear()
            self._placed = {route for route, _ in self._runs_runs} - {OTHER_ROUTES}
            return
        self._update_rates(sample)
        self._run_changes.appendleft(self._run_differences(previous.runs, sample.runs))
        if len(self._run_changes) < LAGS:
            return
        self._add_differences(previous, sample)
        self._samples_left -= 1
        if self._samples_left <= 0:
            self._samples_left = SAMPLES_PER_ESTIMATE
            self._estimate()

    def _update_rates(self, sample: _Sample) -> None:
        window_s = WINDOW_PERIODS * CONTROL_PERIOD_S
        _update_averages(self._runs_per_s, sample.runs, window_s)
        _update_averages(self._calls_per_s, sample.calls, window_s)

    def _publish_rates(self) -> None:
        """Replace the published rates if one of them has changed enough."""
        runs = _highest(self._runs_per_s, MAX_PUBLISHED_RUNS)
        calls = _highest(self._calls_per_s, MAX_CALLEES)
        if _has_changed(runs, self.published_runs_per_s) or _has_changed(
            calls, self.published_calls_per_s
        ):
            self.published_runs_per_s, self.published_calls_per_s = runs, calls

    def _add_differences(self, previous: _Sample, sample: _Sample) -> None:
        total = sum(previous.runs.values()) + sum(sample.runs.values())
        change = max(abs(sum(runs.values())) for runs in self._run_changes)
        weight = 1.0 / (1.0 + change * change / (total + 1.0))
        runs = {
            (route, lag): difference
            for lag, changes in enumerate(self._run_changes)
            for route, difference in changes.items()
        }
        decay = 1.0 - 1.0 / MEMORY_WINDOWS
        self._sample_count = self._sample_count * decay + 1.0
        for key in runs.keys() - self._runs_runs.keys():
            self._runs_runs[key] = {}
        for key, row in self._runs_runs.items():
            _add_products(row, decay, weight * runs.get(key, 0.0), runs)
        for callee in previous.calls.keys() | sample.calls.keys():
            if len(self._calls_runs) < MAX_CALLEES:
                self._calls_runs.setdefault(callee, {})
        for callee, row in list(self._calls_runs.items()):
            calls = sample.calls.get(callee, 0.0) - previous.calls.get(callee, 0.0)
            _add_products(row, decay, weight * calls, runs)
            squares = self._calls_calls.get(callee, 0.0) * decay + weight * calls**2
            self._calls_calls[callee] = squares
            if squares < MIN_VARIANCE and not calls:
                del self._calls_runs[callee], self._calls_calls[callee]

    def _run_differences(
        self, previous: dict[int, float], current: dict[int, float]
    ) -> dict[int, float]:
        runs: dict[int, float] = {}
        for route in previous.keys() | current.keys():
            change = current.get(route, 0.0) - previous.get(route, 0.0)
            if route not in self._placed and len(self._placed) < MAX_ROUTES - 1:
                self._placed.add(route)
            has_place = route in self._placed
            key = route if has_place else OTHER_ROUTES
            runs[key] = runs.get(key, 0.0) + change
        return runs

    def _estimate(self) -> None:
        """Estimate the calls per run of all routes anew."""
        self._publish_rates()
        for route in {
            key[0]
            for key, row in self._runs_runs.items()
            if not key[1] and row.get(key, 0.0) < MIN_VARIANCE
        }:
            self._forget(route)
        keys = list(self._runs_runs)
        inverse = inverse_of(
            [
                [self._runs_runs[a].get(b, 0.0) + RIDGE * (a == b) for b in keys]
                for a in keys
            ]
        )
        freedom = max(1.0, self._sample_count - len(keys))
        found: dict[Callee, tuple[list[float], float]] = {}
        for callee, row in self._calls_runs.items():
            products = [row.get(key, 0.0) for key in keys]
            rates = [dot(line, products) for line in inverse]
            residual = self._calls_calls[callee] - dot(rates, products)
            found[callee] = rates, (max(0.0, residual) + 1.0) / freedom
        for route in {key[0] for key in keys}:
            lags = [index for index, key in enumerate(keys) if key[0] == route]
            spread = max(0.0, sum(inverse[a][b] for a in lags for b in lags))
            calls = {
                callee: (
                    sum(rates[i] for i in lags),
                    max(MIN_ERROR, math.sqrt(variance * spread)),
                )
                for callee, (rates, variance) in found.items()
            }
            error = max(MIN_ERROR, math.sqrt(spread / freedom))
            self._publish(route, CallEstimate(error, calls))

    def _publish(self, route: int, estimate: CallEstimate) -> None:
        """Replace an estimate if it has changed enough to tell other nodes."""
        known = self.estimates.get(route)
        if estimate.error > MAX_ERROR:
            self.estimates.pop(route, None)
            return
        if known is not None and _is_similar(known, estimate):
            return
        self.estimates[route] = CallEstimate(
            round(estimate.error, 3),
            {c: (round(r, 2), round(e, 3)) for c, (r, e) in estimate.calls.items()},
        )

    def _forget(self, route: int) -> None:
        self.estimates.pop(route, None)
        self._placed.discard(route)
        for key in [key for key in self._runs_runs if key[0] == route]:
            del self._runs_runs[key]
            for row in (*self._runs_runs.values(), *self._calls_runs.values()):
                row.pop(key, None)


def _update_averages(
    averages: dict[T, float], counts: dict[T, float], window_s: float
) -> None:
    """Update moving averages per s, and remove those that are too small."""
    for key in averages.keys() | counts.keys():
        per_s = averages.get(key, 0.0)
        per_s += RATE_WEIGHT * (counts.get(key, 0.0) / window_s - per_s)
        averages[key] = per_s
        if per_s < MIN_RATE_PER_S and key not in counts:
            del averages[key]


def _highest(rates: dict[T, float], limit: int) -> dict[T, float]:
    highest = sorted(rates.items(), key=lambda item: -item[1])[:limit]
    return {key: round(rate, 2) for key, rate in highest if rate >= MIN_RATE_PER_S}


def _has_changed(rates: dict[T, float], published: dict[T, float]) -> bool:
    return rates.keys() != published.keys() or any(
        not 1.0 / RATE_CHANGE < rate / published[key] < RATE_CHANGE
        for key, rate in rates.items()
    )


def _is_similar(known: CallEstimate, estimate: CallEstimate) -> bool:
    if known.calls.keys() != estimate.calls.keys():
        return False
    if abs(estimate.error - known.error) > ERROR_CHANGE * known.error:
        return False
    for callee, (rate, error) in estimate.calls.items():
        known_rate, known_error = known.calls[callee]
        if abs(error - known_error) > ERROR_CHANGE * known_error:
            return False
        if abs(rate - known_rate) > SIGNIFICANT_CHANGE * known_error:
            return False
    return True


def _add_products(
    row: dict[Lagged, float],
    decay: float,
    factor: float,
    runs: dict[Lagged, float],
) -> None:
    """Decay a row of products and add those of a factor and the runs."""
    for route in row:
        row[route] *= decay
    if factor:
        for route, change in runs.items():
            row[route] = row.get(route, 0.0) + factor * change
