"""HTTP/1.1 client: one connection that the dispatcher opens, and its exchanges."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import Protocol, cast

import httptools

from grebestack.transport.body_buffer import BodyBuffer

MAX_HEAD_BYTES = 64 * 1024  # of all that a response holds besides its body
MAX_HEADER_FIELDS = 100  # each takes memory beside its bytes
STALE_RESET_S = 0.05  # a reset within this time of a request shows that the connection was already dead
REUSE_DELAY_S = 0.01  # idle time before a connection is used again: a second answer may come a little later
LENGTH_HEADERS = frozenset((b"content-length", b"transfer-encoding"))  # without these, a close ends a body
Address = tuple[str, int]


@dataclass(slots=True)
class Response:
    """An HTTP response; header names are in lower case."""

    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""


class Exchange(Protocol):
    """One HTTP request and its response.

    It ends with one call of `on_response`, `on_not_sent` or `on_response_lost`, unless `on_connection_ready`
    returns None or the exchange is withdrawn or aborted.
    """

    delays_last_byte: bool = False  # so that a dead connection shows first, see `Connection.start`

    def on_connection_ready(self) -> bytes | None:
        """Return the request for a connection that is open, or None if it must not be sent any more."""

    def before_last_byte(self) -> None:
        """The delayed last byte is due; an exchange that must not end any more aborts itself."""
        return

    def on_last_byte(self) -> None:
        """The last byte of the request is about to be written; most exchanges ignore this."""
        return

    def on_response(self, response: Response) -> None:
        """The response is complete."""

    def on_not_sent(self) -> None:
        """The last byte was not written: no connection opened, or it ended before."""

    def on_response_lost(self) -> None:
        """The connection ended after the last byte was written and before the response was complete."""


class PoolSettings(Protocol):
    """What holds for the connections of all pools."""

    loop: asyncio.AbstractEventLoop
    max_body_bytes: int

    def on_stale_connection(self, address: Address, idle_s: float) -> None:
        """A connection was reset at once when it was used after it had been idle for so long."""


class ConnectionOwner(Protocol):
    """What a connection needs of its pool, and tells it."""

    @property
    def pools(self) -> PoolSettings:
        """What holds for all pools."""

    @property
    def address(self) -> Address:
        """Where the connection goes."""

    def last_byte_delay_s(self) -> float:
        """How long a delayed last byte waits."""

    def on_connected(self, connection: Connection) -> None:
        """A connection has opened."""

    def on_first_byte(self, seconds: float) -> None:
        """The first byte of a response has arrived so long after the request."""

    def on_available(self, connection: Connection) -> None:
        """A connection can take the next exchange."""

    def on_closed(self, connection: Connection) -> None:
        """A connection has ended."""


class Connection(asyncio.Protocol):
    """One connection: opening, idle, busy with one exchange, or closed. It sends no request twice."""

    def __init__(self, pool: ConnectionOwner) -> None:
        """Belong to a pool, not open yet."""
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.idle_since = 0.0
        self.reusable_at = 0.0  # `REUSE_DELAY_S` after the last response
        self.started_at = 0.0  # when the last exchange started, or its delayed last byte was written
        self.idle_before_s: float | None = None  # idle time before the last exchange; None: a new connection
        self.delayed_byte = b""  # the last byte of the request, until it is written
        self.delayed_byte_timer: asyncio.TimerHandle | None = None
        self.was_connected = False
        self.connect_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        self.transport = cast(asyncio.Transport, transport)
        self.was_connected = True
        if self.connect_timer is not None:
            self.connect_timer.cancel()
        self.pool.on_connected(self)

    def start(self, exchange: Exchange, data: bytes) -> None:
        """Write a request.

        If the exchange delays its last byte, that byte is written a round trip after the others. A connection
        that the server closed while it was idle, or that is reset while the request arrives, then fails
        before the last byte, so that the request is known not to have run.
        """
        assert self.transport is not None
        self.exchange = exchange
        self.started_at = time.monotonic()
        self.idle_before_s = self.started_at - self.idle_since if self.idle_since else None
        self.response, self.body = Response(), BodyBuffer()
        self.head_complete = self.complete = self.keep_alive = self.response_begun = self.has_excess = False
        self.received_bytes = 0  # of the response, headers and body
        self.header_fields = 0  # of all its heads, interim responses included
        self.on_body = self.body.append  # called by httptools for each piece
        self.parser = httptools.HttpResponseParser(self)
        if exchange.delays_last_byte:
            data, self.delayed_byte = data[:-1], data[-1:]
            self.delayed_byte_timer = self.pool.pools.loop.call_later(
                self.pool.last_byte_delay_s(), self._write_last_byte
            )
        else:
            exchange.on_last_byte()
        self.transport.write(data)

    def _write_last_byte(self) -> None:
        if self.exchange is not None:
            self.exchange.before_last_byte()
        delayed_byte, self.delayed_byte = self.delayed_byte, b""
        if self.exchange is not None and self.transport is not None:
            self.exchange.on_last_byte()
            self.started_at = time.monotonic()
            self.transport.write(delayed_byte)

    def detach_exchange(self) -> tuple[Exchange | None, bool]:
        """Remove and return the exchange; the flag tells whether its last byte was not written."""
        exchange, self.exchange = self.exchange, None
        not_sent, self.delayed_byte = bool(self.delayed_byte), b""
        if self.delayed_byte_timer is not None:
            self.delayed_byte_timer.cancel()
        return exchange, not_sent

    def data_received(self, data: bytes) -> None:
        """Part of a response has arrived, or something that nobody asked for."""
        if self.exchange is None or self.delayed_byte:
            # Data without a complete request, such as the rest of an earlier response: the connection can't
            # be trusted with a request. A delayed last byte is never written.
            self.abort()
            return
        if not self.response_begun:
            self.response_begun = True
            self.pool.on_first_byte(time.monotonic() - self.started_at)
        self.received_bytes += len(data)
        if self.received_bytes > self.pool.pools.max_body_bytes + MAX_HEAD_BYTES:  # headers without end
            self.abort()
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.complete:
                self.abort()
                return
            self.has_excess = True  # malformed data after a complete response
        if not self.complete and self._is_body_too_long():
            self.abort()
        if self.complete and self.exchange is not None:  # None: an overlong body has aborted the exchange
            # Detached before the connection becomes available, which may start the next exchange at once.
            response = self.response
            exchange, _ = self.detach_exchange()
            assert exchange is not None
            if self.keep_alive and not self.has_excess:
                self.reusable_at = time.monotonic() + REUSE_DELAY_S
                self.pool.on_available(self)
            else:
                self.abort()
            exchange.on_response(response)

    def _is_body_too_long(self) -> bool:
        return len(self.body) > self.pool.pools.max_body_bytes

    # The parser's callbacks. If two responses to one request arrive together, the second one is ignored.

    def on_message_begin(self) -> None:
        """A response begins; one after a complete response is in excess."""
        self.has_excess = self.complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """A field of the head or the trailers is complete."""
        self.header_fields += 1
        if self.header_fields > MAX_HEADER_FIELDS:
            self.abort()
        elif not self.complete:
            self.response.headers[name.lower()] = value.strip(b" \t")  # the parser keeps trailing blanks

    def on_headers_complete(self) -> None:
        """The head is complete."""
        if not self.complete:
            self.response.status = self.parser.get_status_code()
            self.head_complete = self.response.status >= 200

    def on_message_complete(self) -> None:
        """The response is complete."""
        if self.complete:
            return
        if self._is_body_too_long():
            self.abort()
        elif self.response.status < 200:  # an interim response
            self.response = Response()
        else:
            self.complete, self.keep_alive = True, self.parser.should_keep_alive()
            self.response.body = self.body.take()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended: its exchange ends with it."""
        self.transport = None
        exchange, not_sent = self.detach_exchange()
        quick = time.monotonic() - self.started_at < STALE_RESET_S
        if exchange is not None and not self.response_begun and quick and self.idle_before_s is not None:
            self.pool.pools.on_stale_connection(self.pool.address, self.idle_before_s)
        self.pool.on_closed(self)
        if exchange is None:
            return
        if not_sent:
            exchange.on_not_sent()
        elif exc is None and self.head_complete and not LENGTH_HEADERS & self.response.headers.keys():
            self.response.body = self.body.take()  # a body without a length ends with the connection
            exchange.on_response(self.response)
        else:
            exchange.on_response_lost()

    def abort(self) -> None:
        """Close at once; the exchange on this connection ends at once too."""
        if self.transport is not None:
            self.transport.abort()
        exchange, not_sent = self.detach_exchange()
        self.pool.on_closed(self)
        if exchange is not None:
            (exchange.on_not_sent if not_sent else exchange.on_response_lost)()
