"""Services that the requests of a route need, from what the nodes have published.

Load pattern: a service is full, and routes of other services that never use it must
not be refused for that (``tests/test_overload_needs.py``).
"""

import math
from collections import defaultdict
from collections.abc import Callable

from briardock.mesh.members import MemberTable
from briardock.overload.attribution import (
    MIN_CALLS_PER_REQUEST,
    OTHER_ROUTES_NAME,
    Callee,
    CallEstimate,
    CallRates,
    calls_callee,
    pooled_estimate,
)

# Calls of a service along the chain per request from which its requests need that
# service.
MIN_CALLS_PER_CHAIN = 0.1
# Factor by which more possible calls arrive at the nodes of a service than at those of
# other services if its target makes them.
MIN_EXCESS = 3.0
# Share of the calls of a service that has to be attributed to routes.
MIN_EXPLAINED_SHARE = 0.5
# Time for which what the records of a service show together is used, and the shortest
# time between two merges, s. In a fleet of 300 nodes a record changes many times a
# second, and merging all of them at once would delay requests by tens of milliseconds.
MERGE_PERIOD_S = 2.0
MERGE_GAP_S = 0.1

# Calls per request by route, and by service and route called.
CallsByRoute = dict[str, dict[Callee, float]]


def along_chain(service: str, called_services: dict[str, set[str]]) -> set[str]:
    """Return the services that a service calls, directly and indirectly.

    :param service: name of the service
    :param called_services: services that each service calls directly
    """
    found: set[str] = set()
    pending = [service]
    while pending:
        for called in called_services.get(pending.pop(), ()):
            if called not in found and called != service:
                found.add(called)
                pending.append(called)
    return found


def needed_services(
    service: str,
    route: str,
    calls_of: Callable[[str], CallsByRoute | None],
    called_services: dict[str, set[str]],
) -> set[str]:
    """Return the services that a request calls, directly and indirectly.

    A route without an estimate of its own is taken to need what the other routes need
    together, if the service has more routes than its nodes tell apart, and otherwise
    nothing else, as its requests are few. If a service has published
    no routes at all, its requests are taken to need all services that it calls.

    :param service: service that runs the request
    :param route: route of the request
    :param calls_of: returns the calls per request of a service, ``None`` if it has
        published none
    :param called_services: services that each service calls directly
    """
    found: set[str] = set()
    rates: dict[Callee, float] = {}
    pending: list[tuple[Callee, float]] = [((service, route), 1.0)]
    while pending:
        (running, running_route), rate = pending.pop()
        routes = calls_of(running)
        if routes is None:
            found |= along_chain(running, called_services)
            continue
        of_others = routes.get(OTHER_ROUTES_NAME, {})
        for callee, calls in routes.get(running_route, of_others).items():
            callee_rate = rate * min(1.0, calls)
            if callee_rate < MIN_CALLS_PER_CHAIN:
                continue
            if callee_rate <= rates.get(callee, 0.0):
                continue
            rates[callee] = callee_rate
            found.add(callee[0])
            pending.append((callee, callee_rate))
    found.discard(service)
    return found


def mean_rates(of_nodes: list[CallRates]) -> CallRates:
    """Return the mean rates of the nodes of one service.

    :param of_nodes: rates of each node
    """
    runs: dict[str, float] = defaultdict(float)
    calls: dict[Callee, float] = defaultdict(float)
    for item in of_nodes:
        for route, per_s in item.runs.items():
            runs[route] += per_s / len(of_nodes)
        for callee, per_s in item.calls.items():
            calls[callee] += per_s / len(of_nodes)
    return CallRates(runs, calls)


def service_calls(rates: dict[str, CallRates]) -> dict[str, dict[Callee, float]]:
    """Return the calls per s of the targets of each service.

    Callers send their requests to the nodes of all services. What arrives as much at
    the nodes of another service is therefore no call of a target.

    :param rates: mean rates of the nodes of each service
    """
    found: dict[str, dict[Callee, float]] = {}
    for service, own in rates.items():
        found[service] = {}
        for callee, per_s in own.calls.items():
            of_callers_per_s = min(
                (
                    other.calls.get(callee, 0.0)
                    for name, other in rates.items()
                    if name != service
                ),
                default=0.0,
            )
            if per_s >= MIN_EXCESS * of_callers_per_s:
                found[service][callee] = per_s - of_callers_per_s
    return found


