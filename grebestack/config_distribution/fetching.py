"""Fetches the contents of the decided version from other voters. Pure."""

from __future__ import annotations

from math import inf

from grebestack.config_distribution import timeouts
from grebestack.config_distribution.actions import ConfigurationAction, PublishVersion
from grebestack.config_distribution.activation import VersionActivation
from grebestack.config_distribution.versions import contents_problem
from grebestack.config_distribution.voter_messages import Contents, FetchContents
from grebestack.config_distribution.voter_state import VoterState, VoterView


class ContentsFetching:
    """Requests the contents of the decided version from the other voters in turn."""

    def __init__(self, state: VoterState, activation: VersionActivation) -> None:
        """Create it with nothing to fetch."""
        self.state, self.activation = state, activation
        self.fetch_ms = inf  # time of the next request
        self.next_voter = ""  # the voter to request from next

    def begin(self, now_ms: float, name: str) -> None:
        """Fetch at the next tick, first from this voter."""
        self.fetch_ms, self.next_voter = now_ms, name

    def fetch(self, now_ms: float, view: VoterView) -> list[ConfigurationAction]:
        """Request the contents from the next voter."""
        self.fetch_ms = now_ms + timeouts.FETCH_RETRY_INTERVAL_MS
        others = self.state.peers(view)
        if not others:
            return []
        name = self.next_voter if self.next_voter in others else others[0]
        self.next_voter = others[(others.index(name) + 1) % len(others)]
        return [self.state.send(name, FetchContents(self.state.decided.digest))]

    def on_contents(self, name: str, message: Contents) -> list[ConfigurationAction]:
        """Handle contents from another voter that match the digest in their message."""
        state = self.state
        if message.digest != state.decided.digest or state.version == state.decided:
            return []
        if why := contents_problem(state.decided, message.contents):
            return state.report_invalid(f"digest/{name}", name, why)
        return self.complete(message.contents)

    def on_stored(self, digest: str, contents: bytes) -> list[ConfigurationAction]:
        """Handle the end of writing proposed contents, which may have been decided meanwhile."""
        if digest != self.state.decided.digest or self.state.version == self.state.decided:
            return []
        return self.complete(contents)

    def complete(self, contents: bytes) -> list[ConfigurationAction]:
        """Publish the decided version with its contents and put it in force."""
        state = self.state
        state.version, state.contents = state.decided, contents
        self.fetch_ms = inf
        return [PublishVersion(state.version, contents), *self.activation.begin()]
