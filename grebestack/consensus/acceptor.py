"""The acceptor of one member: what it promises and accepts, and when it may vote. Pure.

A response leaves only when all that was written before it is durable: another member may rely on it at once,
and this one must not forget it in a crash. An acceptor votes only while its disk can be trusted:

- with a new disk it does not vote until a membership counts it under its new disk incarnation;
- after a start it first learns from enough others to make a quorum with it which of its log records each has
  seen reported: one that knows of a later record than the disk holds shows that the disk has lost some or is
  an old copy;
- once a write or sync has failed, nothing on that disk is trusted again.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from grebestack.consensus.actions import Action, LogMessage, Peer, ReplaceDisk, Send, Write
from grebestack.consensus.messages import (
    Accept,
    Accepted,
    EnterEpoch,
    EpochEnded,
    EpochEntered,
    EpochRequest,
    Handshake,
    IncarnationStarted,
    LogRecord,
    MembershipConfig,
    Message,
    Prepare,
    ProcessStarted,
    Promise,
    RegisterWritten,
    Rejected,
    StopVoting,
    VotingStopped,
)
from grebestack.consensus.recovery import RecoveredState
from grebestack.consensus.register import (
    AcceptGranted,
    AcceptorResponse,
    AcceptorState,
    Ballot,
    PromiseGranted,
    accept,
    prepare,
)

CONFIRMATION_GRACE_MS = 1000.0  # after a start: for how long to wait for more peers than a quorum needs


class _PendingResponse(NamedTuple):
    """A response that waits until a log record is durable."""

    record: int
    to: str
    message: Message


class Acceptor:
    """The acceptor of one member. Its actions must be carried out in order."""

    def __init__(self, name: str, state: RecoveredState, last_record: int, now_ms: float) -> None:
        """Begin with the state of a log, whose last record is `last_record`."""
        self.name, self.state = name, state
        self.last_record = last_record  # written
        self.synced_record = last_record  # durable
        self.recovered_record = last_record  # read at the start
        self.pending: deque[_PendingResponse] = deque()
        self.started_ms = now_ms
        self.is_confirmed = False  # whether other members have confirmed the disk since the start
        self.confirming_peers: set[str] = set()
        self.disk_fault = ""  # why nothing on the disk is trusted
        self.handlers: dict[type[Message], Callable[[Peer, Any], list[Action]]] = {
            Prepare: self._on_prepare,
            Accept: self._on_accept,
            StopVoting: self._on_stop_voting,
            EnterEpoch: self._on_enter_epoch,
            EpochRequest: self._on_epoch_request,
        }

    @property
    def is_voter(self) -> bool:
        """Whether the membership counts this member under its disk incarnation."""
        return self.state.config.is_voter(self.name, self.state.disk_incarnation)

    @property
    def may_vote(self) -> bool:
        """Whether it responds to `Prepare` and `Accept`."""
        return self.is_confirmed and not self.disk_fault and self.is_voter and self.state.next_config is None

    @property
    def reported_record(self) -> int:
        """The log record to report to others: the recovered one until others have confirmed the disk."""
        return self.synced_record if self.is_confirmed else self.recovered_record

    def describe(self) -> str:
        """Return the state as a text for operators."""
        if self.disk_fault:
            return f"out: {self.disk_fault}"
        if not self.is_voter:
            return "out: asks to be admitted"
        if not self.is_confirmed:
            return "waits to hear how far others have heard it"
        return "changes the set" if self.state.next_config is not None else "votes"

    def start(self) -> list[Action]:
        """Record the start of a process."""
        return self._write(ProcessStarted(self.state.start_count + 1))

    def _write(self, record: LogRecord) -> list[Action]:
        self.state.apply(record)
        self.last_record += 1
        return [Write(record)]

    def _send_when_durable(self, to: str, message: Message) -> list[Action]:
        """Send a response once all records that it may depend on are durable."""
        if self.synced_record >= self.last_record:
            return [Send(to, message)]
        self.pending.append(_PendingResponse(self.last_record, to, message))
        return []

    # Events of the disk.

    def on_synced(self, last_record: int) -> list[Action]:
        """Handle the sync of all records up to this one."""
        self.synced_record = max(self.synced_record, last_record)
        actions: list[Action] = []
        while self.pending and self.pending[0].record <= self.synced_record:
            response = self.pending.popleft()
            actions.append(Send(response.to, response.message))
        return actions

    def on_disk_fault(self, reason: str) -> list[Action]:
        """Handle a disk that has failed or has lost records."""
        if self.disk_fault:
            return []
        self.disk_fault, self.is_confirmed = reason, False
        self.pending.clear()
        return [LogMessage("fleet_disk_doubted", {"why": reason}), ReplaceDisk(reason)]

    def compact(self) -> list[LogRecord]:
        """Return the records that replace the log so far; they continue its sequence numbers."""
        records = self.state.compacted_records()
        self.last_record += len(records)
        return records

    def on_disk_replaced(
        self, cluster: str, disk_incarnation: str, config: MembershipConfig, now_ms: float
    ) -> list[Action]:
        """Handle an empty log under a new disk incarnation. The membership is kept; votes are not."""
        self.state = RecoveredState()
        self.last_record = self.synced_record = self.recovered_record = 0
        self.pending.clear()
        self.disk_fault, self.started_ms = "", now_ms
        self.is_confirmed = True  # this incarnation has never voted, so it has lost no vote
        return [
            *self._write(IncarnationStarted(cluster, disk_incarnation, config)),
            *self._write(ProcessStarted(1)),
        ]

    # Confirmation of the disk.

    def on_handshake(self, now_ms: float, handshake: Handshake) -> list[Action]:
        """Compare the disk with the log record that a member has seen reported."""
        position = handshake.log_positions.get(self.name)
        known = self.last_record if self.is_confirmed else self.recovered_record
        if position is not None and position[0] == self.state.disk_incarnation and position[1] > known:
            return self.on_disk_fault(
                f"{handshake.name} has heard of record {position[1]}, the disk ends at {known}"
            )
        self.confirming_peers.add(handshake.name)
        return self.check_confirmation(now_ms)

    def check_confirmation(self, now_ms: float) -> list[Action]:
        """Trust the disk once enough others have confirmed it."""
        config = self.state.config
        others = config.names() - {self.name}
        if self.is_confirmed or self.disk_fault or not config.epoch:
            return []
        confirmed = len(self.confirming_peers & others)
        is_grace_over = now_ms >= self.started_ms + CONFIRMATION_GRACE_MS
        is_enough = confirmed >= config.quorum_size - 1 and is_grace_over
        if confirmed < len(others) and not is_enough:
            return []
        self.is_confirmed = True
        return [LogMessage("fleet_disk_vouched", {"by": confirmed, "record": self.last_record})]

    # Requests of proposers and of changes of the membership.

    def on_message(self, peer: Peer, message: Message) -> list[Action]:
        """Handle a request to this acceptor; other messages are ignored."""
        handler = self.handlers.get(type(message))
        return handler(peer, message) if handler is not None else []

    def _on_prepare(self, peer: Peer, message: Prepare) -> list[Action]:
        if not self.may_vote or message.epoch != self.state.config.epoch:
            return self._on_other_epoch(peer, message.epoch)
        state = self.state.registers.get(message.register, AcceptorState())
        after, response = prepare(state, message.ballot)
        return self._respond(peer, message.register, message.ballot, state, after, response)

    def _on_accept(self, peer: Peer, message: Accept) -> list[Action]:
        if not self.may_vote or message.epoch != self.state.config.epoch:
            return self._on_other_epoch(peer, message.epoch)
        state = self.state.registers.get(message.register, AcceptorState())
        after, response = accept(state, message.ballot, message.value)
        return self._respond(peer, message.register, message.ballot, state, after, response)

    def _on_other_epoch(self, peer: Peer, epoch: int) -> list[Action]:
        """Bring the proposer up to this epoch, or request a later one from it."""
        own_epoch = self.state.config.epoch
        if epoch < own_epoch:
            return self.send_epoch(peer)
        return [Send(peer.name, EpochRequest(own_epoch))] if epoch > own_epoch else []

    def _respond(
        self,
        peer: Peer,
        register: str,
        ballot: Ballot,
        before: AcceptorState,
        after: AcceptorState,
        response: AcceptorResponse,
    ) -> list[Action]:
        """Write a changed state before the response: a vote that a crash undoes could be given twice."""
        epoch = self.state.config.epoch
        actions: list[Action] = []
        if after != before:
            entry = register, after.promised, after.accepted, after.value
            actions = self._write(RegisterWritten(entry))
        message: Message
        if isinstance(response, PromiseGranted):
            message = Promise(epoch, register, ballot, response.accepted, response.value)
        elif isinstance(response, AcceptGranted):
            message = Accepted(epoch, register, ballot)
        else:
            message = Rejected(epoch, register, ballot, response.promised)
        return actions + self._send_when_durable(peer.name, message)

    def _on_stop_voting(self, peer: Peer, message: StopVoting) -> list[Action]:
        epoch = self.state.config.epoch
        if message.epoch < epoch:
            return self.send_epoch(peer)
        if message.epoch > epoch or not (self.is_confirmed and self.is_voter) or self.disk_fault:
            return []
        actions: list[Action] = []
        if self.state.next_config is None:
            actions = self._write(EpochEnded(message.next_config))
        stopped = VotingStopped(message.epoch, self.state.register_entries())
        return actions + self._send_when_durable(peer.name, stopped)

    def _on_enter_epoch(self, peer: Peer, message: EnterEpoch) -> list[Action]:
        # Being a member of the epoch does not confirm the disk: an old copy may have voted there already.
        if message.config.epoch <= self.state.config.epoch or self.disk_fault:
            return []
        actions = self._write(EpochEntered(message.config, message.registers))
        kv = {"epoch": message.config.epoch, "standing": self.describe()}
        return [*actions, LogMessage("fleet_epoch", kv)]

    def _on_epoch_request(self, peer: Peer, message: EpochRequest) -> list[Action]:
        return self.send_epoch(peer) if message.epoch < self.state.config.epoch else []

    def send_epoch(self, peer: Peer) -> list[Action]:
        """Send this epoch to a member that is in an earlier one, once what it depends on is durable.

        The receiver has not voted in this epoch yet. To begin with the registers that this acceptor holds now
        is as if it had received the same requests.
        """
        is_in_epoch = self.is_confirmed and self.is_voter and self.state.next_config is None
        if self.disk_fault or not is_in_epoch:
            return []
        return self._send_when_durable(
            peer.name, EnterEpoch(self.state.config, self.state.register_entries())
        )
