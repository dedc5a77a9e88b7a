"""Catalog of services, operations and classes that the operators published."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from briardock._ini import IniError, parse_ini


@dataclass(frozen=True, slots=True)
class Fault:
    """One problem of a configuration.

    :param file: file name; empty if the problem is not in a single file
    :param line: line number from 1; 0 if unknown
    :param section: section name
    :param key: key; empty for the section itself
    :param message: what is wrong
    :param remedy: what the operator can do
    """

    file: str
    line: int
    section: str
    key: str
    message: str
    remedy: str

    def __str__(self) -> str:
        location = f"{self.file}:{self.line}" if self.line else self.file
        parts = [location, f"[{self.section}]" if self.section else "", self.key]
        where = " ".join(part for part in parts if part)
        return f"{where}: {self.message}; {self.remedy}"


@dataclass(frozen=True, slots=True)
class Operation:
    """One operation of a service.

    :param name: full name, ``service.name``
    :param service: name of the service
    :param method: HTTP method
    :param pattern: path pattern below the service
    :param class_name: class of the actions that start with this operation
    :param class_rank: rank of the class; 0 is the most important
    :param idempotent: whether a call may run more than once
    :param deadline_ms: default deadline of the whole action in ms
    :param retries: retry budget of the whole action
    :param max_body_bytes: maximum size of the request body
    :param calls: full names of the operations it calls
    """

    name: str
    service: str
    method: str
    pattern: str
    class_name: str
    class_rank: int
    idempotent: bool
    deadline_ms: int
    retries: int
    max_body_bytes: int
    calls: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Service:
    """One service.

    :param name: name of the service
    :param domains: failure domains that hold instances; empty for any
    :param slots_hint: expected concurrency of an instance, or ``None``
    :param cold_start_s: time until a new instance may use its full limit in s, or
        ``None``
    """

    name: str
    domains: tuple[str, ...]
    slots_hint: int | None
    cold_start_s: float | None


@dataclass(frozen=True, slots=True)
class OperationClass:
    """Class of actions with a common importance; rank 0 is shed last."""

    name: str
    rank: int


@dataclass(frozen=True, slots=True)
class Policy:
    """Overload objective of the deployment, and defaults of operations.

    :param weigh: objective to favour, ``goodput`` or ``recovery``
    :param sojourn_ms: longest wait of the least important class in ms
    :param critical_sojourn_ms: longest wait of the most important class in ms
    :param queue_length: maximum number of calls queued for a target
    """

    weigh: str = "goodput"
    sojourn_ms: int = 50
    critical_sojourn_ms: int = 300
    queue_length: int = 512
    default_class: str = ""
    default_deadline_ms: int = 2_000
    default_retries: int = 2
    default_max_body_kb: int = 1_024


class Catalog:
    """Validated configuration; immutable once built.

    :param files: text of each file
    :param services: services by name
    :param classes: classes by name
    :param operations: operations by full name
    :param policy: policy of the deployment
    """

    def __init__(
        self,
        files: Mapping[str, str],
        services: dict[str, Service],
        classes: dict[str, OperationClass],
        operations: dict[str, Operation],
        policy: Policy,
    ) -> None:
        self.files = files
        self.services = services
        self.classes = classes
        self.operations = operations
        self.policy = policy
        self._literal_paths: dict[str, Operation] = {}
        self._patterns_by_segments: dict[str, list[Operation]] = {}
        self._index(operations.values())

    def find(self, service: str, method: str, path: str) -> Operation | None:
        """Return the operation of a request.

        Literal segments take precedence over a ``{parameter}``, from left to right.

        :param service: name of the service
        :param method: HTTP method
        :param path: path below the service, with or without query
        """
        path = path.partition("?")[0]
        if literal_match := self._literal_paths.get(f"{service} {method} {path}"):
            return literal_match
        segment_key = f"{service} {method} {path.count('/')}"
        for operation in self._patterns_by_segments.get(segment_key, ()):
            if _matches(operation.pattern, path):
                return operation
        return None

    @property
    def warnings(self) -> list[Fault]:
        """Problems that do not prevent publishing, computed on each access."""
        # Imported here because _callgraph imports Operation from this module.
        from briardock._callgraph import check_deadlines

        faults = [
            locate_fault(
                self.files,
                f"operation {problem.operation}",
                problem.key,
                problem.message,
                problem.remedy,
            )
            for problem in check_deadlines(self.operations)
        ]
        return sorted(faults, key=fault_sort_key)

    def operation(self, name: str) -> Operation | None:
        """Return an operation by its full name, ``service.name``."""
        return self.operations.get(name)

    def source_of(self, section: str, key: str) -> str:
        """Return the file that sets a value; empty for a default.

        The files are parsed on demand, which keeps the catalog small.

        :param section: section name
        :param key: key in the section
        """
        return find_location(self.files, section, key)[0]

    def _index(self, operations: Iterable[Operation]) -> None:
        """Build the lookup tables for ``find``."""
        for operation in operations:
            prefix = f"{operation.service} {operation.method}"
            if "{" not in operation.pattern:
                self._literal_paths[f"{prefix} {operation.pattern}"] = operation
                continue
            segment_key = f"{prefix} {operation.pattern.count('/')}"
            self._patterns_by_segments.setdefault(segment_key, []).append(operation)
        for patterns in self._patterns_by_segments.values():
            patterns.sort(key=_specificity)


def find_location(files: Mapping[str, str], section: str, key: str) -> tuple[str, int]:
    """Return the file and line that set a key, or ``("", 0)``.

    :param files: text of each file
    :param section: section name
    :param key: key; empty for the section itself
    """
    for name in sorted(files, reverse=True):
        if f"[{section}]" not in files[name]:
            continue
        parsed = parse_ini(files[name])
        if isinstance(parsed, IniError) or section not in parsed:
            continue
        if not key:
            return name, parsed[section].line
        if value := parsed[section].values.get(key):
            return name, value.line
    return "", 0


def locate_fault(
    files: Mapping[str, str], section: str, key: str, message: str, remedy: str
) -> Fault:
    """Return a fault at the location of a key, or of its section without the key."""
    file, line = find_location(files, section, key)
    if not file:
        file, line = find_location(files, section, "")
    return Fault(file, line, section, key, message, remedy)


def fault_sort_key(fault: Fault) -> tuple[str, int, str, str, str]:
    """Return a sort key that does not depend on the order of the checks."""
    return fault.file, fault.line, fault.section, fault.key, fault.message


def _matches(pattern: str, path: str) -> bool:
    """Return whether a path with as many segments as the pattern matches it."""
    for pattern_segment, path_segment in zip(
        pattern.split("/"), path.split("/"), strict=True
    ):
        if pattern_segment != path_segment and not (
            path_segment and pattern_segment.startswith("{")
        ):
            return False
    return True


def _specificity(operation: Operation) -> list[bool]:
    """Return a sort key that puts literal segments first."""
    return [part.startswith("{") for part in operation.pattern.split("/")]
