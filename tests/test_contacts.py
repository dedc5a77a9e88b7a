"""Tests of first contacts: published once, read while alone, outages tolerated."""

import anyio
import msgspec
import pytest

from briardock import contacts as contacts_module
from briardock.clock import make_random
from briardock.contacts import READ_RECORDS, Contact, make_contacts
from briardock.platformlog import (
    FailureKind,
    LogClient,
    LogFailure,
    LogRecord,
    ReadResult,
)

OWN = Contact("n1", "127.0.0.1", 1)
OTHER = Contact("n2", "127.0.0.1", 2)
DOWN = LogFailure(FailureKind.TIMEOUT, "down")


class FakeLog(LogClient):
    """Log in memory that can be down."""

    def __init__(self, bodies: list[bytes], first: int = 0) -> None:
        self.bodies = bodies
        self.first = first
        self.down = False
        self.appended: list[bytes] = []
        self.read_count = 0

    async def append(self, stream: str, body: bytes) -> int | LogFailure:
        if self.down:
            return DOWN
        self.appended.append(body)
        return len(self.bodies)

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_ms: float = 0.0
    ) -> ReadResult | LogFailure:
        if self.down:
            return DOWN
        self.read_count += 1
        following = self.first + len(self.bodies)
        records = [
            LogRecord(self.first + i, body)
            for i, body in enumerate(self.bodies)
            if self.first + i >= from_offset
        ]
        return ReadResult(self.first, following, records[:limit])


class Run:
    """Contacts run for a number of pauses of about 1 ms."""

    def __init__(self, log: FakeLog, alone: bool = True, reader: bool = False) -> None:
        self.log = log
        self.alone = alone
        self.added: list[tuple[str, int]] = []
        self.contacts = make_contacts(
            log, OWN, lambda: self.alone, lambda: reader, self.add, make_random(1)
        )

    def add(self, found: list[tuple[str, int]]) -> None:
        self.added += found

    async def wait(self, seen: int, repair_at: int = -1) -> None:
        """Run until the log was asked a number of times."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.contacts.run)
            asked = 0
            while asked < seen:
                await anyio.sleep(0.001)
                asked += 1
                if asked == repair_at:
                    self.log.down = False
            tasks.cancel_scope.cancel()


@pytest.fixture(autouse=True)
def short_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(contacts_module, "ALONE_RETRY_S", 0.001)


def encode(contact: Contact) -> bytes:
    return msgspec.json.encode(contact)


def test_own_address_is_published_once_and_others_are_read() -> None:
    log = FakeLog([encode(OWN), b"damaged", encode(OTHER)])
    run = Run(log, alone=False)
    anyio.run(run.wait, 20)
    assert log.appended == [encode(OWN)]
    assert run.added == [("127.0.0.1", 2)]


def test_only_the_newest_records_are_read() -> None:
    # Guards against a start that reads the whole log or expects its beginning.
    bodies = [encode(Contact(f"m{i}", "127.0.0.1", i)) for i in range(300)]
    run = Run(FakeLog(bodies, first=1_000), alone=False)
    anyio.run(run.wait, 5)
    assert [port for _, port in run.added] == list(range(300 - READ_RECORDS, 300))


def test_lonely_node_reads_again() -> None:
    # Guards against two nodes that start at once and never meet.
    log = FakeLog([])
    run = Run(log)
    anyio.run(run.wait, 50)
    assert log.read_count > 4


def test_outage_delays_the_publish_and_ends_nothing() -> None:
    log = FakeLog([encode(OTHER)])
    log.down = True
    run = Run(log)
    anyio.run(run.wait, 60, 10)
    assert log.appended == [encode(OWN)]
    assert ("127.0.0.1", 2) in run.added
