"""Actions that a follower, a relay or a configuration voter returns to whoever runs it. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from grebestack.config_distribution.messages import Message, StatusReport
from grebestack.config_distribution.versions import Version
from grebestack.consensus.actions import LogMessage


@dataclass(frozen=True, slots=True)
class Connect:
    """Connect to a relay under this link number, then call `on_connected` or `on_disconnected`."""

    link: int
    relay: str


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message over a link. A push has one message object for all links: encode it once."""

    link: int
    message: Message


@dataclass(frozen=True, slots=True)
class Close:
    """Close a link or give up connecting, after what was sent before.

    `on_disconnected` need not be called for it.
    """

    link: int
    why: str


@dataclass(frozen=True, slots=True)
class Store:
    """Write and sync a version with its contents, then call `on_stored`.

    The disk keeps this version, the one with `keep_number` (in force until this one is) and those with the
    numbers `also_keep` (on the disk at the start, until a version is in force), and no others.
    """

    version: Version
    contents: bytes
    keep_number: int
    also_keep: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Apply:
    """Put a version in force and call `on_applied` with why it was refused, or empty.

    The process's own relay gets a version by `PublishVersion`, not by this.
    """

    version: Version
    contents: bytes


@dataclass(frozen=True, slots=True)
class PublishVersion:
    """A decided version, validated: call `Relay.publish` of this process's own relay, if it has one."""

    version: Version
    contents: bytes


@dataclass(frozen=True, slots=True)
class MajorityConfirmed:
    """At this time of the own clock a majority knew of nothing newer: call `Relay.on_majority_confirmed`."""

    at_ms: float


@dataclass(frozen=True, slots=True)
class StatusReceived:
    """A relay's status report, its own or one that came over a link.

    On a voter call `ConfigurationVoter.on_status_report`, on any other relay `Follower.on_status_report`.
    """

    report: StatusReport


@dataclass(frozen=True, slots=True)
class SendToVoter:
    """Send a message to another voter, under the task "configuration"."""

    to: str
    body: bytes


@dataclass(frozen=True, slots=True)
class StoreContents:
    """Write and sync undecided contents by their digest, then call `on_contents_stored`."""

    digest: str
    contents: bytes


@dataclass(frozen=True, slots=True)
class DiscardContents:
    """Remove undecided contents from the disk."""

    digest: str


@dataclass(frozen=True, slots=True)
class ChangeRegister:
    """Change the register "configuration" by `register_change(version)`, then call `on_register_result`.

    Without a version the register is only read.
    """

    version: Version | None


@dataclass(frozen=True, slots=True)
class ProposalResult:
    """How a proposal ended."""

    proposal_id: int
    won: bool
    version: Version  # in force as far as is known: the proposal, or the one that won
    why: str  # why it did not win, or empty
    holders: tuple[str, ...] = ()  # voters that have the contents


FollowerAction = Connect | Send | Close | Store | Apply | PublishVersion | MajorityConfirmed | LogMessage
RelayAction = Send | Close | StatusReceived | LogMessage
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
    | LogMessage
)
