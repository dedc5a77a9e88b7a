"""Encoding of calls and results between nodes."""

from dataclasses import replace

import httptools
import pytest

from briardock.mesh.calls import (
    ACCOUNT_HEADER,
    CALL_HEADER,
    RESULT_HEADER,
    Call,
    Completed,
    LoadReport,
    NotRun,
    Unknown,
    decode_call,
    decode_result,
    encode_call_head,
    encode_result,
)
from briardock.mesh.http1 import Request, Response
from briardock.overload.chain import ChainThreshold, InstanceThresholds
from briardock.overload.retry_reports import RetryReport
from briardock.overload.target_work import RunWork, WorkReport
from mesh_builders import make_call


@pytest.mark.parametrize("account", [None, "", "a", "b;c,d=\u00e9 e"])
def test_call_is_unchanged_by_encoding_and_decoding(account: str | None) -> None:
    """A name may hold separators; without accounts there is no header for them."""
    call = make_call(body=b"x", method=b"POST", account=account, route_tag=0xABCDEF)
    data = encode_call_head(call, call.expires_s - 2.0) + call.body
    parsed: list[Request] = []

    class Sink:
        def __init__(self) -> None:
            self.headers: list[tuple[bytes, bytes]] = []

        def on_url(self, url: bytes) -> None:
            self.url = url

        def on_header(self, name: bytes, value: bytes) -> None:
            self.headers.append((name.lower(), value))

    sink = Sink()
    parser = httptools.HttpRequestParser(sink)
    parser.feed_data(data)
    parsed.append(Request(parser.get_method(), sink.url, sink.headers, b"x", 50.0))
    decoded = decode_call(parsed[0])
    assert decoded == replace(call, expires_s=decoded.expires_s if decoded else 0.0)
    names = [name for name, _ in sink.headers]
    assert (ACCOUNT_HEADER in names) is (account is not None)
    assert 51.9 < decoded.expires_s < 52.0


@pytest.mark.parametrize(
    "result",
    [
        Completed(Response(200, [(b"a", b"1")], b"body")),
        NotRun("target leaving"),
        NotRun("full", arrived=True),
        Unknown("lost"),
    ],
)
def test_result_is_unchanged_by_encoding_and_decoding(result: object) -> None:
    load = LoadReport(
        7,
        InstanceThresholds(
            1.5, {"maps": ChainThreshold(2.0, 0.25), "a=b": ChainThreshold(1.0, 0)}
        ),
    )
    response = encode_result(result, load)  # type: ignore[arg-type]
    assert decode_result(response) == (result, load)


WORK = WorkReport(0.0125, -3, 2.5, RunWork(0.05, 0.04))


@pytest.mark.parametrize("work", [WORK, WorkReport(0.0, 5, 1.0, None)])
@pytest.mark.parametrize(
    "result",
    [Completed(Response(200, [(b"a", b"1")], b"b")), NotRun("full", busy=True)],
)
def test_work_is_unchanged_by_encoding_and_decoding(
    result: Completed | NotRun, work: WorkReport
) -> None:
    load = LoadReport(7, InstanceThresholds(1.5, {}), work)
    assert decode_result(encode_result(result, load)) == (result, load)


def test_a_node_of_the_earlier_release_reads_results_with_work() -> None:
    """It takes the last of the headers between nodes and drops all of that name."""
    load = LoadReport(7, InstanceThresholds(1.5, {}), WORK)
    response = encode_result(Completed(Response(200)), load)
    plain = encode_result(Completed(Response(200)), replace(load, work=None))
    assert {name for name, _ in response.headers} == {RESULT_HEADER}
    assert response.headers[-1:] == plain.headers


RETRIES = RetryReport(120.5, -8.3, 30.0, 1.5, 0.125, 4.0, 0.25)


