"""The acceptor of one member: its promises and accepted values, and when it may vote. No I/O, no clock.

A response is sent only when all records written before it are durable: another member may rely on it at once,
so a crash must not lose it. A vote (a response to `Prepare`, `Accept` or `StopVoting`) is sent only when
enough other members, its receiver included, will know of its record (see `witnesses`). An acceptor votes only
while its log is known to be complete:

- with a new disk it does not vote until the membership lists it with its new disk incarnation;
- after a start it first compares its log with the last record that other members know of, and waits for
  enough of them that a witness of each vote is included. If one knows of a later record than the log holds,
  the disk has lost records or is an old copy;
- once a write or sync has failed, the disk's contents are not used again.
"""

from __future__ import annotations

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
    Heartbeat,
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
from grebestack.consensus.witnesses import RecordWitnesses


class _PendingResponse(NamedTuple):
    """A response that waits until a log record is durable and witnessed."""

    record: int
    to: str
    message: Message
    required_witnesses: int  # besides its receiver: members that must know of the record

    def is_superseded_by(self, newer: _PendingResponse) -> bool:
        """Whether the receiver does not need this response once there is a newer one."""
        mine, other = self.message, newer.message
        if self.to != newer.to or type(mine) is not type(other):
            return False
        if isinstance(mine, Promise | Accepted | Rejected) and isinstance(
            other, Promise | Accepted | Rejected
        ):
            return mine.register == other.register and mine.ballot != other.ballot
        return True


