"""Injected faults and counters of a target stand-in."""

import msgspec


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults that can be injected at run time.

    :param slow_factor: factor that processing times are multiplied by
    :param die_after: runs until the process exits abruptly, negative for never
    :param hang: whether requests are accepted but never responded to
    :param lying_load: load to announce, ``None`` for the actual load
    :param shed: whether every request is refused as if the queue were full
    """

    slow_factor: float = 1.0
    die_after: int = -1
    hang: bool = False
    lying_load: float | None = None
    shed: bool = False


class Status(msgspec.Struct):
    """Counters of a target, returned by ``GET /status``."""

    instance: str
    service: str
    state: str
    in_flight: int = 0
    waiting: int = 0
    run_count: int = 0
    shed_count: int = 0
    expired_count: int = 0
    cancelled_count: int = 0
    child_call_count: int = 0
    child_send_count: int = 0
