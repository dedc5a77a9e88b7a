"""Response bodies of target stand-ins, which receivers match with their request."""

import msgspec

from briardock_standins.ledger import body_digest


class ResponseBody(msgspec.Struct, frozen=True):
    """Body of a response, which identifies the request that it belongs to.

    :param nonce: nonce of the request
    :param operation: full name of the operation
    :param run: id of the run
    :param request_digest: digest of the request body
    :param error: why the operation failed, empty if it succeeded
    :param pad_bytes: length of ``pad``
    :param pad: padding
    """

    nonce: str
    operation: str
    run: str
    request_digest: str
    error: str
    pad_bytes: int
    pad: str


_decoder = msgspec.json.Decoder(ResponseBody)


def is_matching_response(body: bytes, nonce: str, request_body: bytes) -> bool:
    """Return whether a response is complete and belongs to a request.

    :param body: response body
    :param nonce: nonce of the request
    :param request_body: request body
    """
    try:
        response = _decoder.decode(body)
    except msgspec.DecodeError:
        return False
    if response.nonce != nonce or response.request_digest != body_digest(request_body):
        return False
    return len(response.pad) == response.pad_bytes


class _Failure(msgspec.Struct):
    """Fields of a refusal or of a failed response that hold its reason."""

    reason: str = ""
    error: str = ""


_failure_decoder = msgspec.json.Decoder(_Failure)


def failure_detail(body: bytes) -> str:
    """Return why a call failed, or an empty string if the body has no reason.

    :param body: body of a node's refusal or of a target's response
    """
    try:
        failure = _failure_decoder.decode(body)
    except msgspec.DecodeError:
        return ""
    return failure.reason or failure.error
