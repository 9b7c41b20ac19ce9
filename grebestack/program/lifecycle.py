"""The lifecycle of a dispatcher: when it is ready, and how it treats its clients' connections. Pure.

All times are milliseconds on one monotonic clock, given as arguments.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

KILL_MS = 700.0  # after SIGTERM the kill comes no sooner than this and the longest deadline
KILL_DEADLINE_MS = 3000.0  # a longer deadline counts as this much
KILL_MARGIN_MS = 200.0  # between the last answers and the kill
LATE_MS = 650.0  # a request is late when it arrives longer than this after SIGTERM
STOP_KEEP_FRACTION = 0.45  # of the longest deadline, for which a stop keeps clients' connections
STOP_DRAIN_MS = 200.0  # a request may cross the close of its connection
QUIESCE_KEEP_MS = 350.0  # the platform's front still gives out connections for about so long
QUIESCE_DRAIN_MS = 1600.0  # then no request is accepted: at 4 s none of the last 2 s may be open


class Stage(Enum):
    """Where a dispatcher is in its lifecycle."""

    STARTING = "starting"
    SERVING = "serving"
    QUIESCED = "quiesced"
    RETIRED = "handed over"  # the successor of a hot restart serves
    STOPPING = "stopping"


class ClientHandling(Enum):
    """How clients' connections are treated: they stay, are closed in order, or are turned away as well."""

    KEEP = "kept"
    DRAIN = "led out"
    REJECT = "turned away"


@dataclass(slots=True)
class Lifecycle:
    """The stage, and since when it holds. A stop takes precedence over everything else."""

    stage: Stage = Stage.STARTING
    since_ms: float = 0.0
    start_finished: bool = False  # the endpoint list is up to date, or was waited for long enough
    quiesced: bool = False  # by the operator; remembered during the start too
    retired: bool = False  # by the successor of a hot restart, which receives the clients

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
        """The start is over."""
        self.start_finished = True
        self._update_stage(now_ms)

    def quiesce(self, now_ms: float) -> None:
        """Quiesce: not ready, and its clients are led away (`client_handling`)."""
        self.quiesced = True
        self._update_stage(now_ms)

    def retire(self, retired: bool, now_ms: float) -> None:
        """The successor of a hot restart serves, or is lost again."""
        self.retired = retired
        self._update_stage(now_ms)

    def resume(self, now_ms: float) -> bool:
        """End the quiesce; False where a stop has begun, which can't be reverted."""
        self.quiesced = False
        self._update_stage(now_ms)
        return self.stage is not Stage.STOPPING

    def stop(self, now_ms: float) -> bool:
        """Begin a planned stop; False if one has begun before."""
        if self.stage is Stage.STOPPING:
            return False
        self.stage, self.since_ms = Stage.STOPPING, now_ms
        return True

    def client_handling(
        self, now_ms: float, longest_deadline_ms: float = KILL_DEADLINE_MS
    ) -> tuple[ClientHandling, float]:
        """Return how clients are treated now, and the time at which that changes next (inf: never)."""
        if self.retired:
            return ClientHandling.KEEP, math.inf  # they are handed over
        if self.stage is Stage.QUIESCED:
            keep_until, drain_until = self.since_ms + QUIESCE_KEEP_MS, self.since_ms + QUIESCE_DRAIN_MS
        elif self.stage is Stage.STOPPING:
            # In a rolling restart the other dispatchers may be just starting, so clients stay as long as a
            # request can still be answered before the kill.
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
        """Return when the kill comes at the earliest, in a stop."""
        return self.since_ms + KILL_MS + min(longest_deadline_ms, KILL_DEADLINE_MS)

    def late_answer_deadline_ms(self, longest_deadline_ms: float) -> float:
        """Return by when a request that the kill would cut off is answered."""
        return self.kill_ms(longest_deadline_ms) - KILL_MARGIN_MS
