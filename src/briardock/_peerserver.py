"""Server side of the links between nodes."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
import anyio.abc
import msgspec

from briardock._frames import (
    FrameError,
    FrameReader,
    FrameWriter,
    encode_frame,
    expect_hello,
)
from briardock._http import STREAM_ERRORS, AnyListener, accept_forever
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
from briardock.outcomes import Reason

# Longer than the idle time after which the calling side closes a link, so that
# only connections of vanished peers are closed here.
SERVER_IDLE_MS = 180_000.0
HELLO_TIMEOUT_S = 2.0
SWEEP_PERIOD_S = 5.0
MAX_CALLS_PER_CONNECTION = 4_096
# Monotonic clocks of two hosts may drift apart by 500 ppm (the slewing limit
# of NTP). The smallest transit time of a link is raised at this rate, so that
# drift does not make the frames of a long-lived link look delayed.
CLOCK_DRIFT = 500e-6


@dataclass(frozen=True, slots=True)
class PeerInfo:
    """Sender of a call.

    :param node_id: node
    :param incarnation: process incarnation
    :param transit_ms: delay of this frame beyond the smallest one seen on the
        connection; 0 for a forwarded request, which carries no send time
    """

    node_id: str
    incarnation: int
    transit_ms: float


PeerHandler = Callable[[Call | Forward, PeerInfo], Awaitable[Answer]]


class TransitMeter:
    """Delay of frames beyond the smallest one, allowing for clock drift."""

    def __init__(self) -> None:
        self._smallest_ms = float("inf")
        self._measured_at_ms = 0.0

    def excess_ms(self, sent_ms: float, received_ms: float) -> float:
        """Return the excess transit time of one frame.

        :param sent_ms: reading of the sender's clock
        :param received_ms: reading of the receiver's clock
        """
        difference_ms = received_ms - sent_ms
        drift_ms = (received_ms - self._measured_at_ms) * CLOCK_DRIFT
        smallest_ms = min(difference_ms, self._smallest_ms + drift_ms)
        self._smallest_ms = smallest_ms
        self._measured_at_ms = received_ms
        return difference_ms - smallest_ms


class _Connection:
    """One connection of a peer; its task runs ``run``."""

    def __init__(self, server: "_Server", stream: anyio.abc.SocketStream) -> None:
        self._server = server
        self._stream = stream
        self._reader = FrameReader(stream)
        self._writer = FrameWriter(stream)
        self._transit = TransitMeter()
        self._node_id = ""
        self._incarnation = 0
        self._last_call_id = 0
        self._running: dict[int, anyio.CancelScope] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self.scope = anyio.CancelScope()
        self.active_at_ms = server.clock.now_ms()

    def is_idle(self) -> bool:
        """Return whether no call runs."""
        return not self._running

    async def run(self) -> None:
        """Serve calls until either side closes or breaks the protocol."""
        try:
            with self.scope:
                await self._serve()
        except STREAM_ERRORS:
            self._server.metrics.count("peers.disconnects")
        except FrameError as error:
            self._server.metrics.count("peers.rejected")
            emit(Event.PEER_REJECTED, peer=self._node_id or "?", detail=str(error))
        finally:
            with anyio.CancelScope(shield=True):
                await self._stream.aclose()

    async def _serve(self) -> None:
        messages = await self._greet()
        failure: Exception | None = None
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._writer.run)
            try:
                await self._read_calls(messages)
            except (*STREAM_ERRORS, FrameError) as error:
                failure = error
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _greet(self) -> list[LinkMessage]:
        """Exchange greetings; return messages that came with the peer's."""
        with anyio.move_on_after(HELLO_TIMEOUT_S) as scope:
            messages = await self._reader.receive()
        if scope.cancelled_caught:
            raise FrameError("no greeting from the peer")
        if isinstance(messages[0], Hello):
            await self._stream.send(self._server.hello_frame)
        hello = expect_hello(self._reader, messages[0])
        self._node_id = hello.node_id
        self._incarnation = hello.incarnation
        return messages[1:]

    async def _read_calls(self, messages: list[LinkMessage]) -> None:
        while True:
            now_ms = self._server.clock.now_ms()
            self.active_at_ms = now_ms
            for message in messages:
                self._take(message, now_ms)
            messages = await self._reader.receive()

    def _take(self, message: LinkMessage, now_ms: float) -> None:
        match message:
            case Call():
                transit_ms = self._transit.excess_ms(message.sent_ms, now_ms)
                self._start(message, transit_ms)
            case Forward():
                self._start(message, 0.0)
            case Cancel():
                scope = self._running.get(message.call_id)
                if scope is not None:
                    self._server.metrics.count("peers.cancels")
                    scope.cancel()
            case _:
                raise FrameError(f"unexpected {type(message).__name__}")

    def _start(self, message: Call | Forward, transit_ms: float) -> None:
        # Ids only grow on a link, so a repeated frame never runs a call twice.
        if message.call_id <= self._last_call_id:
            raise FrameError(f"call id {message.call_id} is not new")
        self._last_call_id = message.call_id
        assert self._tasks is not None
        if len(self._running) >= MAX_CALLS_PER_CONNECTION:
            self._refuse(message)
            return
        info = PeerInfo(self._node_id, self._incarnation, transit_ms)
        scope = anyio.CancelScope()
        self._running[message.call_id] = scope
        self._tasks.start_soon(self._run_call, message, info, scope)

    def _refuse(self, message: Call | Forward) -> None:
        self._server.metrics.count("peers.calls_refused")
        detail = f"more than {MAX_CALLS_PER_CONNECTION} calls on one link"
        # An earlier request with the key of a forward may have run.
        outcome = "not-run" if isinstance(message, Call) else "unknown"
        answer = Answer(
            message.call_id, outcome, reason=Reason.OVERLOADED, detail=detail
        )
        self._writer.queue(encode_frame(answer), message.call_id)

    async def _run_call(
        self, message: Call | Forward, info: PeerInfo, scope: anyio.CancelScope
    ) -> None:
        call_id = message.call_id
        answer: Answer | None = None
        with scope:
            try:
                answer = await self._server.handler(message, info)
            except Exception as error:
                answer = self._handler_failed(call_id, error)
        del self._running[call_id]
        if answer is None:
            return
        if answer.call_id != call_id:
            answer = msgspec.structs.replace(answer, call_id=call_id)
        try:
            await self._writer.send(self._frame(answer), call_id)
        except STREAM_ERRORS:
            self._server.metrics.count("peers.answers_unsent")

    def _handler_failed(self, call_id: int, error: Exception) -> Answer:
        self._server.metrics.count("peers.handler_errors")
        emit(Event.PEER_HANDLER_FAILED, peer=self._node_id, error=repr(error))
        return Answer(
            call_id, "unknown", reason=Reason.INTERNAL, detail="the handler failed"
        )

    def _frame(self, answer: Answer) -> bytes:
        try:
            return encode_frame(answer)
        except FrameError as error:
            self._server.metrics.count("peers.answers_too_large")
            lost = Answer(
                answer.call_id,
                "unknown",
                reason=Reason.ANSWER_LOST,
                detail=str(error),
                retries_left=answer.retries_left,
                refusal_level=answer.refusal_level,
                load=answer.load,
                own_time_ms=answer.own_time_ms,
            )
            return encode_frame(lost)


