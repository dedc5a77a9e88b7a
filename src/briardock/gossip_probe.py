"""Direct and indirect pings of one member."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from briardock.gossip_links import Address, Route
from briardock.gossip_messages import GossipMessage, IndirectAck, Ping, PingRequest
from briardock.gossip_settings import GossipSettings
from briardock.member_records import MemberRecord
from briardock.membership import MemberTable

# Bounds the pings made for others at once.
MAX_WAITING = 256


@dataclass(slots=True)
class _Waiting:
    """A ping whose ack is awaited, for ourselves or for another node.

    :param node_id: member that has to answer; its address may be another's now
    """

    node_id: str
    heard: anyio.Event = field(default_factory=anyio.Event)


class Prober:
    """Finds out whether a member answers.

    :param table: member table
    :param settings: timeouts
    :param send: sends a message to an address
    :param reply: sends a message on a route
    :param make_ping: makes a ping from its sequence number and receiver
    """

    def __init__(
        self,
        table: MemberTable,
        settings: GossipSettings,
        send: Callable[[Address, GossipMessage], bool],
        reply: Callable[[Route, GossipMessage], bool],
        make_ping: Callable[[int, MemberRecord], Ping],
    ) -> None:
        self._table = table
        self._settings = settings
        self._send = send
        self._reply = reply
        self._make_ping = make_ping
        self._waiting: dict[int, _Waiting] = {}
        self._sequence = 0

    async def reach(self, target: MemberRecord) -> bool:
        """Return whether a member answers a ping, through others if need be.

        Others are not asked about a member already held for unreachable.
        """
        reachable = self._table.is_reachable(target.node_id)
        if await self._ping(target):
            return True
        return reachable and await self._ping_through_others(target)

    async def ping_for(self, request: PingRequest, route: Route) -> None:
        """Ping a member for another node and tell that node of an answer."""
        if len(self._waiting) >= MAX_WAITING:
            return
        target = self._table.get(request.target.node_id) or request.target
        if await self._ping(target):
            found = self._table.get(target.node_id) or target
            self._reply(route, IndirectAck(request.sequence, found))

    def on_heard(self, sequence: int, sender: MemberRecord) -> None:
        """Note an ack.

        :param sequence: that of the ping
        :param sender: member that answered
        """
        waiting = self._waiting.get(sequence)
        if waiting is not None and waiting.node_id == sender.node_id:
            waiting.heard.set()

    async def _ping(self, target: MemberRecord) -> bool:
        sequence = self._expect(target.node_id)
        self._send(address_of(target), self._make_ping(sequence, target))
        return await self._wait(sequence, self._settings.ack_timeout_ms)

    async def _ping_through_others(self, target: MemberRecord) -> bool:
        others = self._table.sample(self._settings.indirect_count, [target.node_id])
        if not others:
            return False
        sequence = self._expect(target.node_id)
        request = PingRequest(sequence, self._table.local_record, target)
        for other in others:
            self._send(address_of(other), request)
        return await self._wait(sequence, self._settings.indirect_timeout_ms)

    def _expect(self, node_id: str) -> int:
        self._sequence += 1
        self._waiting[self._sequence] = _Waiting(node_id)
        return self._sequence

    async def _wait(self, sequence: int, timeout_ms: float) -> bool:
        waiting = self._waiting[sequence]
        try:
            with anyio.move_on_after(timeout_ms / 1_000.0):
                await waiting.heard.wait()
            return waiting.heard.is_set()
        finally:
            del self._waiting[sequence]


def address_of(record: MemberRecord) -> Address:
    """Return the gossip address of a member."""
    return Address(record.host, record.gossip_port)
