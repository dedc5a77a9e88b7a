"""Tests of which members become instances, issuers and log readers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from briardock.clock import ManualClock, make_random
from briardock.directory import READER_CHECK_INTERVAL_MS, Directory, make_directory
from briardock.member_records import with_state
from briardock.membership import MemberRecord, MemberState
from briardock.metrics import Metrics
from briardock.routing import Choice, RoutingSettings, make_router
from callpath_fakes import CallPath, make_record, make_table


def make_local_directory(local: MemberRecord, others: list[MemberRecord]) -> Directory:
    clock = ManualClock()
    table = make_table(clock, local)
    table.merge(others)
    router = make_router(RoutingSettings(), "a", clock, make_random(1), Metrics())
    return make_directory(table, router, clock)


@given(
    st.sets(st.integers(0, 99), min_size=1, max_size=20),
    st.lists(st.sampled_from(MemberState), min_size=20, max_size=20),
)
def test_each_failure_domain_has_two_log_readers(
    ids: set[int], states: list[MemberState]
) -> None:
    # Guards against a failure domain without readers after both of its readers left.
    records = [
        with_state(make_record(f"n{i}", domain="ab"[i % 2]), state)
        for i, state in zip(sorted(ids), states, strict=False)
    ]
    usable = [
        record
        for record in records
        if record.state not in (MemberState.UNREACHABLE, MemberState.LEFT)
    ]
    for domain in "ab":
        members = [r for r in usable if r.failure_domain == domain]
        readers = [
            local
            for local in members
            if make_local_directory(
                local, [r for r in records if r is not local]
            ).is_log_reader()
        ]
        assert len(readers) == min(2, len(members))


def test_choice_of_readers_follows_the_members() -> None:
    path = CallPath()
    was_reader = path.directory.is_log_reader()
    path.add_members(*[f"m{i}" for i in range(50)])
    assert path.directory.is_log_reader() is was_reader
    path.clock.advance(READER_CHECK_INTERVAL_MS)
    assert path.directory.is_log_reader() is False


@pytest.mark.parametrize(
    "node_id, incarnation, state, found",
    [
        ("m1", 5, MemberState.ALIVE, True),
        ("m1", 5, MemberState.SUSPECT, True),
        ("m1", 5, MemberState.LEAVING, True),
        ("m1", 5, MemberState.UNREACHABLE, True),
        ("m1", 5, MemberState.LEFT, False),
        ("m1", 4, MemberState.ALIVE, False),
        ("m1", 6, MemberState.ALIVE, False),
        ("m2", 5, MemberState.ALIVE, False),
    ],
)
def test_issuer_is_found_by_its_incarnation(
    node_id: str, incarnation: int, state: MemberState, found: bool
) -> None:
    # Guards against a resend that is forwarded to a later process of its issuer.
    path = CallPath()
    path.table.merge([with_state(make_record("m1", incarnation=5), state)])
    address = path.directory.find_issuer(node_id, incarnation)
    assert (address is not None) is found
    assert address is None or address.incarnation == 5


def test_late_record_of_an_earlier_incarnation_is_ignored() -> None:
    path = CallPath()
    path.directory.track_service("wallet")
    for incarnation in (5, 4):
        record = make_record("m1", incarnation=incarnation)
        path.directory.members_changed(path.table.merge([record]))
    choice = path.router.choose("wallet")
    assert isinstance(choice, Choice)
    assert choice.instance.incarnation == 5


@pytest.mark.parametrize(
    "state", [MemberState.LEAVING, MemberState.LEFT, MemberState.UNREACHABLE]
)
def test_member_that_left_gets_no_calls(state: MemberState) -> None:
    path = CallPath()
    path.directory.track_service("wallet")
    record = make_record("m1")
    path.directory.members_changed(path.table.merge([record]))
    assert isinstance(path.router.choose("wallet"), Choice)
    changed = path.table.merge([with_state(record, state)])
    path.clock.advance(600_000.0)
    path.directory.members_changed(changed + path.table.expire_grace())
    assert not isinstance(path.router.choose("wallet"), Choice)


def test_only_called_services_are_tracked() -> None:
    path = CallPath()
    path.directory.members_changed(path.table.merge([make_record("m1")]))
    assert path.router.state() == {}
    path.directory.track_service("wallet")
    assert list(path.router.state()) == ["m1"]


@pytest.mark.parametrize(
    "domains, chosen", [((), True), (("a",), True), (("b",), False)]
)
def test_service_is_called_in_its_failure_domains_only(
    domains: tuple[str, ...], chosen: bool
) -> None:
    # Guards against calls to an instance started in the wrong failure domain.
    clock = ManualClock()
    table = make_table(clock, make_record("n1", domain="a"))
    table.merge([make_record("n2", domain="a")])
    router = make_router(RoutingSettings(), "a", clock, make_random(1), Metrics())
    directory = make_directory(table, router, clock, lambda service: domains)
    directory.track_service("wallet")
    found = router.choose("wallet", {"n1"})
    assert isinstance(found, Choice) is chosen
