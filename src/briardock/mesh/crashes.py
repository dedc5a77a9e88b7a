"""Quarantine of requests that crash the targets that run them.

When the target beside this node dies, the requests that it was running become
suspects. Nodes exchange suspects by gossip and refuse a request that was in flight at
three deaths, regardless of the request id under which it is sent again.
"""

from collections.abc import Callable

from briardock.clock import Clock
from briardock.mesh.calls import Call
from briardock.mesh.model import now_s
from briardock.quarantine import (
    Quarantine,
    QuarantineEntry,
    QuarantineSettings,
    fingerprint,
)

# Deaths after which a request is refused. Requests that merely ran at the same time as
# the crashing one are rarely in flight at three deaths.
REFUSAL_DEATHS = 3
# Time after the loss of a response in which a death of the target is attributed to its
# request, s.
LOST_RESPONSE_LIFETIME_S = 3.0


class CrashSuspects:
    """Suspected requests, and requests whose responses were recently lost.

    :param clock: time source of the quarantine
    :param publish: called with new entries for other nodes
    """

    def __init__(
        self, clock: Clock, publish: Callable[[list[QuarantineEntry]], None]
    ) -> None:
        settings = QuarantineSettings(deaths=REFUSAL_DEATHS)
        self.quarantine = Quarantine(settings, clock)
        self._publish = publish
        self._lost_responses: dict[str, float] = {}

    def record_loss(self, call: Call) -> None:
        """Record a request whose response from the target was lost.

        :param call: the request
        """
        self._lost_responses[_fingerprint(call)] = now_s()

    def record_death(self, death_id: str) -> None:
        """Suspect the requests whose responses were lost just before a death.

        :param death_id: identifies the death
        """
        oldest_s = now_s() - LOST_RESPONSE_LIFETIME_S
        fingerprints = [
            request_fingerprint
            for request_fingerprint, lost_s in self._lost_responses.items()
            if lost_s > oldest_s
        ]
        self._lost_responses.clear()
        if fingerprints:
            self._publish(self.quarantine.record_death(fingerprints, death_id))

    def refuses(self, call: Call) -> bool:
        """Return whether a request is refused.

        :param call: the request
        """
        if not self.quarantine.may_refuse():
            return False
        return self.quarantine.refuses(_fingerprint(call))


def _fingerprint(call: Call) -> str:
    operation = f"{call.caller_service} {call.method.decode('latin-1')}"
    return fingerprint(operation, call.target.decode("latin-1"), call.body)
