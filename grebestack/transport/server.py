"""HTTP/1.1 server: connections that clients and workers open to the dispatcher, one request at a time."""

from __future__ import annotations

import asyncio
import logging
import os
from collections import deque
from typing import Any, cast

from grebestack.transport.end_reason import REFUSAL_STATUS, EndReason
from grebestack.transport.http_message import HttpRequest, encode_response
from grebestack.transport.interfaces import ConnectionOwner
from grebestack.transport.peer_state import has_peer_closed
from grebestack.transport.request_parser import RequestParser
from grebestack.transport.turns import MAX_STEP_BYTES, READ_COST_BYTES, ReadPriority

log = logging.getLogger(__name__)
READ_BUFFER_BYTES = 16 * 1024
PARSED_AT_ONCE_BYTES = 1024
MAX_REQUESTS_PER_TURN = 16  # of the event loop, for one connection
MAX_PIPELINED_REQUESTS = 2  # requests that a client may send before the response to an earlier one
MAX_MALFORMED_REQUESTS = 8  # of one connection
MIN_COUNTED_RESPONSE_BYTES = 1024  # the sockets' own buffers hold smaller ones
MAX_DISCARDED_BYTES = 256 * 1024  # from a client that goes on sending after the last response


class Connection(asyncio.BufferedProtocol):
    """One client's connection.

    States: awaiting a request (new, or part of a request has arrived), idle (kept open after a response),
    busy (a request awaits its response), closed. Data is read while busy too, since only an end of file shows
    that the client has closed the connection. Reading pauses for a turn of the loop after many requests.
    """

    def __init__(self, acceptor: ConnectionOwner[Connection]) -> None:
        """Belong to an acceptor, not open yet."""
        self.acceptor = acceptor
        self.transport: asyncio.Transport | None = None
        self.parser = RequestParser(self, acceptor.max_body_bytes)
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
        self.end_reason: EndReason | None = None  # set once this side has decided to end the connection
        self.lingering = False  # our side is closed after the last response; what arrives is discarded
        self.discarded_bytes = self.malformed_requests = 0
        self.unparsed = b""  # received, and left for a later turn of the event loop
        self.unparsed_from = 0  # what is before this has been parsed since
        self.spent_bytes = 0  # the cost of the request that is being read
        self.held_bytes = 0  # of memory, by all its requests that are not responded to
        self.current_bytes = 0  # of these, by the request that is handled
        self.unread_bytes = 0  # of responses, as counted last

    @property
    def request_begun(self) -> bool:
        """Whether part of a request has arrived, and not all of it."""
        return self.parser.request_begun

    @property
    def has_unhandled_request(self) -> bool:
        """Whether a request is incomplete, or waits behind another."""
        return self.request_begun or bool(self.queued)

    @property
    def is_overloaded(self) -> bool:
        """Whether a new job can't be taken: there are too many connections, or too much memory is held."""
        return self.over_limit or not self.acceptor.has_room_for_job()

    def has_peer_closed(self) -> bool:
        """Whether the client has closed its side, also if that is not read yet behind other data."""
        return self.transport is not None and has_peer_closed(self.transport)

    # asyncio's callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open, or handed over by another process."""
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
        """Return the buffer that all connections read into, one after the other."""
        return self.acceptor.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Data has been read: handle a first step of it, or leave it to a later turn."""
        data = self.acceptor.read_buffer[:nbytes]
        self.acceptor.on_received(nbytes)
        self.spent_bytes += READ_COST_BYTES
        read_bytes = 0
        if self.acceptor.turns.may_read(self.read_priority):
            others_wait = self.acceptor.turns.is_scheduled
            read_bytes = self._read(data[:MAX_STEP_BYTES] if others_wait else data)
        if read_bytes < nbytes:
            self._defer(bytes(data[read_bytes:]))

    def eof_received(self) -> bool:
        """The client has closed its side: it counts as gone."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self.transport = None
        self.closing, self.is_opening = True, False
        self.end_reason = self.end_reason or (EndReason.PEER_RESET if exc else EndReason.PEER_CLOSED)
        self.unparsed, self.unparsed_from = b"", 0
        self.current_bytes = self.unread_bytes = 0
        self._drop_unhandled()
        self.parser.close()
        self._set_held_bytes(0)
        self.acceptor.on_closed(self)
        if self.busy:
            self.busy = False
            self.acceptor.handler.on_disconnect(self)

    def pause_writing(self) -> None:
        """The client does not read its responses."""
        self.writing_paused = True

    def resume_writing(self) -> None:
        """The client reads its responses again."""
        self.writing_paused = False
        self.count_unread_bytes()
        self._handle_next()

    # Reading.

    @property
    def read_priority(self) -> ReadPriority:
        """Which connections are continued before this one."""
        if self.spent_bytes > MAX_STEP_BYTES:
            return ReadPriority.COSTLY
        return ReadPriority.KNOWN if self.parser.completed_requests else ReadPriority.NEW

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse what has arrived, and handle some requests; the others follow in later turns of the loop."""
        read_bytes = self._read(memoryview(data))
        if read_bytes < len(data):
            self._defer(bytes(data[read_bytes:]))

    def _read(self, data: memoryview) -> int:
        """Parse data up to a number of requests, and return how much of it."""
        completed = self.parser.completed_requests
        for start in range(0, len(data), PARSED_AT_ONCE_BYTES):
            if self.closing or self.refusal_status is not None:
                self._discard(len(data) - start)  # it follows the last request that is accepted
                break
            if self.parser.completed_requests - completed >= MAX_REQUESTS_PER_TURN:
                return start
            self._parse(data[start : start + PARSED_AT_ONCE_BYTES])
        self._count_held_bytes()
        self.acceptor.limit_held_bytes(self)
        return len(data)

    def _discard(self, size: int) -> None:
        self.discarded_bytes += size
        if self.discarded_bytes > MAX_DISCARDED_BYTES and self.lingering:
            self.disconnect(EndReason.EXCESS_DATA)

    def _defer(self, unparsed: bytes) -> None:
        """Read on in a later turn of the event loop, beginning with what is not parsed yet."""
        if self.transport is None or self.transport.is_closing():
            return
        self.unparsed, self.unparsed_from = unparsed, 0
        self._count_held_bytes()
        self.transport.pause_reading()
        self.acceptor.turns.defer(self)

    def continue_reading(self, others_wait: bool) -> None:
        """Go on with what was deferred, a step if others wait, and read again once all of it is parsed."""
        if self.transport is None or self.transport.is_closing():
            self.unparsed, self.unparsed_from = b"", 0
            return
        end = self.unparsed_from + MAX_STEP_BYTES if others_wait else len(self.unparsed)
        self.unparsed_from += self._read(memoryview(self.unparsed)[self.unparsed_from : end])
        if self.unparsed_from < len(self.unparsed):
            self.acceptor.turns.defer_again(self)
            return
        self.unparsed, self.unparsed_from = b"", 0
        self._count_held_bytes()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def _parse(self, data: memoryview) -> None:
        completed = self.parser.completed_requests
        self.parser.feed(data)
        self.spent_bytes = self.spent_bytes + len(data) if self.parser.completed_requests == completed else 0
        if self.parser.refusal is not None:
            self._refuse(self.parser.refusal)
        elif self.refusal_status is not None:
            self._refuse_now()
        elif self.request_begun and not self.busy:
            self.acceptor.on_request_begun(self)

    # What the parser tells.

    def on_request_received(self, request: HttpRequest) -> None:
        """A request is complete: handle it, or queue it behind another."""
        self.queued.append(request)
        self._count_held_bytes()
        if len(self.queued) > MAX_PIPELINED_REQUESTS:
            self.parser.refusal = EndReason.TOO_MANY_PIPELINED
        else:
            self._handle_next()

    def on_continue_expected(self) -> None:
        """The client waits for an interim response before it sends the body."""
        if not self.busy and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    # The memory that requests hold until they are responded to.

    def _count_held_bytes(self) -> None:
        held_bytes = self.current_bytes + self.parser.held_bytes + self.unread_bytes
        held_bytes += len(self.unparsed) - self.unparsed_from
        if self.queued:
            held_bytes += sum(request.held_bytes for request in self.queued)
        self._set_held_bytes(held_bytes)

    def count_unread_bytes(self) -> int:
        """Count anew what the client has not read of its responses, and return it."""
        self.unread_bytes = self.transport.get_write_buffer_size() if self.transport else 0
        self._count_held_bytes()
        return self.unread_bytes

    def drop_unread_response(self) -> None:
        """End the connection of a client that does not read its response, and give back the memory."""
        self.disconnect(EndReason.UNREAD_RESPONSE)
        self.unread_bytes = 0
        self._count_held_bytes()

    def _set_held_bytes(self, size: int) -> None:
        self.acceptor.on_held_bytes_changed(size - self.held_bytes)
        self.held_bytes = size

    def _drop_unhandled(self) -> None:
        """Forget the requests that are incomplete or wait behind the one that is handled."""
        self.queued.clear()
        self.parser.forget()
        self._count_held_bytes()

    # Refusals.

    def on_request_timeout(self) -> None:
        """Refuse an incomplete or unhandled request, or close a connection without one."""
        if self.has_unhandled_request:
            self._refuse(EndReason.REQUEST_TIMEOUT)
        else:
            self.close(EndReason.NO_REQUEST)

    def evict(self, reason: EndReason) -> None:
        """Make room for others; a request that is not handled yet is refused, and its client may retry."""
        if not self.has_unhandled_request:
            self.close(reason)
        elif self.busy:  # the response to the request that is handled must not tell that a retry is harmless
            self._refuse(reason, 400)
        else:
            self._refuse(reason)

    def count_malformed_request(self) -> None:
        """Note that the handler can't use the current request; after some of them the connection ends."""
        self.malformed_requests += 1
        if self.malformed_requests >= MAX_MALFORMED_REQUESTS:
            self.close(EndReason.MALFORMED_JOBS)

    def _refuse(self, reason: EndReason, status: int | None = None) -> None:
        self._count_held_bytes()
        self.refusal_status = status or REFUSAL_STATUS[reason]
        self.end_reason = self.end_reason or reason
        headers = (self.queued[0] if self.queued else self.parser.request).headers
        call_id = headers.get(b"x-call-id", b"")
        self.acceptor.on_refused(reason, self.refusal_status, call_id, self.held_bytes - self.current_bytes)
        self._refuse_now()

    def _refuse_now(self) -> None:
        """Respond at once to a client that breaks the protocol, even while an earlier request is handled."""
        self._drop_unhandled()
        if self.busy and not self.closing:
            self.closing = True
            self.acceptor.handler.on_disconnect(self)
            self.respond(self.refusal_status or 400)
        else:
            self._handle_next()

    # Requests and responses.

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
        self.current_bytes = 0
        self._count_held_bytes()
        if self.transport is None:
            return
        self.closing = self.closing or self.acceptor.is_draining(self)
        self.transport.write(encode_response(status, body, headers, is_last=self.closing))
        if len(body) >= MIN_COUNTED_RESPONSE_BYTES and self.count_unread_bytes():
            self.acceptor.on_unread(self)
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

    # The end.

    def disconnect(self, reason: EndReason = EndReason.DISCONNECTED) -> None:
        """End the connection at once; `on_disconnect` follows if a request is handled."""
        if self.transport is not None:
            self.end_reason = self.end_reason or reason
            self.transport.abort()

    def close(self, reason: EndReason = EndReason.IDLE_CLOSED) -> None:
        """Close the connection now if it is idle, else after the response."""
        self.closing, self.end_reason = True, self.end_reason or reason
        if not self.busy:
            self._close_now()

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
            self.end_reason = self.end_reason or EndReason.LAST_RESPONSE
            self.transport.write_eof()
            self.acceptor.on_lingering(self)

    # Hot restart.

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
        self.disconnect(EndReason.HANDED_OVER)
        return descriptor

    def adopt_request(self, request: HttpRequest) -> None:
        """Take over a request that another process has read; its response may come before the opening."""
        self.busy = self.is_opening = True
        self.current_bytes = len(request.body)
        self._set_held_bytes(self.current_bytes)
