"""A server that has left is used again after an outage of the store and a restart."""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import stand  # noqa: E402

# Time between two requests, and the work of each, s.
PAUSE_S = 0.02
WORK_S = 0.1
SLOTS = 6
# Time from the start of the outage of the store to the departure, from there to the
# kill, and from there to the restart, and the length of the outage, s.
DEPARTURE_S = 0.5
KILL_S = 1.0
RESTART_S = 0.5
OUTAGE_S = 4.5
# Delay of the last heartbeat before the departure, and the time for which the server
# stays after the acknowledgement, s.
LATE_S = 3.5
STAY_S = 15.0
# The bounds `drain` and `contact` of the settings, s.
DRAIN_S = 2.0
CONTACT_S = 3.0


class Store(stand.Store):
    """A store that resets all connections while it is down."""

    is_down = False

    async def _respond(self, message: stand.Message) -> bytes:
        if self.is_down:
            raise ConnectionResetError
        return await super()._respond(message)


class LeavingServer(stand.Server):
    """Leaves without reporting `draining`: it deregisters and serves on for a while."""

    async def run(self, message: stand.Message, writer: asyncio.StreamWriter) -> None:
        """Run a request and answer it."""
        self.begin(message)
        await asyncio.sleep(WORK_S)
        writer.write(self.success(message))

    async def deregister(self) -> float:
        """Say that it leaves; return the time of the acknowledgement."""
        assert self._beats is not None
        self._beats.cancel()
        self.state = "draining"
        while True:
            answer = await stand.request(
                self.machine.ip,
                self.machine.ports["control-plane"],
                "POST",
                f"/instances/{self.id}/deregister",
                {"Content-Type": "application/json"},
                json.dumps({"born": self.born_ms}).encode(),
                timeout_s=1.0,
            )
            if answer is not None and answer.status // 100 == 2:
                self._note("leaving-acknowledged", id=self.id)
                return time.monotonic()
            await asyncio.sleep(0.2)

    async def deliver_late_heartbeat(self) -> None:
        """Deliver a heartbeat that was sent while it was ready."""
        self.state, state = "ready", self.state
        is_acknowledged = await self.beat()
        self.state = state
        self._note("late-heartbeat", id=self.id, acknowledged=is_acknowledged)


async def case(deployment: stand.Deployment) -> bool:
    """Let a server leave during an outage; look for its later requests."""
    store = deployment.store
    store.__class__ = Store
    assert isinstance(store, Store)
    machines = [deployment.add(f"sidecar-{n}", "bookings") for n in range(3)]
    servers = [LeavingServer(deployment, machine, SLOTS) for machine in machines]
    routes = [stand.route("book", "/book/", "non_idempotent", "bookings")]
    await store.put_config(stand.config(1, routes, ["bookings"]))
    for machine in machines:
        deployment.start_node(machine)
    await deployment.wait_until_ready()
    for server in servers:
        await server.start()
    await asyncio.sleep(4.0)
    answers: dict[str, int | None] = {}
    sent_s: dict[str, float] = {}
    has_ended = asyncio.Event()

    async def send(request_id: str) -> None:
        sent_s[request_id] = time.monotonic()
        answer = await stand.request(
            machines[0].ip,
            machines[0].ports["outbound"],
            "POST",
            f"/book/{request_id}",
            {"Request-Id": request_id, "Deadline-Ms": "3000"},
            b"kitchen",
        )
        answers[request_id] = answer.status if answer else None
        deployment.record.add("answered", id=request_id, status=answers[request_id])

    async def send_all() -> None:
        number = 0
        async with asyncio.TaskGroup() as clients:
            while not has_ended.is_set():
                number += 1
                clients.create_task(send(f"{number:04x}"))
                await asyncio.sleep(PAUSE_S)

    requests = asyncio.create_task(send_all())
    leaving = servers[2]
    outage_s = time.monotonic()
    store.is_down = stand.has_trouble()
    deployment.record.add("outage", store_down=store.is_down)
    await asyncio.sleep(DEPARTURE_S)
    acknowledged_s = await leaving.deregister()
    await asyncio.sleep(KILL_S)
    if stand.has_trouble():
        for machine in machines:
            assert machine.process is not None
            machine.process.kill()
            machine.process.wait()
        deployment.record.add("nodes-killed")
        await asyncio.sleep(RESTART_S)
        for machine in machines:
            deployment.start_node(machine)
    await asyncio.sleep(acknowledged_s + LATE_S - time.monotonic())
    await leaving.deliver_late_heartbeat()
    await asyncio.sleep(outage_s + OUTAGE_S - time.monotonic())
    store.is_down = False
    deployment.record.add("outage-ended")
    in_touch_s = time.monotonic() + CONTACT_S
    await asyncio.sleep(acknowledged_s + STAY_S - time.monotonic())
    earliest_s = max(in_touch_s, acknowledged_s + DRAIN_S)
    late_runs = [i for i in leaving.runs if sent_s[i] > earliest_s]
    leaving.crash()
    has_ended.set()
    await requests
    if sum(status == 200 for status in answers.values()) < len(answers) / 4:
        raise stand.CannotRun("too few requests were served")
    for request_id in late_runs:
        deployment.record.add("DRAIN", id=request_id, status=answers[request_id])
    print(f"sent by machines in touch, reached it after drain: {len(late_runs)}")
    return bool(late_runs)


if __name__ == "__main__":
    stand.main(case, FOLDER)
