"""Tests of the acceptance rule, checkpoints, gossip deltas and the reader."""

import random
from collections.abc import Callable, Mapping

import anyio
import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from briardock import _changes, publishing
from briardock._records import digest_of
from briardock.clock import ManualClock
from briardock.platformlog import FailureKind, LogFailure, LogRecord, ReadResult
from briardock.publishing import (
    ABSENT,
    Accepted,
    Applied,
    Behind,
    ConfigReader,
    ConfigState,
    Ignored,
    Publish,
    Rejected,
    Stale,
    encode_record,
    make_config_reader,
    make_config_state,
)

BASE = "[policy]\ndefault_class = z\n\n[class z]\nrank = 0\n\n"
NAMES = ("10-a.ini", "20-b.ini", "30-c.ini")


def text(name: str, rank: int) -> str:
    """Return a file that passes the checks with or without the others."""
    return f"{BASE}[class {name[3]}]\nrank = {rank}\n[service {name[3]}]\n"


def body(
    change_id: str,
    base: dict[str, int],
    changes: Mapping[str, str | None],
) -> bytes:
    return encode_record(Publish(change_id, "ana", base, dict(changes)))


class FakeLog:
    """In-memory log with trimming and injected failures."""

    def __init__(self) -> None:
        self.first = 0
        self.bodies: list[bytes] = []
        self.failure: LogFailure | None = None
        self.max_records = 1000

    @property
    def next(self) -> int:
        return self.first + len(self.bodies)

    def add(self, record: bytes) -> int:
        self.bodies.append(record)
        return self.next - 1

    def trim(self, count: int) -> None:
        del self.bodies[:count]
        self.first += count

    def records(self, from_offset: int, limit: int = 1000) -> list[LogRecord]:
        start = max(from_offset, self.first)
        chosen = range(start, min(self.next, start + limit))
        return [LogRecord(at, self.bodies[at - self.first]) for at in chosen]

    async def append(self, stream: str, record: bytes) -> int | LogFailure:
        return self.failure or self.add(record)

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_ms: float = 0.0
    ) -> ReadResult | LogFailure:
        if limit > self.max_records:
            return LogFailure(FailureKind.BAD_ANSWER, "response is too large")
        result = ReadResult(self.first, self.next, self.records(from_offset, limit))
        return self.failure or result


def follow(state: ConfigState, log: FakeLog, limit: int = 1000) -> None:
    """Read like the reader does, up to the end or a number of records."""
    for _ in range(3):
        state.observe_log(log.first, log.next)
        for record in log.records(state.next_offset, limit):
            was_incomplete = state.is_incomplete
            state.apply(record.offset, record.body)
            if was_incomplete and not state.is_incomplete:
                break
        else:
            return


def published(count: int) -> tuple[ConfigState, list[bytes]]:
    """Return a state after some changes of one file, and their deltas."""
    state, deltas = make_config_state(), []
    for offset in range(count):
        base = {NAMES[0]: offset - 1}
        change = body(f"id{offset}", base, {NAMES[0]: text(NAMES[0], offset % 8)})
        outcome = state.apply(offset, change)
        assert isinstance(outcome, Accepted)
        deltas.append(outcome.delta)
    return state, deltas


