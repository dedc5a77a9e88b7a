"""Soak test of the mesh under faults, with real processes and black-box checks.

    python tests/mesh_soak.py --seeds 1 50

Each seed runs some seconds of traffic against six nodes and their targets under
overlapping faults: processes are stopped, frozen, killed and restarted, and links are
delayed, refused or silently dropped, in one or both directions. Violations are printed
with the seed.
"""

import argparse
import asyncio
import random
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec
import uvloop

from briardock.mesh.sync import SYNC_PATH, SyncMessage
from mesh_fakes import config, route, send
from soak_accounts import (
    KEPT_KEY,
    KEYED_PATH,
    LIMITED_KEY,
    LIMITED_PATH,
    REVOKED_KEY,
    UNKNOWN_KEY,
)
from soak_callers import CallerConnection, CallerRequest, connect
from soak_checks import SoakResults
from soak_faults import Faults
from soak_machines import (
    LONG_PATHS,
    ROUTES,
    SPLIT_ROUTE,
    TIMEOUTS_S,
    FleetPlan,
    Machine,
    SoakFleet,
)
from soak_programs import CHAIN_PATH
from soak_shares import SPLIT_PATH, share_violations

# Limit on the start of all processes, sufficient on a busy machine, s.
START_TIMEOUT_S = 60.0
# Time after the last fault within which every node must serve every route, s.
RECOVERY_TIMEOUT_S = 15.0
CLIENT_PERIOD_S = 0.03
# Time for which a caller waits beyond the timeout of the route, s.
DEADLINE_ALLOWANCE_S = 0.3
SHORT_PATHS = ("/jobs/read/", "/once/", "/maps/read/", CHAIN_PATH)
# Period at which exited processes are restarted, s.
RESTART_PERIOD_S = 0.5
# Period at which stalls of the soak itself are measured, s. On an overcommitted machine
# all processes stall at times; the limits exclude the time of these stalls.
STALL_PERIOD_S = 0.1
# Period of the probes of targets, and the duration from which a probe is slow, s.
PROBE_PERIOD_S = 0.2
SLOW_PROBE_S = 0.05
# Timeout of a probe or of another request of the soak itself, s.
REQUEST_TIMEOUT_S = 2.0
# Time after the timeout of a route within which a running node must respond or close
# the connection, s.
RESPONSE_ALLOWANCE_S = 1.8
# Period at which a caller sends each node what looks like a message of a node, s.
FORGERY_PERIOD_S = 0.5
# Configuration in it, which would be in force for good.
FORGED_MESSAGE = msgspec.msgpack.encode(
    SyncMessage("", -1, [], config(10**6, route("forged", "/", service="maps")))
)


@dataclass(frozen=True)
class Role:
    """How one caller of each node behaves.

    :param paths: paths that it chooses from
    :param pipelined: largest number of requests that it sends at once
    :param leaves_s: range of the time after which it closes its connection, s
    :param keys: keys of accounts that it chooses from, empty for none
    :param period_s: mean pause between its requests, s
    """

    paths: tuple[str, ...] = SHORT_PATHS
    pipelined: int = 1
    leaves_s: tuple[float, float] | None = None
    keys: tuple[str, ...] = ("",)
    period_s: float = CLIENT_PERIOD_S


# Six pipelined requests are more than a node reads ahead.
ROLES = (
    *(Role(),) * 3,
    Role(LONG_PATHS),
    Role(SHORT_PATHS + LONG_PATHS, pipelined=6),
    Role(SHORT_PATHS + LONG_PATHS, pipelined=6, leaves_s=(0.05, 0.8)),
    # A key is checked on routes that need none as well.
    Role((KEYED_PATH, *SHORT_PATHS), keys=(KEPT_KEY, REVOKED_KEY, UNKNOWN_KEY)),
    Role((LIMITED_PATH,), pipelined=6, keys=(LIMITED_KEY,), period_s=0.2),
    # Few requests between two configurations or starts of a node.
    Role((SPLIT_PATH,), period_s=0.5),
)


