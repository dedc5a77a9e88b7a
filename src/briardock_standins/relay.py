"""TCP relay between failure domains that refuses, holds or delays their traffic.

The source IP address of a connection identifies its source domain, and the port that
accepted it identifies the destination domain.
"""

import enum
import json
import signal
import socket
import struct
import sys
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import anyio.abc
import defopt
import msgspec
from anyio.abc import SocketAttribute, SocketStream
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from briardock.clock import Clock, SystemClock
from briardock.exceptions import BriardockError
from briardock_standins._http import (
    CLOSED_ERRORS,
    READ_BYTES,
    Address,
    HttpRequest,
    HttpResponse,
    json_response,
    listen,
    parse_address,
    serve_http,
)
from briardock_standins.plans import RelayPlan, read_plan

MAX_CHUNKS_IN_TRANSIT = 1_024
LINGER_RESET = struct.pack("ii", 1, 0)


class Mode(enum.StrEnum):
    """What happens to traffic in one direction between two domains."""

    OPEN = "open"
    REFUSE = "refuse"
    BLACK_HOLE = "black-hole"


class PathChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /paths``: sets the mode and the delay between two domains.

    :param source: failure domain
    :param destination: failure domain, or another name of the plan
    :param mode: ``open``, ``refuse`` (connections are reset) or ``black-hole``
        (data is held until the path is open again)
    :param delay_ms: one-way delay
    :param both_ways: whether the opposite direction is set too
    """

    source: str
    destination: str
    mode: Mode = Mode.OPEN
    delay_ms: float = 0.0
    both_ways: bool = True


@dataclass(slots=True)
class DomainPath:
    """Traffic in one direction between two domains.

    :param mode: what happens to the traffic
    :param delay_ms: one-way delay
    :param changed: set and replaced when the path changes
    """

    mode: Mode = Mode.OPEN
    delay_ms: float = 0.0
    changed: anyio.Event = field(default_factory=anyio.Event)

    def update(self, mode: Mode, delay_ms: float) -> None:
        """Update the path and wake the tasks that wait for a change."""
        self.mode = mode
        self.delay_ms = delay_ms
        self.changed.set()
        self.changed = anyio.Event()


@dataclass(frozen=True, slots=True)
class _Chunk:
    """Data in transit and the time at which it is due."""

    data: bytes
    due_ms: float


class Relay:
    """Relays the links of a deployment.

    :param plan: domains and links
    :param clock: time
    """

    def __init__(self, plan: RelayPlan, clock: Clock) -> None:
        self.plan = plan
        self.connection_count = 0
        self._clock = clock
        self._domains = {address: name for name, address in plan.domains.items()}
        self._paths: dict[tuple[str, str], DomainPath] = {}

    def path(self, source: str, destination: str) -> DomainPath:
        """Return the path from one domain to another."""
        path = self._paths.get((source, destination))
        if path is None:
            delay_ms = self.plan.delay_ms if source != destination else 0.0
            path = DomainPath(delay_ms=delay_ms)
            self._paths[(source, destination)] = path
        return path

    def apply(self, change: PathChange) -> None:
        """Apply a change to the paths between two domains."""
        pairs = [(change.source, change.destination)]
        if change.both_ways:
            pairs.append((change.destination, change.source))
        for source, destination in pairs:
            self.path(source, destination).update(change.mode, change.delay_ms)

    async def serve(
        self, listener: anyio.abc.SocketListener, upstream: Address, destination: str
    ) -> None:
        """Relay the connections of one listener until cancelled.

        :param listener: bound listener
        :param upstream: address that connections are relayed to
        :param destination: failure domain of that address
        """

        async def relay(client_stream: SocketStream) -> None:
            try:
                await self._relay(client_stream, upstream, destination)
            except Exception as error:
                # An unexpected error of one connection must not stop the relay, because
                # that would look like a partition of all failure domains.
                print(
                    f"relaying a connection failed: {error!r}",
                    file=sys.stderr,
                    flush=True,
                )

        await listener.serve(relay)

    async def _relay(
        self, client_stream: SocketStream, upstream: Address, destination: str
    ) -> None:
        source_ip = client_stream.extra(SocketAttribute.remote_address)[0]
        source = self._domains.get(str(source_ip), str(source_ip))
        forward_path = self.path(source, destination)
        return_path = self.path(destination, source)
        self.connection_count += 1
        try:
            await self._connect_and_pump(
                client_stream, upstream, forward_path, return_path
            )
        finally:
            self.connection_count -= 1
            await anyio.aclose_forcefully(client_stream)

    async def _connect_and_pump(
        self,
        client_stream: SocketStream,
        upstream: Address,
        forward_path: DomainPath,
        return_path: DomainPath,
    ) -> None:
        await _wait_while_held(forward_path)
        if Mode.REFUSE in (forward_path.mode, return_path.mode):
            _reset_on_close(client_stream)
            return
        try:
            upstream_stream = await anyio.connect_tcp(upstream.host, upstream.port)
        except OSError:
            return
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_wait_for_refusal, forward_path, tasks.cancel_scope)
                tasks.start_soon(_wait_for_refusal, return_path, tasks.cancel_scope)
                await self._pump_both(
                    client_stream,
                    upstream_stream,
                    forward_path,
                    return_path,
                    tasks.cancel_scope,
                )
                tasks.cancel_scope.cancel()
        finally:
            if Mode.REFUSE in (forward_path.mode, return_path.mode):
                _reset_on_close(client_stream)
                _reset_on_close(upstream_stream)
            await anyio.aclose_forcefully(upstream_stream)

    async def _pump_both(
        self,
        client_stream: SocketStream,
        upstream_stream: SocketStream,
        forward_path: DomainPath,
        return_path: DomainPath,
        scope: anyio.CancelScope,
    ) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                self._pump, client_stream, upstream_stream, forward_path, scope
            )
            tasks.start_soon(
                self._pump, upstream_stream, client_stream, return_path, scope
            )

    async def _pump(
        self,
        source: SocketStream,
        sink: SocketStream,
        path: DomainPath,
        scope: anyio.CancelScope,
    ) -> None:
        send, receive = anyio.create_memory_object_stream[_Chunk](MAX_CHUNKS_IN_TRANSIT)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._write_chunks, receive, sink, path, scope)
            await self._read_chunks(source, send, path)

    async def _read_chunks(
        self,
        source: SocketStream,
        send: MemoryObjectSendStream[_Chunk],
        path: DomainPath,
    ) -> None:
        async with send:
            while True:
                try:
                    data = await source.receive(READ_BYTES)
                except CLOSED_ERRORS:
                    return
                due_ms = self._clock.now_ms() + path.delay_ms
                await send.send(_Chunk(data, due_ms))

    async def _write_chunks(
        self,
        receive: MemoryObjectReceiveStream[_Chunk],
        sink: SocketStream,
        path: DomainPath,
        scope: anyio.CancelScope,
    ) -> None:
        """Forward chunks when they are due; a closed sink ends the connection."""
        try:
            async with receive:
                async for chunk in receive:
                    wait_ms = chunk.due_ms - self._clock.now_ms()
                    if wait_ms > 0.0:
                        await anyio.sleep(wait_ms / 1000.0)
                    await _wait_while_held(path)
                    await sink.send(chunk.data)
            await _wait_while_held(path)
            await sink.send_eof()
        except (*CLOSED_ERRORS, RuntimeError):
            # uvloop raises RuntimeError if send_eof is called on a reset connection.
            scope.cancel()

    async def handle_control(self, request: HttpRequest) -> HttpResponse:
        """Handle one request to the control port."""
        match (request.method, request.path):
            case ("GET", "/paths"):
                return json_response(200, self._describe())
            case ("POST", "/paths"):
                return self._handle_change(request.body)
        return json_response(404, b'{"error":"use GET /paths or POST /paths"}')

    def _describe(self) -> bytes:
        paths = [
            {
                "source": source,
                "destination": destination,
                "mode": path.mode,
                "delay_ms": path.delay_ms,
            }
            for (source, destination), path in self._paths.items()
        ]
        return json.dumps(
            {"connections": self.connection_count, "paths": paths}
        ).encode()

    def _handle_change(self, body: bytes) -> HttpResponse:
        try:
            self.apply(msgspec.json.decode(body, type=PathChange))
        except msgspec.DecodeError as error:
            return json_response(400, json.dumps({"error": str(error)}).encode())
        return json_response(200, self._describe())


def _reset_on_close(stream: SocketStream) -> None:
    """Make the close send a TCP reset, like a firewall that rejects a connection."""
    raw = stream.extra(SocketAttribute.raw_socket)
    with suppress(OSError):
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)


async def _wait_while_held(path: DomainPath) -> None:
    while path.mode is Mode.BLACK_HOLE:
        await path.changed.wait()


async def _wait_for_refusal(path: DomainPath, scope: anyio.CancelScope) -> None:
    while path.mode is not Mode.REFUSE:
        await path.changed.wait()
    scope.cancel()


async def run_relay(plan: RelayPlan) -> None:
    """Run a relay until SIGTERM or SIGINT.

    :param plan: domains and links
    """
    relay = Relay(plan, SystemClock())
    control_listener, control_address = await listen(plan.host, plan.control_port)
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as tasks:
            for link in plan.links:
                listener, _ = await listen(plan.host, link.port)
                upstream = parse_address(link.to)
                tasks.start_soon(relay.serve, listener, upstream, link.domain)
            tasks.start_soon(serve_http, control_listener, relay.handle_control)
            print(json.dumps({"control": str(control_address)}), flush=True)
            async for _ in signals:
                break
            tasks.cancel_scope.cancel()


def _command(plan: Path) -> None:
    """Run a relay between failure domains.

    Print one JSON line with the control address when it is ready.

    :param plan: JSON file with a relay plan
    """
    settings = read_plan(plan, RelayPlan)
    anyio.run(run_relay, settings, backend_options={"use_uvloop": True})


def main() -> None:
    """Run the command ``briardock-relay``."""
    try:
        defopt.run(_command)
    except BriardockError as error:
        print(error, file=sys.stderr)
        sys.exit(error.exit_code)


if __name__ == "__main__":
    main()
