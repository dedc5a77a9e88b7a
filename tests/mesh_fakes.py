"""Fakes of the platform's targets and store, and nodes that run against them."""

import asyncio
import base64
import json
import struct
import time
from collections import defaultdict
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import Any
from urllib.parse import parse_qs, urlsplit

from briardock.mesh.decisions import DecisionLog
from briardock.mesh.http1 import ExchangeFailure, Request, Response, encode_request
from briardock.mesh.http_client import ClientConnection
from briardock.mesh.http_server import HttpServer
from briardock.mesh.model import (
    Announcement,
    CallerLimits,
    MeshSettings,
    TargetState,
    split_address,
)
from briardock.mesh.node import Node
from briardock.overload.admission import OPEN_THRESHOLD
from briardock.platform._dialect import PlatformDialect
from briardock.platform._store import PlatformStore
from briardock_standins._processes import PortPool

HOST = "127.0.0.1"
# Path at which the soak restores the store, with the age of the copy.
RESTORE_PATH = "/restore"
# Path of the targets' health check.
HEALTH_PATH = "/health"
_PORTS = PortPool()

Behaviour = Callable[[Request], Awaitable[Response]]


def quiet_log() -> DecisionLog:
    return DecisionLog("test", write=len)


def free_address() -> str:
    """Return an address without a listener that no outgoing connection uses."""
    return f"{HOST}:{_PORTS.take()}"


def announcement(**changes: Any) -> Announcement:
    base = Announcement(
        target_id="i-1",
        service="jobs",
        address=f"{HOST}:1",
        slots=4,
        state=TargetState.READY,
        sequence=1,
        born_ms=1_000,
    )
    return replace(base, **changes)


def route(name: str, prefix: str, **spec: Any) -> dict[str, Any]:
    """Return a route of the operator's configuration."""
    base = {
        "host": "a.example",
        "path-prefix": prefix,
        "kind": "idempotent",
        "timeout": "2s",
        "target-latency": "200ms",
        "priority": 1,
        "service": "jobs",
        "max-attempts": 2,
    }
    return {"type-url": "routes", "metadata": {"name": name}, "spec": base | spec}


def tenant(name: str, *keys: str, **spec: Any) -> dict[str, Any]:
    """Return an account of the operator's configuration."""
    return {
        "type-url": "tenants",
        "metadata": {"name": name},
        "spec": {"api-keys": list(keys)} | spec,
    }


def config(version: int, *resources: dict[str, Any]) -> bytes:
    """Return a configuration as the operator writes it, with the services of routes."""
    services = [
        {
            "type-url": "services",
            "metadata": {"name": name},
            "spec": {"health-path": HEALTH_PATH, "max-connections": 500},
        }
        for name in sorted(
            {item["spec"].get("service", "") for item in resources} - {""}
        )
    ]
    return json.dumps(
        {"version": version, "resources": [*resources, *services]}
    ).encode()


