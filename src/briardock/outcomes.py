"""Outcomes of a call: a complete response, or a refusal or loss with a reason."""

import enum
from dataclasses import dataclass
from typing import NamedTuple

Headers = tuple[tuple[bytes, bytes], ...]


class Reason(enum.StrEnum):
    """Reasons of refusals and of unknown outcomes."""

    BAD_REQUEST = "bad-request"
    BODY_TOO_LARGE = "body-too-large"
    UNKNOWN_OPERATION = "unknown-operation"
    UNKNOWN_CONTEXT = "unknown-context"
    BAD_KEY = "bad-key"
    KEY_REQUIRED = "key-required"
    KEY_REUSED = "key-reused"
    REPEATABLE_PARENT = "repeatable-parent"
    NO_CONFIGURATION = "no-configuration"
    NO_INSTANCE = "no-instance"
    OVERLOADED = "overloaded"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    CANCELLED = "cancelled"
    LEAVING = "leaving"
    STALE_INCARNATION = "stale-incarnation"
    TARGET_ABSENT = "target-absent"
    TARGET_REFUSED = "target-refused"
    QUARANTINED = "quarantined"
    BUDGET_SPENT = "budget-spent"
    PEER_UNREACHABLE = "peer-unreachable"
    ANSWER_LOST = "answer-lost"
    TARGET_DIED = "target-died"
    ISSUER_GONE = "issuer-gone"
    KEY_EXPIRED = "key-expired"
    ANSWER_DROPPED = "answer-dropped"
    INTERNAL = "internal-error"


class ReasonInfo(NamedTuple):
    """How a reason is shown to a caller.

    :param status: HTTP status code
    :param remedy: what the caller or operator can do
    """

    status: int
    remedy: str


REASONS: dict[Reason, ReasonInfo] = {
    Reason.BAD_REQUEST: ReasonInfo(400, "send a well-formed HTTP/1.1 request"),
    Reason.BODY_TOO_LARGE: ReasonInfo(413, "send a smaller body or raise max_body_kb"),
    Reason.UNKNOWN_OPERATION: ReasonInfo(
        404, "check the path against the published operations of the service"
    ),
    Reason.UNKNOWN_CONTEXT: ReasonInfo(
        409, "return the Briardock-Context header of a request that still runs"
    ),
    Reason.BAD_KEY: ReasonInfo(
        400, "send an Idempotency-Key obtained from POST /_briardock/keys"
    ),
    Reason.KEY_REQUIRED: ReasonInfo(
        428, "obtain a key from POST /_briardock/keys and send it as Idempotency-Key"
    ),
    Reason.KEY_REUSED: ReasonInfo(
        422, "use a new key for a request with another operation or body"
    ),
    Reason.REPEATABLE_PARENT: ReasonInfo(
        409, "mark the calling operation idempotent = no"
    ),
    Reason.NO_CONFIGURATION: ReasonInfo(
        503, "publish a configuration or wait until the node has received one"
    ),
    Reason.NO_INSTANCE: ReasonInfo(
        503, "start a target of the service or wait until one announces itself"
    ),
    Reason.OVERLOADED: ReasonInfo(503, "retry later; the service is overloaded"),
    Reason.DEADLINE_EXCEEDED: ReasonInfo(504, "retry with a longer deadline"),
    Reason.CANCELLED: ReasonInfo(499, "the caller gave the request up"),
    Reason.LEAVING: ReasonInfo(503, "retry; the instance is shutting down"),
    Reason.STALE_INCARNATION: ReasonInfo(503, "retry; the instance was replaced"),
    Reason.TARGET_ABSENT: ReasonInfo(503, "retry when the target has announced itself"),
    Reason.TARGET_REFUSED: ReasonInfo(503, "retry later; the target shed the request"),
    Reason.QUARANTINED: ReasonInfo(
        422, "lift it with 'briardock quarantine lift' once the targets are fixed"
    ),
    Reason.BUDGET_SPENT: ReasonInfo(503, "start a new action later"),
    Reason.PEER_UNREACHABLE: ReasonInfo(503, "retry; the instance cannot be reached"),
    Reason.ANSWER_LOST: ReasonInfo(
        504, "check the result before acting; the request may have run"
    ),
    Reason.TARGET_DIED: ReasonInfo(
        504, "check the result before acting; the request may have run"
    ),
    Reason.ISSUER_GONE: ReasonInfo(
        504, "check the result before acting; the node that knew the outcome is gone"
    ),
    Reason.KEY_EXPIRED: ReasonInfo(
        504, "check the result before acting; use new keys within their lifetime"
    ),
    Reason.ANSWER_DROPPED: ReasonInfo(
        410, "the action completed; its answer is no longer held"
    ),
    Reason.INTERNAL: ReasonInfo(500, "see the node's log for the numbered event"),
}


@dataclass(frozen=True, slots=True)
class Completed:
    """The complete response of a target.

    :param status: HTTP status code of the target
    :param headers: response headers
    :param body: response body
    """

    status: int
    headers: Headers = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request was refused; no target ran it.

    :param reason: reason code
    :param detail: cause
    """

    reason: Reason
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; an at-most-once request is not retried.

    :param reason: reason code
    :param detail: cause
    """

    reason: Reason
    detail: str = ""


Outcome = Completed | NotRun | Unknown
