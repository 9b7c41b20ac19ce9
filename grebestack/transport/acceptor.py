"""Makes the connections of clients, and limits how many there are and how much memory they hold."""

from __future__ import annotations

import logging
import math
import time
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable
from enum import Enum

from grebestack.transport.end_reason import EndReason
from grebestack.transport.interfaces import Handler
from grebestack.transport.memory_step import MemoryStep
from grebestack.transport.refusal_log import RefusalLog
from grebestack.transport.server import READ_BUFFER_BYTES, Connection
from grebestack.transport.turns import TurnScheduler

log = logging.getLogger(__name__)
DEFAULT_MAX_BODY_BYTES = 64 * 1024
DEFAULT_MAX_HELD_BYTES = 32 * 1024 * 1024
REQUEST_TIMEOUT_S = 2.3  # for a complete request, from its first byte or the opening of its connection
LINGER_TIMEOUT_S = 2.0  # for a client to close its side after the last response
MAX_UNCHECKED_BYTES = 128 * 1024  # that are received before the memory of the process is read again
RELIEVED_SHARE = 0.25  # of the incomplete requests, each time that the memory is found too high
UNREAD_TIMEOUT_S = 3.0  # for a client to read its response, while memory is full
SWEEP_INTERVAL_S = 0.25
DROP_LOG_INTERVAL_S = 1.0  # `ended_connection_limit` counts all


class DrainScope(Enum):
    """Which connections are drained: closed when idle, or with their next response."""

    NONE = "none"
    CLIENTS = "clients"  # those of clients; workers keep theirs for call-backs
    ALL = "all"


