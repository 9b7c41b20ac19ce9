"""A configuration voter: decides versions with the other voters and publishes them to its relay. Pure.

The version is the value of a consensus register. Its contents are on the disks of a majority before the
register is changed, so the contents of any decided version can be fetched from some voter. A voter publishes
a version only once the register or another voter reports it as decided: a decided number is never reused.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from random import Random
from typing import Any, NamedTuple

import msgspec

from grebestack.config_distribution.actions import ConfigurationAction
from grebestack.config_distribution.activation import VersionActivation
from grebestack.config_distribution.fetching import ContentsFetching
from grebestack.config_distribution.learning import DecidedVersions, MajorityConfirmation
from grebestack.config_distribution.messages import StatusReport
from grebestack.config_distribution.proposing import Proposing
from grebestack.config_distribution.register_access import RegisterAccess
from grebestack.config_distribution.status import FollowerCounts, StatusTable
from grebestack.config_distribution.undecided import UndecidedContents
from grebestack.config_distribution.versions import MAX_CONTENTS_BYTES, Version, digest_of, invalid_value
from grebestack.config_distribution.voter_messages import (
    Contents,
    FetchContents,
    Heartbeat,
    HeartbeatResponse,
    Propose,
    StoreAck,
    decode,
)
from grebestack.config_distribution.voter_state import VoterState, VoterView
from grebestack.consensus.actions import LogMessage
from grebestack.consensus.register import Value


class InvalidContents(NamedTuple):
    """Which property of received contents is invalid, and why."""

    field: str
    why: str


class ConfigurationVoter:
    """Events in, actions out; events that need the membership carry a `VoterView`.

    Times are monotonic milliseconds, `incarnation` is the process incarnation.
    """

    def __init__(self, name: str, cluster: str, incarnation: int, random: Random, now_ms: float) -> None:
        """Create it with nothing decided; `start` loads the contents of the disk."""
        self.cluster, self.incarnation = cluster, incarnation
        self.state = VoterState(name, random)
        self.register = RegisterAccess()
        self.undecided = UndecidedContents(self.state)
        self.activation = VersionActivation(self.state, self.undecided)
        self.fetching = ContentsFetching(self.state, self.activation)
        self.proposing = Proposing(self.state, self.undecided, self.register)
        self.decided_versions = DecidedVersions(
            self.state, self.register, self.undecided, self.fetching, self.proposing
        )
        self.majority = MajorityConfirmation(self.state, self.activation, now_ms)
        self.status = StatusTable(self.state)

    @property
    def version(self) -> Version:
        """The newest decided version whose contents are here."""
        return self.state.version

    # Events of the process and its disk.

    def start(
        self, now_ms: float, disk: list[tuple[Version, bytes]], kept: dict[str, bytes]
    ) -> list[ConfigurationAction]:
        """Start with the decided versions on the disk, and with undecided contents by digest."""
        self.majority.next_heartbeat_ms = now_ms
        self.undecided.start(now_ms, kept)
        return self.activation.start(now_ms, disk)

    def on_contents_stored(self, now_ms: float, digest: str, why: str = "") -> list[ConfigurationAction]:
        """`StoreContents` has ended; `why` it failed, or empty."""
        writing = self.undecided.writing.pop(digest, None)
        if writing is None:
            return []
        contents, names = writing
        if why:
            event = LogMessage("configuration_not_kept", {"digest": digest, "why": why})
            return [event, *self.proposing.contents_not_stored(digest, why)]
        self.undecided.on_disk[digest] = contents, now_ms
        state = self.state
        actions: list[ConfigurationAction] = [state.send(name, StoreAck(digest)) for name in sorted(names)]
        actions += self.proposing.add_holder(now_ms, digest, state.name, state.view)
        return actions + self.fetching.on_stored(digest, contents)

    def on_stored(self, now_ms: float, number: int, why: str = "") -> list[ConfigurationAction]:
        """`Store` has ended; `why` it failed, or empty."""
        return self.activation.on_stored(now_ms, number, why)

    def on_applied(self, now_ms: float, number: int, why: str = "") -> list[ConfigurationAction]:
        """`Apply` has ended; `why` the version was refused, or empty."""
        return self.activation.on_applied(number, why)

    def propose(
        self, now_ms: float, proposal_id: int, contents: bytes, proposed_at_ms: int, view: VoterView
    ) -> list[ConfigurationAction]:
        """Propose contents; a `ProposalResult` with this `proposal_id` reports how it ended.

        `proposed_at_ms` is Unix time in milliseconds, for people only.
        """
        return self.proposing.propose(now_ms, proposal_id, contents, proposed_at_ms, view)

    def on_register_result(
        self, now_ms: float, known: bool, value: Value, view: VoterView
    ) -> list[ConfigurationAction]:
        """`ChangeRegister` has ended; `value` is in the register if `known`, else the outcome is unknown."""
        state, register = self.state, self.register
        register.is_busy, state.view = False, view
        if not known:
            if register.read_ms < inf:
                register.read_ms = now_ms + state.register_read_delay_ms()
            return self.proposing.advance(now_ms, view)
        register.read_ms = inf
        if not isinstance(value, Version):
            state.is_number_known = True
            return self.proposing.advance(now_ms, view)
        newer = value.number > state.decided.number
        actions = self.decided_versions.learn(now_ms, value, state.name)
        actions += self.proposing.settle(value)
        state.is_number_known = True
        if newer:
            actions += self.majority.send_heartbeat(now_ms, view)
        return actions + self.proposing.advance(now_ms, view)

    # Messages from other voters.

    def on_message(self, now_ms: float, name: str, body: bytes, view: VoterView) -> list[ConfigurationAction]:
        """Handle a message from another voter."""
        self.state.view = view
        try:
            message = decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            why = invalid_value("word", str(error), "a message between voters")
            return self.state.report_invalid(f"word/{name}", name, why)
        return _HANDLERS[type(message)](self, now_ms, name, message, view)

    def _on_heartbeat(
        self, now_ms: float, name: str, message: Heartbeat, view: VoterView
    ) -> list[ConfigurationAction]:
        response = HeartbeatResponse(message.sequence, view.epoch, view.accepted, self.state.decided)
        sent = self.state.send(name, response)
        return [sent, *self.decided_versions.on_report(now_ms, name, message)]

    def _on_heartbeat_response(
        self, now_ms: float, name: str, message: HeartbeatResponse, view: VoterView
    ) -> list[ConfigurationAction]:
        self.majority.on_response(name, message)
        actions = self.decided_versions.on_report(now_ms, name, message)
        return [*actions, *self.majority.confirm(now_ms, view)]

    def _on_status_report(
        self, now_ms: float, name: str, message: StatusReport, view: VoterView
    ) -> list[ConfigurationAction]:
        return self.status.receive(now_ms, message)

    def _on_fetch_contents(
        self, now_ms: float, name: str, message: FetchContents, view: VoterView
    ) -> list[ConfigurationAction]:
        contents = self.undecided.find(message.digest)
        return [] if contents is None else [self.state.send(name, Contents(message.digest, contents))]

    def _on_store_ack(
        self, now_ms: float, name: str, message: StoreAck, view: VoterView
    ) -> list[ConfigurationAction]:
        return self.proposing.add_holder(now_ms, message.digest, name, view)

    def _on_propose(
        self, now_ms: float, name: str, message: Propose, view: VoterView
    ) -> list[ConfigurationAction]:
        if (error := _contents_error(message)) is not None:
            return self._report_contents(name, error)
        return self.undecided.receive(now_ms, name, message)

    def _on_contents(
        self, now_ms: float, name: str, message: Contents, view: VoterView
    ) -> list[ConfigurationAction]:
        if (error := _contents_error(message)) is not None:
            return self._report_contents(name, error)
        return self.fetching.on_contents(name, message)

    def _report_contents(self, name: str, error: InvalidContents) -> list[ConfigurationAction]:
        return self.state.report_invalid(f"{error.field}/{name}", name, error.why)

    # Followers.

    def on_status_report(
        self, now_ms: float, report: StatusReport, view: VoterView
    ) -> list[ConfigurationAction]:
        """Handle a report of this voter's relay, or of a relay that follows it."""
        sent = [self.state.send(name, report) for name in self.state.peers(view)]
        return [*sent, *self.status.receive(now_ms, report)]

    def acknowledged_number(self, name: str) -> int:
        """Return the highest number that a follower has acknowledged to any relay, 0 for none."""
        return self.status.acknowledged_number(name)

    def counts(self, now_ms: float) -> FollowerCounts:
        """Count followers by version in force; list those that are behind, have refused, or are unknown."""
        return self.status.counts(now_ms)

    def status_lines(self, now_ms: float) -> list[str]:
        """Describe the newest decided version and the followers to operators."""
        state, version = self.state, self.state.decided
        if version.number:
            first = (
                f"version {version.number} decided, digest {version.digest[:12]}, by {version.proposed_by}"
            )
        else:
            first = "no version decided"
        if self.majority.confirmed_ms is None:
            first += ", not confirmed by a majority"
        else:
            first += f", confirmed by a majority {(now_ms - self.majority.confirmed_ms) / 1000.0:.1f} s ago"
        if state.version != state.decided:
            first += ", its contents not received yet"
        lines = [first]
        if self.activation.refused:
            lines.append(f"refused here: {self.activation.refused}: {self.activation.refused_why}")
        return lines + self.status.status_lines(now_ms)

    # Time.

    def tick(self, now_ms: float, view: VoterView) -> list[ConfigurationAction]:
        """Perform what is due."""
        actions: list[ConfigurationAction] = []
        self.state.view = view
        self.decided_versions.compare_accepted(now_ms, view.accepted)
        if now_ms >= self.majority.next_heartbeat_ms:
            actions += self.majority.send_heartbeat(now_ms, view)
            actions += self.majority.confirm(now_ms, view)
        actions += self.proposing.advance(now_ms, view)
        if now_ms >= self.register.read_due_ms():
            actions += self.register.read(now_ms)
        if now_ms >= self.fetching.fetch_ms:
            actions += self.fetching.fetch(now_ms, view)
        if now_ms >= self.activation.start_ms:
            actions += self.activation.begin()
            self.activation.start_ms = inf
        return actions

    def due_ms(self, now_ms: float) -> float:
        """Return the latest time for the next call of `tick`."""
        due = min(self.majority.next_heartbeat_ms, self.fetching.fetch_ms, self.activation.start_ms)
        due = min(due, self.register.read_due_ms())
        proposal = self.state.proposal
        if proposal is not None:
            due = min(due, proposal.deadline_ms)
            if not self.register.is_busy:
                due = min(due, proposal.retry_ms)
        return max(due, now_ms + 1.0)


def _contents_error(message: Propose | Contents) -> InvalidContents | None:
    """Return what is invalid in a message with contents, or None."""
    contents = message.contents
    if len(contents) > MAX_CONTENTS_BYTES:
        why = invalid_value("contents", f"{len(contents)} bytes", f"up to {MAX_CONTENTS_BYTES}")
        return InvalidContents("size", why)
    if (digest := digest_of(contents)) != message.digest:
        return InvalidContents("digest", invalid_value("digest", message.digest, digest))
    return None


Handler = Callable[[ConfigurationVoter, float, str, Any, VoterView], list[ConfigurationAction]]
_HANDLERS: dict[type[msgspec.Struct], Handler] = {
    Heartbeat: ConfigurationVoter._on_heartbeat,
    HeartbeatResponse: ConfigurationVoter._on_heartbeat_response,
    StatusReport: ConfigurationVoter._on_status_report,
    Propose: ConfigurationVoter._on_propose,
    StoreAck: ConfigurationVoter._on_store_ack,
    FetchContents: ConfigurationVoter._on_fetch_contents,
    Contents: ConfigurationVoter._on_contents,
}
