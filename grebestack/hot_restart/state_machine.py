"""What two processes of one dispatcher owe each other in an upgrade. Pure: events in, actions out.

The *elder* serves, its *heir* starts beside it and takes over. A process can be both: the heir of one upgrade
is the elder of the next, while the first elder may still be ending its jobs. Peers are numbers that the shell
gives out.

Order matters in three places. The heir accepts once the elder has stopped and told which jobs are open there,
so that no id can come to both; meanwhile connections wait in the listening socket, which neither closes. The
elder gives up the meeting point before that, so that a third process meets the one that serves. And a call at
the door or a call-back is answered once all peers have spoken or are lost: silence is no answer.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from grebestack.hot_restart.framing import VERSION, Message

MOST_OPEN = 20_000  # ids of an elder's jobs that are remembered


@dataclass(frozen=True, slots=True)
class Tell:
    """Send a message to a peer."""

    peer: int
    message: Message


@dataclass(frozen=True, slots=True)
class Welcome:
    """Tell a peer all that an heir should know: a message `welcome`."""

    peer: int


@dataclass(frozen=True, slots=True)
class TakeOver:
    """We are the heir and are welcomed: take what the elder knows. Nothing may have been sent before."""

    what: Message


@dataclass(frozen=True, slots=True)
class Apart:
    """Part from a peer: end its channel. Nothing is heard of it any more."""

    peer: int
    why: str


@dataclass(frozen=True, slots=True)
class Accept:
    """Accept clients, or do no longer: close the own copy of the listener and hand connections to `to`."""

    on: bool
    to: int | None = None


@dataclass(frozen=True, slots=True)
class Meet:
    """Hold the meeting point, or give it up."""

    on: bool


@dataclass(frozen=True, slots=True)
class Share:
    """The dispatcher's room is to be shared by so many processes."""

    among: int


@dataclass(frozen=True, slots=True)
class CarryOut:
    """A peer's operator has called: carry it out here and tell the peer `did` with this number."""

    peer: int
    number: int
    verb: str
    server: str


@dataclass(frozen=True, slots=True)
class CalledBack:
    """A peer has been called back for a job that it does not know: tell it `known` with this number."""

    peer: int
    number: int
    body: str


@dataclass(frozen=True, slots=True)
class Reply:
    """A question of ours is answered: whether all did it, or any knew it; None: not in time."""

    number: int
    yes: bool | None


@dataclass(frozen=True, slots=True)
class Count:
    """The elder has sent a job (`sent`), or one has ended (`ended`); None: it is gone, and so are all."""

    what: Message | None


Action = Tell | Welcome | TakeOver | Apart | Accept | Meet | Share | CarryOut | CalledBack | Reply | Count


@dataclass(slots=True)
class Question:
    """Who has yet to speak, and what is known of the answer so far."""

    waits: set[int]
    every: bool  # whether all must say yes, or one is enough
    yes: bool = field(default=False)


