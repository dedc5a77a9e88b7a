"""Selection of the route and the service for a request."""

from briardock.mesh.clients import Sender
from briardock.mesh.model import CallerLimits, Route, RoutingConfig
from briardock.mesh.ranks import PriorityRanks
from briardock.overload.attribution import route_tag


class RouteTable:
    """Routes of one configuration, matched by host and longest path prefix.

    :param config: configuration in force
    """

    def __init__(self, config: RoutingConfig) -> None:
        self.version = config.version
        self.limits: CallerLimits = config.limits
        self.document = config.document
        self.ranks = PriorityRanks(
            (route.priority for route in config.routes),
            (entry.account.priority for entry in config.accounts),
        )
        self.priority_count = self.ranks.level_count
        self.longest_timeout_s = max((r.timeout_s for r in config.routes), default=0.0)
        self.names_by_tag = {route_tag(r.name): r.name for r in config.routes}
        self._by_host: dict[str, dict[str, Route]] = {}
        self._current_weights: dict[str, list[float]] = {}
        for route in config.routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route

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
        """Return the service of the next request by smooth weighted round robin.

        :param route: route of the request
        """
        weighted_services = route.services
        if len(weighted_services) == 1:
            return weighted_services[0].service
        current_weights = self._current_weights.setdefault(
            route.name, [0.0] * len(weighted_services)
        )
        for index, weighted_service in enumerate(weighted_services):
            current_weights[index] += weighted_service.weight
        chosen = max(range(len(weighted_services)), key=current_weights.__getitem__)
        current_weights[chosen] -= sum(
            weighted_service.weight for weighted_service in weighted_services
        )
        return weighted_services[chosen].service
