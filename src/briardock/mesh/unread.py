"""Response bytes that clients have not read yet."""

import asyncio

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
