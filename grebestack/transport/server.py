"""Connections that others open to the dispatcher: one request at a time, answered by a callback."""

from __future__ import annotations

import asyncio
import logging
import math
import os
import time
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol, cast

import httptools

log = logging.getLogger(__name__)
MOST_BODY = 64 * 1024
MOST_HEAD = 16 * 1024
MOST_QUEUED = 2  # requests that a client may send ahead of an answer
WHOLE_S = 2.3  # a request is whole so long after its connection came up, or after its first byte
LINGER_S = 2.0  # a client that does not end its side after the last answer is cut off after this
MOST_UNREAD = 256 * 1024  # and one that goes on to send after so many bytes
SWEEP_INTERVAL_S = 0.25
ONCE = frozenset(  # two of these leave open which one counts
    b"content-length transfer-encoding x-call-id x-call-class x-budget x-call-info x-call-cost x-caller "
    b"idempotency-key".split()
)
REASONS = {
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
    """A request as it came; header names are in lower case."""

    method: bytes = b""
    target: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True

    @property
    def path(self) -> bytes:
        """The target without its query."""
        return self.target.partition(b"?")[0]


class DrainScope(Enum):
    """Which connections are led out."""

    NONE = "none"
    CLIENTS = "clients"  # those that have brought a job; runners keep theirs for call-backs
    ALL = "all"


class Handler(Protocol):
    """What becomes of requests. Each is answered once by `Connection.respond`, at once or later."""

    def on_request(self, connection: Connection, request: HttpRequest) -> None:
        """A whole request has come."""

    def on_disconnect(self, connection: Connection) -> None:
        """The client closed while its request was unanswered."""


class Connection(asyncio.Protocol):
    """One client's connection.

    States: waiting (new, or part of a request has come), idle (kept after an answer), busy (a request waits
    for its answer), closed. Reading goes on while busy: an end of file then means that the client has gone.
    """

    def __init__(self, acceptor: Acceptor) -> None:
        self.acceptor = acceptor
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.busy = False
        self.closing = False  # the connection ends with the answer that is due
        self.paused = False
        self.adopted = False  # another process accepted it and handed it over between two requests
        self.over_limit = False  # it came while the budget was spent
        self.handler_data: Any = None  # the handler's own note
        self.is_client = False  # whether it has brought a job: a client's, not a runner's
        self.queued: deque[HttpRequest] = deque()
        self.refused: int | None = None  # why the request that is being read is refused
        self.lingers = False  # the last answer has gone and our side is ended; what comes is dropped
        self.dropped = 0  # bytes of that
        self.whole = 0  # requests that came to their end
        self.fed = 0  # bytes since the head or the body got on
        self._begin()

    def _begin(self) -> None:
        self.reading = HttpRequest()
        self.parts: list[bytes] = []
        self.size = self.head = 0
        self.headed = False  # the head is whole: what comes as headers after it are trailers
        self.partial = False  # some of the request has come, not all

    # asyncio's callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.acceptor.opened(self)
        if self.adopted:
            self.acceptor.engaged(self)
            self.acceptor.idled(self)

    def data_received(self, data: bytes) -> None:
        if self.closing or self.refused is not None:
            self.dropped += len(data)  # what follows the last request that is taken
            if self.dropped > MOST_UNREAD and self.lingers and self.transport is not None:
                self.transport.abort()
            return
        whole, size, headed = self.whole, self.size, self.headed
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.refused = self.refused or 400
        except httptools.HttpParserError:
            self.refused = self.refused or 400
        if self.partial and whole == self.whole and (not self.headed or (headed and size == self.size)):
            # Guards memory against a line that never ends, in head or trailers: the parser keeps it
            # and tells nobody.
            self.fed += len(data)
            if self.fed > MOST_HEAD:
                self.refused = self.refused or 431
        if self.refused is not None:
            self._refuse()
        elif self.partial and not self.busy:
            self.acceptor.awaited(self)

    def overdue(self) -> None:
        """Guards against clients that say nothing or never finish: no longer is waited for them."""
        if self.partial:
            self.refused = 408
            self._refuse()
        else:
            self.close()

    def push_out(self) -> None:
        """Others have come and the budget is spent; a request that has begun is denied: it may come again."""
        if self.partial:
            self.refused = 503
            self._refuse()
        else:
            self.close()

    def eof_received(self) -> bool:
        return False  # a client that has stopped sending has gone

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.closing = True
        self.queued.clear()
        self.acceptor.closed(self)
        if self.busy:
            self.busy = False
            self.acceptor.handler.on_disconnect(self)

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False
        self._next()

    # httptools' callbacks.

    def on_message_begin(self) -> None:
        self._begin()
        self.partial = True

    def on_url(self, url: bytes) -> None:
        self._count_head(len(url))
        self.reading.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.headed:
            return
        self._count_head(len(name) + len(value))
        # Guards clients that write blanks after a value, as they may: they are no part of it, and the parser
        # leaves them there.
        name, value = name.lower(), value.strip(b" \t")
        if name in ONCE and name in self.reading.headers:
            self.refused = 400
        self.reading.headers[name] = value

    def _count_head(self, size: int) -> None:
        self.head += size
        if self.head > MOST_HEAD:
            self.refused = 431

    def on_headers_complete(self) -> None:
        headers = self.reading.headers
        self.headed, self.fed = True, 0
        length, coding = headers.get(b"content-length", b"0"), headers.get(b"transfer-encoding", b"chunked")
        # Guards against a request that hides in the body of another: which length counts must never be open.
        odd = not length.isdigit() or coding.lower() != b"chunked" or self.parser.should_upgrade()
        if odd or (b"content-length" in headers and b"transfer-encoding" in headers):
            self.refused = 400
        elif len(length) > 18 or int(length) > self.acceptor.max_body_bytes:
            self.refused = 413
        elif headers.get(b"expect", b"").lower() == b"100-continue" and not self.busy and self.transport:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self.size += len(body)
        self.fed = 0
        if self.size > self.acceptor.max_body_bytes:
            self.refused = 413
            self.parts.clear()
        elif self.refused is None:
            self.parts.append(body)

    def on_message_complete(self) -> None:
        self.partial = self.headed = False
        self.whole += 1
        if self.refused is not None:
            return
        request = self.reading
        request.method = self.parser.get_method()
        request.keep_alive = self.parser.should_keep_alive()
        request.body = b"".join(self.parts)
        self.queued.append(request)
        if len(self.queued) > MOST_QUEUED:
            self.refused = 400
        else:
            self._next()

    # Requests and answers.

    def _refuse(self) -> None:
        """Answer a client that breaks the protocol at once, whatever it still waits for."""
        self.queued.clear()
        if self.busy and not self.closing:
            self.closing = True
            self.acceptor.handler.on_disconnect(self)
            self.respond(self.refused or 400)
        else:
            self._next()

    def _next(self) -> None:
        """Hand on the next request, unless one is unanswered or the client does not read."""
        while self.queued and not self.busy and not self.paused and not self.closing:
            request = self.queued.popleft()
            self.busy, self.closing = True, not request.keep_alive
            self.acceptor.engaged(self)
            try:
                self.acceptor.handler.on_request(self, request)
            except Exception:  # guards the client, and the budget, against a fault of ours
                log.exception("request_fault", extra={"kv": {"target": request.target[:80]}})
                self.acceptor.handler.on_disconnect(self)
                self.respond(500)
        if self.refused is not None and not self.busy and not self.closing:
            self.busy = self.closing = True
            self.respond(self.refused)

    def respond(self, status: int, body: bytes = b"", headers: bytes = b"") -> None:
        """Answer the request that is due; `headers` are whole lines."""
        if not self.busy:
            return
        self.busy = False
        if self.transport is None:
            return
        self.closing = self.closing or self.acceptor.leads_out(self)
        reason = REASONS.get(status, b"Unknown")
        close = b"Connection: close\r\n" if self.closing else b""
        self.transport.write(
            b"HTTP/1.1 %d %s\r\n%s%sContent-Length: %d\r\n\r\n%s"
            % (status, reason, headers, close, len(body), body)
        )
        if self.closing:
            self._linger()
        elif self.queued or self.refused is not None:
            self._next()
        elif self.partial:
            self.acceptor.awaited(self)
        else:
            self.acceptor.idled(self)

    def close(self) -> None:
        """Close it if it is idle, else after the answer."""
        self.closing = True
        if not self.busy:
            self._shut()

    def can_detach(self) -> bool:
        """Whether another process can go on with it: all that is of it here is, perhaps, a whole request."""
        if self.transport is None or self.transport.is_closing() or self.closing or self.partial:
            return False
        return not (self.queued or self.paused or self.transport.get_write_buffer_size())

    def detach(self) -> int:
        """A new descriptor of its socket; this process's own is closed, and nothing is said to the client."""
        assert self.transport is not None
        descriptor = os.dup(self.transport.get_extra_info("socket").fileno())
        self.busy, self.closing = False, True
        self.transport.abort()
        return descriptor

    def resume(self, request: HttpRequest | None) -> None:
        """Go on with a request that another process has read; None: with its answer alone."""
        if self.transport is None:
            return  # the client has left meanwhile
        self.acceptor.engaged(self)
        if request is None:
            self.busy = True
        else:
            self.queued.append(request)
            self._next()

    def _shut(self) -> None:
        """Close at once: a request that lies unread is met by a reset, and its client sends it once more."""
        if self.transport is not None:
            self.transport.close()
            self.acceptor.leaving(self)

    def _linger(self) -> None:
        """End our side after the last answer and wait for the client to end its own.

        Guards the answer: a close over bytes that lie unread, such as the rest of a request that is refused,
        resets the connection, and what the client has not read yet is gone with it.
        """
        if self.transport is not None and not self.transport.is_closing():
            self.lingers = True
            self.transport.write_eof()
            self.acceptor.leaving(self)


class Acceptor:
    """Makes connections and keeps them within a budget.

    Those that owe a request and those that are idle are closed first, the longest of the larger crowd: one
    that says nothing pushes out itself and not the clients that are served.
    """

    def __init__(self, handler: Handler, max_connections: int, max_body_bytes: int = MOST_BODY) -> None:
        self.handler, self.max_connections, self.max_body_bytes = handler, max_connections, max_body_bytes
        self.margin = (
            max_connections // 8
        )  # come while all are busy: their call-backs are taken, their jobs denied
        self.connections: set[Connection] = set()
        self.idle: OrderedDict[Connection, None] = OrderedDict()
        self.waiting: OrderedDict[Connection, float] = OrderedDict()  # since when a request is owed
        self.left: OrderedDict[Connection, float] = OrderedDict()  # since when the last answer is being read
        self.leading = DrainScope.NONE
        self.hand_over_idle: Callable[[Connection, bool], bool] | None = None  # idle ones go elsewhere

    def __call__(self) -> Connection:
        return Connection(self)

    def opened(self, connection: Connection) -> None:
        """A connection has come up."""
        self.connections.add(connection)
        if len(self.connections) > self.max_connections:
            crowd = self.waiting if len(self.waiting) > len(self.idle) else self.idle
            if crowd:
                next(iter(crowd)).push_out()
            else:
                connection.over_limit = True
                if (
                    len(self.connections) > self.max_connections + self.margin
                    and connection.transport is not None
                ):
                    log.warning("frontend_dropped", extra={"kv": {"connections": len(self.connections)}})
                    connection.transport.abort()
                    return
        self.waiting[connection] = time.monotonic()

    def awaited(self, connection: Connection) -> None:
        """Part of a request has come."""
        if connection not in self.waiting:
            self.idle.pop(connection, None)
            self.waiting[connection] = time.monotonic()

    def leaving(self, connection: Connection) -> None:
        """A connection has its last answer and ends once that is read."""
        self.waiting.pop(connection, None)
        self.idle.pop(connection, None)
        self.left[connection] = time.monotonic()

    def sweep(self) -> None:
        """End what has been waited for long enough."""
        now = time.monotonic()
        for crowd, most_s in ((self.waiting, WHOLE_S), (self.left, LINGER_S)):
            while crowd and next(iter(crowd.values())) < now - most_s:
                connection, _ = crowd.popitem(last=False)
                if crowd is self.waiting:
                    connection.overdue()
                elif connection.transport is not None:
                    connection.transport.abort()

    def engaged(self, connection: Connection) -> None:
        """A connection has got a request."""
        self.idle.pop(connection, None)
        self.waiting.pop(connection, None)

    def idled(self, connection: Connection) -> None:
        """A connection waits for its next request."""
        if self.hand_over_idle is None or not self.hand_over_idle(connection, True):
            self.idle[connection] = None

    def closed(self, connection: Connection) -> None:
        """A connection has ended."""
        self.connections.discard(connection)
        for crowd in (self.idle, self.waiting, self.left):
            crowd.pop(connection, None)

    def adopt(self, is_client: bool, idle: bool) -> Connection:
        """A connection that another process hands over; `idle`: it owes no request."""
        connection = Connection(self)
        connection.adopted, connection.is_client = idle, is_client
        return connection

    def set_max_connections(self, max_connections: int) -> None:
        """Keep within another budget from now on; idle connections beyond it are closed as others come."""
        self.max_connections, self.margin = max_connections, max_connections // 8

    def has_unfinished_requests(self, most_s: float = math.inf) -> bool:
        """Whether some connection has a request that has begun, or an answer that it has not read; for longer
        than `most_s` neither is waited for, but an answer that is due is.
        """
        since = time.monotonic() - most_s
        owed = {c: at for c, at in self.waiting.items() if c.partial} | self.left
        return any(c.busy for c in self.connections) or any(at > since for at in owed.values())

    def hand_over(self, handing: Callable[[Connection, bool], bool]) -> None:
        """Hand over what is idle, now and later; a request that has begun is answered here first."""
        self.hand_over_idle = handing
        for connection in [*self.idle, *self.waiting]:
            if handing(connection, connection in self.idle):
                self.engaged(connection)

    def drain(self, scope: DrainScope) -> None:
        """Lead connections out, more or fewer of them, or none any more.

        What is idle now is closed, all else with its next answer; a request that has begun is awaited.
        """
        if self.leading is scope:
            return
        self.leading = scope
        for connection in [*self.idle, *self.waiting]:
            if not connection.partial and self.leads_out(connection):
                connection.close()

    def leads_out(self, connection: Connection) -> bool:
        """Whether a connection ends with its next answer."""
        return self.leading is DrainScope.ALL or (self.leading is DrainScope.CLIENTS and connection.is_client)
