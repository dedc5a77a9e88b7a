"""Buffer for the body of a message while it is received."""

import mmap

# Body of a message. A large one is a view of its mapping.
Body = bytes | memoryview

# Size from which a body has a memory mapping of its own.
LARGE_BODY_BYTES = 64 * 1024


class BodyBuffer:
    """A body that grows without being copied.

    A large ``bytearray`` that grows in the heap is copied to a new place, so that the
    body takes twice its size, and what it leaves behind is seldom returned to the
    operating system. A mapping is moved without a copy, only the pages that were
    written take memory, and all of them are returned when it is released.
    """

    def __init__(self) -> None:
        self._small = bytearray()
        self._large: mmap.mmap | None = None
        self._size_bytes = 0

    def __len__(self) -> int:
        return self._size_bytes

    def append(self, part: bytes) -> None:
        """Add a part of the body.

        :param part: bytes that follow
        :raises OSError: if there is no memory for the mapping
        """
        end = self._size_bytes + len(part)
        if self._large is None and end < LARGE_BODY_BYTES:
            self._small += part
        else:
            self._reserve(end)[self._size_bytes : end] = part
        self._size_bytes = end

    def _reserve(self, size_bytes: int) -> mmap.mmap:
        """Return the mapping, with room for a number of bytes."""
        if self._large is None:
            flags = mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
            self._large = mmap.mmap(-1, 2 * size_bytes, flags=flags)
            self._large[: self._size_bytes] = self._small
            self._small.clear()
        elif len(self._large) < size_bytes:
            self._large.resize(2 * size_bytes)
        return self._large

    def take(self) -> Body:
        """Return the body without copying a large one, and empty the buffer."""
        body: Body
        if self._large is None:
            body = bytes(self._small)
        else:
            self._large.resize(self._size_bytes)
            body = memoryview(self._large)
        self.clear()
        return body

    def clear(self) -> None:
        """Release the memory of the body."""
        self._small = bytearray()
        self._large = None
        self._size_bytes = 0
