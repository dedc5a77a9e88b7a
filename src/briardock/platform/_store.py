"""Streams of the mesh, stored in topics of the platform's log."""

import asyncio
import base64
import struct

import msgspec

from briardock.mesh.dialect import (
    CONFIG_STREAM,
    NODES_STREAM,
    Appended,
    Records,
    StoreFailure,
    Trimmed,
)
from briardock.mesh.http1 import ExchangeFailure, Response, encode_request
from briardock.mesh.model import Headers
from briardock.mesh.pool import ConnectionPool, PoolSettings

TOPICS = {CONFIG_STREAM: "keyed.op", NODES_STREAM: "keyed.briardock-nodes"}
POOL = PoolSettings(
    connect_timeout_s=1.0, idle_timeout_s=15.0, unacknowledged_timeout_s=2.0
)
# Timeout of a call, s, and of a read that waits for a record, in addition to that time,
# s. The sum of the latter is the delay until a reader notices a silent connection, and
# a configuration must be in force within 2 s.
RESPONSE_TIMEOUT_S = 1.5
WAITING_RESPONSE_TIMEOUT_S = 0.35
ERA_HEADER = b"store-era"
# Largest number of digits of an era, so that it fits the integers of messages.
MAX_ERA_DIGITS = 18


class _NewestItem(msgspec.Struct):
    key: str
    value: str = ""


class _NewestPage(msgspec.Struct, rename="kebab"):
    items: list[_NewestItem]
    end: int
    has_more: bool = False


class PlatformStore:
    """Implements ``briardock.mesh.dialect.Store``.

    :param address: host and port of the store
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = ConnectionPool(POOL)

    async def read_newest(self, stream: str) -> Records | StoreFailure:
        """Return the newest record of each key.

        Pages of different eras are refused: the earlier ones may be lost.
        """
        items: list[tuple[str, bytes]] = []
        first: Records | None = None
        after = ""
        while True:
            path = f"/log-newest?topic={TOPICS[stream]}&part=0{after}"
            response = await self._call("GET", path)
            if isinstance(response, StoreFailure):
                return response
            era = decode_era(response.headers)
            if response.status != 200:
                return StoreFailure(f"status {response.status}", era)
            if first is not None and era != first.era:
                return StoreFailure("restored between two pages", era)
            try:
                page = msgspec.json.decode(response.body, type=_NewestPage)
                rows = [(i.key, base64.b64decode(i.value)) for i in page.items]
            except (msgspec.DecodeError, ValueError) as error:
                return StoreFailure(f"undecodable: {error}", era)
            items += rows
            # The pages together are no snapshot, so later reads start at the end offset
            # of the first page, in the era of that page.
            first = first or Records(items, page.end, era)
            if not page.has_more or not rows:
                return first
            after = f"&after={rows[-1][0]}"

    async def read_from(
        self, stream: str, offset: int, wait_s: float
    ) -> Records | Trimmed | StoreFailure:
        """Return the records from an offset on, waiting for the first up to a time."""
        path = f"/log-read?topic={TOPICS[stream]}&part=0&from={offset}"
        if wait_s > 0:
            path += f"&wait-ms={round(wait_s * 1000)}"
        response = await self._call("GET", path, wait_s)
        if isinstance(response, StoreFailure):
            return response
        era = decode_era(response.headers)
        if response.status == 410:
            return Trimmed(era)
        if response.status != 200 or len(response.body) < 16:
            return StoreFailure(f"status {response.status}", era)
        return _decode_records(bytes(response.body), offset, era)

    async def append(
        self, stream: str, key: str, value: bytes
    ) -> Appended | StoreFailure:
        """Append a record."""
        record = bytes([len(key)]) + key.encode() + value
        body = struct.pack(">I", len(record)) + record
        path = f"/log-append?topic={TOPICS[stream]}&part=0"
        response = await self._call("POST", path, body=body)
        if isinstance(response, StoreFailure):
            return response
        era = decode_era(response.headers)
        if response.status != 200:
            return StoreFailure(f"status {response.status}", era)
        return Appended(era)

    async def _call(
        self, method: str, path: str, wait_s: float = 0.0, body: bytes = b""
    ) -> Response | StoreFailure:
        timeout_s = RESPONSE_TIMEOUT_S
        if wait_s > 0:
            timeout_s = wait_s + WAITING_RESPONSE_TIMEOUT_S
        headers = [(b"host", self._address.encode())]
        data = encode_request(method.encode(), path.encode(), headers, body)
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._pool.acquire(self._address)
                if isinstance(connection, ExchangeFailure):
                    return StoreFailure(connection.reason)
                response = await connection.exchange(data)
        except TimeoutError:
            return StoreFailure("timeout")
        if isinstance(response, ExchangeFailure):
            return StoreFailure(response.reason)
        self._pool.release(self._address, connection)
        return response


def decode_era(headers: Headers) -> int:
    """Return the era of the store in a response, 0 without a valid one.

    :param headers: headers of the response
    """
    text = dict(headers).get(ERA_HEADER, b"").strip()
    return int(text) if text.isdigit() and len(text) <= MAX_ERA_DIGITS else 0


def _decode_records(body: bytes, offset: int, era: int) -> Records | StoreFailure:
    """Decode the body of a read: end and first offset, 8 bytes each, then records."""
    items = []
    position = 16
    while position + 4 <= len(body):
        (size,) = struct.unpack_from(">I", body, position)
        record = body[position + 4 : position + 4 + size]
        if len(record) != size or not record:
            return StoreFailure("truncated record", era)
        key = record[1 : 1 + record[0]].decode("utf-8", "replace")
        items.append((key, record[1 + record[0] :]))
        position += 4 + size
    next_offset = offset + len(items)
    (end,) = struct.unpack_from(">Q", body)
    return Records(items, next_offset, era, next_offset >= end)
