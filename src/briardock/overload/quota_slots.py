"""Slots of an account at one node, by the time at which they change."""

import math
from collections import deque

# Lifetime of a grant, s: from the owner over two aggregators to the node that uses it.
GRANT_LIFETIME_S = 1.1
# Precision of the times at which slots become free or expire, s.
SLOT_PRECISION_S = 0.02
# Part of a slot that is dropped.
MIN_PART = 1e-6


def own_slots(slots: float, node_count: int, node_rank: int) -> int:
    """Return the slots that a node owns, a whole number.

    Parts of a slot admit nothing at nodes that all have the same demand. The part
    becomes no larger if nodes are added, wherever they rank: the parts add up to no
    more than the slots as long as each node counts all nodes that use theirs.

    :param slots: slots of all nodes together
    :param node_count: number of nodes
    :param node_rank: number of nodes before this one in an order that all nodes share
    """
    whole = math.floor(slots + MIN_PART)
    return max(0, -((node_rank - whole) // node_count))


class _TimedSlots:
    """Numbers of slots, each with the time at which it ends."""

    def __init__(self) -> None:
        # Each item holds a time and a number of slots, in the order of the times.
        self._items: deque[list[float]] = deque()
        self.amount = 0.0

    def expire(self, now: float) -> None:
        """Remove the slots whose time has come.

        :param now: current time in s since boot
        """
        items = self._items
        while items and items[0][0] <= now:
            self.amount -= items.popleft()[1]
        if not items:
            self.amount = 0.0


class Grants(_TimedSlots):
    """Slots granted by other nodes until they expire."""

    def add(self, amount: float, expires_s: float) -> None:
        """Add a grant.

        :param amount: number of slots
        :param expires_s: time from which it must not be used
        """
        items = self._items
        index = len(items)
        while index and items[index - 1][0] > expires_s:
            index -= 1
        self.amount += amount
        if index and expires_s - items[index - 1][0] < SLOT_PRECISION_S:
            items[index - 1][1] += amount
        else:
            items.insert(index, [expires_s, amount])

    def take(self, amount: float, now: float) -> list[tuple[float, float]]:
        """Take slots, those that expire first; return the parts and remaining times.

        :param amount: largest number of slots
        :param now: current time in s since boot
        """
        parts = []
        items = self._items
        while items and amount > 0.0:
            part = min(items[0][1], amount)
            parts.append((part, items[0][0] - now))
            amount -= part
            self.amount -= part
            items[0][1] -= part
            if items[0][1] <= MIN_PART:
                self.amount -= items.popleft()[1]
        return parts


class BusySlots(_TimedSlots):
    """Own slots that are occupied, by the time at which they become free."""

    @property
    def first_free_s(self) -> float:
        """Time at which the first of them becomes free."""
        return self._items[0][0] if self._items else 0.0

    def add(self, amount: float, free_s: float) -> None:
        """Occupy slots.

        :param amount: number of slots
        :param free_s: time at which they become free
        """
        items = self._items
        if items and free_s <= items[-1][0]:
            items[-1][1] += amount
        else:
            items.append([free_s + SLOT_PRECISION_S, amount])
        self.amount += amount

    def free_oldest(self, amount: float) -> None:
        """Free the slots that would become free first.

        :param amount: largest number of slots
        """
        while self._items and amount > 0.0:
            part = min(self._items[0][1], amount)
            self._items[0][1] -= part
            self.amount -= part
            amount -= part
            if self._items[0][1] <= 1e-9:
                self._items.popleft()
