"""A failure that does not say "not run" reaches the client as a promise."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

import stand  # noqa: E402

# Requests that are sent, and the time between two of them, s.
REQUEST_COUNT = 300
PAUSE_S = 0.03
# Share of its requests that the failing server fails, after it has run them.
FAILED_SHARE = 0.3
WORK_S = 0.05


class FailingServer(stand.Server):
    """Fails part of its requests with 503 after their work, its health check good."""

    is_failing = False

    async def run(self, message: stand.Message, writer: asyncio.StreamWriter) -> None:
        """Run a request; answer with success or with a failure."""
        self.begin(message)
        await asyncio.sleep(WORK_S)
        if self.is_failing and random.random() < FAILED_SHARE:
            self._note("failed", id=message.request_id)
            headers = {"Request-Id": message.request_id}
            writer.write(stand.encode_response(503, headers, b"try later"))
        else:
            writer.write(self.success(message))


async def case(deployment: stand.Deployment) -> bool:
    """Send requests that may run once at most, and compare answers and runs."""
    machines = [deployment.add(f"sidecar-{n}", "bookings") for n in range(2)]
    servers = [FailingServer(deployment, machine, 20) for machine in machines]
    routes = [stand.route("book", "/book/", "non_idempotent", "bookings")]
    await deployment.store.put_config(stand.config(1, routes, ["bookings"]))
    for machine in machines:
        deployment.start_node(machine)
    await deployment.wait_until_ready()
    for server in servers:
        await server.start()
    await asyncio.sleep(3.0)
    for server in servers:
        server.is_failing = stand.has_trouble()
    answers: dict[str, int | None] = {}

    async def send(number: int) -> None:
        request_id = f"{number:04x}"
        machine = machines[number % len(machines)]
        answer = await stand.request(
            machine.ip,
            machine.ports["outbound"],
            "POST",
            f"/book/{number}",
            {"Request-Id": request_id, "Deadline-Ms": "3000"},
            b"kitchen",
        )
        answers[request_id] = answer.status if answer else None
        deployment.record.add("answered", id=request_id, status=answers[request_id])

    async with asyncio.TaskGroup() as clients:
        for number in range(REQUEST_COUNT):
            clients.create_task(send(number))
            await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(1.0)
    runs = {request_id for server in servers for request_id in server.runs}
    if len(runs) < REQUEST_COUNT / 4:
        raise stand.CannotRun("too few requests ran")
    refused = [i for i, status in answers.items() if status in (429, 503) and i in runs]
    for request_id in refused:
        deployment.record.add("REFUSED", id=request_id, status=answers[request_id])
    print(f"answered 503 though run: {len(refused)} of {len(runs)}")
    return bool(refused)


if __name__ == "__main__":
    stand.main(case, FOLDER)
