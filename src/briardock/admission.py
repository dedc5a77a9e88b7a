"""Admission of calls to one target: levels, priority queue, refusal threshold."""

import asyncio
import zlib
from collections import deque
from dataclasses import dataclass, field, replace

import anyio

from briardock._holding import HoldingTimes
from briardock._waiting import Waiter, WaitingQueue
from briardock.clock import Clock
from briardock.events import Event, emit
from briardock.limiter import LimiterSettings, make_limiter
from briardock.metrics import Metrics
from briardock.outcomes import NotRun, Reason

LEVELS_PER_CLASS = 128
CLASS_COUNT = 8
MAX_LEVEL = LEVELS_PER_CLASS * CLASS_COUNT - 1
TICK_MS = 10.0
# Lowering sums at least 3 windows, and more while the target is so slow that
# the sum holds too few starts to estimate the capacity.
MIN_HISTORY_WINDOWS = 3
MAX_HISTORY_WINDOWS = 10
HISTORY_STARTS = 50
# Raising moves over levels that had arrivals in this many windows; callers that
# refuse early still send a probing share of the levels above the threshold.
SEEN_WINDOWS = 20
SMALL_STEP_LEVELS = 4
FIRST_STEP_LEVELS = 16
MAX_STEP_LEVELS = 256
# Above this use of the limit the threshold is near its place and moves slowly.
BUSY_SHARE = 0.85
CAPACITY_MARGIN = 1.03
IDLE_WINDOWS = 20
# The threshold moves often at capacity; only a calm period ends an overload.
CALM_WINDOWS = 20


