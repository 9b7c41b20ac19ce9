"""Peers that send pieces of any size, stop sending or disconnect: time and bytes are limited."""

from __future__ import annotations

import asyncio
import time
from types import SimpleNamespace
from typing import Any, cast

import pytest

from grebestack.core.api import ListKind
from grebestack.endpoint_watch.state_machine import WatchRequest
from grebestack.protocol import discovery, worker_list
from grebestack.transport import client, server
from grebestack.transport.acceptor import LINGER_TIMEOUT_S, REQUEST_TIMEOUT_S, Acceptor
from grebestack.transport.line_stream import LineStream
from tests.process_memory import taken_bytes
from tests.test_connections import FakeTransport, RecordingHandler


def connection_with_exchange(max_body_bytes: int = 100) -> tuple[FakeTransport, list[str]]:
    """Return a connection to a worker with a request on it, and a list of the ends of its exchange."""
    ends: list[str] = []
    pool = cast(Any, SimpleNamespace(pools=SimpleNamespace(max_body_bytes=max_body_bytes)))
    pool.on_connected = pool.on_available = pool.on_closed = pool.on_first_byte = lambda connection: None
    connection = client.Connection(pool)
    transport = FakeTransport(connection)
    connection.start(
        cast(
            Any,
            SimpleNamespace(
                delays_last_byte=False,
                on_last_byte=lambda: None,
                on_response=lambda r: ends.append(f"response {r.status}"),
                on_response_lost=lambda: ends.append("response lost"),
                on_not_sent=lambda: ends.append("not sent"),
            ),
        ),
        b"x",
    )
    return transport, ends


