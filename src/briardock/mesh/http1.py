"""HTTP/1.1 messages and their encoding; ``http_server`` and ``http_client`` parse.

They parse with httptools on asyncio protocols. anyio streams are not used on the call
path because each read through them costs more CPU time than the whole exchange.
"""

import enum
from asyncio import WriteTransport
from dataclasses import dataclass, field
from http import HTTPStatus

from briardock.mesh.model import Headers

# Hop-by-hop headers (RFC 9110, 7.6.1) and those that each hop writes itself.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
# Names of headers that nodes add for each other or for callers. Clients and targets may
# not send any: theirs would be taken for those of a node.
NODE_HEADER_PREFIX = b"briardock-"
# Size from which a body is neither copied nor joined with its head.
LARGE_BODY_BYTES = 64 * 1024
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}

# Body of a message. A large one is passed on as it was collected.
Body = bytes | bytearray


@dataclass(slots=True)
class Request:
    """A completely read request.

    :param method: method
    :param target: path and query as sent
    :param headers: headers as sent, names in lower case
    :param body: whole body
    :param received_s: time at which its first byte was read
    :param ends_connection: whether the sender asked to close the connection after it
    :param held_bytes: memory that counts for it until it is answered
    """

    method: bytes
    target: bytes
    headers: Headers
    body: Body
    received_s: float
    ends_connection: bool = False
    held_bytes: int = 0


@dataclass(slots=True)
class Response:
    """A completely read response, or one to be written.

    :param status: status code
    :param headers: end-to-end headers
    :param body: whole body
    :param close: whether the connection is closed after it
    """

    status: int
    headers: Headers = field(default_factory=list)
    body: Body = b""
    close: bool = False


class FailureCause(enum.Enum):
    """What a failed exchange tells about the peer.

    ``REFUSED``: nothing listens at its port.
    ``OWN_SHORTAGE``: nothing, because this process lacked resources for a connection
    or memory for the response.
    """

    REFUSED = enum.auto()
    OWN_SHORTAGE = enum.auto()
    OTHER = enum.auto()


@dataclass(frozen=True, slots=True)
class ExchangeFailure:
    """An exchange without a complete response.

    :param reason: why it failed
    :param sent: whether the peer may have read the request
    :param cause: what it tells about the peer
    """

    reason: str
    sent: bool
    cause: FailureCause = FailureCause.OTHER


def end_to_end(headers: Headers) -> Headers:
    """Return the end-to-end headers of a client or target, which are forwarded.

    Headers with names that only nodes use are dropped.

    :param headers: headers with names in lower case
    """
    kept = []
    connection_headers: set[bytes] = set()
    for header in headers:
        name = header[0]
        if name not in HOP_BY_HOP:
            if not name.startswith(NODE_HEADER_PREFIX):
                kept.append(header)
        elif name == b"connection":
            connection_headers.update(
                part.strip().lower() for part in header[1].split(b",")
            )
    return (
        [h for h in kept if h[0] not in connection_headers]
        if connection_headers
        else kept
    )


def encode_request_head(
    method: bytes, target: bytes, headers: Headers, body_bytes: int
) -> bytes:
    """Return the head of a request with a content length.

    :param method: method
    :param target: path and query
    :param headers: end-to-end headers
    :param body_bytes: length of the body
    """
    parts = [method, b" ", target, b" HTTP/1.1\r\n"]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    if body_bytes or method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        parts.append(b"content-length: %d\r\n" % body_bytes)
    parts.append(b"\r\n")
    return b"".join(parts)


def encode_request(
    method: bytes, target: bytes, headers: Headers, body: bytes
) -> bytes:
    """Return a request encoded with a content length.

    :param method: method
    :param target: path and query
    :param headers: end-to-end headers
    :param body: whole body
    """
    return encode_request_head(method, target, headers, len(body)) + body


def encode_response_head(response: Response) -> bytes:
    """Return the head of a response with a content length.

    :param response: response to write
    """
    status = response.status
    parts = [b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, b"Unknown"))]
    for name, value in response.headers:
        parts += (name, b": ", value, b"\r\n")
    if status >= 200 and status not in (204, 304):
        parts.append(b"content-length: %d\r\n" % len(response.body))
    if response.close:
        parts.append(b"connection: close\r\n")
    parts.append(b"\r\n")
    return b"".join(parts)


def encode_response(response: Response) -> bytes:
    """Return a response encoded with a content length.

    :param response: response to write
    """
    return encode_response_head(response) + response.body


def write_message(transport: WriteTransport, head: bytes, body: Body) -> None:
    """Write a message without copying a large body.

    :param transport: transport of the connection
    :param head: encoded head
    :param body: whole body
    """
    if len(body) < LARGE_BODY_BYTES:
        transport.write(head + body)
    else:
        transport.writelines((head, body))


def without_copy(body: bytearray) -> Body:
    """Return a body as it is if it is large, or else as bytes.

    :param body: body that nothing changes any more
    """
    return bytes(body) if len(body) < LARGE_BODY_BYTES else body
