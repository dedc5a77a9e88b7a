"""Distinguishes the routes that callers use from those that targets call.

Callers and the local target send to the same address, and a call names no parent.
A target makes calls only while it runs a request, so a request that arrives while
the local target is idle comes from a caller. The route then counts as a route of
callers on all nodes.
"""

from collections.abc import Callable

from briardock.mesh.members import CallCounts, MemberTable, RouteCalls
from briardock.mesh.model import Route, now_s
from briardock.mesh.target import Target
from briardock.overload.attribution import (
    OTHER_ROUTES,
    OTHER_ROUTES_NAME,
    CallAttribution,
    calls_callee,
)

# Idle time of the target after which calls of a cancelled request are excluded, s.
MIN_TARGET_IDLE_S = 1.0
# Weight of the newest control period in the rates of requests and calls.
RATE_WEIGHT = 0.1
# Calls per request of the local target above which a service counts as called.
MIN_CALLS_PER_REQUEST = 0.15
# Control periods for which a service is called before that is published, and for which
# it is not called before that is withdrawn.
CONFIRMING_PERIODS = 20
WITHDRAWING_PERIODS = 200
# Largest number of entry routes that one node publishes; further ones stay unknown.
MAX_PUBLISHED_ROUTES = 64


class CalledServices:
    """Services that the local target calls, derived from request rates.

    Callers' requests on routes that are not known yet look like calls. Calls follow the
    runs of the target; until these have varied, a service that is called often in
    proportion to them counts as called.

    :param attribution: attributes calls to the routes of the target's runs
    """

    def __init__(self, attribution: CallAttribution | None = None) -> None:
        self._attribution = attribution or CallAttribution()
        # Calls that an earlier process published, by route.
        self._resumed: dict[str, RouteCalls] = {}
        self._resumed_periods = 0
        self._calls: dict[str, int] = {}
        self._rates: dict[str, float] = {}
        self._request_rate = 0.0
        self.names: list[str] = []
        # Services that are called steadily; they are published in the node's record.
        self.confirmed: set[str] = set()
        # Control periods since a service began, or ceased, to be called.
        self._periods: dict[str, int] = {}

    def record_call(self, service: str, route: str = "") -> None:
        """Count a request that may be a call of the local target.

        :param service: service of the request
        :param route: name of its route
        """
        self._attribution.record_call(service, route)
        self._calls[service] = self._calls.get(service, 0) + 1

    def update(self, target_arrivals: float) -> None:
        """Update the rates after a control period.

        :param target_arrivals: requests that arrived for the local target in the period
        """
        self._request_rate += RATE_WEIGHT * (target_arrivals - self._request_rate)
        calls, self._calls = self._calls, {}
        for service in self._rates.keys() | calls.keys():
            rate = self._rates.get(service, 0.0)
            rate += RATE_WEIGHT * (calls.get(service, 0) - rate)
            self._rates[service] = rate
        self._attribution.update()
        if self._resumed_periods:
            self._resumed_periods -= 1
        else:
            self._resumed.clear()
        estimates = [
            *self._attribution.estimates.values(),
            *(resumed.estimate() for resumed in self._resumed.values()),
        ]
        attributed = {
            service
            for estimate in estimates
            for (service, _), (rate, error) in estimate.calls.items()
            if calls_callee(rate, error)
        }
        if not self._attribution.has_evidence:
            min_rate = MIN_CALLS_PER_REQUEST * self._request_rate
            attributed.update(s for s, r in self._rates.items() if r > min_rate > 0.0)
        self.names = sorted(attributed)
        self._update_confirmed()

    def call_counts(self, routes_by_tag: dict[int, str]) -> CallCounts:
        """Return runs and possible calls, as they are published.

        :param routes_by_tag: names of the configured routes by tag
        """
        runs: dict[str, float] = {}
        for tag, per_s in self._attribution.published_runs_per_s.items():
            route = routes_by_tag.get(tag, OTHER_ROUTES_NAME)
            runs[route] = runs.get(route, 0.0) + per_s
        calls = self._attribution.published_calls_per_s.items()
        return CallCounts(
            list(runs.items()),
            [(service, route, per_s) for (service, route), per_s in calls],
        )

    def resume(self, route_calls: dict[str, RouteCalls]) -> None:
        """Use the calls that an earlier process published until they are known again.

        Nodes that restart under load would otherwise not know for seconds which
        services their requests need.

        :param route_calls: calls by route in the previous record
        """
        self._resumed = dict(route_calls)
        self._resumed_periods = WITHDRAWING_PERIODS

    def route_calls(self, routes_by_tag: dict[int, str]) -> dict[str, RouteCalls]:
        """Return the calls by route, as they are published.

        :param routes_by_tag: names of the configured routes by tag
        """
        routes_by_tag = {**routes_by_tag, OTHER_ROUTES: OTHER_ROUTES_NAME}
        configured = set(routes_by_tag.values())
        published = {r: c for r, c in self._resumed.items() if r in configured}
        for tag, estimate in self._attribution.estimates.items():
            if tag in routes_by_tag:
                calls = [
                    (service, route, rate, error)
                    for (service, route), (rate, error) in estimate.calls.items()
                ]
                published[routes_by_tag[tag]] = RouteCalls(estimate.error, calls)
        return published

    def _update_confirmed(self) -> None:
        for service in self.confirmed.union(self.names):
            is_called = service in self.names
            if is_called == (service in self.confirmed):
                self._periods.pop(service, None)
                continue
            periods = self._periods[service] = self._periods.get(service, 0) + 1
            if is_called and periods >= CONFIRMING_PERIODS:
                self.confirmed.add(service)
            elif not is_called and periods >= WITHDRAWING_PERIODS:
                self.confirmed.discard(service)
        for service in self._periods.keys() - self.confirmed - set(self.names):
            del self._periods[service]


