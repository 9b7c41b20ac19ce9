"""Races between two events, always in the worse order, on real connections; see docs/crossings.md."""

from __future__ import annotations

import asyncio
import socket
from typing import Any, NamedTuple, cast

import pytest

from grebestack.core import api
from grebestack.core.api import Outcome
from grebestack.routing.requests import Attempt, AttemptStage
from grebestack.routing.worker_table import WorkerEndpoint
from grebestack.transport import client as transport
from grebestack.transport import connection_pool
from tests.loop_dispatcher import WAIT_TIMEOUT_S, Client, InProcessDispatcher, Peer, run_with_dispatcher

TCP_CLOSED = 7  # Linux's number of this TCP state
ACCEPTED_RESPONSE = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"


# The client disconnects.


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("job_class", ["view", "book", "order"])
def test_nothing_is_sent_for_a_client_that_disconnected_while_a_connection_was_opened(
    cancel: bool,
    job_class: str,
) -> None:
    """If the settings forbade cancelling, the job was sent as soon as the connection was open."""

    async def test(dispatcher: InProcessDispatcher) -> None:
        dispatcher.pools.gate.clear()
        client, (peer,) = dispatcher.client(), dispatcher.peers
        client.send_job("a", job_class)
        await dispatcher.wait_until(lambda: dispatcher.engine.counts["dispatches"] == 1)
        client.close()
        await dispatcher.wait_until(lambda: dispatcher.engine.counts["gone"] == 1)
        dispatcher.pools.gate.set()
        other = dispatcher.client()  # a later job shows that the connection is open
        other.send_job("b", "view")
        await dispatcher.wait_until(lambda: any(b"X-Call-Id: b" in data for data in peer.complete_requests()))
        await dispatcher.run_loop()
        peer.read_available()
        assert not any(b"X-Call-Id: a" in data for data in peer.received.values())

    run_with_dispatcher(test, cancel=cancel)


@pytest.mark.parametrize("cancel", [True, False])
def test_the_delayed_last_byte_is_not_sent_after_the_client_has_disconnected(
    cancel: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_pool, "INITIAL_ROUND_TRIP_S", 0.2)  # delays the last byte for 0.3 s

    async def test(dispatcher: InProcessDispatcher) -> None:
        client, (peer,) = dispatcher.client(), dispatcher.peers
        client.send_job("a", "order", body=b"last byte: !")
        await dispatcher.wait_until(lambda: any(b"last byte: " in data for data in peer.complete_requests()))
        client.close()
        await dispatcher.wait_until(lambda: dispatcher.engine.counts["gone"] == 1)
        await dispatcher.wait_until(lambda: peer.complete_requests() and peer.ended)
        assert not any(b"!" in data for data in peer.received.values())

    run_with_dispatcher(test, cancel=cancel)


@pytest.mark.parametrize("cancel", [True, False])
def test_no_retry_if_the_client_disconnects_in_the_turn_in_which_its_attempt_is_reset(cancel: bool) -> None:
    async def test(dispatcher: InProcessDispatcher) -> None:
        client, peers = dispatcher.client(), dispatcher.peers
        client.send_job("a", "book")
        await dispatcher.wait_until(lambda: any(peer.complete_requests() for peer in peers))
        first = next(peer for peer in peers if peer.received)
        first.reset(0)
        client.close()
        await dispatcher.wait_until(lambda: dispatcher.engine.counts["gone"] == 1)
        await dispatcher.run_loop()
        sends = [data for peer in peers for data in peer.complete_requests() if data.startswith(b"POST")]
        assert len(sends) + (dispatcher.engine.counts["dispatches"] - 1) <= 2
        attempts = dispatcher.engine.counts["dispatches"]
        await asyncio.sleep(0.15)
        assert dispatcher.engine.counts["dispatches"] == attempts and not dispatcher.engine.requests

    run_with_dispatcher(test, worker_count=2, cancel=cancel)


def test_a_request_cancelled_while_its_connection_is_opened_is_not_sent() -> None:
    async def test(dispatcher: InProcessDispatcher) -> None:
        dispatcher.pools.gate.clear()
        client, (peer,) = dispatcher.client(), dispatcher.peers
        client.send_job("a", "order")
        await dispatcher.wait_until(lambda: dispatcher.engine.counts["dispatches"] == 1)
        dispatcher.engine.cancel_request(dispatcher.engine.open_by_call_id["a"])
        dispatcher.pools.gate.set()
        await dispatcher.wait_until(lambda: client.status)
        await dispatcher.run_loop()
        assert client.status == 502 and not peer.complete_requests()

    run_with_dispatcher(test)


