"""Numbered log events; the catalogue is docs/events.md.

Records pass through a bounded queue to a writer thread, so that a slow log
device never blocks a call. Records beyond the bound are dropped and counted.
"""

import enum
import queue
import sys
import threading
from dataclasses import dataclass
from typing import TextIO

import logbook

QUEUE_RECORDS = 2_000


@dataclass(frozen=True, slots=True)
class EventInfo:
    """Number, severity and text of one kind of event.

    :param number: stable number, never reused
    :param severity: logbook level name
    :param text: message without its fields
    """

    number: int
    severity: str
    text: str


class Event(enum.Enum):
    """All events; 1xx call path, 2xx overload, 3xx membership, 4xx configuration.

    5xx are events of the process itself.
    """

    NODE_STARTED = EventInfo(500, "INFO", "node started")
    NODE_STOPPED = EventInfo(501, "INFO", "node stopped")
    DRAIN_STARTED = EventInfo(502, "INFO", "drain started; no new work is accepted")
    DRAIN_FINISHED = EventInfo(503, "INFO", "drain finished; nothing is in flight")
    INTERNAL_ERROR = EventInfo(504, "ERROR", "unexpected error in a handler")
    TASK_RESTARTED = EventInfo(505, "WARNING", "background task failed; restarting")
    PAUSE_DETECTED = EventInfo(506, "WARNING", "process was paused")
    INSTANCE_EJECTED = EventInfo(200, "WARNING", "instance ejected from routing")
    OVERLOAD_BEGAN = EventInfo(201, "WARNING", "target overloaded; refusing by level")
    OVERLOAD_ENDED = EventInfo(202, "INFO", "target admits all levels again")


class _QueueHandler(logbook.Handler):
    """Handler that hands formatted records to a writer thread."""

    def __init__(self, stream: TextIO, level: str) -> None:
        super().__init__(level=logbook.lookup_level(level))
        self.dropped_count = 0
        self._stream = stream
        self._lines: queue.Queue[str] = queue.Queue(QUEUE_RECORDS)
        threading.Thread(target=self._write_lines, daemon=True).start()

    def emit(self, record: logbook.LogRecord) -> None:
        line = f"{record.time.isoformat()} {record.level_name} {record.message}\n"
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self.dropped_count += 1

    def _write_lines(self) -> None:
        while True:
            line = self._lines.get()
            try:
                self._stream.write(line)
                self._stream.flush()
            except (OSError, ValueError):
                self.dropped_count += 1


_logger = logbook.Logger("briardock")


def start_logging(level: str = "INFO", stream: TextIO | None = None) -> None:
    """Send events of this process to a stream.

    :param level: lowest severity that is written
    :param stream: defaults to standard error
    """
    _QueueHandler(stream or sys.stderr, level).push_application()


def emit(event: Event, **fields: object) -> None:
    """Log one event with its fields.

    :param event: kind of event
    :param fields: values in the order given
    """
    info = event.value
    shown = " ".join(f"{name}={value}" for name, value in fields.items())
    level = logbook.lookup_level(info.severity)
    _logger.log(level, f"E{info.number} {info.text} {shown}".rstrip())
