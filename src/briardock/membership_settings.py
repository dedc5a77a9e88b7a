"""Limits of a member table."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Limits of a member table.

    :param suspicion_factor: suspicion lasts this many periods per doubling of the
        number of members, so that a refutation has the time to spread
    :param min_suspicion_periods: shortest suspicion timeout in probe periods
    :param period_ms: probe period
    :param unreachable_every: one probe in this many goes to an unreachable member;
        with all nodes probing, a healed partition is detected within seconds
    :param recovery_periods: after an unreachable member recovered, every second
        probe goes to unreachable members for this many periods, since the other
        members of its partition have probably recovered as well
    :param unreachable_keep_ms: unreachable members are probed for this long
    :param share_ms: records of members that have been unreachable or left for longer
        are no longer sent; each receiver would otherwise restart their timeouts,
        and the nodes would keep each other from ever removing them
    :param tombstone_ms: records of left members are kept for this long
    :param max_members: bound on the number of records; further members are ignored
    """

    suspicion_factor: float = 1.2
    min_suspicion_periods: float = 3.0
    period_ms: float = 1_000.0
    unreachable_every: int = 5
    recovery_periods: float = 60.0
    unreachable_keep_ms: float = 3 * 3_600_000.0
    share_ms: float = 600_000.0
    tombstone_ms: float = 3_600_000.0
    max_members: int = 16_384
