"""When watches time out and are opened again. All times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass

# The protocol: an empty line is sent at this interval as long as nothing changes.
HEARTBEAT_INTERVAL_MS = 2000.0
HEARTBEAT_SLACK_MS = 600.0  # two round trips of a slow link, and a busy machine
HEARTBEAT_TIMEOUT_MS = HEARTBEAT_INTERVAL_MS + HEARTBEAT_SLACK_MS
# The protocol: the deadline by which a change is delivered, from when the source has it and can be reached,
# or from when the open watch fell silent, regardless of earlier watches.
DELIVERY_DEADLINE_MS = 6000.0
CONNECT_TIMEOUT_MS = 1000.0

# Polled: a watch that fails may have missed the return of the source by a moment. The next one is opened
# within this time after it, which leaves time for a slow connection and a late machine or list.
REOPEN_DEADLINE_MS = DELIVERY_DEADLINE_MS - CONNECT_TIMEOUT_MS - HEARTBEAT_SLACK_MS
# Polled: the longest delay of the first watch beside a silent one; half of what the deadline leaves.
MAX_PARALLEL_DELAY_MS = (DELIVERY_DEADLINE_MS - HEARTBEAT_TIMEOUT_MS - CONNECT_TIMEOUT_MS) / 2.0
# Polled: the delay after a watch has ended grows with the number of dispatchers, since they share one source.
MIN_POLL_RETRY_MS = 250.0
POLL_RETRY_PER_DISPATCHER_MS = 75.0
MAX_POLL_RETRY_MS = 3000.0
MAX_POLL_RETRY_DOUBLINGS = 2

# Pushed: the delay is a part of the grace of drains, since a list that the agent gets just after a request
# was lost waits for the next request. The lower bound is a few turns of an event loop.
PUSH_RETRY_PART_OF_GRACE = 1.0 / 3.0
MIN_PUSH_RETRY_MS, MAX_PUSH_RETRY_MS = 20.0, 200.0

MAX_MALFORMED_DOUBLINGS = 6
MAX_PENDING = 3  # requests that await their first line: the oldest and the newest two


@dataclass(frozen=True, slots=True)
class WatchSettings:
    """How a source delivers its list.

    `pushed`: an agent on this machine has the list and responds at once; else the list is polled from a
    source that all dispatchers share. `drain_grace_ms`: for this long after its drain was announced, a worker
    may still be sent requests.
    """

    pushed: bool = True
    drain_grace_ms: float = 250.0
    dispatcher_count: int = 1

    @property
    def push_retry_ms(self) -> float:
        """Pushed: the delay between two requests."""
        return min(MAX_PUSH_RETRY_MS, max(MIN_PUSH_RETRY_MS, self.drain_grace_ms * PUSH_RETRY_PART_OF_GRACE))

    @property
    def poll_retry_ms(self) -> float:
        """Polled: the mean delay after a first failure."""
        fair_ms = POLL_RETRY_PER_DISPATCHER_MS * self.dispatcher_count
        return min(MAX_POLL_RETRY_MS, max(MIN_POLL_RETRY_MS, fair_ms))
