"""Requests of clients with accounts, from the first node to the target."""

import asyncio
from dataclasses import replace
from typing import Any

import pytest

from briardock.mesh import replication
from briardock.mesh.http1 import Request, Response
from briardock.mesh.model import Headers
from mesh_fakes import (
    Fleet,
    Machine,
    config,
    eventually,
    fleet,
    respond_normally,
    route,
    tenant,
)

KEY = "Bearer k1"
PRIVATE = route("r", "/jobs/")
PUBLIC = route("p", "/open/", public=True)
ACCOUNTS = (PRIVATE, PUBLIC, tenant("acme; caf\u00e9", "k1", "k2"), tenant("b", "k3"))
NAME = "acme; caf\u00e9".encode()
STRICT = {"strict_revocation": True, "revoke_s": 5.0}


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}


def identity(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the headers that tell a target who the client is."""
    return [h for h in headers if h[0] in (b"authorization", b"tenant-id")]


def received(system: Fleet) -> list[list[tuple[bytes, bytes]]]:
    """Return these headers of each request that arrived at a target."""
    return [
        identity(request.headers)
        for machine in system.machines.values()
        for request in machine.target.requests
    ]


def without_node_headers(headers: Headers) -> list[bytes]:
    return [name for name, _ in headers if name.startswith(b"briardock-")]


async def publish(system: Fleet, version: int, *resources: dict[str, Any]) -> None:
    system.store.put("keyed.op", "config", config(version, *resources))

    async def in_force() -> bool:
        nodes = [machine.node for machine in system.machines.values()]
        return {node.replicator.config_version for node in nodes} == {version}

    await eventually(in_force)


async def settle(system: Fleet) -> None:
    """Wait until all nodes have a configuration that they know to be current."""
    await system.settle()

    async def current() -> bool:
        ages = [m.node.replicator.config_age_s() for m in system.machines.values()]
        return all(age_s is not None and age_s < 1.8 for age_s in ages)

    await eventually(current)


def learned(machine: Machine) -> set[str]:
    return machine.node.members.entry_routes


@pytest.mark.anyio
@pytest.mark.parametrize("entry", ["n1", "n2"])
@pytest.mark.parametrize(
    ("path", "headers", "status", "expected"),
    [
        ("/jobs/1", {"authorization": KEY}, 200, [(b"tenant-id", NAME)]),
        ("/jobs/1", {"authorization": "bearer k2"}, 200, [(b"tenant-id", NAME)]),
        (
            "/jobs/1",
            {"authorization": KEY, "tenant_id": "forged"},
            200,
            [(b"tenant-id", NAME)],
        ),
        ("/open/1", {"authorization": KEY}, 200, [(b"tenant-id", NAME)]),
        ("/open/1", {"tenant_id": "forged"}, 200, []),
        # A call of a target that passes on what it received.
        ("/jobs/1", {"tenant_id": "acme"}, 200, []),
        ("/jobs/1", {}, 200, []),
        ("/jobs/1", {"authorization": "Bearer no"}, 401, None),
        ("/open/1", {"authorization": "Bearer no"}, 401, None),
    ],
)
async def test_target_learns_the_account_and_never_the_key(
    entry: str,
    path: str,
    headers: dict[str, str],
    status: int,
    expected: list[tuple[bytes, bytes]] | None,
) -> None:
    """Once at the node beside the target, once through another node."""
    async with fleet(*ACCOUNTS) as system:
        await system.add("n1", "jobs")
        await system.add("n2", "portal")
        await settle(system)
        response = await system.machines[entry].call(path, **headers)
        assert response.status == status
        if status == 401:
            assert (b"www-authenticate", b"Bearer") in response.headers
        assert received(system) == ([] if expected is None else [expected])
        for request in system.machines["n1"].target.requests:
            assert not without_node_headers(request.headers)


@pytest.mark.anyio
async def test_account_goes_along_to_a_second_instance() -> None:
    """The first one fails; the retry must not lose the account or regain the key."""

    async def fail(request: Request) -> Response:
        return Response(500, (await respond_normally(request)).headers)

    async with fleet(*ACCOUNTS) as system:
        for name, service in (("n1", "jobs"), ("n2", "jobs"), ("n3", "portal")):
            await system.add(name, service)
        for machine in system.machines.values():
            machine.target.behaviour = fail
        await settle(system)
        response = await system.machines["n3"].call(
            "/jobs/1", authorization=KEY, tenant_id="forged"
        )
        assert response.status == 500
        assert received(system) == [[(b"tenant-id", NAME)]] * 2
        assert {len(m.target.requests) for m in system.machines.values()} == {0, 1}


def hold_threshold(machine: Machine, threshold: float) -> list[dict[str, object]]:
    """Have an entry admit by a threshold; return the refusals that it will log."""
    forwarder = machine.node.forwarder
    forwarder._thresholds._of_entry.of_chain = (  # type: ignore[method-assign]
        lambda service, limit, now: threshold
    )
    forwarder._thresholds._by_service.clear()
    refusals: list[dict[str, object]] = []

    def record(event_name: str, **fields: object) -> None:
        if event_name == "refused-overload":
            refusals.append(fields)

    forwarder._log.event = record  # type: ignore[method-assign]
    return refusals


@pytest.mark.anyio
async def test_a_hot_account_is_refused_before_others_and_calls_of_targets() -> None:
    """One account sends eight times what another does while the entry admits half. The
    log shows its share, and calls that carry no key keep their place.
    """
    async with fleet(*ACCOUNTS) as system:
        await system.add("n1", "jobs")
        entry = await system.add("n2", "portal")
        await settle(system)
        calls = [await entry.call("/jobs/c", request_id=f"c{n}") for n in range(5)]
        routes = entry.node.forwarder.routes
        assert routes is not None
        matched = routes.match("a.example", b"/jobs/1")
        assert matched is not None
        rank = routes.ranks.of_client(matched.priority, None)
        refusals = hold_threshold(entry, rank + 0.5)
        calls += [await entry.call("/jobs/c", request_id=f"d{n}") for n in range(5)]
        assert {response.status for response in calls} == {200}
        statuses: dict[str, list[int]] = {"k1": [], "k3": []}
        for number in range(180):
            key = "k3" if number % 9 == 0 else "k1"
            response = await entry.call(
                "/jobs/1", authorization=f"Bearer {key}", request_id=f"r{number}"
            )
            statuses[key].append(response.status)
            if number % 18 == 17:
                entry.node.forwarder.update_rates(0)
        assert set(statuses["k1"]) == {200, 503}
        assert statuses["k3"].count(200) >= 17
        hot = [line for line in refusals if line["account"] == NAME.decode()]
        assert len(hot) == statuses["k1"].count(503)
        assert all(0.0 < line["account_share"] < 1.0 for line in hot)  # type: ignore[operator]


@pytest.mark.anyio
async def test_without_accounts_a_refusal_names_no_share() -> None:
    """The log of deployments without accounts stays as it was."""
    async with fleet(PRIVATE) as system:
        await system.add("n1", "jobs")
        entry = await system.add("n2", "portal")
        await settle(system)
        routes = entry.node.forwarder.routes
        assert routes is not None
        matched = routes.match("a.example", b"/jobs/1")
        assert matched is not None
        entry.node._entry_routes.learn(matched)
        refusals = hold_threshold(entry, 0.0)
        assert (await entry.call("/jobs/1", authorization=KEY)).status == 503
        assert refusals
        assert not {"account", "account_share"} & set(refusals[0])


@pytest.mark.anyio
async def test_without_accounts_the_headers_are_forwarded_unchanged() -> None:
    async with fleet(PRIVATE) as system:
        await system.add("n1", "jobs")
        await system.add("n2", "portal")
        await settle(system)
        for name in ("n1", "n2"):
            response = await system.machines[name].call(
                "/jobs/1", authorization=KEY, tenant_id="x"
            )
            assert response.status == 200
        expected = [(b"authorization", KEY.encode()), (b"tenant-id", b"x")]
        assert received(system) == [expected] * 2


@pytest.mark.anyio
async def test_a_call_from_a_node_without_the_accounts_tells_no_key() -> None:
    """A node may have a configuration without accounts for up to the bound on its
    distribution, or be of the earlier release.
    """
    async with fleet(*ACCOUNTS) as system:
        await system.add("n1", "jobs")
        entry = await system.add("n2", "portal")
        await settle(system)
        entry.node.senders.has_accounts = False
        response = await entry.call("/jobs/1", authorization=KEY, tenant_id="forged")
        assert response.status == 200
        assert received(system) == [[]]


@pytest.mark.anyio
async def test_routes_of_clients_are_learned_from_valid_keys_only() -> None:
    """Requests without a key would otherwise turn a route of targets into one of
    clients, whose calls are then rejected.
    """
    async with fleet(*ACCOUNTS) as system:
        machine = await system.add("n1", "jobs")
        await settle(system)
        started_s = machine.node._entry_routes._started_s
        machine.node._entry_routes._started_s = started_s - 60.0
        await asyncio.sleep(1.1)
        for headers in ({}, {"authorization": "Bearer no"}):
            await machine.call("/jobs/1", **headers)
            assert not learned(machine)
            await asyncio.sleep(1.1)
        assert (await machine.call("/open/1")).status == 200
        assert learned(machine) == {"p"}
        assert (await machine.call("/jobs/1", authorization=KEY)).status == 200
        assert learned(machine) == {"p", "r"}
        assert (await machine.call("/jobs/1")).status == 401
        assert (await machine.call("/open/1")).status == 200


@pytest.mark.anyio
async def test_keys_are_rotated_and_withdrawn() -> None:
    async with fleet(PRIVATE, tenant("a", "old")) as system:
        machine = await system.add("n1", "jobs")
        await settle(system)

        async def statuses(*keys: str) -> list[int]:
            await settle(system)
            return [
                (await machine.call("/jobs/1", authorization=f"Bearer {key}")).status
                for key in keys
            ]

        assert await statuses("old", "new") == [200, 401]
        await publish(system, 2, PRIVATE, tenant("a", "old", "new"))
        assert await statuses("old", "new") == [200, 200]
        await publish(system, 3, PRIVATE, tenant("a", "new"))
        assert await statuses("old", "new") == [401, 200]
        await publish(system, 4, PRIVATE, tenant("b", "k3"))
        assert await statuses("old", "new", "k3") == [401, 401, 200]
        held = repr(vars(machine.node.replicator._replica))
        held += repr(vars(machine.node.senders._accounts))
        assert "k3" not in held
        # The representation of an entry leaves out its keys, so it is checked itself.
        kept = machine.node.replicator._replica.config
        assert kept is not None and kept.has_accounts and not kept.accounts


@pytest.mark.anyio
async def test_store_that_is_cut_off_ends_requests_with_keys_only() -> None:
    """A withdrawn key must not run anywhere once the bound has passed."""
    async with fleet(*ACCOUNTS) as system:
        for name, service in (("n1", "jobs"), ("n2", "jobs"), ("n3", "portal")):
            await system.add(name, service, **STRICT)
        await settle(system)
        entry = system.machines["n3"]
        system.store.down = True
        loop = asyncio.get_running_loop()
        cut_off_s = loop.time()
        assert (await entry.call("/jobs/1", authorization=KEY)).status == 200
        # Reads that wait when the store is cut off still complete.
        last_current_s = cut_off_s + replication.CONFIG_WAIT_RANGE_S[1]
        while loop.time() < last_current_s + 4.6:
            await asyncio.sleep(0.1)
        for machine in system.machines.values():
            for key in (KEY, "Bearer no"):
                response = await machine.call("/jobs/1", authorization=key)
                assert response.status == 503
                assert dict(response.headers)[b"retry-after"] == b"1.000"
            assert (await machine.call("/open/1")).status == 200
        outcomes = entry.node.telemetry.render().decode()
        assert 'briardock_requests_total{outcome="stale-accounts"} 2.0' in outcomes
        assert entry.node.senders._is_outdated
        system.store.down = False
        await settle(system)
        assert (await entry.call("/jobs/1", authorization=KEY)).status == 200


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("settings", "known_key", "unknown_key"), [({}, 200, 503), (STRICT, 503, 503)]
)
async def test_a_suspended_node_finds_itself_outdated(
    settings: dict[str, object],
    known_key: int,
    unknown_key: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with fleet(*ACCOUNTS) as system:
        machine = await system.add("n1", "jobs", **settings)
        await settle(system)
        system.store.down = True
        now_s = replication.now_s
        monkeypatch.setattr(replication, "now_s", lambda: now_s() + 6.0)
        for key, expected in ((KEY, known_key), ("Bearer no", unknown_key)):
            response = await machine.call("/jobs/1", authorization=key)
            assert response.status == expected
        assert (await machine.call("/open/1")).status == 200


@pytest.mark.anyio
async def test_a_node_that_restarts_serves_keys_once_it_has_read_the_store() -> None:
    async with fleet(*ACCOUNTS) as system:
        machine = await system.add("n1", "jobs", **STRICT)
        await settle(system)
        system.store.down = True
        machine = await system.restart("n1")
        assert (await machine.call("/jobs/1", authorization=KEY)).status == 503
        system.store.down = False
        await settle(system)
        await machine.announce()

        async def served() -> bool:
            return (await machine.call("/jobs/1", authorization=KEY)).status == 200

        await eventually(served)


@pytest.mark.anyio
async def test_only_malformed_accounts_still_need_a_key() -> None:
    """Routes must not open to clients without keys by a mistake of the operator."""
    async with fleet(PRIVATE, tenant("a\n", "k1")) as system:
        machine = await system.add("n1", "jobs")
        await settle(system)
        assert (await machine.call("/jobs/1", authorization=KEY)).status == 401
        assert not received(system)


PRIORITIES = (
    route("low", "/low/", priority=2),
    route("high", "/high/", priority=0),
    tenant("gold", "k1", priority=0),
    tenant("iron", "k2", priority=3),
    tenant("none", "k3"),
)


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("threshold", "admitted_count"),
    [(1_000.0, 4), (2.0, 4), (1.5, 3), (1.0, 2), (0.5, 1), (0.0, 0)],
)
async def test_admission_refuses_the_least_important_rank_first(
    threshold: float, admitted_count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A threshold covers as many levels as there are route priorities, whatever the
    number of account priorities, as its control loop goes through them one by one.
    """
    async with fleet(*PRIORITIES) as system:
        machine = await system.add("n1", "jobs")
        await settle(system)
        thresholds = machine.node.forwarder._thresholds
        monkeypatch.setattr(thresholds, "of_service", lambda service: threshold)
        statuses = [
            (await machine.call(path, authorization=f"Bearer {key}")).status
            for key in ("k1", "k2")
            for path in ("/high/1", "/low/1")
        ]
        assert statuses == [200] * admitted_count + [503] * (4 - admitted_count)


@pytest.mark.anyio
async def test_changed_bounds_apply_without_a_restart() -> None:
    async with fleet(*ACCOUNTS) as system:
        machine = await system.add("n1", "jobs")
        await settle(system)
        node = machine.node
        node._load_settings = lambda: replace(
            node.settings, strict_revocation=True, revoke_s=0.5
        )
        node.reload()
        assert (await machine.call("/jobs/1", authorization=KEY)).status == 503


@pytest.mark.anyio
async def test_account_priority_goes_before_route_priority() -> None:
    async with fleet(*PRIORITIES) as system:
        machine = await system.add("n1", "jobs")
        await settle(system)
        ranks = []
        run = machine.node.target.run

        async def record_rank(call):  # type: ignore[no-untyped-def]
            ranks.append((call.priority, call.from_caller))
            return await run(call)

        machine.node.target.run = record_rank  # type: ignore[method-assign]
        for path in ("/high/1", "/low/1"):
            # The first two are calls of targets; their routes are not known yet.
            assert (await machine.call(path)).status == 200
        for key in ("k1", "k2", "k3"):
            for path in ("/high/1", "/low/1"):
                response = await machine.call(path, authorization=f"Bearer {key}")
                assert response.status == 200
        assert [rank for rank, _ in ranks] == [1, 3, 0, 1, 2, 3, 2, 3]
        assert [from_caller for _, from_caller in ranks] == [False] * 2 + [True] * 6
        assert machine.node.forwarder.max_threshold == 2.0
