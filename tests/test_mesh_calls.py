"""Encoding of calls and results between nodes."""

from dataclasses import replace

import httptools
import pytest

from briardock.mesh.calls import (
    Completed,
    LoadReport,
    NotRun,
    Unknown,
    decode_call,
    decode_result,
    encode_call,
    encode_result,
)
from briardock.mesh.http1 import Request, Response
from briardock.overload.chain import ChainThreshold, InstanceThresholds
from mesh_builders import make_call


def test_call_is_unchanged_by_encoding_and_decoding() -> None:
    call = make_call(body=b"x", method=b"POST", may_hand_on=True, route_tag=0xABCDEF)
    data = encode_call(call, call.expires_s - 2.0)
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


def test_response_without_a_result_is_unknown() -> None:
    assert decode_result(Response(503)) == (Unknown("response of no node"), None)
