"""A late copy of a rejection is taken for the answer to the request's next send."""

import asyncio
import itertools
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from harness import TROUBLE, CannotRun, encode, exchange, route, run  # noqa: E402

NOT_RUN_STATUSES = (408, 421, 429, 503)
WINDOWS = 8
WINDOW_S = 5.0
# Time between two reads of accounts, which go on for most of a window.
READ_PERIOD_S = 0.03
READS_S = 4.0
QUIET_S = 0.3
# Clients' requests; each makes a call on a route with a max-attempts of 2 or of 3.
PATHS = ("/app/two/entry", "/app/three/entry")


async def play(fleet):
    """Make calls to a service of one server; return those answered wrongly."""
    record = fleet.record
    caller = fleet.add("app-1", "zone-a", "app")
    ledger = fleet.add("ledger-1", "zone-b", "ledger")
    fleet.add("app-2", "zone-c", "app")
    ids = itertools.count(1)
    call_statuses = {}
    rejected = {}
    answers = {"all": 0, "copies": 0}

    async def run_payment(server, method, path, headers, body, writer):
        """Run a request of a client, which makes one call that must not repeat."""
        call_id = f"c{next(ids):05d}"
        call_path = path.replace("/app/", "/")
        record.line(f"server {server.id} calls POST {call_path} {call_id}")
        answer = await exchange(
            server.machine.outbound,
            "POST",
            call_path,
            {"Host": "a.example", "Request-Id": call_id, "Deadline-Ms": "1500"},
            b"amount",
        )
        status = answer[0] if answer else 0
        record.line(f"server {server.id} gets {status or 'no answer'} for {call_id}")
        call_statuses[call_id] = status
        request_id = headers["request-id"]
        headers = {"Request-Id": request_id, "Response-Signature": "s"}
        writer.write(encode(200 if status == 200 else 500, headers))
        return True

    async def run_entry(server, method, path, headers, body, writer):
        """Reject each entry once, and send a copy of that answer later."""
        answers["all"] += 1
        request_id = headers["request-id"]
        if writer in rejected:
            record.line(f"server {server.id} sends the copy for {rejected[writer]}")
            writer.write(copy_of(rejected.pop(writer)))
            answers["copies"] += 1
        if method != "POST" or not TROUBLE or request_id in seen:
            return False
        seen.add(request_id)
        record.line(f"server {server.id} rejects {request_id}")
        writer.write(copy_of(request_id))
        rejected[writer] = request_id
        return True

    def copy_of(request_id):
        return encode(503, {"Request-Id": request_id, "Not-Executed": "1"})

    seen = set()
    await fleet.start(
        [
            route("app", "/app/", "app"),
            route("two", "/two/", "ledger", kind="non_idempotent", attempts=2),
            route("three", "/three/", "ledger", kind="non_idempotent", attempts=3),
            route("accounts", "/accounts/", "ledger"),
        ]
    )
    for name in ("app-1", "app-2"):
        fleet.machines[name].server.behave = run_payment
    ledger.server.behave = run_entry
    for window in range(WINDOWS):
        start_s = record.now()
        while record.now() < start_s + READS_S:
            await fleet.request(ledger, "/accounts/x")
            await asyncio.sleep(READ_PERIOD_S)
        await asyncio.sleep(QUIET_S)
        await fleet.request(caller, PATHS[window % 2], "POST", b"amount")
        await asyncio.sleep(max(0.0, start_s + WINDOW_S - record.now()))
    refused = [
        call_id
        for call_id, status in call_statuses.items()
        if status in NOT_RUN_STATUSES and fleet.runs[call_id]
    ]
    for call_id in refused:
        record.line(f"note: {call_id} is answered as not run, and has run")
    print(
        f"{len(call_statuses)} calls, {len(refused)} of them answered as not run that "
        f"have run; {answers['copies']} copies, {answers['all']} answers"
    )
    if not call_statuses:
        raise CannotRun("no call was made")
    return [
        f"{call_id} is answered {status} and runs {len(fleet.runs[call_id])} times"
        for call_id, status in call_statuses.items()
        if len(fleet.runs[call_id]) > 1
    ]


run(FOLDER, play)
