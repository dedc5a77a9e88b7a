"""Entry point of a node on the users' platform."""

import argparse
import os
import sys
from pathlib import Path
from typing import NoReturn

import uvloop

from briardock.exceptions import SettingsError
from briardock.mesh.decisions import DecisionLog
from briardock.mesh.node import Node
from briardock.mesh.signals import ignore_reload
from briardock.platform._dialect import PlatformDialect
from briardock.platform._settings import SETTINGS_VARIABLE, load_settings
from briardock.platform._store import PlatformStore


async def _run(path: Path) -> None:
    settings = load_settings(path)
    node = Node(
        settings,
        PlatformDialect(),
        PlatformStore(settings.store_address),
        DecisionLog(settings.node_id),
        lambda: load_settings(path),
    )
    await node.run()


def main() -> int:
    """Run a node until a signal stops it; return the exit code."""
    parser = argparse.ArgumentParser(
        prog="briardock-mesh-node", description="Run a node on the users' platform."
    )
    default = os.environ.get(SETTINGS_VARIABLE, "")
    parser.add_argument("--settings", default=default, help="settings file (TOML)")
    options = parser.parse_args()
    if not options.settings:
        parser.error(f"give --settings or set {SETTINGS_VARIABLE}")
    try:
        uvloop.run(_run(Path(options.settings)))
    except SettingsError as error:
        print(error, file=sys.stderr)
        return error.exit_code
    finally:
        ignore_reload()
    return 0


def run_process() -> NoReturn:
    """Run ``main`` and end the process without clearing up the interpreter.

    That takes 0.1 s of processor time, and more than 1 s on a busy machine, after the
    last response and before the end of the grace period.
    """
    exit_code = main()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(exit_code)


if __name__ == "__main__":
    run_process()
