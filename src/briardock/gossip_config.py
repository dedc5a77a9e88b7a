"""Dissemination of configuration versions: deltas are pushed, missed ones pulled."""

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

# A pull without progress for this long may be replaced by one from another member.
PULL_TIMEOUT_MS = 1_000.0
# Delay of the next pull after the node refused a configuration, doubled each time.
MIN_BACKOFF_MS = 2_000.0
MAX_BACKOFF_MS = 60_000.0
MAX_SNAPSHOT_BYTES = 8 * 1024 * 1024
RECENT_DELTA_COUNT = 8
RECENT_DELTA_BYTES = 64 * 1024


@dataclass(slots=True)
class _Pull:
    """State of a pull: the snapshot received so far.

    :param wanted_version: version of the peer
    :param progress_ms: time of the last progress
    """

    wanted_version: int
    progress_ms: float
    version: int = 0
    checksum: int = 0
    data: bytearray = field(default_factory=bytearray)


class ConfigDissemination:
    """Pushes new versions to random members and pulls missed ones.

    :param clock: time source
    :param metrics: counters
    :param hooks: access to the configuration of the node
    :param send_to_random: sends a message to a few random members
    :param send_on_route: sends a message back on a route
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        hooks: GossipHooks,
        send_to_random: Callable[[GossipMessage], None],
        send_on_route: Callable[[Route, GossipMessage], bool],
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._hooks = hooks
        self._send_to_random = send_to_random
        self._send_on_route = send_on_route
        self._recent_deltas: list[ConfigDelta] = []
        self._pull: _Pull | None = None
        self._next_pull_ms = float("-inf")
        self._backoff_ms = 0.0

    def push(self, delta: ConfigDelta) -> None:
        """Push a delta that the node has just applied to a few members.

        Of a delta above the size bound only the version is sent; the receivers pull it.
        """
        if len(delta.payload) > MAX_DELTA_BYTES:
            self._send_to_random(ConfigNotice(delta.version))
            return
        self._store_delta(delta)
        self._send_to_random(delta)

    def on_version(self, version: int, node_id: str, route: Route) -> None:
        """Pull from a peer that has a later version.

        :param version: version of the peer
        :param node_id: id of the peer, empty if the message does not contain it
        :param route: connection to the peer
        """
        local_version = self._hooks.config_version()
        if version <= local_version:
            return
        self._hooks.on_newer_config(version, node_id)
        now_ms = self._clock.now_ms()
        if now_ms < self._next_pull_ms:
            return
        pull = self._pull
        if pull is not None and now_ms - pull.progress_ms < PULL_TIMEOUT_MS:
            return
        self._pull = _Pull(version, now_ms)
        self._metrics.count("gossip.config_pulls")
        self._send_on_route(route, ConfigPull(local_version, 0))

    def on_delta(self, delta: ConfigDelta, route: Route) -> None:
        """Apply a delta, and forward it if it was new."""
        local_version = self._hooks.config_version()
        if delta.version <= local_version:
            return
        if self._hooks.on_config_delta(delta.payload, delta.previous, delta.version):
            self._finish_pull()
            self.push(delta)
        else:
            self.on_version(delta.version, "", route)

    def on_pull(self, pull: ConfigPull, route: Route) -> None:
        """Respond with the deltas since a version, or with a snapshot chunk."""
        version = self._hooks.config_version()
        if version <= pull.have:
            return
        deltas = self._deltas_since(pull.have, version) if pull.offset == 0 else []
        for delta in deltas:
            self._send_on_route(route, delta)
        if not deltas:
            self._send_chunk(version, pull.offset, route)

    def on_snapshot(self, chunk: ConfigSnapshot, route: Route) -> None:
        """Append a chunk; request the next one or apply the complete snapshot."""
        pull = self._pull
        local_version = self._hooks.config_version()
        if pull is None or chunk.version <= local_version:
            return
        if chunk.total_bytes > MAX_SNAPSHOT_BYTES or not chunk.chunk:
            self._metrics.count("gossip.bad_messages")
            return
        if not _continues_pull(pull, chunk):
            return
        pull.version = chunk.version
        pull.checksum = chunk.checksum
        pull.progress_ms = self._clock.now_ms()
        pull.data += chunk.chunk
        if len(pull.data) < chunk.total_bytes:
            self._send_on_route(route, ConfigPull(local_version, len(pull.data)))
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
        self._send_to_random(ConfigNotice(self._hooks.config_version()))

    def _back_off(self) -> None:
        """Delay the next pull, which the next ping would start otherwise."""
        doubled_ms = max(MIN_BACKOFF_MS, 2 * self._backoff_ms)
        self._backoff_ms = min(MAX_BACKOFF_MS, doubled_ms)
        self._next_pull_ms = self._clock.now_ms() + self._backoff_ms
        self._metrics.count("gossip.config_refused")

    def _send_chunk(self, version: int, offset: int, route: Route) -> None:
        data = self._hooks.config_snapshot()
        if data is None or offset >= len(data):
            return
        chunk = data[offset : offset + CHUNK_BYTES]
        message = ConfigSnapshot(version, len(data), crc32(data), offset, chunk)
        self._send_on_route(route, message)

    def _finish_pull(self) -> None:
        pull = self._pull
        if pull is not None and self._hooks.config_version() >= pull.wanted_version:
            self._pull = None

    def _store_delta(self, delta: ConfigDelta) -> None:
        """Store a recent delta, so that a member slightly behind needs no snapshot."""
        if self._recent_deltas and self._recent_deltas[-1].version != delta.previous:
            self._recent_deltas.clear()
        self._recent_deltas.append(delta)
        while self._recent_deltas and (
            len(self._recent_deltas) > RECENT_DELTA_COUNT
            or sum(len(recent.payload) for recent in self._recent_deltas)
            > RECENT_DELTA_BYTES
        ):
            self._recent_deltas.pop(0)

    def _deltas_since(self, have: int, version: int) -> list[ConfigDelta]:
        """Return the stored deltas from one version to another, if none is missing."""
        start_indexes = [
            i for i, recent in enumerate(self._recent_deltas) if recent.previous == have
        ]
        if not start_indexes or self._recent_deltas[-1].version != version:
            return []
        return self._recent_deltas[start_indexes[0] :]


def _continues_pull(pull: _Pull, chunk: ConfigSnapshot) -> bool:
    """Return whether a chunk continues the pull; another version restarts it."""
    if chunk.offset == 0 and chunk.version != pull.version:
        pull.data.clear()
        return True
    return (
        chunk.offset == len(pull.data)
        and chunk.version == pull.version
        and chunk.checksum == pull.checksum
    )
