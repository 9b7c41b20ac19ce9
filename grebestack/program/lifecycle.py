"""The lifecycle of a dispatcher: when it is ready, and how it treats client connections. Does no I/O.

All times are milliseconds of one monotonic clock, passed as arguments.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

KILL_MS = 700.0  # SIGKILL comes no sooner than this plus the longest deadline after SIGTERM
KILL_DEADLINE_MS = 3000.0  # longer deadlines count as this much
KILL_MARGIN_MS = 200.0  # between the last answers and SIGKILL
LATE_MS = 650.0  # requests that arrive longer than this after SIGTERM are late
STOP_KEEP_FRACTION = 0.45  # a stop keeps client connections for this fraction of the longest deadline
STOP_DRAIN_MS = 200.0  # a request may be on its way when its connection is closed
QUIESCE_KEEP_MS = 350.0  # the platform still routes new connections here for about this long
QUIESCE_DRAIN_MS = 1600.0  # then requests are rejected: at 4 s, none that arrived in the last 2 s may be open


class Stage(Enum):
    """The stage of a dispatcher in its lifecycle."""

    STARTING = "starting"
    SERVING = "serving"
    QUIESCED = "quiesced"
    RETIRED = "handed over"  # the successor of a hot restart serves
    STOPPING = "stopping"


class ClientHandling(Enum):
    """How client connections are treated: kept, closed gracefully, or closed with new requests rejected."""

    KEEP = "kept"
    DRAIN = "led out"
    REJECT = "turned away"


@dataclass(slots=True)
class Lifecycle:
    """The current stage and when it began. A stop takes precedence over everything else."""

    stage: Stage = Stage.STARTING
    since_ms: float = 0.0
    start_finished: bool = False  # the endpoint list is up to date, or the wait for it has timed out
    quiesced: bool = False  # by the operator; also recorded during the start
    retired: bool = False  # by the successor of a hot restart, which takes over the clients

    @property
    def is_ready(self) -> bool:
        """Whether new clients may connect."""
        return self.stage is Stage.SERVING

    def _update_stage(self, now_ms: float) -> None:
        if self.stage is Stage.STOPPING:
            return
        stage = Stage.SERVING if self.start_finished else Stage.STARTING
        if self.retired:
            stage = Stage.RETIRED
        elif self.quiesced:
            stage = Stage.QUIESCED
        if stage is not self.stage:
            self.stage, self.since_ms = stage, now_ms

    def finish_start(self, now_ms: float) -> None:
        """Note that the start is over."""
        self.start_finished = True
        self._update_stage(now_ms)

    def quiesce(self, now_ms: float) -> None:
        """Quiesce: become not ready and close client connections (see `client_handling`)."""
        self.quiesced = True
        self._update_stage(now_ms)

    def retire(self, retired: bool, now_ms: float) -> None:
        """Note that the successor of a hot restart serves, or that it is lost."""
        self.retired = retired
        self._update_stage(now_ms)

    def resume(self, now_ms: float) -> bool:
        """Stop being quiesced; False if a stop has begun, which can't be reverted."""
        self.quiesced = False
        self._update_stage(now_ms)
        return self.stage is not Stage.STOPPING

    def stop(self, now_ms: float) -> bool:
        """Begin a planned stop; False if one has already begun."""
        if self.stage is Stage.STOPPING:
            return False
        self.stage, self.since_ms = Stage.STOPPING, now_ms
        return True

    def client_handling(
        self, now_ms: float, longest_deadline_ms: float = KILL_DEADLINE_MS
    ) -> tuple[ClientHandling, float]:
        """Return how clients are treated now, and when that changes next (inf: never)."""
        if self.retired:
            return ClientHandling.KEEP, math.inf  # clients are handed over to the successor
        if self.stage is Stage.QUIESCED:
            keep_until, drain_until = self.since_ms + QUIESCE_KEEP_MS, self.since_ms + QUIESCE_DRAIN_MS
        elif self.stage is Stage.STOPPING:
            # In a rolling restart the other dispatchers may still be starting, so clients are kept as long as
            # a request can still be answered before SIGKILL.
            keep_ms = KILL_MS + STOP_KEEP_FRACTION * min(longest_deadline_ms, KILL_DEADLINE_MS)
            keep_until = self.since_ms + keep_ms
            drain_until = keep_until + STOP_DRAIN_MS
        else:
            return ClientHandling.KEEP, math.inf
        if now_ms < keep_until:
            return ClientHandling.KEEP, keep_until
        if now_ms < drain_until:
            return ClientHandling.DRAIN, drain_until
        return ClientHandling.REJECT, math.inf

    def kill_ms(self, longest_deadline_ms: float) -> float:
        """Return the earliest time of SIGKILL in a stop."""
        return self.since_ms + KILL_MS + min(longest_deadline_ms, KILL_DEADLINE_MS)

    def late_answer_deadline_ms(self, longest_deadline_ms: float) -> float:
        """Return the time by which requests that SIGKILL would cut off must be answered."""
        return self.kill_ms(longest_deadline_ms) - KILL_MARGIN_MS
