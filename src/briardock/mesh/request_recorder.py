"""What operators learn of the requests that a node forwards: log lines and metrics."""

from briardock.mesh.calls import Completed, NotRun, Result, Unknown
from briardock.mesh.decisions import DecisionLog
from briardock.mesh.members import NodeRecord
from briardock.mesh.model import now_s
from briardock.mesh.request_state import RequestState
from briardock.mesh.telemetry import Telemetry
from briardock.overload.attempts import Busy, MayHaveRun, Outcome
from briardock.overload.entry import TurnedAway


class RequestRecorder:
    """Records how requests ended and what their attempts met.

    :param log: decision log
    :param telemetry: metrics
    """

    def __init__(self, log: DecisionLog, telemetry: Telemetry) -> None:
        self._log = log
        self._telemetry = telemetry

    def record_overload(
        self, state: RequestState, threshold: float, decision: TurnedAway
    ) -> None:
        """Record a request that was refused because its chain lacks headroom.

        :param state: the request
        :param threshold: lowest threshold of its chain, in ranks
        :param decision: why it was refused
        """
        self._log.event(
            "refused-overload",
            id=state.head.request_id.decode("latin-1"),
            route=state.route.name,
            service=state.service,
            priority=state.rank,
            level=round(threshold, 3),
            usual_share=round(decision.baseline_ratio, 2),
            age_s=round(state.age_s, 3),
            **(
                {}
                if decision.account_share is None
                else {
                    "account": state.sender.account_name,
                    "account_share": round(decision.account_share, 3),
                }
            ),
        )
        self._telemetry.requests.labels("refused-overload").inc()

    def record_failure(self, state: RequestState, status: int, reason: str) -> None:
        """Record a request that failed, or may have run without a response.

        :param state: the request
        :param status: status of the response to its caller
        :param reason: why it failed
        """
        self._log.event(
            "failed",
            id=state.head.request_id.decode("latin-1"),
            route=state.route.name,
            service=state.service,
            status=status,
            reason=reason,
            arrivals=state.attempts.arrivals,
        )
        self._telemetry.requests.labels("failed").inc()

    def record_abandoned(self, state: RequestState) -> None:
        """Record a request whose caller has left.

        :param state: the request
        """
        self._log.event(
            "caller-left",
            id=state.head.request_id.decode("latin-1"),
            route=state.route.name,
            passed_on=state.passed_on,
            age_s=round(now_s() - state.accepted_s, 3),
        )
        self._telemetry.requests.labels("caller-left").inc()

    def record_cut_off(self, state: RequestState, stopped_s: float) -> None:
        """Record a request that is ended because the node ends.

        :param state: the request
        :param stopped_s: time of the stop signal, in s since boot
        """
        self._log.event(
            "cut-off",
            id=state.head.request_id.decode("latin-1"),
            route=state.route.name,
            passed_on=state.passed_on,
            accepted_after_stop_s=round(state.accepted_s - stopped_s, 3),
        )

    def record_attempt(
        self,
        state: RequestState,
        record: NodeRecord,
        result: Result,
        outcome: Outcome,
        retry: bool,
    ) -> None:
        """Record an attempt that did not complete the request.

        :param state: the request
        :param record: record of the instance
        :param result: result of the call
        :param outcome: what it means for further attempts
        :param retry: whether another attempt follows
        """
        match result, outcome:
            case _, Busy():
                self._telemetry.handed_on.inc()
            case Completed(response), MayHaveRun():
                self._log_retry(state, record, f"status {response.status}", retry)
            case NotRun(reason) | Unknown(reason), _:
                self._log_retry(state, record, reason, retry)

    def _log_retry(
        self, state: RequestState, record: NodeRecord, reason: str, allowed: bool
    ) -> None:
        self._log.event(
            "repeated" if allowed else "not-repeated",
            id=state.head.request_id.decode("latin-1"),
            service=state.service,
            instance=record.node_id,
            reason=reason,
            arrivals=state.attempts.arrivals,
        )
        if allowed:
            self._telemetry.retries.labels(reason.partition(":")[0]).inc()
