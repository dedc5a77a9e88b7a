"""Account of the memory that the connections of a process hold for clients."""

# Share of the memory limit of the process that the account may use. The rest is for
# the interpreter, for responses and for the copies made while a request is forwarded.
MEMORY_SHARE = 0.15
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

    One account serves all listeners of a process, which share its memory.

    :param limit_bytes: bytes from which connections above their floor are refused
    """

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    def refuses(self, held_bytes: int) -> bool:
        """Return whether a connection has to give up what it holds.

        :param held_bytes: what the connection holds, included in the account
        """
        if self.used_bytes <= self.limit_bytes or held_bytes <= CONNECTION_FLOOR_BYTES:
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
