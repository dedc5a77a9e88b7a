"""Pace at which requests of very many lines or chunks are parsed."""

import asyncio
from collections import deque
from collections.abc import Callable

from briardock.mesh.model import now_s

# Elements (header lines, chunks) of one request up to which it is parsed at once. No
# ordinary request has as many.
ORDINARY_ELEMENTS = 128
# Elements beyond that which all connections of a process parse per second. An element
# takes some 3 us, so the rest of the processor remains for ordinary requests.
ELEMENTS_PER_S = 50_000
# Elements that are parsed at once: two heads of the largest legal size in lines of four
# bytes.
BURST_ELEMENTS = 8_192


class ParsePace:
    """Lets the connections of a process parse costly requests by turns.

    Heads of thousands of short lines are legal and cost milliseconds each. Callers that
    send them without pause would otherwise keep the event loop from everything else.
    """

    def __init__(self) -> None:
        self._excess_elements = 0.0
        self._updated_s = 0.0
        self._waiting: deque[Callable[[], bool]] = deque()
        self._is_scheduled = False

    def may_parse(self, now: float) -> bool:
        """Return whether a connection may go on without waiting for its turn.

        :param now: current time in s since boot
        """
        return not self._waiting and self._debt(now) <= BURST_ELEMENTS

    def record(self, elements: int, now: float) -> None:
        """Count elements beyond those of an ordinary request.

        :param elements: number of elements that were parsed
        :param now: current time in s since boot
        """
        self._excess_elements = self._debt(now) + elements
        self._updated_s = now

    def wait(self, take_turn: Callable[[], bool], now: float) -> None:
        """Call a function when it is the turn of a connection.

        :param take_turn: returns whether the connection is still open
        :param now: current time in s since boot
        """
        self._waiting.append(take_turn)
        self._schedule(now)

    def _debt(self, now: float) -> float:
        elapsed_s = now - self._updated_s
        return max(0.0, self._excess_elements - ELEMENTS_PER_S * elapsed_s)

    def _schedule(self, now: float) -> None:
        if self._is_scheduled:
            return
        self._is_scheduled = True
        excess = max(0.0, self._debt(now) - BURST_ELEMENTS)
        loop = asyncio.get_running_loop()
        loop.call_later(excess / ELEMENTS_PER_S, self._give_turn)

    def _give_turn(self) -> None:
        self._is_scheduled = False
        # The connection whose turn it is may wait again, behind the others.
        while self._waiting and not self._waiting.popleft()():
            pass
        if self._waiting:
            self._schedule(now_s())


class ParseTurn:
    """Turn of one connection to parse a costly request.

    :param pace: pace of the process
    :param go_on: parses what the connection kept; returns whether it is open
    """

    def __init__(self, pace: ParsePace, go_on: Callable[[], bool]) -> None:
        # Whether the connection waits; what it receives meanwhile is kept.
        self.is_awaited = False
        self._has_come = False
        self._pace = pace
        self._go_on = go_on

    def may_parse(self, request_elements: int) -> bool:
        """Return whether the connection may parse the next part.

        :param request_elements: elements of the request that it reads, so far
        """
        if self.is_awaited:
            return False
        if request_elements <= ORDINARY_ELEMENTS:
            return True
        now = now_s()
        if self._has_come or self._pace.may_parse(now):
            self._has_come = False
            return True
        self.is_awaited = True
        self._pace.wait(self._take, now)
        return False

    def record(self, elements_before: int, elements: int) -> None:
        """Count what was parsed.

        :param elements_before: elements of the request that was read before
        :param elements: elements of the request that is read now
        """
        if elements > ORDINARY_ELEMENTS:
            # A request that began in between has fewer elements than the one before.
            known = elements_before if elements_before < elements else 0
            self._pace.record(elements - max(known, ORDINARY_ELEMENTS), now_s())

    def _take(self) -> bool:
        self.is_awaited = False
        self._has_come = True
        return self._go_on()
