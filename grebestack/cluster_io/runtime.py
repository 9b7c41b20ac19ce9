"""The clock and the log lines of all shells here."""

from __future__ import annotations

import logging
import time

from grebestack.consensus.actions import Told

log = logging.getLogger(__name__)
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def monotonic_ms() -> float:
    """The time in milliseconds, while the machine sleeps too: a holder that wakes finds its term over."""
    return time.clock_gettime(_CLOCK) * 1000.0


def tell(told: Told) -> None:
    """Write a line to the log."""
    log.log(logging.DEBUG if told.detail else logging.INFO, told.event, extra={"kv": told.kv})
