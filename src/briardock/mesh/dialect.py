"""What the mesh needs a platform adapter to translate."""

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
    """A target says that it is gone or about to go.

    :param target_id: id of the target
    :param born_ms: start of the target, Unix time in ms, 0 if it was not told
    """

    target_id: str
    born_ms: int


@dataclass(frozen=True, slots=True)
class Undecodable:
    """Something that the adapter cannot read.

    :param reason: what is wrong
    """

    reason: str


class Dialect(Protocol):
    """Headers and documents of one platform."""

    def decode_request(self, request: Request) -> RequestHead:
        """Return what the headers of a caller's request say."""
        ...

    def target_headers(
        self,
        forwarded: Headers,
        remaining_s: float,
        caller_service: str,
        target_id: str,
    ) -> Headers:
        """Return the headers of a request to a target."""
        ...

    def belongs(self, response: Response, request_id: bytes) -> bool:
        """Return whether a response belongs to the request with an id."""
        ...

    def decode_reply(self, response: Response) -> TargetResponse:
        """Return what the headers of a target's response say."""
        ...

    def refusal_headers(self, retry_after_s: float) -> Headers:
        """Return the headers that tell a caller when to come back."""
        ...

    def decode_announcement(
        self, request: Request
    ) -> Announcement | Departure | Undecodable:
        """Return what a target says of itself."""
        ...

    def decode_config(self, document: bytes) -> RoutingConfig | Undecodable:
        """Return the configuration in a document of the operator."""
        ...


@dataclass(frozen=True, slots=True)
class StoreFailure:
    """A call to the store had no usable answer.

    :param reason: what happened
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Trimmed:
    """The records after an offset are no longer kept."""


@dataclass(frozen=True, slots=True)
class Records:
    """Keyed records of a stream.

    :param items: rows of key and value, oldest first
    :param next_offset: offset to read on from
    """

    items: list[tuple[str, bytes]]
    next_offset: int


class Store(Protocol):
    """Streams of keyed records that outlive the nodes."""

    async def read_newest(self, stream: str) -> Records | StoreFailure:
        """Return the newest record of each key."""
        ...

    async def read_on(
        self, stream: str, offset: int, wait_s: float
    ) -> Records | Trimmed | StoreFailure:
        """Return the records from an offset on, waiting for the first one."""
        ...

    async def append(self, stream: str, key: str, value: bytes) -> None | StoreFailure:
        """Add a record."""
        ...


# Streams of the store, by the names of this project.
CONFIG_STREAM = "config"
NODES_STREAM = "nodes"
