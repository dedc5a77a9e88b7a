"""Members that may get new calls, by service."""

from collections.abc import Mapping

from briardock.member_records import MemberRecord, MemberState


class UsableIndex:
    """Lists of usable members, made on demand and kept until they change.

    An unreachable member stays usable during its grace time, so that outdated
    verdicts arriving after a partition cannot empty a list.

    :param records: all records by node id
    """

    def __init__(self, records: Mapping[str, MemberRecord]) -> None:
        self._records = records
        self._lists: dict[str, list[MemberRecord]] = {}
        self._grace_until_ms: dict[str, float] = {}

    def get(self, service: str) -> list[MemberRecord]:
        """Return the usable members of a service; the list is shared."""
        found = self._lists.get(service)
        if found is None:
            found = [r for r in self._records.values() if self._is_usable(r, service)]
            self._lists[service] = found
        return found

    def changed(self, record: MemberRecord, known: MemberRecord | None) -> None:
        """Note a new or dropped record; it has no grace time."""
        self._grace_until_ms.pop(record.node_id, None)
        self._lists.pop(record.service, None)
        if known is not None:
            self._lists.pop(known.service, None)

    def give_grace(self, record: MemberRecord, until_ms: float) -> None:
        """Keep an unreachable member usable until a time."""
        self._grace_until_ms[record.node_id] = until_ms
        self._lists.pop(record.service, None)

    def end_grace(self, now_ms: float) -> list[MemberRecord]:
        """Return the members whose grace time is over."""
        ended = [i for i, until in self._grace_until_ms.items() if until <= now_ms]
        return [self._end_one(node_id) for node_id in ended]

    def _end_one(self, node_id: str) -> MemberRecord:
        record = self._records[node_id]
        self.changed(record, None)
        return record

    def _is_usable(self, record: MemberRecord, service: str) -> bool:
        if record.service != service or not record.target_instance:
            return False
        if record.state in (MemberState.ALIVE, MemberState.SUSPECT):
            return True
        return record.node_id in self._grace_until_ms
