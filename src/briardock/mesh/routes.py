"""Selection of the route and the service for a request."""

import random
from bisect import bisect_right
from itertools import accumulate

from briardock.mesh.clients import Sender
from briardock.mesh.model import (
    CallerLimits,
    Route,
    RoutingConfig,
    WeightedService,
)
from briardock.mesh.ranks import PriorityRanks

# Step of the additive recurrence with the lowest discrepancy: the golden ratio, less 1.
GOLDEN_STEP = 0.6180339887498949


class ServiceTurns:
    """Order in which the requests of one route go to its services.

    Evenly distributed points from a random start: each choice has the probability of
    the weights, also the first one of each of many nodes, and the choices of one node
    stay close to the weights.

    :param services: services of the route and their weights
    :param start: random number from 0 up to 1
    """

    def __init__(self, services: tuple[WeightedService, ...], start: float) -> None:
        # Services without weight have no turn.
        turns = [part for part in services if part.weight > 0.0] or list(services[:1])
        self._names = [part.service for part in turns]
        self._bounds = list(accumulate(part.weight for part in turns))
        self._position = start

    def next_service(self) -> str:
        """Return the service of the next request."""
        self._position = (self._position + GOLDEN_STEP) % 1.0
        point = self._position * self._bounds[-1]
        # Rounding may lift a point to the last bound.
        return self._names[min(bisect_right(self._bounds, point), len(self._names) - 1)]


class RouteTable:
    """Routes of one configuration, matched by host and longest path prefix.

    :param config: configuration in force
    :param rng: random source
    """

    def __init__(self, config: RoutingConfig, rng: random.Random) -> None:
        self.version = config.version
        self.limits: CallerLimits = config.limits
        self.document = config.document
        self.ranks = PriorityRanks(
            (route.priority for route in config.routes),
            (entry.account.priority for entry in config.accounts),
        )
        self.priority_count = self.ranks.level_count
        self.longest_timeout_s = max((r.timeout_s for r in config.routes), default=0.0)
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in config.routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route
        self._turns = {
            (route.host, route.path_prefix): ServiceTurns(route.services, rng.random())
            for route in config.routes
            if len(route.services) > 1
        }

    def rank(self, route: Route, sender: Sender) -> int:
        """Return the rank of a request by the priorities of its account and its route.

        :param route: its route
        :param sender: who sent it
        """
        if sender.from_target:
            return self.ranks.of_call(route.priority)
        account = sender.account
        return self.ranks.of_client(
            route.priority, account.priority if account is not None else None
        )

    def match(self, host: str, target: bytes) -> Route | None:
        """Return the route with the longest prefix, or ``None``.

        :param host: lower-case host without port
        :param target: path and query
        """
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        path = target.partition(b"?")[0].decode("latin-1")
        prefix_end = len(path)
        while (prefix_end := path.rfind("/", 0, prefix_end)) >= 0:
            route = prefixes.get(path[: prefix_end + 1])
            if route is not None:
                return route
        return None

    def pick_service(self, route: Route) -> str:
        """Return the service of the next request in proportion to the weights.

        :param route: route of the request, matched by this table
        """
        turns = self._turns.get((route.host, route.path_prefix))
        return turns.next_service() if turns else route.services[0].service
