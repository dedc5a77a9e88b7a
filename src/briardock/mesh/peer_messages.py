"""Messages between nodes that are no calls: one request and one response."""

from typing import Any

import msgspec

from briardock.mesh.http1 import ExchangeFailure, encode_request
from briardock.mesh.pool import ConnectionPool


async def exchange_message(
    peers: ConnectionPool, address: str, path: bytes, message: Any
) -> bytes | None:
    """Send a message to a node; return the body of its response, ``None`` without one.

    :param peers: connections to other nodes
    :param address: ``host:port`` of the node
    :param path: path of the message on the peer address
    :param message: message that msgspec can encode
    """
    connection = await peers.acquire(address)
    if isinstance(connection, ExchangeFailure):
        return None
    body = msgspec.msgpack.encode(message)
    response = await connection.exchange(encode_request(b"POST", path, [], body))
    if isinstance(response, ExchangeFailure):
        return None
    peers.release(address, connection)
    return bytes(response.body) if response.status == 200 else None
