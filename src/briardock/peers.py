"""TCP links between nodes: outgoing calls and the server that receives them."""

from dataclasses import dataclass

import anyio
import anyio.abc
import msgspec

from briardock._frames import FrameError, encode_frame
from briardock._http import STREAM_ERRORS
from briardock._link import Link, LinkFailure, PeerAddress, PendingCall
from briardock._peerserver import PeerHandler, PeerInfo, serve_peers
from briardock.clock import Clock
from briardock.events import Event, emit
from briardock.messages import PROTOCOL_VERSION, Answer, Call, Forward, Hello
from briardock.metrics import Metrics

__all__ = [
    "LinkFailure",
    "PeerAddress",
    "PeerHandler",
    "PeerInfo",
    "PeerLinks",
    "make_peer_links",
    "serve_peers",
]

BACKOFF_FIRST_MS = 50.0
BACKOFF_MAX_MS = 2_000.0
# A link that ends within this time counts as a failed connection attempt.
STABLE_LINK_MS = 1_000.0
IDLE_TIMEOUT_MS = 60_000.0
# A link that receives nothing for this long while a call waits is replaced.
SILENT_LINK_MS = 500.0
SWEEP_PERIOD_S = 5.0


@dataclass(slots=True)
class _Backoff:
    """Delay before the next connection attempt to one peer.

    :param step_ms: delay after the last failure
    :param until_ms: clock reading in ms until which calls fail immediately
    :param detail: why the last attempt failed
    """

    step_ms: float
    until_ms: float
    detail: str


