"""What a connection of the server needs of the acceptor that made it, and of the handler of its requests."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol, TypeVar

from grebestack.transport.end_reason import EndReason
from grebestack.transport.http_message import HttpRequest
from grebestack.transport.turns import TurnScheduler

ConnectionT = TypeVar("ConnectionT")
ConnectionT_contra = TypeVar("ConnectionT_contra", contravariant=True)


class Handler(Protocol[ConnectionT_contra]):
    """Handles requests. Each needs one call of `Connection.respond`, at once or later."""

    def on_request(self, connection: ConnectionT_contra, request: HttpRequest) -> None:
        """A complete request has arrived."""

    def on_disconnect(self, connection: ConnectionT_contra) -> None:
        """The client has closed the connection before the response to its request."""


class ConnectionOwner(Protocol[ConnectionT]):
    """What a connection needs of the acceptor that made it, and tells it."""

    handler: Handler[ConnectionT]
    max_body_bytes: int
    read_buffer: memoryview
    turns: TurnScheduler
    connections: set[ConnectionT]

    @property
    def idle_connections(self) -> Iterable[ConnectionT]:
        """Those that wait for their next request."""

    def has_room_for_job(self) -> bool:
        """Whether a new job may be taken, if incomplete requests are refused first."""

    def on_opened(self, connection: ConnectionT) -> None:
        """A connection has opened."""

    def on_received(self, size: int) -> None:
        """A connection has read data."""

    def on_request_begun(self, connection: ConnectionT) -> None:
        """Part of a request has arrived."""

    def on_busy(self, connection: ConnectionT) -> None:
        """A connection has a request to be handled."""

    def on_idle(self, connection: ConnectionT) -> None:
        """A connection waits for its next request."""

    def on_lingering(self, connection: ConnectionT) -> None:
        """A connection has its last response, or needs none, and ends once the client has read it."""

    def on_unread(self, connection: ConnectionT) -> None:
        """A response has been written that the client has not read yet."""

    def on_closed(self, connection: ConnectionT) -> None:
        """A connection has ended."""

    def on_held_bytes_changed(self, change: int) -> None:
        """The requests of a connection hold more memory, or less."""

    def limit_held_bytes(self, newest: ConnectionT) -> None:
        """Refuse incomplete requests while they hold too much memory."""

    def is_draining(self, connection: ConnectionT) -> bool:
        """Whether a connection ends with its next response."""

    def on_refused(self, reason: EndReason, status: int, call_id: bytes, held_bytes: int) -> None:
        """A request is refused that has not been handled."""
