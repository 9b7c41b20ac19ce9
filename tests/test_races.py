"""Two events that cross, in the bad order every time, on real connections; see docs/crossings.md."""

from __future__ import annotations

import asyncio
import socket
from typing import Any, NamedTuple, cast

import pytest

from grebestack.core import api
from grebestack.core.api import Outcome
from grebestack.routing.requests import AttemptStage
from grebestack.transport import client as transport
from tests.loop_dispatcher import WAIT_TIMEOUT_S, Client, InProcessDispatcher, Peer, run_with_dispatcher

TCP_CLOSED = 7  # as the system numbers the states of a connection
TAKEN = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"


# The client leaves.


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("job_class", ["view", "book", "order"])
def test_nothing_is_sent_for_a_client_that_disconnected_while_a_connection_was_opened(
    cancel: bool,
    job_class: str,
) -> None:
    """Where the settings forbid to give up, the job was sent as soon as the connection was up."""

    async def test(stage: InProcessDispatcher) -> None:
        stage.pools.gate.clear()
        caller, (peer,) = stage.client(), stage.peers
        caller.send_job("a", job_class)
        await stage.wait_until(lambda: stage.engine.counts["dispatches"] == 1)
        caller.close()
        await stage.wait_until(lambda: stage.engine.counts["gone"] == 1)
        stage.pools.gate.set()
        other = stage.client()  # a job behind it shows that the connection has come up
        other.send_job("b", "view")
        await stage.wait_until(lambda: any(b"X-Call-Id: b" in data for data in peer.complete_requests()))
        await stage.run_loop()
        peer.read_available()
        assert not any(b"X-Call-Id: a" in data for data in peer.received.values())

    run_with_dispatcher(test, cancel=cancel)


