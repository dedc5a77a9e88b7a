"""Departures that a node has acknowledged to the targets beside it."""

# Targets beside a node follow one another, and each leaves once. Announcements arrive
# seconds late, so none arrives after this many later departures.
MAX_DEPARTURES = 16


class Departures:
    """Latest start of each target that has departed.

    The oldest departures are forgotten beyond ``MAX_DEPARTURES`` targets.
    """

    def __init__(self) -> None:
        self._latest_born_ms: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._latest_born_ms)

    def record(self, target_id: str, born_ms: int) -> None:
        """Record that a target departed.

        :param target_id: id of the target
        :param born_ms: start of the target, Unix time in ms
        """
        earlier_ms = self._latest_born_ms.pop(target_id, born_ms)
        self._latest_born_ms[target_id] = max(earlier_ms, born_ms)
        if len(self._latest_born_ms) > MAX_DEPARTURES:
            del self._latest_born_ms[next(iter(self._latest_born_ms))]

    def include(self, target_id: str, born_ms: int) -> bool:
        """Return whether a target has departed, and was not started again since.

        :param target_id: id of the target
        :param born_ms: start of the target, Unix time in ms, 0 if it is not known
        """
        latest_born_ms = self._latest_born_ms.get(target_id)
        return latest_born_ms is not None and born_ms <= latest_born_ms
