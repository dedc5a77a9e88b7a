"""Initial gossip contacts of a node, from the log stream ``members``."""

import random
from collections.abc import Callable

import anyio
import msgspec

from briardock.platformlog import LogClient, LogFailure

STREAM = "members"
READ_RECORDS = 100
RETRY_INTERVAL_S = 2.0
# The log retains records for a limited time, so the log readers of each failure
# domain publish their addresses again.
REPUBLISH_INTERVAL_S = 600.0


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
    """Publishes the address of this node, and reads others while it has no peers.

    :param log: client of the platform log
    :param local_contact: gossip address of this node
    :param is_alone: returns whether no other member is reachable
    :param is_log_reader: returns whether this node reads the log for its failure domain
    :param add_contacts: receives (host, port) pairs
    :param rng: random source of jitter
    """

    def __init__(
        self,
        log: LogClient,
        local_contact: Contact,
        is_alone: Callable[[], bool],
        is_log_reader: Callable[[], bool],
        add_contacts: Callable[[list[tuple[str, int]]], None],
        rng: random.Random,
    ) -> None:
        self._log = log
        self._local_contact = local_contact
        self._is_alone = is_alone
        self._is_log_reader = is_log_reader
        self._add_contacts = add_contacts
        self._rng = rng

    async def run(self) -> None:
        """Publish and read until cancelled; failures of the log are retried."""
        await self._read()
        published = False
        while True:
            if not published or self._is_log_reader():
                published = await self._publish()
            pause_s = REPUBLISH_INTERVAL_S * self._rng.uniform(0.5, 1.0)
            with anyio.move_on_after(pause_s if published else RETRY_INTERVAL_S):
                await self._read_while_alone()

    async def _read_while_alone(self) -> None:
        while True:
            if self._is_alone():
                await self._read()
            await anyio.sleep(RETRY_INTERVAL_S * self._rng.uniform(0.5, 1.0))

    async def _publish(self) -> bool:
        result = await self._log.append(
            STREAM, msgspec.json.encode(self._local_contact)
        )
        return not isinstance(result, LogFailure)

    async def _read(self) -> None:
        oldest = await self._log.read(STREAM, 0, 1)
        if isinstance(oldest, LogFailure):
            return
        start = max(oldest.first, oldest.next - READ_RECORDS)
        newest = await self._log.read(STREAM, start, READ_RECORDS)
        if isinstance(newest, LogFailure):
            return
        contacts = [_decode(record.body) for record in newest.records]
        self._add_contacts(
            [
                (contact.host, contact.port)
                for contact in contacts
                if contact is not None
                and contact.node_id != self._local_contact.node_id
            ]
        )


def _decode(body: bytes) -> Contact | None:
    try:
        return msgspec.json.decode(body, type=Contact)
    except msgspec.DecodeError:
        return None


def make_contacts(
    log: LogClient,
    local_contact: Contact,
    is_alone: Callable[[], bool],
    is_log_reader: Callable[[], bool],
    add_contacts: Callable[[list[tuple[str, int]]], None],
    rng: random.Random,
) -> Contacts:
    """Return the publisher and reader of initial contacts.

    :param log: client of the platform log
    :param local_contact: gossip address of this node
    :param is_alone: returns whether no other member is reachable
    :param is_log_reader: returns whether this node reads the log for its failure domain
    :param add_contacts: receives (host, port) pairs
    :param rng: random source of jitter
    """
    return Contacts(log, local_contact, is_alone, is_log_reader, add_contacts, rng)