class Acceptor:
    """Makes the protocol objects of new connections and limits how many there are.

    Beyond the limit, each new connection ends the oldest of the largest group: of those that are idle, that
    await a request, or that linger after their last response. So many silent or refused connections displace
    each other, not the clients that are served. Some linger beyond the limit until their clients have read
    why they end.
    """

    def __init__(
        self, handler: Handler[Connection], max_connections: int, max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    ) -> None:
        """Accept nothing yet; `max_connections` are open at once, some more linger."""
        self.handler, self.max_connections, self.max_body_bytes = handler, max_connections, max_body_bytes
        self.margin = max_connections // 8  # beyond the limit while all are busy: for call-backs, not jobs
        self.connections: set[Connection] = set()
        self.closed: set[Connection] = set()  # of these, by this side, with the end not reported yet
        self.idle: OrderedDict[Connection, None] = OrderedDict()
        self.awaiting_request: OrderedDict[Connection, float] = OrderedDict()  # since when
        self.lingering: OrderedDict[Connection, float] = OrderedDict()  # since when
        self.unread: OrderedDict[Connection, float] = OrderedDict()  # with a response not read, since when
        self.drain_scope = DrainScope.NONE
        self.held_bytes = 0  # of memory, by all requests that are not responded to
        self.ends: Counter[EndReason] = Counter()  # of connections, since the start
        self.refusal_log = RefusalLog()
        self.next_drop_log_s = 0.0
        self.set_max_held_bytes(DEFAULT_MAX_HELD_BYTES)
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))  # each read is parsed before the next one
        self.turns = TurnScheduler()
        self.memory_step = MemoryStep.NORMAL
        self.check_memory: Callable[[], None] = lambda: None  # called after each `MAX_UNCHECKED_BYTES`
        self.unchecked_bytes = 0  # received since it was called last
        self.hand_over_idle: Callable[[Connection, bool], bool] | None = None  # see `hand_over`

    def __call__(self) -> Connection:
        """Make the connection that the event loop has accepted."""
        return Connection(self)

    def on_opened(self, connection: Connection) -> None:
        """A connection has opened."""
        self.connections.add(connection)
        if self._count_open() > self.max_connections:
            self._make_room_for(connection)
        if connection.end_reason is None:
            self.awaiting_request[connection] = time.monotonic()

    def _count_open(self) -> int:
        """The connections that are not closed; the loop reports the end of a closed one a little later."""
        return len(self.connections) - len(self.closed)

    def _make_room_for(self, connection: Connection) -> None:
        """End another connection for a new one; beyond the margin the new one is ended, unread."""
        group = self.awaiting_request if len(self.awaiting_request) > len(self.idle) else self.idle
        lingering_count = len(self.lingering) - len(self.closed)
        if lingering_count > len(group):
            self._end_longest_lingering()
        elif group:
            next(iter(group)).evict(EndReason.CONNECTION_LIMIT)
        else:
            connection.over_limit = True
        excess = self._count_open() - self.max_connections
        if excess > self.margin // 2:
            self._end_longest_lingering()
        # One with an adopted request is kept: it must be answered.
        if excess > self.margin and not connection.busy:
            self._log_dropped()
            connection.disconnect(EndReason.CONNECTION_LIMIT)

    def _end_longest_lingering(self) -> None:
        """End the connection that has lingered for the longest, apart from those that are closed already."""
        lingering = next((c for c in self.lingering if c not in self.closed), None)
        if lingering is not None:
            self.closed.add(lingering)
            lingering.disconnect(EndReason.CONNECTION_LIMIT)

    def _log_dropped(self) -> None:
        now_s = time.monotonic()
        if now_s >= self.next_drop_log_s:
            self.next_drop_log_s = now_s + DROP_LOG_INTERVAL_S
            log.warning("frontend_dropped", extra={"kv": {"connections": len(self.connections)}})

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
        if not connection.lingering:
            self.closed.add(connection)

    def on_refused(self, reason: EndReason, status: int, call_id: bytes, held_bytes: int) -> None:
        """A request is refused that has not been handled."""
        self.refusal_log.record(reason, status, call_id, held_bytes)

    @property
    def idle_connections(self) -> Iterable[Connection]:
        """Those that wait for their next request."""
        return self.idle

    def on_held_bytes_changed(self, change: int) -> None:
        """The requests of a connection hold more memory, or less."""
        self.held_bytes += change

    @property
    def is_memory_full(self) -> bool:
        """Whether requests and unread responses hold more memory than they may."""
        if self.held_bytes > self.max_held_bytes:
            self._count_unread()
        return self.held_bytes > self.max_held_bytes

    def on_unread(self, connection: Connection) -> None:
        """A response has been written that the client has not read yet."""
        self.unread.setdefault(connection, time.monotonic())

    def _count_unread(self) -> None:
        """Count anew the responses that have not been read."""
        for connection in list(self.unread):
            if not connection.count_unread_bytes():
                del self.unread[connection]

    def _drop_unread_responses(self, before_s: float) -> None:
        """While memory is full, drop the responses that have not been read since before a time."""
        while self.is_memory_full and self.unread and next(iter(self.unread.values())) < before_s:
            connection, _ = self.unread.popitem(last=False)
            connection.drop_unread_response()

    def limit_held_bytes(self, newest: Connection) -> None:
        """Refuse the slowest incomplete requests while they hold too much; if there are none, the newest one.

        Requests that are handled are answered in any case.
        """
        if self.held_bytes <= self.max_held_bytes:
            return
        if not self._refuse_incomplete_requests() and newest.has_unhandled_request:
            newest.evict(EndReason.MEMORY_LIMIT)

    def has_room_for_job(self) -> bool:
        """Whether a new job may be taken, if incomplete requests are refused first."""
        return self.memory_step < MemoryStep.REFUSE_JOBS and self._refuse_incomplete_requests()

    def on_received(self, size: int) -> None:
        """A connection has read data."""
        self.unchecked_bytes += size
        if self.unchecked_bytes >= MAX_UNCHECKED_BYTES:
            self.unchecked_bytes = 0
            self.check_memory()

    def relieve_memory(self, step: MemoryStep) -> int:
        """Refuse a part of the incomplete requests, and drop unread responses; return how many of both."""
        incomplete = [c for c in self.awaiting_request if c.has_unhandled_request]
        incomplete.sort(key=lambda connection: connection.held_bytes, reverse=True)
        refused = incomplete[: math.ceil(len(incomplete) * RELIEVED_SHARE)]
        for connection in refused:
            self.awaiting_request.pop(connection, None)
            connection.evict(EndReason.MEMORY_LIMIT)
        if step < MemoryStep.DROP_UNREAD:
            return len(refused)
        self._count_unread()
        unread = list(self.unread)[: math.ceil(len(self.unread) * RELIEVED_SHARE)]
        for connection in unread:
            del self.unread[connection]
            connection.drop_unread_response()
        return len(refused) + len(unread)

    def _refuse_incomplete_requests(self) -> bool:
        """Refuse the slowest ones until there is memory again; return whether there is."""
        if not self.is_memory_full:
            return True
        for connection in list(self.awaiting_request):
            if self.held_bytes <= self.max_held_bytes:
                return True
            if connection.has_unhandled_request:
                self.awaiting_request.pop(connection, None)
                connection.evict(EndReason.MEMORY_LIMIT)
        return not self.is_memory_full

    def set_max_held_bytes(self, max_held_bytes: int) -> None:
        """Set the limit; a request of the largest size always fits."""
        self.max_held_bytes = max(max_held_bytes, 2 * self.max_body_bytes)

    def sweep(self) -> None:
        """End the connections whose timeout is over."""
        now = time.monotonic()
        self._count_unread()
        self._drop_unread_responses(now - UNREAD_TIMEOUT_S)
        for group, timeout_s in (
            (self.awaiting_request, REQUEST_TIMEOUT_S),
            (self.lingering, LINGER_TIMEOUT_S),
        ):
            while group and next(iter(group.values())) < now - timeout_s:
                connection, _ = group.popitem(last=False)
                if group is self.awaiting_request:
                    connection.on_request_timeout()
                else:
                    connection.disconnect(EndReason.LINGER_TIMEOUT)

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
        self.closed.discard(connection)
        for group in (self.idle, self.awaiting_request, self.lingering, self.unread):
            group.pop(connection, None)
        if connection.end_reason is not None:
            self.ends[connection.end_reason] += 1

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
