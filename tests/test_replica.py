"""Whole members in simulated time: disks that forget, links that cut, processes that stop; and the judge."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from functools import partial

from hypothesis import given, settings
from hypothesis import strategies as st

from grebestack.consensus.actions import Action, Disconnect, LogMessage, ReplaceDisk, Send, Write
from grebestack.consensus.lease import LeaseTerms
from grebestack.consensus.messages import (
    PROTOCOL_VERSION,
    IncarnationStarted,
    LogRecord,
    MembershipConfig,
    Message,
    decode_message,
    decode_record,
    encode,
)
from grebestack.consensus.recovery import RecoveredState
from grebestack.consensus.replica import Replica
from tests.cluster import Act, Change, Held, History

TASKS = ("t", "u")
TERMS = LeaseTerms(term_ms=1000.0, max_clock_drift=0.02, guard_ms=10.0)


class Place:
    """One member's process and disk."""

    def __init__(self, name: str, rate: float) -> None:
        self.name, self.rate = name, rate
        self.disk: list[LogRecord] = []
        self.synced = 0
        self.starts = 0
        self.epoch = 0  # grows with each start and each new disk: what was under way for the former is over
        self.up = False
        self.lies = False
        self.held_until = 0.0  # stopped until then
        self.member: Replica


class World:
    """So many of them, with all that comes between."""

    def __init__(self, seed: int, count: int) -> None:
        self.random, self.now, self.count = random.Random(seed), 0.0, 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.history = History()
        self.names = [f"m{n}" for n in range(count)]
        self.places = {n: Place(n, self.random.uniform(0.991, 1.009)) for n in self.names}
        self.links: dict[frozenset[str], int] = {}  # those that are up, each with a number
        self.last: dict[tuple[str, str], float] = {}  # when the last message one way arrives
        self.cut: set[tuple[str, str]] = set()
        config = MembershipConfig(1, tuple((name, "0") for name in self.names))
        for place in self.places.values():
            place.disk = [IncarnationStarted("f", "0", config)]
            place.synced = 1
            self.start(place)
        self.at(5.0, self.dial)

    def at(self, delay: float, what: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.events, (self.now + delay, self.count, what))

    def run(self, ms: float) -> None:
        until = self.now + ms
        while self.events and self.events[0][0] <= until:
            self.now, _, what = heapq.heappop(self.events)
            what()
        self.now = until

    def clock(self, place: Place) -> float:
        return self.now * place.rate + 5000.0

    def true(self, place: Place, at: float) -> float:
        return (at - 5000.0) / place.rate

    def start(self, place: Place, doubt: str = "") -> None:
        place.epoch += 1
        place.starts += 1
        place.up = True
        state = RecoveredState("f")
        for item in place.disk:
            state.apply(decode_record(encode(item)))
        place.synced, clock = len(place.disk), self.clock(place)
        place.member = Replica(
            place.name,
            self.names,
            state,
            len(place.disk),
            TASKS,
            TERMS,
            random.Random(self.random.random()),
            clock,
        )
        member = place.member
        self.carry(
            place, member.start(clock) if place.disk else member.on_disk_fault(clock, "nothing is there")
        )
        self.at(self.random.uniform(0, 20), partial(self.tick, place, place.starts))

    def kill(self, place: Place) -> None:
        place.up = False
        for link in [link for link in self.links if place.name in link]:
            self.unlink(link)
        del place.disk[place.synced :]

    def tick(self, place: Place, start: int) -> None:
        if not place.up or place.starts != start:
            return
        if self.now < place.held_until:
            self.at(place.held_until - self.now, partial(self.tick, place, start))
            return
        member, clock = place.member, self.clock(place)
        for task in TASKS:
            token = member.valid_token(task, clock)
            if token is not None:
                self.history.acts.append(Act(self.now, task, place.name, token, True))
        self.carry(place, member.tick(clock))
        due = member.due_ms(clock) - clock
        self.at(min(max(1.0, due), 100.0) * self.random.uniform(1.0, 1.2), partial(self.tick, place, start))

    def dial(self) -> None:
        self.at(60.0, self.dial)
        for a in self.names:
            for b in self.names:
                link, both = frozenset((a, b)), (self.places[a], self.places[b])
                fit = all(p.up and self.now >= p.held_until for p in both)
                if a < b and link not in self.links and fit and not {(a, b), (b, a)} & self.cut:
                    self.count += 1
                    self.links[link] = self.count
                    hellos = [p.member.handshake("f", PROTOCOL_VERSION) for p in both]
                    for place, hello in zip(both, reversed(hellos), strict=True):
                        self.carry(place, place.member.on_connected(self.clock(place), hello))

    def unlink(self, link: frozenset[str]) -> None:
        if self.links.pop(link, None) is not None:
            for name in link:
                place, (other,) = self.places[name], link - {name}
                if place.up:
                    self.carry(place, place.member.on_disconnected(self.clock(place), other))

    def carry(self, place: Place, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.send(place, action.to, action.message)
            elif isinstance(action, Write):
                place.disk.append(action.record)
                delay = self.random.choice((1.0, 5.0, 60.0, 900.0)) * self.random.random()
                self.at(delay, partial(self.sync, place, place.epoch, len(place.disk)))
            elif isinstance(action, Disconnect):
                self.unlink(frozenset((place.name, action.peer)))
            elif isinstance(action, ReplaceDisk):
                place.epoch += 1
                self.at(self.random.uniform(5, 50), partial(self.reborn, place, place.epoch))
            elif isinstance(action, LogMessage):
                self.told(place, action)

    def sync(self, place: Place, epoch: int, upto: int) -> None:
        if place.up and place.epoch == epoch:
            if not place.lies:
                place.synced = max(place.synced, upto)
            self.carry(place, place.member.on_synced(self.clock(place), upto))

    def reborn(self, place: Place, epoch: int) -> None:
        if place.up and place.epoch == epoch:
            place.disk, place.synced = [], 0
            incarnation = f"{self.random.getrandbits(40):x}"
            self.carry(place, place.member.on_disk_replaced(self.clock(place), incarnation))
            for link in [link for link in self.links if place.name in link]:
                self.unlink(link)

    def send(self, place: Place, to: str, item: Message) -> None:
        link, key = frozenset((place.name, to)), (place.name, to)
        if link not in self.links:
            return
        data, last, number = encode(item), place.member.acceptor.reported_record, self.links[link]
        delay = self.random.choice((0.2, 2.0, 30.0, 300.0)) * self.random.random()
        arrives = self.last[key] = max(self.now + delay, self.last.get(key, 0.0))
        self.at(arrives - self.now, partial(self.arrive, key, number, last, data))

    def arrive(self, key: tuple[str, str], number: int, last: int, data: bytes) -> None:
        place = self.places[key[1]]
        if self.links.get(frozenset(key)) != number or key in self.cut or not place.up:
            return
        if self.now < place.held_until:
            self.at(place.held_until - self.now + 0.1, partial(self.arrive, key, number, last, data))
            return
        self.carry(place, place.member.on_message(self.clock(place), key[0], last, decode_message(data)))

    def told(self, place: Place, action: LogMessage) -> None:
        kv = action.kv
        if action.event == "lease_held":
            begin, end = self.true(place, kv["at"]), self.true(place, kv["until"])
            self.history.held.append(Held(kv["task"], place.name, kv["life"], kv["token"], begin, end))
        elif action.event == "lease_lost":
            self.history.lose(kv["task"], place.name, kv["token"], self.true(place, kv["at"]))
        elif action.event == "fleet_register" and kv["outcome"] == "CHOSEN":
            times = self.true(place, kv["asked"]), self.true(place, kv["at"])
            self.history.changes.append(Change(kv["register"], *times, kv["before"], kv["after"]))

    def all_vote(self) -> bool:
        return all(
            p.up and self.now >= p.held_until and p.member.acceptor.may_vote for p in self.places.values()
        )

    def settle(self) -> None:
        until = self.now + 15_000.0
        while not self.all_vote():
            self.run(100.0)
            assert self.now < until, [place.member.acceptor.describe() for place in self.places.values()]

    def harm(self) -> None:
        """One drawn fault. A disk is taken while all others know it, and is back before the next fault:
        what is lost beyond a minority is lost.
        """
        place = self.places[self.random.choice(self.names)]
        up = [p for p in self.places.values() if p.up]
        most = len(up) > len(self.names) // 2 + 1
        what = self.random.randrange(9)
        if what == 0 and most and place.up:
            self.kill(place)
        elif what == 1:
            place.held_until = self.now + self.random.uniform(50, 3000)
        elif what == 2:
            pairs = ((a, b) for a in self.names for b in self.names if a != b)
            self.cut = {pair for pair in pairs if self.random.random() < 0.2}
        elif what == 3:
            self.cut = set()
        elif what >= 4 and self.all_vote():
            self.cut = set()
            self.run(3000.0)
            if not self.all_vote():
                return
            copy = list(place.disk[: place.synced])
            if what == 4:
                self.carry(place, place.member.on_disk_fault(self.clock(place), "EIO"))
                self.settle()
                return
            place.lies = what == 5
            self.run(self.random.uniform(50, 800))
            self.kill(place)
            place.lies = False
            place.disk = [] if what == 6 else copy if what == 7 else place.disk
            self.start(place)
            self.settle()
        for other in self.places.values():
            if not other.up and self.random.random() < 0.5:
                self.start(other)


@settings(max_examples=20, deadline=None)
@given(seed=st.integers(0, 2**40), count=st.sampled_from([3, 5]))
def test_whatever_is_lost_no_two_act_and_no_value_in_force_is_forgotten(seed: int, count: int) -> None:
    world = World(seed, count)
    world.run(3000.0)
    assert {act.task for act in world.history.acts} == set(TASKS)
    for _ in range(25):
        world.harm()
        world.run(world.random.uniform(50, 1500))
        assert world.history.wrong() == []
    world.cut = set()
    for place in world.places.values():
        place.held_until = 0.0
        if not place.up:
            world.start(place)
    world.run(12_000.0)
    assert world.history.wrong() == []
    assert all(place.member.acceptor.may_vote for place in world.places.values())
    assert {act.task for act in world.history.acts if act.at > world.now - 3000.0} == set(TASKS)
