"""Cluster tasks under leases: shared discovery, metrics export and rolling restart."""

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
from tests.standins import DiscoveryStandIn, DispatcherTestbed, WorkerStandIn, send_admin_command, wait_until

# Shared discovery.


class Fleet:
    """Members that share discovery, in simulated time, over links that may lose messages."""

    def __init__(self, count: int, rng: random.Random, loss: float) -> None:
        self.members = [SharedDiscovery(2, 0.0, rank=n) for n in range(count)]
        self.lists: list[dict[int, dict[str, bytes]]] = [{} for _ in range(count)]
        self.source_lists: dict[int, dict[str, bytes]] = {0: {}, 1: {}}
        self.rng, self.loss, self.now = rng, loss, 0.0
        self.holder: int | None = None
        self.token = 0
        self.source_up = [True] * count

    def execute(self, n: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendMessage):
                for to in range(len(self.members)):
                    if to != n and action.to in ("", f"m{to}") and self.rng.random() >= self.loss:
                        response = self.members[to].on_message(self.now, f"m{n}", decode(action.body))
                        self.execute(to, response)
            elif isinstance(action, UpdateList):
                current = self.lists[n].setdefault(action.source, {})
                if action.is_complete_list:
                    current.clear()
                for entry in action.entries:
                    current[entry.name] = entry.data
                    if not entry.data:
                        del current[entry.name]
            elif isinstance(action, ReadSource) and action.enabled:
                self.connect_source(n)
            elif isinstance(action, ReleaseLease):
                self.move_lease((n + 1) % len(self.members))

    def deliver_update(self, n: int, index: int, is_complete: bool, changes: dict[str, bytes]) -> None:
        if self.members[n].reads_source and self.source_up[n]:
            current = self.lists[n].setdefault(index, {})
            if is_complete:
                current.clear()
            current |= changes
            entries = [ListEntry(name, data) for name, data in changes.items()]
            self.execute(n, self.members[n].on_source_update(self.now, index, is_complete, entries))

    def connect_source(self, n: int) -> None:
        """Deliver the complete lists, as a source does once it is read or responds again."""
        for index in (0, 1):
            self.deliver_update(n, index, True, self.source_lists[index])

    def move_lease(self, n: int | None) -> None:
        self.holder, self.token = n, self.token + 1

    def change_list(self, index: int, name: str, data: bytes) -> None:
        self.source_lists[index][name] = data
        for n in range(len(self.members)):
            self.deliver_update(n, index, False, {name: data})

    def run(self, ms: float) -> None:
        until = self.now + ms
        while self.now < until:
            self.now += 100.0
            for n, member in enumerate(self.members):
                if member.reads_source and self.source_up[n]:
                    member.on_source_responded(self.now)
                self.execute(n, member.tick(self.now, self.token if self.holder == n else None))


@settings(max_examples=60, deadline=None)
@given(seed=st.integers(0, 2**32), loss=st.sampled_from([0.0, 0.1, 0.5]))
def test_all_members_have_the_lists_once_no_messages_are_lost(seed: int, loss: float) -> None:
    rng = random.Random(seed)
    fleet = Fleet(4, rng, loss)
    for step in range(30):
        event = rng.randrange(6)
        if event == 0:
            fleet.move_lease(rng.choice([None, 0, 1, 2, 3]))
        elif event == 1:
            n = rng.randrange(4)
            fleet.source_up[n] = not fleet.source_up[n]
            fleet.connect_source(n)
        else:
            fleet.change_list(rng.randrange(2), f"s{rng.randrange(5)}", b"%d" % step)
        fleet.run(rng.choice([100.0, 500.0, 3000.0]))
    fleet.loss, fleet.source_up = 0.0, [True] * 4
    for n in range(4):
        fleet.connect_source(n)
    fleet.move_lease(rng.randrange(4))
    fleet.run(4000.0)
    assert [n for n, member in enumerate(fleet.members) if member.reads_source] == [fleet.holder]
    fleet.change_list(0, "last", b"x")
    fleet.run(1500.0)
    assert all(lists == fleet.source_lists for lists in fleet.lists)


def test_each_member_reads_its_own_source_without_a_holder_whose_source_responds() -> None:
    fleet = Fleet(3, random.Random(1), 0.0)
    fleet.run(1000.0)
    assert all(member.reads_source for member in fleet.members)
    fleet.move_lease(0)
    fleet.run(1000.0)
    assert [member.reads_source for member in fleet.members] == [True, False, False]
    fleet.source_up[0] = False
    fleet.members[0].on_source_failed()
    fleet.run(800.0)
    assert all(member.reads_source for member in fleet.members)
    fleet.run(6000.0)  # the lease has moved to a member whose source responds
    assert fleet.holder == 1 and not fleet.members[2].reads_source


