"""Components of one node and their wiring."""

import random
from functools import partial

from briardock._catalog import Service
from briardock._node_settings import (
    admission_settings,
    quarantine_settings,
    routing_settings,
    target_cold_start_s,
    with_policy,
)
from briardock.actions import make_action_table
from briardock.admission import make_admission
from briardock.announcements import make_announcements
from briardock.budget import make_retry_ratio
from briardock.clock import Clock
from briardock.cluster import make_cluster, make_local_record
from briardock.configuration import Catalog
from briardock.directory import make_directory
from briardock.dispatch import Dispatcher
from briardock.drain import make_drain
from briardock.entry import Entry
from briardock.events import Event, emit
from briardock.inbound import Inbound, RunningCall
from briardock.keys import make_incarnation, make_key_issuer
from briardock.membership import MemberState
from briardock.messages import MAX_PRIORITY_VALUE
from briardock.metrics import Metrics
from briardock.peers import make_peer_links
from briardock.publishing import NO_VERSION
from briardock.quarantine import QuarantineEntry, make_quarantine
from briardock.refusals import make_downstream_thresholds
from briardock.routing import make_router
from briardock.settings import NodeSettings
from briardock.target import make_target_client

CONNECT_TIMEOUT_MS = 1_000.0
MAX_LINKS = 512


class Parts:
    """Components of one node; ``assemble`` creates and connects them.

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

    def assemble(self, call_port: int) -> None:
        """Create all components.

        :param call_port: bound port for calls
        """
        settings, clock, rng, metrics = (
            self.settings,
            self.clock,
            self._rng,
            self.metrics,
        )
        node = settings.node
        local_record = make_local_record(
            settings, self.incarnation, call_port, node.gossip_port
        )
        self.quarantine = make_quarantine(quarantine_settings(settings), clock)
        self.router = make_router(
            routing_settings(settings), node.failure_domain, clock, rng, metrics
        )
        self.cluster, self.directory = make_cluster(
            settings,
            local_record,
            node.gossip_port,
            lambda table: make_directory(table, self.router, clock, self._domains_of),
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
            self.target_call_count,
            partial(self.announce, MemberState.LEAVING),
            settings.drain.timeout_s * 1_000.0,
        )
        self.downstream_thresholds = make_downstream_thresholds(clock, rng)
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
            self._downstream_threshold,
            self._send_quarantine,
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
            self.downstream_thresholds,
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
            self.downstream_thresholds,
            self.drain,
            metrics,
        )
        self.announcements = make_announcements(
            clock,
            self.inbound,
            self.target,
            self.target_call_count,
            self._target_changed,
            self._target_started,
            (self.settings.node.host,),
        )

    def _catalog(self) -> Catalog | None:
        state = self.cluster.config
        return state.catalog if state.version != NO_VERSION else None

    def _service(self, name: str) -> Service | None:
        catalog = self._catalog()
        return catalog.services.get(name) if catalog is not None else None

    def _domains_of(self, name: str) -> tuple[str, ...]:
        service = self._service(name)
        return service.domains if service is not None else ()

    def _downstream_threshold(self, operation_name: str) -> int:
        catalog = self._catalog()
        operation = catalog.operation(operation_name) if catalog is not None else None
        if operation is None or not operation.calls:
            return MAX_PRIORITY_VALUE
        return min(
            self.downstream_thresholds.threshold(name) for name in operation.calls
        )

    def target_call_count(self) -> int:
        """Return the number of admitted and queued calls of the local target."""
        return len(self.inbound.running) + self.admission.queued

    def announce(self, state: MemberState) -> None:
        """Tell other nodes the state of this node.

        :param state: state of this member
        """
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
        self.announce(MemberState.LEAVING if leaving else MemberState.ALIVE)
        self.directory.refresh()

    def _configuration_changed(self) -> None:
        self.metrics.count("configuration.changes")
        policy = self.cluster.config.catalog.policy
        local_settings = admission_settings(self.settings)
        self.admission.configure(with_policy(local_settings, policy))
        self.directory.refresh()

    def _target_started(self) -> None:
        service = self._service(self.inbound.target_state.service)
        self.admission.target_started(
            target_cold_start_s(self.settings, service),
            service.slots_hint if service else None,
        )

    def _send_quarantine(self, entries: list[QuarantineEntry]) -> None:
        if entries:
            self.cluster.gossip.push_quarantine(entries)

    def send_quarantine_lift(self, fingerprint: str) -> None:
        """Tell other nodes that an operator lifted a quarantine.

        :param fingerprint: fingerprint of the lifted entry
        """
        self._send_quarantine(self.quarantine.entries([fingerprint]))

    def _call_ended(self, running: RunningCall) -> None:
        self.entry.discard_child_actions(running)
