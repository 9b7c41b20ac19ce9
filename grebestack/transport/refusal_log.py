"""Logs why requests of clients are refused before they are handled: `event=request_refused`."""

from __future__ import annotations

import logging
import time

from grebestack.transport.end_reason import EndReason

log = logging.getLogger(__name__)
MAX_LINES_PER_INTERVAL = 20  # a flood must not fill the log; `event=tally` counts all
INTERVAL_S = 1.0


class RefusalLog:
    """Logs refusals up to a number in each interval."""

    def __init__(self) -> None:
        """Begin with the first interval."""
        self.interval_ends_s = 0.0
        self.lines = 0

    def record(self, reason: EndReason, status: int, call_id: bytes, held_bytes: int) -> None:
        """Log a refusal, unless there were too many of late; `held_bytes` of memory are given back."""
        now_s = time.monotonic()
        if now_s >= self.interval_ends_s:
            self.interval_ends_s, self.lines = now_s + INTERVAL_S, 0
        self.lines += 1
        if self.lines <= MAX_LINES_PER_INTERVAL:
            fields = {
                "reason": reason.value,
                "status": status,
                "call_id": call_id[:80].decode("latin-1"),
                "held_bytes": held_bytes,
            }
            log.info("request_refused", extra={"kv": fields})
