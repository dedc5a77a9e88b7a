"""Idempotency keys that callers prefetch from nodes."""

import json
from dataclasses import dataclass

import anyio

from briardock.clock import Clock
from briardock_standins._client import HttpClient
from briardock_standins._http import Address, HttpRequest, HttpResponse

KEY_BATCH_SIZE = 100
KEY_LOW_WATERMARK = 30
KEY_MAX_AGE_MS = 60_000.0
KEY_FETCH_TIMEOUT_MS = 2_000.0


@dataclass(frozen=True, slots=True)
class IssuedKey:
    """Idempotency key with the node that issued it and the time of the fetch."""

    text: str
    issuer: Address
    issued_ms: float


class KeyStore:
    """Prefetches keys in batches, as a caller would.

    :param client: HTTP client
    :param entries: nodes to fetch from, in round-robin order
    :param clock: time
    """

    def __init__(
        self, client: HttpClient, entries: list[Address], clock: Clock
    ) -> None:
        self._client = client
        self._entries = entries
        self._clock = clock
        self._keys: list[IssuedKey] = []
        self._next_entry = 0
        self._lock = anyio.Lock()

    async def take(self) -> IssuedKey | None:
        """Return an unexpired key, or ``None`` if no node issues one."""
        key = self._pop()
        if key is not None:
            return key
        async with self._lock:
            for _ in self._entries:
                if self._keys:
                    break
                await self.fetch()
        return self._pop()

    def is_low(self) -> bool:
        """Return whether another batch should be prefetched."""
        return len(self._keys) < KEY_LOW_WATERMARK and not self._lock.locked()

    async def prefetch(self) -> None:
        """Fetch a batch unless another task is fetching one."""
        if not self._lock.locked():
            async with self._lock:
                await self.fetch()

    async def fetch(self) -> None:
        """Fetch one batch from the next node; a failure leaves the store unchanged."""
        entry = self._entries[self._next_entry % len(self._entries)]
        self._next_entry += 1
        request = HttpRequest("POST", f"/_briardock/keys?count={KEY_BATCH_SIZE}")
        response = await self._client.request(entry, request, KEY_FETCH_TIMEOUT_MS)
        if not isinstance(response, HttpResponse) or response.status != 200:
            return
        now_ms = self._clock.now_ms()
        texts = json.loads(response.body)["keys"]
        self._keys = [IssuedKey(text, entry, now_ms) for text in texts] + self._keys

    def _pop(self) -> IssuedKey | None:
        min_issued_ms = self._clock.now_ms() - KEY_MAX_AGE_MS
        while self._keys:
            key = self._keys.pop()
            if key.issued_ms >= min_issued_ms:
                return key
        return None
