"""Published state as an operator reads it from the log."""

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
RETRY_PAUSE_S = 0.2


class LogView:
    """The published state as an operator reads it from the log.

    :param client: client of the log
    :param timeout_s: longest time for one command
    """

    def __init__(self, client: LogClient, timeout_s: float) -> None:
        self.state: ConfigState = make_config_state()
        self.authors: dict[str, str] = {}
        self._failure = "it has too many records"
        self._may_skip = True
        self._client = client
        self._timeout_s = timeout_s

    async def read_to_end(self) -> None:
        """Read all records that the log holds now.

        :raises LogUnavailableError: if the log does not answer in time
        """
        with anyio.move_on_after(self._timeout_s):
            while not await self._read_once(0.0):
                pass
            return
        raise LogUnavailableError(
            f"the log was not read within {self._timeout_s:g} s: {self._failure}",
            "check the log service or raise --timeout-s",
        )

    async def append_checkpoint(self, files: Mapping[str, str]) -> int:
        """Append a checkpoint of given files and return its version.

        :raises LogUnavailableError: if the log does not take it in time
        """
        as_of = self.state.next_offset - 1
        entries = {name: FileVersion(as_of, text) for name, text in files.items()}
        digest = digest_of(as_of, entries)
        body = encode_record(Checkpoint(as_of, as_of, entries, [], digest))
        with anyio.move_on_after(self._timeout_s):
            # Appending twice is harmless: the second one changes nothing.
            while isinstance(await self._client.append(STREAM, body), LogFailure):
                await anyio.sleep(RETRY_PAUSE_S)
            while self.state.is_incomplete:
                await self._read_once(READ_WAIT_MS)
            return as_of
        raise LogUnavailableError("the log took no checkpoint", "try again later")

    async def send(self, record: Publish) -> ChangeResult:
        """Append a change and return what became of it.

        The change id makes it safe to append again when the outcome is unknown.

        :raises LogUnavailableError: if the outcome is still unknown in the end
        """
        body = encode_record(record)
        if len(body) > MAX_PUBLISH_BYTES:
            raise ConfigurationError(
                f"the change has {len(body)} bytes, more than {MAX_PUBLISH_BYTES}",
                "publish fewer files at a time",
            )
        detail, uncertain = "no answer", False
        with anyio.move_on_after(self._timeout_s):
            while True:
                appended = await self._client.append(STREAM, body)
                if isinstance(appended, LogFailure):
                    detail = appended.detail
                    uncertain = uncertain or appended.outcome_unknown
                if not isinstance(appended, LogFailure) or appended.outcome_unknown:
                    found = await self._find(record.change_id, appended)
                    if found:
                        return found
                await anyio.sleep(RETRY_PAUSE_S)
        if uncertain:
            raise LogUnavailableError(
                f"outcome of change {record.change_id} is unknown: {detail}",
                "run publish again; it sends nothing if the change took effect",
            )
        raise LogUnavailableError(f"nothing was published: {detail}", "try again later")

    async def _find(
        self, change_id: str, appended: int | LogFailure
    ) -> ChangeResult | None:
        """Read on until a change shows up or the end of the log is reached."""
        while True:
            at_end = await self._read_once(READ_WAIT_MS)
            if result := self.state.result_of(change_id):
                return result
            if at_end and isinstance(appended, LogFailure):
                return None
            if isinstance(appended, int) and self.state.last_offset >= appended:
                return None

    async def _read_once(self, wait_ms: float) -> bool:
        """Apply the next records and return whether the end is reached."""
        state = self.state
        result = await self._client.read(
            STREAM, state.next_offset, READ_RECORDS, wait_ms
        )
        if isinstance(result, LogFailure):
            self._failure = result.detail
            await anyio.sleep(RETRY_PAUSE_S)
            return False
        state.observe_log(result.first, result.next)
        if await self._skip(result):
            return False
        for item in result.records:
            was_incomplete = state.is_incomplete
            if isinstance(state.apply(item.offset, item.body), Accepted):
                self._note_author(item.body)
            if was_incomplete and not state.is_incomplete:
                break
        return state.next_offset >= result.next

    async def _skip(self, result: ReadResult) -> bool:
        """Replace a long replay by a checkpoint, once, and return whether done."""
        if not self._may_skip:
            return False
        self._may_skip = False
        backlog = result.next - self.state.next_offset
        return backlog > CHECKPOINT_RECORDS and await skip_to_checkpoint(
            self._client, self.state, result.first, result.next
        )

    def _note_author(self, body: bytes) -> None:
        """Remember who changed which file last."""
        record = decode_record(body)
        if isinstance(record, Publish):
            self.authors.update(dict.fromkeys(record.changes, record.author))

    def require_complete(self) -> None:
        """Check that the state could be reconstructed."""
        if self.state.is_incomplete:
            raise LogUnavailableError(
                "old records were trimmed and no checkpoint covers them",
                "wait until a running node has appended a checkpoint; if none can, "
                "give the last known files to 'briardock restore'",
            )
