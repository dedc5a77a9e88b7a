"""Settings of gossip and its hooks into the node."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from briardock.gossip_links import Address, LinkSettings
from briardock.member_records import MemberRecord
from briardock.quarantine import QuarantineEntry


def _no_entries(_: Iterable[str] | None) -> list[QuarantineEntry]:
    return []


@dataclass(slots=True)
class GossipHooks:
    """What gossip needs of the node; each default does nothing.

    :param config_version: version of the configuration, 0 for none
    :param config_behind: told of a later version and the peer that has it, whose
        id is empty where unknown; gossip itself pulls it
    :param on_config_delta: applies (payload, previous, version); returns whether
        it was new and applied
    :param config_snapshot: whole configuration of ``config_version``, or ``None``
    :param on_config_snapshot: applies (version, data)
    :param on_quarantine: merges entries and returns the changed ones
    :param quarantine_entries: current entries of some fingerprints, or of all
    :param quarantine_digest: digest of the quarantine
    :param on_members: told of changed member records
    """

    config_version: Callable[[], int] = lambda: 0
    config_behind: Callable[[int, str], None] = lambda version, node_id: None
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
    :param seeds: first contacts
    :param period_ms: one ping is sent per period
    :param ack_timeout_ms: wait for a direct ack
    :param indirect_timeout_ms: further wait for an ack through others
    :param indirect_count: members asked to ping on our behalf
    :param fanout: members that get a push at once
    :param piggyback_bytes: bound on member records in one ping or ack
    :param quarantine_bytes: bound on quarantine entries in one ping or ack
    :param sync_interval_ms: shortest time between table comparisons
    :param urgent_delay_ms: wait that collects urgent records in one push
    """

    link: LinkSettings
    seeds: tuple[Address, ...] = ()
    period_ms: float = 1_000.0
    ack_timeout_ms: float = 400.0
    indirect_timeout_ms: float = 500.0
    indirect_count: int = 3
    fanout: int = 4
    piggyback_bytes: int = 2_000
    quarantine_bytes: int = 600
    sync_interval_ms: float = 5_000.0
    urgent_delay_ms: float = 20.0
