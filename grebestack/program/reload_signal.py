"""A SIGHUP that comes before the dispatcher can act on it: it would end the process, so it is kept for later.

Imported before all that takes long to import.
"""

from __future__ import annotations

import signal

_came = False


def _keep(number: int, frame: object) -> None:
    global _came
    _came = True


signal.signal(signal.SIGHUP, _keep)


def came() -> bool:
    """Whether one has come so far."""
    return _came
