"""Framed TCP links between nodes: outgoing calls, and the server for them."""

from dataclasses import dataclass

import anyio
import anyio.abc
import msgspec

from briardock._frames import (
    HELLO_TIMEOUT_S,
    STREAM_ERRORS,
    FrameError,
    FrameReader,
    FrameWriter,
    encode_frame,
    expect_hello,
)
from briardock._peerserver import PeerHandler, PeerInfo, serve_peers
from briardock.clock import Clock
from briardock.events import Event, emit
from briardock.messages import (
    PROTOCOL_VERSION,
    Answer,
    Call,
    Cancel,
    Forward,
    Hello,
    LinkMessage,
)
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

CONNECT_TIMEOUT_S = 1.0
BACKOFF_FIRST_MS = 50.0
BACKOFF_MAX_MS = 2_000.0
# A link that ends sooner than this counts as a failed attempt.
STABLE_MS = 1_000.0
IDLE_CLOSE_MS = 60_000.0
SILENCE_MS = 500.0
SWEEP_PERIOD_S = 5.0


@dataclass(frozen=True, slots=True)
class LinkFailure:
    """No answer came for a call.

    :param sent: whether the frame may have reached the peer
    :param detail: what was found
    """

    sent: bool
    detail: str


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Node to call, with the incarnation it is believed to have.

    :param node_id: node
    :param incarnation: process incarnation
    :param host: numeric IP address
    :param port: TCP port of its peer listener
    """

    node_id: str
    incarnation: int
    host: str
    port: int


class _Pending:
    """A call that waits for its answer."""

    __slots__ = ("done", "result", "sent", "sent_at_ms")

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.result: Answer | LinkFailure | None = None
        self.sent = False
        self.sent_at_ms = 0.0

    def resolve(self, result: Answer | LinkFailure) -> None:
        self.result = result
        self.done.set()


class _Link:
    """Connection to one peer; its task runs ``run``."""

    def __init__(self, owner: "PeerLinks", peer: PeerAddress) -> None:
        self.peer = peer
        self.writer: FrameWriter | None = None
        self.failure: LinkFailure | None = None
        self.pending: dict[int, _Pending] = {}
        self.retired = False
        self.started_at_ms = owner.clock.now_ms()
        self.received_at_ms = self.started_at_ms
        self.scope = anyio.CancelScope()
        self._owner = owner
        self._ready = anyio.Event()
        self._waiting_count = 0

    def is_idle(self) -> bool:
        """Return whether no call uses the link."""
        return not self.pending and not self._waiting_count

    async def wait_ready(self) -> FrameWriter | LinkFailure:
        """Return the writer once the peer has greeted."""
        self._waiting_count += 1
        try:
            await self._ready.wait()
        finally:
            self._waiting_count -= 1
        if self.failure is not None or self.writer is None:
            return self.failure or LinkFailure(False, "link closed")
        return self.writer

    async def run(self) -> None:
        """Connect, greet and read answers until the link ends."""
        detail = "link closed"
        try:
            with self.scope:
                detail = await self._connect_and_read()
        finally:
            self._end(detail)

    async def _connect_and_read(self) -> str:
        """Return why the link ended."""
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(
                    self.peer.host, self.peer.port, local_host=self._owner.source_host
                )
        except OSError as error:
            return f"connection failed: {error!r}"
        try:
            return await self._read(stream)
        except FrameError as error:
            return str(error)
        except STREAM_ERRORS as error:
            return f"connection lost: {error!r}"
        finally:
            with anyio.CancelScope(shield=True):
                await stream.aclose()

    async def _read(self, stream: anyio.abc.SocketStream) -> str:
        reader = FrameReader(stream)
        messages = await self._greet(stream, reader)
        writer = FrameWriter(stream)
        self.writer = writer
        self._ready.set()
        detail = ""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(writer.run)
            detail = await self._read_answers(reader, messages)
            tasks.cancel_scope.cancel()
        return detail

    async def _greet(
        self, stream: anyio.abc.SocketStream, reader: FrameReader
    ) -> list[LinkMessage]:
        """Exchange greetings; return messages that came with the peer's.

        :raises FrameError: if the peer is not the expected one
        """
        with anyio.move_on_after(HELLO_TIMEOUT_S) as scope:
            await stream.send(self._owner.hello_frame)
            messages = await reader.receive()
        if scope.cancelled_caught:
            raise FrameError("no greeting from the peer")
        hello = expect_hello(messages[0], PROTOCOL_VERSION)
        expected = (self.peer.node_id, self.peer.incarnation)
        if (hello.node_id, hello.incarnation) != expected:
            raise FrameError(
                f"the peer is {hello.node_id} incarnation {hello.incarnation}"
            )
        return messages[1:]

    async def _read_answers(
        self, reader: FrameReader, messages: list[LinkMessage]
    ) -> str:
        try:
            while True:
                self.received_at_ms = self._owner.clock.now_ms()
                for message in messages:
                    if type(message) is not Answer:
                        return f"unexpected {type(message).__name__} from the peer"
                    self._resolve(message)
                messages = await reader.receive()
        except FrameError as error:
            return str(error)
        except STREAM_ERRORS as error:
            return f"connection lost: {error!r}"

    def _resolve(self, answer: Answer) -> None:
        pending = self.pending.pop(answer.call_id, None)
        if pending is None:
            # Answers to abandoned calls also end here.
            self._owner.metrics.count("peers.answers_unknown")
        elif answer.body_bytes == len(answer.body):
            pending.resolve(answer)
        else:
            self._owner.metrics.count("peers.answers_wrong_length")
            emit(Event.ANSWER_DROPPED, peer=self.peer.node_id, call_id=answer.call_id)
            pending.resolve(LinkFailure(True, "answer of wrong length"))

    def _end(self, detail: str) -> None:
        self.failure = LinkFailure(False, detail)
        self._ready.set()
        for call_id, pending in self.pending.items():
            withdrawn = self.writer is not None and self.writer.withdraw(call_id)
            pending.resolve(LinkFailure(not withdrawn, detail))
        self.pending.clear()
        self._owner.link_ended(self, detail)

    def abandon(self, call_id: int) -> bool:
        """Give a call up; return whether its frame may have been written."""
        pending = self.pending.pop(call_id, None)
        if pending is None or self.writer is None:
            return pending is None
        if self.writer.withdraw(call_id):
            return False
        self.writer.queue(encode_frame(Cancel(call_id)), -call_id)
        return True


@dataclass(slots=True)
class _Backoff:
    """Wait before the next connection attempt to one peer.

    :param step_ms: wait after the last failure
    :param until_ms: clock reading before which calls fail at once
    :param detail: why the last attempt failed
    """

    step_ms: float
    until_ms: float
    detail: str


class PeerLinks:
    """Outgoing links, each started at the first call to its peer.

    :param hello: greeting of this node
    :param clock: time source
    :param metrics: counters
    :param source_host: local address to connect from, or ``None``
    :param max_links: links open at once
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
        self._links: dict[PeerAddress, _Link] = {}
        self._retired: set[_Link] = set()
        self._backoffs: dict[PeerAddress, _Backoff] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._last_call_id = 0

    async def run(self) -> None:
        """Own the link tasks until cancelled; calls fail before and after."""
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
        """Send a call and wait for its answer.

        ``call_id``, ``remaining_ms`` and, for a ``Call``, ``sent_ms`` of the
        message are replaced when the frame is made; callers leave them 0.
        When the deadline passes or the task is cancelled, ``Cancel`` is sent.

        :param peer: node to call
        :param message: call to send
        :param deadline_at_ms: clock reading in ms at which the call is given up
        """
        remaining_ms = deadline_at_ms - self.clock.now_ms()
        if remaining_ms <= 0:
            return LinkFailure(False, "deadline")
        link = self._links.get(peer) or self._start_link(peer)
        if isinstance(link, LinkFailure):
            return link
        pending = _Pending()
        with anyio.move_on_after(remaining_ms / 1000.0):
            await self._exchange(link, message, deadline_at_ms, pending)
        if pending.result is not None:
            return pending.result
        self._deadline_passed(link, pending)
        return LinkFailure(pending.sent, "deadline")

    async def _exchange(
        self,
        link: _Link,
        message: Call | Forward,
        deadline_at_ms: float,
        pending: _Pending,
    ) -> None:
        """Send a call and wait until it is resolved."""
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
                pending.sent = link.abandon(call_id)
            self._close_if_unused(link)

    def _start_link(self, peer: PeerAddress) -> _Link | LinkFailure:
        if self._tasks is None:
            return LinkFailure(False, "links are not running")
        backoff = self._backoffs.get(peer)
        if backoff is not None and self.clock.now_ms() < backoff.until_ms:
            return LinkFailure(False, backoff.detail)
        if len(self._links) + len(self._retired) >= self._max_links:
            self._evict()
        if len(self._links) + len(self._retired) >= self._max_links:
            self.metrics.count("peers.links_refused")
            return LinkFailure(False, f"all {self._max_links} links are in use")
        self.metrics.count("peers.links_started")
        link = _Link(self, peer)
        self._links[peer] = link
        self._tasks.start_soon(link.run)
        return link

    def _evict(self) -> None:
        """Close the link that is unused for the longest time."""
        idle = [link for link in self._links.values() if link.is_idle()]
        if idle:
            oldest = min(idle, key=lambda link: link.received_at_ms)
            del self._links[oldest.peer]
            oldest.retired = True
            oldest.scope.cancel()

    def _deadline_passed(self, link: _Link, pending: _Pending) -> None:
        """Count a missed deadline; take a silent link out of use.

        A link through a partition stays open for minutes. Nothing received
        while a call waited for ``SILENCE_MS`` makes the next call connect
        anew, so that it fails before it is sent if the peer is unreachable.
        """
        self.metrics.count("peers.deadlines")
        silent_since_ms = max(link.received_at_ms, pending.sent_at_ms)
        if not pending.sent or link.received_at_ms > pending.sent_at_ms:
            return
        if self.clock.now_ms() - silent_since_ms < SILENCE_MS:
            return
        if self._links.get(link.peer) is link:
            self.metrics.count("peers.links_silent")
            del self._links[link.peer]
            link.retired = True
            self._retired.add(link)
            self._close_if_unused(link)

    def _close_if_unused(self, link: _Link) -> None:
        if link.retired and link.is_idle():
            link.scope.cancel()

    def link_ended(self, link: _Link, detail: str) -> None:
        """Forget a link; after a failure, delay the next attempt.

        :param link: link whose task ends
        :param detail: why it ended
        """
        self._retired.discard(link)
        if self._links.get(link.peer) is link:
            del self._links[link.peer]
        if link.retired:
            return
        self.metrics.count("peers.links_failed")
        emit(Event.PEER_LINK_FAILED, peer=link.peer.node_id, detail=detail)
        now_ms = self.clock.now_ms()
        last = self._backoffs.get(link.peer)
        if link.writer is not None and now_ms - link.started_at_ms >= STABLE_MS:
            self._backoffs.pop(link.peer, None)
            return
        step_ms = min(last.step_ms * 2, BACKOFF_MAX_MS) if last else BACKOFF_FIRST_MS
        self._backoffs[link.peer] = _Backoff(step_ms, now_ms + step_ms, detail)

    def _sweep(self) -> None:
        """Close idle links and forget old failures."""
        now_ms = self.clock.now_ms()
        for link in list(self._links.values()):
            if link.is_idle() and now_ms - link.received_at_ms > IDLE_CLOSE_MS:
                self.metrics.count("peers.idle_closed")
                del self._links[link.peer]
                link.retired = True
                link.scope.cancel()
        for peer, backoff in list(self._backoffs.items()):
            if now_ms - backoff.until_ms > IDLE_CLOSE_MS:
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
    """Return links that work while their ``run`` runs.

    :param node_id: this node
    :param incarnation: incarnation of this process
    :param clock: time source
    :param metrics: counters
    :param source_host: local address to connect from, or ``None`` for any
    :param max_links: links open at once
    """
    hello = Hello(PROTOCOL_VERSION, node_id, incarnation)
    return PeerLinks(hello, clock, metrics, source_host, max_links)