# Retries and connections that fail.


def test_a_retry_whose_connection_opens_after_the_retry_window_is_not_sent() -> None:
    """Guards against checking the retry window only before the connection is opened, which takes time."""

    async def test(dispatcher: InProcessDispatcher) -> None:
        client, peers = dispatcher.client(), dispatcher.peers
        client.send_job("a", "book")
        await dispatcher.wait_until(lambda: any(peer.complete_requests() for peer in peers))
        dispatcher.pools.gate.clear()
        next(peer for peer in peers if peer.received).reset(0)
        await dispatcher.wait_until(lambda: dispatcher.engine.counts["dispatches"] == 2)
        await asyncio.sleep(0.35)  # the window is over
        dispatcher.pools.gate.set()
        await dispatcher.wait_until(lambda: client.status)
        assert sum(len(peer.complete_requests()) for peer in peers) == 1
        assert client.status in (502, 503)

    run_with_dispatcher(test, worker_count=2, retry_window_ms=300.0)


class IdleConnection(NamedTuple):
    """A reusable connection to the first worker, which alone is listed as ready."""

    warm: Client
    client: Client
    peer: Peer
    other: Peer
    transport: asyncio.Transport


async def idle_connection(dispatcher: InProcessDispatcher) -> IdleConnection:
    warm, client, (peer, other) = dispatcher.client(), dispatcher.client(), dispatcher.peers
    dispatcher.set_worker_states(["Ready", "Terminating"])
    warm.send_job("warm")
    await dispatcher.wait_until(lambda: peer.complete_requests())
    peer.send(0, ACCEPTED_RESPONSE)
    await dispatcher.wait_until(lambda: any(pool.idle for pool in dispatcher.pools.pools.values()))
    dispatcher.call_back("warm", "s0", result="r")
    await asyncio.sleep(2 * transport.REUSE_DELAY_S)
    ((idle,),) = [pool.idle for pool in dispatcher.pools.pools.values() if pool.idle]
    assert idle.transport is not None
    return IdleConnection(warm, client, peer, other, idle.transport)


def is_reset(connection: asyncio.Transport) -> bool:
    """Whether the system knows that a connection has ended, even if no read has shown it yet."""
    info = connection.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    return bool(info[0] == TCP_CLOSED)


async def assert_runs_once_at_the_other_worker(dispatcher: InProcessDispatcher, idle: IdleConnection) -> None:
    """Check that the request is known not to have run at the first worker, and runs once at the other."""
    await dispatcher.wait_until(lambda: dispatcher.engine.counts["connect_failed"] == 1)
    dispatcher.set_worker_states(["Ready", "Ready"])
    await dispatcher.wait_until(lambda: idle.other.complete_requests())
    dispatcher.call_back("a", "s1", result="r")
    await dispatcher.wait_until(lambda: idle.client.status == 200)
    assert len(idle.peer.complete_requests()) == 1 and dispatcher.engine.counts["dispatches"] == 3
    assert len(idle.other.complete_requests()) == 1


def test_a_request_written_to_an_idle_connection_that_its_worker_has_reset_runs_once() -> None:
    # Guards against taking the request for possibly run: the reset is unread while the request is written.
    async def test(dispatcher: InProcessDispatcher) -> None:
        idle = await idle_connection(dispatcher)
        idle.transport.pause_reading()
        idle.peer.reset(0)
        await dispatcher.wait_until(lambda: is_reset(idle.transport))
        idle.client.send_job("a", "order")
        await assert_runs_once_at_the_other_worker(dispatcher, idle)

    run_with_dispatcher(test, worker_count=2)


