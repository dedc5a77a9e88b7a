"""A route with two services in the soak, and the check of the services' shares."""

import json
from collections import Counter
from pathlib import Path
from typing import Any

SPLIT_PATH = "/split/"
WEIGHTS = {"jobs": 75.0, "maps": 25.0}
# Fewest requests over which the shares are checked, and the longest distance from the
# weight that is allowed.
MIN_REQUESTS = 200
MAX_DISTANCE = 0.2


def split_spec() -> dict[str, Any]:
    """Return the part of the route's configuration that names its services."""
    parts = [{"service": name, "weight": weight} for name, weight in WEIGHTS.items()]
    return {"service": "", "weighted-services": parts}


def count_choices(log: bytes) -> Counter[str]:
    """Return the services that one node process chose, by its last lines.

    :param log: log of the process
    """
    last_by_version: dict[int, dict[str, int]] = {}
    for line in log.splitlines():
        if b'"services-chosen"' in line and line.endswith(b"}"):
            event = json.loads(line)
            last_by_version[event["version"]] = event["chosen"]
    chosen: Counter[str] = Counter()
    for counts in last_by_version.values():
        chosen.update(counts)
    return chosen


def share_violations(folder: Path) -> list[str]:
    """Return a violation for each service whose share lies off its weight.

    The services that nodes choose count, as targets under faults run fewer requests.

    :param folder: folder of the logs of all node processes
    """
    chosen: Counter[str] = Counter()
    for path in folder.glob("*-node*.out"):
        chosen.update(count_choices(path.read_bytes()))
    if chosen.total() < MIN_REQUESTS:
        return []
    return [
        f"{service} was chosen for {chosen[service]} of {chosen.total()} requests, its "
        f"weight says {weight / sum(WEIGHTS.values())}"
        for service, weight in WEIGHTS.items()
        if abs(chosen[service] / chosen.total() - weight / sum(WEIGHTS.values()))
        > MAX_DISTANCE
    ]
