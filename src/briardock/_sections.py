"""Sections and keys of the operators' configuration, with their types and ranges."""

import re
import sys
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from briardock._ini import nearest

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,63}\Z")
_METHODS = ("DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT")
_PATH = re.compile(r"(/|(/([A-Za-z0-9._~%+@:-]+|\{[A-Za-z0-9_]+\}))+)\Z")

_Ms = Annotated[int, Meta(ge=1, le=600_000)]
_BodyKb = Annotated[int, Meta(ge=1, le=16_000)]
_Retries = Annotated[int, Meta(ge=0, le=10)]
_Text = Annotated[str, Meta(max_length=1_000)]
_List = tuple[str, ...]

KEYS: dict[str, dict[str, Any]] = {
    "service": {
        "domains": _List,
        "slots_hint": Annotated[int, Meta(ge=1, le=100_000)],
        "cold_start_s": Annotated[float, Meta(ge=0, le=3_600)],
        "description": _Text,
    },
    "operation": {
        "match": str,
        "class": str,
        "idempotent": bool,
        "deadline_ms": _Ms,
        "retries": _Retries,
        "calls": _List,
        "max_body_kb": _BodyKb,
        "description": _Text,
    },
    "class": {"rank": Annotated[int, Meta(ge=0, le=7)], "description": _Text},
    "policy": {
        "weigh": Literal["goodput", "recovery"],
        "sojourn_ms": Annotated[int, Meta(ge=1, le=10_000)],
        "critical_sojourn_ms": Annotated[int, Meta(ge=1, le=10_000)],
        "queue_length": Annotated[int, Meta(ge=0, le=10_000)],
        "default_class": str,
        "default_deadline_ms": _Ms,
        "default_retries": _Retries,
        "default_max_body_kb": _BodyKb,
    },
}
REQUIRED = {"operation": ("match",), "class": ("rank",)}


def check_section_name(kind: str, name: str) -> tuple[str, str] | None:
    """Return message and remedy if a section name is invalid."""
    if kind not in KEYS:
        return "unknown section", nearest(kind, KEYS)
    if kind == "policy":
        return ("the policy section takes no name", "write [policy]") if name else None
    parts = name.split(".")
    expected_count = 2 if kind == "operation" else 1
    if len(parts) == expected_count and all(_NAME.match(part) for part in parts):
        return None
    name_format = "SERVICE.NAME" if kind == "operation" else "NAME"
    return "bad name", f"write [{kind} {name_format}] with letters, digits, '_' and '-'"


def convert_value(key: str, text: str, annotation: Any) -> Any:
    """Return a value converted to its type.

    :raises ValueError: with the expected form as the message
    """
    if annotation is bool:
        if text.lower() not in ("yes", "no"):
            raise ValueError("expected yes or no")
        return text.lower() == "yes"
    if annotation is _List:
        names = dict.fromkeys(text.replace(",", " ").split())
        return tuple(sys.intern(name) for name in names)
    if key == "match":
        method, _, path = text.partition(" ")
        if method not in _METHODS:
            raise ValueError(f"expected one of {', '.join(_METHODS)} and a path")
        if not _PATH.match(path) or len(path) > 512:
            raise ValueError("expected a path such as /jobs/{id}, without query")
        return sys.intern(method), path
    if annotation is str:
        return sys.intern(text)
    return msgspec.convert(text, annotation, strict=False)
