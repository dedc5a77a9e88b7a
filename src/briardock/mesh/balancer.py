"""Choice of the instance for a request, from what this node observed."""

import random
from dataclasses import dataclass

from briardock.mesh.members import MemberTable, NodeRecord
from briardock.mesh.model import now_s

# Load of the own failure domain above which other domains are compared.
SPILL_LOAD = 0.6
# Load that another domain must have less; bytes between domains cost.
SPILL_MARGIN = 0.05
# Candidates of which two are drawn at random instead of comparing all.
COMPARE_ALL_COUNT = 4
# First and longest time for which an unreachable node gets no requests, s.
FIRST_EJECTION_S = 0.3
LONGEST_EJECTION_S = 4.0
# Time without any response from a node with requests in flight after which it is
# avoided, at least and as a multiple of its usual response time.
SILENCE_S = 0.5
SILENCE_RESPONSE_TIMES = 4.0
# Load that counts for an instance whose every response is a failure.
FAILURE_LOAD = 2.0
# Weight of the newest observation in moving averages.
AVERAGE_WEIGHT = 0.1
# Age at which a reported load is no longer used, s.
REPORT_LIFETIME_S = 2.0


@dataclass(slots=True)
class InstanceStats:
    """Observations of one instance.

    :param outstanding: requests in flight from this node
    :param reported_inflight: requests running and queued there, from all nodes
    :param reported_outstanding: requests in flight from this node at that time
    :param reported_s: time of the report
    :param heard_s: time of the last response, or of the first request in flight
    :param response_s: moving average of the response time
    :param failure_ratio: moving average of failed responses
    :param failures: failures of the link since the last response
    :param ejected_until_s: time until which it gets no requests
    """

    outstanding: int = 0
    reported_inflight: int = 0
    reported_outstanding: int = 0
    reported_s: float = 0.0
    heard_s: float = 0.0
    response_s: float = 0.1
    failure_ratio: float = 0.0
    failures: int = 0
    ejected_until_s: float = 0.0

    def load(self, slots: int, now: float) -> float:
        """Return the estimated requests per slot with one more request.

        :param slots: slots of the instance
        :param now: current time in s since boot
        """
        inflight = self.outstanding
        if now - self.reported_s < REPORT_LIFETIME_S:
            change = self.outstanding - self.reported_outstanding
            inflight = max(inflight, self.reported_inflight + change)
        return (inflight + 1) / max(1, slots) + FAILURE_LOAD * self.failure_ratio

    def suspect(self, now: float) -> bool:
        """Return whether the instance may be unreachable.

        :param now: current time in s since boot
        """
        if self.failures:
            return True
        limit_s = max(SILENCE_S, SILENCE_RESPONSE_TIMES * self.response_s)
        return self.outstanding > 0 and now - self.heard_s > limit_s


