"""Hot restarts: the state machine in random orders of messages and deaths, and two real processes."""

from __future__ import annotations

import http.client
import json
import random
import signal
import threading
import time
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from grebestack.core import api as core
from grebestack.core.checkpoint import InheritedAttempts, restore_checkpoint, save_checkpoint
from grebestack.core.policy import Policy
from grebestack.hot_restart import ban_file, framing, state_machine
from tests.policy_driver import IDEMPOTENT, IDEMPOTENT_WITH_KEY, NOT_IDEMPOTENT, settings
from tests.standins import (
    SETTINGS,
    DispatcherTestbed,
    Response,
    WorkerStandIn,
    repeat_admin_command,
    reports_ready,
    send_admin_command,
    send_request,
    wait_until,
)


class Process:
    """One side of the restart, with a channel to each other process that keeps the order of messages."""

    def __init__(self, play: Play, number: int) -> None:
        self.play, self.number, self.machine = play, number, state_machine.HotRestart()
        self.alive, self.done, self.replies = True, list[str](), dict[int, bool | None]()
        self.asked: dict[int, tuple[str, set[int]]] = {}  # what, and who was a peer then
        self.handed_to: int | None = None
        if play.holder is None or not play.processes[play.holder].alive:
            self.do(self.machine.on_no_predecessor())
        else:
            play.channels |= {(number, play.holder): deque(), (play.holder, number): deque()}
            self.do(self.machine.on_predecessor_found(play.holder))

    def do(self, actions: list[state_machine.Action]) -> None:
        for action in actions:
            if isinstance(action, state_machine.SendMessage):
                self.send(action.peer, action.message)
            elif isinstance(action, state_machine.SendInheritedState):
                self.send(action.peer, {"is": "welcome", "done": list(self.done)})
            elif isinstance(action, state_machine.InheritState):
                self.done = list(action.state["done"])
            elif isinstance(action, state_machine.HoldRendezvous):
                if action.enabled:
                    self.play.holder = self.number
                elif self.play.holder == self.number:
                    self.play.holder = None
            elif isinstance(action, state_machine.AcceptClients) and not action.enabled:
                assert action.successor is not None and not play_accepts(self.play, action.successor), (
                    "two accept"
                )
                self.handed_to = action.successor
                self.send(action.successor, {"is": "retired", "open": [], "out": []})
            elif isinstance(action, state_machine.RunCommand):
                self.done.append(action.worker)
                self.send(action.peer, {"is": "did", "n": action.number, "yes": True})
            elif isinstance(action, state_machine.DeliverCallback):
                yes = action.body == f"of {self.number}"
                self.send(action.peer, {"is": "known", "n": action.number, "yes": yes})
            elif isinstance(action, state_machine.CompleteQuery):
                assert action.number not in self.replies, "answered twice"
                self.replies[action.number] = action.result
            elif isinstance(action, state_machine.Disconnect):
                self.play.channels.pop((self.number, action.peer), None)

    def send(self, peer: int, message: dict[str, Any]) -> None:
        if (self.number, peer) in self.play.channels:
            packets = framing.pack(message)
            self.play.channels[(self.number, peer)].append(packets)


def play_accepts(play: Play, number: int) -> bool:
    return play.processes[number].machine.accepting


class Play:
    """A few processes, one after the other."""

    def __init__(self) -> None:
        self.processes: list[Process] = []
        self.channels: dict[tuple[int, int], deque[list[bytes]]] = {}
        self.holder: int | None = None

    def living(self) -> list[Process]:
        return [process for process in self.processes if process.alive]

    def deliver(self, way: tuple[int, int]) -> None:
        unpacker, message = framing.Unpacker(), None
        for packet in self.channels[way].popleft():
            message = unpacker.feed(packet)
        to = self.processes[way[1]]
        if to.alive and message is not None and (way[1], way[0]) in self.channels:
            to.do(to.machine.on_message(way[0], message))

    def kill(self, process: Process) -> None:
        process.alive = False
        for way in [w for w in self.channels if process.number in w]:
            del self.channels[way]
        for other in self.living():
            other.do(other.machine.on_peer_lost(process.number))

    def settle(self) -> None:
        while ways := [way for way, queue in self.channels.items() if queue]:
            self.deliver(ways[0])


def may_start(one: state_machine.HotRestart) -> bool:
    return not one.started and (one.predecessor is None or one.has_inherited)