def test_messages_of_a_former_holder_are_ignored() -> None:
    follower = SharedDiscovery(1, 0.0)
    former, current = SharedDiscovery(1, 0.0), SharedDiscovery(1, 0.0)
    former.tick(0.0, 1)
    current.tick(0.0, 2)

    def deliver_from(holder: SharedDiscovery, name: str) -> list[Action]:
        actions: list[Action] = []
        for action in holder.on_source_update(5.0, 0, True, [ListEntry(name, b"1")]) + holder.tick(
            900.0, holder.token
        ):
            assert isinstance(action, SendMessage)
            actions += follower.on_message(5.0, name, decode(action.body))
        return actions

    assert deliver_from(current, "current") and follower.holder == "current"
    assert not deliver_from(former, "former") and follower.holder == "current"


def test_an_export_lists_missing_members_and_waits_only_for_connected_ones() -> None:
    collector, names = CountersCollector("f", "tallies", "a", 1000.0), frozenset("abc")
    assert collector.tick(0.0, 1, {"served": 1}, frozenset("b"), names) and collector.take_export(1.0) is None
    collector.on_response("b", CountersResponse(9, 1, {"served": 100}))  # for another export
    collector.on_response("b", CountersResponse(1, 1, {"served": 2, "denied": 1}))
    export = collector.take_export(2.0)
    assert export is not None and export.totals == {"served": 3, "denied": 1} and export.missing == ["c"]
    assert not collector.tick(500.0, 1, {}, names, names) and collector.tick(1000.0, 1, {}, names, names)
    assert collector.take_export(1399.0) is None and collector.take_export(1400.0) is not None
    assert collector.tick(1500.0, 3, {}, frozenset(), names)  # a new holder exports at once, from number 1
    late = collector.take_export(1500.0)
    assert late is not None and (late.token, late.number) == (3, 1)


# Rolling restart.


def states_of(*incarnations: int, at: float = 0.0) -> dict[str, ReceivedState]:
    return {
        f"m{n}": ReceivedState(MemberState(incarnation, True), at)
        for n, incarnation in enumerate(incarnations)
    }


class Register:
    """The replicated register of the restart plan."""

    def __init__(self, names: tuple[str, ...]) -> None:
        self.value: RestartPlan | None = begin_restart("m0", names)(None)

    def run(
        self, coordinator: RestartCoordinator, now: float, token: int | None, states: dict[str, ReceivedState]
    ) -> list[object]:
        actions: list[object] = []
        for action in coordinator.tick(now, token, states):
            actions.append(action)
            if isinstance(action, ProposePlan):
                self.value = action.change(self.value)
                coordinator.on_proposal_ended(now, token, self.value, True)
        return actions


def test_members_restart_once_and_one_at_a_time_under_changing_lease_holders() -> None:
    names = ("m0", "m1", "m2")
    register, times = Register(names), RestartTimes(1000.0, 100.0)
    incarnations, requested = [1, 1, 1], list[str]()
    holder, coordinator = 0, RestartCoordinator("m0", times, 0.0)
    now, ready_at = 0.0, dict[int, float]()
    while register.value is not None and register.value.state != DONE and now < 60_000.0:
        now += 50.0
        for n in [n for n, at in ready_at.items() if at <= now]:
            incarnations[n] += 1
            del ready_at[n]
        states = {
            name: state
            for name, state in states_of(*incarnations, at=now).items()
            if int(name[1]) not in ready_at
        }
        for action in register.run(coordinator, now, 7 + holder, states):
            if isinstance(action, RequestRestart):
                assert not ready_at, "two members are restarting"
                n = int(action.name[1])
                assert action.request.process_incarnation == incarnations[n] and n != holder
                requested.append(action.name)
                ready_at[n] = now + 300.0
                if len(requested) == 1:  # meanwhile the holder fails
                    holder, coordinator = 2, RestartCoordinator("m2", times, now)
            elif isinstance(action, HandOverLease):
                holder, coordinator = int(action.to[1]), RestartCoordinator(action.to, times, now)
    assert register.value is not None and register.value.state == DONE
    assert requested == ["m1", "m0", "m2"] and incarnations == [2, 2, 2]


@pytest.mark.parametrize(("missing", "reason"), [("m1", "m1 did not come back"), ("m2", "m1 did not stop")])
def test_a_restart_stops_at_a_member_that_does_not_become_ready_again(missing: str, reason: str) -> None:
    register, coordinator = (
        Register(("m0", "m1", "m2")),
        RestartCoordinator("m0", RestartTimes(1000.0, 0.0), 0.0),
    )
    now, actions = 0.0, list[object]()
    while now < 5000.0:
        now += 50.0
        states = states_of(1, 1, 1, at=now)
        if missing == "m1" and any(isinstance(action, RequestRestart) for action in actions):
            del states["m1"]
        actions += register.run(coordinator, now, 1, states)
    assert register.value is not None and register.value.state == STOPPED and reason in register.value.reason
    assert {action.name for action in actions if isinstance(action, RequestRestart)} == {"m1"}


