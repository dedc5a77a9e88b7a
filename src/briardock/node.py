"""Wiring and entry point of ``briardock-node``."""

import argparse
import random
import signal
import sys
from functools import partial

import anyio
import anyio.abc
import zmq

from briardock._node_settings import (
    admission_settings,
    http_limits,
    quarantine_settings,
    routing_settings,
    target_cold_start_s,
    with_policy,
)
from briardock._peerserver import PeerInfo, serve_peers
from briardock._sockets import listen, port_of
from briardock.actions import make_action_table
from briardock.admin import AdminSources, make_admin
from briardock.admission import make_admission
from briardock.announcements import make_announcements
from briardock.background import Task, send_metrics, supervise, watch
from briardock.budget import make_retry_ratio
from briardock.callers import handle_caller
from briardock.clock import Clock, SystemClock, make_random
from briardock.cluster import make_cluster, make_own_record
from briardock.configuration import Catalog
from briardock.directory import make_directory
from briardock.dispatch import Dispatcher
from briardock.drain import make_drain
from briardock.entry import Entry
from briardock.events import Event, emit, start_logging
from briardock.exceptions import BriardockError, SettingsError
from briardock.inbound import Inbound, RunningCall
from briardock.keys import make_incarnation, make_key_issuer
from briardock.listener import (
    AnyListener,
    HttpControl,
    HttpLimits,
    serve_http,
)
from briardock.membership import MemberState
from briardock.messages import MAX_LEVEL, Answer, Call, Forward
from briardock.metrics import Metrics
from briardock.peers import make_peer_links
from briardock.publishing import NO_VERSION
from briardock.quarantine import QuarantineEntry, make_quarantine
from briardock.refusals import make_chain_levels
from briardock.report import dump_node, node_status
from briardock.routing import make_router
from briardock.settings import NodeSettings, load_settings
from briardock.target import make_target_client

CONNECT_TIMEOUT_MS = 1_000.0
MAX_LINKS = 512
MAX_ADMIN_CONNECTIONS = 16
MAX_ADMIN_BODY_BYTES = 64 * 1024
ADMIN_IDLE_TIMEOUT_S = 30.0
LEFT_NOTICE_S = 0.3
ISSUER_IDLE_MS = 1_000.0
ISSUER_POLL_S = 0.05


class Node:
    """All parts of one node process.

    :param settings: checked settings
    :param clock: monotonic clock
    :param rng: random source
    """

    def __init__(
        self, settings: NodeSettings, clock: Clock, rng: random.Random
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.metrics = Metrics()
        self.incarnation = make_incarnation(rng)
        self._rng = rng
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
        self._assemble(port_of(calls))
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

    def _assemble(self, call_port: int) -> None:
        settings, clock, rng, metrics = (
            self.settings,
            self.clock,
            self._rng,
            self.metrics,
        )
        node = settings.node
        own = make_own_record(settings, self.incarnation, call_port, node.gossip_port)
        self.quarantine = make_quarantine(quarantine_settings(settings), clock)
        self.router = make_router(
            routing_settings(settings), node.failure_domain, clock, rng, metrics
        )
        self.cluster, self.directory = make_cluster(
            settings,
            own,
            node.gossip_port,
            lambda table: make_directory(table, self.router, clock),
            self.quarantine,
            self._configuration_changed,
            clock,
            rng,
            metrics,
        )
        self.links = make_peer_links(
            node.node_id,
            self.incarnation,
            clock,
            metrics,
            node.source_host,
            MAX_LINKS,
        )
        self.admission = make_admission(admission_settings(settings), clock, metrics)
        self.target = make_target_client(
            clock, metrics, CONNECT_TIMEOUT_MS, settings.admission.max_limit
        )
        self.drain = make_drain(
            clock,
            self._target_load,
            partial(self._announce, MemberState.LEAVING),
            settings.drain.timeout_s * 1_000.0,
        )
        self.levels = make_chain_levels(clock, rng)
        self._assemble_call_path()

    def _assemble_call_path(self) -> None:
        node, clock, metrics = self.settings.node, self.clock, self.metrics
        self.inbound = Inbound(
            node.node_id,
            self.incarnation,
            clock,
            self.admission,
            self.target,
            self.drain,
            self.quarantine,
            self._chain_level,
            self._spread_quarantine,
            self._call_ended,
            self._target_changed,
            metrics,
        )
        self.dispatcher = Dispatcher(
            node.node_id,
            self.incarnation,
            clock,
            self.router,
            self.directory,
            self.links,
            self.inbound.handle,
            make_retry_ratio(self.settings.routing.retry_ratio),
            self.levels,
            self.quarantine,
            metrics,
        )
        self.issuer = make_key_issuer(
            node.node_id,
            self.incarnation,
            clock,
            node.key_lifetime_s * 1_000.0,
        )
        self.actions = make_action_table(clock)
        self.entry = Entry(
            clock,
            self._catalog,
            self.issuer,
            self.actions,
            self.dispatcher,
            self.inbound,
            self.links,
            self.directory.find_issuer,
            self.levels,
            self.drain,
            metrics,
        )
        self.announcements = make_announcements(
            clock,
            self.inbound,
            self.target,
            self._target_load,
            self._target_changed,
            self._target_started,
            (self.settings.node.host,),
        )

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
        self._announce(MemberState.LEFT)
        # The last notice and the last answers need a moment to be sent.
        await anyio.sleep(LEFT_NOTICE_S)
        await self.cluster.log.close()
        await self.target.aclose()

    def _is_issuer_in_use(self) -> bool:
        """Return whether callers elsewhere still use keys of this node.

        Its records end with the process, so it stays for them until it is idle.
        """
        idle_ms = self.clock.now_ms() - self.entry.forwarded_at_ms
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
            self._spread_lift,
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

    def _catalog(self) -> Catalog | None:
        state = self.cluster.config
        return state.catalog if state.version != NO_VERSION else None

    def _chain_level(self, operation: str) -> int:
        catalog = self._catalog()
        found = catalog.operation(operation) if catalog is not None else None
        if found is None or not found.calls:
            return MAX_LEVEL
        return min(self.levels.level(name) for name in found.calls)

    def _target_load(self) -> int:
        return len(self.inbound.running) + self.admission.queued

    def _announce(self, state: MemberState) -> None:
        target = self.inbound.target_state
        self.cluster.set_target(target.service, target.instance, state)

    def _target_changed(self) -> None:
        target = self.inbound.target_state
        emit(
            Event.TARGET_CHANGED,
            service=target.service,
            instance=target.instance,
            leaving=target.leaving,
        )
        leaving = target.leaving or self.drain.refuses_new
        self._announce(MemberState.LEAVING if leaving else MemberState.ALIVE)
        self.directory.refresh()

    def _configuration_changed(self) -> None:
        self.metrics.count("configuration.changes")
        policy = self.cluster.config.catalog.policy
        own = admission_settings(self.settings)
        self.admission.configure(with_policy(own, policy))

    def _target_started(self) -> None:
        service = self.inbound.target_state.service
        cold_start_s = target_cold_start_s(self.settings, self._catalog(), service)
        self.admission.target_started(cold_start_s)

    def _spread_quarantine(self, entries: list[QuarantineEntry]) -> None:
        if entries:
            self.cluster.gossip.push_quarantine(entries)

    def _spread_lift(self, fingerprint: str) -> None:
        self._spread_quarantine(self.quarantine.entries([fingerprint]))

    def _call_ended(self, running: RunningCall) -> None:
        self.entry.drop_children(running)


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
