"""Builders of records, routes and calls, and a fake clock for tests of the mesh."""

from dataclasses import replace

import msgspec
import pytest

from briardock.clock import SystemClock
from briardock.mesh import callgraph, crashes, http1, target
from briardock.mesh.calls import (
    Call,
)
from briardock.mesh.crashes import CrashSuspects
from briardock.mesh.members import NodeRecord
from briardock.mesh.model import (
    Route,
    TargetState,
    WeightedService,
    now_s,
)
from briardock.mesh.pool import ConnectionPool, PoolSettings
from briardock.mesh.target import Target
from briardock.platform._dialect import PlatformDialect
from mesh_fakes import quiet_log


class FakeClock:
    """Clock of the modules under test, set by the test."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 1_000.0
        for module in (callgraph, crashes, target, http1):
            if hasattr(module, "now_s"):
                monkeypatch.setattr(module, "now_s", lambda: self.now)


def record(node_id: str, **changes: object) -> NodeRecord:
    base = NodeRecord(
        node_id=node_id,
        incarnation_ms=1_000,
        version=1,
        domain="d1",
        address=f"10.0.0.{len(node_id)}:{sum(node_id.encode())}",
        service="jobs",
        target_id=f"i-{node_id}",
        target_born_ms=1,
        state=TargetState.READY,
        slots=10,
        leaving=False,
    )
    return msgspec.structs.replace(base, **changes)


def make_route(name: str, prefix: str, *parts: WeightedService) -> Route:
    services = parts or (WeightedService("jobs", 1.0),)
    return Route(name, "h", prefix, True, 2.0, 0.5, 1, 2, services)


def make_target(address: str = "127.0.0.1:1") -> Target:
    pool = ConnectionPool(PoolSettings(0.2, 5.0, 1.0))
    crash_suspects = CrashSuspects(SystemClock(), lambda entries: None)
    log = quiet_log()
    return Target(
        address, "jobs", pool, PlatformDialect(), log, crash_suspects, lambda: None
    )


def make_call(**changes: object) -> Call:
    base = Call(
        method=b"GET",
        target=b"/a/1",
        headers=[(b"host", b"h"), (b"request-id", b"r;1")],
        body=b"",
        request_id=b"r;1",
        service="jobs",
        target_id="i-1",
        caller_service="portal",
        idempotent=True,
        priority=1,
        from_caller=True,
        expires_s=now_s() + 5.0,
    )
    return replace(base, **changes)  # type: ignore[arg-type]
