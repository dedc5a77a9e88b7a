"""Connections that a node cannot open because of its own shortage of resources."""

import asyncio
import errno
import os
import resource
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import pytest

from briardock.mesh.calls import Completed, NotRun
from briardock.mesh.http1 import Request
from briardock.mesh.model import TargetState, now_s
from mesh_builders import make_call, make_target
from mesh_fakes import FakeTarget, announcement, fleet, free_address, route

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