@pytest.mark.parametrize(
    "base, changes, kind",
    [
        ({NAMES[0]: 2}, {NAMES[0]: text(NAMES[0], 3)}, Accepted),
        ({NAMES[0]: 1}, {NAMES[0]: text(NAMES[0], 3)}, Rejected),
        ({}, {NAMES[0]: text(NAMES[0], 3)}, Rejected),
        ({NAMES[0]: 3}, {NAMES[0]: text(NAMES[0], 3)}, Rejected),
        ({}, {NAMES[1]: text(NAMES[1], 3)}, Accepted),
        ({NAMES[1]: ABSENT}, {NAMES[1]: text(NAMES[1], 3)}, Accepted),
        # The base version of an absent file is not offset 0.
        ({NAMES[1]: 0}, {NAMES[1]: text(NAMES[1], 3)}, Rejected),
        ({NAMES[0]: 2}, {NAMES[0]: None}, Accepted),
        ({NAMES[0]: 2}, {NAMES[0]: "[class a]\nrank = 9\n"}, Rejected),
        ({NAMES[0]: 2}, {NAMES[0]: "x"}, Rejected),
        ({NAMES[0]: 2}, {NAMES[0]: text(NAMES[0], 1), NAMES[1]: "x"}, Rejected),
        ({}, {"../evil.ini": "[class a]\nrank = 1\n"}, Rejected),
        ({}, {}, Ignored),
    ],
)
def test_change_is_accepted_only_with_current_bases_and_valid_files(
    base: dict[str, int], changes: dict[str, str | None], kind: type
) -> None:
    state, _ = published(3)
    before = dict(state.files)
    outcome = state.apply(3, body("new", base, changes))
    assert type(outcome) is kind
    assert (state.version == 3) == (kind is Accepted)
    assert kind is Accepted or dict(state.files) == before


@pytest.mark.parametrize(
    "record",
    [
        b"",
        b"{",
        b"[]",
        b"\xff",
        b'{"type":"other"}',
        b'{"type":"publish"}',
        b"[" * 9999,
    ],
)
def test_undecodable_record_is_ignored_and_skipped(record: bytes) -> None:
    # Guards against a node that stops at a record written by another program.
    state, _ = published(2)
    assert isinstance(state.apply(2, record), Ignored)
    assert (state.version, state.last_offset) == (1, 2)


def test_rejected_change_names_the_conflicting_file() -> None:
    state, _ = published(1)
    state.apply(1, body("first", {NAMES[0]: 0}, {NAMES[0]: text(NAMES[0], 5)}))
    change = {NAMES[0]: text(NAMES[0], 6), NAMES[1]: text(NAMES[1], 1)}
    outcome = state.apply(2, body("second", {NAMES[0]: 0}, change))
    assert isinstance(outcome, Rejected)
    assert outcome.conflicts == (NAMES[0],)
    result = state.result_of("second")
    assert result is not None and result.conflicts == (NAMES[0],)
    assert NAMES[1] not in state.files


def test_late_duplicate_does_not_restore_a_deleted_file() -> None:
    # Guards against a retried append that takes effect after its change id was
    # dropped from the recent changes: the deleted file keeps its version.
    state = make_config_state()
    create = body("create", {}, {NAMES[0]: text(NAMES[0], 1)})
    state.apply(0, create)
    state.apply(1, body("delete", {NAMES[0]: 0}, {NAMES[0]: None}))
    for offset in range(2, 3 + _changes.RECENT_CHANGES):
        state.apply(offset, body(f"x{offset}", {NAMES[1]: 99}, {NAMES[1]: ""}))
    outcome = state.apply(state.last_offset + 1, create)
    assert isinstance(outcome, Rejected)
    assert not state.files


def test_recent_changes_are_bounded() -> None:
    state, _ = published(2 * _changes.RECENT_CHANGES + 50)
    assert state.result_of("id0") is None
    last = state.last_offset
    assert state.result_of(f"id{last}") is not None
    assert len(state.checkpoint().results) == _changes.RECENT_CHANGES


def test_log_that_restarted_lower_does_not_lower_the_version() -> None:
    state, _ = published(5)
    state.observe_log(0, 1)
    outcome = state.apply(0, body("fresh", {}, {NAMES[1]: text(NAMES[1], 1)}))
    assert isinstance(outcome, Ignored)
    assert (state.version, state.log_restarted) == (4, True)
    state.observe_log(0, 6)
    assert not state.log_restarted


