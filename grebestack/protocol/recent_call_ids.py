"""The call ids of requests that have ended and may have run: one that comes again must not run again."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from grebestack.routing.interfaces import Clock

KEPT_MS = 60_000.0  # longer than any client waits for an answer
MAX_KEPT = 20_000  # the newest


class RecentCallIds:
    """Remembers call ids for a while."""

    def __init__(self, clock: Clock) -> None:
        """Start without call ids."""
        self.clock = clock
        self.added_ms: OrderedDict[str, float] = OrderedDict()  # the oldest first

    def __contains__(self, call_id: str) -> bool:
        """Whether a call id was added within the time for which it is kept."""
        added_ms = self.added_ms.get(call_id)
        return added_ms is not None and self.clock.now_ms() - added_ms < KEPT_MS

    def add(self, call_id: str) -> None:
        """Remember a call id, and forget those that are too old or too many."""
        self.added_ms.pop(call_id, None)
        self.added_ms[call_id] = self.clock.now_ms()
        while len(self.added_ms) > MAX_KEPT or self._is_oldest_expired():
            self.added_ms.popitem(last=False)

    def update(self, call_ids: Iterable[str]) -> None:
        """Remember some call ids."""
        for call_id in call_ids:
            self.add(call_id)

    def newest(self, count: int) -> list[str]:
        """Return the call ids that were added last, the oldest first."""
        return list(self.added_ms)[-count:] if count else []

    def _is_oldest_expired(self) -> bool:
        oldest_ms = next(iter(self.added_ms.values()), self.clock.now_ms())
        return self.clock.now_ms() - oldest_ms >= KEPT_MS
