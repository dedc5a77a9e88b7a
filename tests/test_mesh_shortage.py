"""Connections and responses that fail by the node's own shortage of resources."""

import asyncio
import errno
import os
import resource
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, NoReturn

import pytest

from briardock.mesh import http_client
from briardock.mesh.calls import Completed, NotRun, Unknown
from briardock.mesh.http1 import (
    ExchangeFailure,
    FailureCause,
    Request,
    Response,
    encode_response,
)
from briardock.mesh.http_client import (
    BODY_SLICE_BYTES,
    MAX_BODY_BYTES,
    ClientConnection,
)
from briardock.mesh.memory import RESPONSE_FLOOR_BYTES, MemoryAccount
from briardock.mesh.model import TargetState, now_s
from briardock.mesh.pool import ConnectionPool
from mesh_builders import make_call, make_target
from mesh_fakes import (
    FakeTarget,
    announcement,
    fleet,
    free_address,
    respond_normally,
    route,
)

SHORTAGES = [
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EADDRNOTAVAIL,
]

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


@contextmanager
def no_free_descriptors() -> Iterator[None]:
    """Let this process open no descriptor.

    The limit is 0, since any higher limit would let descriptors that are closed
    meanwhile be used again.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (0, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@contextmanager
def failing_connects(number: int) -> Iterator[None]:
    """Let each new connection fail with an error number."""

    async def fail(*args: Any, **options: Any) -> Any:
        raise OSError(number, os.strerror(number))

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(asyncio.get_running_loop(), "create_connection", fail)
        yield


Shortage = Callable[[], Any]
SHORTAGE_ROWS = [
    pytest.param(no_free_descriptors, id="descriptor-limit"),
    *(
        pytest.param(lambda number=n: failing_connects(number), id=errno.errorcode[n])
        for n in SHORTAGES
    ),
]


@pytest.mark.parametrize("shortage", SHORTAGE_ROWS)
async def test_own_shortage_does_not_make_the_target_absent(shortage: Shortage) -> None:
    """A node without free descriptors declared its target lost, counted that as a death
    and refused all calls until the next announcement.
    """
    target = FakeTarget(free_address())
    await target.start()
    local_target = make_target(target.address)
    local_target.announce(announcement(address=target.address))
    suspects = local_target._crash_suspects
    suspects.record_loss(make_call(body=b"other"))
    with shortage():
        result = await local_target.run(make_call())
    assert isinstance(result, NotRun) and not result.arrived
    assert local_target.state is TargetState.READY
    assert not suspects.quarantine.entries()
    assert isinstance(await local_target.run(make_call()), Completed)


@pytest.mark.parametrize("shortage", SHORTAGE_ROWS)
async def test_own_shortage_ejects_no_other_node(shortage: Shortage) -> None:
    """A node without free descriptors avoided all healthy nodes for seconds."""
    async with fleet(route("r", "/jobs/")) as system:
        entry = await system.add("n1", "portal")
        await system.add("n2", "jobs")
        await system.settle()
        forwarder = entry.node.forwarder
        peer = entry.node.members.get("n2")
        assert peer is not None
        headers = [(b"host", b"a.example"), (b"request-id", b"r1")]
        request = Request(b"GET", b"/jobs/1", headers, b"", now_s())
        entry.node._peer_pool.discard(peer.address)
        with shortage():
            response = await forwarder.handle(request)
        assert response.status == 503
        assert forwarder._balancer.stats("n2").ejected_until_s < now_s()
        assert (await entry.call("/jobs/1")).status == 200


@contextmanager
def memory_account_used_up(pool: ConnectionPool) -> Iterator[None]:
    """Let the other responses of this process use up the account of all responses."""
    pool._memory.used_bytes += 2 * pool._memory.limit_bytes
    try:
        yield
    finally:
        pool._memory.used_bytes -= 2 * pool._memory.limit_bytes


class FailingBody(bytearray):
    """A body for which there is no memory."""

    def __iadd__(self, part: object) -> NoReturn:
        raise MemoryError


def fail_bodies(connection: ClientConnection, patch: pytest.MonkeyPatch) -> None:
    discard = connection._discard

    def discard_and_fail() -> None:
        discard()
        connection._body = FailingBody()

    patch.setattr(connection, "_discard", discard_and_fail)


@contextmanager
def failing_bodies(pool: ConnectionPool) -> Iterator[None]:
    """Let the idle connections of a pool find no memory for a body."""
    with pytest.MonkeyPatch.context() as patch:
        for connections in pool._idle.values():
            for connection in connections:
                fail_bodies(connection, patch)
        yield


# Limits are checked after each slice of a body.
LARGE_BODY = b"x" * (RESPONSE_FLOOR_BYTES + 2 * BODY_SLICE_BYTES)
MemoryShortage = Callable[[ConnectionPool], Any]
MEMORY_ROWS = [
    pytest.param(memory_account_used_up, id="account"),
    pytest.param(failing_bodies, id="heap"),
]


async def respond_with_large_body(request: Request) -> Response:
    response = await respond_normally(request)
    response.body = LARGE_BODY
    return response


@pytest.mark.parametrize("shortage", MEMORY_ROWS)
async def test_own_shortage_of_memory_is_no_loss_by_the_target(
    shortage: MemoryShortage,
) -> None:
    """A response that was cut off because the others held all memory made its request
    a suspect if the target died within 3 s, and its port was checked.
    """
    target = FakeTarget(free_address())
    await target.start()
    target.behaviour = respond_with_large_body
    local_target = make_target(target.address)
    local_target._pool._memory = MemoryAccount(floor_bytes=RESPONSE_FLOOR_BYTES)
    local_target.announce(announcement(address=target.address))
    headers = [(b"host", b"h"), (b"request-id", b"first")]
    first = make_call(request_id=b"first", headers=headers)
    assert isinstance(await local_target.run(first), Completed)
    with shortage(local_target._pool):
        result = await local_target.run(make_call())
    assert result == Unknown("own shortage: memory", own_shortage=True)
    assert not local_target._crash_suspects._lost_responses
    assert not local_target.loss_watch._lost.is_set()
    assert not local_target._pool._reduced_idle_limits
    completed = await local_target.run(make_call())
    assert isinstance(completed, Completed) and completed.response.body == LARGE_BODY


@pytest.mark.parametrize("shortage", MEMORY_ROWS)
@pytest.mark.parametrize("owner_name", ["n1", "n2"])
async def test_own_shortage_of_memory_is_no_evidence_about_an_instance(
    owner_name: str, shortage: MemoryShortage
) -> None:
    """A node that had no memory for a response avoided the instance that sent it."""
    async with fleet(route("r", "/jobs/", **{"max-attempts": 1})) as system:
        entry = await system.add("n1", "jobs" if owner_name == "n1" else "portal")
        if owner_name == "n2":
            await system.add("n2", "jobs")
        await system.settle()
        owner = system.machines[owner_name]
        assert (await entry.call("/jobs/1", "first")).status == 200
        pool = entry.node._target_pool
        if owner_name == "n2":
            pool = entry.node._peer_pool
        headers = [(b"host", b"a.example"), (b"request-id", b"second")]
        request = Request(b"GET", b"/jobs/2", headers, b"", now_s())
        owner.target.behaviour = respond_with_large_body
        stats = entry.node.forwarder._balancer.stats(owner_name)
        before = stats.failures, stats.failure_ratio
        with shortage(pool):
            response = await entry.node.forwarder.handle(request)
        assert response.status == 502
        assert (stats.failures, stats.failure_ratio) == before


OK = b"HTTP/1.1 200 OK\r\n"
PEER_ROWS = {
    "malformed": (b"\x00\xff", False, FailureCause.OTHER),
    "malformed, account used up": (b"\x00\xff", True, FailureCause.OTHER),
    "floor, account used up": (b"x" * RESPONSE_FLOOR_BYTES, True, None),
    "large, account used up": (LARGE_BODY, True, FailureCause.OWN_SHORTAGE),
    "too large": (
        b"x" * (MAX_BODY_BYTES + 2 * BODY_SLICE_BYTES),
        False,
        FailureCause.OTHER,
    ),
}


@pytest.mark.parametrize("name", PEER_ROWS)
async def test_cause_tells_a_peer_in_trouble_from_an_own_shortage(name: str) -> None:
    """Without the difference a peer that sends without end would be spared."""
    sent, is_used_up, expected = PEER_ROWS[name]
    memory = MemoryAccount(64 * 1024 * 1024, RESPONSE_FLOOR_BYTES)
    memory.used_bytes = 2 * memory.limit_bytes if is_used_up else 0
    data = sent
    if not name.startswith("malformed"):
        data = encode_response(Response(200, [], sent))

    async def respond(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(4096)
        writer.write(data)

    address = free_address()
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    async with await asyncio.start_server(respond, host, int(port)):
        _, connection = await loop.create_connection(
            lambda: ClientConnection(memory), host, int(port)
        )
        result = await connection.exchange(b"GET / HTTP/1.1\r\n\r\n")
    if expected is None:
        assert isinstance(result, Response)
    else:
        assert isinstance(result, ExchangeFailure)
        assert (result.sent, result.cause) == (True, expected)


async def test_a_body_that_ends_with_the_connection_may_find_no_memory() -> None:
    """The exchange had no result until the deadline."""

    async def respond(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(4096)
        writer.write(OK + b"\r\nbody")
        writer.close()

    address = free_address()
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    async with await asyncio.start_server(respond, host, int(port)):
        _, connection = await loop.create_connection(ClientConnection, host, int(port))

        def fail(body: bytearray) -> NoReturn:
            raise MemoryError

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(http_client, "without_copy", fail)
            async with asyncio.timeout(5.0):
                result = await connection.exchange(b"GET / HTTP/1.1\r\n\r\n")
    assert isinstance(result, ExchangeFailure)
    assert result.cause is FailureCause.OWN_SHORTAGE
