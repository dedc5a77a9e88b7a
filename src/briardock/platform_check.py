"""Findings about a configuration of the users' platform before it is sent.

The platform adapter decodes a document into entries with the position of each value;
the functions here have no input or output.
"""

import enum
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from briardock.mesh.model import AccountEntry, CallerLimits, Route

# Size of the head of an ordinary request.
ORDINARY_HEAD_BYTES = 1024


class Severity(enum.StrEnum):
    """What a finding means to nodes.

    An error is rejected, left out or refers to something that does not exist; a warning
    has no effect, or not the one that the values suggest.
    """

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, slots=True)
class Position:
    """Position of a value in a document.

    :param file: name of the file
    :param line: line of the value, 0 if there is none
    :param key: path of the value, such as ``routes/r-1/timeout``
    """

    file: str
    line: int
    key: str


@dataclass(frozen=True, slots=True)
class Finding:
    """A fault of a document.

    :param severity: what it means to nodes
    :param position: where it is
    :param message: what is wrong
    :param remedy: what the operator can do about it
    """

    severity: Severity
    position: Position
    message: str
    remedy: str


class EntryKind(enum.Enum):
    """What an entry describes."""

    ROUTE = enum.auto()
    SERVICE = enum.auto()
    ACCOUNT = enum.auto()
    LIMITS = enum.auto()
    UNKNOWN = enum.auto()


@dataclass(frozen=True, slots=True)
class Shown:
    """A value that may be printed.

    :param text: canonical form
    """

    text: str


@dataclass(frozen=True, slots=True)
class Secret:
    """A value that may contain a key of a client and is only compared.

    :param content: canonical form
    """

    content: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class KeyList:
    """Keys of an account, of which only counts may be printed.

    :param keys: the keys
    """

    keys: frozenset[str] = field(repr=False)


