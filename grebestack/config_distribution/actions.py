"""Actions that a follower, a relay or a configuration voter returns to its caller. Pure."""

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
    """Close a link once everything sent before is written, or stop connecting.

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
    """Put a version in force, then call `on_applied` with the reason if it was refused, else with "".

    The process's own relay receives versions through `PublishVersion`, not through this.
    """

    version: Version
    contents: bytes


@dataclass(frozen=True, slots=True)
class PublishVersion:
    """Publish a decided, valid version: call `Relay.publish` of the relay in this process, if it has one."""

    version: Version
    contents: bytes


@dataclass(frozen=True, slots=True)
class MajorityConfirmed:
    """A majority had nothing newer at `at_ms`, by the own clock: call `Relay.on_majority_confirmed`."""

    at_ms: float


@dataclass(frozen=True, slots=True)
class StatusReceived:
    """A relay's status report: of this process's relay, or received over a link.

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
    """Write and sync undecided contents under their digest, then call `on_contents_stored`."""

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
    won: bool  # the proposed version was decided
    version: Version  # the proposed version if it won, else the newest that is known to be decided
    why: str  # why it did not win, or ""
    holders: tuple[str, ...] = ()  # voters that have stored the contents


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
