"""Admission control for one target: priorities, queue and admission threshold."""

import asyncio
import zlib
from collections import deque
from dataclasses import dataclass, field, replace

import anyio

from briardock._priority_queue import PriorityQueue, Waiter
from briardock._service_times import ServiceTimes
from briardock.clock import Clock
from briardock.events import Event, emit
from briardock.limiter import LimiterSettings, make_limiter
from briardock.metrics import Metrics
from briardock.outcomes import NotRun, Reason

PRIORITIES_PER_CLASS = 128
CLASS_COUNT = 8
# Priorities run from 0, the most important, to this one.
LOWEST_PRIORITY = PRIORITIES_PER_CLASS * CLASS_COUNT - 1
QUEUE_CHECK_INTERVAL_MS = 10.0
# Lowering the threshold estimates the capacity from at least 3 windows, and from
# more while the target is so slow that they hold too few admissions.
MIN_HISTORY_WINDOWS = 3
MAX_HISTORY_WINDOWS = 10
MIN_HISTORY_ADMISSIONS = 50
# Each raise of the threshold admits the next priorities that had arrivals within
# this many windows. Callers that refuse early still send a share of the requests
# above the threshold as probes, so these priorities have arrivals too.
RECENT_ARRIVAL_WINDOWS = 20
MIN_STEP_PRIORITIES = 4
INITIAL_STEP_PRIORITIES = 16
MAX_STEP_PRIORITIES = 256
# With more than this share of the limit in use, the threshold is near its
# equilibrium and rises in small steps.
BUSY_SLOT_SHARE = 0.85
CAPACITY_MARGIN = 1.03
IDLE_RESET_WINDOWS = 20
# At capacity the threshold moves often, so an overload is logged as ended only
# after this many windows in which the threshold admits every priority.
OVERLOAD_END_WINDOWS = 20


