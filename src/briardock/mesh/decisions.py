"""Structured decision log: one JSON object per line on standard output.

Lines are buffered and written without blocking. Each event is limited in lines per
second. Lines omitted due to this limit or a full buffer are counted, and the counts
are reported in a later line.
"""

import os
import select
import stat
import time
from collections.abc import Callable

import msgspec

# Largest number of lines of one event in a second.
MAX_LINES_PER_EVENT_PER_S = 20
# Buffer size above which lines are omitted while standard output is read slowly.
MAX_BUFFERED_BYTES = 256 * 1024
# Period of flushing the buffer, s.
FLUSH_PERIOD_S = 0.2


def _open_without_blocking(descriptor: int) -> int:
    """Return a descriptor of the same pipe that does not block, or the given one.

    The given one may be shared with other processes, which would get its flags, too.
    """
    try:
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            flags = os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC
            return os.open(f"/proc/self/fd/{descriptor}", flags)
    except OSError:
        pass
    return descriptor


class OutputWriter:
    """Writes to a descriptor as much as it accepts without blocking.

    :param descriptor: open descriptor, standard output by default
    """

    def __init__(self, descriptor: int = 1) -> None:
        self._descriptor = _open_without_blocking(descriptor)
        self._poll = select.poll()
        self._poll.register(self._descriptor, select.POLLOUT)

    def __call__(self, data: bytes) -> int:
        """Return the number of bytes written, 0 if the output is full or has failed.

        :param data: bytes to write
        """
        written = 0
        try:
            # A pipe that is ready accepts this many bytes without blocking.
            while written < len(data) and self._poll.poll(0):
                part = data[written : written + select.PIPE_BUF]
                written += os.write(self._descriptor, part)
        except OSError:
            # Full, or its reader has left. The log must not end the node.
            pass
        return written


class DecisionLog:
    """Bounded writer of structured log lines.

    :param node_id: included in every line
    :param write: writes bytes without blocking and returns the number written; by
        default to standard output
    """

    def __init__(
        self, node_id: str, write: Callable[[bytes], int] | None = None
    ) -> None:
        self._node_id = node_id
        self._write = write or OutputWriter()
        self._encoder = msgspec.json.Encoder()
        self._buffer = bytearray()
        self._counts: dict[str, int] = {}
        self._omitted: dict[str, int] = {}
        self._current_second = 0

    def event(self, event_name: str, **fields: object) -> None:
        """Append a line unless its event has reached its limit for this second.

        :param event_name: name of the event, listed in docs/OPERATIONS.md
        :param fields: request id, inputs and outcome of the decision
        """
        now = time.time()
        if int(now) != self._current_second:
            self._start_second(int(now))
        count = self._counts.get(event_name, 0) + 1
        self._counts[event_name] = count
        if count > MAX_LINES_PER_EVENT_PER_S or not self._has_room:
            self._omitted[event_name] = self._omitted.get(event_name, 0) + 1
            return
        self._append_line(now, event_name, fields)

    @property
    def _has_room(self) -> bool:
        return len(self._buffer) <= MAX_BUFFERED_BYTES

    def _start_second(self, second: int) -> None:
        self._current_second = second
        self._counts.clear()
        if self._omitted and self._has_room:
            omitted, self._omitted = self._omitted, {}
            self._append_line(time.time(), "lines-omitted", {"count_by_event": omitted})

    def _append_line(
        self, now: float, event_name: str, fields: dict[str, object]
    ) -> None:
        line = {
            "at": round(now, 3),
            "node": self._node_id,
            "event": event_name,
            **fields,
        }
        self._buffer += self._encoder.encode(line) + b"\n"

    def flush(self) -> None:
        """Write as much of the buffer as standard output accepts now."""
        self._write_buffer()
        second = int(time.time())
        if self._omitted and second != self._current_second:
            # No event may come that would tell of the omitted lines.
            self._start_second(second)
            self._write_buffer()

    def _write_buffer(self) -> None:
        if self._buffer:
            written = self._write(bytes(self._buffer))
            del self._buffer[:written]
