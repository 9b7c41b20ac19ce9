"""Tasks that hang on leases: a shared reading of servers, and a restart of the fleet one after the other."""

from __future__ import annotations

import random
import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import structs

from grebestack.cluster_tasks.metrics_export import CountersCollector, CountersResponse
from grebestack.cluster_tasks.rolling_restart import (
    DONE,
    STOPPED,
    HandOverLease,
    MemberState,
    ProposePlan,
    ReceivedState,
    RequestRestart,
    RestartCoordinator,
    RestartTimes,
    begin_restart,
    stop_restart,
)
from grebestack.cluster_tasks.shared_discovery import (
    Action,
    ListEntry,
    ReadSource,
    ReleaseLease,
    SendMessage,
    SharedDiscovery,
    UpdateList,
    decode,
)
from grebestack.consensus.messages import RestartPlan
from tests.cluster import Cluster
from tests.standins import Discovery, Runner, World, say, wait_until

# A shared reading.


class Fleet:
    """Members that share a reading, in simulated time, over links that may lose what is said."""

    def __init__(self, count: int, chance: random.Random, loss: float) -> None:
        self.members = [SharedDiscovery(2, 0.0, rank=n) for n in range(count)]
        self.lists: list[dict[int, dict[str, bytes]]] = [{} for _ in range(count)]
        self.truth: dict[int, dict[str, bytes]] = {0: {}, 1: {}}
        self.chance, self.loss, self.now = chance, loss, 0.0
        self.holder: int | None = None
        self.token = 0
        self.well = [True] * count

    def act(self, n: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendMessage):
                for to in range(len(self.members)):
                    if to != n and action.to in ("", f"m{to}") and self.chance.random() >= self.loss:
                        heard = self.members[to].on_message(self.now, f"m{n}", decode(action.body))
                        self.act(to, heard)
            elif isinstance(action, UpdateList):
                mine = self.lists[n].setdefault(action.source, {})
                if action.is_complete_list:
                    mine.clear()
                for entry in action.entries:
                    mine[entry.name] = entry.data
                    if not entry.data:
                        del mine[entry.name]
            elif isinstance(action, ReadSource) and action.enabled:
                self.connected(n)
            elif isinstance(action, ReleaseLease):
                self.hold((n + 1) % len(self.members))

    def tell(self, n: int, index: int, whole: bool, some: dict[str, bytes]) -> None:
        if self.members[n].reads_source and self.well[n]:
            mine = self.lists[n].setdefault(index, {})
            if whole:
                mine.clear()
            mine |= some
            entries = [ListEntry(name, rest) for name, rest in some.items()]
            self.act(n, self.members[n].on_source_update(self.now, index, whole, entries))

    def connected(self, n: int) -> None:
        """A source that is asked anew, or answers again, tells its whole list."""
        for index in (0, 1):
            self.tell(n, index, True, self.truth[index])

    def hold(self, n: int | None) -> None:
        self.holder, self.token = n, self.token + 1

    def change(self, index: int, name: str, rest: bytes) -> None:
        self.truth[index][name] = rest
        for n in range(len(self.members)):
            self.tell(n, index, False, {name: rest})

    def run(self, ms: float) -> None:
        until = self.now + ms
        while self.now < until:
            self.now += 100.0
            for n, member in enumerate(self.members):
                if member.reads_source and self.well[n]:
                    member.on_source_responded(self.now)
                self.act(n, member.tick(self.now, self.token if self.holder == n else None))


@settings(max_examples=60, deadline=None)
@given(seed=st.integers(0, 2**32), loss=st.sampled_from([0.0, 0.1, 0.5]))
def test_whatever_is_lost_all_have_the_list_once_links_are_well(seed: int, loss: float) -> None:
    chance = random.Random(seed)
    fleet = Fleet(4, chance, loss)
    for step in range(30):
        what = chance.randrange(6)
        if what == 0:
            fleet.hold(chance.choice([None, 0, 1, 2, 3]))
        elif what == 1:
            n = chance.randrange(4)
            fleet.well[n] = not fleet.well[n]
            fleet.connected(n)
        else:
            fleet.change(chance.randrange(2), f"s{chance.randrange(5)}", b"%d" % step)
        fleet.run(chance.choice([100.0, 500.0, 3000.0]))
    fleet.loss, fleet.well = 0.0, [True] * 4
    for n in range(4):
        fleet.connected(n)
    fleet.hold(chance.randrange(4))
    fleet.run(4000.0)
    assert [n for n, member in enumerate(fleet.members) if member.reads_source] == [fleet.holder]
    fleet.change(0, "last", b"x")
    fleet.run(1500.0)
    assert all(lists == fleet.truth for lists in fleet.lists)


