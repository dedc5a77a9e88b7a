"""Target that an earlier process of the node published, until it is known to be ready.

The departure that the earlier process acknowledged may have been lost with the memory
of all nodes, so the target is used only after a health check.
"""

from briardock.mesh.decisions import DecisionLog
from briardock.mesh.members import NodeRecord
from briardock.mesh.model import TargetState
from briardock.mesh.target import Target
from briardock.mesh.tasks import BackgroundTasks


class RestoredTarget:
    """Restores the target of one node from the record of an earlier process.

    :param target: the target beside this node
    :param log: decision log
    """

    def __init__(self, target: Target, log: DecisionLog) -> None:
        self._target = target
        self._log = log
        self._health_paths: dict[str, str] = {}
        # Newest record of an earlier process whose target is not known to be ready.
        self._unconfirmed_record: NodeRecord | None = None
        self._checks = BackgroundTasks()

    def set_health_paths(self, health_paths: dict[str, str]) -> None:
        """Put the paths of the health checks into force.

        :param health_paths: paths by service
        """
        self._health_paths = health_paths
        self._check()

    def restore(self, record: NodeRecord) -> None:
        """Restore the state of the target that an earlier process published.

        :param record: newest record of an earlier process, of the same service
        """
        if record.state is TargetState.READY:
            self._unconfirmed_record = record
            self._check()
        elif record.state is TargetState.LEAVING:
            self._unconfirmed_record = None
            self._target.leave(record.target_id, record.target_born_ms)
            self._target.adopt(record.target_id, record.target_born_ms, record.slots)

    def _check(self) -> None:
        """Start the check of the target once its health path is known."""
        record = self._unconfirmed_record
        health_path = self._health_paths.get(self._target.service)
        if record is None or not health_path:
            return
        self._unconfirmed_record = None
        self._checks.start(self._adopt_if_ready(record, health_path))

    async def _adopt_if_ready(self, record: NodeRecord, health_path: str) -> None:
        """Use the target if it states that it accepts requests.

        Otherwise the node waits for its next announcement.
        """
        if await self._target.accepts_requests(record.target_id, health_path):
            self._target.adopt(record.target_id, record.target_born_ms, record.slots)
        elif not self._target.target_id:
            self._log.event("target-not-restored", target=record.target_id)
