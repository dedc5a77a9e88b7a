"""Measure the round-trip time of each stage of the call path over loopback.

Stages are measured one after another. Run: ``python benchmarks/callpath_io.py
[--count N]``. The last line is JSON with the 50th and 99th percentile of each
stage in us.
"""

import argparse
import json
import time
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import h11
import msgspec

from briardock.clock import SystemClock
from briardock.listener import HttpLimits, HttpRequest, HttpResponse, serve_http
from briardock.messages import Answer, Call, Forward
from briardock.metrics import Metrics
from briardock.outcomes import Completed
from briardock.peers import PeerAddress, PeerInfo, make_peer_links, serve_peers
from briardock.target import make_target_client

HOST = "127.0.0.1"
WARM_UP_COUNT = 300
DEADLINE_MS = 5_000.0
BODY = b"x" * 200
HEADERS = (
    (b"accept", b"*/*"),
    (b"content-type", b"application/json"),
    (b"user-agent", b"bench"),
    (b"briardock-deadline-ms", b"5000"),
)
RAW_RESPONSE = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 200\r\n\r\n" + BODY
)
RAW_REQUEST = (
    b"POST /booking/book HTTP/1.1\r\nhost: node\r\naccept: */*\r\n"
    b"content-type: application/json\r\nuser-agent: bench\r\n"
    b"briardock-deadline-ms: 5000\r\ncontent-length: 200\r\n\r\n" + BODY
)
CALL = Call(
    call_id=0,
    target_incarnation=1,
    key="node-1.17000000.1.2.abcdef0123456789",
    operation="booking.book",
    method="POST",
    path="/book",
    headers=list(HEADERS),
    body=BODY,
    level=1,
    once=True,
    remaining_ms=0.0,
    sent_ms=0.0,
    retries=2,
    fingerprint="0123456789abcdef",
)


