"""An HTTP/1.1 response without an end, as a stream of lines."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import httptools

from grebestack.transport.body_buffer import BodyBuffer


class LineStream(asyncio.Protocol):
    """A GET whose response has no end: passes on each line of its body."""

    MAX_LINE_BYTES = 4 * 1024 * 1024

    def __init__(
        self, request: bytes, on_line: Callable[[bytes], None], on_ended: Callable[[], None]
    ) -> None:
        """Send the request once connected; pass on each line, and the end."""
        self.request, self.on_line, self.on_ended = request, on_line, on_ended
        self.parser = httptools.HttpResponseParser(self)
        self.line = BodyBuffer()  # the incomplete one
        self.pending_bytes = 0  # received since the last complete line
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(self.request)

    def data_received(self, data: bytes) -> None:
        """Part of the response has arrived."""
        self.pending_bytes += len(data)
        if self.pending_bytes > self.MAX_LINE_BYTES:  # a line, a header or a chunk's length without end
            self.close()
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()

    def on_body(self, body: bytes) -> None:
        """Part of the body has arrived."""
        if self.parser.get_status_code() != 200:
            self.close()
            return
        if b"\n" not in body:  # joining each small piece of a long line at once would take quadratic time
            self.line.append(body)
            return
        first, *lines, rest = body.split(b"\n")
        self.line.append(first)
        lines.insert(0, self.line.take())
        self.line.append(rest)
        self.pending_bytes = len(rest)
        for line in lines:
            self.on_line(line)

    def on_message_complete(self) -> None:
        """The response has ended, though it should not."""
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self.transport = None
        self.on_ended()

    def close(self) -> None:
        """Close the connection; `on_ended` follows."""
        if self.transport is not None:
            self.transport.abort()
