"""What the callers of a replay were told."""

from collections import defaultdict
from dataclasses import dataclass, field


@dataclass(slots=True)
class Told:
    """Result of one request of a caller over all of its attempts.

    :param route: name of the route
    :param at_s: time of the first attempt from the start
    :param objective_s: latency objective
    :param result: ``served``, ``refused``, ``failed``, ``left`` or ``waiting``
    :param after_s: time to the response, if it was served
    :param attempts: attempts of the caller
    """

    route: str
    at_s: float
    objective_s: float
    result: str = "waiting"
    after_s: float = 0.0
    attempts: int = 1

    @property
    def outcome(self) -> str:
        """The result, with ``served`` divided into ``in_time`` and ``late``."""
        if self.result != "served":
            return self.result
        return "in_time" if self.after_s <= self.objective_s else "late"


@dataclass(slots=True)
class ReplayReport:
    """All results of a replay.

    :param told: results of callers
    :param handed_on: attempts that left an instance because it had no free slot
    :param spent_s: slot time by priority
    :param wasted_s: slot time by priority of runs that failed
    """

    told: list[Told] = field(default_factory=list)
    handed_on: int = 0
    spent_s: dict[int, float] = field(default_factory=lambda: defaultdict(float))
    wasted_s: dict[int, float] = field(default_factory=lambda: defaultdict(float))

    def record_run(self, priority: int, elapsed_s: float, succeeded: bool) -> None:
        """Record the slot time of one run.

        :param priority: priority of the request
        :param elapsed_s: time for which it held a slot
        :param succeeded: whether it succeeded
        """
        self.spent_s[priority] += elapsed_s
        if not succeeded:
            self.wasted_s[priority] += elapsed_s

    def counts(
        self, route: str, from_s: float = 0.0, to_s: float = float("inf")
    ) -> dict[str, int]:
        """Return the number of requests of a route by outcome.

        :param route: name of the route
        :param from_s: earliest first attempt
        :param to_s: end of the first attempts
        """
        counts = dict.fromkeys(
            ("offered", "in_time", "late", "refused", "failed", "left", "waiting"), 0
        )
        counts["came_back"] = 0
        for told in self.told:
            if told.route == route and from_s <= told.at_s < to_s:
                counts["offered"] += 1
                counts[told.outcome] += 1
                counts["came_back"] += told.attempts > 1
        return counts

    def share(
        self,
        outcome: str,
        route: str,
        from_s: float = 0.0,
        to_s: float = float("inf"),
    ) -> float:
        """Return the share of an outcome among the requests of a route.

        :param outcome: outcome, or ``served`` for those in time and late
        :param route: name of the route
        :param from_s: earliest first attempt
        :param to_s: end of the first attempts
        """
        counts = self.counts(route, from_s, to_s)
        counts["served"] = counts["in_time"] + counts["late"]
        return counts[outcome] / max(1, counts["offered"])

    def by_period(self, period_s: float) -> dict[str, list[dict[str, float]]]:
        """Return the counts of each route in each period.

        :param period_s: length of a period
        """
        end_s = max((told.at_s for told in self.told), default=0.0)
        return {
            route: [
                {"from_s": n * period_s}
                | self.counts(route, n * period_s, (n + 1) * period_s)
                for n in range(int(end_s / period_s) + 1)
            ]
            for route in sorted({told.route for told in self.told})
        }
