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
from briardock.background import Task, send_metrics, supervise, watch
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
LEFT_NOTICE_S = 0.3
ISSUER_IDLE_MS = 1_000.0
ISSUER_POLL_S = 0.05


class Node(Parts):
    """One node process: its listeners, background tasks and end.

    :param settings: checked settings
    :param clock: monotonic clock
    :param rng: random source
    """

    def __init__(
        self, settings: NodeSettings, clock: Clock, rng: random.Random
    ) -> None:
        super().__init__(settings, clock, rng)
        self._stop = anyio.Event()
        self._control = HttpControl()
        self._callers_served = anyio.Event()
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
            await self._stop.wait()
            await self._finish()
            tasks.cancel_scope.cancel()
        emit(Event.NODE_STOPPED, node_id=node.node_id)

    async def stop(self) -> None:
        """Drain, then end ``run``."""
        await self.drain.run()
        self._stop.set()

    def _start_background(self, tasks: anyio.abc.TaskGroup) -> None:
        background: dict[str, Task] = {
            "gossip": self.cluster.gossip.run,
            "links": self.links.run,
            "configuration": self.cluster.reader.run,
            "contacts": self.cluster.contacts.run,
            "admission": self.admission.run,
            "watch": partial(
                watch,
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
            self._control,
            self.clock,
        )
        self._callers_served.set()

    async def _finish(self) -> None:
        # Requests that callers sent here are answered before the process ends,
        # whichever instance runs them.
        self._control.stop_accepting()
        with anyio.move_on_after(self.settings.drain.timeout_s):
            await self._callers_served.wait()
            while self._is_issuer_in_use():
                await anyio.sleep(ISSUER_POLL_S)
        self.announce(MemberState.LEFT)
        # The last notice and the last answers need a moment to be sent.
        await anyio.sleep(LEFT_NOTICE_S)
        # A call that another node forwarded before it knew the notice is finished.
        with anyio.move_on_after(self.settings.drain.timeout_s):
            while self.entry.in_flight > 0:
                await anyio.sleep(ISSUER_POLL_S)
        await self.cluster.log.close()
        await self.target.aclose()

    def _is_issuer_in_use(self) -> bool:
        """Return whether callers elsewhere still use keys of this node.

        Its records end with the process, so it stays for them until it is idle.
        """
        idle_ms = self.clock.now_ms() - self.entry.last_forward_at_ms
        return self.entry.in_flight > 0 or idle_ms < ISSUER_IDLE_MS

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
            self._stop.set,
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
        later = self.cluster.table.superseded_by
        if later is not None and not self._superseded:
            self._superseded = True
            emit(Event.NODE_SUPERSEDED, incarnation=later)

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
    # defopt would cost a node 14 MB of memory for one option.
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