def test_each_reads_for_itself_where_there_is_no_holder_or_its_source_is_ill() -> None:
    fleet = Fleet(3, random.Random(1), 0.0)
    fleet.run(1000.0)
    assert all(member.reads_source for member in fleet.members)
    fleet.hold(0)
    fleet.run(1000.0)
    assert [member.reads_source for member in fleet.members] == [True, False, False]
    fleet.well[0] = False
    fleet.members[0].on_source_failed()
    fleet.run(800.0)
    assert all(member.reads_source for member in fleet.members)
    fleet.run(6000.0)  # the holder has given the task to one whose source answers
    assert fleet.holder == 1 and not fleet.members[2].reads_source


def test_a_former_holder_is_passed_over() -> None:
    one = SharedDiscovery(1, 0.0)
    former, later = SharedDiscovery(1, 0.0), SharedDiscovery(1, 0.0)
    former.tick(0.0, 1)
    later.tick(0.0, 2)

    def told(holder: SharedDiscovery, name: str) -> list[Action]:
        actions: list[Action] = []
        for action in holder.on_source_update(5.0, 0, True, [ListEntry(name, b"1")]) + holder.tick(
            900.0, holder.token
        ):
            assert isinstance(action, SendMessage)
            actions += one.on_message(5.0, name, decode(action.body))
        return actions

    assert told(later, "later") and one.holder == "later"
    assert not told(former, "former") and one.holder == "later"


def test_tallies_name_who_is_missing_and_wait_only_for_who_is_connected() -> None:
    collector, names = CountersCollector("f", "tallies", "a", 1000.0), frozenset("abc")
    assert collector.tick(0.0, 1, {"served": 1}, frozenset("b"), names) and collector.take_export(1.0) is None
    collector.on_response("b", CountersResponse(9, 1, {"served": 100}))  # for another export
    collector.on_response("b", CountersResponse(1, 1, {"served": 2, "denied": 1}))
    export = collector.take_export(2.0)
    assert export is not None and export.totals == {"served": 3, "denied": 1} and export.missing == ["c"]
    assert not collector.tick(500.0, 1, {}, names, names) and collector.tick(1000.0, 1, {}, names, names)
    assert collector.take_export(1399.0) is None and collector.take_export(1400.0) is not None
    assert collector.tick(1500.0, 3, {}, frozenset(), names)  # a new token: at once, and from 1
    late = collector.take_export(1500.0)
    assert late is not None and (late.token, late.number) == (3, 1)


# A restart.


def know(*lives: int, at: float = 0.0) -> dict[str, ReceivedState]:
    return {f"m{n}": ReceivedState(MemberState(life, True), at) for n, life in enumerate(lives)}


class Register:
    """What a majority keeps."""

    def __init__(self, names: tuple[str, ...]) -> None:
        self.value: RestartPlan | None = begin_restart("m0", names)(None)

    def run(
        self, coordinator: RestartCoordinator, now: float, token: int | None, known: dict[str, ReceivedState]
    ) -> list[object]:
        actions: list[object] = []
        for action in coordinator.tick(now, token, known):
            actions.append(action)
            if isinstance(action, ProposePlan):
                self.value = action.change(self.value)
                coordinator.on_proposal_ended(now, token, self.value, True)
        return actions


def test_a_restart_goes_one_by_one_over_two_holders_and_each_member_is_told_for_one_life() -> None:
    names = ("m0", "m1", "m2")
    register, times = Register(names), RestartTimes(1000.0, 100.0)
    lives, told = [1, 1, 1], list[str]()
    holder, coordinator = 0, RestartCoordinator("m0", times, 0.0)
    now, back = 0.0, dict[int, float]()
    while register.value is not None and register.value.state != DONE and now < 60_000.0:
        now += 50.0
        for n in [n for n, at in back.items() if at <= now]:
            lives[n] += 1
            del back[n]
        known = {name: k for name, k in know(*lives, at=now).items() if int(name[1]) not in back}
        for action in register.run(coordinator, now, 7 + holder, known):
            if isinstance(action, RequestRestart):
                assert not back, "two are away"
                n = int(action.name[1])
                assert action.request.process_incarnation == lives[n] and n != holder
                told.append(action.name)
                back[n] = now + 300.0
                if len(told) == 1:  # and the holder dies meanwhile
                    holder, coordinator = 2, RestartCoordinator("m2", times, now)
            elif isinstance(action, HandOverLease):
                holder, coordinator = int(action.to[1]), RestartCoordinator(action.to, times, now)
    assert register.value is not None and register.value.state == DONE
    assert told == ["m1", "m0", "m2"] and lives == [2, 2, 2]


