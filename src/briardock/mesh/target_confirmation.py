"""Confirmation of the target beside a node after the node was started.

An earlier process of the node may have acknowledged the departure of the target, and
that may be lost with the memory of all nodes. What a process learns of its target
first, be it from the record of an earlier process or from an announcement, may be from
before the departure. It is a claim until a health check has confirmed it.

A target that follows a confirmed one was started while this process ran, and needs no
check.
"""

import asyncio
from dataclasses import dataclass

from briardock.mesh.decisions import DecisionLog
from briardock.mesh.health_check import HealthCheck, HealthStatement
from briardock.mesh.members import NodeRecord
from briardock.mesh.model import Announcement, TargetState, now_s
from briardock.mesh.target import Target
from briardock.mesh.tasks import BackgroundTasks

# Time for which a target has to go on announcing itself before it is used although no
# health check confirms it, s. A target that has departed announces itself no more, and
# late announcements arrive within seconds.
MIN_ANNOUNCED_S = 6.0
# Number of checks of one claim if the target makes no statement, for example because
# all of its slots are in use, and the time between them, s.
MAX_CHECKS = 4
CHECK_PERIOD_S = 0.5

Claim = Announcement | NodeRecord


def _order(claim: Claim) -> tuple[int, bool, int]:
    """Return a sort key among claims; the highest is the newest."""
    match claim:
        case Announcement():
            return (claim.born_ms, True, claim.sequence)
        case NodeRecord():
            return (claim.target_born_ms, False, claim.version)


@dataclass(slots=True)
class AnnouncedPeriod:
    """Time for which one incarnation of a target has announced itself.

    :param incarnation: id and start of the target, Unix time in ms
    :param first_s: time of its first announcement, s since boot
    :param sequence: highest sequence of its announcements
    """

    incarnation: tuple[str, int] = ("", 0)
    first_s: float = 0.0
    sequence: int = -1

    def record(self, announcement: Announcement, now: float) -> float:
        """Return for how long an incarnation has announced itself, in s.

        :param announcement: its announcement; an outdated one changes nothing
        :param now: current time in s since boot
        :return: 0 for an outdated announcement
        """
        incarnation = (announcement.target_id, announcement.born_ms)
        if incarnation != self.incarnation:
            if announcement.born_ms < self.incarnation[1]:
                return 0.0
            self.incarnation, self.first_s = incarnation, now
        elif announcement.sequence <= self.sequence:
            return 0.0
        self.sequence = announcement.sequence
        return now - self.first_s


class TargetConfirmation:
    """Applies announcements and records of earlier processes once they are confirmed.

    :param target: the target beside this node
    :param health_check: makes health checks of it
    :param log: decision log
    """

    def __init__(
        self, target: Target, health_check: HealthCheck, log: DecisionLog
    ) -> None:
        self._target = target
        self._health_check = health_check
        self._log = log
        # Paths of health checks by service, ``None`` without a configuration.
        self._health_paths: dict[str, str] | None = None
        self._is_confirmed = False
        # Newest claim that is still to be checked.
        self._claim: Claim | None = None
        self._is_checking = False
        self._announced = AnnouncedPeriod()
        self._checks = BackgroundTasks()

    @property
    def is_pending(self) -> bool:
        """Whether a claim is or will be checked."""
        return self._is_checking or self._claim is not None

    def set_health_paths(self, health_paths: dict[str, str]) -> None:
        """Put the paths of the health checks into force.

        :param health_paths: paths by service
        """
        self._health_paths = health_paths
        self._start_checks()

    def restore(self, record: NodeRecord) -> None:
        """Restore the state of the target that an earlier process published.

        :param record: newest record of an earlier process, of the same service
        """
        if record.state is TargetState.READY:
            self._add(record)
        elif record.state is TargetState.LEAVING:
            self._target.leave(record.target_id, record.target_born_ms)

    def announce(self, announcement: Announcement) -> None:
        """Apply an announcement, after a health check if it may be outdated.

        :param announcement: announcement of the target beside this node
        """
        if (
            self._is_confirmed
            or announcement.state is not TargetState.READY
            or self._target.has_departed(announcement.target_id, announcement.born_ms)
        ):
            self._target.announce(announcement)
            return
        announced_s = self._announced.record(announcement, now_s())
        if announced_s >= MIN_ANNOUNCED_S:
            self._log.event(
                "target-used-unconfirmed",
                target=announcement.target_id,
                announced_s=round(announced_s, 1),
            )
            self._accept(announcement)
            return
        self._add(announcement)

    def _add(self, claim: Claim) -> None:
        if self._claim is None or _order(claim) >= _order(self._claim):
            self._claim = claim
        self._start_checks()

    def _start_checks(self) -> None:
        if self.is_pending and not self._is_checking and self._health_paths is not None:
            self._is_checking = True
            self._checks.start(self._check_claims())

    async def _check_claims(self) -> None:
        try:
            while (claim := self._claim) is not None:
                self._claim = None
                if self._is_confirmed or await self._holds(claim):
                    self._accept(claim)
        finally:
            self._is_checking = False

    async def _holds(self, claim: Claim) -> bool:
        """Return whether a claim is confirmed, or cannot be checked."""
        assert self._health_paths is not None
        health_path = self._health_paths.get(self._target.service)
        is_announced = isinstance(claim, Announcement)
        statement = HealthStatement.UNSUPPORTED
        if health_path:
            statement = await self._check(claim.target_id, health_path)
        match statement:
            case HealthStatement.ACCEPTING:
                return True
            case HealthStatement.UNSUPPORTED if is_announced:
                return True
        self._log.event(
            "target-unconfirmed",
            target=claim.target_id,
            announced=is_announced,
            stated=statement.name.lower(),
        )
        return False

    async def _check(self, target_id: str, health_path: str) -> HealthStatement:
        """Return what the target states, after several checks if need be."""
        for checks in range(1, MAX_CHECKS + 1):
            statement = await self._health_check.check(
                self._target.address, health_path, target_id
            )
            is_final = statement is not HealthStatement.NOTHING
            if is_final or checks == MAX_CHECKS or self._claim is not None:
                break
            await asyncio.sleep(CHECK_PERIOD_S)
        return statement

    def _accept(self, claim: Claim) -> None:
        self._is_confirmed = True
        match claim:
            case Announcement():
                self._target.announce(claim)
            case NodeRecord():
                self._target.adopt(claim.target_id, claim.target_born_ms, claim.slots)
