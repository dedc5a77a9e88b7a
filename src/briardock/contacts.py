"""First contacts of a node from the log stream ``members``."""

import random
from collections.abc import Callable

import anyio
import msgspec

from briardock.platformlog import LogClient, LogFailure

STREAM = "members"
READ_RECORDS = 100
ALONE_RETRY_S = 2.0
# Retention of the log is limited, so the readers of each domain repeat theirs.
REPEAT_S = 600.0


class Contact(msgspec.Struct, frozen=True):
    """Gossip address of a node.

    :param node_id: node
    :param host: numeric address
    :param port: gossip port
    """

    node_id: str
    host: str
    port: int


class Contacts:
    """Publishes the own address and reads others while the node is alone.

    :param log: client of the platform log
    :param own: own address
    :param is_alone: whether no other member is reachable
    :param is_reader: whether this node reads the log for its domain
    :param add_contacts: receives (host, port) pairs
    :param rng: random source of jitter
    """

    def __init__(
        self,
        log: LogClient,
        own: Contact,
        is_alone: Callable[[], bool],
        is_reader: Callable[[], bool],
        add_contacts: Callable[[list[tuple[str, int]]], None],
        rng: random.Random,
    ) -> None:
        self._log = log
        self._own = own
        self._is_alone = is_alone
        self._is_reader = is_reader
        self._add_contacts = add_contacts
        self._rng = rng

    async def run(self) -> None:
        """Publish and read until cancelled; an outage of the log only delays."""
        await self._read()
        published = False
        while True:
            if not published or self._is_reader():
                published = await self._publish()
            pause_s = REPEAT_S * self._rng.uniform(0.5, 1.0)
            with anyio.move_on_after(pause_s if published else ALONE_RETRY_S):
                await self._read_while_alone()

    async def _read_while_alone(self) -> None:
        while True:
            if self._is_alone():
                await self._read()
            await anyio.sleep(ALONE_RETRY_S * self._rng.uniform(0.5, 1.0))

    async def _publish(self) -> bool:
        result = await self._log.append(STREAM, msgspec.json.encode(self._own))
        return not isinstance(result, LogFailure)

    async def _read(self) -> None:
        head = await self._log.read(STREAM, 0, 1)
        if isinstance(head, LogFailure):
            return
        start = max(head.first, head.next - READ_RECORDS)
        tail = await self._log.read(STREAM, start, READ_RECORDS)
        if isinstance(tail, LogFailure):
            return
        found = [_decode(record.body) for record in tail.records]
        self._add_contacts(
            [
                (contact.host, contact.port)
                for contact in found
                if contact is not None and contact.node_id != self._own.node_id
            ]
        )


def _decode(body: bytes) -> Contact | None:
    try:
        return msgspec.json.decode(body, type=Contact)
    except msgspec.DecodeError:
        return None


def make_contacts(
    log: LogClient,
    own: Contact,
    is_alone: Callable[[], bool],
    is_reader: Callable[[], bool],
    add_contacts: Callable[[list[tuple[str, int]]], None],
    rng: random.Random,
) -> Contacts:
    """Return the source of first contacts.

    :param log: client of the platform log
    :param own: own address
    :param is_alone: whether no other member is reachable
    :param is_reader: whether this node reads the log for its domain
    :param add_contacts: receives (host, port) pairs
    :param rng: random source of jitter
    """
    return Contacts(log, own, is_alone, is_reader, add_contacts, rng)
