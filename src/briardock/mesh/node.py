"""One node of the mesh: its parts, listeners, background tasks and end."""

import asyncio
import random
import signal
import time
from collections.abc import Callable
from dataclasses import fields, replace

from briardock.exceptions import SettingsError
from briardock.mesh.balancer import Balancer
from briardock.mesh.callgraph import EntryRoutes
from briardock.mesh.calls import LoadReport, Result, decode_call, encode_result
from briardock.mesh.chain import LearnedThresholds
from briardock.mesh.decisions import FLUSH_PERIOD_S, DecisionLog
from briardock.mesh.dialect import Departure, Dialect, Store, Undecodable
from briardock.mesh.forwarder import Forwarder
from briardock.mesh.http1 import Request, Response
from briardock.mesh.http_server import HttpServer
from briardock.mesh.levels import CONTROL_PERIOD_S
from briardock.mesh.members import MemberTable, NodeRecord
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
from briardock.mesh.routes import RouteTable
from briardock.mesh.spread import SYNC_PATH, Spread
from briardock.mesh.target import Target
from briardock.mesh.telemetry import Telemetry

PEER_POOL = PoolSettings(
    connect_timeout_s=0.5, idle_timeout_s=20.0, unacknowledged_timeout_s=1.0
)
TARGET_POOL = PoolSettings(
    connect_timeout_s=0.5, idle_timeout_s=8.0, unacknowledged_timeout_s=1.0
)
# Peers are trusted, and keep connections longer than callers.
PEER_LIMITS = CallerLimits(header_bytes=64 * 1024, idle_timeout_s=30.0)
# Part of the memory limit that bodies of callers may take; a body exists up to
# three times while it is forwarded.
BODY_MEMORY_SHARE = 0.15
# Time after a request to stop during which callers still find the node, s. They
# are told to leave after two missed readiness checks, one second apart.
LINGER_S = 2.8
# Time before the kill at which the node ends, s.
END_MARGIN_S = 0.2
POOL_SWEEP_PERIOD_S = 2.0
# Longest time for which the acknowledgement of a departure waits for the store, s.
# A target takes an acknowledgement that arrives after 1 s as none.
DEPARTURE_WAIT_S = 0.6
SETTINGS_CHECK_PERIOD_S = 3.0
# Settings that take effect without a restart.
RELOADABLE = frozenset(
    {
        "service",
        "target_address",
        "grace_s",
        "retry_ratio",
        "retry_slack",
        "retry_window_s",
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
    """Process beside one target.

    :param settings: decoded settings
    :param dialect: headers and documents of the platform
    :param store: streams of the platform
    :param log: decisions
    :param load_settings: reads the settings again
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
        self._loaded = settings
        self.log = log
        self.telemetry = Telemetry()
        self._dialect = dialect
        self._rng = random.Random()
        own = NodeRecord(
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
        self.members = MemberTable(own)
        self.balancer = Balancer(self.members, settings.domain, self._rng)
        self._peer_pool = ConnectionPool(PEER_POOL)
        self._target_pool = ConnectionPool(TARGET_POOL)
        self.spread = Spread(
            self.members,
            store,
            dialect,
            self._peer_pool,
            log,
            self._rng,
            self._install,
            self.balancer.reinstate,
            self._take_former_record,
        )
        self.target = Target(
            settings.target_address,
            settings.service,
            self._target_pool,
            dialect,
            log,
            self.spread.crashes,
            self._target_changed,
        )
        self._entries = EntryRoutes(self.members, self.target, self._own_record_changed)
        self.forwarder = Forwarder(
            settings,
            dialect,
            self.members,
            self.balancer,
            self.target,
            self._peer_pool,
            LearnedThresholds(),
            self._entries,
            log,
            self.telemetry,
            self._rng,
        )
        self._callers = HttpServer(
            self.forwarder.handle,
            CallerLimits(),
            log,
            int(settings.memory_bytes * BODY_MEMORY_SHARE),
        )
        self._peers = HttpServer(self._handle_peer, PEER_LIMITS, log)
        self._ready = HttpServer(self._handle_ready, CallerLimits(), log)
        self._announcements = HttpServer(self._handle_announcement, CallerLimits(), log)
        self._metrics = HttpServer(self._handle_metrics, CallerLimits(), log)
        self._stopping = asyncio.Event()
        self._calls = 0

    def _install(self, config: RoutingConfig) -> None:
        self.forwarder.routes = RouteTable(config)
        self._callers.limits = config.limits
        self._entries.retain({route.name for route in config.routes})
        self.telemetry.config_version.set(config.version)

    def _target_changed(self) -> None:
        target = self.target
        self.members.update_own(
            target_id=target.target_id,
            target_born_ms=target.born_ms,
            state=target.state,
            slots=target.slots,
        )
        self.spread.own_changed()

    def _take_former_record(self, record: NodeRecord) -> None:
        """Take what an earlier process of this node had published.

        :param record: the newest record of an earlier process
        """
        self._entries.resume(record.entry_routes)
        if record.service != self.settings.service:
            return
        if record.state is TargetState.READY:
            self.target.adopt(record.target_id, record.target_born_ms, record.slots)
        elif record.state is TargetState.LEAVING:
            self.target.leave(record.target_id, record.target_born_ms)

    def _own_record_changed(self) -> None:
        self.spread.own_changed()

    # Requests

    async def _handle_peer(self, request: Request) -> Response:
        if request.target == SYNC_PATH:
            return await self.spread.handle(request)
        call = decode_call(request)
        if call is None:
            return Response(400)
        started_s = now_s()
        self._calls += 1
        try:
            result: Result = await self.target.run(call)
        finally:
            self._calls -= 1
        self.telemetry.target_latency.observe(now_s() - started_s)
        levels = self.forwarder.thresholds(call.from_caller)
        return encode_result(result, LoadReport(self.target.inflight, levels))

    async def _handle_ready(self, request: Request) -> Response:
        ready = self.forwarder.routes is not None and not self._stopping.is_set()
        return Response(200 if ready else 503)

    async def _handle_announcement(self, request: Request) -> Response:
        news = self._dialect.decode_announcement(request)
        match news:
            case Undecodable(reason):
                self.log.event("announcement-refused", reason=reason)
                return Response(400)
            case Departure():
                self.target.leave(news.target_id, news.born_ms)
                await self._store_departure(news.target_id)
            case Announcement():
                if not self.target.matches(news):
                    self.log.event(
                        "announcement-refused",
                        reason="another service or address",
                        target=news.target_id,
                    )
                    return Response(400)
                self.target.announce(news)
                if self.target.state is TargetState.LEAVING:
                    await self._store_departure(news.target_id)
        return Response(200, [(b"content-type", b"application/json")], b"{}")

    async def _store_departure(self, target_id: str) -> None:
        """Have a departure stored before it is acknowledged.

        If this process ends at once, the next one must not adopt the target as
        ready. While the store is away the next announcement tells it instead.
        """
        if not await self.spread.wait_until_stored(DEPARTURE_WAIT_S):
            self.log.event("departure-not-stored", target=target_id)

    async def _handle_metrics(self, request: Request) -> Response:
        self.telemetry.queued.set(self.target.queued)
        self.telemetry.level.set(self.target.threshold(False))
        return Response(
            200, [(b"content-type", b"text/plain")], self.telemetry.render()
        )

    # Background

    async def _control_level(self) -> None:
        while True:
            await asyncio.sleep(CONTROL_PERIOD_S)
            if self.forwarder.routes is None:
                continue
            before = self.target.threshold(False)
            usage = self.target.update_thresholds(self.forwarder.max_threshold)
            self.forwarder.update_rates(usage.arrivals)
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
            self.log.flush()

    async def run(self) -> None:
        """Serve until a signal to stop, then finish what runs.

        :raises SettingsError: if an address cannot be listened on
        """
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        settings = self.settings
        await _listen(self._peers, settings.peer_address)
        await _listen(self._announcements, settings.announce_address)
        await _listen(self._callers, settings.caller_address)
        await _listen(self._ready, settings.ready_address)
        host = split_address(settings.peer_address)[0]
        if settings.metrics_port:
            await _listen(self._metrics, f"{host}:{settings.metrics_port}")
        self.log.event("started", service=settings.service, domain=settings.domain)
        self.spread.own_changed()
        background = [
            loop.create_task(work)
            for work in (
                self.spread.watch_config(),
                self.spread.watch_nodes(),
                self.spread.publish(),
                self.spread.sync_periodically(),
                self._control_level(),
                self._sweep_pools(),
                self._flush_log(),
                self._watch_settings(),
                *(s.sweep() for s in self._servers),
            )
        ]
        await self._stopping.wait()
        await self._stop()
        for task in background:
            task.cancel()

    @property
    def _servers(self) -> list[HttpServer]:
        return [
            self._callers,
            self._peers,
            self._ready,
            self._announcements,
            self._metrics,
        ]

    def reload(self) -> None:
        """Take settings that may change in a running process; log the others."""
        try:
            found = self._load_settings()
        except SettingsError as error:
            self.log.event("reload-refused", reason=str(error))
            return
        self._loaded = found
        changed = [
            item.name
            for item in fields(MeshSettings)
            if getattr(found, item.name) != getattr(self.settings, item.name)
        ]
        applied = [name for name in changed if name in RELOADABLE]
        self.settings = replace(
            self.settings, **{name: getattr(found, name) for name in applied}
        )
        self.forwarder.settings = self.settings
        needs_restart = sorted(set(changed) - set(applied))
        self.log.event("reloaded", applied=applied, needs_restart=needs_restart)
        if "service" in applied or "target_address" in applied:
            self.target.reconfigure(self.settings.target_address, self.settings.service)
            self.members.update_own(service=self.settings.service)
            self.spread.own_changed()

    async def _watch_settings(self) -> None:
        """Reload settings that change without a signal."""
        while True:
            await asyncio.sleep(SETTINGS_CHECK_PERIOD_S)
            try:
                unchanged = self._load_settings() == self._loaded
            except SettingsError as error:
                self.log.event("reload-refused", reason=str(error))
                continue
            if not unchanged:
                self.reload()

    async def _stop(self) -> None:
        started_s = now_s()
        self.log.event("stopping", running=self.target.running)
        self._callers.closing = True
        self.members.update_own(leaving=True)
        self.spread.own_changed()
        end_s = started_s + self.settings.grace_s - END_MARGIN_S
        while now_s() < end_s:
            await asyncio.sleep(0.05)
            if now_s() - started_s < LINGER_S:
                continue
            self._callers.close_idle()
            if not self._callers.connections and not self._calls:
                break
        self.log.event("stopped", connections=len(self._callers.connections))
        self.log.flush()