def test_a_request_whose_idle_connection_is_reset_before_its_last_byte_runs_once() -> None:
    # Guards against taking the request for possibly run: the reset arrives before the delayed last byte.
    async def test(dispatcher: InProcessDispatcher) -> None:
        idle = await idle_connection(dispatcher)
        (pool,) = [pool for pool in dispatcher.pools.pools.values() if pool.idle]
        pool.round_trip_s = 2 * WAIT_TIMEOUT_S  # the last byte waits for longer than this test
        idle.client.send_job("a", "order")
        await dispatcher.wait_until(
            lambda: any(b"X-Call-Id: a" in data for data in idle.peer.complete_requests())
        )
        idle.peer.reset(0)
        pool.round_trip_s = connection_pool.INITIAL_ROUND_TRIP_S
        await assert_runs_once_at_the_other_worker(dispatcher, idle)

    run_with_dispatcher(test, worker_count=2)


def test_a_request_that_arrives_after_the_reset_was_seen_runs_once_on_a_new_connection() -> None:
    # Guards against using a connection that is known to have ended.
    async def test(dispatcher: InProcessDispatcher) -> None:
        idle = await idle_connection(dispatcher)
        idle.peer.reset(0)
        await dispatcher.wait_until(
            lambda: not any(pool.connections for pool in dispatcher.pools.pools.values())
        )
        idle.client.send_job("a", "order")
        await dispatcher.wait_until(
            lambda: any(b"X-Call-Id: a" in data for data in idle.peer.complete_requests())
        )
        dispatcher.set_worker_states(["Ready", "Ready"])
        await dispatcher.wait_until(lambda: idle.peer.complete_requests()[-1].endswith(b"body"))
        idle.peer.send(1, ACCEPTED_RESPONSE)
        dispatcher.call_back("a", "s0", result="r")
        await dispatcher.wait_until(lambda: idle.client.status == 200)
        await dispatcher.run_loop()
        assert len(idle.peer.complete_requests()) == 2 and not idle.other.complete_requests()
        assert dispatcher.engine.counts["connect_failed"] == 0 and dispatcher.engine.counts["dispatches"] == 2

    run_with_dispatcher(test, worker_count=2)


def test_a_worker_whose_202_crosses_a_cancel_is_sent_the_cancel_and_no_other_attempt() -> None:
    """Closing the connection cancels a job only before its 202: it went on running beside its retry."""

    async def test(dispatcher: InProcessDispatcher) -> None:
        client, (peer,) = dispatcher.client(), dispatcher.peers
        client.send_job("a", "book")
        await dispatcher.wait_until(lambda: peer.complete_requests())
        (attempt,) = dispatcher.engine.open_by_call_id["a"].attempts
        peer.send(0, ACCEPTED_RESPONSE)  # unread when the dispatcher cancels the attempt
        dispatcher.engine._cancel_attempt(attempt.request, api.Cancel(attempt.request.number, 0))
        await dispatcher.wait_until(
            lambda: any(b"DELETE /jobs/a " in data for data in peer.complete_requests())
        )
        await dispatcher.run_loop()
        sends = [data for data in peer.complete_requests() if data.startswith(b"POST")]
        assert len(sends) == 1, "an attempt beside a cancel without response"

    run_with_dispatcher(test)


@pytest.mark.parametrize(
    "cancel_response",
    [
        b"HTTP/1.1 204 No Content\r\n\r\n",
        b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n",
    ],
)
def test_an_accepted_request_is_retried_elsewhere_once_its_worker_has_cancelled_it(
    cancel_response: bytes,
) -> None:
    """Where concurrent attempts are forbidden: not before, and not at all if the worker refuses to."""

    async def test(dispatcher: InProcessDispatcher) -> None:
        client, peers = dispatcher.client(), dispatcher.peers
        client.send_job("a", "view")
        await dispatcher.wait_until(lambda: any(peer.complete_requests() for peer in peers))
        first = 0 if peers[0].received else 1
        peers[first].send(0, ACCEPTED_RESPONSE)
        await dispatcher.wait_until(
            lambda: dispatcher.engine.open_by_call_id["a"].open_attempts()[0].stage is AttemptStage.ACCEPTED
        )
        number = dispatcher.engine.open_by_call_id["a"].number
        dispatcher.engine._execute(api.Cancel(number, 0, at_once=False))
        await dispatcher.wait_until(
            lambda: any(b"DELETE /jobs/a " in data for data in peers[first].complete_requests())
        )
        await dispatcher.run_loop()
        assert not peers[1 - first].complete_requests() and dispatcher.engine.counts["dispatches"] == 1
        on = next(n for n, data in peers[first].received.items() if b"DELETE" in data)
        peers[first].send(on, cancel_response)
        if b"204" in cancel_response:
            await dispatcher.wait_until(lambda: peers[1 - first].complete_requests())
            dispatcher.call_back("a", f"s{first}", result="of the cancelled attempt")
            dispatcher.call_back("a", f"s{1 - first}", result="r")
        else:
            await dispatcher.run_loop()
            assert not peers[1 - first].complete_requests()
            dispatcher.call_back("a", f"s{first}", result="r")
        await dispatcher.wait_until(lambda: client.status == 200)
        assert client.received.endswith(b"\r\n\r\nr")

    run_with_dispatcher(test, worker_count=2, reports_attempt_start=True)


