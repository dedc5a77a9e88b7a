"""Tests of the operator command against the stand-in log service and a stub node."""

import http.server
import json
import threading
from collections.abc import Iterator
from pathlib import Path

import anyio
import pytest

from briardock import _publisher, cli
from briardock._basefile import BASE_FILE
from briardock._nodeclient import TOKEN_VARIABLE
from briardock.platformlog import (
    FailureKind,
    LogClient,
    LogFailure,
    make_log_client,
)
from briardock.publishing import STREAM, Publish, encode_record
from log_service import LogService, running_log

POLICY_AND_CLASS = "[policy]\ndefault_class = c\n[class c]\nrank = 3\n"


@pytest.fixture
def service() -> Iterator[LogService]:
    with running_log() as running:
        yield running


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    created = tmp_path / "mine"
    created.mkdir()
    (created / "00.ini").write_text(POLICY_AND_CLASS)
    (created / "10.ini").write_text("[service s]\n")
    return created


def run(*arguments: object) -> int:
    """Run the command and return its exit code."""
    try:
        cli.main([str(item) for item in arguments])
    except SystemExit as end:
        return int(end.code or 0)
    return 0


def publish(service: LogService, folder: Path, *options: object) -> int:
    return run("publish", folder, "--log", service.address, *options)


def fetch(service: LogService, folder: Path, *options: object) -> int:
    return run("fetch", folder, "--log", service.address, *options)


def record_count(service: LogService) -> int:
    async def read() -> int:
        client = make_log_client(service.host, service.port)
        result = await client.read(STREAM, 0, 1000)
        await client.close()
        assert not isinstance(result, LogFailure)
        return len(result.records)

    return anyio.run(read)


def error_line(capsys: pytest.CaptureFixture[str]) -> str:
    """Return the only line on standard error."""
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1 and lines[0].startswith("briardock: "), lines
    return lines[0]


def test_publish_sends_changes_once(service: LogService, folder: Path) -> None:
    assert publish(service, folder) == 0
    assert publish(service, folder) == 0
    assert record_count(service) == 1
    (folder / "10.ini").write_text("[service t]\n")
    assert publish(service, folder) == 0
    assert record_count(service) == 2


def test_two_teams_change_different_files(
    service: LogService, folder: Path, tmp_path: Path
) -> None:
    publish(service, folder)
    other = tmp_path / "other"
    assert fetch(service, other) == 0
    (folder / "10.ini").write_text("[service t]\n")
    (other / "20.ini").write_text("[service u]\n")
    assert publish(service, folder) == 0
    assert publish(service, other) == 0
    assert fetch(service, other) == 0
    names = sorted(item.name for item in other.iterdir())
    assert names == [BASE_FILE, "00.ini", "10.ini", "20.ini"]
    assert (other / "10.ini").read_text() == "[service t]\n"


