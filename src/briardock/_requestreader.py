"""Parsing of HTTP requests into calls of published operations."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from briardock.clock import Clock
from briardock.configuration import Catalog, Operation
from briardock.inbound import DEADLINE_HEADER, RESERVED_HEADERS
from briardock.listener import HttpRequest
from briardock.outcomes import Headers, NotRun, Reason


@dataclass(frozen=True, slots=True)
class CallRequest:
    """Request to a known operation.

    :param operation: operation in force
    :param method: HTTP method
    :param path: path below the service, with the query
    :param headers: end-to-end headers, without the headers reserved for nodes
    :param body: request body
    :param deadline_at_ms: deadline on this node's clock
    """

    operation: Operation
    method: str
    path: str
    headers: Headers
    body: bytes
    deadline_at_ms: float


class RequestReader:
    """Finds the operation and the deadline of requests.

    :param clock: monotonic clock
    :param catalog: returns the configuration in force, ``None`` before the first
    """

    def __init__(self, clock: Clock, catalog: Callable[[], Catalog | None]) -> None:
        self._clock = clock
        self._catalog = catalog

    def find(self, service: str, method: str, path: str) -> Operation | NotRun:
        """Return the operation of a request.

        :param service: name of the service
        :param method: HTTP method
        :param path: path below the service
        """
        catalog = self._catalog()
        if catalog is None:
            return NotRun(Reason.NO_CONFIGURATION, "no configuration received yet")
        operation = catalog.find(service, method, path)
        if operation is None:
            return NotRun(Reason.UNKNOWN_OPERATION, f"{method} {service}{path}")
        return operation

    def read(
        self, request: HttpRequest, headers: dict[bytes, bytes], limit_at_ms: float
    ) -> CallRequest | NotRun:
        """Return the call that a request makes, or why it is refused.

        :param request: complete HTTP request
        :param headers: its headers by lower-case name
        :param limit_at_ms: latest deadline on this node's clock
        """
        service, _, rest = request.path.lstrip("/").partition("/")
        path = f"/{rest}"
        operation = self.find(service, request.method, path)
        if isinstance(operation, NotRun):
            return operation
        if len(request.body) > operation.max_body_bytes:
            detail = (
                f"{operation.name} accepts at most {operation.max_body_bytes} bytes"
            )
            return NotRun(Reason.BODY_TOO_LARGE, detail)
        remaining_ms = _parse_ms(headers.get(DEADLINE_HEADER.lower()))
        if remaining_ms is None:
            return NotRun(
                Reason.BAD_REQUEST, "Briardock-Deadline-Ms is not a valid number"
            )
        deadline_at_ms = self._clock.now_ms() + min(remaining_ms, operation.deadline_ms)
        return CallRequest(
            operation,
            request.method,
            path,
            _end_to_end_headers(request.headers),
            request.body,
            min(deadline_at_ms, limit_at_ms),
        )


def _end_to_end_headers(headers: Headers) -> Headers:
    return tuple(
        (name, value) for name, value in headers if name.lower() not in RESERVED_HEADERS
    )


def _parse_ms(value: bytes | None) -> float | None:
    if value is None:
        return math.inf
    try:
        parsed = float(value)
    except ValueError:
        return None
    return parsed if parsed >= 0 and not math.isnan(parsed) else None


def make_request_reader(
    clock: Clock, catalog: Callable[[], Catalog | None]
) -> RequestReader:
    """Return a reader of requests.

    :param clock: monotonic clock
    :param catalog: returns the configuration in force, ``None`` before the first
    """
    return RequestReader(clock, catalog)
