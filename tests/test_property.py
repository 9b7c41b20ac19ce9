"""Arbitrary legal sequences of events, checked independently of the policy; and tests of the checker."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from grebestack.core import api
from grebestack.core.policy import Policy
from tests.policy_driver import BASE, BOOK, ORDER, VIEW, RuleChecker, entry, settings

STEPS = st.lists(st.tuples(st.integers(0, 11), st.integers(0, 10**6), st.integers(0, 10**6)), max_size=150)
OUTCOMES = list(api.Outcome)
STATES = list(api.WorkerState)


class CheckedPolicy:
    """Drives a policy with events that are derived from numbers and legal, and checks its actions."""

    def __init__(self, configured: api.Settings, workers: int) -> None:
        self.policy, self.checker = Policy(configured, 3), RuleChecker(configured)
        self.now_ms, self.last_request = 0.0, 0
        self.timers: list[tuple[float, int]] = []
        self.open_attempts: list[tuple[int, int, str]] = []  # request, attempt and worker
        self.places = {f"w{n}": (n % 2, n % 5) for n in range(workers)}  # zone and cell
        self.feed(
            api.WorkersListed(api.ListKind.CACHED, tuple(self.list_entry(name) for name in self.places))
        )

    def list_entry(self, name: str, number: int = 0) -> api.WorkerEntry:
        zone, cell = self.places[name]
        started_ms = self.now_ms if number % 7 == 6 else None
        return entry(name, zone=zone, cell=cell, state=STATES[number % 3], started_ms=started_ms)

    def feed(self, event: api.Event) -> None:
        self.checker.on_event(self.now_ms, event)
        for action in self.policy.handle(self.now_ms, event):
            if isinstance(action, api.SetTimer):
                self.timers.append((action.at_ms, action.token))
                continue
            if isinstance(action, api.Send):
                number = len(self.checker.sent[action.request])
                self.open_attempts.append((action.request, number, action.worker))
            self.checker.on_action(self.now_ms, action)

    def end(self, open_attempt: tuple[int, int, str], outcome: api.Outcome) -> None:
        self.open_attempts.remove(open_attempt)
        request, attempt, worker = open_attempt
        closed = outcome is api.Outcome.OK or request in self.checker.answered
        self.feed(api.AttemptEnded(request, attempt, worker, outcome, 1.0, closed))

    def step(self, kind: int, a: int, b: int) -> None:
        names = sorted(self.places)
        if kind <= 3:
            for _ in range(1 + (a % 40 if b % 50 == 0 else 0)):
                self.last_request += 1
                deadline_ms = self.now_ms + (a % 6000) - 50
                self.feed(
                    api.RequestArrived(self.last_request, a % 3, deadline_ms, slots=1 + b % 4, memory=b % 3)
                )
        elif kind <= 6 and self.open_attempts:
            open_attempt = self.open_attempts[a % len(self.open_attempts)]
            if kind == 4 and open_attempt[0] not in self.checker.answered:
                self.feed(api.AttemptStarted(*open_attempt))
            else:
                self.end(open_attempt, OUTCOMES[b % len(OUTCOMES)])
        elif kind == 7 and self.last_request:
            request = 1 + a % self.last_request
            if request not in self.checker.answered:
                self.feed(api.RequestDropped(request))
        elif kind == 8 and names:
            list_kind = [
                api.ListKind.FULL,
                api.ListKind.CHANGES,
                api.ListKind.CHANGES,
                api.ListKind.FAILED,
            ][a % 4]
            listed = (
                names if list_kind is api.ListKind.FULL and b % 3 else [names[b % len(names)]] * (1 + b % 2)
            )
            entries = () if list_kind is api.ListKind.FAILED else tuple(self.list_entry(n, b) for n in listed)
            self.feed(api.WorkersListed(list_kind, entries))
        else:
            self.advance(a % (3000 if kind == 11 else 60))

    def advance(self, ms: float) -> None:
        until_ms = self.now_ms + ms
        while due := sorted(t for t in self.timers if t[0] <= until_ms):
            self.now_ms = max(self.now_ms, due[0][0])
            self.timers.remove(due[0])
            self.feed(api.TimerFired(due[0][1]))
        self.now_ms = until_ms


@hypothesis_settings(derandomize=True, deadline=None, max_examples=250)
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
    hedging_enabled: bool,
    cancel: bool,
    reports_attempt_start: bool,
    group: api.Group,
) -> None:
    classes = (
        BASE.classes[0],
        api.JobClass("book", 300, 5000, api.Effect.IDEMPOTENT_WITH_KEY, group=group, retry_window_ms=900),
        BASE.classes[2],
    )
    checked = CheckedPolicy(
        settings(
            classes=classes,
            hedging_enabled=hedging_enabled,
            cancel=cancel,
            reports_attempt_start=reports_attempt_start,
            dispatcher_count=dispatcher_count,
            slow_start_initial_share=0.3,
            slow_start_ms=4000.0,
        ),
        workers,
    )
    for step in steps:
        checked.step(*step)
    checked.advance(7000)
    for open_attempt in list(checked.open_attempts):
        checked.end(open_attempt, api.Outcome.TIMEOUT)
    checked.checker.check_answers(checked.now_ms)
    assert checked.checker.violations == []
    assert checked.policy.requests == {}, "ended requests are removed"


def violations(*steps: tuple[float, object]) -> list[str]:
    checker = RuleChecker(BASE)
    for now_ms, step in steps:
        if isinstance(step, api.Send | api.Reject | api.Fail):
            checker.on_action(now_ms, step)
        else:
            checker.on_event(now_ms, step)  # type: ignore[arg-type]
    checker.check_answers(10**6)
    return checker.violations


LIST = api.WorkersListed(api.ListKind.FULL, (entry("a"), entry("b", zone=1)))


def arrival(job_class: int) -> api.RequestArrived:
    return api.RequestArrived(1, job_class, 5000.0)


def test_the_checker_reports_each_violation() -> None:
    ok = api.AttemptEnded(1, 0, "a", api.Outcome.OK, 1.0, True)
    reset = api.AttemptEnded(1, 0, "a", api.Outcome.RESET, 1.0, False)
    draining = api.WorkersListed(api.ListKind.CHANGES, (entry("a", state=api.WorkerState.DRAINING),))
    send_a, send_b = api.Send(1, "a"), api.Send(1, "b")
    assert violations((0, LIST), (0, arrival(VIEW)), (1, send_a), (2, ok)) == []
    assert violations((0, LIST), (0, arrival(VIEW))) == ["no answer to 1"]
    assert violations((0, LIST), (0, arrival(VIEW)), (1, api.Fail(1)), (2, api.Fail(1))) == [
        "two answers to 1"
    ]
    assert violations((0, LIST), (0, arrival(VIEW)), (9000, api.Fail(1))) == ["late answer to 1"]
    assert violations((0, LIST), (0, arrival(VIEW)), (1, api.Fail(1)), (2, send_a)) == [
        "sent 1 after its answer"
    ]
    assert violations((0, LIST), (0, arrival(ORDER)), (1, send_a), (2, reset), (3, api.Reject(1))) == [
        "rejected 1, which may have run"
    ]
    assert violations(
        (0, LIST), (0, arrival(ORDER)), (1, send_a), (2, reset), (3, send_a), (4, api.Fail(1))
    ) == ["sent non-idempotent 1 twice"]
    assert violations(
        (0, LIST), (0, arrival(BOOK)), (1, send_a), (2, reset), (3, send_b), (4, api.Fail(1))
    ) == ["sent 1 outside the group of its key"]
    assert violations(
        (0, LIST), (0, arrival(BOOK)), (1, send_a), (2, reset), (4000, send_a), (4001, api.Fail(1))
    ) == ["sent 1 after its retry window"]
    assert violations((0, LIST), (0, arrival(VIEW)), (0, draining), (251, send_a), (252, api.Fail(1))) == [
        "sent 1 to drained a"
    ]
