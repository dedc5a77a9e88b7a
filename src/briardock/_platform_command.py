"""Command ``briardock check-platform``: check a configuration before it is sent."""

import json as json_module
import sys
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from briardock.platform_check import CheckedDocument, Finding, Position
    from briardock.platform_compare import Difference

EXIT_WARNINGS = 1
EXIT_ERRORS = 2


def check_platform(
    file: Path, *, in_force: Path | None = None, json: bool = False
) -> None:
    """Check a configuration of the users' platform before it is sent.

    Exit codes: 0 no findings; 1 warnings only; 2 errors or an unreadable file.
    Differences do not change the exit code. Keys of accounts are never printed.

    :param file: JSON document for the operator's API
    :param in_force: document in force, to show the differences from it
    :param json: print the findings and differences as one JSON document
    """
    from briardock.platform_check import Severity, check_document, check_version
    from briardock.platform_compare import compare

    document = _load(file)
    findings = check_document(document)
    differences: list[Difference] = []
    if in_force is not None:
        document_in_force = _load(in_force)
        if not document_in_force.is_readable:
            findings += document_in_force.faults
        elif document.is_readable:
            findings += check_version(document, document_in_force)
            differences = compare(document, document_in_force)
    errors = sum(finding.severity is Severity.ERROR for finding in findings)
    if json:
        _print_json(findings, differences)
    else:
        _print_text(findings, differences)
        print(
            f"{file}: {len(document.entries)} entries; {errors} errors, "
            f"{len(findings) - errors} warnings, {len(differences)} differences"
        )
    if findings:
        sys.exit(EXIT_ERRORS if errors else EXIT_WARNINGS)


def _load(path: Path) -> "CheckedDocument":
    """Decode a file; one that cannot be read is a document with one fault."""
    from briardock.platform._positions import decode_with_positions
    from briardock.platform_check import CheckedDocument, Finding, Position, Severity

    try:
        return decode_with_positions(path.read_bytes(), str(path))
    except OSError as error:
        position = Position(str(path), 0, "")
        message = f"cannot read the file: {error.strerror}"
        fault = Finding(Severity.ERROR, position, message, "name a readable file")
        return CheckedDocument(position, None, (), (fault,))


def _print_json(findings: "list[Finding]", differences: "list[Difference]") -> None:
    content = {
        "findings": [_flatten(asdict(item)) for item in findings],
        "differences": [_flatten(asdict(item)) for item in differences],
    }
    print(json_module.dumps(content, indent=2, sort_keys=True, ensure_ascii=False))


def _flatten(item: dict[str, object]) -> dict[str, object]:
    """Return an item with the parts of its position beside its other fields."""
    position = item.pop("position")
    assert isinstance(position, dict)
    return {**item, **position}


def _print_text(findings: "list[Finding]", differences: "list[Difference]") -> None:
    for item in findings:
        text = f"{item.message}; {item.remedy}"
        _print_line(item.position, item.severity, text)
    for difference in differences:
        text = f"{difference.old} -> {difference.new}" if difference.old else ""
        _print_line(difference.position, difference.change, text)


def _print_line(position: "Position", label: str, text: str) -> None:
    """Print one line; control characters from the document are escaped."""
    parts = [f"{position.file}:{position.line}", label, position.key, text]
    line = ": ".join(part for part in parts if part)
    print("".join(c if c.isprintable() else ascii(c)[1:-1] for c in line))