Value = Shown | Secret | KeyList
Content = Route | AccountEntry | CallerLimits


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of a document.

    :param kind: what it describes
    :param name: name given by the operator, empty if it has none
    :param position: where it begins
    :param content: its decoded form; ``None`` for services, and if nodes cannot decode
        it
    :param positions: positions by the field of the content and, below it, the index of
        an element and a field of that
    :param values: values by their key in the document
    """

    kind: EntryKind
    name: str
    position: Position
    content: Content | None = None
    positions: dict[tuple[str | int, ...], Position] = field(default_factory=dict)
    values: dict[str, tuple[Position, Value]] = field(default_factory=dict, repr=False)

    def locate(self, *path: str | int) -> Position:
        """Return the position of a field, or of what contains it.

        :param path: key of ``positions``
        """
        while path and path not in self.positions:
            path = path[:-1]
        return self.positions[path] if path else self.position


@dataclass(frozen=True, slots=True)
class CheckedDocument:
    """A document as far as it could be decoded.

    :param position: position of the version
    :param version: its version, ``None`` if it cannot be decoded
    :param entries: entries in the order of the document
    :param faults: what the decoder rejects
    """

    position: Position
    version: int | None
    entries: tuple[Entry, ...]
    faults: tuple[Finding, ...]

    @property
    def is_readable(self) -> bool:
        """Whether version and entries were found, even if some cannot be decoded."""
        return self.version is not None and bool(self.entries or not self.faults)


def check_document(document: CheckedDocument) -> list[Finding]:
    """Return the findings about a document in the order of its lines.

    :param document: decoded document
    """
    entries = document.entries
    findings = list(document.faults)
    findings += _check_names(entries)
    findings += _check_routes(entries)
    findings += _check_services(entries)
    findings += _check_accounts(entries)
    findings += _check_limits(entries)
    return sorted(findings, key=lambda finding: finding.position.line)


def check_version(
    document: CheckedDocument, in_force: CheckedDocument
) -> list[Finding]:
    """Return a finding if nodes would not install the document.

    :param document: document to be sent
    :param in_force: document that nodes have
    """
    new, old = document.version, in_force.version
    if new is None or old is None or new > old:
        return []
    message = f"version {new} is not higher than {old}, which is in force"
    return [_error(document.position, message, f"set it to {old + 1} or more")]


def _check_names(entries: Sequence[Entry]) -> Iterator[Finding]:
    first_entries: dict[str, Entry] = {}
    for entry in entries:
        first = first_entries.setdefault(entry.position.key, entry)
        if first is not entry:
            message = f"line {first.position.line} has the same kind and name"
            yield _error(entry.position, message, "rename or remove one of them")


def _check_routes(entries: Sequence[Entry]) -> Iterator[Finding]:
    services = {entry.name for entry in entries if entry.kind is EntryKind.SERVICE}
    # Nodes use the last route of a host and prefix.
    last_entries: dict[tuple[str, str], Entry] = {}
    routes: list[tuple[Entry, Route]] = []
    for entry in entries:
        if isinstance(entry.content, Route):
            route = entry.content
            routes.append((entry, route))
            last_entries[route.host, route.path_prefix] = entry
    for entry, route in routes:
        yield from _check_route(entry, route)
        yield from _check_route_services(entry, route, services)
        last = last_entries[route.host, route.path_prefix]
        if last is not entry:
            yield _warning(
                entry.locate("path_prefix"),
                f"never matches: {last.position.key} in line {last.position.line} has "
                "the same host and prefix, and nodes use the last one",
                "remove one of them, or change its host or prefix",
            )


def _check_route(entry: Entry, route: Route) -> Iterator[Finding]:
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield _warning(
            entry.locate("path_prefix"),
            f"never matches: {prefix!r} does not begin and end with a slash",
            "add the slash",
        )
    if ":" in route.host:
        yield _warning(
            entry.locate("host"),
            "never matches: hosts of requests are compared without their port",
            "remove the port",
        )
    if route.objective_s > route.timeout_s:
        yield _warning(
            entry.locate("objective_s"),
            f"the latency objective of {route.objective_s:g} s is above the timeout of "
            f"{route.timeout_s:g} s",
            "lower it to the timeout or below, or raise the timeout",
        )
    if route.max_attempts < 1:
        yield _warning(
            entry.locate("max_attempts"),
            f"a maximum of {route.max_attempts} attempts allows no request at all, but "
            "nodes still make the first attempt",
            "set it to 1 or more",
        )


def _check_route_services(
    entry: Entry, route: Route, services: set[str]
) -> Iterator[Finding]:
    is_any_weighted = any(part.weight > 0.0 for part in route.services)
    for index, part in enumerate(route.services):
        position = entry.locate("services", index, "service")
        if not part.service:
            yield _error(position, "names no service", "name the service")
        elif part.service not in services:
            yield _error(
                position,
                f"service {part.service!r} is not in the document",
                "add the service or correct its name",
            )
        if part.weight <= 0.0:
            message = f"the weight of {part.service!r} is not above 0: "
            if is_any_weighted:
                message += "it gets no requests"
            else:
                message += "without any weight the first service gets all requests"
            yield _warning(
                entry.locate("services", index, "weight"),
                message,
                "remove the service or give it a weight",
            )


def _check_services(entries: Sequence[Entry]) -> Iterator[Finding]:
    used: set[str] = set()
    for entry in entries:
        if entry.kind is EntryKind.ROUTE:
            if not isinstance(entry.content, Route):
                # A route that cannot be decoded may name any service.
                return
            used |= {part.service for part in entry.content.services}
    for entry in entries:
        if entry.kind is EntryKind.SERVICE and entry.name and entry.name not in used:
            yield _warning(
                entry.position,
                "no route names this service",
                "add a route to it or remove it",
            )


def _check_accounts(entries: Sequence[Entry]) -> Iterator[Finding]:
    holders: dict[str, Entry] = {}
    for entry in entries:
        if not isinstance(entry.content, AccountEntry):
            continue
        if not entry.content.keys:
            yield _warning(
                entry.locate("keys"),
                "the account has no key, so no request belongs to it",
                "give it a key or remove it",
            )
        for index, key in enumerate(entry.content.keys):
            holder = holders.setdefault(key, entry)
            if not key or key.encode().strip() != key.encode():
                yield _warning(
                    entry.locate("keys", index),
                    "never matches: the key is empty or has spaces around it",
                    "remove the spaces or the key",
                )
            elif holder is not entry:
                yield _warning(
                    entry.locate("keys", index),
                    f"{holder.position.key} in line {holder.position.line} also has "
                    "this key, and its requests belong to that account",
                    "give each account keys of its own",
                )
        yield from _check_quota(entry, entry.content)


def _check_quota(entry: Entry, content: AccountEntry) -> Iterator[Finding]:
    rate_per_s, burst = content.account.rate_per_s, content.account.burst
    if rate_per_s == 0.0 and burst > 0.0:
        yield _warning(
            entry.locate("burst"),
            f"a burst of {burst:g} has no effect: a rate of 0 is no limit",
            "set a rate or remove the burst",
        )
    if 0.0 < rate_per_s < 1.0 and burst < 1.0:
        yield _warning(
            entry.locate("burst"),
            f"a burst of {burst:g} and a rate of {rate_per_s:g} per second are both "
            "below one request",
            "set the burst to 1 or more",
        )


def _check_limits(entries: Sequence[Entry]) -> Iterator[Finding]:
    limits = [entry for entry in entries if entry.kind is EntryKind.LIMITS]
    for entry in limits[:-1]:
        last = limits[-1].position
        yield _warning(
            entry.position,
            f"has no effect: nodes use the last limits, {last.key} in line {last.line}",
            "keep one of them",
        )
    for entry in limits:
        content = entry.content
        if isinstance(content, CallerLimits) and (
            content.header_bytes < ORDINARY_HEAD_BYTES
        ):
            yield _warning(
                entry.locate("header_bytes"),
                f"{content.header_bytes} bytes are below the head of an ordinary "
                f"request, {ORDINARY_HEAD_BYTES} bytes",
                f"set it to {ORDINARY_HEAD_BYTES} or more",
            )


def _error(position: Position, message: str, remedy: str) -> Finding:
    return Finding(Severity.ERROR, position, message, remedy)


def _warning(position: Position, message: str, remedy: str) -> Finding:
    return Finding(Severity.WARNING, position, message, remedy)