def _delta_cases() -> list[tuple[str, Callable[[list[bytes]], bytes], int, type]]:
    return [
        ("next", lambda deltas: deltas[2], 2, Applied),
        ("gap", lambda deltas: deltas[3], 2, Behind),
        ("same", lambda deltas: deltas[1], 2, Stale),
        ("first", lambda deltas: deltas[0], 0, Applied),
        ("damaged", lambda deltas: deltas[2][:-3], 2, Stale),
        ("garbage", lambda deltas: b"\x00" * 20, 2, Stale),
    ]


@pytest.mark.parametrize(
    "choose_delta, known_count, kind",
    [pytest.param(*case[1:], id=case[0]) for case in _delta_cases()],
)
def test_delta_applies_only_to_the_previous_version(
    choose_delta: Callable[[list[bytes]], bytes], known_count: int, kind: type
) -> None:
    _, deltas = published(4)
    state, _ = published(known_count)
    assert type(state.apply_delta(choose_delta(deltas))) is kind


def test_snapshot_is_installed_only_when_newer() -> None:
    newer, _ = published(4)
    older, _ = published(2)
    assert not newer.install_snapshot(older.snapshot())
    newer.apply(4, body("late", {}, {NAMES[0]: ""}))
    assert older.install_snapshot(newer.snapshot())
    assert older.digest == newer.digest
    # The snapshot has the results up to its version, so further reading gives the same.
    assert older.result_of("id3") == newer.result_of("id3")
    assert older.result_of("late") is None
    assert not older.install_snapshot(newer.snapshot())


def test_state_of_a_trimmed_log_is_incomplete_until_a_checkpoint() -> None:
    log = FakeLog()
    complete, _ = published(0)
    for offset in range(6):
        base = {NAMES[0]: offset - 1}
        log.add(body(f"id{offset}", base, {NAMES[0]: text(NAMES[0], offset)}))
    follow(complete, log)
    log.trim(3)
    new_state = make_config_state()
    follow(new_state, log)
    assert new_state.is_incomplete and new_state.version == -1
    log.add(encode_record(complete.checkpoint()))
    follow(new_state, log)
    assert not new_state.is_incomplete
    assert (new_state.digest, new_state.last_offset) == (complete.digest, 6)
    assert new_state.result_of("id1") == complete.result_of("id1")


@pytest.mark.parametrize("trimmed, restored", [(2, True), (3, False), (4, False)])
def test_checkpoint_must_reach_the_first_retained_record(
    trimmed: int, restored: bool
) -> None:
    # Guards against a state without the records between the checkpoint and the first
    # record that the log retains.
    state, _ = published(2)
    early = state.checkpoint()
    log = FakeLog()
    for offset in range(5):
        log.add(body(f"id{offset}", {NAMES[0]: offset - 1}, {NAMES[0]: BASE}))
    log.add(encode_record(early))
    log.trim(trimmed)
    new_state = make_config_state()
    follow(new_state, log)
    assert new_state.is_incomplete != restored
    assert new_state.version == (4 if restored else -1)


def test_checkpoint_of_a_lower_version_does_not_fill_a_gap() -> None:
    # Guards against a log that lost its last records and then grew past the offset of
    # this node.
    state, _ = published(4)
    other, _ = published(2)
    old = other.checkpoint()
    later = type(old)(30, old.version, old.files, old.results, old.digest)
    state.observe_log(20, 32)
    assert isinstance(state.apply(31, encode_record(later)), Ignored)
    assert (state.version, state.is_incomplete) == (3, True)


@pytest.mark.parametrize("accepted", [True, False])
def test_duplicate_keeps_the_first_result(accepted: bool) -> None:
    # Guards against a retried append that returns the wrong result to its author.
    state, _ = published(1)
    base = 0 if accepted else 5
    record = body("twice", {NAMES[0]: base}, {NAMES[0]: text(NAMES[0], 4)})
    state.apply(1, record)
    assert state.apply(2, record) == Ignored("change id already seen")
    result = state.result_of("twice")
    assert result is not None
    assert (result.offset, result.accepted) == (1, accepted)


