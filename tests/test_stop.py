"""A planned stop: what is open when the kill comes has been answered before it."""

from __future__ import annotations

import signal
import time

import pytest

from grebestack.program.lifecycle import KILL_MARGIN_MS, Lifecycle
from tests.loop_dispatcher import InProcessDispatcher, run_with_dispatcher
from tests.standins import World, call, wait_until

LONG_DEADLINE_MS = 30_000.0  # of each class on the stage


def test_a_late_answer_is_due_a_margin_before_the_kill_whatever_the_deadlines() -> None:
    lifecycle = Lifecycle()
    lifecycle.stop(1000.0)
    for longest_ms, kill_ms in ((500.0, 2200.0), (3000.0, 4700.0), (10_000.0, 4700.0)):
        assert lifecycle.kill_ms(longest_ms) == kill_ms
        assert lifecycle.late_answer_deadline_ms(longest_ms) == kill_ms - KILL_MARGIN_MS


@pytest.mark.parametrize(
    ("job_class", "is_sent", "status"),
    [
        ("view", True, 503),
        ("book", True, 503),
        ("order", True, 502),
        ("view", False, 503),
        ("book", False, 503),
        ("order", False, 503),
    ],
)
@pytest.mark.parametrize("comes_after_the_stop", [False, True])
def test_a_request_due_after_the_kill_is_answered_before_it_and_honestly(
    job_class: str, is_sent: bool, status: int, comes_after_the_stop: bool
) -> None:
    # Guards against a connection that the kill cuts: only an order that may have run is called failed.
    async def test(stage: InProcessDispatcher) -> None:
        caller, (peer,) = stage.client(), stage.peers
        if not is_sent:
            stage.set_worker_states(["Terminating"])

        async def stop() -> None:
            now_ms = stage.engine.clock.now_ms()
            stage.api.answer_before_kill(now_ms + LONG_DEADLINE_MS / 2, now_ms + 300.0)

        async def order() -> None:
            caller.send_job("a", job_class)
            await stage.wait_until(
                lambda: bool(peer.complete_requests()) if is_sent else bool(stage.engine.requests)
            )

        for step in (stop, order) if comes_after_the_stop else (order, stop):
            await step()
        assert caller.status == 0
        await stage.wait_until(lambda: caller.status)
        assert caller.status == status and not stage.engine.open_requests()

    run_with_dispatcher(test)


def test_a_request_due_before_the_kill_keeps_its_deadline() -> None:
    # Guards against a stop that takes time from requests which it need not hurry.
    async def test(stage: InProcessDispatcher) -> None:
        caller, (peer,) = stage.client(), stage.peers
        caller.send_job("a", "order")
        await stage.wait_until(lambda: peer.complete_requests())
        now_ms = stage.engine.clock.now_ms()
        stage.api.answer_before_kill(now_ms + 2 * LONG_DEADLINE_MS, now_ms + 1.0)
        await stage.run_loop()
        assert caller.status == 0
        stage.call_back("a", "s0", result="r")
        await stage.wait_until(lambda: caller.status == 200)

    run_with_dispatcher(test)


def test_no_request_is_open_at_the_kill_though_a_worker_hangs_through_the_whole_stop(world: World) -> None:
    # Guards against requests with deadlines of 5 and 10 s that are cut by a kill after 3.7 s.
    runner = world.runner("s-1")
    runner.hung = True
    front = world.start()

    def job(number: int, name: str) -> dict[str, str]:
        return {"X-Call-Id": f"{name}-{number}", "X-Call-Class": name, "Idempotency-Key": f"k{number}"}

    def ask(number: int, name: str) -> int:
        return call(front, "POST", "/api", b"", job(number, name))[0]

    answers = [
        world.in_background(lambda number=n, name=name: ask(number, name))  # type: ignore[misc]
        for n, name in enumerate(("order", "reading", "order", "reading"))
    ]
    wait_until(lambda: runner.held >= 1)
    began = time.monotonic()
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
        world.process.send_signal(number)
    statuses = [answer() for answer in answers]
    assert time.monotonic() - began < 8.0  # their own deadlines would end the orders after 10 s
    assert all(status in (502, 503) for status in statuses) and statuses[1::2] == [503, 503]
    assert world.process.wait(20) == 0
