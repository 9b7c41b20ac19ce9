"""An attempt is cancelled, but its worker may not have received the cancellation."""

from __future__ import annotations

import asyncio

import pytest

from grebestack.core import api
from grebestack.routing.requests import AttemptStage
from tests.loop_dispatcher import InProcessDispatcher, run_with_dispatcher

ACCEPTED = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("job_class", ["view", "book"])
def test_a_worker_that_may_have_missed_a_cancellation_gets_no_second_attempt(job_class: str) -> None:
    # Guards against a second attempt beside the first one, which may still run there.
    async def test(dispatcher: InProcessDispatcher) -> None:
        client, (peer,) = dispatcher.client(), dispatcher.peers
        # With short run times a worker that seems overloaded is tried again soon.
        dispatcher.engine.policy.estimates.run_ms[:] = [10.0] * 3
        client.send_job("a", job_class)
        await dispatcher.wait_until(lambda: peer.complete_requests())
        peer.send(0, ACCEPTED)
        request = dispatcher.engine.open_by_call_id["a"]
        (attempt,) = request.attempts
        await dispatcher.wait_until(lambda: attempt.stage is AttemptStage.ACCEPTED)
        dispatcher.engine._cancel_attempt(request, api.Cancel(request.number, 0))
        await dispatcher.wait_until(
            lambda: any(b"DELETE /jobs/a " in data for data in peer.complete_requests())
        )
        number = next(n for n, data in peer.received.items() if b"DELETE" in data)
        peer.reset(number)
        await asyncio.sleep(0.3)
        assert sum(data.count(b"POST /api") for data in peer.complete_requests()) == 1
        assert client.status in (0, 503)  # it waits for another worker, or was rejected and may be retried

    run_with_dispatcher(test)
