"""HTTP listener: the moment at which an idle connection is closed."""

import asyncio
import select

import anyio
import anyio.abc
import pytest

from briardock import _httpconnection
from briardock._http import has_input
from briardock._httpconnection import HttpConnection, HttpResponse
from listener_fakes import GET, LIMITS, Server, connect, running_listener

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


async def stop_while_idle(server: Server, monkeypatch: pytest.MonkeyPatch) -> None:
    server.control.stop_accepting()


async def stop_after_response(server: Server, monkeypatch: pytest.MonkeyPatch) -> None:
    """Stop as soon as a response was sent that does not announce the close."""
    respond = HttpConnection._respond

    async def respond_then_stop(
        connection: HttpConnection, method: str, response: HttpResponse
    ) -> bool:
        is_kept = await respond(connection, method, response)
        server.control.stop_accepting()
        while not connection._context.stopping:
            await anyio.sleep(0)
        return is_kept

    monkeypatch.setattr(HttpConnection, "_respond", respond_then_stop)


async def exceed_idle_timeout(server: Server, monkeypatch: pytest.MonkeyPatch) -> None:
    server.clock.advance(LIMITS.idle_timeout_s * 1000.0 + 1.0)


@pytest.mark.parametrize(
    ("close", "requests_before"),
    [
        pytest.param(stop_while_idle, 1, id="stop-while-idle"),
        pytest.param(stop_after_response, 0, id="stop-after-response"),
        pytest.param(exceed_idle_timeout, 1, id="idle-timeout"),
    ],
)
async def test_caller_sees_the_end_before_it_can_send_an_unseen_request(
    close, requests_before: int, monkeypatch: pytest.MonkeyPatch
):
    """Guards against resets of requests that were sent between the last check of an
    idle connection for input and its close a turn of the event loop later.
    """
    async with running_listener() as server:
        caller = await connect(server)
        raw = caller.stream.extra(anyio.abc.SocketAttribute.raw_socket)
        end = select.poll()
        end.register(raw.fileno(), select.POLLRDHUP)
        has_ended: list[bool] = []

        def check_end_next(stream: anyio.abc.SocketStream) -> bool:
            loop = asyncio.get_running_loop()
            loop.call_soon(lambda: has_ended.append(bool(end.poll(0))))
            return has_input(stream)

        for _ in range(requests_before):
            await caller.send_request(GET)
        monkeypatch.setattr(_httpconnection, "has_input", check_end_next)
        await close(server, monkeypatch)
        if not requests_before:
            await caller.send_request(GET)
        assert await caller.is_closed()
        # The earlier checks only choose the connections to close.
        assert has_ended[-1]
