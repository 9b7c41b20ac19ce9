"""The proposer of one member: its open proposals to change registers. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from grebestack.consensus.acceptor import Acceptor
from grebestack.consensus.actions import Action, LogMessage, Peer, Send
from grebestack.consensus.lease import Lease
from grebestack.consensus.messages import (
    Accept,
    Accepted,
    MembershipConfig,
    Message,
    Prepare,
    Promise,
    Rejected,
)
from grebestack.consensus.register import (
    AcceptGranted,
    AcceptorResponse,
    Ballot,
    BallotRejected,
    Change,
    Phase,
    PromiseGranted,
    Round,
    Value,
)

PROPOSAL_TIMEOUT_MS = 800.0  # for both phases together; config_distribution.timeouts has the same value
RETRY_BACKOFF_MS, MAX_RETRY_BACKOFF_MS = 60.0, 500.0  # doubled with each consecutive failure, with jitter
MAX_BACKOFF_DOUBLINGS = 10
# As operators' tools read them in the log. BEATEN: a higher ballot, or no quorum within the timeout.
OUTCOMES = {Phase.CHOSEN: "CHOSEN", Phase.PREEMPTED: "BEATEN"}

# Called when a proposal has ended, with the time, its last phase, the previous value and the new value.
OnEnded = Callable[[float, Phase, Value, Value], list[Action]]


@dataclass(slots=True)
class Proposal:
    """An open proposal."""

    change: Change
    round: Round
    started_ms: float
    on_ended: OnEnded


class Proposals:
    """The open proposals of one member, at most one for each register."""

    def __init__(self, name: str, process_incarnation: int, acceptor: Acceptor, random: Random) -> None:
        """Initialize without open proposals."""
        self.name, self.process_incarnation = name, process_incarnation
        self.acceptor, self.random = acceptor, random
        self.open: dict[str, Proposal] = {}  # by register
        self.highest_numbers: dict[str, int] = {}  # by register: the highest ballot number seen
        self.failures: dict[str, int] = {}  # by register: consecutive failed proposals

    @property
    def config(self) -> MembershipConfig:
        """The membership in force, as far as this member knows."""
        return self.acceptor.state.config

    def propose(self, now_ms: float, register: str, change: Change, on_ended: OnEnded) -> list[Send]:
        """Propose a change of a register, which must have no open proposal."""
        ballot = Ballot(self.highest_numbers.get(register, 0) + 1, self.name, self.process_incarnation)
        self.highest_numbers[register] = ballot.number
        self.open[register] = Proposal(change, Round(ballot, self.config.quorum_size), now_ms, on_ended)
        return self.send_to_all(Prepare(self.config.epoch, register, ballot))

    def send_to_all(self, message: Message) -> list[Send]:
        """Send a message to all members, this one included."""
        return [Send(name, message) for name, _ in self.config.members]

    def resend_to(self, name: str) -> list[Action]:
        """Repeat all open requests to a member that has connected and so has missed them."""
        return [
            send
            for register, proposal in self.open.items()
            for send in self._requests(register, proposal.round)
            if send.to == name
        ]

    def _requests(self, register: str, round_: Round) -> list[Send]:
        """Return the requests of a round's current phase."""
        epoch = self.config.epoch
        if round_.phase is Phase.PREPARING:
            return self.send_to_all(Prepare(epoch, register, round_.ballot))
        return self.send_to_all(Accept(epoch, register, round_.ballot, round_.proposed_value))

    def on_promise(self, now_ms: float, peer: Peer, message: Promise) -> list[Action]:
        """Handle an acceptor's promise."""
        response = PromiseGranted(message.ballot, message.accepted, message.value)
        return self._on_response(now_ms, peer, message, response, message.accepted)

    def on_accepted(self, now_ms: float, peer: Peer, message: Accepted) -> list[Action]:
        """Handle an acceptor's acceptance of the value."""
        return self._on_response(now_ms, peer, message, AcceptGranted(message.ballot), Ballot())

    def on_rejected(self, now_ms: float, peer: Peer, message: Rejected) -> list[Action]:
        """Handle the rejection of a ballot."""
        response = BallotRejected(message.ballot, message.promised)
        return self._on_response(now_ms, peer, message, response, message.promised)

    def _on_response(
        self,
        now_ms: float,
        peer: Peer,
        message: Promise | Accepted | Rejected,
        response: AcceptorResponse,
        seen_ballot: Ballot,
    ) -> list[Action]:
        register = message.register
        proposal = self.open.get(register)
        is_voter = self.config.is_voter(peer.name, peer.disk_incarnation)
        if proposal is None or not is_voter or message.epoch != self.config.epoch:
            return []
        self.highest_numbers[register] = max(self.highest_numbers.get(register, 0), seen_ballot.number)
        phase = proposal.round.phase
        proposal.round = round_ = proposal.round.on_response(peer.name, response, proposal.change)
        if round_.phase is phase:
            return []
        if round_.phase is Phase.ACCEPTING:
            return [*self._requests(register, round_)]
        return self._end(now_ms, register, round_.phase)

    def _end(self, now_ms: float, register: str, phase: Phase) -> list[Action]:
        proposal = self.open.pop(register)
        self.failures[register] = 0 if phase is Phase.CHOSEN else self.failures.get(register, 0) + 1
        previous, proposed = proposal.round.previous_value, proposal.round.proposed_value
        kv = {
            "register": register,
            "asked": proposal.started_ms,
            "at": now_ms,
            "outcome": OUTCOMES[phase],
            "before": describe_value(previous),
            "after": describe_value(proposed),
        }
        log_message = LogMessage("fleet_register", kv, is_debug=True)
        return [log_message, *proposal.on_ended(now_ms, phase, previous, proposed)]

    def expire(self, now_ms: float) -> list[Action]:
        """Abandon proposals that got no quorum within the timeout."""
        actions: list[Action] = []
        for register, proposal in list(self.open.items()):
            is_expired = now_ms - proposal.started_ms >= PROPOSAL_TIMEOUT_MS
            if is_expired and self.open.get(register) is proposal:
                actions += self._end(now_ms, register, Phase.PREEMPTED)
        return actions

    def abandon_all(self, now_ms: float) -> list[Action]:
        """Abandon all proposals of an epoch that has ended. Their outcomes are unknown, so none is logged."""
        abandoned, self.open = self.open, {}
        actions: list[Action] = []
        for proposal in abandoned.values():
            actions += proposal.on_ended(now_ms, Phase.PREEMPTED, None, None)
        return actions

    def retry_backoff_ms(self, register: str) -> float:
        """Return how long to wait before the next proposal, with jitter."""
        doublings = min(self.failures.get(register, 0), MAX_BACKOFF_DOUBLINGS)
        max_backoff_ms = min(MAX_RETRY_BACKOFF_MS, RETRY_BACKOFF_MS * 2.0**doublings)
        return self.random.uniform(max_backoff_ms / 4.0, max_backoff_ms)

    def due_ms(self) -> float:
        """Return when `expire` is due; infinity if there are no open proposals."""
        earliest_start_ms = min(
            (proposal.started_ms for proposal in self.open.values()), default=float("inf")
        )
        return earliest_start_ms + PROPOSAL_TIMEOUT_MS


def describe_value(value: Value) -> str:
    """Return a register's value as a text for the log."""
    if isinstance(value, Lease):
        holder = value.holder or "-"
        return f"{holder}/{value.process_incarnation}/{value.token}/{value.proposal_number}"
    return "" if value is None else str(value)
