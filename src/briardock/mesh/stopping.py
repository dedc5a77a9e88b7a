"""Stop of a node: from the signal to the last answers.

All requests are accepted for a part of the grace period, then those that are likely to
complete in it. The node ends early once it is idle.
"""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from briardock.mesh.decisions import DecisionLog
from briardock.mesh.forwarder import Forwarder
from briardock.mesh.listeners import Listeners
from briardock.mesh.model import now_s
from briardock.mesh.target import Target
from briardock.overload.shutdown import Shutdown, StallMeter

# Period at which a stopping node checks whether it can end, s, and the longest time for
# which it waits until its last answers are written.
STOP_CHECK_PERIOD_S = 0.05
LAST_ANSWERS_S = 0.1
# Idle time before which a stopping node does not close a connection, s: a request may
# be on its way, above all on a connection that was just accepted.
MIN_CLOSED_IDLE_S = 0.1


class NodeStop:
    """Stop of one node.

    :param listeners: servers of the node
    :param forwarder: requests of callers
    :param target: calls to the target
    :param log: decision log
    :param grace_s: returns the grace period in force, in s
    :param on_leaving: tells the other nodes that this one is leaving
    """

    def __init__(
        self,
        listeners: Listeners,
        forwarder: Forwarder,
        target: Target,
        log: DecisionLog,
        grace_s: Callable[[], float],
        on_leaving: Callable[[], None],
    ) -> None:
        self.requested = asyncio.Event()
        self.shutdown: Shutdown | None = None
        self.stalls = StallMeter(now_s())
        self._caller_server = listeners.callers
        self._peer_server = listeners.peers
        self._announcement_server = listeners.announcements
        self._forwarder = forwarder
        self._target = target
        self._log = log
        self._grace_s = grace_s
        self._on_leaving = on_leaving
        # Earliest time at which the stop signal can have been sent.
        self._signal_s: float | None = None

    def request(self) -> None:
        """Begin the stop, after a signal."""
        if self._signal_s is None:
            self._signal_s = self.stalls.signal_time_s(now_s(), self._grace_s())
        self.requested.set()

    def grace_changed(self) -> None:
        """Apply a changed grace period to a stop that has begun."""
        if self.shutdown is not None:
            self._set_shutdown(replace(self.shutdown, grace_s=self._grace_s()))

    async def finish(self) -> None:
        """Finish the requests in flight, for no longer than the grace period."""
        # A signal to a frozen process is handled once that runs again, but the grace
        # period begins when it is sent.
        started_s = now_s() if self._signal_s is None else self._signal_s
        self._log.event(
            "stopping",
            running=self._target.running,
            handled_after_s=round(now_s() - started_s, 3),
        )
        self._caller_server.closing = True
        self._on_leaving()
        self._set_shutdown(Shutdown(started_s, self._grace_s()))
        while self._must_serve(now_s()):
            await asyncio.sleep(STOP_CHECK_PERIOD_S)
        cut_off_count = await self._end_requests()
        self._log.event(
            "stopped",
            connections=len(self._caller_server.connections),
            cut_off=cut_off_count,
            calls=self._peer_server.busy_count,
            duration_s=round(now_s() - started_s, 3),
        )
        self._log.flush()

    def _set_shutdown(self, shutdown: Shutdown) -> None:
        self.shutdown = self._forwarder.shutdown = shutdown

    def _must_serve(self, now: float) -> bool:
        """Return whether a stopping node has to go on, and close idle connections."""
        assert self.shutdown is not None
        if now < self.shutdown.accepts_all_until_s:
            return True
        self._caller_server.close_idle(MIN_CLOSED_IDLE_S)
        is_busy = (
            self._caller_server.busy_count
            or self._peer_server.busy_count
            or self._announcement_server.busy_count
            or self._target.running
        )
        return bool(is_busy) and now < self.shutdown.ends_s

    async def _end_requests(self) -> int:
        """Refuse new connections and answer the requests in flight.

        :return: number of the callers' requests that did not complete
        """
        self._caller_server.stop_listening()
        self._peer_server.stop_listening()
        self._forwarder.end_attempts()
        self._target.end_calls()
        # Queued requests are refused as not run before the others are cut off.
        await asyncio.sleep(LAST_ANSWERS_S / 10)
        cut_off_count = self._forwarder.end_requests()
        until_s = now_s() + LAST_ANSWERS_S
        while now_s() < until_s and (
            self._caller_server.connections or self._peer_server.busy_count
        ):
            # Requests on new connections are still read, and refused as not run.
            self._caller_server.close_idle(MIN_CLOSED_IDLE_S)
            await asyncio.sleep(LAST_ANSWERS_S / 10)
        return cut_off_count
