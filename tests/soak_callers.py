"""Callers of the soak: connections with pipelined requests, and what became of each."""

import asyncio
import time
from collections import deque
from dataclasses import dataclass
from typing import cast

import httptools

from briardock.mesh.http1 import encode_request
from briardock.mesh.model import split_address
from soak_checks import ONCE_BODY, RequestOutcome
from soak_machines import Machine

CONNECT_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request of a caller.

    :param request_id: its id, which ends its path
    :param prefix: path before the id
    :param once: whether it must run at most once
    :param timeout_s: deadline that it names, s
    :param leaves_after_s: time after which the caller closes the connection, s
    :param key: key of an account, empty for none
    """

    request_id: str
    prefix: str
    once: bool
    timeout_s: float
    leaves_after_s: float
    key: str = ""

    def encode(self) -> bytes:
        headers = [
            (b"host", b"a.example"),
            (b"request-id", self.request_id.encode()),
            (b"deadline-ms", b"%d" % (self.timeout_s * 1000)),
        ]
        if self.key:
            headers.append((b"authorization", f"Bearer {self.key}".encode()))
        method, body = (b"POST", ONCE_BODY) if self.once else (b"GET", b"")
        path = f"{self.prefix}{self.request_id}".encode()
        return encode_request(method, path, headers, body)


class CallerConnection(asyncio.Protocol):
    """A connection of a caller, which reads responses in the order of its requests.

    :param obeys_close: whether it is closed when a response says so, instead of being
        used until the other side closes it
    """

    def __init__(self, obeys_close: bool = True) -> None:
        self._obeys_close = obeys_close
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        # For each request without a response, a future of status and body.
        self._waiting: deque[asyncio.Future[tuple[int, bytes]]] = deque()
        self._body = bytearray()
        self.closed_s: float | None = None
        # Whether this side closed the connection.
        self.left = False

    @property
    def usable(self) -> bool:
        return self._transport is not None and self.closed_s is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports do not derive from those of asyncio.
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._end()

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()

    def on_message_begin(self) -> None:
        self._body.clear()

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status < 200:
            return
        while self._waiting:
            future = self._waiting.popleft()
            if not future.done():
                future.set_result((status, bytes(self._body)))
            break
        if not self._parser.should_keep_alive():
            if self._obeys_close:
                self._close_transport()
            # The former parser reads nothing after such a response.
            self._parser = httptools.HttpResponseParser(self)

    def close(self) -> None:
        """Close the connection; its other requests end without a response."""
        if self.closed_s is None:
            self.left = True
        self._close_transport()

    def _close_transport(self) -> None:
        if self._transport is not None:
            self._transport.close()
        self._end()

    def _end(self) -> None:
        if self.closed_s is None:
            self.closed_s = time.time()
        while self._waiting:
            future = self._waiting.popleft()
            if not future.done():
                future.set_result((0, b""))

    async def exchange(
        self, machine: Machine, request: CallerRequest
    ) -> RequestOutcome:
        """Send a request at once, and return what became of it.

        :param machine: machine at which this connection enters
        :param request: request to send
        """
        assert self._transport is not None
        sent_s, sent_monotonic_s = time.time(), time.monotonic()
        future = asyncio.get_running_loop().create_future()
        if self.usable:
            self._waiting.append(future)
            self._transport.write(request.encode())
        else:
            future.set_result((0, b""))
        status, body = 0, b""
        has_left = False
        try:
            async with asyncio.timeout(request.leaves_after_s):
                status, body = await future
        except TimeoutError:
            has_left = True
            self.close()
        return RequestOutcome(
            request.request_id,
            request.once,
            machine.name,
            status,
            body,
            time.monotonic() - sent_monotonic_s,
            sent_s,
            request.timeout_s,
            None if status else self.closed_s,
            not status and (has_left or self.left),
            request.key,
        )


async def connect(
    machine: Machine, obeys_close: bool = True
) -> CallerConnection | None:
    """Connect to the node of a machine; return ``None`` if it does not accept.

    :param machine: machine of the node
    :param obeys_close: see :class:`CallerConnection`
    """
    host, port = split_address(machine.caller_address)
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(
                lambda: CallerConnection(obeys_close), host, port
            )
    except (OSError, TimeoutError):
        return None
    return connection
