"""A call-back names a job and its worker but no attempt: that of one attempt must not end a later one.

The model draws what workers, a lossy network and time do, in any order. Workers repeat each final call-back
until it is answered.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, replace
from typing import Any

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from grebestack.core import api
from grebestack.protocol.http_workers import AttemptExchange, HttpWorkers, LoadReportReader
from grebestack.routing.engine import Engine
from grebestack.routing.requests import Attempt, Payload, Request
from grebestack.routing.worker_table import WorkerEndpoint, WorkerTable
from grebestack.transport.client import Response
from tests.policy_driver import BASE, BOOK, ORDER, VIEW, entry
from tests.test_engine import Clock

# A worker that seems overloaded is tried again soon.
SETTINGS = replace(BASE, reports_attempt_start=False, max_attempts=6, connect_timeout_ms=1.0)
WORKERS = ("s0", "s1")
MAX_JOBS = 2
FINAL_STATES_UNBEGUN, FINAL_STATES_BEGUN = ("returned",), ("done", "failed", "lost")


class Pool:
    """The connections to one worker: exchanges wait in it until the model delivers or loses them."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address, self.waiting = address, list[Any]()

    def submit(self, exchange: Any) -> None:
        self.waiting.append(exchange)

    def withdraw(self, exchange: Any) -> bool:
        if exchange not in self.waiting:
            return False
        self.waiting.remove(exchange)
        return True

    def abort(self, exchange: Any) -> None:
        """Do nothing: a worker that has the whole request doesn't notice."""


class Pools:
    """A pool for each worker."""

    def __init__(self) -> None:
        self.by_address: dict[tuple[str, int], Pool] = {}

    def pool(self, address: tuple[str, int]) -> Pool:
        return self.by_address.setdefault(address, Pool(address))


class Client:
    """The listener of a request; records the answers."""

    def __init__(self) -> None:
        self.answers: list[str] = []

    def is_client_gone(self) -> bool:
        return False

    def before_send(self, attempt: Attempt) -> bool:
        return True

    def on_attempt_ended(self, attempt: Attempt) -> None:
        """Do nothing."""

    def on_served(self, request: Request, result: bytes) -> None:
        self.answers.append(f"served {result.decode()}")

    def on_rejected(self, request: Request, retry_after_ms: float | None) -> None:
        self.answers.append("rejected")

    def on_failed(self, request: Request) -> None:
        self.answers.append("failed")

    def on_cancelled(self, request: Request) -> None:
        self.answers.append("cancelled")


@dataclass(eq=False)
class WorkerJob:
    """What a worker has of one attempt."""

    attempt: Attempt
    begun: bool = False
    given_up: bool = False
    unanswered: str = ""  # the final state that it calls back until it is answered

    @property
    def is_idle(self) -> bool:
        """Whether the worker may still begin or end it."""
        return not self.unanswered and not self.given_up


