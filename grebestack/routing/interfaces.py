"""What the engine asks of the two sides it stands between, and of time. It knows neither side's protocol."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from grebestack.core.api import ListKind
    from grebestack.routing.requests import Dispatch, Session
    from grebestack.routing.worker_table import Server


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


class Frontend(Protocol):
    """The client's side of a session.

    One of `served`, `denied`, `failed` and `cancelled` is called, once, unless the client left before.
    """

    def sending(self, dispatch: Dispatch) -> bool:
        """A dispatch's first byte is about to go; False keeps it back."""

    def ended(self, dispatch: Dispatch) -> None:
        """A dispatch has ended."""

    def served(self, session: Session, result: bytes) -> None:
        """A server did the job."""

    def denied(self, session: Session, retry_after_ms: float | None) -> None:
        """Not done; trying again is harmless."""

    def failed(self, session: Session) -> None:
        """Failed; nothing is promised about the effect."""

    def cancelled(self, session: Session) -> None:
        """Terminated as the client asked, before it ended by itself."""


class Servers(Protocol):
    """The servers' side. Whatever it is handed it settles, by `Engine.settle`, at most once."""

    def dispatch(self, dispatch: Dispatch) -> None:
        """Send a session to the server that the dispatch names."""

    def give_up(self, dispatch: Dispatch) -> None:
        """Stop waiting for a dispatch and tell its server so; nothing is settled for it after this."""

    def cancel(self, dispatch: Dispatch) -> None:
        """Ask the server to cancel a dispatch; if it does, `Engine.cancelled` follows."""

    def probe(self, server: str) -> None:
        """Ask a server for its load report; the answer goes to `Engine.probed`."""


class Listing(Protocol):
    """What a source of servers speaks to: the server table, or membership before it."""

    @property
    def known(self) -> bool:
        """Whether a list from a live source, not only an old one, has come."""

    def update(self, kind: ListKind, servers: Iterable[Server]) -> None:
        """Take a list or changes to it; a server that a whole list leaves out is gone."""

    def heard(self) -> None:
        """The source has answered and nothing has changed."""

    def silent(self, why: str) -> None:
        """The source did not answer."""
