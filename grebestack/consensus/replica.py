"""One member of the cluster: its acceptor, its proposer and its task leases. No I/O, no clock.

Each event is a method call with the current time, which returns the actions to carry out, in order.
Times are milliseconds of this member's monotonic clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import Any

from grebestack.consensus.acceptor import Acceptor
from grebestack.consensus.actions import Action, Peer, Send, Write
from grebestack.consensus.failure_detector import FailureDetector, HeartbeatTimes, PeerState
from grebestack.consensus.lease import LeaseTerms
from grebestack.consensus.membership_change import MembershipChange
from grebestack.consensus.messages import (
    Accept,
    Accepted,
    EnterEpoch,
    EpochRequest,
    Handshake,
    Heartbeat,
    HeartbeatResponse,
    JoinRequest,
    MembershipConfig,
    Message,
    Promise,
    Rejected,
    VotingStopped,
)
from grebestack.consensus.proposals import OnEnded, Proposals
from grebestack.consensus.recovery import RecoveredState
from grebestack.consensus.register import Change
from grebestack.consensus.task_leases import TaskLeases

MAX_TICK_INTERVAL_MS = 1000.0
MIN_TICK_INTERVAL_MS = 1.0
START_COUNT_SHIFT_BITS = 32  # a process incarnation is the start count, then random bits


class Replica:
    """The replica of one member.

    Parameters
    ----------
    names
        All members in the configuration file, this one included.
    state, last_record
        The state recovered from the log, and the sequence number of the log's last record.
    tasks
        The tasks for whose leases this member is a candidate.
    """

    def __init__(
        self,
        name: str,
        names: Iterable[str],
        state: RecoveredState,
        last_record: int,
        tasks: Iterable[str],
        terms: LeaseTerms,
        random: Random,
        now_ms: float,
        times: HeartbeatTimes | None = None,
    ) -> None:
        """Initialize without connections; `start` returns the first actions."""
        self.name, self.names = name, frozenset(names)
        self.acceptor = Acceptor(name, state, last_record)
        others = self.names - {name}
        self.failure_detector = FailureDetector(others, times or HeartbeatTimes(), random, now_ms)
        self.connections: dict[str, Peer] = {}
        self.log_positions: dict[str, tuple[str, int]] = {}  # as in `Handshake`
        start_count = state.start_count + 1
        self.process_incarnation = (start_count << START_COUNT_SHIFT_BITS) | random.getrandbits(
            START_COUNT_SHIFT_BITS
        )
        self.rank = sorted(self.names).index(name)
        self.proposals = Proposals(name, self.process_incarnation, self.acceptor, random)
        self.leases = TaskLeases(tasks, terms, self.proposals, self._rank_for, self.can_reach_quorum)
        self.membership = MembershipChange(name, self.names, self.acceptor, self.proposals, random, now_ms)
        self.handlers: dict[type[Message], Callable[[float, Peer, Any], list[Action]]] = {
            Heartbeat: self._on_heartbeat,
            HeartbeatResponse: self._on_heartbeat_response,
            Promise: self.proposals.on_promise,
            Accepted: self.proposals.on_accepted,
            Rejected: self.proposals.on_rejected,
            JoinRequest: self._on_join_request,
            VotingStopped: self._on_voting_stopped,
            Accept: self._on_accept,
            EnterEpoch: self._on_enter_epoch,
        }

    def _rank_for(self, task: str) -> int:
        """Return the rank among a task's candidates. It differs by task to spread the leases over members."""
        return (self.rank + sum(task.encode())) % len(self.names)

    @property
    def config(self) -> MembershipConfig:
        """The membership in force, as far as this member knows."""
        return self.acceptor.state.config

    def start(self, now_ms: float) -> list[Action]:
        """Start from the recovered state."""
        self._observe_registers(now_ms)
        return self._deliver_to_self(now_ms, self.acceptor.start())

    def handshake(self, cluster: str, version: int) -> Handshake:
        """Return the first message on each connection."""
        return Handshake(
            version,
            cluster,
            self.name,
            self.acceptor.state.disk_incarnation,
            self.process_incarnation,
            self.config.epoch,
            self.log_positions,
        )

    # Events of the disk.

    def on_synced(self, now_ms: float, last_record: int) -> list[Action]:
        """Handle a completed sync of all log records up to this one."""
        return self._deliver_to_self(now_ms, self.acceptor.on_synced(last_record))

    def on_disk_fault(self, now_ms: float, reason: str) -> list[Action]:
        """Handle a failed write or sync, or a corrupt log."""
        return self._deliver_to_self(now_ms, self.acceptor.on_disk_fault(reason))

    def on_disk_replaced(self, now_ms: float, disk_incarnation: str) -> list[Action]:
        """Begin an empty log. The caller must reopen connections: they carry the former disk incarnation."""
        cluster = self.acceptor.state.cluster
        actions = self.acceptor.on_disk_replaced(cluster, disk_incarnation, self.config)
        return self._deliver_to_self(now_ms, actions)

    # Events of connections.

    def on_connected(self, now_ms: float, handshake: Handshake) -> list[Action]:
        """Handle a new connection, after the other member's handshake."""
        peer = Peer(handshake.name, handshake.disk_incarnation, handshake.process_incarnation)
        self.connections[peer.name] = peer
        self.failure_detector.on_connected(peer.name, now_ms)
        actions = self.acceptor.on_handshake(handshake)
        if handshake.epoch > self.config.epoch:
            actions.append(Send(peer.name, EpochRequest(self.config.epoch)))
        actions += self.proposals.resend_to(peer.name)
        return self._deliver_to_self(now_ms, actions)

    def on_disconnected(self, now_ms: float, name: str) -> list[Action]:
        """Handle the end of a connection."""
        self.connections.pop(name, None)
        self.failure_detector.on_disconnected(name)
        self.acceptor.on_disconnected(name)
        return []

    def on_message(self, now_ms: float, name: str, last_record: int, message: Message) -> list[Action]:
        """Handle a message from a connected member, with the last log record that it reports."""
        peer = self.connections.get(name)
        if peer is None:
            return []
        self.failure_detector.on_message(name, now_ms)
        known = self.log_positions.get(name)
        if known is None or known[0] != peer.disk_incarnation or known[1] < last_record:
            self.log_positions[name] = peer.disk_incarnation, last_record
        return self._deliver_to_self(now_ms, self._handle(now_ms, peer, message))

    def _handle(self, now_ms: float, peer: Peer, message: Message) -> list[Action]:
        handler = self.handlers.get(type(message))
        if handler is not None:
            return handler(now_ms, peer, message)
        return self.acceptor.on_message(peer, message)

    def _on_heartbeat(self, now_ms: float, peer: Peer, message: Heartbeat) -> list[Action]:
        return self.failure_detector.on_heartbeat(peer.name, message, now_ms)

    def _on_heartbeat_response(self, now_ms: float, peer: Peer, message: HeartbeatResponse) -> list[Action]:
        self.failure_detector.on_heartbeat_response(message, now_ms)
        return self.acceptor.on_heartbeat_response(peer.name)

    def _on_join_request(self, now_ms: float, peer: Peer, message: JoinRequest) -> list[Action]:
        self.membership.on_join_request(now_ms, peer, message)
        return []

    def _on_voting_stopped(self, now_ms: float, peer: Peer, message: VotingStopped) -> list[Action]:
        return self.membership.on_voting_stopped(peer, message)

    def _on_accept(self, now_ms: float, peer: Peer, message: Accept) -> list[Action]:
        actions = self.acceptor.on_message(peer, message)
        if any(isinstance(action, Write) for action in actions):
            self.leases.observe(now_ms, message.register, message.value)
        return actions

    def _on_enter_epoch(self, now_ms: float, peer: Peer, message: EnterEpoch) -> list[Action]:
        epoch = self.config.epoch
        actions = self.acceptor.on_message(peer, message)
        if self.config.epoch > epoch:
            actions += self.proposals.abandon_all(now_ms)
            self._observe_registers(now_ms)
            self.membership.on_epoch_entered()
        return actions

    def _observe_registers(self, now_ms: float) -> None:
        for register, state in self.acceptor.state.registers.items():
            self.leases.observe(now_ms, register, state.value)

    # Requests of the caller.

    def propose(self, now_ms: float, register: str, change: Change, on_ended: OnEnded) -> list[Action]:
        """Propose a change or a read of a register, which must have no open proposal."""
        return self._deliver_to_self(now_ms, [*self.proposals.propose(now_ms, register, change, on_ended)])

    def has_open_proposal(self, register: str) -> bool:
        """Return whether this member has an open proposal for a register."""
        return register in self.proposals.open

    def can_reach_quorum(self) -> bool:
        """Return whether enough members are connected for a proposal to succeed."""
        connected = sum(name in self.connections for name in self.config.names() - {self.name})
        return bool(self.config.epoch) and connected + self.acceptor.is_voter >= self.config.quorum_size

    def valid_token(self, task: str, now_ms: float) -> int | None:
        """Return the fencing token to act with now, or None. Call this before each act; do not cache it."""
        return self.leases.valid_token(task, now_ms)

    def release_lease(self, now_ms: float, task: str, to: str = "") -> list[Action]:
        """Stop acting for a task and free its lease, or hand it over to the member `to`."""
        return self._deliver_to_self(now_ms, self.leases.release(now_ms, task, to))

    def on_fenced(self, now_ms: float, task: str) -> list[Action]:
        """Handle a resource's rejection of this member's token: the resource has seen a later one."""
        return self.leases.on_fenced(now_ms, task)

    def become_candidate(self, now_ms: float, task: str) -> None:
        """Be a candidate for a task's lease again, after a release."""
        self.leases.become_candidate(now_ms, task)

    def remove_member(self, name: str) -> str:
        """Remove a member from the cluster; return the reason if that is not possible, else an empty text."""
        return self.membership.remove(name)

    # Time.

    def tick(self, now_ms: float) -> list[Action]:
        """Carry out the work that is due."""
        actions = self.failure_detector.tick(now_ms)
        actions += self.acceptor.check_confirmation()
        actions += self.membership.tick(now_ms, self.connections)
        actions += self.proposals.expire(now_ms)
        actions += self.leases.tick(now_ms)
        return self._deliver_to_self(now_ms, actions)

    def due_ms(self, now_ms: float) -> float:
        """Return the latest time at which `tick` must be called next."""
        due_ms = min(
            now_ms + MAX_TICK_INTERVAL_MS,
            self.failure_detector.next_tick_ms,
            self.membership.next_step_ms,
            self.proposals.due_ms(),
            self.leases.due_ms(),
        )
        return max(due_ms, now_ms + MIN_TICK_INTERVAL_MS)

    def _deliver_to_self(self, now_ms: float, actions: list[Action]) -> list[Action]:
        """Handle this member's messages to itself immediately; return all other actions."""
        others: list[Action] = []
        queue = deque(actions)
        while queue:
            action = queue.popleft()
            if not isinstance(action, Send) or action.to != self.name:
                self._note_heartbeat(action)
                others.append(action)
                continue
            itself = Peer(self.name, self.acceptor.state.disk_incarnation, self.process_incarnation)
            queue.extendleft(reversed(self._handle(now_ms, itself, action.message)))
        return others

    def _note_heartbeat(self, action: Action) -> None:
        if isinstance(action, Send) and isinstance(action.message, Heartbeat):
            self.acceptor.witnesses.on_heartbeat_sent(action.to, self.acceptor.reported_record)

    # State for operators.

    def describe(self, now_ms: float) -> Mapping[str, str]:
        """Return the state of each member as text, this one first."""
        texts = {self.name: self.acceptor.describe()}
        for name in sorted(self.names - {self.name}):
            texts[name] = self.failure_detector.state_of(name, now_ms).value
        return texts

    def has_quorum(self, now_ms: float) -> bool:
        """Return whether a quorum is up, including this member if it is a voter."""
        others = self.config.names() - {self.name}
        up = sum(self.failure_detector.state_of(name, now_ms) is PeerState.UP for name in others)
        return bool(self.config.epoch) and up + self.acceptor.is_voter >= self.config.quorum_size