class _Server:
    """State shared by the connections of one listener."""

    def __init__(
        self,
        handler: PeerHandler,
        hello: Hello,
        clock: Clock,
        metrics: Metrics,
        max_connections: int,
    ) -> None:
        self.handler = handler
        self.hello_frame = encode_frame(hello)
        self.clock = clock
        self.metrics = metrics
        self._max_connections = max_connections
        self._connections: set[_Connection] = set()

    async def accept(self, stream: anyio.abc.SocketStream) -> None:
        """Serve one accepted connection."""
        if len(self._connections) >= self._max_connections:
            self.metrics.count("peers.rejected")
            detail = f"more than {self._max_connections} connections"
            emit(Event.PEER_REJECTED, peer="?", detail=detail)
            await stream.aclose()
            return
        connection = _Connection(self, stream)
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)

    async def sweep_idle(self) -> None:
        """Close connections whose peers vanished without closing them."""
        while True:
            await anyio.sleep(SWEEP_PERIOD_S)
            oldest_ms = self.clock.now_ms() - SERVER_IDLE_MS
            for connection in list(self._connections):
                if connection.is_idle() and connection.active_at_ms < oldest_ms:
                    self.metrics.count("peers.idle_closed")
                    connection.scope.cancel()


async def serve_peers(
    listener: AnyListener,
    handler: PeerHandler,
    node_id: str,
    incarnation: int,
    clock: Clock,
    metrics: Metrics,
    max_connections: int,
) -> None:
    """Serve calls of other nodes until cancelled.

    ``Cancel`` and the loss of the connection cancel the scope of a handler,
    which may shield itself; what it still returns is sent. An exception in
    the handler gives ``unknown`` with ``internal-error``. The handler sets
    ``body_bytes`` of its answer; ``call_id`` is corrected here.

    :param listener: TCP listener; closed on return
    :param handler: makes the answer to one call
    :param node_id: this node
    :param incarnation: incarnation of this process
    :param clock: time source
    :param metrics: counters
    :param max_connections: connections open at once
    """
    hello = Hello(PROTOCOL_VERSION, node_id, incarnation)
    server = _Server(handler, hello, clock, metrics, max_connections)
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.sweep_idle)
            await accept_forever(listener, server.accept, tasks)
    finally:
        with anyio.CancelScope(shield=True):
            await listener.aclose()
