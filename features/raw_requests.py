"""Requests that a node must refuse; each sender returns the status and the body."""

import socket
from collections.abc import Callable

import httpx

from bench import Bench
from briardock_standins.deployments import Instance

TIMEOUT_S = 5.0
BOOKINGS = "/bookings/bookings"

RefusalResponse = tuple[int, bytes]


def send_raw(port: int, data: bytes) -> bytes:
    """Send bytes and return all received data.

    :raises TimeoutError: if the connection is still open after a pause
    """
    with socket.create_connection(("127.0.0.1", port), TIMEOUT_S) as stream:
        stream.settimeout(TIMEOUT_S)
        stream.sendall(data)
        received = b""
        while True:
            part = stream.recv(65_536)
            if not part:
                return received
            received += part


def closes_on_garbage(port: int, data: bytes) -> bool:
    """Return whether a port closes a connection that sends invalid data."""
    try:
        send_raw(port, data)
    except ConnectionError:
        return True
    except TimeoutError:
        return False
    return True


def send_malformed_http(bench: Bench, node: Instance) -> RefusalResponse:
    response = send_raw(node.ports["http"], b"NOT HTTP AT ALL\r\n\r\n")
    head, _, body = response.partition(b"\r\n\r\n")
    return int(head.split()[1]), body


def request(
    method: str, path: str, headers: dict[str, str] | None = None, body: bytes = b""
) -> Callable[[Bench, Instance], RefusalResponse]:
    """Return a sender of a well-formed HTTP request."""

    def send(bench: Bench, node: Instance) -> RefusalResponse:
        response = httpx.request(
            method,
            f"http://{node.entry}{path}",
            headers=headers,
            content=body,
            timeout=TIMEOUT_S,
            trust_env=False,
        )
        return response.status_code, response.content

    return send


def with_key(change: Callable[[list[str]], None]) -> Callable[..., RefusalResponse]:
    """Return a sender of a booking whose key, issued by the node, was altered."""

    def send(bench: Bench, node: Instance) -> RefusalResponse:
        parts = bench.make_probe(node.name).key.rsplit(".", 4)
        change(parts)
        headers = {"idempotency-key": ".".join(parts)}
        return request("POST", BOOKINGS, headers, b"x")(bench, node)

    return send


def set_part(position: int, value: str) -> Callable[[list[str]], None]:
    def change(parts: list[str]) -> None:
        parts[position] = value

    return change


def send_expired_deadline(bench: Bench, node: Instance) -> RefusalResponse:
    headers = {
        "idempotency-key": bench.make_probe(node.name).key,
        "briardock-deadline-ms": "0",
    }
    return request("POST", BOOKINGS, headers, b"x")(bench, node)


REQUESTS: dict[str, Callable[[Bench, Instance], RefusalResponse]] = {
    "malformed HTTP": send_malformed_http,
    "unknown service": request("GET", "/nothing/here"),
    "unknown path": request("GET", "/bookings/none/such"),
    "wrong method": request("DELETE", BOOKINGS),
    "unknown internal endpoint": request("GET", "/_briardock/none"),
    "no key": request("POST", BOOKINGS, body=b"x"),
    "key that nobody issued": request(
        "POST", BOOKINGS, {"idempotency-key": "3f1c-uuid"}, b"x"
    ),
    "forged key of this node": with_key(set_part(4, "0" * 12)),
    "key of a former process": with_key(set_part(1, "12345")),
    "key of an unknown node": with_key(set_part(0, "no-such-node")),
    "body over the limit": request("POST", BOOKINGS, body=b"x" * 2_000_000),
    "deadline that is no number": request(
        "GET", "/bookings/bookings/7", {"briardock-deadline-ms": "soon"}
    ),
    "deadline that has passed": send_expired_deadline,
    "unknown context": request("POST", BOOKINGS, {"briardock-context": "gone-1"}, b"x"),
    "too many keys": request("POST", "/_briardock/keys?count=1000000"),
    "bad announcement": request("POST", "/_briardock/target", body=b'{"service": 5}'),
}
