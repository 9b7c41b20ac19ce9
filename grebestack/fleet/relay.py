"""One relay: serves followers the newest version it has, and knows who is behind. Pure."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from grebestack.fleet.actions import RelayAction
from grebestack.fleet.feed import Said
from grebestack.fleet.versions import NO_VERSION, Version

MOST_FOLLOWERS = 2048


class Relay:
    """Events in, actions out. Links are numbered by whoever runs it, each number used once.

    `floor` tells the highest number that a follower has acknowledged elsewhere, as a voter's tallies say.
    """

    def __init__(
        self, name: str, fleet: str, life: int, random: Random, most: int = MOST_FOLLOWERS,
        floor: Callable[[str], int] = lambda name: 0,
    ) -> None:
        self.name, self.fleet, self.life, self.most = name, fleet, life, most
        self.version: Version = NO_VERSION
        raise NotImplementedError

    def offer(self, now_ms: float, version: Version, contents: bytes) -> list[RelayAction]:
        """A decided version, checked: pushed at once if it is newer."""
        raise NotImplementedError

    def confirmed(self, now_ms: float, at_ms: float) -> list[RelayAction]:
        """At `at_ms` a majority knew nothing newer than what is offered."""
        raise NotImplementedError

    def heard(self, now_ms: float, link: int, message: Said) -> list[RelayAction]:
        """A message has come; the first over a link must be a `Greeting`."""
        raise NotImplementedError

    def lost(self, now_ms: float, link: int, why: str) -> list[RelayAction]:
        """A link has ended, or carried what is no message (`why` says so)."""
        raise NotImplementedError

    def tick(self, now_ms: float) -> list[RelayAction]:
        """Time has passed: what is due."""
        raise NotImplementedError

    def due_ms(self, now_ms: float) -> float:
        """When `tick` is to be called at the latest."""
        raise NotImplementedError

    def shown(self, now_ms: float) -> str:
        """How many it serves and who of them is behind, in one line."""
        raise NotImplementedError