# A worker's responses and call-backs.


def test_call_backs_before_the_202_repeated_or_from_another_worker_end_a_request_once() -> None:
    async def test(dispatcher: InProcessDispatcher) -> None:
        client, (peer, _) = dispatcher.client(), dispatcher.peers
        dispatcher.set_worker_states(["Ready", "Terminating"])
        client.send_job("a", "order")
        await dispatcher.wait_until(lambda: peer.complete_requests())
        dispatcher.call_back("a", "s1", result="wrong")
        await dispatcher.wait_until(
            lambda: dispatcher.engine.open_by_call_id["a"].open_attempts()[0].stage is AttemptStage.WRITTEN
        )
        dispatcher.call_back("a", "s0", result="right")
        dispatcher.call_back("a", "s0", "failed")
        peer.send(0, ACCEPTED_RESPONSE)
        await dispatcher.wait_until(lambda: client.status)
        dispatcher.call_back("a", "s0", "lost")
        await dispatcher.run_loop()
        assert client.read_available().count(b"HTTP/1.1") == 1 and client.received.endswith(b"right")

    run_with_dispatcher(test, worker_count=2)


@pytest.mark.parametrize(
    ("state", "job_class"), [("returned", "order"), ("failed", "book"), ("lost", "book")]
)
def test_a_repeated_call_back_of_an_earlier_attempt_does_not_end_the_next_one(
    state: str, job_class: str
) -> None:
    # Guards against an order that runs twice because the answer to its hand-back was lost.
    async def test(dispatcher: InProcessDispatcher) -> None:
        client = dispatcher.client()
        dispatcher.engine.policy.estimates.run_ms[:] = [10.0] * 3
        client.send_job("a", job_class)

        def count_attempts() -> int:
            return sum(data.count(b"POST ") for peer in dispatcher.peers for data in peer.complete_requests())

        async def accepted_attempt(count: int) -> Attempt:
            await dispatcher.wait_until(lambda: count_attempts() == count)
            (attempt,) = dispatcher.engine.open_by_call_id["a"].open_attempts()
            peer = dispatcher.peers[int(attempt.worker.removeprefix("s"))]
            await dispatcher.wait_until(lambda: attempt.stage is AttemptStage.WRITTEN)
            peer.send(max(peer.received), ACCEPTED_RESPONSE)
            await dispatcher.wait_until(lambda: attempt.stage is AttemptStage.ACCEPTED)
            return attempt

        for count in (1, 2):  # both workers end their first attempt
            first = await accepted_attempt(count)
            dispatcher.call_back("a", first.worker, state)
        last = await accepted_attempt(3)
        for worker in ("s0", "s1"):
            dispatcher.call_back("a", worker, state)
        await dispatcher.run_loop()
        assert last.outcome is None and count_attempts() == 3
        dispatcher.call_back("a", last.worker, result="right")
        await dispatcher.wait_until(lambda: client.status)
        assert client.received.endswith(b"right")

    run_with_dispatcher(test, worker_count=2)


def test_a_reset_after_the_202_does_not_end_the_request() -> None:
    async def test(dispatcher: InProcessDispatcher) -> None:
        client, (peer,) = dispatcher.client(), dispatcher.peers
        client.send_job("a", "order")
        await dispatcher.wait_until(lambda: peer.complete_requests())
        await dispatcher.wait_until(
            lambda: dispatcher.engine.open_by_call_id["a"].open_attempts()[0].stage is AttemptStage.WRITTEN
        )
        peer.send(0, ACCEPTED_RESPONSE)
        await dispatcher.wait_until(
            lambda: dispatcher.engine.open_by_call_id["a"].open_attempts()[0].stage is AttemptStage.ACCEPTED
        )
        peer.reset(0)
        await dispatcher.wait_until(
            lambda: not any(pool.connections for pool in dispatcher.pools.pools.values())
        )
        dispatcher.call_back("a", "s0", result="r")
        await dispatcher.wait_until(lambda: client.status == 200)
        assert dispatcher.engine.counts["dispatches"] == 1

    run_with_dispatcher(test)


