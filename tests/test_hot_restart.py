"""Hot restarts: the state machine under random orders of messages and kills, and two real processes."""

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
from grebestack.hot_restart import cordon_file, framing, state_machine
from grebestack.program.hot_restart_wire import queued_request_to_wire, request_history
from grebestack.routing.requests import Attempt, EndedAttempt, Payload, Request, RequestHistory
from grebestack.transport.http_message import HttpRequest
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
    """One process, with an ordered channel to each peer."""

    def __init__(self, simulation: Simulation, number: int) -> None:
        self.simulation, self.number, self.machine = simulation, number, state_machine.HotRestart()
        self.alive, self.done, self.results = True, list[str](), dict[int, bool | None]()
        self.queries: dict[int, tuple[str, set[int]]] = {}  # by number: the query, and the peers at that time
        self.handed_to: int | None = None
        if simulation.holder is None or not simulation.processes[simulation.holder].alive:
            self.do(self.machine.on_no_predecessor())
        else:
            simulation.channels |= {
                (number, simulation.holder): deque(),
                (simulation.holder, number): deque(),
            }
            self.do(self.machine.on_predecessor_found(simulation.holder))

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
                    self.simulation.holder = self.number
                elif self.simulation.holder == self.number:
                    self.simulation.holder = None
            elif isinstance(action, state_machine.AcceptClients) and not action.enabled:
                assert action.successor is not None and not is_accepting(self.simulation, action.successor), (
                    "two accept"
                )
                self.handed_to = action.successor
                self.send(action.successor, {"is": "retired", "open": [], "out": []})
            elif isinstance(action, state_machine.RunCommand):
                self.done.append(action.worker)
                self.send(action.peer, {"is": "did", "n": action.number, "yes": True})
            elif isinstance(action, state_machine.DeliverCallback):
                accepted = action.body == f"of {self.number}"
                self.send(action.peer, {"is": "known", "n": action.number, "yes": accepted})
            elif isinstance(action, state_machine.CompleteQuery):
                assert action.number not in self.results, "answered twice"
                self.results[action.number] = action.result
            elif isinstance(action, state_machine.Disconnect):
                self.simulation.channels.pop((self.number, action.peer), None)

    def send(self, peer: int, message: dict[str, Any]) -> None:
        if (self.number, peer) in self.simulation.channels:
            packets = framing.pack(message)
            self.simulation.channels[(self.number, peer)].append(packets)


def is_accepting(simulation: Simulation, number: int) -> bool:
    return simulation.processes[number].machine.accepting


class Simulation:
    """Processes that are started one after the other, and the channels between them."""

    def __init__(self) -> None:
        self.processes: list[Process] = []
        self.channels: dict[tuple[int, int], deque[list[bytes]]] = {}
        self.holder: int | None = None

    def alive_processes(self) -> list[Process]:
        return [process for process in self.processes if process.alive]

    def deliver(self, channel: tuple[int, int]) -> None:
        unpacker, message = framing.Unpacker(), None
        for packet in self.channels[channel].popleft():
            message = unpacker.feed(packet)
        receiver = self.processes[channel[1]]
        if receiver.alive and message is not None and (channel[1], channel[0]) in self.channels:
            receiver.do(receiver.machine.on_message(channel[0], message))

    def kill(self, process: Process) -> None:
        process.alive = False
        for channel in [c for c in self.channels if process.number in c]:
            del self.channels[channel]
        for other in self.alive_processes():
            other.do(other.machine.on_peer_lost(process.number))

    def deliver_all(self) -> None:
        while channels := [channel for channel, queue in self.channels.items() if queue]:
            self.deliver(channels[0])


def may_start(machine: state_machine.HotRestart) -> bool:
    return not machine.started and (machine.predecessor is None or machine.has_inherited)


