"""Shared discovery: the lease holder reads an expensive source of workers, and the other members follow it.

The holder reads its source and sends lists and changes. Its messages carry its fencing token and a number;
messages with a lower token than the highest one seen are ignored. A member follows a holder only while it
receives its heartbeats and they report a healthy source; otherwise it reads its own source. Meanwhile the
last list stays in force: a list is replaced by the next complete one, never emptied. A holder whose source
has not responded for `SharingTimes.source_timeout_ms` releases the lease. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from msgspec import Struct, msgpack

MAX_PART_BYTES = 200_000  # of the entries in one message
ENTRY_OVERHEAD_BYTES = 16
FALLBACK_STAGGER_MS = 50.0  # per rank: members that stop following do not all read at once


class ListEntry(Struct, frozen=True, array_like=True):
    """A worker's name and the data that the caller encodes; empty data: the worker is no longer listed."""

    name: str
    data: bytes


class Heartbeat(Struct, array_like=True, tag="beat"):
    """The holder's heartbeat: the number of its last change, and whether its source is healthy."""

    token: int
    number: int
    is_healthy: bool


class ListPart(Struct, array_like=True, tag="part"):
    """One part of a list or of changes to it, which are applied when the last of `parts` has arrived."""

    token: int
    number: int
    source: int  # the index of the source
    is_complete_list: bool  # false: changes to the list
    part: int  # counted from 1
    parts: int
    entries: tuple[ListEntry, ...]
    is_resync: bool = False  # in response to `ResyncRequest`: replaces all that was sent before


class ResyncRequest(Struct, array_like=True, tag="again"):
    """Requests complete lists of all sources."""


Message = Heartbeat | ListPart | ResyncRequest
_decoder = msgpack.Decoder(Message)
_encoder = msgpack.Encoder()


def decode(data: bytes) -> Message:
    """Decode a message between members.

    Raises
    ------
    msgspec.DecodeError
        The data is not a message of this task.
    """
    return _decoder.decode(data)


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to one member, or to all if `to` is empty."""

    to: str
    body: bytes


@dataclass(frozen=True, slots=True)
class ReadSource:
    """Begin or stop reading this member's source."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class UpdateList:
    """Apply a list or changes to it from the holder."""

    source: int
    is_complete_list: bool
    entries: tuple[ListEntry, ...]


@dataclass(frozen=True, slots=True)
class ConfirmLists:
    """Note that the lists are still up to date: the holder's source is healthy and nothing has changed."""


@dataclass(frozen=True, slots=True)
class ReleaseLease:
    """Release the lease, since this member's source does not respond."""


Action = SendMessage | ReadSource | UpdateList | ConfirmLists | ReleaseLease


@dataclass(frozen=True, slots=True)
class SharingTimes:
    """The durations of shared discovery.

    Parameters
    ----------
    heartbeat_interval_ms
        Time between the holder's heartbeats.
    holder_timeout_ms
        A holder is no longer followed after this time without messages from it.
    first_holder_timeout_ms
        How long a member that follows no holder waits for one before it reads its own source.
    source_timeout_ms
        After this time without a response a source is not healthy, and a holder releases the lease.
    """

    heartbeat_interval_ms: float = 700.0
    holder_timeout_ms: float = 2500.0
    first_holder_timeout_ms: float = 400.0
    source_timeout_ms: float = 5000.0


