"""Direct and indirect pings of one member."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from briardock.gossip_links import Address, Route
from briardock.gossip_messages import GossipMessage, IndirectAck, Ping, PingRequest
from briardock.gossip_settings import GossipSettings
from briardock.member_records import MemberRecord
from briardock.membership import MemberTable

# Above this number of pending pings, requests to ping for other nodes are dropped.
MAX_PENDING_PINGS = 256


@dataclass(slots=True)
class _PendingPing:
    """A ping of this node, or on behalf of another one, that waits for its ack.

    :param node_id: member whose ack counts; another node may now use its address
    """

    node_id: str
    acked: anyio.Event = field(default_factory=anyio.Event)


class Prober:
    """Checks with direct and indirect pings whether a member responds.

    :param table: member table
    :param settings: timeouts
    :param send: sends a message to an address
    :param send_on_route: sends a message back on a route
    :param make_ping: returns the ping for a sequence number and a receiver
    """

    def __init__(
        self,
        table: MemberTable,
        settings: GossipSettings,
        send: Callable[[Address, GossipMessage], bool],
        send_on_route: Callable[[Route, GossipMessage], bool],
        make_ping: Callable[[int, MemberRecord], Ping],
    ) -> None:
        self._table = table
        self._settings = settings
        self._send = send
        self._send_on_route = send_on_route
        self._make_ping = make_ping
        self._pending: dict[int, _PendingPing] = {}
        self._sequence = 0

    async def check_reachable(self, target: MemberRecord) -> bool:
        """Return whether a member acknowledges a direct or else an indirect ping.

        A member already marked unreachable is only pinged directly.
        """
        reachable = self._table.is_reachable(target.node_id)
        if await self._ping(target):
            return True
        return reachable and await self._ping_indirectly(target)

    async def ping_on_behalf(self, request: PingRequest, route: Route) -> None:
        """Ping a member on behalf of another node and report an ack to that node."""
        if len(self._pending) >= MAX_PENDING_PINGS:
            return
        target = self._table.get(request.target.node_id) or request.target
        if await self._ping(target):
            current = self._table.get(target.node_id) or target
            self._send_on_route(route, IndirectAck(request.sequence, current))

    def on_ack(self, sequence: int, sender: MemberRecord) -> None:
        """Complete the ping that an ack belongs to.

        :param sequence: sequence number of the ping
        :param sender: member that responded
        """
        pending = self._pending.get(sequence)
        if pending is not None and pending.node_id == sender.node_id:
            pending.acked.set()

    async def _ping(self, target: MemberRecord) -> bool:
        sequence = self._register_ping(target.node_id)
        self._send(address_of(target), self._make_ping(sequence, target))
        return await self._wait_for_ack(sequence, self._settings.ack_timeout_ms)

    async def _ping_indirectly(self, target: MemberRecord) -> bool:
        helpers = self._table.sample(self._settings.indirect_count, [target.node_id])
        if not helpers:
            return False
        sequence = self._register_ping(target.node_id)
        request = PingRequest(sequence, self._table.local_record, target)
        for helper in helpers:
            self._send(address_of(helper), request)
        return await self._wait_for_ack(sequence, self._settings.indirect_timeout_ms)

    def _register_ping(self, node_id: str) -> int:
        self._sequence += 1
        self._pending[self._sequence] = _PendingPing(node_id)
        return self._sequence

    async def _wait_for_ack(self, sequence: int, timeout_ms: float) -> bool:
        pending = self._pending[sequence]
        try:
            with anyio.move_on_after(timeout_ms / 1_000.0):
                await pending.acked.wait()
            return pending.acked.is_set()
        finally:
            del self._pending[sequence]


def address_of(record: MemberRecord) -> Address:
    """Return the gossip address of a member."""
    return Address(record.host, record.gossip_port)
