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

# Longer than the idle timeout of the calling side, so that the server closes only
# connections of peers that disappeared without closing them.
SERVER_IDLE_TIMEOUT_MS = 180_000.0
HELLO_TIMEOUT_S = 2.0
SWEEP_PERIOD_S = 5.0
MAX_CALLS_PER_CONNECTION = 4_096
# Monotonic clocks of two hosts may drift apart by 500 ppm, the slew limit of NTP.
# The minimum clock difference of a link is raised at this rate, so that drift does
# not make the frames of a long-lived link look delayed.
MAX_CLOCK_DRIFT_RATIO = 500e-6


@dataclass(frozen=True, slots=True)
class PeerInfo:
    """Sender of a call.

    :param node_id: id of the sending node
    :param incarnation: process incarnation of the sender
    :param transit_ms: transit time of this frame above the minimum of the
        connection; 0 for a forwarded request, which has no send time
    """

    node_id: str
    incarnation: int
    transit_ms: float


PeerHandler = Callable[[Call | Forward, PeerInfo], Awaitable[Answer]]


class TransitMeter:
    """Transit time of frames above the minimum, allowing for clock drift."""

    def __init__(self) -> None:
        self._minimum_ms = float("inf")
        self._measured_at_ms = 0.0

    def excess_ms(self, sent_ms: float, received_ms: float) -> float:
        """Return the excess transit time of one frame.

        :param sent_ms: reading of the sender's clock
        :param received_ms: reading of the receiver's clock
        """
        difference_ms = received_ms - sent_ms
        drift_ms = (received_ms - self._measured_at_ms) * MAX_CLOCK_DRIFT_RATIO
        minimum_ms = min(difference_ms, self._minimum_ms + drift_ms)
        self._minimum_ms = minimum_ms
        self._measured_at_ms = received_ms
        return difference_ms - minimum_ms


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
        self._calls_in_flight: dict[int, anyio.CancelScope] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self.scope = anyio.CancelScope()
        self.active_at_ms = server.clock.now_ms()

    def is_idle(self) -> bool:
        """Return whether no call is in flight."""
        return not self._calls_in_flight

    async def run(self) -> None:
        """Serve calls until a side closes the connection or violates the protocol."""
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
        messages = await self._handshake()
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

    async def _handshake(self) -> list[LinkMessage]:
        """Exchange ``Hello`` messages; return messages received after the peer's."""
        with anyio.move_on_after(HELLO_TIMEOUT_S) as scope:
            messages = await self._reader.receive()
        if scope.cancelled_caught:
            raise FrameError("timed out waiting for Hello")
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
                self._handle_message(message, now_ms)
            messages = await self._reader.receive()

    def _handle_message(self, message: LinkMessage, now_ms: float) -> None:
        match message:
            case Call():
                transit_ms = self._transit.excess_ms(message.sent_ms, now_ms)
                self._start_call(message, transit_ms)
            case Forward():
                self._start_call(message, 0.0)
            case Cancel():
                scope = self._calls_in_flight.get(message.call_id)
                if scope is not None:
                    self._server.metrics.count("peers.cancels")
                    scope.cancel()
            case _:
                raise FrameError(f"unexpected {type(message).__name__}")

    def _start_call(self, message: Call | Forward, transit_ms: float) -> None:
        # Call ids increase on a link, so a duplicate frame never runs a call twice.
        if message.call_id <= self._last_call_id:
            raise FrameError(f"call id {message.call_id} is not new")
        self._last_call_id = message.call_id
        assert self._tasks is not None
        if len(self._calls_in_flight) >= MAX_CALLS_PER_CONNECTION:
            self._refuse_call(message)
            return
        info = PeerInfo(self._node_id, self._incarnation, transit_ms)
        scope = anyio.CancelScope()
        self._calls_in_flight[message.call_id] = scope
        self._tasks.start_soon(self._run_call, message, info, scope)

    def _refuse_call(self, message: Call | Forward) -> None:
        self._server.metrics.count("peers.calls_refused")
        detail = f"more than {MAX_CALLS_PER_CONNECTION} calls on one link"
        # An earlier request with the key of a forwarded one may have run.
        outcome = "not-run" if isinstance(message, Call) else "unknown"
        response = Answer(
            message.call_id, outcome, reason=Reason.OVERLOADED, detail=detail
        )
        self._writer.queue(encode_frame(response), message.call_id)

    async def _run_call(
        self, message: Call | Forward, info: PeerInfo, scope: anyio.CancelScope
    ) -> None:
        call_id = message.call_id
        response: Answer | None = None
        with scope:
            try:
                response = await self._server.handler(message, info)
            except Exception as error:
                response = self._handler_error_response(call_id, error)
        del self._calls_in_flight[call_id]
        if response is None:
            return
        if response.call_id != call_id:
            response = msgspec.structs.replace(response, call_id=call_id)
        try:
            await self._writer.send(self._encode_response(response), call_id)
        except STREAM_ERRORS:
            self._server.metrics.count("peers.answers_unsent")

    def _handler_error_response(self, call_id: int, error: Exception) -> Answer:
        self._server.metrics.count("peers.handler_errors")
        emit(Event.PEER_HANDLER_FAILED, peer=self._node_id, error=repr(error))
        return Answer(
            call_id, "unknown", reason=Reason.INTERNAL, detail="the handler failed"
        )

    def _encode_response(self, response: Answer) -> bytes:
        try:
            return encode_frame(response)
        except FrameError as error:
            self._server.metrics.count("peers.answers_too_large")
            failure_response = Answer(
                response.call_id,
                "unknown",
                reason=Reason.ANSWER_LOST,
                detail=str(error),
                retries_left=response.retries_left,
                refusal_level=response.refusal_level,
                load=response.load,
                own_time_ms=response.own_time_ms,
            )
            return encode_frame(failure_response)


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
        """Close connections whose peers disappeared without closing them."""
        while True:
            await anyio.sleep(SWEEP_PERIOD_S)
            cutoff_ms = self.clock.now_ms() - SERVER_IDLE_TIMEOUT_MS
            for connection in list(self._connections):
                if connection.is_idle() and connection.active_at_ms < cutoff_ms:
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

    ``Cancel`` and the loss of the connection cancel the scope of a handler. A
    handler may shield itself; its response is still sent. An exception in the
    handler gives the outcome ``unknown`` with ``internal-error``. The handler
    sets ``body_bytes`` of its response; the server sets ``call_id``.

    :param listener: TCP listener; closed on return
    :param handler: returns the response to a call
    :param node_id: this node
    :param incarnation: incarnation of this process
    :param clock: time source
    :param metrics: counters
    :param max_connections: maximum number of open connections
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
