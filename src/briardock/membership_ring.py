"""Probe order and random sampling of members."""

import random
from collections.abc import Callable, Collection, Iterable

SAMPLE_TRIES_PER_ID = 8


class ProbeRing:
    """Node ids in rounds, each in a new random order.

    :param rng: random source
    :param is_reachable: tells which ids may be chosen
    """

    def __init__(self, rng: random.Random, is_reachable: Callable[[str], bool]) -> None:
        self._rng = rng
        self._is_reachable = is_reachable
        self._ids: list[str] = []
        self._index = 0

    def add(self, node_id: str) -> None:
        """Insert an id at a random position to keep the probe order unpredictable."""
        position = self._rng.randrange(len(self._ids) + 1)
        self._ids.append(node_id)
        self._ids[position], self._ids[-1] = self._ids[-1], self._ids[position]

    def next_id(self, known_ids: Callable[[], Iterable[str]]) -> str | None:
        """Return the next reachable id, or ``None``.

        :param known_ids: returns the ids of a new round
        """
        for _ in range(len(self._ids) + 1):
            if self._index >= len(self._ids):
                self._ids = list(known_ids())
                self._rng.shuffle(self._ids)
                self._index = 0
            if not self._ids:
                return None
            node_id = self._ids[self._index]
            self._index += 1
            if self._is_reachable(node_id):
                return node_id
        return None

    def sample(self, count: int, exclude: Collection[str]) -> list[str]:
        """Return distinct random reachable ids.

        A few random tries suffice unless most members are unreachable; only then
        are all ids examined.

        :param count: largest number of ids
        :param exclude: ids to leave out
        """
        sampled: dict[str, None] = {}
        if len(self._ids) > count * SAMPLE_TRIES_PER_ID:
            for _ in range(count * SAMPLE_TRIES_PER_ID):
                node_id = self._ids[self._rng.randrange(len(self._ids))]
                if node_id not in exclude and self._is_reachable(node_id):
                    sampled[node_id] = None
                if len(sampled) == count:
                    return list(sampled)
        return [*sampled, *self._sample_all(count - len(sampled), {*exclude, *sampled})]

    def _sample_all(self, count: int, exclude: set[str]) -> list[str]:
        ids = {i for i in self._ids if i not in exclude and self._is_reachable(i)}
        return self._rng.sample(sorted(ids), min(count, len(ids)))