def test_a_202_before_the_last_byte_is_written_does_not_count(monkeypatch: pytest.MonkeyPatch) -> None:
    """The rest of an earlier response: the request counted as accepted and was awaited until its deadline."""
    monkeypatch.setattr(connection_pool, "INITIAL_ROUND_TRIP_S", 0.2)

    async def test(dispatcher: InProcessDispatcher) -> None:
        client, peers = dispatcher.client(), dispatcher.peers
        client.send_job("a", "order", body=b"last byte: !")
        await dispatcher.wait_until(lambda: any(peer.complete_requests() for peer in peers))
        first = 0 if peers[0].received else 1
        await dispatcher.wait_until(lambda: peers[first].complete_requests()[0].endswith(b"last byte: "))
        peers[first].send(0, ACCEPTED_RESPONSE)
        await dispatcher.wait_until(
            lambda: any(b"!" in data for data in peers[1 - first].complete_requests())
        )
        assert b"!" not in peers[first].received[0] and dispatcher.engine.counts["dispatches"] == 2
        dispatcher.call_back("a", f"s{1 - first}", result="r")
        await dispatcher.wait_until(lambda: client.status == 200)

    run_with_dispatcher(test, worker_count=2)


def test_a_connection_that_opens_in_the_turn_of_its_timeout_keeps_its_request() -> None:
    """The loop closes what it opens for a cancelled task, even if a request has been sent on it."""

    async def test(dispatcher: InProcessDispatcher) -> None:
        loop, create_connection = dispatcher.loop, dispatcher.loop.create_connection

        async def slow(*arguments: Any, **options: Any) -> Any:
            connected = await create_connection(*arguments, **options)
            try:
                await asyncio.sleep(0.2)  # open, with a request sent, before the task goes on
            except asyncio.CancelledError:
                connected[0].close()
                raise
            return connected

        dispatcher.pools.loop = cast(Any, _LoopWithConnect(loop, slow))
        dispatcher.pools.connect_timeout_s = 0.1
        client, (peer,) = dispatcher.client(), dispatcher.peers
        client.send_job("a", "book")
        await dispatcher.wait_until(lambda: peer.complete_requests())
        await asyncio.sleep(0.3)
        peer.read_available()
        assert not peer.ended and dispatcher.engine.counts["reset"] == 0
        dispatcher.call_back("a", "s0", result="r")
        await dispatcher.wait_until(lambda: client.status == 200)

    run_with_dispatcher(test)


class _LoopWithConnect:
    """A loop with another `create_connection`."""

    def __init__(self, loop: asyncio.AbstractEventLoop, create_connection: Any) -> None:
        self.loop, self.create_connection = loop, create_connection

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)


def test_a_drain_reported_while_a_connection_is_opened_stops_the_attempt() -> None:
    async def test(dispatcher: InProcessDispatcher) -> None:
        dispatcher.pools.gate.clear()
        client = dispatcher.client()
        client.send_job("a", "book")
        await dispatcher.wait_until(lambda: dispatcher.engine.counts["dispatches"] == 1)
        first = int(dispatcher.engine.open_by_call_id["a"].attempts[0].worker[1:])
        dispatcher.set_worker_states("Terminating" if n == first else "Ready" for n in range(2))
        dispatcher.pools.gate.set()
        other = dispatcher.peers[1 - first]
        await dispatcher.wait_until(lambda: other.complete_requests())
        assert not dispatcher.peers[first].complete_requests()

    run_with_dispatcher(test, worker_count=2)


# The dispatcher closes a connection.


