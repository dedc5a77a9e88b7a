"""Metrics page of a node: its counters, and the state when the page is requested."""

import math

from briardock.mesh.http1 import Response
from briardock.mesh.replication import Replicator
from briardock.mesh.target import Target
from briardock.mesh.telemetry import Telemetry


def metrics_page(
    telemetry: Telemetry, target: Target, replicator: Replicator
) -> Response:
    """Return the metrics page.

    :param telemetry: metrics of the node
    :param target: the target beside it
    :param replicator: replicated state of the node
    """
    telemetry.queued.set(target.queued)
    telemetry.admission_threshold.set(target.threshold(False))
    telemetry.store_era.set(replicator.store_era)
    age_s = replicator.config_age_s()
    telemetry.config_age.set(math.nan if age_s is None else age_s)
    work = target.work_report()
    if work is not None:
        telemetry.target_slowness.set(work.slowness)
        telemetry.target_room.set(work.room)
        telemetry.target_delay.set(work.start_delay_s)
    return Response(200, [(b"content-type", b"text/plain")], telemetry.render())
