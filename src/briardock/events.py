"""Numbered log events; the catalogue is docs/events.md.

Records pass through a bounded queue to a writer thread, so that a slow log device
never blocks a call. Records are dropped and counted while the queue is full.
"""

import enum
import queue
import sys
import threading
from dataclasses import dataclass
from typing import TextIO

import logbook

MAX_QUEUED_RECORDS = 2_000


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
    """All events by number.

    1xx call path, 2xx overload, 3xx membership, 4xx configuration, 5xx process.
    """

    HTTP_REQUEST_REFUSED = EventInfo(100, "WARNING", "listener refused a request")
    HTTP_HANDLER_FAILED = EventInfo(101, "ERROR", "request handler failed")
    ACCEPT_FAILED = EventInfo(102, "ERROR", "accepting a connection failed; retrying")
    PEER_REJECTED = EventInfo(110, "WARNING", "peer connection broke the protocol")
    PEER_LINK_FAILED = EventInfo(111, "WARNING", "link to a peer failed")
    PEER_HANDLER_FAILED = EventInfo(112, "ERROR", "handler of a peer's call failed")
    ANSWER_DROPPED = EventInfo(113, "WARNING", "answer of a peer dropped")
    INSTANCE_EJECTED = EventInfo(200, "WARNING", "instance ejected from routing")
    OVERLOAD_BEGAN = EventInfo(201, "WARNING", "target overloaded; refusing by level")
    OVERLOAD_ENDED = EventInfo(202, "INFO", "target admits all levels again")
    MEMBERS_LEAVING = EventInfo(300, "INFO", "members are leaving")
    MEMBERS_UNREACHABLE = EventInfo(301, "WARNING", "members became unreachable")
    MEMBERS_LEFT = EventInfo(302, "INFO", "members left")
    NODE_SUPERSEDED = EventInfo(
        303, "ERROR", "a later process uses the id of this node; stop one of them"
    )
    GOSSIP_HANDLER_FAILED = EventInfo(304, "ERROR", "gossip message not handled")
    CONFIG_ACCEPTED = EventInfo(400, "INFO", "configuration change accepted")
    CONFIG_REJECTED = EventInfo(401, "WARNING", "configuration change rejected")
    CONFIG_RECORD_IGNORED = EventInfo(402, "WARNING", "log record cannot be decoded")
    CONFIG_LOG_REACHABLE = EventInfo(403, "INFO", "log service answers")
    CONFIG_LOG_UNREACHABLE = EventInfo(
        404, "WARNING", "log service does not answer; the configuration stays in force"
    )
    CONFIG_LOG_RESTARTED = EventInfo(
        405, "ERROR", "log ends before the version in force; keeping that version"
    )
    CONFIG_HISTORY_TRIMMED = EventInfo(
        406, "WARNING", "log records were trimmed; waiting for a checkpoint or a peer"
    )
    CONFIG_RESTORED = EventInfo(407, "INFO", "configuration restored from a checkpoint")
    CONFIG_CHECKPOINT_DAMAGED = EventInfo(
        408, "ERROR", "checkpoint is damaged; ignored"
    )
    CONFIG_CHECKPOINT_MISMATCH = EventInfo(
        409, "ERROR", "checkpoint differs from the state of this node; ignored"
    )
    CONFIG_CHECKPOINT_FAILED = EventInfo(
        410, "WARNING", "checkpoint could not be appended; trying again"
    )
    CONFIG_OLDER_REFUSED = EventInfo(
        411, "ERROR", "older configuration refused; keeping the newer one"
    )
    CONFIG_DELTA_DAMAGED = EventInfo(412, "WARNING", "gossip delta cannot be decoded")
    CONFIG_NOT_INSTALLED = EventInfo(
        413, "ERROR", "configuration of another node does not pass the checks here"
    )
    NODE_STARTED = EventInfo(500, "INFO", "node started")
    NODE_STOPPED = EventInfo(501, "INFO", "node stopped")
    DRAIN_STARTED = EventInfo(502, "INFO", "drain started; no new work is accepted")
    DRAIN_FINISHED = EventInfo(503, "INFO", "drain finished; nothing is in flight")
    TASK_RESTARTED = EventInfo(505, "WARNING", "background task failed; restarting")
    PAUSE_DETECTED = EventInfo(506, "WARNING", "process was paused")
    CONFIG_IN_FORCE = EventInfo(507, "INFO", "a newer configuration is in force")
    TARGET_CHANGED = EventInfo(508, "INFO", "the target beside the node changed")
    TARGET_DIED = EventInfo(509, "WARNING", "the target died with calls in flight")
    DRAIN_TIMED_OUT = EventInfo(510, "WARNING", "drain ended with calls in flight")


class _QueueHandler(logbook.Handler):
    """Passes formatted records to a writer thread."""

    def __init__(self, stream: TextIO, level: str) -> None:
        super().__init__(level=logbook.lookup_level(level))
        self.dropped_count = 0
        self._stream = stream
        self._lines: queue.Queue[str] = queue.Queue(MAX_QUEUED_RECORDS)
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
    field_text = " ".join(f"{name}={value}" for name, value in fields.items())
    level = logbook.lookup_level(info.severity)
    _logger.log(level, f"E{info.number} {info.text} {field_text}".rstrip())
