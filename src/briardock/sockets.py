"""Operations on the sockets of streams that an event loop owns."""

import contextlib
import select
import socket


def has_input(descriptor: int) -> bool:
    """Return whether a connection has unread input or was closed by its peer.

    :param descriptor: descriptor of the connection
    """
    poll = select.poll()
    poll.register(descriptor, select.POLLIN | select.POLLRDHUP)
    return bool(poll.poll(0))


def send_end(descriptor: int, peer: str | None = None) -> None:
    """Tell the peer of a connection at once that nothing more is sent to it.

    A stream closes a turn of the event loop later than it is told to. What the peer
    sends in that turn is reset, although it could not know of the close.

    :param descriptor: descriptor of a connection without unsent bytes
    :param peer: numeric address of its peer, ``host:port``, if the connection may have
        failed: its descriptor may be that of another one by now
    """
    # Without a free descriptor, the peer learns of the end when the stream closes.
    with contextlib.suppress(OSError):
        raw = socket.fromfd(descriptor, socket.AF_INET, socket.SOCK_STREAM)
        with raw:
            if peer is None or "{}:{}".format(*raw.getpeername()[:2]) == peer:
                raw.shutdown(socket.SHUT_WR)