@pytest.mark.parametrize("cancel", [True, False])
def test_the_delayed_last_byte_is_not_sent_after_the_client_has_disconnected(
    cancel: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(transport, "INITIAL_ROUND_TRIP_S", 0.2)  # its last byte is held for 0.3 s

    async def test(stage: InProcessDispatcher) -> None:
        caller, (peer,) = stage.client(), stage.peers
        caller.send_job("a", "order", body=b"last byte: !")
        await stage.wait_until(lambda: any(b"last byte: " in data for data in peer.complete_requests()))
        caller.close()
        await stage.wait_until(lambda: stage.engine.counts["gone"] == 1)
        await stage.wait_until(lambda: peer.complete_requests() and peer.ended)
        assert not any(b"!" in data for data in peer.received.values())

    run_with_dispatcher(test, cancel=cancel)


@pytest.mark.parametrize("cancel", [True, False])
def test_no_retry_if_the_client_disconnects_in_the_turn_in_which_its_attempt_is_reset(cancel: bool) -> None:
    async def test(stage: InProcessDispatcher) -> None:
        caller, peers = stage.client(), stage.peers
        caller.send_job("a", "book")
        await stage.wait_until(lambda: any(peer.complete_requests() for peer in peers))
        first = next(peer for peer in peers if peer.received)
        first.reset(0)
        caller.close()
        await stage.wait_until(lambda: stage.engine.counts["gone"] == 1)
        await stage.run_loop()
        sends = [data for peer in peers for data in peer.complete_requests() if data.startswith(b"POST")]
        assert len(sends) + (stage.engine.counts["dispatches"] - 1) <= 2
        later = stage.engine.counts["dispatches"]
        await asyncio.sleep(0.15)
        assert stage.engine.counts["dispatches"] == later and not stage.engine.requests

    run_with_dispatcher(test, worker_count=2, cancel=cancel)


def test_a_request_cancelled_while_its_connection_is_opened_is_not_sent() -> None:
    async def test(stage: InProcessDispatcher) -> None:
        stage.pools.gate.clear()
        caller, (peer,) = stage.client(), stage.peers
        caller.send_job("a", "order")
        await stage.wait_until(lambda: stage.engine.counts["dispatches"] == 1)
        stage.engine.cancel_request(stage.engine.open_by_call_id["a"])
        stage.pools.gate.set()
        await stage.wait_until(lambda: caller.status)
        await stage.run_loop()
        assert caller.status == 502 and not peer.complete_requests()

    run_with_dispatcher(test)


# Orders and keys.


def test_a_retry_whose_connection_opens_after_the_retry_window_is_not_sent() -> None:
    """The window was looked at when the repeat was decided on, and its connection came up later."""

    async def test(stage: InProcessDispatcher) -> None:
        caller, peers = stage.client(), stage.peers
        caller.send_job("a", "book")
        await stage.wait_until(lambda: any(peer.complete_requests() for peer in peers))
        stage.pools.gate.clear()
        next(peer for peer in peers if peer.received).reset(0)
        await stage.wait_until(lambda: stage.engine.counts["dispatches"] == 2)
        await asyncio.sleep(0.35)  # the window is over
        stage.pools.gate.set()
        await stage.wait_until(lambda: caller.status)
        assert sum(len(peer.complete_requests()) for peer in peers) == 1
        assert caller.status in (502, 503)

    run_with_dispatcher(test, worker_count=2, retry_window_ms=300.0)


class IdleConnection(NamedTuple):
    """A kept connection to the first server, at rest; only that server is listed as ready."""

    warm: Client
    caller: Client
    peer: Peer
    other: Peer
    transport: asyncio.Transport


async def idle_connection(stage: InProcessDispatcher) -> IdleConnection:
    warm, caller, (peer, other) = stage.client(), stage.client(), stage.peers
    stage.set_worker_states(["Ready", "Terminating"])
    warm.send_job("warm")
    await stage.wait_until(lambda: peer.complete_requests())
    peer.send(0, TAKEN)
    await stage.wait_until(lambda: any(pool.idle for pool in stage.pools.pools.values()))
    stage.call_back("warm", "s0", result="r")
    await asyncio.sleep(2 * transport.REUSE_DELAY_S)
    ((kept,),) = [pool.idle for pool in stage.pools.pools.values() if pool.idle]
    assert kept.transport is not None
    return IdleConnection(warm, caller, peer, other, kept.transport)


def is_reset(connection: asyncio.Transport) -> bool:
    """Whether the system has a connection down as ended, be that read or not."""
    info = connection.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    return bool(info[0] == TCP_CLOSED)


async def assert_runs_at_the_other_server(stage: InProcessDispatcher, idle: IdleConnection) -> None:
    """The order is known not to have run at the first server, and runs once."""
    await stage.wait_until(lambda: stage.engine.counts["connect_failed"] == 1)
    stage.set_worker_states(["Ready", "Ready"])
    await stage.wait_until(lambda: idle.other.complete_requests())
    stage.call_back("a", "s1", result="r")
    await stage.wait_until(lambda: idle.caller.status == 200)
    assert len(idle.peer.complete_requests()) == 1 and stage.engine.counts["dispatches"] == 3
    assert len(idle.other.complete_requests()) == 1


def test_a_request_written_to_an_idle_connection_that_its_worker_has_reset_runs_once() -> None:
    # Guards against an order counted as perhaps run: the reset lies unread while the order is written.
    async def test(stage: InProcessDispatcher) -> None:
        idle = await idle_connection(stage)
        idle.transport.pause_reading()
        idle.peer.reset(0)
        await stage.wait_until(lambda: is_reset(idle.transport))
        idle.caller.send_job("a", "order")
        await assert_runs_at_the_other_server(stage, idle)

    run_with_dispatcher(test, worker_count=2)


def test_a_request_whose_idle_connection_is_reset_before_its_last_byte_runs_once() -> None:
    # Guards against an order counted as perhaps run: the reset comes while the last byte is held back.
    async def test(stage: InProcessDispatcher) -> None:
        idle = await idle_connection(stage)
        (pool,) = [pool for pool in stage.pools.pools.values() if pool.idle]
        pool.round_trip_s = 2 * WAIT_TIMEOUT_S  # the last byte waits for longer than this test
        idle.caller.send_job("a", "order")
        await stage.wait_until(lambda: any(b"X-Call-Id: a" in data for data in idle.peer.complete_requests()))
        idle.peer.reset(0)
        pool.round_trip_s = transport.INITIAL_ROUND_TRIP_S
        await assert_runs_at_the_other_server(stage, idle)

    run_with_dispatcher(test, worker_count=2)


def test_a_request_that_arrives_after_the_reset_was_seen_runs_once_on_a_new_connection() -> None:
    # Guards against an order that is lost with a connection which is known to have ended.
    async def test(stage: InProcessDispatcher) -> None:
        idle = await idle_connection(stage)
        idle.peer.reset(0)
        await stage.wait_until(lambda: not any(pool.connections for pool in stage.pools.pools.values()))
        idle.caller.send_job("a", "order")
        await stage.wait_until(lambda: any(b"X-Call-Id: a" in data for data in idle.peer.complete_requests()))
        stage.set_worker_states(["Ready", "Ready"])
        await stage.wait_until(lambda: idle.peer.complete_requests()[-1].endswith(b"body"))
        idle.peer.send(1, TAKEN)
        stage.call_back("a", "s0", result="r")
        await stage.wait_until(lambda: idle.caller.status == 200)
        await stage.run_loop()
        assert len(idle.peer.complete_requests()) == 2 and not idle.other.complete_requests()
        assert stage.engine.counts["connect_failed"] == 0 and stage.engine.counts["dispatches"] == 2

    run_with_dispatcher(test, worker_count=2)


def test_a_worker_whose_202_crosses_a_cancel_is_sent_the_cancel_and_no_other_attempt() -> None:
    """The end of a connection is a give-up before the 202 alone: the job ran on beside its repeat."""

    async def test(stage: InProcessDispatcher) -> None:
        caller, (peer,) = stage.client(), stage.peers
        caller.send_job("a", "book")
        await stage.wait_until(lambda: peer.complete_requests())
        (dispatch,) = stage.engine.open_by_call_id["a"].attempts
        peer.send(0, TAKEN)  # it lies unread while the dispatcher gives up
        stage.engine._cancel_attempt(dispatch.request, api.Cancel(dispatch.request.number, 0))
        await stage.wait_until(lambda: any(b"DELETE /jobs/a " in data for data in peer.complete_requests()))
        await stage.run_loop()
        sends = [data for data in peer.complete_requests() if data.startswith(b"POST")]
        assert len(sends) == 1, "a copy beside a give-up that is not answered"

    run_with_dispatcher(test)


@pytest.mark.parametrize(
    "said",
    [
        b"HTTP/1.1 204 No Content\r\n\r\n",
        b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n",
    ],
)
def test_an_accepted_request_is_retried_elsewhere_once_its_worker_has_cancelled_it(said: bytes) -> None:
    """Where copies are forbidden: never before, and not at all if the server says no."""

    async def test(stage: InProcessDispatcher) -> None:
        caller, peers = stage.client(), stage.peers
        caller.send_job("a", "view")
        await stage.wait_until(lambda: any(peer.complete_requests() for peer in peers))
        first = 0 if peers[0].received else 1
        peers[first].send(0, TAKEN)
        await stage.wait_until(
            lambda: stage.engine.open_by_call_id["a"].open_attempts()[0].stage is AttemptStage.ACCEPTED
        )
        number = stage.engine.open_by_call_id["a"].number
        stage.engine._execute(api.Cancel(number, 0, at_once=False))
        await stage.wait_until(
            lambda: any(b"DELETE /jobs/a " in data for data in peers[first].complete_requests())
        )
        await stage.run_loop()
        assert not peers[1 - first].complete_requests() and stage.engine.counts["dispatches"] == 1
        on = next(n for n, data in peers[first].received.items() if b"DELETE" in data)
        peers[first].send(on, said)
        if b"204" in said:
            await stage.wait_until(lambda: peers[1 - first].complete_requests())
            stage.call_back("a", f"s{first}", result="of the one that gave it up")
            stage.call_back("a", f"s{1 - first}", result="r")
        else:
            await stage.run_loop()
            assert not peers[1 - first].complete_requests()
            stage.call_back("a", f"s{first}", result="r")
        await stage.wait_until(lambda: caller.status == 200)
        assert caller.received.endswith(b"\r\n\r\nr")

    run_with_dispatcher(test, worker_count=2, reports_attempt_start=True)


# A server's answers and call-backs.


def test_call_backs_before_the_202_repeated_or_from_another_worker_end_a_request_once() -> None:
    async def test(stage: InProcessDispatcher) -> None:
        caller, (peer, _) = stage.client(), stage.peers
        stage.set_worker_states(["Ready", "Terminating"])
        caller.send_job("a", "order")
        await stage.wait_until(lambda: peer.complete_requests())
        stage.call_back("a", "s1", result="wrong")
        await stage.wait_until(
            lambda: stage.engine.open_by_call_id["a"].open_attempts()[0].stage is AttemptStage.WRITTEN
        )
        stage.call_back("a", "s0", result="right")
        stage.call_back("a", "s0", "failed")
        peer.send(0, TAKEN)
        await stage.wait_until(lambda: caller.status)
        stage.call_back("a", "s0", "lost")
        await stage.run_loop()
        assert caller.read_available().count(b"HTTP/1.1") == 1 and caller.received.endswith(b"right")

    run_with_dispatcher(test, worker_count=2)


def test_a_reset_after_the_202_does_not_end_the_request() -> None:
    async def test(stage: InProcessDispatcher) -> None:
        caller, (peer,) = stage.client(), stage.peers
        caller.send_job("a", "order")
        await stage.wait_until(lambda: peer.complete_requests())
        await stage.wait_until(
            lambda: stage.engine.open_by_call_id["a"].open_attempts()[0].stage is AttemptStage.WRITTEN
        )
        peer.send(0, TAKEN)
        await stage.wait_until(
            lambda: stage.engine.open_by_call_id["a"].open_attempts()[0].stage is AttemptStage.ACCEPTED
        )
        peer.reset(0)
        await stage.wait_until(lambda: not any(pool.connections for pool in stage.pools.pools.values()))
        stage.call_back("a", "s0", result="r")
        await stage.wait_until(lambda: caller.status == 200)
        assert stage.engine.counts["dispatches"] == 1

    run_with_dispatcher(test)


def test_a_202_before_the_last_byte_is_written_does_not_count(monkeypatch: pytest.MonkeyPatch) -> None:
    """What is left of an answer before: the order counted as taken and was waited for until its deadline."""
    monkeypatch.setattr(transport, "INITIAL_ROUND_TRIP_S", 0.2)

    async def test(stage: InProcessDispatcher) -> None:
        caller, peers = stage.client(), stage.peers
        caller.send_job("a", "order", body=b"last byte: !")
        await stage.wait_until(lambda: any(peer.complete_requests() for peer in peers))
        first = 0 if peers[0].received else 1
        await stage.wait_until(lambda: peers[first].complete_requests()[0].endswith(b"last byte: "))
        peers[first].send(0, TAKEN)
        await stage.wait_until(lambda: any(b"!" in data for data in peers[1 - first].complete_requests()))
        assert b"!" not in peers[first].received[0] and stage.engine.counts["dispatches"] == 2
        stage.call_back("a", f"s{1 - first}", result="r")
        await stage.wait_until(lambda: caller.status == 200)

    run_with_dispatcher(test, worker_count=2)


def test_a_connection_that_opens_in_the_turn_of_its_timeout_keeps_its_request() -> None:
    """The loop closes what it opens for a task that is cancelled, though a request has gone on it."""

    async def test(stage: InProcessDispatcher) -> None:
        loop, opened = stage.loop, stage.loop.create_connection

        async def slow(*arguments: Any, **more: Any) -> Any:
            made = await opened(*arguments, **more)
            try:
                await asyncio.sleep(0.2)  # up, and its first request sent; the task has yet to hear of it
            except asyncio.CancelledError:
                made[0].close()
                raise
            return made

        stage.pools.loop = cast(Any, _Loop(loop, slow))
        stage.pools.connect_timeout_s = 0.1
        caller, (peer,) = stage.client(), stage.peers
        caller.send_job("a", "book")
        await stage.wait_until(lambda: peer.complete_requests())
        await asyncio.sleep(0.3)
        peer.read_available()
        assert not peer.ended and stage.engine.counts["reset"] == 0
        stage.call_back("a", "s0", result="r")
        await stage.wait_until(lambda: caller.status == 200)

    run_with_dispatcher(test)


class _Loop:
    """A loop whose connections are opened by another call."""

    def __init__(self, loop: asyncio.AbstractEventLoop, create_connection: Any) -> None:
        self.loop, self.create_connection = loop, create_connection

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)


