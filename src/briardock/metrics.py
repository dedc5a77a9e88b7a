"""Counters and gauges, summed in the process and sent by statsd in batches.

The call path only adds to a dictionary. Sending uses UDP, which drops rather
than blocks when the receiver is slow or absent.
"""

import statsd

FLUSH_PERIOD_S = 5.0


class Metrics:
    """Counters and gauges of one process."""

    def __init__(self) -> None:
        self.counters: dict[str, int] = {}
        self.gauges: dict[str, float] = {}
        self._sent: dict[str, int] = {}

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
        """Send the changes since the last flush.

        :param client: statsd client
        """
        with client.pipeline() as pipeline:
            for name, value in self.counters.items():
                step = value - self._sent.get(name, 0)
                if step:
                    pipeline.incr(name, step)
                    self._sent[name] = value
            for name, level in self.gauges.items():
                pipeline.gauge(name, level)


def make_statsd_client(host: str, port: int, prefix: str) -> statsd.StatsClient:
    """Return a client that sends over UDP.

    :param host: numeric address of the receiver
    :param port: UDP port of the receiver
    :param prefix: prefix of all names
    """
    return statsd.StatsClient(host, port, prefix=prefix)
