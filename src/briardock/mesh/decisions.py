"""Structured decision log: one JSON object per line on standard output.

Lines are buffered and written without blocking. Each event is limited in lines per
second. Lines omitted due to this limit or a full buffer are counted, and the counts
are reported in a later line.
"""

import os
import time
from collections.abc import Callable

import msgspec

# Largest number of lines of one event in a second.
MAX_LINES_PER_EVENT_PER_S = 20
# Buffer size above which lines are omitted while standard output is read slowly.
MAX_BUFFERED_BYTES = 256 * 1024
# Period of flushing the buffer, s.
FLUSH_PERIOD_S = 0.2


def _write_stdout(data: bytes) -> int:
    try:
        return os.write(1, data)
    except BlockingIOError:
        return 0


class DecisionLog:
    """Bounded writer of structured log lines.

    :param node_id: included in every line
    :param write: writes bytes without blocking and returns the number written
    """

    def __init__(
        self, node_id: str, write: Callable[[bytes], int] = _write_stdout
    ) -> None:
        self._node_id = node_id
        self._write = write
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
        if count > MAX_LINES_PER_EVENT_PER_S or len(self._buffer) > MAX_BUFFERED_BYTES:
            self._omitted[event_name] = self._omitted.get(event_name, 0) + 1
            return
        self._append_line(now, event_name, fields)

    def _start_second(self, second: int) -> None:
        self._current_second = second
        self._counts.clear()
        if self._omitted:
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
        if self._buffer:
            written = self._write(bytes(self._buffer))
            del self._buffer[:written]
