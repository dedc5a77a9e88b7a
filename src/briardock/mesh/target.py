"""The target beside the node: its state, its slots and the queue for them.

Only this node sends requests to the target, so its local count of running requests
is exact. A health check is needed only after a restart of the node.
"""

import asyncio
import time
from collections.abc import Callable
from functools import cached_property

from briardock.mesh.calls import Call, Completed, NotRun, Result, Unknown
from briardock.mesh.crashes import CrashSuspects
from briardock.mesh.deadlines import Deadline
from briardock.mesh.decisions import DecisionLog
from briardock.mesh.departures import Departures
from briardock.mesh.dialect import Dialect
from briardock.mesh.http1 import (
    ExchangeFailure,
    FailureCause,
    Response,
    encode_request_head,
    end_to_end,
)
from briardock.mesh.http_client import ClientConnection
from briardock.mesh.losses import LossWatch
from briardock.mesh.model import Announcement, TargetState, now_s
from briardock.mesh.pool import ConnectionPool
from briardock.mesh.recent_ids import RecentIds
from briardock.overload.admission import TargetThreshold, Usage
from briardock.overload.speed import LongestRun, SpeedMeter
from briardock.overload.target_work import TargetWork, WorkReport
from briardock.overload.waiting import (
    WaitingQueue,
    latest_start_s,
    should_hand_on,
    usable_slots,
)

# Time after the deadline of a call for which the node waits for the response that the
# target sends at the deadline, s.
DEADLINE_ALLOWANCE_S = 0.02
# Idle time above which a connection is not reused for a non-idempotent request, s: the
# target may have closed it unnoticed. Some targets drop idle connections after 0.3 s.
MAX_IDLE_NON_IDEMPOTENT_S = 0.25
# Longest time from sending a request to the reset of a stale connection, s. A later
# reset interrupts a request that was running.
STALE_CONNECTION_RESET_S = 0.02

# Assumed service time before the first request, s, and the weight of the newest request
# in the moving average.
INITIAL_SERVICE_TIME_S = 0.02
SERVICE_TIME_WEIGHT = 0.02


