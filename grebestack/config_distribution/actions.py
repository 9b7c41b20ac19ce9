"""What a follower, a relay or a configuration voter asks of whoever runs it."""

from __future__ import annotations

from dataclasses import dataclass

from grebestack.config_distribution.messages import Message, StatusReport
from grebestack.config_distribution.versions import Version
from grebestack.consensus.actions import Told


@dataclass(frozen=True, slots=True)
class Connect:
    """Connect to a relay under this link number; then `connected`, or `lost`. One link at a time."""

    link: int
    relay: str


@dataclass(frozen=True, slots=True)
class Send:
    """Say something over a link. One push is one object to all, so that it can be encoded once."""

    link: int
    message: Message


@dataclass(frozen=True, slots=True)
class Close:
    """Close a link, or give up its dialling; what was said before it still goes out.

    `lost` need not be told of it, and is passed over.
    """

    link: int
    why: str


@dataclass(frozen=True, slots=True)
class Store:
    """Write a version and its contents, whole and synced, then call `stored`.

    The disk keeps this one, the one with number `beside` (in force until this one is) and those `also` named
    (at a start, what it held before anything was in force), no others.
    """

    version: Version
    contents: bytes
    beside: int
    also: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Apply:
    """Put a version in force and call `taken` with why it was refused, or nothing.

    On a voter or relay its own Relay is told by `PublishVersion`, not by this.
    """

    version: Version
    contents: bytes


@dataclass(frozen=True, slots=True)
class PublishVersion:
    """Checked and decided: for this process's own relay, `Relay.offer`, if it has one."""

    version: Version
    contents: bytes


@dataclass(frozen=True, slots=True)
class MajorityConfirmed:
    """At this instant of the own clock a majority knew nothing newer: for `Relay.confirmed`."""

    at_ms: float


@dataclass(frozen=True, slots=True)
class StatusReceived:
    """A relay's word on its followers, its own or one that came over a link.

    On a voter for `ConfigurationVoter.tallied`, on any other relay for `Follower.tallied`.
    """

    tally: StatusReport


@dataclass(frozen=True, slots=True)
class SendToVoter:
    """Say this to another voter: Word("configuration", body)."""

    to: str
    body: bytes


@dataclass(frozen=True, slots=True)
class StoreContents:
    """Write contents by their digest, synced, then call `ConfigurationVoter.kept`. Not decided yet."""

    digest: str
    contents: bytes


@dataclass(frozen=True, slots=True)
class DiscardContents:
    """Contents that were kept and are not needed any more."""

    digest: str


@dataclass(frozen=True, slots=True)
class ChangeRegister:
    """Change register "configuration" from number `former` to this version, then call `registered`.

    The change is `configuration.register_change(version)`; with no version it is only read.
    """

    version: Version | None


@dataclass(frozen=True, slots=True)
class ProposalResult:
    """How a proposal ended, for whoever asked under this ticket."""

    ticket: int
    won: bool
    version: Version  # in force now, as far as known: the proposal, or the one that won
    why: str  # where it did not win
    held_by: tuple[str, ...] = ()  # voters that hold the contents


FollowerAction = Connect | Send | Close | Store | Apply | PublishVersion | MajorityConfirmed | Told
RelayAction = Send | Close | StatusReceived | Told
ConfigurationAction = (
    SendToVoter
    | StoreContents
    | DiscardContents
    | Store
    | Apply
    | PublishVersion
    | MajorityConfirmed
    | ChangeRegister
    | ProposalResult
    | Told
)
