"""Requests of the operator command to admin endpoints of nodes."""

import os
from typing import Any

import httpx

from briardock._address import parse_address
from briardock.exceptions import NodeUnavailableError

TOKEN_VARIABLE = "BRIARDOCK_TOKEN"
REQUEST_TIMEOUT_S = 5.0


def ask_node(
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
    host, port = parse_address(node)
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


def _answer_content(node: str, path: str, answer: httpx.Response) -> Any:
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
