"""Account of the memory that the connections of a process hold for clients."""

# Share of the memory limit of the process that the account may use. The rest is for
# the interpreter, for responses and for the copies made while a request is forwarded.
MEMORY_SHARE = 0.15
# Memory of one parsed header line beside its text: the objects of name, value and pair,
# and the references to them while the message is forwarded.
HEADER_LINE_BYTES = 256
# Size of a head in memory that is not counted. Ordinary heads are smaller, so that they
# cost no accounting.
UNCOUNTED_HEAD_BYTES = 8 * 1024
# Limit on the responses that are read, as a share of the memory of the process and
# in bytes, and what one of them may hold in any case, bytes. A single request and a
# single response that use up both accounts leave a quarter of the memory, 50 MB of the
# smallest machines, for the interpreter.
RESPONSE_SHARE = 1 / 8
RESPONSE_LIMIT_BYTES = 32 * 1024 * 1024
RESPONSE_FLOOR_BYTES = 256 * 1024
# What one connection may hold although the account is used up, bytes. Ordinary requests
# hold less, so that they are served beside clients that use up the account.
CONNECTION_FLOOR_BYTES = 32 * 1024
DEFAULT_LIMIT_BYTES = 64 * 1024 * 1024
# A connection that holds most of what is held may use up to this multiple of the limit
# while all others hold less than this share of it. A single body of the largest size
# that the configuration allows is thus accepted while nothing else is.
SINGLE_LIMIT_FACTOR = 8 / 3
MAX_OTHERS_SHARE = 0.25


class MemoryAccount:
    """Bytes that connections hold: request heads, bodies and bytes not yet parsed.

    One account serves all listeners of a process, which share its memory, and another
    one all connections on which it reads responses.

    :param limit_bytes: bytes from which connections above their floor are refused
    :param floor_bytes: bytes that one connection may hold in any case
    """

    def __init__(
        self,
        limit_bytes: int = DEFAULT_LIMIT_BYTES,
        floor_bytes: int = CONNECTION_FLOOR_BYTES,
    ) -> None:
        self.limit_bytes = limit_bytes
        self._floor_bytes = floor_bytes
        self.used_bytes = 0

    def refuses(self, held_bytes: int) -> bool:
        """Return whether a connection has to give up what it holds.

        :param held_bytes: what the connection holds, included in the account
        """
        if self.used_bytes <= self.limit_bytes or held_bytes <= self._floor_bytes:
            return False
        other_bytes = self.used_bytes - held_bytes
        return (
            other_bytes > MAX_OTHERS_SHARE * self.limit_bytes
            or held_bytes > SINGLE_LIMIT_FACTOR * self.limit_bytes
        )


def account_for_process(memory_bytes: int) -> MemoryAccount:
    """Return the account of a process.

    :param memory_bytes: memory limit of the process
    """
    return MemoryAccount(int(memory_bytes * MEMORY_SHARE))


def response_account(memory_bytes: int | None = None) -> MemoryAccount:
    """Return the account of the responses that a process reads.

    :param memory_bytes: memory limit of the process, ``None`` if it is not known
    """
    limit_bytes = RESPONSE_LIMIT_BYTES
    if memory_bytes is not None:
        limit_bytes = min(limit_bytes, int(memory_bytes * RESPONSE_SHARE))
    return MemoryAccount(limit_bytes, RESPONSE_FLOOR_BYTES)


def counted_head_bytes(text_bytes: int, line_count: int) -> int:
    """Return what a parsed head counts in an account.

    :param text_bytes: size of its text
    :param line_count: number of its header lines
    """
    head_bytes = text_bytes + HEADER_LINE_BYTES * line_count
    return head_bytes if head_bytes > UNCOUNTED_HEAD_BYTES else 0