def called_routes(route_calls: dict[str, RouteCalls]) -> dict[str, list[str]]:
    """Return the services and routes that the requests of each route are shown to call.

    :param route_calls: calls by route, as they are published
    """
    return {
        name: sorted(
            f"{service}/{route}"
            for service, route, rate, error in calls.calls
            if calls_callee(rate, error)
        )
        for name, calls in route_calls.items()
    }


class EntryRoutes:
    """Learns the routes of callers and publishes them in the node's record.

    :param members: records of all nodes
    :param target: target beside this node
    :param publish: called after the routes in this node's record changed
    """

    def __init__(
        self, members: MemberTable, target: Target, publish: Callable[[], None]
    ) -> None:
        self._members = members
        self._target = target
        self._publish = publish
        self._started_s = now_s()

    def observe(self, route: Route, longest_timeout_s: float) -> bool:
        """Return whether a route is known to be used by callers, and learn it if not.

        A route is learned from a request that arrives while the target is idle.

        :param route: route of a request that has just arrived
        :param longest_timeout_s: longest time for which the target may run a request
            that an earlier process of this node forwarded
        """
        if route.name in self._members.entry_routes:
            return True
        now = now_s()
        earlier_calls_expired = now - self._started_s > longest_timeout_s
        if earlier_calls_expired and self._target.idle_for_s(now) > MIN_TARGET_IDLE_S:
            self._learn(route.name)
        return False

    def knows(self, route: Route) -> bool:
        """Return whether a route is known to be used by callers.

        :param route: route of a request
        """
        return route.name in self._members.entry_routes

    def learn(self, route: Route) -> None:
        """Learn a route from a request that is known to be of a caller.

        :param route: its route
        """
        if route.name not in self._members.entry_routes:
            self._learn(route.name)

    def resume(self, names: list[str]) -> None:
        """Publish the routes that an earlier process of this node learned.

        A route that only this node knows would otherwise be lost, and under load no
        node may have an idle target to learn it again.

        :param names: routes in the previous record of this node
        """
        self._add(names)

    def retain(self, names: set[str]) -> None:
        """Remove routes that are no longer configured.

        :param names: names of the configured routes
        """
        if self._members.retain_entry_routes(names):
            self._publish()

    def _learn(self, name: str) -> None:
        self._add([name])

    def _add(self, names: list[str]) -> None:
        if self._members.add_entry_routes(names, MAX_PUBLISHED_ROUTES):
            self._publish()
