"""Operator command ``briardock``: check and publish configuration, query nodes.

Modules that are slow to import are imported inside the commands, so that usage errors
are reported quickly.
"""

import json
import os
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

from briardock._platform_command import check_platform
from briardock.exceptions import (
    BriardockError,
    ConfigurationError,
    NodeUnavailableError,
    SettingsError,
)

if TYPE_CHECKING:
    from briardock._publisher import LogView

DEFAULT_LOG_ADDRESS = "127.0.0.1:8410"
DEBUG_VARIABLE = "BRIARDOCK_DEBUG"
STATUS_POLL_INTERVAL_S = 0.2
EXIT_INTERNAL = 70
EXIT_INTERRUPTED = 130
EXIT_CODES = (
    "Exit codes: 0 done; 1 other error or bad usage; 2 bad settings or usage; "
    "3 configuration does not pass its checks; 4 another publish changed the same "
    "file first; 5 log service unavailable or outcome unknown; 6 node unavailable or "
    "not up to date in time; 70 internal error; 130 interrupted. Of check-platform: "
    "0 no findings; 1 warnings only; 2 errors."
)


class _PublishInterrupted(BriardockError):
    """The operator interrupted a publish."""

    exit_code = EXIT_INTERRUPTED


def check(folder: Path) -> None:
    """Check a configuration folder without publishing it.

    :param folder: folder of INI files
    """
    from briardock.configuration import load_folder, merge_and_check

    files = load_folder(folder)
    checked = merge_and_check(files)
    if isinstance(checked, list):
        for fault in checked:
            print(f"{folder}/{fault}", file=sys.stderr)
        raise ConfigurationError(f"{folder}: {len(checked)} faults", "correct them")
    warnings = checked.warnings
    for warning in warnings:
        print(f"warning: {folder}/{warning}", file=sys.stderr)
    print(
        f"{folder}: {len(files)} files, {len(checked.services)} services, "
        f"{len(checked.operations)} operations, {len(checked.classes)} classes; "
        f"weighs {checked.policy.weigh}; {len(warnings)} warnings"
    )


def fetch(
    folder: Path,
    *,
    log: str = DEFAULT_LOG_ADDRESS,
    timeout_s: float = 10.0,
    overwrite: bool = False,
) -> None:
    """Write the published files and their versions to a folder, to edit them there.

    :param folder: created if missing
    :param log: HOST:PORT of the log service
    :param timeout_s: longest time to read the log
    :param overwrite: replace files edited locally and delete those never published
    """
    from briardock._publisher import fetch_into

    async def run(view: "LogView") -> int:
        await view.read_to_end()
        view.require_complete()
        return fetch_into(folder, view.state, overwrite)

    count, view = _with_log(log, timeout_s, run)
    print(f"{folder}: {count} files of version {view.state.version}")


def publish(
    folder: Path,
    *,
    log: str = DEFAULT_LOG_ADDRESS,
    author: str = "",
    timeout_s: float = 10.0,
    base_current: bool = False,
    wait_s: float = 0.0,
    admin: list[str] = [],  # noqa: B006 (defopt reads the default)
    token: str = "",
) -> None:
    """Publish the files of a folder that changed since they were fetched.

    :param folder: folder of INI files, usually written by fetch
    :param log: HOST:PORT of the log service
    :param author: shown to others; defaults to the user name
    :param timeout_s: longest time to read the log and to publish
    :param base_current: replace the current version without fetching it first
    :param wait_s: time to wait until the nodes have it in force; 0 not to wait
    :param admin: HOST:PORT of admin endpoints of the nodes to wait for
    :param token: bearer token of the nodes; defaults to $BRIARDOCK_TOKEN
    """
    from briardock._publisher import PublishResult, publish_folder

    if wait_s > 0 and not admin:
        raise BriardockError("--wait-s needs nodes to wait for", "give --admin")

    async def run(view: "LogView") -> PublishResult:
        return await publish_folder(folder, view, author, base_current)

    try:
        result, _ = _with_log(log, timeout_s, run)
    except KeyboardInterrupt:
        raise _PublishInterrupted(
            "interrupted; the change may have been published",
            "run publish again; it sends nothing if the change took effect",
        ) from None
    if result.changed:
        print(f"published version {result.version}: {', '.join(result.changed)}")
    else:
        print(f"nothing to publish; version {result.version} is current")
    if wait_s > 0:
        _wait_in_force(result.version, admin, token, wait_s)
        print(f"version {result.version} is in force on {len(admin)} nodes")


