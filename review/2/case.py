"""A departure that was acknowledged without the store is lost with all nodes."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from harness import CONTACT_S, DRAIN_S, TROUBLE, CannotRun, route, run  # noqa: E402

OUTAGE_S = 4.5
LEAVES_AFTER_S = 0.5
KILL_AFTER_S = 2.0
RESTART_S = 1.0
# Time for which the leaving server serves on after the acknowledgement.
STAYS_S = 10.0


async def play(fleet):
    """Let a server leave during an outage; return the requests that reach it later."""
    record = fleet.record
    leaving = fleet.add("jobs-1", "zone-a", "jobs")
    fleet.add("jobs-2", "zone-b", "jobs")
    fleet.add("app-1", "zone-c", "app")
    await fleet.start([route("jobs", "/jobs/", "jobs")])
    server = leaving.server
    tasks = []

    async def clients():
        while True:
            for machine in fleet.machines.values():
                tasks.append(asyncio.create_task(fleet.request(machine, "/jobs/x")))
            await asyncio.sleep(0.2)

    client_task = asyncio.create_task(clients())
    await asyncio.sleep(2.0)
    if not server.arrivals:
        raise CannotRun("no request reached the server before it left")
    if TROUBLE:
        fleet.store.set_down(True)
    outage_s = record.now()
    await asyncio.sleep(LEAVES_AFTER_S)
    server.beats = False
    if not await server.tell("deregister"):
        raise CannotRun("the departure was not acknowledged")
    acked_s = record.now()
    record.line(f"deregistration of {server.id} is acknowledged")
    await asyncio.sleep(outage_s + KILL_AFTER_S - record.now())
    if TROUBLE:
        for machine in fleet.machines.values():
            machine.kill_node()
    await asyncio.sleep(RESTART_S)
    if TROUBLE:
        for machine in fleet.machines.values():
            machine.start_node()
    await asyncio.sleep(outage_s + OUTAGE_S - record.now())
    if TROUBLE:
        fleet.store.set_down(False)
    in_touch_s = record.now() + CONTACT_S
    await asyncio.sleep(acked_s + STAYS_S - record.now())
    client_task.cancel()
    await asyncio.gather(*tasks)
    server.end("it has left")
    served = [a for a in fleet.answers.values() if a[0] > in_touch_s and a[2] == 200]
    if not served:
        raise CannotRun("no request was served after the recovery")
    return [
        f"{request_id}, sent at {fleet.answers[request_id][0]:.2f} s to "
        f"{fleet.answers[request_id][1]}, reaches {server.id} "
        f"{at_s - acked_s:.2f} s after its departure was acknowledged"
        for at_s, request_id, _ in server.arrivals
        if at_s > acked_s + DRAIN_S
        and request_id in fleet.answers
        and fleet.answers[request_id][0] > in_touch_s
    ]


run(FOLDER, play)
