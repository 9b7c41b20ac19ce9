"""HTTP/1.1 server: connections that clients and workers open to the dispatcher, one request at a time."""

from __future__ import annotations

import asyncio
import logging
import math
import os
import select
import time
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol, cast

import httptools

from grebestack.transport.turns import TurnScheduler

log = logging.getLogger(__name__)
DEFAULT_MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
MAX_HEADER_FIELDS = 100
HEADER_FIELD_OVERHEAD_BYTES = 150  # of memory, beside the name and the value
DEFAULT_MAX_HELD_BYTES = 32 * 1024 * 1024
READ_BUFFER_BYTES = 16 * 1024
PARSED_AT_ONCE_BYTES = 1024
MAX_REQUESTS_PER_TURN = 16  # of the event loop, for one connection
MAX_PIPELINED_REQUESTS = 2  # requests that a client may send before the response to an earlier one
MAX_MALFORMED_REQUESTS = 8  # of one connection
REQUEST_TIMEOUT_S = 2.3  # for a complete request, from its first byte or the opening of its connection
LINGER_TIMEOUT_S = 2.0  # for a client to close its side after the last response
MAX_DISCARDED_BYTES = 256 * 1024  # from a client that goes on sending after the last response
SWEEP_INTERVAL_S = 0.25
SINGLE_HEADERS = frozenset(  # rejected if repeated: it would be open which one counts
    b"content-length transfer-encoding x-call-id x-call-class x-budget x-call-info x-call-cost x-caller "
    b"idempotency-key".split()
)
REASON_PHRASES = {
    200: b"OK",
    202: b"Accepted",
    204: b"No Content",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


@dataclass(slots=True)
class HttpRequest:
    """A request as received; header names are in lower case."""

    method: bytes = b""
    target: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True
    held_bytes: int = 0  # memory that it takes, about

    @property
    def path(self) -> bytes:
        """The target without its query."""
        return self.target.partition(b"?")[0]


class HeadTooLargeError(Exception):
    """Ends the parsing of a head; the parser reports it as its own error."""


class DrainScope(Enum):
    """Which connections are drained: closed when idle, or with their next response."""

    NONE = "none"
    CLIENTS = "clients"  # those of clients; workers keep theirs for call-backs
    ALL = "all"


class Handler(Protocol):
    """Handles requests. Each needs one call of `Connection.respond`, at once or later."""

    def on_request(self, connection: Connection, request: HttpRequest) -> None:
        """A complete request has arrived."""

    def on_disconnect(self, connection: Connection) -> None:
        """The client has closed the connection before the response to its request."""


class Connection(asyncio.BufferedProtocol):
    """One client's connection.

    States: awaiting a request (new, or part of a request has arrived), idle (kept open after a response),
    busy (a request awaits its response), closed. Data is read while busy too, since only an end of file shows
    that the client has closed the connection. Reading pauses for a turn of the loop after many requests.
    """

    def __init__(self, acceptor: Acceptor) -> None:
        self.acceptor = acceptor
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.busy = False
        self.closing = False  # the connection ends with the next response
        self.writing_paused = False
        self.adopted_idle = False  # another process accepted it and handed it over between two requests
        self.is_opening = False  # it is handed over with a request and is not open here yet
        self.early_response: tuple[int, bytes, bytes] | None = None  # to be sent once it is open
        self.over_limit = False  # it was opened while all allowed connections were busy
        self.handler_data: Any = None  # for the handler's own use
        self.is_client = False  # it has sent a job, so it is not a worker's connection
        self.queued: deque[HttpRequest] = deque()
        self.refusal_status: int | None = None  # set if the request that is being read is refused
        self.lingering = False  # our side is closed after the last response; what arrives is discarded
        self.discarded_bytes = self.malformed_requests = 0
        self.completed_requests = 0
        self.incomplete_bytes = 0  # received since the parser last reported a complete part of head or body
        self.unparsed = b""  # received, and left for a later turn of the event loop
        self.held_bytes = 0  # of memory, by all its requests that are not responded to
        self.current_bytes = 0  # of these, by the request that is handled
        self._reset_request()

    def _reset_request(self) -> None:
        self.request = HttpRequest()
        self.body_parts: list[bytes] = []
        self.body_bytes = self.head_bytes = self.header_fields = 0
        self.head_complete = False  # headers that follow are trailers
        self.request_begun = False  # part of a request has arrived, and not all of it

    # asyncio's callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.acceptor.on_opened(self)
        if self.adopted_idle:
            self.acceptor.on_busy(self)
            self.acceptor.on_idle(self)
        elif self.busy:
            self.acceptor.on_busy(self)
        self.is_opening = False
        if self.early_response is not None:
            self.respond(*self.early_response)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.acceptor.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        data = self.acceptor.read_buffer[:nbytes]
        if self.acceptor.turns.may_read():
            self.data_received(data)
        else:
            self._defer(bytes(data))

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse what has arrived, and handle some requests; the others follow in later turns of the loop."""
        view, completed = memoryview(data), self.completed_requests
        for start in range(0, len(view), PARSED_AT_ONCE_BYTES):
            if self.closing or self.refusal_status is not None:
                self._discard(len(view) - start)  # it follows the last request that is accepted
                return
            if self.completed_requests - completed >= MAX_REQUESTS_PER_TURN:
                self._defer(bytes(view[start:]))
                return
            self._parse(view[start : start + PARSED_AT_ONCE_BYTES])
        self.acceptor.limit_held_bytes(self)
        if len(view) == READ_BUFFER_BYTES and self.completed_requests > completed:
            self._defer(b"")  # there may be more

    def _discard(self, size: int) -> None:
        self.discarded_bytes += size
        if self.discarded_bytes > MAX_DISCARDED_BYTES and self.lingering and self.transport is not None:
            self.transport.abort()

    def _defer(self, unparsed: bytes) -> None:
        """Read on in a later turn of the event loop, beginning with what is not parsed yet."""
        if self.transport is None or self.transport.is_closing():
            return
        self.unparsed = unparsed
        self.transport.pause_reading()
        self.acceptor.turns.defer(self)

    def continue_reading(self) -> None:
        """Go on after `_defer`."""
        data, self.unparsed = self.unparsed, b""
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.resume_reading()
        self.data_received(data)

    def _parse(self, data: memoryview) -> None:
        completed, body_bytes, head_complete = self.completed_requests, self.body_bytes, self.head_complete
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self.refusal_status = self.refusal_status or 400
        if (
            self.request_begun
            and completed == self.completed_requests
            and (not self.head_complete or (head_complete and body_bytes == self.body_bytes))
        ):
            # The parser buffers a line of the head or the trailers until it is complete, and makes no
            # callback meanwhile: without this limit, an endless line would fill the memory.
            self.incomplete_bytes += len(data)
            if self.incomplete_bytes > MAX_HEAD_BYTES:
                self.refusal_status = self.refusal_status or 431
        if self.refusal_status is not None:
            self._refuse()
        elif self.request_begun and not self.busy:
            self.acceptor.on_request_begun(self)

    def on_request_timeout(self) -> None:
        """Refuse an incomplete or unhandled request, or close a connection without one."""
        self._refuse_or_close(408)

    def evict(self) -> None:
        """Make room for others; a request that is not handled yet is refused, and its client may retry."""
        # The response to one that is handled must not tell that a retry is harmless.
        self._refuse_or_close(400 if self.busy else 503)

    def _refuse_or_close(self, status: int) -> None:
        if self.has_unhandled_request:
            self.refusal_status = status
            self._refuse()
        else:
            self.close()

    @property
    def has_unhandled_request(self) -> bool:
        """Whether a request is incomplete, or waits behind another."""
        return self.request_begun or bool(self.queued)

    @property
    def is_overloaded(self) -> bool:
        """Whether a new job can't be taken: there are too many connections, or too much memory is held."""
        return self.over_limit or self.acceptor.is_memory_full

    def has_peer_closed(self) -> bool:
        """Whether the client has closed its side, also if that is not read yet behind other data."""
        if self.transport is None or (sock := self.transport.get_extra_info("socket")) is None:
            return False
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def count_malformed_request(self) -> None:
        """Note that the handler can't use the current request; after some of them the connection ends."""
        self.malformed_requests += 1
        if self.malformed_requests >= MAX_MALFORMED_REQUESTS:
            self.closing = True

    def disconnect(self) -> None:
        """End the connection at once; `on_disconnect` follows if a request is handled."""
        if self.transport is not None:
            self.transport.abort()

    def eof_received(self) -> bool:
        return False  # a client that has closed its side counts as gone

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.closing, self.is_opening = True, False
        self.unparsed = b""
        self._drop_unhandled()
        self._set_held_bytes(0)
        self.acceptor.on_closed(self)
        if self.busy:
            self.busy = False
            self.acceptor.handler.on_disconnect(self)

    def pause_writing(self) -> None:
        self.writing_paused = True

    def resume_writing(self) -> None:
        self.writing_paused = False
        self._handle_next()

    # The parser's callbacks.

    def on_message_begin(self) -> None:
        self._reset_request()
        self.request_begun = True

    def on_url(self, url: bytes) -> None:
        self._count_head(len(url))
        self.request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.head_complete:
            return
        self.header_fields += 1
        self._count_head(len(name) + len(value), HEADER_FIELD_OVERHEAD_BYTES)
        # Blanks after a value are allowed and are no part of it, and the parser keeps them.
        name, value = name.lower(), value.strip(b" \t")
        if self.refusal_status is not None:
            return
        if name in SINGLE_HEADERS and name in self.request.headers:
            self.refusal_status = 400
        self.request.headers[name] = value

    def _count_head(self, size: int, overhead: int = 0) -> None:
        self.head_bytes += size
        self._hold(size + overhead)
        if self.head_bytes > MAX_HEAD_BYTES or self.header_fields > MAX_HEADER_FIELDS:
            self.refusal_status = 431
            raise HeadTooLargeError

    # The memory that requests hold until they are responded to.

    def _hold(self, size: int) -> None:
        self.request.held_bytes += size
        self._set_held_bytes(self.held_bytes + size)

    def _set_held_bytes(self, size: int) -> None:
        self.acceptor.held_bytes += size - self.held_bytes
        self.held_bytes = size

    def _drop_unhandled(self) -> None:
        """Forget the requests that are incomplete or wait behind the one that is handled."""
        self.queued.clear()
        self.request, self.body_parts = HttpRequest(), []
        self._set_held_bytes(self.current_bytes)

    # The parser's callbacks, continued.

    def on_headers_complete(self) -> None:
        headers = self.request.headers
        self.head_complete, self.incomplete_bytes = True, 0
        length, coding = headers.get(b"content-length", b"0"), headers.get(b"transfer-encoding", b"chunked")
        # An ambiguous length would allow request smuggling: a request hidden in the body of another.
        malformed = not length.isdigit() or coding.lower() != b"chunked" or self.parser.should_upgrade()
        if malformed or (b"content-length" in headers and b"transfer-encoding" in headers):
            self.refusal_status = 400
        elif len(length) > 18 or int(length) > self.acceptor.max_body_bytes:
            self.refusal_status = 413
        elif headers.get(b"expect", b"").lower() == b"100-continue" and not self.busy and self.transport:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self.body_bytes += len(body)
        self.incomplete_bytes = 0
        if self.body_bytes > self.acceptor.max_body_bytes:
            self.refusal_status = 413
            self.body_parts.clear()
        elif self.refusal_status is None:
            self._hold(len(body))
            self.body_parts.append(body)

    def on_message_complete(self) -> None:
        self.request_begun = self.head_complete = False
        self.completed_requests += 1
        if self.refusal_status is not None:
            return
        request = self.request
        request.method = self.parser.get_method()
        request.keep_alive = self.parser.should_keep_alive()
        request.body = b"".join(self.body_parts)
        self.request, self.body_parts = HttpRequest(), []
        self.queued.append(request)
        if len(self.queued) > MAX_PIPELINED_REQUESTS:
            self.refusal_status = 400
        else:
            self._handle_next()

    # Requests and responses.

    def _refuse(self) -> None:
        """Respond at once to a client that breaks the protocol, even while an earlier request is handled."""
        self._drop_unhandled()
        if self.busy and not self.closing:
            self.closing = True
            self.acceptor.handler.on_disconnect(self)
            self.respond(self.refusal_status or 400)
        else:
            self._handle_next()

    def _handle_next(self) -> None:
        """Pass on the next request, unless another awaits its response or the client doesn't read."""
        while self.queued and not self.busy and not self.writing_paused and not self.closing:
            request = self.queued.popleft()
            self.busy, self.closing = True, not request.keep_alive
            self.current_bytes = request.held_bytes
            self.acceptor.on_busy(self)
            try:
                self.acceptor.handler.on_request(self, request)
            except Exception:  # without a response, the client would wait and hold its connection forever
                log.exception("request_fault", extra={"kv": {"target": request.target[:80]}})
                self.acceptor.handler.on_disconnect(self)
                self.respond(500)
        if self.refusal_status is not None and not self.busy and not self.closing:
            self.busy = self.closing = True
            self.respond(self.refusal_status)

    def respond(self, status: int, body: bytes = b"", headers: bytes = b"") -> None:
        """Respond to the current request, if there is one; `headers` are complete lines."""
        if not self.busy:
            return
        if self.is_opening:
            self.early_response = status, body, headers
            return
        self.busy = False
        self._set_held_bytes(self.held_bytes - self.current_bytes)
        self.current_bytes = 0
        if self.transport is None:
            return
        self.closing = self.closing or self.acceptor.is_draining(self)
        reason = REASON_PHRASES.get(status, b"Unknown")
        close = b"Connection: close\r\n" if self.closing else b""
        self.transport.write(
            b"HTTP/1.1 %d %s\r\n%s%sContent-Length: %d\r\n\r\n%s"
            % (status, reason, headers, close, len(body), body)
        )
        if self.closing:
            self._linger()
        elif self.queued or self.refusal_status is not None:
            self._handle_next()
            if self.queued and not self.busy and not self.closing:  # the client doesn't read its responses
                self.acceptor.on_request_begun(self)
        elif self.request_begun:
            self.acceptor.on_request_begun(self)
        else:
            self.acceptor.on_idle(self)

    def close(self) -> None:
        """Close the connection now if it is idle, else after the response."""
        self.closing = True
        if not self.busy:
            self._close_now()

    def can_detach(self) -> bool:
        """Whether another process can go on: this one holds nothing, or one complete request."""
        if self.transport is None or self.transport.is_closing() or self.closing or self.request_begun:
            return False
        return not (
            self.queued or self.unparsed or self.writing_paused or self.transport.get_write_buffer_size()
        )

    def detach(self) -> int:
        """Return a new descriptor of the socket; this process's own is closed without the client noticing."""
        assert self.transport is not None
        descriptor = os.dup(self.transport.get_extra_info("socket").fileno())
        self.busy, self.closing = False, True
        self.transport.abort()
        return descriptor

    def adopt_request(self, request: HttpRequest) -> None:
        """Take over a request that another process has read; its response may come before the opening."""
        self.busy = self.is_opening = True
        self.current_bytes = len(request.body)
        self._set_held_bytes(self.current_bytes)

    def _close_now(self) -> None:
        """Close the socket; if a request is unread, the client gets a reset and can safely send it again."""
        if self.transport is not None:
            self.transport.close()
            self.acceptor.on_lingering(self)

    def _linger(self) -> None:
        """Close our side after the last response and wait for the client to close its own.

        Closing the socket while bytes are unread, such as the rest of a refused request, resets the
        connection, and the client loses what it has not read of the response.
        """
        if self.transport is not None and not self.transport.is_closing():
            self.lingering = True
            self.transport.write_eof()
            self.acceptor.on_lingering(self)


class Acceptor:
    """Makes the protocol objects of new connections and limits how many there are.

    Beyond the limit, the oldest connection that lingers after its last response is closed, else the oldest of
    the larger group: of those that are idle, or of those that await a request. So many silent connections
    displace each other, not the clients that are served.
    """

    def __init__(
        self, handler: Handler, max_connections: int, max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    ) -> None:
        self.handler, self.max_connections, self.max_body_bytes = handler, max_connections, max_body_bytes
        self.margin = max_connections // 8  # beyond the limit while all are busy: for call-backs, not jobs
        self.connections: set[Connection] = set()
        self.idle: OrderedDict[Connection, None] = OrderedDict()
        self.awaiting_request: OrderedDict[Connection, float] = OrderedDict()  # since when
        self.lingering: OrderedDict[Connection, float] = OrderedDict()  # since when
        self.drain_scope = DrainScope.NONE
        self.held_bytes = 0  # of memory, by all requests that are not responded to
        self.set_max_held_bytes(DEFAULT_MAX_HELD_BYTES)
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))  # each read is parsed before the next one
        self.turns = TurnScheduler()
        self.hand_over_idle: Callable[[Connection, bool], bool] | None = None  # see `hand_over`

    def __call__(self) -> Connection:
        return Connection(self)

    def on_opened(self, connection: Connection) -> None:
        """A connection has opened."""
        self.connections.add(connection)
        if len(self.connections) > self.max_connections:
            group = self.awaiting_request if len(self.awaiting_request) > len(self.idle) else self.idle
            lingering = next(
                (c for c in self.lingering if c.lingering), None
            )  # the others are closed already
            if lingering is not None:
                del self.lingering[lingering]
                lingering.disconnect()
            elif group:
                next(iter(group)).evict()
            else:
                connection.over_limit = True
                is_excess = len(self.connections) > self.max_connections + self.margin
                # One with an adopted request is kept: it must be answered.
                if is_excess and not connection.busy and connection.transport is not None:
                    log.warning("frontend_dropped", extra={"kv": {"connections": len(self.connections)}})
                    connection.transport.abort()
                    return
        self.awaiting_request[connection] = time.monotonic()

    def on_request_begun(self, connection: Connection) -> None:
        """Part of a request has arrived."""
        if connection not in self.awaiting_request:
            self.idle.pop(connection, None)
            self.awaiting_request[connection] = time.monotonic()

    def on_lingering(self, connection: Connection) -> None:
        """A connection has its last response, or needs none, and ends once the client has read it."""
        self.awaiting_request.pop(connection, None)
        self.idle.pop(connection, None)
        self.lingering[connection] = time.monotonic()

    @property
    def is_memory_full(self) -> bool:
        """Whether requests hold more memory than they may."""
        return self.held_bytes > self.max_held_bytes

    def limit_held_bytes(self, newest: Connection) -> None:
        """Refuse the slowest incomplete requests while they hold too much; if there are none, the newest one.

        Requests that are handled are answered in any case.
        """
        while self.is_memory_full:
            slowest = next((c for c in self.awaiting_request if c.has_unhandled_request), None)
            if slowest is None:
                if newest.has_unhandled_request:
                    newest.evict()
                return
            del self.awaiting_request[slowest]
            slowest.evict()

    def set_max_held_bytes(self, max_held_bytes: int) -> None:
        """Set the limit; a request of the largest size always fits."""
        self.max_held_bytes = max(max_held_bytes, 2 * self.max_body_bytes)

    def sweep(self) -> None:
        """End the connections whose timeout is over."""
        now = time.monotonic()
        for group, timeout_s in (
            (self.awaiting_request, REQUEST_TIMEOUT_S),
            (self.lingering, LINGER_TIMEOUT_S),
        ):
            while group and next(iter(group.values())) < now - timeout_s:
                connection, _ = group.popitem(last=False)
                if group is self.awaiting_request:
                    connection.on_request_timeout()
                else:
                    connection.disconnect()

    def on_busy(self, connection: Connection) -> None:
        """A connection has a request to be handled."""
        self.idle.pop(connection, None)
        self.awaiting_request.pop(connection, None)

    def on_idle(self, connection: Connection) -> None:
        """A connection waits for its next request."""
        if self.hand_over_idle is None or not self.hand_over_idle(connection, True):
            self.idle[connection] = None

    def on_closed(self, connection: Connection) -> None:
        """A connection has ended."""
        self.connections.discard(connection)
        for group in (self.idle, self.awaiting_request, self.lingering):
            group.pop(connection, None)

    def adopt(self, is_client: bool, idle: bool) -> Connection:
        """A connection that another process hands over; `idle`: between two requests."""
        connection = Connection(self)
        connection.adopted_idle, connection.is_client = idle, is_client
        return connection

    def set_max_connections(self, max_connections: int) -> None:
        """Set the limit; idle connections beyond it are closed as others open."""
        self.max_connections, self.margin = max_connections, max_connections // 8

    def has_unfinished_requests(self, max_wait_s: float = math.inf) -> bool:
        """Whether a request is incomplete or not responded to, or a client has not read its last response.

        Incomplete requests and unread responses older than `max_wait_s` don't count.
        """
        since = time.monotonic() - max_wait_s
        started = {c: at for c, at in self.awaiting_request.items() if c.request_begun} | self.lingering
        return any(c.busy for c in self.connections) or any(at > since for at in started.values())

    def hand_over(self, hand_over_idle: Callable[[Connection, bool], bool]) -> None:
        """Offer each connection without a request to a callback, now and whenever one becomes idle.

        The callback returns whether it has taken the connection over; its second argument tells whether that
        is idle or has had no request yet. Incomplete requests are handled here first.
        """
        self.hand_over_idle = hand_over_idle
        for connection in [*self.idle, *self.awaiting_request]:
            if hand_over_idle(connection, connection in self.idle):
                self.on_busy(connection)

    def drain(self, scope: DrainScope) -> None:
        """Drain these connections from now on, and no others.

        Idle ones are closed now, the others with their next response; an incomplete request is awaited.
        """
        if self.drain_scope is scope:
            return
        self.drain_scope = scope
        for connection in [*self.idle, *self.awaiting_request]:
            if not connection.request_begun and self.is_draining(connection):
                connection.close()

    def is_draining(self, connection: Connection) -> bool:
        """Whether a connection ends with its next response."""
        return self.drain_scope is DrainScope.ALL or (
            self.drain_scope is DrainScope.CLIENTS and connection.is_client
        )
