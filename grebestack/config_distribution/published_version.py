"""The version that a relay publishes, and the updates for its followers. Pure."""

from __future__ import annotations

from grebestack.config_distribution.actions import RelayAction
from grebestack.config_distribution.messages import NEVER_CONFIRMED_MS, ConfigUpdate
from grebestack.config_distribution.versions import NO_VERSION, Delta, Version, delta_between

MAX_FORMER_CONTENTS = 16  # versions whose contents are kept as bases of deltas
MAX_FORMER_CONTENTS_BYTES = 4 * 1024 * 1024
UPDATE_REUSE_MS = 500.0  # followers with the same base get the same `ConfigUpdate` object for this long


class PublishedVersion:
    """The newest version, when a majority last confirmed it, and former contents as bases of deltas."""

    def __init__(self) -> None:
        """Create it without a version."""
        self.version: Version = NO_VERSION
        self.contents = b""
        self.confirmed_ms: float | None = None
        self.former_contents: dict[str, bytes] = {}  # by digest, newest last
        self.deltas: dict[str, Delta] = {}  # to the published version, by base
        # Creation time and update by base, "" for full contents.
        self.updates: dict[str, tuple[float, ConfigUpdate]] = {}

    def _replace_version(self, version: Version, contents: bytes) -> None:
        """Publish a newer version."""
        self.version, self.contents = version, contents
        self.deltas, self.updates = {}, {}
        self.former_contents.pop(version.digest, None)
        self.former_contents[version.digest] = contents
        while len(self.former_contents) > MAX_FORMER_CONTENTS or (
            len(self.former_contents) > 1
            and sum(map(len, self.former_contents.values())) > MAX_FORMER_CONTENTS_BYTES
        ):
            del self.former_contents[next(iter(self.former_contents))]

    def on_majority_confirmed(self, now_ms: float, at_ms: float) -> list[RelayAction]:
        """A majority had nothing newer than the published version at `at_ms`, by this process's clock."""
        if self.confirmed_ms is None or at_ms > self.confirmed_ms:
            self.confirmed_ms = at_ms
        return []

    def _confirmed_age_ms(self, now_ms: float) -> int:
        """Return how long ago a majority confirmed the version, or `NEVER_CONFIRMED_MS`."""
        if self.confirmed_ms is None:
            return NEVER_CONFIRMED_MS
        return max(0, int(now_ms - self.confirmed_ms))

    def _update_from(self, now_ms: float, base: str) -> ConfigUpdate:
        """Return an update with a delta from `base` if its contents are known, else with full contents."""
        base = base if base in self.former_contents else ""
        cached = self.updates.get(base)
        if cached is not None and now_ms - cached[0] < UPDATE_REUSE_MS:
            return cached[1]
        delta = None
        if base:
            delta = self.deltas.get(base)
            if delta is None:
                delta = self.deltas[base] = delta_between(self.former_contents[base], self.contents)
        update = ConfigUpdate(
            self.version, self._confirmed_age_ms(now_ms), delta, None if base else self.contents
        )
        self.updates[base] = now_ms, update
        return update


def cost_bytes(update: ConfigUpdate) -> int:
    """Return the size of an update's contents or delta in bytes."""
    return len(update.contents or b"") + (len(update.delta.middle) if update.delta is not None else 0)