class FakeStore:
    """Keyed topics of the platform's store.

    ``down`` makes it respond with 503. ``restore`` takes it back to an earlier state,
    as if it came back from a copy; each response carries the era, which then rises.
    ``turn_away`` makes it fail for those that use an address from ``open_address``.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.down = False
        # Whether a restore leaves reads that wait open, instead of answering them.
        self.keeps_reads_open = False
        self.era = 1
        self.appends = 0
        self.calls = 0
        # Records of each topic as time of the append, key and value.
        self._topics: dict[str, list[tuple[float, str, bytes]]] = defaultdict(list)
        self._changed = asyncio.Event()
        self.server = HttpServer(self._handle, CallerLimits(), quiet_log())
        self._servers: dict[str, HttpServer] = {}
        # How it fails, by address: ``reset``, ``503`` or ``silent``.
        self._failures: dict[str, str] = {}

    async def open_address(self) -> str:
        """Listen on an address that only one node uses."""
        address = free_address()

        async def handle(request: Request) -> Response:
            response = await self._handle(request)
            match self._failures.get(address):
                case "503":
                    return Response(503)
                case "silent":
                    await asyncio.sleep(60.0)
            return response

        server = HttpServer(handle, CallerLimits(), quiet_log())
        self._servers[address] = server
        await server.start(*split_address(address))
        return address

    def turn_away(self, address: str, how: str) -> None:
        """Fail for the node that uses an address, also for its reads that wait.

        :param address: address from ``open_address``
        :param how: ``reset``, ``503`` or ``silent``
        """
        self._failures[address] = how
        if how == "reset":
            server = self._servers[address]
            server.stop_listening()
            for connection in list(server.connections):
                connection._transport.abort()
        else:
            self._wake_readers()

    def put(self, topic: str, key: str, value: bytes) -> None:
        self._topics[topic].append((time.monotonic(), key, value))
        self._wake_readers()

    def restore(self, copied_s: float) -> None:
        """Lose all records that were appended after a time, and begin a new era.

        :param copied_s: time of the copy on the monotonic clock, s
        """
        for records in self._topics.values():
            records[:] = [record for record in records if record[0] <= copied_s]
        self.era += 1
        self._wake_readers()

    def _wake_readers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def newest(self, topic: str) -> dict[str, bytes]:
        """Return the newest record of each key."""
        return {key: value for _, key, value in self._topics[topic]}

    async def _handle(self, request: Request) -> Response:
        self.calls += 1
        response = Response(503) if self.down else await self._respond(request)
        response.headers.append((b"store-era", b"%d" % self.era))
        return response

    async def _respond(self, request: Request) -> Response:
        url = urlsplit(request.target.decode())
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if url.path == RESTORE_PATH:
            self.restore(time.monotonic() - int(query["age-ms"]) / 1000)
            return Response(200)
        topic = query["topic"]
        match url.path:
            case "/log-append":
                self.appends += 1
                (size,) = struct.unpack_from(">I", request.body)
                record = request.body[4 : 4 + size]
                key = record[1 : 1 + record[0]].decode()
                self.put(topic, key, record[1 + record[0] :])
                return Response(200, body=b"{}")
            case "/log-newest":
                items = [
                    {"key": k, "value": base64.b64encode(v).decode(), "offset": 0}
                    for k, v in self.newest(topic).items()
                ]
                end = len(self._topics[topic])
                body = {"items": items, "has-more": False, "end": end}
                return Response(200, body=json.dumps(body).encode())
            case "/log-read":
                return await self._read(topic, query)
        return Response(404)

    async def _read(self, topic: str, query: dict[str, str]) -> Response:
        offset = int(query["from"])
        wait_s = int(query.get("wait-ms", "0")) / 1000
        records, era = self._topics[topic], self.era
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while (
            len(records) == offset
            and (self.era == era or self.keeps_reads_open)
            and loop.time() < deadline
        ):
            changed = self._changed
            try:
                async with asyncio.timeout_at(deadline):
                    await changed.wait()
            except TimeoutError:
                break
        if offset > len(records):
            return Response(410)
        body = struct.pack(">QQ", len(records), 0)
        for _, key, value in records[offset:]:
            record = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(record)) + record
        return Response(200, body=body)


async def respond_normally(request: Request) -> Response:
    """Respond like a healthy target."""
    request_id = dict(request.headers).get(b"request-id", b"")
    headers = [(b"request-id", request_id), (b"response-signature", b"s")]
    return Response(200, headers, b"response to " + request_id)


@dataclass
class FakeTarget:
    """A target that records its requests, and tells by health checks if it leaves."""

    address: str
    behaviour: Behaviour = respond_normally
    requests: list[Request] = field(default_factory=list)
    target_id: str = "i-1"
    leaving: bool = False

    async def start(self) -> None:
        self.server = HttpServer(self._handle, CallerLimits(), quiet_log())
        await self.server.start(*split_address(self.address))

    def reset_connections(self) -> None:
        for connection in list(self.server.connections):
            assert connection._transport is not None
            connection._transport.abort()

    async def _handle(self, request: Request) -> Response:
        if request.target == HEALTH_PATH.encode():
            status = 503 if self.leaving else 200
            return Response(status, [(b"instance-id", self.target_id.encode())])
        self.requests.append(request)
        return await self.behaviour(request)


@dataclass
class Machine:
    """A node and the target beside it."""

    node: Node
    target: FakeTarget
    task: asyncio.Task[None]
    settings: MeshSettings
    sequence: int = 0

    async def announce(
        self, state: str = "ready", born_ms: int = 1_000, target_id: str = ""
    ) -> int:
        """Send the target's heartbeat to its node; return the status."""
        self.sequence += 1
        body = {
            "service": self.settings.service,
            "address": self.settings.target_address,
            "zone": self.settings.domain,
            "version": "v1",
            "slots": 4,
            "state": state,
            "cold-remaining": "0ms",
            "sequence": self.sequence,
            "born": born_ms,
        }
        target_id = target_id or f"i-{self.settings.node_id}"
        path = f"/instances/{target_id}/heartbeat"
        response = await send(
            self.settings.announce_address, path, json.dumps(body).encode()
        )
        return response.status

    async def call(
        self, path: str, request_id: str = "r1", body: bytes = b"", **headers: str
    ) -> Response:
        """Send a caller's request to the node."""
        extra_headers = [
            (k.replace("_", "-").encode(), v.encode()) for k, v in headers.items()
        ]
        return await send(
            self.settings.caller_address,
            path,
            body,
            [
                (b"host", b"a.example"),
                (b"request-id", request_id.encode()),
                *extra_headers,
            ],
        )


