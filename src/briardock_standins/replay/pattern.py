"""Load patterns: what is replayed, read from INI files and checked."""

import enum
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta

from briardock._ini import IniError, IniSection, nearest, parse_ini
from briardock.exceptions import SettingsError

_Count = Annotated[int, Meta(ge=1, le=60)]
_Positive = Annotated[float, Meta(gt=0)]
_NotNegative = Annotated[float, Meta(ge=0)]
_Share = Annotated[float, Meta(ge=0, le=1)]
_Names = tuple[str, ...]


class EventKind(enum.StrEnum):
    """What happens to demand or instances for a while."""

    SURGE = "surge"
    SLOW = "slow"
    FAIL = "fail"
    REJECT = "reject"
    AWAY = "away"
    LOST_RESPONSES = "lost-responses"


class General(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section ``[pattern]``.

    :param description: load that the file describes
    :param duration_s: simulated time
    :param domains: names of the failure domains
    :param hop_ms: time to another failure domain, one way
    :param news_delay_ms: time until a node learns a change of another one
    :param retry_ratio: retries per request to a service
    :param retry_slack: additional retries in a window
    :param seed: seed of all random numbers
    :param learn_calls: whether nodes learn the calls of their targets instead of
        knowing them from the start
    :param routes_known_s: time from the first request until nodes know the routes of
        callers; before it callers' requests count as calls of targets
    """

    description: str
    duration_s: _Positive
    domains: _Names = ("a",)
    hop_ms: _NotNegative = 1.4
    news_delay_ms: _NotNegative = 50.0
    retry_ratio: _NotNegative = 0.2
    retry_slack: _NotNegative = 50.0
    seed: int = 1
    learn_calls: bool = False
    routes_known_s: _NotNegative = 0.0


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section ``[service NAME]``.

    :param instances: number of instances, spread over the domains
    :param slots: requests that one instance runs at once
    :param cold_s: time after its start in which an instance is slow
    :param cold_factor: factor of its run times in that time
    """

    instances: _Count
    slots: Annotated[int, Meta(ge=1, le=1000)]
    cold_s: _NotNegative = 3.0
    cold_factor: _Positive = 2.0


class Operation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section ``[operation SERVICE.NAME]``.

    :param run_ms: mean run time without calls
    :param spread: standard deviation of the logarithm of the run time
    :param calls: operations that it calls, ``NAME*COUNT`` for several calls
    :param together: whether it makes the calls at the same time
    """

    run_ms: _Positive
    spread: _NotNegative = 0.5
    calls: _Names = ()
    together: bool = False


class CallerRoute(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section ``[route NAME]``.

    :param operation: operation that its requests run
    :param per_s: requests over all entry nodes
    :param priority: importance, 0 being the highest
    :param objective_ms: latency objective
    :param deadline_ms: time for which callers wait
    :param timeout_ms: longest time of one attempt
    :param idempotent: whether a request may run more than once
    :param retries: further attempts of a caller
    :param impatient_share: share of callers that come back at once
    :param leaving_share: share of callers that leave after half of their deadline
    """

    operation: str
    per_s: _Positive
    priority: Annotated[int, Meta(ge=0, le=7)]
    objective_ms: _Positive
    deadline_ms: _Positive
    timeout_ms: _Positive
    idempotent: bool = True
    retries: Annotated[int, Meta(ge=0, le=5)] = 1
    impatient_share: _Share = 0.0
    leaving_share: _Share = 0.0


class Event(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section ``[event NAME]``.

    :param kind: what happens
    :param at_s: when it begins
    :param for_s: how long it lasts
    :param service: service whose instances are concerned, all services if empty
    :param share: share of its instances, or of the requests that fail there
    :param factor: factor of demand or of run times
    """

    kind: EventKind
    at_s: _NotNegative
    for_s: _Positive
    service: str = ""
    share: _Share = 1.0
    factor: _Positive = 1.0


class Pattern(msgspec.Struct, frozen=True):
    """A load pattern."""

    general: General
    services: dict[str, Service]
    operations: dict[str, Operation]
    routes: dict[str, CallerRoute]
    events: dict[str, Event]


_SECTIONS: dict[str, type[msgspec.Struct]] = {
    "pattern": General,
    "service": Service,
    "operation": Operation,
    "route": CallerRoute,
    "event": Event,
}
T = TypeVar("T", bound=msgspec.Struct)


def parse_calls(calls: _Names) -> list[str]:
    """Return the called operations, each as often as it is called.

    :param calls: calls of an operation
    """
    names = []
    for call in calls:
        name, _, count = call.partition("*")
        names += [name] * int(count or "1")
    return names


def read_pattern(path: Path) -> Pattern:
    """Return the load pattern in a file.

    :param path: INI file
    :raises SettingsError: with file, line and key of the first fault and its remedy
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"cannot read {path}: {error}", "name a text file"
        ) from error
    sections = parse_ini(text)
    if isinstance(sections, IniError):
        raise SettingsError(
            f"{path}:{sections.line}: {sections.message}", "correct this line"
        )
    decoded: dict[str, dict[str, Any]] = {kind: {} for kind in _SECTIONS}
    lines: dict[str, int] = {}
    for title, section in sections.items():
        kind, _, name = title.partition(" ")
        if kind not in _SECTIONS:
            raise SettingsError(
                f"{path}:{section.line}: unknown section [{title}]",
                nearest(kind, _SECTIONS),
            )
        lines[f"{kind} {name}"] = section.line
        decoded[kind][name] = _decode_section(path, section, _SECTIONS[kind])
    if not decoded["pattern"]:
        raise SettingsError(f"{path}: no section [pattern]", "add it")
    pattern = Pattern(
        decoded["pattern"].popitem()[1],
        decoded["service"],
        decoded["operation"],
        decoded["route"],
        decoded["event"],
    )
    _check_references(path, pattern, lines)
    return pattern


def _decode_section(path: Path, section: IniSection, kind: type[T]) -> T:
    known = {field.name: field for field in msgspec.structs.fields(kind)}
    values: dict[str, Any] = {}
    for key, value in section.values.items():
        where = f"{path}:{value.line}: key '{key}'"
        if key not in known:
            raise SettingsError(f"{where} is unknown", nearest(key, known))
        annotation = known[key].type
        try:
            if annotation is bool:
                values[key] = {"yes": True, "no": False}[value.text.lower()]
            elif annotation == _Names:
                values[key] = tuple(value.text.replace(",", " ").split())
            else:
                values[key] = msgspec.convert(value.text, annotation, strict=False)
        except KeyError as error:
            raise SettingsError(
                f"{where} is not yes or no", "write yes or no"
            ) from error
        except msgspec.ValidationError as error:
            raise SettingsError(f"{where}: {error}", "correct the value") from error
    missing = [n for n, field in known.items() if field.required and n not in values]
    if missing:
        raise SettingsError(
            f"{path}:{section.line}: key '{missing[0]}' is missing", "add it"
        )
    return kind(**values)


def _check_references(path: Path, pattern: Pattern, lines: dict[str, int]) -> None:
    def check(section: str, name: str, known: dict[str, Any]) -> None:
        if name not in known:
            raise SettingsError(
                f"{path}:{lines[section]}: [{section}] names '{name}', which is not "
                "defined",
                nearest(name, known),
            )

    for name, operation in pattern.operations.items():
        check(f"operation {name}", name.partition(".")[0], pattern.services)
        for call in operation.calls:
            called, _, count = call.partition("*")
            if count and not (count.isascii() and count.isdigit()):
                line = lines[f"operation {name}"]
                raise SettingsError(
                    f"{path}:{line}: call '{call}' has no count", "write NAME*COUNT"
                )
            check(f"operation {name}", called, pattern.operations)
    for name, route in pattern.routes.items():
        check(f"route {name}", route.operation, pattern.operations)
    for name, event in pattern.events.items():
        if event.service:
            check(f"event {name}", event.service, pattern.services)
