"""One connection of a client to a listener, served by one task."""

import asyncio
import select
from collections import deque
from typing import cast

from briardock.mesh.http1 import (
    Request,
    Response,
    encode_response,
    encode_response_head,
    write_message,
)
from briardock.mesh.model import now_s
from briardock.mesh.parse_pace import ORDINARY_ELEMENTS, ParseTurn
from briardock.mesh.request_reader import RequestReader
from briardock.mesh.server_interface import Server
from briardock.mesh.unread import UnreadResponses
from briardock.sockets import has_input, send_end

# Pipelined requests on one connection at which further bytes are kept unparsed, and
# the number of these bytes at which reading is paused. While it is paused, the node
# does not learn that the caller has left, so the number exceeds what most callers send
# ahead.
MAX_PIPELINED_REQUESTS = 4
MAX_UNPARSED_BYTES = 1024 * 1024
# Bytes parsed at a time, inside a head and inside a body. The limits are checked in
# between: 250 header lines, or 50 requests, fit into the first.
HEAD_SLICE_BYTES = 1024
BODY_SLICE_BYTES = 64 * 1024
# Memory that counts for each request beyond the number above.
PIPELINED_REQUEST_BYTES = 1024
# Time after which a caller refused for lack of memory may come back, s.
MEMORY_RETRY_AFTER = b"1"
# Rate of an ordinary upload, bytes/s. Of the connections that a full listener closes in
# the middle of a body, those furthest behind this rate are the first.
UPLOAD_BYTES_PER_S = 64 * 1024
# Longest time for which a connection is read on after its last response was sent, s.
# The kernel discards what it still holds of a response if the socket is closed with
# unread bytes.
LINGER_S = 1.0


