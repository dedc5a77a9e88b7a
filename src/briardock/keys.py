"""Action keys: issued by one process incarnation, derived for child calls."""

import hashlib
import random
import re
import secrets
import time
from dataclasses import dataclass

from briardock.clock import Clock
from briardock.outcomes import NotRun, Reason, Unknown

MAC_BYTES = 6
LABEL_BYTES = 9
INCARNATION_RANDOM_BITS = 16
MAX_KEY_CHARS = 512

_LABEL = re.compile(r"[A-Za-z0-9_.:+=-]{1,128}")


@dataclass(frozen=True, slots=True)
class ActionKey:
    """Parsed root key of an action.

    :param node_id: id of the issuer
    :param incarnation: process incarnation of the issuer
    :param issued_ms: issue time on the issuer's monotonic clock
    :param sequence: number within the incarnation
    :param mac: message authentication code by this incarnation of the issuer
    """

    node_id: str
    incarnation: int
    issued_ms: int
    sequence: int
    mac: str

    def __str__(self) -> str:
        return (
            f"{self.node_id}.{self.incarnation}.{self.issued_ms}"
            f".{self.sequence}.{self.mac}"
        )


def make_incarnation(rng: random.Random) -> int:
    """Return an incarnation that increases with each start of a process.

    The random bits distinguish processes that start in the same millisecond.

    :param rng: random source
    """
    started_ms = time.time_ns() // 1_000_000
    return (started_ms << INCARNATION_RANDOM_BITS) | rng.getrandbits(
        INCARNATION_RANDOM_BITS
    )


def parse_key(text: str) -> ActionKey | NotRun:
    """Parse a root key without verifying it.

    :param text: value of an ``Idempotency-Key`` header
    """
    parts = text.rsplit(".", 4) if len(text) <= MAX_KEY_CHARS else []
    if len(parts) != 5 or "/" in text:
        return NotRun(Reason.BAD_KEY, "not a key issued by a node")
    try:
        incarnation, issued_ms, sequence = (int(part) for part in parts[1:4])
    except ValueError:
        return NotRun(Reason.BAD_KEY, "not a key issued by a node")
    return ActionKey(parts[0], incarnation, issued_ms, sequence, parts[4])


class KeyIssuer:
    """Issues and verifies the keys of one process incarnation.

    :param node_id: id of this node
    :param incarnation: incarnation of this process
    :param clock: monotonic clock; key expiry depends on no other clock
    :param lifetime_ms: time from issue to expiry in ms
    :param secret: key of the MAC
    """

    def __init__(
        self,
        node_id: str,
        incarnation: int,
        clock: Clock,
        lifetime_ms: float,
        secret: bytes,
    ) -> None:
        self.node_id = node_id
        self.incarnation = incarnation
        self.lifetime_ms = lifetime_ms
        self._clock = clock
        self._secret = secret
        self._sequence = 0

    def issue(self) -> ActionKey:
        """Return a new key."""
        self._sequence += 1
        issued_ms = int(self._clock.now_ms())
        mac = self._mac(issued_ms, self._sequence)
        return ActionKey(self.node_id, self.incarnation, issued_ms, self._sequence, mac)

    def is_local(self, key: ActionKey) -> bool:
        """Return whether a key names this incarnation as its issuer."""
        return key.node_id == self.node_id and key.incarnation == self.incarnation

    def verify(self, key: ActionKey) -> ActionKey | NotRun | Unknown:
        """Check a key that names this node.

        A key of an earlier incarnation and an expired key give ``Unknown``: their
        action record no longer exists, so the action may have run.

        :param key: parsed key
        """
        if not self.is_local(key):
            return Unknown(Reason.ISSUER_GONE, "the issuing process was replaced")
        expected = self._mac(key.issued_ms, key.sequence)
        if not secrets.compare_digest(expected.encode(), key.mac.encode()):
            return NotRun(Reason.BAD_KEY, "the key was not issued by this node")
        if self.expires_at_ms(key) <= self._clock.now_ms():
            return Unknown(Reason.KEY_EXPIRED, "the key is older than its lifetime")
        return key

    def expires_at_ms(self, key: ActionKey) -> float:
        """Return the time on the issuer's clock at which a key expires, in ms."""
        return key.issued_ms + self.lifetime_ms

    def _mac(self, issued_ms: int, sequence: int) -> str:
        text = f"{issued_ms}.{sequence}".encode()
        return hashlib.blake2b(
            text, key=self._secret, digest_size=MAC_BYTES
        ).hexdigest()


def make_key_issuer(
    node_id: str, incarnation: int, clock: Clock, lifetime_ms: float
) -> KeyIssuer:
    """Return an issuer with a new random secret.

    :param node_id: id of this node
    :param incarnation: incarnation of this process
    :param clock: monotonic clock
    :param lifetime_ms: time from issue to expiry in ms
    """
    return KeyIssuer(node_id, incarnation, clock, lifetime_ms, secrets.token_bytes(16))


def request_digest(operation: str, path: str, body: bytes) -> str:
    """Return the digest that distinguishes a resend from another request.

    :param operation: full name of the operation
    :param path: path with query below the service
    :param body: request body
    """
    digest = hashlib.blake2b(digest_size=LABEL_BYTES)
    digest.update(f"{operation}\n{path}\n".encode())
    digest.update(body)
    return digest.hexdigest()


def child_key(parent: str, operation: str, label: str) -> str | NotRun:
    """Derive the key of a child call from its parent's key.

    The operation is part of the key, so that one label used for two operations
    identifies two calls.

    :param parent: key of the calling call in text form
    :param operation: full name of the called operation
    :param label: ``Idempotency-Key`` of the child call or its request digest
    """
    if not _LABEL.fullmatch(label):
        return NotRun(
            Reason.BAD_KEY, "a child key may contain only letters, digits and _.:+=-"
        )
    return f"{parent}/{operation}~{label}"


def root_of(key: str) -> str:
    """Return the root part of a key in text form."""
    return key.partition("/")[0]
