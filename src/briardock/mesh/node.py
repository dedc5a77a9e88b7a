"""One node of the mesh: components, listeners, background tasks and shutdown."""

import asyncio
import math
import random
import signal
import time
from collections.abc import Callable, Coroutine
from dataclasses import fields, replace
from typing import Any

from briardock.exceptions import SettingsError
from briardock.mesh.accounts import age_limits
from briardock.mesh.callgraph import EntryRoutes, called_routes
from briardock.mesh.calls import NotRun, Result, decode_call, encode_result
from briardock.mesh.clients import SenderIdentification
from briardock.mesh.decisions import FLUSH_PERIOD_S, DecisionLog
from briardock.mesh.descriptors import connection_limits
from briardock.mesh.dialect import Departure, Dialect, Store, Undecodable
from briardock.mesh.forwarder import Forwarder
from briardock.mesh.http1 import Request, Response
from briardock.mesh.http_server import HttpServer
from briardock.mesh.members import MemberTable, NodeRecord
from briardock.mesh.memory import account_for_process
from briardock.mesh.model import (
    Announcement,
    CallerLimits,
    MeshSettings,
    RoutingConfig,
    TargetState,
    now_s,
    split_address,
)
from briardock.mesh.pool import ConnectionPool, PoolSettings
from briardock.mesh.quotas import QUOTAS_PATH, Quotas, quota_limits
from briardock.mesh.replication import Replicator
from briardock.mesh.routes import RouteTable
from briardock.mesh.sync import SYNC_PATH
from briardock.mesh.target import Target
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
from briardock.overload.shutdown import Shutdown, StallMeter
from briardock.overload.target_retries import TargetRetries

PEER_POOL = PoolSettings(
    connect_timeout_s=0.5, idle_timeout_s=20.0, unacknowledged_timeout_s=1.0
)
TARGET_POOL = PoolSettings(
    connect_timeout_s=0.5, idle_timeout_s=8.0, unacknowledged_timeout_s=1.0
)
# Limits for peers, which are trusted; their connections may stay idle longer.
PEER_LIMITS = CallerLimits(header_bytes=64 * 1024, idle_timeout_s=30.0)
# Period at which a stopping node checks whether it can end, s, and the longest time for
# which it waits until its last answers are written.
STOP_CHECK_PERIOD_S = 0.05
LAST_ANSWERS_S = 0.1
# Idle time before which a stopping node does not close a connection, s: a request may
# be on its way, above all on a connection that was just accepted.
MIN_CLOSED_IDLE_S = 0.1
POOL_SWEEP_PERIOD_S = 2.0
# Longest time for which the acknowledgement of a departure waits for the store, s. A
# target treats an acknowledgement that takes more than 1 s as missing.
DEPARTURE_WAIT_S = 0.6
SETTINGS_CHECK_PERIOD_S = 3.0
# Delay after which a background task that failed is started again, s.
TASK_RESTART_DELAY_S = 0.2
# Settings that take effect without a restart.
RELOADABLE_SETTINGS = frozenset(
    {
        "service",
        "target_address",
        "grace_s",
        "retry_ratio",
        "retry_slack",
        "retry_window_s",
        "config_apply_s",
        "strict_revocation",
        "revoke_s",
    }
)


