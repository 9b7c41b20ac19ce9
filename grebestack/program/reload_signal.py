"""Records a SIGHUP that arrives before the dispatcher handles it, since it would end the process by default.

Must be imported before any module that is slow to import.
"""

from __future__ import annotations

import signal

_received = False


def _on_sighup(number: int, frame: object) -> None:
    global _received
    _received = True


signal.signal(signal.SIGHUP, _on_sighup)


def sighup_received() -> bool:
    """Return whether a SIGHUP has arrived so far."""
    return _received
