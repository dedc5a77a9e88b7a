"""Call path of one node with scripted links and a scripted target."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from briardock.actions import ActionTable, make_action_table
from briardock.admission import Admission, AdmissionSettings, Ticket
from briardock.budget import RetryRatio, make_budget, make_retry_ratio
from briardock.clock import ManualClock, make_random
from briardock.configuration import Catalog, merge_and_check
from briardock.directory import Directory, make_directory
from briardock.dispatch import Dispatch, Dispatcher
from briardock.drain import Drain, make_drain
from briardock.entry import Entry
from briardock.inbound import CONTEXT_HEADER, Inbound
from briardock.keys import KeyIssuer, make_key_issuer
from briardock.listener import HttpRequest, HttpResponse
from briardock.membership import (
    MemberRecord,
    MembershipSettings,
    MemberTable,
    make_member_table,
)
from briardock.messages import Answer, Call, Forward
from briardock.metrics import Metrics
from briardock.outcomes import Completed, Headers, NotRun
from briardock.peers import LinkFailure, PeerAddress, PeerLinks
from briardock.quarantine import (
    Quarantine,
    QuarantineEntry,
    QuarantineSettings,
    make_quarantine,
)
from briardock.refusals import (
    DownstreamThresholds,
    make_downstream_thresholds,
)
from briardock.routing import Router, RoutingSettings, make_router
from briardock.target import Lost, NotSent, TargetClient

LOCAL_ID = "n1"
INCARNATION = 7
LIFETIME_MS = 60_000.0
DEADLINE_MS = 1_000.0

CONFIG = """
[policy]
default_class = payments
default_deadline_ms = 1000
default_retries = 2
default_max_body_kb = 1
[class payments]
rank = 0
[class notes]
rank = 3
[service wallet]
domains = a
[operation wallet.pay]
match = POST /payments
calls = wallet.note
[operation wallet.note]
match = POST /notes
calls = wallet.show
class = notes
[operation wallet.show]
match = GET /wallets/{id}
idempotent = yes
"""

Step = Answer | LinkFailure | Callable[[Call | Forward], Awaitable[Answer]]
TargetResult = Completed | NotSent | Lost
RunTarget = Callable[[str, Headers], Awaitable[TargetResult]]


def make_catalog(text: str = CONFIG) -> Catalog:
    checked = merge_and_check({"a.ini": text})
    assert isinstance(checked, Catalog), checked
    return checked


class FakeLinks(PeerLinks):
    """Links that respond from a script, then with status 200."""

    def __init__(self) -> None:
        self.script: list[Step] = []
        self.sent: list[tuple[PeerAddress, Call | Forward]] = []

    async def call(
        self, peer: PeerAddress, message: Call | Forward, deadline_at_ms: float
    ) -> Answer | LinkFailure:
        self.sent.append((peer, message))
        step = self.script.pop(0) if self.script else Answer(0, "completed", 200)
        return await step(message) if callable(step) else step


class FakeTarget(TargetClient):
    """Target that runs a function and records the requested paths."""

    def __init__(self) -> None:
        self.runs: list[str] = []
        self.headers: list[Headers] = []
        self.action: RunTarget | None = None
        self.address = ("", 0)

    def set_address(self, host: str, port: int) -> None:
        self.address = (host, port)

    async def run(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        deadline_at_ms: float,
    ) -> TargetResult:
        self.runs.append(path)
        self.headers.append(headers)
        if self.action is None:
            return Completed(200, (), b"done")
        return await self.action(path, headers)


class HookedAdmission(Admission):
    """Admission that runs a hook after each admission and records releases."""

    hook: Callable[[], None] = staticmethod(lambda: None)
    released: list[tuple[float, bool]]

    async def admit(
        self, level: int, deadline_at_ms: float, operation: str = ""
    ) -> Ticket | NotRun:
        ticket = await super().admit(level, deadline_at_ms, operation)
        self.hook()
        return ticket

    def release(self, ticket: Ticket, own_time_ms: float, ok: bool) -> None:
        self.released.append((own_time_ms, ok))
        super().release(ticket, own_time_ms, ok)


def make_record(
    node_id: str, service: str = "wallet", domain: str = "a", incarnation: int = 1
) -> MemberRecord:
    return MemberRecord(
        node_id,
        incarnation,
        1,
        service,
        domain,
        "r",
        "127.0.0.1",
        7000,
        7001,
        f"t-{node_id}" if service else "",
    )


def make_table(clock: ManualClock, local_record: MemberRecord) -> MemberTable:
    return make_member_table(local_record, clock, make_random(1), MembershipSettings())


@dataclass
class CallPath:
    """Components of one node with real logic and fake input and output."""

    clock: ManualClock = field(default_factory=lambda: ManualClock(1_000.0))
    metrics: Metrics = field(default_factory=Metrics)
    links: FakeLinks = field(default_factory=FakeLinks)
    target: FakeTarget = field(default_factory=FakeTarget)
    catalog: Catalog | None = field(default_factory=make_catalog)
    sent_quarantine: list[QuarantineEntry] = field(default_factory=list)
    in_flight: int = 0
    deaths: int = 0
    ratio: RetryRatio = field(default_factory=lambda: make_retry_ratio(1.0))
    table: MemberTable = field(init=False)
    router: Router = field(init=False)
    directory: Directory = field(init=False)
    quarantine: Quarantine = field(init=False)
    admission: HookedAdmission = field(init=False)
    drain: Drain = field(init=False)
    downstream_thresholds: DownstreamThresholds = field(init=False)
    inbound: Inbound = field(init=False)
    dispatcher: Dispatcher = field(init=False)
    issuer: KeyIssuer = field(init=False)
    actions: ActionTable = field(init=False)
    entry: Entry = field(init=False)

    def __post_init__(self) -> None:
        clock, metrics = self.clock, self.metrics
        self.table = make_table(
            clock, make_record(LOCAL_ID, "", incarnation=INCARNATION)
        )
        self.router = make_router(
            RoutingSettings(), "a", clock, make_random(3), metrics
        )
        self.directory = make_directory(self.table, self.router, clock)
        self.quarantine = make_quarantine(QuarantineSettings(), clock)
        self.admission = HookedAdmission(AdmissionSettings(), clock, metrics)
        self.admission.released = []
        self.drain = make_drain(clock, lambda: self.in_flight, lambda: None, 100.0)
        self.downstream_thresholds = make_downstream_thresholds(clock, make_random(2))
        self.inbound = Inbound(
            LOCAL_ID,
            INCARNATION,
            clock,
            self.admission,
            self.target,
            self.drain,
            self.quarantine,
            self.downstream_thresholds.threshold,
            self.sent_quarantine.extend,
            lambda running: self.entry.discard_child_actions(running),
            self._count_death,
            metrics,
        )
        self.inbound.target_state.service = "wallet"
        self.inbound.target_state.instance = "t1"
        self.dispatcher = Dispatcher(
            LOCAL_ID,
            INCARNATION,
            clock,
            self.router,
            self.directory,
            self.links,
            self.inbound.handle,
            self.ratio,
            self.downstream_thresholds,
            self.quarantine,
            metrics,
        )
        self.issuer = make_key_issuer(LOCAL_ID, INCARNATION, clock, LIFETIME_MS)
        self.actions = make_action_table(clock)
        self.entry = Entry(
            clock,
            lambda: self.catalog,
            self.issuer,
            self.actions,
            self.dispatcher,
            self.inbound,
            self.links,
            self.directory.find_issuer,
            self.downstream_thresholds,
            self.drain,
            metrics,
        )

    def _count_death(self) -> None:
        self.deaths += 1

    def add_members(self, *node_ids: str) -> None:
        self.table.merge([make_record(node_id) for node_id in node_ids])
        self.directory.refresh()

    def use_local_target(self) -> None:
        """Make the local target an instance for calls of this node."""
        self.table.update_local(service="wallet", target_instance="t1")

    async def request(
        self,
        path: str = "/wallet/payments",
        key: str = "",
        body: bytes = b"1",
        method: str = "POST",
        context: str = "",
        deadline: str = "",
    ) -> HttpResponse:
        values = (
            (b"idempotency-key", key),
            (CONTEXT_HEADER.lower(), context),
            (b"briardock-deadline-ms", deadline),
        )
        headers = tuple((name, value.encode()) for name, value in values if value)
        return await self.entry.handle(
            HttpRequest(method, path, headers, body, "127.0.0.1:1")
        )


def make_dispatch(clock: ManualClock, once: bool = True, retries: int = 2) -> Dispatch:
    return Dispatch(
        "k",
        "wallet.pay",
        "wallet",
        "POST",
        "/payments",
        (),
        b"1",
        0,
        once,
        clock.now_ms() + DEADLINE_MS,
        make_budget(retries),
        "f1",
    )


def make_call(
    incarnation: int = INCARNATION,
    once: bool = True,
    remaining_ms: float = DEADLINE_MS,
    fingerprint: str = "f1",
    operation: str = "wallet.pay",
) -> Call:
    return Call(
        1,
        incarnation,
        "k",
        operation,
        "POST",
        "/payments",
        [],
        b"1",
        0,
        once,
        remaining_ms,
        0.0,
        2,
        fingerprint,
    )


def context_of(headers: Headers) -> str:
    return dict(headers)[CONTEXT_HEADER].decode()


def outcome_text(response: HttpResponse) -> str:
    """Return the outcome and reason of a response."""
    outcome = dict(response.headers)[b"Briardock-Outcome"].decode()
    if outcome == "completed":
        return outcome
    reason = response.body.split(b'"reason":"')[1].split(b'"')[0].decode()
    return f"{outcome} {reason}"
