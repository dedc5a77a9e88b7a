"""Interfaces that a platform adapter implements for the mesh."""

from dataclasses import dataclass
from typing import Protocol

from briardock.mesh.http1 import Request, Response
from briardock.mesh.model import (
    Announcement,
    Headers,
    RequestHead,
    RoutingConfig,
    TargetResponse,
)


@dataclass(frozen=True, slots=True)
class Departure:
    """Announcement of a target that it has stopped or is about to stop.

    :param target_id: id of the target
    :param born_ms: start of the target, Unix time in ms, 0 if it was not given
    """

    target_id: str
    born_ms: int


@dataclass(frozen=True, slots=True)
class Undecodable:
    """Input that the adapter cannot decode.

    :param reason: why decoding failed
    """

    reason: str


class Dialect(Protocol):
    """Headers and documents of one platform."""

    def decode_request(
        self, request: Request, with_accounts: bool = False
    ) -> RequestHead:
        """Decode the headers of a caller's request.

        :param request: the request
        :param with_accounts: whether the configuration has accounts; the key and any
            account header are then not forwarded
        """
        ...

    def without_identity(self, headers: Headers) -> Headers:
        """Return headers without the key of a client and any account header."""
        ...

    def target_headers(
        self,
        forwarded: Headers,
        remaining_s: float,
        caller_service: str,
        target_id: str,
        account: str | None = None,
    ) -> Headers:
        """Return the headers of a request to a target.

        :param forwarded: end-to-end headers of the caller
        :param remaining_s: time until the deadline
        :param caller_service: service of the node at which it entered
        :param target_id: target that has to run it
        :param account: name of the client's account, empty or ``None`` without one
        """
        ...

    def is_response_to(
        self, response: Response, request_id: bytes, reused: bool
    ) -> bool:
        """Return whether a response belongs to the request with the given id.

        :param response: response on the connection of the request
        :param request_id: id of the request
        :param reused: whether the connection carried earlier requests
        """
        ...

    def decode_target_response(self, response: Response) -> TargetResponse:
        """Decode the headers of a target's response."""
        ...

    def decode_health(self, response: Response) -> str:
        """Return the id of the target that accepts requests, or an empty string.

        :param response: response of a target to a health check
        """
        ...

    def refusal_headers(self, retry_after_s: float) -> Headers:
        """Return the headers that tell a caller when to retry."""
        ...

    def challenge_headers(self) -> Headers:
        """Return the headers that tell a client to send a key."""
        ...

    def decode_announcement(
        self, request: Request
    ) -> Announcement | Departure | Undecodable:
        """Decode an announcement of a target."""
        ...

    def decode_config(self, document: bytes) -> RoutingConfig | Undecodable:
        """Decode a configuration document of the operator."""
        ...


@dataclass(frozen=True, slots=True)
class StoreFailure:
    """A call to the store failed or had no usable response.

    :param reason: why it failed
    :param era: era of the store, 0 if it is not known
    """

    reason: str
    era: int = 0


@dataclass(frozen=True, slots=True)
class Trimmed:
    """The store does not have the records from the requested offset on.

    :param era: era of the store, 0 if it is not known
    """

    era: int = 0


@dataclass(frozen=True, slots=True)
class Records:
    """Keyed records of a stream.

    :param items: pairs of key and value, oldest first
    :param next_offset: offset at which to continue reading
    :param era: era of the store, 0 if it is not known
    :param is_complete: whether the stream had no later records when it was read
    """

    items: list[tuple[str, bytes]]
    next_offset: int
    era: int = 0
    is_complete: bool = True


@dataclass(frozen=True, slots=True)
class Appended:
    """The store has acknowledged a record.

    :param era: era of the store, 0 if it is not known
    """

    era: int = 0


class Store(Protocol):
    """Streams of keyed records.

    They are durable, except that the store may be restored from a copy that is some
    seconds old. That begins a new era: what was appended since the copy is lost, and
    offsets are given out again. Each response tells the era, which only rises.
    """

    async def read_newest(self, stream: str) -> Records | StoreFailure:
        """Return the newest record of each key."""
        ...

    async def read_from(
        self, stream: str, offset: int, wait_s: float
    ) -> Records | Trimmed | StoreFailure:
        """Return the records from an offset on, waiting for the first up to a time."""
        ...

    async def append(
        self, stream: str, key: str, value: bytes
    ) -> Appended | StoreFailure:
        """Append a record."""
        ...


# Names of the streams; the adapter maps them to names of the platform.
CONFIG_STREAM = "config"
NODES_STREAM = "nodes"
