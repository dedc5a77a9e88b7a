"""Tests of initial contacts: publishing, reading without peers, and log outages."""

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

LOCAL_CONTACT = Contact("n1", "127.0.0.1", 1)
OTHER_CONTACT = Contact("n2", "127.0.0.1", 2)
LOG_FAILURE = LogFailure(FailureKind.TIMEOUT, "down")


class FakeLog(LogClient):
    """In-memory log that can be unavailable."""

    def __init__(self, bodies: list[bytes], first: int = 0) -> None:
        self.bodies = bodies
        self.first = first
        self.down = False
        self.appended: list[bytes] = []
        self.read_count = 0

    async def append(self, stream: str, body: bytes) -> int | LogFailure:
        if self.down:
            return LOG_FAILURE
        self.appended.append(body)
        return len(self.bodies)

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_ms: float = 0.0
    ) -> ReadResult | LogFailure:
        if self.down:
            return LOG_FAILURE
        self.read_count += 1
        following = self.first + len(self.bodies)
        records = [
            LogRecord(self.first + i, body)
            for i, body in enumerate(self.bodies)
            if self.first + i >= from_offset
        ]
        return ReadResult(self.first, following, records[:limit])


class Run:
    """Runs contacts for a number of waits of about 1 ms."""

    def __init__(
        self, log: FakeLog, is_alone: bool = True, is_reader: bool = False
    ) -> None:
        self.log = log
        self.is_alone = is_alone
        self.added: list[tuple[str, int]] = []
        self.contacts = make_contacts(
            log,
            LOCAL_CONTACT,
            lambda: self.is_alone,
            lambda: is_reader,
            self.add,
            make_random(1),
        )

    def add(self, found: list[tuple[str, int]]) -> None:
        self.added += found

    async def wait(self, wait_count: int, recover_at: int = -1) -> None:
        """Run for a number of waits; the log recovers after some of them."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.contacts.run)
            waits = 0
            while waits < wait_count:
                await anyio.sleep(0.001)
                waits += 1
                if waits == recover_at:
                    self.log.down = False
            tasks.cancel_scope.cancel()


@pytest.fixture(autouse=True)
def short_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(contacts_module, "RETRY_INTERVAL_S", 0.001)


def encode(contact: Contact) -> bytes:
    return msgspec.json.encode(contact)


def test_local_address_is_published_once_and_others_are_read() -> None:
    log = FakeLog([encode(LOCAL_CONTACT), b"damaged", encode(OTHER_CONTACT)])
    run = Run(log, is_alone=False)
    anyio.run(run.wait, 20)
    assert log.appended == [encode(LOCAL_CONTACT)]
    assert run.added == [("127.0.0.1", 2)]


def test_only_the_newest_records_are_read() -> None:
    # Guards against a start that reads the complete log or requires its first record.
    bodies = [encode(Contact(f"m{i}", "127.0.0.1", i)) for i in range(300)]
    run = Run(FakeLog(bodies, first=1_000), is_alone=False)
    anyio.run(run.wait, 5)
    assert [port for _, port in run.added] == list(range(300 - READ_RECORDS, 300))


def test_node_without_peers_reads_again() -> None:
    # Guards against two nodes that start at the same time and never find each other.
    log = FakeLog([])
    run = Run(log)
    anyio.run(run.wait, 50)
    assert log.read_count > 4


def test_publishing_and_reading_resume_after_an_outage() -> None:
    log = FakeLog([encode(OTHER_CONTACT)])
    log.down = True
    run = Run(log)
    anyio.run(run.wait, 60, 10)
    assert log.appended == [encode(LOCAL_CONTACT)]
    assert ("127.0.0.1", 2) in run.added