def admission_level(class_rank: int, key: str) -> int:
    """Return the level of an action; a lower level is more important.

    All calls of one action get the same level on every node, because only the
    root part of the key is hashed.

    :param class_rank: rank of the action's class, 0 is the most important
    :param key: action or child key in text form
    """
    rank = min(max(class_rank, 0), CLASS_COUNT - 1)
    root = key.partition("/")[0]
    return rank * LEVELS_PER_CLASS + zlib.crc32(root.encode()) % LEVELS_PER_CLASS


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Settings of the admission to one target.

    :param queue_length: most requests that wait
    :param sojourn_least_ms: longest wait of the least important class in ms
    :param sojourn_most_ms: longest wait of the most important class in ms
    :param window_ms: period of the threshold's moves in ms
    :param overload_wait_ms: mean wait that keeps the threshold from rising in ms
    :param limiter: settings of the concurrency limit
    """

    queue_length: int = 512
    sojourn_least_ms: float = 50.0
    sojourn_most_ms: float = 300.0
    window_ms: float = 100.0
    overload_wait_ms: float = 5.0
    limiter: LimiterSettings = field(default_factory=LimiterSettings)


@dataclass(slots=True, eq=False)
class Ticket:
    """Permission to run one request in the target.

    :param level: admission level
    :param admitted_at_ms: time of admission in ms
    :param in_flight: requests in the target, this one included
    :param operation: full name of the operation
    :param released: whether the slot was given back
    """

    level: int
    admitted_at_ms: float
    in_flight: int
    operation: str = ""
    released: bool = False


@dataclass(slots=True)
class _Window:
    """Counts of one window."""

    started_ms: float
    arrivals: dict[int, int] = field(default_factory=dict)
    started_count: int = 0
    wait_ms: float = 0.0
    lowest_dropped: int = MAX_LEVEL + 1
    queue_emptied: bool = False
    busy_ms: float = 0.0


class Admission:
    """Admission queue and refusal threshold in front of one target.

    :param settings: checked settings
    :param clock: time source
    :param metrics: counters of the process
    """

    def __init__(
        self, settings: AdmissionSettings, clock: Clock, metrics: Metrics
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._limiter = make_limiter(settings.limiter, clock)
        self._queue: WaitingQueue[Ticket | NotRun] = WaitingQueue()
        self._queued_event = anyio.Event()
        self._holding = HoldingTimes()
        self._in_flight = 0
        self._threshold = MAX_LEVEL
        self._step = FIRST_STEP_LEVELS
        self._busy_at_ms = clock.now_ms()
        self._seen: dict[int, int] = {}
        self._windows_count = 0
        self._overloaded_at_window: int | None = None
        self._window = _Window(clock.now_ms(), queue_emptied=True)
        self._history: deque[_Window] = deque(maxlen=MAX_HISTORY_WINDOWS)

    @property
    def in_flight(self) -> int:
        """Requests in the target."""
        return self._in_flight

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return len(self._queue)

    def refusal_level(self) -> int:
        """Return the threshold; levels above it are refused."""
        self._roll_window(self._clock.now_ms())
        return self._threshold

    def load(self) -> float:
        """Return requests running and waiting by the limit; 1.0 is full."""
        return (self._in_flight + len(self._queue)) / self._limiter.limit

    def state(self) -> dict[str, object]:
        """Return the state for a dump."""
        return {
            "in_flight": self._in_flight,
            "queued": len(self._queue),
            "limit": self._limiter.limit,
            "refusal_level": self._threshold,
            "load": round(self.load(), 3),
        }

    def configure(self, settings: AdmissionSettings) -> None:
        """Put other queue bounds in force; requests that wait keep theirs.

        :param settings: new settings; those of the limiter apply to the next target
        """
        self._settings = settings

    def target_started(
        self, cold_start_s: float, slots_hint: int | None = None
    ) -> None:
        """Start again with a cold limit, since another target process took over.

        :param cold_start_s: time until the limit may be used in full
        :param slots_hint: limit to start from, ``None`` for that of the settings
        """
        limiter = replace(self._settings.limiter, cold_start_s=cold_start_s)
        if slots_hint is not None:
            start = max(limiter.min_limit, min(slots_hint, limiter.max_limit))
            limiter = replace(limiter, initial_limit=start)
        self._limiter = make_limiter(limiter, self._clock)

    async def admit(
        self, level: int, deadline_at_ms: float, operation: str = ""
    ) -> Ticket | NotRun:
        """Wait for a slot of the target.

        :param level: admission level
        :param deadline_at_ms: deadline of the request on the injected clock in ms
        :param operation: full name of the operation, by which the service time is
            expected; without it all requests share one expectation
        :returns: a ticket to be released, or why the request is refused
        """
        now_ms = self._clock.now_ms()
        self._roll_window(now_ms)
        level = min(max(level, 0), MAX_LEVEL)
        arrivals = self._window.arrivals
        arrivals[level] = arrivals.get(level, 0) + 1
        if level > self._threshold:
            return self._refuse(Reason.OVERLOADED, "above the refusal level")
        if self._holding.is_doomed(operation, deadline_at_ms - now_ms, now_ms):
            return self._refuse(Reason.DEADLINE_EXCEEDED, "too little time left")
        if not self._queue and self._in_flight < self._limiter.limit:
            return self._start(level, operation, now_ms)
        return await self._wait(level, deadline_at_ms, operation, now_ms)

    def release(self, ticket: Ticket, own_time_ms: float, ok: bool) -> None:
        """Give the slot of a finished request back.

        :param ticket: ticket of the request; a second release has no effect
        :param own_time_ms: time in the target without its child calls in ms
        :param ok: whether the target answered
        """
        if ticket.released:
            return
        ticket.released = True
        now_ms = self._clock.now_ms()
        self._change_in_flight(-1, now_ms)
        self._limiter.observe(own_time_ms, ticket.in_flight, ok)
        if ok:
            holding_ms = now_ms - ticket.admitted_at_ms
            self._holding.record(ticket.operation, holding_ms, now_ms)
        self._dispatch(now_ms)

    async def run(self) -> None:
        """Move windows and expire waiters until cancelled."""
        while True:
            # Windows also move on demand, so an empty queue needs no ticks.
            await self._queued_event.wait()
            await anyio.sleep(TICK_MS / 1000.0)
            now_ms = self._clock.now_ms()
            self._roll_window(now_ms)
            for waiter in self._queue.pop_expired(now_ms):
                self._expire(waiter, now_ms)
            self._dispatch(now_ms)
            if not self._queue:
                self._queued_event = anyio.Event()

    def _refuse(self, reason: Reason, detail: str) -> NotRun:
        self._metrics.count(f"admission.refused.{reason}")
        return NotRun(reason, detail)

    def _change_in_flight(self, step: int, now_ms: float) -> None:
        self._window.busy_ms += self._in_flight * (now_ms - self._busy_at_ms)
        self._busy_at_ms = now_ms
        self._in_flight += step

    def _start(self, level: int, operation: str, now_ms: float) -> Ticket:
        self._change_in_flight(1, now_ms)
        self._window.started_count += 1
        return Ticket(level, now_ms, self._in_flight, operation)

    async def _wait(
        self, level: int, deadline_at_ms: float, operation: str, now_ms: float
    ) -> Ticket | NotRun:
        if len(self._queue) >= self._settings.queue_length:
            displaced = self._queue.pop_less_important(level)
            if displaced is None:
                self._record_drop(level)
                return self._refuse(Reason.OVERLOADED, "admission queue is full")
            self._drop(displaced, "displaced by a more important request")
        latest_ms = deadline_at_ms - self._holding.expected_ms(operation)
        if latest_ms <= now_ms:
            latest_ms = deadline_at_ms
        expires_ms = min(now_ms + self._sojourn_ms(level), latest_ms)
        future = asyncio.get_running_loop().create_future()
        waiter = Waiter(level, operation, now_ms, expires_ms, deadline_at_ms, future)
        key = self._queue.push(waiter)
        self._queued_event.set()
        self._dispatch(now_ms)
        try:
            return await future
        except asyncio.CancelledError:
            self._queue.remove(key)
            self._return_unused(future)
            raise

    def _return_unused(self, future: "asyncio.Future[Ticket | NotRun]") -> None:
        """Free the slot given to a task that was cancelled before it woke."""
        if not future.done() or future.cancelled():
            return
        ticket = future.result()
        if isinstance(ticket, Ticket) and not ticket.released:
            ticket.released = True
            now_ms = self._clock.now_ms()
            self._change_in_flight(-1, now_ms)
            self._dispatch(now_ms)

    def _record_drop(self, level: int) -> None:
        if level < self._window.lowest_dropped:
            self._window.lowest_dropped = level

    def _drop(
        self,
        waiter: Waiter[Ticket | NotRun],
        detail: str,
        reason: Reason = Reason.OVERLOADED,
    ) -> None:
        if not waiter.future.done():
            self._record_drop(waiter.level)
            waiter.future.set_result(self._refuse(reason, detail))

    def _expire(self, waiter: Waiter[Ticket | NotRun], now_ms: float) -> None:
        latest_ms = now_ms + self._holding.expected_ms(waiter.operation)
        if waiter.deadline_at_ms <= latest_ms:
            self._drop(waiter, "too little time left", Reason.DEADLINE_EXCEEDED)
        else:
            self._drop(waiter, "waited too long for a slot")

    def _dispatch(self, now_ms: float) -> None:
        queue = self._queue
        if queue:
            limit = self._limiter.limit
            while queue and self._in_flight < limit:
                self._dispatch_one(queue.pop_first(), now_ms)
        if not queue:
            self._window.queue_emptied = True

    def _dispatch_one(self, waiter: Waiter[Ticket | NotRun], now_ms: float) -> None:
        if waiter.future.done():
            return
        if waiter.expires_ms <= now_ms:
            self._expire(waiter, now_ms)
            return
        self._window.wait_ms += now_ms - waiter.arrived_ms
        ticket = self._start(waiter.level, waiter.operation, now_ms)
        waiter.future.set_result(ticket)

    def _sojourn_ms(self, level: int) -> float:
        settings = self._settings
        share = level / MAX_LEVEL
        most_ms = settings.sojourn_most_ms
        return most_ms + share * (settings.sojourn_least_ms - most_ms)

    def _roll_window(self, now_ms: float) -> None:
        window = self._window
        elapsed_ms = now_ms - window.started_ms
        if elapsed_ms < self._settings.window_ms:
            return
        self._change_in_flight(0, now_ms)
        self._history.append(window)
        self._windows_count += 1
        for level in window.arrivals:
            self._seen[level] = self._windows_count
        if elapsed_ms > IDLE_WINDOWS * self._settings.window_ms:
            # Nothing arrived for long, or the process was paused.
            self._threshold = MAX_LEVEL
        elif window.lowest_dropped <= self._threshold:
            self._lower(window.lowest_dropped)
        elif self._threshold < MAX_LEVEL and not self._has_standing_queue(window):
            self._raise(window.busy_ms / elapsed_ms / self._limiter.limit)
        self._log_overload()
        self._window = _Window(now_ms, queue_emptied=not self._queue)

    def _log_overload(self) -> None:
        last = self._overloaded_at_window
        if self._threshold < MAX_LEVEL:
            if last is None:
                emit(Event.OVERLOAD_BEGAN, refusal_level=self._threshold)
            self._overloaded_at_window = self._windows_count
        elif last is not None and self._windows_count - last >= CALM_WINDOWS:
            emit(Event.OVERLOAD_ENDED)
            self._overloaded_at_window = None

    def _has_standing_queue(self, window: _Window) -> bool:
        if window.queue_emptied or not window.started_count:
            return False
        mean_wait_ms = window.wait_ms / window.started_count
        return mean_wait_ms > self._settings.overload_wait_ms

    def _lower(self, lowest_dropped: int) -> None:
        """Lower the threshold to what the target can start.

        Levels below the lowest one that was dropped found a slot in time, so the
        threshold stays above them even if the counts suggest otherwise.

        :param lowest_dropped: most important level dropped in the window
        """
        self._step = FIRST_STEP_LEVELS
        arrivals: dict[int, int] = {}
        capacity = 0.0
        for count, window in enumerate(reversed(self._history)):
            if count >= MIN_HISTORY_WINDOWS and capacity >= HISTORY_STARTS:
                break
            capacity += window.started_count * CAPACITY_MARGIN
            for level, seen_count in window.arrivals.items():
                arrivals[level] = arrivals.get(level, 0) + seen_count
        total = 0
        for level in sorted(arrivals):
            total += arrivals[level]
            if total > capacity:
                wanted = max(level, lowest_dropped)
                self._threshold = min(self._threshold, wanted)
                return

    def _raise(self, used_share: float) -> None:
        oldest = self._windows_count - SEEN_WINDOWS
        above = [
            level
            for level, window in self._seen.items()
            if level > self._threshold and window > oldest
        ]
        step = SMALL_STEP_LEVELS
        if used_share < BUSY_SHARE:
            step = self._step
            self._step = min(MAX_STEP_LEVELS, self._step * 2)
        if len(above) <= step:
            self._threshold = MAX_LEVEL
            return
        above.sort()
        self._threshold = above[step - 1]


def make_admission(
    settings: AdmissionSettings, clock: Clock, metrics: Metrics
) -> Admission:
    """Return the admission of one target.

    :param settings: checked settings
    :param clock: time source
    :param metrics: counters of the process
    """
    return Admission(settings, clock, metrics)
