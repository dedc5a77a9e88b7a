"""Limits of a member table."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Limits of a member table.

    :param suspicion_factor: suspicion lasts this many periods per doubling of
        the number of members, so that a refutation can spread in time
    :param min_suspicion_periods: shortest suspicion in probe periods
    :param period_ms: probe period
    :param unreachable_every: one probe in this many goes to an unreachable
        member; together the nodes then notice a healed partition in seconds
    :param hurry_periods: after an unreachable member returned, every second probe
        goes to unreachable members for this many periods, since the others of
        its partition are probably back as well
    :param unreachable_keep_ms: unreachable members are probed for this long
    :param share_ms: records of members unreachable or left for longer are not
        handed on; each receiver would otherwise start their timeouts anew and
        together the nodes would keep them for ever
    :param tombstone_ms: left members are remembered for this long
    :param max_members: further members are not taken over
    """

    suspicion_factor: float = 1.2
    min_suspicion_periods: float = 3.0
    period_ms: float = 1_000.0
    unreachable_every: int = 5
    hurry_periods: float = 60.0
    unreachable_keep_ms: float = 3 * 3_600_000.0
    share_ms: float = 600_000.0
    tombstone_ms: float = 3_600_000.0
    max_members: int = 16_384