@pytest.mark.parametrize(
    "begin, endless",
    [
        (b"HTTP/1.1 200 OK\r\n", b"X-More: and more\r\n"),
        (b"HTTP/1.1 200 OK\r\nX-Endless: ", b"x" * 1000),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"1;" + b"x" * 500 + b"\r\na\r\n"),
    ],
)
def test_an_endless_response_is_aborted(begin: bytes, endless: bytes) -> None:
    transport, ends = connection_with_exchange()
    transport.protocol.data_received(begin)
    for _ in range(70_000 // len(endless) + 10):
        if not transport.closed:
            transport.protocol.data_received(endless)
    assert transport.closed and ends == ["response lost"]


def test_a_worker_that_disconnects_within_a_response_may_have_run_the_request() -> None:
    transport, ends = connection_with_exchange()
    transport.protocol.data_received(b"HTTP/1.1 202 Accepted\r\nContent-Length: 5\r\n\r\nhal")
    assert not ends
    transport.disconnect()
    assert ends == ["response lost"]


LIST_RESPONSE = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab\nc\r\n2\r\nd\n\r\n1\r\n\n\r\n"


@pytest.mark.parametrize("size", [1, 2, 5, 1000])
def test_the_lines_of_a_list_are_the_same_however_the_data_is_split(size: int) -> None:
    lines: list[bytes] = []
    transport = FakeTransport(LineStream(b"GET", lines.append, lambda: None))
    for at in range(0, len(LIST_RESPONSE), size):
        transport.protocol.data_received(LIST_RESPONSE[at : at + size])
    assert lines == [b"ab", b"cd", b""] and not transport.closed


@pytest.mark.parametrize("begin", [b"HTTP/1.1 200 OK\r\nX-Endless: ", LIST_RESPONSE + b"ffffffff\r\n"])
def test_an_endless_line_or_head_of_a_list_is_aborted(begin: bytes, monkeypatch: Any) -> None:
    monkeypatch.setattr(LineStream, "MAX_LINE_BYTES", 10_000)
    transport = FakeTransport(LineStream(b"GET", lambda line: None, lambda: None))
    transport.protocol.data_received(begin)
    for _ in range(11):
        if not transport.closed:
            transport.protocol.data_received(b"x" * 1000)
    assert transport.closed


def test_bytes_of_an_incomplete_line_do_not_count_as_a_heartbeat() -> None:
    loop = SimpleNamespace(
        call_later=lambda seconds, call: SimpleNamespace(cancel=lambda: None),
        create_task=lambda task: task.close(),
    )
    table = cast(Any, SimpleNamespace(on_unchanged=lambda: None, update=lambda kind, servers: None))
    watch = discovery.DiscoveryWatcher(
        cast(asyncio.AbstractEventLoop, loop), ("h", 1), worker_list.WorkerListReader({}), table
    )
    watch.start()
    transport = FakeTransport(watch.connections[1].stream)
    transport.protocol.data_received(LIST_RESPONSE[: LIST_RESPONSE.index(b"4\r\n")])
    for byte in b'20\r\n{"rev":1,"all":true':
        transport.protocol.data_received(bytes([byte]))
    assert watch.state_machine.current is None, "bytes of an incomplete line count as a heartbeat"
    transport.protocol.data_received(b',"x":1234}\n')
    assert watch.state_machine.current is not None and watch.version == 1


def test_an_older_list_of_a_watch_beside_another_changes_nothing() -> None:
    # Guards against a list that was written before one of the other watch, and is read after it.
    loop = SimpleNamespace(
        call_later=lambda seconds, call: SimpleNamespace(cancel=lambda: None),
        create_task=lambda task: task.close(),
    )
    updates: list[ListKind] = []
    table = cast(
        Any, SimpleNamespace(on_unchanged=lambda: None, update=lambda kind, workers: updates.append(kind))
    )
    watch = discovery.DiscoveryWatcher(
        cast(asyncio.AbstractEventLoop, loop), ("h", 1), worker_list.WorkerListReader({}), table
    )
    watch.start()
    watch._open(2)
    watch.state_machine.current = WatchRequest(1, time.monotonic() * 1000.0)
    watch.state_machine.pending = [WatchRequest(2, time.monotonic() * 1000.0)]
    list_line = b'{"rev":%d,"all":true,"targets":[]}'
    watch.on_line(watch.connections[1], list_line % 8)
    watch.on_line(watch.connections[2], list_line % 7)
    assert watch.version == 8 and updates == [ListKind.FULL]
    watch.on_line(watch.connections[2], list_line % 9)
    assert watch.version == 9 and len(updates) == 2 and list(watch.connections) == [2]


def test_a_client_that_disconnects_while_its_response_is_written_is_forgotten() -> None:
    handler = RecordingHandler()
    acceptor = Acceptor(handler, max_connections=8)
    transport = FakeTransport(acceptor())
    transport.protocol.data_received(b"POST /1 HTTP/1.1\r\n\r\n")
    cast(server.Connection, transport.protocol).pause_writing()  # the client does not read
    transport.protocol.data_received(b"POST /2 HTTP/1.1\r\n\r\nPOST /3 HTTP/1.1\r\n\r\n")
    assert [request.target for request in handler.requests] == [b"/1"], (
        "handled for a client that does not read"
    )
    transport.disconnect()
    assert not acceptor.connections and not acceptor.idle and not acceptor.awaiting_request


def test_a_client_that_stops_within_a_body_is_answered_408() -> None:
    acceptor = Acceptor(RecordingHandler(), max_connections=8)
    transport = FakeTransport(acceptor())
    transport.protocol.data_received(b"POST /1 HTTP/1.1\r\nContent-Length: 9\r\n\r\nhal")
    acceptor.awaiting_request[cast(server.Connection, transport.protocol)] -= REQUEST_TIMEOUT_S
    acceptor.sweep()
    assert transport.written.startswith(b"HTTP/1.1 408") and transport.write_closed
    acceptor.lingering[cast(server.Connection, transport.protocol)] -= LINGER_TIMEOUT_S
    acceptor.sweep()
    assert transport.closed


def test_a_response_in_small_pieces_takes_no_more_memory_than_its_bytes() -> None:
    # Guards against a worker, not only a client, whose small chunks fill the memory.
    size = 60_000
    transport, _ = connection_with_exchange(max_body_bytes=4 * size)
    data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"2\r\nxy\r\n" * (size // 2)

    def hold() -> FakeTransport:
        transport.protocol.data_received(data)
        return transport

    assert taken_bytes(hold) <= 1.25 * size + 4096


def test_a_line_of_discovery_in_small_pieces_takes_no_more_memory_than_its_bytes() -> None:
    # Guards against a long list that is sent in small chunks.
    size = 60_000
    stream = LineStream(b"GET", lambda line: None, lambda: None)
    transport = FakeTransport(stream)
    data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"2\r\nxy\r\n" * (size // 2)

    def hold() -> FakeTransport:
        transport.protocol.data_received(data)
        return transport

    assert taken_bytes(hold) <= 1.25 * size + 4096
