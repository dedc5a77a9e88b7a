"""Structured decision log."""

import msgspec
import pytest

from briardock.mesh.decisions import MAX_LINES_PER_EVENT_PER_S, DecisionLog


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
