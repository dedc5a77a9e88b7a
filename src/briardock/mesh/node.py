"""One node of the mesh: components, listeners and background tasks."""

import asyncio
import random
import time
from collections.abc import Callable

from briardock.mesh.accounts import age_limits
from briardock.mesh.allocator import map_large_blocks
from briardock.mesh.announcements import Announcements
from briardock.mesh.callgraph import EntryRoutes
from briardock.mesh.calls import (
    LoadReport,
    NotRun,
    Result,
    decode_call,
    encode_result,
    is_call,
)
from briardock.mesh.clients import SenderIdentification
from briardock.mesh.decisions import FLUSH_PERIOD_S, DecisionLog
from briardock.mesh.dialect import Dialect, Store
from briardock.mesh.forwarder import Forwarder
from briardock.mesh.health_check import HealthCheck
from briardock.mesh.http1 import Request, Response
from briardock.mesh.http_server import Handler, HttpServer
from briardock.mesh.listeners import Listeners, peer_limits
from briardock.mesh.members import MemberTable, NodeRecord
from briardock.mesh.memory import account_for_process, response_account
from briardock.mesh.metrics_page import metrics_page
from briardock.mesh.model import MeshSettings, RoutingConfig, TargetState, now_s
from briardock.mesh.pool import ConnectionPool, PoolSettings
from briardock.mesh.quotas import QUOTAS_PATH, Quotas, quota_limits
from briardock.mesh.reload import SettingsReload
from briardock.mesh.replication import Replicator
from briardock.mesh.routes import RouteTable
from briardock.mesh.signals import handle_signals
from briardock.mesh.stopping import NodeStop
from briardock.mesh.sync import SYNC_PATH
from briardock.mesh.target import Target
from briardock.mesh.target_confirmation import TargetConfirmation
from briardock.mesh.tasks import supervise
from briardock.mesh.telemetry import Telemetry
from briardock.overload.admission import CONTROL_PERIOD_S, Usage
from briardock.overload.board import (
    EntryThresholds,
    ThresholdAnnouncer,
    ThresholdBoard,
)
from briardock.overload.chain import LearnedThresholds
from briardock.overload.placement import Balancer
from briardock.overload.quota_limits import QuotaSettings
from briardock.overload.shutdown import Shutdown

PEER_POOL = PoolSettings(
    connect_timeout_s=0.5, idle_timeout_s=20.0, unacknowledged_timeout_s=1.0
)
TARGET_POOL = PoolSettings(
    connect_timeout_s=0.5, idle_timeout_s=8.0, unacknowledged_timeout_s=1.0
)
POOL_SWEEP_PERIOD_S = 2.0


