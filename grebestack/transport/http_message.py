"""HTTP/1.1 messages of the server: a request as received, and the encoding of a response."""

from __future__ import annotations

from dataclasses import dataclass, field

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


def encode_response(status: int, body: bytes, headers: bytes, is_last: bool) -> bytes:
    """Encode a response; `headers` are complete lines, `is_last`: the connection ends with it."""
    reason = REASON_PHRASES.get(status, b"Unknown")
    close = b"Connection: close\r\n" if is_last else b""
    return b"HTTP/1.1 %d %s\r\n%s%sContent-Length: %d\r\n\r\n%s" % (
        status,
        reason,
        headers,
        close,
        len(body),
        body,
    )
