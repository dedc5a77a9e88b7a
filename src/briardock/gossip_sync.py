"""Anti-entropy sync of member tables by bucket digests, in bounded chunks."""

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

# With pings and urgent pushes at their bounds too, control traffic of a node stays
# below 18 KB/s.
SYNC_RATE_BYTES_PER_S = 3_000.0
SYNC_BURST_BYTES = 512 * 1024
MAX_RESPONSE_BYTES = 32 * 1024
# When many nodes start together, their first sync responses are incomplete; for this
# many intervals after its start, a node sends requests more often.
STARTUP_INTERVALS = 6
STARTUP_SPEEDUP = 5


class TableSync:
    """Synchronizes two tables by exchanging the buckets that differ.

    A joining node requests all records, including detected states. Later syncs carry
    only self-reported states, since states detected on the other side of a past
    partition would hide members that are reachable here.

    :param table: member table
    :param clock: time source
    :param interval_ms: shortest time between two requests
    :param send_on_route: sends a message on a route
    :param on_changed: called with changed records
    :param on_joined: called once the table is complete for the first time
    """

    def __init__(
        self,
        table: MemberTable,
        clock: Clock,
        interval_ms: float,
        send_on_route: Callable[[Route, GossipMessage], bool],
        on_changed: Callable[[list[MemberRecord]], Any],
        on_joined: Callable[[], None],
    ) -> None:
        self.joining = True
        self._table = table
        self._clock = clock
        self._interval_ms = interval_ms
        self._send_on_route = send_on_route
        self._on_changed = on_changed
        self._on_joined = on_joined
        self._budget = ByteBudget(clock, SYNC_RATE_BYTES_PER_S, SYNC_BURST_BYTES)
        self._last_request_ms = float("-inf")
        self._started_ms = clock.now_ms()

    def send_request(self, route: Route) -> None:
        """Request the records of differing buckets from a member."""
        self._last_request_ms = self._clock.now_ms()
        local_record = self._table.local_record
        digests = self._table.digest.buckets()
        self._send_on_route(route, SyncRequest(local_record, digests, self.joining))

    def on_difference(self, route: Route) -> None:
        """Send a request to a member whose table differs, at a limited rate."""
        now_ms = self._clock.now_ms()
        interval_ms = self._interval_ms
        if now_ms - self._started_ms < STARTUP_INTERVALS * interval_ms:
            interval_ms /= STARTUP_SPEEDUP
        if now_ms - self._last_request_ms >= interval_ms:
            self.send_request(route)

    def on_request(self, request: SyncRequest, route: Route) -> None:
        """Respond with as many differing buckets as the byte budget allows."""
        if request.sender.node_id == self._table.local_record.node_id:
            return  # A seed or contact may be another address of this node.
        self._on_changed(self._table.merge([request.sender]))
        buckets = self._table.digest.differing(request.digests)
        records_by_bucket = self._by_bucket(buckets, request.joining)
        left_bytes = min(MAX_RESPONSE_BYTES, self._budget.available_bytes())
        complete_buckets: list[int] = []
        members: list[MemberRecord] = []
        for bucket, records in records_by_bucket.items():
            needed_bytes = sum(map(record_bytes, records))
            if needed_bytes > left_bytes:
                break
            left_bytes -= needed_bytes
            complete_buckets.append(bucket)
            members += records
        self._budget.spend(sum(map(record_bytes, members)))
        left_count = len(buckets) - len(complete_buckets)
        response = SyncReply(
            self._table.local_record, complete_buckets, left_count, members
        )
        self._send_on_route(route, response)

    def on_response(self, response: SyncReply, route: Route) -> None:
        """Merge the received records and send back those that are newer here."""
        self._on_changed(self._table.merge([response.sender, *response.members]))
        if not self.joining:
            self._push_newer(response, route)
            return
        if response.left_count == 0:
            self.joining = False
            self._on_joined()
        elif response.buckets:
            self.send_request(route)

    def _by_bucket(
        self, buckets: list[int], joining: bool
    ) -> dict[int, list[MemberRecord]]:
        """Return the records by bucket, empty buckets included."""
        records_by_bucket: dict[int, list[MemberRecord]] = {
            bucket: [] for bucket in buckets
        }
        for record in self._table.records_in(set(buckets)):
            shared = record if joining else self_reported(record)
            records_by_bucket[bucket_of(record.node_id)].append(shared)
        return records_by_bucket

    def _push_newer(self, response: SyncReply, route: Route) -> None:
        received = {record.node_id: record for record in response.members}
        newer = []
        for record in self._table.records_in(set(response.buckets)):
            shared = self_reported(record)
            peer_record = received.get(record.node_id)
            if peer_record is None or is_newer(shared, peer_record):
                newer.append(shared)
        newer = fitting_records(
            newer, min(MAX_RESPONSE_BYTES, self._budget.available_bytes())
        )
        if newer:
            self._budget.spend(sum(map(record_bytes, newer)))
            self._send_on_route(route, Push(newer))
