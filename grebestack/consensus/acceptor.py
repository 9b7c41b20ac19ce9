"""One member's vote: what it promises, accepts and seals, and when it may. Pure.

An answer leaves only when all that was written before it is on the disk. A member votes only while it can
vouch for its disk:

- born without a set (a new or a lost disk), it is out until a set counts it under its new incarnation;
- started with a disk, it first hears from as many others as make a majority with it how far each has heard
  it: one that has heard more than the disk says shows that the disk has lost something or is an old copy;
- once a write or sync has failed, nothing of that disk is believed again.
"""

from __future__ import annotations

from collections import deque

from grebestack.consensus.actions import Action, Peer, Reborn, Send, Told, Write
from grebestack.consensus.messages import (
    Accept,
    Began,
    Behind,
    Born,
    Ended,
    Enter,
    Entered,
    Hello,
    Kept,
    Message,
    Prepare,
    Promise,
    Record,
    Refuse,
    Roll,
    Seal,
    Sealed,
    Taken,
)
from grebestack.consensus.recovery import Shelf
from grebestack.consensus.register import Accepted, Answer, Promised, Slot, accept, prepare

GRACE_MS = 1000.0  # after a start so long is waited for those that are more than a majority needs


class Voter:
    """The votes of one member. What it returns is carried out in order."""

    def __init__(self, name: str, shelf: Shelf, last: int, now_ms: float) -> None:
        self.name, self.shelf = name, shelf
        self.last = self.synced_to = self.found = last  # records written, on the disk for good, and read
        self.waiting: deque[tuple[int, str, Message]] = deque()  # answers, each for a record
        self.began_ms = now_ms
        self.vouched = False  # whether others have confirmed the disk since the start
        self.heard_from: set[str] = set()
        self.doubt = ""  # why nothing of the disk is believed

    @property
    def counted(self) -> bool:
        """Whether the set in force counts this member under this incarnation."""
        return self.shelf.roll.counts(self.name, self.shelf.incarnation)

    @property
    def votes(self) -> bool:
        """Whether it answers to `Prepare` and `Accept`."""
        return self.vouched and not self.doubt and self.counted and self.shelf.following is None

    @property
    def told(self) -> int:
        """How far others may have heard this member: what was read, until others have confirmed it."""
        return self.synced_to if self.vouched else self.found

    def standing(self) -> str:
        """In a word or more, for people."""
        if self.doubt:
            return f"out: {self.doubt}"
        if not self.counted:
            return "out: asks to be admitted"
        if not self.vouched:
            return "waits to hear how far others have heard it"
        return "changes the set" if self.shelf.following is not None else "votes"

    def begin(self) -> list[Action]:
        """Started: one more life of this incarnation."""
        return self._write(Began(self.shelf.starts + 1))

    def _write(self, record: Record) -> list[Action]:
        self.shelf.take(record)
        self.last += 1
        return [Write(record)]

    def _after(self, to: str, message: Message) -> list[Action]:
        """An answer, as soon as what it rests on is on the disk."""
        if self.synced_to >= self.last:
            return [Send(to, message)]
        self.waiting.append((self.last, to, message))
        return []

    def synced(self, upto: int) -> list[Action]:
        """So many records are on the disk for good."""
        self.synced_to = max(self.synced_to, upto)
        actions: list[Action] = []
        while self.waiting and self.waiting[0][0] <= self.synced_to:
            _, to, message = self.waiting.popleft()
            actions.append(Send(to, message))
        return actions

    def doubted(self, why: str) -> list[Action]:
        """The disk has failed or is not what it was."""
        if self.doubt:
            return []
        self.doubt, self.vouched = why, False
        self.waiting.clear()
        return [Told("fleet_disk_doubted", {"why": why}), Reborn(why)]

    def shorten(self) -> list[Record]:
        """Records that say the same as all so far; a file is begun anew with them, and numbers go on."""
        records = self.shelf.short()
        self.last += len(records)
        return records

    def reborn(self, fleet: str, incarnation: str, roll: Roll, now_ms: float) -> list[Action]:
        """A new disk is there, with nothing on it. What is known of the set is kept; votes are not."""
        self.shelf = Shelf()
        self.last = self.synced_to = self.found = 0
        self.waiting.clear()
        self.doubt, self.vouched, self.began_ms = "", True, now_ms  # this incarnation has never voted
        return [*self._write(Born(fleet, incarnation, roll)), *self._write(Began(1))]

    def greeted(self, now_ms: float, hello: Hello) -> list[Action]:
        """A member says how far it has heard this one."""
        mark = hello.marks.get(self.name)
        known = self.last if self.vouched else self.found
        if mark is not None and mark[0] == self.shelf.incarnation and mark[1] > known:
            return self.doubted(f"{hello.name} has heard of record {mark[1]}, the disk ends at {known}")
        self.heard_from.add(hello.name)
        return self.passed(now_ms)

    def passed(self, now_ms: float) -> list[Action]:
        """Time has passed, or somebody was heard."""
        others = self.shelf.roll.names() - {self.name}
        if self.vouched or self.doubt or not self.shelf.roll.epoch:
            return []
        heard = len(self.heard_from & others)
        enough = heard >= self.shelf.roll.majority - 1 and now_ms >= self.began_ms + GRACE_MS
        if heard < len(others) and not enough:
            return []
        self.vouched = True
        return [Told("fleet_disk_vouched", {"by": heard, "record": self.last})]

    def heard(self, peer: Peer, message: Message) -> list[Action]:
        """A question to this member."""
        if isinstance(message, Prepare | Accept):
            return self._asked(peer, message)
        if isinstance(message, Seal):
            return self._seal(peer, message)
        if isinstance(message, Behind):
            return self.bring_up(peer) if message.epoch < self.shelf.roll.epoch else []
        if isinstance(message, Enter):
            return self._enter(message)
        return []

    def _asked(self, peer: Peer, message: Prepare | Accept) -> list[Action]:
        epoch = self.shelf.roll.epoch
        if message.epoch < epoch:
            return self.bring_up(peer)
        if message.epoch > epoch:
            return [Send(peer.name, Behind(epoch))]
        if not self.votes:
            return []
        register, ballot = message.register, message.ballot
        slot = self.shelf.slots.get(register, Slot())
        answer: Answer
        if isinstance(message, Prepare):
            after, answer = prepare(slot, ballot)
        else:
            after, answer = accept(slot, ballot, message.value)
        actions: list[Action] = []
        if after != slot:
            actions = self._write(Kept((register, after.promised, after.accepted, after.value)))
        said: Message
        if isinstance(answer, Promised):
            said = Promise(epoch, register, ballot, answer.accepted, answer.value)
        elif isinstance(answer, Accepted):
            said = Taken(epoch, register, ballot)
        else:
            said = Refuse(epoch, register, ballot, answer.promised)
        return actions + self._after(peer.name, said)

    def _seal(self, peer: Peer, message: Seal) -> list[Action]:
        if message.epoch < self.shelf.roll.epoch:
            return self.bring_up(peer)
        if message.epoch > self.shelf.roll.epoch or not (self.vouched and self.counted) or self.doubt:
            return []
        actions: list[Action] = []
        if self.shelf.following is None:
            actions = self._write(Ended(message.following))
        return actions + self._after(peer.name, Sealed(message.epoch, self.shelf.held()))

    def _enter(self, message: Enter) -> list[Action]:
        # That it counts says nothing of the disk: one that is an old copy may have voted there already.
        if message.roll.epoch <= self.shelf.roll.epoch or self.doubt:
            return []
        actions = self._write(Entered(message.roll, message.slots))
        return [*actions, Told("fleet_epoch", {"epoch": message.roll.epoch, "standing": self.standing()})]

    def bring_up(self, peer: Peer) -> list[Action]:
        """Tell a member that is behind of this epoch, once what it rests on is on the disk.

        It has not voted here yet: to begin with what this member holds by now is as if it had been asked.
        """
        if self.doubt or self.shelf.following is not None or not (self.vouched and self.counted):
            return []
        return self._after(peer.name, Enter(self.shelf.roll, self.shelf.held()))