def test_damaged_or_inconsistent_checkpoint_is_ignored() -> None:
    state, _ = published(3)
    files = {**state.checkpoint().files}
    other, _ = published(2)
    other_checkpoint = other.checkpoint()
    inconsistent = type(other_checkpoint)(
        2, 2, other_checkpoint.files, [], digest_of(2, other_checkpoint.files)
    )
    damaged = type(other_checkpoint)(2, 2, files, [], "00")
    for offset, record in enumerate((inconsistent, damaged), 3):
        outcome = state.apply(offset, encode_record(record))
        assert outcome == Ignored("checkpoint differs from the local state")
    assert state.checkpoint_offset == -1
    assert not make_config_state().restore(damaged, 3)


def make_reader(log: FakeLog, state: ConfigState) -> tuple[ConfigReader, list[bytes]]:
    deltas: list[bytes] = []
    rng = random.Random(1)
    clock = ManualClock()
    reader = make_config_reader(log, state, deltas.append, clock, rng, 100.0)
    return reader, deltas


def test_reader_backs_off_and_recovers_without_losing_records() -> None:
    log, state = FakeLog(), make_config_state()
    reader, deltas = make_reader(log, state)
    log.add(body("a", {}, {NAMES[0]: text(NAMES[0], 1)}))
    log.failure = LogFailure(FailureKind.REFUSED, "down")

    async def run() -> None:
        pauses_ms = [await reader.step() for _ in range(12)]
        assert not reader.reachable and reader.last_failure == "down"
        assert pauses_ms[0] <= 100.0 < pauses_ms[6]
        assert max(pauses_ms) <= publishing.MAX_BACKOFF_MS
        log.failure = None
        await reader.step()
        assert reader.reachable and reader.caught_up
        assert (state.version, len(deltas)) == (0, 1)

    anyio.run(run)


def test_reader_requests_fewer_records_when_a_response_is_too_large() -> None:
    # Guards against a node that never reads past a few large records.
    log, state = FakeLog(), make_config_state()
    reader, _ = make_reader(log, state)
    for offset in range(10):
        log.add(body(f"{offset}", {NAMES[0]: offset - 1}, {NAMES[0]: BASE}))
    log.max_records = 2

    async def run() -> None:
        for _ in range(60):
            await reader.step()

    anyio.run(run)
    assert state.version == 9


def test_readers_append_one_checkpoint_when_due() -> None:
    log = FakeLog()
    for offset in range(publishing.CHECKPOINT_RECORDS):
        log.add(body(f"{offset}", {NAMES[0]: offset - 1}, {NAMES[0]: BASE}))
    readers = [make_reader(log, make_config_state())[0] for _ in range(3)]

    async def run() -> None:
        for _ in range(30):
            for reader in readers:
                await reader.step()
                reader._clock.advance(500.0)  # type: ignore[attr-defined]

    anyio.run(run)
    # The checkpoint of the first reader makes those of the others unnecessary.
    assert log.next == publishing.CHECKPOINT_RECORDS + 1


def test_new_reader_skips_a_long_replay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(publishing, "CHECKPOINT_RECORDS", 10)
    log, complete = FakeLog(), make_config_state()
    for offset in range(40):
        log.add(body(f"{offset}", {NAMES[0]: offset - 1}, {NAMES[0]: BASE}))
    follow(complete, log)
    log.add(encode_record(complete.checkpoint()))
    log.add(body("last", {NAMES[0]: 39}, {NAMES[0]: text(NAMES[0], 2)}))
    state = make_config_state()
    reader, deltas = make_reader(log, state)

    async def run() -> None:
        for _ in range(3):
            await reader.step()

    anyio.run(run)
    assert (state.version, len(deltas)) == (41, 2)


