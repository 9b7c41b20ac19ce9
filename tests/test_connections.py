"""HTTP client and server connections: random steps against models of their states; no socket is opened."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from grebestack.transport import client, server
from grebestack.transport.acceptor import Acceptor, DrainScope
from grebestack.transport.connection_pool import ConnectionPool, ConnectionPools
from grebestack.transport.http_message import HttpRequest


class FakeTransport:
    """A transport that records what is written and whether it is closed."""

    def __init__(self, protocol: Any) -> None:
        self.protocol, self.written, self.closed, self.disconnected = protocol, b"", False, False
        self.write_closed = False  # by `write_eof`: the other side may go on sending
        self.unread = False  # the other side reads nothing of what is written
        self.unread_bytes = 0
        protocol.connection_made(cast(asyncio.Transport, self))

    def write(self, data: bytes) -> None:
        assert not self.closed and not self.write_closed, "written to a closed transport"
        self.written += data
        if self.unread:
            self.unread_bytes += len(data)

    def read_all(self) -> None:
        """The other side reads what is written."""
        self.unread, self.unread_bytes = False, 0
        self.protocol.resume_writing()

    def pause_reading(self) -> None:
        """The test decides what is received."""

    resume_reading = pause_reading

    def get_write_buffer_size(self) -> int:
        return self.unread_bytes

    def write_eof(self) -> None:
        assert not self.closed and not self.write_closed
        self.write_closed = True

    def is_closing(self) -> bool:
        return self.closed

    def get_extra_info(self, name: str) -> None:
        """Return None: there is no socket."""

    def close(self) -> None:
        self.closed = True

    abort = close

    def disconnect(self) -> None:
        """Report the end of the connection, once."""
        if not self.disconnected:
            self.closed = self.disconnected = True
            self.protocol.connection_lost(None)


MALFORMED = [
    b"\0 no http\r\n\r\n",
    b"POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n",
    b"POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
    b"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n",
    b"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    b"POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
    b"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    b"POST / HTTP/1.1\r\nX-Endless: " + b"x" * 20_000,
    b"POST / HTTP/1.1\r\nX-Budget: 1\r\nX-Budget: 2\r\n\r\n",
    b"POST / HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n",
    b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1000\r\n" + b"x" * 4096 + b"\r\n1000\r\n",
]


class ServerConnectionModel(RuleBasedStateMachine):
    """Requests arrive in pieces; complete ones are handled in order, one at a time, one response each."""

    def __init__(self) -> None:
        super().__init__()
        self.acceptor = Acceptor(self, max_connections=8)
        self.transport = FakeTransport(self.acceptor())
        self.connection = cast(server.Connection, self.transport.protocol)
        self.to_send = b""  # written by the client and not yet received
        self.written = self.handled = self.responses = self.disconnects = 0
        self.response_due = False
        self.is_malformed = False

    def on_request(self, connection: server.Connection, request: HttpRequest) -> None:
        assert not self.response_due, "two requests at once"
        assert request.target == b"/%d" % self.handled and request.body == b"x" * (self.handled % 7)
        self.handled += 1
        self.response_due = True

    def on_disconnect(self, connection: server.Connection) -> None:
        assert self.response_due and (self.transport.disconnected or self.is_malformed)
        self.response_due = False
        self.disconnects += 1

    @precondition(
        lambda self: not self.is_malformed and self.written - self.responses < server.MAX_PIPELINED_REQUESTS
    )
    @rule()
    def write(self) -> None:
        size = self.written % 7
        self.to_send += b"POST /%d HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (
            self.written,
            size,
            b"x" * size,
        )
        self.written += 1

    @precondition(lambda self: not self.transport.closed and self.to_send)
    @rule(size=st.integers(1, 90))
    def arrive(self, size: int) -> None:
        piece, self.to_send = self.to_send[:size], self.to_send[size:]
        self.connection.data_received(piece)

    @precondition(lambda self: not self.is_malformed and not self.to_send)
    @rule(what=st.sampled_from(MALFORMED))
    def malformed(self, what: bytes) -> None:
        self.is_malformed, self.to_send = True, what

    @rule()
    def time_passes(self) -> None:
        is_awaited = not self.response_due and self.connection in self.acceptor.awaiting_request
        for _ in range(2):  # a connection refused in the first sweep lingers until the second
            for group in (self.acceptor.awaiting_request, self.acceptor.lingering):
                for connection in group:
                    group[connection] -= 60.0
            self.acceptor.sweep()
            assert not is_awaited or self.transport.closed or self.transport.write_closed
        assert not self.transport.write_closed or self.transport.closed, "lingers forever"
        self.is_malformed = self.is_malformed or is_awaited

    @precondition(lambda self: self.response_due)
    @rule()
    def respond(self) -> None:
        self.response_due, self.responses = False, self.responses + 1
        self.connection.respond(200, b"ok")

    @rule()
    def respond_without_request(self) -> None:
        if not self.response_due:
            before = self.transport.written
            self.connection.respond(200, b"too much")
            assert self.transport.written == before

    @rule(full=st.booleans())
    def pause_or_resume_writing(self, full: bool) -> None:
        (self.connection.pause_writing if full else self.connection.resume_writing)()

    @rule()
    def disconnect(self) -> None:
        self.transport.disconnect()
        assert not self.response_due

    @rule(scope=st.sampled_from(DrainScope), becomes_client=st.booleans())
    def drain(self, scope: DrainScope, becomes_client: bool) -> None:
        # A drain can begin, widen or end at any moment.
        # A connection is found to be a client's with a request, so never while it is idle.
        self.connection.is_client = self.connection.is_client or (becomes_client and self.response_due)
        self.acceptor.drain(scope)
        idle = self.connection in self.acceptor.idle
        assert not (idle and self.acceptor.is_draining(self.connection)), "drained, and kept idle"

    @invariant()
    def each_request_gets_one_response(self) -> None:
        refusals = sum(
            self.transport.written.count(b"HTTP/1.1 %d" % status) for status in (400, 408, 413, 431)
        )
        assert self.transport.written.count(b"HTTP/1.1 200") == self.responses
        assert refusals <= int(self.is_malformed)
        if refusals:
            over = self.transport.closed or self.transport.write_closed
            assert over and self.responses + refusals == self.handled + 1 - self.disconnects
        groups = (
            self.acceptor.idle.keys(),
            self.acceptor.awaiting_request.keys(),
            self.acceptor.lingering.keys(),
        )
        known = sum(self.connection in group for group in groups)
        assert known == int(not self.response_due) if not self.transport.closed else known <= 1
        assert (
            not self.transport.write_closed
            or self.transport.closed
            or self.connection in self.acceptor.lingering
        )
        assert (self.connection in self.acceptor.connections) == (not self.transport.disconnected)


class RecordingExchange:
    """Records the calls that it gets."""

    def __init__(self, wanted: Callable[[], bool], delays_last_byte: bool = False) -> None:
        self.wanted, self.begun, self.ends = wanted, 0, list[str]()
        self.delays_last_byte, self.last_bytes = delays_last_byte, 0

    def on_connection_ready(self) -> bytes | None:
        assert not self.begun and not self.ends
        if not self.wanted():
            self.ends.append("not wanted")
            return None
        self.begun += 1
        return b"POST / HTTP/1.1\r\n\r\n"

    def before_last_byte(self) -> None:
        pass

    def on_last_byte(self) -> None:
        assert self.begun and not self.last_bytes and not self.ends
        self.last_bytes += 1

    def on_response(self, response: client.Response) -> None:
        # Guards against getting the empty response object of the next exchange on the same connection.
        assert response.status in (202, 503)
        self.ends.append("response")

    def on_not_sent(self) -> None:
        self.ends.append("not sent")

    def on_response_lost(self) -> None:
        self.ends.append("response lost")


class FakeLoop:
    """A loop whose timers fire only when a test calls them."""

    def __init__(self) -> None:
        self.timers: list[FakeTimer] = []

    def call_later(self, delay: float, call: Any, *arguments: Any) -> FakeTimer:
        self.timers.append(FakeTimer(call))
        return self.timers[-1]


class FakeTimer:
    """A delayed call."""

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        self.call = None


class FakePools(ConnectionPools):
    """Pools whose connections open or fail when the model says."""

    def __init__(self, max_connections: int) -> None:
        self.connecting: list[ConnectionPool] = []
        self.fake_loop = FakeLoop()
        super().__init__(cast(asyncio.AbstractEventLoop, self.fake_loop), max_connections, 1.0, 6.0)
        self.fake_loop.timers.clear()  # drops the sweep's timer

    def open_connection(self, pool: ConnectionPool) -> None:
        self.connecting.append(pool)


class PoolModel(RuleBasedStateMachine):
    """Each exchange is sent at most once and ends once; no more connections are open than allowed."""

    def __init__(self) -> None:
        super().__init__()
        self.pools = FakePools(max_connections=3)
        self.transports: list[FakeTransport] = []
        self.exchanges: list[tuple[ConnectionPool, RecordingExchange]] = []
        self.aborted: list[RecordingExchange] = []
        self.wanted = True

    def open_transports(self) -> list[FakeTransport]:
        return [transport for transport in self.transports if not transport.disconnected]

    @rule(port=st.integers(1, 2), delays_last_byte=st.booleans())
    def submit(self, port: int, delays_last_byte: bool = False) -> None:
        pool, exchange = (
            self.pools.pool(("127.0.0.1", port)),
            RecordingExchange(lambda: self.wanted, delays_last_byte),
        )
        self.exchanges.append((pool, exchange))
        pool.submit(exchange)

    @rule()
    def toggle_wanted(self) -> None:
        self.wanted = not self.wanted

    @precondition(lambda self: self.pools.connecting)
    @rule(outcome=st.integers(0, 4))
    def connect_ends(self, outcome: int) -> None:
        pool = self.pools.connecting.pop(0)
        if outcome:
            self.transports.append(FakeTransport(client.Connection(pool)))
        else:
            pool.on_connect_failed()

    @precondition(lambda self: self.pools.fake_loop.timers)
    @rule()
    def timer_fires(self) -> None:
        """A timer fires, such as that of a delayed last byte."""
        call = self.pools.fake_loop.timers.pop(0).call
        if call is not None:
            call()

    @precondition(lambda self: self.open_transports())
    @rule(pick=st.integers(0, 9), submissions=st.integers(0, 2))
    def accept_request(self, pick: int, submissions: int) -> None:
        """A worker accepts a request while more are submitted for it."""
        transport = self.open_transports()[pick % len(self.open_transports())]
        connection = cast(client.Connection, transport.protocol)
        for _ in range(submissions):
            self.submit(connection.pool.address[1])
        if not transport.closed and connection.exchange is not None:
            connection.data_received(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")

    @precondition(lambda self: self.open_transports())
    @rule(
        pick=st.integers(0, 9),
        answer=st.sampled_from(
            [
                b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\nok",
                b"HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
                b"HTTP/1.1 202 Acc",
                b"nonsense\r\n\r\n",
            ]
        ),
    )
    def receive(self, pick: int, answer: bytes) -> None:
        transport = self.open_transports()[pick % len(self.open_transports())]
        if not transport.closed:
            cast(client.Connection, transport.protocol).data_received(answer)

    @precondition(lambda self: len(self.open_transports()) > 1)
    @rule(pick=st.integers(0, 9))
    def disconnect(self, pick: int) -> None:
        self.open_transports()[pick % len(self.open_transports())].disconnect()

    @precondition(lambda self: self.exchanges)
    @rule(pick=st.integers(0, 99))
    def withdraw_or_abort(self, pick: int) -> None:
        pool, exchange = self.exchanges[pick % len(self.exchanges)]
        if pick % 3 == 0 and not exchange.ends and exchange not in self.aborted:
            self.aborted.append(exchange)
            if not pool.withdraw(exchange):
                pool.abort(exchange)

    @rule()
    def sweep(self) -> None:
        for pool in self.pools.pools.values():
            pool.close_idle()

    @invariant()
    def each_exchange_ends_once(self) -> None:
        for _, exchange in self.exchanges:
            assert exchange.begun <= 1 and len(exchange.ends) <= 1
            assert exchange.last_bytes <= exchange.begun
            assert not (exchange.ends in (["not sent"], ["not wanted"]) and exchange.last_bytes)
            assert not (exchange.ends == ["response lost"] and not exchange.last_bytes)
            assert not (exchange in self.aborted and exchange.ends)
        used = sum(not transport.closed for transport in self.transports) + len(self.pools.connecting)
        assert used <= self.pools.max_connections
        # If an exchange waits, a connection is opening, or is busy and will become available or end.
        for pool in self.pools.pools.values():
            assert not pool.waiting or pool.opening or pool.connections

    def teardown(self) -> None:
        """Once all connections have ended, each exchange has."""
        self.pools.max_connections = 10**6
        while self.pools.connecting or self.open_transports():
            while self.pools.connecting:
                self.pools.connecting.pop().on_connect_failed()
            for transport in self.open_transports():
                transport.disconnect()
        for _, exchange in self.exchanges:
            assert len(exchange.ends) + (exchange in self.aborted) == 1


class SilentHandler:
    """A handler that never responds."""

    def on_request(self, connection: server.Connection, request: HttpRequest) -> None:
        pass

    def on_disconnect(self, connection: server.Connection) -> None:
        pass


def test_beyond_the_limit_idle_connections_are_closed_first_and_then_new_ones_refused() -> None:
    acceptor = Acceptor(SilentHandler(), max_connections=8)

    def busy() -> FakeTransport:
        transport = FakeTransport(acceptor())
        if not transport.closed:
            transport.protocol.data_received(b"POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
        return transport

    idle, transports = FakeTransport(acceptor()), [busy() for _ in range(7)]
    transports.append(busy())
    assert idle.closed and not any(transport.closed for transport in transports)
    idle.disconnect()
    rejected, dropped = busy(), busy()
    assert cast(server.Connection, rejected.protocol).over_limit and not rejected.closed
    assert dropped.closed and not any(transport.closed for transport in transports)


def test_an_exchange_on_a_reused_connection_gets_its_own_response() -> None:
    """It starts `REUSE_DELAY_S` later, when a second response to the first one would have arrived."""
    pools = FakePools(max_connections=1)
    pool = pools.pool(("127.0.0.1", 1))
    first, second = RecordingExchange(lambda: True), RecordingExchange(lambda: True)
    pool.submit(first)
    pool.submit(second)
    transport = FakeTransport(client.Connection(pool))
    assert (first.begun, second.begun) == (1, 0)
    transport.protocol.data_received(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
    assert (first.ends, second.begun, second.ends) == (["response"], 0, [])
    cast(client.Connection, transport.protocol).reusable_at -= client.REUSE_DELAY_S
    assert (call := pools.fake_loop.timers.pop().call) is not None
    call()
    assert (first.ends, second.begun, second.ends) == (["response"], 1, [])
    transport.protocol.data_received(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
    assert (first.ends, second.ends) == (["response"], ["response"])


@pytest.mark.parametrize(
    "second_response", [b"HTTP/1.1 202 Accepted\r\n", b"HTTP/1.1 503 No\r\nX-Rejected: 1\r\n"]
)
@pytest.mark.parametrize("reusable", [True, False])
def test_a_second_response_is_never_taken_for_that_of_the_next_request(
    second_response: bytes, reusable: bool
) -> None:
    """It arrives before the next request is sent, which then goes elsewhere, or before its last byte is."""
    pools = FakePools(max_connections=3)
    pool = pools.pool(("127.0.0.1", 1))
    first, careful = RecordingExchange(lambda: True), RecordingExchange(lambda: True, delays_last_byte=True)
    pool.submit(first)
    transport = FakeTransport(client.Connection(pool))
    transport.protocol.data_received(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
    if reusable:
        cast(client.Connection, transport.protocol).reusable_at -= client.REUSE_DELAY_S
    pool.submit(careful)
    assert careful.begun == int(reusable)
    transport.protocol.data_received(second_response + b"Content-Length: 0\r\n\r\n")
    assert transport.closed and careful.ends == (["not sent"] if reusable else []) and not careful.last_bytes
    if not reusable:
        fresh = FakeTransport(client.Connection(pool))
        assert careful.begun == 1 and not fresh.closed


@pytest.mark.parametrize(
    "more_data",
    [
        b"HTTP/1.1 503 No\r\nX-Rejected: 1\r\nContent-Length: 2\r\n\r\nno",
        b"HTTP/1.1 503 N",
        b"\0 no http\r\n\r\n",
    ],
)
def test_of_two_responses_that_arrive_together_the_first_counts(more_data: bytes) -> None:
    """Guards against reporting the second: an accepted request counted as rejected and ran twice."""
    got: list[client.Response] = []

    class CollectingExchange(RecordingExchange):
        def on_response(self, response: client.Response) -> None:
            got.append(response)

    pools = FakePools(max_connections=3)
    pool, exchange = pools.pool(("127.0.0.1", 1)), CollectingExchange(lambda: True)
    pool.submit(exchange)
    transport = FakeTransport(client.Connection(pool))
    transport.protocol.data_received(b"HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\nok" + more_data)
    assert [(r.status, r.headers, r.body) for r in got] == [(202, {b"content-length": b"2"}, b"ok")]
    assert transport.closed and not exchange.ends


@pytest.mark.parametrize(
    "head, reset, ends",
    [
        (b"HTTP/1.1 202 Accepted\r\n\r\nhal", None, ["response"]),
        (b"HTTP/1.1 202 Accepted\r\n\r\nhal", ConnectionResetError(), ["response lost"]),
        (b"HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal", None, ["response lost"]),
    ],
)
def test_only_a_close_completes_a_response_without_a_length(
    head: bytes, reset: Exception | None, ends: list[str]
) -> None:
    """A reset does not, nor does any end of the connection complete a chunked response."""
    pools = FakePools(max_connections=3)
    pool, exchange = pools.pool(("127.0.0.1", 1)), RecordingExchange(lambda: True)
    pool.submit(exchange)
    transport = FakeTransport(client.Connection(pool))
    transport.protocol.data_received(head)
    transport.protocol.connection_lost(reset)
    assert exchange.ends == ends


def test_a_request_reset_before_its_delayed_last_byte_is_known_not_to_have_run() -> None:
    pools = FakePools(max_connections=3)
    pool = pools.pool(("127.0.0.1", 1))
    early, late = (
        RecordingExchange(lambda: True, delays_last_byte=True),
        RecordingExchange(lambda: True, delays_last_byte=True),
    )
    for exchange, sends_last_byte in ((early, False), (late, True)):
        pool.submit(exchange)
        transport = FakeTransport(client.Connection(pool))
        assert transport.written == b"POST / HTTP/1.1\r\n\r"
        if sends_last_byte and (call := pools.fake_loop.timers[-1].call) is not None:
            call()
        transport.disconnect()
    assert (early.ends, late.ends) == (["not sent"], ["response lost"])
    assert transport.written == b"POST / HTTP/1.1\r\n\r\n"


def test_a_stale_connection_shortens_the_keep_alive_time() -> None:
    pools = FakePools(max_connections=3)
    pool = pools.pool(("127.0.0.1", 1))

    def idle_connection(seconds: float) -> FakeTransport:
        """Return a connection that has been idle for so long."""
        pool.submit(RecordingExchange(lambda: True))
        transport = FakeTransport(client.Connection(pools.connecting.pop()))
        transport.protocol.data_received(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
        connection = cast(client.Connection, transport.protocol)
        connection.idle_since, connection.reusable_at = connection.idle_since - seconds, 0.0
        return transport

    stale = idle_connection(0.4)
    pool.submit(RecordingExchange(lambda: True))
    assert not pools.connecting
    stale.disconnect()
    idle_too_long = idle_connection(0.3)
    pool.submit(RecordingExchange(lambda: True))
    assert idle_too_long.closed and len(pools.connecting) == 1


def test_a_response_that_is_too_long_ends_its_exchange_once() -> None:
    pools = FakePools(max_connections=3)
    pools.max_body_bytes = 4
    pool, exchange = pools.pool(("127.0.0.1", 1)), RecordingExchange(lambda: True)
    pool.submit(exchange)
    transport = FakeTransport(client.Connection(pool))
    transport.protocol.data_received(b"HTTP/1.1 202 Accepted\r\nContent-Length: 5\r\n\r\nabcde")
    assert exchange.ends == ["response lost"] and transport.closed


def transport_with(acceptor: Acceptor, data: bytes) -> FakeTransport:
    transport = FakeTransport(acceptor())
    transport.protocol.data_received(data)
    return transport


def test_ambiguous_malformed_and_endless_requests_are_refused_at_once() -> None:
    # Guards against request smuggling: none of these may reach the handler.
    class Handler(SilentHandler):
        def on_request(self, connection: server.Connection, request: HttpRequest) -> None:
            raise AssertionError("handled")

    for data in MALFORMED[:-1]:
        transport = transport_with(Acceptor(Handler(), max_connections=8), data)
        assert transport.write_closed and transport.written.startswith(b"HTTP/1.1 4"), data[:60]


def test_trailers_change_nothing() -> None:
    got: list[HttpRequest] = []

    class Handler(SilentHandler):
        def on_request(self, connection: server.Connection, request: HttpRequest) -> None:
            got.append(request)

    head = b"POST / HTTP/1.1\r\nX-Call-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    transport_with(
        Acceptor(Handler(), max_connections=8),
        head + b"1\r\nx\r\n0\r\nX-Call-Id: b\r\nX-Other: c\r\n\r\n",
    )
    assert [(r.body, r.headers[b"x-call-id"], b"x-other" in r.headers) for r in got] == [(b"x", b"a", False)]


def test_a_trailer_that_never_ends_is_refused() -> None:
    # Guards memory: the parser buffers a line until it is complete.
    head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Endless: "
    transport = transport_with(Acceptor(SilentHandler(), max_connections=8), head)
    for _ in range(20):
        transport.protocol.data_received(b"x" * 1024)
    assert transport.write_closed and transport.written.startswith(b"HTTP/1.1 431") and not transport.closed
    for _ in range(server.MAX_DISCARDED_BYTES // 1024):
        transport.protocol.data_received(b"x" * 1024)
    assert transport.closed


def test_many_silent_connections_displace_each_other_and_not_served_clients() -> None:
    acceptor = Acceptor(SilentHandler(), max_connections=20)
    kept = [transport_with(acceptor, b"POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n") for _ in range(8)]
    for transport in kept:
        cast(server.Connection, transport.protocol).respond(200)
    silent = [FakeTransport(acceptor()) for _ in range(300)]
    assert not any(transport.closed for transport in kept)
    assert sum(not transport.closed for transport in silent) <= 12


def test_an_exception_in_the_handler_is_answered_with_status_500() -> None:
    class Handler(SilentHandler):
        def on_request(self, connection: server.Connection, request: HttpRequest) -> None:
            raise RuntimeError("a fault")

    transport = transport_with(Acceptor(Handler(), max_connections=8), b"GET / HTTP/1.1\r\n\r\n")
    assert transport.written.startswith(b"HTTP/1.1 500")


TestServerConnection = ServerConnectionModel.TestCase
TestPool = PoolModel.TestCase


def test_a_connection_with_a_queued_request_and_paused_writing_stays_in_a_group_of_the_acceptor() -> None:
    # The client pipelines two requests and stops reading. After the first response the second stays queued,
    # and the connection is in no group: neither a timeout nor the limit of connections can close it.
    model = ServerConnectionModel()
    for _ in range(2):
        model.write()
        model.arrive(size=90)
    model.pause_or_resume_writing(full=True)
    model.respond()
    model.each_request_gets_one_response()


class RecordingHandler:
    """Records requests and responds to each at once."""

    def __init__(self) -> None:
        self.requests: list[HttpRequest] = []

    def on_request(self, connection: server.Connection, request: HttpRequest) -> None:
        self.requests.append(request)
        connection.respond(200)

    def on_disconnect(self, connection: server.Connection) -> None:
        pass


def test_blanks_around_a_header_value_are_removed_however_the_data_is_split() -> None:
    # Guards clients that write `X-Call-Class: order ` with a trailing blank: they were answered 400.
    data = b"POST /api HTTP/1.1\r\nX-Call-Class:\t order \t\r\nContent-Length: 2 \r\n\r\nhi"
    for size in (1, 3, len(data)):
        handler = RecordingHandler()
        transport = FakeTransport(Acceptor(handler, max_connections=8)())
        for at in range(0, len(data), size):
            transport.protocol.data_received(data[at : at + size])
        (got,) = handler.requests
        assert got.headers == {b"x-call-class": b"order", b"content-length": b"2"} and got.body == b"hi"


def test_a_response_may_arrive_byte_by_byte_with_blanks() -> None:
    pool = cast(
        Any, SimpleNamespace(pools=SimpleNamespace(max_body_bytes=99), on_first_byte=lambda seconds: None)
    )
    pool.on_connected = pool.on_available = pool.on_closed = lambda connection: None
    connection, got = client.Connection(pool), list[client.Response]()
    transport = FakeTransport(connection)
    exchange = cast(
        Any, SimpleNamespace(delays_last_byte=False, on_last_byte=lambda: None, on_response=got.append)
    )
    connection.start(exchange, b"x")
    for byte in b"HTTP/1.1 503 Busy\r\nX-Rejected: 1 \r\nContent-Length: 2\t\r\n\r\nno":
        connection.data_received(bytes([byte]))
    assert [(r.status, r.headers[b"x-rejected"], r.body) for r in got] == [(503, b"1", b"no")]
    assert not transport.closed


# Faults need only be found, so the failing steps are not minimized.
FIND_FAULT = settings(derandomize=True, deadline=None, max_examples=300, phases=[Phase.generate])


@pytest.mark.parametrize("fault", ["responds twice", "handles two requests at once", "lingers forever"])
def test_the_server_connection_model_finds_faults(
    fault: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    if fault == "responds twice":
        respond = server.Connection.respond

        def respond_twice(
            self: server.Connection, status: int, body: bytes = b"", headers: bytes = b""
        ) -> None:
            respond(self, status, body, headers)
            if status == 408 and self.transport is not None:
                self.transport.write(b"HTTP/1.1 408 Again\r\n\r\n")

        monkeypatch.setattr(server.Connection, "respond", respond_twice)
    elif fault == "handles two requests at once":

        def handle_at_once(self: server.Connection, request: HttpRequest) -> None:
            self.busy = True
            self.acceptor.on_busy(self)
            self.acceptor.handler.on_request(self, request)

        monkeypatch.setattr(server.Connection, "on_request_received", handle_at_once)
    else:
        monkeypatch.setattr(Acceptor, "on_lingering", lambda self, connection: None)
    with pytest.raises((AssertionError, ExceptionGroup)):
        run_state_machine_as_test(ServerConnectionModel, settings=FIND_FAULT)


@pytest.mark.parametrize("fault", ["sends twice", "opens too many", "forgets a waiting exchange"])
def test_the_pool_model_finds_faults(
    fault: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    if fault == "sends twice":
        on_closed = ConnectionPool.on_closed

        def resend(self: ConnectionPool, connection: client.Connection) -> None:
            if connection.exchange is not None:
                self.waiting.append(connection.exchange)
            on_closed(self, connection)

        monkeypatch.setattr(
            client.Connection, "detach_exchange", lambda self: (self.exchange, bool(self.delayed_byte))
        )
        monkeypatch.setattr(ConnectionPool, "on_closed", resend)
    elif fault == "opens too many":
        monkeypatch.setattr(ConnectionPools, "make_room", lambda self: True)
    else:
        monkeypatch.setattr(ConnectionPool, "on_connect_failed", lambda self: None)
    with pytest.raises((AssertionError, ExceptionGroup)):
        run_state_machine_as_test(PoolModel, settings=FIND_FAULT)
