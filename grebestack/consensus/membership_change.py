"""Changes of the membership: members join or leave with the transition to the next epoch. No I/O.

A change takes three steps, each repeated until the next one has begun:

1. the members of the current epoch choose the next membership in a register;
2. a quorum of them stops voting in the current epoch and sends its registers;
3. the merged registers are sent to the members of both epochs, which enter the next epoch.

The quorum that stops voting shares a member with every quorum that chose a value in the current epoch. No
further value can be chosen in it, and all values chosen before are among the registers that the next epoch
begins with. Each epoch changes one member at most.
"""

from __future__ import annotations

from collections.abc import Collection
from random import Random
from typing import NamedTuple

from grebestack.consensus.acceptor import Acceptor
from grebestack.consensus.actions import Action, Peer, Send
from grebestack.consensus.messages import (
    EnterEpoch,
    EpochRequest,
    JoinRequest,
    MembershipConfig,
    RegisterEntry,
    StopVoting,
    VotingStopped,
)
from grebestack.consensus.proposals import Proposals
from grebestack.consensus.recovery import merge_registers
from grebestack.consensus.register import Phase, Value

STEP_INTERVAL_MS = 500.0  # a step is repeated after this, with jitter
STEP_JITTER = (0.7, 1.3)  # fractions of the interval
JOIN_REQUEST_TTL_MS = 5000.0  # a join request expires unless it is repeated


class _Applicant(NamedTuple):
    """A member that has requested to join."""

    disk_incarnation: str
    expiry_ms: float


class MembershipChange:
    """One member's part in changes of the membership.

    Parameters
    ----------
    names
        All members in the configuration file; no other member may join.
    """

    def __init__(
        self,
        name: str,
        names: frozenset[str],
        acceptor: Acceptor,
        proposals: Proposals,
        random: Random,
        now_ms: float,
    ) -> None:
        """Initialize with no change in progress."""
        self.name, self.names = name, names
        self.acceptor, self.proposals, self.random = acceptor, proposals, random
        self.applicants: dict[str, _Applicant] = {}  # by name
        self.pending_removals: set[str] = set()  # requested by an operator; not durable
        self.stopped_registers: dict[str, tuple[RegisterEntry, ...]] = {}  # by member that has stopped voting
        self.next_step_ms = now_ms

    @property
    def config(self) -> MembershipConfig:
        """The membership in force, as far as this member knows."""
        return self.acceptor.state.config

    def remove(self, name: str) -> str:
        """Remove a member; return the reason if that is not possible, else an empty text."""
        names = self.config.names()
        if name not in names:
            return f"{name} is no member; members are {', '.join(sorted(names))}"
        if len(names) == 1:
            return f"{name} is the only member"
        self.pending_removals.add(name)
        return ""

    def on_join_request(self, now_ms: float, peer: Peer, message: JoinRequest) -> None:
        """Handle a request for membership; a member can request it only for itself."""
        is_own = (message.name, message.disk_incarnation) == (peer.name, peer.disk_incarnation)
        if is_own and peer.name in self.names:
            expiry_ms = now_ms + JOIN_REQUEST_TTL_MS
            self.applicants[peer.name] = _Applicant(peer.disk_incarnation, expiry_ms)

    def on_voting_stopped(self, peer: Peer, message: VotingStopped) -> list[Action]:
        """Begin the next epoch once a quorum has stopped voting in the current one."""
        next_config = self.acceptor.state.next_config
        is_voter = self.config.is_voter(peer.name, peer.disk_incarnation)
        if not is_voter or message.epoch != self.config.epoch or next_config is None:
            return []
        self.stopped_registers[peer.name] = message.registers
        if len(self.stopped_registers) < self.config.quorum_size:
            return []
        enter = EnterEpoch(next_config, merge_registers(list(self.stopped_registers.values())))
        return [Send(name, enter) for name in sorted(next_config.names() | self.config.names())]

    def on_epoch_entered(self) -> None:
        """Discard the state that belongs to the previous epoch."""
        self.stopped_registers = {}
        for name, incarnation in self.config.members:
            applicant = self.applicants.get(name)
            if applicant is not None and applicant.disk_incarnation == incarnation:
                del self.applicants[name]

    def tick(self, now_ms: float, connected: Collection[str]) -> list[Action]:
        """Take or repeat the step that is due."""
        if now_ms < self.next_step_ms:
            return []
        self.next_step_ms = now_ms + STEP_INTERVAL_MS * self.random.uniform(*STEP_JITTER)
        self.applicants = {
            name: applicant for name, applicant in self.applicants.items() if now_ms < applicant.expiry_ms
        }
        self.pending_removals &= self.config.names()
        acceptor, epoch = self.acceptor, self.config.epoch
        if not epoch:
            return [Send(name, EpochRequest(0)) for name in connected]
        if not acceptor.is_voter and not acceptor.disk_fault and acceptor.is_confirmed:
            request = JoinRequest(self.name, acceptor.state.disk_incarnation)
            return [Send(name, request) for name in connected]
        if acceptor.state.next_config is not None:
            return [*self.proposals.send_to_all(StopVoting(epoch, acceptor.state.next_config))]
        return self._propose_next_config(now_ms)

    def _propose_next_config(self, now_ms: float) -> list[Action]:
        epoch, next_config = self.config.epoch, self._next_config()
        register = f"set/{epoch}"
        if next_config is None or not self.acceptor.may_vote or register in self.proposals.open:
            return []

        def change(value: Value) -> Value:
            return value if value is not None else next_config

        def on_ended(at_ms: float, phase: Phase, previous: Value, chosen: Value) -> list[Action]:
            is_chosen = phase is Phase.CHOSEN and isinstance(chosen, MembershipConfig)
            if not is_chosen or self.config.epoch != epoch:
                return []
            return [*self.proposals.send_to_all(StopVoting(epoch, chosen))]

        return [*self.proposals.propose(now_ms, register, change, on_ended)]

    def _next_config(self) -> MembershipConfig | None:
        """Return the next membership, in which one member joins or leaves; None if no change is requested."""
        members = dict(self.config.members)
        for name in sorted(self.pending_removals & set(members)):
            del members[name]
            return MembershipConfig(self.config.epoch + 1, tuple(sorted(members.items())))
        for name, applicant in sorted(self.applicants.items()):
            if members.get(name) != applicant.disk_incarnation:
                members[name] = applicant.disk_incarnation
                return MembershipConfig(self.config.epoch + 1, tuple(sorted(members.items())))
        return None