@given(seed=st.integers(0, 10_000))
def test_in_any_order_of_events_one_process_serves_and_queries_complete_once(seed: int) -> None:
    rng, simulation = random.Random(seed), Simulation()
    simulation.processes.append(Process(simulation, 0))
    simulation.processes[0].do(simulation.processes[0].machine.on_started())
    for step in range(60):
        channels = [channel for channel, queue in simulation.channels.items() if queue]
        event = rng.choice(["deliver"] * 6 + ["new", "start", "kill", "call", "back", "hang"])
        process = rng.choice(simulation.alive_processes())
        if event == "deliver" and channels:
            simulation.deliver(rng.choice(channels))
        elif event == "new" and len(simulation.processes) < 6 and len(simulation.alive_processes()) < 3:
            simulation.processes.append(Process(simulation, len(simulation.processes)))
        elif event == "start" and may_start(process.machine):
            process.do(process.machine.on_started())
        elif event == "kill" and len(simulation.alive_processes()) > 1 and rng.random() < 0.5:
            simulation.kill(process)
        elif event == "hang" and process.machine.predecessor is None:  # a timer that was not cancelled
            process.do(process.machine.on_handover_timeout())
        elif event == "call" and process.machine.started:
            process.done.append(f"call {step}")
            number, actions = process.machine.query_command("cordon", f"call {step}")
            process.queries[number] = f"call {step}", set(process.machine.peers)
            process.do(actions)
        elif event == "back" and process.machine.started:
            owner = rng.randrange(len(simulation.processes))
            number, actions = process.machine.query_callback(f"of {owner}")
            process.queries[number] = f"of {owner}", set(process.machine.peers)
            process.do(actions)
        for one in simulation.alive_processes():
            for number, agreed in one.results.items():
                query, peers = one.queries[number]
                if agreed and query.startswith("call"):
                    others = [simulation.processes[peer] for peer in peers]
                    assert all(query in other.done for other in others if other.alive)
    for process in simulation.alive_processes():
        if may_start(process.machine):
            process.do(process.machine.on_started())
    simulation.deliver_all()
    for one in simulation.alive_processes():
        assert one.queries.keys() == one.results.keys()
        for number, (query, peers) in one.queries.items():
            owner = int(query.split()[1])
            if query.startswith("of") and owner in peers and simulation.processes[owner].alive:
                assert one.results[number], (
                    "a call-back for a living process was refused without its response"
                )
    serving = [p for p in simulation.alive_processes() if p.machine.accepting]
    assert serving or not any(p.machine.started for p in simulation.alive_processes())


@given(st.sets(st.text(max_size=20), max_size=5), st.data())
def test_a_truncated_or_foreign_file_is_refused(cordoned: set[str], data: st.DataObject) -> None:
    encoded = cordon_file.encode_cordon_file(cordoned)
    assert cordon_file.decode_cordon_file(encoded) == cordoned
    length = data.draw(st.integers(0, len(encoded) - 2))
    for broken in (encoded[:length], b"{}", encoded.replace(b'"version":1', b'"version":2')):
        with pytest.raises(framing.FrameError):
            cordon_file.decode_cordon_file(broken)


def test_long_messages_are_split_into_packets_and_foreign_packets_are_refused() -> None:
    message, unpacker = {"is": "welcome", "names": ["n" * 50] * 5000}, framing.Unpacker()
    packets = framing.pack(message)
    assert len(packets) > 3 and max(map(len, packets)) <= framing.MAX_PACKET_PAYLOAD_BYTES + 1
    assert [unpacker.feed(packet) for packet in packets][-1] == message
    for foreign in (b"GET / HTTP/1.1", b".[]", b".{", b".{}", b""):
        with pytest.raises(framing.FrameError):
            framing.Unpacker().feed(foreign)


def test_a_checkpoint_is_restored_in_full_or_not_at_all() -> None:
    listed = core.WorkersListed(core.ListKind.FULL, (core.WorkerEntry("w"),))
    old, new = (
        Policy(settings(), 1),
        Policy(settings(classes=(NOT_IDEMPOTENT, IDEMPOTENT, IDEMPOTENT_WITH_KEY)), 2),
    )
    for policy in old, new:
        policy.handle(1.0, listed)
    old.estimates.run_ms[2], old.workers["w"].slowness, old.estimates.kind_slots[0] = 321.0, 2.0, 8.0
    checkpoint = json.loads(json.dumps(save_checkpoint(old)))
    malformed = json.loads(json.dumps(checkpoint))
    malformed["others"] = [1.0, float("nan")]
    with pytest.raises(ValueError):
        restore_checkpoint(new, malformed)
    assert new.workers["w"].slowness == 1.0
    restore_checkpoint(new, checkpoint)
    assert new.workers["w"].slowness == 2.0 and new.estimates.kind_slots == {0: 8.0}
    assert new.estimates.run_ms[0] == 321.0  # by the class's name, not by its index


