"""State of one request while a node forwards it."""

from dataclasses import dataclass

from briardock.mesh.calls import Call
from briardock.mesh.clients import Sender
from briardock.mesh.http1 import Request
from briardock.mesh.members import NodeRecord
from briardock.mesh.model import RequestHead, Route, now_s
from briardock.overload.attempts import Attempts
from briardock.overload.entry import EntryRequest


@dataclass(slots=True, eq=False)
class RequestState:
    """State of one request while it is forwarded.

    :param head: decoded headers
    :param route: its route
    :param service: service chosen for it
    :param accepted_s: time at which its handling started
    :param expires_s: latest time of the final response
    :param sender: who sent it
    :param rank: rank by the priorities of its account and its route
    :param caller_waits_until_s: time until which its caller waits
    :param attempts: attempts at instances
    :param age_s: time since the first attempt of its caller, 0 for that one
    :param unresolved: whether it was sent to an instance that has not responded yet
    :param call: call of the attempt under way
    :param search_until_s: time until which an instance is searched for again, ``None``
        before the first search
    """

    head: RequestHead
    route: Route
    service: str
    accepted_s: float
    expires_s: float
    sender: Sender
    rank: int
    caller_waits_until_s: float
    attempts: Attempts
    age_s: float = 0.0
    unresolved: bool = False
    call: Call | None = None
    search_until_s: float | None = None

    @property
    def from_target(self) -> bool:
        """Whether the local target may have sent it."""
        return self.sender.from_target

    @property
    def passed_on(self) -> bool:
        """Whether a target may have received it."""
        return self.unresolved or self.attempts.may_have_run

    @property
    def entry_request(self) -> EntryRequest:
        """What decides whether it is admitted."""
        return EntryRequest(
            self.head.request_id,
            self.route.name,
            self.service,
            self.rank,
            self.route.objective_s,
            self.caller_waits_until_s - now_s(),
            self.age_s,
            self.sender.account_name,
        )

    def make_call(
        self,
        request: Request,
        record: NodeRecord,
        caller_service: str,
        may_hand_on: bool,
    ) -> Call:
        """Return a call of an instance.

        :param request: the request as it was read
        :param record: record of the instance
        :param caller_service: service of this node
        :param may_hand_on: whether the other node may hand it on
        """
        return Call(
            method=request.method,
            target=request.target,
            headers=self.head.forwarded,
            body=request.body,
            request_id=self.head.request_id,
            service=self.service,
            target_id=record.target_id,
            caller_service=caller_service,
            idempotent=self.route.idempotent,
            priority=self.rank,
            from_caller=not self.from_target,
            expires_s=self.expires_s,
            may_hand_on=may_hand_on,
            account=self.sender.account_name,
        )
