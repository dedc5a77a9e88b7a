"""Index of the members that may receive new calls, by service."""

from collections.abc import Mapping

from briardock.member_records import MemberRecord, MemberState


class UsableIndex:
    """Lists of usable members, built on demand and cached until they change.

    An unreachable member stays usable during its grace period, so that outdated
    records that arrive after a partition cannot empty a list.

    :param records: all records by node id
    """

    def __init__(self, records: Mapping[str, MemberRecord]) -> None:
        self._records = records
        self._lists_by_service: dict[str, list[MemberRecord]] = {}
        self._grace_until_ms: dict[str, float] = {}

    def get(self, service: str) -> list[MemberRecord]:
        """Return the usable members of a service; the list is shared."""
        members = self._lists_by_service.get(service)
        if members is None:
            members = [r for r in self._records.values() if self._is_usable(r, service)]
            self._lists_by_service[service] = members
        return members

    def on_change(self, record: MemberRecord, known: MemberRecord | None) -> None:
        """Invalidate the lists of a changed record and end its grace period."""
        self._grace_until_ms.pop(record.node_id, None)
        self._lists_by_service.pop(record.service, None)
        if known is not None:
            self._lists_by_service.pop(known.service, None)

    def start_grace(self, record: MemberRecord, until_ms: float) -> None:
        """Keep an unreachable member usable until a given time."""
        self._grace_until_ms[record.node_id] = until_ms
        self._lists_by_service.pop(record.service, None)

    def expire_grace(self, now_ms: float) -> list[MemberRecord]:
        """End elapsed grace periods and return their members."""
        ended_ids = [
            node_id
            for node_id, until_ms in self._grace_until_ms.items()
            if until_ms <= now_ms
        ]
        return [self._end_grace(node_id) for node_id in ended_ids]

    def _end_grace(self, node_id: str) -> MemberRecord:
        record = self._records[node_id]
        self.on_change(record, None)
        return record

    def _is_usable(self, record: MemberRecord, service: str) -> bool:
        if record.service != service or not record.target_instance:
            return False
        if record.state in (MemberState.ALIVE, MemberState.SUSPECT):
            return True
        return record.node_id in self._grace_until_ms
