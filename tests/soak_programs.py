"""Store and target programs of the soak, each run as a separate process.

    soak_programs.py store HOST:PORT
    soak_programs.py target PLAN.json

A target appends a JSON line to its ledger when a run starts or ends, when a call that
it makes through its node ends, and when its departure is acknowledged. It cancels a run
whose connection is closed.
"""

import asyncio
import json
import os
import random
import signal
import sys
import time
from pathlib import Path

import msgspec
import uvloop

from briardock.mesh.http1 import Request, Response
from briardock.mesh.http_server import HttpServer
from briardock.mesh.model import CallerLimits, split_address
from briardock.mesh.tasks import BackgroundTasks
from mesh_fakes import HEALTH_PATH, FakeStore, quiet_log, send

HEARTBEAT_PERIOD_S = 0.5
# Time for which a leaving target keeps serving after the acknowledgement, s.
DRAIN_S = 2.0
# Time after which a target exits without an acknowledgement of its departure, s.
UNACKNOWLEDGED_EXIT_S = 4.0
# Share of the heartbeats that arrive late, and the range of their delay, s.
LATE_SHARE = 0.3
LATE_RANGE_S = (0.5, 5.0)
# Share of the targets that leave without a heartbeat that says so, and the longest time
# for which a target stays after the time that it has to, s.
SILENT_SHARE = 0.5
MAX_STAY_S = 4.0
RUN_RANGE_S = (0.05, 0.25)
SLOTS = 32
CHAIN_PATH = "/jobs/chain/"
CALLED_PATH = "/maps/called/1"
CALL_DEADLINE_MS = 1_000


class TargetPlan(msgspec.Struct):
    """Parameters of one target process.

    :param name: name of its machine
    :param service: its service
    :param listen_address: address on which it listens
    :param advertised_address: address that it announces, a link of the relay
    :param announce_address: announcement address of its node
    :param call_address: caller address of its node
    :param ledger: path of its ledger
    :param run_ranges_s: shortest and longest run by path prefix
    """

    name: str
    service: str
    listen_address: str
    advertised_address: str
    announce_address: str
    call_address: str
    ledger: str
    run_ranges_s: dict[str, tuple[float, float]] = {}


