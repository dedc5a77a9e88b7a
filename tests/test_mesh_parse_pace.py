"""Requests of very many header lines beside ordinary ones, in one event loop."""

import asyncio
from collections.abc import Iterator

import pytest

from briardock.mesh.http1 import Request, Response
from briardock.mesh.http_server import HttpServer
from briardock.mesh.model import CallerLimits, split_address
from briardock.mesh.parse_pace import BURST_ELEMENTS, ELEMENTS_PER_S, ParsePace
from briardock.mesh.request_reader import RequestReader
from mesh_fakes import free_address, quiet_log, send

pytestmark = pytest.mark.anyio

HEAD = b"GET / HTTP/1.1\r\nhost: a.example\r\n"
CONNECTIONS = 30
HEADS_PER_CONNECTION = 60
LINES = 3_500


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


@pytest.fixture
def parsed_lines(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[int]]:
    """Count the header lines that are parsed."""
    count = [0]
    on_header = RequestReader.on_header

    def counted(reader: RequestReader, name: bytes, value: bytes) -> None:
        count[0] += 1
        on_header(reader, name, value)

    monkeypatch.setattr(RequestReader, "on_header", counted)
    yield count


async def test_ordinary_request_is_not_behind_a_flood_of_lines(
    parsed_lines: list[int],
) -> None:
    """All that 30 clients had sent was parsed and answered before an ordinary request,
    which then failed by its timeout.
    """
    address = free_address()

    async def respond(request: Request) -> Response:
        return Response(200)

    server = HttpServer(respond, CallerLimits(), quiet_log())
    await server.start(*split_address(address))
    flood = (HEAD + b"a:\r\n" * LINES + b"\r\n") * HEADS_PER_CONNECTION
    writers = []
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    for _ in range(CONNECTIONS):
        _, writer = await asyncio.open_connection(*split_address(address))
        writer.write(flood)
        writers.append(writer)
    for _ in range(3):
        assert (await send(address, "/", headers=[(b"host", b"a")])).status == 200
    elapsed_s = loop.time() - started_s
    # Each connection may parse a slice of 250 lines before it waits for its turn.
    allowed = BURST_ELEMENTS + CONNECTIONS * 500 + ELEMENTS_PER_S * elapsed_s
    assert parsed_lines[0] <= allowed
    for writer in writers:
        writer.transport.abort()
    server.stop_listening()


async def test_single_request_of_many_lines_does_not_wait() -> None:
    """In calm a legal request is served at once, however many lines it has."""
    pace = ParsePace()
    assert pace.may_parse(100.0)
    pace.record(LINES, 100.0)
    assert pace.may_parse(100.0)


@pytest.mark.parametrize(
    ("elapsed_s", "may_parse"), [(0.0, False), (0.1, False), (2.0, True)]
)
async def test_turn_comes_when_the_rate_allows_it(
    elapsed_s: float, may_parse: bool
) -> None:
    """A rate that is not restored keeps legal requests from being read."""
    pace = ParsePace()
    pace.record(BURST_ELEMENTS + ELEMENTS_PER_S, 100.0)
    assert pace.may_parse(100.0 + elapsed_s) is may_parse


async def test_turns_go_round_and_skip_closed_connections() -> None:
    """One connection must not take all turns, nor a closed one keep the others back."""
    pace = ParsePace()
    turns: list[str] = []

    def connection(name: str, is_open: bool) -> None:
        def take_turn() -> bool:
            turns.append(name)
            if len(turns) < 6 and is_open:
                pace.wait(take_turn, 0.0)
            return is_open

        pace.wait(take_turn, 0.0)

    for name, is_open in (("a", True), ("closed", False), ("b", True)):
        connection(name, is_open)
    await asyncio.sleep(0.1)
    assert turns == ["a", "closed", "b", "a", "b", "a", "b"]