async def send(
    address: str,
    path: str,
    body: bytes = b"",
    headers: list[tuple[bytes, bytes]] | None = None,
) -> Response:
    """Send one request on a new connection."""
    loop = asyncio.get_running_loop()
    host, port = split_address(address)
    _, connection = await loop.create_connection(ClientConnection, host, port)
    method = b"POST" if body else b"GET"
    data = encode_request(method, path.encode(), headers or [], body)
    response = await connection.exchange(data)
    connection.close()
    if isinstance(response, ExchangeFailure):
        return Response(0, body=response.reason.encode())
    return response


def make_settings(node_id: str, service: str, store_address: str) -> MeshSettings:
    """Return settings with free ports."""
    return MeshSettings(
        node_id=node_id,
        domain="d1",
        service=service,
        target_address=free_address(),
        caller_address=free_address(),
        peer_address=free_address(),
        ready_address=free_address(),
        announce_address=free_address(),
        metrics_port=0,
        store_address=store_address,
        memory_bytes=300 * 1024 * 1024,
        grace_s=6.0,
        retry_ratio=0.2,
        retry_slack=50.0,
        retry_window_s=10.0,
    )


@dataclass
class Fleet:
    """Nodes, their targets and the store."""

    store: FakeStore
    machines: dict[str, Machine] = field(default_factory=dict)

    async def add(
        self,
        node_id: str,
        service: str,
        domain: str = "d1",
        store_address: str = "",
        **changes: Any,
    ) -> Machine:
        """Start a node and its target, and announce the target."""
        store_address = store_address or self.store.address
        settings = replace(
            make_settings(node_id, service, store_address), domain=domain, **changes
        )
        target = FakeTarget(settings.target_address, target_id=f"i-{node_id}")
        await target.start()
        machine = self.machines[node_id] = await self.start_node(settings, target)
        await machine.announce()
        return machine

    async def start_node(self, settings: MeshSettings, target: FakeTarget) -> Machine:
        """Start a node beside a running target."""
        store = PlatformStore(settings.store_address)
        log = quiet_log()
        node = Node(settings, PlatformDialect(), store, log, lambda: settings)
        task = asyncio.get_running_loop().create_task(node.run())

        async def started() -> bool:
            if task.done():
                task.result()
            return await is_listening(settings.ready_address)

        await eventually(started)
        return Machine(node, target, task, settings)

    async def restart(self, node_id: str) -> Machine:
        """Stop a node abruptly and start it again beside the same target."""
        await self.restart_together([node_id])
        return self.machines[node_id]

    async def restart_together(self, node_ids: list[str]) -> None:
        """Stop nodes abruptly, and start them again once none of them runs."""
        stopped = {node_id: self.machines[node_id] for node_id in node_ids}
        for machine in stopped.values():
            machine.task.cancel()
            await asyncio.gather(machine.task, return_exceptions=True)
            for server in machine.node._servers:
                server.stop_listening()
                server.close_idle()
        for node_id, machine in stopped.items():
            self.machines[node_id] = await self.start_node(
                machine.settings, machine.target
            )

    async def settle(self) -> None:
        """Wait until all nodes have the same records and a configuration, and admit
        all requests.
        """

        async def settled() -> bool:
            nodes = [m.node for m in self.machines.values()]
            digests = {n.members.digest() for n in nodes}
            counts = {n.members.count for n in nodes}
            versions = {n.replicator.config_version for n in nodes}
            return (
                len(digests) == 1
                and counts == {len(nodes)}
                and len(versions) == 1
                and versions != {-1}
                and all(
                    n.forwarder._thresholds.of_service(other.settings.service)
                    == OPEN_THRESHOLD
                    for n in nodes
                    for other in nodes
                )
                and all(n.target.threshold(True) == OPEN_THRESHOLD for n in nodes)
                and not any(n.confirmation.is_pending for n in nodes)
            )

        await eventually(settled)


async def is_listening(address: str) -> bool:
    """Return whether a server responds at an address."""
    try:
        return (await send(address, "/ready")).status > 0
    except OSError:
        return False


async def eventually(
    check: Callable[[], Awaitable[bool]], timeout_s: float = 10.0
) -> None:
    """Wait until a check holds."""
    async with asyncio.timeout(timeout_s):
        while not await check():
            await asyncio.sleep(0.02)


@asynccontextmanager
async def fleet(*routes: dict[str, Any]) -> AsyncIterator[Fleet]:
    """Run a store with a configuration, to which the test adds machines."""
    store = FakeStore(free_address())
    await store.server.start(*split_address(store.address))
    store.put("keyed.op", "config", config(1, *(routes or [route("r", "/jobs/")])))
    created = Fleet(store)
    try:
        yield created
    finally:
        for machine in created.machines.values():
            machine.task.cancel()
            await asyncio.gather(machine.task, return_exceptions=True)
        _PORTS.release()
