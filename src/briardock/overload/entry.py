"""Admission of callers' requests at the node at which they enter.

Load pattern: a surge of demand that a deep service cannot bear, seen by many entry
nodes of which each gets few requests a second (``tests/test_overload_replay.py``).
"""

import random
from dataclasses import dataclass

from briardock.overload.account_shares import AccountShares
from briardock.overload.admission import DemandMeter, admitted_share, is_sampled
from briardock.overload.returns import (
    AttemptAge,
    Refused,
    retry_after_s,
    return_share,
)

# Weight of the newest response in the mean response time of a route.
RESPONSE_TIME_WEIGHT = 0.05


@dataclass(frozen=True, slots=True)
class EntryRequest:
    """A caller's request, as far as its admission depends on it.

    :param request_id: id of the caller's attempt
    :param route: name of its route
    :param service: service that it goes to
    :param priority: rank by the priorities of its account and its route
    :param objective_s: latency objective of its route
    :param remaining_s: time for which its caller still waits
    :param age_s: time since the first attempt of its caller, 0 for that one
    :param account: name of the client's account, empty without one, ``None`` if the
        configuration has no accounts
    """

    request_id: bytes
    route: str
    service: str
    priority: int
    objective_s: float
    remaining_s: float
    age_s: float
    account: str | None = None


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request is forwarded."""


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """The request is refused.

    :param retry_after_s: time after which the caller is to come back
    :param baseline_ratio: baseline demand by recent demand at this node
    :param account_share: share of the first attempts of its account that is admitted,
        ``None`` if the configuration has no accounts
    """

    retry_after_s: float
    baseline_ratio: float
    account_share: float | None = None


class EntryAdmission:
    """Admission of callers' requests at one node.

    :param rng: random source
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._demand_meters: dict[tuple[str, int], DemandMeter] = {}
        self._account_shares = AccountShares()
        self._attempt_ages: dict[str, AttemptAge] = {}
        self._response_times_s: dict[str, float] = {}

    def update_rates(self) -> None:
        """Update the rates of demand after a control period."""
        for meter in self._demand_meters.values():
            meter.update()
        self._account_shares.update()

    def age_s(self, route: str, deadline_s: float, now: float) -> float:
        """Return the time since the first attempt of a request, in s.

        :param route: name of its route
        :param deadline_s: time for which its caller waits
        :param now: current time in s since boot
        """
        attempt_age = self._attempt_ages.setdefault(route, AttemptAge())
        return attempt_age.observe(deadline_s, now)

    def decide(self, request: EntryRequest, threshold: float) -> Admitted | TurnedAway:
        """Return whether a request is forwarded.

        :param request: the request
        :param threshold: lowest admission threshold along its chain
        """
        key = (request.service, request.priority)
        meter = self._demand_meters.get(key)
        if meter is None:
            meter = self._demand_meters[key] = DemandMeter()
        meter.record()
        baseline_ratio = meter.baseline_ratio
        first_share = admitted_share(request.priority, threshold, baseline_ratio)
        account_share = None
        if request.account is not None:
            account_share = first_share = self._account_shares.decide(
                key, request.account, request.age_s > 0.0, first_share
            )
        share = return_share(first_share) if request.age_s else first_share
        if is_sampled(request.request_id, share):
            return Admitted()
        return TurnedAway(
            self.retry_after_s(request, first_share), baseline_ratio, account_share
        )

    def retry_after_s(self, request: EntryRequest, share: float) -> float:
        """Return the time after which the caller of a refused request is to come back.

        :param request: the request
        :param share: share of the first attempts of its priority and account that is
            admitted
        """
        refused = Refused(
            request.objective_s,
            request.remaining_s,
            request.age_s,
            self._response_times_s.get(request.route, 0.0),
            share,
        )
        return retry_after_s(refused, self._rng)

    def record_success(self, route: str, response_time_s: float) -> None:
        """Record the time to the response of a request that succeeded.

        :param route: name of its route
        :param response_time_s: time from its first byte to its response
        """
        known_s = self._response_times_s.get(route, response_time_s)
        self._response_times_s[route] = known_s + RESPONSE_TIME_WEIGHT * (
            response_time_s - known_s
        )
