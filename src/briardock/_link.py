"""One outgoing connection to a peer and its pending calls."""

from dataclasses import dataclass
from typing import Protocol

import anyio
import anyio.abc

from briardock._frames import (
    FrameError,
    FrameReader,
    FrameWriter,
    encode_frame,
    expect_hello,
)
from briardock._http import STREAM_ERRORS
from briardock._waiting import fail_after
from briardock.clock import Clock
from briardock.events import Event, emit
from briardock.messages import Answer, Cancel, LinkMessage
from briardock.metrics import Metrics

# A call to an unreachable or unresponsive peer fails after at most both timeouts.
# It was not sent then and can be routed to another instance, so both timeouts are
# well below the usual deadlines.
CONNECT_TIMEOUT_S = 0.5
HELLO_TIMEOUT_S = 0.5


class LinkOwner(Protocol):
    """Interface that a link requires of the object that started it."""

    hello_frame: bytes
    clock: Clock
    metrics: Metrics
    source_host: str | None

    def link_ended(self, link: "Link", detail: str) -> None:
        """Handle the end of a link."""
        ...


@dataclass(frozen=True, slots=True)
class LinkFailure:
    """A call that failed without a response.

    :param sent: whether the frame may have reached the peer
    :param detail: cause of the failure
    """

    sent: bool
    detail: str


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Address and expected incarnation of a node to call.

    :param node_id: id of the node
    :param incarnation: process incarnation of the node
    :param host: numeric IP address
    :param port: TCP port of its peer listener
    """

    node_id: str
    incarnation: int
    host: str
    port: int


class PendingCall:
    """A call that waits for its response."""

    __slots__ = ("done", "result", "sent", "sent_at_ms")

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.result: Answer | LinkFailure | None = None
        self.sent = False
        self.sent_at_ms = 0.0

    def resolve(self, result: Answer | LinkFailure) -> None:
        self.result = result
        self.done.set()


class Link:
    """Connection to one peer; its task runs ``run``."""

    def __init__(self, owner: LinkOwner, peer: PeerAddress) -> None:
        self.peer = peer
        self.writer: FrameWriter | None = None
        self.failure: LinkFailure | None = None
        self.pending: dict[int, PendingCall] = {}
        self.retired = False
        self.started_at_ms = owner.clock.now_ms()
        self.received_at_ms = self.started_at_ms
        self.scope = anyio.CancelScope()
        self._owner = owner
        self._ready = anyio.Event()
        self._ready_waiter_count = 0

    def is_idle(self) -> bool:
        """Return whether no call uses the link."""
        return not self.pending and not self._ready_waiter_count

    async def wait_ready(self) -> FrameWriter | LinkFailure:
        """Wait for the handshake and return the writer, or the failure of the link."""
        self._ready_waiter_count += 1
        try:
            await self._ready.wait()
        finally:
            self._ready_waiter_count -= 1
        if self.failure is not None or self.writer is None:
            return self.failure or LinkFailure(False, "link closed")
        return self.writer

    async def run(self) -> None:
        """Connect, perform the handshake and read responses until the link ends."""
        detail = ""
        try:
            with self.scope:
                detail = await self._connect_and_read()
        finally:
            self._fail_calls(detail)

    async def _connect_and_read(self) -> str:
        """Return why the link ended."""
        try:
            with fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(
                    self.peer.host, self.peer.port, local_host=self._owner.source_host
                )
        except OSError as error:
            return f"connection failed: {error!r}"
        try:
            return await self._serve_stream(stream)
        except FrameError as error:
            return str(error)
        except STREAM_ERRORS as error:
            return f"connection lost: {error!r}"
        finally:
            with anyio.CancelScope(shield=True):
                await stream.aclose()

    async def _serve_stream(self, stream: anyio.abc.SocketStream) -> str:
        reader = FrameReader(stream)
        messages = await self._handshake(stream, reader)
        writer = FrameWriter(stream)
        self.writer = writer
        self._ready.set()
        detail = ""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(writer.run)
            detail = await self._read_responses(reader, messages)
            tasks.cancel_scope.cancel()
        return detail

    async def _handshake(
        self, stream: anyio.abc.SocketStream, reader: FrameReader
    ) -> list[LinkMessage]:
        """Exchange ``Hello`` messages; return messages received after the peer's.

        :raises FrameError: if the peer is not the expected one
        """
        with anyio.move_on_after(HELLO_TIMEOUT_S) as scope:
            await stream.send(self._owner.hello_frame)
            messages = await reader.receive()
        if scope.cancelled_caught:
            raise FrameError("timed out waiting for Hello")
        hello = expect_hello(reader, messages[0])
        expected = (self.peer.node_id, self.peer.incarnation)
        if (hello.node_id, hello.incarnation) != expected:
            raise FrameError(
                f"the peer is {hello.node_id} incarnation {hello.incarnation}"
            )
        return messages[1:]

    async def _read_responses(
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

    def _resolve(self, response: Answer) -> None:
        pending = self.pending.pop(response.call_id, None)
        if pending is None:
            # This includes responses to cancelled calls.
            self._owner.metrics.count("peers.answers_unknown")
        elif response.body_bytes == len(response.body):
            pending.resolve(response)
        else:
            self._owner.metrics.count("peers.answers_wrong_length")
            emit(Event.ANSWER_DROPPED, peer=self.peer.node_id, call_id=response.call_id)
            pending.resolve(LinkFailure(True, "response body has the wrong length"))

    def _fail_calls(self, detail: str) -> None:
        """Fail all pending calls.

        :param detail: why the link failed, empty if this node closed it
        """
        reason = detail or "link closed"
        self.failure = LinkFailure(False, reason)
        self._ready.set()
        for call_id, pending in self.pending.items():
            withdrawn = self.writer is not None and self.writer.withdraw(call_id)
            pending.resolve(LinkFailure(not withdrawn, reason))
        self.pending.clear()
        self._owner.link_ended(self, detail)

    def cancel_call(self, call_id: int) -> bool:
        """Cancel a pending call; return whether its frame may have been written."""
        pending = self.pending.pop(call_id, None)
        if pending is None or self.writer is None:
            return pending is None
        if self.writer.withdraw(call_id):
            return False
        self.writer.queue(encode_frame(Cancel(call_id)), -call_id)
        return True
