"""A successor that reads slowly or not at all: what it was not written stays its predecessor's to answer."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from grebestack.hot_restart.framing import MAX_PACKET_PAYLOAD_BYTES, Unpacker
from grebestack.program.hot_restart import HotRestartRunner
from grebestack.routing.requests import AttemptStage
from tests.loop_dispatcher import Client, InProcessDispatcher, run_with_dispatcher
from tests.standins import SETTINGS, DispatcherTestbed, reports_ready, send_request, wait_until

BODY_BYTES = 60 * 1024
REQUESTS = 60  # their bodies take more than 8 MiB as JSON text
SUCCESSOR = 1


class Predecessor:
    """A hot restart of an in-process dispatcher, whose successor is the other end of a socket."""

    def __init__(self, dispatcher: InProcessDispatcher, folder: Path) -> None:
        self.dispatcher = dispatcher
        own_end, self.successor_end = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.successor_end.setblocking(False)
        self.unpacker = Unpacker()
        lifecycle = SimpleNamespace(retired=False, quiesced=False)
        lifecycle.retire = lambda retired, now_ms: setattr(lifecycle, "retired", retired)

        async def accept_and_serve() -> None:
            """Do nothing: the listener stays open."""

        restartable: Any = SimpleNamespace(
            loop=dispatcher.loop,
            engine=dispatcher.engine,
            clock=dispatcher.engine.clock,
            table=dispatcher.table,
            http_workers=dispatcher.workers,
            platform_api=dispatcher.api,
            acceptor=dispatcher.acceptor,
            lifecycle=lifecycle,
            stop_listening=lambda: None,
            apply_lifecycle=lambda: None,
            accept_and_serve=accept_and_serve,
            limit_connections=lambda processes: None,
        )
        self.runner = HotRestartRunner(restartable, str(folder))
        assert self.runner.channels.add(own_end) == SUCCESSOR
        machine = self.runner.state_machine
        machine.started = machine.handed_over = True
        machine.peers.add(SUCCESSOR)
        machine.successor = SUCCESSOR

    def begin(self) -> None:
        """The successor is ready."""
        self.runner.handover.begin(SUCCESSOR)

    def read_message(self) -> tuple[dict[str, Any], list[int]]:
        """Read one message as the successor; BlockingIOError if none is complete."""
        message = None
        while message is None:
            packet, descriptors, _, _ = socket.recv_fds(self.successor_end, MAX_PACKET_PAYLOAD_BYTES + 1, 4)
            message = self.unpacker.feed(packet)
        return message, descriptors

    @property
    def open_count(self) -> int:
        return len(self.dispatcher.engine.open_by_call_id)


def run_with_predecessor(folder: Path, test: Callable[[Predecessor, list[Client]], Awaitable[None]]) -> None:
    """Run a test with requests that wait, since no worker takes any."""

    async def run(dispatcher: InProcessDispatcher) -> None:
        dispatcher.set_worker_states(["Terminating"])
        clients = [dispatcher.client() for _ in range(REQUESTS)]
        payload = random.Random(1).randbytes(BODY_BYTES)
        for number, client in enumerate(clients):
            client.send_job(f"job-{number}", "order", body=payload)
        await dispatcher.wait_until(lambda: len(dispatcher.engine.open_by_call_id) == REQUESTS)
        predecessor = Predecessor(dispatcher, folder)
        predecessor.begin()
        await dispatcher.run_loop()
        await test(predecessor, clients)

    run_with_dispatcher(run)


def test_requests_wait_here_while_the_successor_does_not_read(tmp_path: Path) -> None:
    # Guards against a channel that closes, with the connections of its waiting packets, because it is full.
    async def test(predecessor: Predecessor, clients: list[Client]) -> None:
        await asyncio.sleep(0.3)
        assert SUCCESSOR in predecessor.runner.channels and predecessor.open_count > REQUESTS / 2
        for client in clients:
            client.read_available()
        assert not any(client.close_reason for client in clients)
        received: list[str] = []

        def read_available() -> bool:
            try:
                while True:
                    message, descriptors = predecessor.read_message()
                    if message["is"] == "job":
                        received.append(dict(message["headers"])["x-call-id"])
                    for descriptor in descriptors:
                        os.write(descriptor, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                        os.close(descriptor)
            except BlockingIOError:
                return len(received) >= REQUESTS

        await predecessor.dispatcher.wait_until(read_available)
        assert sorted(received) == sorted(f"job-{n}" for n in range(REQUESTS))
        await predecessor.dispatcher.wait_until(lambda: all(client.status == 200 for client in clients))
        assert predecessor.open_count == 0

    run_with_predecessor(tmp_path, test)


def test_requests_that_a_dying_successor_was_not_written_are_answered_here(tmp_path: Path) -> None:
    # Guards against clients whose connections end without an answer with the channel to a dead process.
    async def test(predecessor: Predecessor, clients: list[Client]) -> None:
        dispatcher = predecessor.dispatcher
        waiting = predecessor.open_count
        predecessor.successor_end.close()
        await dispatcher.wait_until(lambda: SUCCESSOR not in predecessor.runner.channels)
        await dispatcher.wait_until(lambda: not predecessor.runner.adoption.tasks)
        written = REQUESTS - predecessor.open_count
        assert predecessor.open_count == waiting + 1  # that whose packets were not all written is back
        dispatcher.set_worker_states(["Ready"])
        (worker,) = dispatcher.peers

        def serve() -> bool:
            worker.read_available()
            for request in dispatcher.engine.open_requests():
                for attempt in request.open_attempts():
                    if attempt.stage is not AttemptStage.UNSENT:
                        dispatcher.call_back(request.call_id, attempt.worker, result="right")
            return predecessor.open_count == 0

        await dispatcher.wait_until(serve)
        await dispatcher.wait_until(
            lambda: sum(client.status == 200 for client in clients) == REQUESTS - written
        )

    run_with_predecessor(tmp_path, test)


def test_a_hot_restart_with_large_bodies_answers_every_client(
    testbed: DispatcherTestbed, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against connections that end without an answer because 8 MiB wait for the successor.
    monkeypatch.setitem(SETTINGS["services"][0], "aimMs", 10_000.0)
    worker = testbed.add_worker("s-1", seconds=60.0)
    admin = testbed.start_on_shared_socket()
    wait_until(lambda: reports_ready(admin))
    payload = random.Random(1).randbytes(BODY_BYTES)

    def post(call_id: str) -> Callable[[], tuple[int, dict[str, str], bytes]]:
        headers = {"X-Call-Id": call_id, "X-Call-Class": "order"}
        return testbed.in_background(
            lambda: send_request(testbed.client_address, "POST", "/api", payload, headers)
        )

    answers = [post(f"job-{number}") for number in range(REQUESTS)]
    wait_until(lambda: len(worker.jobs) > 0)
    second = testbed.start_on_shared_socket()
    wait_until(lambda: reports_ready(second))
    worker.job_seconds = 0.0
    for job in list(worker.jobs):
        worker.finish(job.headers["x-call-id"])
    testbed.processes[0].send_signal(signal.SIGTERM)
    statuses = [answer()[0] for answer in answers]
    assert testbed.processes[0].wait(20) == 0
    assert set(statuses) <= {200, 502, 503} and max(testbed.job_runs.counts.values()) == 1
