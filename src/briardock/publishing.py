"""Reader of the configuration log, and the public names of publishing."""

import random
from collections.abc import Callable
from typing import Protocol

import anyio

from briardock._changes import Accepted, Applied, Behind, Ignored, Rejected, Stale
from briardock._configstate import ConfigState, make_config_state
from briardock._records import (
    ABSENT,
    NO_VERSION,
    STREAM,
    ChangeResult,
    Checkpoint,
    Publish,
    decode_record,
    encode_record,
)
from briardock.clock import Clock
from briardock.events import Event, emit
from briardock.platformlog import FailureKind, LogFailure, ReadResult

__all__ = [
    "ABSENT",
    "NO_VERSION",
    "STREAM",
    "Accepted",
    "Applied",
    "Behind",
    "ChangeResult",
    "Checkpoint",
    "ConfigReader",
    "ConfigState",
    "Ignored",
    "Publish",
    "Rejected",
    "Stale",
    "encode_record",
    "make_config_reader",
    "make_config_state",
    "skip_to_checkpoint",
]

READ_RECORDS = 100
MAX_BACKOFF_MS = 5_000.0
MAX_BACKOFF_DOUBLINGS = 10
# A checkpoint is appended after this many records, which bounds the replay of a new
# node.
CHECKPOINT_RECORDS = 200
# Retention may be limited by time, so an idle log needs a new checkpoint as well.
CHECKPOINT_PERIOD_MS = 15 * 60_000.0
# Each reader waits a random part of this, so that usually only one of them appends.
CHECKPOINT_JITTER_MS = 5_000.0


class LogStream(Protocol):
    """Operations of the log client that the reader uses."""

    async def append(self, stream: str, body: bytes) -> int | LogFailure:
        """Append a record."""
        ...

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_ms: float = 0.0
    ) -> ReadResult | LogFailure:
        """Read records."""
        ...


async def skip_to_checkpoint(
    log: LogStream, state: ConfigState, first: int, end_offset: int
) -> bool:
    """Restore an empty state from the latest checkpoint, to avoid a long replay.

    :param log: client of the log
    :param state: state without any version
    :param first: oldest offset that can be read
    :param end_offset: offset at which to stop
    :returns: whether a checkpoint was restored
    """
    latest: tuple[Checkpoint, int] | None = None
    offset = first
    while offset < end_offset:
        result = await log.read(STREAM, offset, READ_RECORDS)
        if isinstance(result, LogFailure) or not result.records:
            break
        for item in result.records:
            record = decode_record(item.body)
            if isinstance(record, Checkpoint) and first - 1 <= record.as_of:
                latest = (record, item.offset) if record.as_of < item.offset else latest
        offset = result.records[-1].offset + 1
    return latest is not None and state.restore(*latest)


