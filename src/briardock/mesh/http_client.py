"""HTTP/1.1 client connection to a target, a node or the store."""

import asyncio
from collections.abc import Callable
from typing import cast

import httptools

from briardock.mesh.http1 import (
    Body,
    ExchangeFailure,
    FailureCause,
    Response,
    without_copy,
    write_message,
)
from briardock.mesh.memory import (
    MemoryAccount,
    counted_head_bytes,
    response_account,
)
from briardock.mesh.model import Headers

# Largest body of one response, bytes.
MAX_BODY_BYTES = 16 * 1024 * 1024
# Largest number of bytes of one exchange that belong to no body: heads, interim
# responses, chunk headers and trailers, as a constant and per byte of the body.
MAX_OVERHEAD_BYTES = 64 * 1024
MAX_OVERHEAD_PER_BODY_BYTE = 2
# Responses to other requests that are skipped in one exchange.
MAX_SKIPPED_RESPONSES = 8
# Bytes parsed at a time, outside a body and inside one. The limits are checked in
# between: 250 header lines fit into the first.
HEAD_SLICE_BYTES = 1024
BODY_SLICE_BYTES = 64 * 1024
# Lowest status of a response. The parser accepts any three digits.
LOWEST_STATUS = 100
# Headers that delimit the body; without one the body ends with the connection.
LENGTH_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


# Account of the connections for which no other one is given.
DEFAULT_MEMORY = response_account()


