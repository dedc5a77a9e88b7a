"""Messages on the links between nodes, validated when they are decoded.

A frame on a link is a 4-byte big-endian length and one MessagePack array.
"""

import msgspec

PROTOCOL_VERSION = 1
FRAME_HEADER_BYTES = 4
MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_PRIORITY_VALUE = 1023

HeaderList = list[tuple[bytes, bytes]]


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages; the first array element is the name of the type."""


class Hello(Message, frozen=True):
    """First message on a link, in both directions.

    :param version: protocol version
    :param node_id: id of the sender
    :param incarnation: process incarnation of the sender
    """

    version: int
    node_id: str
    incarnation: int


class Call(Message, frozen=True):
    """One attempt of a call, sent to the node of a target instance.

    :param call_id: unique within the link
    :param target_incarnation: incarnation that the sender expects of the receiver
    :param key: action or child key in text form
    :param operation: full name of the operation, ``service.name``
    :param method: HTTP method
    :param path: path with query below the service
    :param headers: end-to-end headers
    :param body: request body
    :param level: priority for admission; lower is more important
    :param once: whether every ancestor runs at most once
    :param remaining_ms: time left until the deadline
    :param sent_ms: monotonic clock reading of the sender, to detect delay in transit
    :param retries: number of retries delegated with this call
    :param fingerprint: digest of operation, path and body
    """

    call_id: int
    target_incarnation: int
    key: str
    operation: str
    method: str
    path: str
    headers: HeaderList
    body: bytes
    level: int
    once: bool
    remaining_ms: float
    sent_ms: float
    retries: int
    fingerprint: str


class Forward(Message, frozen=True):
    """A request forwarded to the node that issued its key.

    :param call_id: unique within the link
    :param key: action key in text form
    :param service: name of the service
    :param method: HTTP method
    :param path: path with query below the service
    :param headers: end-to-end headers
    :param body: request body
    :param remaining_ms: time left until the deadline
    """

    call_id: int
    key: str
    service: str
    method: str
    path: str
    headers: HeaderList
    body: bytes
    remaining_ms: float


class Answer(Message, frozen=True):
    """Response to a ``Call`` or ``Forward``.

    :param call_id: id of the call
    :param outcome: ``completed``, ``not-run`` or ``unknown``
    :param status: HTTP status if completed
    :param headers: response headers
    :param body: response body
    :param body_bytes: length of the body as set by the sender
    :param reason: reason if not completed
    :param detail: detail if not completed
    :param retries_left: unused part of the delegated retries
    :param refusal_level: admission threshold of the instance
    :param load: load of the instance, 1.0 is full
    :param own_time_ms: time spent in the instance, excluding its child calls
    :param chain_level: lowest admission threshold of the instance and of the
        services that its operation calls
    """

    call_id: int
    outcome: str
    status: int = 0
    headers: HeaderList = []
    body: bytes = b""
    body_bytes: int = 0
    reason: str = ""
    detail: str = ""
    retries_left: int = 0
    refusal_level: int = MAX_PRIORITY_VALUE
    load: float = 0.0
    own_time_ms: float = 0.0
    chain_level: int = MAX_PRIORITY_VALUE


class Cancel(Message, frozen=True):
    """The sender stopped waiting for a call; dropped unless the target runs it.

    :param call_id: id of the call
    """

    call_id: int


LinkMessage = Hello | Call | Forward | Answer | Cancel

_encoder = msgspec.msgpack.Encoder()
_link_decoder = msgspec.msgpack.Decoder(LinkMessage)


def encode(message: Message) -> bytes:
    """Return the MessagePack encoding of a message."""
    return _encoder.encode(message)


def decode_link_message(data: bytes | memoryview) -> LinkMessage:
    """Return the message of one frame.

    :raises msgspec.DecodeError: if the data is not a valid message
    """
    return _link_decoder.decode(data)
