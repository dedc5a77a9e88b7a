"""Tests of the relay between failure domains, on real sockets."""

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest

from briardock.clock import SystemClock
from briardock_standins._client import HttpClient
from briardock_standins._http import (
    Address,
    AnswerMissing,
    HttpRequest,
    HttpResponse,
    TimedOut,
    listen,
    serve_http,
)
from briardock_standins.plans import RelayPlan
from briardock_standins.relay import LINGER_RESET, Mode, PathChange, Relay

LONG_MS = 20_000.0
SHORT_MS = 100.0
REQUEST = HttpRequest("POST", "/", (), b"x" * 200_000)


async def echo(request: HttpRequest) -> HttpResponse:
    return HttpResponse(200, (), request.body)


@asynccontextmanager
async def relayed() -> AsyncIterator[tuple[Relay, Address]]:
    """Run a relay from domain ``a`` to an echo server in domain ``b``."""
    plan = RelayPlan({"a": "127.0.1.1", "b": "127.0.2.1"}, ())
    relay = Relay(plan, SystemClock())
    server, server_address = await listen("127.0.0.1", 0)
    listener, address = await listen("127.0.0.1", 0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_http, server, echo)
        tasks.start_soon(relay.serve, listener, server_address, "b")
        yield relay, address
        tasks.cancel_scope.cancel()


def test_relays_whole_bodies_both_ways() -> None:
    async def scenario() -> None:
        async with relayed() as (relay, address):
            relay.apply(PathChange("a", "b", delay_ms=1.0))
            response = await HttpClient("127.0.1.1").request(address, REQUEST, LONG_MS)
            assert response == HttpResponse(200, response.headers, REQUEST.body)  # type: ignore[union-attr]

    anyio.run(scenario)


def test_refused_path_resets_new_and_open_connections() -> None:
    # Guards against a partition that leaves established connections usable.
    async def scenario() -> None:
        async with relayed() as (relay, address):
            client = HttpClient("127.0.1.1")
            other = HttpClient("127.0.3.1")
            await client.request(address, REQUEST, LONG_MS)
            relay.apply(PathChange("a", "b", Mode.REFUSE))
            for _ in range(2):
                response = await client.request(address, REQUEST, LONG_MS)
                assert isinstance(response, AnswerMissing)
            unaffected = await other.request(address, REQUEST, LONG_MS)
            assert isinstance(unaffected, HttpResponse)
            relay.apply(PathChange("a", "b"))
            healed = await client.request(address, REQUEST, LONG_MS)
            assert isinstance(healed, HttpResponse)

    anyio.run(scenario)


@pytest.mark.parametrize("source, destination", [("a", "b"), ("b", "a")])
def test_black_hole_holds_data_until_healed(source: str, destination: str) -> None:
    # Guards against a one-way partition that lets data of that direction pass.
    async def scenario() -> None:
        async with relayed() as (relay, address):
            client = HttpClient("127.0.1.1")
            held = PathChange(source, destination, Mode.BLACK_HOLE, both_ways=False)
            relay.apply(held)
            assert isinstance(
                await client.request(address, REQUEST, SHORT_MS), TimedOut
            )
            results: list[object] = []
            async with anyio.create_task_group() as tasks:

                async def send_request() -> None:
                    results.append(await client.request(address, REQUEST, LONG_MS))

                tasks.start_soon(send_request)
                await anyio.wait_all_tasks_blocked()
                relay.apply(PathChange(source, destination, both_ways=False))
            assert isinstance(results[0], HttpResponse)

    anyio.run(scenario)


def test_reset_connection_does_not_end_the_relay() -> None:
    # On a reset connection, send_eof raises RuntimeError with uvloop but nothing with
    # asyncio. Guards against that error stopping the relay.
    async def scenario() -> None:
        async with relayed() as (_, address):
            for _ in range(20):
                stream = await anyio.connect_tcp(address.host, address.port)
                await stream.send(b"POST / HTTP/1.1\r\n")
                raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                await anyio.aclose_forcefully(stream)
            response = await HttpClient("127.0.1.1").request(address, REQUEST, LONG_MS)
            assert isinstance(response, HttpResponse)

    anyio.run(scenario, backend_options={"use_uvloop": True})
