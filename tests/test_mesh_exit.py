"""End of a node's process after its last response, on loopback."""

import asyncio
import sys
from pathlib import Path

import uvloop

from briardock_standins._processes import ManagedProcess
from soak_callers import connect
from soak_machines import ROOT, FleetPlan, SoakFleet

START_TIMEOUT_S = 60.0
# Grace period of the node, and time that its interpreter is made to take to end, s.
GRACE_S = 2.0
CLEANUP_S = 20.0
# Network beyond those of the fleets in other tests.
NETWORK = 200
# Runs the program of a node in an interpreter that takes long to clear up.
SLOW_CLEANUP = f"""
import atexit, runpy, time
atexit.register(time.sleep, {CLEANUP_S})
runpy.run_path({str(ROOT / "deploy/run_node.py")!r}, run_name="__main__")
"""


async def _stop_node(fleet: SoakFleet, folder: Path) -> int | None:
    """Start a node, stop it and return its exit code."""
    machine = fleet.machines[0]
    machine.change_grace(GRACE_S)
    settings = f"--settings={fleet.write_settings(machine)}"
    command = [sys.executable, "-c", SLOW_CLEANUP, settings]
    node = machine.processes["node"] = ManagedProcess("node", command, folder)
    async with asyncio.timeout(START_TIMEOUT_S):
        while await connect(machine) is None:
            await asyncio.sleep(0.05)
        node.terminate()
        while b'"stopped"' not in node.output():
            await asyncio.sleep(0.01)
    async with asyncio.timeout(CLEANUP_S / 2):
        while node.is_running():
            await asyncio.sleep(0.01)
    return node.poll()


def test_process_ends_without_clearing_up_its_interpreter(tmp_path: Path) -> None:
    """On a busy machine that took the node beyond its grace period."""
    fleet = SoakFleet(tmp_path, FleetPlan({"jobs": 1}, first_network=NETWORK))
    try:
        assert uvloop.run(_stop_node(fleet, tmp_path)) == 0
    finally:
        fleet.stop()
