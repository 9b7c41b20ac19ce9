"""Reports to the successor of a hot restart which attempts occupy workers and which requests are closed."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TypeVar

from grebestack.hot_restart import messages
from grebestack.hot_restart.messages import Message
from grebestack.program.hot_restart_peers import PeerChannels

K = TypeVar("K")


class SuccessorReports:
    """Sends reports while the channel takes them, and keeps the others for later.

    At most one report waits for each attempt that was announced or is open, and for each announced request.
    """

    def __init__(
        self,
        channels: PeerChannels,
        successor: int,
        open_call_ids: Iterable[str],
        open_attempts: Iterable[str],
    ) -> None:
        """Report to `successor`, which has been told of these requests and attempts."""
        self.channels, self.successor = channels, successor
        self.announced_call_ids, self.announced_attempts = set(open_call_ids), set(open_attempts)
        self.unsent: dict[str, Message] = {}  # attempts that the successor does not know of, by key
        self.unreported: dict[tuple[str, str], Message] = {}  # ends, by kind and name

    def on_attempt_sent(self, key: str, attempt: Message) -> None:
        """An attempt occupies a worker."""
        self.unsent[key] = messages.attempt_sent(attempt)
        self.flush()

    def on_attempt_ended(self, key: str) -> None:
        """An attempt has ended; if the successor has not heard of it there is nothing to say."""
        if self.unsent.pop(key, None) is None and key in self.announced_attempts:
            self.announced_attempts.discard(key)
            self.unreported["attempt", key] = messages.attempt_ended(key)
            self.flush()

    def on_request_closed(self, call_id: str, moved: bool = False) -> None:
        """A request has been answered, or is about to be handed over; only announced ones are reported.

        The successor goes on to count one that has moved as open. Former versions take this for its end, and
        adopt only requests that they count as ended.
        """
        if call_id in self.announced_call_ids:
            self.announced_call_ids.discard(call_id)
            self.unreported["request", call_id] = messages.request_closed(call_id, moved)
            self.flush()

    def flush(self) -> None:
        """Send what waits, as far as the channel takes it."""
        self._send_waiting(self.unreported, lambda name: None)
        self._send_waiting(self.unsent, self.announced_attempts.add)

    def _send_waiting(self, waiting: dict[K, Message], on_sent: Callable[[K], object]) -> None:
        while waiting and self.channels.is_idle(self.successor):
            name = next(iter(waiting))
            self.channels.send(self.successor, waiting.pop(name))
            on_sent(name)
