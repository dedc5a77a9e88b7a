"""Tests that expired work is not written on connections that are already open."""

import anyio

from briardock.messages import Answer
from briardock.outcomes import Completed
from briardock.peers import LinkFailure
from briardock.target import NotSent
from peer_fakes import client_for, echo
from target_fakes import OK, bench, replies


def test_expired_call_is_not_written_on_an_open_link() -> None:
    # Guards against an unknown outcome after a pause of the process.
    async def main() -> None:
        async with client_for(echo) as it:
            assert isinstance(await it.call(), Answer)
            failure = await it.call(remaining_ms=-1.0)
            assert failure == LinkFailure(False, "deadline")
            assert "peers.deadlines" not in it.metrics.counters

    anyio.run(main)


def test_expired_request_is_not_written_on_a_kept_connection() -> None:
    # Guards against work for a caller that has given up.
    async def main() -> None:
        async with bench(replies(OK)) as it:
            assert isinstance(await it.run(), Completed)
            assert isinstance(await it.run(remaining_ms=-1.0), NotSent)
            assert len(it.target.requests) == 1

    anyio.run(main)
