"""Learns decided versions, and when a majority of voters last confirmed the newest one. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from grebestack.config_distribution import timeouts
from grebestack.config_distribution.actions import ConfigurationAction, MajorityConfirmed
from grebestack.config_distribution.activation import VersionActivation
from grebestack.config_distribution.fetching import ContentsFetching
from grebestack.config_distribution.proposing import Proposing
from grebestack.config_distribution.register_access import RegisterAccess
from grebestack.config_distribution.undecided import UndecidedContents
from grebestack.config_distribution.versions import NO_VERSION, Version, invalid_value, version_problem
from grebestack.config_distribution.voter_messages import Heartbeat, HeartbeatResponse
from grebestack.config_distribution.voter_state import VoterState, VoterView

MAX_HEARTBEATS_OUTSTANDING = 16


class DecidedVersions:
    """Learns decided versions from the register and from other voters."""

    def __init__(
        self,
        state: VoterState,
        register: RegisterAccess,
        undecided: UndecidedContents,
        fetching: ContentsFetching,
        proposing: Proposing,
    ) -> None:
        """Create it with nothing decided."""
        self.state, self.register, self.undecided = state, register, undecided
        self.fetching, self.proposing = fetching, proposing
        self.others_decided: dict[str, int] = {}  # the highest decided number reported by each voter

    def learn(self, now_ms: float, version: Version, by: str) -> list[ConfigurationAction]:
        """Handle a version that the register or the voter `by` reported as decided."""
        state = self.state
        if version == NO_VERSION:
            return []
        if why := version_problem(version):
            return state.report_invalid(f"version/{by}", by, why)
        if version.number == state.decided.number and version != state.decided:
            allowed = f"{state.decided.digest} as number {version.number}"
            return state.report_invalid(f"two/{by}", by, invalid_value("version", version.digest, allowed))
        if version.number <= state.decided.number:
            return []
        state.decided = version
        contents = self.undecided.find(version.digest)
        if contents is not None:
            return [*self.fetching.complete(contents), *self.proposing.settle(version)]
        self.fetching.begin(now_ms, by)
        return self.proposing.settle(version)

    def on_report(
        self, now_ms: float, name: str, message: Heartbeat | HeartbeatResponse
    ) -> list[ConfigurationAction]:
        """Handle the accepted number and the decided version that another voter reported."""
        actions: list[ConfigurationAction] = []
        former = self.others_decided.get(name, 0)
        number = message.decided.number
        if number < former and isinstance(message, Heartbeat):
            why = invalid_value("decided", number, f"{former} and more, as reported before")
            actions += self.state.report_invalid(f"less/{name}", name, why)
        self.others_decided[name] = max(former, number)
        actions += self.learn(now_ms, message.decided, name)
        self.compare_accepted(now_ms, message.accepted)
        return actions

    def compare_accepted(self, now_ms: float, accepted: int) -> None:
        """Schedule a read of the register if a voter has accepted a number above the decided one."""
        if accepted > self.state.decided.number and self.register.read_ms == inf:
            self.register.read_ms = now_ms + self.state.register_read_delay_ms()


@dataclass(frozen=True, slots=True)
class PeerReport:
    """The last heartbeat response of another voter."""

    sent_ms: float  # when the heartbeat was sent
    epoch: int
    accepted: int  # as in `VoterView`


class MajorityConfirmation:
    """Heartbeats to the other voters, and the time of the last confirmation by a majority."""

    def __init__(self, state: VoterState, activation: VersionActivation, now_ms: float) -> None:
        """Create it unconfirmed; the first heartbeat is due at once."""
        self.state, self.activation = state, activation
        self.next_heartbeat_ms, self.heartbeat_count = now_ms, 0
        self.sent: dict[int, float] = {}  # send times of heartbeats by sequence
        self.peer_reports: dict[str, PeerReport] = {}
        self.confirmed_ms: float | None = None  # the last time at which a majority had nothing newer

    def send_heartbeat(self, now_ms: float, view: VoterView) -> list[ConfigurationAction]:
        """Send a heartbeat to each connected voter."""
        self.heartbeat_count += 1
        self.sent[self.heartbeat_count] = now_ms
        while len(self.sent) > MAX_HEARTBEATS_OUTSTANDING:
            del self.sent[next(iter(self.sent))]
        self.next_heartbeat_ms = now_ms + self.state.random.uniform(*timeouts.HEARTBEAT_INTERVAL_MS)
        heartbeat = Heartbeat(self.heartbeat_count, view.epoch, view.accepted, self.state.decided)
        return [self.state.send(name, heartbeat) for name in self.state.peers(view)]

    def on_response(self, name: str, response: HeartbeatResponse) -> None:
        """Record a response; it is ignored if its heartbeat is no longer tracked."""
        sent_ms = self.sent.get(response.sequence)
        if sent_ms is None:
            return
        former = self.peer_reports.get(name)
        if former is None or former.sent_ms <= sent_ms:
            self.peer_reports[name] = PeerReport(sent_ms, response.epoch, response.accepted)

    def confirm(self, now_ms: float, view: VoterView) -> list[ConfigurationAction]:
        """Compute the last time at which a majority had accepted nothing newer than the version here.

        A version decided before then was accepted by a majority, and any two majorities share a voter.
        """
        number = self.state.version.number
        times = [
            report.sent_ms
            for name, report in self.peer_reports.items()
            if name in view.members and report.epoch == view.epoch and 0 <= report.accepted <= number
        ]
        if self.state.name in view.members and 0 <= view.accepted <= number:
            times.append(now_ms)
        times.sort(reverse=True)
        if not view.epoch or len(times) < view.majority:
            return []
        at_ms = times[view.majority - 1]
        if self.confirmed_ms is not None and at_ms <= self.confirmed_ms:
            return []
        self.confirmed_ms, self.state.is_number_known = at_ms, True
        # The version on the disk is confirmed to be the newest, so it need not wait any longer.
        actions = self.activation.begin() if self.activation.start_ms < inf else []
        return [MajorityConfirmed(at_ms), *actions]
