"""Client accounts of the soak, and checks of what runs with their keys."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from mesh_fakes import tenant

# Keys of one account, one of which is revoked during the run.
KEPT_KEY = "kept"
REVOKED_KEY = "revoked"
# Key of an account that sends more than its quota.
LIMITED_KEY = "limited"
UNKNOWN_KEY = "unknown"
# Path of the only route that needs a key.
KEYED_PATH = "/keyed/"
# Path of short runs, so that one node that ignores the quota exceeds the bound: with
# runs of 0.05 to 0.25 s its caller sent too little.
LIMITED_PATH = "/keyed/quick/"
LIMITED_RUN_RANGE_S = (0.0, 0.02)
# Longest time from the acknowledgement of a revocation until the key is refused, s.
REVOKE_S = 5.0
# Quota of the account with a quota, and the bound on its runs in each window.
RATE_PER_S = 10.0
BURST = 10.0
WINDOW_S = 5.0
MAX_RUNS_IN_WINDOW = (RATE_PER_S * WINDOW_S + BURST) * 1.1 + 20


def tenants(is_revoked: bool) -> list[dict[str, Any]]:
    """Return the accounts of a configuration.

    :param is_revoked: whether it lacks the key that is revoked
    """
    keys = [KEPT_KEY] if is_revoked else [KEPT_KEY, REVOKED_KEY]
    quota = {"rate-per-s": RATE_PER_S, "burst": BURST}
    return [tenant("unlimited", *keys), tenant("limited", LIMITED_KEY, **quota)]


@dataclass(frozen=True, slots=True)
class KeyedRequest:
    """What became of a request with a key.

    :param request_id: its id
    :param key: its key
    :param status: status of the response, 0 for none
    :param starts_s: times at which targets began to run it
    """

    request_id: str
    key: str
    status: int
    starts_s: Sequence[float]


def account_violations(
    requests: Sequence[KeyedRequest], revoked_s: float | None
) -> list[str]:
    """Return what ran, or was refused, against the accounts.

    :param requests: all requests with a key
    :param revoked_s: time at which the revocation was acknowledged
    """
    violations = []
    by_key: dict[str, list[KeyedRequest]] = {}
    for request in requests:
        by_key.setdefault(request.key, []).append(request)
        for started_s in request.starts_s:
            if request.key == UNKNOWN_KEY:
                violations.append(f"{request.request_id}: run for an unknown key")
            elif request.key == REVOKED_KEY and revoked_s is not None:
                delay_s = started_s - revoked_s
                if delay_s > REVOKE_S:
                    violations.append(
                        f"{request.request_id}: run {delay_s:.2f} s after its key was "
                        "revoked"
                    )
        if request.status == 401 and request.key in (KEPT_KEY, LIMITED_KEY):
            violations.append(f"{request.request_id}: 401 for a valid key")
    violations += _quota_violations(by_key.get(LIMITED_KEY, []))
    return violations + _unused(by_key, revoked_s)


def _quota_violations(requests: Sequence[KeyedRequest]) -> list[str]:
    """Return the window with the most requests if these are too many.

    A request that ran more than once counts once, with its first run.
    """
    starts_s = sorted(min(r.starts_s) for r in requests if r.starts_s)
    first = 0
    most, most_from_s = 0, 0.0
    for last, started_s in enumerate(starts_s):
        while starts_s[first] <= started_s - WINDOW_S:
            first += 1
        if last - first + 1 > most:
            most, most_from_s = last - first + 1, starts_s[first]
    if most <= MAX_RUNS_IN_WINDOW:
        return []
    return [
        f"account with a quota: {most} requests run in {WINDOW_S:.0f} s from "
        f"{most_from_s:.2f}, above {MAX_RUNS_IN_WINDOW:.0f}"
    ]


def _unused(
    by_key: Mapping[str, Sequence[KeyedRequest]], revoked_s: float | None
) -> list[str]:
    """Return what the other checks lacked to be able to fail."""
    by_kind = {
        "a run with the kept key": any(r.starts_s for r in by_key.get(KEPT_KEY, [])),
        "a run before the revocation": revoked_s is not None
        and any(s < revoked_s for r in by_key.get(REVOKED_KEY, []) for s in r.starts_s),
        "a request with the revoked key that was refused": any(
            r.status == 401 for r in by_key.get(REVOKED_KEY, [])
        ),
        "a request with an unknown key that was refused": any(
            r.status == 401 for r in by_key.get(UNKNOWN_KEY, [])
        ),
        "a request over the quota that was refused": any(
            r.status == 429 for r in by_key.get(LIMITED_KEY, [])
        ),
    }
    return [
        f"accounts: {kind} is missing" for kind, seen in by_kind.items() if not seen
    ]
