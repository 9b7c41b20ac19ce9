"""A job that is given up at a server, where the server may not have heard of it."""

from __future__ import annotations

import asyncio

import pytest

from grebestack.core import api
from grebestack.routing.requests import AttemptStage
from tests.loop_dispatcher import InProcessDispatcher, run_with_dispatcher

TAKEN = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("job_class", ["view", "book"])
def test_no_second_attempt_goes_to_a_server_that_may_not_have_heard_the_give_up(job_class: str) -> None:
    # Guards against a second attempt beside the first one, which still runs there.
    async def test(stage: InProcessDispatcher) -> None:
        caller, (peer,) = stage.client(), stage.peers
        stage.engine.policy.estimates.run_ms[:] = [
            10.0
        ] * 3  # a server that seems overloaded is tried again soon
        caller.send_job("a", job_class)
        await stage.wait_until(lambda: peer.complete_requests())
        peer.send(0, TAKEN)
        session = stage.engine.open_by_call_id["a"]
        (dispatch,) = session.attempts
        await stage.wait_until(lambda: dispatch.stage is AttemptStage.ACCEPTED)
        stage.engine._cancel_attempt(session, api.Cancel(session.number, 0))
        await stage.wait_until(lambda: any(b"DELETE /jobs/a " in data for data in peer.complete_requests()))
        number = next(n for n, data in peer.received.items() if b"DELETE" in data)
        peer.reset(number)
        await asyncio.sleep(0.3)
        assert sum(data.count(b"POST /api") for data in peer.complete_requests()) == 1
        assert caller.status in (0, 503)  # it waits for another server, or is told that it may come again

    run_with_dispatcher(test)
