"""A running member of the cluster: its replica with disk, connections and clock."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgspec

from grebestack.cluster_io.log_store import Files, LogStore
from grebestack.cluster_io.peer_connection import Dialler, PeerConnection
from grebestack.cluster_io.runtime import monotonic_ms, write_log
from grebestack.consensus.actions import (
    Action,
    Disconnect,
    LeaseChanged,
    LogMessage,
    ReplaceDisk,
    Send,
    Write,
)
from grebestack.consensus.lease import LeaseTerms
from grebestack.consensus.messages import (
    PROTOCOL_VERSION,
    Handshake,
    Message,
    TaskMessage,
    decode_record,
    encode,
)
from grebestack.consensus.recovery import RecoveredState
from grebestack.consensus.register import Change, Phase, Value
from grebestack.consensus.replica import Replica

log = logging.getLogger(__name__)
Address = tuple[str, int]
DIAL_BACKOFF_S, MAX_DIAL_BACKOFF_S = 0.1, 0.6
REPLACE_BACKOFF_S, MAX_REPLACE_BACKOFF_S = 1.0, 30.0  # between attempts to start an empty log
MAX_BACKOFF_DOUBLINGS = 10
DISK_INCARNATION_BITS = 48


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """A member's part of the operators' file.

    Parameters
    ----------
    members
        The address of each other member.
    folder
        Where the log is kept.
    tasks
        The tasks whose leases this member wants.
    """

    name: str
    cluster: str
    listen: Address
    members: Mapping[str, Address]
    folder: str
    tasks: tuple[str, ...] = ()
    terms: LeaseTerms = field(default_factory=LeaseTerms)


class Node:
    """One member.

    Parameters
    ----------
    clock
        Returns a monotonic time in milliseconds.

    Raises
    ------
    FolderTakenError
        Another process has locked the folder.
    OSError
        The folder can't be created or opened.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: NodeSettings,
        files: Files | None = None,
        clock: Callable[[], float] = monotonic_ms,
    ) -> None:
        """Read the log; `listen` starts the member."""
        self.loop, self.settings, self.clock = loop, settings, clock
        self.random = Random(int.from_bytes(os.urandom(8), "big"))
        self.store = LogStore(loop, settings.folder, self._on_synced, self._on_disk_failed, files)
        # By task: called with the sender and the body of a task message.
        self.message_handlers: dict[str, Callable[[str, bytes], None]] = {}
        # By task: called soon after this member has gained or lost the lease.
        self.lease_listeners: dict[str, Callable[[], None]] = {}
        self.connections: dict[str, PeerConnection] = {}  # open ones, by member
        self.diallers: dict[str, Dialler] = {}
        self.server: asyncio.Server | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.replace_failures = 0
        self.stopped = False
        self.action_handlers: dict[type[Action], Callable[[Any], None]] = {
            Send: self._send,
            Write: self._write,
            LogMessage: write_log,
            LeaseChanged: self._notify_lease_listener,
            ReplaceDisk: self._replace_disk,
        }
        self.replica, self.disk_fault_at_start = self._recover()

    def _recover(self) -> tuple[Replica, str]:
        """Return the replica with its recovered state, and why the log can't be trusted, or an empty text."""
        recovered = self.store.open()
        settings, fault = self.settings, recovered.fault
        state = RecoveredState(settings.cluster)
        if not fault:
            fault = self._apply_records(state, recovered.payloads)
        if fault:
            state = RecoveredState(settings.cluster)
        replica = Replica(
            settings.name,
            set(settings.members) | {settings.name},
            state,
            recovered.last_record,
            settings.tasks,
            settings.terms,
            self.random,
            self.clock(),
        )
        return replica, fault

    def _apply_records(self, state: RecoveredState, payloads: tuple[bytes, ...]) -> str:
        """Apply the log's records; return why they can't be trusted, or an empty text."""
        try:
            for payload in payloads:
                state.apply(decode_record(payload))
        except msgspec.DecodeError as error:
            return f"a record is not of protocol version {PROTOCOL_VERSION}: {error}"
        if state.cluster != self.settings.cluster:
            return f"the log belongs to the fleet {state.cluster!r}"
        return ""

    def listen(self, server: asyncio.Server) -> None:
        """Start, with the server that the caller has opened for `accept`."""
        self.server = server
        if self.disk_fault_at_start:
            self._run(self.replica.on_disk_fault(self.clock(), self.disk_fault_at_start))
        else:
            self._run(self.replica.start(self.clock()))
        for name, address in self.settings.members.items():
            if name > self.settings.name:  # of two members, the one whose name sorts first dials
                self.diallers[name] = Dialler(self.loop, self, name, address, self._backoff_s)
                self.diallers[name].dial()

    def accept(self) -> PeerConnection:
        """Return the protocol for a connection that another member has opened."""
        return PeerConnection(self.loop, self)

    def _backoff_s(
        self, failures: int, first_s: float = DIAL_BACKOFF_S, max_s: float = MAX_DIAL_BACKOFF_S
    ) -> float:
        """Return the seconds before the next attempt: exponential, with jitter."""
        max_s = min(max_s, first_s * 2.0 ** min(failures, MAX_BACKOFF_DOUBLINGS))
        return self.random.uniform(max_s / 2.0, max_s)

    def stop(self) -> None:
        """Close everything. Leases are not released; call `release` first for that."""
        self.stopped = True
        if self.server is not None:
            self.server.close()
        for dialler in self.diallers.values():
            dialler.stop()
        for connection in list(self.connections.values()):
            connection.close("stopping")
        if self.timer is not None:
            self.timer.cancel()
        self.store.close()

    # For cluster tasks.

    def valid_token(self, task: str) -> int | None:
        """Return the fencing token while the lease is valid here, else None; check it at each action."""
        return None if self.stopped else self.replica.valid_token(task, self.clock())

    def release(self, task: str, to: str = "") -> None:
        """Release a task's lease, or transfer it to a member by name."""
        self._run(self.replica.release_lease(self.clock(), task, to))

    def on_fenced(self, task: str) -> None:
        """Handle a resource's rejection of this member's token: the resource has seen a later one."""
        self._run(self.replica.on_fenced(self.clock(), task))

    def become_candidate(self, task: str) -> None:
        """Compete for the lease of a task again, after a release."""
        self.replica.become_candidate(self.clock(), task)
        self._run([])

    def propose(self, register: str, change: Change, on_ended: Callable[[bool, Value], None]) -> None:
        """Propose a change to a register, or read it.

        Parameters
        ----------
        on_ended
            Called with whether the value is known to be chosen, and the value; at once with False if this
            member has an open proposal for the register or too few members are connected.
        """
        if self.replica.has_open_proposal(register) or not self.replica.can_reach_quorum():
            on_ended(False, None)
            return

        def report(at_ms: float, phase: Phase, previous: Value, value: Value) -> list[Action]:
            on_ended(phase is Phase.CHOSEN, value)
            return []

        self._run(self.replica.propose(self.clock(), register, change, report))

    def send_task_message(self, to: str, task: str, body: bytes) -> None:
        """Send a message to a task of another member. It is dropped if the member is not connected."""
        if to in self.connections:
            self.connections[to].send(TaskMessage(task, body))

    # Callbacks of the connections.

    def handshake(self) -> Handshake:
        """Return the first message on each connection."""
        return self.replica.handshake(self.settings.cluster, PROTOCOL_VERSION)

    def reported_record(self) -> int:
        """Return the last log record to report to other members."""
        return self.replica.acceptor.reported_record

    def on_handshake(self, connection: PeerConnection, handshake: Handshake) -> str:
        """Handle the other end's handshake; return why it is rejected, or an empty text."""
        if handshake.version != PROTOCOL_VERSION or handshake.cluster != self.settings.cluster:
            return f"it belongs to fleet {handshake.cluster!r}, protocol version {handshake.version}"
        name = handshake.name
        if name not in self.settings.members or name == self.settings.name:
            return f"{name!r} is not another member"
        former = self.connections.get(name)
        if former is not None:
            if self.replica.connections[name].process_incarnation > handshake.process_incarnation:
                return f"a later process of {name} is connected"
            self._disconnect(former, "it has connected again")
        connection.accept_peer(name)
        self.connections[name] = connection
        if name in self.diallers:
            self.diallers[name].failures = 0
        self._run(self.replica.on_connected(self.clock(), handshake))
        return ""

    def on_message(self, connection: PeerConnection, last_record: int, message: Message) -> None:
        """Handle a message, with the last log record that the sender reports."""
        peer = connection.peer
        if self.connections.get(peer) is not connection or self.stopped:
            return
        if isinstance(message, TaskMessage):
            self.replica.failure_detector.on_message(peer, self.clock())
            if message.task in self.message_handlers:
                self.message_handlers[message.task](peer, message.body)
            return
        self._run(self.replica.on_message(self.clock(), peer, last_record, message))

    def on_closed(self, connection: PeerConnection, reason: str) -> None:
        """Handle the end of a connection."""
        if connection.peer and self.connections.get(connection.peer) is connection:
            self._disconnect(connection, reason)
        elif not connection.peer and not self.stopped:
            kv = {"peer": connection.expected_peer, "why": reason}
            log.debug("fleet_link_refused", extra={"kv": kv})
        dialler = self.diallers.get(connection.expected_peer)
        if dialler is not None and dialler.connection is connection:
            dialler.on_closed()

    def _disconnect(self, connection: PeerConnection, reason: str) -> None:
        del self.connections[connection.peer]
        self._run(self.replica.on_disconnected(self.clock(), connection.peer))
        if not self.stopped:
            log.info("fleet_link_ended", extra={"kv": {"peer": connection.peer, "why": reason}})
        connection.close(reason)

    # Events of the disk.

    def _on_synced(self, last_record: int) -> None:
        if not self.stopped:
            self._run(self.replica.on_synced(self.clock(), last_record))

    def _on_disk_failed(self, reason: str) -> None:
        if not self.stopped:
            self._run(self.replica.on_disk_fault(self.clock(), reason))

    def _start_empty_log(self) -> None:
        if not self.stopped:
            self.store.replace(self._on_log_replaced)

    def _on_log_replaced(self, failure: str) -> None:
        if self.stopped:
            return
        if failure:
            self.replace_failures += 1
            delay_s = self._backoff_s(self.replace_failures, REPLACE_BACKOFF_S, MAX_REPLACE_BACKOFF_S)
            log.warning("fleet_disk_unusable", extra={"kv": {"why": failure, "again_s": delay_s}})
            self.loop.call_later(delay_s, self._start_empty_log)
            return
        self.replace_failures = 0
        disk_incarnation = f"{self.random.getrandbits(DISK_INCARNATION_BITS):012x}"
        log.warning("fleet_reborn", extra={"kv": {"incarnation": disk_incarnation}})
        self._run(self.replica.on_disk_replaced(self.clock(), disk_incarnation))
        # Reconnect: the handshakes sent on these connections named the former disk incarnation.
        for connection in list(self.connections.values()):
            self._disconnect(connection, "new disk incarnation")

    # The replica's actions and its timer.

    def _run(self, actions: list[Action]) -> None:
        """Carry out the replica's actions, and set the timer for its next tick."""
        disconnects: list[Disconnect] = []
        for action in actions:
            if isinstance(action, Disconnect):
                # Carried out last, since disconnecting makes the replica return further actions.
                disconnects.append(action)
            else:
                self.action_handlers[type(action)](action)
        for disconnect in disconnects:
            if disconnect.peer in self.connections:
                self._disconnect(self.connections[disconnect.peer], disconnect.reason)
        if self.store.needs_compaction and not self.replica.acceptor.disk_fault:
            self.store.compact([encode(record) for record in self.replica.acceptor.compact()])
        if not self.stopped:
            self._set_timer()

    def _send(self, action: Send) -> None:
        if action.to in self.connections:
            self.connections[action.to].send(action.message)

    def _write(self, action: Write) -> None:
        self.store.append(encode(action.record))

    def _notify_lease_listener(self, action: LeaseChanged) -> None:
        if (listener := self.lease_listeners.get(action.task)) is not None:
            self.loop.call_soon(listener)

    def _replace_disk(self, action: ReplaceDisk) -> None:
        self._start_empty_log()

    def _set_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        now_ms = self.clock()
        delay_s = max(0.0, self.replica.due_ms(now_ms) - now_ms) / 1000.0
        self.timer = self.loop.call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self.timer = None
        self._run(self.replica.tick(self.clock()))