class ConfigReader:
    """Reads the log continuously and applies its records to the local state.

    :param log: client of the log
    :param state: local configuration state
    :param on_accepted: called with the delta of each new version
    :param clock: monotonic clock
    :param rng: random source of jitter
    :param poll_ms: longest wait of a read, and pause after a read without records
    :param should_read: whether this node reads the log now
    """

    def __init__(
        self,
        log: LogStream,
        state: ConfigState,
        on_accepted: Callable[[bytes], None],
        clock: Clock,
        rng: random.Random,
        poll_ms: float,
        should_read: Callable[[], bool],
    ) -> None:
        self.reachable = False
        self.caught_up = False
        self.last_failure = ""
        self._log = log
        self._state = state
        self._on_accepted = on_accepted
        self._clock = clock
        self._rng = rng
        self._poll_ms = poll_ms
        self._should_read = should_read
        self._failure_count = 0
        self._first_offset = 0
        self._end_offset = 0
        self._last_checkpoint_ms = clock.now_ms()
        self._next_checkpoint_ms: float | None = None
        self._may_skip = True
        self._read_limit = READ_RECORDS

    async def run(self) -> None:
        """Read the log until cancelled."""
        while True:
            if not self._should_read():
                await anyio.sleep(self._poll_ms / 1000)
                continue
            pause_ms = await self.step()
            await anyio.sleep(pause_ms / 1000)

    async def step(self) -> float:
        """Read once, append a checkpoint if due, and return the pause in ms."""
        started_ms = self._clock.now_ms()
        from_offset = self._state.next_offset
        result = await self._log.read(
            STREAM, from_offset, self._read_limit, self._poll_ms
        )
        if isinstance(result, LogFailure):
            if result.kind is FailureKind.BAD_ANSWER:
                # The records may exceed the response limit, so request fewer of them.
                self._read_limit = max(1, self._read_limit // 4)
            return self._record_failure(result)
        self._record_success()
        await self._apply(result)
        if not self.caught_up:
            return 0.0 if result.records else self._poll_ms
        self._read_limit = READ_RECORDS
        if self._state.is_incomplete:
            return self._poll_ms
        await self._append_checkpoint_if_due()
        if result.records:
            return 0.0
        # The service normally waits for a record; this limits the rate if it does not.
        return max(0.0, self._poll_ms - (self._clock.now_ms() - started_ms))

    async def _apply(self, result: ReadResult) -> None:
        """Apply the records of one read."""
        state = self._state
        self._first_offset, self._end_offset = result.first, result.next
        state.observe_log(result.first, result.next)
        if await self._skip_replay(result):
            return
        previous_checkpoint_offset = state.checkpoint_offset
        for record in result.records:
            was_incomplete = state.is_incomplete
            outcome = state.apply(record.offset, record.body)
            if isinstance(outcome, Accepted):
                self._on_accepted(outcome.delta)
            if was_incomplete and not state.is_incomplete:
                # Read the records after the checkpoint again: they were skipped.
                break
            await anyio.sleep(0)
        if state.checkpoint_offset != previous_checkpoint_offset:
            self._last_checkpoint_ms = self._clock.now_ms()
        self.caught_up = state.next_offset >= result.next

    async def _skip_replay(self, result: ReadResult) -> bool:
        """Replace a long replay with a checkpoint once; return whether it was done."""
        state = self._state
        backlog = result.next - state.next_offset
        if not self._may_skip or state.version != NO_VERSION:
            return False
        self._may_skip = False
        if backlog <= CHECKPOINT_RECORDS:
            return False
        if not await skip_to_checkpoint(self._log, state, result.first, result.next):
            return False
        self._on_accepted(state.snapshot())
        return True

    def _record_success(self) -> None:
        """Record a successful read."""
        if not self.reachable:
            emit(Event.CONFIG_LOG_REACHABLE, applied=self._state.last_offset)
        self.reachable = True
        self.last_failure = ""
        self._failure_count = 0

    def _record_failure(self, failure: LogFailure) -> float:
        """Record a failed read and return the pause in ms."""
        if self.reachable or not self._failure_count:
            emit(Event.CONFIG_LOG_UNREACHABLE, kind=failure.kind, detail=failure.detail)
        self.reachable = False
        self.last_failure = failure.detail
        doublings = min(self._failure_count, MAX_BACKOFF_DOUBLINGS)
        self._failure_count += 1
        pause_ms = min(MAX_BACKOFF_MS, self._poll_ms * 2**doublings)
        return pause_ms * self._rng.uniform(0.5, 1.0)

    async def _append_checkpoint_if_due(self) -> None:
        """Append a checkpoint if one has been due for a random delay."""
        now_ms = self._clock.now_ms()
        if not self._is_checkpoint_due(now_ms):
            self._next_checkpoint_ms = None
            return
        if self._next_checkpoint_ms is None:
            delay_ms = self._rng.uniform(0, CHECKPOINT_JITTER_MS)
            self._next_checkpoint_ms = now_ms + delay_ms
        if now_ms < self._next_checkpoint_ms:
            return
        self._next_checkpoint_ms = now_ms + CHECKPOINT_JITTER_MS
        body = encode_record(self._state.checkpoint())
        result = await self._log.append(STREAM, body)
        if isinstance(result, LogFailure):
            emit(Event.CONFIG_CHECKPOINT_FAILED, detail=result.detail)

    def _is_checkpoint_due(self, now_ms: float) -> bool:
        """Return whether the log needs a newer checkpoint."""
        state = self._state
        if state.version == NO_VERSION or state.log_restarted:
            return False
        checkpoint_offset = state.checkpoint_offset
        if self._end_offset - 1 - checkpoint_offset >= CHECKPOINT_RECORDS:
            return True
        is_trimming = self._first_offset > 0
        if (
            is_trimming
            and checkpoint_offset < (self._first_offset + self._end_offset) // 2
        ):
            return True
        return now_ms - self._last_checkpoint_ms >= CHECKPOINT_PERIOD_MS


def make_config_reader(
    log: LogStream,
    state: ConfigState,
    on_accepted: Callable[[bytes], None],
    clock: Clock,
    rng: random.Random,
    poll_ms: float = 500.0,
    should_read: Callable[[], bool] = lambda: True,
) -> ConfigReader:
    """Return a log reader, whose ``run`` is a background task of the node.

    :param log: client of the log
    :param state: local configuration state
    :param on_accepted: called with the delta of each new version
    :param clock: monotonic clock
    :param rng: random source of jitter
    :param poll_ms: longest wait of a read, and pause after a read without records
    :param should_read: whether this node reads the log now
    """
    return ConfigReader(log, state, on_accepted, clock, rng, poll_ms, should_read)
