"""Plans of target stand-ins, derived from an operators' configuration."""

import re
from pathlib import Path

import msgspec

from briardock.configuration import Catalog, load_folder, merge_and_check
from briardock.exceptions import ConfigurationError
from briardock_standins.plans import (
    NUMBER_PLACEHOLDER,
    ActionPlan,
    ChildCall,
    OperationPlan,
    TargetPlan,
)

_PATH_PARAMETER = re.compile(r"\{[^}]*\}")


def read_catalog(folder: Path) -> Catalog:
    """Return the catalog of a configuration folder.

    :param folder: operators' configuration
    :raises ConfigurationError: if the configuration does not pass its checks
    """
    catalog = merge_and_check(load_folder(folder))
    if isinstance(catalog, Catalog):
        return catalog
    raise ConfigurationError("; ".join(str(fault) for fault in catalog))


def target_plan(catalog: Catalog, template: TargetPlan, parallel: bool) -> TargetPlan:
    """Return a plan with the operations and child calls of the catalog.

    :param catalog: configuration
    :param template: plan that names the service; the processing time of its first
        operation applies to all operations
    :param parallel: whether operations make their child calls concurrently
    """
    template_operation = template.operations[0]
    operations = tuple(
        msgspec.structs.replace(
            template_operation,
            name=operation.name.partition(".")[2],
            path=operation.pattern,
            method=operation.method,
            calls=tuple(_child_call(catalog, name) for name in operation.calls),
            parallel=parallel,
        )
        for operation in catalog.operations.values()
        if operation.service == template.service
    )
    return msgspec.structs.replace(template, operations=operations)


def _child_call(catalog: Catalog, name: str) -> ChildCall:
    operation = catalog.operations[name]
    path = fill_pattern(operation.pattern)
    return ChildCall(operation.service, path, operation.method)


def fill_pattern(pattern: str) -> str:
    """Return a path with the placeholder of the action's number per parameter."""
    return _PATH_PARAMETER.sub(NUMBER_PLACEHOLDER, pattern)


def entry_actions(catalog: Catalog) -> tuple[ActionPlan, ...]:
    """Return one action for each operation that no other operation calls.

    :param catalog: configuration
    """
    called = {name for caller in catalog.operations.values() for name in caller.calls}
    return tuple(
        ActionPlan(
            operation=operation.name,
            path=fill_pattern(operation.pattern),
            class_name=operation.class_name,
            method=operation.method,
            keyed=not operation.idempotent,
            body="" if operation.method == "GET" else f"action {NUMBER_PLACEHOLDER}",
            deadline_ms=operation.deadline_ms,
        )
        for operation in catalog.operations.values()
        if operation.name not in called
    )


def non_idempotent_operations(catalog: Catalog) -> frozenset[str]:
    """Return the full names of the non-idempotent operations."""
    return frozenset(
        name
        for name, operation in catalog.operations.items()
        if not operation.idempotent
    )


def single_operation(service_ms: float) -> tuple[OperationPlan, ...]:
    """Return one operation that matches every request, for a template plan.

    :param service_ms: mean processing time in ms, without child calls
    """
    return (OperationPlan("any", service_ms=service_ms),)
