"""Keeps a SIGHUP that arrives before the dispatcher handles it, which would end the process otherwise.

Must be imported before the modules that are slow to import.
"""

from __future__ import annotations

import signal

_sighup_received = False


def _keep(number: int, frame: object) -> None:
    global _sighup_received
    _sighup_received = True


signal.signal(signal.SIGHUP, _keep)


def sighup_received() -> bool:
    """Return whether a SIGHUP has arrived so far."""
    return _sighup_received
