"""What the engine asks of the two sides it stands between, and of time. It knows neither side's protocol."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from grebestack.core.api import ListKind
    from grebestack.routing.requests import Attempt, Request
    from grebestack.routing.worker_table import WorkerEndpoint


class Timer(Protocol):
    """A call that has been put off."""

    def cancel(self) -> None:
        """Let it not happen."""


class Clock(Protocol):
    """Monotonic time in milliseconds."""

    def now_ms(self) -> float:
        """The time."""

    def call_at(self, at_ms: float, call: Callable[[], None]) -> Timer:
        """Have a call made at a time."""


class RequestListener(Protocol):
    """The client's side of a session.

    One of `served`, `denied`, `failed` and `cancelled` is called, once, unless the client left before.
    """

    def before_send(self, dispatch: Attempt) -> bool:
        """A dispatch's first byte is about to go; False keeps it back."""

    def on_attempt_ended(self, dispatch: Attempt) -> None:
        """A dispatch has ended."""

    def on_served(self, session: Request, result: bytes) -> None:
        """A server did the job."""

    def on_rejected(self, session: Request, retry_after_ms: float | None) -> None:
        """Not done; trying again is harmless."""

    def on_failed(self, session: Request) -> None:
        """Failed; nothing is promised about the effect."""

    def on_cancelled(self, session: Request) -> None:
        """Terminated as the client asked, before it ended by itself."""


class Workers(Protocol):
    """The servers' side. Whatever it is handed it settles, by `Engine.finish_attempt`, at most once."""

    def send_attempt(self, dispatch: Attempt) -> None:
        """Send a session to the server that the dispatch names."""

    def abandon_attempt(self, dispatch: Attempt) -> None:
        """Stop waiting for a dispatch and tell its server so; nothing is settled for it after this."""

    def cancel_attempt(self, dispatch: Attempt) -> None:
        """Ask the server to cancel a dispatch; if it does, `Engine.on_attempt_cancelled` follows."""

    def probe(self, server: str) -> None:
        """Ask a server for its load report; the answer goes to `Engine.on_probe_ended`."""


class WorkerListReceiver(Protocol):
    """What a source of servers speaks to: the server table, or membership before it."""

    @property
    def has_live_list(self) -> bool:
        """Whether a list from a live source, not only an old one, has come."""

    def update(self, kind: ListKind, servers: Iterable[WorkerEndpoint]) -> None:
        """Take a list or changes to it; a server that a whole list leaves out is gone."""

    def on_unchanged(self) -> None:
        """The source has answered and nothing has changed."""

    def on_silent(self, why: str) -> None:
        """The source did not answer."""
