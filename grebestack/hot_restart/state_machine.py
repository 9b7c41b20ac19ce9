"""The state machine of one process in a hot restart. Pure: events in, actions out.

The *predecessor* serves; its *successor* starts while it runs and takes over. A process can be both: the
successor of one restart is the predecessor of the next, while the first predecessor may still be finishing
its requests. Peers are numbers that the caller assigns.

Order matters in four places:

- The successor accepts clients only after the predecessor has stopped accepting and has sent the ids of its
  open requests, so that no call id is accepted by both. Meanwhile connections wait in the listening socket,
  which stays open throughout.
- The predecessor gives up the rendezvous before it stops accepting, so that a third process never finds one
  that no longer serves.
- A request that moves along the chain of processes is always counted as open by those behind it.
- A query waits for each peer whose response could still change its result: a missing response counts as
  neither yes nor no, and a lost peer no longer counts.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import ClassVar

from grebestack.hot_restart import messages
from grebestack.hot_restart.messages import PROTOCOL_VERSION, Message, MessageType

MAX_PREDECESSOR_OPEN_IDS = 20_000


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a peer."""

    peer: int
    message: Message


@dataclass(frozen=True, slots=True)
class SendInheritedState:
    """Send a successor the state that it starts from."""

    peer: int


@dataclass(frozen=True, slots=True)
class InheritState:
    """Adopt the predecessor's state. Must come before anything is sent to a worker."""

    state: Message


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close the channel to a peer. No events of this peer follow."""

    peer: int
    reason: str


@dataclass(frozen=True, slots=True)
class AcceptClients:
    """Accept clients, or stop: close this process's copy of the listener and hand connections over."""

    enabled: bool
    successor: int | None = None


@dataclass(frozen=True, slots=True)
class HoldRendezvous:
    """Hold the rendezvous, where a starting process finds this one, or give it up."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class ShareCapacity:
    """Divide the dispatcher's connection limit among this number of processes."""

    processes: int


@dataclass(frozen=True, slots=True)
class RunCommand:
    """Run an admin command that a peer received, and send the peer a COMMAND_RESULT with this number."""

    peer: int
    number: int
    verb: str
    worker: str


@dataclass(frozen=True, slots=True)
class DeliverCallback:
    """Deliver a call-back that a peer received, and send the peer a CALLBACK_RESULT with this number."""

    peer: int
    number: int
    body: str


@dataclass(frozen=True, slots=True)
class CompleteQuery:
    """A query of this process is complete: whether all, or any, agreed; None after a timeout."""

    number: int
    result: bool | None


@dataclass(frozen=True, slots=True)
class NoteClosed:
    """The predecessor has answered a request: it must not run again, and the successor is told so."""

    call_id: str


@dataclass(frozen=True, slots=True)
class NoteEnded:
    """The predecessor has answered these requests before: they must not run again."""

    call_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CountAttempt:
    """Count an attempt that the predecessor has sent or ended; None: it is gone, end all of them."""

    message: Message | None


Action = (
    SendMessage
    | SendInheritedState
    | InheritState
    | Disconnect
    | AcceptClients
    | HoldRendezvous
    | ShareCapacity
    | RunCommand
    | DeliverCallback
    | CompleteQuery
    | NoteClosed
    | NoteEnded
    | CountAttempt
)


@dataclass(slots=True)
class PendingQuery:
    """The peers that have yet to respond, and the result so far."""

    waiting_for: set[int]
    requires_all: bool  # else one agreeing peer is enough
    result: bool = False

    def add(self, peer: int, agrees: bool) -> bool:
        """Add a peer's response; returns whether the result is final."""
        self.waiting_for.discard(peer)
        if self.requires_all:
            self.result = self.result and agrees
            return not self.waiting_for
        self.result = self.result or agrees
        return self.result or not self.waiting_for