class CallbackModel(RuleBasedStateMachine):
    """No call-back ends an attempt other than its own, and no order is begun twice."""

    def __init__(self) -> None:
        super().__init__()
        self.clock, self.pools, table = Clock(), Pools(), WorkerTable()
        self.engine = Engine(SETTINGS, 1, self.clock, table)
        self.engine.policy.estimates.run_ms[:] = [10.0] * 3
        pools: Any = self.pools
        self.workers = self.engine.workers = HttpWorkers(self.engine, pools, LoadReportReader({}))
        self.table = table
        self.jobs: list[WorkerJob] = []
        self.begun_orders: dict[str, int] = {}
        self.clients: list[Client] = []

    @initialize(worker_count=st.integers(1, len(WORKERS)))
    def list_workers(self, worker_count: int) -> None:
        workers = [WorkerEndpoint(entry(name), (name, 1)) for name in WORKERS[:worker_count]]
        self.table.update(api.ListKind.FULL, workers)

    # Clients and time.

    @rule(job_class=st.sampled_from([VIEW, BOOK, ORDER, ORDER]))
    @precondition(lambda self: len(self.clients) < MAX_JOBS)
    def post(self, job_class: int) -> None:
        client = Client()
        self.clients.append(client)
        call_id = f"job-{len(self.clients)}"
        payload = Payload(b"POST /api HTTP/1.1\r\n", b"")
        self.engine.open_request(client, call_id, payload, job_class, self.clock.now + 5000.0)

    @rule(ms=st.sampled_from([5.0, 30.0, 300.0]))
    def wait(self, ms: float) -> None:
        self.clock.advance(ms)

    @rule(data=st.data())
    @precondition(lambda self: self.open_attempts())
    def cancel(self, data: st.DataObject) -> None:
        attempt = data.draw(st.sampled_from(self.open_attempts()))
        if attempt.request.arrival.job_class != ORDER:
            self.engine._execute(api.Cancel(attempt.request.number, attempt.number))

    def open_attempts(self) -> list[Attempt]:
        return [a for request in self.engine.requests.values() for a in request.open_attempts()]

    # The network and workers.

    def waiting(self) -> list[tuple[Pool, Any]]:
        return [(pool, exchange) for pool in self.pools.by_address.values() for exchange in pool.waiting]

    @rule(data=st.data(), reply=st.sampled_from(["202", "202", "202", "503", "broken", "refused"]))
    @precondition(lambda self: self.waiting())
    def deliver(self, data: st.DataObject, reply: str) -> None:
        """Deliver a request or a cancellation to its worker, or lose it."""
        pool, exchange = data.draw(st.sampled_from(self.waiting()))
        pool.waiting.remove(exchange)
        if reply == "refused":
            exchange.on_not_sent()
        elif exchange.on_connection_ready() is not None:
            if isinstance(exchange, AttemptExchange):
                self.receive_job(exchange, reply)
            else:
                self.receive_cancellation(pool, exchange, reply)

    def receive_job(self, exchange: AttemptExchange, reply: str) -> None:
        exchange.on_last_byte()
        if reply == "503":
            exchange.on_response(Response(503, {b"x-rejected": b"1"}, b""))
            return
        self.jobs.append(WorkerJob(exchange.attempt))
        if reply == "202":
            exchange.on_response(Response(202, {}, b""))
        else:
            exchange.on_response_lost()

    def receive_cancellation(self, pool: Pool, exchange: Any, reply: str) -> None:
        call_id = exchange.data.split(b" ")[1].rpartition(b"/")[2].decode()
        for job in self.jobs:
            if (job.attempt.request.call_id, job.attempt.worker) == (call_id, pool.address[0]):
                job.given_up = True
        if reply == "broken":
            exchange.on_response_lost()
        else:
            exchange.on_response(Response(204 if reply == "202" else 500, {}, b""))

    @rule(data=st.data())
    @precondition(lambda self: any(job.is_idle and not job.begun for job in self.jobs))
    def begin(self, data: st.DataObject) -> None:
        """A worker begins a job that it has."""
        job = data.draw(st.sampled_from([job for job in self.jobs if job.is_idle and not job.begun]))
        job.begun, request = True, job.attempt.request
        if request.arrival.job_class == ORDER:
            self.begun_orders[request.call_id] = self.begun_orders.get(request.call_id, 0) + 1
            assert self.begun_orders[request.call_id] == 1, f"{request.call_id} was begun twice"

    @rule(data=st.data())
    @precondition(lambda self: any(job.is_idle for job in self.jobs))
    def end(self, data: st.DataObject) -> None:
        """A worker ends a job: it hands it back, or has run it."""
        job = data.draw(st.sampled_from([job for job in self.jobs if job.is_idle]))
        job.unanswered = data.draw(st.sampled_from(FINAL_STATES_BEGUN if job.begun else FINAL_STATES_UNBEGUN))
        self.call(job, data.draw(st.booleans()))

    @rule(data=st.data(), is_answer_lost=st.booleans())
    @precondition(lambda self: any(job.unanswered for job in self.jobs))
    def call_again(self, data: st.DataObject, is_answer_lost: bool) -> None:
        """A worker whose call-back was not answered repeats it."""
        self.call(data.draw(st.sampled_from([job for job in self.jobs if job.unanswered])), is_answer_lost)

    def call(self, job: WorkerJob, is_answer_lost: bool) -> None:
        attempt, state = job.attempt, job.unanswered
        others = [
            a
            for a in attempt.request.attempts
            if a.worker == attempt.worker and a is not attempt and a.outcome is None
        ]
        body = {"id": attempt.request.call_id, "from": attempt.worker, "state": state, "result": state}
        self.workers.on_callback(json.dumps(body).encode())
        assert all(a.outcome is None for a in others), f"{state} of attempt {attempt.number} ended another"
        if not is_answer_lost:
            job.unanswered, job.given_up = "", True

    def teardown(self) -> None:
        self.clock.advance(6000.0)
        assert all(len(client.answers) == 1 for client in self.clients)


def run_model(model: type[RuleBasedStateMachine]) -> None:
    chosen = hypothesis_settings(max_examples=300, stateful_step_count=40, derandomize=True, deadline=None)
    run_state_machine_as_test(model, settings=chosen)


def test_a_repeated_call_back_never_ends_a_later_attempt_at_the_same_worker() -> None:
    # Guards against an order that runs twice because the answer to its hand-back was lost.
    run_model(CallbackModel)


class ForgetfulModel(CallbackModel):
    """A dispatcher that forgets which workers may still report an attempt."""

    def __init__(self) -> None:
        super().__init__()
        finish_attempt = self.engine.finish_attempt

        def finish(*args: Any, later_report: object = None, **more: Any) -> None:
            finish_attempt(*args, **more)

        self.engine.finish_attempt = finish  # type: ignore[method-assign]


def test_the_call_back_model_finds_a_dispatcher_that_forgets_which_workers_may_report() -> None:
    with pytest.raises(AssertionError, match="ended another|was begun twice"):
        run_model(ForgetfulModel)
