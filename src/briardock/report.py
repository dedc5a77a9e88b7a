"""State of a node for operators: a short status and a full dump."""

import resource
from collections.abc import Mapping
from dataclasses import asdict
from typing import TYPE_CHECKING

import msgspec

from briardock._ini import IniError, parse_ini
from briardock.membership import MemberRecord, MemberState
from briardock.publishing import NO_VERSION

if TYPE_CHECKING:
    from briardock.node import Node


def node_status(node: "Node") -> dict[str, object]:
    """Return the short status that an operator checks first.

    :param node: node to describe
    """
    config = node.cluster.config
    target = node.inbound.target_state
    return {
        "node_id": node.settings.node.node_id,
        "incarnation": node.incarnation,
        "state": node.drain.state.value,
        "service": target.service,
        "target": "leaving" if target.leaving else _target_presence(target.present),
        "configuration": {
            "version": None if config.version == NO_VERSION else config.version,
            "digest": "" if config.version == NO_VERSION else config.digest,
            "state": _configuration_state(node),
        },
        "log_reachable": _log_reachability(node),
        "log_reader": node.directory.is_log_reader(),
        "members": [_member(node, member) for member in node.cluster.table.records()],
        "in_flight": len(node.inbound.running),
        "queued": node.admission.queued,
        "load": node.admission.load(),
        "refusal_level": node.admission.admission_threshold(),
    }


def dump_node(node: "Node") -> dict[str, object]:
    """Return the full state of a node.

    :param node: node to describe
    """
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "status": node_status(node),
        "settings": _settings(node),
        "configuration": _configuration(node),
        "members": [
            {**msgspec.structs.asdict(member), "state": member.state.name.lower()}
            for member in node.cluster.table.records()
        ],
        "gossip": node.cluster.gossip.state(),
        "admission": node.admission.state(),
        "routing": node.router.state(),
        "chain_levels": node.downstream_thresholds.state(),
        "actions": node.actions.state(),
        "running": _running(node),
        "target": asdict(node.inbound.target_state),
        "quarantine": node.quarantine.state(),
        "counters": dict(sorted(node.metrics.counters.items())),
        "process": {
            "cpu_s": usage.ru_utime + usage.ru_stime,
            "max_rss_kb": usage.ru_maxrss,
        },
    }


def _target_presence(present: bool) -> str:
    return "ready" if present else "absent"


def _configuration_state(node: "Node") -> str:
    if node.cluster.config.version != NO_VERSION:
        return "in force"
    if not node.cluster.reader.reachable and node.cluster.table.is_alone():
        return "none: neither the log nor another node can be reached"
    return "none: nothing has been published"


def _log_reachability(node: "Node") -> bool | None:
    """Return whether the log service responds, or ``None`` if unknown.

    A node that is not a log reader reads the log too seldom to tell.
    """
    if not node.directory.is_log_reader():
        return None
    return node.cluster.reader.reachable


def _member(node: "Node", record: MemberRecord) -> dict[str, object]:
    return {
        "node_id": record.node_id,
        "service": record.service,
        "failure_domain": record.failure_domain,
        "reachable": node.cluster.table.is_reachable(record.node_id),
        "state": _member_state(record),
    }


def _member_state(record: MemberRecord) -> str:
    if record.state is not MemberState.ALIVE:
        return record.state.name.lower()
    return "ready" if record.target_instance else "no target"


def _settings(node: "Node") -> dict[str, object]:
    sections = asdict(node.settings)
    if sections["admin"]["token"]:
        sections["admin"]["token"] = "(set)"
    return sections


def _configuration(node: "Node") -> dict[str, object]:
    config = node.cluster.config
    if config.version == NO_VERSION:
        return {"version": NO_VERSION}
    catalog = config.catalog
    sources = _defining_files(config.files)
    return {
        "version": config.version,
        "file_versions": dict(config.versions),
        "operations": {
            name: {
                **asdict(operation),
                "sources": sources.get(f"operation {name}", {}),
            }
            for name, operation in catalog.operations.items()
        },
        "warnings": [str(warning) for warning in catalog.warnings],
    }


def _running(node: "Node") -> list[dict[str, object]]:
    now_ms = node.clock.now_ms()
    return [
        {
            "key": running.call.key,
            "operation": running.call.operation,
            "level": running.call.level,
            "remaining_ms": round(running.deadline_at_ms - now_ms, 1),
            "retries_left": running.budget.left,
            "own_time_ms": round(running.own_time_ms(now_ms), 1),
        }
        for running in node.inbound.running.values()
    ]


def _defining_files(files: Mapping[str, str]) -> dict[str, dict[str, str]]:
    """Return the name of the file that defines each key, by section and key."""
    sources: dict[str, dict[str, str]] = {}
    for name in sorted(files):
        parsed = parse_ini(files[name])
        if isinstance(parsed, IniError):
            continue
        for section, content in parsed.items():
            file_by_key = sources.setdefault(section, {})
            file_by_key.update(dict.fromkeys(content.values, name))
    return sources
