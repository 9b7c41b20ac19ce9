"""One member of a fleet: its vote, its own askings, the tasks that it stands in line for. Pure.

Events in (`heard`, `linked`, `tick` ...), actions out, time as an argument. Of whatever is answered a task's
lease is checked at each act by `token`, never by what was answered before.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from random import Random

from grebestack.consensus.acceptor import Voter
from grebestack.consensus.actions import Action, Peer, Send, Told, Turned, Write
from grebestack.consensus.failure_detector import Peers, PeerTimes, Seen
from grebestack.consensus.lease import NEVER, Lease, Tenure, Terms, releasing
from grebestack.consensus.messages import (
    Accept,
    Admit,
    Behind,
    Enter,
    Hello,
    Message,
    Ping,
    Pong,
    Prepare,
    Promise,
    Refuse,
    Roll,
    Seal,
    Sealed,
    SlotOf,
    Taken,
)
from grebestack.consensus.recovery import Shelf, merged
from grebestack.consensus.register import (
    Accepted,
    Answer,
    Ballot,
    Change,
    Phase,
    Promised,
    Refused,
    Round,
    Value,
)

ASK_MS = 800.0  # an asking that is not through by then is given up
AGAIN_MS, AGAIN_MOST_MS = 60.0, 500.0  # pauses of a register's askings, doubled and drawn
REFORM_MS = 500.0  # a step of a change of the set is said again after this
FORGET_MS = 5000.0  # one that asks to be admitted is forgotten when it has stopped asking
IDLE_MS = 1000.0
TASK = "task/"
Ended = Callable[[float, Phase, Value, Value], list[Action]]  # now, how it ended, before, after


@dataclass(slots=True)
class Asking:
    """An asking of this member's that is under way."""

    change: Change
    round: Round
    asked_ms: float
    ended: Ended


