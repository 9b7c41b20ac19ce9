"""The clock of the event loop."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable


class LoopClock:
    """Monotonic time in milliseconds, and the loop's timers."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Use the timers of a loop."""
        self.loop = loop

    def now_ms(self) -> float:
        """Return the monotonic time."""
        return time.monotonic() * 1000.0

    def call_at(self, at_ms: float, call: Callable[[], None]) -> asyncio.TimerHandle:
        """Schedule a callback at a time."""
        return self.loop.call_later(max(0.0, at_ms / 1000.0 - time.monotonic()), call)
