"""Encoding of what nodes tell each other about retries."""

import math
from functools import lru_cache

from briardock.overload.retry_reports import RetryReport

# First bytes of a header that reports retries, and its largest length.
RETRIES = b"retries;"
MAX_RETRIES_BYTES = 100
# Results repeat a report for some ms; this number of them is kept.
KEPT_REPORTS = 1024
# A share takes 6 bits: 0 if it is not stated, otherwise 1 and the square root of the
# share in equal steps. Small shares, which are usual, are the most precise.
SHARE_MASK = 63
SHARE_STEPS = 62


def encode_share(share: float | None) -> int:
    """Return the bits for the share of a call that is a retry.

    :param share: the share, ``None`` if it is not known
    """
    if share is None:
        return 0
    return 1 + round(SHARE_STEPS * math.sqrt(share)) if share else 1


def decode_share(bits: int) -> float | None:
    """Return the share of a call that is a retry, ``None`` if it is not stated.

    :param bits: bits that end with those of the share
    """
    steps = bits & SHARE_MASK
    if steps < 2:
        return 0.0 if steps else None
    root = (steps - 1) / SHARE_STEPS
    return root * root


@lru_cache(KEPT_REPORTS)
def encode_retries(report: RetryReport) -> bytes:
    """Return the header of a result that reports retries.

    :param report: report of an instance
    """
    downstream_share = report.downstream_share
    return b"retries;%d;%d;%d;%d;%d;%d;%d" % (
        report.requests * 10,
        report.retries * 10,
        report.recent_requests * 10,
        report.recent_retries * 10,
        -1 if downstream_share is None else downstream_share * 1000,
        report.calls * 100,
        report.failures * 1000,
    )


def decode_retries(values: list[bytes]) -> RetryReport | None:
    """Return the report in the headers of a result, ``None`` without one.

    :param values: values of these headers
    """
    for value in values:
        if value.startswith(RETRIES) and len(value) <= MAX_RETRIES_BYTES:
            return _decode_report(value)
    return None


@lru_cache(KEPT_REPORTS)
def _decode_report(value: bytes) -> RetryReport | None:
    try:
        numbers = [int(part) for part in value.split(b";")[1:]]
    except ValueError:
        return None
    if len(numbers) != 7:
        return None
    requests, retries, recent, recent_retries, share, calls, failures = numbers
    if min(requests, recent, calls, failures) < 0 or share < -1:
        return None
    return RetryReport(
        requests / 10,
        retries / 10,
        recent / 10,
        recent_retries / 10,
        None if share < 0 else share / 1000,
        calls / 100,
        failures / 1000,
    )
