"""Checks of the call graph between operations."""

import graphlib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from briardock._catalog import Operation
from briardock._ini import nearest

MAX_CHAIN = 13
MAX_REPORTED_CYCLES = 20


@dataclass(frozen=True, slots=True)
class CallProblem:
    """Problem of one operation.

    :param operation: full name of the operation
    :param key: key of the operation that is at fault
    :param message: what is wrong
    :param remedy: what the operator can do
    """

    operation: str
    key: str
    message: str
    remedy: str


def check_calls(operations: Mapping[str, Operation]) -> list[CallProblem]:
    """Return the problems of the call graph that prevent publishing.

    The result depends only on the names, calls and idempotence of the operations.

    :param operations: operations by full name
    """
    problems = list(_unknown_calls(operations))
    edges = {
        name: [callee for callee in operation.calls if callee in operations]
        for name, operation in operations.items()
        if operation.calls
    }
    order = _order_callees_first(edges, problems)
    problems += _check_chain_lengths(edges, order)
    problems += _check_idempotence(operations, edges, order)
    return problems


def _unknown_calls(operations: Mapping[str, Operation]) -> Iterator[CallProblem]:
    """Report called operations that do not exist."""
    for name, operation in operations.items():
        for callee in operation.calls:
            if callee not in operations:
                message = f"unknown operation '{callee}'"
                yield CallProblem(name, "calls", message, nearest(callee, operations))


def _order_callees_first(
    edges: dict[str, list[str]], problems: list[CallProblem]
) -> list[str]:
    """Return all callees before their callers; report cycles and break them."""
    while True:
        try:
            return list(graphlib.TopologicalSorter(edges).static_order())
        except graphlib.CycleError as error:
            # graphlib lists the cycle from callee to caller.
            cycle = list(reversed(error.args[1]))
            caller, callee = cycle[0], cycle[1]
            edges[caller].remove(callee)
            cycle_text = " -> ".join(cycle)
            problems.append(
                CallProblem(
                    caller,
                    "calls",
                    f"calls form a cycle: {cycle_text}",
                    f"a chain is at most {MAX_CHAIN} calls deep; remove one of them",
                )
            )
        if len(problems) > MAX_REPORTED_CYCLES:
            edges.clear()


def _check_chain_lengths(
    edges: dict[str, list[str]], order: list[str]
) -> Iterator[CallProblem]:
    """Report the operations at which a chain of calls exceeds the maximum length."""
    depth: dict[str, int] = {}
    for name in order:
        depth[name] = 1 + max(
            (depth[callee] for callee in edges.get(name, ())), default=0
        )
        if depth[name] == MAX_CHAIN + 1:
            yield CallProblem(
                name,
                "calls",
                f"a chain from here is more than {MAX_CHAIN} operations long",
                "shorten it",
            )


def _check_idempotence(
    operations: Mapping[str, Operation], edges: dict[str, list[str]], order: list[str]
) -> Iterator[CallProblem]:
    """Report idempotent operations that call a non-idempotent one, even indirectly."""
    next_hop: dict[str, str] = {}
    for name in order:
        for callee in edges.get(name, ()):
            if not operations[callee].idempotent or callee in next_hop:
                next_hop[name] = callee
                break
        if name in next_hop and operations[name].idempotent:
            chain = [name]
            while operations[chain[-1]].idempotent:
                chain.append(next_hop[chain[-1]])
            yield CallProblem(
                name,
                "idempotent",
                f"reaches the non-idempotent {chain[-1]} by {' -> '.join(chain)}",
                "mark it idempotent = no",
            )


def check_deadlines(operations: Mapping[str, Operation]) -> Iterator[CallProblem]:
    """Report callees whose deadline is longer than that of the caller.

    These are warnings and do not prevent publishing, because a callee that is also
    an entry operation may need its longer deadline there.

    :param operations: operations by full name
    """
    for name, operation in operations.items():
        for callee in operation.calls:
            caller_ms, callee_ms = operation.deadline_ms, operations[callee].deadline_ms
            if callee_ms > caller_ms:
                yield CallProblem(
                    name,
                    "deadline_ms",
                    f"{caller_ms} ms is below the {callee_ms} ms "
                    f"of its callee {callee}",
                    "the callee gets only the time left; raise or lower one of them",
                )
