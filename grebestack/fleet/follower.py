"""One follower: has in force what voters have decided, as relays tell it. Pure."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from random import Random

from grebestack.fleet.actions import FollowerAction
from grebestack.fleet.feed import Said, Tally
from grebestack.fleet.versions import NO_VERSION, Version


class Follower:
    """Events in, actions out. One link at a time, numbered by `Dial`; a former link's events are passed over.

    `places`: of each relay its "region/zone". `relays` says whether this follower is itself a relay (it polls
    at a quicker pace). Times are monotonic milliseconds.
    """

    def __init__(
        self, name: str, fleet: str, place: str, life: int, places: Mapping[str, str], random: Random,
        relays: bool = False,
    ) -> None:
        self.name, self.fleet, self.place, self.life = name, fleet, place, life
        self.version: Version = NO_VERSION  # in force
        self.contents = b""
        raise NotImplementedError

    def start(self, now_ms: float, disk: Sequence[tuple[Version, bytes]] = ()) -> list[FollowerAction]:
        """Started, with what the disk holds (unsorted, each whole; one that does not fit is passed over)."""
        raise NotImplementedError

    def connected(self, now_ms: float, link: int) -> list[FollowerAction]:
        """The connection that was dialled is up."""
        raise NotImplementedError

    def heard(self, now_ms: float, link: int, message: Said) -> list[FollowerAction]:
        """A message has come."""
        raise NotImplementedError

    def lost(self, now_ms: float, link: int, why: str) -> list[FollowerAction]:
        """The connection could not be made, has ended, or carried what is no message (`why` says so)."""
        raise NotImplementedError

    def stored(self, now_ms: float, number: int, why: str = "") -> list[FollowerAction]:
        """A version is on the disk for good, or could not be written and why."""
        raise NotImplementedError

    def taken(self, now_ms: float, number: int, why: str = "") -> list[FollowerAction]:
        """A version that was to be applied is in force, or was refused and why."""
        raise NotImplementedError

    def tallied(self, now_ms: float, tally: Tally) -> list[FollowerAction]:
        """This process is a relay: its word on its followers, or one that came from below, goes upstream."""
        raise NotImplementedError

    def tick(self, now_ms: float) -> list[FollowerAction]:
        """Time has passed: what is due."""
        raise NotImplementedError

    def due_ms(self, now_ms: float) -> float:
        """When `tick` is to be called at the latest."""
        raise NotImplementedError

    def shown(self, now_ms: float) -> str:
        """Its version, by which relay, and for how long it has heard nothing, in one line."""
        raise NotImplementedError
