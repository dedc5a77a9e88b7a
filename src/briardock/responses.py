"""HTTP responses for outcomes."""

import msgspec

from briardock.listener import HttpResponse
from briardock.outcomes import REASONS, Completed, Headers, NotRun, Outcome, Unknown

OUTCOME_HEADER = b"Briardock-Outcome"
ACTION_HEADER = b"Briardock-Action"
JSON_HEADERS: Headers = ((b"Content-Type", b"application/json"),)


class Refusal(msgspec.Struct, frozen=True):
    """Response body for an outcome without a response of the target.

    :param outcome: ``not-run`` or ``unknown``
    :param reason: reason code
    :param detail: cause
    :param remedy: what the caller or operator can do
    """

    outcome: str
    reason: str
    detail: str
    remedy: str


def json_response(status: int, body: bytes, headers: Headers = ()) -> HttpResponse:
    """Return a response with a JSON body.

    :param status: HTTP status code
    :param body: encoded JSON
    :param headers: additional headers
    """
    return HttpResponse(status, (*JSON_HEADERS, *headers), body)


def outcome_response(outcome: Outcome, headers: Headers = ()) -> HttpResponse:
    """Return the response that reports an outcome to a caller.

    :param outcome: final outcome of the request
    :param headers: additional headers
    """
    match outcome:
        case Completed(status, target_headers, body):
            response_headers = (
                *target_headers,
                (OUTCOME_HEADER, b"completed"),
                *headers,
            )
            return HttpResponse(status, response_headers, body)
        case NotRun():
            return _refusal_response("not-run", outcome, headers)
        case Unknown():
            return _refusal_response("unknown", outcome, headers)


def _refusal_response(
    name: str, outcome: NotRun | Unknown, headers: Headers
) -> HttpResponse:
    info = REASONS[outcome.reason]
    refusal = Refusal(name, outcome.reason.value, outcome.detail, info.remedy)
    response_headers = ((OUTCOME_HEADER, name.encode()), *headers)
    return json_response(info.status, msgspec.json.encode(refusal), response_headers)
