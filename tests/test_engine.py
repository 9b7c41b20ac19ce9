"""The engine between a model of its servers and one of its clients; time is the model's."""

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
    """Time that goes on when the model says."""

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
    """The frontend of one session; notes what it is told."""

    def __init__(self, model: Model) -> None:
        self.model, self.answers, self.left = model, list[str](), False

    def before_send(self, dispatch: Attempt) -> bool:
        return True

    def on_attempt_ended(self, dispatch: Attempt) -> None:
        assert dispatch.outcome is not None

    def on_served(self, session: Request, result: bytes) -> None:
        self.answers.append("served")

    def on_rejected(self, session: Request, retry_after_ms: float | None) -> None:
        assert retry_after_ms is not None and 0 < retry_after_ms <= 500.0
        ran = [d for d in session.attempts if d.stage is not AttemptStage.UNSENT]
        assert session.arrival.job_class != ORDER or all(d.outcome and d.outcome.never_ran for d in ran)
        self.answers.append("denied")

    def on_failed(self, session: Request) -> None:
        self.answers.append("failed")

    def on_cancelled(self, session: Request) -> None:
        assert session.cancel_requested
        self.answers.append("cancelled")


class Model(RuleBasedStateMachine):
    """Each session gets one answer by its deadline, and none goes to a server that drains.

    An order is written to no second server once it may have run.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock, self.table = Clock(), WorkerTable()
        self.engine = Engine(SETTINGS, 7, self.clock, self.table)
        self.engine.workers = self
        self.requests: list[tuple[Request, Client]] = []
        self.waiting: list[Attempt] = []
        self.out: list[Attempt] = []
        self.asked: list[Attempt] = []
        self.states = {f"w{n}": api.WorkerState.READY for n in range(3)}
        self.tell(api.ListKind.FULL)

    # The engine's servers.

    def send_attempt(self, dispatch: Attempt) -> None:
        assert not dispatch.request.closed
        self.waiting.append(dispatch)

    def abandon_attempt(self, dispatch: Attempt) -> None:
        for kept in (self.waiting, self.out):
            if dispatch in kept:
                kept.remove(dispatch)

    def cancel_attempt(self, dispatch: Attempt) -> None:
        self.asked.append(dispatch)

    def probe(self, server: str) -> None:
        raise AssertionError("probes are not allowed here")

    # Steps.

    def tell(self, kind: api.ListKind) -> None:
        lines = [WorkerEndpoint(entry(n, state=s), ("127.0.0.1", 1)) for n, s in self.states.items()]
        self.table.update(kind, lines)

    @rule(job_class=st.sampled_from([VIEW, BOOK, ORDER]), budget=st.integers(-5, 3000))
    def open(self, job_class: int, budget: int) -> None:
        client = Client(self)
        name = f"c{len(self.requests)}"
        session = self.engine.open_request(
            client, name, Payload(b"", b""), job_class, self.clock.now + budget
        )
        assert session is not None
        assert (
            session.closed
            or self.engine.open_request(client, name, Payload(b"", b""), job_class, 9e9) is None
        )
        self.requests.append((session, client))

    @precondition(lambda self: self.waiting)
    @rule(pick=st.integers(0, 99), up=st.booleans())
    def connected(self, pick: int, up: bool) -> None:
        dispatch = self.waiting.pop(pick % len(self.waiting))
        if not up or not self.engine.confirm_send(dispatch):
            self.engine.finish_attempt(dispatch, Outcome.CONNECT_FAILED)
            return
        session = dispatch.request
        assert self.states[dispatch.worker] is api.WorkerState.READY and not session.closed
        if session.arrival.job_class == ORDER:
            ran = [d for d in session.attempts if d.stage is not AttemptStage.UNSENT]
            assert all(d.outcome and d.outcome.never_ran for d in ran), "an order ran twice"
        dispatch.stage = AttemptStage.WRITTEN
        self.out.append(dispatch)

    @precondition(lambda self: self.out)
    @rule(
        pick=st.integers(0, 99),
        outcome=st.sampled_from([Outcome.OK, Outcome.ERROR, Outcome.REJECTED, Outcome.RESET]),
    )
    def end(self, pick: int, outcome: Outcome) -> None:
        dispatch = self.out.pop(pick % len(self.out))
        self.engine.finish_attempt(dispatch, outcome, result=b"r")
        self.engine.finish_attempt(dispatch, Outcome.OK, result=b"repeated")

    @precondition(lambda self: self.asked)
    @rule()
    def server_cancels(self) -> None:
        dispatch = self.asked.pop()
        if dispatch in self.out:
            self.out.remove(dispatch)
        self.engine.on_attempt_cancelled(dispatch)

    @precondition(lambda self: self.requests)
    @rule(pick=st.integers(0, 99), wish=st.booleans())
    def client_leaves_or_terminates(self, pick: int, wish: bool) -> None:
        session, client = self.requests[pick % len(self.requests)]
        if wish:
            self.engine.cancel_request(session)
            return
        client.left = client.left or not client.answers
        self.engine.on_client_disconnected(session)

    @rule(name=st.sampled_from(["w0", "w1", "w2"]), state=st.sampled_from(list(api.WorkerState)))
    def listed(self, name: str, state: api.WorkerState) -> None:
        self.states[name] = state
        self.tell(api.ListKind.CHANGES)

    @rule(ms=st.integers(1, 900))
    def time_goes_on(self, ms: int) -> None:
        self.clock.advance(float(ms))

    @invariant()
    def one_answer_by_the_deadline(self) -> None:
        self.clock.advance(0.0)
        for session, client in self.requests:
            answered = len(client.answers) + client.left
            assert answered <= 1
            assert answered == 1 or self.clock.now < session.arrival.deadline_ms
            assert session.closed == bool(answered)

    def teardown(self) -> None:
        """Nothing is kept of what is over."""
        self.clock.advance(10_000.0)
        self.one_answer_by_the_deadline()
        assert not self.engine.open_by_call_id and not self.engine.requests


TestEngine = Model.TestCase


class SlowTurns(Clock):
    """A loop on which what is due at once comes after a turn of 20 ms, behind the timers due by then."""

    def call_at(self, at_ms: float, call: Callable[[], None]) -> Timer:
        return super().call_at(self.now + 20.0 if at_ms < self.now + 0.5 else at_ms, call)


def test_a_long_turn_does_not_overtake_the_decision_module() -> None:
    # Guards against a session that is failed, though the module would have refused it in time.
    clock, table = SlowTurns(), WorkerTable()
    engine = Engine(SETTINGS, 1, clock, table)
    client = Client(Model())
    engine.open_request(client, "c", Payload(b"", b""), BOOK, clock.now + SETTINGS.tick_ms + 0.4)
    clock.advance(100.0)
    assert client.answers == ["denied"]
