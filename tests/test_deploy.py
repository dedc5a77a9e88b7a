"""The program of the deploy file."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_node_without_its_dependencies_names_the_remedy() -> None:
    """In a checkout that was not built, the node ended with a traceback."""
    result = subprocess.run(
        # Isolated from the packages of the environment.
        [sys.executable, "-S", "-I", str(ROOT / "deploy/run_node.py")],
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert result.returncode == 2
    assert "run the command `build` of deploy/system.toml" in result.stderr
    assert "Traceback" not in result.stderr
