"""Logs how long the event loop and garbage collections kept everything else waiting: `event=loop`."""

from __future__ import annotations

import asyncio
import gc
import logging
import time

log = logging.getLogger(__name__)
CHECK_INTERVAL_S = 0.02
LOG_INTERVAL_S = 1.0
MIN_LOGGED_DELAY_MS = 20.0


class LoopMonitor:
    """Measures the delay of a timer and the duration of garbage collections."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Measure a loop once started."""
        self.loop = loop
        self.longest_delay_ms = self.longest_collection_ms = 0.0
        self.collection_began_s = 0.0
        self.log_after_s = 0.0
        self.due_s = 0.0

    def start(self) -> None:
        """Measure from now on."""
        self.log_after_s = time.monotonic() + LOG_INTERVAL_S
        gc.callbacks.append(self._on_collection)
        self._schedule()

    def stop(self) -> None:
        """Measure no more collections; the timer ends with the loop."""
        gc.callbacks.remove(self._on_collection)

    def _on_collection(self, phase: str, info: dict[str, int]) -> None:
        if phase == "start":
            self.collection_began_s = time.monotonic()
            return
        elapsed_ms = (time.monotonic() - self.collection_began_s) * 1000.0
        self.longest_collection_ms = max(self.longest_collection_ms, elapsed_ms)

    def _schedule(self) -> None:
        self.due_s = time.monotonic() + CHECK_INTERVAL_S
        self.loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        now_s = time.monotonic()
        self.longest_delay_ms = max(self.longest_delay_ms, (now_s - self.due_s) * 1000.0)
        if now_s >= self.log_after_s:
            self.log_after_s = now_s + LOG_INTERVAL_S
            self._log()
        self._schedule()

    def _log(self) -> None:
        if self.longest_delay_ms >= MIN_LOGGED_DELAY_MS:
            kv = {
                "longest_delay_ms": round(self.longest_delay_ms, 1),
                "longest_collection_ms": round(self.longest_collection_ms, 1),
            }
            log.info("loop", extra={"kv": kv})
        self.longest_delay_ms = self.longest_collection_ms = 0.0
