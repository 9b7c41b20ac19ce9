"""A model-based test of the engine, with simulated workers, clients and time."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import replace

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from grebestack.core import api
from grebestack.core.api import Outcome
from grebestack.routing.engine import Engine
from grebestack.routing.requests import Attempt, AttemptStage, Payload, Request
from grebestack.routing.worker_table import WorkerEndpoint, WorkerTable
from tests.policy_driver import BASE, BOOK, ORDER, VIEW, entry

SETTINGS = replace(BASE, reports_attempt_start=False, retry_after=True, max_retry_after_ms=500.0)


class Timer:
    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        self.call = None


class Clock:
    """Simulated time, which advances only when a test says so."""

    def __init__(self) -> None:
        self.now, self.count = 1000.0, 0
        self.timers: list[tuple[float, int, Timer]] = []

    def now_ms(self) -> float:
        return self.now

    def call_at(self, at_ms: float, call: Callable[[], None]) -> Timer:
        self.count += 1
        timer = Timer(call)
        heapq.heappush(self.timers, (at_ms, self.count, timer))
        return timer

    def advance(self, ms: float) -> None:
        until = self.now + ms
        while self.timers and self.timers[0][0] <= until:
            at, _, timer = heapq.heappop(self.timers)
            self.now = max(self.now, at)
            if timer.call is not None:
                timer.call()
        self.now = until


class Client:
    """The listener of one request; records the answers."""

    def __init__(self, model: Model) -> None:
        self.model, self.answers, self.disconnected = model, list[str](), False

    def is_client_gone(self) -> bool:
        return False

    def before_send(self, attempt: Attempt) -> bool:
        return True

    def on_attempt_ended(self, attempt: Attempt) -> None:
        assert attempt.outcome is not None

    def on_served(self, request: Request, result: bytes) -> None:
        self.answers.append("served")

    def on_rejected(self, request: Request, retry_after_ms: float | None) -> None:
        assert retry_after_ms is not None and 0 < retry_after_ms <= 500.0
        written = [a for a in request.attempts if a.stage is not AttemptStage.UNSENT]
        assert request.arrival.job_class != ORDER or all(a.outcome and a.outcome.never_ran for a in written)
        self.answers.append("denied")

    def on_failed(self, request: Request) -> None:
        self.answers.append("failed")

    def on_cancelled(self, request: Request) -> None:
        assert request.cancel_requested
        self.answers.append("cancelled")


class Model(RuleBasedStateMachine):
    """Each request gets one answer by its deadline, and no attempt is sent to a draining worker.

    A request that is not idempotent is never sent to a second worker once it may have been executed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock, self.table = Clock(), WorkerTable()
        self.engine = Engine(SETTINGS, 7, self.clock, self.table)
        self.engine.workers = self
        self.requests: list[tuple[Request, Client]] = []
        self.unsent: list[Attempt] = []
        self.running: list[Attempt] = []
        self.cancel_requests: list[Attempt] = []
        self.states = {f"w{n}": api.WorkerState.READY for n in range(3)}
        self.update_table(api.ListKind.FULL)

    # The engine's workers.

    def send_attempt(self, attempt: Attempt) -> None:
        assert not attempt.request.closed
        self.unsent.append(attempt)

    def adopt_attempt(self, attempt: Attempt, address: tuple[str, int]) -> None:
        raise NotImplementedError("nothing is handed over here")

    def abandon_attempt(self, attempt: Attempt) -> None:
        for attempts in (self.unsent, self.running):
            if attempt in attempts:
                attempts.remove(attempt)

    def cancel_attempt(self, attempt: Attempt) -> None:
        self.cancel_requests.append(attempt)

    def probe(self, worker: str) -> None:
        raise AssertionError("probes are not allowed here")

    # Steps.

    def update_table(self, kind: api.ListKind) -> None:
        endpoints = [WorkerEndpoint(entry(n, state=s), ("127.0.0.1", 1)) for n, s in self.states.items()]
        self.table.update(kind, endpoints)

    @rule(job_class=st.sampled_from([VIEW, BOOK, ORDER]), budget=st.integers(-5, 3000))
    def open(self, job_class: int, budget: int) -> None:
        client = Client(self)
        name = f"c{len(self.requests)}"
        request = self.engine.open_request(
            client, name, Payload(b"", b""), job_class, self.clock.now + budget
        )
        assert request is not None
        assert (
            request.closed
            or self.engine.open_request(client, name, Payload(b"", b""), job_class, 9e9) is None
        )
        self.requests.append((request, client))

    @precondition(lambda self: self.unsent)
    @rule(pick=st.integers(0, 99), established=st.booleans())
    def connected(self, pick: int, established: bool) -> None:
        attempt = self.unsent.pop(pick % len(self.unsent))
        if not established or not self.engine.confirm_send(attempt):
            self.engine.finish_attempt(attempt, Outcome.CONNECT_FAILED)
            return
        request = attempt.request
        assert self.states[attempt.worker] is api.WorkerState.READY and not request.closed
        if request.arrival.job_class == ORDER:
            written = [a for a in request.attempts if a.stage is not AttemptStage.UNSENT]
            assert all(a.outcome and a.outcome.never_ran for a in written), "an order was sent twice"
        attempt.stage = AttemptStage.WRITTEN
        self.running.append(attempt)

    @precondition(lambda self: self.running)
    @rule(
        pick=st.integers(0, 99),
        outcome=st.sampled_from([Outcome.OK, Outcome.ERROR, Outcome.REJECTED, Outcome.RESET]),
    )
    def end(self, pick: int, outcome: Outcome) -> None:
        attempt = self.running.pop(pick % len(self.running))
        self.engine.finish_attempt(attempt, outcome, result=b"r")
        self.engine.finish_attempt(attempt, Outcome.OK, result=b"repeated")

    @precondition(lambda self: self.cancel_requests)
    @rule()
    def worker_confirms_cancel(self) -> None:
        attempt = self.cancel_requests.pop()
        if attempt in self.running:
            self.running.remove(attempt)
        self.engine.on_attempt_cancelled(attempt)

    @precondition(lambda self: self.requests)
    @rule(pick=st.integers(0, 99), cancels=st.booleans())
    def client_disconnects_or_cancels(self, pick: int, cancels: bool) -> None:
        request, client = self.requests[pick % len(self.requests)]
        if cancels:
            self.engine.cancel_request(request)
            return
        client.disconnected = client.disconnected or not client.answers
        self.engine.on_client_disconnected(request)

    @rule(name=st.sampled_from(["w0", "w1", "w2"]), state=st.sampled_from(list(api.WorkerState)))
    def worker_state_changes(self, name: str, state: api.WorkerState) -> None:
        self.states[name] = state
        self.update_table(api.ListKind.CHANGES)

    @rule(ms=st.integers(1, 900))
    def time_advances(self, ms: int) -> None:
        self.clock.advance(float(ms))

    @invariant()
    def one_answer_by_the_deadline(self) -> None:
        self.clock.advance(0.0)
        for request, client in self.requests:
            answered = len(client.answers) + client.disconnected
            assert answered <= 1
            assert answered == 1 or self.clock.now < request.arrival.deadline_ms
            assert request.closed == bool(answered)

    def teardown(self) -> None:
        """Nothing remains of requests that have ended."""
        self.clock.advance(10_000.0)
        self.one_answer_by_the_deadline()
        assert not self.engine.open_by_call_id and not self.engine.requests


TestEngine = Model.TestCase


class BusyLoopClock(Clock):
    """Simulates an event loop whose turns take 20 ms: an immediate call runs after the timers due by then."""

    def call_at(self, at_ms: float, call: Callable[[], None]) -> Timer:
        return super().call_at(self.now + 20.0 if at_ms < self.now + 0.5 else at_ms, call)


def test_the_decision_module_answers_before_the_deadline_after_a_long_loop_turn() -> None:
    # Guards against a request that fails at its deadline although the decision module rejects it in time.
    clock, table = BusyLoopClock(), WorkerTable()
    engine = Engine(SETTINGS, 1, clock, table)
    client = Client(Model())
    engine.open_request(client, "c", Payload(b"", b""), BOOK, clock.now + SETTINGS.tick_ms + 0.4)
    clock.advance(100.0)
    assert client.answers == ["denied"]