class Node:
    """Sidecar process of one target.

    :param settings: decoded settings
    :param dialect: headers and documents of the platform
    :param store: keyed streams of the platform
    :param log: decision log
    :param load_settings: reads the settings file again
    """

    def __init__(
        self,
        settings: MeshSettings,
        dialect: Dialect,
        store: Store,
        log: DecisionLog,
        load_settings: Callable[[], MeshSettings],
    ) -> None:
        self.settings = settings
        self._load_settings = load_settings
        self._reload = SettingsReload(
            settings, lambda: self._load_settings(), log, self._apply_settings
        )
        self.log = log
        self.telemetry = Telemetry()
        self._dialect = dialect
        self._rng = random.Random()
        local_record = NodeRecord(
            node_id=settings.node_id,
            incarnation_ms=int(time.time() * 1000),
            version=0,
            domain=settings.domain,
            address=settings.peer_address,
            service=settings.service,
            target_id="",
            target_born_ms=0,
            state=TargetState.ABSENT,
            slots=1,
            leaving=False,
        )
        self.members = MemberTable(local_record)
        self.balancer = Balancer(self.members, settings.domain, self._rng)
        responses = response_account(settings.memory_bytes)
        self._peer_pool = ConnectionPool(PEER_POOL, responses)
        self._target_pool = ConnectionPool(TARGET_POOL, responses)
        board = ThresholdBoard()
        self.replicator = Replicator(
            self.members,
            board,
            store,
            dialect,
            self._peer_pool,
            log,
            self._rng,
            self._install,
            lambda node_id: self.balancer.reinstate(node_id, now_s()),
            self._restore_previous_record,
        )
        self.target = Target(
            settings.target_address,
            settings.service,
            self._target_pool,
            dialect,
            log,
            self.replicator.crash_suspects,
            self._target_changed,
        )
        self.confirmation = TargetConfirmation(
            self.target, HealthCheck(self._target_pool, dialect), log
        )
        self._entry_routes = EntryRoutes(
            self.members, self.target, self._local_record_changed
        )
        self.senders = SenderIdentification(
            self._entry_routes,
            self.replicator.config_age_s,
            age_limits(settings),
            dialect,
            log,
            self.telemetry,
        )
        learned_thresholds = LearnedThresholds()
        self._announcer = ThresholdAnnouncer(settings.node_id)
        self.quotas = Quotas(
            self.members,
            self._peer_pool,
            QuotaSettings(
                settings.quota_window_s, settings.quota_over_ratio, settings.quota_slack
            ),
            lambda: self.replicator.has_read_nodes,
            log,
            self.telemetry,
        )
        self.forwarder = Forwarder(
            settings,
            dialect,
            self.members,
            self.balancer,
            self.target,
            self._peer_pool,
            learned_thresholds,
            EntryThresholds(self.members, board, learned_thresholds),
            self.senders,
            self.quotas,
            log,
            self.telemetry,
            self._rng,
        )
        memory = self.memory = account_for_process(settings.memory_bytes)
        announcements = Announcements(
            self.target, self.confirmation, self.replicator, dialect, log
        )
        self._listeners = Listeners(
            settings,
            memory,
            log,
            self.forwarder.handle,
            self._handle_peer,
            self._handle_ready,
            announcements.handle,
            self._handle_metrics,
        )
        self._message_handlers: dict[bytes, Handler] = {
            SYNC_PATH: self.replicator.handle,
            QUOTAS_PATH: self.quotas.handle,
        }
        self._caller_server = self._listeners.callers
        self._peer_server = self._listeners.peers
        self._stop = NodeStop(
            self._listeners,
            self.forwarder,
            self.target,
            log,
            lambda: self.settings.grace_s,
            self._tell_leaving,
        )
        self._stopping = self._stop.requested

    def _install(self, config: RoutingConfig) -> None:
        self.forwarder.routes = RouteTable(config, self._rng)
        self.senders.install(config)
        self.quotas.set_limits(quota_limits(config))
        self._caller_server.limits = config.limits
        self._peer_server.limits = peer_limits(config.limits)
        self._entry_routes.retain({route.name for route in config.routes})
        self.telemetry.config_version.set(config.version)
        self.confirmation.set_health_paths(config.health_paths)

    def _target_changed(self) -> None:
        target = self.target
        self.members.update_local(
            target_id=target.target_id,
            target_born_ms=target.born_ms,
            state=target.state,
            slots=target.slots,
        )
        self.replicator.local_record_changed()

    def _tell_load(self, usage: Usage) -> None:
        """Tell other nodes what has changed in the load of the local target."""
        if self.target.update_run_time():
            run_time_ms = round(self.target.run_time_s * 1000)
            self.members.update_local(run_time_ms=run_time_ms)
            self.replicator.run_time_changed()
        called = sorted(self.forwarder.called_services.confirmed)
        if called != self.members.local_record.called_services:
            self.members.update_local(called_services=called)
            self.replicator.local_record_changed()
        news = self._announcer.update(
            self.settings.service,
            self.target.threshold(from_caller=True),
            self.target.threshold(from_caller=False),
            usage.capacity_per_s,
            len(self.members.candidates(self.settings.service)),
            int(time.time() * 1000),
            now_s(),
        )
        if news is not None:
            self.replicator.tell_thresholds(news)

    def _restore_previous_record(self, record: NodeRecord) -> None:
        """Restore the state that an earlier process of this node published.

        :param record: newest record of an earlier process
        """
        self._entry_routes.resume(record.entry_routes)
        if record.service != self.settings.service:
            return
        self.confirmation.restore(record)

    def _local_record_changed(self) -> None:
        self.replicator.local_record_changed()

    def _tell_leaving(self) -> None:
        self.members.update_local(leaving=True)
        self.replicator.local_record_changed()

    @property
    def _shutdown(self) -> Shutdown | None:
        """Decides what this node accepts while it stops, ``None`` before."""
        return self._stop.shutdown

    # Requests

    async def _handle_peer(self, request: Request) -> Response:
        handle_message = self._message_handlers.get(request.target)
        if handle_message is not None and not is_call(request):
            return await handle_message(request)
        call = decode_call(request)
        if call is None:
            return Response(400)
        if call.account is None and self.senders.has_accounts:
            # The node at which it entered does not have the accounts yet.
            call.headers = self._dialect.without_identity(call.headers)
        started_s = now_s()
        shutdown = self._shutdown
        if shutdown is None or shutdown.accepts_call(
            call.expires_s, call.idempotent, self.target.longest_run_s, started_s
        ):
            result: Result = await self.target.run(call)
        else:
            result = NotRun("node is stopping")
        self.telemetry.target_latency.observe(now_s() - started_s)
        thresholds = self.forwarder.thresholds(call.from_caller)
        work = self.target.work_report(call)
        load = LoadReport(self.target.in_flight, thresholds, work)
        return encode_result(result, load)

    async def _handle_ready(self, request: Request) -> Response:
        ready = self.forwarder.routes is not None and not self._stopping.is_set()
        return Response(200 if ready else 503)

    async def _handle_metrics(self, request: Request) -> Response:
        return metrics_page(self.telemetry, self.target, self.replicator)

    # Background tasks

    async def _update_thresholds(self) -> None:
        while True:
            await asyncio.sleep(CONTROL_PERIOD_S)
            if self.forwarder.routes is None:
                continue
            self.senders.check_age()
            before = self.target.threshold(False)
            usage = self.target.update_thresholds(self.forwarder.max_threshold)
            self.forwarder.update_rates(usage.arrivals)
            self._tell_load(usage)
            if self.target.threshold(False) < before:
                self.log.event(
                    "level-lowered",
                    arrivals_per_s=round(usage.arrivals / usage.elapsed_s),
                    capacity_per_s=round(usage.capacity_per_s),
                    level=round(self.target.threshold(False), 3),
                    running=self.target.running,
                    queued=self.target.queued,
                )

    async def _sweep_pools(self) -> None:
        while True:
            await asyncio.sleep(POOL_SWEEP_PERIOD_S)
            self._peer_pool.sweep()
            self._target_pool.sweep()

    async def _flush_log(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_PERIOD_S)
            self._stop.stalls.record_run(now_s())
            self.log.flush()

    async def run(self) -> None:
        """Serve until a stop signal, then finish the requests in flight.

        :raises SettingsError: if an address cannot be bound
        """
        map_large_blocks()
        loop = asyncio.get_running_loop()
        handle_signals(self._stop.request, self.reload)
        await self._listeners.start()
        settings = self.settings
        self.log.event("started", service=settings.service, domain=settings.domain)
        self.replicator.local_record_changed()
        background = [
            loop.create_task(supervise(work, self.log))
            for work in (
                self.replicator.check_readers,
                self.replicator.watch_config,
                self.replicator.watch_config_age,
                self.replicator.watch_nodes,
                self.replicator.publish,
                self.replicator.sync_periodically,
                self.target.loss_watch.watch_losses,
                self.quotas.report_periodically,
                self.forwarder.service_choices.log_periodically,
                self._update_thresholds,
                self._sweep_pools,
                self._flush_log,
                self._reload.watch_settings,
                *(server.sweep for server in self._servers),
            )
        ]
        try:
            await self._stopping.wait()
            await self._stop.finish()
        finally:
            for task in background:
                task.cancel()

    @property
    def _servers(self) -> list[HttpServer]:
        return self._listeners.all

    def reload(self) -> None:
        """Apply changed settings that need no restart; log the others."""
        self._reload.reload()

    def _apply_settings(self, settings: MeshSettings, applied: list[str]) -> None:
        self.settings = self.forwarder.settings = settings
        self.senders.set_limits(age_limits(settings))
        self._stop.grace_changed()
        if "service" in applied or "target_address" in applied:
            self.target.reconfigure(self.settings.target_address, self.settings.service)
            self.members.update_local(service=self.settings.service)
            self.replicator.local_record_changed()
