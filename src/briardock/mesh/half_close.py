"""Callers that shut down their sending side: whether they still read responses.

The end of what a caller sends looks the same whether it has left or waits for its
response. A socket that is closed altogether answers any further byte with a reset.
"""

import asyncio
import select

# Start of every response, which is sent ahead to find out.
RESPONSE_START = b"HTTP/1.1 "
# Period of the check for a reset, s. A request is passed on after the second check.
RESET_CHECK_PERIOD_S = 0.02


class CallerProbe:
    """Detects that the caller of one connection has left.

    :param transport: transport of the connection, aborted when the caller has left
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._poll = select.poll()
        descriptor = transport.get_extra_info("socket").fileno()
        self._poll.register(descriptor, select.POLLRDHUP)
        # Whether the caller has shut down its sending side, and perhaps left.
        self.is_half_closed = False
        self._has_sent_start = False

    def has_unread_end(self) -> bool:
        """Return whether the caller sends no more, also if that was not read yet."""
        return bool(self._poll.poll(0))

    def start(self) -> None:
        """Probe a caller that sends no more, and go on until the connection ends."""
        if self._transport.is_closing():
            return
        if not self._has_sent_start:
            self._has_sent_start = True
            self._transport.write(RESPONSE_START)
        if not self.is_half_closed:
            self.is_half_closed = True
            self._check_for_reset()

    async def wait_for_reset(self) -> None:
        """Probe a caller that sends no more; wait as long as its reset may take."""
        is_new = not self.is_half_closed
        self.start()
        if is_new:
            await asyncio.sleep(2 * RESET_CHECK_PERIOD_S)

    def _check_for_reset(self) -> None:
        # The event loop does not watch a connection whose end was read.
        if self._transport.is_closing():
            return
        closed = select.POLLERR | select.POLLHUP
        if any(events & closed for _, events in self._poll.poll(0)):
            self._transport.abort()
            return
        loop = asyncio.get_running_loop()
        loop.call_later(RESET_CHECK_PERIOD_S, self._check_for_reset)

    def remaining_head(self, head: bytes) -> bytes:
        """Return a response head without the start, if that was sent ahead.

        :param head: encoded head that is written next
        """
        if not self._has_sent_start:
            return head
        self._has_sent_start = False
        return head.removeprefix(RESPONSE_START)
