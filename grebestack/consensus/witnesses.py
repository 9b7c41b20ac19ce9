"""Which records of this member's log the other members know of. No I/O, no clock.

A member cannot tell from its own disk that its last records are lost or that the disk is an older copy. Only
another member that knows of a later record can. A vote therefore counts only once enough other members, its
witnesses, know of its record (`MembershipConfig.required_witnesses`). After a start enough other members must
confirm the disk that one of the witnesses is among them (`MembershipConfig.required_confirmations`).

Each message carries the number of its sender's last durable record, and connections keep the order of
messages. A response to a heartbeat thus shows that its sender knows of the record sent with the heartbeat.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection


class RecordWitnesses:
    """The records of this member's log that each connected member knows of."""

    def __init__(self) -> None:
        """Initialize without connections."""
        self.known_records: dict[str, int] = {}  # by connected member: the last record it knows of
        self.open_heartbeats: dict[
            str, deque[int]
        ] = {}  # the record sent with each open_heartbeats heartbeat

    def on_connected(self, name: str, known_record: int) -> None:
        """Handle a connection to a member that knows of the log up to this record; 0: of no record."""
        self.known_records[name], self.open_heartbeats[name] = known_record, deque()

    def on_disconnected(self, name: str) -> None:
        """Handle the end of a connection, whose last messages may be lost."""
        self.known_records.pop(name, None)
        self.open_heartbeats.pop(name, None)

    def on_heartbeat_sent(self, name: str, reported_record: int) -> None:
        """Remember the record that is sent with a heartbeat."""
        if name in self.open_heartbeats:
            self.open_heartbeats[name].append(reported_record)

    def on_heartbeat_response(self, name: str) -> None:
        """Handle the response to the oldest open_heartbeats heartbeat to a member."""
        if self.open_heartbeats.get(name):
            self.known_records[name] = max(self.known_records[name], self.open_heartbeats[name].popleft())

    def forget_records(self) -> None:
        """Start over with an empty log. Responses to earlier heartbeats no longer count."""
        for name in self.known_records:
            self.on_connected(name, 0)

    def count(self, record: int, among: Collection[str]) -> int:
        """Return how many of these members know of a record."""
        return sum(self.known_records.get(name, 0) >= record for name in among)

    def members_to_notify(self, record: int, among: Collection[str]) -> list[str]:
        """Return the connected members that neither know of a record nor have an open heartbeat with it."""
        return sorted(
            name
            for name in among
            if name in self.known_records
            and self.known_records[name] < record
            and not (self.open_heartbeats[name] and self.open_heartbeats[name][-1] >= record)
        )
