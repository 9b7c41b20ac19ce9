"""Requests that one process hands over and another adopts, both in one event loop."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from grebestack.core import api
from grebestack.hot_restart.messages import Message
from grebestack.program.hot_restart_adoption import Adoption
from grebestack.program.hot_restart_wire import in_flight_request_to_wire, queued_request_to_wire
from grebestack.routing.requests import Request
from grebestack.routing.worker_table import WorkerEndpoint
from tests.loop_dispatcher import Client, InProcessDispatcher, run_with_dispatcher

CELLS = (0, 0, 1)  # of the workers
ACCEPTED = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"


class Successor:
    """A dispatcher that adopts what another one, in the same loop, hands over."""

    def __init__(self, dispatcher: InProcessDispatcher) -> None:
        self.dispatcher = dispatcher
        self.adopted: list[str] = []
        restartable: Any = SimpleNamespace(
            loop=dispatcher.loop,
            clock=dispatcher.engine.clock,
            table=dispatcher.table,
            platform_api=dispatcher.api,
            acceptor=dispatcher.acceptor,
        )
        self.adoption = Adoption(restartable, self.adopted.append, lambda key: None)

    async def adopt(self, request: Request, message: Message) -> None:
        """Adopt a request of the other dispatcher, which keeps nothing of it."""
        listener: Any = request.listener
        listener.connection.handler_data = None
        self.adoption.adopt(listener.connection.detach(), message)


def limit_to_cells(dispatcher: InProcessDispatcher) -> None:
    """Let a key be recognised within a cell only, and put the workers into their cells."""
    former = dispatcher.engine.settings
    classes = tuple(replace(c, group=api.Group.CELL) for c in former.classes)
    dispatcher.engine.update_settings(replace(former, classes=classes))
    dispatcher.api.update_settings(dispatcher.engine.settings)
    list_workers(dispatcher, [api.WorkerState.READY] * len(CELLS))


def list_workers(dispatcher: InProcessDispatcher, states: list[api.WorkerState]) -> None:
    """Apply a list with a state for each worker."""
    entries = [
        WorkerEndpoint(api.WorkerEntry(f"s{n}", cell=cell, state=state), peer.address)
        for n, (cell, state, peer) in enumerate(zip(CELLS, states, dispatcher.peers, strict=True))
    ]
    dispatcher.table.update(api.ListKind.FULL, entries)


async def job_at(dispatcher: InProcessDispatcher, attempts: int) -> Request:
    """Wait until the only request is open, has so many attempts, and until the last one is accepted."""
    await dispatcher.wait_until(lambda: len(dispatcher.engine.open_requests()) == 1)
    await dispatcher.wait_until(lambda: len(dispatcher.engine.open_requests()[0].attempts) == attempts)
    (request,) = dispatcher.engine.open_requests()
    peer = dispatcher.peers[int(request.attempts[-1].worker[1:])]
    await dispatcher.wait_until(lambda: any(data.endswith(b"body") for data in peer.complete_requests()))
    peer.send(0, ACCEPTED)
    await dispatcher.wait_until(lambda: dispatcher.engine.can_hand_over(request))
    return request


def hand_over(dispatcher: InProcessDispatcher, request: Request) -> Message:
    """Release a running request, as the predecessor does; the message that hands it over."""
    attempt = dispatcher.engine.hand_over(request)
    assert attempt is not None
    listener: Any = request.listener
    in_flight = dispatcher.workers.hand_over(attempt)
    return in_flight_request_to_wire(request, listener.http_request, in_flight, "1.0")


def in_two_processes(test: Any) -> None:
    """Run a test with a dispatcher and its successor; both know the same workers."""

    async def run(predecessor: InProcessDispatcher) -> None:
        successor = InProcessDispatcher(predecessor.loop, predecessor.engine.settings, 0)
        for peer in predecessor.peers:
            successor.peers.append(peer)
        await successor.listen()
        try:
            for dispatcher in (predecessor, successor):
                limit_to_cells(dispatcher)
            await test(predecessor, Successor(successor), predecessor.client())
        finally:
            successor.server.close()

    run_with_dispatcher(run, worker_count=len(CELLS))


@pytest.mark.parametrize("outcome", ["failed", "lost"])
def test_a_waiting_job_that_may_have_run_is_handed_over_and_not_refused(outcome: str) -> None:
    # Guards against a successor that takes a job that waits for one that never ran.
    async def test(predecessor: InProcessDispatcher, successor: Successor, client: Client) -> None:
        client.send_job("a", "book", "X-Budget: 1.0\r\n")
        request = await job_at(predecessor, 1)
        cell = CELLS[int(request.attempts[0].worker[1:])]
        draining = [api.WorkerState.DRAINING if c == cell else api.WorkerState.READY for c in CELLS]
        for dispatcher in (predecessor, successor.dispatcher):
            list_workers(dispatcher, draining)
        predecessor.call_back("a", request.attempts[0].worker, outcome)
        assert predecessor.engine.is_waiting(request)
        listener: Any = request.listener
        message = queued_request_to_wire(request, listener.http_request)
        assert predecessor.engine.withdraw_waiting(request)
        await successor.adopt(request, message)
        assert successor.adopted == ["a"]
        await successor.dispatcher.wait_until(lambda: client.status)
        assert client.status == 502
        outside = [peer for peer, c in zip(predecessor.peers, CELLS, strict=True) if c != cell]
        assert not any(peer.complete_requests() for peer in outside), "it was sent to another cell"

    in_two_processes(test)


def test_a_result_before_the_adopted_connection_is_open_is_answered_on_it() -> None:
    # Guards against a response that is lost because the connection is not open in this process yet.
    async def test(predecessor: InProcessDispatcher, successor: Successor, client: Client) -> None:
        client.send_job("a", "order")
        request = await job_at(predecessor, 1)
        worker, message = request.attempts[0].worker, hand_over(predecessor, request)
        await successor.adopt(request, message)
        successor.dispatcher.call_back("a", worker, result="it")
        await successor.dispatcher.wait_until(lambda: client.status)
        assert client.received.endswith(b"\r\n\r\nit") and client.status == 200
        client.send_job("b", "order")
        await successor.dispatcher.wait_until(lambda: successor.dispatcher.engine.open_requests())

    in_two_processes(test)


@pytest.mark.parametrize(("state", "status"), [("done", 200), ("returned", 502), ("failed", 502)])
def test_a_running_job_of_a_former_version_is_awaited_and_not_sent_again(state: str, status: int) -> None:
    # Guards against taking a job of which only the id and the runner are told for one that never ran.
    async def test(predecessor: InProcessDispatcher, successor: Successor, client: Client) -> None:
        client.send_job("a", "book")
        request = await job_at(predecessor, 1)
        worker, sent = request.attempts[0].worker, hand_over(predecessor, request)
        message = {key: sent[key] for key in ("deadline_ms", "is", "server", "id")}
        await successor.adopt(request, message)
        await asyncio.sleep(0.05)
        assert successor.dispatcher.engine.open_by_call_id.keys() == {"a"}
        successor.dispatcher.call_back("a", worker, state, result="it")
        await successor.dispatcher.wait_until(lambda: client.status)
        assert client.status == status
        assert sum(len(peer.complete_requests()) for peer in predecessor.peers) == 1

    in_two_processes(test)


def test_a_job_adopted_during_a_stop_is_answered_before_the_kill_and_keeps_its_deadline() -> None:
    # Guards against a successor of the successor that gets the shorter deadline of a stop in between.
    async def test(predecessor: InProcessDispatcher, successor: Successor, client: Client) -> None:
        client.send_job("a", "order")
        request = await job_at(predecessor, 1)
        deadline_ms, message = request.arrival.deadline_ms, hand_over(predecessor, request)
        now_ms = successor.dispatcher.engine.clock.now_ms()
        successor.dispatcher.api.answer_before_kill(now_ms + 400.0, now_ms + 200.0)
        await successor.adopt(request, message)
        (adopted,) = successor.dispatcher.engine.open_requests()
        assert adopted.arrival.deadline_ms == deadline_ms
        await successor.dispatcher.wait_until(lambda: client.status)
        assert client.status == 502 and successor.dispatcher.engine.clock.now_ms() < deadline_ms

    in_two_processes(test)
