"""Run a node from the source tree; the build installs only its dependencies."""

import signal
import sys
from pathlib import Path

# A reload signal must not end a process that starts; settings are read after it.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

try:
    from briardock.platform.main import run_process  # noqa: E402
except ModuleNotFoundError as error:
    print(
        f"cannot start: the package {error.name} is not installed; run the command "
        "`build` of deploy/system.toml at the root of the repository first",
        file=sys.stderr,
    )
    sys.exit(2)

if __name__ == "__main__":
    run_process()
