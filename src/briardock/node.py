"""Wiring and entry point of ``briardock-node``."""

import argparse
import random
import signal
import sys
from functools import partial

import anyio
import anyio.abc
import zmq

from briardock._node_settings import http_limits
from briardock._peerserver import PeerInfo, serve_peers
from briardock._sockets import listen, port_of
from briardock.admin import AdminSources, make_admin
from briardock.background import Task, run_periodic_checks, send_metrics, supervise
from briardock.caller_routes import handle_caller
from briardock.clock import Clock, SystemClock, make_random
from briardock.events import Event, emit, start_logging
from briardock.exceptions import BriardockError, SettingsError
from briardock.listener import (
    AnyListener,
    HttpControl,
    HttpLimits,
    serve_http,
)
from briardock.membership import MemberState
from briardock.messages import Answer, Call, Forward
from briardock.parts import Parts
from briardock.report import dump_node, node_status
from briardock.settings import NodeSettings, load_settings

MAX_ADMIN_CONNECTIONS = 16
MAX_ADMIN_BODY_BYTES = 64 * 1024
ADMIN_IDLE_TIMEOUT_S = 30.0
LEFT_NOTICE_DELAY_S = 0.3
KEY_ISSUER_IDLE_MS = 1_000.0
DRAIN_POLL_INTERVAL_S = 0.05


