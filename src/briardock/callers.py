"""Routes of the HTTP listener: calls, keys and announcements."""

from briardock.announcements import Announcements
from briardock.entry import Entry
from briardock.listener import HttpRequest, HttpResponse
from briardock.outcomes import NotRun, Reason
from briardock.replies import outcome_response

INTERNAL_PREFIX = "/_briardock/"


async def handle_caller(
    entry: Entry, announcements: Announcements, request: HttpRequest
) -> HttpResponse:
    """Answer one request of a caller or of the target beside this node.

    :param entry: entry of calls
    :param announcements: announcements of the target
    :param request: whole HTTP request
    """
    path, _, query = request.path.partition("?")
    match request.method, path:
        case "POST", "/_briardock/keys":
            return entry.issue_keys(_count_of(query))
        case "POST", "/_briardock/target":
            return await announcements.handle(request)
        case _, path if path.startswith(INTERNAL_PREFIX):
            detail = f"{request.method} {path}"
            return outcome_response(NotRun(Reason.UNKNOWN_OPERATION, detail))
        case _:
            return await entry.handle(request)


def _count_of(query: str) -> int:
    """Return the ``count`` of a query, 1 if absent and 0 if it is no number."""
    for part in query.split("&"):
        name, _, value = part.partition("=")
        if name == "count":
            return int(value) if value.isascii() and value.isdigit() else 0
    return 1
