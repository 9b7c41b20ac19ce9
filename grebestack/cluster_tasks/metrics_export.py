"""Metrics export: the lease holder collects the cluster's counters and exports them under its token. No I/O.

If a holder does not finish an export, the next holder begins a new one. Counters only increase within a
process incarnation, so no counts are lost, only their values at that moment. The receiver orders the exports
by token and, within one token, by number.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

COLLECTION_TIMEOUT_MS = 400.0  # members that have not responded by then are listed as missing


class CountersRequest(msgspec.Struct, array_like=True, tag="ask"):
    """Requests a member's counters for the export with this number."""

    number: int


class CountersResponse(msgspec.Struct, array_like=True, tag="counts"):
    """A member's counters since its process started."""

    number: int
    process_incarnation: int
    counters: dict[str, int]


class Export(msgspec.Struct):
    """The JSON object that is sent to the collector."""

    fleet: str
    task: str
    holder: str
    token: int
    number: int
    totals: dict[str, int]
    members: dict[str, dict[str, int]]
    missing: list[str]


Message = CountersRequest | CountersResponse
_decoder = msgspec.msgpack.Decoder(Message)


def decode(data: bytes) -> Message:
    """Decode a message between members.

    Raises
    ------
    msgspec.DecodeError
        The data is not a message of this task.
    """
    return _decoder.decode(data)


@dataclass(slots=True)
class Collection:
    """The collection of the counters for one export."""

    number: int
    token: int
    deadline_ms: float
    expected: frozenset[str]  # connected members, whose responses are awaited
    members: frozenset[str]
    counters: dict[str, dict[str, int]] = field(default_factory=dict)  # by member

    def is_finished(self, now_ms: float) -> bool:
        """Return whether the export is due, complete or not."""
        return now_ms >= self.deadline_ms or self.expected <= set(self.counters)


class CountersCollector:
    """One member's part in the metrics export.

    Parameters
    ----------
    interval_ms
        Time between exports.
    """

    def __init__(self, cluster: str, task: str, name: str, interval_ms: float) -> None:
        """Initialize without the lease."""
        self.cluster, self.task, self.name, self.interval_ms = cluster, task, name, interval_ms
        self.number = 0
        self.token: int | None = None
        self.next_export_ms = 0.0
        self.collection: Collection | None = None

    def tick(
        self,
        now_ms: float,
        token: int | None,
        own_counters: Mapping[str, int],
        connected: frozenset[str],
        members: frozenset[str],
    ) -> bool:
        """Begin a collection if it is due under this token; return whether to request counters now."""
        if token != self.token:  # a new holder exports immediately and numbers its exports from 1
            self.token, self.number, self.next_export_ms, self.collection = token, 0, now_ms, None
        if token is None or self.collection is not None or now_ms < self.next_export_ms:
            return False
        self.number += 1
        self.next_export_ms = max(self.next_export_ms + self.interval_ms, now_ms)
        deadline_ms = now_ms + COLLECTION_TIMEOUT_MS
        self.collection = Collection(self.number, token, deadline_ms, connected, members)
        self.collection.counters[self.name] = dict(own_counters)
        return True

    def on_response(self, name: str, response: CountersResponse) -> None:
        """Handle a member's counters; late ones, for another export, are ignored."""
        if self.collection is not None and response.number == self.collection.number:
            self.collection.counters[name] = response.counters

    def take_export(self, now_ms: float) -> Export | None:
        """Return the export that is due, if any. The caller must check the token again before sending it."""
        if self.collection is None or not self.collection.is_finished(now_ms):
            return None
        finished, self.collection = self.collection, None
        totals: dict[str, int] = {}
        for counters in finished.counters.values():
            for key, value in counters.items():
                totals[key] = totals.get(key, 0) + value
        return Export(
            self.cluster,
            self.task,
            self.name,
            finished.token,
            finished.number,
            totals,
            finished.counters,
            sorted(finished.members - set(finished.counters)),
        )

    def due_ms(self, now_ms: float) -> float:
        """Return when `tick` and `take_export` are due next."""
        if self.collection is not None:
            return self.collection.deadline_ms
        return self.next_export_ms if self.token is not None else now_ms + self.interval_ms
