"""Run a node from the source tree; the build installs only its dependencies."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from briardock.platform.main import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