class ServerConnection(asyncio.Protocol):
    """One connection to the server.

    What it holds is counted in the account of the process. A connection that holds more
    than its floor while the account is used up is refused and gives it up.
    """

    def __init__(self, server: Server) -> None:
        self._server = server
        self._reader = RequestReader(server.limits)
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._descriptor = -1
        self._disconnect_poll = select.poll()
        self._pending_requests: deque[Request] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._responding = False
        self._has_responded = False
        # Status of the refusal that ends the connection, sent after the responses to
        # the requests before it.
        self._refusal_status: int | None = None
        # Whether the last response was written; what is received then is discarded.
        self._has_ended = False
        self._unparsed = bytearray()
        self._is_paused = False
        self._turn = ParseTurn(server.pace, self._go_on_parsing)
        self.unread = UnreadResponses()
        # Bytes of the request in flight, and of it and the pending ones.
        self._in_flight_bytes = 0
        self._requests_bytes = 0
        self._counted_bytes = 0
        self.last_active_s = now_s()

    @property
    def idle(self) -> bool:
        """Whether no request is read, pending or in flight, and none was the last."""
        return not (
            self._responding
            or self._reader.is_reading
            or self._pending_requests
            or self._has_ended
        )

    @property
    def closing_order(self) -> tuple[int, float] | tuple[()]:
        """Sort key by which connections are closed for others, empty if it is not.

        Those without a request so far are closed first, then idle ones, then those
        whose head is not complete, then those whose last response was sent, then those
        whose body is not complete.
        """
        reader = self._reader
        if self.idle:
            return (int(self._has_responded), self.last_active_s)
        if self._has_ended:
            return () if self.has_unsent_bytes else (3, self.last_active_s)
        if self._responding or self._pending_requests:
            return ()
        if reader.in_head:
            return (2, reader.received_s)
        return (4, reader.received_s + reader.held_bytes / UPLOAD_BYTES_PER_S)

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether bytes of a response have not been handed to the kernel yet."""
        return bool(self.unread.size_bytes)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task that serves this connection."""
        # uvloop's transports do not derive from those of asyncio.
        self._transport = cast(asyncio.Transport, transport)
        self.unread.start(self._transport)
        self._descriptor = transport.get_extra_info("socket").fileno()
        self._disconnect_poll.register(self._descriptor, select.POLLRDHUP)
        self._server.add_connection(self)
        self._task = asyncio.get_running_loop().create_task(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests of a caller that has disconnected."""
        self._give_up()
        if self._task is not None:
            self._task.cancel()

    def _give_up(self) -> None:
        """Release what the connection holds."""
        self._server.connections.discard(self)
        self._pending_requests.clear()
        self._unparsed.clear()
        self._requests_bytes = 0
        # The parser and its reader refer to each other.
        self._reader.close()
        self.unread = UnreadResponses()
        self._update_account()

    def _update_account(self) -> None:
        held_bytes = (
            self._requests_bytes
            + len(self._unparsed)
            + self._reader.held_bytes
            + self.unread.counted_bytes
        )
        self._server.memory.used_bytes += held_bytes - self._counted_bytes
        self._counted_bytes = held_bytes

    def _check_memory(self) -> None:
        """Count what the connection holds; give it up if the account is used up."""
        self._update_account()
        if self._server.memory.refuses(self._counted_bytes):
            self._pending_requests.clear()
            self._requests_bytes = self._in_flight_bytes
            self._refuse(503)

    def eof_received(self) -> bool:
        """Treat a half-close by the caller as a disconnect."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse what the caller sent, or keep it while enough requests wait."""
        if self._refusal_status is not None or self._has_ended:
            return
        if self._unparsed or self._turn.is_awaited:
            self._unparsed += data
        else:
            parsed_bytes = self._parse(data)
            if parsed_bytes < len(data):
                self._unparsed += data[parsed_bytes:]
        if self._unparsed:
            self._check_memory()
        if len(self._unparsed) >= MAX_UNPARSED_BYTES and self._transport:
            self._is_paused = True
            self._transport.pause_reading()

    def _parse(self, data: bytes | bytearray) -> int:
        """Parse bytes until enough requests wait; return the number of bytes."""
        reader = self._reader
        reader.limits = self._server.limits
        is_costly = reader.request_elements > ORDINARY_ELEMENTS
        if not (is_costly or self._pending_requests) and len(data) <= HEAD_SLICE_BYTES:
            reader.feed(bytes(data))
            self._take_requests()
            return len(data)
        start = 0
        while (
            start < len(data)
            and len(self._pending_requests) < MAX_PIPELINED_REQUESTS
            and self._refusal_status is None
            and self._turn.may_parse(reader.request_elements)
        ):
            slice_bytes = HEAD_SLICE_BYTES if reader.in_head else BODY_SLICE_BYTES
            end = min(len(data), start + slice_bytes)
            elements_before = reader.request_elements
            reader.feed(bytes(data[start:end]))
            self._turn.record(elements_before, reader.request_elements)
            start = end
            self._take_requests()
        return start

    def _go_on_parsing(self) -> bool:
        """Parse what was kept; return whether the connection is open."""
        if self._transport is None or self._transport.is_closing():
            return False
        self._parse_kept()
        return True

    def _take_requests(self) -> None:
        """Queue the requests that were read for the task of the connection."""
        reader = self._reader
        if reader.expects_continue:
            reader.expects_continue = False
            if self._transport:
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if reader.requests:
            for request in reader.requests:
                if len(self._pending_requests) >= MAX_PIPELINED_REQUESTS:
                    request.held_bytes += PIPELINED_REQUEST_BYTES
                self._requests_bytes += request.held_bytes
                self._pending_requests.append(request)
            reader.requests.clear()
            if self._waiter is not None and not self._waiter.done():
                self._waiter.set_result(None)
        if reader.refusal_status:
            self._refuse(reader.refusal_status)
        elif reader.held_bytes or self._requests_bytes:
            self._check_memory()

    async def _serve(self) -> None:
        assert self._transport is not None
        loop = asyncio.get_running_loop()
        while not self._transport.is_closing():
            while not self._pending_requests:
                self._waiter = loop.create_future()
                await self._waiter
            if not await self._serve_request(self._pending_requests.popleft()):
                return
            if self._pending_requests:
                # Responses that need no wait would keep other connections waiting.
                await asyncio.sleep(0)
            # The next response is not produced while the last one is not read.
            await self.unread.wait_until_few()

    async def _serve_request(self, request: Request) -> bool:
        """Respond to a request; return whether the connection goes on."""
        assert self._transport is not None
        self._responding = True
        self._in_flight_bytes = request.held_bytes
        if self._unparsed and len(self._pending_requests) < MAX_PIPELINED_REQUESTS:
            self._parse_kept()
        if self._disconnect_poll.poll(0):
            # The end of the connection is read only after what came before it, so a
            # node that was frozen would pass on requests of callers that have left.
            self._transport.close()
            return False
        response = await self._server.respond(request)
        # After an announced close, the caller reads no further responses.
        is_last = not self._pending_requests
        response.close = is_last and (
            response.close or request.ends_connection or self._server.closing
        )
        if self._transport.is_closing():
            return False
        body = b"" if request.method == b"HEAD" else response.body
        write_message(self._transport, encode_response_head(response), body)
        if self.has_unsent_bytes:
            self.unread.add(len(body), now_s())
            self._update_account()
            if self.unread.counted_bytes:
                self._server.limit_unread()
            if self._transport.is_closing():
                return False
        self._responding = False
        self._has_responded = True
        self._in_flight_bytes = 0
        if request.held_bytes:
            self._requests_bytes -= request.held_bytes
            self._update_account()
        self.last_active_s = now_s()
        if response.close:
            self._end_responses()
            return False
        if self._refusal_status is not None and not self._pending_requests:
            self._end_with_refusal(self._refusal_status)
            return False
        return True

    def pause_writing(self) -> None:
        """Note that the client does not read its responses."""
        self.unread.pause(now_s())

    def resume_writing(self) -> None:
        """Go on with the next request."""
        self.unread.resume()
        self.update_unread(now_s())

    def update_unread(self, now: float) -> None:
        """Count the bytes of responses that the client has not read.

        :param now: current time in s since boot
        """
        self.unread.update(now)
        self._update_account()

    def _parse_kept(self) -> None:
        """Parse bytes that were kept while enough requests waited."""
        parsed_bytes = self._parse(self._unparsed)
        del self._unparsed[:parsed_bytes]
        self._check_memory()
        if self._is_paused and len(self._unparsed) < MAX_UNPARSED_BYTES:
            assert self._transport is not None
            self._is_paused = False
            self._transport.resume_reading()

    def _refuse(self, status: int) -> None:
        """Refuse the request that is read, and discard what follows it."""
        if self._refusal_status is not None:
            return
        self._refusal_status = status
        self._server.log.event(
            "client-refused",
            status=status,
            held_bytes=self._counted_bytes,
            all_held_bytes=self._server.memory.used_bytes,
        )
        self._unparsed.clear()
        self._reader.close()
        self._update_account()
        if not self._responding and not self._pending_requests:
            self._end_with_refusal(status)

    def _end_with_refusal(self, status: int) -> None:
        assert self._transport is not None
        headers = [(b"retry-after", MEMORY_RETRY_AFTER)] if status == 503 else []
        response = Response(status, headers, close=True)
        self._transport.write(encode_response(response))
        self._end_responses()

    def _end_responses(self) -> None:
        """Send the end of the stream; close the connection when the caller does."""
        assert self._transport is not None
        self._has_ended = True
        self._transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, self._close_once_sent)

    def _close_once_sent(self) -> None:
        if self.has_unsent_bytes:
            asyncio.get_running_loop().call_later(LINGER_S, self._close_once_sent)
        else:
            self.close_gracefully()

    def enforce_timeouts(self, now: float) -> None:
        """Close the connection if it is idle, not read or its request is late.

        :param now: current time in s since boot
        """
        limits = self._server.limits
        if self.unread.is_blocked(now, limits.idle_timeout_s):
            self.abort()
            return
        if self._responding or self._pending_requests or self._has_ended:
            return
        if self._reader.is_reading:
            reader = self._reader
            if reader.in_head:
                is_late = now - reader.received_s > limits.header_timeout_s
            else:
                is_late = now - reader.progressed_s > limits.idle_timeout_s
            if is_late:
                self._refuse(408)
        elif now - self.last_active_s > limits.idle_timeout_s:
            self.close_if_unused()

    def abort(self) -> None:
        """Close the connection at once and release what it holds."""
        if self._transport is not None:
            self._transport.abort()
        self._give_up()

    def close_if_unused(self) -> None:
        """Close the idle connection unless a request has arrived on it.

        A request that the process has not read yet would be reset.
        """
        transport = self._transport
        if not transport or transport.is_closing():
            return
        if not has_input(self._descriptor):
            send_end(self._descriptor)
            transport.close()

    def close_gracefully(self) -> None:
        """Close the connection after sending buffered data."""
        if self._transport is not None:
            self._transport.close()
