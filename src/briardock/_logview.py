"""Published state, as read from the log by the commands of operators."""

from collections.abc import Mapping

import anyio

from briardock._records import (
    MAX_PUBLISH_BYTES,
    STREAM,
    ChangeResult,
    Checkpoint,
    FileVersion,
    Publish,
    decode_record,
    digest_of,
    encode_record,
)
from briardock.exceptions import ConfigurationError, LogUnavailableError
from briardock.platformlog import LogClient, LogFailure, ReadResult
from briardock.publishing import (
    CHECKPOINT_RECORDS,
    Accepted,
    ConfigState,
    make_config_state,
    skip_to_checkpoint,
)

READ_RECORDS = 200
READ_WAIT_MS = 200.0
RETRY_DELAY_S = 0.2


class LogView:
    """Published state, as read from the log by one command.

    :param client: client of the log
    :param timeout_s: longest time for one operation
    """

    def __init__(self, client: LogClient, timeout_s: float) -> None:
        self.state: ConfigState = make_config_state()
        self.authors: dict[str, str] = {}
        self._last_failure = "it has too many records"
        self._may_skip = True
        self._client = client
        self._timeout_s = timeout_s

    async def read_to_end(self) -> None:
        """Read all records up to the current end of the log.

        :raises LogUnavailableError: if the end is not reached in time
        """
        with anyio.move_on_after(self._timeout_s):
            while not await self._read_once(0.0):
                pass
            return
        raise LogUnavailableError(
            f"the log was not read within {self._timeout_s:g} s: {self._last_failure}",
            "check the log service or raise --timeout-s",
        )

    async def append_checkpoint(self, files: Mapping[str, str]) -> int:
        """Append a checkpoint of the given files and return its version.

        :raises LogUnavailableError: if the log does not accept it in time
        """
        as_of = self.state.next_offset - 1
        entries = {name: FileVersion(as_of, text) for name, text in files.items()}
        digest = digest_of(as_of, entries)
        body = encode_record(Checkpoint(as_of, as_of, entries, [], digest))
        with anyio.move_on_after(self._timeout_s):
            # A second copy of the checkpoint has no effect.
            while isinstance(await self._client.append(STREAM, body), LogFailure):
                await anyio.sleep(RETRY_DELAY_S)
            while self.state.is_incomplete:
                await self._read_once(READ_WAIT_MS)
            return as_of
        raise LogUnavailableError("the log accepted no checkpoint", "try again later")

    async def send(self, record: Publish) -> ChangeResult:
        """Append a change and return its result.

        The change id makes it safe to retry an append whose outcome is unknown.

        :raises LogUnavailableError: if there is no result in time
        """
        body = encode_record(record)
        if len(body) > MAX_PUBLISH_BYTES:
            raise ConfigurationError(
                f"change of {len(body)} bytes exceeds the limit of {MAX_PUBLISH_BYTES}",
                "publish fewer files at a time",
            )
        detail, outcome_unknown = "no response", False
        with anyio.move_on_after(self._timeout_s):
            while True:
                append_result = await self._client.append(STREAM, body)
                if isinstance(append_result, LogFailure):
                    detail = append_result.detail
                    outcome_unknown = outcome_unknown or append_result.outcome_unknown
                if (
                    not isinstance(append_result, LogFailure)
                    or append_result.outcome_unknown
                ):
                    change_result = await self._wait_for_result(
                        record.change_id, append_result
                    )
                    if change_result:
                        return change_result
                await anyio.sleep(RETRY_DELAY_S)
        if outcome_unknown:
            raise LogUnavailableError(
                f"outcome of change {record.change_id} is unknown: {detail}",
                "run publish again; it sends nothing if the change took effect",
            )
        raise LogUnavailableError(f"nothing was published: {detail}", "try again later")

    async def _wait_for_result(
        self, change_id: str, append_result: int | LogFailure
    ) -> ChangeResult | None:
        """Read until a change is found or the end of the log is reached."""
        while True:
            at_end = await self._read_once(READ_WAIT_MS)
            if result := self.state.result_of(change_id):
                return result
            if at_end and isinstance(append_result, LogFailure):
                return None
            if (
                isinstance(append_result, int)
                and self.state.last_offset >= append_result
            ):
                return None

    async def _read_once(self, wait_ms: float) -> bool:
        """Apply the next records and return whether the end of the log is reached."""
        state = self.state
        result = await self._client.read(
            STREAM, state.next_offset, READ_RECORDS, wait_ms
        )
        if isinstance(result, LogFailure):
            self._last_failure = result.detail
            await anyio.sleep(RETRY_DELAY_S)
            return False
        state.observe_log(result.first, result.next)
        if await self._skip_replay(result):
            return False
        for item in result.records:
            was_incomplete = state.is_incomplete
            if isinstance(state.apply(item.offset, item.body), Accepted):
                self._record_authors(item.body)
            if was_incomplete and not state.is_incomplete:
                break
        return state.next_offset >= result.next

    async def _skip_replay(self, result: ReadResult) -> bool:
        """Replace a long replay with a checkpoint once; return whether it was done."""
        if not self._may_skip:
            return False
        self._may_skip = False
        backlog = result.next - self.state.next_offset
        return backlog > CHECKPOINT_RECORDS and await skip_to_checkpoint(
            self._client, self.state, result.first, result.next
        )

    def _record_authors(self, body: bytes) -> None:
        """Record the author of the last change of each file."""
        record = decode_record(body)
        if isinstance(record, Publish):
            self.authors.update(dict.fromkeys(record.changes, record.author))

    def require_complete(self) -> None:
        """Check that the log has all records or a checkpoint that replaces them.

        :raises LogUnavailableError: if records are missing
        """
        if self.state.is_incomplete:
            raise LogUnavailableError(
                "older records were trimmed and no checkpoint covers them",
                "wait until a running node has appended a checkpoint; if none can, "
                "give the last known files to 'briardock restore'",
            )
