"""Peers that write pieces of any size, fall silent or leave: each direction is bounded in time and bytes."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest

from grebestack.protocol import discovery, worker_list
from grebestack.transport import client, server
from tests.test_connections import FakeTransport, RecordingHandler


def exchange_on(max_body_bytes: int = 100) -> tuple[FakeTransport, list[str]]:
    """A connection to a runner with a request out, and what the exchange hears."""
    heard: list[str] = []
    pool = cast(Any, SimpleNamespace(pools=SimpleNamespace(max_body_bytes=max_body_bytes)))
    pool.up = pool.free = pool.lost = pool.answered_in = lambda connection: None
    connection = client.Connection(pool)
    wire = FakeTransport(connection)
    connection.start(
        cast(
            Any,
            SimpleNamespace(
                delays_last_byte=False,
                on_last_byte=lambda: None,
                on_response=lambda r: heard.append(f"answered {r.status}"),
                on_response_lost=lambda: heard.append("broken"),
                on_not_sent=lambda: heard.append("unsent"),
            ),
        ),
        b"x",
    )
    return wire, heard


@pytest.mark.parametrize(
    "begin, endless",
    [
        (b"HTTP/1.1 200 OK\r\n", b"X-More: and more\r\n"),
        (b"HTTP/1.1 200 OK\r\nX-Endless: ", b"x" * 1000),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"1;" + b"x" * 500 + b"\r\na\r\n"),
    ],
)
def test_a_runners_answer_without_end_is_ended(begin: bytes, endless: bytes) -> None:
    wire, heard = exchange_on()
    wire.protocol.data_received(begin)
    for _ in range(70_000 // len(endless) + 10):
        if not wire.closed:
            wire.protocol.data_received(endless)
    assert wire.closed and heard == ["broken"]


def test_a_runner_that_leaves_after_half_an_answer_may_have_run_it() -> None:
    wire, heard = exchange_on()
    wire.protocol.data_received(b"HTTP/1.1 202 Accepted\r\nContent-Length: 5\r\n\r\nhal")
    assert not heard
    wire.lose()
    assert heard == ["broken"]


LIST = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab\nc\r\n2\r\nd\n\r\n1\r\n\n\r\n"


@pytest.mark.parametrize("size", [1, 2, 5, 1000])
def test_the_lists_lines_are_the_same_however_they_are_cut(size: int) -> None:
    lines: list[bytes] = []
    wire = FakeTransport(client.LineStream(b"GET", lines.append, lambda: None))
    for at in range(0, len(LIST), size):
        wire.protocol.data_received(LIST[at : at + size])
    assert lines == [b"ab", b"cd", b""] and not wire.closed


@pytest.mark.parametrize("begin", [b"HTTP/1.1 200 OK\r\nX-Endless: ", LIST + b"ffffffff\r\n"])
def test_a_line_or_head_of_the_list_without_end_is_ended(begin: bytes, monkeypatch: Any) -> None:
    monkeypatch.setattr(client.LineStream, "MAX_LINE_BYTES", 10_000)
    wire = FakeTransport(client.LineStream(b"GET", lambda line: None, lambda: None))
    wire.protocol.data_received(begin)
    for _ in range(11):
        if not wire.closed:
            wire.protocol.data_received(b"x" * 1000)
    assert wire.closed


def test_half_a_line_keeps_no_watch_alive() -> None:
    loop = SimpleNamespace(
        call_later=lambda seconds, call: SimpleNamespace(cancel=lambda: None),
        create_task=lambda task: task.close(),
    )
    table = cast(Any, SimpleNamespace(on_unchanged=lambda: None, update=lambda kind, servers: None))
    watch = discovery.DiscoveryWatcher(
        cast(asyncio.AbstractEventLoop, loop), ("h", 1), worker_list.WorkerListReader({}), table
    )
    watch.start()
    wire = FakeTransport(watch.connections[1].stream)
    wire.protocol.data_received(LIST[: LIST.index(b"4\r\n")])
    for byte in b'20\r\n{"rev":1,"all":true':
        wire.protocol.data_received(bytes([byte]))
    assert watch.state_machine.current is None, "bytes that are no line count as a word"
    wire.protocol.data_received(b',"x":1234}\n')
    assert watch.state_machine.current is not None and watch.version == 1


def test_a_client_that_leaves_while_its_answer_is_written_is_forgotten() -> None:
    keeper = RecordingHandler()
    acceptor = server.Acceptor(keeper, max_connections=8)
    wire = FakeTransport(acceptor())
    wire.protocol.data_received(b"POST /1 HTTP/1.1\r\n\r\n")
    cast(server.Connection, wire.protocol).pause_writing()  # it does not read
    wire.protocol.data_received(b"POST /2 HTTP/1.1\r\n\r\nPOST /3 HTTP/1.1\r\n\r\n")
    assert [request.target for request in keeper.got] == [b"/1"], "handed on to one that does not read"
    wire.lose()
    assert not acceptor.connections and not acceptor.idle and not acceptor.waiting


def test_a_client_that_falls_silent_in_its_body_is_told_so() -> None:
    acceptor = server.Acceptor(RecordingHandler(), max_connections=8)
    wire = FakeTransport(acceptor())
    wire.protocol.data_received(b"POST /1 HTTP/1.1\r\nContent-Length: 9\r\n\r\nhal")
    acceptor.waiting[cast(server.Connection, wire.protocol)] -= server.WHOLE_S
    acceptor.sweep()
    assert wire.written.startswith(b"HTTP/1.1 408") and wire.ended
    acceptor.left[cast(server.Connection, wire.protocol)] -= server.LINGER_S
    acceptor.sweep()
    assert wire.closed