def test_edit_of_an_old_copy_is_refused(
    service: LogService,
    folder: Path,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    publish(service, folder, "--author", "ana")
    other = tmp_path / "other"
    fetch(service, other)
    (folder / "10.ini").write_text("[service t]\n")
    publish(service, folder, "--author", "ana")
    (other / "10.ini").write_text("[service u]\n")
    capsys.readouterr()
    assert publish(service, other) == 4
    line = error_line(capsys)
    assert "10.ini" in line and "by ana" in line
    # Neither a refused publish nor a refused fetch overwrites the local edit.
    assert fetch(service, other) == 3
    assert (other / "10.ini").read_text() == "[service u]\n"
    assert fetch(service, other, "--overwrite") == 0
    assert (other / "10.ini").read_text() == "[service t]\n"


def test_concurrent_publish_conflict_names_the_winner(
    service: LogService,
    folder: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    publish(service, folder)
    (folder / "10.ini").write_text("[service mine]\n")
    send = _publisher.LogView.send
    winning_change = Publish(
        "w", "bob", {"10.ini": 0}, {"10.ini": "[service theirs]\n"}
    )

    async def send_after_winner(view: _publisher.LogView, record: Publish) -> object:
        # The concurrent change is appended between the check and the append.
        await view._client.append(STREAM, encode_record(winning_change))
        return await send(view, record)

    monkeypatch.setattr(_publisher.LogView, "send", send_after_winner)
    capsys.readouterr()
    assert publish(service, folder) == 4
    line = error_line(capsys)
    assert "10.ini" in line and "version 1 by bob" in line


@pytest.mark.parametrize("lost", [1, 3])
def test_lost_acknowledgement_does_not_publish_twice(
    service: LogService, folder: Path, lost: int
) -> None:
    service.set_fault("lose_ack", count=lost)
    assert publish(service, folder) == 0
    service.set_fault("none")
    assert record_count(service) == 1


def test_lost_append_is_retried_under_its_change_id(
    service: LogService, folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A retry under a new change id conflicts with the first append if that one
    # arrives late.
    append = LogClient.append
    bodies: list[bytes] = []

    async def append_twice_after_timeout(
        client: LogClient, stream: str, body: bytes
    ) -> object:
        bodies.append(body)
        if len(bodies) == 1:
            kind = FailureKind.TIMEOUT
            return LogFailure(kind, "no answer", outcome_unknown=True)
        await append(client, stream, body)
        return await append(client, stream, body)

    monkeypatch.setattr(LogClient, "append", append_twice_after_timeout)
    assert publish(service, folder) == 0
    assert len(bodies) == 2 and bodies[0] == bodies[1]
    assert record_count(service) == 2


def test_outage_is_a_clear_error_and_publish_can_be_retried(
    service: LogService, folder: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    service.set_fault("outage")
    assert publish(service, folder, "--timeout-s", 0.5) == 5
    assert "503" in error_line(capsys)
    assert not (folder / BASE_FILE).exists()
    service.set_fault("none")
    assert publish(service, folder) == 0


def test_folder_without_base_is_refused(
    service: LogService, folder: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    publish(service, folder)
    (folder / BASE_FILE).unlink()
    (folder / "10.ini").write_text("[service t]\n")
    capsys.readouterr()
    assert publish(service, folder) == 3
    assert "--base-current" in error_line(capsys)
    assert publish(service, folder, "--base-current") == 0


def test_base_of_another_log_is_refused(service: LogService, folder: Path) -> None:
    # Guards against a base that is accepted because the version numbers of two logs
    # agree by chance.
    publish(service, folder)
    (folder / "10.ini").write_text("[service t]\n")
    with running_log() as other:
        other_change = Publish(
            "x", "bob", {}, {"10.ini": "[service u]\n", "00.ini": POLICY_AND_CLASS}
        )

        async def append() -> None:
            client = make_log_client(other.host, other.port)
            await client.append(STREAM, encode_record(other_change))

        anyio.run(append)
        assert publish(other, folder) == 4


def test_deleted_file_is_published_as_deleted(
    service: LogService, folder: Path, tmp_path: Path
) -> None:
    publish(service, folder)
    (folder / "10.ini").unlink()
    assert publish(service, folder) == 0
    other = tmp_path / "other"
    fetch(service, other)
    assert sorted(item.name for item in other.iterdir()) == [BASE_FILE, "00.ini"]
    # A deleted name can be published again on top of the version that deleted it.
    (other / "10.ini").write_text("[service v]\n")
    assert publish(service, other) == 0


def test_lost_history_is_restored_from_known_files(
    folder: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    # Guards against a log with trimmed records that blocks every later publish.
    with running_log(retention_records=2) as service:
        for name in "abcd":
            (folder / "10.ini").write_text(f"[service {name}]\n")
            assert publish(service, folder) == (0 if name < "d" else 5)
        assert "briardock restore" in error_line(capsys)
        assert run("restore", folder, "--log", service.address) == 0
        (folder / "10.ini").write_text("[service e]\n")
        assert publish(service, folder) == 0
        assert run("restore", folder, "--log", service.address) == 3


@pytest.mark.parametrize("base", ["{", '{"files":{"a":1}}'])
def test_damaged_base_is_a_clear_error(
    service: LogService, folder: Path, base: str, capsys: pytest.CaptureFixture[str]
) -> None:
    (folder / BASE_FILE).write_text(base)
    assert publish(service, folder) == 3
    assert "damaged" in error_line(capsys)


def test_check_reports_every_fault(
    folder: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run("check", folder) == 0
    assert "2 files, 1 services" in capsys.readouterr().out
    (folder / "20.ini").write_text("[service a]\nx = 1\n[class b]\nrank = 9\n")
    assert run("check", folder) == 3
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 3 and "20.ini:2" in lines[0]


@pytest.mark.parametrize(
    "arguments, exit_code",
    [
        (["bogus"], 2),
        (["check"], 2),
        (["check", "/nonexistent"], 3),
        (["status"], 1),
        (["status", "nohost"], 1),
        (["status", "127.0.0.1:99999"], 1),
        (["dump", "127.0.0.1:1"], 6),
        (["publish", ".", "--wait-s", "1"], 1),
        (["--help"], 0),
    ],
)
def test_usage_errors_have_documented_exit_codes(
    arguments: list[str], exit_code: int, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run(*arguments) == exit_code
    captured = capsys.readouterr()
    assert "Traceback" not in captured.err
    assert exit_code or "Exit codes:" in captured.out


@pytest.mark.parametrize(
    "error, exit_code, text",
    [
        (KeyboardInterrupt(), 130, "interrupted"),
        (ValueError("odd\nthing"), 70, "internal error: ValueError: odd thing"),
        (PermissionError(13, "Permission denied", "/x"), 1, "/x: Permission denied"),
    ],
)
def test_unexpected_error_is_printed_on_one_line(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    error: BaseException,
    exit_code: int,
    text: str,
) -> None:
    def fail(argv: list[str] | None) -> None:
        raise error

    monkeypatch.setattr(cli, "_run", fail)
    assert run() == exit_code
    assert text in error_line(capsys)


class StubNode(http.server.BaseHTTPRequestHandler):
    """Admin endpoint of a node whose version rises by 1 with every request."""

    version = 0
    requests: list[tuple[str, str, str]] = []

    def do_GET(self) -> None:
        self._respond()

    def do_POST(self) -> None:
        self._respond()

    def _respond(self) -> None:
        size = int(self.headers.get("Content-Length", 0))
        body = self.rfile.read(size).decode()
        StubNode.requests.append((self.command, self.path, body))
        StubNode.version += 1
        status: int = 200
        content: dict[str, object] = {"configuration": {"version": StubNode.version}}
        if self.headers.get("Authorization") != "Bearer secret":
            status = 401
        elif self.path == "/quarantine/lift" and "known" not in body:
            status = 404
            content = {"error": "no such fingerprint", "remedy": "list"}
        data = json.dumps(content).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, format: str, *args: object) -> None:
        return


@pytest.fixture
def node(monkeypatch: pytest.MonkeyPatch) -> Iterator[str]:
    monkeypatch.setenv(TOKEN_VARIABLE, "secret")
    StubNode.version, StubNode.requests = 0, []
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), StubNode)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    yield f"127.0.0.1:{server.server_port}"
    server.shutdown()
    thread.join()
    server.server_close()


@pytest.mark.parametrize(
    "arguments, method, path",
    [
        (["status"], "GET", "/status"),
        (["dump"], "GET", "/dump"),
        (["drain"], "POST", "/drain"),
        (["quarantine", "list"], "GET", "/quarantine"),
    ],
)
def test_node_commands_request_their_endpoint(
    node: str,
    arguments: list[str],
    method: str,
    path: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert run(*arguments, node) == 0
    assert [item[:2] for item in StubNode.requests] == [(method, path)]
    assert '"version": 1' in capsys.readouterr().out


def test_status_shows_the_nodes_that_respond(
    node: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run("status", "127.0.0.1:1", node) == 6
    captured = capsys.readouterr()
    assert node in captured.out and "request to node 127.0.0.1:1 failed" in captured.err


def test_quarantine_lift_names_the_fingerprint(
    node: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run("quarantine", "lift", node, "known") == 0
    assert json.loads(StubNode.requests[0][2]) == {"fingerprint": "known"}
    capsys.readouterr()
    assert run("quarantine", "lift", node, "other") == 6
    assert "no such fingerprint; list" in error_line(capsys)


def test_refused_token_names_the_remedy(
    node: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run("status", node, "--token", "wrong") == 6
    assert TOKEN_VARIABLE in error_line(capsys)


@pytest.mark.parametrize("wait_s, exit_code", [(20, 0), (0.1, 6)])
def test_publish_waits_until_nodes_have_the_version(
    service: LogService,
    folder: Path,
    node: str,
    wait_s: float,
    exit_code: int,
    capsys: pytest.CaptureFixture[str],
) -> None:
    publish(service, folder)
    (folder / "10.ini").write_text("[service t]\n")
    StubNode.version = -3 if exit_code == 0 else -1000
    capsys.readouterr()
    options = ("--wait-s", wait_s, "--admin", node)
    assert publish(service, folder, *options) == exit_code
    assert exit_code == 0 or "not in force" in error_line(capsys)
