"""How requests are answered when the decision module raises."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from grebestack.core import api
from grebestack.core.policy import Policy
from tests.loop_dispatcher import InProcessDispatcher, run_with_dispatcher
from tests.policy_driver import VIEW, Dispatcher, entry, sends


def make_raise(policy: Policy, raises_on: Callable[[api.Event], bool]) -> None:
    """Have a policy raise on some events instead of handling them."""
    original = policy.handle

    def handle(now_ms: float, event: api.Event) -> list[api.Action]:
        if raises_on(event):
            raise ArithmeticError("as from the root of a negative number")
        return original(now_ms, event)

    policy.handle = handle  # type: ignore[method-assign]


def test_a_request_whose_arrival_raises_is_rejected_at_once_and_the_next_is_served() -> None:
    # Guards against an answer of 500 to a request that stays queued and may be sent afterwards.
    async def test(dispatcher: InProcessDispatcher) -> None:
        make_raise(
            dispatcher.engine.policy,
            lambda event: isinstance(event, api.RequestArrived) and event.request == 1,
        )
        client, other_client, (worker,) = dispatcher.client(), dispatcher.client(), dispatcher.peers
        client.send_job("a", "order")
        await dispatcher.wait_until(lambda: client.status)
        assert client.status == 503 and not worker.complete_requests()
        other_client.send_job("b", "order")
        await dispatcher.wait_until(lambda: worker.complete_requests())
        dispatcher.call_back("b", "s0", result="r")
        await dispatcher.wait_until(lambda: other_client.status == 200)
        assert dispatcher.engine.counts["decision_faults"] == 1 and not dispatcher.engine.requests

    run_with_dispatcher(test)


@pytest.mark.parametrize("job_class", ["view", "order"])
def test_a_sent_request_is_answered_by_its_deadline_although_every_decision_raises(
    job_class: str,
) -> None:
    # Guards against a request that is never answered because its deadline raises as well.
    async def test(dispatcher: InProcessDispatcher) -> None:
        client, (worker,) = dispatcher.client(), dispatcher.peers
        client.send_job("a", job_class, headers="X-Deadline-Ms: 300\r\n")
        await dispatcher.wait_until(lambda: worker.complete_requests())
        make_raise(dispatcher.engine.policy, lambda event: True)
        request = dispatcher.engine.open_by_call_id["a"]
        dispatcher.engine._on_deadline(request)
        await dispatcher.wait_until(lambda: client.status)
        assert client.status == 502 and not dispatcher.engine.requests

    run_with_dispatcher(test)


def test_actions_decided_before_the_exception_are_still_carried_out() -> None:
    # Guards against a request that the policy counts as sent although it is never sent.
    async def test(dispatcher: InProcessDispatcher) -> None:
        policy, client, (worker,) = dispatcher.engine.policy, dispatcher.client(), dispatcher.peers
        original = policy.handlers[api.RequestArrived]

        def handler(event: api.RequestArrived) -> None:
            original(event)
            raise ArithmeticError("after the decision")

        policy.handlers[api.RequestArrived] = handler
        client.send_job("a", "order")
        await dispatcher.wait_until(lambda: worker.complete_requests())
        dispatcher.call_back("a", "s0", result="r")
        await dispatcher.wait_until(lambda: client.status == 200)

    run_with_dispatcher(test)


def test_the_queue_is_scanned_again_after_a_scan_that_raised(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against queued requests that are never scanned again.
    dispatcher = Dispatcher(workers=0)
    dispatcher.update_list(entry("w0", state=api.WorkerState.DRAINING))
    dispatcher.submit(VIEW)
    with monkeypatch.context() as patched, pytest.raises(ArithmeticError):
        patched.setattr(dispatcher.policy.selector, "select", lambda *_: 1 / 0)
        dispatcher.advance(100.0)
    actions = dispatcher.policy.take_actions()
    dispatcher.timers += [(a.at_ms, a.token) for a in actions if isinstance(a, api.SetTimer)]
    dispatcher.policy.workers["w0"].is_ready = True
    dispatcher.policy.selector.on_workers_changed()
    assert sends(dispatcher.advance(100.0)) == ["w0"]
