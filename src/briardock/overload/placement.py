"""Choice of an instance for a request.

Load patterns: many nodes of which each sends few requests to each instance, so that
their own observations are sparse, while some instances are slow, fail or are full
(``tests/test_overload_placement.py``). The choice combines what this node observed
with the run time that the node beside an instance publishes. For services whose targets
state how slow they are, it is made by expected completion (``completion``).
"""

import random
from statistics import median

from briardock.mesh.members import MemberTable, NodeRecord
from briardock.overload.completion import Estimator, ServiceWork
from briardock.overload.cost import Kind
from briardock.overload.instance_stats import InstanceStats as InstanceStats
from briardock.overload.target_work import WorkReport

# Load of the local failure domain above which other domains are considered.
SPILLOVER_LOAD = 0.6
# Load by which another domain must be lower, because traffic between domains has a
# cost.
SPILLOVER_MARGIN = 0.05
# Number of instances above which only two random ones are compared.
MAX_COMPARED_INSTANCES = 4
# Number of instances compared by expected completion.
SAMPLED_BY_COMPLETION = 4
# Shortest and longest ejection of an unreachable node, s.
MIN_EJECTION_S = 0.3
MAX_EJECTION_S = 4.0
# Ratio of an instance's run time to the median of its service from which it counts as
# slow. Instances of one service differ by up to three times in normal operation.
SLOW_RATIO = 3.0
# Weight of the newest observation in the moving averages.
AVERAGE_WEIGHT = 0.1