class LogHistories(RuleBasedStateMachine):
    """Random histories with races, duplicates, trimming, checkpoints and gossip.

    ``reference`` applies every record in order. Each node must have the state that the
    reference had at the last offset of the node.
    """

    @initialize()
    def start(self) -> None:
        self.log = FakeLog()
        self.all_records: list[bytes] = []
        self.reference = make_config_state()
        self.digests = {-1: self.reference.digest}
        self.results = {-1: self.reference.checkpoint().results}
        self.nodes = [make_config_state() for _ in range(3)]
        self.highest_versions = [-1] * 3
        self.deltas: list[bytes] = []
        self.version_maps = [dict(self.reference.versions)]

    def _append(self, record: bytes) -> None:
        offset = self.log.add(record)
        self.all_records.append(record)
        outcome = self.reference.apply(offset, record)
        if isinstance(outcome, Accepted):
            self.deltas.append(outcome.delta)
        self.digests[offset] = self.reference.digest
        self.results[offset] = self.reference.checkpoint().results
        self.version_maps.append(dict(self.reference.versions))

    @rule(
        data=st.data(),
        names=st.sets(st.sampled_from(NAMES), min_size=1),
        rank=st.integers(0, 9),
        delete=st.booleans(),
    )
    def publish(
        self, data: st.DataObject, names: set[str], rank: int, delete: bool
    ) -> None:
        view = data.draw(st.sampled_from(self.version_maps[-3:]))
        base = {name: view.get(name, ABSENT) for name in names}
        changes = {name: None if delete else text(name, rank) for name in names}
        self._append(body(f"id{len(self.all_records)}", base, changes))

    @rule(data=st.data())
    def append_again(self, data: st.DataObject) -> None:
        if self.all_records:
            self._append(data.draw(st.sampled_from(self.all_records)))

    @rule(record=st.binary(max_size=8))
    def append_garbage(self, record: bytes) -> None:
        self._append(record)

    @rule(index=st.integers(0, 2))
    def append_checkpoint(self, index: int) -> None:
        node = self.nodes[index]
        if node.version >= 0 and not node.is_incomplete:
            self._append(encode_record(node.checkpoint()))

    @rule(count=st.integers(1, 6))
    def trim(self, count: int) -> None:
        self.log.trim(min(count, len(self.log.bodies)))

    @rule(index=st.integers(0, 2), limit=st.integers(1, 12))
    def read(self, index: int, limit: int) -> None:
        follow(self.nodes[index], self.log, limit)

    @rule(index=st.integers(0, 2))
    def replace(self, index: int) -> None:
        self.nodes[index] = make_config_state()
        self.highest_versions[index] = -1

    @rule(source=st.integers(0, 2), index=st.integers(0, 2))
    def pull(self, source: int, index: int) -> None:
        if self.nodes[source].version >= 0:
            self.nodes[index].install_snapshot(self.nodes[source].snapshot())

    @rule(data=st.data(), index=st.integers(0, 2))
    def push(self, data: st.DataObject, index: int) -> None:
        if self.deltas:
            self.nodes[index].apply_delta(data.draw(st.sampled_from(self.deltas)))

    @invariant()
    def nodes_agree_and_versions_never_decrease(self) -> None:
        for index, node in enumerate(getattr(self, "nodes", ())):
            assert node.version >= self.highest_versions[index]
            self.highest_versions[index] = node.version
            assert node.digest == self.digests[node.last_offset]
            # Otherwise nodes would treat a later duplicate differently.
            assert node.checkpoint().results == self.results[node.last_offset]

    def teardown(self) -> None:
        if not hasattr(self, "nodes"):
            return
        self._append(encode_record(self.reference.checkpoint()))
        for node in self.nodes:
            follow(node, self.log)
            if self.reference.version >= 0:
                assert node.digest == self.reference.digest
                assert node.last_offset == self.reference.last_offset


TestLogHistories = LogHistories.TestCase
TestLogHistories.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
