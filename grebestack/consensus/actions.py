"""Actions that a replica returns for its caller to carry out, in order."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from grebestack.consensus.messages import LogRecord, Message


class Peer(NamedTuple):
    """The member at the other end of a connection, as its `Handshake` names it."""

    name: str
    disk_incarnation: str
    process_incarnation: int


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a member. The message is dropped if the member is not connected."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class Write:
    """Append a record to the log; `Replica.on_synced` must be called once it is durable."""

    record: LogRecord


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close the connection to a member."""

    peer: str
    reason: str


@dataclass(frozen=True, slots=True)
class ReplaceDisk:
    """Move the log aside and create an empty one, then call `Replica.on_disk_replaced`."""

    reason: str


@dataclass(frozen=True, slots=True)
class LogMessage:
    """A line for the process's log.

    Parameters
    ----------
    event
        Name of the event; operators' tools match it.
    kv
        Values of the line by key; operators' tools read them.
    is_debug
        Whether the line is of debug level.
    """

    event: str
    kv: dict[str, Any] = field(default_factory=dict)
    is_debug: bool = False


@dataclass(frozen=True, slots=True)
class LeaseChanged:
    """This member has gained or lost the lease of a task."""

    task: str


Action = Send | Write | Disconnect | ReplaceDisk | LogMessage | LeaseChanged
