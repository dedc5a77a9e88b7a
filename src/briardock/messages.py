"""Wire messages between nodes, validated when they are decoded.

Frames on a call link are a 4-byte big-endian length and one MessagePack array.
"""

import msgspec

PROTOCOL_VERSION = 1
FRAME_HEADER_BYTES = 4
MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_LEVEL = 1023

HeaderList = list[tuple[bytes, bytes]]


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages; the first array element names the type."""


class Hello(Message, frozen=True):
    """First frame on a link, in both directions.

    :param version: protocol version
    :param node_id: sender
    :param incarnation: process incarnation of the sender
    """

    version: int
    node_id: str
    incarnation: int


class Call(Message, frozen=True):
    """One dispatch of a call to the inbound node of an instance.

    :param call_id: unique within the link
    :param target_incarnation: incarnation the sender believes the receiver has
    :param key: action or child key in text form
    :param operation: full name of the operation, ``service.name``
    :param method: HTTP method
    :param path: path with query below the service
    :param headers: end-to-end headers
    :param body: request body
    :param level: admission level; lower is more important
    :param once: whether every ancestor runs at most once
    :param remaining_ms: time left until the deadline
    :param sent_ms: sender's monotonic clock, to detect delay in transit
    :param retries: retries delegated with this call
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
    """A request with a key of the receiver, passed to its issuer.

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
    """Answer to a call or forward.

    :param call_id: id of the call
    :param outcome: ``completed``, ``not-run`` or ``unknown``
    :param status: HTTP status where completed
    :param headers: answer headers
    :param body: answer body
    :param body_bytes: length of the body as the sender saw it
    :param reason: reason where not completed
    :param detail: detail where not completed
    :param retries_left: unspent part of the delegated retries
    :param refusal_level: admission threshold of the instance
    :param load: load of the instance, 1.0 is full
    :param own_time_ms: time spent in the instance without its child calls
    :param chain_level: lowest threshold of the instance and the services its
        operation calls
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
    refusal_level: int = MAX_LEVEL
    load: float = 0.0
    own_time_ms: float = 0.0
    chain_level: int = MAX_LEVEL


class Cancel(Message, frozen=True):
    """The caller gave the call up; drop it unless the target already runs it.

    :param call_id: id of the call
    """

    call_id: int


LinkMessage = Hello | Call | Forward | Answer | Cancel

_encoder = msgspec.msgpack.Encoder()
_link_decoder = msgspec.msgpack.Decoder(LinkMessage)


def encode(message: Message) -> bytes:
    """Return a message in MessagePack form."""
    return _encoder.encode(message)


def decode_link(data: bytes | memoryview) -> LinkMessage:
    """Return the message of one frame.

    :raises msgspec.DecodeError: if the data is no valid message
    """
    return _link_decoder.decode(data)
