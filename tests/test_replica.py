"""Replicas in simulated time: disks that forget, connections that break, stopped processes; and the judge."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from functools import partial

import pytest
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


class Process:
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
        self.replica: Replica


class World:
    """So many of them, with all that comes between."""

    def __init__(self, seed: int, count: int) -> None:
        self.random, self.now, self.count = random.Random(seed), 0.0, 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.history = History()
        self.names = [f"m{n}" for n in range(count)]
        self.processes = {n: Process(n, self.random.uniform(0.991, 1.009)) for n in self.names}
        self.connections: dict[frozenset[str], int] = {}  # those that are up, each with a number
        self.last: dict[tuple[str, str], float] = {}  # when the last message one way arrives
        self.cut: set[tuple[str, str]] = set()
        config = MembershipConfig(1, tuple((name, "0") for name in self.names))
        for process in self.processes.values():
            process.disk = [IncarnationStarted("f", "0", config)]
            process.synced = 1
            self.start(process)
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

    def clock(self, process: Process) -> float:
        return self.now * process.rate + 5000.0

    def true(self, process: Process, at: float) -> float:
        return (at - 5000.0) / process.rate

    def start(self, process: Process, doubt: str = "") -> None:
        process.epoch += 1
        process.starts += 1
        process.up = True
        state = RecoveredState("f")
        for item in process.disk:
            state.apply(decode_record(encode(item)))
        process.synced, clock = len(process.disk), self.clock(process)
        process.replica = Replica(
            process.name,
            self.names,
            state,
            len(process.disk),
            TASKS,
            TERMS,
            random.Random(self.random.random()),
            clock,
        )
        replica = process.replica
        self.carry(
            process,
            replica.start(clock) if process.disk else replica.on_disk_fault(clock, "nothing is there"),
        )
        self.at(self.random.uniform(0, 20), partial(self.tick, process, process.starts))

    def kill(self, process: Process) -> None:
        process.up = False
        for link in [link for link in self.connections if process.name in link]:
            self.unlink(link)
        del process.disk[process.synced :]

    def tick(self, process: Process, start: int) -> None:
        if not process.up or process.starts != start:
            return
        if self.now < process.held_until:
            self.at(process.held_until - self.now, partial(self.tick, process, start))
            return
        replica, clock = process.replica, self.clock(process)
        for task in TASKS:
            token = replica.valid_token(task, clock)
            if token is not None:
                self.history.acts.append(Act(self.now, task, process.name, token, True))
        self.carry(process, replica.tick(clock))
        due = replica.due_ms(clock) - clock
        self.at(min(max(1.0, due), 100.0) * self.random.uniform(1.0, 1.2), partial(self.tick, process, start))

    def dial(self) -> None:
        self.at(60.0, self.dial)
        for a in self.names:
            for b in self.names:
                link, both = frozenset((a, b)), (self.processes[a], self.processes[b])
                fit = all(p.up and self.now >= p.held_until for p in both)
                if a < b and link not in self.connections and fit and not {(a, b), (b, a)} & self.cut:
                    self.count += 1
                    self.connections[link] = self.count
                    hellos = [p.replica.handshake("f", PROTOCOL_VERSION) for p in both]
                    for process, hello in zip(both, reversed(hellos), strict=True):
                        self.carry(process, process.replica.on_connected(self.clock(process), hello))

    def unlink(self, link: frozenset[str]) -> None:
        if self.connections.pop(link, None) is not None:
            for name in link:
                process, (other,) = self.processes[name], link - {name}
                if process.up:
                    self.carry(process, process.replica.on_disconnected(self.clock(process), other))

    def carry(self, process: Process, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.send(process, action.to, action.message)
            elif isinstance(action, Write):
                process.disk.append(action.record)
                delay = self.random.choice((1.0, 5.0, 60.0, 900.0)) * self.random.random()
                self.at(delay, partial(self.sync, process, process.epoch, len(process.disk)))
            elif isinstance(action, Disconnect):
                self.unlink(frozenset((process.name, action.peer)))
            elif isinstance(action, ReplaceDisk):
                process.epoch += 1
                self.at(self.random.uniform(5, 50), partial(self.reborn, process, process.epoch))
            elif isinstance(action, LogMessage):
                self.log(process, action)

    def sync(self, process: Process, epoch: int, upto: int) -> None:
        if process.up and process.epoch == epoch:
            if not process.lies:
                process.synced = max(process.synced, upto)
            self.carry(process, process.replica.on_synced(self.clock(process), upto))

    def reborn(self, process: Process, epoch: int) -> None:
        if process.up and process.epoch == epoch:
            process.disk, process.synced = [], 0
            incarnation = f"{self.random.getrandbits(40):x}"
            self.carry(process, process.replica.on_disk_replaced(self.clock(process), incarnation))
            for link in [link for link in self.connections if process.name in link]:
                self.unlink(link)

    def send(self, process: Process, to: str, item: Message) -> None:
        link, key = frozenset((process.name, to)), (process.name, to)
        if link not in self.connections:
            return
        data, last, number = encode(item), process.replica.acceptor.reported_record, self.connections[link]
        delay = self.random.choice((0.2, 2.0, 30.0, 300.0)) * self.random.random()
        arrives = self.last[key] = max(self.now + delay, self.last.get(key, 0.0))
        self.at(arrives - self.now, partial(self.arrive, key, number, last, data))

    def arrive(self, key: tuple[str, str], number: int, last: int, data: bytes) -> None:
        process = self.processes[key[1]]
        if self.connections.get(frozenset(key)) != number or key in self.cut or not process.up:
            return
        if self.now < process.held_until:
            self.at(process.held_until - self.now + 0.1, partial(self.arrive, key, number, last, data))
            return
        self.carry(
            process, process.replica.on_message(self.clock(process), key[0], last, decode_message(data))
        )

    def log(self, process: Process, action: LogMessage) -> None:
        kv = action.kv
        if action.event == "lease_held":
            begin, end = self.true(process, kv["at"]), self.true(process, kv["until"])
            self.history.held.append(Held(kv["task"], process.name, kv["life"], kv["token"], begin, end))
        elif action.event == "lease_lost":
            self.history.lose(kv["task"], process.name, kv["token"], self.true(process, kv["at"]))
        elif action.event == "fleet_register" and kv["outcome"] == "CHOSEN":
            times = self.true(process, kv["asked"]), self.true(process, kv["at"])
            self.history.changes.append(Change(kv["register"], *times, kv["before"], kv["after"]))

    def all_vote(self) -> bool:
        return all(
            p.up and self.now >= p.held_until and p.replica.acceptor.may_vote for p in self.processes.values()
        )

    def settle(self) -> None:
        until = self.now + 15_000.0
        while not self.all_vote():
            self.run(100.0)
            assert self.now < until, [
                process.replica.acceptor.describe() for process in self.processes.values()
            ]

    def harm(self) -> None:
        """One drawn fault. A disk is taken while all others know it, and is back before the next fault:
        what is lost beyond a minority is lost.
        """
        process = self.processes[self.random.choice(self.names)]
        up = [p for p in self.processes.values() if p.up]
        most = len(up) > len(self.names) // 2 + 1
        what = self.random.randrange(9)
        if what == 0 and most and process.up:
            self.kill(process)
        elif what == 1:
            process.held_until = self.now + self.random.uniform(50, 3000)
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
            copy = list(process.disk[: process.synced])
            if what == 4:
                self.carry(process, process.replica.on_disk_fault(self.clock(process), "EIO"))
                self.settle()
                return
            process.lies = what == 5
            self.run(self.random.uniform(50, 800))
            self.kill(process)
            process.lies = False
            process.disk = [] if what == 6 else copy if what == 7 else process.disk
            self.start(process)
            self.settle()
        for other in self.processes.values():
            if not other.up and self.random.random() < 0.5:
                self.start(other)


def check_under_faults(seed: int, count: int) -> None:
    """Nobody acts beside another, and no value in force is forgotten, under 25 faults drawn from a seed."""
    world = World(seed, count)
    world.run(3000.0)
    assert {act.task for act in world.history.acts} == set(TASKS)
    for _ in range(25):
        world.harm()
        world.run(world.random.uniform(50, 1500))
        assert world.history.wrong() == []
    world.cut = set()
    for process in world.processes.values():
        process.held_until = 0.0
        if not process.up:
            world.start(process)
    world.run(12_000.0)
    assert world.history.wrong() == []
    assert all(process.replica.acceptor.may_vote for process in world.processes.values())
    assert {act.task for act in world.history.acts if act.at > world.now - 3000.0} == set(TASKS)


@settings(max_examples=20, deadline=None)
@given(seed=st.integers(0, 2**40), count=st.sampled_from([3, 5]))
def test_whatever_is_lost_no_two_act_and_no_value_in_force_is_forgotten(seed: int, count: int) -> None:
    check_under_faults(seed, count)


def test_a_vote_lost_by_a_lying_disk_before_its_peers_knew_of_it_forgets_no_value() -> None:
    check_under_faults(seed=230, count=3)


@pytest.mark.parametrize(("seed", "count"), [(100247, 3), (100509, 5)])
def test_all_tasks_are_taken_within_three_terms_of_a_first_start(seed: int, count: int) -> None:
    # Guards against a first lease that waits too long for the witnesses of its votes on slow links and disks.
    world = World(seed, count)
    world.run(3 * TERMS.term_ms)
    assert {act.task for act in world.history.acts} == set(TASKS)
