"""Fault injection for the soak, from outside the processes."""

import asyncio
import json
import os
import random
import signal
import time
from collections.abc import Awaitable, Callable

from briardock_standins._processes import ManagedProcess
from mesh_fakes import RESTORE_PATH, send
from soak_machines import Machine, SoakFleet

FAULT_PHASE_S = 8.0
FAULT_COUNT = 8
KINDS = (
    "node killed",
    "node terminated",
    "node frozen",
    "target frozen",
    "target killed",
    "target drained",
    "settings changed",
    "target link",
    "store link",
    "store frozen",
    "publish",
)
# Kinds that do not delay requests to a machine beyond the limits.
KINDS_WITHOUT_DELAYS = ("store link", "store frozen", "publish", "target drained")
# Kinds that may break off requests.
HARMFUL_KINDS = (
    "node killed",
    "node frozen",
    "target frozen",
    "target killed",
    "target link",
)
# Time between two SIGTERMs to one node, s.
SECOND_SIGTERM_S = 1.0
# Time without other faults before the last stop of a node, s: requests that are sent
# later than 3 s after it are judged, whatever happened 8 s before.
QUIET_BEFORE_STOP_S = 5.0
# Time after the end of the grace period within which a node is started again, s.
RESTART_ALLOWANCE_S = 15.0
# Faults of a link: relay mode and delay, ms.
LINK_FAULTS = (("open", 300), ("refuse", 0), ("black-hole", 0))
# Range of the age of the copy from which the store is restored, s, and of the time
# after which the operator writes the configuration again, s.
COPY_AGE_RANGE_S = (1.0, 5.0)
REWRITE_DELAY_RANGE_S = (0.2, 1.5)
# Range of the time at which a key is revoked, s.
REVOCATION_RANGE_S = (2.0, FAULT_PHASE_S)


