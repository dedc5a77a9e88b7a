"""What a node observes of one instance to which it sends requests."""

from dataclasses import dataclass

# Time without a response after which a node with requests in flight is suspect: the
# minimum in s, and the multiple of its mean response time.
MIN_SILENCE_S = 0.5
SILENCE_RESPONSE_TIME_FACTOR = 4.0
# Load added to an instance whose responses are all failures.
FAILURE_LOAD_PENALTY = 2.0
# Age up to which a reported load is used, s.
LOAD_REPORT_LIFETIME_S = 2.0


@dataclass(slots=True)
class InstanceStats:
    """Observations of one instance.

    :param in_flight: requests in flight from this node
    :param reported_in_flight: requests running and queued there, from all nodes
    :param in_flight_at_report: requests in flight from this node at the report
    :param reported_s: time of the report
    :param last_response_s: time of the last response, or of the first request sent
        since none was in flight
    :param mean_response_s: moving average of the response time
    :param failure_ratio: moving average of the share of failed responses
    :param failures: connection failures since the last response
    :param ejected_until_s: end of its ejection
    """

    in_flight: int = 0
    reported_in_flight: int = 0
    in_flight_at_report: int = 0
    reported_s: float = 0.0
    last_response_s: float = 0.0
    mean_response_s: float = 0.1
    failure_ratio: float = 0.0
    failures: int = 0
    ejected_until_s: float = 0.0

    def load(self, slots: int, slowness: float, now: float) -> float:
        """Return the estimated load, in requests per slot, with one more request.

        :param slots: slots of the instance
        :param slowness: factor by which it is slower than others, 1 if it is not
        :param now: current time in s since boot
        """
        total = self.in_flight
        if now - self.reported_s < LOAD_REPORT_LIFETIME_S:
            change = self.in_flight - self.in_flight_at_report
            total = max(total, self.reported_in_flight + change)
        load = (total + 1) / max(1, slots) * slowness
        return load + FAILURE_LOAD_PENALTY * self.failure_ratio

    def is_suspect(self, now: float) -> bool:
        """Return whether the instance may be unreachable.

        :param now: current time in s since boot
        """
        if self.failures:
            return True
        limit_s = max(
            MIN_SILENCE_S, SILENCE_RESPONSE_TIME_FACTOR * self.mean_response_s
        )
        return self.in_flight > 0 and now - self.last_response_s > limit_s