class Node(Parts):
    """One node process: its listeners, background tasks and shutdown.

    :param settings: checked settings
    :param clock: monotonic clock
    :param rng: random source
    """

    def __init__(
        self, settings: NodeSettings, clock: Clock, rng: random.Random
    ) -> None:
        super().__init__(settings, clock, rng)
        self._drain_ended = anyio.Event()
        self._caller_control = HttpControl()
        self._caller_listener_finished = anyio.Event()
        self._superseded = False

    async def run(self) -> None:
        """Serve until drained or told to stop.

        :raises SettingsError: if an address cannot be bound
        """
        node = self.settings.node
        http = await listen(node.host, node.http_port, "http_port")
        calls = await listen(node.host, node.call_port, "call_port")
        admin = await listen(
            self.settings.admin.host, self.settings.admin.port, "[admin] port"
        )
        self.assemble(port_of(calls))
        try:
            self.cluster.gossip.bind()
        except zmq.ZMQError as error:
            raise SettingsError(
                f"cannot bind gossip_port {node.gossip_port}: {error}",
                "choose a free port and a local address",
            ) from error
        emit(
            Event.NODE_STARTED,
            node_id=node.node_id,
            incarnation=self.incarnation,
            http_port=port_of(http),
            admin_port=port_of(admin),
        )
        async with anyio.create_task_group() as tasks:
            self._start_background(tasks)
            tasks.start_soon(self._serve_callers, http)
            tasks.start_soon(self._serve_calls, calls)
            tasks.start_soon(self._serve_admin, admin)
            await self._drain_ended.wait()
            await self._shut_down()
            tasks.cancel_scope.cancel()
        emit(Event.NODE_STOPPED, node_id=node.node_id)

    async def stop(self) -> None:
        """Drain, then end ``run``."""
        await self.drain.run()
        self._drain_ended.set()

    def _start_background(self, tasks: anyio.abc.TaskGroup) -> None:
        background: dict[str, Task] = {
            "gossip": self.cluster.gossip.run,
            "links": self.links.run,
            "configuration": self.cluster.reader.run,
            "contacts": self.cluster.contacts.run,
            "admission": self.admission.run,
            "watch": partial(
                run_periodic_checks,
                self.clock,
                [
                    self.announcements.withdraw_expired,
                    self.actions.expire,
                    self._check_superseded,
                ],
            ),
            "metrics": partial(
                send_metrics, self.settings.statsd, self.metrics, self._set_gauges
            ),
        }
        for name, task in background.items():
            tasks.start_soon(supervise, name, task, self.metrics)
        tasks.start_soon(self._handle_signals)

    async def _handle_signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                await self.stop()

    async def _serve_callers(self, listener: AnyListener) -> None:
        await serve_http(
            listener,
            partial(handle_caller, self.entry, self.announcements),
            http_limits(self.settings),
            self.metrics,
            self._caller_control,
            self.clock,
        )
        self._caller_listener_finished.set()

    async def _shut_down(self) -> None:
        # Every accepted caller request gets its response before the process ends,
        # including requests that run on other instances.
        self._caller_control.stop_accepting()
        with anyio.move_on_after(self.settings.drain.timeout_s):
            await self._caller_listener_finished.wait()
            while self._are_issued_keys_in_use():
                await anyio.sleep(DRAIN_POLL_INTERVAL_S)
        self.announce(MemberState.LEFT)
        # Leaves time to send the membership notice and the last responses.
        await anyio.sleep(LEFT_NOTICE_DELAY_S)
        # Finishes calls that other nodes forwarded before they received the notice.
        with anyio.move_on_after(self.settings.drain.timeout_s):
            while self.entry.in_flight > 0:
                await anyio.sleep(DRAIN_POLL_INTERVAL_S)
        await self.cluster.log.close()
        await self.target.aclose()

    def _are_issued_keys_in_use(self) -> bool:
        """Return whether callers of other nodes still use keys that this node issued.

        The action records of these keys are lost when the process ends, so
        shutdown waits until no other node has used one for ``KEY_ISSUER_IDLE_MS``.
        """
        idle_ms = self.clock.now_ms() - self.entry.last_forward_at_ms
        return self.entry.in_flight > 0 or idle_ms < KEY_ISSUER_IDLE_MS

    async def _handle_peer(self, message: Call | Forward, peer: PeerInfo) -> Answer:
        match message:
            case Call():
                return await self.inbound.handle(message, peer.transit_ms)
            case Forward():
                return await self.entry.handle_forward(message)

    async def _serve_calls(self, listener: AnyListener) -> None:
        await serve_peers(
            listener,
            self._handle_peer,
            self.settings.node.node_id,
            self.incarnation,
            self.clock,
            self.metrics,
            self.settings.node.max_connections,
        )

    async def _serve_admin(self, listener: AnyListener) -> None:
        sources = AdminSources(
            partial(node_status, self),
            partial(dump_node, self),
            self.drain,
            self._drain_ended.set,
            self.quarantine,
            self.send_quarantine_lift,
        )
        limits = HttpLimits(
            self.settings.node.max_header_kb * 1024,
            MAX_ADMIN_BODY_BYTES,
            MAX_ADMIN_CONNECTIONS,
            ADMIN_IDLE_TIMEOUT_S,
        )
        admin = make_admin(sources, self.settings.admin.token)
        await serve_http(listener, admin.handle, limits, self.metrics)

    def _check_superseded(self) -> None:
        later_incarnation = self.cluster.table.superseded_by
        if later_incarnation is not None and not self._superseded:
            self._superseded = True
            emit(Event.NODE_SUPERSEDED, incarnation=later_incarnation)

    def _set_gauges(self) -> None:
        self.metrics.gauge("admission.load", self.admission.load())
        self.metrics.gauge("admission.in_flight", self.admission.in_flight)
        self.metrics.gauge("actions.records", len(self.actions))


def make_node(settings: NodeSettings) -> Node:
    """Return a node with the system's clock.

    :param settings: checked settings
    """
    return Node(settings, SystemClock(), make_random(settings.node.seed))


def main() -> None:
    """Run the command line of ``briardock-node``."""
    # argparse rather than defopt, which takes 14 MB of memory in every node.
    parser = argparse.ArgumentParser(
        prog="briardock-node", description="Run one node beside its target."
    )
    parser.add_argument("--settings", required=True, help="INI file of the node")
    arguments = parser.parse_args()
    try:
        settings = load_settings(arguments.settings)
        start_logging(settings.logging.level)
        anyio.run(make_node(settings).run, backend_options={"use_uvloop": True})
    except BriardockError as error:
        print(f"briardock-node: {error}", file=sys.stderr)
        sys.exit(error.exit_code)


if __name__ == "__main__":
    main()