class Balancer:
    """Chooses instances and records observations of them.

    :param members: records of all nodes
    :param domain: local failure domain
    :param rng: random source
    """

    def __init__(self, members: MemberTable, domain: str, rng: random.Random) -> None:
        self._members = members
        self._domain = domain
        self._rng = rng
        self._stats: dict[str, InstanceStats] = {}
        # Nodes with a connection failure and no response since.
        self._failing: set[str] = set()
        # Instances of the local and of other domains by service, and the generation
        # of the member table that they were read from.
        self._candidates: dict[str, tuple[list[NodeRecord], list[NodeRecord]]] = {}
        # Factor by which an instance is slower than the median of its service, for slow
        # ones only.
        self._slowness: dict[str, float] = {}
        self._generation = -1
        # Services whose instances report their work.
        self._work: dict[str, ServiceWork] = {}

    def stats(self, node_id: str) -> InstanceStats:
        """Return the observations of an instance.

        :param node_id: node beside it
        """
        instance_stats = self._stats.get(node_id)
        if instance_stats is None:
            instance_stats = self._stats[node_id] = InstanceStats()
        return instance_stats

    def choose(
        self,
        service: str,
        excluded: set[str],
        idempotent: bool,
        now: float,
        busy: list[NodeRecord] | None = None,
        kind: Kind | None = None,
    ) -> NodeRecord | None:
        """Return the instance for a request, or ``None``.

        :param service: service of the request
        :param excluded: ids of nodes already tried
        :param idempotent: whether the request may probe a failing instance
        :param now: current time in s since boot
        :param busy: instances that had no free slot for the request; one of them is
            chosen if the other choice is more loaded
        :param kind: what tells requests of different cost apart
        """
        work = self._work.get(service)
        estimator = work.estimator(kind, now) if work is not None else None
        probe = self._choose_probe(service, excluded, now) if idempotent else None
        if probe is not None:
            return probe
        sampled = self._choose_sampled(service, excluded, now, estimator)
        if busy:
            compared = busy if sampled is None else [*busy, sampled]
            least_loaded = self._least_loaded(compared, set(), now, estimator)
            sampled = least_loaded[1] if least_loaded else sampled
        return sampled or self._choose_fallback(service, excluded, now)

    def has_alternatives(self, service: str) -> bool:
        """Return whether a service has more than one usable instance.

        :param service: name of the service
        """
        local, remote = self._candidates_by_domain(service)
        return len(local) + len(remote) > 1

    def _choose_probe(
        self, service: str, excluded: set[str], now: float
    ) -> NodeRecord | None:
        """Return a failing instance that a request may probe, or ``None``."""
        probeable = []
        for node_id in self._failing:
            record = self._members.get(node_id)
            if record is None or record.service != service or node_id in excluded:
                continue
            stats = self.stats(node_id)
            # Only one request at a time probes whether the instance has recovered.
            must_wait = stats.ejected_until_s > now or stats.in_flight
            if record.target_ready and not record.leaving and not must_wait:
                probeable.append(record)
        return self._rng.choice(probeable) if probeable else None

    def _choose_sampled(
        self,
        service: str,
        excluded: set[str],
        now: float,
        estimator: Estimator | None,
    ) -> NodeRecord | None:
        """Return the better of a few instances, or ``None`` if none is usable.

        Comparing all instances for each request takes more processor time than the
        rest of its handling.
        """
        local, remote = self._candidates_by_domain(service)
        spillover = SPILLOVER_LOAD if estimator is None else estimator.spillover
        sample = self._sample if estimator is None else self._sample_by_completion
        best_local = self._least_loaded(sample(local), excluded, now, estimator)
        if best_local is not None and best_local[0] < spillover:
            return best_local[1]
        best_remote = self._least_loaded(sample(remote), excluded, now, estimator)
        if best_local is None:
            # Other instances of the local domain are preferred to remote ones.
            return best_remote[1] if best_remote and not local else None
        margin = SPILLOVER_MARGIN
        if estimator is not None:
            margin = estimator.margin(best_local[0])
        if best_remote is None or best_remote[0] + margin >= best_local[0]:
            return best_local[1]
        return best_remote[1]

    def _candidates_by_domain(
        self, service: str
    ) -> tuple[list[NodeRecord], list[NodeRecord]]:
        """Return the instances of the local domain and those of other domains."""
        if self._generation != self._members.generation:
            self._generation = self._members.generation
            self._candidates.clear()
            self._slowness.clear()
        candidates = self._candidates.get(service)
        if candidates is None:
            candidates = ([], [])
            local_id = self._members.local_record.node_id
            for record in self._members.candidates(service):
                # Callers of a leaving node may use its local target until it stops.
                if not record.leaving or record.node_id == local_id:
                    candidates[record.domain != self._domain].append(record)
            if service in self._work:
                # Otherwise all senders would compare the same ones with each other.
                for records in candidates:
                    self._rng.shuffle(records)
            self._candidates[service] = candidates
            self._slowness.update(_slow_instances(candidates[0] + candidates[1]))
        return candidates

    def _sample(self, records: list[NodeRecord]) -> list[NodeRecord]:
        """Return all records if they are few, or else two random ones."""
        count = len(records)
        if count <= MAX_COMPARED_INSTANCES:
            return records
        first_index = int(self._rng.random() * count)
        second_index = int(self._rng.random() * (count - 1))
        return [
            records[first_index],
            records[second_index + (second_index >= first_index)],
        ]

    def _sample_by_completion(self, records: list[NodeRecord]) -> list[NodeRecord]:
        """Return a few random records, so that senders choose different ones."""
        count = len(records)
        if count <= SAMPLED_BY_COMPLETION:
            return records
        # Distinct ones at a random distance; random.sample takes six times as long.
        step = 1 + int(self._rng.random() * ((count - 1) // 3))
        first = int(self._rng.random() * count)
        return [
            records[first],
            records[(first + step) % count],
            records[(first + 2 * step) % count],
            records[(first + 3 * step) % count],
        ]

    def _choose_fallback(
        self, service: str, excluded: set[str], now: float
    ) -> NodeRecord | None:
        """Return the best of all instances, with leaving and suspect ones last."""
        by_preference: tuple[list[NodeRecord], ...] = ([], [], [], [])
        for record in self._members.candidates(service):
            stats = self.stats(record.node_id)
            if record.node_id in excluded or stats.ejected_until_s > now:
                continue
            if record.leaving and record.node_id != self._members.local_record.node_id:
                # A leaving node still completes the requests that it accepts.
                preference = 2
            elif stats.is_suspect(now):
                preference = 3
            else:
                preference = int(record.domain != self._domain)
            by_preference[preference].append(record)
        for records in by_preference:
            least_loaded = self._least_loaded(
                self._sample(records), set(), now, include_suspects=True
            )
            if least_loaded is not None:
                return least_loaded[1]
        return None

    def _least_loaded(
        self,
        records: list[NodeRecord],
        excluded: set[str],
        now: float,
        estimator: Estimator | None = None,
        include_suspects: bool = False,
    ) -> tuple[float, NodeRecord] | None:
        best: tuple[float, NodeRecord] | None = None
        for record in records:
            if record.node_id in excluded:
                continue
            stats = self.stats(record.node_id)
            if not include_suspects and stats.is_suspect(now):
                continue
            if estimator is not None:
                load = estimator.load(record, stats)
            else:
                slowness = self._slowness.get(record.node_id, 1.0)
                load = stats.load(record.slots, slowness, now)
            if best is None or load < best[0]:
                best = (load, record)
        return best

    def record_start(self, node_id: str, now: float) -> None:
        """Count a request as in flight.

        :param node_id: node that it is sent to
        :param now: current time in s since boot
        """
        stats = self.stats(node_id)
        if not stats.in_flight:
            stats.last_response_s = now
        stats.in_flight += 1

    def record_end(self, node_id: str) -> None:
        """Count a request as no longer in flight.

        :param node_id: node that it was sent to
        """
        self.stats(node_id).in_flight -= 1

    def record_response(
        self,
        node_id: str,
        response_time_s: float,
        total_in_flight: int,
        failed: bool,
        now: float,
    ) -> None:
        """Record the observations of a response.

        :param node_id: node that responded
        :param response_time_s: response time
        :param total_in_flight: requests running and queued at its target
        :param failed: whether the request failed
        :param now: current time in s since boot
        """
        stats = self.stats(node_id)
        stats.last_response_s = stats.reported_s = now
        if stats.failures:
            self._failing.discard(node_id)
            stats.failures = 0
            stats.ejected_until_s = 0.0
        stats.reported_in_flight = total_in_flight
        stats.in_flight_at_report = stats.in_flight
        stats.mean_response_s += AVERAGE_WEIGHT * (
            response_time_s - stats.mean_response_s
        )
        stats.failure_ratio += AVERAGE_WEIGHT * (failed - stats.failure_ratio)

    def uses_work(self, service: str) -> bool:
        """Return whether instances of a service report their work.

        :param service: name of the service
        """
        return service in self._work

    def record_work(
        self, record: NodeRecord, report: WorkReport, kind: Kind | None, now: float
    ) -> None:
        """Record the work that a response reports; call it after the response.

        :param record: instance that responded
        :param report: work at its target
        :param kind: kind of the request
        :param now: current time in s since boot
        """
        work = self._work.get(record.service)
        if work is None:
            work = self._work[record.service] = ServiceWork()
            self._candidates.pop(record.service, None)
        work.learn(record, self.stats(record.node_id), report, kind, now)

    def record_lost_connection(self, node_id: str) -> None:
        """Suspect an instance until it responds on another connection.

        :param node_id: node to which an established connection was lost
        """
        stats = self.stats(node_id)
        stats.failures = max(1, stats.failures)
        self._failing.add(node_id)

    def record_busy(self, node_id: str, total_in_flight: int, now: float) -> None:
        """Record that an instance had no free slot for a request.

        :param node_id: node beside it
        :param total_in_flight: requests running and queued at its target
        :param now: current time in s since boot
        """
        stats = self.stats(node_id)
        stats.last_response_s = stats.reported_s = now
        stats.reported_in_flight = total_in_flight
        stats.in_flight_at_report = stats.in_flight

    def record_unreachable(self, node_id: str, now: float) -> float:
        """Eject an instance that accepts no connection; return the duration in s.

        Attempts that fail during an ejection belong to the same failure and do not
        extend it.

        :param node_id: node that could not be reached
        :param now: current time in s since boot
        """
        stats = self.stats(node_id)
        if stats.ejected_until_s > now:
            return 0.0
        stats.failures += 1
        self._failing.add(node_id)
        backoff_s = MIN_EJECTION_S * 2 ** min(stats.failures - 1, 8)
        duration_s = min(MAX_EJECTION_S, backoff_s)
        stats.ejected_until_s = now + duration_s
        return duration_s

    def reinstate(self, node_id: str, now: float) -> None:
        """Clear the failures of a node that has joined again.

        Requests to its previous process are still counted as in flight.

        :param node_id: id of the node
        :param now: current time in s since boot
        """
        previous = self._stats.pop(node_id, None)
        self._failing.discard(node_id)
        for work in self._work.values():
            work.forget(node_id)
        if previous is not None:
            self._stats[node_id] = InstanceStats(
                in_flight=previous.in_flight, last_response_s=now
            )


def _slow_instances(records: list[NodeRecord]) -> dict[str, float]:
    """Return the factor by which instances are slower than the median, by node."""
    run_times_ms = {r.node_id: r.run_time_ms for r in records if r.run_time_ms}
    if not run_times_ms:
        return {}
    limit_ms = SLOW_RATIO * median(run_times_ms.values())
    return {
        node_id: run_time_ms * SLOW_RATIO / limit_ms
        for node_id, run_time_ms in run_times_ms.items()
        if run_time_ms >= limit_ms
    }
