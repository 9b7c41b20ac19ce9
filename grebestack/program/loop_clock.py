"""The time of the event loop's machine."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable


class LoopClock:
    """Monotonic time in milliseconds, and the loop's timers."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Use a loop's timers."""
        self.loop = loop

    def now_ms(self) -> float:
        """Return the time."""
        return time.monotonic() * 1000.0

    def call_at(self, at_ms: float, call: Callable[[], None]) -> asyncio.TimerHandle:
        """Schedule a call at a time."""
        return self.loop.call_later(max(0.0, at_ms / 1000.0 - time.monotonic()), call)