@given(seed=st.integers(0, 10_000))
def test_whatever_the_order_one_serves_and_questions_are_answered_once(seed: int) -> None:
    chance, play = random.Random(seed), Play()
    play.processes.append(Process(play, 0))
    play.processes[0].do(play.processes[0].machine.on_started())
    for step in range(60):
        ways = [way for way, queue in play.channels.items() if queue]
        what = chance.choice(["deliver"] * 6 + ["new", "start", "kill", "call", "back", "hang"])
        process = chance.choice(play.living())
        if what == "deliver" and ways:
            play.deliver(chance.choice(ways))
        elif what == "new" and len(play.processes) < 6 and len(play.living()) < 3:
            play.processes.append(Process(play, len(play.processes)))
        elif what == "start" and may_start(process.machine):
            process.do(process.machine.on_started())
        elif what == "kill" and len(play.living()) > 1 and chance.random() < 0.5:
            play.kill(process)
        elif what == "hang" and process.machine.predecessor is None:  # a timer that is left over
            process.do(process.machine.on_handover_timeout())
        elif what == "call" and process.machine.started:
            process.done.append(f"call {step}")
            number, actions = process.machine.query_command("cordon", f"call {step}")
            process.asked[number] = f"call {step}", set(process.machine.peers)
            process.do(actions)
        elif what == "back" and process.machine.started:
            owner = chance.randrange(len(play.processes))
            number, actions = process.machine.query_callback(f"of {owner}")
            process.asked[number] = f"of {owner}", set(process.machine.peers)
            process.do(actions)
        for one in play.living():
            for number, yes in one.replies.items():
                called, peers = one.asked[number]
                if yes and called.startswith("call"):
                    others = [play.processes[peer] for peer in peers]
                    assert all(called in other.done for other in others if other.alive)
    for process in play.living():
        if may_start(process.machine):
            process.do(process.machine.on_started())
    play.settle()
    for one in play.living():
        assert one.asked.keys() == one.replies.keys()
        for number, (asked, peers) in one.asked.items():
            owner = int(asked.split()[1])
            if asked.startswith("of") and owner in peers and play.processes[owner].alive:
                assert one.replies[number], "a call-back for a living process was settled without its word"
    serving = [p for p in play.living() if p.machine.accepting]
    assert serving or not any(p.machine.started for p in play.living())


@given(st.sets(st.text(max_size=20), max_size=5), st.data())
def test_a_torn_or_foreign_file_is_refused(bans: set[str], data: st.DataObject) -> None:
    whole = ban_file.encode_ban_file(bans)
    assert ban_file.decode_ban_file(whole) == bans
    cut = data.draw(st.integers(0, len(whole) - 2))
    for broken in (whole[:cut], b"{}", whole.replace(b'"version":1', b'"version":2')):
        with pytest.raises(framing.FrameError):
            ban_file.decode_ban_file(broken)


def test_long_messages_go_in_packets_and_foreign_ones_are_refused() -> None:
    message, unpacker = {"is": "welcome", "names": ["n" * 50] * 5000}, framing.Unpacker()
    packets = framing.pack(message)
    assert len(packets) > 3 and max(map(len, packets)) <= framing.MAX_PACKET_PAYLOAD_BYTES + 1
    assert [unpacker.feed(packet) for packet in packets][-1] == message
    for foreign in (b"GET / HTTP/1.1", b".[]", b".{", b".{}", b""):
        with pytest.raises(framing.FrameError):
            framing.Unpacker().feed(foreign)


def test_what_was_learned_is_taken_whole_or_not_at_all() -> None:
    listed = core.WorkersListed(core.ListKind.FULL, (core.WorkerEntry("w"),))
    old, new = (
        Policy(settings(), 1),
        Policy(settings(classes=(NOT_IDEMPOTENT, IDEMPOTENT, IDEMPOTENT_WITH_KEY)), 2),
    )
    for policy in old, new:
        policy.handle(1.0, listed)
    old.estimates.run_ms[2], old.workers["w"].slowness, old.estimates.kind_slots[0] = 321.0, 2.0, 8.0
    told = json.loads(json.dumps(save_checkpoint(old)))
    torn = json.loads(json.dumps(told))
    torn["others"] = [1.0, float("nan")]
    with pytest.raises(ValueError):
        restore_checkpoint(new, torn)
    assert new.workers["w"].slowness == 1.0
    restore_checkpoint(new, told)
    assert new.workers["w"].slowness == 2.0 and new.estimates.kind_slots == {0: 8.0}
    assert new.estimates.run_ms[0] == 321.0  # by the class's name, not by its place


