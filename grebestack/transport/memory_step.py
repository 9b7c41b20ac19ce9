"""What is refused and dropped as the memory of the process comes near its limit, whatever holds it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class MemoryStep(IntEnum):
    """What is done; each step includes those before."""

    NORMAL = 0
    REFUSE_INCOMPLETE = 1  # requests that are incomplete, the largest first
    REFUSE_JOBS = 2  # new ones; accepted jobs are answered in all steps
    DROP_UNREAD = 3  # responses that clients have not read


SHARE_OF_HEADROOM = {
    MemoryStep.REFUSE_INCOMPLETE: 0.6,
    MemoryStep.REFUSE_JOBS: 0.75,
    MemoryStep.DROP_UNREAD: 0.85,
}
MIN_HEADROOM_BYTES = 8 * 1024 * 1024  # where the program alone nearly reaches its limit


@dataclass(frozen=True, slots=True)
class MemoryThresholds:
    """From which memory of the process on each step is taken."""

    base_bytes: int  # of the process before it serves
    limit_bytes: int

    def step(self, resident_bytes: int) -> MemoryStep:
        """Return the step for the memory that the process takes now."""
        headroom_bytes = max(MIN_HEADROOM_BYTES, self.limit_bytes - self.base_bytes)
        share = (resident_bytes - self.base_bytes) / headroom_bytes
        return max(
            (step for step, from_share in SHARE_OF_HEADROOM.items() if share >= from_share),
            default=MemoryStep.NORMAL,
        )
