"""Checks of the soak on what runs with the keys of accounts."""

import pytest

from soak_accounts import (
    KEPT_KEY,
    LIMITED_KEY,
    MAX_RUNS_IN_WINDOW,
    REVOKED_KEY,
    UNKNOWN_KEY,
    KeyedRequest,
    account_violations,
)

REVOKED_S = 100.0
# What every run of the soak has to contain.
USUAL = [
    KeyedRequest("kept", KEPT_KEY, 200, [99.0]),
    KeyedRequest("revoked", REVOKED_KEY, 200, [99.0]),
    KeyedRequest("refused", REVOKED_KEY, 401, []),
    KeyedRequest("unknown", UNKNOWN_KEY, 401, []),
    KeyedRequest("over", LIMITED_KEY, 429, []),
]


def limited(count: int, period_s: float) -> list[KeyedRequest]:
    """Return requests at even times that each ran twice, with a pause between."""
    return [
        KeyedRequest(f"l{n}", LIMITED_KEY, 200, [n * period_s, n * period_s + 9.0])
        for n in range(count)
    ]


@pytest.mark.parametrize(
    ("added", "expected"),
    [
        ([], ""),
        ([KeyedRequest("r", UNKNOWN_KEY, 0, [50.0])], "unknown key"),
        ([KeyedRequest("r", REVOKED_KEY, 0, [104.9])], ""),
        ([KeyedRequest("r", REVOKED_KEY, 0, [99.0, 105.1])], "5.10 s after"),
        ([KeyedRequest("r", KEPT_KEY, 401, [])], "401 for a valid key"),
        ([KeyedRequest("r", KEPT_KEY, 503, [])], ""),
        (limited(int(MAX_RUNS_IN_WINDOW), 0.01), ""),
        (limited(int(MAX_RUNS_IN_WINDOW) + 1, 0.01), "87 requests run"),
        (limited(300, 5.0 / 85.5), ""),
        (limited(300, 5.0 / 88), "requests run"),
    ],
)
def test_a_breach_of_the_accounts_is_found(
    added: list[KeyedRequest], expected: str
) -> None:
    """A check that no run can fail would prove nothing."""
    violations = account_violations([*USUAL, *added], REVOKED_S)
    assert len(violations) == bool(expected)
    assert expected in "".join(violations)


@pytest.mark.parametrize("missing", range(len(USUAL)))
def test_a_run_without_the_usual_requests_is_no_proof(missing: int) -> None:
    """Nodes that refuse or serve every key would pass the other checks."""
    requests = [*USUAL[:missing], *USUAL[missing + 1 :]]
    violations = account_violations(requests, REVOKED_S)
    assert len(violations) == 1
    assert violations[0].startswith("accounts: ")
