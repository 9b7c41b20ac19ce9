"""The clock and the log lines of this package."""

from __future__ import annotations

import logging
import time

from grebestack.consensus.actions import LogMessage

log = logging.getLogger(__name__)
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def monotonic_ms() -> float:
    """Return a monotonic time in milliseconds.

    The clock runs on while the machine is suspended, so that a lease has expired when its holder resumes.
    """
    return time.clock_gettime(_CLOCK) * 1000.0


def write_log(message: LogMessage) -> None:
    """Write a line to the process's log."""
    level = logging.DEBUG if message.is_debug else logging.INFO
    log.log(level, message.event, extra={"kv": message.kv})
