"""The interfaces between the engine and its two sides, clients and workers, and its clock.

None of them depends on the protocol of either side.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from grebestack.core.api import ListKind
    from grebestack.routing.requests import Attempt, Request
    from grebestack.routing.worker_table import WorkerEndpoint


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call."""


class Clock(Protocol):
    """Monotonic time in milliseconds."""

    def now_ms(self) -> float:
        """Return the current time."""

    def call_at(self, at_ms: float, call: Callable[[], None]) -> Timer:
        """Schedule a call."""


class RequestListener(Protocol):
    """Receives the events of a request on behalf of its client.

    Exactly one of `on_served`, `on_rejected`, `on_failed` and `on_cancelled` is called, once, unless the
    client has disconnected before.
    """

    def is_client_gone(self) -> bool:
        """Whether the client has left, though the engine may not have been told yet."""

    def before_send(self, attempt: Attempt) -> bool:
        """The first byte of an attempt is about to be sent; False prevents it."""

    def on_attempt_ended(self, attempt: Attempt) -> None:
        """An attempt has ended."""

    def on_served(self, request: Request, result: bytes) -> None:
        """A worker has done the job."""

    def on_rejected(self, request: Request, retry_after_ms: float | None) -> None:
        """The job was not executed; a retry is harmless."""

    def on_failed(self, request: Request) -> None:
        """The request failed; the job may have been executed."""

    def on_cancelled(self, request: Request) -> None:
        """The request was cancelled as the client asked, before it ended in another way."""


class Workers(Protocol):
    """Sends attempts to workers, and reports each end at most once by `Engine.finish_attempt`."""

    def send_attempt(self, attempt: Attempt) -> None:
        """Send a request to the worker that the attempt names."""

    def adopt_attempt(self, attempt: Attempt, address: tuple[str, int]) -> None:
        """Wait for the end of an attempt that another process has sent to a worker at this address."""

    def abandon_attempt(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt and tell its worker so; its end is not reported after this."""

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Ask the worker to cancel an attempt; if it does, `Engine.on_attempt_cancelled` is called."""

    def probe(self, worker: str) -> None:
        """Request the load report of a worker; the response goes to `Engine.on_probe_ended`."""


class WorkerListReceiver(Protocol):
    """Receives the lists of a source of workers: the worker table, or membership in front of it."""

    @property
    def has_live_list(self) -> bool:
        """Whether a list from a live source has been received, not only a cached one."""

    def update(self, kind: ListKind, workers: Iterable[WorkerEndpoint]) -> None:
        """Apply a list or changes to it; a worker that a complete list leaves out is gone."""

    def on_unchanged(self) -> None:
        """The source has responded and nothing has changed."""

    def on_silent(self, reason: str) -> None:
        """The source did not respond."""
