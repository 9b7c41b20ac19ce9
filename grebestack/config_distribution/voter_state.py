"""State shared by the parts of a configuration voter. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from grebestack.config_distribution import timeouts
from grebestack.config_distribution.actions import ConfigurationAction, SendToVoter
from grebestack.config_distribution.versions import NO_VERSION, Version
from grebestack.config_distribution.voter_messages import VoterMessage, encode
from grebestack.consensus.actions import LogMessage

MAX_NAMES = 65_536  # limit of relays, followers and logged faults that are kept


class VoterView(NamedTuple):
    """The present state of this voter's consensus member: its accepted number and the membership."""

    accepted: int  # the number that its acceptor has accepted, 0 for none; -1 while its vote does not count
    epoch: int
    members: frozenset[str]  # all members, this one included
    majority: int
    connected: frozenset[str]  # members that are connected


@dataclass(frozen=True, slots=True)
class Proposal:
    """A proposal that was made at this voter."""

    proposal_id: int
    version: Version
    contents: bytes
    deadline_ms: float
    holders: frozenset[str] = frozenset()  # voters that have the contents on their disks
    retry_ms: float = 0.0  # when to send the contents, or to change the register, again
    change_requested: bool = False  # by an access to the register: it may be decided despite any error


class VoterState:
    """State that the parts of one voter share.

    Parameters
    ----------
    name
        This voter.
    random
        Draws the delays.
    """

    def __init__(self, name: str, random: Random) -> None:
        """Create it with nothing decided."""
        self.name, self.random = name, random
        self.decided: Version = NO_VERSION  # the newest decided version that is known
        self.version: Version = NO_VERSION  # the newest decided version whose contents are here
        self.contents = b""  # of `version`
        self.is_number_known = False  # a majority confirmed the decided number since the start
        self.proposal: Proposal | None = None
        self.view = VoterView(-1, 0, frozenset(), 1, frozenset())  # the latest one
        self.logged_faults: frozenset[str] = frozenset()  # keys of faults that are logged only once

    def peers(self, view: VoterView) -> list[str]:
        """List the other connected members, sorted by name."""
        return sorted((view.members & view.connected) - {self.name})

    def send(self, to: str, message: VoterMessage) -> SendToVoter:
        """Send a message to another voter."""
        return SendToVoter(to, encode(message))

    def register_read_delay_ms(self) -> float:
        """Draw the delay before the next access to the register."""
        return self.random.uniform(*timeouts.REGISTER_READ_DELAY_MS)

    def report_invalid(self, key: str, by: str, why: str) -> list[ConfigurationAction]:
        """Log a fault of another process, once for each key."""
        if key in self.logged_faults or len(self.logged_faults) >= MAX_NAMES:
            return []
        self.logged_faults |= {key}
        return [LogMessage("configuration_wrong", {"voter": by, "why": why})]
