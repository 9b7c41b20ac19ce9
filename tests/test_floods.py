"""Clients that send too much or at full speed, or have left: memory, turns of the loop, what is sent on."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import gc
import socket
import time
import weakref
from collections.abc import Callable
from typing import Any, cast

import pytest
import uvloop

from grebestack.program.client_listener import ClientListener
from grebestack.program.config.model import Config
from grebestack.protocol import recent_call_ids
from grebestack.transport import server, turns
from grebestack.transport.acceptor import Acceptor
from grebestack.transport.http_message import HttpRequest
from grebestack.transport.request_parser import MAX_HEADER_FIELDS
from tests.loop_dispatcher import InProcessDispatcher, run_with_dispatcher, settings
from tests.ports import reserved_port
from tests.process_memory import memory_mb, taken_bytes
from tests.standins import PLATFORM_CONFIG, Address, DispatcherTestbed, reports_ready, wait_until
from tests.test_connections import FakeTransport, RecordingHandler, SilentHandler

MEMORY_MB = 192
SMALL_MEMORY_MB = 64
SETTLED_GROWTH_MB = 10.0
MAX_FIRST_STEP_BYTES = 4096  # of a request, before others that have cost less get their turn
DISPATCHER_WITHOUT_ACCOUNT = """
import runpy
from grebestack.transport.acceptor import Acceptor
Acceptor.on_held_bytes_changed = lambda self, change: None
runpy.run_module("grebestack", run_name="__main__")
"""
CONNECTION_OVERHEAD_BYTES = 4096  # of memory, without a request
FLOOD_CONNECTIONS = 600
PIPELINED = 2000
SMALL_REQUEST = b"GET /x HTTP/1.1\r\n\r\n"
MAX_REQUESTS_AT_ONCE = server.MAX_REQUESTS_PER_TURN + server.PARSED_AT_ONCE_BYTES // len(SMALL_REQUEST) + 1
BODY = b"x" * 60_000


def connection_of(transport: FakeTransport) -> server.Connection:
    return cast(server.Connection, transport.protocol)


def half_request(size: int) -> bytes:
    """A request whose body of this size is complete up to its last byte."""
    return b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (size, b"x" * (size - 1))


# Memory.


@pytest.mark.parametrize("line", [b"%d:\r\n", b"x%d: and more\r\n"])
def test_a_head_of_very_many_short_fields_is_refused(line: bytes) -> None:
    # Guards memory: a field takes far more than its bytes.
    acceptor = Acceptor(SilentHandler(), max_connections=8)
    transport = FakeTransport(acceptor())
    head = b"POST / HTTP/1.1\r\n" + b"".join(line % number for number in range(3000))
    for at in range(0, len(head), 1000):
        transport.protocol.data_received(head[at : at + 1000])
    assert transport.written.startswith(b"HTTP/1.1 431") and transport.write_closed
    assert acceptor.held_bytes == 0 and len(connection_of(transport).parser.request.headers) == 0


def test_a_head_of_as_many_fields_as_are_allowed_is_handled() -> None:
    handler = RecordingHandler()
    fields = b"".join(b"x%d: 1\r\n" % number for number in range(MAX_HEADER_FIELDS))
    transport = FakeTransport(Acceptor(handler, max_connections=8)())
    transport.protocol.data_received(b"GET / HTTP/1.1\r\n" + fields + b"\r\n")
    assert len(handler.requests) == 1 and transport.written.startswith(b"HTTP/1.1 200")


def test_incomplete_requests_hold_no_more_memory_than_allowed() -> None:
    # Guards memory: many connections, each within its own limits, together fill it. The slowest are refused.
    acceptor = Acceptor(SilentHandler(), max_connections=100)
    acceptor.set_max_held_bytes(1_000_000)
    transports = []
    for _ in range(40):
        transports.append(FakeTransport(acceptor()))
        transports[-1].protocol.data_received(half_request(60_000))
        assert acceptor.held_bytes <= 1_000_000
    refused = [transport.written.startswith(b"HTTP/1.1 503") for transport in transports]
    assert refused == sorted(refused, reverse=True) and 20 < sum(refused) < 30
    for transport in transports:
        transport.disconnect()
    assert acceptor.held_bytes == 0


def test_requests_behind_one_that_is_handled_count_as_held_memory() -> None:
    # Guards memory, and against a 503 for the request that is handled: it may have run.
    acceptor = Acceptor(SilentHandler(), max_connections=100)
    acceptor.set_max_held_bytes(200_000)
    transport = FakeTransport(acceptor())
    transport.protocol.data_received(half_request(60_000) + b"x")
    other = FakeTransport(acceptor())
    other.protocol.data_received(half_request(60_000) + b"x")
    transport.protocol.data_received(half_request(60_000) + b"x")
    assert not transport.written and not acceptor.is_memory_full
    transport.protocol.data_received(half_request(60_000))
    assert transport.written.startswith(b"HTTP/1.1 400") and not other.written
    assert acceptor.held_bytes < 130_000


def test_a_job_is_refused_while_accepted_ones_hold_all_memory() -> None:
    async def test(dispatcher: InProcessDispatcher) -> None:
        dispatcher.set_worker_states(["Terminating"])
        dispatcher.acceptor.set_max_held_bytes(0)  # two of the largest bodies
        clients = [dispatcher.client() for _ in range(3)]
        for number, client in enumerate(clients):
            client.send_job(f"job-{number}", "order", body=BODY)
            await dispatcher.run_loop()
        await dispatcher.wait_until(lambda: any(client.status for client in clients))
        assert [client.status for client in clients] == [0, 0, 503]
        assert len(dispatcher.engine.open_by_call_id) == 2

    run_with_dispatcher(test)


def send_on_many_connections(address: Address, pieces: list[bytes]) -> list[socket.socket]:
    """Send the pieces in turn on many connections; some may be ended meanwhile."""
    sockets = [socket.create_connection(address, 20.0) for _ in range(FLOOD_CONNECTIONS)]
    for piece in pieces:
        for sock in sockets:
            with contextlib.suppress(OSError):
                sock.sendall(piece)
    return sockets


def flood(address: Address, pieces: list[bytes]) -> None:
    """Send the pieces on many connections, and wait until each has had its response or its end."""
    for sock in send_on_many_connections(address, pieces):
        with contextlib.suppress(OSError):
            sock.recv(1)
        sock.close()


MANY_FIELDS = [b"POST /api HTTP/1.1\r\n", *[b"".join(b"%x:\r\n" % n for n in range(3000))] * 3]
HALF_BODY = [
    b"POST /api HTTP/1.1\r\nX-Call-Id: a\r\nX-Call-Class: order\r\nContent-Length: 64000\r\n\r\n",
    BODY,
]


CHUNKED = b"POST /api HTTP/1.1\r\nX-Call-Id: a\r\nX-Call-Class: order\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunks(size: int) -> bytes:
    """The body in chunks of a size, without its end."""
    return (b"%x\r\n%s\r\n" % (size, b"x" * size)) * (len(BODY) // size)


def four_pieces(data: bytes) -> list[bytes]:
    size = len(data) // 4 + 1
    return [data[at : at + size] for at in range(0, len(data), size)]


UNFINISHED = {
    "idle": [],
    "half a body": [HALF_BODY[0], BODY],
    "a body of two bytes at a time": [HALF_BODY[0], *[b"xy"] * 8000],
    "chunks of 1": [CHUNKED, *four_pieces(chunks(1))],
    "chunks of 2": [CHUNKED, *four_pieces(chunks(2))],
    "chunks of 16": [CHUNKED, *four_pieces(chunks(16))],
    "many fields": [b"POST /api HTTP/1.1\r\n" + b"".join(b"field-%d: value\r\n" % n for n in range(99))],
    "a long field": [b"POST /api HTTP/1.1\r\nX-Long: " + b"v" * 15_000],
    "a long target": [b"POST /" + b"u" * 15_000],
    "a long extension": [CHUNKED + b"2;" + b"e" * 15_000],
    "behind a request": [HALF_BODY[0].replace(b"64000", b"2") + b"ok" + CHUNKED, *four_pieces(chunks(4))],
}


@pytest.mark.parametrize("pieces", UNFINISHED.values(), ids=UNFINISHED.keys())
def test_memory_that_is_counted_for_unfinished_requests_is_what_they_take(pieces: list[bytes]) -> None:
    # Guards against a count of bytes in the place of memory: objects and unfinished lines take it too.
    acceptor = Acceptor(SilentHandler(), max_connections=100)

    def hold() -> list[FakeTransport]:
        transports = [FakeTransport(acceptor()) for _ in range(20)]
        for transport in transports:
            for piece in pieces:
                transport.protocol.data_received(piece)
        return transports

    hold()
    acceptor = Acceptor(SilentHandler(), max_connections=100)
    assert taken_bytes(hold) <= 1.25 * (acceptor.held_bytes + 20 * CONNECTION_OVERHEAD_BYTES)


FLOODS = {
    "many fields": MANY_FIELDS,
    "half a body": HALF_BODY,
    "chunks of 2": [CHUNKED, *four_pieces(chunks(2))],
    "chunks of 8": [CHUNKED, *four_pieces(chunks(8))],
}


@pytest.mark.parametrize("pieces", FLOODS.values(), ids=FLOODS.keys())
def test_a_flood_of_unfinished_requests_leaves_half_of_the_memory(
    testbed: DispatcherTestbed, monkeypatch: pytest.MonkeyPatch, pieces: list[bytes]
) -> None:
    # Guards against a process that passes its memory limit and is killed.
    limits = {"sockets": 1024, "memory_mb": MEMORY_MB}
    monkeypatch.setitem(PLATFORM_CONFIG, "limits", limits)
    testbed.add_worker("s-1")
    address = testbed.start()
    flood(address, pieces)
    assert testbed.is_ready()
    assert memory_mb(testbed.process.pid)["VmHWM"] < MEMORY_MB / 2


def test_a_flood_that_comes_back_at_once_after_a_restart_leaves_half_of_the_memory(
    testbed: DispatcherTestbed, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a process that is killed for its memory once more, a second after its start.
    monkeypatch.setitem(PLATFORM_CONFIG, "limits", {"sockets": 1024, "memory_mb": MEMORY_MB})
    testbed.add_worker("s-1")
    address = testbed.start()
    flood(address, FLOODS["chunks of 2"])
    testbed.kill()
    testbed.start()
    flood(address, FLOODS["chunks of 2"])
    assert testbed.is_ready() and memory_mb(testbed.process.pid)["VmHWM"] < MEMORY_MB / 2


def test_memory_is_given_back_after_a_flood(
    testbed: DispatcherTestbed, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against memory that is freed and kept by the process: the platform counts it.
    monkeypatch.setitem(PLATFORM_CONFIG, "limits", {"sockets": 1024, "memory_mb": MEMORY_MB})
    testbed.add_worker("s-1")
    address = testbed.start()
    before_mb = memory_mb(testbed.process.pid)["VmRSS"]
    flood(address, FLOODS["chunks of 8"])
    wait_until(lambda: memory_mb(testbed.process.pid)["VmRSS"] <= before_mb + SETTLED_GROWTH_MB)


def test_a_flood_during_an_upgrade_leaves_both_processes_under_one_limit(
    testbed: DispatcherTestbed, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against two processes that each take what one may.
    monkeypatch.setitem(PLATFORM_CONFIG, "limits", {"sockets": 1024, "memory_mb": MEMORY_MB})
    testbed.add_worker("s-1")
    first_address = testbed.start_on_shared_socket()
    wait_until(lambda: reports_ready(first_address))
    is_flood_sent = testbed.in_background(lambda: flood(testbed.client_address, FLOODS["chunks of 8"]))
    second_address = testbed.start_on_shared_socket()
    wait_until(lambda: reports_ready(second_address))
    is_flood_sent()
    flood(testbed.client_address, FLOODS["half a body"])
    peaks_mb = [memory_mb(process.pid).get("VmHWM", 0.0) for process in testbed.processes]
    assert testbed.is_ready() and sum(peaks_mb) < MEMORY_MB


def without_account(testbed: DispatcherTestbed) -> list[str]:
    """The arguments of a dispatcher that does not count what requests hold."""
    module = testbed.folder / "dispatcher_without_account.py"
    module.write_text(DISPATCHER_WITHOUT_ACCOUNT)
    return [str(module)]


@pytest.mark.parametrize("pieces", FLOODS.values(), ids=FLOODS.keys())
def test_memory_stays_under_its_limit_though_nothing_is_counted(
    testbed: DispatcherTestbed, monkeypatch: pytest.MonkeyPatch, pieces: list[bytes]
) -> None:
    # Guards against the next thing that nobody counts: the process's own memory is watched as well.
    monkeypatch.setitem(PLATFORM_CONFIG, "limits", {"sockets": 1024, "memory_mb": SMALL_MEMORY_MB})
    testbed.add_worker("s-1")
    testbed.program = without_account(testbed)
    address = testbed.start()
    flood(address, pieces)
    assert testbed.is_ready() and memory_mb(testbed.process.pid)["VmHWM"] < SMALL_MEMORY_MB


def test_a_connection_that_has_ended_is_freed_at_once() -> None:
    # Guards against memory of ended connections that waits for a garbage collection.
    acceptor = Acceptor(SilentHandler(), max_connections=8)
    transport = FakeTransport(acceptor())
    transport.protocol.data_received(half_request(100))
    ended = weakref.ref(transport.protocol)
    gc.disable()
    try:
        transport.disconnect()
        del transport
        assert ended() is None
    finally:
        gc.enable()


# Responses.


def unread_responses() -> tuple[Acceptor, list[FakeTransport]]:
    """Forty connections whose large responses are not read, and may hold a megabyte in all."""
    acceptor = Acceptor(SilentHandler(), max_connections=100)
    acceptor.set_max_held_bytes(1_000_000)
    transports = [FakeTransport(acceptor()) for _ in range(40)]
    for transport in transports:
        transport.protocol.data_received(SMALL_REQUEST)
        transport.unread = True
        connection_of(transport).respond(200, BODY)
    return acceptor, transports


def test_responses_that_nobody_reads_count_as_held_memory() -> None:
    # Guards memory: each connection's unread response is bounded, and all of them together must be.
    acceptor, transports = unread_responses()
    assert acceptor.held_bytes >= 40 * len(BODY) and acceptor.is_memory_full
    for transport in transports:
        transport.read_all()
    assert acceptor.held_bytes == 0


def test_responses_that_nobody_reads_for_long_are_dropped_while_memory_is_full(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against clients that keep all memory by not reading; those that have waited longest go first.
    acceptor, transports = unread_responses()
    acceptor.sweep()
    assert not any(transport.closed for transport in transports)
    now_s = time.monotonic()
    monkeypatch.setattr(time, "monotonic", lambda: now_s + 60.0)
    acceptor.sweep()
    dropped = [transport.closed for transport in transports]
    assert dropped == sorted(dropped, reverse=True) and 20 < sum(dropped) < 40 and not acceptor.is_memory_full


# Connections.


def test_connections_that_linger_after_their_eviction_count_towards_the_limit() -> None:
    # Guards against more descriptors than allowed: an evicted connection stays until its client has read why.
    acceptor, transports = Acceptor(SilentHandler(), max_connections=64), list[FakeTransport]()
    for _ in range(1000):
        transports.append(FakeTransport(acceptor()))
        if not transports[-1].closed:
            transports[-1].protocol.data_received(half_request(100))
        for transport in transports:
            if transport.closed:
                transport.disconnect()
        assert len(acceptor.connections) <= 64 + acceptor.margin
    refused = [transport for transport in transports if transport.written.startswith(b"HTTP/1.1 503")]
    assert len(refused) > 800, "most make room in time, and are told why"


def test_connections_that_linger_are_ended_before_idle_ones() -> None:
    # Guards clients that are served: refused ones, which only have to read why, must not push them out.
    acceptor = Acceptor(RecordingHandler(), max_connections=64)
    served = [FakeTransport(acceptor()) for _ in range(16)]
    for transport in served:
        transport.protocol.data_received(SMALL_REQUEST)
    for _ in range(300):
        transport = FakeTransport(acceptor())
        if not transport.closed:
            transport.protocol.data_received(b"no http")
    assert not any(transport.closed or transport.write_closed for transport in served)


# Turns of the event loop.


@pytest.fixture
def one_step_a_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    """Nothing is read at once, and one connection is continued in each turn."""
    monkeypatch.setattr(turns, "READ_BUDGET_S", 0.0)
    monkeypatch.setattr(turns, "DEFERRED_BUDGET_S", 0.0)


async def count_most_per_turn(dispatcher: InProcessDispatcher, count: Callable[[], int], total: int) -> int:
    """The largest increase of a count in one turn of the loop, until it has reached a total."""
    most = former = 0
    while former < total:
        await asyncio.sleep(0)
        most, former = max(most, count() - former), count()
    return most


def test_one_connection_gets_only_a_share_of_a_turn_of_the_loop(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a client whose small requests keep all others waiting for seconds.
    async def test(dispatcher: InProcessDispatcher) -> None:
        answered: list[bytes] = []
        on_request = dispatcher.api.on_request

        def record(connection: server.Connection, request: HttpRequest) -> None:
            answered.append(request.target)
            on_request(connection, request)

        monkeypatch.setattr(dispatcher.api, "on_request", record)
        client = dispatcher.client()
        client.socket.setblocking(True)
        client.send(SMALL_REQUEST * PIPELINED)
        client.socket.setblocking(False)
        async with asyncio.timeout(20.0):
            most = await count_most_per_turn(dispatcher, lambda: len(answered), PIPELINED)
        assert most <= 2 * MAX_REQUESTS_AT_ONCE  # it is read, and continued, once each
        await dispatcher.wait_until(lambda: client.read_available().count(b"HTTP/1.1 404") == PIPELINED)

    run_with_dispatcher(test)


@pytest.mark.usefixtures("one_step_a_turn")
def test_what_many_connections_send_at_once_is_spread_over_turns(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a turn as long as there are connections, and against one that is never continued.

    async def test(dispatcher: InProcessDispatcher) -> None:
        answered: list[int] = []
        on_request = dispatcher.api.on_request

        def record(connection: server.Connection, request: HttpRequest) -> None:
            answered.append(1)
            on_request(connection, request)

        monkeypatch.setattr(dispatcher.api, "on_request", record)
        clients = [dispatcher.client() for _ in range(20)]
        await dispatcher.run_loop()
        for client in clients:
            client.send(SMALL_REQUEST * 3)
        async with asyncio.timeout(20.0):
            most = await count_most_per_turn(dispatcher, lambda: len(answered), 60)
        assert most <= 3
        for client in clients:
            await dispatcher.wait_until(lambda: client.read_available().count(b"HTTP/1.1 404") == 3)  # noqa: B023

    run_with_dispatcher(test)


def receive(acceptor: Acceptor, transport: FakeTransport, data: bytes) -> None:
    """Have a connection read data from its socket."""
    acceptor.read_buffer[: len(data)] = data
    connection_of(transport).buffer_updated(len(data))


def test_a_listener_that_gets_only_one_handle_accepts(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards the start: further handles are a matter of speed, and a call for one may fail.
    def fail(descriptor: int) -> socket.socket:
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr("grebestack.program.client_listener.duplicate_socket", fail)
    acceptor = Acceptor(RecordingHandler(), max_connections=8)
    config = Config("n0", ("127.0.0.1", reserved_port()), ("", 0), {}, settings())

    async def test() -> None:
        listener = ClientListener(asyncio.get_running_loop(), config, acceptor)
        await listener.open()
        with socket.create_connection(config.listen, 20.0):
            async with asyncio.timeout(20.0):
                while not acceptor.connections:
                    await asyncio.sleep(0)
        listener.close()

    uvloop.run(test())


@pytest.mark.parametrize("has_had_a_response", [False, True])
def test_a_request_is_read_before_the_rest_of_those_that_cost_more(
    one_step_a_turn: None, has_had_a_response: bool
) -> None:
    # Guards against ordinary clients that wait until each connection of a flood is parsed.
    handler = RecordingHandler()
    acceptor = Acceptor(handler, max_connections=100)

    async def test() -> None:
        floods = [FakeTransport(acceptor()) for _ in range(40)]
        client = FakeTransport(acceptor())
        if has_had_a_response:
            client.protocol.data_received(SMALL_REQUEST)
            handler.requests.clear()
        for transport in floods:
            receive(acceptor, transport, CHUNKED + chunks(2)[:12_000])
        receive(acceptor, client, SMALL_REQUEST)
        async with asyncio.timeout(20.0):
            while not handler.requests:
                await asyncio.sleep(0)
        parsed_bytes = sum(len(connection_of(transport).parser.body) for transport in floods)
        steps = 2 if has_had_a_response else len(floods) * (1 + 1 / turns.COSTLY_TURN_INTERVAL)
        assert parsed_bytes <= steps * MAX_FIRST_STEP_BYTES * 2 / 7

    asyncio.run(test())


def test_a_new_connection_is_read_beside_a_known_one_that_never_stops_sending(
    one_step_a_turn: None,
) -> None:
    # Guards call-backs on new connections: small requests at full speed must not always come first.
    handler = RecordingHandler()
    acceptor = Acceptor(handler, max_connections=100)

    async def test() -> None:
        flood, client = FakeTransport(acceptor()), FakeTransport(acceptor())
        flood.protocol.data_received(SMALL_REQUEST)
        receive(acceptor, flood, SMALL_REQUEST * 800)
        receive(acceptor, client, SMALL_REQUEST.replace(b"/x", b"/new"))
        async with asyncio.timeout(20.0):
            while handler.requests[-1].target != b"/new":
                await asyncio.sleep(0)
        assert len(handler.requests) <= 3 * MAX_REQUESTS_AT_ONCE

    asyncio.run(test())


def test_a_connection_that_keeps_sending_malformed_jobs_is_ended() -> None:
    # Guards against a client that is answered 400 at full speed for as long as it likes.
    async def test(dispatcher: InProcessDispatcher) -> None:
        client = dispatcher.client()
        client.send(b"POST /api HTTP/1.1\r\nContent-Length: 0\r\n\r\n" * 100)
        await dispatcher.wait_until(lambda: client.read_available() and client.close_reason)
        assert client.received.count(b"HTTP/1.1 400") == server.MAX_MALFORMED_REQUESTS
        assert dispatcher.engine.counts["malformed"] == server.MAX_MALFORMED_REQUESTS

    run_with_dispatcher(test)


# Clients that have left, and ids that come again.


def test_a_request_of_a_client_that_has_left_before_it_is_read_is_not_sent() -> None:
    # Guards against sending what lies before an end of file that is unread yet, behind other data.
    async def test(dispatcher: InProcessDispatcher) -> None:
        client = dispatcher.client()
        await dispatcher.run_loop()
        client.send_job("a")
        client.send(b"GET /x HTTP/1.1\r\n\r\n" * 3000)
        client.close()
        await dispatcher.wait_until(lambda: not dispatcher.acceptor.connections)
        await dispatcher.run_loop()
        assert not dispatcher.peers[0].complete_requests() and dispatcher.engine.counts["dispatches"] == 0

    run_with_dispatcher(test)


def test_a_request_queued_behind_another_is_not_sent_once_its_client_has_left() -> None:
    # Guards against the first answer letting the next request pass in the turn in which the client leaves.
    async def test(dispatcher: InProcessDispatcher) -> None:
        client, peer = dispatcher.client(), dispatcher.peers[0]
        client.send_job("a")
        client.send_job("b")
        await dispatcher.wait_until(lambda: peer.complete_requests())
        peer.send(0, b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
        await dispatcher.run_loop()
        client.close()
        dispatcher.call_back("a", "s0", result="it")
        await dispatcher.wait_until(lambda: not dispatcher.acceptor.connections)
        await dispatcher.run_loop()
        assert not any(b"X-Call-Id: b" in data for data in peer.complete_requests())

    run_with_dispatcher(test)


def test_the_delayed_last_byte_is_not_sent_while_the_end_of_the_client_is_unread() -> None:
    # Guards against a timer that is due in the same turn as the end of file, and comes first.
    async def test(dispatcher: InProcessDispatcher) -> None:
        client, peer = dispatcher.client(), dispatcher.peers[0]
        client.send_job("a", "order")
        await dispatcher.wait_until(lambda: peer.complete_requests())
        client.close()
        time.sleep(0.1)  # longer than the last byte is delayed
        await dispatcher.wait_until(lambda: not dispatcher.acceptor.connections)
        await dispatcher.run_loop()
        assert not any(data.endswith(b"body") for data in peer.complete_requests())

    run_with_dispatcher(test)


@pytest.mark.parametrize("job_class", ["order", "book"])
@pytest.mark.parametrize("is_answered", [False, True])
def test_an_id_that_may_have_run_is_not_run_again(job_class: str, is_answered: bool) -> None:
    # Guards against an order that runs twice because its id comes again after its client has left.
    async def test(dispatcher: InProcessDispatcher) -> None:
        first, second, peer = dispatcher.client(), dispatcher.client(), dispatcher.peers[0]
        first.send_job("a", job_class)
        await dispatcher.wait_until(lambda: any(data.endswith(b"body") for data in peer.complete_requests()))
        peer.send(0, b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
        await dispatcher.run_loop()
        if is_answered:
            dispatcher.call_back("a", "s0", result="it")
            await dispatcher.wait_until(lambda: first.status)
        first.close()
        await dispatcher.wait_until(lambda: not dispatcher.engine.open_by_call_id)
        second.send_job("a", job_class)
        await dispatcher.wait_until(lambda: second.status)
        assert second.status == 409 and dispatcher.engine.counts["dispatches"] == 1

    run_with_dispatcher(test)


def test_recent_call_ids_are_forgotten_in_time_and_limited_in_number(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(recent_call_ids, "MAX_KEPT", 3)
    now_ms = 0.0

    class Clock:
        def now_ms(self) -> float:
            return now_ms

        def call_at(self, at_ms: float, call: Callable[[], None]) -> None:
            raise NotImplementedError

    ids = recent_call_ids.RecentCallIds(cast(Any, Clock()))
    ids.update(["a", "b", "c", "d"])
    assert "a" not in ids and [name in ids for name in "bcd"] == [True] * 3 and ids.newest(2) == ["c", "d"]
    now_ms = recent_call_ids.KEPT_MS
    ids.add("e")
    assert ids.newest(9) == ["e"]


def test_connections_are_accepted_several_in_a_turn() -> None:
    # Guards against clients and call-backs that wait behind each new connection of a flood for a turn.
    count, acceptor = 80, Acceptor(RecordingHandler(), max_connections=200)
    config = Config("n0", ("127.0.0.1", reserved_port()), ("", 0), {}, settings())

    async def test() -> int:
        listener = ClientListener(asyncio.get_running_loop(), config, acceptor)
        await listener.open()
        sockets = [socket.create_connection(config.listen, 20.0) for _ in range(count)]
        turns_taken = 0
        async with asyncio.timeout(20.0):
            while len(acceptor.connections) < count:
                turns_taken += 1
                await asyncio.sleep(0)
        listener.close()
        for sock in sockets:
            sock.close()
        return turns_taken

    assert uvloop.run(test()) <= count / 4