def request_priority(class_rank: int, key: str) -> int:
    """Return the priority of an action; a lower value is more important.

    All calls of one action get the same priority on every node, because only the
    root part of the key is hashed.

    :param class_rank: rank of the action's class; 0 is the most important
    :param key: action or child key in text form
    """
    rank = min(max(class_rank, 0), CLASS_COUNT - 1)
    root = key.partition("/")[0]
    return (
        rank * PRIORITIES_PER_CLASS + zlib.crc32(root.encode()) % PRIORITIES_PER_CLASS
    )


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Settings of the admission control for one target.

    :param queue_length: maximum number of queued requests
    :param max_wait_least_critical_ms: longest wait of the least important class in ms
    :param max_wait_most_critical_ms: longest wait of the most important class in ms
    :param window_ms: interval between updates of the threshold in ms
    :param overload_wait_ms: mean wait above which the threshold does not rise, in ms
    :param limiter: settings of the concurrency limit
    """

    queue_length: int = 512
    max_wait_least_critical_ms: float = 50.0
    max_wait_most_critical_ms: float = 300.0
    window_ms: float = 100.0
    overload_wait_ms: float = 5.0
    limiter: LimiterSettings = field(default_factory=LimiterSettings)


@dataclass(slots=True, eq=False)
class Ticket:
    """Permission to run one request in the target.

    :param priority: priority of the request
    :param admitted_at_ms: time of admission in ms
    :param in_flight: requests in the target, this one included
    :param operation: full name of the operation
    :param released: whether the slot was released
    """

    priority: int
    admitted_at_ms: float
    in_flight: int
    operation: str = ""
    released: bool = False


@dataclass(slots=True)
class _Window:
    """Statistics of one window."""

    started_ms: float
    arrivals: dict[int, int] = field(default_factory=dict)
    admitted_count: int = 0
    wait_ms: float = 0.0
    most_important_dropped: int = LOWEST_PRIORITY + 1
    queue_emptied: bool = False
    busy_slot_ms: float = 0.0


class Admission:
    """Admission queue and admission threshold in front of one target.

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
        self._queue: PriorityQueue[Ticket | NotRun] = PriorityQueue()
        self._queued_event = anyio.Event()
        self._service_times = ServiceTimes()
        self._in_flight = 0
        self._threshold = LOWEST_PRIORITY
        self._raise_step = INITIAL_STEP_PRIORITIES
        self._busy_updated_ms = clock.now_ms()
        self._last_arrival_window: dict[int, int] = {}
        self._windows_count = 0
        self._last_overload_window: int | None = None
        self._window = _Window(clock.now_ms(), queue_emptied=True)
        self._history: deque[_Window] = deque(maxlen=MAX_HISTORY_WINDOWS)

    @property
    def in_flight(self) -> int:
        """Number of requests in the target."""
        return self._in_flight

    @property
    def queued(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    def admission_threshold(self) -> int:
        """Return the threshold; requests with a greater value are refused."""
        self._roll_window(self._clock.now_ms())
        return self._threshold

    def load(self) -> float:
        """Return running and queued requests divided by the limit; 1.0 is full."""
        return (self._in_flight + len(self._queue)) / self._limiter.limit

    def state(self) -> dict[str, object]:
        """Return the state for a diagnostic dump."""
        return {
            "in_flight": self._in_flight,
            "queued": len(self._queue),
            "limit": self._limiter.limit,
            "refusal_level": self._threshold,
            "load": round(self.load(), 3),
        }

    def configure(self, settings: AdmissionSettings) -> None:
        """Apply new queue limits; requests already queued keep theirs.

        :param settings: new settings; the limiter's apply from the next target on
        """
        self._settings = settings

    def target_started(
        self, cold_start_s: float, slots_hint: int | None = None
    ) -> None:
        """Reset the concurrency limit for a new target process.

        :param cold_start_s: time until the limit may be used in full
        :param slots_hint: initial limit; ``None`` for that of the settings
        """
        limiter = replace(self._settings.limiter, cold_start_s=cold_start_s)
        if slots_hint is not None:
            start = max(limiter.min_limit, min(slots_hint, limiter.max_limit))
            limiter = replace(limiter, initial_limit=start)
        self._limiter = make_limiter(limiter, self._clock)

    async def admit(
        self, priority: int, deadline_at_ms: float, operation: str = ""
    ) -> Ticket | NotRun:
        """Wait for a slot of the target.

        :param priority: priority of the request
        :param deadline_at_ms: deadline of the request on this node's clock in ms
        :param operation: full name of the operation, for the estimate of its service
            time; requests without it share one estimate
        :returns: a ticket that the caller releases, or why the request is refused
        """
        now_ms = self._clock.now_ms()
        self._roll_window(now_ms)
        priority = min(max(priority, 0), LOWEST_PRIORITY)
        arrivals = self._window.arrivals
        arrivals[priority] = arrivals.get(priority, 0) + 1
        if priority > self._threshold:
            return self._refuse(
                Reason.OVERLOADED, "priority is above the admission threshold"
            )
        if self._service_times.will_miss_deadline(
            operation, deadline_at_ms - now_ms, now_ms
        ):
            return self._refuse(
                Reason.DEADLINE_EXCEEDED, "not enough time left before the deadline"
            )
        if not self._queue and self._in_flight < self._limiter.limit:
            return self._issue_ticket(priority, operation, now_ms)
        return await self._wait_for_slot(priority, deadline_at_ms, operation, now_ms)

    def release(self, ticket: Ticket, own_time_ms: float, ok: bool) -> None:
        """Release the slot of a finished request.

        :param ticket: ticket of the request; a second release has no effect
        :param own_time_ms: time in the target excluding its child calls in ms
        :param ok: whether the target responded
        """
        if ticket.released:
            return
        ticket.released = True
        now_ms = self._clock.now_ms()
        self._change_in_flight(-1, now_ms)
        self._limiter.observe(own_time_ms, ticket.in_flight, ok)
        if ok:
            service_time_ms = now_ms - ticket.admitted_at_ms
            self._service_times.record(ticket.operation, service_time_ms, now_ms)
        self._admit_waiters(now_ms)

    async def run(self) -> None:
        """Update the threshold and expire queued requests until cancelled."""
        while True:
            # Windows also roll on demand, so an empty queue needs no timer.
            await self._queued_event.wait()
            await anyio.sleep(QUEUE_CHECK_INTERVAL_MS / 1000.0)
            now_ms = self._clock.now_ms()
            self._roll_window(now_ms)
            for waiter in self._queue.pop_expired(now_ms):
                self._expire(waiter, now_ms)
            self._admit_waiters(now_ms)
            if not self._queue:
                self._queued_event = anyio.Event()

    def _refuse(self, reason: Reason, detail: str) -> NotRun:
        self._metrics.count(f"admission.refused.{reason}")
        return NotRun(reason, detail)

    def _change_in_flight(self, step: int, now_ms: float) -> None:
        self._window.busy_slot_ms += self._in_flight * (now_ms - self._busy_updated_ms)
        self._busy_updated_ms = now_ms
        self._in_flight += step

    def _issue_ticket(self, priority: int, operation: str, now_ms: float) -> Ticket:
        self._change_in_flight(1, now_ms)
        self._window.admitted_count += 1
        return Ticket(priority, now_ms, self._in_flight, operation)

    async def _wait_for_slot(
        self, priority: int, deadline_at_ms: float, operation: str, now_ms: float
    ) -> Ticket | NotRun:
        if len(self._queue) >= self._settings.queue_length:
            displaced = self._queue.pop_less_important(priority)
            if displaced is None:
                self._record_drop(priority)
                return self._refuse(Reason.OVERLOADED, "admission queue is full")
            self._refuse_waiter(displaced, "displaced by a more important request")
        latest_ms = deadline_at_ms - self._service_times.expected_ms(operation)
        if latest_ms <= now_ms:
            latest_ms = deadline_at_ms
        expires_ms = min(now_ms + self._max_wait_ms(priority), latest_ms)
        future = asyncio.get_running_loop().create_future()
        waiter = Waiter(priority, operation, now_ms, expires_ms, deadline_at_ms, future)
        key = self._queue.push(waiter)
        self._queued_event.set()
        self._admit_waiters(now_ms)
        try:
            return await future
        except asyncio.CancelledError:
            self._queue.remove(key)
            self._release_unused_slot(future)
            raise

    def _release_unused_slot(self, future: "asyncio.Future[Ticket | NotRun]") -> None:
        """Release the slot of a task that was cancelled before it resumed."""
        if not future.done() or future.cancelled():
            return
        ticket = future.result()
        if isinstance(ticket, Ticket) and not ticket.released:
            ticket.released = True
            now_ms = self._clock.now_ms()
            self._change_in_flight(-1, now_ms)
            self._admit_waiters(now_ms)

    def _record_drop(self, priority: int) -> None:
        if priority < self._window.most_important_dropped:
            self._window.most_important_dropped = priority

    def _refuse_waiter(
        self,
        waiter: Waiter[Ticket | NotRun],
        detail: str,
        reason: Reason = Reason.OVERLOADED,
    ) -> None:
        if not waiter.future.done():
            self._record_drop(waiter.priority)
            waiter.future.set_result(self._refuse(reason, detail))

    def _expire(self, waiter: Waiter[Ticket | NotRun], now_ms: float) -> None:
        latest_ms = now_ms + self._service_times.expected_ms(waiter.operation)
        if waiter.deadline_at_ms <= latest_ms:
            self._refuse_waiter(
                waiter,
                "not enough time left before the deadline",
                Reason.DEADLINE_EXCEEDED,
            )
        else:
            self._refuse_waiter(waiter, "waited too long for a slot")

    def _admit_waiters(self, now_ms: float) -> None:
        queue = self._queue
        if queue:
            limit = self._limiter.limit
            while queue and self._in_flight < limit:
                self._admit_waiter(queue.pop_first(), now_ms)
        if not queue:
            self._window.queue_emptied = True

    def _admit_waiter(self, waiter: Waiter[Ticket | NotRun], now_ms: float) -> None:
        if waiter.future.done():
            return
        if waiter.expires_ms <= now_ms:
            self._expire(waiter, now_ms)
            return
        self._window.wait_ms += now_ms - waiter.arrived_ms
        ticket = self._issue_ticket(waiter.priority, waiter.operation, now_ms)
        waiter.future.set_result(ticket)

    def _max_wait_ms(self, priority: int) -> float:
        settings = self._settings
        share = priority / LOWEST_PRIORITY
        longest_ms = settings.max_wait_most_critical_ms
        return longest_ms + share * (settings.max_wait_least_critical_ms - longest_ms)

    def _roll_window(self, now_ms: float) -> None:
        window = self._window
        elapsed_ms = now_ms - window.started_ms
        if elapsed_ms < self._settings.window_ms:
            return
        self._change_in_flight(0, now_ms)
        self._history.append(window)
        self._windows_count += 1
        for priority in window.arrivals:
            self._last_arrival_window[priority] = self._windows_count
        if elapsed_ms > IDLE_RESET_WINDOWS * self._settings.window_ms:
            # No request arrived for long, or the process was paused.
            self._threshold = LOWEST_PRIORITY
        elif window.most_important_dropped <= self._threshold:
            self._lower_threshold(window.most_important_dropped)
        elif self._threshold < LOWEST_PRIORITY and not self._has_standing_queue(window):
            self._raise_threshold(
                window.busy_slot_ms / elapsed_ms / self._limiter.limit
            )
        self._log_overload()
        self._window = _Window(now_ms, queue_emptied=not self._queue)

    def _log_overload(self) -> None:
        last = self._last_overload_window
        if self._threshold < LOWEST_PRIORITY:
            if last is None:
                emit(Event.OVERLOAD_BEGAN, refusal_level=self._threshold)
            self._last_overload_window = self._windows_count
        elif last is not None and self._windows_count - last >= OVERLOAD_END_WINDOWS:
            emit(Event.OVERLOAD_ENDED)
            self._last_overload_window = None

    def _has_standing_queue(self, window: _Window) -> bool:
        if window.queue_emptied or not window.admitted_count:
            return False
        mean_wait_ms = window.wait_ms / window.admitted_count
        return mean_wait_ms > self._settings.overload_wait_ms

    def _lower_threshold(self, most_important_dropped: int) -> None:
        """Lower the threshold to the arrivals that the target can serve.

        Requests more important than every dropped one got a slot in time, so the
        threshold never falls below them, even if the counts suggest it.

        :param most_important_dropped: most important priority dropped in the window
        """
        self._raise_step = INITIAL_STEP_PRIORITIES
        arrivals: dict[int, int] = {}
        capacity = 0.0
        for window_count, window in enumerate(reversed(self._history)):
            if (
                window_count >= MIN_HISTORY_WINDOWS
                and capacity >= MIN_HISTORY_ADMISSIONS
            ):
                break
            capacity += window.admitted_count * CAPACITY_MARGIN
            for priority, arrival_count in window.arrivals.items():
                arrivals[priority] = arrivals.get(priority, 0) + arrival_count
        total = 0
        for priority in sorted(arrivals):
            total += arrivals[priority]
            if total > capacity:
                new_threshold = max(priority, most_important_dropped)
                self._threshold = min(self._threshold, new_threshold)
                return

    def _raise_threshold(self, busy_share: float) -> None:
        oldest = self._windows_count - RECENT_ARRIVAL_WINDOWS
        above = [
            priority
            for priority, last_window in self._last_arrival_window.items()
            if priority > self._threshold and last_window > oldest
        ]
        step = MIN_STEP_PRIORITIES
        if busy_share < BUSY_SLOT_SHARE:
            step = self._raise_step
            self._raise_step = min(MAX_STEP_PRIORITIES, self._raise_step * 2)
        if len(above) <= step:
            self._threshold = LOWEST_PRIORITY
            return
        above.sort()
        self._threshold = above[step - 1]


def make_admission(
    settings: AdmissionSettings, clock: Clock, metrics: Metrics
) -> Admission:
    """Return the admission control of one target.

    :param settings: checked settings
    :param clock: time source
    :param metrics: counters of the process
    """
    return Admission(settings, clock, metrics)