def attribute_calls(
    estimates: dict[str, CallEstimate],
    runs: dict[str, float],
    calls: dict[Callee, float],
) -> dict[str, dict[Callee, float]]:
    """Return the calls per request by route of one service.

    Calls that a service makes are attributed to the routes whose estimates show or
    suggest them. If these do not explain most of the calls, the estimates are wrong:
    calls that are made late in long runs do not show. They may then be of any route.

    :param estimates: estimate by route
    :param runs: runs per s by route
    :param calls: calls per s of the service
    """
    found: dict[str, dict[Callee, float]] = {
        route: {
            callee: rate
            for callee, (rate, error) in estimate.calls.items()
            if calls_callee(rate, error)
        }
        for route, estimate in estimates.items()
    }
    runs_per_s = sum(runs.values())
    others_per_s = sum(rate for route, rate in runs.items() if route not in estimates)
    runs = {**runs, OTHER_ROUTES_NAME: runs.get(OTHER_ROUTES_NAME, 0.0) + others_per_s}
    for callee, per_s in calls.items():
        per_run = per_s / runs_per_s if runs_per_s else 0.0
        if per_run < MIN_CALLS_PER_REQUEST:
            continue
        explained_per_s = sum(
            rates.get(callee, 0.0) * runs.get(route, 0.0)
            for route, rates in found.items()
        )
        is_explained = explained_per_s >= MIN_EXPLAINED_SHARE * per_s
        for route, estimate in estimates.items():
            rate, error = estimate.of_callee(callee)
            # A wide margin alone is no reason: a route that is refused for a service
            # has no further runs that could show that it does not need it.
            is_suggested = rate >= MIN_EXPLAINED_SHARE * per_run or error > per_run
            if callee not in found[route] and (is_suggested or not is_explained):
                found[route][callee] = per_run
    return found


class RouteNeeds:
    """Services that the requests of each route need.

    :param members: records of all nodes, with the calls of their targets
    """

    def __init__(self, members: MemberTable) -> None:
        self._members = members
        # Calls of each service, when they were merged, and from which generation.
        self._merged: dict[str, tuple[CallsByRoute | None, float, int]] = {}
        self._next_merge_s = -math.inf
        # Possible calls of all services, and when they were merged.
        self._means: dict[str, CallRates] = {}
        self._means_s = -math.inf
        # Services needed by service and route, and how long they are used.
        self._needed: dict[tuple[str, str], set[str]] = {}
        self._needed_until_s = -math.inf

    def of_route(self, service: str, route: str, now: float) -> set[str]:
        """Return the services that the requests of a route call.

        :param service: service that runs the requests
        :param route: name of the route
        :param now: current time in s since boot
        """
        if now >= self._needed_until_s:
            self._needed.clear()
            self._needed_until_s = now + MERGE_GAP_S
        needed = self._needed.get((service, route))
        if needed is None:
            needed = self._needed[service, route] = needed_services(
                service,
                route,
                lambda name: self._calls_of(name, now),
                self._members.called_services(),
            )
        return needed

    def called_by(self, service: str, now: float) -> set[str]:
        """Return the services that the requests of a service call directly.

        :param service: name of the service
        :param now: current time in s since boot
        """
        routes = self._calls_of(service, now) or {}
        return {called for calls in routes.values() for called, _ in calls} - {service}

    def _calls_of(self, service: str, now: float) -> CallsByRoute | None:
        known = self._merged.get(service)
        generation = self._members.generation
        if known is not None:
            calls, merged_s, merged_generation = known
            is_recent = now - merged_s < MERGE_PERIOD_S or now < self._next_merge_s
            if is_recent or merged_generation == generation:
                return calls
        self._next_merge_s = now + MERGE_GAP_S
        calls = self._merge_calls(service, now)
        self._merged[service] = calls, now, generation
        return calls

    def _merge_calls(self, service: str, now: float) -> CallsByRoute | None:
        """Return the calls per request that the records of a service show together."""
        callers = self._members.entry_routes
        estimates: dict[str, list[CallEstimate]] = defaultdict(list)
        for record in self._members.records:
            if record.service == service:
                for route, calls in record.route_calls.items():
                    estimates[route].append(calls.estimate(callers))
        if not estimates:
            return None
        if now - self._means_s >= MERGE_PERIOD_S:
            self._means_s, self._means = now, self._merge_rates()
        means = self._means.get(service)
        return attribute_calls(
            {route: pooled_estimate(items) for route, items in estimates.items()},
            means.runs if means is not None else {},
            service_calls(self._means).get(service, {}),
        )

    def _merge_rates(self) -> dict[str, CallRates]:
        callers = self._members.entry_routes
        rates: dict[str, list[CallRates]] = defaultdict(list)
        for record in self._members.records:
            if record.call_counts.runs:
                rates[record.service].append(record.call_counts.rates(callers))
        return {service: mean_rates(of_nodes) for service, of_nodes in rates.items()}