def test_a_drain_reported_while_a_connection_is_opened_stops_the_attempt() -> None:
    async def test(stage: InProcessDispatcher) -> None:
        stage.pools.gate.clear()
        caller = stage.client()
        caller.send_job("a", "book")
        await stage.wait_until(lambda: stage.engine.counts["dispatches"] == 1)
        first = int(stage.engine.open_by_call_id["a"].attempts[0].worker[1:])
        stage.set_worker_states("Terminating" if n == first else "Ready" for n in range(2))
        stage.pools.gate.set()
        other = stage.peers[1 - first]
        await stage.wait_until(lambda: other.complete_requests())
        assert not stage.peers[first].complete_requests()

    run_with_dispatcher(test, worker_count=2)


# Our closes.


def test_a_client_reads_why_its_request_is_refused_though_the_rest_of_it_is_unread() -> None:
    """A close over unread bytes resets the connection, and the answer goes with it."""

    async def test(stage: InProcessDispatcher) -> None:
        caller = stage.client()
        caller.send(b"POST /api HTTP/1.1\r\n")
        connection = await accepted(stage)
        await stage.wait_until(lambda: connection.request_begun)
        caller.send(b"x" * 60_000)  # lies in the kernel while the head comes to its end:
        connection.data_received(b"Content-Length: 200000\r\n\r\n")
        await stage.wait_until(lambda: caller.status == 413)
        await stage.wait_until(lambda: caller.read_available() and caller.close_reason)
        assert caller.close_reason == "closed"

    run_with_dispatcher(test)