def test_the_predecessors_attempts_count_like_own_ones_until_they_end() -> None:
    policy = Policy(settings(report_fields=frozenset({"free_slots"}), weights_follow_load=True), 1)
    policy.handle(1.0, core.WorkersListed(core.ListKind.FULL, (core.WorkerEntry("w", weight=8.0),)))
    policy.estimates.kind_slots[0] = 8.0
    inherited = InheritedAttempts(policy)
    for n in range(6):
        inherited.add(f"{n}", "w", 1.0, 0.0, 100.0, "order")
    inherited.add("0", "w", 1.0, 0.0, 100.0, "order")
    inherited.add("x", "gone", 1.0, 0.0, 100.0, "order")
    policy.handle(2000.0, core.WorkersListed(core.ListKind.CHANGES, (core.WorkerEntry("w", weight=4.5),)))
    worker = policy.workers["w"]
    assert (worker.attempt_count, worker.used_slots) == (6, 6.0) and worker.others_slots < 1.0
    inherited.end("0", 2001.0)
    inherited.end_all(2002.0)
    assert (worker.attempt_count, worker.used_slots) == (0, 0.0)


def has_handed_over(admin: Any) -> bool:
    return "handed over" in send_admin_command(admin, "health")


def request_headers(call_id: str) -> dict[str, str]:
    return {"X-Call-Id": call_id, "X-Call-Class": "order"}


def test_a_restart_under_load_loses_no_request_and_keeps_workers_cordoned(testbed: DispatcherTestbed) -> None:
    workers = [testbed.add_worker(f"s-{n}", seconds=0.3) for n in range(4)]
    first = testbed.start_on_shared_socket()
    wait_until(lambda: reports_ready(first))
    assert send_admin_command(first, "cordon s-3").startswith("SUCCESS")
    stopped, statuses = threading.Event(), list[int]()

    def client(number: int) -> None:
        connection, n = http.client.HTTPConnection(*testbed.client_address, timeout=30), 0
        while not stopped.is_set():
            n += 1
            connection.request("POST", "/api", b"", request_headers(f"{number}-{n}"))
            response = connection.getresponse()
            response.read()
            statuses.append(response.status)
            time.sleep(0.02 * number)

    clients = [threading.Thread(target=client, args=(n,)) for n in range(5)]
    for thread in clients:
        thread.start()
    for _ in range(2):
        old, old_admin = testbed.process, first
        wait_until(lambda: len(statuses) > 10)
        second = testbed.start_on_shared_socket()
        wait_until(partial(reports_ready, second))
        wait_until(partial(has_handed_over, old_admin))
        assert send_admin_command(second, "cordon nobody").startswith("FAILURE")
        repeat_admin_command(second, "cordon s-2")  # a command to one process takes effect in both
        repeat_admin_command(first, "uncordon s-2")
        old.send_signal(signal.SIGTERM)
        assert old.wait(20) == 0
        first = second
        statuses.clear()
    wait_until(lambda: len(statuses) > 10)
    stopped.set()
    for thread in clients:
        thread.join()
    assert set(statuses) == {200} and not workers[3].jobs
    assert max(testbed.job_runs.counts.values()) == 1
    assert send_admin_command(first, "uncordon s-3").startswith("SUCCESS")


def start_with_running_request(
    testbed: DispatcherTestbed, call_id: str
) -> tuple[WorkerStandIn, Callable[[], Response]]:
    """Start a process with a request that runs until `WorkerStandIn.call_back`; the worker and the answer."""
    worker = testbed.add_worker("s-1", seconds=60.0)
    admin = testbed.start_on_shared_socket()
    wait_until(lambda: reports_ready(admin))
    pending = testbed.in_background(
        lambda: send_request(testbed.client_address, "POST", "/api", b"", request_headers(call_id))
    )
    wait_until(lambda: len(worker.jobs) == 1)
    return worker, pending


def test_a_call_back_that_reaches_the_other_process_is_passed_to_the_owner(
    testbed: DispatcherTestbed,
) -> None:
    worker, pending = start_with_running_request(testbed, "long")
    second = testbed.start_on_shared_socket()
    wait_until(lambda: reports_ready(second))
    assert send_request(testbed.client_address, "POST", "/api", b"", request_headers("long"))[0] == 409
    testbed.processes[0].send_signal(signal.SIGTERM)
    assert worker.call_back("nobody's", state="done", result="") == 204
    for _ in range(2):
        assert worker.call_back("long", state="done", result="it") == 204
    assert pending()[0] == 200 and pending()[2] == b"it"
    assert testbed.processes[0].wait(20) == 0
    assert send_request(testbed.client_address, "GET", "/health/ready", b"", {})[0] == 200