def restore(
    folder: Path, *, log: str = DEFAULT_LOG_ADDRESS, timeout_s: float = 10.0
) -> None:
    """Publish known files as a new start, after the log permanently lost records.

    Refused while the log still holds all records or a checkpoint.

    :param folder: folder of INI files, the last known to be in force
    :param log: HOST:PORT of the log service
    :param timeout_s: longest time to read the log and to append
    """
    from briardock._publisher import restore_folder

    async def run(view: "LogView") -> int:
        return await restore_folder(folder, view)

    version, _ = _with_log(log, timeout_s, run)
    print(f"restored version {version}")


def status(*nodes: str, token: str = "") -> None:
    """Print the status of nodes.

    :param nodes: HOST:PORT of their admin endpoints
    :param token: bearer token of the nodes; defaults to $BRIARDOCK_TOKEN
    """
    if not nodes:
        raise BriardockError("no node given", "give HOST:PORT of admin endpoints")
    failures: list[NodeUnavailableError] = []
    for node in nodes:
        try:
            _print_json({node: _ask_node(node, "GET", "/status", token)})
        except NodeUnavailableError as error:
            failures.append(error)
    if failures:
        messages = ", ".join(error.message for error in failures)
        raise NodeUnavailableError(messages, failures[0].remedy)


def dump(node: str, *, token: str = "") -> None:
    """Print the full state of a node.

    :param node: HOST:PORT of its admin endpoint
    :param token: bearer token of the node; defaults to $BRIARDOCK_TOKEN
    """
    _print_json(_ask_node(node, "GET", "/dump", token))


def drain(node: str, *, timeout_s: float = 60.0, token: str = "") -> None:
    """Make a node refuse new work and wait until nothing is in flight.

    :param node: HOST:PORT of its admin endpoint
    :param timeout_s: longest time to wait for its response
    :param token: bearer token of the node; defaults to $BRIARDOCK_TOKEN
    """
    _print_json(_ask_node(node, "POST", "/drain", token, timeout_s=timeout_s))


def quarantine_list(node: str, *, token: str = "") -> None:
    """Print the requests that nodes refuse because their targets died.

    :param node: HOST:PORT of the admin endpoint of any node
    :param token: bearer token of the node; defaults to $BRIARDOCK_TOKEN
    """
    _print_json(_ask_node(node, "GET", "/quarantine", token))


def quarantine_lift(node: str, fingerprint: str, *, token: str = "") -> None:
    """Remove a request from the quarantine, so that it is admitted again.

    :param node: HOST:PORT of the admin endpoint of any node
    :param fingerprint: a fingerprint from the output of 'quarantine list'
    :param token: bearer token of the node; defaults to $BRIARDOCK_TOKEN
    """
    content = {"fingerprint": fingerprint}
    _print_json(_ask_node(node, "POST", "/quarantine/lift", token, content))


def settings() -> None:
    """Print all settings of a node in Markdown."""
    from briardock.settings import settings_page

    print(settings_page(), end="")


def explain(request_id: str, *files: str) -> None:
    """Trace one request through the logs of platform nodes.

    :param request_id: id of the request
    :param files: log files of any number of nodes; standard input if none
    """
    from briardock.mesh.explain import explain_files

    try:
        print("\n".join(explain_files(request_id, list(files))))
    except OSError as error:
        raise SettingsError(
            f"cannot read {error.filename}: {error.strerror}", "name readable log files"
        ) from error


