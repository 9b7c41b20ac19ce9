"""The versions that a follower holds: in force, pending, next, and on the disk at the start. Pure."""

from __future__ import annotations

from collections.abc import Sequence

from grebestack.config_distribution.actions import Apply, FollowerAction, PublishVersion, Store
from grebestack.config_distribution.versions import NO_VERSION, Version, contents_problem, invalid_value
from grebestack.consensus.actions import LogMessage

VersionContents = tuple[Version, bytes]
STORING, APPLYING = "storing", "applying"
MAX_DELTA_BASES = 3


class FollowerVersions:
    """Stores and then applies one version at a time, and keeps the versions that wait for it.

    Parameters
    ----------
    is_relay
        The follower is a relay itself.
    """

    def __init__(self, is_relay: bool) -> None:
        """Create it without a version."""
        self.is_relay = is_relay
        self.relay = ""  # the current relay
        self.logged_faults: frozenset[str] = frozenset()  # keys of faults that are logged only once
        self.version: Version = NO_VERSION  # in force
        self.contents = b""
        self.disk: tuple[VersionContents, ...] = ()  # newest first; empty once a version is in force
        self.start_ms = 0.0  # until then the version on the disk waits for a relay
        self.pending: VersionContents | None = None  # being stored or applied
        self.step = ""  # STORING or APPLYING while a version is pending
        self.next_version: VersionContents | None = None  # valid, waits until `pending` is done
        self.bases: dict[str, bytes] = {}  # contents by digest that a delta may be based on
        self.refused, self.refused_why = 0, ""  # the last refused number and why
        self.min_number = 0  # the highest number ever acknowledged; lower ones are not applied

    def _load_disk(self, disk: Sequence[VersionContents]) -> list[FollowerAction]:
        """Load the versions of the disk at the start; invalid ones are logged and ignored."""
        actions: list[FollowerAction] = []
        valid = []
        for version, contents in disk:
            if why := contents_problem(version, contents):
                actions.append(LogMessage("configuration_disk", {"number": version.number, "why": why}))
            else:
                valid.append((version, contents))
        self.disk = tuple(sorted(valid, key=lambda item: -item[0].number))
        if self.is_relay and self.disk:
            actions.append(PublishVersion(*self.disk[0]))
        return actions

    def on_stored(self, now_ms: float, number: int, why: str = "") -> list[FollowerAction]:
        """`Store` has ended; `why` it failed, or empty."""
        if self.pending is None or self.step != STORING or self.pending[0].number != number:
            return []
        actions: list[FollowerAction] = []
        if why:  # apply it nevertheless
            actions.append(LogMessage("configuration_not_stored", {"number": number, "why": why}))
        self.step = APPLYING
        return [*actions, Apply(*self.pending)]

    def _highest_number(self) -> int:
        """Return the highest number that is in force, pending, or next."""
        return max(
            [self.version.number, *(item[0].number for item in (self.pending, self.next_version) if item)]
        )

    def _base_contents(self, digest: str) -> bytes:
        """Return the contents with this digest; those in force if there are none."""
        return self.bases.get(digest, self.contents)

    def _remember_base(self) -> str:
        """Return the digest of the newest contents, and keep them as a base for a delta."""
        version, contents = self.disk[0] if self.disk else (self.version, self.contents)
        if version.digest:
            self.bases.pop(version.digest, None)
            self.bases[version.digest] = contents
            while len(self.bases) > MAX_DELTA_BASES:
                del self.bases[next(iter(self.bases))]
        return version.digest

    def _begin_next(self, now_ms: float) -> list[FollowerAction]:
        """Store the next version, unless one is pending."""
        if self.pending is not None:
            return []
        if self.next_version is None:
            return self._apply_from_disk() if self.disk and self.refused else []
        self.pending, self.next_version, self.step = self.next_version, None, STORING
        kept = [version.number for version, _ in self.disk] or [self.version.number]
        return [Store(*self.pending, kept[0], tuple(kept[1:]))]

    def _apply_from_disk(self) -> list[FollowerAction]:
        """Apply the disk's newest version, unless a later one was acknowledged, is pending, or is next."""
        if not self.disk or self.pending is not None or self.next_version is not None:
            return []
        number = self.disk[0][0].number
        if number < self.min_number:
            why = invalid_value(
                "number", number, f"{self.min_number} and more, which was acknowledged before"
            )
            return self._log_invalid_once("old disk", why)
        self.pending, self.disk, self.step = self.disk[0], self.disk[1:], APPLYING
        return [Apply(*self.pending)]

    def _log_invalid(self, why: str) -> list[FollowerAction]:
        return [LogMessage("configuration_wrong", {"relay": self.relay, "why": why})]

    def _log_invalid_once(self, key: str, why: str) -> list[FollowerAction]:
        """Like `_log_invalid`, but only once for each key."""
        if key in self.logged_faults:
            return []
        self.logged_faults |= {key}
        return self._log_invalid(why)
