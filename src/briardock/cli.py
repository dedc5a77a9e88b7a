"""Operator command ``briardock``: check and publish configuration, ask nodes.

Heavy imports happen inside the commands, so that usage errors are quick.
"""

import json
import os
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

from briardock.exceptions import (
    BriardockError,
    ConfigurationError,
    NodeUnavailableError,
)

if TYPE_CHECKING:
    from briardock._publisher import LogView

DEFAULT_LOG = "127.0.0.1:8410"
TOKEN_VARIABLE = "BRIARDOCK_TOKEN"
DEBUG_VARIABLE = "BRIARDOCK_DEBUG"
REQUEST_TIMEOUT_S = 5.0
POLL_PAUSE_S = 0.2
EXIT_INTERNAL = 70
EXIT_INTERRUPTED = 130
EXIT_CODES = (
    "Exit codes: 0 done; 1 other error or bad usage; 2 bad settings or usage; "
    "3 configuration does not pass its checks; 4 another publish changed the same "
    "file first; 5 log service unavailable or outcome unknown; 6 node unavailable or "
    "not up to date in time; 70 internal error; 130 interrupted."
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
    for warning in checked.warnings:
        print(f"warning: {folder}/{warning}", file=sys.stderr)
    print(
        f"{folder}: {len(files)} files, {len(checked.services)} services, "
        f"{len(checked.operations)} operations, {len(checked.classes)} classes; "
        f"weighs {checked.policy.weigh}; {len(checked.warnings)} warnings"
    )


def fetch(
    folder: Path,
    *,
    log: str = DEFAULT_LOG,
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
        return fetch_into(folder, view.state, overwrite)

    count, view = _with_log(log, timeout_s, run)
    print(f"{folder}: {count} files of version {view.state.version}")


def publish(
    folder: Path,
    *,
    log: str = DEFAULT_LOG,
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
    :param base_current: replace what is published now, without a fetch before
    :param wait_s: time to wait until the nodes have it in force; 0 not to wait
    :param admin: HOST:PORT of admin endpoints of the nodes to wait for
    :param token: bearer token of the nodes; defaults to $BRIARDOCK_TOKEN
    """
    from briardock._publisher import Published, publish_folder

    if wait_s > 0 and not admin:
        raise BriardockError("--wait-s needs nodes to wait for", "give --admin")

    async def run(view: "LogView") -> Published:
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


def status(*nodes: str, token: str = "") -> None:
    """Print the status of nodes.

    :param nodes: HOST:PORT of their admin endpoints
    :param token: bearer token of the nodes; defaults to $BRIARDOCK_TOKEN
    """
    if not nodes:
        raise BriardockError("no node given", "give HOST:PORT of admin endpoints")
    for node in nodes:
        _print_json({node: _ask(node, "GET", "/status", token)})


def dump(node: str, *, token: str = "") -> None:
    """Print the whole state of a node.

    :param node: HOST:PORT of its admin endpoint
    :param token: bearer token of the node; defaults to $BRIARDOCK_TOKEN
    """
    _print_json(_ask(node, "GET", "/dump", token))


def drain(node: str, *, timeout_s: float = 60.0, token: str = "") -> None:
    """Make a node refuse new work and wait until nothing is in flight.

    :param node: HOST:PORT of its admin endpoint
    :param timeout_s: longest time to wait for its answer
    :param token: bearer token of the node; defaults to $BRIARDOCK_TOKEN
    """
    _print_json(_ask(node, "POST", "/drain", token, timeout_s=timeout_s))


def quarantine_list(node: str, *, token: str = "") -> None:
    """Print the requests that nodes refuse because their targets died.

    :param node: HOST:PORT of the admin endpoint of any node
    :param token: bearer token of the node; defaults to $BRIARDOCK_TOKEN
    """
    _print_json(_ask(node, "GET", "/quarantine", token))


def quarantine_lift(node: str, fingerprint: str, *, token: str = "") -> None:
    """Admit a quarantined request again.

    :param node: HOST:PORT of the admin endpoint of any node
    :param fingerprint: from the list
    :param token: bearer token of the node; defaults to $BRIARDOCK_TOKEN
    """
    content = {"fingerprint": fingerprint}
    _print_json(_ask(node, "POST", "/quarantine/lift", token, content))


def settings() -> None:
    """Print all settings of a node in Markdown."""
    from briardock.settings import settings_page

    print(settings_page(), end="")


COMMANDS: dict[str, Any] = {
    "check": check,
    "fetch": fetch,
    "publish": publish,
    "status": status,
    "dump": dump,
    "drain": drain,
    "quarantine": {"list": quarantine_list, "lift": quarantine_lift},
    "settings": settings,
}


def main(argv: list[str] | None = None) -> None:
    """Run the command line and exit.

    :param argv: arguments; defaults to those of the process
    """
    try:
        _run(argv)
    except BriardockError as error:
        _fail(" ".join(str(error).split()), error.exit_code)
    except KeyboardInterrupt:
        _fail("interrupted", EXIT_INTERRUPTED)
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(1)
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
            "description": "Check and publish configuration, and ask nodes.",
            "epilog": EXIT_CODES,
        },
    )


def _fail(message: str, exit_code: int) -> None:
    """Print one line and exit."""
    print(f"briardock: {message}", file=sys.stderr)
    sys.exit(exit_code)


def _with_log(
    address: str, timeout_s: float, action: Callable[..., Any]
) -> tuple[Any, "LogView"]:
    """Run an action with a view of the log, and return its result and the view."""
    import anyio
    import logbook

    from briardock._publisher import LogView
    from briardock.platformlog import make_log_client

    host, port = _parse_address(address)

    async def run() -> tuple[Any, LogView]:
        client = make_log_client(host, port, min(timeout_s, 2.0) * 1000)
        view = LogView(client, timeout_s)
        try:
            return await action(view), view
        finally:
            await client.close()

    # Events are for the log of a node; the command reports by its own messages.
    with logbook.NullHandler().applicationbound():
        return anyio.run(run)


def _wait_in_force(version: int, nodes: list[str], token: str, wait_s: float) -> None:
    """Wait until nodes report a version or a later one.

    :raises NodeUnavailableError: naming the nodes that do not in time
    """
    deadline_s = time.monotonic() + wait_s
    waiting = {node: "no answer" for node in nodes}
    while True:
        for node in list(waiting):
            try:
                answer = _ask(node, "GET", "/status", token)
            except NodeUnavailableError as error:
                waiting[node] = error.message
                continue
            found = answer.get("configuration_version", -1)
            waiting[node] = f"{node} has version {found}"
            if found >= version:
                del waiting[node]
        if not waiting:
            return
        if time.monotonic() >= deadline_s:
            raise NodeUnavailableError(
                f"version {version} is published but not in force after {wait_s:g} s: "
                f"{'; '.join(waiting.values())}",
                "see 'briardock status' of these nodes",
            )
        time.sleep(POLL_PAUSE_S)


def _ask(
    node: str,
    method: str,
    path: str,
    token: str,
    content: object = None,
    timeout_s: float = REQUEST_TIMEOUT_S,
) -> Any:
    """Return the JSON answer of an admin endpoint.

    :raises NodeUnavailableError: if there is none
    """
    import httpx

    host, port = _parse_address(node)
    host = f"[{host}]" if ":" in host else host
    token = token or os.environ.get(TOKEN_VARIABLE, "")
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    try:
        answer = httpx.request(
            method,
            f"http://{host}:{port}{path}",
            headers=headers,
            json=content,
            timeout=timeout_s,
            trust_env=False,
        )
    except (httpx.HTTPError, httpx.InvalidURL, UnicodeEncodeError) as error:
        raise NodeUnavailableError(
            f"node {node} cannot be asked: {error}",
            "check the address of its admin endpoint and that it runs",
        ) from error
    return _answer_content(node, path, answer)


def _answer_content(node: str, path: str, answer: Any) -> Any:
    """Return the content of an answer.

    :raises NodeUnavailableError: if it is an error or no JSON
    """
    if answer.status_code in (401, 403):
        raise NodeUnavailableError(
            f"node {node} refused the token", f"set {TOKEN_VARIABLE} or give --token"
        )
    try:
        content = answer.json()
    except ValueError:
        content = None
    if answer.is_success and content is not None:
        return content
    message, remedy = answer.text[:200], "check the address and the node's log"
    if isinstance(content, dict):
        message = content.get("error") or content.get("detail") or message
        remedy = content.get("remedy") or remedy
    raise NodeUnavailableError(
        f"node {node} answered {answer.status_code} to {path}: {message}", remedy
    )


def _parse_address(text: str) -> tuple[str, int]:
    """Return host and port of a ``host:port`` text.

    :raises BriardockError: if it is none
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise BriardockError(
            f"'{text}' is not HOST:PORT", "write it like 127.0.0.1:8403"
        )
    return host.strip("[]"), int(port)


def _print_json(content: object) -> None:
    """Print JSON for people."""
    print(json.dumps(content, indent=2, sort_keys=True, ensure_ascii=False))


if __name__ == "__main__":
    main()
