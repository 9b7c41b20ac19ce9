"""Contents that were proposed and may not be decided yet. Pure."""

from __future__ import annotations

from grebestack.config_distribution import timeouts
from grebestack.config_distribution.actions import ConfigurationAction, DiscardContents, StoreContents
from grebestack.config_distribution.versions import digest_of, invalid_value
from grebestack.config_distribution.voter_messages import Propose, StoreAck
from grebestack.config_distribution.voter_state import VoterState

MAX_UNDECIDED, MAX_UNDECIDED_BYTES = 1024, 16 * 1024 * 1024


class UndecidedContents:
    """Proposed contents by digest, until they are decided or expire."""

    def __init__(self, state: VoterState) -> None:
        """Create it without contents."""
        self.state = state
        self.on_disk: dict[str, tuple[bytes, float]] = {}  # with the time when they were stored
        self.writing: dict[str, tuple[bytes, frozenset[str]]] = {}  # with the voters to acknowledge to

    def start(self, now_ms: float, contents_by_digest: dict[str, bytes]) -> None:
        """Load the contents from the disk."""
        for digest, contents in contents_by_digest.items():
            if digest_of(contents) == digest:
                self.on_disk[digest] = contents, now_ms

    def find(self, digest: str) -> bytes | None:
        """Return the contents with this digest if they are here, decided or not."""
        if digest == self.state.version.digest and self.state.version.number:
            return self.state.contents
        if digest in self.on_disk:
            return self.on_disk[digest][0]
        if digest in self.writing:
            return self.writing[digest][0]
        return None

    def discard(self, now_ms: float, digest: str) -> list[ConfigurationAction]:
        """Discard contents that are now stored with their version, and expired ones."""
        state = self.state
        needed = {state.proposal.version.digest} if state.proposal is not None else set()
        if state.version != state.decided:
            needed.add(state.decided.digest)
        discarded = [
            old_digest
            for old_digest, (_, stored_ms) in self.on_disk.items()
            if old_digest not in needed
            and (old_digest == digest or now_ms - stored_ms >= timeouts.UNDECIDED_CONTENTS_TTL_MS)
        ]
        for old_digest in discarded:
            del self.on_disk[old_digest]
        return [DiscardContents(old_digest) for old_digest in discarded]

    def receive(self, now_ms: float, name: str, proposed: Propose) -> list[ConfigurationAction]:
        """Store contents that another voter proposes; acknowledge them at once if they are already stored."""
        digest, contents = proposed.digest, proposed.contents
        if digest in self.on_disk:
            return [self.state.send(name, StoreAck(digest))]
        if digest in self.writing:
            writing, names = self.writing[digest]
            self.writing[digest] = writing, names | {name}
            return []
        actions = self.discard(now_ms, "")
        sizes = [len(stored) for stored, _ in (*self.on_disk.values(), *self.writing.values())]
        if len(sizes) >= MAX_UNDECIDED or sum(sizes) + len(contents) > MAX_UNDECIDED_BYTES:
            size = f"{len(sizes) + 1} of {sum(sizes) + len(contents)} bytes"
            allowed = f"up to {MAX_UNDECIDED} undecided of {MAX_UNDECIDED_BYTES} bytes"
            return [*actions, *self.state.report_invalid("kept", name, invalid_value("kept", size, allowed))]
        self.writing[digest] = contents, frozenset({name})
        return [*actions, StoreContents(digest, contents)]
