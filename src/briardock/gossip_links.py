"""ZeroMQ sockets of gossip: one ROUTER for incoming, DEALERs for outgoing connections.

The number of open DEALER sockets is bounded; beyond it, the least recently used ones
are closed. Sends never wait: a message for a full or closed socket is dropped.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import anyio.abc
import zmq
import zmq.asyncio

from briardock.clock import Clock
from briardock.metrics import Metrics

CONNECT_TIMEOUT_MS = 3_000
RECONNECT_DELAY_MS = 500
MAX_RECONNECT_DELAY_MS = 4_000
# zmq silently closes the connection on a message above its own limit. That limit is
# this many times ours, so that moderately oversized messages are counted.
ZMQ_LIMIT_FACTOR = 4
# A connection that has not completed the zmq handshake by then is closed.
HANDSHAKE_TIMEOUT_MS = 2_000
KEEPALIVE_IDLE_S = 60
KEEPALIVE_INTERVAL_S = 15
KEEPALIVE_COUNT = 4
# A burst of pushes may open this many times the usual maximum of sockets.
BURST_FACTOR = 4


@dataclass(frozen=True, slots=True)
class Address:
    """Numeric host and TCP port of a gossip socket."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Addresses and limits of the sockets.

    :param host: numeric address to bind to
    :param port: TCP port to bind to
    :param source_host: local address of outgoing connections, empty for any
    :param max_open_sockets: bound on the DEALER sockets kept open
    :param min_open_ms: a socket open for a shorter time is not closed to open another,
        since its message may still wait for the connection
    :param max_message_bytes: larger received messages are dropped
    :param queue_messages: high-water mark of each socket
    """

    host: str
    port: int
    source_host: str = ""
    max_open_sockets: int = 8
    min_open_ms: float = 2_000.0
    max_message_bytes: int = 256 * 1024
    queue_messages: int = 64


@dataclass(slots=True)
class _Peer:
    socket: zmq.asyncio.Socket
    opened_ms: float
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)


@dataclass(frozen=True, slots=True)
class Route:
    """Connection that a message came from, to respond on it.

    :param identity: routing id on the ROUTER, or ``None``
    :param address: address of the DEALER, or ``None``
    """

    identity: bytes | None = None
    address: Address | None = None


DataHandler = Callable[[bytes, Route], None]


class GossipLinks:
    """Bounded set of sockets to other nodes.

    :param settings: addresses and limits
    :param clock: time source
    :param metrics: counters
    :param on_data: called with each received message
    :param context: zmq context
    """

    def __init__(
        self,
        settings: LinkSettings,
        clock: Clock,
        metrics: Metrics,
        on_data: DataHandler,
        context: zmq.asyncio.Context,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._on_data = on_data
        self._context = context
        self._peers: OrderedDict[Address, _Peer] = OrderedDict()
        self._router: zmq.asyncio.Socket | None = None
        self._tasks: anyio.abc.TaskGroup | None = None

    @property
    def open_count(self) -> int:
        """Number of open DEALER sockets."""
        return len(self._peers)

    def bind(self) -> None:
        """Bind the ROUTER.

        :raises zmq.ZMQError: if the address is in use or not local
        """
        router = self._context.socket(zmq.ROUTER)
        self._set_options(router)
        router.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
        router.setsockopt(zmq.TCP_KEEPALIVE, 1)
        router.setsockopt(zmq.TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_S)
        router.setsockopt(zmq.TCP_KEEPALIVE_INTVL, KEEPALIVE_INTERVAL_S)
        router.setsockopt(zmq.TCP_KEEPALIVE_CNT, KEEPALIVE_COUNT)
        try:
            router.bind(f"tcp://{self._settings.host}:{self._settings.port}")
        except zmq.ZMQError:
            router.close(0)
            raise
        self._router = router

    async def run(self, task_group: anyio.abc.TaskGroup) -> None:
        """Receive on the ROUTER until cancelled, then close all sockets.

        :param task_group: runs one receiving task per DEALER
        """
        if self._router is None:
            self.bind()
        assert self._router is not None
        self._tasks = task_group
        try:
            await self._receive_router(self._router)
        finally:
            self._tasks = None
            self._router.close(0)
            self._router = None
            for address in list(self._peers):
                self.close(address)

    def send(self, address: Address, data: bytes) -> bool:
        """Send to an address without waiting.

        :returns: whether the message was queued
        """
        if self._tasks is None:
            return self._count_drop()
        peer = self._peers.get(address) or self._open(address)
        if peer is None:
            return self._count_drop()
        self._peers.move_to_end(address)
        return self._submit(peer.socket, [data])

    def send_on_route(self, route: Route, data: bytes) -> bool:
        """Send on the connection a message came from, without waiting."""
        if route.identity is not None and self._router is not None:
            return self._submit(self._router, [route.identity, data])
        if route.address is not None:
            return self.send(route.address, data)
        return self._count_drop()

    def close(self, address: Address) -> None:
        """Close the socket to an address, if it is open."""
        peer = self._peers.pop(address, None)
        if peer is None:
            return
        peer.scope.cancel()
        peer.socket.close(0)

    def _open(self, address: Address) -> _Peer | None:
        self._evict()
        socket = self._context.socket(zmq.DEALER)
        self._set_options(socket)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_DELAY_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_DELAY_MS)
        source = self._settings.source_host
        prefix = f"{source}:0;" if source else ""
        try:
            socket.connect(f"tcp://{prefix}{address.host}:{address.port}")
        except zmq.ZMQError:
            socket.close(0)
            return None
        self._metrics.count("gossip.opened_sockets")
        peer = _Peer(socket, self._clock.now_ms())
        self._peers[address] = peer
        assert self._tasks is not None
        self._tasks.start_soon(self._receive_dealer, peer, Route(address=address))
        return peer

    def _evict(self) -> None:
        """Close the least recently used sockets, recent ones only in a burst."""
        excess_count = len(self._peers) + 1 - self._settings.max_open_sockets
        if excess_count <= 0:
            return
        opened_before_ms = self._clock.now_ms() - self._settings.min_open_ms
        closable = [
            a for a, p in self._peers.items() if p.opened_ms <= opened_before_ms
        ]
        if len(self._peers) >= BURST_FACTOR * self._settings.max_open_sockets:
            closable = list(self._peers)
        for address in closable[:excess_count]:
            self.close(address)

    def _set_options(self, socket: zmq.asyncio.Socket) -> None:
        settings = self._settings
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, settings.queue_messages)
        socket.setsockopt(zmq.RCVHWM, settings.queue_messages)
        socket.setsockopt(zmq.MAXMSGSIZE, ZMQ_LIMIT_FACTOR * settings.max_message_bytes)

    def _submit(self, socket: zmq.asyncio.Socket, frames: list[bytes]) -> bool:
        sent: Any = socket.send_multipart(frames, flags=zmq.NOBLOCK)
        future: asyncio.Future[None] = sent
        if not future.done() or future.exception() is not None:
            return self._count_drop()
        self._metrics.count("gossip.sent_messages")
        self._metrics.count("gossip.sent_bytes", len(frames[-1]))
        return True

    def _count_drop(self) -> bool:
        self._metrics.count("gossip.dropped_sends")
        return False

    async def _receive_router(self, router: zmq.asyncio.Socket) -> None:
        while True:
            frames = await router.recv_multipart()
            if len(frames) != 2:
                self._metrics.count("gossip.bad_messages")
                continue
            self._on_message(frames[1], Route(identity=frames[0]))

    async def _receive_dealer(self, peer: _Peer, route: Route) -> None:
        with peer.scope:
            while not peer.socket.closed:
                frames = await peer.socket.recv_multipart()
                if len(frames) != 1:
                    self._metrics.count("gossip.bad_messages")
                    continue
                self._on_message(frames[0], route)

    def _on_message(self, data: bytes, route: Route) -> None:
        self._metrics.count("gossip.received_messages")
        self._metrics.count("gossip.received_bytes", len(data))
        if len(data) > self._settings.max_message_bytes:
            self._metrics.count("gossip.oversized_messages")
            return
        self._on_data(data, route)