class Target:
    """Runs calls on the target beside the node.

    :param address: host and port of the target
    :param service: service that it has to belong to
    :param pool: connections to it
    :param dialect: encodes requests and decodes responses
    :param log: decision log
    :param crash_suspects: requests suspected of crashing targets
    :param on_change: called after a change of id, start, slots or state
    """

    def __init__(
        self,
        address: str,
        service: str,
        pool: ConnectionPool,
        dialect: Dialect,
        log: DecisionLog,
        crash_suspects: CrashSuspects,
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
        self._departures = Departures()
        self._pool = pool
        self._dialect = dialect
        self._log = log
        self._crash_suspects = crash_suspects
        # Incarnation that lost a response last, and the one that died last.
        self._lost_by = self._died = ""
        # Time of the latest sign that the incarnation was running, s.
        self._alive_s = 0.0
        self.loss_watch = LossWatch(self._check_after_loss)
        self._on_change = on_change
        # Each queued call waits for a future that tells whether it was granted a slot.
        # Abandoned ones stay in the queue until the next control period.
        self._queue: WaitingQueue[asyncio.Future[bool]] = WaitingQueue()
        # Number of queued calls that were granted a slot but have not resumed yet.
        self._granted = 0
        self._arrivals = 0
        self._caller_arrivals = 0
        self._threshold = TargetThreshold()
        self._caller_threshold = TargetThreshold()
        self._service_time_s = INITIAL_SERVICE_TIME_S
        self._speed = SpeedMeter()
        self._longest_run = LongestRun()
        self._run_starts_s: dict[int, float] = {}
        self._work = TargetWork()
        self._counts_changed_s = self._usage_updated_s = now_s()
        self._sent_ids = RecentIds()
        self._tasks: set[asyncio.Task[Result]] = set()
        self._has_ended = False

    @cached_property
    def _loop(self) -> asyncio.AbstractEventLoop:
        """Running event loop, cached because its lookup makes a system call."""
        return asyncio.get_running_loop()

    @property
    def concurrency_limit(self) -> int:
        """Largest number of requests that run at once."""
        return usable_slots(self.slots)

    @property
    def in_flight(self) -> int:
        """Requests running and queued."""
        return self.running + self.queued

    @property
    def incarnation(self) -> str:
        """Id of the target together with its start."""
        return f"{self.target_id}.{self.born_ms}"

    def reconfigure(self, address: str, service: str) -> None:
        """Serve another target; calls are refused until it has announced itself.

        :param address: its host and port
        :param service: its service
        """
        self.address, self.service = address, service
        self._change_state("", 0, 1, TargetState.ABSENT)
        self._sequence = -1

    def matches(self, announcement: Announcement) -> bool:
        """Return whether an announcement is from the target beside this node.

        :param announcement: decoded announcement
        """
        return (
            announcement.service == self.service
            and announcement.address == self.address
        )

    def announce(self, announcement: Announcement) -> bool:
        """Apply an announcement; return ``False`` if it is outdated.

        A target that has departed stays so until it is started again, because its
        departure has been acknowledged.

        :param announcement: decoded announcement
        """
        if (announcement.born_ms, announcement.sequence) <= (
            self.born_ms,
            self._sequence,
        ):
            return False
        restarted = (announcement.born_ms, announcement.target_id) != (
            self.born_ms,
            self.target_id,
        )
        if restarted and self.born_ms:
            self._record_restart()
        self._alive_s = now_s()
        self._sequence = announcement.sequence
        target_id, born_ms = announcement.target_id, announcement.born_ms
        if announcement.state is TargetState.LEAVING:
            self._departures.record(target_id, born_ms)
        departed = self.has_departed(target_id, born_ms)
        state = TargetState.LEAVING if departed else announcement.state
        self._change_state(target_id, born_ms, announcement.slots, state)
        return True

    def has_departed(self, target_id: str, born_ms: int) -> bool:
        """Return whether the departure of a target is known.

        :param target_id: id of the target
        :param born_ms: start of the target, Unix time in ms, or 0 if unknown
        """
        return self._departures.include(target_id, born_ms)

    def adopt(self, target_id: str, born_ms: int, slots: int) -> None:
        """Use the target that an earlier process of this node published.

        That process may have acknowledged a departure that nobody else knows, so the
        target must have stated since that it accepts requests. Requests name the
        target's id, so that another target at the address rejects them.

        :param target_id: id of the target
        :param born_ms: start of the target, Unix time in ms
        :param slots: its slots
        """
        if target_id and (not self.target_id or born_ms > self.born_ms):
            departed = self.has_departed(target_id, born_ms)
            state = TargetState.LEAVING if departed else TargetState.READY
            self._alive_s = now_s()
            self._sequence = -1
            self._change_state(target_id, born_ms, slots, state)

    def leave(self, target_id: str, born_ms: int) -> None:
        """Stop sending requests to a target that leaves.

        Its announcements may arrive later than its departure, or never. If it started
        after the known target, that one has ended. This one then takes its place, so
        that the record of the node tells of the departure.

        :param target_id: id of the target
        :param born_ms: start of the target, Unix time in ms, or 0 if unknown
        """
        self._departures.record(target_id, born_ms or int(time.time() * 1000))
        if target_id == self.target_id and born_ms in (0, self.born_ms):
            self._change_state(target_id, self.born_ms, self.slots, TargetState.LEAVING)
        elif not self.target_id or born_ms > self.born_ms:
            if self.born_ms:
                self._record_restart()
            self._sequence = -1
            self._change_state(target_id, born_ms, 1, TargetState.LEAVING)

    def _change_state(
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

    def _record_death(self, evidence: str, since_s: float | None = None) -> None:
        if self._died != self.incarnation:
            self._died = self.incarnation
            self._log.event("target-died", target=self.target_id, evidence=evidence)
        self._crash_suspects.record_death(self.incarnation, since_s)

    def _record_restart(self) -> None:
        """Record the end of an incarnation whose successor has announced itself.

        It ended after it was last seen running, however late its successor announces
        itself. One that was leaving may have ended some time after its last requests.
        """
        if self.state is TargetState.LEAVING:
            self._crash_suspects.record_death(self.incarnation)
        else:
            self._record_death("restart", self._alive_s)

    async def _check_after_loss(self) -> bool:
        """Record a death if the port is closed; return whether the check is final."""
        lost_by = self._lost_by
        if lost_by != self.incarnation:
            return True
        connection = await self._pool.connect(self.address)
        if not isinstance(connection, ExchangeFailure):
            connection.close()
            return False
        if connection.cause is not FailureCause.REFUSED:
            return False
        if lost_by == self.incarnation:
            self._mark_absent(connection.reason, died=True)
        return True

    def _mark_absent(self, reason: str, died: bool) -> None:
        """Use the target again only after its next announcement.

        A leaving target may close its port while it still runs requests.

        :param reason: why
        :param died: whether it has certainly died
        """
        if self.state is TargetState.LEAVING or not self.target_id:
            return
        if died:
            self._record_death(reason)
        if self.state is TargetState.READY:
            self._log.event("target-lost", target=self.target_id, reason=reason)
            self._change_state(
                self.target_id, self.born_ms, self.slots, TargetState.ABSENT
            )

    def _release_queue(self) -> None:
        for slot in self._queue.items():
            if not slot.done():
                slot.set_result(False)
        self._queue.clear()

    def end_calls(self) -> None:
        """Refuse the queued calls, and all later ones, as not run."""
        self._has_ended = True
        self._release_queue()

    def refusal(self, call: Call) -> NotRun | None:
        """Return why a call cannot run now, or ``None``.

        :param call: call for the target
        """
        if self._has_ended:
            return NotRun("node stopped")
        if self.state is not TargetState.READY:
            return NotRun(f"target {self.state.value}")
        if call.target_id != self.target_id or call.service != self.service:
            return NotRun("another target")
        if self._crash_suspects.refuses(call):
            return NotRun("crashed its targets")
        return None

    async def run(self, call: Call) -> Result:
        """Run a call once a slot is free.

        A non-idempotent call runs to completion even if its caller disconnects.

        :param call: call for the target
        """
        refusal = self.refusal(call) or await self._acquire_slot(call)
        if refusal is not None:
            return refusal
        if call.idempotent:
            return await self._run_in_slot(call)
        task = self._loop.create_task(self._run_in_slot(call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def _acquire_slot(self, call: Call) -> NotRun | None:
        limit, service_time_s = self.concurrency_limit, self._service_time_s
        if self.running < limit and not self.queued:
            self._record_arrival(call)
            self._adjust_counts(running=1)
            return None
        waiting = call.waiting
        if should_hand_on(waiting, self.queued, limit, service_time_s):
            # Not an arrival: another instance takes it.
            return NotRun("no free slot", busy=True)
        self._record_arrival(call)
        slot_future: asyncio.Future[bool] = self._loop.create_future()
        self._queue.push(waiting, slot_future)
        self._adjust_counts(queued=1)
        if self._work.is_measured:
            self._work.wait(id(call), call.kind, now_s())
        has_slot = False
        try:
            with Deadline(self._loop, latest_start_s(waiting, service_time_s, now_s())):
                has_slot = await slot_future
        except TimeoutError:
            return NotRun("too late to run")
        finally:
            self._adjust_counts(queued=-1)
            self._work.end(id(call), now_s())
            if (
                slot_future.done()
                and not slot_future.cancelled()
                and slot_future.result()
            ):
                self._granted -= 1
            if not has_slot:
                self._grant_slots()
        refusal = self.refusal(call)
        if refusal is None and not has_slot:
            refusal = NotRun("target changed")
        if refusal is not None:
            self._grant_slots()
            return refusal
        self._adjust_counts(running=1)
        return None

    def _record_arrival(self, call: Call) -> None:
        self._arrivals += 1
        self._caller_arrivals += call.from_caller

    def _release_slot(self) -> None:
        self._adjust_counts(running=-1)
        self._grant_slots()

    def _grant_slots(self) -> None:
        while self._queue and self.running + self._granted < self.concurrency_limit:
            slot = self._queue.pop()
            if not slot.done():
                self._granted += 1
                slot.set_result(True)

    async def _run_in_slot(self, call: Call) -> Result:
        try:
            with Deadline(self._loop, call.expires_s + DEADLINE_ALLOWANCE_S):
                return await self._exchange(call)
        except TimeoutError:
            return Unknown("deadline passed at the target")
        finally:
            self._release_slot()

    async def _exchange(self, call: Call) -> Result:
        connection = await self._acquire_connection(call)
        if isinstance(connection, ExchangeFailure):
            if connection.cause is FailureCause.OWN_SHORTAGE:
                return NotRun(connection.reason)
            died = connection.cause is FailureCause.REFUSED
            self._mark_absent(connection.reason, died)
            return NotRun(f"target unreachable: {connection.reason}")
        remaining_s = call.expires_s - now_s()
        refusal = self.refusal(call)
        if refusal is not None or remaining_s <= 0:
            self._pool.release(self.address, connection)
            return refusal or NotRun("deadline passed")
        headers = self._dialect.target_headers(
            call.headers,
            remaining_s,
            call.caller_service,
            call.target_id,
            call.account,
        )
        head = encode_request_head(call.method, call.target, headers, len(call.body))
        started_s = now_s()
        incarnation = self.incarnation
        self._run_starts_s[id(call)] = started_s
        if self._work.is_measured:
            self._work.start(id(call), call.kind, self.running, self.slots, started_s)
        call.connection = connection
        try:
            response = await connection.exchange(
                head,
                lambda candidate: self._dialect.is_response_to(
                    candidate, call.request_id, connection.requests_sent > 1
                ),
                call.body,
            )
        finally:
            del self._run_starts_s[id(call)]
            run = self._work.end(id(call), now_s())
        if isinstance(response, ExchangeFailure):
            if not response.sent:
                return NotRun(response.reason)
            if response.cause is FailureCause.OWN_SHORTAGE:
                return Unknown(response.reason, own_shortage=True)
            if now_s() - started_s < STALE_CONNECTION_RESET_S:
                self._pool.reduce_idle_time(self.address, connection)
            self._crash_suspects.record_loss(call, incarnation)
            self._lost_by = incarnation
            self.loss_watch.record_loss()
            return Unknown(f"target: {response.reason}")
        decoded = self._dialect.decode_target_response(response)
        if decoded.slowness is not None:
            if not self._work.is_measured:
                self._log.event("work-measured", target=self.target_id)
            self._work.read(decoded.slowness, now_s())
        if not decoded.not_run:
            # A rejection takes almost no time. Counted as service time, it would
            # overestimate the capacity of a target that rejects many requests.
            self._service_time_s += SERVICE_TIME_WEIGHT * (
                now_s() - started_s - self._service_time_s
            )
            if response.status < 500:
                call.run_work = self._work.record(run, now_s())
                self._speed.record_run(now_s() - started_s, now_s())
                self._longest_run.record_run(now_s() - started_s, now_s())
        if decoded.idle_timeout_s is not None:
            connection.idle_timeout_s = decoded.idle_timeout_s
        if call.request_id:
            self._pool.release(self.address, connection)
        else:
            # A late copy of this response could be taken for any other one.
            connection.close()
        if decoded.wrong_target:
            self._mark_absent("another target responds at the address", died=True)
            return NotRun("another target", arrived=False)
        if decoded.not_run:
            return NotRun(f"target rejected it with {response.status}", arrived=True)
        if response.status < 300 and not decoded.complete_success:
            return Unknown("target: invalid success")
        if response.status < 500:
            self._crash_suspects.record_success(call)
        headers = end_to_end(response.headers)
        return Completed(Response(response.status, headers, response.body))

    async def _acquire_connection(
        self, call: Call
    ) -> ClientConnection | ExchangeFailure:
        if self._sent_ids.add(call.request_id):
            # A late copy of the earlier response may follow on its connection, and has
            # the same request id.
            return await self._pool.replace(self.address)
        max_idle_s = None if call.idempotent else MAX_IDLE_NON_IDEMPOTENT_S
        return await self._pool.acquire(self.address, max_idle_s)

    def _adjust_counts(self, running: int = 0, queued: int = 0) -> None:
        self._counts_changed_s = now_s()
        self.running += running
        self.queued += queued

    def idle_for_s(self, now: float) -> float:
        """Return for how long no request has been running or queued, in s.

        :param now: current time in s since boot
        """
        return 0.0 if self.in_flight else now - self._counts_changed_s

    @property
    def run_time_s(self) -> float:
        """Mean run time of requests, as it is published."""
        return self._speed.published_s

    def work_report(self, call: Call | None = None) -> WorkReport | None:
        """Return the work at the target, ``None`` if it is not known.

        :param call: call whose result it accompanies
        """
        if not self._work.is_measured:
            return None
        return self._work.report(
            self.slots,
            self.concurrency_limit,
            self.in_flight,
            now_s(),
            call.run_work if call is not None else None,
        )

    @property
    def longest_run_s(self) -> float:
        """Longest run time of the last seconds, 0 if it is not known."""
        return self._longest_run.value_s(self._running_ages_s(now_s()))

    def update_run_time(self) -> bool:
        """Update the published run time; return whether it has changed."""
        now = now_s()
        return self._speed.update(self._running_ages_s(now), now)

    def _running_ages_s(self, now: float) -> list[float]:
        return [now - started_s for started_s in self._run_starts_s.values()]

    def threshold(self, from_caller: bool) -> float:
        """Return the admission threshold of this target.

        Callers' requests precede calls in the queue, so calls in excess of the
        capacity do not limit them.

        :param from_caller: whether it is for callers' requests or for calls
        """
        return self._caller_threshold.value if from_caller else self._threshold.value

    def update_thresholds(self, max_threshold: float) -> Usage:
        """Update the thresholds after a control period; return the load in it.

        :param max_threshold: threshold above all priorities
        """
        now = now_s()
        elapsed_s = max(1e-6, now - self._usage_updated_s)
        self._usage_updated_s = now
        capacity_per_s = self.concurrency_limit / self._service_time_s
        total_arrivals, caller_arrivals = self._arrivals, self._caller_arrivals
        self._arrivals = self._caller_arrivals = 0
        usage = Usage(elapsed_s, total_arrivals, capacity_per_s, self.queued)
        self._threshold.update(usage, max_threshold)
        queued = self._queue.retain(lambda slot: not slot.done())
        caller_usage = Usage(elapsed_s, caller_arrivals, capacity_per_s, queued)
        self._caller_threshold.update(caller_usage, max_threshold)
        return usage