class SoakTarget:
    """One target process."""

    def __init__(self, plan: TargetPlan) -> None:
        self._plan = plan
        self._born_ms = int(time.time() * 1000)
        self._target_id = f"i-{plan.name}-{self._born_ms}"
        self._ledger = os.open(plan.ledger, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
        self._running = 0
        self._run_count = 0
        self._exiting = False
        self._sequence = 0
        self._leaving = asyncio.Event()
        self._late = BackgroundTasks()

    def _append_to_ledger(self, event: str, **fields: object) -> None:
        line = {"at": time.time(), "event": event, "target": self._target_id, **fields}
        os.write(self._ledger, json.dumps(line).encode() + b"\n")

    async def handle(self, request: Request) -> Response:
        headers = dict(request.headers)
        if request.target == HEALTH_PATH.encode():
            status = 503 if self._leaving.is_set() else 200
            return Response(status, [(b"instance-id", self._target_id.encode())])
        request_id = headers.get(b"request-id", b"").decode()
        response_headers = [(b"request-id", request_id.encode())]
        if headers.get(b"expected-instance", b"").decode() != self._target_id:
            return Response(421, [*response_headers, (b"not-executed", b"1")])
        if self._running >= SLOTS:
            return Response(503, [*response_headers, (b"not-executed", b"1")])
        caller = headers.get(b"caller-service", b"").decode()
        path = request.target.decode()
        self._run_count += 1
        run = self._run_count
        self._append_to_ledger("run", run=run, id=request_id, path=path, caller=caller)
        self._running += 1
        event = "end"
        try:
            await asyncio.sleep(random.uniform(*self._run_range_s(path)))
            status = (
                await self._call(f"{request_id}.call-{self._plan.name}-{run}")
                if path.startswith(CHAIN_PATH)
                else 200
            )
        except asyncio.CancelledError:
            event = "broken off" if self._exiting else "cancelled"
            raise
        finally:
            self._running -= 1
            self._append_to_ledger(event, run=run, id=request_id)
        signed_headers = [*response_headers, (b"response-signature", b"s")]
        return Response(
            status, signed_headers, f"ran {request_id} {len(request.body)}".encode()
        )

    def _run_range_s(self, path: str) -> tuple[float, float]:
        for prefix, range_s in self._plan.run_ranges_s.items():
            if path.startswith(prefix):
                return range_s
        return RUN_RANGE_S

    async def _call(self, request_id: str) -> int:
        sent_s = time.time()
        headers = [(b"host", b"a.example"), (b"deadline-ms", b"%d" % CALL_DEADLINE_MS)]
        headers.append((b"request-id", request_id.encode()))
        status, body, left = 0, b"", False
        try:
            response = await send(self._plan.call_address, CALLED_PATH, b"", headers)
            status, body = response.status, response.body
        except OSError:
            pass
        except asyncio.CancelledError:
            left = True
            raise
        finally:
            self._append_to_ledger(
                "called",
                id=request_id,
                sent_s=sent_s,
                status=status,
                body=body.decode("latin-1"),
                left=left,
            )
        return 200 if status == 200 else 500

    def _encode_announcement(self) -> bytes:
        state = "draining" if self._leaving.is_set() else "ready"
        self._sequence += 1
        body = {
            "service": self._plan.service,
            "address": self._plan.advertised_address,
            "zone": "z",
            "version": "v1",
            "slots": SLOTS,
            "state": state,
            "cold-remaining": "0ms",
            "sequence": self._sequence,
            "born": self._born_ms,
        }
        return json.dumps(body).encode()

    async def _announce(self, call: str, delay_s: float = 0.0) -> bool:
        """Send a heartbeat or deregistration, which may be on its way for a while."""
        body = self._encode_announcement()
        await asyncio.sleep(delay_s)
        path = f"/instances/{self._target_id}/{call}"
        try:
            async with asyncio.timeout(1.0):
                response = await send(self._plan.announce_address, path, body)
        except (OSError, TimeoutError):
            return False
        return response.status == 200

    async def _announce_late(self) -> None:
        await self._announce("heartbeat", random.uniform(*LATE_RANGE_S))

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._leaving.set)
        # A head grows by the headers that nodes add.
        limits = CallerLimits(header_bytes=64 * 1024)
        server = HttpServer(self.handle, limits, quiet_log())
        await server.start(*split_address(self._plan.listen_address))
        while not self._leaving.is_set():
            if random.random() < LATE_SHARE:
                self._late.start(self._announce_late())
            else:
                await self._announce("heartbeat")
            try:
                async with asyncio.timeout(HEARTBEAT_PERIOD_S):
                    await self._leaving.wait()
            except TimeoutError:
                continue
        await self._depart()
        self._exiting = True

    async def _depart(self) -> None:
        deadline_s = time.monotonic() + UNACKNOWLEDGED_EXIT_S
        call = "deregister" if random.random() < SILENT_SHARE else "heartbeat"
        while not await self._announce(call):
            if time.monotonic() > deadline_s:
                return
            await asyncio.sleep(0.1)
        self._append_to_ledger("left")
        await asyncio.sleep(DRAIN_S + random.uniform(0.0, MAX_STAY_S))
        if call == "heartbeat":
            await self._announce("deregister")


async def serve_store(address: str) -> None:
    """Serve an initially empty store until killed."""
    store = FakeStore(address)
    await store.server.start(*split_address(address))
    await asyncio.Event().wait()


def main() -> None:
    """Run the program selected on the command line."""
    kind, argument = sys.argv[1:3]
    if kind == "store":
        uvloop.run(serve_store(argument))
    else:
        plan = msgspec.json.decode(Path(argument).read_bytes(), type=TargetPlan)
        uvloop.run(SoakTarget(plan).run())


if __name__ == "__main__":
    main()
