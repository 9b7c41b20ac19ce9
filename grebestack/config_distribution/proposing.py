"""Proposes a version: stores its contents at a majority of voters, then changes the register. Pure."""

from __future__ import annotations

from dataclasses import replace

import msgspec

from grebestack.config_distribution import timeouts
from grebestack.config_distribution.actions import (
    ChangeRegister,
    ConfigurationAction,
    ProposalResult,
    StoreContents,
)
from grebestack.config_distribution.register_access import RegisterAccess
from grebestack.config_distribution.undecided import UndecidedContents
from grebestack.config_distribution.versions import MAX_CONTENTS_BYTES, Version, digest_of, invalid_value
from grebestack.config_distribution.voter_messages import Propose
from grebestack.config_distribution.voter_state import Proposal, VoterState, VoterView


class Proposing:
    """Handles one proposal at a time, until a `ProposalResult` ends it."""

    def __init__(self, state: VoterState, undecided: UndecidedContents, register: RegisterAccess) -> None:
        """Create it without a proposal."""
        self.state, self.undecided, self.register = state, undecided, register

    def propose(
        self, now_ms: float, proposal_id: int, contents: bytes, proposed_at_ms: int, view: VoterView
    ) -> list[ConfigurationAction]:
        """Start a proposal, or reject it."""
        state = self.state
        state.view = view
        if why := self._why_rejected(contents, view):
            return [ProposalResult(proposal_id, False, state.decided, why)]
        digest = digest_of(contents)
        version = Version(state.decided.number + 1, digest, len(contents), state.name, proposed_at_ms)
        proposal = Proposal(proposal_id, version, contents, now_ms + timeouts.PROPOSAL_TIMEOUT_MS)
        state.proposal = proposal
        store: list[ConfigurationAction] = []
        if digest in self.undecided.on_disk:
            state.proposal = replace(proposal, holders=frozenset({state.name}))
        elif digest not in self.undecided.writing:
            self.undecided.writing[digest] = contents, frozenset()
            store.append(StoreContents(digest, contents))
        read = [] if state.is_number_known or self.register.is_busy else self.register.read(now_ms)
        return [*store, *read, *self.advance(now_ms, view)]

    def _why_rejected(self, contents: bytes, view: VoterView) -> str:
        """Return why the contents can't be proposed at this voter now, or ""."""
        name = self.state.name
        connected = len(view.connected & view.members | {name})
        if len(contents) > MAX_CONTENTS_BYTES:
            return invalid_value("contents", f"{len(contents)} bytes", f"up to {MAX_CONTENTS_BYTES}")
        if self.state.proposal is not None:
            return f"another change is under way at {name}"
        if view.accepted < 0:
            return f"the vote of {name} does not count now"
        if connected < view.majority:
            return f"{connected} of {len(view.members)} voters are connected; needed: {view.majority}"
        return ""

    def advance(self, now_ms: float, view: VoterView) -> list[ConfigurationAction]:
        """Perform the next step of the proposal, if one is due."""
        proposal = self.state.proposal
        if proposal is None:
            return []
        if now_ms >= proposal.deadline_ms:
            return self._end(False, self._why_timed_out(proposal, view))
        has_majority = len(proposal.holders & view.members) >= view.majority
        if has_majority and self.state.name in proposal.holders:
            return self._change_register(now_ms, proposal)
        if now_ms < proposal.retry_ms:
            return []
        self.state.proposal = replace(proposal, retry_ms=now_ms + timeouts.FETCH_RETRY_INTERVAL_MS)
        message = Propose(proposal.version.digest, proposal.contents)
        return [
            self.state.send(name, message)
            for name in sorted((view.members & view.connected) - proposal.holders)
            if name != self.state.name
        ]

    def _why_timed_out(self, proposal: Proposal, view: VoterView) -> str:
        holders = ", ".join(sorted(proposal.holders)) or "nobody"
        if proposal.change_requested:
            return "not known whether it is in force"
        if not self.state.is_number_known:
            return f"the register can't be read: no majority of the voters has answered; held by {holders}"
        return f"its contents are held by {holders}; needed: {view.majority} voters"

    def _change_register(self, now_ms: float, proposal: Proposal) -> list[ConfigurationAction]:
        state = self.state
        if not state.is_number_known:  # the number to propose is not known yet
            state.proposal = replace(proposal, retry_ms=self.register.read_ms)
            return []
        if self.register.is_busy or (proposal.change_requested and now_ms < proposal.retry_ms):
            return []
        self.register.is_busy = True
        retry_ms = now_ms + state.register_read_delay_ms()
        state.proposal = replace(proposal, retry_ms=retry_ms, change_requested=True)
        return [ChangeRegister(proposal.version)]

    def add_holder(
        self, now_ms: float, digest: str, holder: str, view: VoterView
    ) -> list[ConfigurationAction]:
        """Record that a voter has stored the contents."""
        proposal = self.state.proposal
        if proposal is None or digest != proposal.version.digest:
            return []
        self.state.proposal = replace(proposal, holders=proposal.holders | {holder})
        return self.advance(now_ms, view)

    def contents_not_stored(self, digest: str, why: str) -> list[ConfigurationAction]:
        """End the proposal whose contents could not be stored on this voter's disk."""
        proposal = self.state.proposal
        if proposal is None or digest != proposal.version.digest:
            return []
        return self._end(False, f"the contents are not on this disk: {why}")

    def settle(self, decided: Version) -> list[ConfigurationAction]:
        """End the proposal if its number has been decided."""
        state, proposal = self.state, self.state.proposal
        if proposal is None or decided.number < proposal.version.number:
            return []
        if not state.is_number_known:  # decided before the proposal: it takes the next number
            version = msgspec.structs.replace(proposal.version, number=decided.number + 1)
            state.proposal = replace(proposal, version=version)
            return []
        if decided == proposal.version:
            return self._end(True, "")
        why = f"{decided.proposed_by or 'another voter'} won with number {decided.number}"
        if decided.number > proposal.version.number and proposal.change_requested:
            why += "; whether this one was in force before is not known"
        return self._end(False, why)

    def _end(self, won: bool, why: str) -> list[ConfigurationAction]:
        proposal, self.state.proposal = self.state.proposal, None
        if proposal is None:
            return []
        version = proposal.version if won else self.state.decided
        return [ProposalResult(proposal.proposal_id, won, version, why, tuple(sorted(proposal.holders)))]
