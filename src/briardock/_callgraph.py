"""Checks over the graph of calls between operations."""

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

    :param operation: full name
    :param key: key that shows the problem
    :param message: what is wrong
    :param remedy: what the operator can do
    """

    operation: str
    key: str
    message: str
    remedy: str


def check_calls(operations: Mapping[str, Operation]) -> list[CallProblem]:
    """Return the problems of the call graph that prevent publishing.

    They depend only on the names, calls and idempotence of the operations.

    :param operations: operations by full name
    """
    problems = list(_unknown_calls(operations))
    edges = {
        name: [callee for callee in operation.calls if callee in operations]
        for name, operation in operations.items()
        if operation.calls
    }
    order = _order_callees_first(edges, problems)
    problems += _check_chains(edges, order)
    problems += _check_repeatable(operations, edges, order)
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
    """Return callers after their callees; report cycles and cut them."""
    while True:
        try:
            return list(graphlib.TopologicalSorter(edges).static_order())
        except graphlib.CycleError as error:
            # graphlib lists the cycle from callee to caller.
            cycle = list(reversed(error.args[1]))
            caller, callee = cycle[0], cycle[1]
            edges[caller].remove(callee)
            shown = " -> ".join(cycle)
            problems.append(
                CallProblem(
                    caller,
                    "calls",
                    f"calls form a cycle: {shown}",
                    f"a chain is at most {MAX_CHAIN} calls deep; remove one of them",
                )
            )
        if len(problems) > MAX_REPORTED_CYCLES:
            edges.clear()


def _check_chains(
    edges: dict[str, list[str]], order: list[str]
) -> Iterator[CallProblem]:
    """Report the operations where a chain first becomes too long."""
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


def _check_repeatable(
    operations: Mapping[str, Operation], edges: dict[str, list[str]], order: list[str]
) -> Iterator[CallProblem]:
    """Report idempotent operations that reach one that is not idempotent."""
    via: dict[str, str] = {}
    for name in order:
        for callee in edges.get(name, ()):
            if not operations[callee].idempotent or callee in via:
                via[name] = callee
                break
        if name in via and operations[name].idempotent:
            chain = [name]
            while operations[chain[-1]].idempotent:
                chain.append(via[chain[-1]])
            yield CallProblem(
                name,
                "idempotent",
                f"reaches the non-idempotent {chain[-1]} by {' -> '.join(chain)}",
                "mark it idempotent = no",
            )


def check_deadlines(operations: Mapping[str, Operation]) -> Iterator[CallProblem]:
    """Report callees whose deadline is longer than that of the caller.

    This does not prevent publishing: a callee that is also an entry has a
    deadline of its own.

    :param operations: operations by full name
    """
    for name, operation in operations.items():
        for callee in operation.calls:
            own_ms, callee_ms = operation.deadline_ms, operations[callee].deadline_ms
            if callee_ms > own_ms:
                yield CallProblem(
                    name,
                    "deadline_ms",
                    f"{own_ms} ms is below the {callee_ms} ms of its callee {callee}",
                    "the callee gets only the time left; raise or lower one of them",
                )
