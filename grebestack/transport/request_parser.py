"""Parses the requests of one client connection, and refuses those that break the protocol or a limit."""

from __future__ import annotations

from typing import Protocol

import httptools

from grebestack.transport.body_buffer import BodyBuffer
from grebestack.transport.end_reason import EndReason
from grebestack.transport.http_message import HttpRequest

MAX_HEAD_BYTES = 16 * 1024
MAX_HEADER_FIELDS = 100
HEADER_FIELD_OVERHEAD_BYTES = 150  # of memory, beside the name and the value
SINGLE_HEADERS = frozenset(  # rejected if repeated: it would be open which one counts
    b"content-length transfer-encoding x-call-id x-call-class x-budget x-call-info x-call-cost x-caller "
    b"idempotency-key".split()
)


class HeadTooLargeError(Exception):
    """Ends the parsing of a head; the parser reports it as its own error."""


class ParserOwner(Protocol):
    """What a parser tells of the requests that it reads."""

    def on_request_received(self, request: HttpRequest) -> None:
        """A request is complete."""

    def on_continue_expected(self) -> None:
        """The client waits for an interim response before it sends the body."""


class ClosedOwner:
    """Stands for the owner of a parser that reads no more."""

    def on_request_received(self, request: HttpRequest) -> None:
        """Do nothing."""

    def on_continue_expected(self) -> None:
        """Do nothing."""


CLOSED_OWNER = ClosedOwner()


class RequestParser:
    """Reads one request after the other; `refusal` is set once the rest can't be read.

    `held_bytes` is the memory of the request that is being read.
    """

    def __init__(self, owner: ParserOwner, max_body_bytes: int) -> None:
        """Expect the first request."""
        self.owner: ParserOwner = owner
        self.max_body_bytes = max_body_bytes
        self.body = BodyBuffer()
        self.on_body = self.body.append  # called by httptools for each piece
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.refusal: EndReason | None = None
        self.completed_requests = 0
        self.incomplete_bytes = 0  # received since the parser last reported a complete part of head or body
        self.reset()

    @property
    def held_bytes(self) -> int:
        """The memory of the request that is being read, with its unfinished line in the parser."""
        line_bytes = self.incomplete_bytes if self.head_complete else self.incomplete_bytes - self.head_bytes
        return self.held_head_bytes + self.body.held_bytes + max(0, line_bytes)

    def reset(self) -> None:
        """Forget the request that is being read."""
        self.request = HttpRequest()
        self.body.clear()
        self.head_bytes = self.held_head_bytes = self.header_fields = 0
        self.head_complete = False  # headers that follow are trailers
        self.request_begun = False  # part of a request has arrived, and not all of it

    def forget(self) -> None:
        """Give back the memory of the request that is being read, which will not be handled."""
        self.request = HttpRequest()
        self.held_head_bytes = self.incomplete_bytes = 0
        self.body.clear()

    def close(self) -> None:
        """Read no more; references in a circle would keep the memory until the next garbage collection."""
        self.forget()
        self.parser, self.owner = None, CLOSED_OWNER

    def feed(self, data: memoryview) -> None:
        """Parse what has been received; `refusal` tells whether the rest can't be read."""
        assert self.parser is not None
        body = self.body.buffer
        completed, body_bytes, head_complete = self.completed_requests, len(body), self.head_complete
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self.refusal = self.refusal or EndReason.MALFORMED
        received_bytes = len(body)
        if received_bytes > self.max_body_bytes:
            self.refusal = self.refusal or EndReason.BODY_TOO_LARGE
        if not self.request_begun or completed != self.completed_requests:
            return
        if self.head_complete and (not head_complete or body_bytes != received_bytes):
            self.incomplete_bytes = 0
            return
        # The parser buffers a line of the head or the trailers until it is complete, and makes no callback
        # meanwhile: without this limit, an endless line would fill the memory.
        self.incomplete_bytes += len(data)
        if self.incomplete_bytes > MAX_HEAD_BYTES:
            self.refusal = self.refusal or EndReason.HEAD_TOO_LARGE

    # Called by httptools.

    def on_message_begin(self) -> None:
        """A request begins."""
        self.reset()
        self.request_begun = True

    def on_url(self, url: bytes) -> None:
        """Part of the target has arrived."""
        self._count_head(len(url))
        self.request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """A field of the head or the trailers is complete."""
        if self.head_complete:
            return
        self.header_fields += 1
        self._count_head(len(name) + len(value), HEADER_FIELD_OVERHEAD_BYTES)
        # Blanks after a value are allowed and are no part of it, and the parser keeps them.
        name, value = name.lower(), value.strip(b" \t")
        if self.refusal is not None:
            return
        if name in SINGLE_HEADERS and name in self.request.headers:
            self.refusal = EndReason.MALFORMED
        self.request.headers[name] = value

    def _count_head(self, size: int, overhead: int = 0) -> None:
        self.head_bytes += size
        self.held_head_bytes += size + overhead
        if self.head_bytes > MAX_HEAD_BYTES or self.header_fields > MAX_HEADER_FIELDS:
            self.refusal = EndReason.HEAD_TOO_LARGE
            raise HeadTooLargeError

    def on_headers_complete(self) -> None:
        """The head is complete."""
        assert self.parser is not None
        headers = self.request.headers
        self.head_complete, self.incomplete_bytes = True, 0
        length, coding = headers.get(b"content-length", b"0"), headers.get(b"transfer-encoding", b"chunked")
        # An ambiguous length would allow request smuggling: a request hidden in the body of another.
        malformed = not length.isdigit() or coding.lower() != b"chunked" or self.parser.should_upgrade()
        if malformed or (b"content-length" in headers and b"transfer-encoding" in headers):
            self.refusal = EndReason.MALFORMED
        elif len(length) > 18 or int(length) > self.max_body_bytes:
            self.refusal = EndReason.BODY_TOO_LARGE
        elif headers.get(b"expect", b"").lower() == b"100-continue":
            self.owner.on_continue_expected()

    def on_message_complete(self) -> None:
        """The request is complete."""
        self.request_begun = self.head_complete = False
        self.incomplete_bytes = 0
        self.completed_requests += 1
        if len(self.body) > self.max_body_bytes:
            self.refusal = self.refusal or EndReason.BODY_TOO_LARGE
        if self.refusal is not None:
            return
        assert self.parser is not None
        request = self.request
        request.method = self.parser.get_method()
        request.keep_alive = self.parser.should_keep_alive()
        request.held_bytes = self.held_head_bytes + len(self.body)
        request.body = self.body.take()
        self.forget()
        self.owner.on_request_received(request)