class HotRestart:
    """One process's side. Each event returns the actions to execute, in order."""

    def __init__(self) -> None:
        """Start without peers."""
        self.peers: set[int] = set()  # those that have been sent, or have sent, a HELLO
        self.predecessor: int | None = None
        self.successor: int | None = None
        self.successor_reads_history = False  # else it takes a handed over request for one that never ran
        self.has_inherited = False
        self.started = False
        self.accepting = False
        self.handed_over = False
        self.holds_rendezvous = False
        self.stopping = False
        self.queries: dict[int, PendingQuery] = {}
        self.last_query = 0
        self.predecessor_open_ids: set[str] = set()  # call ids that the predecessor has not answered yet

    # Events of this process.

    def on_predecessor_found(self, peer: int) -> list[Action]:
        """At startup, another process holds the rendezvous."""
        self.predecessor = peer
        self.peers.add(peer)
        return [SendMessage(peer, messages.hello()), ShareCapacity(2)]

    def on_no_predecessor(self) -> list[Action]:
        """At startup, no process holds the rendezvous, or it can't be taken over."""
        self.predecessor = None
        self.holds_rendezvous = True
        return [HoldRendezvous(True), ShareCapacity(1)]

    def on_started(self) -> list[Action]:
        """Startup is complete. With a predecessor, clients are accepted once it has handed over."""
        self.started = True
        if self.predecessor is None:
            return self._accept_clients()
        return [SendMessage(self.predecessor, messages.ready())]

    def on_handover_timeout(self) -> list[Action]:
        """The predecessor has not handed over in time; it probably hangs."""
        return self._accept_clients()

    def on_stop(self) -> None:
        """This process is stopping."""
        self.stopping = True

    def on_request_adopted(self, call_id: str) -> None:
        """A request that the predecessor had open is one of this process from now on."""
        self.predecessor_open_ids.discard(call_id)

    def query_command(self, verb: str, worker: str, asked_by: int | None = None) -> tuple[int, list[Action]]:
        """Ask all other peers to run a command that was run here. The number is that of `CompleteQuery`.

        `asked_by` is the peer that has asked this process, if one has: processes that replace each other form
        a chain, along which a query is passed on.
        """
        return self._query(True, asked_by, lambda number: messages.run_command(number, verb, worker))

    def query_callback(self, body: str, asked_by: int | None = None) -> tuple[int, list[Action]]:
        """Offer all other peers a call-back that is unknown here, as `query_command` asks them."""
        return self._query(False, asked_by, lambda number: messages.deliver_callback(number, body))

    def on_query_timeout(self, number: int) -> list[Action]:
        """A query has not completed in time."""
        if self.queries.pop(number, None) is None:
            return []
        return [CompleteQuery(number, None)]

    # Events of peers.

    def on_peer_lost(self, peer: int) -> list[Action]:
        """A peer has exited, or its channel failed: its responses are not awaited, and its role is vacant."""
        if peer not in self.peers:
            return []
        self.peers.discard(peer)
        actions: list[Action] = []
        for number, query in list(self.queries.items()):
            actions += self._add_response(number, peer, agrees=query.requires_all)
        if peer == self.predecessor:
            actions += self._lose_predecessor()
        if peer == self.successor:
            actions += self._lose_successor()
        return [*actions, ShareCapacity(1 + len(self.peers))]

    def on_message(self, peer: int, message: Message) -> list[Action]:
        """Handle a message. A peer that violates the protocol is disconnected."""
        type_name = messages.message_type(message)
        handler = self._HANDLERS.get(type_name)
        if handler is None or (peer not in self.peers and type_name != MessageType.HELLO):
            return [Disconnect(peer, f"unexpected message type {type_name[:40]!r}"), *self.on_peer_lost(peer)]
        try:
            return handler(self, peer, message)
        except (KeyError, TypeError, ValueError) as error:
            reason = f"malformed message {type_name!r}: {error!r}"
            return [Disconnect(peer, reason), *self.on_peer_lost(peer)]

    # One handler for each type of message.

    def _on_hello(self, peer: int, message: Message) -> list[Action]:
        version = message["version"]
        if version != PROTOCOL_VERSION:
            return [Disconnect(peer, f"its protocol version is {version!r}, not {PROTOCOL_VERSION}")]
        if not self._can_be_taken_over():
            reason = "another hot restart or a stop is in progress"
            return [SendMessage(peer, messages.busy()), Disconnect(peer, reason)]
        self.successor = peer
        self.successor_reads_history = bool(message.get("attempt_history"))
        self.peers.add(peer)
        return [SendInheritedState(peer), ShareCapacity(1 + len(self.peers))]

    def _on_inherited_state(self, peer: int, message: Message) -> list[Action]:
        if peer != self.predecessor or self.has_inherited:
            return []
        self.has_inherited = True
        return [InheritState(message)]

    def _on_busy(self, peer: int, message: Message) -> list[Action]:
        self.predecessor = None
        self.peers.discard(peer)
        return [Disconnect(peer, "the predecessor is busy")]

    def _on_ready(self, peer: int, message: Message) -> list[Action]:
        if peer != self.successor or not self.accepting:
            return []
        self.accepting = self.holds_rendezvous = False
        self.handed_over = True
        # Give up the rendezvous first: a third process must not find one that no longer serves.
        return [HoldRendezvous(False), AcceptClients(False, peer)]

    def _on_handed_over(self, peer: int, message: Message) -> list[Action]:
        if peer != self.predecessor:
            return []
        open_ids = message["open"][:MAX_PREDECESSOR_OPEN_IDS]
        self.predecessor_open_ids = {str(call_id) for call_id in open_ids}
        self.holds_rendezvous = True
        ended = NoteEnded(tuple(str(call_id) for call_id in message.get("ended", ())))
        counts = [CountAttempt(attempt) for attempt in messages.attempts_sent(message)]
        return [HoldRendezvous(True), ended, *counts, *self._accept_clients()]

    def _on_attempt(self, peer: int, message: Message) -> list[Action]:
        return [CountAttempt(message)] if peer == self.predecessor else []

    def _on_request_closed(self, peer: int, message: Message) -> list[Action]:
        call_id = str(message["id"])
        if peer != self.predecessor or message.get("moved") or call_id not in self.predecessor_open_ids:
            return []  # one that has moved is open until it is adopted, and then here
        self.predecessor_open_ids.discard(call_id)
        return [NoteClosed(call_id)]

    def _on_run_command(self, peer: int, message: Message) -> list[Action]:
        return [RunCommand(peer, int(message["n"]), str(message["verb"]), str(message["server"]))]

    def _on_deliver_callback(self, peer: int, message: Message) -> list[Action]:
        return [DeliverCallback(peer, int(message["n"]), str(message["body"]))]

    def _on_response(self, peer: int, message: Message) -> list[Action]:
        number = int(message["n"])
        if number not in self.queries:
            return []
        return self._add_response(number, peer, agrees=bool(message["yes"]))

    _HANDLERS: ClassVar[dict[str, Callable[[HotRestart, int, Message], list[Action]]]] = {
        MessageType.HELLO: _on_hello,
        MessageType.BUSY: _on_busy,
        MessageType.INHERITED_STATE: _on_inherited_state,
        MessageType.READY: _on_ready,
        MessageType.HANDED_OVER: _on_handed_over,
        MessageType.ATTEMPT_SENT: _on_attempt,
        MessageType.ATTEMPT_ENDED: _on_attempt,
        MessageType.REQUEST_CLOSED: _on_request_closed,
        MessageType.RUN_COMMAND: _on_run_command,
        MessageType.COMMAND_RESULT: _on_response,
        MessageType.DELIVER_CALLBACK: _on_deliver_callback,
        MessageType.CALLBACK_RESULT: _on_response,
    }

    # Steps that several events share.

    def _can_be_taken_over(self) -> bool:
        return self.started and self.holds_rendezvous and self.successor is None and not self.stopping

    def _accept_clients(self) -> list[Action]:
        if not self.started or self.accepting or self.handed_over:
            return []
        self.accepting = True
        return [AcceptClients(True)]

    def _hold_rendezvous(self) -> list[Action]:
        if self.holds_rendezvous or self.stopping or self.predecessor is not None:
            return []
        self.holds_rendezvous = True
        return [HoldRendezvous(True)]

    def _lose_predecessor(self) -> list[Action]:
        self.predecessor = None
        closed = [NoteClosed(call_id) for call_id in sorted(self.predecessor_open_ids)]
        self.predecessor_open_ids.clear()
        return [CountAttempt(None), *closed, *self._hold_rendezvous(), *self._accept_clients()]

    def _lose_successor(self) -> list[Action]:
        self.successor, self.handed_over = None, False
        if self.stopping:
            return []
        return [*self._accept_clients(), *self._hold_rendezvous()]

    def _query(
        self, requires_all: bool, asked_by: int | None, message: Callable[[int], Message]
    ) -> tuple[int, list[Action]]:
        self.last_query += 1
        number = self.last_query
        others = self.peers - {asked_by}
        if not others:
            return number, [CompleteQuery(number, requires_all)]
        self.queries[number] = PendingQuery(others, requires_all, result=requires_all)
        return number, [SendMessage(peer, message(number)) for peer in sorted(others)]

    def _add_response(self, number: int, peer: int, agrees: bool) -> list[Action]:
        query = self.queries[number]
        if peer not in query.waiting_for or not query.add(peer, agrees):
            return []
        del self.queries[number]
        return [CompleteQuery(number, query.result)]
