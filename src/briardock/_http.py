"""Parts shared by the HTTP server and the HTTP client of a node."""

import os
import select
import socket
from collections.abc import Awaitable, Callable, Iterable, Sequence

import anyio
import anyio.abc
from anyio.streams.stapled import MultiListener

from briardock import sockets
from briardock.events import Event, emit
from briardock.outcomes import Headers

RECEIVE_BYTES = 65_536
MAX_HEADER_BYTES = 65_536
# Delay after a failed accept, which fails again immediately while the process has
# no free file descriptor.
ACCEPT_RETRY_S = 0.1

AnyListener = (
    anyio.abc.Listener[anyio.abc.SocketStream] | MultiListener[anyio.abc.SocketStream]
)
StreamHandler = Callable[[anyio.abc.SocketStream], Awaitable[None]]

STREAM_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)

# RFC 9110 section 7.6.1, and obsolete fields that callers still send.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
# Fields that are not forwarded because each connection sets its own.
_UNFORWARDED_FIELDS = HOP_BY_HOP | {b"content-length"}
_UNFORWARDED_REQUEST_FIELDS = _UNFORWARDED_FIELDS | {b"host", b"expect"}


def end_to_end(
    headers: Iterable[tuple[bytes, bytes]], *, request: bool
) -> list[tuple[bytes, bytes]]:
    """Return the end-to-end headers, with names in lower case.

    Hop-by-hop fields, fields named by ``Connection`` and ``Content-Length`` are
    removed; for a request, so are ``Host`` and ``Expect``.

    :param headers: fields of one message
    :param request: whether the message is a request
    """
    unforwarded = _UNFORWARDED_REQUEST_FIELDS if request else _UNFORWARDED_FIELDS
    forwarded = []
    connection_options: set[bytes] = set()
    for name, value in headers:
        lower = name.lower()
        if lower not in unforwarded:
            forwarded.append((lower, value))
        elif lower == b"connection":
            connection_options.update(
                token.strip().lower() for token in value.split(b",")
            )
    if connection_options:
        forwarded = [field for field in forwarded if field[0] not in connection_options]
    return forwarded


async def accept_forever(
    listener: AnyListener, handler: StreamHandler, tasks: anyio.abc.TaskGroup
) -> None:
    """Accept connections until cancelled; log errors of an accept and retry.

    :param listener: TCP listener
    :param handler: serves one connection in a separate task
    :param tasks: task group for the connection tasks
    """
    while True:
        try:
            await listener.serve(handler, tasks)
        except* OSError as errors:
            emit(Event.ACCEPT_FAILED, error=repr(errors.exceptions[0]))
        await anyio.sleep(ACCEPT_RETRY_S)


def accept_backlog(
    listener: AnyListener, handler: StreamHandler, tasks: anyio.abc.TaskGroup
) -> None:
    """Accept the connections in the listen backlog.

    The kernel resets them when the listener closes.

    :param listener: TCP listener that no other task accepts from
    :param handler: serves one connection in a separate task
    :param tasks: task group for the connection tasks
    """
    tcp_listeners = (
        listener.listeners if isinstance(listener, MultiListener) else [listener]
    )
    for tcp_listener in tcp_listeners:
        raw = tcp_listener.extra(anyio.abc.SocketAttribute.raw_socket)
        while True:
            try:
                accepted, _ = raw.accept()
            except OSError:
                # The backlog is empty, or the caller has already disconnected.
                break
            tasks.start_soon(_serve_socket, accepted, handler)


async def _serve_socket(accepted: socket.socket, handler: StreamHandler) -> None:
    accepted.setblocking(False)
    try:
        stream = await anyio.abc.SocketStream.from_socket(accepted)
    except OSError as error:
        accepted.close()
        emit(Event.ACCEPT_FAILED, error=repr(error))
        return
    await handler(stream)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first field with a name.

    :param headers: fields with names in lower case
    :param name: name in lower case
    """
    for field, value in headers:
        if field == name:
            return value
    return None


def stream_fd(stream: anyio.abc.SocketStream) -> int:
    """Return the file descriptor of a stream."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    return int(raw.fileno())


def has_input(stream: anyio.abc.SocketStream) -> bool:
    """Return whether a stream without a reader has unread input or was closed."""
    return bool(_read_ahead(stream)) or sockets.has_input(stream_fd(stream))


def _read_ahead(stream: anyio.abc.SocketStream) -> Sequence[bytes]:
    """Return the chunks that anyio has read ahead; it has no public API for them."""
    protocol = getattr(stream, "_protocol", None)
    return getattr(protocol, "read_queue", ())


class IdleProbe:
    """Checks whether an idle connection has unread input, was closed or failed.

    :param stream: connection without a reader while it is idle
    """

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self._poll = select.poll()
        # The duplicate stays valid after the transport closes its descriptor.
        self._fd = os.dup(stream_fd(stream))
        self._poll.register(self._fd, select.POLLIN | select.POLLRDHUP)
        self._read_ahead = _read_ahead(stream)

    def is_quiet(self) -> bool:
        """Return whether nothing has arrived since the last complete response."""
        return not self._read_ahead and not self._poll.poll(0)

    def close(self) -> None:
        """Close the duplicate descriptor."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1
