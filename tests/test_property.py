"""Arbitrary legal event sequences, judged by the independent checker; and the checker itself."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings as effort
from hypothesis import strategies as st

from grebestack.core import api
from grebestack.core.policy import Policy
from tests.policy_driver import BASE, BOOK, ORDER, VIEW, RuleChecker, entry, settings

STEPS = st.lists(st.tuples(st.integers(0, 11), st.integers(0, 10**6), st.integers(0, 10**6)), max_size=150)
OUTCOMES = list(api.Outcome)
STATES = list(api.WorkerState)


class World:
    """Turns numbers into legal events, as the settings allow, and has every step judged."""

    def __init__(self, configured: api.Settings, workers: int) -> None:
        self.policy, self.checker = Policy(configured, 3), RuleChecker(configured)
        self.now, self.last = 0.0, 0
        self.timers: list[tuple[float, int]] = []
        self.open: list[tuple[int, int, str]] = []
        self.places = {f"w{n}": (n % 2, n % 5) for n in range(workers)}
        self.feed(api.WorkersListed(api.ListKind.CACHED, tuple(self.line(name) for name in self.places)))

    def line(self, name: str, pick: int = 0) -> api.WorkerEntry:
        zone, cell = self.places[name]
        started = self.now if pick % 7 == 6 else None
        return entry(name, zone=zone, cell=cell, state=STATES[pick % 3], started_ms=started)

    def feed(self, event: api.Event) -> None:
        self.checker.event(self.now, event)
        for action in self.policy.handle(self.now, event):
            if isinstance(action, api.SetTimer):
                self.timers.append((action.at_ms, action.token))
                continue
            if isinstance(action, api.Send):
                number = len(self.checker.sent[action.request])
                self.open.append((action.request, number, action.worker))
            self.checker.action(self.now, action)

    def finish(self, at: tuple[int, int, str], outcome: api.Outcome) -> None:
        self.open.remove(at)
        request, attempt, worker = at
        closed = outcome is api.Outcome.OK or request in self.checker.answered
        self.feed(api.AttemptEnded(request, attempt, worker, outcome, 1.0, closed))

    def step(self, what: int, a: int, b: int) -> None:
        names = sorted(self.places)
        if what <= 3:
            for _ in range(1 + (a % 40 if b % 50 == 0 else 0)):
                self.last += 1
                deadline = self.now + (a % 6000) - 50
                self.feed(api.RequestArrived(self.last, a % 3, deadline, slots=1 + b % 4, memory=b % 3))
        elif what <= 6 and self.open:
            at = self.open[a % len(self.open)]
            if what == 4 and at[0] not in self.checker.answered:
                self.feed(api.AttemptStarted(*at))
            else:
                self.finish(at, OUTCOMES[b % len(OUTCOMES)])
        elif what == 7 and self.last:
            request = 1 + a % self.last
            if request not in self.checker.answered:
                self.feed(api.RequestDropped(request))
        elif what == 8 and names:
            kind = [api.ListKind.FULL, api.ListKind.CHANGES, api.ListKind.CHANGES, api.ListKind.FAILED][a % 4]
            some = names if kind is api.ListKind.FULL and b % 3 else [names[b % len(names)]] * (1 + b % 2)
            lines = () if kind is api.ListKind.FAILED else tuple(self.line(n, b) for n in some)
            self.feed(api.WorkersListed(kind, lines))
        else:
            self.wait(a % (3000 if what == 11 else 60))

    def wait(self, ms: float) -> None:
        until = self.now + ms
        while due := sorted(t for t in self.timers if t[0] <= until):
            self.now = max(self.now, due[0][0])
            self.timers.remove(due[0])
            self.feed(api.TimerFired(due[0][1]))
        self.now = until


@effort(derandomize=True, deadline=None, max_examples=250)
@given(
    STEPS,
    st.sampled_from([0, 1, 2, 7]),
    st.sampled_from([1, 250]),
    st.booleans(),
    st.booleans(),
    st.booleans(),
    st.sampled_from(list(api.Group)),
)
def test_no_legal_sequence_breaks_a_rule(
    steps: list[tuple[int, int, int]],
    workers: int,
    dispatcher_count: int,
    copies: bool,
    cancel: bool,
    notes: bool,
    group: api.Group,
) -> None:
    classes = (
        BASE.classes[0],
        api.JobClass("book", 300, 5000, api.Effect.IDEMPOTENT_WITH_KEY, group=group, retry_window_ms=900),
        BASE.classes[2],
    )
    world = World(
        settings(
            classes=classes,
            hedging_enabled=copies,
            cancel=cancel,
            reports_attempt_start=notes,
            dispatcher_count=dispatcher_count,
            slow_start_initial_share=0.3,
            slow_start_ms=4000.0,
        ),
        workers,
    )
    for step in steps:
        world.step(*step)
    world.wait(7000)
    for at in list(world.open):
        world.finish(at, api.Outcome.TIMEOUT)
    world.checker.finish(world.now)
    assert world.checker.violations == []
    assert world.policy.requests == {}, "ledgers are let go"


def judged(*steps: tuple[float, object]) -> list[str]:
    checker = RuleChecker(BASE)
    for now, step in steps:
        if isinstance(step, api.Send | api.Reject | api.Fail):
            checker.action(now, step)
        else:
            checker.event(now, step)  # type: ignore[arg-type]
    checker.finish(10**6)
    return checker.violations


LIST = api.WorkersListed(api.ListKind.FULL, (entry("a"), entry("b", zone=1)))


def asked(job_class: int) -> api.RequestArrived:
    return api.RequestArrived(1, job_class, 5000.0)


def test_the_checker_catches_broken_sequences() -> None:
    ok = api.AttemptEnded(1, 0, "a", api.Outcome.OK, 1.0, True)
    lost = api.AttemptEnded(1, 0, "a", api.Outcome.RESET, 1.0, False)
    gone = api.WorkersListed(api.ListKind.CHANGES, (entry("a", state=api.WorkerState.DRAINING),))
    send_a, send_b = api.Send(1, "a"), api.Send(1, "b")
    assert judged((0, LIST), (0, asked(VIEW)), (1, send_a), (2, ok)) == []
    assert judged((0, LIST), (0, asked(VIEW))) == ["lost 1"]
    assert judged((0, LIST), (0, asked(VIEW)), (1, api.Fail(1)), (2, api.Fail(1))) == ["two answers to 1"]
    assert judged((0, LIST), (0, asked(VIEW)), (9000, api.Fail(1))) == ["late answer to 1"]
    assert judged((0, LIST), (0, asked(VIEW)), (1, api.Fail(1)), (2, send_a)) == ["sent 1 after its end"]
    assert judged((0, LIST), (0, asked(ORDER)), (1, send_a), (2, lost), (3, api.Reject(1))) == [
        "refused 1, which may have run"
    ]
    assert judged((0, LIST), (0, asked(ORDER)), (1, send_a), (2, lost), (3, send_a), (4, api.Fail(1))) == [
        "sent unsafe 1 twice"
    ]
    assert judged((0, LIST), (0, asked(BOOK)), (1, send_a), (2, lost), (3, send_b), (4, api.Fail(1))) == [
        "sent keyed 1 outside its group"
    ]
    assert judged(
        (0, LIST), (0, asked(BOOK)), (1, send_a), (2, lost), (4000, send_a), (4001, api.Fail(1))
    ) == ["sent keyed 1 after its window"]
    assert judged((0, LIST), (0, asked(VIEW)), (0, gone), (251, send_a), (252, api.Fail(1))) == [
        "sent 1 to drained a"
    ]