COMMANDS: dict[str, Any] = {
    "check": check,
    "fetch": fetch,
    "publish": publish,
    "restore": restore,
    "status": status,
    "dump": dump,
    "drain": drain,
    "quarantine": {"list": quarantine_list, "lift": quarantine_lift},
    "settings": settings,
    "explain": explain,
    "check-platform": check_platform,
}


def main(argv: list[str] | None = None) -> None:
    """Run the command line and exit.

    :param argv: arguments; defaults to those of the process
    """
    try:
        _run(argv)
    except BriardockError as error:
        _fail(str(error), error.exit_code)
    except KeyboardInterrupt:
        _fail("interrupted", EXIT_INTERRUPTED)
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(1)
    except OSError as error:
        where = f"{error.filename}: " if error.filename else ""
        _fail(f"{where}{error.strerror or error}", BriardockError.exit_code)
    except Exception as error:
        if os.environ.get(DEBUG_VARIABLE):
            raise
        _fail(
            f"internal error: {type(error).__name__}: {error}; "
            f"set {DEBUG_VARIABLE}=1 for details and report it",
            EXIT_INTERNAL,
        )


def _run(argv: list[str] | None) -> None:
    """Parse the arguments and run the command."""
    import defopt

    defopt.run(
        COMMANDS,
        argv=argv,
        short={},
        no_negated_flags=True,
        argparse_kwargs={
            "prog": "briardock",
            "description": "Check and publish configuration, and query nodes.",
            "epilog": EXIT_CODES,
        },
    )


def _fail(message: str, exit_code: int) -> None:
    """Print the message on one line and exit."""
    print(f"briardock: {' '.join(message.split())}", file=sys.stderr)
    sys.exit(exit_code)


def _with_log(
    address: str, timeout_s: float, action: Callable[..., Any]
) -> tuple[Any, "LogView"]:
    """Run an action with a view of the log, and return its result and the view."""
    import anyio
    import logbook

    from briardock._address import parse_address
    from briardock._publisher import LogView
    from briardock.platformlog import make_log_client

    host, port = parse_address(address)

    async def run() -> tuple[Any, LogView]:
        client = make_log_client(host, port, min(timeout_s, 2.0) * 1000)
        view = LogView(client, timeout_s)
        try:
            return await action(view), view
        finally:
            await client.close()

    # Log events are meant for nodes; the command prints its own messages instead.
    with logbook.NullHandler().applicationbound():
        return anyio.run(run)


def _wait_in_force(version: int, nodes: list[str], token: str, wait_s: float) -> None:
    """Wait until nodes report a version or a later one.

    :raises NodeUnavailableError: naming the nodes that do not report it in time
    """
    deadline_s = time.monotonic() + wait_s
    pending = {node: "no response" for node in nodes}
    while True:
        for node in list(pending):
            try:
                response = _ask_node(node, "GET", "/status", token)
            except NodeUnavailableError as error:
                pending[node] = error.message
                continue
            reported_version = _version_in(response)
            pending[node] = f"{node} has version {reported_version}"
            if reported_version is not None and reported_version >= version:
                del pending[node]
        if not pending:
            return
        if time.monotonic() >= deadline_s:
            raise NodeUnavailableError(
                f"version {version} is published but not in force after {wait_s:g} s: "
                f"{'; '.join(pending.values())}",
                "see 'briardock status' of these nodes",
            )
        time.sleep(STATUS_POLL_INTERVAL_S)


def _version_in(status: object) -> int | None:
    """Return the configuration version of a node's status, or ``None``."""
    configuration = status.get("configuration") if isinstance(status, dict) else None
    version = configuration.get("version") if isinstance(configuration, dict) else None
    return version if isinstance(version, int) else None


def _ask_node(*arguments: Any, **options: Any) -> Any:
    """Return the JSON response of an admin endpoint."""
    from briardock._nodeclient import ask_node

    return ask_node(*arguments, **options)


def _print_json(content: object) -> None:
    """Print indented JSON with sorted keys."""
    print(json.dumps(content, indent=2, sort_keys=True, ensure_ascii=False))


if __name__ == "__main__":
    main()
