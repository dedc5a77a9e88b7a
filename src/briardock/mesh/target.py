"""The target beside the node: its state, its slots and the queue for them.

Only this node sends requests to the target, so its own count of running requests
is exact and no health probes are needed.
"""

import asyncio
import heapq
import itertools
import time
from collections.abc import Callable
from functools import cached_property
from typing import NamedTuple

from briardock.mesh.calls import Call, Completed, NotRun, Result, Unknown
from briardock.mesh.crashes import CrashSuspects
from briardock.mesh.deadlines import Deadline
from briardock.mesh.decisions import DecisionLog
from briardock.mesh.dialect import Dialect
from briardock.mesh.http1 import ExchangeFailure, Response, encode_request, end_to_end
from briardock.mesh.levels import TargetLevel, Usage
from briardock.mesh.model import Announcement, TargetState, now_s
from briardock.mesh.pool import ConnectionPool

# Share of the slots that is used; targets may slow down when nearly full.
SLOT_SHARE = 0.95
# Time beyond the remaining time of a call for which the target's own answer at
# its deadline is awaited, s.
DEADLINE_ALLOWANCE_S = 0.02
# Idle time beyond which a connection is not reused for a request that must not be
# repeated: the target may have closed it without the close having been seen. Some
# targets drop idle connections after 0.3 s.
MAX_IDLE_ONCE_S = 0.25
# Longest time from a request to the reset of a connection that the target no longer
# knew, s; a reset after that ends a run.
STALE_RESET_S = 0.02

# Time that a refusal needs to reach the node at which the request entered, s.
REFUSAL_TRANSIT_S = 0.015
# Largest part of the remaining time of a call that is kept for its run.
MAX_RUN_SHARE = 0.5

# Time of a request at the target before one was measured, and the weight of the
# newest one in the moving average.
FIRST_RUN_S = 0.02
RUN_AVERAGE_WEIGHT = 0.02


class _Waiting(NamedTuple):
    """A queued call; the fields before the last one are its place in the queue.

    A call expires with its parent, so at one rank the calls of the oldest request go
    first. In order of arrival each call of a chain would wait behind newer requests
    again, and under a backlog all chains would fail instead of the newest ones.

    :param rank: order of its priority and sender
    :param expires_s: time at which its result is no longer wanted
    :param number: order of arrival
    :param slot: set to whether it has got a slot
    """

    rank: int
    expires_s: float
    number: int
    slot: asyncio.Future[bool]


