"""Authentication of clients: accounts, their keys, and the age of what is known.

Keys are kept only as hashes keyed with a random value of the process, and are looked
up by hash, so that neither a dump nor the time of a lookup tells a key.
"""

import hashlib
import secrets
from collections.abc import Iterable
from dataclasses import dataclass

from briardock.mesh.model import Account, AccountEntry, MeshSettings, Route

# Deducted from the time within which a withdrawn key has to be refused, s.
REVOCATION_MARGIN_S = 0.5
DIGEST_BYTES = 16
_HASH_KEY = secrets.token_bytes(32)


@dataclass(frozen=True, slots=True)
class AgeLimits:
    """Ages of the configuration up to which its accounts are relied on.

    :param unknown_key_s: age up to which a key that it lacks is rejected for good
    :param any_key_s: age from which no request with a key is served, ``None`` if there
        is none
    """

    unknown_key_s: float
    any_key_s: float | None


def age_limits(settings: MeshSettings) -> AgeLimits:
    """Return the limits that the settings of a node set.

    :param settings: settings of the node
    """
    strict_s = settings.revoke_s - REVOCATION_MARGIN_S
    return AgeLimits(
        settings.config_apply_s, strict_s if settings.strict_revocation else None
    )


@dataclass(frozen=True, slots=True)
class Authenticated:
    """The request has a valid key.

    :param account: account that holds the key
    """

    account: Account


@dataclass(frozen=True, slots=True)
class Anonymous:
    """The request has no key and needs none."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request is answered without being forwarded.

    :param status: status of the response
    :param reason: why, for the log
    :param account: name of the account, empty if it is not known
    """

    status: int
    reason: str
    account: str = ""


ANONYMOUS = Anonymous()
KEY_MISSING = Rejected(401, "no key")
KEY_UNKNOWN = Rejected(401, "unknown key")
KEY_UNKNOWN_STALE = Rejected(503, "unknown key, configuration may be outdated")


def _digest(key: bytes) -> bytes:
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES, key=_HASH_KEY).digest()


class AccountTable:
    """Accounts of one configuration by the hashes of their keys.

    :param entries: accounts and their keys; of accounts that share a key the first one
        holds it
    :param limits: ages of the configuration up to which the accounts are relied on
    """

    def __init__(self, entries: Iterable[AccountEntry], limits: AgeLimits) -> None:
        self.limits = limits
        self._by_digest: dict[bytes, Account] = {}
        for entry in entries:
            for key in entry.keys:
                if key:
                    self._by_digest.setdefault(_digest(key.encode()), entry.account)

    def is_stale(self, age_s: float | None) -> bool:
        """Return whether requests with keys are not served.

        :param age_s: age of the configuration, ``None`` if it is not known
        """
        limit_s = self.limits.any_key_s
        return limit_s is not None and (age_s is None or age_s >= limit_s)

    def authenticate(
        self,
        credential: bytes | None,
        route: Route,
        is_caller_route: bool,
        age_s: float | None,
    ) -> Authenticated | Anonymous | Rejected:
        """Return who sent a request.

        A key is checked on public routes as well: one that was withdrawn must not run.

        :param credential: key in the request, ``None`` without one
        :param route: route of the request
        :param is_caller_route: whether clients are known to use the route
        :param age_s: age of the configuration, ``None`` if it is not known
        """
        if credential is None:
            if route.public or not is_caller_route:
                return ANONYMOUS
            return KEY_MISSING
        account = self._by_digest.get(_digest(credential))
        if self.is_stale(age_s):
            name = account.name if account else ""
            return Rejected(503, "configuration may be outdated", name)
        if account is not None:
            return Authenticated(account)
        if age_s is None or age_s > self.limits.unknown_key_s:
            return KEY_UNKNOWN_STALE
        return KEY_UNKNOWN