class Balancer:
    """Chooses instances and keeps their observations.

    :param members: records of all nodes
    :param domain: own failure domain
    :param rng: random source
    """

    def __init__(self, members: MemberTable, domain: str, rng: random.Random) -> None:
        self._members = members
        self._domain = domain
        self._rng = rng
        self._stats: dict[str, InstanceStats] = {}
        # Nodes to which a link failed and that have not answered since.
        self._in_trouble: set[str] = set()
        # Instances of the own and of other domains, by service, and the generation
        # of the records that they were taken from.
        self._domains: dict[str, tuple[list[NodeRecord], list[NodeRecord]]] = {}
        self._generation = -1

    def stats(self, node_id: str) -> InstanceStats:
        """Return the observations of an instance.

        :param node_id: node beside it
        """
        found = self._stats.get(node_id)
        if found is None:
            found = self._stats[node_id] = InstanceStats()
        return found

    def choose(
        self, service: str, excluded: set[str], repeatable: bool
    ) -> NodeRecord | None:
        """Return the instance for a request, or ``None``.

        :param service: service of the request
        :param excluded: ids of nodes already tried
        :param repeatable: whether the request may try a suspect instance
        """
        now = now_s()
        return (
            (self._due_probe(service, excluded, now) if repeatable else None)
            or self._choose_drawn(service, excluded, now)
            or self._choose_of_all(service, excluded, now)
        )

    def _due_probe(
        self, service: str, excluded: set[str], now: float
    ) -> NodeRecord | None:
        """Return an instance in trouble that a request may try again, or ``None``."""
        due = []
        for node_id in self._in_trouble:
            record = self._members.get(node_id)
            if record is None or record.service != service or node_id in excluded:
                continue
            stats = self.stats(node_id)
            # One request at a time finds out whether the instance is back.
            waits = stats.ejected_until_s > now or stats.outstanding
            if record.target_ready and not record.leaving and not waits:
                due.append(record)
        return self._rng.choice(due) if due else None

    def _choose_drawn(
        self, service: str, excluded: set[str], now: float
    ) -> NodeRecord | None:
        """Return the better of a few instances, or ``None`` if none is usable.

        Looking at all of them for each request costs more processor time than all
        else that a node does for it.
        """
        local, remote = self._by_domain(service)
        best_local = self._least_loaded(self._draw(local), excluded, now)
        if best_local is not None and best_local[0] < SPILL_LOAD:
            return best_local[1]
        best_remote = self._least_loaded(self._draw(remote), excluded, now)
        if best_local is None:
            # Others of the own domain go before those of another one.
            return best_remote[1] if best_remote and not local else None
        if best_remote is None or best_remote[0] + SPILL_MARGIN >= best_local[0]:
            return best_local[1]
        return best_remote[1]

    def _by_domain(self, service: str) -> tuple[list[NodeRecord], list[NodeRecord]]:
        """Return the instances of the own and of other domains."""
        if self._generation != self._members.generation:
            self._generation = self._members.generation
            self._domains.clear()
        found = self._domains.get(service)
        if found is None:
            found = ([], [])
            own_id = self._members.local_record.node_id
            for record in self._members.candidates(service):
                # This node's own callers may use its target until it ends.
                if not record.leaving or record.node_id == own_id:
                    found[record.domain != self._domain].append(record)
            self._domains[service] = found
        return found

    def _draw(self, records: list[NodeRecord]) -> list[NodeRecord]:
        """Return the records to compare."""
        count = len(records)
        if count <= COMPARE_ALL_COUNT:
            return records
        first = int(self._rng.random() * count)
        second = int(self._rng.random() * (count - 1))
        return [records[first], records[second + (second >= first)]]

    def _choose_of_all(
        self, service: str, excluded: set[str], now: float
    ) -> NodeRecord | None:
        """Return the best of all instances, suspect and leaving ones at last."""
        ranked: tuple[list[NodeRecord], ...] = ([], [], [], [])
        for record in self._members.candidates(service):
            stats = self.stats(record.node_id)
            if record.node_id in excluded or stats.ejected_until_s > now:
                continue
            if record.leaving and record.node_id != self._members.local_record.node_id:
                # A node that is ending still finishes what it takes.
                rank = 2
            elif stats.suspect(now):
                rank = 3
            else:
                rank = int(record.domain != self._domain)
            ranked[rank].append(record)
        for records in ranked:
            found = self._least_loaded(self._draw(records), set(), now, suspects=True)
            if found is not None:
                return found[1]
        return None

    def _least_loaded(
        self,
        records: list[NodeRecord],
        excluded: set[str],
        now: float,
        suspects: bool = False,
    ) -> tuple[float, NodeRecord] | None:
        best: tuple[float, NodeRecord] | None = None
        for record in records:
            if record.node_id in excluded:
                continue
            stats = self.stats(record.node_id)
            if not suspects and stats.suspect(now):
                continue
            load = stats.load(record.slots, now)
            if best is None or load < best[0]:
                best = (load, record)
        return best

    def begin(self, node_id: str) -> None:
        """Count a request in flight.

        :param node_id: node that it is sent to
        """
        stats = self.stats(node_id)
        if not stats.outstanding:
            stats.heard_s = now_s()
        stats.outstanding += 1

    def end(self, node_id: str) -> None:
        """Count a request no longer in flight.

        :param node_id: node that it was sent to
        """
        self.stats(node_id).outstanding -= 1

    def record_response(
        self, node_id: str, took_s: float, inflight: int, failed: bool
    ) -> None:
        """Take the observation of a response.

        :param node_id: node that answered
        :param took_s: response time
        :param inflight: requests running and queued at its target
        :param failed: whether the target answered with a failure
        """
        stats = self.stats(node_id)
        stats.heard_s = stats.reported_s = now_s()
        if stats.failures:
            self._in_trouble.discard(node_id)
            stats.failures = 0
            stats.ejected_until_s = 0.0
        stats.reported_inflight = inflight
        stats.reported_outstanding = stats.outstanding
        stats.response_s += AVERAGE_WEIGHT * (took_s - stats.response_s)
        stats.failure_ratio += AVERAGE_WEIGHT * (failed - stats.failure_ratio)

    def record_lost_connection(self, node_id: str) -> None:
        """Suspect an instance until it answers on another connection.

        :param node_id: node to which an established connection was lost
        """
        stats = self.stats(node_id)
        stats.failures = max(1, stats.failures)
        self._in_trouble.add(node_id)

    def record_unreachable(self, node_id: str) -> float:
        """Eject an instance that accepts no connection; return for how long, s.

        Attempts that fail during an ejection belong to the same failure.

        :param node_id: node that could not be reached
        """
        stats = self.stats(node_id)
        if stats.ejected_until_s > now_s():
            return 0.0
        stats.failures += 1
        self._in_trouble.add(node_id)
        doubled = FIRST_EJECTION_S * 2 ** min(stats.failures - 1, 8)
        duration_s = min(LONGEST_EJECTION_S, doubled)
        stats.ejected_until_s = now_s() + duration_s
        return duration_s

    def reinstate(self, node_id: str) -> None:
        """Forget failures of a node that announced itself anew.

        Requests to its former process are still in flight and end later.

        :param node_id: name of the machine
        """
        former = self._stats.pop(node_id, None)
        self._in_trouble.discard(node_id)
        if former is not None:
            self._stats[node_id] = InstanceStats(
                outstanding=former.outstanding, heard_s=now_s()
            )