async def _listen(server: HttpServer, address: str) -> None:
    try:
        await server.start(*split_address(address))
    except OSError as error:
        raise SettingsError(
            f"cannot listen on {address}: {error.strerror or error}",
            "end the process that uses the address, or change the settings",
        ) from error


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
        self._last_loaded = settings
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
        self._peer_pool = ConnectionPool(PEER_POOL)
        self._target_pool = ConnectionPool(TARGET_POOL)
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
        retries = TargetRetries(
            settings.retry_ratio, settings.retry_slack, settings.retry_window_s
        )
        self.target = Target(
            settings.target_address,
            settings.service,
            self._target_pool,
            dialect,
            log,
            self.replicator.crash_suspects,
            self._target_changed,
            retries,
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
            retries,
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
        limits = connection_limits(settings.max_descriptors)
        self._caller_server = HttpServer(
            self.forwarder.handle, CallerLimits(), log, memory, limits.callers
        )
        self._peer_server = HttpServer(
            self._handle_peer, PEER_LIMITS, log, memory, limits.peers
        )
        self._ready_server, self._announcement_server, self._metrics_server = (
            HttpServer(handler, CallerLimits(), log, memory, limits.others)
            for handler in (
                self._handle_ready,
                self._handle_announcement,
                self._handle_metrics,
            )
        )
        self._stopping = asyncio.Event()
        # Earliest time at which the stop signal can have been sent.
        self._stop_signal_s: float | None = None
        self._shutdown: Shutdown | None = None
        self._stalls = StallMeter(now_s())
        self._health_paths: dict[str, str] = {}
        # Newest record of an earlier process whose target is not known to be ready.
        self._unconfirmed_record: NodeRecord | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def _install(self, config: RoutingConfig) -> None:
        self.forwarder.routes = RouteTable(config)
        self.senders.install(config)
        self.quotas.set_limits(quota_limits(config))
        self._caller_server.limits = config.limits
        self._entry_routes.retain({route.name for route in config.routes})
        self.telemetry.config_version.set(config.version)
        self._health_paths = config.health_paths
        self._check_restored_target()

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
        self._tell_route_calls()
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

    def _tell_route_calls(self) -> None:
        """Tell other nodes which services the requests of each route need."""
        if self.forwarder.routes is None:
            return
        names_by_tag = self.forwarder.routes.names_by_tag
        route_calls = self.forwarder.called_services.route_calls(names_by_tag)
        counts = self.forwarder.called_services.call_counts(names_by_tag)
        known = self.members.local_record
        if (route_calls, counts) == (known.route_calls, known.call_counts):
            return
        self.members.update_local(route_calls=route_calls, call_counts=counts)
        if called_routes(route_calls) == called_routes(known.route_calls):
            self.replicator.run_time_changed()
            return
        self.replicator.local_record_changed()
        self.log.event("route-calls", routes=called_routes(route_calls))

    def _restore_previous_record(self, record: NodeRecord) -> None:
        """Restore the state that an earlier process of this node published.

        :param record: newest record of an earlier process
        """
        self._entry_routes.resume(record.entry_routes)
        if record.service != self.settings.service:
            return
        self.forwarder.called_services.resume(record.route_calls)
        if record.state is TargetState.READY:
            self._unconfirmed_record = record
            self._check_restored_target()
        elif record.state is TargetState.LEAVING:
            self._unconfirmed_record = None
            self.target.leave(record.target_id, record.target_born_ms)
            self.target.adopt(record.target_id, record.target_born_ms, record.slots)

    def _check_restored_target(self) -> None:
        """Start the check of the restored target once its health path is known."""
        record = self._unconfirmed_record
        health_path = self._health_paths.get(self.settings.service)
        if record is None or not health_path:
            return
        self._unconfirmed_record = None
        task = asyncio.get_running_loop().create_task(
            self._adopt_if_ready(record, health_path)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _adopt_if_ready(self, record: NodeRecord, health_path: str) -> None:
        """Use the restored target if it states that it accepts requests.

        Otherwise the node waits for its next announcement: the departure that an
        earlier process acknowledged may have been lost with the memory of all nodes.
        """
        if await self.target.accepts_requests(record.target_id, health_path):
            self.target.adopt(record.target_id, record.target_born_ms, record.slots)
        elif not self.target.target_id:
            self.log.event("target-not-restored", target=record.target_id)

    def _local_record_changed(self) -> None:
        self.replicator.local_record_changed()

    # Requests

    async def _handle_peer(self, request: Request) -> Response:
        if request.target == SYNC_PATH:
            return await self.replicator.handle(request)
        if request.target == QUOTAS_PATH:
            return await self.quotas.handle(request)
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
        return encode_result(result, self.forwarder.load_report(call))

    async def _handle_ready(self, request: Request) -> Response:
        ready = self.forwarder.routes is not None and not self._stopping.is_set()
        return Response(200 if ready else 503)

    async def _handle_announcement(self, request: Request) -> Response:
        announcement = self._dialect.decode_announcement(request)
        match announcement:
            case Undecodable(reason):
                self.log.event("announcement-refused", reason=reason)
                return Response(400)
            case Departure():
                self.target.leave(announcement.target_id, announcement.born_ms)
                await self._store_departure(announcement.target_id)
            case Announcement():
                if not self.target.matches(announcement):
                    self.log.event(
                        "announcement-refused",
                        reason="another service or address",
                        target=announcement.target_id,
                    )
                    return Response(400)
                self.target.announce(announcement)
                if self.target.state is TargetState.LEAVING:
                    await self._store_departure(announcement.target_id)
        return Response(200, [(b"content-type", b"application/json")], b"{}")

    async def _store_departure(self, target_id: str) -> None:
        """Wait until the store has a departure, before it is acknowledged.

        If this process exits right after the acknowledgement, its successor must know
        of the departure. While the store is unreachable, it may not, and learns from
        the target's health check that the target is leaving.
        """
        if not await self.replicator.wait_until_stored(DEPARTURE_WAIT_S):
            self.log.event("departure-not-stored", target=target_id)

    async def _handle_metrics(self, request: Request) -> Response:
        self.telemetry.queued.set(self.target.queued)
        self.telemetry.admission_threshold.set(self.target.threshold(False))
        self.telemetry.store_era.set(self.replicator.store_era)
        age_s = self.replicator.config_age_s()
        self.telemetry.config_age.set(math.nan if age_s is None else age_s)
        now = now_s()
        retries = self.forwarder.retries
        self.telemetry.arrived_retry_ratio.set(retries.arrived_ratio(now))
        for service, budget in retries.budgets.items():
            ratio = round(budget.ratio(now), 4)
            self.telemetry.retry_ratio.labels(service).set(ratio)
        work = self.target.work_report()
        if work is not None:
            self.telemetry.target_slowness.set(work.slowness)
            self.telemetry.target_room.set(work.room)
            self.telemetry.target_delay.set(work.start_delay_s)
        return Response(
            200, [(b"content-type", b"text/plain")], self.telemetry.render()
        )

    # Background tasks

    async def _update_thresholds(self) -> None:
        while True:
            await asyncio.sleep(CONTROL_PERIOD_S)
            routes = self.forwarder.routes
            if routes is None:
                continue
            self.senders.check_age()
            before = self.target.threshold(False)
            usage = self.target.update_thresholds(
                self.forwarder.max_threshold, routes.ranks.ranks_per_level
            )
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
            self._stalls.record_run(now_s())
            self.log.flush()

    async def _supervise(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a background task, and start it again after an unexpected error.

        :param work: starts the task
        """
        while True:
            try:
                return await work()
            except Exception as error:
                self.log.event(
                    "task-failed",
                    task=work.__name__,
                    error=f"{type(error).__name__}: {error}",
                )
            await asyncio.sleep(TASK_RESTART_DELAY_S)

    async def run(self) -> None:
        """Serve until a stop signal, then finish the requests in flight.

        :raises SettingsError: if an address cannot be bound
        """
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._request_stop)
        loop.add_signal_handler(signal.SIGINT, self._request_stop)
        settings = self.settings
        await _listen(self._peer_server, settings.peer_address)
        await _listen(self._announcement_server, settings.announce_address)
        await _listen(self._caller_server, settings.caller_address)
        await _listen(self._ready_server, settings.ready_address)
        host = split_address(settings.peer_address)[0]
        if settings.metrics_port:
            await _listen(self._metrics_server, f"{host}:{settings.metrics_port}")
        self.log.event("started", service=settings.service, domain=settings.domain)
        self.replicator.local_record_changed()
        background = [
            loop.create_task(self._supervise(work))
            for work in (
                self.replicator.check_readers,
                self.replicator.watch_config,
                self.replicator.watch_config_age,
                self.replicator.watch_nodes,
                self.replicator.publish,
                self.replicator.sync_periodically,
                self.target.loss_watch.watch_losses,
                self.quotas.report_periodically,
                self._update_thresholds,
                self._sweep_pools,
                self._flush_log,
                self._watch_settings,
                *(server.sweep for server in self._servers),
            )
        ]
        try:
            await self._stopping.wait()
            await self._stop()
        finally:
            for task in background:
                task.cancel()

    @property
    def _servers(self) -> list[HttpServer]:
        return [
            self._caller_server,
            self._peer_server,
            self._ready_server,
            self._announcement_server,
            self._metrics_server,
        ]

    def reload(self) -> None:
        """Apply changed settings that need no restart; log the others."""
        try:
            loaded = self._load_settings()
        except SettingsError as error:
            self.log.event("reload-refused", reason=str(error))
            return
        self._last_loaded = loaded
        changed = [
            item.name
            for item in fields(MeshSettings)
            if getattr(loaded, item.name) != getattr(self.settings, item.name)
        ]
        applied = [name for name in changed if name in RELOADABLE_SETTINGS]
        self.settings = replace(
            self.settings, **{name: getattr(loaded, name) for name in applied}
        )
        self.forwarder.settings = self.settings
        self.senders.set_limits(age_limits(self.settings))
        if self._shutdown is not None:
            self._set_shutdown(replace(self._shutdown, grace_s=self.settings.grace_s))
        needs_restart = sorted(set(changed) - set(applied))
        self.log.event("reloaded", applied=applied, needs_restart=needs_restart)
        if "service" in applied or "target_address" in applied:
            self.target.reconfigure(self.settings.target_address, self.settings.service)
            self.members.update_local(service=self.settings.service)
            self.replicator.local_record_changed()

    async def _watch_settings(self) -> None:
        """Reload settings when the file changes without a signal."""
        while True:
            await asyncio.sleep(SETTINGS_CHECK_PERIOD_S)
            try:
                unchanged = self._load_settings() == self._last_loaded
            except SettingsError as error:
                self.log.event("reload-refused", reason=str(error))
                continue
            if not unchanged:
                self.reload()

    def _request_stop(self) -> None:
        if self._stop_signal_s is None:
            self._stop_signal_s = self._stalls.signal_time_s(
                now_s(), self.settings.grace_s
            )
        self._stopping.set()

    async def _stop(self) -> None:
        # A signal to a frozen process is handled once that runs again, but the grace
        # period begins when it is sent.
        started_s = now_s() if self._stop_signal_s is None else self._stop_signal_s
        self.log.event(
            "stopping",
            running=self.target.running,
            handled_after_s=round(now_s() - started_s, 3),
        )
        self._caller_server.closing = True
        self.members.update_local(leaving=True)
        self.replicator.local_record_changed()
        self._set_shutdown(Shutdown(started_s, self.settings.grace_s))
        while self._must_serve(now_s()):
            await asyncio.sleep(STOP_CHECK_PERIOD_S)
        cut_off_count = await self._end_requests()
        self.log.event(
            "stopped",
            connections=len(self._caller_server.connections),
            cut_off=cut_off_count,
            calls=self._peer_server.busy_count,
            duration_s=round(now_s() - started_s, 3),
        )
        self.log.flush()

    def _set_shutdown(self, shutdown: Shutdown) -> None:
        self._shutdown = self.forwarder.shutdown = shutdown

    def _must_serve(self, now: float) -> bool:
        """Return whether a stopping node has to go on, and close idle connections."""
        assert self._shutdown is not None
        if now < self._shutdown.accepts_all_until_s:
            return True
        self._caller_server.close_idle(MIN_CLOSED_IDLE_S)
        is_busy = (
            self._caller_server.busy_count
            or self._peer_server.busy_count
            or self._announcement_server.busy_count
            or self.target.running
        )
        return bool(is_busy) and now < self._shutdown.ends_s

    async def _end_requests(self) -> int:
        """Refuse new connections and answer the requests in flight.

        :return: number of the callers' requests that did not complete
        """
        self._caller_server.stop_listening()
        self._peer_server.stop_listening()
        self.forwarder.end_attempts()
        self.target.end_calls()
        # Queued requests are refused as not run before the others are cut off.
        await asyncio.sleep(LAST_ANSWERS_S / 10)
        cut_off_count = self.forwarder.end_requests()
        until_s = now_s() + LAST_ANSWERS_S
        while now_s() < until_s and (
            self._caller_server.connections or self._peer_server.busy_count
        ):
            # Requests on new connections are still read, and refused as not run.
            self._caller_server.close_idle(MIN_CLOSED_IDLE_S)
            await asyncio.sleep(LAST_ANSWERS_S / 10)
        return cut_off_count