def test_no_member_is_restarted_while_another_is_not_ready_and_a_stop_is_final() -> None:
    register, coordinator = (
        Register(("m0", "m1", "m2")),
        RestartCoordinator("m0", RestartTimes(1000.0, 0.0), 0.0),
    )
    states = states_of(1, 1, at=0.0)
    for now in (0.0, 100.0, 600.0, 1100.0, 1600.0):
        assert not any(
            isinstance(action, RequestRestart) for action in register.run(coordinator, now, 1, states)
        )
    assert register.value is not None and "m2 not ready" in register.value.reason
    second = begin_restart("m1", ("m0", "m1"))(register.value)
    assert second.number == 2 and begin_restart("m0", ("m0",))(second) == second
    stopped = stop_restart("stopped")(second)
    assert stopped.state == STOPPED and stop_restart("x")(stopped) == stopped
    assert stop_restart("x", 1)(second) == second == structs.replace(second)


# Tests with real processes.


@pytest.fixture
def discovery(tmp_path: Path) -> Iterator[DiscoveryStandIn]:
    testbed = DispatcherTestbed(tmp_path)
    runner = WorkerStandIn("r1", testbed)
    testbed.workers.append(runner)
    yield testbed.discovery
    testbed.closed = True
    runner.close()
    testbed.discovery.close()


def reading_states(cluster: Cluster) -> dict[str, str]:
    states = dict.fromkeys(cluster.names, "False")  # a member that follows from the start logs no event
    for name in cluster.names:
        for line in cluster.log_events(name):
            if line.get("event") == "fleet_reading":
                states[name] = line["reads"]
    return states


def test_one_process_reads_discovery_for_all_and_another_takes_over_when_it_fails(
    tmp_path: Path, discovery: DiscoveryStandIn
) -> None:
    (tmp_path / "cluster").mkdir()
    cluster = Cluster(
        tmp_path / "cluster",
        3,
        term_s=1.0,
        cluster_settings="share_servers = true\n",
        worker_source=f'source = "discovery"\naddress = "127.0.0.1:{discovery.address[1]}"\n',
    )

    def one_member_reads() -> bool:
        return sorted(reading_states(cluster).values()) == ["False", "False", "True"]

    def all_logged(state: str, excluded: str = "") -> bool:
        return all(
            any(
                line.get("event") == "member" and line.get("now") == state
                for line in cluster.log_events(name)
            )
            for name in cluster.names
            if name != excluded
        )

    try:
        for name in cluster.names:
            cluster.start(name)
        wait_until(one_member_reads, 60)
        discovery.testbed.set_state(discovery.testbed.workers[0], "Terminating")
        wait_until(lambda: all_logged("draining"), 60)
        reader = next(name for name, on in reading_states(cluster).items() if on == "True")
        cluster.signal(reader, signal.SIGKILL)
        discovery.testbed.workers.append(WorkerStandIn("r2", discovery.testbed))
        discovery.testbed.set_state(discovery.testbed.workers[0], "Ready")
        wait_until(lambda: all_logged("ready", reader), 60)
        remaining = [name for name in cluster.names if name != reader]
        wait_until(
            lambda: sorted(reading_states(cluster)[name] for name in remaining) == ["False", "True"], 60
        )
        assert cluster.history().violations() == []
    finally:
        cluster.close()


def test_a_cluster_of_processes_restarts_one_member_at_a_time(tmp_path: Path) -> None:
    cluster = Cluster(tmp_path, 3, term_s=1.0, cluster_settings="return_s = 30.0\npause_s = 0.2\n")
    restarted, max_down = set[str](), 0

    def supervise() -> None:
        nonlocal max_down
        for name, member in cluster.members.items():
            if member.process is not None and member.process.poll() is not None:
                assert member.process.returncode == 0
                restarted.add(name)
                cluster.start(name)
        down = [n for n in cluster.names if not is_ready(n)]
        max_down = max(max_down, len(down))

    def is_ready(name: str) -> bool:
        try:
            return send_admin_command(cluster.members[name].admin_address, "health").startswith("SUCCESS")
        except OSError:
            return False

    try:
        for name in cluster.names:
            cluster.start(name)
        wait_until(lambda: all(is_ready(name) for name in cluster.names), 60)
        wait_until(
            lambda: cluster.admin_output("m0", "restart").startswith("SUCCESS restart 1 by m0 goes on"), 60
        )
        until = time.monotonic() + 90.0
        while "restart 1 by m0 done: 3 of 3" not in cluster.admin_output("m0", "leases"):
            supervise()
            assert time.monotonic() < until, [cluster.admin_output(n, "leases") for n in cluster.names]
            time.sleep(0.05)
        assert restarted == set(cluster.names) and max_down == 1
        assert cluster.history().violations() == []
    finally:
        cluster.close()
