"""Sending of one call to one instance: the local target or another node."""

from briardock.mesh.calls import (
    Call,
    Completed,
    LoadReport,
    NotRun,
    Result,
    Unknown,
    decode_result,
    encode_call_head,
)
from briardock.mesh.chain_thresholds import ChainThresholds
from briardock.mesh.decisions import DecisionLog
from briardock.mesh.http1 import ExchangeFailure, FailureCause
from briardock.mesh.members import NodeRecord
from briardock.mesh.model import now_s
from briardock.mesh.pool import ConnectionPool
from briardock.mesh.request_state import RequestState
from briardock.mesh.target import Target
from briardock.mesh.telemetry import Telemetry
from briardock.overload.placement import Balancer


class InstanceSender:
    """Sends calls, and records what their results show about the instances.

    :param node_id: id of this node
    :param balancer: chooses instances
    :param target: target beside the node
    :param peers: connections to other nodes
    :param thresholds: admission thresholds
    :param log: decision log
    :param telemetry: metrics
    """

    def __init__(
        self,
        node_id: str,
        balancer: Balancer,
        target: Target,
        peers: ConnectionPool,
        thresholds: ChainThresholds,
        log: DecisionLog,
        telemetry: Telemetry,
    ) -> None:
        # Whether nothing more is sent, as the node ends.
        self.has_ended = False
        self._node_id = node_id
        self._balancer = balancer
        self._target = target
        self._peers = peers
        self._thresholds = thresholds
        self._log = log
        self._telemetry = telemetry

    async def send(self, call: Call, state: RequestState, record: NodeRecord) -> Result:
        """Return the result of a call.

        :param call: the call
        :param state: request that it belongs to
        :param record: record of the instance
        """
        state.call = call
        started_s = now_s()
        self._balancer.record_start(record.node_id, started_s)
        try:
            if record.node_id == self._node_id:
                state.unresolved = True
                result = await self._target.run(call)
                state.unresolved = False
                load: LoadReport | None = LoadReport(
                    self._target.in_flight,
                    self._thresholds.of_target(call.caller_service, call.from_caller),
                    self._target.work_report(call),
                )
            else:
                result, load = await self._send_to_peer(call, record, state)
        finally:
            state.call = None
            self._balancer.record_end(record.node_id)
        if load is not None:
            self._record_load(state, record, result, load, started_s)
        return result

    def _record_load(
        self,
        state: RequestState,
        record: NodeRecord,
        result: Result,
        load: LoadReport,
        started_s: float,
    ) -> None:
        now = now_s()
        node_id = record.node_id
        if isinstance(result, NotRun) and result.busy:
            self._balancer.record_busy(node_id, load.in_flight, now)
        elif not (isinstance(result, Unknown) and result.own_shortage):
            failed = not isinstance(result, Completed) or result.response.status >= 500
            self._balancer.record_response(
                node_id, now - started_s, load.in_flight, failed, now
            )
        if load.work is not None:
            self._telemetry.work_reports.inc()
            if not self._balancer.uses_work(state.service):
                self._log.event("placement-by-completion", service=state.service)
            self._balancer.record_work(record, load.work, state.attempts.kind, now)
        self._thresholds.learn(state.service, node_id, load.thresholds, now)

    async def _send_to_peer(
        self, call: Call, record: NodeRecord, state: RequestState
    ) -> tuple[Result, LoadReport | None]:
        """Return the result, and the load if the other node reported it."""
        connection = await self._peers.acquire(record.address)
        if isinstance(connection, ExchangeFailure):
            if connection.cause is FailureCause.OWN_SHORTAGE:
                return NotRun(connection.reason), None
            self._eject(record, connection.reason)
            return NotRun(f"node unreachable: {connection.reason}"), None
        if self.has_ended:
            self._peers.release(record.address, connection)
            return NotRun("node stopped"), None
        state.unresolved = True
        call.connection = connection
        response = await connection.exchange(
            encode_call_head(call, now_s()), body=call.body
        )
        state.unresolved = False
        if isinstance(response, ExchangeFailure):
            if response.cause is FailureCause.OWN_SHORTAGE:
                return Unknown(response.reason, own_shortage=True), None
            self._balancer.record_lost_connection(record.node_id)
            if response.sent:
                return Unknown(f"node: {response.reason}"), None
            return NotRun(f"node: {response.reason}"), None
        self._peers.release(record.address, connection)
        return decode_result(response)

    def _eject(self, record: NodeRecord, reason: str) -> None:
        duration_s = self._balancer.record_unreachable(record.node_id, now_s())
        if not duration_s:
            return
        self._log.event(
            "instance-ejected",
            instance=record.node_id,
            reason=reason,
            duration_s=round(duration_s, 2),
        )
