"""Framing of a link: a 4-byte big-endian length and one message."""

import struct

import anyio
import anyio.abc
import msgspec

from briardock._http import RECEIVE_BYTES, STREAM_ERRORS
from briardock.messages import (
    FRAME_HEADER_BYTES,
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    Hello,
    LinkMessage,
    Message,
    decode_link_message,
    encode,
)

# Limits what an unknown peer can make a node buffer. Larger frames are accepted only
# after the handshake.
MAX_HELLO_BYTES = 4_096
# Queue size at which further calls are refused; fits one frame of the maximum size.
MAX_QUEUED_BYTES = MAX_FRAME_BYTES

_HEADER = struct.Struct(">I")


class FrameError(Exception):
    """The peer violated the protocol; the connection has to be closed."""


def encode_frame(message: Message) -> bytes:
    """Return the frame of a message.

    :raises FrameError: if the message exceeds the frame limit
    """
    data = encode(message)
    if len(data) > MAX_FRAME_BYTES:
        raise FrameError(f"message of {len(data)} bytes exceeds {MAX_FRAME_BYTES}")
    return _HEADER.pack(len(data)) + data


class FrameReader:
    """Reads messages from a stream.

    :param stream: connection with no other reader
    """

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self._stream = stream
        self._buffer = bytearray()
        self.max_frame_bytes = MAX_HELLO_BYTES

    async def receive(self) -> list[LinkMessage]:
        """Wait for input and return all complete messages.

        :raises FrameError: if a frame is too large or undecodable
        :raises anyio.EndOfStream: when the peer closed the connection
        """
        while True:
            data = await self._stream.receive(RECEIVE_BYTES)
            if self._buffer:
                self._buffer += data
                messages = self._parse_buffer()
            else:
                messages = self._parse(data)
            if messages:
                return messages

    def _parse_buffer(self) -> list[LinkMessage]:
        size_bytes = self._frame_size(self._buffer, 0)
        if len(self._buffer) < FRAME_HEADER_BYTES + size_bytes:
            return []
        data = bytes(self._buffer)
        self._buffer.clear()
        return self._parse(data)

    def _parse(self, data: bytes) -> list[LinkMessage]:
        messages = []
        view = memoryview(data)
        start = 0
        while start < len(data):
            end = start + FRAME_HEADER_BYTES + self._frame_size(data, start)
            if end > len(data) or start + FRAME_HEADER_BYTES > len(data):
                self._buffer += view[start:]
                break
            messages.append(_decode(view[start + FRAME_HEADER_BYTES : end]))
            start = end
        return messages

    def _frame_size(self, data: bytes | bytearray, start: int) -> int:
        """Return the payload size given by a header, 0 for a partial header."""
        if len(data) - start < FRAME_HEADER_BYTES:
            return 0
        size_bytes = int(_HEADER.unpack_from(data, start)[0])
        if size_bytes > self.max_frame_bytes:
            limit_bytes = self.max_frame_bytes
            raise FrameError(f"frame of {size_bytes} bytes exceeds {limit_bytes}")
        return size_bytes


def _decode(data: memoryview) -> LinkMessage:
    try:
        return decode_link_message(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise FrameError(f"undecodable frame: {error}") from error


class FrameWriter:
    """Writes the frames of several tasks to a stream, without a copy if it is idle.

    The calling task sends a frame itself if nothing is queued; otherwise the task
    in ``run`` sends it.

    :param stream: connection with no other writer
    """

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self._stream = stream
        self._queue: dict[int, bytes] = {}
        self._queued_bytes = 0
        self._is_sending = False
        # Whether a send was cancelled while the peer did not read.
        self._is_stalled = False
        self._wake = anyio.Event()

    def is_full(self) -> bool:
        """Return whether the queue is full because the peer reads too slowly."""
        return self._queued_bytes >= MAX_QUEUED_BYTES

    async def send(self, frame: bytes, tag: int) -> None:
        """Send or queue a frame.

        :param frame: encoded frame
        :param tag: identifies the frame for ``withdraw``
        :raises anyio.BrokenResourceError: if the connection is lost
        """
        if self._is_sending or self._queue or self._is_stalled:
            self.queue(frame, tag)
            return
        self._is_sending = self._is_stalled = True
        try:
            await self._stream.send(frame)
            self._is_stalled = False
        finally:
            self._is_sending = False
            if self._queue:
                self._wake.set()

    def queue(self, frame: bytes, tag: int) -> None:
        """Queue a frame for the task in ``run``."""
        self._queue[tag] = frame
        self._queued_bytes += len(frame)
        if not self._is_sending:
            self._wake.set()

    def withdraw(self, tag: int) -> bool:
        """Remove a queued frame; return whether no byte of it was written."""
        frame = self._queue.pop(tag, None)
        if frame is None:
            return False
        self._queued_bytes -= len(frame)
        return True

    async def run(self) -> None:
        """Send queued frames until cancelled or until the connection is lost."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            if self._is_sending:
                continue
            try:
                await self._send_queued()
            except STREAM_ERRORS:
                # The task that reads the stream reports the loss.
                return

    async def _send_queued(self) -> None:
        self._is_sending = True
        try:
            if self._is_stalled:
                # Queued frames can be withdrawn until the stream accepts bytes again.
                await self._stream.send(b"")
                self._is_stalled = False
            while self._queue:
                await self._stream.send(self._take_batch())
        finally:
            self._is_sending = False

    def _take_batch(self) -> bytes:
        batch = []
        size_bytes = 0
        while self._queue and size_bytes < RECEIVE_BYTES:
            tag = next(iter(self._queue))
            frame = self._queue.pop(tag)
            batch.append(frame)
            size_bytes += len(frame)
        self._queued_bytes -= size_bytes
        return batch[0] if len(batch) == 1 else b"".join(batch)


def expect_hello(reader: FrameReader, message: LinkMessage) -> Hello:
    """Return the message if it is a ``Hello`` of this protocol version.

    The reader then accepts frames of the maximum size.

    :raises FrameError: if it is any other message
    """
    if not isinstance(message, Hello):
        raise FrameError(f"{type(message).__name__} before Hello")
    if message.version != PROTOCOL_VERSION:
        raise FrameError(
            f"protocol version {message.version}, expected {PROTOCOL_VERSION}"
        )
    reader.max_frame_bytes = MAX_FRAME_BYTES
    return message