class Target:
    """Runs calls on the target beside the node.

    :param address: host and port of the target
    :param service: service that it has to belong to
    :param pool: connections to it
    :param dialect: encodes requests and decodes responses
    :param log: decisions
    :param crashes: requests that crash targets
    :param on_change: called after a change of id or state
    """

    def __init__(
        self,
        address: str,
        service: str,
        pool: ConnectionPool,
        dialect: Dialect,
        log: DecisionLog,
        crashes: CrashSuspects,
        on_change: Callable[[], None],
    ) -> None:
        self.address = address
        self.service = service
        self.state = TargetState.ABSENT
        self.target_id = ""
        self.born_ms = 0
        self.slots = 1
        self.running = 0
        self.queued = 0
        self._sequence = -1
        # Id and latest start of a target that left before it was known here.
        self._departed: tuple[str, int] | None = None
        self._pool = pool
        self._dialect = dialect
        self._log = log
        self._crashes = crashes
        self._on_change = on_change
        # Heap of queued calls; those that were given up stay until the next period.
        self._queue: list[_Waiting] = []
        self._numbers = itertools.count()
        # Queued calls that were given a slot and have not resumed yet.
        self._waking = 0
        self._arrivals = 0
        self._caller_arrivals = 0
        self._level = TargetLevel()
        self._caller_level = TargetLevel()
        self._run_s = FIRST_RUN_S
        self._changed_s = self._usage_read_s = now_s()
        self._tasks: set[asyncio.Task[Result]] = set()

    @cached_property
    def _loop(self) -> asyncio.AbstractEventLoop:
        """Running loop, which takes a system call to find."""
        return asyncio.get_running_loop()

    @property
    def limit(self) -> int:
        """Requests that run at once at most."""
        return max(1, int(self.slots * SLOT_SHARE))

    @property
    def inflight(self) -> int:
        """Requests running and queued."""
        return self.running + self.queued

    def move(self, address: str, service: str) -> None:
        """Serve another target; requests wait until it has announced itself.

        :param address: its host and port
        :param service: its service
        """
        self.address, self.service = address, service
        self._set("", 0, 1, TargetState.ABSENT)
        self._sequence = -1

    def concerns(self, news: Announcement) -> bool:
        """Return whether an announcement is of the target beside this node.

        :param news: decoded announcement
        """
        return news.service == self.service and news.address == self.address

    def announce(self, news: Announcement) -> bool:
        """Take an announcement; return whether it is in order and was used.

        A target that is leaving stays so: what was acknowledged binds this node.

        :param news: decoded announcement
        """
        if (news.born_ms, news.sequence) <= (self.born_ms, self._sequence):
            return False
        restarted = (news.born_ms, news.target_id) != (self.born_ms, self.target_id)
        if restarted and self.born_ms:
            self._crashes.record_death(f"{self.target_id}.{self.born_ms}")
        self._sequence = news.sequence
        leaving = self.state is TargetState.LEAVING and not restarted
        if leaving or self._has_departed(news.target_id, news.born_ms):
            state = TargetState.LEAVING
        else:
            state = news.state
        self._set(news.target_id, news.born_ms, news.slots, state)
        return True

    def adopt(self, target_id: str, born_ms: int, slots: int) -> None:
        """Take the target that an earlier process of this node had published.

        Requests name the target's id, so another one on the address rejects them.

        :param target_id: id of the target
        :param born_ms: start of the target
        :param slots: its slots
        """
        if not self.target_id and target_id:
            departed = self._has_departed(target_id, born_ms)
            state = TargetState.LEAVING if departed else TargetState.READY
            self._set(target_id, born_ms, slots, state)

    def leave(self, target_id: str, born_ms: int) -> None:
        """Stop sending requests to a target that leaves.

        A node that has just started may hear of the departure before it knows the
        target; it then must not adopt the target's former record as ready.

        :param target_id: id of the target
        :param born_ms: start of the target, 0 if it was not told
        """
        if not self.target_id:
            self._departed = (target_id, born_ms or int(time.time() * 1000))
        elif target_id == self.target_id and born_ms in (0, self.born_ms):
            self._set(target_id, self.born_ms, self.slots, TargetState.LEAVING)

    def _has_departed(self, target_id: str, born_ms: int) -> bool:
        if self._departed is None or self._departed[0] != target_id:
            return False
        return born_ms <= self._departed[1]

    def _set(
        self, target_id: str, born_ms: int, slots: int, state: TargetState
    ) -> None:
        before = (self.target_id, self.born_ms, self.slots, self.state)
        after = (target_id, born_ms, slots, state)
        self.target_id, self.born_ms, self.slots, self.state = after
        if before == after:
            return
        self._log.event(
            "target-changed", target=target_id, state=state.value, slots=slots
        )
        if state is not TargetState.READY:
            self._release_queue()
        self._on_change()

    def _lose(self, reason: str) -> None:
        if self.state is TargetState.READY:
            self._log.event("target-lost", target=self.target_id, reason=reason)
            self._crashes.record_death(f"{self.target_id}.{self.born_ms}")
            self._set(self.target_id, self.born_ms, self.slots, TargetState.ABSENT)

    def _release_queue(self) -> None:
        for waiting in self._queue:
            if not waiting.slot.done():
                waiting.slot.set_result(False)
        self._queue.clear()

    def refusal(self, call: Call) -> NotRun | None:
        """Return why a call cannot run now, or ``None``.

        :param call: call for the target
        """
        if self.state is not TargetState.READY:
            return NotRun(f"target {self.state.value}")
        if call.target_id != self.target_id or call.service != self.service:
            return NotRun("another target")
        if self._crashes.refuses(call):
            return NotRun("crashed its targets")
        return None

    async def run(self, call: Call) -> Result:
        """Run a call once a slot is free.

        A call that must not be repeated is finished even if its caller goes.

        :param call: call for the target
        """
        self._arrivals += 1
        self._caller_arrivals += call.from_caller
        refusal = self.refusal(call) or await self._take_slot(call)
        if refusal is not None:
            return refusal
        if call.idempotent:
            return await self._run_in_slot(call)
        task = self._loop.create_task(self._run_in_slot(call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def _take_slot(self, call: Call) -> NotRun | None:
        if self.running < self.limit and not self.queued:
            self._count(running=1)
            return None
        waiter: asyncio.Future[bool] = self._loop.create_future()
        number = next(self._numbers)
        waiting = _Waiting(call.rank, call.expires_s, number, waiter)
        heapq.heappush(self._queue, waiting)
        self._count(queued=1)
        has_slot = False
        try:
            with Deadline(self._loop, self._latest_start_s(call)):
                has_slot = await waiter
        except TimeoutError:
            return NotRun("too late to run")
        finally:
            self._count(queued=-1)
            if waiter.done() and not waiter.cancelled() and waiter.result():
                self._waking -= 1
            if not has_slot:
                self._start_next()
        refusal = self.refusal(call)
        if refusal is None and not has_slot:
            refusal = NotRun("target changed")
        if refusal is not None:
            self._start_next()
            return refusal
        self._count(running=1)
        return None

    def _latest_start_s(self, call: Call) -> float:
        """Return the time since boot after which a call is not started any more.

        It would not complete before its deadline, and the refusal still reaches the
        caller, which may try again elsewhere.
        """
        run_s = min(self._run_s, MAX_RUN_SHARE * (call.expires_s - now_s()))
        return call.expires_s - max(REFUSAL_TRANSIT_S, run_s)

    def _free_slot(self) -> None:
        self._count(running=-1)
        self._start_next()

    def _start_next(self) -> None:
        while self._queue and self.running + self._waking < self.limit:
            slot = heapq.heappop(self._queue).slot
            if not slot.done():
                self._waking += 1
                slot.set_result(True)

    async def _run_in_slot(self, call: Call) -> Result:
        try:
            with Deadline(self._loop, call.expires_s + DEADLINE_ALLOWANCE_S):
                return await self._exchange(call)
        except TimeoutError:
            return Unknown("deadline passed at the target")
        finally:
            self._free_slot()

    async def _exchange(self, call: Call) -> Result:
        max_idle_s = None if call.idempotent else MAX_IDLE_ONCE_S
        connection = await self._pool.acquire(self.address, max_idle_s)
        if isinstance(connection, ExchangeFailure):
            self._lose(connection.reason)
            return NotRun(f"target unreachable: {connection.reason}")
        remaining_s = call.expires_s - now_s()
        refusal = self.refusal(call)
        if refusal is not None or remaining_s <= 0:
            self._pool.release(self.address, connection)
            return refusal or NotRun("deadline passed")
        headers = self._dialect.target_headers(
            call.headers, remaining_s, call.caller_service, call.target_id
        )
        data = encode_request(call.method, call.target, headers, call.body)
        started_s = now_s()
        response = await connection.exchange(
            data, lambda found: self._dialect.is_response_to(found, call.request_id)
        )
        if isinstance(response, ExchangeFailure):
            if not response.sent:
                return NotRun(response.reason)
            if now_s() - started_s < STALE_RESET_S:
                self._pool.reduce_idle_time(self.address, connection)
            self._crashes.record_loss(call)
            return Unknown(f"target: {response.reason}")
        reply = self._dialect.decode_target_response(response)
        if not reply.not_run:
            # A rejection takes next to no time. Counted as a run, it would make the
            # capacity of a target that rejects much look larger than it is.
            self._run_s += RUN_AVERAGE_WEIGHT * (now_s() - started_s - self._run_s)
        if reply.idle_timeout_s is not None:
            connection.idle_timeout_s = reply.idle_timeout_s
        self._pool.release(self.address, connection)
        if reply.wrong_target:
            self._lose("another target answers at the address")
            return NotRun("another target", arrived=False)
        if reply.not_run:
            return NotRun(f"target rejected it with {response.status}", arrived=True)
        if response.status < 300 and not reply.complete_success:
            return Unknown("target: invalid success")
        headers = end_to_end(response.headers)
        return Completed(Response(response.status, headers, response.body))

    def _count(self, running: int = 0, queued: int = 0) -> None:
        self._changed_s = now_s()
        self.running += running
        self.queued += queued

    def idle_for_s(self, now: float) -> float:
        """Return for how long no request has run or waited.

        :param now: current time in s since boot
        """
        return 0.0 if self.inflight else now - self._changed_s

    def level(self, from_caller: bool) -> float:
        """Return the admission level of this target.

        Callers' requests are ahead of calls in the queue, so calls beyond the
        capacity do not limit them.

        :param from_caller: whether it is for callers' requests or for calls
        """
        return self._caller_level.value if from_caller else self._level.value

    def update_levels(self, highest: float) -> Usage:
        """Move the levels after a control period; return the use of the target.

        :param highest: level above all priorities
        """
        now = now_s()
        elapsed_s = max(1e-6, now - self._usage_read_s)
        self._usage_read_s = now
        capacity_per_s = self.limit / self._run_s
        total, callers = self._arrivals, self._caller_arrivals
        self._arrivals = self._caller_arrivals = 0
        usage = Usage(elapsed_s, total, capacity_per_s, self.queued)
        self._level.update(usage, highest)
        self._queue = [w for w in self._queue if not w.slot.done()]
        heapq.heapify(self._queue)
        queued = sum(waiting.rank % 2 == 0 for waiting in self._queue)
        caller_usage = Usage(elapsed_s, callers, capacity_per_s, queued)
        self._caller_level.update(caller_usage, highest)
        return usage