class Member:
    """One member. All names are those of the operators' file; times are this member's monotonic clock."""

    def __init__(
        self,
        name: str,
        names: Iterable[str],
        shelf: Shelf,
        last: int,
        tasks: Iterable[str],
        terms: Terms,
        random: Random,
        now_ms: float,
        times: PeerTimes | None = None,
    ) -> None:
        self.name, self.names, self.random, self.terms = name, frozenset(names), random, terms
        self.voter = Voter(name, shelf, last, now_ms)
        self.peers = Peers(self.names - {name}, times or PeerTimes(), random, now_ms)
        self.links: dict[str, Peer] = {}
        self.marks: dict[str, tuple[str, int]] = {}
        self.life = ((shelf.starts + 1) << 32) | random.getrandbits(32)
        self.numbers: dict[str, int] = {}  # of each register the highest ballot met
        self.tries: dict[str, int] = {}  # askings in a row that came to nothing
        self.askings: dict[str, Asking] = {}
        self.place = sorted(self.names).index(name)
        self.tenures = {task: Tenure(name, self.life, terms, self._place(task)) for task in tasks}
        self.told_tokens: dict[str, int | None] = dict.fromkeys(self.tenures)
        self.admits: dict[str, tuple[str, float]] = {}  # who asks to be a member: incarnation, until
        self.dropped: set[str] = set()  # whom an operator takes out of the set
        self.sealed: dict[str, tuple[SlotOf, ...]] = {}
        self.reform_ms = now_ms

    def _place(self, task: str) -> int:
        """In the line of rivals: another for each task, so that one member does not get all."""
        return (self.place + sum(task.encode())) % len(self.names)

    @property
    def roll(self) -> Roll:
        """The set in force, as far as this member knows."""
        return self.voter.shelf.roll

    def start(self, now_ms: float) -> list[Action]:
        """Started."""
        for register, slot in self.voter.shelf.slots.items():
            self._saw(now_ms, register, slot.value)
        return self._done(now_ms, self.voter.begin())

    def hello(self, fleet: str, version: int) -> Hello:
        """The first message on each connection."""
        shelf = self.voter.shelf
        return Hello(version, fleet, self.name, shelf.incarnation, self.life, shelf.roll.epoch, self.marks)

    # Events of the disk.

    def synced(self, now_ms: float, upto: int) -> list[Action]:
        """So many records are on the disk for good."""
        return self._done(now_ms, self.voter.synced(upto))

    def doubted(self, now_ms: float, why: str) -> list[Action]:
        """A write or sync has failed, or the disk is not what it was."""
        return self._done(now_ms, self.voter.doubted(why))

    def reborn(self, now_ms: float, incarnation: str) -> list[Action]:
        """A new disk is there. The links are to be made anew: they were of the former incarnation."""
        actions = self.voter.reborn(self.voter.shelf.fleet, incarnation, self.roll, now_ms)
        return self._done(now_ms, actions)

    # Events of the links.

    def linked(self, now_ms: float, hello: Hello) -> list[Action]:
        """A connection is up and its other end has said who it is."""
        self.links[hello.name] = Peer(hello.name, hello.incarnation, hello.life)
        self.peers.linked(hello.name, now_ms)
        actions = self.voter.greeted(now_ms, hello)
        if hello.epoch > self.roll.epoch:
            actions.append(Send(hello.name, Behind(self.roll.epoch)))
        for register, asking in self.askings.items():  # what was said before went nowhere
            actions += [send for send in self._said(register, asking.round) if send.to == hello.name]
        return self._done(now_ms, actions)

    def unlinked(self, now_ms: float, name: str) -> list[Action]:
        """A connection has ended."""
        self.links.pop(name, None)
        self.peers.lost(name)
        return []

    def heard(self, now_ms: float, name: str, last: int, message: Message) -> list[Action]:
        """A message of a connected member, which has told `last` as the last record of its disk."""
        peer = self.links.get(name)
        if peer is None:
            return []
        self.peers.heard(name, now_ms)
        mark = self.marks.get(name)
        if mark is None or mark[0] != peer.incarnation or mark[1] < last:
            self.marks[name] = peer.incarnation, last
        return self._done(now_ms, self._message(now_ms, peer, message))

    def _message(self, now_ms: float, peer: Peer, message: Message) -> list[Action]:
        if isinstance(message, Ping | Pong):
            return self.peers.message(peer.name, message, now_ms)
        if isinstance(message, Promise | Taken | Refuse):
            return self._answered(now_ms, peer, message)
        if isinstance(message, Admit):
            if (message.name, message.incarnation) == peer[:2] and peer.name in self.names:
                self.admits[peer.name] = peer.incarnation, now_ms + FORGET_MS
            return []
        if isinstance(message, Sealed):
            return self._sealed(peer, message)
        epoch = self.roll.epoch
        actions = self.voter.heard(peer, message)
        if isinstance(message, Accept) and any(isinstance(a, Write) for a in actions):
            self._saw(now_ms, message.register, message.value)
        if isinstance(message, Enter) and self.roll.epoch > epoch:
            actions += self._entered(now_ms)
        return actions

    def _saw(self, now_ms: float, register: str, value: Value) -> None:
        tenure = self.tenures.get(register.removeprefix(TASK)) if register.startswith(TASK) else None
        if tenure is not None:
            self.tenures[register.removeprefix(TASK)] = tenure.saw(now_ms, value)

    def _entered(self, now_ms: float) -> list[Action]:
        """Another epoch: what was asked for in the former one is not known to have come to anything."""
        self.sealed = {}
        askings, self.askings = self.askings, {}
        actions: list[Action] = []
        for asking in askings.values():
            actions += asking.ended(now_ms, Phase.BEATEN, None, None)
        for register, slot in self.voter.shelf.slots.items():
            self._saw(now_ms, register, slot.value)
        for name, incarnation in self.roll.members:
            if self.admits.get(name, ("", 0.0))[0] == incarnation:
                del self.admits[name]
        return actions

    # Askings.

    def ask(self, now_ms: float, register: str, change: Change, ended: Ended) -> list[Send]:
        """Begin to change a register; `ended` tells how it went. No other asking of it is under way."""
        roll = self.roll
        ballot = Ballot(self.numbers.get(register, 0) + 1, self.name, self.life)
        self.numbers[register] = ballot.number
        self.askings[register] = Asking(change, Round(ballot, roll.majority), now_ms, ended)
        return self._to_all(Prepare(roll.epoch, register, ballot))

    def change(self, now_ms: float, register: str, change: Change, ended: Ended) -> list[Action]:
        """As `ask`, for whoever runs this member."""
        return self._done(now_ms, [*self.ask(now_ms, register, change, ended)])

    def _said(self, register: str, round_: Round) -> list[Send]:
        """What an asking says in its phase; it may be said again."""
        if round_.phase is Phase.PREPARING:
            return self._to_all(Prepare(self.roll.epoch, register, round_.ballot))
        return self._to_all(Accept(self.roll.epoch, register, round_.ballot, round_.value))

    def _to_all(self, message: Message) -> list[Send]:
        return [Send(name, message) for name, _ in self.roll.members]

    def _answered(self, now_ms: float, peer: Peer, message: Promise | Taken | Refuse) -> list[Action]:
        asking = self.askings.get(message.register)
        counted = self.roll.counts(peer.name, peer.incarnation) and message.epoch == self.roll.epoch
        if asking is None or not counted:
            return []
        answer: Answer
        if isinstance(message, Promise):
            answer = Promised(message.ballot, message.accepted, message.value)
            self._met(message.register, message.accepted)
        elif isinstance(message, Taken):
            answer = Accepted(message.ballot)
        else:
            answer = Refused(message.ballot, message.promised)
            self._met(message.register, message.promised)
        phase = asking.round.phase
        asking.round = round_ = asking.round.answered(peer.name, answer, asking.change)
        if round_.phase is phase:
            return []
        if round_.phase is Phase.ACCEPTING:
            return [*self._said(message.register, round_)]
        return self._finish(now_ms, message.register, round_.phase)

    def _met(self, register: str, ballot: Ballot) -> None:
        self.numbers[register] = max(self.numbers.get(register, 0), ballot.number)

    def _finish(self, now_ms: float, register: str, phase: Phase) -> list[Action]:
        asking = self.askings.pop(register)
        self.tries[register] = 0 if phase is Phase.CHOSEN else self.tries.get(register, 0) + 1
        kv = {
            "register": register,
            "asked": asking.asked_ms,
            "at": now_ms,
            "outcome": phase.name,
            "before": shown(asking.round.before),
            "after": shown(asking.round.value),
        }
        told = Told("fleet_register", kv, detail=True)
        return [told, *asking.ended(now_ms, phase, asking.round.before, asking.round.value)]

    def _pause(self, register: str) -> float:
        most = min(AGAIN_MOST_MS, AGAIN_MS * 2.0 ** min(self.tries.get(register, 0), 10))
        return self.random.uniform(most / 4.0, most)

    # Tasks.

    def token(self, task: str, now_ms: float) -> int | None:
        """The token to act with at this moment, or None; to be asked for at each act."""
        return self.tenures[task].token(now_ms)

    def release(self, now_ms: float, task: str, to: str = "") -> list[Action]:
        """Stop acting for a task and give it back, or hand it over to a member by name."""
        tenure = self.tenures[task]
        mine = tenure.seen if tenure.held else None
        self.tenures[task] = tenure.gave_up()
        told = self._tell(now_ms, task)
        register = TASK + task
        if register in self.askings:
            del self.askings[register]  # it may come into force all the same: the term bounds it
        if mine is not None and self.roll.epoch:
            told += self.ask(now_ms, register, releasing(mine, to), lambda *_: [])
        return self._done(now_ms, told)

    def fenced(self, now_ms: float, task: str) -> list[Action]:
        """What was acted upon has seen a later token: no more acts under this one."""
        self.tenures[task] = replace(self.tenures[task], until_ms=NEVER)
        return self._tell(now_ms, task)

    def want(self, now_ms: float, task: str) -> None:
        """Stand in line again."""
        self.tenures[task] = replace(self.tenures[task], wanted=True, again_ms=now_ms)

    def linked_enough(self) -> bool:
        """Whether an asking can come to anything: as many as decide are connected."""
        linked = sum(name in self.links for name in self.roll.names() - {self.name})
        return bool(self.roll.epoch) and linked + self.voter.counted >= self.roll.majority

    def _due(self, now_ms: float, task: str) -> list[Action]:
        register, tenure = TASK + task, self.tenures[task]
        if register in self.askings or not self.linked_enough():
            return []
        tenure, change = tenure.ask(now_ms)
        if change is None:
            return []
        self.tenures[task] = tenure

        def ended(at_ms: float, phase: Phase, before: Value, after: Value) -> list[Action]:
            now = self.tenures[task]
            if phase is Phase.CHOSEN:
                self.tenures[task] = now.chosen(at_ms, before, after)
            else:
                self.tenures[task] = now.failed(at_ms + self._pause(register))
            return self._tell(at_ms, task)

        return [*self.ask(now_ms, register, change, ended)]

    def _tell(self, now_ms: float, task: str) -> list[Action]:
        tenure = self.tenures[task]
        token, former = tenure.token(now_ms), self.told_tokens[task]
        kv = {"task": task, "at": now_ms}
        actions: list[Action] = []
        if former is not None and token != former:
            holder = tenure.seen.holder or "nobody"
            actions.append(Told("lease_lost", kv | {"token": former, "holder": holder}))
        if token is not None:
            until = kv | {"token": token, "until": tenure.until_ms, "life": self.life}
            actions.append(Told("lease_held", until, detail=token == former))
        if token != former:
            actions.append(Turned(task))
        self.told_tokens[task] = token
        return actions

    # The set.

    def drop(self, name: str) -> str:
        """Take a member out of the set; what is wrong with that, or nothing."""
        if name not in self.roll.names():
            return f"{name} is no member; members are {', '.join(sorted(self.roll.names()))}"
        if len(self.roll.members) == 1:
            return f"{name} is the only member"
        self.dropped.add(name)
        return ""

    def _following(self) -> Roll | None:
        """The set that is wanted instead of the present one: one member changed at most."""
        members = dict(self.roll.members)
        for name in sorted(self.dropped & set(members)):
            del members[name]
            return Roll(self.roll.epoch + 1, tuple(sorted(members.items())))
        for name, (incarnation, _) in sorted(self.admits.items()):
            if members.get(name) != incarnation:
                members[name] = incarnation
                return Roll(self.roll.epoch + 1, tuple(sorted(members.items())))
        return None

    def _reform(self, now_ms: float) -> list[Action]:
        """One step of a change of the set, each said again until it is done: agree on it, seal, begin."""
        voter, epoch = self.voter, self.roll.epoch
        if now_ms < self.reform_ms:
            return []
        self.reform_ms = now_ms + REFORM_MS * self.random.uniform(0.7, 1.3)
        self.admits = {name: (i, until) for name, (i, until) in self.admits.items() if now_ms < until}
        self.dropped &= self.roll.names()
        if not epoch:
            return [Send(name, Behind(0)) for name in self.links]
        if not voter.counted and not voter.doubt and voter.vouched:
            return [Send(name, Admit(self.name, voter.shelf.incarnation)) for name in self.links]
        if voter.shelf.following is not None:
            return [*self._to_all(Seal(epoch, voter.shelf.following))]
        following, register = self._following(), f"set/{epoch}"
        if following is None or not voter.votes or register in self.askings:
            return []

        def ended(at_ms: float, phase: Phase, before: Value, after: Value) -> list[Action]:
            if phase is not Phase.CHOSEN or not isinstance(after, Roll) or self.roll.epoch != epoch:
                return []
            return [*self._to_all(Seal(epoch, after))]

        return [*self.ask(now_ms, register, lambda v: v if v is not None else following, ended)]

    def _sealed(self, peer: Peer, message: Sealed) -> list[Action]:
        following = self.voter.shelf.following
        counted = self.roll.counts(peer.name, peer.incarnation) and message.epoch == self.roll.epoch
        if not counted or following is None:
            return []
        self.sealed[peer.name] = message.slots
        if len(self.sealed) < self.roll.majority:
            return []
        enter = Enter(following, merged(list(self.sealed.values())))
        names = following.names() | self.roll.names()
        return [Send(name, enter) for name in sorted(names)]

    # Time.

    def tick(self, now_ms: float) -> list[Action]:
        """Time has passed: what is due."""
        actions = self.peers.tick(now_ms) + self.voter.passed(now_ms) + self._reform(now_ms)
        for register, asking in list(self.askings.items()):
            if now_ms - asking.asked_ms >= ASK_MS and self.askings.get(register) is asking:
                actions += self._finish(now_ms, register, Phase.BEATEN)
        for task in self.tenures:
            if self.told_tokens[task] != self.tenures[task].token(now_ms):
                actions += self._tell(now_ms, task)
            actions += self._due(now_ms, task)
        return self._done(now_ms, actions)

    def due_ms(self, now_ms: float) -> float:
        """When `tick` is to be called at the latest."""
        due, linked = min(self.peers.next_ms, now_ms + IDLE_MS), self.linked_enough()
        due = min(due, self.reform_ms)
        for asking in self.askings.values():
            due = min(due, asking.asked_ms + ASK_MS)
        for task, tenure in self.tenures.items():
            if TASK + task not in self.askings and linked:
                due = min(due, tenure.due_ms())
            if self.told_tokens[task] is not None:
                due = min(due, tenure.until_ms)
        return max(due, now_ms + 1.0)

    def _done(self, now_ms: float, actions: list[Action]) -> list[Action]:
        """Have what this member says to itself come back at once; the rest is for whoever runs it."""
        out: list[Action] = []
        queue = list(actions)
        while queue:
            action = queue.pop(0)
            if not isinstance(action, Send) or action.to != self.name:
                out.append(action)
                continue
            me = Peer(self.name, self.voter.shelf.incarnation, self.life)
            queue = self._message(now_ms, me, action.message) + queue
        return out

    # For people.

    def describe(self, now_ms: float) -> Mapping[str, str]:
        """Each member and what is known of it."""
        seen = {name: self.peers.seen(name, now_ms) for name in self.names - {self.name}}
        return {self.name: self.voter.standing()} | {
            name: state.value for name, state in sorted(seen.items(), key=lambda item: item[0])
        }

    def quorum(self, now_ms: float) -> bool:
        """Whether as many as decide can be heard, this member counted."""
        up = sum(self.peers.seen(n, now_ms) is Seen.UP for n in self.roll.names() - {self.name})
        return bool(self.roll.epoch) and up + self.voter.counted >= self.roll.majority


def shown(value: Value) -> str:
    """A value in a line of the log."""
    if isinstance(value, Lease):
        return f"{value.holder or '-'}/{value.life}/{value.token}/{value.mark}"
    return "" if value is None else str(value)
