"""The version in force at each follower, from the status reports of all relays. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from grebestack.config_distribution import timeouts
from grebestack.config_distribution.actions import ConfigurationAction
from grebestack.config_distribution.messages import FollowerStatus, StatusReport
from grebestack.config_distribution.versions import invalid_value
from grebestack.config_distribution.voter_state import MAX_NAMES, VoterState


@dataclass(slots=True)
class FollowerCounts:
    """The followers of all relays, each counted once. Times are of the voter's own clock."""

    in_force: dict[int, int] = field(default_factory=dict)  # by number: connected followers
    # By follower: its number, and since when.
    behind: dict[str, tuple[int, float]] = field(default_factory=dict)
    # By follower: the refused number and why.
    refused: dict[str, tuple[int, str]] = field(default_factory=dict)
    # By follower: its last number, and when it was last heard from.
    unknown: dict[str, tuple[int, float]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class FollowerEntry:
    """A follower's status from one relay. Times are of the voter's own clock."""

    status: FollowerStatus
    last_message_ms: float
    behind_since_ms: float | None


@dataclass(slots=True)
class RelayEntry:
    """The reports of one relay. Times are of the voter's own clock."""

    incarnation: int  # the relay's process incarnation
    sequence: int
    number: int  # the newest version at the relay
    number_ms: float  # since when
    last_message_ms: float
    complete: bool  # no report was missed since the last full one
    followers: dict[str, FollowerEntry] = field(default_factory=dict)


class StatusTable:
    """The reports of all relays."""

    def __init__(self, state: VoterState) -> None:
        """Create it without reports."""
        self.state = state
        self.relays: dict[str, RelayEntry] = {}
        self.acknowledged: dict[str, int] = {}  # by follower: the highest number in any report

    def receive(self, now_ms: float, report: StatusReport) -> list[ConfigurationAction]:
        """Process a relay's report; a late or repeated one is ignored."""
        name, relay = report.relay, self.relays.get(report.relay)
        if relay is not None and report.incarnation < relay.incarnation:
            why = invalid_value(
                "life", report.incarnation, f"{relay.incarnation} and more, as {name} reported before"
            )
            return self.state.report_invalid(f"life/{name}", name, why)
        if relay is None or report.incarnation > relay.incarnation:
            if len(self.relays) >= MAX_NAMES:
                return []
            relay = self._new_incarnation(now_ms, report, relay)
        if report.sequence <= relay.sequence:
            return []
        if report.number < relay.number:
            why = invalid_value(
                "number", report.number, f"{relay.number} and more, as {name} reported before"
            )
            return self.state.report_invalid(f"number/{name}", name, why)
        if not self._advance(now_ms, relay, report):
            return []
        actions: list[ConfigurationAction] = []
        for status in report.statuses:
            actions += self._update_follower(now_ms, relay, name, status)
        return actions

    def _new_incarnation(self, now_ms: float, report: StatusReport, former: RelayEntry | None) -> RelayEntry:
        """Create an entry; followers of the former incarnation are unknown until a relay reports them."""
        relay = RelayEntry(report.incarnation, 0, 0, now_ms, now_ms, False)
        self.relays[report.relay] = relay
        for name, entry in (former.followers if former is not None else {}).items():
            disconnected = msgspec.structs.replace(entry.status, connected=False)
            relay.followers[name] = FollowerEntry(disconnected, entry.last_message_ms, None)
        return relay

    @staticmethod
    def _advance(now_ms: float, relay: RelayEntry, report: StatusReport) -> bool:
        """Update the relay's entry; return False if a report before this one is missing."""
        is_next = report.sequence == relay.sequence + 1 and relay.complete
        relay.last_message_ms = now_ms
        if report.number > relay.number:
            relay.number, relay.number_ms = report.number, now_ms
        if not report.is_full and not is_next:
            relay.complete = False  # until the next full report
            return False
        relay.sequence, relay.complete = report.sequence, True
        if report.is_full:
            reported = {status.name for status in report.statuses}
            relay.followers = {name: entry for name, entry in relay.followers.items() if name in reported}
        return True

    def _update_follower(
        self, now_ms: float, relay: RelayEntry, by: str, status: FollowerStatus
    ) -> list[ConfigurationAction]:
        name, former = status.name, relay.followers.get(status.name)
        if (
            former is not None
            and former.status.incarnation == status.incarnation
            and status.number < former.status.number
        ):
            why = invalid_value("number", status.number, f"{former.status.number} and more of {name}")
            return self.state.report_invalid(f"standing/{by}/{name}", by, why)
        behind = now_ms - status.behind_age_ms if status.behind_age_ms else None
        if former is not None and former.behind_since_ms is not None and behind is not None:
            behind = min(behind, former.behind_since_ms) if status.number == former.status.number else behind
        relay.followers[name] = FollowerEntry(status, now_ms - status.last_message_age_ms, behind)
        if status.number > self.acknowledged.get(name, 0):
            self.acknowledged.pop(name, None)
            self.acknowledged[name] = status.number
            if len(self.acknowledged) > MAX_NAMES:
                del self.acknowledged[next(iter(self.acknowledged))]
        return []

    def acknowledged_number(self, name: str) -> int:
        """Return the highest number that a follower has acknowledged to any relay, 0 for none."""
        return self.acknowledged.get(name, 0)

    def _best(self, now_ms: float) -> dict[str, tuple[FollowerEntry, RelayEntry, bool]]:
        """Choose the authoritative entry of each follower, with its relay and whether it is connected."""
        best: dict[str, tuple[FollowerEntry, RelayEntry, bool]] = {}
        for relay in self.relays.values():
            is_silent = now_ms - relay.last_message_ms > timeouts.RELAY_SILENT_MS
            for name, entry in relay.followers.items():
                connected = entry.status.connected and not is_silent
                other = best.get(name)
                if other is None or _rank(entry, connected) > _rank(other[0], other[2]):
                    best[name] = entry, relay, connected
        return best

    def counts(self, now_ms: float) -> FollowerCounts:
        """Count followers by version in force; list those that are behind, have refused, or are unknown."""
        counts = FollowerCounts()
        for name, (entry, relay, connected) in self._best(now_ms).items():
            status = entry.status
            if status.refused and connected:
                counts.refused[name] = status.refused, status.why
            if not connected:
                counts.unknown[name] = status.number, entry.last_message_ms
                continue
            counts.in_force[status.number] = counts.in_force.get(status.number, 0) + 1
            if status.number < relay.number and status.refused < relay.number:
                since_ms = entry.behind_since_ms if entry.behind_since_ms is not None else relay.number_ms
                counts.behind[name] = status.number, since_ms
        return counts

    def status_lines(self, now_ms: float) -> list[str]:
        """Describe the counts to operators, one per line."""
        counts = self.counts(now_ms)
        lines = []
        for number, count in sorted(counts.in_force.items(), reverse=True):
            lines.append(f"in force: {number}: {count}")
        for name, (number, since_ms) in sorted(counts.behind.items()):
            lines.append(f"behind: {name}: {number} for {(now_ms - since_ms) / 1000.0:.1f} s")
        for name, (number, why) in sorted(counts.refused.items()):
            lines.append(f"refused: {name}: {number}: {why}")
        for name, (number, since_ms) in sorted(counts.unknown.items()):
            lines.append(f"unknown: {name}: {number} {(now_ms - since_ms) / 1000.0:.1f} s ago")
        return lines


def _rank(entry: FollowerEntry, connected: bool) -> tuple[bool, int, float]:
    """Rank the entries of several relays for the same follower; the highest is authoritative."""
    return connected, entry.status.incarnation, entry.last_message_ms