class PeerLinks:
    """Outgoing links, each opened by the first call to its peer.

    :param hello: ``Hello`` message of this node
    :param clock: time source
    :param metrics: counters
    :param source_host: local address to connect from, or ``None``
    :param max_links: maximum number of open links
    """

    def __init__(
        self,
        hello: Hello,
        clock: Clock,
        metrics: Metrics,
        source_host: str | None,
        max_links: int,
    ) -> None:
        self.hello_frame = encode_frame(hello)
        self.clock = clock
        self.metrics = metrics
        self.source_host = source_host
        self._max_links = max_links
        self._links: dict[PeerAddress, Link] = {}
        self._retired: set[Link] = set()
        self._backoffs: dict[PeerAddress, _Backoff] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._last_call_id = 0

    async def run(self) -> None:
        """Run the link tasks until cancelled; calls fail while this does not run."""
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                while True:
                    await anyio.sleep(SWEEP_PERIOD_S)
                    self._sweep()
        finally:
            self._tasks = None

    async def call(
        self, peer: PeerAddress, message: Call | Forward, deadline_at_ms: float
    ) -> Answer | LinkFailure:
        """Send a call and wait for its response.

        ``call_id``, ``remaining_ms`` and, for a ``Call``, ``sent_ms`` of the
        message are set when the frame is encoded; callers leave them 0.
        When the deadline passes or the task is cancelled, ``Cancel`` is sent.

        :param peer: node to call
        :param message: call to send
        :param deadline_at_ms: deadline of the call, as a clock reading in ms
        """
        remaining_ms = deadline_at_ms - self.clock.now_ms()
        if remaining_ms <= 0:
            return LinkFailure(False, "deadline")
        link = self._links.get(peer) or self._start_link(peer)
        if isinstance(link, LinkFailure):
            return link
        pending = PendingCall()
        with anyio.move_on_after(remaining_ms / 1000.0):
            await self._exchange(link, message, deadline_at_ms, pending)
        if pending.result is not None:
            return pending.result
        self._handle_missed_deadline(link, pending)
        return LinkFailure(pending.sent, "deadline")

    async def _exchange(
        self,
        link: Link,
        message: Call | Forward,
        deadline_at_ms: float,
        pending: PendingCall,
    ) -> None:
        """Send a call and wait until it has a response or has failed."""
        writer = link.writer or await link.wait_ready()
        if isinstance(writer, LinkFailure):
            pending.result = writer
            return
        if writer.is_full():
            pending.result = LinkFailure(False, "the peer reads too slowly")
            return
        self._last_call_id += 1
        call_id = self._last_call_id
        pending.sent_at_ms = self.clock.now_ms()
        try:
            frame = _encode_call(message, call_id, pending.sent_at_ms, deadline_at_ms)
        except FrameError as error:
            pending.result = LinkFailure(False, str(error))
            return
        link.pending[call_id] = pending
        try:
            await writer.send(frame, call_id)
            await pending.done.wait()
        except STREAM_ERRORS as error:
            pending.result = LinkFailure(True, f"connection lost: {error!r}")
        finally:
            if pending.result is None:
                pending.sent = link.cancel_call(call_id)
            self._close_if_unused(link)

    def _start_link(self, peer: PeerAddress) -> Link | LinkFailure:
        if self._tasks is None:
            return LinkFailure(False, "links are not running")
        backoff = self._backoffs.get(peer)
        if backoff is not None and self.clock.now_ms() < backoff.until_ms:
            return LinkFailure(False, backoff.detail)
        if len(self._links) + len(self._retired) >= self._max_links:
            self._evict_idle_link()
        if len(self._links) + len(self._retired) >= self._max_links:
            self.metrics.count("peers.links_refused")
            return LinkFailure(False, f"all {self._max_links} links are in use")
        self.metrics.count("peers.links_started")
        link = Link(self, peer)
        self._links[peer] = link
        self._tasks.start_soon(link.run)
        return link

    def _evict_idle_link(self) -> None:
        """Close the least recently used idle link."""
        idle = [link for link in self._links.values() if link.is_idle()]
        if idle:
            oldest = min(idle, key=lambda link: link.received_at_ms)
            del self._links[oldest.peer]
            oldest.retired = True
            oldest.scope.cancel()

    def _handle_missed_deadline(self, link: Link, pending: PendingCall) -> None:
        """Count a missed deadline and retire the link if it is silent.

        A TCP connection across a network partition stays open for minutes. If
        nothing was received while a call waited for ``SILENT_LINK_MS``, the next call
        opens a new connection, so that it fails before it is sent if the peer is
        unreachable.
        """
        self.metrics.count("peers.deadlines")
        if not pending.sent or link.received_at_ms > pending.sent_at_ms:
            return
        if self.clock.now_ms() - pending.sent_at_ms < SILENT_LINK_MS:
            return
        if self._links.get(link.peer) is link:
            self.metrics.count("peers.links_silent")
            del self._links[link.peer]
            link.retired = True
            self._retired.add(link)
            self._close_if_unused(link)

    def _close_if_unused(self, link: Link) -> None:
        if link.retired and link.is_idle():
            link.scope.cancel()

    def link_ended(self, link: Link, detail: str) -> None:
        """Remove a link; after a failure, delay the next connection attempt.

        :param link: link whose task ended
        :param detail: why it failed, empty if this node closed it
        """
        self._retired.discard(link)
        if self._links.get(link.peer) is link:
            del self._links[link.peer]
        if link.retired or not detail:
            return
        self.metrics.count("peers.links_failed")
        emit(Event.PEER_LINK_FAILED, peer=link.peer.node_id, detail=detail)
        now_ms = self.clock.now_ms()
        backoff = self._backoffs.get(link.peer)
        if link.writer is not None and now_ms - link.started_at_ms >= STABLE_LINK_MS:
            self._backoffs.pop(link.peer, None)
            return
        step_ms = (
            min(backoff.step_ms * 2, BACKOFF_MAX_MS) if backoff else BACKOFF_FIRST_MS
        )
        self._backoffs[link.peer] = _Backoff(step_ms, now_ms + step_ms, detail)

    def _sweep(self) -> None:
        """Close idle links and remove expired backoffs."""
        now_ms = self.clock.now_ms()
        for link in list(self._links.values()):
            if link.is_idle() and now_ms - link.received_at_ms > IDLE_TIMEOUT_MS:
                self.metrics.count("peers.idle_closed")
                del self._links[link.peer]
                link.retired = True
                link.scope.cancel()
        for peer, backoff in list(self._backoffs.items()):
            if now_ms - backoff.until_ms > IDLE_TIMEOUT_MS:
                del self._backoffs[peer]


def _encode_call(
    message: Call | Forward, call_id: int, now_ms: float, deadline_at_ms: float
) -> bytes:
    remaining_ms = deadline_at_ms - now_ms
    if type(message) is Call:
        stamped: Call | Forward = msgspec.structs.replace(
            message, call_id=call_id, remaining_ms=remaining_ms, sent_ms=now_ms
        )
    else:
        stamped = msgspec.structs.replace(
            message, call_id=call_id, remaining_ms=remaining_ms
        )
    return encode_frame(stamped)


def make_peer_links(
    node_id: str,
    incarnation: int,
    clock: Clock,
    metrics: Metrics,
    source_host: str | None,
    max_links: int,
) -> PeerLinks:
    """Return links that accept calls while ``run`` is running.

    :param node_id: this node
    :param incarnation: incarnation of this process
    :param clock: time source
    :param metrics: counters
    :param source_host: local address to connect from, or ``None`` for any
    :param max_links: maximum number of open links
    """
    hello = Hello(PROTOCOL_VERSION, node_id, incarnation)
    return PeerLinks(hello, clock, metrics, source_host, max_links)
