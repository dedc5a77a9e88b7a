"""Counters and gauges, kept in the process and sent to statsd in batches.

The call path only updates a dictionary. Metrics are sent over UDP, which drops packets
instead of blocking when the receiver is slow or absent.
"""

import statsd

FLUSH_PERIOD_S = 5.0


class Metrics:
    """Counters and gauges of one process."""

    def __init__(self) -> None:
        self.counters: dict[str, int] = {}
        self.gauges: dict[str, float] = {}
        self._sent_counters: dict[str, int] = {}

    def count(self, name: str, step: int = 1) -> None:
        """Add to a counter.

        :param name: dotted name, listed in docs/metrics.md
        :param step: amount to add
        """
        self.counters[name] = self.counters.get(name, 0) + step

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge; the last value before a flush is sent.

        :param name: dotted name with the unit as suffix
        :param value: current value
        """
        self.gauges[name] = value

    def flush(self, client: statsd.StatsClient) -> None:
        """Send the counter increments since the last flush and all gauges.

        :param client: statsd client
        """
        with client.pipeline() as pipeline:
            for name, value in self.counters.items():
                step = value - self._sent_counters.get(name, 0)
                if step:
                    pipeline.incr(name, step)
                    self._sent_counters[name] = value
            for name, gauge_value in self.gauges.items():
                pipeline.gauge(name, gauge_value)


def make_statsd_client(host: str, port: int, prefix: str) -> statsd.StatsClient:
    """Return a client that sends over UDP.

    :param host: numeric IP address of the receiver
    :param port: UDP port of the receiver
    :param prefix: prefix of all metric names
    """
    return statsd.StatsClient(host, port, prefix=prefix)
