"""A change is late on all machines while the store turns its three readers away."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from harness import TROUBLE, CannotRun, route, run  # noqa: E402

CONFIG_APPLY_S = 2.0
MACHINES = 9
# Largest number of machines that are turned away, a third.
MOST_AWAY = 3
AWAY_S = 9.0
CHANGE_AFTER_S = 0.1
# Time without a read after which a machine does not count as a reader.
READER_AGE_S = 2.5
PROBE_PERIOD_S = 0.2


async def play(fleet):
    """Change the configuration; return the late probes that get 404."""
    record = fleet.record
    for number in range(MACHINES):
        service = "jobs" if number < 6 else "app"
        fleet.add(f"{service}-{number + 1}", fleet.zones[number % 3], service)
    routes = [route("jobs", "/jobs/", "jobs")]
    await fleet.start(routes, own_store_addresses=True)
    await asyncio.sleep(3.0)
    oldest_s = time.monotonic() - READER_AGE_S
    readers = [n for n, at in fleet.store.last_reads.items() if at > oldest_s]
    record.line(f"machines that read the configuration: {sorted(readers)}")
    if not 0 < len(readers) <= MOST_AWAY:
        raise CannotRun(f"{len(readers)} machines read the configuration")
    if TROUBLE:
        fleet.store.turn_away(readers)
    start_s = record.now()
    await asyncio.sleep(CHANGE_AFTER_S)
    fleet.publish([*routes, route("added", "/added/", "jobs")], 2)
    acked_s = record.now()
    in_touch = [m for m in fleet.machines.values() if m.name not in readers]
    probes, tasks = [], []

    async def probe(machine):
        sent_s = record.now()
        request_id, status = await fleet.request(machine, "/added/x")
        probes.append((sent_s, machine.name, request_id, status))

    while record.now() < start_s + AWAY_S:
        for machine in in_touch:
            tasks.append(asyncio.create_task(probe(machine)))
        await asyncio.sleep(PROBE_PERIOD_S)
    fleet.store.turn_away([])
    await asyncio.gather(*tasks)
    if not any(status == 200 for _, _, _, status in probes):
        raise CannotRun("the added route was never served")
    late = [p for p in probes if p[0] > acked_s + CONFIG_APPLY_S and p[3] == 404]
    if late:
        last_s = max(p[0] for p in late) - acked_s
        print(f"the last one is sent {last_s:.2f} s after the acknowledgement")
    return [
        f"{request_id}, sent to {name} {sent_s - acked_s:.2f} s after the "
        "acknowledgement, gets 404"
        for sent_s, name, request_id, _ in late
    ]


run(FOLDER, play)