@pytest.mark.parametrize(("away", "why"), [("m1", "m1 did not come back"), ("m2", "m1 did not stop")])
def test_a_restart_stops_where_one_does_not_come_back_and_goes_no_further(away: str, why: str) -> None:
    register, coordinator = (
        Register(("m0", "m1", "m2")),
        RestartCoordinator("m0", RestartTimes(1000.0, 0.0), 0.0),
    )
    now, actions = 0.0, list[object]()
    while now < 5000.0:
        now += 50.0
        known = know(1, 1, 1, at=now)
        if away == "m1" and any(isinstance(action, RequestRestart) for action in actions):
            del known["m1"]
        actions += register.run(coordinator, now, 1, known)
    assert register.value is not None and register.value.state == STOPPED and why in register.value.reason
    assert {action.name for action in actions if isinstance(action, RequestRestart)} == {"m1"}


def test_none_is_told_while_another_is_away_and_a_halt_holds() -> None:
    register, coordinator = (
        Register(("m0", "m1", "m2")),
        RestartCoordinator("m0", RestartTimes(1000.0, 0.0), 0.0),
    )
    known = know(1, 1, at=0.0)
    for now in (0.0, 100.0, 600.0, 1100.0, 1600.0):
        assert not any(
            isinstance(action, RequestRestart) for action in register.run(coordinator, now, 1, known)
        )
    assert register.value is not None and "m2 not ready" in register.value.reason
    again = begin_restart("m1", ("m0", "m1"))(register.value)
    assert again.number == 2 and begin_restart("m0", ("m0",))(again) == again
    halted = stop_restart("halted")(again)
    assert halted.state == STOPPED and stop_restart("x")(halted) == halted
    assert stop_restart("x", 1)(again) == again == structs.replace(again)


# With processes.


@pytest.fixture
def discovery(tmp_path: Path) -> Iterator[Discovery]:
    world = World(tmp_path)
    runner = Runner("r1", world)
    world.runners.append(runner)
    yield world.discovery
    world.over = True
    runner.close()
    world.discovery.close()


def reads(cluster: Cluster) -> dict[str, str]:
    found = dict.fromkeys(cluster.names, "False")  # who follows from the start on never says so
    for name in cluster.names:
        for line in cluster.lines(name):
            if line.get("event") == "fleet_reading":
                found[name] = line["reads"]
    return found


def test_one_process_watches_discovery_for_all_and_another_when_it_dies(
    tmp_path: Path, discovery: Discovery
) -> None:
    (tmp_path / "cluster").mkdir()
    cluster = Cluster(
        tmp_path / "cluster",
        3,
        term_s=1.0,
        more="share_servers = true\n",
        servers=f'source = "discovery"\naddress = "127.0.0.1:{discovery.address[1]}"\n',
    )

    def one_reads() -> bool:
        return sorted(reads(cluster).values()) == ["False", "False", "True"]

    def all_know(state: str, but: str = "") -> bool:
        return all(
            any(line.get("event") == "member" and line.get("now") == state for line in cluster.lines(name))
            for name in cluster.names
            if name != but
        )

    try:
        for name in cluster.names:
            cluster.start(name)
        wait_until(one_reads, 60)
        discovery.world.set_state(discovery.world.runners[0], "Terminating")
        wait_until(lambda: all_know("draining"), 60)
        reader = next(name for name, on in reads(cluster).items() if on == "True")
        cluster.signal(reader, signal.SIGKILL)
        discovery.world.runners.append(Runner("r2", discovery.world))
        discovery.world.set_state(discovery.world.runners[0], "Ready")
        wait_until(lambda: all_know("ready", reader), 60)
        left = [name for name in cluster.names if name != reader]
        wait_until(lambda: sorted(reads(cluster)[name] for name in left) == ["False", "True"], 60)
        assert cluster.history().wrong() == []
    finally:
        cluster.close()


def test_a_fleet_of_processes_restarts_one_after_the_other(tmp_path: Path) -> None:
    cluster = Cluster(tmp_path, 3, term_s=1.0, more="return_s = 30.0\npause_s = 0.2\n")
    away, most = set[str](), 0

    def supervise() -> None:
        nonlocal most
        for name, member in cluster.members.items():
            if member.process is not None and member.process.poll() is not None:
                assert member.process.returncode == 0
                away.add(name)
                cluster.start(name)
        down = [n for n in cluster.names if not say_ready(n)]
        most = max(most, len(down))

    def say_ready(name: str) -> bool:
        try:
            return say(cluster.members[name].door, "health").startswith("SUCCESS")
        except OSError:
            return False

    try:
        for name in cluster.names:
            cluster.start(name)
        wait_until(lambda: all(say_ready(name) for name in cluster.names), 60)
        wait_until(lambda: cluster.shown("m0", "restart").startswith("SUCCESS restart 1 by m0 goes on"), 60)
        until = time.monotonic() + 90.0
        while "restart 1 by m0 done: 3 of 3" not in cluster.shown("m0", "leases"):
            supervise()
            assert time.monotonic() < until, [cluster.shown(n, "leases") for n in cluster.names]
            time.sleep(0.05)
        assert away == set(cluster.names) and most == 1
        assert cluster.history().wrong() == []
    finally:
        cluster.close()
