"""Spread of configuration versions: push of deltas, pull when behind."""

from collections.abc import Callable
from dataclasses import dataclass, field
from zlib import crc32

from briardock.clock import Clock
from briardock.gossip_links import Route
from briardock.gossip_messages import (
    CHUNK_BYTES,
    MAX_DELTA_BYTES,
    ConfigDelta,
    ConfigNotice,
    ConfigPull,
    ConfigSnapshot,
    GossipMessage,
)
from briardock.gossip_settings import GossipHooks
from briardock.metrics import Metrics

# A pull without progress for this long is given up for one from another member.
PULL_TIMEOUT_MS = 1_000.0
# Wait after the node refused a pulled configuration, doubled each time.
MIN_BACKOFF_MS = 2_000.0
MAX_BACKOFF_MS = 60_000.0
MAX_SNAPSHOT_BYTES = 8 * 1024 * 1024
KEPT_DELTA_COUNT = 8
KEPT_DELTA_BYTES = 64 * 1024


@dataclass(slots=True)
class _Pull:
    """Snapshot being received.

    :param wanted: version seen at the peer
    :param progress_ms: time of the last sign of progress
    """

    wanted: int
    progress_ms: float
    version: int = 0
    checksum: int = 0
    data: bytearray = field(default_factory=bytearray)


class ConfigSpread:
    """Pushes new versions to random members and pulls missed ones.

    :param clock: time source
    :param metrics: counters
    :param hooks: access to the node's configuration
    :param spread: sends a message to a few random members
    :param reply: sends a message back on a route
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        hooks: GossipHooks,
        spread: Callable[[GossipMessage], None],
        reply: Callable[[Route, GossipMessage], bool],
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._hooks = hooks
        self._spread = spread
        self._reply = reply
        self._kept: list[ConfigDelta] = []
        self._pull: _Pull | None = None
        self._pull_after_ms = float("-inf")
        self._backoff_ms = 0.0

    def push(self, delta: ConfigDelta) -> None:
        """Send a delta that the node has just applied to a few members.

        A delta above the size bound is announced instead, and pulled.
        """
        if len(delta.payload) > MAX_DELTA_BYTES:
            self._spread(ConfigNotice(delta.version))
            return
        self._keep(delta)
        self._spread(delta)

    def on_version(self, version: int, node_id: str, route: Route) -> None:
        """Pull from a peer that has a later version.

        :param version: version of the peer
        :param node_id: peer, or empty where the message does not name it
        :param route: way back to the peer
        """
        own = self._hooks.config_version()
        if version <= own:
            return
        self._hooks.config_behind(version, node_id)
        now_ms = self._clock.now_ms()
        if now_ms < self._pull_after_ms:
            return
        pull = self._pull
        if pull is not None and now_ms - pull.progress_ms < PULL_TIMEOUT_MS:
            return
        self._pull = _Pull(version, now_ms)
        self._metrics.count("gossip.config_pulls")
        self._reply(route, ConfigPull(own, 0))

    def on_delta(self, delta: ConfigDelta, route: Route) -> None:
        """Apply a delta, and forward it when it was new."""
        own = self._hooks.config_version()
        if delta.version <= own:
            return
        if self._hooks.on_config_delta(delta.payload, delta.previous, delta.version):
            self._finish_pull()
            self.push(delta)
        else:
            self.on_version(delta.version, "", route)

    def on_pull(self, pull: ConfigPull, route: Route) -> None:
        """Answer with the deltas since a version, or with a snapshot chunk."""
        version = self._hooks.config_version()
        if version <= pull.have:
            return
        chain = self._chain(pull.have, version) if pull.offset == 0 else []
        for delta in chain:
            self._reply(route, delta)
        if not chain:
            self._send_chunk(version, pull.offset, route)

    def on_snapshot(self, chunk: ConfigSnapshot, route: Route) -> None:
        """Add a chunk; ask for the next one or apply the whole."""
        pull = self._pull
        own = self._hooks.config_version()
        if pull is None or chunk.version <= own:
            return
        if chunk.total_bytes > MAX_SNAPSHOT_BYTES or not chunk.chunk:
            self._metrics.count("gossip.bad_messages")
            return
        if not _fits(pull, chunk):
            return
        pull.version = chunk.version
        pull.checksum = chunk.checksum
        pull.progress_ms = self._clock.now_ms()
        pull.data += chunk.chunk
        if len(pull.data) < chunk.total_bytes:
            self._reply(route, ConfigPull(own, len(pull.data)))
        else:
            self._apply(pull, chunk)

    def _apply(self, pull: _Pull, chunk: ConfigSnapshot) -> None:
        data = bytes(pull.data)
        self._pull = None
        if len(data) != chunk.total_bytes or crc32(data) != chunk.checksum:
            self._metrics.count("gossip.bad_messages")
            return
        self._hooks.on_config_snapshot(chunk.version, data)
        if self._hooks.config_version() < chunk.version:
            self._back_off()
            return
        self._backoff_ms = 0.0
        self._spread(ConfigNotice(self._hooks.config_version()))

    def _back_off(self) -> None:
        """Wait before the next pull; each ping would start one otherwise."""
        doubled_ms = max(MIN_BACKOFF_MS, 2 * self._backoff_ms)
        self._backoff_ms = min(MAX_BACKOFF_MS, doubled_ms)
        self._pull_after_ms = self._clock.now_ms() + self._backoff_ms
        self._metrics.count("gossip.config_refused")

    def _send_chunk(self, version: int, offset: int, route: Route) -> None:
        data = self._hooks.config_snapshot()
        if data is None or offset >= len(data):
            return
        chunk = data[offset : offset + CHUNK_BYTES]
        message = ConfigSnapshot(version, len(data), crc32(data), offset, chunk)
        self._reply(route, message)

    def _finish_pull(self) -> None:
        pull = self._pull
        if pull is not None and self._hooks.config_version() >= pull.wanted:
            self._pull = None

    def _keep(self, delta: ConfigDelta) -> None:
        """Keep recent deltas, so that a member slightly behind gets only those."""
        if self._kept and self._kept[-1].version != delta.previous:
            self._kept.clear()
        self._kept.append(delta)
        while self._kept and (
            len(self._kept) > KEPT_DELTA_COUNT
            or sum(len(kept.payload) for kept in self._kept) > KEPT_DELTA_BYTES
        ):
            self._kept.pop(0)

    def _chain(self, have: int, version: int) -> list[ConfigDelta]:
        """Return the kept deltas from one version to another, if all are there."""
        starts = [i for i, kept in enumerate(self._kept) if kept.previous == have]
        if not starts or self._kept[-1].version != version:
            return []
        return self._kept[starts[0] :]


def _fits(pull: _Pull, chunk: ConfigSnapshot) -> bool:
    """Return whether a chunk continues the pull; a newer version restarts it."""
    if chunk.offset == 0 and chunk.version != pull.version:
        pull.data.clear()
        return True
    return (
        chunk.offset == len(pull.data)
        and chunk.version == pull.version
        and chunk.checksum == pull.checksum
    )
