"""HTTP client of the operator command for the admin endpoints of nodes."""

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
    """Return the JSON response of an admin endpoint.

    :raises NodeUnavailableError: if the request fails or the response is an error
    """
    host, port = parse_address(node)
    host = f"[{host}]" if ":" in host else host
    token = token or os.environ.get(TOKEN_VARIABLE, "")
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    try:
        response = httpx.request(
            method,
            f"http://{host}:{port}{path}",
            headers=headers,
            json=content,
            timeout=timeout_s,
            trust_env=False,
        )
    except (httpx.HTTPError, httpx.InvalidURL, UnicodeEncodeError) as error:
        raise NodeUnavailableError(
            f"request to node {node} failed: {error}",
            "check the address of its admin endpoint and that it runs",
        ) from error
    return _decode_response(node, path, response)


def _decode_response(node: str, path: str, response: httpx.Response) -> Any:
    """Return the decoded JSON body of a response.

    :raises NodeUnavailableError: if it is an error or not JSON
    """
    if response.status_code in (401, 403):
        raise NodeUnavailableError(
            f"node {node} refused the token", f"set {TOKEN_VARIABLE} or give --token"
        )
    try:
        content = response.json()
    except ValueError:
        content = None
    if response.is_success and content is not None:
        return content
    message, remedy = response.text[:200], "check the address and the node's log"
    if isinstance(content, dict):
        message = content.get("error") or content.get("detail") or message
        remedy = content.get("remedy") or remedy
    raise NodeUnavailableError(
        f"node {node} responded {response.status_code} to {path}: {message}", remedy
    )