def test_a_request_not_yet_sent_to_a_worker_is_handed_over_to_the_successor(
    testbed: DispatcherTestbed, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The request waits until the successor has started, which takes long on a busy machine.
    monkeypatch.setitem(SETTINGS["services"][0], "aimMs", 10_000.0)
    worker, running = start_with_running_request(testbed, "runs")
    queued = testbed.in_background(
        lambda: send_request(testbed.client_address, "POST", "/api?q=1", b"\xff\0", request_headers("held"))
    )
    time.sleep(0.1)
    second = testbed.start_on_shared_socket()
    wait_until(lambda: reports_ready(second))
    worker.job_seconds = 0.0
    assert worker.call_back("runs", state="done", result="it", load={"x0": 8, "x1": 8}) == 204
    assert running()[2] == b"it"
    testbed.processes[0].send_signal(signal.SIGTERM)
    assert testbed.processes[0].wait(20) == 0
    assert queued()[::2] == (200, b"result of held")
    assert (worker.jobs[1].path, worker.jobs[1].body) == ("/api?q=1", b"\xff\0")
    assert testbed.job_runs.counts["held"] == 1


def test_a_request_handed_over_takes_the_workers_along_that_may_repeat_a_call_back() -> None:
    # Guards against a successor that sends a request to a worker whose repeated hand-back then ends it.
    arrival = core.RequestArrived(1, 0, 9000.0, earlier_attempts=1)
    listener: Any = None
    request = Request("a", arrival, Payload(b"", b""), listener)
    request.attempts = [
        Attempt(request, 0, "w0", 1.0, callback_id="w0", outcome=core.Outcome.CONNECT_FAILED),
        Attempt(
            request,
            1,
            "w1",
            1.0,
            callback_id="w1",
            outcome=core.Outcome.REJECTED,
            later_report=core.LaterReport.SAME,
        ),
    ]
    (packet,) = framing.pack(queued_request_to_wire(request, HttpRequest(b"POST", b"/api")))
    message = framing.Unpacker().feed(packet)
    assert message is not None
    repeated = EndedAttempt("w1", core.Outcome.REJECTED, core.LaterReport.SAME)
    assert request_history(message) == RequestHistory(3, (repeated,))
    del message["attempts"], message["reported_again"]  # as a process of the former edition sends it
    assert request_history(message) == RequestHistory()


def test_a_request_that_outlasts_the_predecessor_is_answered_by_the_successor(
    testbed: DispatcherTestbed,
) -> None:
    worker, pending = start_with_running_request(testbed, "long")
    second = testbed.start_on_shared_socket()
    wait_until(lambda: reports_ready(second))
    testbed.processes[0].send_signal(signal.SIGTERM)
    assert testbed.processes[0].wait(20) == 0
    assert send_request(testbed.client_address, "POST", "/api", b"", request_headers("long"))[0] == 409
    for _ in range(2):
        assert worker.call_back("long", state="done", result="it") == 204
    assert pending()[::2] == (200, b"it")
    assert len(worker.jobs) == 1 and not worker.cancelled, "it was sent again, or given up"


def restart(testbed: DispatcherTestbed) -> Any:
    """Start a successor of the newest process, and return its admin address once it serves."""
    admin = testbed.start_on_shared_socket()
    wait_until(lambda: reports_ready(admin))
    return admin


def stop(process: Any) -> None:
    process.send_signal(signal.SIGTERM)
    assert process.wait(20) == 0


@pytest.fixture
def long_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    """Deadlines that outlast some restarts on a busy machine."""
    for service in SETTINGS["services"]:
        monkeypatch.setitem(service, "hardLimitMs", 60_000.0)
        monkeypatch.setitem(service, "windowMs", 60_000.0)


@pytest.mark.usefixtures("long_deadline")
def test_a_request_that_outlasts_three_restarts_in_a_row_is_answered(testbed: DispatcherTestbed) -> None:
    # Guards against a request that is handed over once and then neither handed on nor awaited.
    worker, pending = start_with_running_request(testbed, "long")
    for old in range(3):
        restart(testbed)
        stop(testbed.processes[old])
    assert send_request(testbed.client_address, "POST", "/api", b"", request_headers("long"))[0] == 409
    for _ in range(2):
        assert worker.call_back("long", state="done", result="it") == 204
    assert pending()[::2] == (200, b"it")
    assert len(worker.jobs) == 1 and not worker.cancelled, "it was sent again, or given up"


@pytest.mark.usefixtures("long_deadline")
def test_a_call_back_reaches_a_request_two_restarts_behind(testbed: DispatcherTestbed) -> None:
    # Guards against a 204 for a result whose request is open in the predecessor of the predecessor.
    worker, pending = start_with_running_request(testbed, "long")
    for _ in range(2):
        restart(testbed)
    assert send_request(testbed.client_address, "POST", "/api", b"", request_headers("long"))[0] == 409
    testbed.processes[0].send_signal(signal.SIGTERM)
    testbed.processes[1].send_signal(signal.SIGTERM)
    assert worker.call_back("long", state="done", result="it") == 204
    assert pending()[::2] == (200, b"it")
    assert all(process.wait(20) == 0 for process in testbed.processes[:2])


@pytest.mark.usefixtures("long_deadline")
def test_a_request_moves_on_through_restarts_that_overlap(testbed: DispatcherTestbed) -> None:
    # Guards against a process that ends before its predecessor, or keeps what it adopts late in its stop.
    worker, pending = start_with_running_request(testbed, "long")
    for _ in range(2):
        restart(testbed)
    for process in testbed.processes[:2]:
        process.send_signal(signal.SIGTERM)
    assert all(process.wait(20) == 0 for process in testbed.processes[:2])
    assert worker.call_back("long", state="done", result="it") == 204
    assert pending()[::2] == (200, b"it")
    assert len(worker.jobs) == 1 and not worker.cancelled, "it was sent again, or given up"


@pytest.mark.usefixtures("long_deadline")
def test_a_worker_cordoned_two_restarts_later_gets_no_retry(testbed: DispatcherTestbed) -> None:
    # Guards against a cordon that ends at the direct predecessor of the process that received it.
    first, second = (testbed.add_worker(f"s-{n}", seconds=60.0) for n in (1, 2))
    admin = testbed.start_on_shared_socket()
    wait_until(lambda: reports_ready(admin))
    headers = request_headers("kept") | {"X-Call-Class": "reading", "Idempotency-Key": "k"}
    pending = testbed.in_background(
        lambda: send_request(testbed.client_address, "POST", "/api", b"", headers)
    )
    wait_until(lambda: len(first.jobs) + len(second.jobs) == 1)
    runner, other = (first, second) if first.jobs else (second, first)
    admin = [restart(testbed) for _ in range(2)][-1]
    repeat_admin_command(admin, f"cordon {other.uid}")
    assert runner.call_back("kept", state="failed") == 204
    wait_until(lambda: bool(other.jobs) or len(runner.jobs) == 2)  # the only one left may repeat its report
    assert not other.jobs
    assert runner.call_back("kept", state="done", result="it") == 204
    assert pending()[::2] == (200, b"it")


@pytest.mark.usefixtures("long_deadline")
@pytest.mark.parametrize("first_outcome", ["failed", "lost"])
@pytest.mark.parametrize("restarts", [1, 2])
def test_a_job_handed_back_after_a_restart_may_still_have_run_before(
    testbed: DispatcherTestbed, monkeypatch: pytest.MonkeyPatch, first_outcome: str, restarts: int
) -> None:
    # Guards against a 503, or a retry in another cell, for a job of which only the last attempt never ran.
    monkeypatch.setitem(SETTINGS["services"][1], "group", "cell")
    workers = [testbed.add_worker(f"s-{n}", seconds=60.0) for n in range(4)]
    for worker in workers[2:]:
        worker.cell = 1
    admin = testbed.start_on_shared_socket()
    wait_until(lambda: reports_ready(admin))
    headers = request_headers("read") | {"X-Call-Class": "reading", "Idempotency-Key": "k"}
    pending = testbed.in_background(
        lambda: send_request(testbed.client_address, "POST", "/api?q=1", b"meter", headers)
    )

    def worker_of_attempt(number: int) -> WorkerStandIn:
        wait_until(lambda: sum(len(worker.jobs) for worker in workers) == number)
        return max((worker for worker in workers if worker.jobs), key=lambda worker: worker not in seen)

    seen: list[WorkerStandIn] = []
    seen.append(worker_of_attempt(1))
    assert seen[0].call_back("read", state=first_outcome) == 204
    seen.append(worker_of_attempt(2))
    for old in range(restarts):
        restart(testbed)
        stop(testbed.processes[old])
    assert seen[1].call_back("read", state="returned") == 204
    wait_until(lambda: sum(len(worker.jobs) for worker in workers) == 3)
    cells = {worker.cell for worker in workers if worker.jobs}
    assert cells == {seen[0].cell}
    last = next(worker for worker in workers if len(worker.jobs) == 2)
    assert (last.jobs[1].path, last.jobs[1].body) == ("/api?q=1", b"meter")
    assert last.jobs[1].headers["idempotency-key"] == "k"
    assert last.call_back("read", state="done", result="it") == 204
    assert pending()[::2] == (200, b"it")


def test_an_id_that_has_run_in_a_process_before_is_not_run_again(testbed: DispatcherTestbed) -> None:
    # Guards against an order that runs twice because its id comes again at the other process of a restart.
    worker = testbed.add_worker("s-1")
    admin = testbed.start_on_shared_socket()
    wait_until(lambda: reports_ready(admin))

    def order(call_id: str) -> int:
        return send_request(testbed.client_address, "POST", "/api", b"", request_headers(call_id))[0]

    assert order("before") == 200
    worker.job_seconds = 60.0
    pending = testbed.in_background(lambda: order("across"))
    wait_until(lambda: len(worker.jobs) == 2)
    restart(testbed)
    assert worker.call_back("across", state="done", result="it") == 204
    assert pending() == 200
    restart(testbed)
    stop(testbed.processes[0])
    stop(testbed.processes[1])
    assert [order("before"), order("across")] == [409, 409]
    assert len(worker.jobs) == 2


def test_a_client_that_leaves_after_its_request_was_handed_over_has_its_job_cancelled(
    testbed: DispatcherTestbed,
) -> None:
    # Guards against an adopted request that knows nothing of its client's end.
    worker = testbed.add_worker("s-1", seconds=60.0)
    admin = testbed.start_on_shared_socket()
    wait_until(lambda: reports_ready(admin))
    client = http.client.HTTPConnection(*testbed.client_address, timeout=30)
    client.request("POST", "/api", b"", request_headers("left"))
    wait_until(lambda: len(worker.jobs) == 1)
    restart(testbed)
    stop(testbed.processes[0])
    client.close()
    wait_until(lambda: bool(worker.cancelled))


def test_an_admin_address_shared_by_both_processes_responds_throughout(testbed: DispatcherTestbed) -> None:
    testbed.add_worker("s-1")
    admin = testbed.start_on_shared_socket()
    wait_until(lambda: reports_ready(admin))
    testbed.start_on_shared_socket(admin)
    stopped, responses = threading.Event(), list[str]()

    def caller() -> None:
        while not stopped.is_set():
            responses.append(send_admin_command(admin, "cordon s-1"))

    thread = threading.Thread(target=caller)
    thread.start()
    wait_until(lambda: any(has_handed_over(admin) for _ in range(8)))
    stopped.set()
    thread.join()
    assert responses and all(line.startswith("SUCCESS") or "call again" in line for line in responses)
    testbed.processes[0].send_signal(signal.SIGTERM)
    assert testbed.processes[0].wait(20) == 0
    assert send_admin_command(admin, "uncordon s-1").startswith("SUCCESS")


def test_when_the_successor_dies_the_predecessor_serves_again(testbed: DispatcherTestbed) -> None:
    testbed.add_worker("s-1")
    first = testbed.start_on_shared_socket()
    wait_until(lambda: reports_ready(first))
    for early in (True, False):
        admin = testbed.start_on_shared_socket()
        if not early:
            wait_until(partial(reports_ready, admin))
            wait_until(lambda: not reports_ready(first))
        testbed.kill()
        wait_until(lambda: reports_ready(first))
        assert (
            send_request(testbed.client_address, "POST", "/api", b"", request_headers(f"after-{early}"))[0]
            == 200
        )
    repeat_admin_command(first, "quiesce")
    repeat_admin_command(first, "resume")
    assert reports_ready(first)


def test_workers_stay_cordoned_after_a_predecessor_is_killed_without_a_handover(
    testbed: DispatcherTestbed,
) -> None:
    worker = testbed.add_worker("s-1")
    first = testbed.start_on_shared_socket()
    wait_until(lambda: reports_ready(first))
    assert send_admin_command(first, "cordon s-1").startswith("SUCCESS")
    testbed.kill()
    second = testbed.start_on_shared_socket()
    wait_until(lambda: reports_ready(second))
    assert (
        send_request(testbed.client_address, "POST", "/api", b"", request_headers("a") | {"X-Budget": "0.3"})[
            0
        ]
        == 503
    )
    assert not worker.jobs
    assert send_admin_command(second, "uncordon s-1").startswith("SUCCESS")
    assert send_request(testbed.client_address, "POST", "/api", b"", request_headers("b"))[0] == 200
