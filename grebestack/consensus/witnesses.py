"""Which other members have heard how far this member's log has come. Pure.

A disk that has lost its last records, or has come back as an older copy, looks like any other to its owner.
Only a member that has heard of a later record can tell. A vote must therefore not count before enough others,
its witnesses, have heard of its record (`MembershipConfig.required_witnesses`); after a start so many others
must confirm the disk that a witness is among them (`MembershipConfig.required_confirmations`).

Each message carries the last durable record of its sender, and connections keep the order of messages. A
response to a heartbeat thus shows that its sender has heard of the record that went with the heartbeat.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection


class RecordWitnesses:
    """The own log records that each connected member has heard of."""

    def __init__(self) -> None:
        """Begin without connections."""
        self.heard: dict[str, int] = {}  # by connected member: the last own record that it has heard of
        self.unanswered: dict[str, deque[int]] = {}  # the record that went with each open heartbeat

    def on_connected(self, name: str, heard_record: int) -> None:
        """Handle a connection to a member that has heard of this record already; 0: of none."""
        self.heard[name], self.unanswered[name] = heard_record, deque()

    def on_disconnected(self, name: str) -> None:
        """Handle the end of a connection: what it carried last may be lost."""
        self.heard.pop(name, None)
        self.unanswered.pop(name, None)

    def on_heartbeat_sent(self, name: str, reported_record: int) -> None:
        """Note the record that goes with a heartbeat."""
        if name in self.unanswered:
            self.unanswered[name].append(reported_record)

    def on_heartbeat_response(self, name: str) -> None:
        """Handle the response to the oldest open heartbeat to a member."""
        if self.unanswered.get(name):
            self.heard[name] = max(self.heard[name], self.unanswered[name].popleft())

    def forget_records(self) -> None:
        """Begin anew with an empty log. Responses to earlier heartbeats do not count any more."""
        for name in self.heard:
            self.on_connected(name, 0)

    def count(self, record: int, among: Collection[str]) -> int:
        """Return how many of these members have heard of a record."""
        return sum(self.heard.get(name, 0) >= record for name in among)

    def members_to_ask(self, record: int, among: Collection[str]) -> list[str]:
        """Return the connected members that have not heard of a record and are not being told of it."""
        return sorted(
            name
            for name in among
            if name in self.heard
            and self.heard[name] < record
            and not (self.unanswered[name] and self.unanswered[name][-1] >= record)
        )
