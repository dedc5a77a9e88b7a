"""Structured decision log."""

import msgspec
import pytest

from briardock.mesh.decisions import (
    MAX_BUFFERED_BYTES,
    MAX_LINES_PER_EVENT_PER_S,
    DecisionLog,
)


def test_log_is_bounded_and_counts_omitted_lines(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A burst of refusals must not block, and the log must report omitted lines."""
    lines: list[bytes] = []
    now = [100.0]
    monkeypatch.setattr("briardock.mesh.decisions.time.time", lambda: now[0])

    def write(data: bytes) -> int:
        lines.extend(data.splitlines())
        return len(data)

    log = DecisionLog("n", write=write)
    for _ in range(MAX_LINES_PER_EVENT_PER_S + 5):
        log.event("refused", id="x")
    now[0] += 1.0
    log.event("other")
    log.flush()
    decoded = [msgspec.json.decode(line) for line in lines]
    assert [d["event"] for d in decoded].count("refused") == MAX_LINES_PER_EVENT_PER_S
    omitted = [d for d in decoded if d["event"] == "lines-omitted"]
    assert omitted[0]["count_by_event"] == {"refused": 5}


def test_log_does_not_block_on_a_full_pipe() -> None:
    log = DecisionLog("n", write=lambda data: 0)
    for _ in range(3):
        log.event("refused", id="x")
        log.flush()
    assert log._buffer


def test_lines_that_do_not_fit_are_counted_once_there_is_room(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A line for the omitted ones was added each second to a full buffer, which grew
    without a bound, and none was written if no further event came.
    """
    now = [100.0]
    monkeypatch.setattr("briardock.mesh.decisions.time.time", lambda: now[0])
    written = bytearray()
    is_full = True

    def write(data: bytes) -> int:
        if is_full:
            return 0
        written.extend(data)
        return len(data)

    log = DecisionLog("n", write=write)
    sent_count = 0
    for _ in range(1_000):
        now[0] += 1.0
        for number in range(MAX_LINES_PER_EVENT_PER_S):
            log.event("refused", id=f"{number}", text="x" * 100)
            sent_count += 1
        log.flush()
    assert len(log._buffer) < MAX_BUFFERED_BYTES + 1_000
    is_full = False
    now[0] += 1.0
    log.flush()
    now[0] += 1.0
    log.flush()
    decoded = [msgspec.json.decode(line) for line in written.splitlines()]
    lines = [line for line in decoded if line["event"] == "refused"]
    omitted = [line for line in decoded if line["event"] == "lines-omitted"]
    counts = [line["count_by_event"]["refused"] for line in omitted]
    assert len(lines) + sum(counts) == sent_count
