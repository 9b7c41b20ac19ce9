"""What a replica asks of whoever runs it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from grebestack.consensus.messages import Message, Record


class Peer(NamedTuple):
    """Who is at the other end of a connection, by its `Hello`."""

    name: str
    incarnation: str
    life: int


@dataclass(frozen=True, slots=True)
class Send:
    """Say something to a member, if it is connected; what can't leave is lost."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class Write:
    """Append a record, the one after the last; `Member.synced` once it is on the disk for good."""

    record: Record


@dataclass(frozen=True, slots=True)
class Cut:
    """Close the connection to a member."""

    peer: str
    why: str


@dataclass(frozen=True, slots=True)
class Reborn:
    """This disk can't be vouched for: put it aside and begin a new one, then call `Member.reborn`."""

    why: str


@dataclass(frozen=True, slots=True)
class Told:
    """A line for the log; `detail` lines are for whoever looks closely."""

    event: str
    kv: dict[str, Any] = field(default_factory=dict)
    detail: bool = False


@dataclass(frozen=True, slots=True)
class Turned:
    """The lease of a task has come or gone."""

    task: str


Action = Send | Write | Cut | Reborn | Told | Turned
