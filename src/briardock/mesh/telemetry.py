"""Metrics of a node in the Prometheus text format."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client import generate_latest as render

# Largest number of accounts with a metric of their own; the others share one.
MAX_ACCOUNTS = 50
OTHER_ACCOUNTS = "others"
# The same for routes with several services.
MAX_WEIGHTED_ROUTES = 50
OTHER_ROUTES = "others"
LATENCY_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0)


class Telemetry:
    """Metrics of one node; docs/OPERATIONS.md lists them."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "briardock_requests",
            "Requests of callers by outcome",
            ["outcome"],
            registry=self.registry,
        )
        self.retries = Counter(
            "briardock_repeats",
            "Requests sent to a further instance by reason",
            ["reason"],
            registry=self.registry,
        )
        self.handed_on = Counter(
            "briardock_handed_on",
            "Requests that left an instance because it had no free slot",
            registry=self.registry,
        )
        # Stored because the label lookup costs more than the increment.
        self.completed = self.requests.labels("completed")
        self.latency = Histogram(
            "briardock_request_seconds",
            "Time from the first byte of a request to its response",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.target_latency = Histogram(
            "briardock_target_seconds",
            "Time of a request at the target beside the node",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.queued = Gauge(
            "briardock_queued_requests",
            "Requests that wait for a slot of the target",
            registry=self.registry,
        )
        self.work_reports = Counter(
            "briardock_work_reports",
            "Responses that reported the work at their target",
            registry=self.registry,
        )
        self.target_slowness = Gauge(
            "briardock_target_slowness",
            "Ratio of run times at the target to the usual ones, 0 if unknown",
            registry=self.registry,
        )
        self.target_room = Gauge(
            "briardock_target_room",
            "Requests that the target can start without a wait or a slowdown",
            registry=self.registry,
        )
        self.target_delay = Gauge(
            "briardock_target_start_delay_seconds",
            "Expected time until the target would start one more request",
            registry=self.registry,
        )
        self.admission_threshold = Gauge(
            "briardock_admission_level",
            "Level above which entries refuse requests for the target",
            registry=self.registry,
        )
        self.config_version = Gauge(
            "briardock_config_version",
            "Version of the configuration in force",
            registry=self.registry,
        )
        self.config_age = Gauge(
            "briardock_config_age_seconds",
            "Time since the configuration was known to be current",
            registry=self.registry,
        )
        self.store_era = Gauge(
            "briardock_store_era",
            "Highest era of the store that is known",
            registry=self.registry,
        )

        self.weighted_requests = Counter(
            "briardock_weighted_requests",
            "Requests of routes with several services by the service chosen",
            ["route", "service", "outcome"],
            registry=self.registry,
        )
        self._weighted_routes: set[str] = set()
        self.over_quota = Counter(
            "briardock_over_quota",
            "Requests refused because they exceed the quota of their account",
            ["account"],
            registry=self.registry,
        )
        self._over_quota_by_account: dict[str, Counter] = {}
        self.quota_reports = Counter(
            "briardock_quota_reports",
            "Reports about quotas sent to other nodes",
            registry=self.registry,
        )

    def record_over_quota(self, account: str) -> None:
        """Count a request over the quota of its account.

        :param account: name of the account
        """
        counter = self._over_quota_by_account.get(account)
        if counter is None:
            if len(self._over_quota_by_account) >= MAX_ACCOUNTS:
                self.over_quota.labels(OTHER_ACCOUNTS).inc()
                return
            counter = self.over_quota.labels(account)
            self._over_quota_by_account[account] = counter
        counter.inc()

    def record_weighted_request(self, route: str, service: str, outcome: str) -> None:
        """Count a request of a route with several services.

        :param route: name of the route
        :param service: service chosen for the request
        :param outcome: ``chosen`` for each request, ``not-sent`` for those that reached
            no instance
        """
        if route not in self._weighted_routes:
            if len(self._weighted_routes) >= MAX_WEIGHTED_ROUTES:
                route = OTHER_ROUTES
            else:
                self._weighted_routes.add(route)
        self.weighted_requests.labels(route, service, outcome).inc()

    def render(self) -> bytes:
        """Return the metrics page."""
        return render(self.registry)
