"""Counts of the services chosen for the requests of routes with several services."""

import asyncio
from collections import Counter

from briardock.mesh.decisions import DecisionLog
from briardock.mesh.model import Route
from briardock.mesh.routes import RouteTable
from briardock.mesh.telemetry import Telemetry

# Period at which the counts are logged, s.
LOG_PERIOD_S = 2.0


class ServiceChoices:
    """Counts the choices of one node since its configuration took effect.

    :param log: decision log
    :param telemetry: metrics
    """

    def __init__(self, log: DecisionLog, telemetry: Telemetry) -> None:
        self._log = log
        self._telemetry = telemetry
        self._routes: RouteTable | None = None
        self._chosen: dict[Route, Counter[str]] = {}
        self._not_sent: dict[Route, Counter[str]] = {}
        self._changed: set[Route] = set()

    def record_choice(self, routes: RouteTable, route: Route, service: str) -> None:
        """Count a request for which a service was chosen.

        :param routes: routes in force
        :param route: route of the request
        :param service: service chosen for it
        """
        if len(route.services) == 1:
            return
        if routes is not self._routes:
            self.log_counts()
            self._routes = routes
            self._chosen.clear()
            self._not_sent.clear()
        self._count(self._chosen, route, service, "chosen")

    def record_not_sent(self, routes: RouteTable, route: Route, service: str) -> None:
        """Count a request that was sent to no instance of its service.

        :param routes: routes by which the service was chosen
        :param route: route of the request
        :param service: service chosen for it
        """
        if len(route.services) > 1 and routes is self._routes:
            self._count(self._not_sent, route, service, "not-sent")

    def _count(
        self,
        counts: dict[Route, Counter[str]],
        route: Route,
        service: str,
        outcome: str,
    ) -> None:
        counts.setdefault(route, Counter())[service] += 1
        self._changed.add(route)
        self._telemetry.record_weighted_request(route.name, service, outcome)

    def log_counts(self) -> None:
        """Log the counts of the routes that had requests since they were logged."""
        if self._routes is None:
            return
        for route in self._changed:
            self._log.event(
                "services-chosen",
                version=self._routes.version,
                route=route.name,
                host=route.host,
                weights={part.service: part.weight for part in route.services},
                chosen=self._chosen.get(route, {}),
                not_sent=self._not_sent.get(route, {}),
            )
        self._changed.clear()

    async def log_periodically(self) -> None:
        """Log the counts once per period."""
        while True:
            await asyncio.sleep(LOG_PERIOD_S)
            self.log_counts()