def test_the_elders_jobs_count_as_ones_own_until_they_end() -> None:
    policy = Policy(settings(report_fields=frozenset({"free_slots"}), weights_follow_load=True), 1)
    policy.handle(1.0, core.WorkersListed(core.ListKind.FULL, (core.WorkerEntry("w", weight=8.0),)))
    policy.estimates.kind_slots[0] = 8.0
    inherited = InheritedAttempts(policy)
    for n in range(6):
        inherited.add(f"{n}", "w", 1.0, 0.0, 100.0, "order")
    inherited.add("0", "w", 1.0, 0.0, 100.0, "order")
    inherited.add("x", "gone", 1.0, 0.0, 100.0, "order")
    policy.handle(2000.0, core.WorkersListed(core.ListKind.CHANGES, (core.WorkerEntry("w", weight=4.5),)))
    view = policy.workers["w"]
    assert (view.attempt_count, view.used_slots) == (6, 6.0) and view.others_slots < 1.0
    inherited.end("0", 2001.0)
    inherited.end_all(2002.0)
    assert (view.attempt_count, view.used_slots) == (0, 0.0)


def handed_over(door: Any) -> bool:
    return "handed over" in send_admin_command(door, "health")


def job(call_id: str) -> dict[str, str]:
    return {"X-Call-Id": call_id, "X-Call-Class": "order"}


def test_an_upgrade_under_load_loses_no_job_and_keeps_bans(testbed: DispatcherTestbed) -> None:
    runners = [testbed.add_worker(f"s-{n}", seconds=0.3) for n in range(4)]
    first = testbed.start_on_shared_socket()
    wait_until(lambda: reports_ready(first))
    assert send_admin_command(first, "cordon s-3").startswith("SUCCESS")
    over, answered = threading.Event(), list[int]()

    def client(number: int) -> None:
        connection, n = http.client.HTTPConnection(*testbed.client_address, timeout=30), 0
        while not over.is_set():
            n += 1
            connection.request("POST", "/api", b"", job(f"{number}-{n}"))
            answer = connection.getresponse()
            answer.read()
            answered.append(answer.status)
            time.sleep(0.02 * number)

    clients = [threading.Thread(target=client, args=(n,)) for n in range(5)]
    for thread in clients:
        thread.start()
    for _ in range(2):
        old, old_door = testbed.process, first
        wait_until(lambda: len(answered) > 10)
        second = testbed.start_on_shared_socket()
        wait_until(partial(reports_ready, second))
        wait_until(partial(handed_over, old_door))
        assert send_admin_command(second, "cordon nobody").startswith("FAILURE")
        repeat_admin_command(second, "cordon s-2")  # said to one, it holds in both
        repeat_admin_command(first, "uncordon s-2")
        old.send_signal(signal.SIGTERM)
        assert old.wait(20) == 0
        first = second
        answered.clear()
    wait_until(lambda: len(answered) > 10)
    over.set()
    for thread in clients:
        thread.join()
    assert set(answered) == {200} and not runners[3].jobs
    assert max(testbed.job_runs.counts.values()) == 1
    assert send_admin_command(first, "uncordon s-3").startswith("SUCCESS")


def one_running(testbed: DispatcherTestbed, name: str) -> tuple[WorkerStandIn, Callable[[], Response]]:
    """A process with a job at a runner that ends it when told to; the runner, and the job's answer."""
    runner = testbed.add_worker("s-1", seconds=60.0)
    door = testbed.start_on_shared_socket()
    wait_until(lambda: reports_ready(door))
    pending = testbed.in_background(
        lambda: send_request(testbed.client_address, "POST", "/api", b"", job(name))
    )
    wait_until(lambda: len(runner.jobs) == 1)
    return runner, pending


def test_a_call_back_that_comes_to_the_other_process_is_answered_by_the_owners_word(
    testbed: DispatcherTestbed,
) -> None:
    runner, pending = one_running(testbed, "long")
    second = testbed.start_on_shared_socket()
    wait_until(lambda: reports_ready(second))
    assert send_request(testbed.client_address, "POST", "/api", b"", job("long"))[0] == 409
    testbed.processes[0].send_signal(signal.SIGTERM)
    assert runner.call_back("nobody's", state="done", result="") == 204
    for _ in range(2):
        assert runner.call_back("long", state="done", result="it") == 204
    assert pending()[0] == 200 and pending()[2] == b"it"
    assert testbed.processes[0].wait(20) == 0
    assert send_request(testbed.client_address, "GET", "/health/ready", b"", {})[0] == 200