@pytest.mark.parametrize("work", [None, WORK])
@pytest.mark.parametrize(
    "retries", [RETRIES, replace(RETRIES, downstream_share=None, calls=0.0)]
)
@pytest.mark.parametrize(
    "result",
    [Completed(Response(200, [(b"a", b"1")], b"b")), NotRun("full", arrived=True)],
)
def test_retries_are_unchanged_by_encoding_and_decoding(
    result: Completed | NotRun, retries: RetryReport, work: WorkReport | None
) -> None:
    load = LoadReport(7, InstanceThresholds(1.5, {}), work, retries)
    assert decode_result(encode_result(result, load)) == (result, load)


def test_a_node_of_the_earlier_release_reads_results_with_retries() -> None:
    """It takes the last header between nodes, and the work from the one before it."""
    load = LoadReport(7, InstanceThresholds(1.5, {}), WORK, RETRIES)
    response = encode_result(Completed(Response(200)), load)
    plain = encode_result(Completed(Response(200)), replace(load, retries=None))
    assert {name for name, _ in response.headers} == {RESULT_HEADER}
    assert response.headers[-2:] == plain.headers


@pytest.mark.parametrize(
    "retries",
    [
        b"retries;1;2;3",
        b"retries;1;2;3;4;5;6;7;8",
        b"retries;-1;2;3;4;5;6;7",
        b"retries;1;2;3;4;-2;6;7",
        b"retries;1;2;x;4;5;6;7",
        b"retries;" + b"9" * 400 + b";2;3;4;5;6;7",
    ],
)
def test_malformed_retries_are_no_report(retries: bytes) -> None:
    """The result itself is still valid."""
    load = LoadReport(7, InstanceThresholds(1.5, {}))
    response = encode_result(Completed(Response(200)), load)
    response.headers.insert(0, (RESULT_HEADER, retries))
    assert decode_result(response) == (Completed(Response(200)), load)


@pytest.mark.parametrize("share", [None, 0.0, 0.001, 0.05, 0.15, 0.5, 1.0])
def test_share_of_retries_is_carried_where_the_earlier_release_ignores_it(
    share: float | None,
) -> None:
    """It reads the lowest two bits of the flags and those from the eighth on."""
    plain = make_call(route_tag=0xABCDEF, may_hand_on=True)
    call = replace(plain, retry_share=share)
    parts, plain_parts = (
        dict(_headers(item))[CALL_HEADER].split(b";") for item in (call, plain)
    )
    flags, plain_flags = int(parts[5]), int(plain_parts[5])
    assert flags & 3 == plain_flags & 3
    assert flags >> 8 == plain_flags >> 8
    assert parts[:5] + parts[6:] == plain_parts[:5] + plain_parts[6:]
    request = Request(b"GET", b"/a/1", _headers(call), b"", 50.0)
    decoded = decode_call(request)
    assert decoded is not None
    if share is None:
        assert decoded.retry_share is None
    else:
        assert decoded.retry_share == pytest.approx(share, rel=0.07, abs=0.001)


def _headers(call: Call) -> list[tuple[bytes, bytes]]:
    """Return the headers of an encoded call, with names in lower case."""
    head = encode_call_head(call, call.expires_s - 2.0)
    lines = head.split(b"\r\n\r\n")[0].split(b"\r\n")[1:]
    pairs = (line.split(b": ", 1) for line in lines)
    return [(name.lower(), value) for name, value in pairs]


@pytest.mark.parametrize(
    "work",
    [
        b"work;1;2;3",
        b"work;-1;2;100;0;0",
        b"work;1;2;0;0;0",
        b"work;1;x;100;0;0",
        b"work;" + b"9" * 400 + b";2;100;0;0",
        b"other;1;2;100;0;0",
    ],
)
def test_malformed_work_is_ignored(work: bytes) -> None:
    """The result itself is still valid."""
    load = LoadReport(7, InstanceThresholds(1.5, {}))
    response = encode_result(Completed(Response(200)), load)
    response.headers.insert(0, (RESULT_HEADER, work))
    assert decode_result(response) == (Completed(Response(200)), load)


def test_response_without_a_result_is_unknown() -> None:
    assert decode_result(Response(503)) == (Unknown("response of no node"), None)
