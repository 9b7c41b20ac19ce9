"""A member of a fleet as it runs: wires the pure member to its disk, its connections and the loop's time."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random

import msgspec

from grebestack.cluster_io.log_store import Files, Store
from grebestack.cluster_io.peer_connection import Dialler, Link
from grebestack.cluster_io.runtime import monotonic_ms, tell
from grebestack.consensus.actions import Action, Cut, Reborn, Send, Told, Turned, Write
from grebestack.consensus.lease import Terms
from grebestack.consensus.messages import VERSION, Hello, Message, Word, encode, record
from grebestack.consensus.recovery import Shelf
from grebestack.consensus.register import Change, Phase, Value
from grebestack.consensus.replica import Member

log = logging.getLogger(__name__)
Address = tuple[str, int]
DIAL_S, DIAL_MOST_S = 0.1, 0.6
ANEW_S, ANEW_MOST_S = 1.0, 30.0  # a disk that can't be begun anew is tried again after this


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """What a member is told by the operators' file."""

    name: str
    fleet: str
    listen: Address
    members: Mapping[str, Address]  # where each other member is called
    folder: str
    tasks: tuple[str, ...] = ()
    terms: Terms = field(default_factory=Terms)


class Node:
    """One member. `token` says at each act whether a task is this member's."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: NodeSettings,
        files: Files | None = None,
        clock: Callable[[], float] = monotonic_ms,
    ) -> None:
        self.loop, self.settings, self.clock = loop, settings, clock
        self.random = Random(int.from_bytes(os.urandom(8), "big"))
        self.store = Store(loop, settings.folder, self._synced, self._failed, files)
        self.words: dict[str, Callable[[str, bytes], None]] = {}  # by task: what another member's task says
        self.turned: dict[str, Callable[[], None]] = {}  # by task: called soon after its lease came or went
        self.open: dict[str, Link] = {}
        self.diallers: dict[str, Dialler] = {}
        self.server: asyncio.Server | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.anew_tries = 0
        self.stopped = False
        self.member, self.doubt_at_start = self._open()

    def _open(self) -> tuple[Member, str]:
        """The member as its disk has it, and why nothing of that is believed."""
        found = self.store.open()
        shelf, doubt = Shelf(self.settings.fleet), found.doubt
        if not doubt:
            try:
                for payload in found.payloads:
                    shelf.take(record(payload))
            except msgspec.DecodeError as error:
                doubt = f"a record is none of version {VERSION}: {error}"
            if shelf.fleet != self.settings.fleet:
                doubt = doubt or f"the records are of the fleet {shelf.fleet!r}"
        if doubt:
            shelf = Shelf(self.settings.fleet)
        s = self.settings
        names = set(s.members) | {s.name}
        member = Member(s.name, names, shelf, found.last, s.tasks, s.terms, self.random, self.clock())
        return member, doubt

    def listen(self, server: asyncio.Server) -> None:
        """Members are accepted at `server`, which the caller has opened with `accept`."""
        self.server = server
        if self.doubt_at_start:
            self._run(self.member.doubted(self.clock(), self.doubt_at_start))
        else:
            self._run(self.member.start(self.clock()))
        for name, address in self.settings.members.items():
            if name > self.settings.name:  # of two members the first by name calls the other
                self.diallers[name] = Dialler(self.loop, self, name, address, self._pause)
                self.diallers[name].dial()

    def accept(self) -> Link:
        """A connection that another member has made."""
        return Link(self.loop, self)

    def _pause(self, tries: int, first_s: float = DIAL_S, most_s: float = DIAL_MOST_S) -> float:
        """Seconds before another try: doubled with each, and drawn."""
        most_s = min(most_s, first_s * 2.0 ** min(tries, 10))
        return self.random.uniform(most_s / 2.0, most_s)

    def stop(self) -> None:
        """Leave: what is held is given back by `release` before."""
        self.stopped = True
        if self.server is not None:
            self.server.close()
        for dialler in self.diallers.values():
            dialler.stop()
        for link in list(self.open.values()):
            link.close("stopping")
        if self.timer is not None:
            self.timer.cancel()
        self.store.close()

    # For tasks.

    def token(self, task: str) -> int | None:
        """The token to act with now, or None: asked for at each act."""
        return None if self.stopped else self.member.token(task, self.clock())

    def release(self, task: str, to: str = "") -> None:
        """Give a task back, or hand it over to a member by name."""
        self._run(self.member.release(self.clock(), task, to))

    def fenced(self, task: str) -> None:
        """What was acted upon has seen a later token: no more acts under this one."""
        self._run(self.member.fenced(self.clock(), task))

    def want(self, task: str) -> None:
        """Stand in line for a task again."""
        self.member.want(self.clock(), task)
        self._run([])

    def change(self, register: str, change: Change, ended: Callable[[bool, Value], None]) -> None:
        """Change a register, or read it; `ended` tells whether the value is known to be in force now."""
        if register in self.member.askings or not self.member.linked_enough():
            ended(False, None)
            return

        def told(at_ms: float, phase: Phase, before: Value, after: Value) -> list[Action]:
            ended(phase is Phase.CHOSEN, after)
            return []

        self._run(self.member.change(self.clock(), register, change, told))

    def say(self, to: str, task: str, body: bytes) -> None:
        """Say something to a task of another member; what can't leave is lost."""
        if to in self.open:
            self.open[to].send(Word(task, body))

    # The links' owner.

    def greeting(self) -> Hello:
        """What is said first."""
        return self.member.hello(self.settings.fleet, VERSION)

    def told(self) -> int:
        """How far this member's disk has come."""
        return self.member.voter.told

    def greeted(self, link: Link, hello: Hello) -> str:
        """The other end says who it is."""
        if hello.version != VERSION or hello.fleet != self.settings.fleet:
            return f"it is of fleet {hello.fleet!r}, version {hello.version}"
        if hello.name not in self.settings.members or hello.name == self.settings.name:
            return f"{hello.name!r} is no other member"
        former = self.open.get(hello.name)
        if former is not None:
            if self.member.links[hello.name].life > hello.life:
                return f"a later start of {hello.name} is connected"
            self._leave(former, "it has connected again")
        link.open(hello.name)
        self.open[hello.name] = link
        if hello.name in self.diallers:
            self.diallers[hello.name].tries = 0
        self._run(self.member.linked(self.clock(), hello))
        return ""

    def heard(self, link: Link, last: int, message: Message) -> None:
        """A message has come."""
        if self.open.get(link.peer) is not link or self.stopped:
            return
        if isinstance(message, Word):
            self.member.peers.heard(link.peer, self.clock())
            if message.task in self.words:
                self.words[message.task](link.peer, message.body)
            return
        self._run(self.member.heard(self.clock(), link.peer, last, message))

    def ended(self, link: Link, why: str) -> None:
        """A connection has ended."""
        if link.peer and self.open.get(link.peer) is link:
            self._leave(link, why)
        elif not link.peer and not self.stopped:
            log.debug("fleet_link_refused", extra={"kv": {"peer": link.expects, "why": why}})
        dialler = self.diallers.get(link.expects)
        if dialler is not None and dialler.link is link:
            dialler.ended()

    def _leave(self, link: Link, why: str) -> None:
        del self.open[link.peer]
        self._run(self.member.unlinked(self.clock(), link.peer))
        if not self.stopped:
            log.info("fleet_link_ended", extra={"kv": {"peer": link.peer, "why": why}})
        link.close(why)

    # The disk and time.

    def _synced(self, upto: int) -> None:
        if not self.stopped:
            self._run(self.member.synced(self.clock(), upto))

    def _failed(self, why: str) -> None:
        if not self.stopped:
            self._run(self.member.doubted(self.clock(), why))

    def _anew(self) -> None:
        if not self.stopped:
            self.store.anew(self._begun)

    def _begun(self, why: str) -> None:
        if self.stopped:
            return
        if why:
            self.anew_tries += 1
            pause = self._pause(self.anew_tries, ANEW_S, ANEW_MOST_S)
            log.warning("fleet_disk_unusable", extra={"kv": {"why": why, "again_s": pause}})
            self.loop.call_later(pause, self._anew)
            return
        self.anew_tries = 0
        incarnation = f"{self.random.getrandbits(48):012x}"
        log.warning("fleet_reborn", extra={"kv": {"incarnation": incarnation}})
        self._run(self.member.reborn(self.clock(), incarnation))
        for link in list(self.open.values()):  # they were made under the former incarnation
            self._leave(link, "a new incarnation")

    def _tick(self) -> None:
        self.timer = None
        self._run(self.member.tick(self.clock()))

    def _run(self, actions: list[Action]) -> None:
        cut: list[Cut] = []
        for action in actions:
            if isinstance(action, Send):
                if action.to in self.open:
                    self.open[action.to].send(action.message)
            elif isinstance(action, Write):
                self.store.append(encode(action.record))
            elif isinstance(action, Told):
                tell(action)
            elif isinstance(action, Turned):
                if (turned := self.turned.get(action.task)) is not None:
                    self.loop.call_soon(turned)
            elif isinstance(action, Reborn):
                self._anew()
            else:
                cut.append(action)
        for one in cut:
            if one.peer in self.open:
                self._leave(self.open[one.peer], one.why)
        if self.store.long and not self.member.voter.doubt:
            self.store.shorten([encode(item) for item in self.member.voter.shorten()])
        if self.stopped:
            return
        if self.timer is not None:
            self.timer.cancel()
        now = self.clock()
        self.timer = self.loop.call_later(max(0.0, self.member.due_ms(now) - now) / 1000.0, self._tick)
