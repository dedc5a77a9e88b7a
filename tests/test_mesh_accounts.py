"""Authentication of clients, ranks by account priority, and age of a configuration."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from briardock.mesh.accounts import (
    AccountTable,
    AgeLimits,
    Anonymous,
    Authenticated,
    Rejected,
    age_limits,
)
from briardock.mesh.model import Account, AccountEntry, Route
from briardock.mesh.ranks import PriorityRanks
from mesh_builders import make_route
from mesh_fakes import make_settings

A, B = Account("a", 1), Account("b")
BOTH_KEYS = (AccountEntry(A, ("old", "new")), AccountEntry(B, ("k2", "")))
NEW_KEY_ONLY = (AccountEntry(A, ("new",)), AccountEntry(B, ("k2",)))
LAX, STRICT = AgeLimits(2.0, None), AgeLimits(2.0, 4.5)
PRIVATE = make_route("r", "/a/")
PUBLIC = replace(PRIVATE, public=True)


@pytest.mark.parametrize(
    ("case", "entries", "credential", "route", "is_caller_route", "expected"),
    [
        ("first key", BOTH_KEYS, b"old", PRIVATE, False, A),
        ("second key", BOTH_KEYS, b"new", PRIVATE, True, A),
        ("other account", BOTH_KEYS, b"k2", PRIVATE, True, B),
        ("key on a public route", BOTH_KEYS, b"new", PUBLIC, True, A),
        ("rotated key", NEW_KEY_ONLY, b"old", PRIVATE, True, 401),
        ("rotated key on a public route", NEW_KEY_ONLY, b"old", PUBLIC, True, 401),
        ("key of an account that was removed", (), b"new", PRIVATE, True, 401),
        ("unknown key on a route of targets", BOTH_KEYS, b"x", PRIVATE, False, 401),
        ("malformed key", BOTH_KEYS, b"", PRIVATE, True, 401),
        ("prefix of a key", BOTH_KEYS, b"ne", PRIVATE, True, 401),
        ("no key", BOTH_KEYS, None, PRIVATE, True, 401),
        ("no key, call of a target", BOTH_KEYS, None, PRIVATE, False, None),
        ("no key on a public route", BOTH_KEYS, None, PUBLIC, True, None),
    ],
)
def test_authentication_by_a_current_configuration(
    case: str,
    entries: tuple[AccountEntry, ...],
    credential: bytes | None,
    route: Route,
    is_caller_route: bool,
    expected: Account | int | None,
) -> None:
    for limits in (LAX, STRICT):
        result = AccountTable(entries, limits).authenticate(
            credential, route, is_caller_route, 0.5
        )
        match result:
            case Authenticated(account):
                assert account == expected
            case Anonymous():
                assert expected is None
            case Rejected(status):
                assert status == expected


@pytest.mark.parametrize(
    ("limits", "age_s", "known_key", "unknown_key"),
    [
        (LAX, 0.0, 200, 401),
        (LAX, 2.0, 200, 401),
        (LAX, 2.01, 200, 503),
        (LAX, 1e6, 200, 503),
        (LAX, None, 200, 503),
        (STRICT, 2.0, 200, 401),
        (STRICT, 2.01, 200, 503),
        (STRICT, 4.49, 200, 503),
        (STRICT, 4.5, 503, 503),
        (STRICT, 1e6, 503, 503),
        (STRICT, None, 503, 503),
    ],
)
def test_keys_are_judged_only_while_the_configuration_may_be_relied_on(
    limits: AgeLimits, age_s: float | None, known_key: int, unknown_key: int
) -> None:
    """A node cut off from the store must not run requests with a withdrawn key, nor
    reject a key that it has not heard of yet for good.
    """
    table = AccountTable(BOTH_KEYS, limits)
    for credential, expected in ((b"new", known_key), (b"x", unknown_key)):
        for route in (PRIVATE, PUBLIC):
            result = table.authenticate(credential, route, True, age_s)
            status = result.status if isinstance(result, Rejected) else 200
            assert status == expected
    assert table.authenticate(None, PUBLIC, True, age_s) == Anonymous()
    assert table.authenticate(None, PRIVATE, False, age_s) == Anonymous()
    assert table.is_stale(age_s) is (known_key == 503)


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, AgeLimits(2.0, None)),
        ({"revoke_s": 3.0}, AgeLimits(2.0, None)),
        ({"strict_revocation": True}, AgeLimits(2.0, 4.5)),
        ({"strict_revocation": True, "revoke_s": 3.0}, AgeLimits(2.0, 2.5)),
        ({"config_apply_s": 2.5}, AgeLimits(2.5, None)),
    ],
)
def test_age_limits(changes: dict[str, object], expected: AgeLimits) -> None:
    settings = replace(make_settings("n1", "jobs", ""), **changes)  # type: ignore[arg-type]
    assert age_limits(settings) == expected


def test_a_key_of_two_accounts_belongs_to_the_same_one_on_all_nodes() -> None:
    table = AccountTable([AccountEntry(B, ("k",)), AccountEntry(A, ("k",))], LAX)
    assert table.authenticate(b"k", PRIVATE, True, 0.0) == Authenticated(B)


def test_no_representation_of_a_table_shows_a_key() -> None:
    """A key in a log or dump of a process can be used by who reads that."""
    table = AccountTable(BOTH_KEYS, LAX)
    held = repr((vars(table), BOTH_KEYS))
    assert not [key for key in ("old", "new", "k2") if f"{key}'" in held]


@pytest.mark.parametrize(
    ("accounts", "routes", "client_ranks", "call_ranks", "levels", "count"),
    [
        # Without account priorities nothing changes, also with gaps.
        ([], [0, 1, 3], {(None, 0): 0, (None, 3): 3}, {0: 0, 1: 1, 3: 3}, 4, 4),
        ([None], [0, 3], {(None, 0): 0, (None, 3): 3}, {0: 0, 3: 3}, 4, 4),
        ([7], [0, 3], {(7, 0): 0, (7, 3): 1, (None, 3): 1}, {0: 0, 3: 1}, 2, 2),
        (
            [5, -1, None],
            [2, 0],
            {(-1, 0): 0, (-1, 2): 1, (5, 0): 2, (5, 2): 3, (None, 0): 2, (None, 2): 3},
            {0: 1, 2: 3},
            2,
            4,
        ),
        ([0, 1], [], {}, {}, 1, 2),
    ],
)
def test_ranks(
    accounts: list[int | None],
    routes: list[int],
    client_ranks: dict[tuple[int | None, int], int],
    call_ranks: dict[int, int],
    levels: int,
    count: int,
) -> None:
    ranks = PriorityRanks(routes, accounts)
    assert (ranks.level_count, ranks.count) == (levels, count)
    for (account, route), rank in client_ranks.items():
        assert ranks.of_client(route, account) == rank
    for route, rank in call_ranks.items():
        assert ranks.of_call(route) == rank


@given(
    st.lists(st.integers(-2, 5) | st.none(), max_size=6),
    st.lists(st.integers(0, 5), min_size=1, max_size=6),
)
def test_ranks_order_by_account_then_route_and_calls_keep_their_place(
    accounts: list[int | None], routes: list[int]
) -> None:
    """A call that moved ahead of all clients would delay more important requests; one
    that moved behind them would starve.
    """
    ranks = PriorityRanks(routes, accounts)
    stated = sorted({p for p in accounts if p is not None})
    pairs = [(a, r) for a in stated or [None] for r in sorted(set(routes))]
    client_ranks = [ranks.of_client(route, account) for account, route in pairs]
    assert client_ranks == sorted(set(client_ranks))
    assert max(client_ranks) == ranks.count - 1
    for index, route in enumerate(sorted(set(routes))):
        call_rank = ranks.of_call(route)
        # With the queue order of waiting.py, clients of the same rank go first.
        ahead = sum(rank <= call_rank for rank in client_ranks)
        assert ahead * len(set(routes)) == (index + 1) * len(client_ranks)
