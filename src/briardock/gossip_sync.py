"""Comparison of member tables by bucket digests, in bounded chunks."""

from collections.abc import Callable
from typing import Any

from briardock.clock import Clock
from briardock.gossip_deltas import ByteBudget
from briardock.gossip_links import Route
from briardock.gossip_messages import (
    GossipMessage,
    Push,
    SyncReply,
    SyncRequest,
)
from briardock.member_records import (
    MemberRecord,
    bucket_of,
    fitting_records,
    is_newer,
    record_bytes,
    self_reported,
)
from briardock.membership import MemberTable

# With the pings and urgent pushes at their bounds, control stays under 18 KB/s.
BULK_RATE_BYTES_PER_S = 3_000.0
BULK_BURST_BYTES = 512 * 1024
REPLY_BYTES = 32 * 1024
# When many nodes start together, first replies are incomplete; for this many
# intervals a node asks more often.
STARTING_INTERVALS = 6
STARTING_SPEEDUP = 5


class TableSync:
    """Brings two tables into agreement by exchanging the buckets that differ.

    A joining node asks for everything, verdicts included. Later exchanges carry
    only what each node declared of itself, since verdicts from the other side of
    a past partition would hide members that are reachable here.

    :param table: member table
    :param clock: time source
    :param interval_ms: shortest time between two requests
    :param reply: sends a message on a route
    :param note: told of changed records
    :param joined: called once the table is complete for the first time
    """

    def __init__(
        self,
        table: MemberTable,
        clock: Clock,
        interval_ms: float,
        reply: Callable[[Route, GossipMessage], bool],
        note: Callable[[list[MemberRecord]], Any],
        joined: Callable[[], None],
    ) -> None:
        self.joining = True
        self._table = table
        self._clock = clock
        self._interval_ms = interval_ms
        self._reply = reply
        self._note = note
        self._joined = joined
        self._bulk = ByteBudget(clock, BULK_RATE_BYTES_PER_S, BULK_BURST_BYTES)
        self._asked_ms = float("-inf")
        self._started_ms = clock.now_ms()

    def ask(self, route: Route) -> None:
        """Ask a member for the records of differing buckets."""
        self._asked_ms = self._clock.now_ms()
        own = self._table.local_record
        digests = self._table.digest.buckets()
        self._reply(route, SyncRequest(own, digests, self.joining))

    def on_difference(self, route: Route) -> None:
        """Ask a member whose table differs, unless another was asked just now."""
        now_ms = self._clock.now_ms()
        interval_ms = self._interval_ms
        if now_ms - self._started_ms < STARTING_INTERVALS * interval_ms:
            interval_ms /= STARTING_SPEEDUP
        if now_ms - self._asked_ms >= interval_ms:
            self.ask(route)

    def on_request(self, request: SyncRequest, route: Route) -> None:
        """Answer with as many differing buckets as the byte budget allows."""
        if request.sender.node_id == self._table.local_record.node_id:
            return  # First contacts may hold the own address in another form.
        self._note(self._table.merge([request.sender]))
        buckets = self._table.digest.differing(request.digests)
        found = self._by_bucket(buckets, request.joining)
        room = min(REPLY_BYTES, self._bulk.left())
        sent: list[int] = []
        members: list[MemberRecord] = []
        for bucket, records in found.items():
            need = sum(map(record_bytes, records))
            if need > room:
                break
            room -= need
            sent.append(bucket)
            members += records
        self._bulk.spend(sum(map(record_bytes, members)))
        left_count = len(buckets) - len(sent)
        reply = SyncReply(self._table.local_record, sent, left_count, members)
        self._reply(route, reply)

    def on_reply(self, reply: SyncReply, route: Route) -> None:
        """Take the records over and return those that are newer here."""
        self._note(self._table.merge([reply.sender, *reply.members]))
        if not self.joining:
            self._return_newer(reply, route)
            return
        if reply.left_count == 0:
            self.joining = False
            self._joined()
        elif reply.buckets:
            self.ask(route)

    def _by_bucket(
        self, buckets: list[int], joining: bool
    ) -> dict[int, list[MemberRecord]]:
        """Return the records of buckets, empty buckets included."""
        found: dict[int, list[MemberRecord]] = {bucket: [] for bucket in buckets}
        for record in self._table.records_in(set(buckets)):
            shown = record if joining else self_reported(record)
            found[bucket_of(record.node_id)].append(shown)
        return found

    def _return_newer(self, reply: SyncReply, route: Route) -> None:
        theirs = {record.node_id: record for record in reply.members}
        newer = []
        for record in self._table.records_in(set(reply.buckets)):
            shown = self_reported(record)
            known = theirs.get(record.node_id)
            if known is None or is_newer(shown, known):
                newer.append(shown)
        newer = fitting_records(newer, min(REPLY_BYTES, self._bulk.left()))
        if newer:
            self._bulk.spend(sum(map(record_bytes, newer)))
            self._reply(route, Push(newer))
