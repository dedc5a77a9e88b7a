"""Who sent a request: a client, with or without an account, or the local target."""

from collections.abc import Callable
from dataclasses import dataclass

from briardock.mesh.accounts import (
    AccountTable,
    AgeLimits,
    Anonymous,
    Authenticated,
    Rejected,
)
from briardock.mesh.callgraph import EntryRoutes
from briardock.mesh.decisions import DecisionLog
from briardock.mesh.dialect import Dialect
from briardock.mesh.http1 import Response
from briardock.mesh.model import Account, RequestHead, Route, RoutingConfig
from briardock.mesh.telemetry import Telemetry

# Time after which a client is to come back to a node whose configuration may be
# outdated, s. Other nodes are asked for their age more often.
OUTDATED_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class Sender:
    """Sender of a request that may be forwarded.

    :param from_target: whether the local target may have sent it
    :param account: account of the client, ``None`` without one
    :param account_name: its name as calls between nodes carry it: empty without an
        account, ``None`` if the configuration has no accounts
    """

    from_target: bool
    account: Account | None = None
    account_name: str | None = None


_CLIENT = Sender(from_target=False)
_TARGET = Sender(from_target=True)
_CLIENT_WITHOUT_ACCOUNT = Sender(from_target=False, account_name="")
_TARGET_WITH_ACCOUNTS = Sender(from_target=True, account_name="")


class SenderIdentification:
    """Identifies the senders of the requests that enter at this node.

    :param entry_routes: distinguishes callers' requests from calls of the local target
    :param config_age_s: returns the age of the configuration, ``None`` if not known
    :param limits: ages of the configuration up to which its accounts are relied on
    :param dialect: headers of the platform
    :param log: decision log
    :param telemetry: metrics
    """

    def __init__(
        self,
        entry_routes: EntryRoutes,
        config_age_s: Callable[[], float | None],
        limits: AgeLimits,
        dialect: Dialect,
        log: DecisionLog,
        telemetry: Telemetry,
    ) -> None:
        # Whether the configuration in force has accounts.
        self.has_accounts = False
        self._accounts = AccountTable((), limits)
        self._is_outdated = False
        self._entry_routes = entry_routes
        self._config_age_s = config_age_s
        self._limits = limits
        self._dialect = dialect
        self._log = log
        self._telemetry = telemetry

    def install(self, config: RoutingConfig) -> None:
        """Use the accounts of a configuration.

        :param config: configuration that is put into force
        """
        self.has_accounts = config.has_accounts
        self._accounts = AccountTable(config.accounts, self._limits)

    def set_limits(self, limits: AgeLimits) -> None:
        """Apply changed limits.

        :param limits: ages of the configuration up to which its accounts are relied on
        """
        self._limits = self._accounts.limits = limits

    def identify(
        self, head: RequestHead, route: Route, longest_timeout_s: float
    ) -> Sender | Response:
        """Return the sender of a request, or the response that rejects it.

        :param head: decoded headers
        :param route: its route
        :param longest_timeout_s: longest time for which the target may run a request
            that an earlier process of this node forwarded
        """
        entry_routes = self._entry_routes
        if not self.has_accounts:
            is_caller = entry_routes.observe(route, longest_timeout_s)
            return _CLIENT if is_caller else _TARGET
        match self._accounts.authenticate(
            head.credential, route, entry_routes.needs_key(route), self._config_age_s()
        ):
            case Authenticated(account):
                entry_routes.record_key(route)
                return Sender(False, account, account.name)
            case Anonymous():
                # A request without a key teaches no route that needs one.
                is_caller = False
                if route.public:
                    is_caller = entry_routes.observe(route, longest_timeout_s)
                else:
                    entry_routes.record_call(route, longest_timeout_s)
                return _CLIENT_WITHOUT_ACCOUNT if is_caller else _TARGET_WITH_ACCOUNTS
            case Rejected() as rejected:
                return self._reject(head, route, rejected)

    def _reject(self, head: RequestHead, route: Route, rejected: Rejected) -> Response:
        self._log.event(
            "request-unauthenticated",
            id=head.request_id.decode("latin-1"),
            route=route.name,
            account=rejected.account,
            status=rejected.status,
            reason=rejected.reason,
        )
        if rejected.status == 401:
            self._telemetry.requests.labels("unauthenticated").inc()
            return Response(401, self._dialect.challenge_headers())
        self._telemetry.requests.labels("stale-accounts").inc()
        headers = self._dialect.refusal_headers(OUTDATED_RETRY_AFTER_S)
        return Response(rejected.status, headers)

    def check_age(self) -> None:
        """Log when this node begins, and ceases, to refuse all requests with keys."""
        age_s = self._config_age_s()
        is_outdated = self.has_accounts and self._accounts.is_stale(age_s)
        if is_outdated != self._is_outdated:
            self._is_outdated = is_outdated
            self._log.event(
                "accounts-outdated" if is_outdated else "accounts-current",
                age_s=None if age_s is None else round(age_s, 3),
            )
