"""Routes of the HTTP listener: calls, keys and announcements."""

from briardock.announcements import Announcements
from briardock.entry import Entry
from briardock.listener import HttpRequest, HttpResponse
from briardock.outcomes import NotRun, Reason
from briardock.responses import outcome_response

INTERNAL_PREFIX = "/_briardock/"


async def handle_caller(
    entry: Entry, announcements: Announcements, request: HttpRequest
) -> HttpResponse:
    """Handle one request from a caller or from the local target.

    :param entry: handler of calls
    :param announcements: handler of target announcements
    :param request: complete HTTP request
    """
    path, _, query = request.path.partition("?")
    match request.method, path:
        case "POST", "/_briardock/keys":
            return entry.issue_keys(_parse_count(query))
        case "POST", "/_briardock/target":
            return await announcements.handle(request)
        case _, path if path.startswith(INTERNAL_PREFIX):
            detail = f"{request.method} {path}"
            return outcome_response(NotRun(Reason.UNKNOWN_OPERATION, detail))
        case _:
            return await entry.handle(request)


def _parse_count(query: str) -> int:
    """Return ``count`` from a query, 1 if it is absent and 0 if it is invalid."""
    for part in query.split("&"):
        name, _, value = part.partition("=")
        if name == "count":
            return int(value) if value.isascii() and value.isdigit() else 0
    return 1
