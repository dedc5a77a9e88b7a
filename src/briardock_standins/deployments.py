"""Specification of a small deployment, and the settings of its nodes."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from briardock_standins.plans import TargetPlan

RELAYED_PURPOSES = ("call", "gossip")


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """One service of a deployment.

    :param target: behaviour of its targets; the harness sets addresses and seed
    :param domains: failure domain of each instance
    """

    target: TargetPlan
    domains: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class DeploymentSpec:
    """A small deployment.

    :param services: services
    :param config: operators' configuration folder, ``None`` to publish none
    :param domains: source IP address of each failure domain
    :param region: region of all nodes
    :param direct: whether targets call each other without nodes, log and relay
    :param relay: whether a relay carries the traffic between nodes
    :param delay_ms: one-way delay between failure domains, with a relay
    :param tunables: additional node settings, by section and key
    :param retention_records: records that the log retains per stream
    :param seed: seed of all processes
    """

    services: tuple[ServiceSpec, ...]
    config: Path | None = None
    domains: dict[str, str] = field(default_factory=lambda: {"a": "127.0.1.1"})
    region: str = "region"
    direct: bool = False
    relay: bool = False
    delay_ms: float = 0.0
    tunables: dict[str, dict[str, str]] = field(default_factory=dict)
    retention_records: int = 10_000
    seed: int = 1


@dataclass(slots=True)
class Instance:
    """One node with its target.

    :param name: node id
    :param domain: failure domain
    :param plan: plan of the target
    :param ports: ports of the node, by purpose
    :param control: address of the target's control port, empty before its start
    :param address: address of the target, empty before its start
    :param ledgers: one ledger for each start of the target
    """

    name: str
    domain: str
    plan: TargetPlan
    ports: dict[str, int]
    control: str = ""
    address: str = ""
    ledgers: list[Path] = field(default_factory=list)

    @property
    def entry(self) -> str:
        """Return the address that callers send requests to."""
        return f"127.0.0.1:{self.ports['http']}"

    @property
    def admin(self) -> str:
        """Return the address of the node's operator endpoint."""
        return f"127.0.0.1:{self.ports['admin']}"


def render_settings(
    spec: DeploymentSpec,
    instance: Instance,
    instances: Iterable[Instance],
    relay_ports: dict[str, int],
    log_port: int,
) -> str:
    """Return the settings of a node as INI text.

    :param spec: deployment
    :param instance: the node
    :param instances: all nodes, from which the seeds are chosen
    :param relay_ports: advertised ports by ``<node id>.<purpose>``, empty without a
        relay
    :param log_port: port of the log service
    """
    ports = instance.ports
    sections: dict[str, dict[str, str]] = {
        "node": {
            "node_id": instance.name,
            "service": instance.plan.service,
            "region": spec.region,
            "failure_domain": instance.domain,
            "host": "127.0.0.1",
            "http_port": str(ports["http"]),
            "call_port": str(ports["call"]),
            "gossip_port": str(ports["gossip"]),
            "source_host": spec.domains[instance.domain],
            "seeds": ", ".join(_seeds(instance, instances, relay_ports)),
            "seed": str(instance.plan.seed),
        },
        "admin": {"host": "127.0.0.1", "port": str(ports["admin"])},
        "log": {"host": "127.0.0.1", "port": str(relay_ports.get("log", log_port))},
    }
    if spec.relay:
        node = sections["node"]
        node["advertise_host"] = "127.0.0.1"
        for purpose in RELAYED_PURPOSES:
            port = relay_ports[f"{instance.name}.{purpose}"]
            node[f"advertise_{purpose}_port"] = str(port)
    for section, values in spec.tunables.items():
        sections.setdefault(section, {}).update(values)
    return _render_ini(sections)


def _seeds(
    instance: Instance, instances: Iterable[Instance], relay_ports: dict[str, int]
) -> list[str]:
    """Return the gossip addresses of the first other instance of each domain."""
    seed_by_domain: dict[str, Instance] = {}
    for other in instances:
        if other is not instance:
            seed_by_domain.setdefault(other.domain, other)
    seeds: list[str] = []
    for seed in seed_by_domain.values():
        port = relay_ports.get(f"{seed.name}.gossip", seed.ports["gossip"])
        seeds.append(f"127.0.0.1:{port}")
    return seeds


def _render_ini(sections: dict[str, dict[str, str]]) -> str:
    """Return sections as INI text."""
    lines: list[str] = []
    for section, values in sections.items():
        lines.append(f"[{section}]")
        lines.extend(f"{key} = {value}" for key, value in values.items())
        lines.append("")
    return "\n".join(lines)
