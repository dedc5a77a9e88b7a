"""Parsing of the requests on one connection within limits on their size."""

import httptools

from briardock.mesh.http1 import Request, without_copy
from briardock.mesh.memory import counted_head_bytes
from briardock.mesh.model import CallerLimits, Headers, now_s

# Largest number of bytes that a request sends after its head beside its body (chunk
# sizes, their extensions and trailers), as a constant and per byte of the body. Parsing
# chunks of a few bytes takes a hundred times as long as parsing the body alone. What is
# counted includes up to 64 KiB of earlier requests.
MAX_FRAMING_BYTES = 128 * 1024
MAX_FRAMING_PER_BODY_BYTE = 1
# Headers that delimit the body of a request.
FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


class RequestReader:
    """Parses requests and enforces the limits on each.

    A client may send a head, a line or trailers without end. What the parser holds is
    bounded by the limit on heads: lines count with their bytes, and so do the bytes
    that complete no line.

    :param limits: limits on callers
    """

    def __init__(self, limits: CallerLimits) -> None:
        # Complete requests that were not taken yet.
        self.requests: list[Request] = []
        # Status of the refusal of a request, 0 for none. Nothing is read after it.
        self.refusal_status = 0
        self.expects_continue = False
        self.limits = limits
        self.is_reading = False
        self.received_s = 0.0
        # Time of the last bytes of a body.
        self.progressed_s = 0.0
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(
            self
        )
        # Whether the open request goes on in a parser that began with another head.
        self._has_other_head = False
        # Number of elements of messages that were read, and the bytes since the last.
        self._elements = 0
        self._unfinished_bytes = 0
        # Elements that were read before the last request began.
        self._earlier_elements = 0
        self._reset_message()

    def _reset_message(self) -> None:
        self.in_head = True
        self._target = b""
        self._headers: Headers = []
        self._body = bytearray()
        self._head_bytes = 0
        self._trailer_bytes = 0
        self._received_bytes = 0
        self._content_length = 0
        self._ends_connection = False
        self._method = b""

    def close(self) -> None:
        """Release the parser, which refers to this reader, and the open request."""
        self._parser = None
        self._reset_message()

    @property
    def held_bytes(self) -> int:
        """Memory held by the request that is being read, bytes."""
        head_bytes = counted_head_bytes(self._head_bytes, len(self._headers))
        return head_bytes + len(self._body)

    @property
    def request_elements(self) -> int:
        """Header lines, chunks and other elements of the request that began last."""
        return self._elements - self._earlier_elements

    def feed(self, data: bytes) -> None:
        """Parse bytes of the connection.

        :param data: bytes from the connection
        """
        if self._parser is None or self.refusal_status:
            return
        elements_before = self._elements
        rest: bytes | None = data
        while rest is not None and not self.refusal_status:
            rest = self._parse(rest)
        if self._elements != elements_before:
            self._unfinished_bytes = 0
        else:
            self._unfinished_bytes += len(data)
        if not self.in_head:
            self.progressed_s = now_s()
            self._received_bytes += len(data)
        if self.is_reading or self._unfinished_bytes:
            self._refuse(self._exceeded_limit())

    def _parse(self, data: bytes) -> bytes | None:
        """Parse bytes; return those behind the head of a request to upgrade, if any."""
        assert self._parser is not None
        try:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                self._ignore_upgrade()
                return data[upgrade.args[0] :]
        except httptools.HttpParserError:
            self._refuse(400)
        return None

    def _ignore_upgrade(self) -> None:
        """Go on with the request as one that does not ask for another protocol.

        The parser takes what follows such a head for another protocol. Another parser
        reads the body, if there is one, after a head that only delimits it.
        """
        if self.refusal_status:
            return
        self._parser = httptools.HttpRequestParser(self)
        lines = [
            name + b": " + value + b"\r\n"
            for name, value in self._headers
            if name in FRAMING_HEADERS
        ]
        self._has_other_head = True
        self._parser.feed_data(
            self._method + b" / HTTP/1.1\r\n" + b"".join(lines) + b"\r\n"
        )

    def _exceeded_limit(self) -> int:
        """Return the status that refuses the request that is read, 0 for none."""
        limits = self.limits
        max_body_bytes, max_head_bytes = limits.body_bytes, limits.header_bytes
        body_bytes = len(self._body)
        framing_bytes = self._received_bytes - body_bytes
        if (
            self._content_length > max_body_bytes
            or body_bytes > max_body_bytes
            or framing_bytes
            > MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * body_bytes
        ):
            return 413
        if (
            self._head_bytes > max_head_bytes
            or self._trailer_bytes > max_head_bytes
            or self._unfinished_bytes > max_head_bytes
        ):
            return 431
        return 0

    def _refuse(self, status: int) -> None:
        if status and not self.refusal_status:
            self.refusal_status = status
            self._reset_message()

    def on_message_begin(self) -> None:
        """Start a request."""
        if self._has_other_head:
            return
        self._earlier_elements = self._elements
        self._elements += 1
        self.is_reading = True
        self.received_s = now_s()

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target, which may arrive in several parts."""
        if self._has_other_head:
            return
        self._elements += 1
        self._target += url
        self._head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; a trailer is counted and dropped."""
        if self._has_other_head:
            return
        self._elements += 1
        line_bytes = len(name) + len(value) + 3
        if not self.in_head:
            self._trailer_bytes += line_bytes
            return
        self._head_bytes += line_bytes
        name = name.lower()
        self._headers.append((name, value))
        if name == b"expect":
            self.expects_continue = True
        elif name == b"content-length":
            self._content_length = int(value) if value.isdigit() else 0
        elif name == b"connection" and b"close" in value.lower():
            self._ends_connection = True

    def on_headers_complete(self) -> None:
        """End the head."""
        self.in_head = False
        self._has_other_head = False

    def on_chunk_header(self) -> None:
        """Start a chunk of the body."""
        self._elements += 1

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        self._elements += 1
        try:
            self._body += body
        except MemoryError:
            # There is no memory for the body.
            self._refuse(503)

    def on_message_complete(self) -> None:
        """Add the complete request, unless it or an earlier one is refused."""
        self._elements += 1
        if self._parser is None:
            return
        method = self._method or self._parser.get_method()
        if method == b"CONNECT":
            self._refuse(400)
        elif not self._method and self._parser.should_upgrade():
            # The body, if there is one, is still to come.
            self._method = method
            return
        self._refuse(self._exceeded_limit())
        if self.refusal_status:
            return
        self.requests.append(
            Request(
                method,
                self._target,
                self._headers,
                without_copy(self._body),
                self.received_s,
                self._ends_connection,
                self.held_bytes,
            )
        )
        self.is_reading = False
        self._reset_message()
