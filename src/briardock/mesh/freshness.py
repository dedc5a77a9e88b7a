"""Time up to which the configuration of a node is known to have been current.

It is passed between nodes as an age, because their clocks differ. The age never falls
without a proof: a read of the store, or a response of a node with the same
configuration. A message that another node sends on its own is none, as it may have
waited in a buffer while this process was suspended.
"""


class ConfigFreshness:
    """Freshness of the configuration of one node."""

    def __init__(self) -> None:
        self._current_at_s: float | None = None

    def age_s(self, now: float) -> float | None:
        """Return the time since the configuration was known to be current, in s.

        :param now: current time in s since boot
        :return: ``None`` if it is not known
        """
        return None if self._current_at_s is None else now - self._current_at_s

    def record_read(
        self, started_s: float, ended_s: float, wait_s: float, was_empty: bool
    ) -> None:
        """Record a read of the store that reached the end of the configurations.

        The store may have executed a read right after its start. One that waited for a
        newer configuration in vain proves that there was none until the wait ended.

        :param started_s: time before it was sent
        :param ended_s: time at which its response was read
        :param wait_s: time for which the store was to wait, 0 for a read without
        :param was_empty: whether it returned no configuration
        """
        has_waited = was_empty and ended_s - started_s >= wait_s
        self._record(started_s + wait_s if has_waited else started_s)

    def record_response(self, started_s: float, age_s: float) -> None:
        """Record the age in a response of a node with the same configuration.

        :param started_s: time before the request was sent
        :param age_s: age at that node when it responded, so at most that at the start
            of the exchange plus its duration
        """
        self._record(started_s - age_s)

    def _record(self, current_at_s: float) -> None:
        if self._current_at_s is None or current_at_s > self._current_at_s:
            self._current_at_s = current_at_s
