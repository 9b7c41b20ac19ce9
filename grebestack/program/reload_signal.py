"""Keeps a SIGHUP that arrives before the dispatcher handles it, which would end the process otherwise.

Must be imported before the modules that are slow to import.
"""

from __future__ import annotations

import signal

_has_come = False


def _keep(number: int, frame: object) -> None:
    global _has_come
    _has_come = True


signal.signal(signal.SIGHUP, _keep)


def has_come() -> bool:
    """Return whether a SIGHUP has arrived so far."""
    return _has_come
