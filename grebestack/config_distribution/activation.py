"""Puts the newest decided version in force on the voter itself. Pure."""

from __future__ import annotations

from math import inf

from grebestack.config_distribution import timeouts
from grebestack.config_distribution.actions import Apply, ConfigurationAction, PublishVersion, Store
from grebestack.config_distribution.undecided import UndecidedContents
from grebestack.config_distribution.versions import NO_VERSION, Version, contents_problem
from grebestack.config_distribution.voter_state import VoterState
from grebestack.consensus.actions import LogMessage

STORING, APPLYING = "storing", "applying"


class VersionActivation:
    """Stores and then applies one version at a time."""

    def __init__(self, state: VoterState, undecided: UndecidedContents) -> None:
        """Create it without a version in force."""
        self.state, self.undecided = state, undecided
        self.in_force: Version = NO_VERSION
        self.refused, self.refused_why = 0, ""
        self.pending: tuple[Version, bytes] | None = None
        self.step = ""  # STORING or APPLYING while a version is pending
        self.start_ms = inf  # until then the version on the disk waits for a confirmation by a majority
        self.disk: tuple[tuple[Version, bytes], ...] = ()  # newest first; empty once a version is in force

    def start(self, now_ms: float, disk: list[tuple[Version, bytes]]) -> list[ConfigurationAction]:
        """Load the decided versions from the disk; invalid ones are logged and ignored."""
        actions: list[ConfigurationAction] = []
        for version, contents in disk:
            if why := contents_problem(version, contents):
                actions.append(LogMessage("configuration_disk", {"number": version.number, "why": why}))
            else:
                self.disk += ((version, contents),)
        self.disk = tuple(sorted(self.disk, key=lambda stored: -stored[0].number))
        if self.disk:
            state = self.state
            state.version, state.contents = self.disk[0]
            state.decided = state.version
            self.start_ms = now_ms + timeouts.STARTUP_GRACE_MS
            actions.append(PublishVersion(state.version, state.contents))
        return actions

    def begin(self) -> list[ConfigurationAction]:
        """Store and apply the newest version, unless it is in force, refused, or another is pending."""
        version, contents = self.state.version, self.state.contents
        if self.pending is not None or version.number <= max(self.in_force.number, self.refused):
            return []
        self.pending, self.step, self.start_ms = (version, contents), STORING, inf
        numbers = [stored.number for stored, _ in self.disk] or [self.in_force.number]
        if version.number in numbers:  # already on the disk
            self.step = APPLYING
            return [Apply(version, contents)]
        return [Store(version, contents, numbers[0], tuple(numbers[1:]))]

    def on_stored(self, now_ms: float, number: int, why: str) -> list[ConfigurationAction]:
        """Apply the pending version, even if storing it failed."""
        if self.pending is None or self.step != STORING or self.pending[0].number != number:
            return []
        actions: list[ConfigurationAction] = []
        if why:
            actions.append(LogMessage("configuration_not_stored", {"number": number, "why": why}))
        else:
            actions += self.undecided.discard(now_ms, self.pending[0].digest)
        self.step = APPLYING
        return [*actions, Apply(*self.pending)]

    def on_applied(self, number: int, why: str) -> list[ConfigurationAction]:
        """Record that the pending version is in force or was refused, and begin with the next."""
        if self.pending is None or self.step != APPLYING or self.pending[0].number != number:
            return []
        (version, _), self.pending, self.step = self.pending, None, ""
        if why:
            self.refused, self.refused_why = number, why
            event = LogMessage("configuration_refused", {"number": number, "why": why})
            self.disk = tuple(stored for stored in self.disk if stored[0].number != number)
            if self.disk and self.state.version.number <= number:  # in force before the start
                self.pending, self.step = self.disk[0], APPLYING
                return [event, Apply(*self.pending)]
        else:
            self.in_force, self.disk = version, ()
            kv = {"number": number, "digest": version.digest, "by": version.proposed_by, "relay": ""}
            event = LogMessage("configuration_in_force", kv)
        return [event, *self.begin()]
