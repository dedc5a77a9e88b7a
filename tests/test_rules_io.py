"""Tests that expired work is not written on connections that are already open."""

import anyio

from briardock.messages import Answer
from briardock.outcomes import Completed
from briardock.peers import LinkFailure
from briardock.target import NotSent
from peer_fakes import client_for, echo
from target_fakes import OK, respond_with, target_harness


def test_expired_call_is_not_written_on_an_open_link() -> None:
    # Guards against an unknown outcome after a pause of the process.
    async def main() -> None:
        async with client_for(echo) as harness:
            assert isinstance(await harness.call(), Answer)
            failure = await harness.call(remaining_ms=-1.0)
            assert failure == LinkFailure(False, "deadline")
            assert "peers.deadlines" not in harness.metrics.counters

    anyio.run(main)


def test_expired_request_is_not_written_on_an_idle_connection() -> None:
    # Guards against work for a caller that has timed out.
    async def main() -> None:
        async with target_harness(respond_with(OK)) as harness:
            assert isinstance(await harness.run(), Completed)
            assert isinstance(await harness.run(remaining_ms=-1.0), NotSent)
            assert len(harness.target.requests) == 1

    anyio.run(main)