async def accepted(stage: InProcessDispatcher) -> Any:
    await stage.wait_until(lambda: stage.acceptor.connections)
    (connection,) = stage.acceptor.connections
    return connection


def test_unread_bytes_after_the_last_request_do_not_destroy_its_response() -> None:
    async def test(stage: InProcessDispatcher) -> None:
        caller, (peer,) = stage.client(), stage.peers
        caller.send_job("a", "view", "Connection: close\r\n")
        await stage.wait_until(lambda: peer.complete_requests())
        caller.send(b"POST /api HTTP/1.1\r\n")  # lies in the kernel while the answer goes:
        stage.call_back("a", "s0", result="r" * 30_000)
        await stage.run_loop()
        assert caller.status == 200
        await stage.wait_until(lambda: caller.read_available() and caller.close_reason)
        assert caller.close_reason == "closed" and caller.received.endswith(b"r" * 30_000)
        caller.close()
        await stage.wait_until(lambda: not stage.acceptor.connections)

    run_with_dispatcher(test)


def test_a_request_that_is_unread_when_its_idle_connection_is_closed_is_not_handled() -> None:
    """Its client is met by a reset and may send it once more; nothing of it is handed on."""

    async def test(stage: InProcessDispatcher) -> None:
        caller, (peer,) = stage.client(), stage.peers
        caller.send_job("a")
        await stage.wait_until(lambda: peer.complete_requests())
        stage.call_back("a", "s0", result="r")
        await stage.wait_until(lambda: caller.status == 200)
        connection = await accepted(stage)
        await stage.wait_until(lambda: connection in stage.acceptor.idle)
        caller.send_job("b")
        connection.close()
        await stage.wait_until(lambda: caller.read_available() and caller.close_reason)
        assert caller.close_reason == "reset" and stage.engine.counts["sessions"] == 1

    run_with_dispatcher(test)