class ClientConnection(asyncio.Protocol):
    """One client connection, without pipelining: one exchange at a time.

    Peers in trouble may send bytes without end. A response that exceeds a limit ends
    the exchange and the connection.

    :param memory: account of the responses that are read
    """

    def __init__(self, memory: MemoryAccount = DEFAULT_MEMORY) -> None:
        self._memory = memory
        self._counted_bytes = 0
        self._body = bytearray()
        self._received_bytes = 0
        self._exchange_body_bytes = 0
        self._skipped = 0
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[Response | ExchangeFailure] | None = None
        self._accept: Callable[[Response], bool] | None = None
        self._reusable = True
        self._loop: asyncio.AbstractEventLoop | None = None
        self.idle_timeout_s: float | None = None
        self.idle_since_s = 0.0
        # Idle time before the current exchange, 0 for the first one.
        self.idle_duration_s = 0.0
        self.requests_sent = 0
        self._reset_message()

    def _reset_message(self) -> None:
        self._discard()
        self._status = 0
        self._has_length = False
        self._until_eof = False
        self._in_body = False

    def _discard(self) -> None:
        """Let go of the response that was read."""
        self._headers: Headers = []
        self._head_bytes = 0
        self._body = bytearray()
        self._update_account()

    def _update_account(self) -> None:
        held_bytes = len(self._body) + counted_head_bytes(
            self._head_bytes, len(self._headers)
        )
        self._memory.used_bytes += held_bytes - self._counted_bytes
        self._counted_bytes = held_bytes

    @property
    def usable(self) -> bool:
        """Whether another exchange may start on this connection."""
        transport = self._transport
        return self._reusable and transport is not None and not transport.is_closing()

    @property
    def has_response(self) -> bool:
        """Whether the result of the latest exchange is known."""
        return self._waiter is not None and self._waiter.done()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and the loop, whose lookup costs a system call."""
        self._loop = asyncio.get_running_loop()
        # uvloop's transports do not derive from those of asyncio.
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange; a clean close completes a response without a length."""
        self._reusable = False
        if self._until_eof and self._in_body and exc is None:
            try:
                self._finish()
            except MemoryError:
                self._abort_for_shortage()
        else:
            self._fail("connection lost" if exc is None else f"{type(exc).__name__}")
        self._discard()

    def data_received(self, data: bytes) -> None:
        """Parse a response; close the connection on data outside an exchange."""
        if self._waiter is None or self._waiter.done():
            self.close()
            return
        start = 0
        while start < len(data):
            if self._waiter.done():
                # Nothing may follow a response, and nothing is read after a failure.
                self._reusable = False
                return
            end = start + (BODY_SLICE_BYTES if self._in_body else HEAD_SLICE_BYTES)
            self._parse(data[start:end])
            start = end

    def _parse(self, data: bytes) -> None:
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except MemoryError:
            self._abort_for_shortage()
            return
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # The parser wraps the errors of the callbacks that store the response.
            if isinstance(error.__context__, MemoryError):
                self._abort_for_shortage()
            else:
                self._abort("malformed response")
            return
        self._update_account()
        if self._exceeds_limit():
            self._abort("response exceeds its limit")
        elif self._memory.refuses(self._counted_bytes):
            self._abort_for_shortage()

    def _exceeds_limit(self) -> bool:
        overhead_bytes = self._received_bytes - self._exchange_body_bytes
        return (
            len(self._body) > MAX_BODY_BYTES
            or overhead_bytes
            > MAX_OVERHEAD_BYTES
            + MAX_OVERHEAD_PER_BODY_BYTE * self._exchange_body_bytes
            or self._skipped > MAX_SKIPPED_RESPONSES
        )

    def _abort_for_shortage(self) -> None:
        self._abort("own shortage: memory", FailureCause.OWN_SHORTAGE)

    def _abort(self, reason: str, cause: FailureCause = FailureCause.OTHER) -> None:
        self._reusable = False
        self._fail(reason, cause)
        self._discard()
        if self._transport is not None:
            self._transport.abort()

    def on_message_begin(self) -> None:
        """Start a response; an unexpected one makes the connection unusable."""
        if self._waiter is None or self._waiter.done():
            self._reusable = False
        self._reset_message()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        if self._in_body:
            # Trailers are no part of the response that is passed on.
            return
        self._head_bytes += len(name) + len(value)
        name = name.lower()
        self._headers.append((name, value))
        if name in LENGTH_HEADERS:
            self._has_length = True

    def on_headers_complete(self) -> None:
        """Determine how the body is delimited.

        :raises ValueError: if the status is in no class, which ends the exchange
        """
        self._status = self._parser.get_status_code()
        if self._status < LOWEST_STATUS:
            raise ValueError(f"status {self._status:03}")
        self._in_body = True
        self._until_eof = not self._has_length and self._status not in (204, 304)

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        self._body += body
        self._exchange_body_bytes += len(body)

    def on_message_complete(self) -> None:
        """Complete the exchange, unless the response is informational (1xx)."""
        if self._status < 200:
            return
        if not self._parser.should_keep_alive():
            self._reusable = False
        self._finish()

    def _finish(self) -> None:
        self._in_body = False
        if self._waiter is None or self._waiter.done():
            return
        response = Response(self._status, self._headers, without_copy(self._body))
        self._discard()
        if self._accept is not None and not self._accept(response):
            # A response to an earlier request. Waits for the next one, but does not
            # reuse the connection.
            self._reusable = False
            self._skipped += 1
            if self._transport is None or self._transport.is_closing():
                self._fail("connection lost")
            return
        self._waiter.set_result(response)

    def _fail(self, reason: str, cause: FailureCause = FailureCause.OTHER) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(ExchangeFailure(reason, True, cause))

    async def exchange(
        self,
        data: bytes,
        accept: Callable[[Response], bool] | None = None,
        body: Body = b"",
    ) -> Response | ExchangeFailure:
        """Send a request and return its response.

        :param data: the encoded request, or its head
        :param accept: returns whether a response belongs to the request
        :param body: body that is sent after its head
        """
        if not self.usable:
            return ExchangeFailure("connection closed", sent=False)
        assert self._transport is not None and self._loop is not None
        self._accept = accept
        self._waiter = self._loop.create_future()
        self.requests_sent += 1
        self._received_bytes = self._exchange_body_bytes = self._skipped = 0
        write_message(self._transport, data, body)
        try:
            return await self._waiter
        except asyncio.CancelledError:
            self._reusable = False
            self._transport.abort()
            raise
        finally:
            # An idle connection keeps neither the last request nor its response.
            self._accept = self._waiter = None
            if not self._transport.is_closing():
                # After an early response, part of the request may be unsent. The next
                # request on this connection would be read as its remainder.
                if self._transport.get_write_buffer_size():
                    self._reusable = False
                if not self._reusable:
                    self._transport.close()

    def close(self) -> None:
        """Close the connection."""
        self._reusable = False
        if self._transport is not None:
            self._transport.close()
