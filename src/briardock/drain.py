"""Graceful shutdown that lets requests in flight finish."""

import enum
from collections.abc import Callable

import anyio

from briardock.clock import Clock
from briardock.events import Event, emit

POLL_INTERVAL_S = 0.02


class DrainState(enum.StrEnum):
    """Phases of a drain."""

    SERVING = "serving"
    LEAVING = "leaving"
    LEFT = "left"


class Drain:
    """Refuses new work, then waits until nothing is in flight.

    :param clock: monotonic clock
    :param in_flight: returns the number of requests in flight
    :param announce: tells other nodes that this node is leaving
    :param timeout_ms: longest wait in ms; work still in flight continues until
        the process ends
    """

    def __init__(
        self,
        clock: Clock,
        in_flight: Callable[[], int],
        announce: Callable[[], None],
        timeout_ms: float,
    ) -> None:
        self.state = DrainState.SERVING
        self._clock = clock
        self._in_flight = in_flight
        self._announce = announce
        self._timeout_ms = timeout_ms

    @property
    def refuses_new(self) -> bool:
        """Whether new work for the target is refused."""
        return self.state is not DrainState.SERVING

    async def run(self) -> bool:
        """Drain; return whether nothing was in flight at the end.

        A second call does not restart the drain; it waits as well.
        """
        if self.state is DrainState.SERVING:
            self.state = DrainState.LEAVING
            emit(Event.DRAIN_STARTED, in_flight=self._in_flight())
            self._announce()
        timeout_at_ms = self._clock.now_ms() + self._timeout_ms
        while self._in_flight() and self._clock.now_ms() < timeout_at_ms:
            await anyio.sleep(POLL_INTERVAL_S)
        if self.state is DrainState.LEAVING:
            self.state = DrainState.LEFT
            if self._in_flight():
                emit(Event.DRAIN_TIMED_OUT, in_flight=self._in_flight())
            else:
                emit(Event.DRAIN_FINISHED, in_flight=0)
        return self._in_flight() == 0


def make_drain(
    clock: Clock,
    in_flight: Callable[[], int],
    announce: Callable[[], None],
    timeout_ms: float,
) -> Drain:
    """Return the drain state of a serving node.

    :param clock: monotonic clock
    :param in_flight: returns the number of requests in flight
    :param announce: tells other nodes that this node is leaving
    :param timeout_ms: longest wait in ms
    """
    return Drain(clock, in_flight, announce, timeout_ms)
