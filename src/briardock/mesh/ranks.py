"""Order of requests by the priorities of their accounts and routes.

Admission and queues know one number, the rank; 0 is the most important.
"""

from bisect import bisect_left
from collections.abc import Iterable


class PriorityRanks:
    """Ranks that the requests of one configuration can have.

    The priority of the account goes first, then that of the route. Requests without an
    account, and of accounts without a priority, go with the least important account
    priority, so that a priority never puts an account behind one that has none. If no
    account has a priority, the rank is the priority of the route.

    Admission thresholds keep their unit: ``ranks_per_level`` ranks make up one of them.
    The control loop that sets a threshold refuses one unit after the other, and would
    take many times as long to shed the same load if a unit were a single rank.

    :param route_priorities: priorities of all routes
    :param account_priorities: priorities of all accounts, ``None`` for those without
    """

    def __init__(
        self,
        route_priorities: Iterable[int],
        account_priorities: Iterable[int | None] = (),
    ) -> None:
        self._routes = sorted(set(route_priorities))
        self._accounts = sorted({p for p in account_priorities if p is not None})
        self.ranks_per_level = max(1, len(self._accounts))
        if self._accounts:
            self.level_count = max(1, len(self._routes))
        else:
            self.level_count = 1 + max(self._routes, default=0)

    @property
    def count(self) -> int:
        """Number of ranks."""
        return self.level_count * self.ranks_per_level

    def of_client(self, route_priority: int, account_priority: int | None) -> int:
        """Return the rank of a client's request.

        :param route_priority: priority of its route
        :param account_priority: priority of its account, ``None`` if it has none
        """
        if not self._accounts:
            return route_priority
        account_index = len(self._accounts) - 1
        if account_priority is not None:
            account_index = bisect_left(self._accounts, account_priority)
        route_index = bisect_left(self._routes, route_priority)
        return account_index * len(self._routes) + route_index

    def of_call(self, route_priority: int) -> int:
        """Return the rank of a call of a target, which names no account.

        Calls keep the order of their routes. The same share of the ranks of clients
        is at or ahead of a call as without account priorities: ahead of all accounts
        calls would delay requests that are more important, behind all of them they
        would starve, although work has been spent on the requests that they belong to.

        :param route_priority: priority of its route
        """
        if not self._accounts:
            return route_priority
        route_index = bisect_left(self._routes, route_priority)
        return (route_index + 1) * len(self._accounts) - 1