def test_a_client_reads_why_its_request_is_refused_though_the_rest_of_it_is_unread() -> None:
    """Closing a socket with unread bytes resets the connection and destroys the response."""

    async def test(dispatcher: InProcessDispatcher) -> None:
        client = dispatcher.client()
        client.send(b"POST /api HTTP/1.1\r\n")
        connection = await accepted_connection(dispatcher)
        await dispatcher.wait_until(lambda: connection.request_begun)
        client.send(b"x" * 60_000)  # unread in the kernel while the head is completed
        connection.data_received(b"Content-Length: 200000\r\n\r\n")
        await dispatcher.wait_until(lambda: client.status == 413)
        await dispatcher.wait_until(lambda: client.read_available() and client.close_reason)
        assert client.close_reason == "closed"

    run_with_dispatcher(test)


async def accepted_connection(dispatcher: InProcessDispatcher) -> Any:
    await dispatcher.wait_until(lambda: dispatcher.acceptor.connections)
    (connection,) = dispatcher.acceptor.connections
    return connection


def test_unread_bytes_after_the_last_request_do_not_destroy_its_response() -> None:
    async def test(dispatcher: InProcessDispatcher) -> None:
        client, (peer,) = dispatcher.client(), dispatcher.peers
        client.send_job("a", "view", "Connection: close\r\n")
        await dispatcher.wait_until(lambda: peer.complete_requests())
        client.send(b"POST /api HTTP/1.1\r\n")  # unread in the kernel while the response is sent
        dispatcher.call_back("a", "s0", result="r" * 30_000)
        await dispatcher.run_loop()
        assert client.status == 200
        await dispatcher.wait_until(lambda: client.read_available() and client.close_reason)
        assert client.close_reason == "closed" and client.received.endswith(b"r" * 30_000)
        client.close()
        await dispatcher.wait_until(lambda: not dispatcher.acceptor.connections)

    run_with_dispatcher(test)


def test_a_request_that_is_unread_when_its_idle_connection_is_closed_is_not_handled() -> None:
    """Its client gets a reset and may send it again."""

    async def test(dispatcher: InProcessDispatcher) -> None:
        client, (peer,) = dispatcher.client(), dispatcher.peers
        client.send_job("a")
        await dispatcher.wait_until(lambda: peer.complete_requests())
        dispatcher.call_back("a", "s0", result="r")
        await dispatcher.wait_until(lambda: client.status == 200)
        connection = await accepted_connection(dispatcher)
        await dispatcher.wait_until(lambda: connection in dispatcher.acceptor.idle)
        client.send_job("b")
        connection.close()
        await dispatcher.wait_until(lambda: client.read_available() and client.close_reason)
        assert client.close_reason == "reset" and dispatcher.engine.counts["sessions"] == 1

    run_with_dispatcher(test)


def test_an_incomplete_request_is_answered_503_when_its_connection_is_evicted() -> None:
    async def test(dispatcher: InProcessDispatcher) -> None:
        client = dispatcher.client()
        client.send(b"POST /api HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf")
        connection = await accepted_connection(dispatcher)
        await dispatcher.wait_until(lambda: connection.request_begun)
        dispatcher.acceptor.set_max_connections(1)
        dispatcher.client()
        await dispatcher.wait_until(lambda: client.status)
        assert client.status == 503

    run_with_dispatcher(test)


def test_a_client_that_sends_endlessly_after_its_last_response_is_disconnected() -> None:
    async def test(dispatcher: InProcessDispatcher) -> None:
        client, (peer,) = dispatcher.client(), dispatcher.peers
        client.send_job("a", "view", "Connection: close\r\n")
        await dispatcher.wait_until(lambda: peer.complete_requests())
        dispatcher.call_back("a", "s0", result="r")
        await dispatcher.wait_until(lambda: client.status == 200)

        def flood() -> bool:
            try:
                client.send(b"x" * 65_536)
            except BlockingIOError:
                pass
            except ConnectionError:
                return True
            return False

        await dispatcher.wait_until(flood)
        await dispatcher.wait_until(lambda: not dispatcher.acceptor.connections)

    run_with_dispatcher(test)


