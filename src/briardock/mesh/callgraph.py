"""Distinguishes the routes that callers use from those that targets call.

Callers and the local target send to the same address, and a call names no parent.
A target makes calls only while it runs a request, so a request that arrives while
the local target is idle comes from a caller. The route then counts as a route of
callers on all nodes.

In a configuration with accounts a key tells a client as well, and routes of callers
refuse requests without one. A client may use its key on a route that targets call, so a
few requests with keys do not mark a route on which the target makes calls.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from briardock.mesh.members import MemberTable
from briardock.mesh.model import Route, now_s
from briardock.mesh.target import Target

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
# Time after the latest call of the target in which its route counts as called, s.
CALL_MEMORY_S = 300.0
# Calls from which a node publishes a route as called. Until then a mark of another node
# closes the route: a few requests of clients without keys must not keep it open.
MIN_PUBLISHED_CALLS = 30
# Requests with keys, and their number per call, from which a called route is one of
# callers all the same. Otherwise a client without a key that comes before all others
# would keep a route of clients open for as long as it sends requests.
MIN_KEYED_REQUESTS = 20
MIN_KEYED_PER_CALL = 4


class CalledServices:
    """Services that the local target calls, derived from request rates.

    Callers' requests on routes that are not known yet look like calls, but are few in
    proportion to the requests that the target runs.
    """

    def __init__(self) -> None:
        self._calls: dict[str, int] = {}
        self._rates: dict[str, float] = {}
        self._request_rate = 0.0
        self.names: list[str] = []
        # Services that are called steadily; they are published in the node's record.
        self.confirmed: set[str] = set()
        # Control periods since a service began, or ceased, to be called.
        self._periods: dict[str, int] = {}

    def record_call(self, service: str) -> None:
        """Count a request that may be a call of the local target.

        :param service: service of the request
        """
        self._calls[service] = self._calls.get(service, 0) + 1

    def update(self, target_arrivals: int) -> None:
        """Update the rates after a control period.

        :param target_arrivals: requests that arrived for the local target in the period
        """
        self._request_rate += RATE_WEIGHT * (target_arrivals - self._request_rate)
        calls, self._calls = self._calls, {}
        for service in self._rates.keys() | calls.keys():
            rate = self._rates.get(service, 0.0)
            rate += RATE_WEIGHT * (calls.get(service, 0) - rate)
            self._rates[service] = rate
        min_rate = MIN_CALLS_PER_REQUEST * self._request_rate
        self.names = [s for s, rate in self._rates.items() if rate > min_rate > 0.0]
        self._update_confirmed()

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


@dataclass(slots=True)
class _RouteUse:
    """Use of a route that targets call and that is not known to be one of callers.

    :param latest_s: time of the latest call, or of the first request with a key as long
        as the local target makes no calls, s since boot
    :param calls: calls of the local target
    :param keyed: requests with valid keys
    """

    latest_s: float
    calls: int = 0
    keyed: int = 0

    @property
    def is_of_callers(self) -> bool:
        """Whether requests with keys are too many for a route of targets."""
        return (
            self.keyed >= MIN_KEYED_REQUESTS
            and self.keyed > MIN_KEYED_PER_CALL * self.calls
        )


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
        self._uses: dict[str, _RouteUse] = {}

    def observe(self, route: Route, longest_timeout_s: float) -> bool:
        """Return whether a route is known to be used by callers, and learn it if not.

        A route is learned from a request that arrives while the target is idle.

        :param route: route of a request that has just arrived
        :param longest_timeout_s: longest time for which the target may run a request
            that an earlier process of this node forwarded
        """
        if route.name in self._members.entry_routes:
            return True
        if self._is_certainly_of_caller(longest_timeout_s):
            self._learn(route.name)
        return False

    def _is_certainly_of_caller(self, longest_timeout_s: float) -> bool:
        """Return whether the target can't have sent a request that has just arrived."""
        now = now_s()
        earlier_calls_expired = now - self._started_s > longest_timeout_s
        return earlier_calls_expired and (
            self._target.idle_for_s(now) > MIN_TARGET_IDLE_S
        )

    def needs_key(self, route: Route) -> bool:
        """Return whether a request on a route that is not public needs a key.

        A mark of another node does not apply where targets of the own service are known
        to call the route. A mark of this node does.

        :param route: route of a request
        """
        members = self._members
        if route.name not in members.entry_routes:
            return False
        local = members.local_record
        called = members.called_routes().get(local.service, ())
        return route.name not in called or route.name in local.entry_routes

    def record_call(self, route: Route, longest_timeout_s: float) -> None:
        """Record a request without a key that may be a call of the local target.

        :param route: its route, which needs no key yet
        :param longest_timeout_s: longest time for which the target may run a request
            that an earlier process of this node forwarded
        """
        if self._is_certainly_of_caller(longest_timeout_s):
            return
        use = self._use(route.name)
        use.calls += 1
        use.latest_s = now_s()
        if use.calls == MIN_PUBLISHED_CALLS:
            self._publish_calls()

    def record_key(self, route: Route) -> None:
        """Learn a route from a request with a valid key, unless targets call it.

        :param route: its route
        """
        if self.needs_key(route):
            return
        self._expire(route.name)
        called = self._members.called_routes().values()
        if route.name in self._uses or any(route.name in names for names in called):
            use = self._use(route.name)
            use.keyed += 1
            if not use.is_of_callers:
                return
        self._learn(route.name)

    def update_calls(self) -> None:
        """Withdraw the routes that the local target has ceased to call."""
        for name in list(self._uses):
            self._expire(name)
        self._publish_calls()

    def resume_calls(self, names: list[str]) -> None:
        """Count routes as called that an earlier process of this node published.

        :param names: called routes in the previous record of this node
        """
        for name in set(names) - set(self._members.local_record.entry_routes):
            use = self._use(name)
            use.calls = max(use.calls, MIN_PUBLISHED_CALLS)
            use.latest_s = now_s()
        self._publish_calls()

    def _use(self, name: str) -> _RouteUse:
        self._expire(name)
        use = self._uses.get(name)
        if use is None:
            use = self._uses[name] = _RouteUse(now_s())
        return use

    def _expire(self, name: str) -> None:
        """Forget the use of a route that was not called for long.

        If it has a mark of another node, its calls would be refused for good.
        """
        use = self._uses.get(name)
        if use is None or now_s() - use.latest_s <= CALL_MEMORY_S:
            return
        is_published = name in self._members.local_record.called_routes
        if not (is_published and name in self._members.entry_routes):
            del self._uses[name]

    def _publish_calls(self) -> None:
        names = [n for n, use in self._uses.items() if use.calls >= MIN_PUBLISHED_CALLS]
        names = sorted(names[:MAX_PUBLISHED_ROUTES])
        if names != self._members.local_record.called_routes:
            self._members.update_local(called_routes=names)
            self._publish()

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
        self._drop_uses(self._uses.keys() - names)

    def _learn(self, name: str) -> None:
        self._add([name])

    def _drop_uses(self, names: Iterable[str]) -> None:
        for name in names:
            self._uses.pop(name, None)
        self._publish_calls()

    def _add(self, names: list[str]) -> None:
        self._drop_uses(names)
        if self._members.add_entry_routes(names, MAX_PUBLISHED_ROUTES):
            self._publish()
