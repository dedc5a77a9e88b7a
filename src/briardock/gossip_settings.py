"""Settings of gossip, and the hooks through which it uses the node."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from briardock.gossip_links import Address, LinkSettings
from briardock.member_records import MemberRecord
from briardock.quarantine import QuarantineEntry


def _no_entries(_: Iterable[str] | None) -> list[QuarantineEntry]:
    return []


@dataclass(slots=True)
class GossipHooks:
    """Callbacks of gossip into the node; each default does nothing.

    :param config_version: version of the configuration, 0 for none
    :param on_newer_config: called with a newer version and the id of the peer that has
        it, empty if unknown; gossip pulls the configuration itself
    :param on_config_delta: applies (payload, previous, version); returns whether
        it was new and applied
    :param config_snapshot: snapshot of version ``config_version``, or ``None``
    :param on_config_snapshot: applies (version, data)
    :param on_quarantine: merges entries and returns the changed ones
    :param quarantine_entries: current entries of some fingerprints, of all for ``None``
    :param quarantine_digest: digest of the quarantine
    :param on_members: called with changed member records
    """

    config_version: Callable[[], int] = lambda: 0
    on_newer_config: Callable[[int, str], None] = lambda version, node_id: None
    on_config_delta: Callable[[bytes, int, int], bool] = lambda data, old, new: False
    config_snapshot: Callable[[], bytes | None] = lambda: None
    on_config_snapshot: Callable[[int, bytes], None] = lambda version, data: None
    on_quarantine: Callable[[list[QuarantineEntry]], list[QuarantineEntry]] = (
        lambda entries: []
    )
    quarantine_entries: Callable[[Iterable[str] | None], list[QuarantineEntry]] = (
        _no_entries
    )
    quarantine_digest: Callable[[], int] = lambda: 0
    on_members: Callable[[list[MemberRecord]], None] = lambda records: None


@dataclass(frozen=True, slots=True)
class GossipSettings:
    """Addresses, periods and bounds of gossip.

    :param link: addresses and limits of the sockets
    :param seeds: addresses to contact first
    :param period_ms: one ping is sent per period
    :param ack_timeout_ms: timeout of a direct ping
    :param indirect_timeout_ms: timeout of the indirect pings that follow it
    :param indirect_count: number of members that are asked for an indirect ping
    :param fanout: number of members that receive a push
    :param piggyback_bytes: bound on member records in one ping or ack
    :param quarantine_bytes: bound on quarantine entries in one ping or ack
    :param sync_interval_ms: shortest time between anti-entropy syncs
    :param urgent_delay_ms: delay in which urgent records are batched into one push
    """

    link: LinkSettings
    seeds: tuple[Address, ...] = ()
    period_ms: float = 1_000.0
    ack_timeout_ms: float = 400.0
    indirect_timeout_ms: float = 500.0
    indirect_count: int = 3
    fanout: int = 4
    piggyback_bytes: int = 1_500
    quarantine_bytes: int = 600
    sync_interval_ms: float = 5_000.0
    urgent_delay_ms: float = 20.0