# Malformed input.


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'"word"',
        b"{}",
        b"\xff\xfe",
        b"[" * 50_000,
        b"1" * 60_000,
        b'{"id":"a","from":"s0","state":7}',
        b'{"id":["a"],"from":"s0","state":"done"}',
        b'{"id":"a","from":"s0","state":"running","share":1' + b"0" * 400 + b"}",
        b'{"id":"a","from":"s0","state":"running","share":NaN}',
        b'{"id":"a","from":"s0","state":"failed","load":{"x0":1'
        + b"0" * 400
        + b',"x1":"many","queue":null}}',
        b'{"id":"a","from":"s0","state":"failed","load":[1]}',
        b'{"id":"a","from":"s0","state":"done","result":{"a":"\\ud800"}}',
        b'{"id":"a","from":"s0","state":"done"}',
        b'{"id":"\\ud800","from":"s0","state":"done"}',
    ],
)
def test_a_malformed_call_back_is_answered_and_raises_no_exception(
    body: bytes,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """A share or a load of hundreds of digits raised an OverflowError, and the job stayed open."""

    async def test(dispatcher: InProcessDispatcher) -> None:
        caught: list[Any] = []
        dispatcher.loop.set_exception_handler(lambda loop, context: caught.append(context))
        client, (peer,) = dispatcher.client(), dispatcher.peers
        client.send_job("a", "order")
        await dispatcher.wait_until(lambda: peer.complete_requests())
        await dispatcher.wait_until(
            lambda: dispatcher.engine.open_by_call_id["a"].open_attempts()[0].stage is AttemptStage.WRITTEN
        )
        worker = dispatcher.client()
        worker.send(b"POST /callback HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        await dispatcher.wait_until(lambda: worker.status)
        assert worker.status in (204, 400) and not caught
        records = [record for record in caplog.records if record.message == "bad_call_back"]
        assert len(records) == 1 or worker.status == 204, "one log line names field and value"
        assert all({"field", "value"} <= cast(Any, record).kv.keys() for record in records)
        dispatcher.call_back("a", "s0", result="r")
        await dispatcher.wait_until(lambda: client.status)

    caplog.set_level("INFO")
    run_with_dispatcher(test)
    assert not [record for record in caplog.records if record.exc_info], caplog.text


def test_a_failed_connect_proves_that_a_request_never_ran_and_a_reset_does_not() -> None:
    assert Outcome.CONNECT_FAILED.never_ran and not Outcome.RESET.never_ran


def test_a_host_name_that_cannot_be_looked_up_proves_that_a_request_never_ran() -> None:
    # Guards against a mistyped address that keeps requests until their deadline, and slots for good.
    async def test(dispatcher: InProcessDispatcher) -> None:
        endpoint = WorkerEndpoint(api.WorkerEntry("s0"), ("127.0.0..1", 9000))
        dispatcher.table.update(api.ListKind.FULL, [endpoint])
        client = dispatcher.client()
        client.send_job("a", "order", "X-Budget: 0.4\r\n")
        await dispatcher.wait_until(lambda: client.status)
        assert client.status == 503
        assert not any(pool.opening or pool.waiting for pool in dispatcher.pools.pools.values())

    run_with_dispatcher(test, worker_count=0)


@pytest.mark.parametrize(
    "field, headers",
    [
        ("X-Call-Class", {"X-Call-Class": "none such"}),
        ("X-Call-Id", {"X-Call-Id": "two words"}),
        ("X-Budget", {"X-Budget": "soon"}),
        ("Idempotency-Key", {"Idempotency-Key": None}),
        ("X-Call-Info", {"X-Call-Info": "slots=-1"}),
    ],
)
def test_a_malformed_request_is_answered_400_and_one_line_names_the_field(
    field: str,
    headers: dict[str, str | None],
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def test(dispatcher: InProcessDispatcher) -> None:
        good: dict[str, str | None] = {
            "X-Call-Id": "a",
            "X-Call-Class": "book",
            "Idempotency-Key": "k",
            "X-Budget": "2.0",
        }
        lines = [f"{name}: {value}\r\n" for name, value in (good | headers).items() if value is not None]
        for _ in range(3):
            dispatcher.client().send(
                f"POST /api HTTP/1.1\r\n{''.join(lines)}Content-Length: 0\r\n\r\n".encode()
            )
        await dispatcher.wait_until(lambda: all(client.status for client in dispatcher.clients))
        assert [client.status for client in dispatcher.clients] == [400] * 3
        assert dispatcher.engine.counts["malformed"] == 3 and not dispatcher.engine.requests

    caplog.set_level("INFO")
    run_with_dispatcher(test)
    fields = [cast(Any, record).kv["field"] for record in caplog.records if record.message == "malformed"]
    assert set(fields) == {field} and len(fields) <= 2