class Pact:
    """One process's side. Each event returns the actions to carry out, in order."""

    def __init__(self) -> None:
        self.peers: set[int] = set()  # to whom we have said hello, or who have
        self.elder: int | None = None
        self.heir: int | None = None
        self.welcomed = False
        self.begun = False
        self.accepting = False
        self.retired = False  # the heir has taken over
        self.meeting = False
        self.stopping = False
        self.questions: dict[int, Question] = {}
        self.last = 0
        self.elders_open: set[str] = set()  # ids of jobs that the elder has yet to answer

    # Events: of this process.

    def found(self, peer: int) -> list[Action]:
        """At the start, a process holds the meeting point: we may become its heir."""
        self.elder = peer
        self.peers.add(peer)
        return [Tell(peer, {"is": "hello", "version": VERSION}), Share(2)]

    def alone(self) -> list[Action]:
        """At the start, nobody holds it."""
        self.elder = None
        self.meeting = True
        return [Meet(True), Share(1)]

    def started(self) -> list[Action]:
        """The start is over: clients may come here, once the elder has stopped to accept them."""
        self.begun = True
        return self._accept() if self.elder is None else [Tell(self.elder, {"is": "ready"})]

    def overdue(self) -> list[Action]:
        """The elder has been waited for long enough: it hangs."""
        return self._accept()

    def _accept(self) -> list[Action]:
        if not self.begun or self.accepting or self.retired:
            return []
        self.accepting = True
        return [Accept(True)]

    def stop(self) -> None:
        """This process has been told to end."""
        self.stopping = True

    def ask(self, verb: str, server: str) -> tuple[int, list[Action]]:
        """A call was carried out here: have it carried out by all. The number comes back in `Reply`."""
        return self._ask(True, lambda number: {"is": "call", "n": number, "verb": verb, "server": server})

    def called_back(self, body: str) -> tuple[int, list[Action]]:
        """A call-back names a job that is not ours. The number comes back in `Reply`."""
        return self._ask(False, lambda number: {"is": "back", "n": number, "body": body})

    def _ask(self, every: bool, message: Callable[[int], Message]) -> tuple[int, list[Action]]:
        self.last += 1
        if not self.peers:
            return self.last, [Reply(self.last, every)]
        self.questions[self.last] = Question(set(self.peers), every, every)
        return self.last, [Tell(peer, message(self.last)) for peer in sorted(self.peers)]

    def late(self, number: int) -> list[Action]:
        """A question has been waited for long enough."""
        return [Reply(number, None)] if self.questions.pop(number, None) is not None else []

    # Events: of peers.

    def lost(self, peer: int) -> list[Action]:
        """A peer has ended, or its channel broke. What it owed is off; what it did is ours."""
        if peer not in self.peers:
            return []
        self.peers.discard(peer)
        actions: list[Action] = []
        for number, question in list(self.questions.items()):
            actions += self._answered(number, question, peer, question.every)
        if peer == self.elder:
            self.elder = None
            self.elders_open.clear()
            actions += [Count(None), *self._meet(), *self._accept()]
        if peer == self.heir:
            self.heir, self.retired = None, False
            if not self.stopping:
                actions += [*self._accept(), *self._meet()]
        return [*actions, Share(1 + len(self.peers))]

    def _meet(self) -> list[Action]:
        if self.meeting or self.stopping or self.elder is not None:
            return []
        self.meeting = True
        return [Meet(True)]

    def heard(self, peer: int, message: Message) -> list[Action]:
        """A peer has said something."""
        handler = getattr(self, f"_on_{message['is']}", None)
        if handler is None or (peer not in self.peers and message["is"] != "hello"):
            return [Apart(peer, f"it says {message['is'][:40]!r}"), *self.lost(peer)]
        try:
            actions: list[Action] = handler(peer, message)
        except (KeyError, TypeError, ValueError) as error:
            return [Apart(peer, f"its {message['is']!r} lacks something: {error!r}"), *self.lost(peer)]
        return actions

    def _on_hello(self, peer: int, message: Message) -> list[Action]:
        if message["version"] != VERSION:
            return [Apart(peer, f"it is of version {message['version']!r}, not {VERSION}")]
        if self.heir is not None or self.stopping or not self.meeting or not self.begun:
            return [Tell(peer, {"is": "busy"}), Apart(peer, "another upgrade is under way, or a stop")]
        self.heir = peer
        self.peers.add(peer)
        return [Welcome(peer), Share(1 + len(self.peers))]

    def _on_welcome(self, peer: int, message: Message) -> list[Action]:
        if peer != self.elder or self.welcomed:
            return []
        self.welcomed = True
        return [TakeOver(message)]

    def _on_busy(self, peer: int, message: Message) -> list[Action]:
        self.elder = None
        self.peers.discard(peer)
        return [Apart(peer, "it is busy")]

    def _on_ready(self, peer: int, message: Message) -> list[Action]:
        if peer != self.heir or not self.accepting:
            return []
        self.accepting = self.meeting = False
        self.retired = True
        return [Meet(False), Accept(False, peer)]

    def _on_retired(self, peer: int, message: Message) -> list[Action]:
        if peer != self.elder:
            return []
        self.elders_open = {str(call_id) for call_id in message["open"][:MOST_OPEN]}
        self.meeting = True
        counts = (Count({"is": "sent", **sent}) for sent in message["out"])
        return [Meet(True), *counts, *self._accept()]

    def _on_sent(self, peer: int, message: Message) -> list[Action]:
        return [Count(message)] if peer == self.elder else []

    _on_ended = _on_sent

    def _on_closed(self, peer: int, message: Message) -> list[Action]:
        self.elders_open.discard(str(message["id"]))
        return []

    def _on_call(self, peer: int, message: Message) -> list[Action]:
        return [CarryOut(peer, int(message["n"]), str(message["verb"]), str(message["server"]))]

    def _on_back(self, peer: int, message: Message) -> list[Action]:
        return [CalledBack(peer, int(message["n"]), str(message["body"]))]

    def _on_did(self, peer: int, message: Message) -> list[Action]:
        question = self.questions.get(int(message["n"]))
        if question is None:
            return []
        return self._answered(int(message["n"]), question, peer, bool(message["yes"]))

    _on_known = _on_did

    def _answered(self, number: int, question: Question, peer: int, yes: bool) -> list[Action]:
        if peer not in question.waits:
            return []
        question.waits.discard(peer)
        question.yes = (question.yes and yes) if question.every else (question.yes or yes)
        if question.waits and not (question.yes and not question.every):
            return []
        del self.questions[number]
        return [Reply(number, question.yes)]
