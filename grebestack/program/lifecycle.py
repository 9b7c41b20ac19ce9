"""The life of a dispatcher: what it is ready for, and what becomes of its clients' connections. Pure.

All times are milliseconds on one monotonic clock, given as arguments.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

KILL_MS = 700.0  # after SIGTERM the kill comes no sooner than this and the longest deadline
KILL_DEADLINE_MS = 3000.0  # which counts as this much where it is longer
KILL_MARGIN_MS = 200.0  # what came late is answered so long before the kill
LATE_MS = 650.0  # what comes later than this after SIGTERM is late
LINGER = 0.45  # the part of that deadline for which clients' connections are kept
LAST_MS = 200.0  # a job may cross the close of its connection
KEPT_MS = 350.0  # after `quiesce` the front still deals out connections for about so long
LED_MS = 1600.0  # and after this no job is taken any more: at 4 s none may be left that came in the last 2 s


class Stage(Enum):
    """Where a dispatcher is in its life."""

    STARTING = "starting"
    SERVING = "serving"
    QUIESCED = "quiesced"
    RETIRED = "handed over"  # another process of an upgrade has taken over
    STOPPING = "stopping"


class Clients(Enum):
    """What becomes of clients: they are kept, led out in order, or turned away as well."""

    KEPT = "kept"
    LED = "led out"
    AWAY = "turned away"


@dataclass(slots=True)
class Life:
    """The state and since when it holds. A stop wins over all else."""

    stage: Stage = Stage.STARTING
    since_ms: float = 0.0
    listed: bool = False  # the start is over: the list is up to date, or was waited for long enough
    quiesced: bool = False  # the operators' word, which holds during the start too
    retired: bool = False  # the other process of an upgrade serves; clients are handed to it

    @property
    def ready(self) -> bool:
        """Whether new clients may come."""
        return self.stage is Stage.SERVING

    def _go_on(self, now_ms: float) -> None:
        if self.stage is Stage.STOPPING:
            return
        stage = Stage.SERVING if self.listed else Stage.STARTING
        if self.retired:
            stage = Stage.RETIRED
        elif self.quiesced:
            stage = Stage.QUIESCED
        if stage is not self.stage:
            self.stage, self.since_ms = stage, now_ms

    def started(self, now_ms: float) -> None:
        """The start is over."""
        self.listed = True
        self._go_on(now_ms)

    def quiesce(self, now_ms: float) -> None:
        """Empty the dispatcher."""
        self.quiesced = True
        self._go_on(now_ms)

    def retire(self, on: bool, now_ms: float) -> None:
        """Another process has taken over, or is lost again."""
        self.retired = on
        self._go_on(now_ms)

    def resume(self, now_ms: float) -> bool:
        """End of the drain; False where a stop has begun, which nothing takes back."""
        self.quiesced = False
        self._go_on(now_ms)
        return self.stage is not Stage.STOPPING

    def stop(self, now_ms: float) -> bool:
        """A planned stop; False if one has begun before."""
        if self.stage is Stage.STOPPING:
            return False
        self.stage, self.since_ms = Stage.STOPPING, now_ms
        return True

    def clients(self, now_ms: float, longest_ms: float = KILL_DEADLINE_MS) -> tuple[Clients, float]:
        """What becomes of clients now, and when that changes next; `longest_ms` is the longest deadline."""
        kept = self.since_ms
        if self.retired:
            return Clients.KEPT, math.inf  # they are handed over
        if self.stage is Stage.QUIESCED:
            kept, away = self.since_ms + KEPT_MS, self.since_ms + LED_MS
        elif self.stage is Stage.STOPPING:
            # Guards a roll: clients stay as long as a job can still end here, since the other dispatchers may
            # be just starting, and each job is answered before the kill.
            kept += KILL_MS + LINGER * min(longest_ms, KILL_DEADLINE_MS)
            away = kept + LAST_MS
        else:
            return Clients.KEPT, math.inf
        if now_ms < kept:
            return Clients.KEPT, kept
        return (Clients.LED, away) if now_ms < away else (Clients.AWAY, math.inf)

    def due_ms(self, longest_ms: float) -> float:
        """By when the answer to what comes late after a stop is due: before the kill."""
        return self.since_ms + KILL_MS + min(longest_ms, KILL_DEADLINE_MS) - KILL_MARGIN_MS
