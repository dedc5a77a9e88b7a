"""Quarantine of requests that crash the targets that run them.

When the target beside this node dies, the requests that it was running become
suspects. Nodes exchange suspects by gossip and refuse a request that was in flight at
three deaths, regardless of the request id under which it is sent again.
"""

import random
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
# request, s, unless it is known that the target died after it was last seen running.
LOST_RESPONSE_LIFETIME_S = 3.0
# Time after which a lost response is forgotten in each case, s, and the largest number
# of them that is kept.
MAX_LOSS_AGE_S = 30.0
MAX_LOST_RESPONSES = 1_000
# A suspected request is cleared by one in so many successful runs, chosen at random. A
# request that crashes one run in a few thus stays suspected, on any number of nodes,
# while one that merely ran beside another is soon cleared.
RUNS_PER_CLEARING = 20


class CrashSuspects:
    """Suspected requests, and requests whose responses were recently lost.

    :param clock: time source of the quarantine
    :param publish: called with changed entries for other nodes
    :param rng: chooses the successful runs that clear suspects
    """

    def __init__(
        self,
        clock: Clock,
        publish: Callable[[list[QuarantineEntry]], None],
        rng: random.Random | None = None,
    ) -> None:
        settings = QuarantineSettings(deaths=REFUSAL_DEATHS)
        self.quarantine = Quarantine(settings, clock)
        self._publish = publish
        self._rng = rng or random.Random()
        # Time of the loss and incarnation of the target, by fingerprint; oldest first.
        self._lost_responses: dict[str, tuple[float, str]] = {}
        # Incarnation that died last, and when.
        self._last_death = ("", 0.0)

    def record_loss(self, call: Call, incarnation: str = "") -> None:
        """Record a request whose response from the target was lost.

        :param call: the request
        :param incarnation: incarnation of the target that ran it, empty for any
        """
        lost = self._lost_responses
        name = _fingerprint(call)
        now = now_s()
        died, died_s = self._last_death
        noticed_before = incarnation != "" and incarnation == died
        if noticed_before and now - died_s < LOST_RESPONSE_LIFETIME_S:
            self._suspect([name], died)
            return
        lost.pop(name, None)
        lost[name] = now, incarnation
        oldest = next(iter(lost))
        if len(lost) > MAX_LOST_RESPONSES or now - lost[oldest][0] > MAX_LOSS_AGE_S:
            del lost[oldest]

    def record_death(self, death_id: str, since_s: float | None = None) -> None:
        """Suspect the requests whose responses were lost just before a death.

        :param death_id: identifies the death: the incarnation that died
        :param since_s: time at which the target was last seen running, if it is known
            to have died after that
        """
        now = now_s()
        self._last_death = death_id, now
        oldest_s = now - LOST_RESPONSE_LIFETIME_S
        if since_s is not None:
            oldest_s = max(min(oldest_s, since_s), now - MAX_LOSS_AGE_S)
        names = [
            name
            for name, (lost_s, incarnation) in self._lost_responses.items()
            if lost_s > oldest_s and incarnation in ("", death_id)
        ]
        self._lost_responses.clear()
        self._suspect(names, death_id)

    def _suspect(self, names: list[str], death_id: str) -> None:
        changed = self.quarantine.record_death(names, death_id)
        if changed:
            self._publish(changed)

    def record_success(self, call: Call) -> None:
        """Clear a suspected request with some of its successful runs.

        :param call: a request that the target completed
        """
        if not self.quarantine.may_clear():
            return
        if self._rng.random() * RUNS_PER_CLEARING >= 1.0:
            return
        changed = self.quarantine.record_success(_fingerprint(call))
        if changed:
            self._publish(changed)

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