class Soak:
    """Soak run with one seed."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.seed = seed
        plan = FleetPlan(routes=(*ROUTES, SPLIT_ROUTE), has_accounts=True)
        self.fleet = SoakFleet(folder, plan)
        self.faults = Faults(
            self.fleet,
            random.Random(seed),
            random.Random(f"{seed} restore"),
            random.Random(f"{seed} revoke"),
        )
        self.results = SoakResults()
        self._request_count = 0
        # Time for which this process itself was stalled, s.
        self._stalled_s = 0.0
        self._stopping = False

    # Clients

    async def _client(self, machine: Machine, number: int) -> None:
        """Send requests until the run ends, reusing a connection while it is open."""
        connection: CallerConnection | None = None
        role = ROLES[number]
        rng = random.Random(f"{self.seed} {machine.name} {number}")
        while not self._stopping:
            await asyncio.sleep(role.period_s * rng.uniform(0.5, 1.5))
            if connection is None or not connection.usable:
                connection = await connect(machine, rng.random() < 0.5)
                if connection is None:
                    continue
            paths = rng.choices(role.paths, k=rng.randint(1, role.pipelined))
            # Other callers draw as they did before there were keys.
            key = rng.choice(role.keys) if len(role.keys) > 1 else role.keys[0]
            leaves_after_s = rng.uniform(*role.leaves_s) if role.leaves_s else None
            await asyncio.gather(
                *(
                    self._send_request(
                        machine, connection, path, place, leaves_after_s, key
                    )
                    for place, path in enumerate(paths)
                )
            )

    async def _send_request(
        self,
        machine: Machine,
        connection: CallerConnection,
        path: str,
        place: int,
        leaves_after_s: float | None,
        key: str,
    ) -> None:
        """Send one request.

        :param machine: machine at which it enters
        :param connection: connection to its node
        :param path: path before the id
        :param place: number of requests before it in the pipeline
        :param leaves_after_s: time after which the caller leaves, if it does
        :param key: key of an account, empty for none
        """
        self._request_count += 1
        timeout_s = next(
            t for prefix, t in TIMEOUTS_S.items() if path.startswith(prefix)
        )
        # Those before it in the pipeline may take their time as well.
        limit_s = timeout_s + RESPONSE_ALLOWANCE_S + place * max(TIMEOUTS_S.values())
        request = CallerRequest(
            f"s{self.seed}-{self._request_count}",
            path,
            path.startswith("/once/"),
            timeout_s + DEADLINE_ALLOWANCE_S,
            leaves_after_s or limit_s,
            key,
        )
        stalled_before_s = self._stalled_s
        outcome = await connection.exchange(machine, request)
        outcome.timeout_s = timeout_s
        elapsed_s = outcome.elapsed_s - (self._stalled_s - stalled_before_s)
        if (
            leaves_after_s is None
            and not outcome.status
            and elapsed_s >= limit_s
            and not machine.may_be_affected_at(outcome.sent_s)
        ):
            self.results.violations.append(
                f"{outcome.request_id}: no response from {machine.name} "
                f"in {elapsed_s:.1f} s"
            )
        self.results.outcomes.append(outcome)

    async def _watch_versions(self, machine: Machine) -> None:
        """Check that the configuration version of a node process never decreases."""
        highest = (0, 0)
        while not self._stopping:
            await asyncio.sleep(0.2)
            for version in range(
                max(1, self.fleet.version - 2), self.fleet.version + 1
            ):
                start = machine.start_count
                status = await _status(machine.caller_address, f"/v{version}/x")
                if status in (0, 404, 503):
                    continue
                if start == machine.start_count == highest[0] and version < highest[1]:
                    self.results.violations.append(
                        f"{machine.name}: version {version} served after {highest[1]}"
                    )
                highest = (
                    start,
                    max(version, highest[1] if start == highest[0] else 0),
                )

    async def _forge_messages(self, machine: Machine) -> None:
        """Send requests with the path and body of a message between nodes.

        If one were taken for a message, no other configuration would come into force.
        """
        path = SYNC_PATH.decode()
        while not self._stopping:
            await asyncio.sleep(FORGERY_PERIOD_S)
            await _status(machine.caller_address, path, body=FORGED_MESSAGE)

    async def _measure_stalls(self) -> None:
        while not self._stopping:
            started = time.monotonic()
            await asyncio.sleep(STALL_PERIOD_S)
            excess_s = time.monotonic() - started - STALL_PERIOD_S
            if excess_s > STALL_PERIOD_S:
                self._stalled_s += excess_s
                self.results.stalls.append((time.time(), excess_s))

    async def _probe_target(self, machine: Machine) -> None:
        """Record slow exchanges with a target through its link.

        A probe that timed out is followed by the next one at once, so that a stall of
        any duration is recorded without gaps.
        """
        elapsed_s = 0.0
        while not self._stopping:
            if elapsed_s < REQUEST_TIMEOUT_S:
                await asyncio.sleep(PROBE_PERIOD_S)
            started_s = time.time()
            # Names no target, so that it is rejected.
            await _status(machine.link_address, "/probe")
            ended_s = time.time()
            elapsed_s = ended_s - started_s
            if elapsed_s > SLOW_PROBE_S:
                machine.slow_probes.append((started_s, ended_s))

    async def _restart_ended(self) -> None:
        while not self._stopping:
            await asyncio.sleep(RESTART_PERIOD_S)
            self.results.violations += self.fleet.restart_ended()

    # Sequence of a run

    async def run(self) -> None:
        """Run the traffic and the faults, and collect violations."""
        self.fleet.start()
        try:
            for address in (self.fleet.store_address, self.fleet.relay_control):
                await self._until(
                    self._responds_at(address), START_TIMEOUT_S, "a start"
                )
            await self.fleet.publish()
            await self._until(self._serves_all, START_TIMEOUT_S, "the start")
            tasks = [
                asyncio.create_task(self._client(machine, number))
                for machine in self.fleet.machines
                for number in range(len(ROLES))
            ]
            tasks += [
                asyncio.create_task(self._watch_versions(m))
                for m in self.fleet.machines
            ]
            tasks += [
                asyncio.create_task(work(machine))
                for work in (self._probe_target, self._forge_messages)
                for machine in self.fleet.machines
            ]
            tasks.append(asyncio.create_task(self._measure_stalls()))
            restart_task = asyncio.create_task(self._restart_ended())
            await self.faults.inject()
            await self.fleet.publish()
            await self._until(self._serves_all, RECOVERY_TIMEOUT_S, "recovery")
            await self.faults.stop_undisturbed(random.Random(f"{self.seed} stop"))
            await self._until(self._serves_all, RECOVERY_TIMEOUT_S, "recovery")
            self._stopping = True
            await asyncio.gather(*tasks, restart_task)
            self.results.check_ledgers(self.fleet.folder, self.fleet.machines)
            self.results.check_accounts(
                self.fleet.folder, self.fleet.machines, self.fleet.revoked_s
            )
            self.results.violations += share_violations(self.fleet.folder)
        finally:
            self.fleet.stop()

    def _responds_at(self, address: str) -> Callable[[], Awaitable[bool]]:
        async def responds() -> bool:
            return await _status(address, "/log-newest?topic=keyed.op&part=0") > 0

        return responds

    async def _until(
        self, check: Callable[[], Awaitable[bool]], timeout_s: float, what: str
    ) -> None:
        deadline = time.monotonic() + timeout_s - self._stalled_s
        while not await check():
            if time.monotonic() > deadline + self._stalled_s:
                self.results.violations.append(f"{what} took more than {timeout_s} s")
                return
            await asyncio.sleep(0.1)

    async def _serves_all(self) -> bool:
        """Return whether every node serves every route of the newest version."""
        paths = ["/jobs/p", "/maps/p", f"/v{self.fleet.version}/p", f"{CHAIN_PATH}p"]
        for machine in self.fleet.machines:
            if await _status(machine.ready_address, "/ready") != 200:
                return False
            for path in paths:
                if await _status(machine.caller_address, path) != 200:
                    return False
            if await _status(machine.caller_address, f"{KEYED_PATH}p", KEPT_KEY) != 200:
                return False
        return True


async def _status(address: str, path: str, key: str = "", body: bytes = b"") -> int:
    """Return the status of a request on a new connection, 0 without a response."""
    headers = [(b"host", b"a.example"), (b"request-id", b"probe")]
    if key:
        headers.append((b"authorization", f"Bearer {key}".encode()))
    try:
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            return (await send(address, path, body, headers)).status
    except (OSError, TimeoutError):
        return 0


def run_seed(seed: int, keep_folder: Path | None = None) -> list[str]:
    """Run the soak with one seed; return its violations.

    :param seed: seed of faults and requests
    :param keep_folder: folder in which logs and ledgers are kept
    """
    with tempfile.TemporaryDirectory(prefix="briardock-soak-") as temporary:
        folder = keep_folder or Path(temporary)
        # Removes old ledgers, to which targets append, and logs of processes that this
        # run may not start: a seed reuses its ids.
        for path in (*folder.glob("*.ledger"), *folder.glob("*-node*.out")):
            path.unlink()
        soak = Soak(seed, folder)
        uvloop.run(soak.run())
        if soak.results.violations:
            soak.results.violations += soak.faults.fault_log
        served = sum(1 for outcome in soak.results.outcomes if outcome.status == 200)
        print(f"seed {seed}: {served} of {len(soak.results.outcomes)} requests served")
        return soak.results.violations


def main() -> int:
    """Run seeds given on the command line; return 1 if any has a violation."""
    parser = argparse.ArgumentParser(description="Soak test of the mesh under faults.")
    parser.add_argument(
        "--seeds", nargs=2, type=int, default=[1, 3], help="first and last seed"
    )
    parser.add_argument(
        "--keep", type=Path, help="folder in which logs and ledgers are kept"
    )
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seeds[0], options.seeds[1] + 1):
        folder = options.keep / str(seed) if options.keep else None
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
        violations = run_seed(seed, folder)
        failed += bool(violations)
        for text in violations:
            print(f"  {text}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
