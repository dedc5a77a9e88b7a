"""Answers of target stand-ins, and the check that they reach their own caller."""

import msgspec

from briardock_standins.ledger import body_digest


class Answer(msgspec.Struct, frozen=True):
    """Body of an answer, from which its receiver can tell that it is its own.

    :param nonce: nonce of the request
    :param operation: full name of the operation
    :param run: id of the run
    :param request_digest: digest of the request body
    :param error: why the operation failed, empty where it succeeded
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


_decoder = msgspec.json.Decoder(Answer)


def is_own_answer(body: bytes, nonce: str, request_body: bytes) -> bool:
    """Return whether an answer is whole and belongs to a request.

    :param body: answer body
    :param nonce: nonce of the request
    :param request_body: request body
    """
    try:
        answer = _decoder.decode(body)
    except msgspec.DecodeError:
        return False
    if answer.nonce != nonce or answer.request_digest != body_digest(request_body):
        return False
    return len(answer.pad) == answer.pad_bytes


class _Failure(msgspec.Struct):
    """Fields of a refusal or failed answer that say why."""

    reason: str = ""
    error: str = ""


_failure_decoder = msgspec.json.Decoder(_Failure)


def failure_detail(body: bytes) -> str:
    """Return why a call failed, or an empty string if its body does not say so.

    :param body: body of a refusal of a node or of an answer of a target
    """
    try:
        failure = _failure_decoder.decode(body)
    except msgspec.DecodeError:
        return ""
    return failure.reason or failure.error