async def measure(
    count: int, round_trip: Callable[[], Awaitable[object]]
) -> dict[str, float]:
    """Return percentiles of a round trip in us."""
    samples_us = []
    for _ in range(WARM_UP_COUNT + count):
        start_ns = time.perf_counter_ns()
        await round_trip()
        samples_us.append((time.perf_counter_ns() - start_ns) / 1000.0)
    ordered = sorted(samples_us[WARM_UP_COUNT:])
    return {
        "p50_us": round(ordered[len(ordered) // 2], 1),
        "p99_us": round(ordered[len(ordered) * 99 // 100], 1),
    }


async def raw_server(stream: anyio.abc.SocketStream) -> None:
    """Send a fixed HTTP response for each received chunk."""
    try:
        while True:
            await stream.receive()
            await stream.send(RAW_RESPONSE)
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        await stream.aclose()


async def start_server(tasks: anyio.abc.TaskGroup, serve: Callable) -> int:
    """Start a server on a free port; return the port."""
    listener = await anyio.create_tcp_listener(local_host=HOST)
    tasks.start_soon(serve, listener)
    return listener.extra(anyio.abc.SocketAttribute.local_port)


async def bench_raw(tasks: anyio.abc.TaskGroup, count: int) -> dict[str, float]:
    """Measure the lower bound: an exchange of bytes without parsing."""
    port = await start_server(tasks, lambda listener: listener.serve(raw_server))
    stream = await anyio.connect_tcp(HOST, port)

    async def round_trip() -> None:
        await stream.send(RAW_REQUEST)
        await stream.receive()

    return await measure(count, round_trip)


async def bench_target(tasks: anyio.abc.TaskGroup, count: int) -> dict[str, float]:
    """Measure ``TargetClient`` against a server with a fixed response."""
    port = await start_server(tasks, lambda listener: listener.serve(raw_server))
    clock = SystemClock()
    client = make_target_client(clock, Metrics(), 1_000.0, 4)
    client.set_address(HOST, port)

    async def round_trip() -> None:
        deadline_at_ms = clock.now_ms() + DEADLINE_MS
        result = await client.run("POST", "/book", HEADERS, BODY, deadline_at_ms)
        assert type(result) is Completed, result

    return await measure(count, round_trip)


async def bench_link(tasks: anyio.abc.TaskGroup, count: int) -> dict[str, float]:
    """Measure ``PeerLinks`` against ``serve_peers`` with an echo handler."""
    clock = SystemClock()

    async def echo(call: Call | Forward, info: PeerInfo) -> Answer:
        return Answer(call.call_id, "completed", 200, [], call.body, len(call.body))

    port = await start_server(
        tasks,
        lambda listener: serve_peers(listener, echo, "b", 2, clock, Metrics(), 10),
    )
    links = make_peer_links("a", 1, clock, Metrics(), None, 10)
    tasks.start_soon(links.run)
    await anyio.sleep(0.01)
    peer = PeerAddress("b", 2, HOST, port)

    async def round_trip() -> None:
        result = await links.call(peer, CALL, clock.now_ms() + DEADLINE_MS)
        assert type(result) is Answer, result

    return await measure(count, round_trip)


async def bench_listener(tasks: anyio.abc.TaskGroup, count: int) -> dict[str, float]:
    """Measure ``serve_http`` with an echo handler and a raw stream as client."""

    async def echo(request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, ((b"content-type", b"text/plain"),), request.body)

    port = await start_server(
        tasks, lambda listener: serve_http(listener, echo, HttpLimits(), Metrics())
    )
    stream = await anyio.connect_tcp(HOST, port)

    async def round_trip() -> None:
        await stream.send(RAW_REQUEST)
        response = await stream.receive()
        assert response.startswith(b"HTTP/1.1 200"), response

    return await measure(count, round_trip)


async def bench_path(tasks: anyio.abc.TaskGroup, count: int) -> dict[str, float]:
    """Measure all stages in one process: listener, link, target."""
    clock = SystemClock()
    client = make_target_client(clock, Metrics(), 1_000.0, 4)
    links = make_peer_links("a", 1, clock, Metrics(), None, 10)

    async def handle_inbound(call: Call | Forward, info: PeerInfo) -> Answer:
        deadline_at_ms = clock.now_ms() + call.remaining_ms
        result = await client.run(
            call.method, call.path, tuple(call.headers), call.body, deadline_at_ms
        )
        assert type(result) is Completed, result
        headers = list(result.headers)
        size_bytes = len(result.body)
        return Answer(call.call_id, "completed", 200, headers, result.body, size_bytes)

    async def forward_call(request: HttpRequest) -> HttpResponse:
        call = msgspec.structs.replace(
            CALL, headers=list(request.headers), body=request.body
        )
        response = await links.call(peer, call, clock.now_ms() + DEADLINE_MS)
        assert type(response) is Answer, response
        return HttpResponse(response.status, tuple(response.headers), response.body)

    client.set_address(
        HOST, await start_server(tasks, lambda listener: listener.serve(raw_server))
    )
    peer_port = await start_server(
        tasks,
        lambda listener: serve_peers(
            listener, handle_inbound, "b", 2, clock, Metrics(), 10
        ),
    )
    peer = PeerAddress("b", 2, HOST, peer_port)
    tasks.start_soon(links.run)
    port = await start_server(
        tasks,
        lambda listener: serve_http(listener, forward_call, HttpLimits(), Metrics()),
    )
    stream = await anyio.connect_tcp(HOST, port)

    async def round_trip() -> None:
        await stream.send(RAW_REQUEST)
        response = await stream.receive()
        assert response.startswith(b"HTTP/1.1 200"), response

    return await measure(count, round_trip)


async def bench_h11(tasks: anyio.abc.TaskGroup, count: int) -> dict[str, float]:
    """Measure h11 alone: one request and response on the server side, without I/O."""
    http = h11.Connection(h11.SERVER)

    async def round_trip() -> None:
        http.receive_data(RAW_REQUEST)
        while type(http.next_event()) is not h11.EndOfMessage:
            pass
        response_headers = [
            (b"content-type", b"text/plain"),
            (b"content-length", b"200"),
        ]
        http.send(h11.Response(status_code=200, headers=response_headers))
        http.send(h11.Data(data=BODY))
        http.send(h11.EndOfMessage())
        http.start_next_cycle()

    return await measure(count, round_trip)


async def run_all(count: int) -> dict[str, dict[str, float]]:
    """Run the measurements one after another."""
    results = {}
    for name, bench in (
        ("raw", bench_raw),
        ("h11", bench_h11),
        ("target", bench_target),
        ("link", bench_link),
        ("listener", bench_listener),
        ("path", bench_path),
    ):
        async with anyio.create_task_group() as tasks:
            results[name] = await bench(tasks, count)
            tasks.cancel_scope.cancel()
        print(name, results[name])
    return results


def main() -> None:
    """Parse arguments, measure and print JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=5_000)
    count = parser.parse_args().count
    options = {"use_uvloop": True}
    print(json.dumps(anyio.run(run_all, count, backend_options=options)))


if __name__ == "__main__":
    main()
