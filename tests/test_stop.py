"""A planned stop: every request is answered before SIGKILL arrives."""

from __future__ import annotations

import signal
import time

import pytest

from grebestack.program.lifecycle import KILL_MARGIN_MS, Lifecycle
from tests.loop_dispatcher import InProcessDispatcher, run_with_dispatcher
from tests.standins import DispatcherTestbed, send_request, wait_until

LONG_DEADLINE_MS = 30_000.0  # of each class at the in-process dispatcher


def test_late_answers_are_due_a_margin_before_sigkill_for_any_deadlines() -> None:
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
@pytest.mark.parametrize("arrives_after_the_stop", [False, True])
def test_a_request_with_a_deadline_after_sigkill_is_answered_before_with_the_right_status(
    job_class: str, is_sent: bool, status: int, arrives_after_the_stop: bool
) -> None:
    # Guards against connections cut by SIGKILL. Only an order that may have run is reported as failed (502).
    async def test(dispatcher: InProcessDispatcher) -> None:
        client, (peer,) = dispatcher.client(), dispatcher.peers
        if not is_sent:
            dispatcher.set_worker_states(["Terminating"])

        async def stop() -> None:
            now_ms = dispatcher.engine.clock.now_ms()
            dispatcher.api.answer_before_kill(now_ms + LONG_DEADLINE_MS / 2, now_ms + 300.0)

        async def order() -> None:
            client.send_job("a", job_class)
            await dispatcher.wait_until(
                lambda: bool(peer.complete_requests()) if is_sent else bool(dispatcher.engine.requests)
            )

        for step in (stop, order) if arrives_after_the_stop else (order, stop):
            await step()
        assert client.status == 0
        await dispatcher.wait_until(lambda: client.status)
        assert client.status == status and not dispatcher.engine.open_requests()

    run_with_dispatcher(test)


def test_a_request_with_a_deadline_before_sigkill_keeps_it() -> None:
    # Guards against a stop that shortens deadlines needlessly.
    async def test(dispatcher: InProcessDispatcher) -> None:
        client, (peer,) = dispatcher.client(), dispatcher.peers
        client.send_job("a", "order")
        await dispatcher.wait_until(lambda: peer.complete_requests())
        now_ms = dispatcher.engine.clock.now_ms()
        dispatcher.api.answer_before_kill(now_ms + 2 * LONG_DEADLINE_MS, now_ms + 1.0)
        await dispatcher.run_loop()
        assert client.status == 0
        dispatcher.call_back("a", "s0", result="r")
        await dispatcher.wait_until(lambda: client.status == 200)

    run_with_dispatcher(test)


def test_no_request_is_open_at_sigkill_even_if_a_worker_hangs_during_the_stop(
    testbed: DispatcherTestbed,
) -> None:
    # Guards against requests with deadlines of 5 and 10 s that are cut off by SIGKILL after 3.7 s.
    worker = testbed.add_worker("s-1")
    worker.unresponsive = True
    dispatcher = testbed.start()

    def job(number: int, name: str) -> dict[str, str]:
        return {"X-Call-Id": f"{name}-{number}", "X-Call-Class": name, "Idempotency-Key": f"k{number}"}

    def post(number: int, name: str) -> int:
        return send_request(dispatcher, "POST", "/api", b"", job(number, name))[0]

    answers = [
        testbed.in_background(lambda number=n, name=name: post(number, name))  # type: ignore[misc]
        for n, name in enumerate(("order", "reading", "order", "reading"))
    ]
    wait_until(lambda: worker.waiting_requests >= 1)
    began_s = time.monotonic()
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
        testbed.process.send_signal(number)
    statuses = [answer() for answer in answers]
    assert time.monotonic() - began_s < 8.0  # their own deadlines would end the orders after 10 s
    assert all(status in (502, 503) for status in statuses) and statuses[1::2] == [503, 503]
    assert testbed.process.wait(20) == 0
