"""A client's request is taken for a message of another node and changes the routes."""

import asyncio
import json
import struct
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import stand  # noqa: E402

# Requests that are sent before and after the one request with the unusual path.
REQUEST_COUNT = 100
PAUSE_S = 0.02
PATH = "/.briardock/sync"
CALM_PATH = "/.briardock/other"


def config(version: int, service: str) -> dict:
    """Return a configuration with one route for all paths."""
    routes = [stand.route("all", "/", "non_idempotent", service)]
    return stand.config(version, routes, ["bookings", "fieldapp"])


def body_with_config(document: dict) -> bytes:
    """Return a body in MessagePack: an empty text, -1, an empty list and a document."""
    encoded = json.dumps(document).encode()
    return b"\x94\xa0\xff\x90\xc5" + struct.pack(">H", len(encoded)) + encoded


async def case(deployment: stand.Deployment) -> bool:
    """Send requests for one service, and look for runs by the other one."""
    services = ["bookings", "fieldapp", "bookings", "fieldapp"]
    machines = [deployment.add(f"sidecar-{n}", s) for n, s in enumerate(services)]
    servers = [stand.Server(deployment, machine, 20) for machine in machines]
    await deployment.store.put_config(config(1, "bookings"))
    for machine in machines:
        deployment.start_node(machine)
    await deployment.wait_until_ready()
    for server in servers:
        await server.start()
    await asyncio.sleep(3.0)
    entry = machines[1]

    async def send(request_id: str, path: str, body: bytes) -> int | None:
        headers = {"Request-Id": request_id, "Deadline-Ms": "3000"}
        answer = await stand.request(
            entry.ip, entry.ports["outbound"], "POST", path, headers, body
        )
        status = answer.status if answer else None
        deployment.record.add("answered", id=request_id, path=path, status=status)
        return status

    for number in range(REQUEST_COUNT):
        await send(f"a{number:03x}", f"/book/{number}", b"kitchen")
        await asyncio.sleep(PAUSE_S)
    path = PATH if stand.has_trouble() else CALM_PATH
    await send("ffff", path, body_with_config(config(9, "fieldapp")))
    await asyncio.sleep(3.0)
    for number in range(REQUEST_COUNT):
        await send(f"b{number:03x}", f"/book/{number}", b"kitchen")
        await asyncio.sleep(PAUSE_S)
    own = [i for s in servers if s.machine.service == "bookings" for i in s.runs]
    foreign = [i for s in servers if s.machine.service != "bookings" for i in s.runs]
    if len(own) < REQUEST_COUNT / 2:
        raise stand.CannotRun("too few requests ran")
    deployment.record.add("runs", own=len(own), foreign=len(foreign))
    print(f"runs by the service of the route: {len(own)}, by another: {len(foreign)}")
    return bool(foreign)


if __name__ == "__main__":
    stand.main(case, FOLDER)
