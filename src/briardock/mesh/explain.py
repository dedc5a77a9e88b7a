"""Trace of one request through the logs of many nodes."""

import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

# Events that are not tied to one request but may explain its outcome.
CONTEXT_EVENTS = frozenset(
    {
        "accounts-current",
        "accounts-outdated",
        "config-installed",
        "instance-ejected",
        "level-lowered",
        "lines-omitted",
        "retries-stopped",
        "store-lost",
        "store-regained",
        "target-changed",
        "target-lost",
    }
)
# Time before the first and after the last event of the request for which context events
# are shown, s.
CONTEXT_S = 1.0


def read_events(lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the events in log lines, in order of time.

    Skips text before the first brace, such as the prefix of a log collector.

    :param lines: lines of any number of nodes
    """
    events = []
    for line in lines:
        _, brace, rest = line.partition("{")
        try:
            event = msgspec.json.decode(brace + rest)
        except msgspec.DecodeError:
            continue
        if isinstance(event, dict) and "event" in event and "at" in event:
            events.append(event)
    return sorted(events, key=lambda event: float(event["at"]))


def explain(request_id: str, lines: Iterable[str]) -> list[str]:
    """Return the trace of a request, one line per event, in order of time.

    :param request_id: id of the request
    :param lines: log lines of any number of nodes
    """
    events = read_events(lines)
    request_events = [event for event in events if event.get("id") == request_id]
    if not request_events:
        nodes = sorted({str(event.get("node")) for event in events})
        return [
            f"no line of request {request_id} in the logs of {len(nodes)} nodes; "
            "it completed, its line was omitted, or its node's log is missing"
        ]
    first_s, last_s = float(request_events[0]["at"]), float(request_events[-1]["at"])
    node_names = {str(event.get("node")) for event in request_events}
    node_names |= {
        str(event["instance"]) for event in request_events if "instance" in event
    }
    shown = [
        event
        for event in events
        if event.get("id") == request_id
        or (
            event["event"] in CONTEXT_EVENTS
            and event.get("node") in node_names
            and first_s - CONTEXT_S <= float(event["at"]) <= last_s + CONTEXT_S
        )
    ]
    missing = node_names - {str(event.get("node")) for event in events}
    output = [_format(event, first_s, request_id) for event in shown]
    output += [f"the log of {name} is missing" for name in sorted(missing)]
    return output


def _format(event: dict[str, Any], first_s: float, request_id: str) -> str:
    rest = {k: v for k, v in event.items() if k not in ("at", "node", "event", "id")}
    values = " ".join(f"{key}={value}" for key, value in rest.items())
    mark = "*" if event.get("id") == request_id else " "
    offset_s = float(event["at"]) - first_s
    return f"{mark} {offset_s:+8.3f} s {event['node']} {event['event']} {values}"


def explain_files(request_id: str, files: list[str]) -> list[str]:
    """Return the trace of a request from log files.

    :param request_id: id of the request
    :param files: log files; standard input is read if empty
    :raises OSError: if a file cannot be read
    """
    if not files:
        return explain(request_id, sys.stdin)
    lines: list[str] = []
    for name in files:
        lines += Path(name).read_text(errors="replace").splitlines()
    return explain(request_id, lines)