def test_an_incomplete_request_is_answered_503_when_its_connection_is_evicted() -> None:
    async def test(stage: InProcessDispatcher) -> None:
        caller = stage.client()
        caller.send(b"POST /api HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf")
        connection = await accepted(stage)
        await stage.wait_until(lambda: connection.request_begun)
        stage.acceptor.set_max_connections(1)
        stage.client()
        await stage.wait_until(lambda: caller.status)
        assert caller.status == 503

    run_with_dispatcher(test)


def test_a_client_that_sends_endlessly_after_its_last_response_is_disconnected() -> None:
    async def test(stage: InProcessDispatcher) -> None:
        caller, (peer,) = stage.client(), stage.peers
        caller.send_job("a", "view", "Connection: close\r\n")
        await stage.wait_until(lambda: peer.complete_requests())
        stage.call_back("a", "s0", result="r")
        await stage.wait_until(lambda: caller.status == 200)

        def flood() -> bool:
            try:
                caller.send(b"x" * 65_536)
            except BlockingIOError:
                pass
            except ConnectionError:
                return True
            return False

        await stage.wait_until(flood)
        await stage.wait_until(lambda: not stage.acceptor.connections)

    run_with_dispatcher(test)


# Bad input.


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
    """A share or a load of hundreds of digits was an OverflowError, and its job stayed open."""

    async def test(stage: InProcessDispatcher) -> None:
        caught: list[Any] = []
        stage.loop.set_exception_handler(lambda loop, context: caught.append(context))
        caller, (peer,) = stage.client(), stage.peers
        caller.send_job("a", "order")
        await stage.wait_until(lambda: peer.complete_requests())
        await stage.wait_until(
            lambda: stage.engine.open_by_call_id["a"].open_attempts()[0].stage is AttemptStage.WRITTEN
        )
        runner = stage.client()
        runner.send(b"POST /callback HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        await stage.wait_until(lambda: runner.status)
        assert runner.status in (204, 400) and not caught
        said = [record for record in caplog.records if record.message == "bad_call_back"]
        assert len(said) == 1 or runner.status == 204, "one line names field and value"
        assert all({"field", "value"} <= cast(Any, record).kv.keys() for record in said)
        stage.call_back("a", "s0", result="r")
        await stage.wait_until(lambda: caller.status)

    caplog.set_level("INFO")
    run_with_dispatcher(test)
    assert not [record for record in caplog.records if record.exc_info], caplog.text


def test_a_failed_connect_proves_that_a_request_never_ran_and_a_reset_does_not() -> None:
    assert Outcome.CONNECT_FAILED.never_ran and not Outcome.RESET.never_ran


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
    async def test(stage: InProcessDispatcher) -> None:
        good: dict[str, str | None] = {
            "X-Call-Id": "a",
            "X-Call-Class": "book",
            "Idempotency-Key": "k",
            "X-Budget": "2.0",
        }
        lines = [f"{name}: {value}\r\n" for name, value in (good | headers).items() if value is not None]
        for _ in range(3):
            stage.client().send(f"POST /api HTTP/1.1\r\n{''.join(lines)}Content-Length: 0\r\n\r\n".encode())
        await stage.wait_until(lambda: all(caller.status for caller in stage.clients))
        assert [caller.status for caller in stage.clients] == [400] * 3
        assert stage.engine.counts["malformed"] == 3 and not stage.engine.requests

    caplog.set_level("INFO")
    run_with_dispatcher(test)
    said = [cast(Any, record).kv["field"] for record in caplog.records if record.message == "malformed"]
    assert set(said) == {field} and len(said) <= 2