class Acceptor:
    """The acceptor of one member. The caller must carry out its actions in order."""

    def __init__(self, name: str, state: RecoveredState, last_record: int) -> None:
        """Initialize from the state of a log whose last record is `last_record`."""
        self.name, self.state = name, state
        self.last_record = last_record  # written
        self.synced_record = last_record  # durable
        self.recovered_record = last_record  # read at the start
        self.pending: list[_PendingResponse] = []
        self.witnesses = RecordWitnesses()
        self.is_confirmed = False  # whether other members have confirmed the disk since the start
        self.confirming_peers: set[str] = set()  # members that have connected since the start
        self.is_new_disk = False  # whether this process created the log, which then cannot lack records
        self.disk_fault = ""  # why the log cannot be used; empty: it can
        self.handlers: dict[type[Message], Callable[[Peer, Any], list[Action]]] = {
            Prepare: self._on_prepare,
            Accept: self._on_accept,
            StopVoting: self._on_stop_voting,
            EnterEpoch: self._on_enter_epoch,
            EpochRequest: self._on_epoch_request,
        }

    @property
    def is_voter(self) -> bool:
        """Whether the membership lists this member with its disk incarnation."""
        return self.state.config.is_voter(self.name, self.state.disk_incarnation)

    @property
    def may_vote(self) -> bool:
        """Whether this acceptor responds to `Prepare` and `Accept`."""
        return self._is_confirmed_voter and self.state.next_config is None

    @property
    def _is_confirmed_voter(self) -> bool:
        """Whether this member is a voter whose log is known to hold all its votes of the current epoch."""
        is_log_complete = self.is_confirmed and not self.disk_fault and self._has_enough_confirmations
        return is_log_complete and self.is_voter

    @property
    def _has_enough_confirmations(self) -> bool:
        """Whether a witness of each vote in the current epoch is among the confirming members.

        The disk may have been confirmed in an earlier epoch, which required fewer confirmations.
        """
        config = self.state.config
        others = config.names() - {self.name}
        return self.is_new_disk or len(self.confirming_peers & others) >= config.required_confirmations

    @property
    def reported_record(self) -> int:
        """The log record to report to others: until they have confirmed the disk, the last recovered one."""
        return self.synced_record if self.is_confirmed else self.recovered_record

    def describe(self) -> str:
        """Return the state as a text for operators."""
        if self.disk_fault:
            return f"out: {self.disk_fault}"
        if not self.is_voter:
            return "out: asks to be admitted"
        if not (self.is_confirmed and self._has_enough_confirmations):
            return "waits for other members to confirm its disk"
        return "changes the membership" if self.state.next_config is not None else "votes"

    def start(self) -> list[Action]:
        """Write a record of the process's start."""
        return self._write(ProcessStarted(self.state.start_count + 1))

    def _write(self, record: LogRecord) -> list[Action]:
        self.state.apply(record)
        self.last_record += 1
        return [Write(record)]

    # Pending responses.

    def _send_vote(self, to: str, message: Message) -> list[Action]:
        """Send a vote once its record is durable and has all its witnesses; the receiver may be one."""
        config = self.state.config
        is_witness = to != self.name and to in config.names()
        return self._send_when_ready(to, message, config.required_witnesses - is_witness)

    def _send_when_ready(self, to: str, message: Message, required_witnesses: int) -> list[Action]:
        """Send a response once all records written so far are durable and have enough witnesses."""
        response = _PendingResponse(self.last_record, to, message, required_witnesses)
        if self._can_send(response):
            return [Send(to, message)]
        self.pending = [earlier for earlier in self.pending if not earlier.is_superseded_by(response)]
        self.pending.append(response)
        return self._request_witnesses()

    def _can_send(self, response: _PendingResponse) -> bool:
        if response.record > self.synced_record:
            return False
        others = self.state.config.names() - {self.name, response.to}
        return self.witnesses.count(response.record, others) >= response.required_witnesses

    def _send_ready_responses(self) -> list[Action]:
        """Send the pending responses that can be sent now."""
        ready = [response for response in self.pending if self._can_send(response)]
        if ready:
            self.pending = [response for response in self.pending if not self._can_send(response)]
        sends = [Send(response.to, response.message) for response in ready]
        return [*sends, *self._request_witnesses()]

    def _request_witnesses(self) -> list[Action]:
        """Send heartbeats; their responses show that other members know of the pending records."""
        durable = [r.record for r in self.pending if r.record <= self.synced_record]
        if not durable:
            return []
        others = self.state.config.names() - {self.name}
        return [Send(name, Heartbeat()) for name in self.witnesses.members_to_notify(max(durable), others)]

    # Events of connections.

    def on_disconnected(self, name: str) -> None:
        """Handle the end of a connection; the member repeats its requests when it connects again."""
        self.witnesses.on_disconnected(name)
        self.pending = [response for response in self.pending if response.to != name]

    def on_heartbeat_response(self, name: str) -> list[Action]:
        """Handle the response to a heartbeat: its sender knows of the record sent with the heartbeat."""
        self.witnesses.on_heartbeat_response(name)
        return self._send_ready_responses()

    # Events of the disk.

    def on_synced(self, last_record: int) -> list[Action]:
        """Handle a completed sync of all records up to this one."""
        self.synced_record = max(self.synced_record, last_record)
        return self._send_ready_responses()

    def on_disk_fault(self, reason: str) -> list[Action]:
        """Handle a disk that has failed or has lost records."""
        if self.disk_fault:
            return []
        self.disk_fault, self.is_confirmed = reason, False
        self.pending.clear()
        return [LogMessage("fleet_disk_doubted", {"why": reason}), ReplaceDisk(reason)]

    def compact(self) -> list[LogRecord]:
        """Return the records that replace the present log; their sequence numbers continue from it."""
        records = self.state.compacted_records()
        self.last_record += len(records)
        return records

    def on_disk_replaced(self, cluster: str, disk_incarnation: str, config: MembershipConfig) -> list[Action]:
        """Begin an empty log with a new disk incarnation.

        The membership and the start count are kept; votes are not.
        """
        start_count = max(1, self.state.start_count)
        self.state = RecoveredState()
        self.last_record = self.synced_record = self.recovered_record = 0
        self.pending.clear()
        self.witnesses.forget_records()
        self.disk_fault = ""
        self.is_confirmed = self.is_new_disk = True
        self.confirming_peers.clear()
        return [
            *self._write(IncarnationStarted(cluster, disk_incarnation, config)),
            *self._write(ProcessStarted(start_count)),
        ]

    # Confirmation of the disk.

    def on_handshake(self, handshake: Handshake) -> list[Action]:
        """Compare the log with the last record of it that a connecting member knows of."""
        incarnation, reported = handshake.log_positions.get(self.name, ("", 0))
        if incarnation != self.state.disk_incarnation:
            reported = 0
        # At the first contact the member can only know of records that were durable before the start. Records
        # written since then must not make up for lost ones.
        is_first_contact = handshake.name not in self.confirming_peers
        last_expected = self.recovered_record if is_first_contact else self.last_record
        if reported > last_expected:
            return self.on_disk_fault(
                f"{handshake.name} knows of record {reported}, the log ends at {last_expected}"
            )
        self.witnesses.on_connected(handshake.name, reported)
        self.confirming_peers.add(handshake.name)
        return [*self.check_confirmation(), *self._send_ready_responses()]

    def check_confirmation(self) -> list[Action]:
        """Mark the disk as confirmed once enough other members have confirmed it."""
        is_membership_known = bool(self.state.config.epoch)
        if (
            self.is_confirmed
            or self.disk_fault
            or not (is_membership_known and self._has_enough_confirmations)
        ):
            return []
        self.is_confirmed = True
        kv = {"by": len(self.confirming_peers), "record": self.last_record}
        return [LogMessage("fleet_disk_vouched", kv)]

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
        """Send this epoch to a proposer in an earlier one, or request the proposer's later epoch."""
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
        """Write a changed state before responding: a vote lost in a crash could later be contradicted."""
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
        return actions + self._send_vote(peer.name, message)

    def _on_stop_voting(self, peer: Peer, message: StopVoting) -> list[Action]:
        epoch = self.state.config.epoch
        if message.epoch < epoch:
            return self.send_epoch(peer)
        if message.epoch > epoch or not self._is_confirmed_voter:
            return []
        actions: list[Action] = []
        if self.state.next_config is None:
            actions = self._write(EpochEnded(message.next_config))
        stopped = VotingStopped(message.epoch, self.state.register_entries())
        return actions + self._send_vote(peer.name, stopped)

    def _on_enter_epoch(self, peer: Peer, message: EnterEpoch) -> list[Action]:
        # Membership of the epoch does not confirm the disk: this may be an old copy of one that voted in it.
        if message.config.epoch <= self.state.config.epoch or self.disk_fault:
            return []
        actions = self._write(EpochEntered(message.config, message.registers))
        kv = {"epoch": message.config.epoch, "standing": self.describe()}
        return [*actions, LogMessage("fleet_epoch", kv)]

    def _on_epoch_request(self, peer: Peer, message: EpochRequest) -> list[Action]:
        return self.send_epoch(peer) if message.epoch < self.state.config.epoch else []

    def send_epoch(self, peer: Peer) -> list[Action]:
        """Send this epoch to a member in an earlier one, once the records that it depends on are durable.

        The receiver has not voted in this epoch yet. Beginning with this acceptor's present registers is the
        same as if it had received the same requests as this acceptor.
        """
        is_in_epoch = self.is_confirmed and self.is_voter and self.state.next_config is None
        if self.disk_fault or not is_in_epoch:
            return []
        entered = EnterEpoch(self.state.config, self.state.register_entries())
        return self._send_when_ready(peer.name, entered, required_witnesses=0)
