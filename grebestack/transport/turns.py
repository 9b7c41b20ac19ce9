"""Shares the turns of the event loop among the connections that have received something."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from enum import IntEnum
from typing import Protocol

READ_BUDGET_S = 0.001  # for what arrives in a turn; what is left of it waits for a later one
DEFERRED_BUDGET_S = 0.001  # for what waits, in each turn
MAX_STEP_BYTES = 2 * 1024  # of a request, before others that have cost less get their turn
READ_COST_BYTES = 256  # a read costs as much time as so many bytes
COSTLY_TURN_INTERVAL = 4  # turns; in each such one a costly connection goes first, so that none starves


class ReadPriority(IntEnum):
    """In which order connections are continued."""

    KNOWN = 0  # it has had a response, and its next request has cost little so far
    NEW = 1
    COSTLY = 2  # its request has cost much and is still incomplete, or it has just had its turn


class DeferredReader(Protocol):
    """A connection with more to read than it may handle in one turn."""

    @property
    def read_priority(self) -> ReadPriority:
        """Its place among the others when it is deferred."""

    def continue_reading(self, others_wait: bool) -> None:
        """Handle a step more, a short one if others wait, and defer the rest again if it is too much."""


class TurnScheduler:
    """Continues deferred connections in later turns of the loop, by priority and in order of arrival.

    Other events, timers and callbacks get their turn in between.
    """

    def __init__(self) -> None:
        """Start without deferred connections."""
        self.deferred: dict[ReadPriority, deque[DeferredReader]] = {
            priority: deque() for priority in ReadPriority
        }
        self.is_scheduled = False
        self.is_reading = False  # something has been read in this turn
        self.read_until_s = 0.0
        self.turns = 0

    def __len__(self) -> int:
        """How many connections wait to be continued."""
        return sum(map(len, self.deferred.values()))

    def may_read(self, priority: ReadPriority = ReadPriority.KNOWN) -> bool:
        """Whether a connection that has received something may handle it at once.

        A costly one may not while others wait to be continued.
        """
        if priority is ReadPriority.COSTLY and self.is_scheduled:
            return False
        now_s = time.monotonic()
        if not self.is_reading:
            self.is_reading = True
            self.read_until_s = now_s + READ_BUDGET_S
            asyncio.get_running_loop().call_soon(self._on_next_turn)
        return now_s < self.read_until_s

    def _on_next_turn(self) -> None:
        self.is_reading = False

    def defer(self, connection: DeferredReader) -> None:
        """Continue a connection in a later turn."""
        self.deferred[connection.read_priority].append(connection)
        self._schedule()

    def defer_again(self, connection: DeferredReader) -> None:
        """Continue a connection that has just been continued, after those that have not."""
        self.deferred[ReadPriority.COSTLY].append(connection)
        self._schedule()

    def _schedule(self) -> None:
        if not self.is_scheduled:
            self.is_scheduled = True
            asyncio.get_running_loop().call_soon(self._on_turn)

    def _on_turn(self) -> None:
        self.is_scheduled = False
        self.turns += 1
        until_s = time.monotonic() + DEFERRED_BUDGET_S
        try:
            is_costly_first = self.turns % COSTLY_TURN_INTERVAL == 0
            for _ in range(len(self)):
                self._next(is_costly_first).continue_reading(others_wait=len(self) > 0)
                is_costly_first = False
                if time.monotonic() >= until_s:
                    return
        finally:
            if len(self):
                self._schedule()

    def _next(self, is_costly_first: bool) -> DeferredReader:
        costly = self.deferred[ReadPriority.COSTLY]
        if is_costly_first and costly:
            return costly.popleft()
        return next(waiting for waiting in self.deferred.values() if waiting).popleft()