@dataclass(slots=True)
class SharedDiscovery:
    """One member's part in shared discovery, for the lists of all its sources."""

    source_count: int
    holder_last_seen_ms: float  # of the holder's last message, or when the wait for a holder began
    times: SharingTimes = field(default_factory=SharingTimes)
    rank: int = 0
    reads_source: bool = False
    token: int | None = None  # the fencing token, while this member holds the lease
    lists: dict[int, dict[str, ListEntry]] = field(default_factory=dict)  # by source and worker
    number: int = 0  # of the last change sent, or received from the holder
    highest_token: int = 0
    holder: str = ""  # the member that is followed; empty: none
    is_current: bool = False  # whether all changes that the holder has sent were received
    received_entries: list[ListEntry] = field(default_factory=list)  # of an incomplete list
    source_responded_ms: float | None = None  # when this member's source last responded
    next_heartbeat_ms: float = 0.0
    lease_since_ms: float = 0.0

    def tick(self, now_ms: float, token: int | None) -> list[Action]:
        """Carry out the work that is due under this token."""
        if token != self.token:
            self._on_token_changed(now_ms, token)
        if token is not None:
            return self._tick_as_holder(now_ms, token)
        times = self.times
        timeout_ms = times.holder_timeout_ms if self.holder else times.first_holder_timeout_ms
        timeout_ms += self.rank * FALLBACK_STAGGER_MS
        if self.reads_source or now_ms - self.holder_last_seen_ms <= timeout_ms:
            return []
        self.holder, self.is_current = "", False
        return self._read_source(True)

    def _on_token_changed(self, now_ms: float, token: int | None) -> None:
        self.token, self.next_heartbeat_ms, self.lease_since_ms = token, now_ms, now_ms
        if token is not None:
            self.highest_token = max(token, self.highest_token)
            self.holder, self.is_current = "", False

    def _tick_as_holder(self, now_ms: float, token: int) -> list[Action]:
        actions = self._read_source(True)
        if now_ms >= self.next_heartbeat_ms:
            self.next_heartbeat_ms = now_ms + self.times.heartbeat_interval_ms
            heartbeat = Heartbeat(token, self.number, self.is_source_healthy(now_ms))
            actions.append(_send("", heartbeat))
        unresponsive_since_ms = max(self.source_responded_ms or 0.0, self.lease_since_ms)
        if now_ms - unresponsive_since_ms > self.times.source_timeout_ms:
            self.lease_since_ms = now_ms
            actions.append(ReleaseLease())
        return actions

    def is_source_healthy(self, now_ms: float) -> bool:
        """Return whether this member reads its source, which has responded within its timeout."""
        responded_ms = self.source_responded_ms
        if not self.reads_source or responded_ms is None:
            return False
        return now_ms - responded_ms <= self.times.source_timeout_ms

    def _read_source(self, enabled: bool) -> list[Action]:
        if self.reads_source is enabled:
            return []
        self.reads_source = enabled
        return [ReadSource(enabled)]

    # Events of this member's source.

    def on_source_responded(self, now_ms: float) -> None:
        """Handle a response of this member's source, with or without changes."""
        self.source_responded_ms = now_ms

    def on_source_failed(self) -> None:
        """Handle a failed read of this member's source."""
        self.source_responded_ms = None

    def on_source_update(
        self, now_ms: float, source: int, is_complete_list: bool, entries: Iterable[ListEntry]
    ) -> list[Action]:
        """Handle a list or changes from this member's source; the holder sends them to the others."""
        self.source_responded_ms = now_ms
        entries = tuple(entries)
        self._apply(source, is_complete_list, entries)
        if self.token is None:
            return []
        self.number += 1
        return self._list_parts("", source, is_complete_list, entries, False)

    def _apply(self, source: int, is_complete_list: bool, entries: Iterable[ListEntry]) -> None:
        current = self.lists.setdefault(source, {})
        if is_complete_list:
            current.clear()
        for entry in entries:
            if entry.data:
                current[entry.name] = entry
            else:
                current.pop(entry.name, None)

    def _list_parts(
        self, to: str, source: int, is_complete_list: bool, entries: Sequence[ListEntry], is_resync: bool
    ) -> list[Action]:
        assert self.token is not None
        parts = _split(entries)
        return [
            _send(
                to,
                ListPart(
                    self.token,
                    self.number,
                    source,
                    is_complete_list,
                    index,
                    len(parts),
                    tuple(part),
                    is_resync,
                ),
            )
            for index, part in enumerate(parts, 1)
        ]

    # Messages from other members.

    def on_message(self, now_ms: float, name: str, message: Message) -> list[Action]:
        """Handle a message; messages of a former holder are ignored."""
        if isinstance(message, ResyncRequest):
            return self._on_resync_request(name)
        if message.token < self.highest_token or self.token is not None:
            return []
        if message.token > self.highest_token or name != self.holder:
            self.highest_token, self.is_current, self.received_entries = message.token, False, []
            self.holder = name
        if isinstance(message, Heartbeat):
            return self._on_heartbeat(now_ms, name, message)
        self.holder_last_seen_ms = now_ms
        return self._on_list_part(name, message)

    def _on_resync_request(self, name: str) -> list[Action]:
        if self.token is None:
            return []
        actions: list[Action] = []
        for source in sorted(self.lists):
            actions += self._list_parts(name, source, True, list(self.lists[source].values()), True)
        return actions

    def _on_heartbeat(self, now_ms: float, name: str, heartbeat: Heartbeat) -> list[Action]:
        if not heartbeat.is_healthy:
            self.holder, self.is_current = "", False
            return self._read_source(True)
        self.holder_last_seen_ms = now_ms
        if self.is_current and heartbeat.number == self.number:
            return [ConfirmLists(), *self._read_source(False)]
        return [_send(name, ResyncRequest())]

    def _on_list_part(self, name: str, part: ListPart) -> list[Action]:
        if part.part == 1:
            self.received_entries = []
        self.received_entries += part.entries
        if part.part < part.parts:
            return []
        entries, self.received_entries = tuple(self.received_entries), []
        if not part.is_resync and (not self.is_current or part.number != self.number + 1):
            return [_send(name, ResyncRequest())] if self.is_current else []
        self.number = part.number
        self._apply(part.source, part.is_complete_list, entries)
        actions: list[Action] = [UpdateList(part.source, part.is_complete_list, entries)]
        if part.is_resync and part.source == self.source_count - 1:
            self.is_current = True
            actions += self._read_source(False)
        return actions


def _send(to: str, message: Message) -> SendMessage:
    return SendMessage(to, _encoder.encode(message))


def _split(entries: Sequence[ListEntry]) -> list[list[ListEntry]]:
    """Split entries into parts that fit into messages; there is at least one part."""
    parts: list[list[ListEntry]] = [[]]
    size_bytes = 0
    for entry in entries:
        size_bytes += len(entry.data) + len(entry.name) + ENTRY_OVERHEAD_BYTES
        if size_bytes > MAX_PART_BYTES and parts[-1]:
            parts.append([])
            size_bytes = 0
        parts[-1].append(entry)
    return parts
