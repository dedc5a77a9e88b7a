"""Publishing: the acceptance rule over log records, and the reader of the log."""

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
# A checkpoint bounds the replay of a fresh node to this many records.
CHECKPOINT_RECORDS = 200
# Retention may be by time, so a quiet log needs a fresh checkpoint too.
CHECKPOINT_PERIOD_MS = 15 * 60_000.0
# Readers wait a random part of this, so that usually one of them appends.
CHECKPOINT_JITTER_MS = 5_000.0


class LogStream(Protocol):
    """The part of the log client that the reader uses."""

    async def append(self, stream: str, body: bytes) -> int | LogFailure:
        """Append a record."""
        ...

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_ms: float = 0.0
    ) -> ReadResult | LogFailure:
        """Read records."""
        ...


async def skip_to_checkpoint(
    log: LogStream, state: ConfigState, first: int, following: int
) -> bool:
    """Restore a fresh state from the latest checkpoint, to spare a long replay.

    :param log: client of the log
    :param state: state without any version
    :param first: oldest offset that can be read
    :param following: offset where to stop
    :returns: whether a checkpoint was restored
    """
    latest: tuple[Checkpoint, int] | None = None
    offset = first
    while offset < following:
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
    """Follows the log and applies its records to the state of this node.

    :param log: client of the log
    :param state: state of this node
    :param on_accepted: called with the delta of each new version
    :param clock: monotonic clock
    :param rng: random source of jitter
    :param poll_ms: longest time between two reads
    :param is_chosen: whether this node is one of the readers of its domain
    """

    def __init__(
        self,
        log: LogStream,
        state: ConfigState,
        on_accepted: Callable[[bytes], None],
        clock: Clock,
        rng: random.Random,
        poll_ms: float,
        is_chosen: Callable[[], bool],
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
        self._is_chosen = is_chosen
        self._failure_count = 0
        self._first = 0
        self._next = 0
        self._checkpoint_seen_ms = clock.now_ms()
        self._checkpoint_at_ms: float | None = None
        self._may_skip = True
        self._limit = READ_RECORDS

    async def run(self) -> None:
        """Follow the log until cancelled."""
        while True:
            if not self._is_chosen():
                await anyio.sleep(self._poll_ms / 1000)
                continue
            pause_ms = await self.step()
            await anyio.sleep(pause_ms / 1000)

    async def step(self) -> float:
        """Read once, append a checkpoint when due, and return the pause in ms."""
        started_ms = self._clock.now_ms()
        before = self._state.next_offset
        result = await self._log.read(STREAM, before, self._limit, self._poll_ms)
        if isinstance(result, LogFailure):
            if result.kind is FailureKind.BAD_ANSWER:
                # The records may be too large together for one answer.
                self._limit = max(1, self._limit // 4)
            return self._note_failure(result)
        self._note_success()
        await self._apply(result)
        if not self.caught_up:
            return 0.0 if result.records else self._poll_ms
        self._limit = READ_RECORDS
        if self._state.is_incomplete:
            return self._poll_ms
        await self._append_checkpoint_if_due()
        if result.records:
            return 0.0
        # The service normally waits for a record; this bounds the rate if not.
        return max(0.0, self._poll_ms - (self._clock.now_ms() - started_ms))

    async def _apply(self, result: ReadResult) -> None:
        """Apply the records of one read."""
        state = self._state
        self._first, self._next = result.first, result.next
        state.observe_log(result.first, result.next)
        if await self._skip(result):
            return
        checkpoint_before = state.checkpoint_offset
        for record in result.records:
            was_incomplete = state.is_incomplete
            outcome = state.apply(record.offset, record.body)
            if isinstance(outcome, Accepted):
                self._on_accepted(outcome.delta)
            if was_incomplete and not state.is_incomplete:
                # The records between the checkpoint and here are read again.
                break
            await anyio.sleep(0)
        if state.checkpoint_offset != checkpoint_before:
            self._checkpoint_seen_ms = self._clock.now_ms()
        self.caught_up = state.next_offset >= result.next

    async def _skip(self, result: ReadResult) -> bool:
        """Replace a long replay by a checkpoint, once, and return whether done."""
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

    def _note_success(self) -> None:
        """Record that the log answers."""
        if not self.reachable:
            emit(Event.CONFIG_LOG_REACHABLE, applied=self._state.last_offset)
        self.reachable = True
        self.last_failure = ""
        self._failure_count = 0

    def _note_failure(self, failure: LogFailure) -> float:
        """Record that the log does not answer and return the pause in ms."""
        if self.reachable or not self._failure_count:
            emit(Event.CONFIG_LOG_UNREACHABLE, kind=failure.kind, detail=failure.detail)
        self.reachable = False
        self.last_failure = failure.detail
        doublings = min(self._failure_count, MAX_BACKOFF_DOUBLINGS)
        self._failure_count += 1
        pause_ms = min(MAX_BACKOFF_MS, self._poll_ms * 2**doublings)
        return pause_ms * self._rng.uniform(0.5, 1.0)

    async def _append_checkpoint_if_due(self) -> None:
        """Append a checkpoint when due for a random time."""
        now_ms = self._clock.now_ms()
        if not self._is_checkpoint_due(now_ms):
            self._checkpoint_at_ms = None
            return
        if self._checkpoint_at_ms is None:
            delay_ms = self._rng.uniform(0, CHECKPOINT_JITTER_MS)
            self._checkpoint_at_ms = now_ms + delay_ms
        if now_ms < self._checkpoint_at_ms:
            return
        self._checkpoint_at_ms = now_ms + CHECKPOINT_JITTER_MS
        body = encode_record(self._state.checkpoint())
        result = await self._log.append(STREAM, body)
        if isinstance(result, LogFailure):
            emit(Event.CONFIG_CHECKPOINT_FAILED, detail=result.detail)

    def _is_checkpoint_due(self, now_ms: float) -> bool:
        """Return whether the log needs a newer checkpoint."""
        state = self._state
        if state.version == NO_VERSION or state.log_restarted:
            return False
        seen = state.checkpoint_offset
        if self._next - 1 - seen >= CHECKPOINT_RECORDS:
            return True
        trimming = self._first > 0
        if trimming and seen < (self._first + self._next) // 2:
            return True
        return now_ms - self._checkpoint_seen_ms >= CHECKPOINT_PERIOD_MS


def make_config_reader(
    log: LogStream,
    state: ConfigState,
    on_accepted: Callable[[bytes], None],
    clock: Clock,
    rng: random.Random,
    poll_ms: float = 500.0,
    is_chosen: Callable[[], bool] = lambda: True,
) -> ConfigReader:
    """Return a reader of the log; its ``run`` is one task of the node.

    :param log: client of the log
    :param state: state of this node
    :param on_accepted: called with the delta of each new version
    :param clock: monotonic clock
    :param rng: random source of jitter
    :param poll_ms: longest time between two reads
    :param is_chosen: whether this node is one of the readers of its domain
    """
    return ConfigReader(log, state, on_accepted, clock, rng, poll_ms, is_chosen)
