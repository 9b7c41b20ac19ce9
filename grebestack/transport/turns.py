"""Shares the turns of the event loop among the connections that have received something."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import Protocol

READ_BUDGET_S = 0.01  # for what arrives in a turn; what is left of it waits for a later one
DEFERRED_BUDGET_S = 0.005  # for what waits, in each turn


class DeferredReader(Protocol):
    """A connection with more to read than it may handle in one turn."""

    def continue_reading(self) -> None:
        """Handle more, and defer the rest again if it is too much."""


class TurnScheduler:
    """Continues deferred connections in later turns of the loop, one after the other.

    Other events, timers and callbacks get their turn in between.
    """

    def __init__(self) -> None:
        """Start without deferred connections."""
        self.deferred: deque[DeferredReader] = deque()
        self.is_scheduled = False
        self.is_reading = False  # something has been read in this turn
        self.read_until_s = 0.0

    def may_read(self) -> bool:
        """Whether a connection that has received something may handle it in this turn."""
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
        self.deferred.append(connection)
        self._schedule()

    def _schedule(self) -> None:
        if not self.is_scheduled:
            self.is_scheduled = True
            asyncio.get_running_loop().call_soon(self._on_turn)

    def _on_turn(self) -> None:
        self.is_scheduled = False
        until_s = time.monotonic() + DEFERRED_BUDGET_S
        try:
            for _ in range(len(self.deferred)):
                self.deferred.popleft().continue_reading()
                if time.monotonic() >= until_s:
                    break
        finally:
            if self.deferred:
                self._schedule()
