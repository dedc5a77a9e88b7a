"""Response bytes that clients have not read yet."""

import asyncio
from collections.abc import Iterable
from typing import Protocol

from briardock.mesh.memory import MemoryAccount

# Share of the account that the unread responses of a listener may take up. The rest is
# for requests.
MAX_SHARE = 0.5
# Size of the unsent bytes that is not counted. Ordinary responses are smaller.
UNCOUNTED_BYTES = 64 * 1024


class UnreadResponses:
    """Bytes of the responses on one connection that its client has not read."""

    def __init__(self) -> None:
        self._transport: asyncio.WriteTransport | None = None
        self._unread_bytes = 0
        # Size of the responses of which something is unread: what was sent of them is
        # not released before the rest.
        self._held_bytes = 0
        # Time of the last progress while too many bytes are unread.
        self.blocked_since_s: float | None = None
        self._drained: asyncio.Future[None] | None = None

    def start(self, transport: asyncio.WriteTransport) -> None:
        """Use a transport.

        :param transport: transport of the connection
        """
        self._transport = transport

    @property
    def size_bytes(self) -> int:
        """Bytes that were not handed to the kernel yet."""
        return self._transport.get_write_buffer_size() if self._transport else 0

    @property
    def counted_bytes(self) -> int:
        """Memory that counts for them in the account of the process."""
        return self._held_bytes if self._unread_bytes > UNCOUNTED_BYTES else 0

    def add(self, response_bytes: int, now: float) -> None:
        """Add a response that was written but not handed to the kernel completely.

        :param response_bytes: size of its body
        :param now: current time in s since boot
        """
        self._held_bytes += response_bytes
        self.update(now)

    def update(self, now: float) -> None:
        """Note whether the client has read something.

        :param now: current time in s since boot
        """
        size_bytes = self.size_bytes
        if not size_bytes:
            self._held_bytes = 0
        if size_bytes != self._unread_bytes:
            self._unread_bytes = size_bytes
            if self.blocked_since_s is not None:
                self.blocked_since_s = now

    def pause(self, now: float) -> None:
        """Note that too many bytes are unread.

        :param now: current time in s since boot
        """
        self.blocked_since_s = now

    def resume(self) -> None:
        """Note that few bytes are unread."""
        self.blocked_since_s = None
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)

    async def wait_until_few(self) -> None:
        """Wait while too many bytes are unread."""
        if self.blocked_since_s is not None:
            self._drained = asyncio.get_running_loop().create_future()
            await self._drained

    def is_blocked(self, now: float, timeout_s: float) -> bool:
        """Return whether the client has read nothing for a time.

        :param now: current time in s since boot
        :param timeout_s: the time
        """
        self.update(now)
        return self.blocked_since_s is not None and now - self.blocked_since_s > (
            timeout_s
        )


class Connection(Protocol):
    """Connection whose responses may be unread."""

    unread: UnreadResponses

    def update_unread(self, now: float) -> None:
        """Count its unread bytes in the account."""
        ...

    def abort(self) -> None:
        """Close the connection and give up what it holds."""
        ...


def close_unread(
    connections: Iterable[Connection], memory: MemoryAccount, now: float
) -> int:
    """Close connections whose clients do not read until the others take up their share.

    Those without progress for longest are closed first, so that clients which read keep
    theirs. Return the number of connections closed.

    :param connections: connections of a listener
    :param memory: account of the process
    :param now: current time in s since boot
    """
    blocked = []
    unread_bytes = 0
    for connection in connections:
        connection.update_unread(now)
        since_s = connection.unread.blocked_since_s
        if since_s is not None and connection.unread.counted_bytes:
            blocked.append((since_s, connection))
            unread_bytes += connection.unread.counted_bytes
    blocked.sort(key=lambda item: item[0])
    closed = 0
    for _, connection in blocked:
        if unread_bytes <= MAX_SHARE * memory.limit_bytes:
            break
        unread_bytes -= connection.unread.counted_bytes
        connection.abort()
        closed += 1
    return closed
