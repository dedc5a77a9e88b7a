"""What a stranger sends is never taken for what another node wrote."""

from typing import Any

import msgspec
import pytest

from briardock.mesh.http1 import Request, Response
from briardock.mesh.members import NodeRecord
from briardock.mesh.model import CallerLimits, TargetState
from briardock.mesh.quotas import QUOTAS_PATH
from briardock.mesh.sync import SYNC_PATH, SyncMessage
from briardock.overload.quota_messages import NodeReport
from mesh_builders import record
from mesh_fakes import Fleet, Machine, config, fleet, respond_normally, route, tenant

pytestmark = pytest.mark.anyio

FORGED_CONFIG = config(9, route("r", "/", service="maps"))
FORGED_RECORD = record("forged", service="jobs", address="127.0.0.1:1")


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


def sync_message(records: list[NodeRecord], document: bytes = b"") -> bytes:
    return msgspec.msgpack.encode(SyncMessage("", -1, records, document))


def quota_report() -> bytes:
    return msgspec.msgpack.encode(NodeReport("forged", 0.0, []))


async def start(system: Fleet) -> Machine:
    """Start nodes; return one whose requests for ``jobs`` run at the others."""
    entry = await system.add("n1", "maps")
    await system.add("n2", "jobs")
    await system.add("n3", "jobs")
    await system.settle()
    return entry


@pytest.mark.parametrize(
    ("path", "body"),
    [
        pytest.param(SYNC_PATH, sync_message([], FORGED_CONFIG), id="configuration"),
        pytest.param(SYNC_PATH, sync_message([FORGED_RECORD]), id="node-record"),
        pytest.param(SYNC_PATH, b"text", id="undecodable-sync"),
        pytest.param(QUOTAS_PATH, quota_report(), id="quota-report"),
        pytest.param(QUOTAS_PATH, b"text", id="undecodable-report"),
        pytest.param(SYNC_PATH + b"?a=1", b"text", id="query"),
        pytest.param(b"/.briardock/other", b"text", id="other-path"),
        pytest.param(b"/instances/i-n2/deregister", b"{}", id="departure"),
    ],
)
@pytest.mark.parametrize("entry_id", ["n1", "n2"])
async def test_request_with_the_path_of_a_message_reaches_its_service(
    path: bytes, body: bytes, entry_id: str
) -> None:
    """A client's request replaced the configuration of all nodes (ROUTE)."""
    async with fleet(route("r", "/")) as system:
        await start(system)
        entry = system.machines[entry_id]
        response = await entry.call(path.decode(), body=body)
        assert (response.status, response.body) == (200, b"response to r1")
        (request,) = [r for m in system.machines.values() for r in m.target.requests]
        assert (request.target, request.body) == (path, body)
        for machine in system.machines.values():
            node = machine.node
            assert node.replicator.config_version == 1
            assert node.members.get(FORGED_RECORD.node_id) is None
            assert node.quotas.aggregator._heard_s.keys() <= system.machines.keys()
            assert node.target.state is TargetState.READY


@pytest.mark.parametrize("lagging", ["entry", "target", "none"])
async def test_client_cannot_name_its_account(lagging: str) -> None:
    """A client's own header must not count as the account that its entry node found,
    at a node that has the accounts before another one either.
    """
    async with fleet(route("r", "/")) as system:
        entry = await start(system)
        document = config(2, route("r", "/"), tenant("gold", "k1"), tenant("a", "k2"))
        decoded = entry.node._dialect.decode_config(document)
        for machine in system.machines.values():
            is_entry = machine is entry
            if lagging != ("entry" if is_entry else "target"):
                machine.node.senders.install(decoded)
        headers = {
            "authorization": "Bearer k2",
            "briardock-account": "gold",
            "briardock-call": "jobs;i-n2;maps;1;0;0;900;r1",
            "tenant-id": "gold",
        }
        response = await entry.call("/x", **headers)
        assert response.status == 200
        (request,) = [r for m in system.machines.values() for r in m.target.requests]
        sent = [name for name, _ in request.headers]
        assert not [name for name in sent if name.startswith(b"briardock-")]
        accounts = [value for name, value in request.headers if name == b"tenant-id"]
        expected = {"entry": [], "target": [b"a"], "none": [b"a"]}[lagging]
        assert accounts == expected
        keys = [name for name in sent if name == b"authorization"]
        assert not keys


def limits(header_bytes: int, body_bytes: int) -> dict[str, Any]:
    """Return the limits on clients as the operator writes them."""
    spec = {
        "max-header-bytes": header_bytes,
        "max-body-bytes": body_bytes,
        "header-timeout": "3s",
        "idle-timeout": "15s",
    }
    return {"type-url": "limits", "metadata": {}, "spec": spec}


@pytest.mark.parametrize(
    ("header_bytes", "body_bytes"),
    [
        pytest.param(60 * 1024, 10, id="head-as-large-as-a-node-reads"),
        pytest.param(64 * 1024, 10, id="head-with-the-call-is-larger"),
        pytest.param(200 * 1024, 10, id="head-is-larger"),
        pytest.param(1024, 65 * 1024 * 1024, id="body-is-larger"),
    ],
)
async def test_node_reads_calls_as_large_as_the_limits_on_clients(
    header_bytes: int, body_bytes: int
) -> None:
    """A request within the limits was answered 502, as the other node refused it."""
    accepted = limits(header_bytes, body_bytes)
    async with fleet(route("r", "/", timeout="9s"), accepted) as system:
        entry = await start(system)
        for machine in system.machines.values():
            machine.target.server.limits = CallerLimits(2**20, 2**30)
        # The request line and the other headers are less than 512 bytes.
        padding = "a" * (header_bytes - 512)
        response = await entry.call("/x", body=b"b" * body_bytes, padding=padding)
        assert response.status == 200
        (request,) = [r for m in system.machines.values() for r in m.target.requests]
        assert dict(request.headers)[b"padding"] == padding.encode()
        assert len(request.body) == body_bytes


@pytest.mark.parametrize("header", ["briardock-result", "Briardock-Result"])
async def test_target_cannot_tell_the_load_of_its_instance(header: str) -> None:
    """A target's own header would have stood for the work that its node measured."""
    forged = b"work;0;1;100;5;9000000"

    async def respond(request: Request) -> Response:
        response = await respond_normally(request)
        response.headers.append((header.encode(), forged))
        return response

    async with fleet(route("r", "/")) as system:
        entry = await start(system)
        for machine in system.machines.values():
            machine.target.behaviour = respond
        for number in range(4):
            response = await entry.call("/x", f"r{number}")
            assert response.status == 200
            assert not [n for n, _ in response.headers if n.startswith(b"briardock-")]
        assert entry.node.telemetry.work_reports._value.get() == 0
        assert not entry.node.balancer.uses_work("jobs")
