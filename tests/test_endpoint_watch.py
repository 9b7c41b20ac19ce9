"""The endpoint watch: a change reaches the worker table within the time that the protocol allows."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from grebestack.endpoint_watch.state_machine import (
    Action,
    AddressChanged,
    CloseWatch,
    EndpointWatch,
    EventReceived,
    MalformedEvent,
    OpenWatch,
    SetTimer,
    Stage,
    StageChanged,
    Started,
    Stopped,
    TimerFired,
    WatchEnded,
)
from grebestack.endpoint_watch.timing import HEARTBEAT_TIMEOUT_MS, MAX_PUSH_RETRY_MS, WatchSettings
from tests.endpoint_watch_model import Fault, Simulation, simulate

PUSHED = WatchSettings(True, 250.0, 200)
POLLED = WatchSettings(False, 250.0, 40)
FAULTS = st.lists(
    st.tuples(
        st.floats(100.0, 9000.0),
        st.sampled_from(["change", "change", "outage", "silence", "refuse", "reset"]),
        st.floats(10.0, 6000.0),
    ),
    max_size=14,
)


class FormerWatch(EndpointWatch):
    """An earlier version: a silent watch was closed, and the next one opened after a delay."""

    def _retry_delay_ms(self, now_ms: float, failed_since_ms: float, min_delay_ms: float = 0.0) -> float:
        return min(3000.0, self.settings.poll_retry_ms * 2.0 ** min(self.failures, 2)) * (0.5 + self.draw())

    def _on_timer(self, now_ms: float) -> list[Action]:
        request = self.current or (self.pending[0] if self.pending else None)
        if request is not None and now_ms >= request.active_ms + HEARTBEAT_TIMEOUT_MS:
            return [CloseWatch(request.number), *self._on_watch_ended(now_ms, request.number)]
        return (
            self._open_watch(now_ms) if self.next_open_ms is not None and now_ms >= self.next_open_ms else []
        )


@settings(max_examples=150, deadline=None)
@given(FAULTS, st.booleans(), st.sampled_from([100.0, 250.0, 500.0, 1000.0]), st.integers(0, 9))
def test_a_pushed_list_is_in_the_worker_table_within_the_grace(
    faults: list[Fault],
    watches_continue: bool,
    grace_ms: float,
    seed: int,
) -> None:
    watch_settings = WatchSettings(True, grace_ms, 200)
    simulation = simulate(watch_settings, seed, faults, watches_continue, 22_000.0)
    assert not simulation.late_changes(22_000.0)
    assert len(simulation.opened) <= 22_000.0 / watch_settings.push_retry_ms + 10


@pytest.mark.parametrize(
    "faults",
    [
        [(3000.0, "outage", 8000.0)],  # the agent gets the drains at its return
        [(5000.0, "reset", 0.0), (5600.0, "change", 0.0)],  # watches are reset just before the drains
        [(4000.0, "refuse", 1500.0), (6000.0, "change", 0.0)],
        [
            (4000.0, "silence", 0.0),
            (4100.0, "change", 0.0),
            (6500.0, "silence", 0.0),
            (6600.0, "outage", 4000.0),
        ],
    ],
)
@pytest.mark.parametrize("watches_continue", [True, False])
def test_the_former_retry_delays_left_a_list_stale_for_too_long(
    faults: list[Fault], watches_continue: bool
) -> None:
    former = [
        simulate(WatchSettings(False, 250.0, 200), seed, faults, watches_continue, watch_class=FormerWatch)
        for seed in range(20)
    ]
    assert sum(bool(simulation.late_changes(40_000.0, PUSHED)) for simulation in former) >= 5
    for seed in range(20):
        assert not simulate(PUSHED, seed, faults, watches_continue).late_changes(40_000.0)


@settings(max_examples=300, deadline=None)
@given(FAULTS, st.booleans(), st.sampled_from([1, 3, 40, 200]), st.integers(0, 9))
def test_a_polled_list_is_in_time_after_any_sequence_of_failures(
    faults: list[Fault],
    watches_continue: bool,
    dispatcher_count: int,
    seed: int,
) -> None:
    """A change is due 6 s after the source had it and could be reached, whatever failed before."""
    simulation = simulate(
        WatchSettings(False, 250.0, dispatcher_count), seed, faults, watches_continue, 40_000.0
    )
    assert not simulation.late_changes(40_000.0)
    assert len(simulation.opened) <= 60


def test_a_request_lost_in_the_last_moment_of_an_outage_is_sent_again_in_time() -> None:
    """The former delay after an abandoned request was up to 4.5 s, so that a list was 7 s late."""
    for seed in range(60):
        faults = [(2000.0, "outage", 300.0 + 100.0 * seed)]
        assert not simulate(WatchSettings(False, 250.0, 200), seed, faults, False).late_changes(40_000.0), (
            seed
        )


def test_a_polled_list_is_in_the_worker_table_by_the_delivery_deadline() -> None:
    random_source = random.Random(7)
    for seed in range(300):
        at = random_source.uniform(100.0, 9000.0)
        what = random_source.choice(["reset", "silence"])
        faults = [(at, what, 0.0)] + [
            (at + random_source.uniform(0.0, 4000.0), "change", 0.0) for _ in range(3)
        ]
        simulation = simulate(POLLED, seed, faults, True)
        assert not simulation.late_changes(40_000.0), (seed, faults)
        assert len(simulation.opened) <= 4


def test_a_late_answer_of_an_outage_may_be_the_last_one_of_its_watch() -> None:
    # Guards against closing all other requests with a first line after which its watch brings nothing.
    for delay_ms in range(0, 2500, 100):
        faults = [(2000.0, "outage", 7000.0), (9000.0 + delay_ms, "change", 0.0)]
        simulation = simulate(PUSHED, 1, faults, False, answers_once=True)
        assert not simulation.late_changes(40_000.0), delay_ms


def test_a_late_answer_is_confirmed_by_one_request_even_if_all_are_answered_late() -> None:
    # Guards against a slow agent that is asked again and again.
    watch, now, opened = EndpointWatch(PUSHED, lambda: 0.5), 0.0, 0
    watch.handle(0.0, Started())
    for _ in range(20):
        now += PUSHED.push_retry_ms + 10.0
        number = watch.pending[0].number if watch.pending else watch.last_number
        actions = watch.handle(now, EventReceived(number))
        opened += sum(isinstance(action, OpenWatch) for action in actions)
    assert opened == 1 and watch.stage is Stage.OPEN and not watch.pending


def test_the_checker_finds_a_late_list() -> None:
    simulation = Simulation(PUSHED, 0, [])
    simulation.published, simulation.delivered = (
        [(0.0, 0), (1000.0, 1), (2000.0, 2)],
        [(2.0, 0), (1301.0, 1), (2299.0, 2)],
    )
    assert len(simulation.late_changes(9000.0)) == 1
    simulation.fell_silent = [900.0]
    assert not simulation.late_changes(9000.0)


def test_a_silent_watch_may_be_the_first_to_continue() -> None:
    watch = EndpointWatch(PUSHED, lambda: 0.5)
    watch.handle(0.0, Started())
    watch.handle(1.0, EventReceived(1))
    actions = watch.handle(1.0 + HEARTBEAT_TIMEOUT_MS, TimerFired())
    assert StageChanged(Stage.SILENT) in actions and OpenWatch(2) in actions and CloseWatch(1) not in actions
    assert CloseWatch(2) in watch.handle(2800.0, EventReceived(1)) and watch.stage is Stage.OPEN
    assert not watch.handle(2801.0, EventReceived(2))[:-1]  # later lines of a closed watch are ignored


def test_few_requests_are_pending_and_the_oldest_keeps_its_time() -> None:
    watch, open_numbers, opened = EndpointWatch(PUSHED, lambda: 0.5), set[int](), 0
    watch.handle(0.0, Started())
    open_numbers, now = {1}, 0.0
    while now < 2 * HEARTBEAT_TIMEOUT_MS - 100.0:
        now += 10.0
        for action in watch.handle(now, TimerFired()):
            if isinstance(action, OpenWatch):
                open_numbers.add(action.number)
                opened += 1
            elif isinstance(action, CloseWatch):
                open_numbers.discard(action.number)
                assert action.number != 1 or now >= HEARTBEAT_TIMEOUT_MS, (
                    "closed before a slow agent could respond"
                )
        assert len(open_numbers) <= 3
    assert opened >= 2 * HEARTBEAT_TIMEOUT_MS / MAX_PUSH_RETRY_MS


def test_a_malformed_list_is_requested_again_at_growing_intervals() -> None:
    watch, now, opened = EndpointWatch(PUSHED, lambda: 0.5), 0.0, [0.0]
    watch.handle(0.0, Started())
    while now < 20_000.0:
        actions = watch.handle(now, MalformedEvent(watch.last_number))
        while not any(isinstance(action, OpenWatch) for action in actions):
            now = max(a.at_ms for a in actions if isinstance(a, SetTimer))
            actions = watch.handle(now, TimerFired())
        opened.append(now)
        now += 1.0
    assert 8 <= len(opened) <= 16 and max(b - a for a, b in zip(opened, opened[1:], strict=False)) <= 2700.0


def test_a_watch_of_a_former_address_is_read_but_not_replaced() -> None:
    watch = EndpointWatch(PUSHED, lambda: 0.5)
    watch.handle(0.0, Started())
    watch.handle(1.0, EventReceived(1))
    watch.handle(100.0, AddressChanged())
    assert not watch.handle(200.0, EventReceived(1))[:-1] and watch.stage is Stage.MOVING
    assert not any(isinstance(a, OpenWatch) for a in watch.handle(300.0, WatchEnded(1)))
    assert not watch.handle(9000.0, TimerFired())
    assert watch.handle(9001.0, Stopped()) == [StageChanged(Stage.STOPPED)]
    assert not watch.handle(9002.0, Started())