class Faults:
    """Injects overlapping faults into a fleet.

    :param fleet: processes
    :param rng: random source of kinds, times and machines
    :param restore_rng: random source of the restore of the store, of its own so that
        the other faults of a seed stay the same
    :param revoke_rng: random source of the revocation of a key, likewise
    """

    def __init__(
        self,
        fleet: SoakFleet,
        rng: random.Random,
        restore_rng: random.Random,
        revoke_rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._rng = rng
        self._revoke_rng = revoke_rng
        self._restore_rng = restore_rng
        self._restore_actions: list[Callable[[], Awaitable[None]]] = []
        self._tasks: list[asyncio.Task[None]] = []
        self.fault_log: list[str] = []
        self._stop_count = 0

    async def _set_path(self, source: str, to: str, mode: str, delay_ms: int) -> None:
        body = {
            "source": source,
            "destination": to,
            "mode": mode,
            "delay_ms": delay_ms,
            "both_ways": False,
        }
        await send(self._fleet.relay_control, "/paths", json.dumps(body).encode())

    async def _inject_link_fault(
        self, name: str, harmed: Machine | None = None
    ) -> None:
        mode, delay_ms = self._rng.choice(LINK_FAULTS)
        pairs = self._rng.choice(
            [[("nodes", name)], [(name, "nodes")], [("nodes", name), (name, "nodes")]]
        )
        for source, destination in pairs:
            await self._set_path(source, destination, mode, delay_ms)

        async def restore() -> None:
            for source, destination in pairs:
                await self._set_path(source, destination, "open", 0)
            if harmed is not None:
                harmed.harm_times.append(time.time())

        self._restore_actions.append(restore)

    async def _inject_fault(self, kind: str, machine: Machine) -> None:
        """Inject one fault; those that last are undone at the end of the run."""
        node, target = machine.processes["node"], machine.processes["target"]
        self.fault_log.append(f"{time.time():.2f} {kind} {machine.name}")
        if kind not in KINDS_WITHOUT_DELAYS:
            machine.fault_times.append(time.time())
        if kind in HARMFUL_KINDS:
            machine.harm_times.append(time.time())
        match kind:
            case "node killed":
                node.kill()
            case "node terminated":
                machine.terminate_node()
                # Every other time; drawing it would change the other faults of a seed.
                self._stop_count += 1
                if self._stop_count % 2:
                    await self._schedule(SECOND_SIGTERM_S, _terminating(node))
            case "node frozen":
                await self._freeze(node, machine)
            case "target frozen":
                await self._freeze(target, machine)
            case "target killed":
                target.kill()
            case "target drained":
                target.terminate()
            case "settings changed":
                machine.change_grace(self._rng.choice([5.0, 6.0]))
                self._fleet.write_settings(machine)
                if node.is_running():
                    os.kill(node.pid, signal.SIGHUP)
            case "target link":
                await self._inject_link_fault(machine.name, machine)
            case "store link":
                await self._inject_link_fault("store")
            case "store frozen":
                await self._freeze(self._fleet.programs["store"])
            case "publish":
                await self._fleet.publish()

    async def _restore_store(self) -> None:
        """Restore the store from a copy; the operator writes again a moment later."""
        age_ms = int(self._restore_rng.uniform(*COPY_AGE_RANGE_S) * 1000)
        self.fault_log.append(f"{time.time():.2f} store restored, {age_ms} ms lost")
        revoked_s = self._fleet.revoked_s
        await send(self._fleet.store_address, f"{RESTORE_PATH}?age-ms={age_ms}")
        lost_s = time.time() - age_ms / 1000
        await asyncio.sleep(self._restore_rng.uniform(*REWRITE_DELAY_RANGE_S))
        await self._fleet.write_config()
        # No node may know of a revocation that the store lost.
        if revoked_s is not None and revoked_s > lost_s:
            self._fleet.revoked_s = time.time()

    async def _revoke(self) -> None:
        await self._fleet.revoke()
        self.fault_log.append(f"{time.time():.2f} key revoked")

    async def _freeze(
        self, process: ManagedProcess, harmed: Machine | None = None
    ) -> None:
        process.freeze()

        async def resume() -> None:
            process.resume()
            if harmed is not None:
                harmed.harm_times.append(time.time())

        await self._schedule(self._rng.uniform(0.5, 3.0), resume)

    async def _schedule(
        self, delay_s: float, work: Callable[[], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            await asyncio.sleep(delay_s)
            await work()

        self._tasks.append(asyncio.get_running_loop().create_task(run()))

    async def inject(self) -> None:
        """Inject all faults, then undo those that do not end by themselves."""
        times = sorted(
            self._rng.uniform(0.0, FAULT_PHASE_S) for _ in range(FAULT_COUNT)
        )
        restore_s = self._restore_rng.uniform(0.0, FAULT_PHASE_S)
        await self._schedule(restore_s, self._restore_store)
        await self._schedule(
            self._revoke_rng.uniform(*REVOCATION_RANGE_S), self._revoke
        )
        started = time.monotonic()
        for at_s in times:
            await asyncio.sleep(max(0.0, started + at_s - time.monotonic()))
            await self._inject_fault(
                self._rng.choice(KINDS), self._rng.choice(self._fleet.machines)
            )
        await asyncio.gather(*self._tasks)
        for restore in self._restore_actions:
            await restore()
        self.fault_log.append(f"{time.time():.2f} faults undone")

    async def stop_undisturbed(self, rng: random.Random) -> None:
        """Terminate one node once the other faults have no effect, until it has exited.

        :param rng: random source of the machine
        """
        machine = rng.choice(self._fleet.machines)
        harm_times = [t for m in self._fleet.machines for t in m.harm_times]
        quiet_s = max(harm_times, default=0.0) + QUIET_BEFORE_STOP_S - time.time()
        await asyncio.sleep(max(0.0, quiet_s))
        self.fault_log.append(f"{time.time():.2f} node terminated {machine.name}")
        start_count = machine.start_count
        machine.terminate_node()
        async with asyncio.timeout(machine.grace_s + RESTART_ALLOWANCE_S):
            while machine.start_count == start_count:
                await asyncio.sleep(0.1)


def _terminating(process: ManagedProcess) -> Callable[[], Awaitable[None]]:
    async def terminate() -> None:
        process.terminate()

    return terminate
