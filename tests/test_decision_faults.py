"""What becomes of requests where the decision module raises."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from grebestack.core import api
from grebestack.core.policy import Policy
from tests.loop_dispatcher import InProcessDispatcher, run_with_dispatcher
from tests.policy_driver import VIEW, Dispatcher, entry, sends


def raising(policy: Policy, does: Callable[[api.Event], bool]) -> None:
    """Have a policy raise on some events, after it has begun to handle them."""
    whole = policy.handle

    def handle(now_ms: float, event: api.Event) -> list[api.Action]:
        if does(event):
            raise ArithmeticError("as on a negative root")
        return whole(now_ms, event)

    policy.handle = handle  # type: ignore[method-assign]


def test_a_request_on_whose_arrival_the_decision_raises_is_rejected_at_once_and_the_next_is_served() -> None:
    # Guards against an answer of 500 to a request that stays queued and may be sent after it.
    async def test(stage: InProcessDispatcher) -> None:
        raising(
            stage.engine.policy, lambda event: isinstance(event, api.RequestArrived) and event.request == 1
        )
        caller, other, (peer,) = stage.client(), stage.client(), stage.peers
        caller.send_job("a", "order")
        await stage.wait_until(lambda: caller.status)
        assert caller.status == 503 and not peer.complete_requests()
        other.send_job("b", "order")
        await stage.wait_until(lambda: peer.complete_requests())
        stage.call_back("b", "s0", result="r")
        await stage.wait_until(lambda: other.status == 200)
        assert stage.engine.counts["decision_faults"] == 1 and not stage.engine.requests

    run_with_dispatcher(test)


@pytest.mark.parametrize("job_class", ["view", "order"])
def test_a_request_that_was_sent_is_answered_by_its_deadline_though_every_decision_raises(
    job_class: str,
) -> None:
    # Guards against a request that is never answered, since its end raises at its deadline too.
    async def test(stage: InProcessDispatcher) -> None:
        caller, (peer,) = stage.client(), stage.peers
        caller.send_job("a", job_class, headers="X-Deadline-Ms: 300\r\n")
        await stage.wait_until(lambda: peer.complete_requests())
        raising(stage.engine.policy, lambda event: True)
        session = stage.engine.open_by_call_id["a"]
        stage.engine._on_deadline(session)
        await stage.wait_until(lambda: caller.status)
        assert caller.status == 502 and not stage.engine.requests

    run_with_dispatcher(test)


def test_what_was_decided_before_the_fault_is_still_carried_out() -> None:
    # Guards against a request that the module counts as sent while no byte of it ever goes.
    async def test(stage: InProcessDispatcher) -> None:
        policy, caller, (peer,) = stage.engine.policy, stage.client(), stage.peers
        whole = policy.handlers[api.RequestArrived]

        def handler(event: api.RequestArrived) -> None:
            whole(event)
            raise ArithmeticError("after the decision")

        policy.handlers[api.RequestArrived] = handler
        caller.send_job("a", "order")
        await stage.wait_until(lambda: peer.complete_requests())
        stage.call_back("a", "s0", result="r")
        await stage.wait_until(lambda: caller.status == 200)

    run_with_dispatcher(test)


def test_the_queue_is_scanned_again_after_a_scan_that_raised(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against queued requests that nobody looks at again.
    dispatcher = Dispatcher(workers=0)
    dispatcher.listed(entry("w0", state=api.WorkerState.DRAINING))
    dispatcher.ask(VIEW)
    with monkeypatch.context() as patched, pytest.raises(ArithmeticError):
        patched.setattr(dispatcher.policy.selector, "select", lambda *_: 1 / 0)
        dispatcher.wait(100.0)
    actions = dispatcher.policy.take_actions()
    dispatcher.timers += [(a.at_ms, a.token) for a in actions if isinstance(a, api.SetTimer)]
    dispatcher.policy.workers["w0"].is_ready = True
    dispatcher.policy.selector.on_workers_changed()
    assert sends(dispatcher.wait(100.0)) == ["w0"]
