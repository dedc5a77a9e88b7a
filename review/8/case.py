"""A server whose leaving was acknowledged is used again after a late heartbeat."""

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
# Delay of the first heartbeat of the new server, s.
LATE_S = 3.0
# Time from the start of the new server until it leaves, and from the acknowledgement
# until it exits, s.
LIFE_S = 1.2
STAY_S = 10.0
# The bound `drain` of the settings, s.
DRAIN_S = 2.0


class LeavingServer(stand.Server):
    """Leaves without reporting `draining`: it deregisters and serves on for a while."""

    async def run(self, message: stand.Message, writer: asyncio.StreamWriter) -> None:
        """Run a request and answer it."""
        self.begin(message)
        await asyncio.sleep(WORK_S)
        writer.write(self.success(message))

    async def start_with_heartbeat(self, delay_s: float) -> None:
        """Start; the first heartbeat arrives late."""
        await self.start()
        assert self._beats is not None
        self._beats.cancel()
        await asyncio.sleep(delay_s)
        is_acknowledged = await self.beat()
        self._note("heartbeat", id=self.id, acknowledged=is_acknowledged)

    async def deregister(self) -> float:
        """Say that it leaves; return the time of the acknowledgement."""
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

    async def beat(self) -> bool:
        """Send a heartbeat that was written while it was ready."""
        self.state, state = "ready", self.state
        try:
            return await super().beat()
        finally:
            self.state = state


async def case(deployment: stand.Deployment) -> bool:
    """Replace a server by one that leaves soon; look for its later requests."""
    machines = [deployment.add(f"sidecar-{n}", "bookings") for n in range(3)]
    servers = [LeavingServer(deployment, machine, SLOTS) for machine in machines]
    routes = [stand.route("book", "/book/", "non_idempotent", "bookings")]
    await deployment.store.put_config(stand.config(1, routes, ["bookings"]))
    for machine in machines:
        deployment.start_node(machine)
    await deployment.wait_until_ready()
    for server in servers:
        await server.start()
    await asyncio.sleep(3.0)
    answers: dict[str, int | None] = {}
    has_ended = asyncio.Event()

    async def send(request_id: str) -> None:
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
    # Planned: the server on the last machine leaves and exits, and another one starts.
    await leaving.deregister()
    assert leaving._beats is not None
    leaving._beats.cancel()
    await asyncio.sleep(DRAIN_S + 1.0)
    leaving.crash()
    leaving.state = "ready"
    await asyncio.sleep(1.0)
    delay_s = LATE_S if stand.has_trouble() else 0.0
    heartbeat = asyncio.create_task(leaving.start_with_heartbeat(delay_s))
    await asyncio.sleep(LIFE_S)
    acknowledged_s = await leaving.deregister()
    await asyncio.sleep(DRAIN_S)
    runs_before = len(leaving.runs)
    await asyncio.sleep(acknowledged_s + STAY_S - time.monotonic())
    late_runs = leaving.runs[runs_before:]
    leaving.crash()
    await asyncio.sleep(1.0)
    has_ended.set()
    await requests
    await heartbeat
    if sum(status == 200 for status in answers.values()) < len(answers) / 2:
        raise stand.CannotRun("too few requests were served")
    failed = [i for i in late_runs if answers.get(i) != 200]
    for request_id in late_runs:
        deployment.record.add("DRAIN", id=request_id, status=answers.get(request_id))
    print(f"reached it later than drain: {len(late_runs)}, not served: {len(failed)}")
    return bool(late_runs)


if __name__ == "__main__":
    stand.main(case, FOLDER)