def test_a_job_that_no_runner_has_goes_to_the_new_process(
    testbed: DispatcherTestbed, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The job waits for as long as the new process takes to start, on a busy machine too.
    monkeypatch.setitem(SETTINGS["services"][0], "aimMs", 10_000.0)
    runner, running = one_running(testbed, "runs")
    held = testbed.in_background(
        lambda: send_request(testbed.client_address, "POST", "/api?q=1", b"\xff\0", job("held"))
    )
    time.sleep(0.1)
    second = testbed.start_on_shared_socket()
    wait_until(lambda: reports_ready(second))
    runner.job_seconds = 0.0
    assert runner.call_back("runs", state="done", result="it", load={"x0": 8, "x1": 8}) == 204
    assert running()[2] == b"it"
    testbed.processes[0].send_signal(signal.SIGTERM)
    assert testbed.processes[0].wait(20) == 0
    assert held()[::2] == (200, b"result of held")
    assert (runner.jobs[1].path, runner.jobs[1].body) == ("/api?q=1", b"\xff\0")
    assert testbed.job_runs.counts["held"] == 1


def test_a_job_that_outlasts_the_old_process_is_answered_by_the_new_one(testbed: DispatcherTestbed) -> None:
    runner, pending = one_running(testbed, "long")
    second = testbed.start_on_shared_socket()
    wait_until(lambda: reports_ready(second))
    testbed.processes[0].send_signal(signal.SIGTERM)
    assert testbed.processes[0].wait(20) == 0
    assert send_request(testbed.client_address, "POST", "/api", b"", job("long"))[0] == 409
    for _ in range(2):
        assert runner.call_back("long", state="done", result="it") == 204
    assert pending()[::2] == (200, b"it")
    assert len(runner.jobs) == 1 and not runner.cancelled, "it was sent again, or given up"


def test_one_door_for_both_processes_answers_throughout(testbed: DispatcherTestbed) -> None:
    testbed.add_worker("s-1")
    door = testbed.start_on_shared_socket()
    wait_until(lambda: reports_ready(door))
    testbed.start_on_shared_socket(door)
    over, said = threading.Event(), list[str]()

    def caller() -> None:
        while not over.is_set():
            said.append(send_admin_command(door, "cordon s-1"))

    thread = threading.Thread(target=caller)
    thread.start()
    wait_until(lambda: any(handed_over(door) for _ in range(8)))
    over.set()
    thread.join()
    assert said and all(line.startswith("SUCCESS") or "call again" in line for line in said)
    testbed.processes[0].send_signal(signal.SIGTERM)
    assert testbed.processes[0].wait(20) == 0
    assert send_admin_command(door, "uncordon s-1").startswith("SUCCESS")


def test_when_the_new_process_dies_the_old_one_serves_on(testbed: DispatcherTestbed) -> None:
    testbed.add_worker("s-1")
    first = testbed.start_on_shared_socket()
    wait_until(lambda: reports_ready(first))
    for early in (True, False):
        door = testbed.start_on_shared_socket()
        if not early:
            wait_until(partial(reports_ready, door))
            wait_until(lambda: not reports_ready(first))
        testbed.kill()
        wait_until(lambda: reports_ready(first))
        assert send_request(testbed.client_address, "POST", "/api", b"", job(f"after-{early}"))[0] == 200
    repeat_admin_command(first, "quiesce")
    repeat_admin_command(first, "resume")
    assert reports_ready(first)


def test_bans_outlive_an_old_process_that_is_killed_before_it_could_tell(testbed: DispatcherTestbed) -> None:
    runner = testbed.add_worker("s-1")
    first = testbed.start_on_shared_socket()
    wait_until(lambda: reports_ready(first))
    assert send_admin_command(first, "cordon s-1").startswith("SUCCESS")
    testbed.kill()
    second = testbed.start_on_shared_socket()
    wait_until(lambda: reports_ready(second))
    assert send_request(testbed.client_address, "POST", "/api", b"", job("a") | {"X-Budget": "0.3"})[0] == 503
    assert not runner.jobs
    assert send_admin_command(second, "uncordon s-1").startswith("SUCCESS")
    assert send_request(testbed.client_address, "POST", "/api", b"", job("b"))[0] == 200
